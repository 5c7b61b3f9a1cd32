"""Measure moves on nodes on fakes: cut zones and several at once."""

import asyncio
from json import dumps

from poplarrack.benches.cases import bench_case
from poplarrack.benches.cases import Bound
from poplarrack.benches.cases import Result
from poplarrack.benches.faults import cut_off
from poplarrack.benches.scenarios import NONE
from poplarrack.benches.scenarios import ZONES
from poplarrack.evidence import Side
from poplarrack.members import Endpoint
from poplarrack.members import EndpointState
from poplarrack.moves import build_move
from poplarrack.resources import encode_resource
from poplarrack.resources import MoveState
from poplarrack.stand_ins.fakes import run_on_virtual_clock
from poplarrack.stand_ins.fakes import start_fake_mesh

WINDOW_SECONDS = 120.0
CALLS_A_SECOND_A_NODE = 40
BASE_FAILURES = 0.002
BRAKE_SECONDS = 20.0


class MovingMesh:
    """A mesh on fakes whose nodes count drawn calls during moves."""

    def __init__(self, mesh, services):
        self.mesh = mesh
        self.services = services
        self.faults = {}
        self.running = asyncio.get_running_loop().create_task(self._run())

    def start_moves(self):
        """Write a move of each service to the platform."""
        now = self.mesh.clock()
        changes = {}
        for service in self.services:
            move = build_move(
                service, 'v1', 'v2', now + WINDOW_SECONDS, 'balanced', now
            )
            changes[f'bench/moves/{service}'] = encode_resource(move)
        return self.mesh.write_settings(changes)

    async def _run(self):
        """Announce servers and count calls, each second."""
        while True:
            for number, node in enumerate(list(self.mesh.nodes.values())):
                self._announce(node, number)
                self._count_calls(node)
            await asyncio.sleep(1.0)

    def _announce(self, node, number):
        service = self.services[number % len(self.services)]
        version = 'v1' if number // len(self.services) % 2 else 'v2'
        held = node.facts.own.endpoint
        since = held.announced_at if held else self.mesh.clock() - 60
        node.announce(
            Endpoint(
                service,
                version,
                f'server-{node.settings.node_id}:1',
                10,
                110,
                EndpointState.SERVING,
                since,
            )
        )

    def _count_calls(self, node):
        """Draw a second's calls of a node by the share that it serves."""
        random = self.mesh.random
        for service, move in node.dispatcher.table.moves.items():
            stage = round(move.share * 1000)
            bad = self.faults.get((service, node.settings.zone), 0.0)
            for _ in range(CALLS_A_SECOND_A_NODE):
                new = random.random() < move.share
                chance = bad if new else BASE_FAILURES
                failed = random.random() < max(chance, BASE_FAILURES)
                side = Side.NEW if new else Side.OLD
                key = (move.move_id, service, side, 0, stage)
                latency = None if failed else 0.02 * random.uniform(0.5, 2)
                now = self.mesh.clock()
                node.dispatcher.evidence.record(key, failed, latency, now)

    def record_of(self, node, service):
        """Return a service's move as a node holds it."""
        return node.knowledge.configuration.moves.get(service)

    def shares(self, service, node_ids):
        """Return the largest share that some nodes serve."""
        served = [
            self.mesh.nodes[name].dispatcher.table.moves.get(service)
            for name in node_ids
        ]
        return max((move.share for move in served if move), default=0.0)


def build_services(names):
    """Return settings of services that call one after another."""
    changes = {}
    for name, called in zip(names, (*names[1:], None)):
        service = {'name': name, 'version': 'v1', 'warm_up_seconds': 1.0}
        service['calls'] = [called] if called else []
        route = {'name': name, 'prefix': f'/{name}', 'service': name}
        changes[f'bench/services/{name}'] = dumps(service).encode()
        changes[f'bench/routes/{name}'] = dumps(route).encode()
    return changes


def on_moving_mesh(seed, names, scenario, nodes=20):
    """Run a scenario of a MovingMesh to its figures."""

    async def build(clock):
        mesh = await start_fake_mesh(
            clock, seed, nodes, ZONES, build_services(names)
        )
        moving = MovingMesh(mesh, names)
        await asyncio.sleep(3)
        return await scenario(moving)

    return run_on_virtual_clock(build)


async def await_share(moving, service, share):
    """Wait until a share is served somewhere."""
    await moving.mesh.wait_until(
        lambda: moving.shares(service, moving.mesh.nodes) >= share,
        WINDOW_SECONDS,
    )


@bench_case('move-during-cut')
def move_during_cut(seed):
    """A version bad in a zone that is cut off: braked there, then all."""

    async def scenario(moving):
        mesh = moving.mesh
        zone = ZONES[seed % len(ZONES)]
        moving.start_moves()
        await await_share(moving, 'till', 0.05)
        names = cut_off(mesh, lambda place: place == zone, True)
        moving.faults[('till', zone[1])] = 0.5
        braked = await mesh.wait_until(
            lambda: moving.shares('till', names) == 0.0, 60
        )
        others = [name for name in mesh.nodes if name not in names]
        await asyncio.sleep(10)
        advanced = moving.shares('till', others)
        came_back = moving.shares('till', names)
        cut_off(mesh, lambda place: place == zone, False)
        withdrawn = await mesh.wait_until(
            lambda: all(
                moving.record_of(node, 'till').state is MoveState.WITHDRAWN
                for node in mesh.nodes.values()
            ),
            60,
        )
        return {
            'seconds_to_share_0_inside': braked,
            'share_inside_after': came_back,
            'share_outside_meanwhile': advanced,
            'seconds_to_withdrawn_after_healing': withdrawn,
        }

    figures = on_moving_mesh(seed, ('till',), scenario)
    bounds = {
        'seconds_to_share_0_inside': Bound(most=BRAKE_SECONDS),
        'share_inside_after': NONE,
        'seconds_to_withdrawn_after_healing': Bound(most=BRAKE_SECONDS),
    }
    return Result(figures, bounds)


@bench_case('two-moves')
def two_moves(seed):
    """Two services that call each other move; one version is bad."""

    async def scenario(moving):
        mesh = moving.mesh
        moving.start_moves()
        bad = ('front', 'till')[seed % 2]
        good = ('till', 'front')[seed % 2]
        await await_share(moving, bad, 0.02)
        for _, zone in ZONES:
            moving.faults[(bad, zone)] = 0.3
        began = mesh.clock()
        seconds = await mesh.wait_until(
            lambda: moving.shares(bad, mesh.nodes) == 0.0, 60
        )
        left = WINDOW_SECONDS + 10 - (mesh.clock() - began)
        await asyncio.sleep(left)
        node = next(iter(mesh.nodes.values()))
        done = moving.record_of(node, good)
        taken = moving.record_of(node, bad)
        return {
            'seconds_to_share_0': seconds,
            'bad_taken_back': float(taken.state is MoveState.WITHDRAWN),
            'good_completed_in_time': float(
                done.state is MoveState.COMPLETED
                and done.ended_at <= done.complete_by
            ),
        }

    figures = on_moving_mesh(seed, ('front', 'till'), scenario)
    bounds = {
        'seconds_to_share_0': Bound(most=BRAKE_SECONDS),
        'bad_taken_back': Bound(least=1),
        'good_completed_in_time': Bound(least=1),
    }
    return Result(figures, bounds)
