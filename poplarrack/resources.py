"""Define the settings that operators keep under paths.

A path is ``<team>/<kind>/<name>``; its value is one JSON object. Kinds are
registered by decorator; each one names its frozen data class.
"""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from functools import lru_cache

from msgspec import convert
from msgspec import ValidationError
from msgspec.json import decode
from msgspec.json import encode

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError

MAX_VALUE_BYTES = 1_000_000
MAX_PATH_BYTES = 256

# Decoded resources kept, so that a change decodes only what is new.
DECODED_KEPT = 8_192

KINDS = {}


def resource_kind(name):
    """Register a data class as the shape of the values of a kind."""

    def register(cls):
        KINDS[name] = cls
        return cls

    return register


class MoveState(Enum):
    """The states of a move between back-end versions."""

    PENDING = 'pending'
    ADVANCING = 'advancing'
    HOLDING = 'holding'
    COMPLETED = 'completed'
    WITHDRAWN = 'withdrawn'

    @property
    def ended(self):
        """Say whether the state is final."""
        return self in (MoveState.COMPLETED, MoveState.WITHDRAWN)


class Priority(Enum):
    """How costly lateness is on a route, from most to least."""

    CRITICAL = 'critical'
    NORMAL = 'normal'
    SHEDDABLE = 'sheddable'


@resource_kind('services')
@dataclass(frozen=True)
class Service:
    """A service, the version in force, and the services that it calls.

    ``calls`` must not form a cycle over all services. An empty ``version``
    stands for whatever version its backend servers run.
    """

    name: str
    version: str
    calls: tuple[str, ...] = ()
    slots: int = 10
    max_connections: int = 110
    warm_up_seconds: float = 5.0


@dataclass(frozen=True)
class WeightedService:
    """A service that gets a route's calls in proportion to ``weight``."""

    service: str
    weight: float


@resource_kind('routes')
@dataclass(frozen=True)
class Route:
    """Send calls whose path begins with ``prefix`` to ``service``.

    ``repeatable`` says that running a call twice does no harm. Only calls
    to ``host`` match, where one is given. ``backends`` split the calls
    over several services and go before ``service``. ``max_attempts``
    bounds the backend servers that one call is sent to.
    ``target_latency_seconds`` is what an answer is wanted within, 0 for
    the timeout. ``rank`` orders calls that wait, 0 first, and goes before
    ``priority``.
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

    @property
    def weighted_services(self):
        """Return the services that get calls, and their weights."""
        if self.backends:
            return self.backends
        return (WeightedService(self.service, 1.0),)

    @property
    def queue_rank(self):
        """Return the place among calls that wait, 0 first."""
        if self.rank is not None:
            return self.rank
        return tuple(Priority).index(self.priority)


@resource_kind('limits')
@dataclass(frozen=True)
class CallerLimits:
    """What callers may send, and how long they may take or stay idle."""

    name: str
    max_header_bytes: int = 32_768
    max_body_bytes: int = 1_000_000
    header_timeout_seconds: float = 10.0
    idle_timeout_seconds: float = 75.0


@dataclass(frozen=True)
class RouteEvidence:
    """What a move's worker last saw on one route, old against new."""

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
    """A move of a service's traffic to another version by a time.

    Times are seconds since the epoch; ``share`` is the part of calls, 0 to
    1, that goes to ``to_version``. An empty ``from_version`` stands for
    every other version. ``ordered_seconds`` is the time given to a move
    that its worker has not started yet.
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

    def is_old(self, version):
        """Say whether a version is one that calls move away from."""
        if self.from_version:
            return version == self.from_version
        return version != self.to_version


def split_path(path):
    """Split a path into team, kind and name.

    :raises PoplarrackError: INVALID_CONFIGURATION on any other shape.
    """
    parts = path.split('/')
    shaped = len(parts) == 3 and all(parts)
    if not shaped or len(path.encode()) > MAX_PATH_BYTES:
        raise PoplarrackError(
            ErrorKind.INVALID_CONFIGURATION,
            f'{path}: a path is <team>/<kind>/<name>, '
            f'{MAX_PATH_BYTES} bytes at most',
        )
    if parts[1] not in KINDS:
        raise PoplarrackError(
            ErrorKind.INVALID_CONFIGURATION,
            f'{path}: unknown kind {parts[1]!r}, known are '
            + ', '.join(sorted(KINDS)),
        )
    return parts


@lru_cache(maxsize=DECODED_KEPT)
def decode_resource(path, value):
    """Decode the JSON text at a path into its kind's data class.

    :raises PoplarrackError: INVALID_CONFIGURATION or TOO_LARGE.
    """
    _, kind, name = split_path(path)
    if len(value) > MAX_VALUE_BYTES:
        raise PoplarrackError(
            ErrorKind.TOO_LARGE,
            f'{path}: {len(value)} bytes, {MAX_VALUE_BYTES} at most',
        )
    shape = KINDS[kind]
    try:
        fields = decode(value)
        _refuse_unknown_fields(path, fields, shape)
        resource = convert(fields, shape)
    except (ValidationError, ValueError, TypeError) as error:
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


def _refuse_unknown_fields(path, fields, shape):
    if not isinstance(fields, dict):
        raise PoplarrackError(
            ErrorKind.INVALID_CONFIGURATION, f'{path}: not a JSON object'
        )
    unknown = sorted(set(fields) - set(shape.__dataclass_fields__))
    if unknown:
        raise PoplarrackError(
            ErrorKind.INVALID_CONFIGURATION,
            f'{path}: unknown fields: ' + ', '.join(unknown),
        )


def encode_resource(resource):
    """Encode a resource as JSON bytes."""
    return encode(resource)
