"""Fake meshes for bench cases, and the invariants checked on them."""

from json import dumps
from random import Random

from poplarrack.benches.cases import Bound
from poplarrack.benches.cases import Result
from poplarrack.stand_ins.fakes import run_on_virtual_clock
from poplarrack.stand_ins.fakes import start_fake_mesh

MAX_CONVERGENCE_SECONDS = 5.0
# Sent and received by each node.
MAX_CONTROL_BYTES_PER_SECOND = 3000
# By all nodes together.
MAX_PLATFORM_CALLS_PER_SECOND = 2000
SERVICES = 51
# Keeps the timeouts of routes below the limit of the configuration.
DISTINCT_TIMEOUTS = 500
ZONES = (
    ('south', 'a'),
    ('south', 'b'),
    ('south', 'c'),
    ('north', 'd'),
    ('north', 'e'),
)
ZERO_BOUND = Bound(maximum=0)


def build_changes(services=SERVICES):
    """Return the settings of services, each with a route, by path."""
    changes = {}
    for number in range(services):
        name = f'service-{number}'
        service = {'name': name, 'version': 'v1'}
        changes[f'bench/services/{name}'] = dumps(service).encode()
        changes.update(route_change(number, 5.0))
    return changes


def route_change(number, timeout_seconds, service=None):
    """Return the change of a route's timeout, by path.

    :param number: the number of the route and of its service.
    :param service: the service to route to instead.
    """
    name = f'service-{number}'
    route = {
        'name': name,
        'prefix': f'/{name}',
        'service': service or name,
        'timeout_seconds': timeout_seconds,
    }
    return {f'bench/routes/{name}': dumps(route).encode()}


def change_one_route(mesh, turn):
    """Change the timeout of one route; return the revision."""
    return mesh.write_settings(
        route_change(turn % SERVICES, timeout_of_turn(turn))
    )


def timeout_of_turn(turn):
    """Return a valid timeout in seconds that differs between turns."""
    return 6.0 + turn % DISTINCT_TIMEOUTS


class InvariantChecker:
    """Counts violated invariants after every tick of every node.

    A process never returns to an older revision, a revision has the same
    content on all nodes, and each route has its service.
    """

    def __init__(self, mesh):
        self.revision_by_process = {}
        self.went_back = 0
        self.dangling_routes = 0
        self.applied_in_part = 0
        self.digest_by_revision = {}
        mesh.observers.append(self.observe)

    def observe(self, node):
        """Check the configuration of a node against earlier ones."""
        configuration = node.knowledge.configuration
        process = (node.settings.node_id, node.facts.own.incarnation)
        self.went_back += (
            configuration.revision < self.revision_by_process.get(process, 0)
        )
        if configuration.revision == self.revision_by_process.get(process):
            return
        self.revision_by_process[process] = configuration.revision
        digest = configuration.snapshot.digest
        expected = self.digest_by_revision.setdefault(
            configuration.revision, digest
        )
        self.applied_in_part += expected != digest
        self.dangling_routes += any(
            route.service not in configuration.services
            for route in configuration.routes
        )

    def figures(self):
        """Return the counts by the names of the figures."""
        return {
            'went_back': self.went_back,
            'dangling_routes': self.dangling_routes,
            'applied_in_part': self.applied_in_part,
        }

    @staticmethod
    def bounds():
        """Return the bounds of the figures: zero."""
        names = ('went_back', 'dangling_routes', 'applied_in_part')
        return dict.fromkeys(names, ZERO_BOUND)


def run_scenario(seed, nodes, scenario):
    """Run a scenario on a fake mesh, and check the invariants.

    :param nodes: the number of nodes.
    :param scenario: a coroutine function of (mesh, random) that returns
        figures.
    :returns: the figures, with those of the invariants.
    """

    async def main(clock):
        mesh = await start_fake_mesh(
            clock, seed, nodes, ZONES, build_changes()
        )
        checker = InvariantChecker(mesh)
        figures = await scenario(mesh, Random(seed))
        return {**figures, **checker.figures()}

    return run_on_virtual_clock(main)


def build_result(
    figures, name='seconds_to_all', maximum=MAX_CONVERGENCE_SECONDS
):
    """Return the Result of figures, with the bounds of the invariants.

    :param name: the figure that has a maximum.
    :param maximum: its maximum.
    """
    return Result(
        figures, {name: Bound(maximum=maximum), **InvariantChecker.bounds()}
    )


def count_platform_calls(mesh):
    """Return the number of calls to the platform so far."""
    return sum(mesh.platform.counts.values())
