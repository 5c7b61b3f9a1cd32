"""Validate a whole snapshot and decode it into a Configuration."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.members import MAX_CONNECTIONS
from poplarrack.members import MAX_SLOTS
from poplarrack.move_policies import POLICIES
from poplarrack.resources import CallerLimits
from poplarrack.resources import decode_resource
from poplarrack.resources import Move
from poplarrack.resources import Route
from poplarrack.resources import Service
from poplarrack.resources import split_path
from poplarrack.snapshots import Snapshot

MAX_ENTRIES = 5_000
MAX_TOTAL_BYTES = 8_000_000

# Maximum number of services in a chain of calls.
MAX_CALL_DEPTH = 11

# Bound of a route's timeout_seconds.
MAX_TIMEOUT_SECONDS = 600

# Bound of a weight and of a rank.
MAX_WEIGHT = 1_000_000

# Bounds of the times in a move's record, in seconds since the epoch, and of
# its window.
MAX_TIME_SECONDS = 1e11
MAX_WINDOW_SECONDS = 1e8


@dataclass(frozen=True)
class Configuration:
    """A validated and decoded snapshot.

    ``routes`` are sorted by the length of their prefixes, longest first.
    ``services``, ``moves`` and ``move_paths`` are keyed by the name of the
    service.
    """

    snapshot: Snapshot = field(default_factory=Snapshot)
    services: Mapping[str, Service] = field(default_factory=dict)
    routes: tuple[Route, ...] = ()
    moves: Mapping[str, Move] = field(default_factory=dict)
    move_paths: Mapping[str, str] = field(default_factory=dict)
    caller_limits: CallerLimits = field(
        default_factory=lambda: CallerLimits('callers')
    )

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
    decoded = {}
    for path, entry in snapshot.entries.items():
        try:
            decoded[path] = decode_resource(path, entry.value)
        except PoplarrackError as error:
            faults.append(error.detail)
    configuration = _build_configuration(snapshot, decoded, faults)
    faults.extend(_reference_faults(configuration))
    faults.extend(_cycle_faults(configuration.services))
    if faults:
        raise PoplarrackError(
            ErrorKind.INVALID_CONFIGURATION, '; '.join(faults)
        )
    return configuration


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


def _build_configuration(snapshot, decoded, faults):
    """Return the Configuration of decoded settings.

    A name of a kind that a second team uses is appended to ``faults``.
    """
    services, moves, move_paths, routes = {}, {}, {}, []
    limits = CallerLimits('callers')
    owners = {}
    for path, resource in sorted(decoded.items()):
        team, kind, name = split_path(path)
        owner = owners.setdefault((kind, name), team)
        if owner != team:
            faults.append(
                f'{path}: {kind}/{name} already belongs to team {owner!r}'
            )
        elif kind == 'services':
            services[name] = resource
        elif kind == 'moves':
            moves[name] = resource
            move_paths[name] = path
        elif kind == 'limits':
            limits = resource
        else:
            routes.append(resource)
    routes.sort(key=lambda route: (-len(route.prefix), route.name))
    return Configuration(
        snapshot, services, tuple(routes), moves, move_paths, limits
    )


def _reference_faults(configuration):
    services = configuration.services
    for route in configuration.routes:
        yield from _route_faults(route, services)
    for service in services.values():
        yield from _service_faults(service, services)
    for move in configuration.moves.values():
        yield from move_faults(move, services)


def _route_faults(route, services):
    for weighted in route.weighted_services:
        if weighted.service not in services:
            yield f'route {route.name}: no service {weighted.service!r}'
        if not 0 <= weighted.weight <= MAX_WEIGHT:
            yield (
                f'route {route.name}: weight {weighted.weight} is not from 0 '
                f'to {MAX_WEIGHT}'
            )
    if not abs(route.queue_rank) <= MAX_WEIGHT:
        yield f'route {route.name}: rank {route.queue_rank} is out of range'
    if route.max_attempts < 1:
        yield (
            f'route {route.name}: max_attempts must be at least 1, got '
            f'{route.max_attempts}'
        )
    if not route.prefix.startswith('/'):
        yield f'route {route.name}: prefix must begin with /'
    if not 0 < route.timeout_seconds <= MAX_TIMEOUT_SECONDS:
        yield (
            f'route {route.name}: timeout_seconds must be over 0 and at most '
            f'{MAX_TIMEOUT_SECONDS}, got {route.timeout_seconds}'
        )


def _service_faults(service, services):
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
    for called in service.calls:
        if called not in services:
            yield f'service {service.name}: calls no service {called!r}'


def move_faults(move, services):
    """Yield what is wrong with a move.

    :param services: a container of the names of the services.
    """
    if move.service not in services:
        yield f'move {move.service}: no such service'
    if move.from_version == move.to_version:
        yield f'move {move.service}: both versions are {move.to_version!r}'
    if not 0 <= move.share <= 1:
        yield f'move {move.service}: share {move.share} is not from 0 to 1'
    if move.policy not in POLICIES:
        yield f'move {move.service}: unknown policy {move.policy!r}'
    if not _has_valid_times(move):
        yield f'move {move.service}: its times are out of range'


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
