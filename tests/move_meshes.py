"""A mesh whose nodes judge a move on simulated calls.

The nodes, their messages and the store are those of ``FakeMesh``. The
calls are drawn at random and recorded as evidence by the node that sends
them, at the share that is in force there.
"""

import asyncio
from dataclasses import dataclass
from operator import itemgetter
from random import Random

from poplarrack.errors import PoplarrackError
from poplarrack.evidence import Side
from poplarrack.evidence import stage_of
from poplarrack.move_records import build_move
from poplarrack.moves import effective_share
from poplarrack.resources import encode_resource
from poplarrack.stand_ins.fakes import run_on_virtual_clock
from poplarrack.stand_ins.fakes import start_fake_mesh
from tests.samples import endpoint
from tests.samples import route_json
from tests.samples import service_json

ZONES = (('south', 'a'), ('south', 'b'), ('north', 'd'), ('north', 'e'))
NODES = 12
CALLS_PER_SECOND = 240.0
STEP_SECONDS = 0.1
ANNOUNCE_SECONDS = 1.0
CALL_SECONDS = 0.16
BASE_FAILURE_RATE = 0.01
# As a fraction of each endpoint's calls once the version has turned bad.
BAD_FAILURE_RATE = 0.5
PATH = 't/moves/front'
SETTINGS = {
    't/services/front': service_json(version='', warm_up_seconds=1.0),
    't/routes/front': route_json(),
}


@dataclass(frozen=True)
class Regression:
    """When calls to the new version fail.

    They fail once its endpoints have run for ``after_seconds`` and the new
    version gets at least ``above_share`` of the calls.
    """

    above_share: float = 2.0
    after_seconds: float = 0.0


GOOD = Regression()


class MovingMesh:
    """A FakeMesh with a move of its one service, and the calls to it.

    Every node has an endpoint: those with an even number the old version,
    the others the new one.

    :param mesh: the FakeMesh.
    :param regression: what is wrong with the new version.
    :param window: the seconds from the order to its deadline.
    :param calls_per_second: the rate of calls of all nodes together.
    """

    def __init__(self, mesh, regression, window, calls_per_second):
        self.mesh = mesh
        self.regression = regression
        self.calls_per_second = calls_per_second
        self.random = Random(774013)
        self.localities = {
            name: (node.settings.region, node.settings.zone)
            for name, node in mesh.nodes.items()
        }
        self.started_at = dict.fromkeys(mesh.nodes, mesh.clock())
        self.calls_arrive = True
        self.window = window
        now = mesh.clock()
        self.ordered_at = now
        self.deadline = now + window
        self.calls_to_new = []
        record = build_move(
            'front', '', 'v2', self.deadline, 'replace_at_end', now
        )
        mesh.write_settings({PATH: encode_resource(record)})
        self.shares = []
        self.task = asyncio.get_running_loop().create_task(self._run())

    @property
    def record(self):
        """Return the move's record as a node with the newest one has it."""
        configurations = [
            node.knowledge.configuration for node in self.mesh.nodes.values()
        ]
        _, moves = max(
            ((item.revision, item.moves) for item in configurations),
            key=itemgetter(0),
            default=(0, {}),
        )
        return moves.get('front')

    @property
    def verdicts(self):
        """Return the number of nodes with a verdict on the move."""
        return sum(
            bool(node.knowledge.verdicts) for node in self.mesh.nodes.values()
        )

    async def _run(self):
        announced_at = 0.0
        while True:
            now = self.mesh.clock()
            if now - announced_at >= ANNOUNCE_SECONDS:
                announced_at = now
                self._announce()
            for node in list(self.mesh.nodes.values()):
                self._send_calls(node, now)
            record = self.record
            if record is not None and (
                not self.shares or self.shares[-1] != record.share
            ):
                self.shares.append(record.share)
            await asyncio.sleep(STEP_SECONDS)

    def _announce(self):
        for number, name in enumerate(self.localities):
            if name not in self.mesh.nodes:
                continue
            self.mesh.nodes[name].announce(
                endpoint(
                    f'127.0.0.1:{number}',
                    f'v{number % 2 + 1}',
                    slots=40,
                    announced_at=self.started_at[name],
                )
            )

    def _send_calls(self, node, now):
        configuration = node.knowledge.configuration
        record = configuration.moves.get('front')
        if record is None or not node.ready:
            return
        share = effective_share(record, node.knowledge.verdicts)
        rate = self.calls_per_second / NODES * self.calls_arrive
        busy = rate * CALL_SECONDS
        node.dispatcher.busy = lambda: {
            ('front', 'v1'): busy * (1 - share),
            ('front', 'v2'): busy * share,
        }
        mean = rate * STEP_SECONDS
        calls = int(mean) + (self.random.random() < mean % 1)
        for _ in range(calls):
            to_new = self.random.random() < share
            failed = self.random.random() < (
                self._failure_rate(share, now) if to_new else BASE_FAILURE_RATE
            )
            if to_new:
                self.calls_to_new.append((now, failed))
            if not record.state.ended:
                node.dispatcher.evidence.record(
                    (
                        record.move_id,
                        'front',
                        Side.NEW if to_new else Side.OLD,
                        0,
                        stage_of(share),
                    ),
                    failed,
                    None if failed else CALL_SECONDS,
                    now,
                )

    def _age(self, now):
        """Return for how long the servers of the new version have run."""
        return now - max(
            self.started_at[name] for name in list(self.localities)[1::2]
        )

    def _failure_rate(self, share, now):
        bad = (
            share >= self.regression.above_share
            and self._age(now) >= self.regression.after_seconds
        )
        return BAD_FAILURE_RATE if bad else BASE_FAILURE_RATE

    def turn_bad(self):
        """Make the new version fail from now on.

        If its servers restart, it fails again once they have run as long.
        """
        self.regression = Regression(0.0, self._age(self.mesh.clock()))

    async def lose_power(self, seconds, store_away_seconds=0.0):
        """Stop all nodes and endpoints; start them after some seconds.

        :param store_away_seconds: for how long the store is unavailable to
            the nodes after their start.
        """
        for name in self.localities:
            self.mesh.kill_node(name)
        await asyncio.sleep(seconds)
        now = self.mesh.clock()
        self.started_at = dict.fromkeys(self.localities, now)
        for name, locality in self.localities.items():
            self.mesh.add_node(name, *locality)
        self._connect_store(store_away_seconds <= 0)
        await asyncio.sleep(store_away_seconds)
        self._connect_store(True)
        await self.mesh.wait_until(lambda: self.record is not None, 10)

    def _connect_store(self, connected):
        for client in self.mesh.platform_clients.values():
            client.disconnected = not connected

    @property
    def worker(self):
        """Return the name of the node that writes the move."""
        return next(
            name
            for name, node in self.mesh.nodes.items()
            if node.facts.topology.is_worker
        )

    async def restart_nodes(self, names, seconds=1.0):
        """Kill nodes at the same time; start them after some seconds."""
        for name in names:
            self.mesh.kill_node(name)
        await asyncio.sleep(seconds)
        for name in names:
            self.mesh.add_node(name, *self.localities[name])

    async def wait_for_share(self, share):
        """Wait until the record has a share or a larger one."""
        await self.mesh.wait_until(
            lambda: self.record and self.record.share >= share, self.window
        )

    async def wait_for_end(self, seconds):
        """Wait until the move has ended; return its record."""
        try:
            await self.mesh.wait_until(
                lambda: self.record.state.ended, seconds
            )
        except PoplarrackError as error:
            raise AssertionError(self.record.log) from error
        return self.record


def on_moving_mesh(
    regression=GOOD, window=60.0, calls_per_second=CALLS_PER_SECOND
):
    """Make a test function of a coroutine function that takes a MovingMesh.

    :param regression: what is wrong with the new version.
    :param window: the seconds from the order to its deadline.
    :param calls_per_second: the rate of calls of all nodes together.
    """

    def decorate(test):
        async def build(clock):
            mesh = await start_fake_mesh(clock, 7, NODES, ZONES, SETTINGS)
            moving = MovingMesh(mesh, regression, window, calls_per_second)
            await test(moving)

        def wrapped():
            run_on_virtual_clock(build)

        wrapped.__name__ = test.__name__
        wrapped.__module__ = test.__module__
        return wrapped

    return decorate
