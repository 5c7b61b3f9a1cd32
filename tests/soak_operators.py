"""The operator of a soak: changes routes, and records the confirmations."""

import asyncio
from dataclasses import asdict
from dataclasses import dataclass

from poplarrack.resources import CallerLimits
from tests.soak_records import Change
from tests.test_platform_adapter import CONFIG
from tests.test_platform_adapter import ROUTE

SERVICES = ('front', 'back')
# Routes that all versions have, and whether they are safe.
SAFE_PREFIX, UNSAFE_PREFIX = '/a/', '/b/'
STABLE_PREFIXES = {SAFE_PREFIX: True, UNSAFE_PREFIX: False}
# Safe routes of one service that are called in bursts only, and their ranks.
URGENT_PREFIX, LESS_URGENT_PREFIX = '/u/', '/l/'
BURST_RANKS = {URGENT_PREFIX: 0, LESS_URGENT_PREFIX: 3}
MOVED_PREFIXES = {'/c/': True, '/d/': False, '/e/': True}
# As many as installations have.
IDLE_ROUTES = 300
# Dropped routes that are still called.
REMEMBERED_ROUTES = 4
# Pauses between series of changes; a node that stays wrong until the next
# change is seen after the longest ones.
PAUSES_SECONDS = (0.3, 1.0, 4.0, 5.0)
MAX_SERIES = 3
# Limits that versions change between. A node that is suspended for longer than
# the shortest timeout goes on within the run.
LIMITS = (
    CallerLimits('callers', 8192, 1_200_000, 1.0, 5.0),
    CallerLimits('callers', 16384, 2_000_000, 2.0, 8.0),
)
CHANGE_KINDS = {}


def change(edit):
    """Register a function of (operator) that edits its routes."""
    CHANGE_KINDS[edit.__name__] = edit
    return edit


@dataclass(frozen=True)
class RouteState:
    """A route: whether it is safe, its service and its rank."""

    safe: bool
    service: str
    rank: int = ROUTE['priority']


class Operator:
    """Writes versions of the configuration.

    :param record: the Record.
    :param random: a random.Random.
    :param write: a coroutine function of the number of a version, its
        RouteStates by prefix and its CallerLimits, which returns when the
        store confirmed it.
    """

    def __init__(self, record, random, write):
        self.record, self.random, self.write = record, random, write
        self.number = 0
        prefixes = {**STABLE_PREFIXES, **MOVED_PREFIXES}
        self.routes = {
            prefix: RouteState(safe, SERVICES[0])
            for prefix, safe in prefixes.items()
        }
        for prefix, rank in BURST_RANKS.items():
            self.routes[prefix] = RouteState(True, SERVICES[0], rank)
        self.limits = LIMITS[0]
        # Routes that were added or dropped, the latest last.
        self.changed = ['/none/']

    async def configure(self):
        """Write the routes as a new version."""
        self.number += 1
        services = {
            prefix: route.service for prefix, route in self.routes.items()
        }
        sent_at = self.record.clock()
        # Entered before it is sent, since nodes may follow it at once.
        self.record.changes.append(
            Change(self.number, sent_at, float('inf'), services, self.limits)
        )
        await self.write(self.number, dict(self.routes), self.limits)
        self.record.changes[self.number - 1] = Change(
            self.number, sent_at, self.record.clock(), services, self.limits
        )

    async def run(self):
        """Make series of changes until the task is cancelled."""
        while True:
            for _ in range(self.random.randint(1, MAX_SERIES)):
                kind = self.random.choice(sorted(CHANGE_KINDS))
                CHANGE_KINDS[kind](self)
                self.record.counts[kind] += 1
                await self.configure()
            await asyncio.sleep(self.random.choice(PAUSES_SECONDS))

    def draw_prefix(self, random):
        """Return the prefix of a caller's next request, and if it is safe."""
        chance = random.random()
        if chance < 0.5:
            prefix = random.choice(sorted(STABLE_PREFIXES))
        elif chance < 0.8:
            prefix = random.choice(sorted(MOVED_PREFIXES))
        else:
            prefix = random.choice(self.changed[-REMEMBERED_ROUTES:])
        route = self.routes.get(prefix)
        return prefix, route is None or route.safe


@change
def move_route(operator):
    """Move a route to the other service."""
    prefix = operator.random.choice(sorted(MOVED_PREFIXES))
    route = operator.routes[prefix]
    other = SERVICES[route.service == SERVICES[0]]
    operator.routes[prefix] = RouteState(route.safe, other)


@change
def add_route(operator):
    """Add a route that no version had before."""
    prefix = f'/n{operator.number}/'
    service = operator.random.choice(SERVICES)
    operator.routes[prefix] = RouteState(True, service)
    operator.changed.append(prefix)


@change
def drop_route(operator):
    """Drop a route that was added."""
    added = [item for item in operator.changed if item in operator.routes]
    if added:
        prefix = operator.random.choice(added)
        del operator.routes[prefix]
        operator.changed.remove(prefix)
        operator.changed.append(prefix)


@change
def change_limits(operator):
    """Widen the limits of callers, or narrow them again."""
    operator.limits = LIMITS[operator.limits is LIMITS[0]]


def add_idle_routes(routes):
    """Return the routes and those that nobody calls."""
    idle = RouteState(True, SERVICES[0])
    return {**routes, **{f'/idle{n}/': idle for n in range(IDLE_ROUTES)}}


def build_configuration(number, routes, limits):
    """Return the value of ``op/config`` for a version on the platform."""
    return {
        **CONFIG,
        'version': f'r{number}',
        'routes': {
            f'r-{prefix.strip("/")}': {
                **ROUTE,
                'prefix': prefix,
                'route_type': 'safe' if route.safe else 'unsafe',
                'priority': route.rank,
                'backends': None,
                'service': route.service,
            }
            for prefix, route in add_idle_routes(routes).items()
        },
        'limits': {
            'max_header_bytes': limits.max_header_bytes,
            'max_body_bytes': limits.max_body_bytes,
            'header_timeout': f'{limits.header_timeout_seconds}s',
            'idle_timeout': f'{limits.idle_timeout_seconds}s',
        },
    }


def build_resources(routes, limits):
    """Return the settings of a version in the product's own mesh by path."""
    resources = {
        f'soak/services/{name}': {'name': name, 'version': 'v1'}
        for name in SERVICES
    }
    resources['soak/limits/callers'] = asdict(limits)
    for prefix, route in add_idle_routes(routes).items():
        name = f'r-{prefix.strip("/")}'
        resources[f'soak/routes/{name}'] = {
            'name': name,
            'prefix': prefix,
            'service': route.service,
            'repeatable': route.safe,
            'rank': route.rank,
        }
    return resources
