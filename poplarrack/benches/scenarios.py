"""Build meshes on fakes for bench cases, and watch the promises."""

from json import dumps
from random import Random

from poplarrack.benches.cases import Bound
from poplarrack.benches.cases import Result
from poplarrack.stand_ins.fakes import run_on_virtual_clock
from poplarrack.stand_ins.fakes import start_fake_mesh

IN_FORCE_SECONDS = 5.0
NODE_BYTES_PER_SECOND = 3000
PLATFORM_CALLS_PER_SECOND = 2000
SERVICES = 51
# Timeouts of a route stay under the bound of the configuration.
TIMEOUT_TURNS = 500
ZONES = (
    ('south', 'a'),
    ('south', 'b'),
    ('south', 'c'),
    ('north', 'd'),
    ('north', 'e'),
)
NONE = Bound(most=0)


def build_changes(services=SERVICES):
    """Return settings of services, each with a route."""
    changes = {}
    for number in range(services):
        name = f'service-{number}'
        service = {'name': name, 'version': 'v1'}
        changes[f'bench/services/{name}'] = dumps(service).encode()
        changes.update(route_change(number, 5.0))
    return changes


def route_change(number, timeout_seconds, service=None):
    """Return a change of one route, to its own service unless one is given."""
    name = f'service-{number}'
    route = {
        'name': name,
        'prefix': f'/{name}',
        'service': service or name,
        'timeout_seconds': timeout_seconds,
    }
    return {f'bench/routes/{name}': dumps(route).encode()}


def change_one(mesh, turn):
    """Change one route as an operator would; return the revision."""
    return mesh.write_settings(
        route_change(turn % SERVICES, timeout_of_turn(turn))
    )


def timeout_of_turn(turn):
    """Return a valid timeout in seconds that differs from turn to turn."""
    return 6.0 + turn % TIMEOUT_TURNS


class Witness:
    """Count broken promises after every tick of every node."""

    def __init__(self, mesh):
        self.revisions = {}
        self.went_back = 0
        self.dangling = 0
        self.in_part = 0
        self.digests = {}
        mesh.observers.append(self.observe)

    def observe(self, node):
        """Check a node's version against what it and others had."""
        configuration = node.knowledge.configuration
        name = (node.settings.node_id, node.facts.own.incarnation)
        self.went_back += configuration.revision < self.revisions.get(name, 0)
        if configuration.revision == self.revisions.get(name):
            return
        self.revisions[name] = configuration.revision
        digest = configuration.snapshot.digest
        first = self.digests.setdefault(configuration.revision, digest)
        self.in_part += first != digest
        self.dangling += any(
            route.service not in configuration.services
            for route in configuration.routes
        )

    def figures(self):
        """Return the counts by figure name."""
        return {
            'went_back': self.went_back,
            'dangling_routes': self.dangling,
            'applied_in_part': self.in_part,
        }

    @staticmethod
    def bounds():
        """Return the bounds of zero."""
        names = ('went_back', 'dangling_routes', 'applied_in_part')
        return dict.fromkeys(names, NONE)


def on_fakes(seed, nodes, scenario):
    """Run a scenario of (mesh, witness, random) to its figures."""

    async def build(clock):
        mesh = await start_fake_mesh(
            clock, seed, nodes, ZONES, build_changes()
        )
        witness = Witness(mesh)
        figures = await scenario(mesh, Random(seed))
        return {**figures, **witness.figures()}

    return run_on_virtual_clock(build)


def held_within(figures, name='seconds_to_all', most=IN_FORCE_SECONDS):
    """Return a result with the bound on time and those of zero."""
    return Result(figures, {name: Bound(most=most), **Witness.bounds()})


def platform_calls(mesh):
    """Return the calls to the platform so far."""
    return sum(mesh.platform.counts.values())
