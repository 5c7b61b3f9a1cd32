"""Define the kinds of settings that operators store in the configuration.

A setting has the path ``<team>/<kind>/<name>`` and a JSON object as its
value. Each kind is a frozen data class, registered by a decorator; a
decoded value is called a resource.
"""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import fields
from enum import Enum
from functools import lru_cache
from hashlib import blake2b

from msgspec import convert
from msgspec import MsgspecError
from msgspec import to_builtins
from msgspec.json import encode

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.json_values import decode_json

MAX_VALUE_BYTES = 1_000_000
MAX_PATH_BYTES = 256

# Size of the cache of decoded settings. It holds a whole configuration, so
# that after a change only the changed settings are decoded.
MAX_CACHED_RESOURCES = 8_192

RESOURCE_TYPES = {}

# Bytes of the digest of a key, so that none can be found from it.
KEY_DIGEST_BYTES = 16
# Marks a field that earlier builds reject.
NEWER = 'newer'


def newer_field(default):
    """Return a field that is left out of the encoded value by default.

    Earlier builds, which don't know it, then take the value.
    """
    return field(default=default, metadata={NEWER: True})


def resource_kind(name):
    """Register a data class as the type of a kind's values."""

    def register(cls):
        RESOURCE_TYPES[name] = cls
        return cls

    return register


class MoveState(Enum):
    """The states of a move between versions of a backend server."""

    PENDING = 'pending'
    ADVANCING = 'advancing'
    HOLDING = 'holding'
    COMPLETED = 'completed'
    WITHDRAWN = 'withdrawn'

    @property
    def ended(self):
        """Return whether the move has ended."""
        return self in (MoveState.COMPLETED, MoveState.WITHDRAWN)


class Priority(Enum):
    """How costly delays are to a route's calls, highest cost first."""

    CRITICAL = 'critical'
    NORMAL = 'normal'
    SHEDDABLE = 'sheddable'


PRIORITY_RANKS = {priority: rank for rank, priority in enumerate(Priority)}


@resource_kind('services')
@dataclass(frozen=True)
class Service:
    """A service, its current version and the services that it calls.

    The ``calls`` of all services must not form a cycle. An empty
    ``version`` accepts any version of the backend servers. ``slots`` is
    the number of calls that a backend server runs at once,
    ``max_connections`` the greatest number of connections to it, and
    ``warm_up_seconds`` the duration of its slow start. In it, a backend
    server gets at most ``cold_calls_per_second``; 0 stands for no limit.
    """

    name: str
    version: str
    calls: tuple[str, ...] = ()
    slots: int = 10
    max_connections: int = 110
    warm_up_seconds: float = 5.0
    cold_calls_per_second: float = newer_field(0.0)

    @property
    def needed_services(self):
        """Return the names of the services that it calls."""
        return self.calls


@dataclass(frozen=True)
class WeightedService:
    """A service that receives a share of a route's calls by weight."""

    service: str
    weight: float


@resource_kind('routes')
@dataclass(frozen=True)
class Route:
    """A rule that sends calls whose path has a prefix to a service.

    ``repeatable`` means that calls are idempotent. If ``host`` is set,
    only calls to it match. ``backends`` split the calls between several
    services and take precedence over ``service``. ``max_attempts`` limits
    the number of backend servers that a call is sent to.
    ``target_latency_seconds`` is the time within which an answer is
    expected; 0 stands for the timeout. ``rank`` orders queued calls, with
    0 first, and takes precedence over ``priority``. With ``regions``, calls
    are served only there; None stands for anywhere. A ``public`` route asks
    for no key of an organisation.
    """

    name: str
    prefix: str
    service: str
    methods: tuple[str, ...] = ()
    repeatable: bool = False
    priority: Priority = Priority.NORMAL
    timeout_seconds: float = 5.0
    host: str = ''
    backends: tuple[WeightedService, ...] = ()
    max_attempts: int = 3
    target_latency_seconds: float = 0.0
    rank: int | None = None
    regions: tuple[str, ...] | None = newer_field(None)
    public: bool = newer_field(False)

    @property
    def weighted_services(self):
        """Return the WeightedServices between which calls are split."""
        if self.backends:
            return self.backends
        return (WeightedService(self.service, 1.0),)

    @property
    def needed_services(self):
        """Return the names of the services that it sends calls to."""
        return [part.service for part in self.backends] or [self.service]

    @property
    def queue_rank(self):
        """Return the rank of queued calls; 0 is served first."""
        if self.rank is not None:
            return self.rank
        return PRIORITY_RANKS[self.priority]


@resource_kind('organisations')
@dataclass(frozen=True)
class Organisation:
    """A customer whose callers show one of its keys.

    ``key_digests`` are those of ``digest_key``, since keys are secret. Over
    all nodes its calls are limited to ``calls_per_second`` and a burst of
    ``burst``; 0 stands for no limit. ``rank`` takes precedence over that of
    a route. ``regions`` are as in a Route, and bind together with them.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    rank: int | None = None
    calls_per_second: float = 0.0
    burst: float = 0.0
    regions: tuple[str, ...] | None = None

    @property
    def needed_services(self):
        """Return no name: an organisation may call all services."""
        return ()


def digest_key(key):
    """Return the digest by which an organisation's key is known.

    :param key: the key as bytes.
    """
    return blake2b(key, digest_size=KEY_DIGEST_BYTES).hexdigest()


@resource_kind('evacuations')
@dataclass(frozen=True)
class Evacuation:
    """An order to send nothing to the backend servers of a zone.

    ``name`` is the zone's. It holds until the setting is removed. ``since`` is
    when it was ordered, in seconds since the epoch, or 0 if not known. An
    ``outdated`` one is held though the store has returned without it.
    """

    name: str
    since: float = 0.0
    outdated: bool = newer_field(False)

    @property
    def needed_services(self):
        """Return no name: an evacuation applies to all services."""
        return ()


@resource_kind('limits')
@dataclass(frozen=True)
class CallerLimits:
    """Limits on the requests and the connections of callers."""

    name: str
    max_header_bytes: int = 32_768
    max_body_bytes: int = 1_000_000
    header_timeout_seconds: float = 10.0
    idle_timeout_seconds: float = 75.0

    @property
    def needed_services(self):
        """Return no name: limits apply to all services."""
        return ()


@dataclass(frozen=True)
class RouteEvidence:
    """A route's counts and Bayes factors, as the worker last recorded."""

    route: str
    old_calls: int = 0
    old_failures: int = 0
    new_calls: int = 0
    new_failures: int = 0
    failure_factor: float = 0.0
    latency_factor: float = 0.0


@resource_kind('moves')
@dataclass(frozen=True)
class Move:
    """A gradual move of a service's traffic to another version.

    Times are in seconds since the epoch; ``complete_by`` is the deadline.
    ``share`` is the fraction of calls, 0 to 1, sent to ``to_version``. An
    empty ``from_version`` stands for every other version. ``stage_since``
    is the time at which the current share was set. ``ordered_seconds`` is
    the duration of a move that its worker has not started yet, and 0
    afterwards.

    ``order_id`` is the id of the order that the move stands for, if that was
    written again under another one. ``recorded_in`` is the number of the
    store's history in which the record was written, 0 in the first one. An
    ``outdated`` record is of an earlier history than the store is in.
    """

    service: str
    from_version: str
    to_version: str
    complete_by: float
    move_id: str
    started_at: float
    policy: str = 'balanced'
    state: MoveState = MoveState.PENDING
    share: float = 0.0
    stage_since: float = 0.0
    hold_requested: bool = False
    reason: str = ''
    ended_at: float = 0.0
    evidence: tuple[RouteEvidence, ...] = ()
    log: tuple[str, ...] = field(default=())
    ordered_seconds: float = 0.0
    order_id: str = newer_field('')
    recorded_in: int = newer_field(0)
    outdated: bool = newer_field(False)

    @property
    def needed_services(self):
        """Return the name of the service that is moved."""
        return (self.service,)

    def is_old(self, version):
        """Return whether calls are moved away from a version."""
        if self.from_version:
            return version == self.from_version
        return version != self.to_version


def split_path(path):
    """Split a path into team, kind and name.

    :raises PoplarrackError: INVALID_CONFIGURATION for a path that has
        another form, is too long or names an unknown kind.
    """
    parts = path.split('/')
    well_formed = len(parts) == 3 and all(parts)
    if not well_formed or len(path.encode()) > MAX_PATH_BYTES:
        raise PoplarrackError(
            ErrorKind.INVALID_CONFIGURATION,
            f'{path}: a path is <team>/<kind>/<name>, '
            f'{MAX_PATH_BYTES} bytes at most',
        )
    if parts[1] not in RESOURCE_TYPES:
        raise PoplarrackError(
            ErrorKind.INVALID_CONFIGURATION,
            f'{path}: unknown kind {parts[1]!r}, expected one of '
            + ', '.join(sorted(RESOURCE_TYPES)),
        )
    return parts


@lru_cache(maxsize=MAX_CACHED_RESOURCES)
def decode_resource(path, value):
    """Decode the JSON value at a path into its kind's data class.

    :param value: bytes.
    :raises PoplarrackError: INVALID_CONFIGURATION or TOO_LARGE.
    """
    _, kind, name = split_path(path)
    if len(value) > MAX_VALUE_BYTES:
        raise PoplarrackError(
            ErrorKind.TOO_LARGE,
            f'{path}: {len(value)} bytes, at most {MAX_VALUE_BYTES} are '
            'allowed',
        )
    resource_type = RESOURCE_TYPES[kind]
    try:
        fields = decode_json(value, ErrorKind.INVALID_CONFIGURATION, path)
        _reject_unknown_fields(path, fields, resource_type)
        resource = convert(fields, resource_type)
    except (MsgspecError, ValueError, TypeError) as error:
        raise PoplarrackError(
            ErrorKind.INVALID_CONFIGURATION, f'{path}: {error}'
        ) from error
    own_name = resource.service if kind == 'moves' else resource.name
    if own_name != name:
        raise PoplarrackError(
            ErrorKind.INVALID_CONFIGURATION,
            f'{path}: the value names {own_name!r}, the path {name!r}',
        )
    return resource


def _reject_unknown_fields(path, fields, resource_type):
    if not isinstance(fields, dict):
        raise PoplarrackError(
            ErrorKind.INVALID_CONFIGURATION,
            f'{path}: the value is not a JSON object',
        )
    unknown = sorted(set(fields) - set(resource_type.__dataclass_fields__))
    if unknown:
        raise PoplarrackError(
            ErrorKind.INVALID_CONFIGURATION,
            f'{path}: unknown fields: ' + ', '.join(unknown),
        )


def encode_resource(resource):
    """Return a resource as JSON bytes."""
    left_out = _newer_defaults(type(resource))
    if not left_out:
        return encode(resource)
    return encode(
        {
            name: value
            for name, value in to_builtins(resource).items()
            if name not in left_out or value != left_out[name]
        }
    )


@lru_cache
def _newer_defaults(resource_type):
    """Return the defaults of the fields that earlier builds reject."""
    return {
        item.name: item.default
        for item in fields(resource_type)
        if NEWER in item.metadata
    }
