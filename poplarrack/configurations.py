"""Validate a whole snapshot and decode it into a Configuration."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from functools import cached_property
from functools import lru_cache
from operator import attrgetter
import re

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.members import MAX_CONNECTIONS
from poplarrack.members import MAX_SLOTS
from poplarrack.move_policies import POLICIES
from poplarrack.resources import CallerLimits
from poplarrack.resources import decode_resource
from poplarrack.resources import Evacuation
from poplarrack.resources import MAX_CACHED_RESOURCES
from poplarrack.resources import Move
from poplarrack.resources import Organisation
from poplarrack.resources import RESOURCE_TYPES
from poplarrack.resources import Route
from poplarrack.resources import Service
from poplarrack.resources import split_path
from poplarrack.routers import Router
from poplarrack.snapshots import Snapshot

# More than fit into one value of the platform's store, which may hold all.
MAX_ENTRIES = 50_000
MAX_TOTAL_BYTES = 8_000_000

# Maximum number of services in a chain of calls.
MAX_CALL_DEPTH = 11

# Bound of a route's timeout_seconds.
MAX_TIMEOUT_SECONDS = 600

# Bounds of a route's max_attempts and of a service's warm_up_seconds.
MAX_ATTEMPTS = 1_000
MAX_WARM_UP_SECONDS = 86_400

# Bound of a weight and of a rank.
MAX_WEIGHT = 1_000_000

# Bound of a caller's limit and of a move's counts and factors.
MAX_LIMIT = 10**12

# Bounds of the times in a move's record, in seconds since the epoch, and of
# its window.
MAX_TIME_SECONDS = 1e11
MAX_WINDOW_SECONDS = 1e8

# Names that endpoints are told in a header.
HEADER_VALUE = re.compile(r'[!-~]{1,200}')

FAULT_FINDERS = {}


@dataclass(frozen=True)
class Configuration:
    """A validated and decoded snapshot.

    ``routes`` are sorted by the length of their prefixes, longest first.
    ``services``, ``moves`` and ``move_paths`` are keyed by the name of the
    service, ``organisations`` by their own, ``evacuations`` by the zone.
    """

    snapshot: Snapshot = field(default_factory=Snapshot)
    services: Mapping[str, Service] = field(default_factory=dict)
    routes: tuple[Route, ...] = ()
    moves: Mapping[str, Move] = field(default_factory=dict)
    move_paths: Mapping[str, str] = field(default_factory=dict)
    caller_limits: CallerLimits = field(
        default_factory=lambda: CallerLimits('callers')
    )
    organisations: Mapping[str, Organisation] = field(default_factory=dict)
    evacuations: Mapping[str, Evacuation] = field(default_factory=dict)

    @cached_property
    def evacuated_zones(self):
        """Return the zones whose backend servers get no calls."""
        return frozenset(self.evacuations)

    @cached_property
    def router(self):
        """Return the Router of the routes."""
        return Router(self.routes)

    @property
    def revision(self):
        """Return the snapshot's revision in the platform's store."""
        return self.snapshot.revision


@dataclass(frozen=True)
class Rejection:
    """A configuration version that is not applied, and all reasons."""

    revision: int
    reasons: tuple[str, ...]


def load_configuration(snapshot):
    """Decode and validate a whole snapshot.

    :returns: the Configuration.
    :raises PoplarrackError: INVALID_CONFIGURATION with all faults, joined
        by semicolons.
    """
    faults = _size_faults(snapshot)
    checked = []
    for path, entry in snapshot.entries.items():
        try:
            checked.append(_check_resource(path, entry.value))
        except PoplarrackError as error:
            faults.append(error.detail)
    configuration = _build_configuration(snapshot, checked, faults)
    faults.extend(_find_faults(checked, configuration.services))
    faults.extend(_cycle_faults(configuration.services))
    if faults:
        raise PoplarrackError(
            ErrorKind.INVALID_CONFIGURATION, '; '.join(faults)
        )
    return configuration


def finds_faults(kind):
    """Register what yields the faults of a resource of a kind by itself."""

    def register(find_faults):
        FAULT_FINDERS[kind] = find_faults
        return find_faults

    return register


@dataclass(frozen=True)
class CheckedResource:
    """A decoded setting, with what is found wrong with it by itself.

    ``services`` are the names that must be among the configuration's.
    """

    path: str
    team: str
    kind: str
    name: str
    resource: object
    faults: tuple[str, ...]
    services: frozenset[str]


@lru_cache(maxsize=MAX_CACHED_RESOURCES)
def _check_resource(path, value):
    """Return the CheckedResource of a setting.

    Most settings of a new version are those of the one before.
    """
    resource = decode_resource(path, value)
    team, kind, name = split_path(path)
    return CheckedResource(
        path,
        team,
        kind,
        name,
        resource,
        tuple(FAULT_FINDERS[kind](resource)),
        frozenset(resource.needed_services),
    )


def _find_faults(checked, services):
    for item in checked:
        yield from item.faults
        for service in item.services:
            if service not in services:
                yield f'{item.kind} {item.name}: no service {service!r}'


def _size_faults(snapshot):
    faults = []
    total = sum(len(entry.value) for entry in snapshot.entries.values())
    if len(snapshot.entries) > MAX_ENTRIES:
        faults.append(
            f'{len(snapshot.entries)} settings, at most {MAX_ENTRIES} are '
            'allowed'
        )
    if total > MAX_TOTAL_BYTES:
        faults.append(
            f'{total} bytes of settings, at most {MAX_TOTAL_BYTES} are allowed'
        )
    return faults


def _build_configuration(snapshot, checked, faults):
    """Return the Configuration of CheckedResources.

    A name of a kind that a second team uses is appended to ``faults``.
    """
    by_kind = {kind: {} for kind in RESOURCE_TYPES}
    move_paths = {}
    owners = {}
    for item in sorted(checked, key=attrgetter('path')):
        kind, name, resource = item.kind, item.name, item.resource
        owner = owners.setdefault((kind, name), item.team)
        if owner != item.team:
            faults.append(
                f'{item.path}: {kind}/{name} already belongs to team {owner!r}'
            )
            continue
        by_kind[kind][name] = resource
        if kind == 'moves':
            move_paths[name] = item.path
    routes = sorted(
        by_kind['routes'].values(),
        key=lambda route: (-len(route.prefix), route.name),
    )
    limits = by_kind['limits'].values()
    return Configuration(
        snapshot,
        by_kind['services'],
        tuple(routes),
        by_kind['moves'],
        move_paths,
        next(reversed(limits), CallerLimits('callers')),
        by_kind['organisations'],
        by_kind['evacuations'],
    )


@finds_faults('routes')
def _route_faults(route):
    for weighted in route.backends:
        if not 0 <= weighted.weight <= MAX_WEIGHT:
            yield (
                f'route {route.name}: weight {weighted.weight} is not from 0 '
                f'to {MAX_WEIGHT}'
            )
    if not abs(route.queue_rank) <= MAX_WEIGHT:
        yield f'route {route.name}: rank {route.queue_rank} is out of range'
    if not 1 <= route.max_attempts <= MAX_ATTEMPTS:
        yield (
            f'route {route.name}: max_attempts must be at least 1 and at most '
            f'{MAX_ATTEMPTS}, got {route.max_attempts}'
        )
    if not 0 <= route.target_latency_seconds <= MAX_TIMEOUT_SECONDS:
        yield (
            f'route {route.name}: target_latency_seconds must be from 0 to '
            f'{MAX_TIMEOUT_SECONDS}, got {route.target_latency_seconds}'
        )
    if not route.prefix.startswith('/'):
        yield f'route {route.name}: prefix must begin with /'
    if not 0 < route.timeout_seconds <= MAX_TIMEOUT_SECONDS:
        yield (
            f'route {route.name}: timeout_seconds must be over 0 and at most '
            f'{MAX_TIMEOUT_SECONDS}, got {route.timeout_seconds}'
        )


@finds_faults('services')
def _service_faults(service):
    in_range = (
        1 <= service.slots <= MAX_SLOTS
        and 1 <= service.max_connections <= MAX_CONNECTIONS
    )
    if not in_range:
        yield (
            f'service {service.name}: slots must be from 1 to {MAX_SLOTS} '
            f'and max_connections from 1 to {MAX_CONNECTIONS}, got '
            f'{service.slots} and {service.max_connections}'
        )
    if not 0 <= service.warm_up_seconds <= MAX_WARM_UP_SECONDS:
        yield (
            f'service {service.name}: warm_up_seconds must be from 0 to '
            f'{MAX_WARM_UP_SECONDS}, got {service.warm_up_seconds}'
        )
    if not 0 <= service.cold_calls_per_second <= MAX_LIMIT:
        yield (
            f'service {service.name}: cold_calls_per_second must be from 0 to '
            f'{MAX_LIMIT}, got {service.cold_calls_per_second}'
        )


@finds_faults('organisations')
def organisation_faults(organisation):
    """Yield what is wrong with an organisation by itself."""
    if not HEADER_VALUE.fullmatch(organisation.name):
        yield f'organisation {organisation.name!r}: no value of a header'
    if not abs(organisation.rank or 0) <= MAX_WEIGHT:
        yield (
            f'organisation {organisation.name}: rank {organisation.rank} is '
            'out of range'
        )
    for field_name in ('calls_per_second', 'burst'):
        number = getattr(organisation, field_name)
        if not 0 <= number <= MAX_LIMIT:
            yield (
                f'organisation {organisation.name}: {field_name} must be from '
                f'0 to {MAX_LIMIT}, got {number}'
            )


@finds_faults('evacuations')
def _evacuation_faults(evacuation):
    if not 0 <= evacuation.since <= MAX_TIME_SECONDS:
        yield f'evacuation {evacuation.name}: its time is out of range'


@finds_faults('limits')
def _limit_faults(limits):
    numbers = (
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_seconds,
        limits.idle_timeout_seconds,
    )
    if not all(0 <= number <= MAX_LIMIT for number in numbers):
        yield f'limits {limits.name}: must be from 0 to {MAX_LIMIT}'


@finds_faults('moves')
def move_faults(move):
    """Yield what is wrong with a move by itself."""
    if move.from_version == move.to_version:
        yield f'move {move.service}: both versions are {move.to_version!r}'
    if not 0 <= move.share <= 1:
        yield f'move {move.service}: share {move.share} is not from 0 to 1'
    if move.policy not in POLICIES:
        yield f'move {move.service}: unknown policy {move.policy!r}'
    if not _has_valid_times(move):
        yield f'move {move.service}: its times are out of range'
    if not all(_has_valid_counts(item) for item in move.evidence):
        yield f'move {move.service}: its evidence is out of range'


def _has_valid_counts(evidence):
    numbers = (
        evidence.old_calls,
        evidence.old_failures,
        evidence.new_calls,
        evidence.new_failures,
        evidence.failure_factor,
        evidence.latency_factor,
    )
    return all(0 <= number <= MAX_LIMIT for number in numbers)


def _has_valid_times(move):
    times = (
        move.started_at,
        move.complete_by,
        move.stage_since,
        move.ended_at,
    )
    window = abs(move.complete_by - move.started_at)
    return (
        all(0 <= time <= MAX_TIME_SECONDS for time in times)
        and 0 <= move.ordered_seconds <= MAX_WINDOW_SECONDS
        and window <= MAX_WINDOW_SECONDS
    )


def _cycle_faults(services):
    depths = {}

    def depth_of(name, path):
        if name in path:
            cycle = ' -> '.join((*path[path.index(name) :], name))
            raise PoplarrackError(ErrorKind.INVALID_CONFIGURATION, cycle)
        if name not in depths:
            calls = services[name].calls if name in services else ()
            callee_depths = (
                depth_of(called, (*path, name)) for called in calls
            )
            depths[name] = 1 + max(callee_depths, default=0)
        return depths[name]

    for name in services:
        try:
            depth = depth_of(name, ())
        except PoplarrackError as error:
            yield f'service {name}: calls form a cycle: {error.detail}'
            return
        if depth > MAX_CALL_DEPTH:
            yield (
                f'service {name}: calls are nested too deep, through {depth} '
                f'services, at most {MAX_CALL_DEPTH} are allowed'
            )
