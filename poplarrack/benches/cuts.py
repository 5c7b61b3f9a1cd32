"""Bench cases of moves on nodes on fakes: partitions, concurrent moves."""

import asyncio
from json import dumps

from poplarrack.benches.cases import bench_case
from poplarrack.benches.cases import Bound
from poplarrack.benches.cases import Result
from poplarrack.benches.faults import set_partition
from poplarrack.benches.scenarios import ZERO_BOUND
from poplarrack.benches.scenarios import ZONES
from poplarrack.evidence import Side
from poplarrack.members import Endpoint
from poplarrack.members import EndpointState
from poplarrack.move_records import build_move
from poplarrack.resources import encode_resource
from poplarrack.resources import MoveState
from poplarrack.stand_ins.fakes import run_on_virtual_clock
from poplarrack.stand_ins.fakes import start_fake_mesh

MOVE_SECONDS = 120.0
CALLS_PER_SECOND_PER_NODE = 40
BASE_FAILURE_RATE = 0.002
MEAN_CALL_SECONDS = 0.02
MAX_HALT_SECONDS = 20.0


class MovingMesh:
    """A fake mesh whose nodes count simulated calls during moves.

    ``failure_rates`` holds the failure rate of the new version by service
    and zone, where it is not the base rate.
    """

    def __init__(self, mesh, services):
        self.mesh = mesh
        self.services = services
        self.failure_rates = {}
        self.task = asyncio.get_running_loop().create_task(
            self._simulate_load()
        )

    def start_moves(self):
        """Write a move of each service to the platform."""
        now = self.mesh.clock()
        changes = {}
        for service in self.services:
            move = build_move(
                service, 'v1', 'v2', now + MOVE_SECONDS, 'balanced', now
            )
            changes[f'bench/moves/{service}'] = encode_resource(move)
        return self.mesh.write_settings(changes)

    async def _simulate_load(self):
        """Announce backend servers and count calls every second."""
        while True:
            for number, node in enumerate(list(self.mesh.nodes.values())):
                self._announce(node, number)
                self._count_calls(node)
            await asyncio.sleep(1.0)

    def _announce(self, node, number):
        service = self.services[number % len(self.services)]
        version = 'v1' if number // len(self.services) % 2 else 'v2'
        known = node.facts.own.endpoint
        announced_at = known.announced_at if known else self.mesh.clock() - 60
        node.announce(
            Endpoint(
                service,
                version,
                f'server-{node.settings.node_id}:1',
                10,
                110,
                EndpointState.SERVING,
                announced_at,
            )
        )

    def _count_calls(self, node):
        """Record the evidence of one second of simulated calls of a node."""
        random = self.mesh.random
        in_flight = {}
        node.dispatcher.busy = lambda: in_flight
        for service, move in node.dispatcher.table.moves.items():
            in_flight[(service, 'v1')] = (
                CALLS_PER_SECOND_PER_NODE * MEAN_CALL_SECONDS
            )
            stage = round(move.share * 1000)
            new_failure_rate = self.failure_rates.get(
                (service, node.settings.zone), 0.0
            )
            for _ in range(CALLS_PER_SECOND_PER_NODE):
                is_new = random.random() < move.share
                failure_rate = (
                    new_failure_rate if is_new else BASE_FAILURE_RATE
                )
                failed = random.random() < max(failure_rate, BASE_FAILURE_RATE)
                side = Side.NEW if is_new else Side.OLD
                key = (move.move_id, service, side, 0, stage)
                latency = None
                if not failed:
                    latency = MEAN_CALL_SECONDS * random.uniform(0.5, 2)
                now = self.mesh.clock()
                node.dispatcher.evidence.record(key, failed, latency, now)

    def find_move(self, node, service):
        """Return the move of a service as a node knows it, or None."""
        return node.knowledge.configuration.moves.get(service)

    def largest_share(self, service, node_ids):
        """Return the largest share of the new version on some nodes."""
        moves = [
            self.mesh.nodes[name].dispatcher.table.moves.get(service)
            for name in node_ids
        ]
        return max((move.share for move in moves if move), default=0.0)


def build_services(names):
    """Return the settings of services that each call the next, by path."""
    changes = {}
    for name, callee in zip(names, (*names[1:], None)):
        service = {'name': name, 'version': 'v1', 'warm_up_seconds': 1.0}
        service['calls'] = [callee] if callee else []
        route = {'name': name, 'prefix': f'/{name}', 'service': name}
        changes[f'bench/services/{name}'] = dumps(service).encode()
        changes[f'bench/routes/{name}'] = dumps(route).encode()
    return changes


def run_move_scenario(seed, names, scenario, nodes=20):
    """Run a scenario on a MovingMesh.

    :param names: the names of the services.
    :param scenario: a coroutine function of the MovingMesh.
    :returns: the figures that it returns.
    """

    async def main(clock):
        mesh = await start_fake_mesh(
            clock, seed, nodes, ZONES, build_services(names)
        )
        moving = MovingMesh(mesh, names)
        await asyncio.sleep(3)
        return await scenario(moving)

    return run_on_virtual_clock(main)


async def wait_for_share(moving, service, share):
    """Wait until the new version of a service has a share on some node."""
    await moving.mesh.wait_until(
        lambda: moving.largest_share(service, moving.mesh.nodes) >= share,
        MOVE_SECONDS,
    )


@bench_case('move-during-cut')
def move_during_cut(seed):
    """A version bad in a zone that is cut off: braked there, then all."""

    async def scenario(moving):
        mesh = moving.mesh
        zone = ZONES[seed % len(ZONES)]
        moving.start_moves()
        await wait_for_share(moving, 'till', 0.05)
        inside = set_partition(mesh, lambda location: location == zone, True)
        moving.failure_rates[('till', zone[1])] = 0.5
        seconds_to_halt = await mesh.wait_until(
            lambda: moving.largest_share('till', inside) == 0.0, 60
        )
        outside = [name for name in mesh.nodes if name not in inside]
        await asyncio.sleep(10)
        share_outside = moving.largest_share('till', outside)
        share_inside = moving.largest_share('till', inside)
        set_partition(mesh, lambda location: location == zone, False)
        seconds_to_withdrawal = await mesh.wait_until(
            lambda: all(
                moving.find_move(node, 'till').state is MoveState.WITHDRAWN
                for node in mesh.nodes.values()
            ),
            60,
        )
        return {
            'seconds_to_share_0_inside': seconds_to_halt,
            'share_inside_after': share_inside,
            'share_outside_meanwhile': share_outside,
            'seconds_to_withdrawn_after_healing': seconds_to_withdrawal,
        }

    figures = run_move_scenario(seed, ('till',), scenario)
    bounds = {
        'seconds_to_share_0_inside': Bound(maximum=MAX_HALT_SECONDS),
        'share_inside_after': ZERO_BOUND,
        'seconds_to_withdrawn_after_healing': Bound(maximum=MAX_HALT_SECONDS),
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
        await wait_for_share(moving, bad, 0.02)
        for _, zone in ZONES:
            moving.failure_rates[(bad, zone)] = 0.3
        started_at = mesh.clock()
        seconds = await mesh.wait_until(
            lambda: moving.largest_share(bad, mesh.nodes) == 0.0, 60
        )
        remaining = MOVE_SECONDS + 10 - (mesh.clock() - started_at)
        await asyncio.sleep(remaining)
        node = next(iter(mesh.nodes.values()))
        good_move = moving.find_move(node, good)
        bad_move = moving.find_move(node, bad)
        return {
            'seconds_to_share_0': seconds,
            'bad_taken_back': float(bad_move.state is MoveState.WITHDRAWN),
            'good_completed_in_time': float(
                good_move.state is MoveState.COMPLETED
                and good_move.ended_at <= good_move.complete_by
            ),
        }

    figures = run_move_scenario(seed, ('front', 'till'), scenario)
    bounds = {
        'seconds_to_share_0': Bound(maximum=MAX_HALT_SECONDS),
        'bad_taken_back': Bound(minimum=1),
        'good_completed_in_time': Bound(minimum=1),
    }
    return Result(figures, bounds)
