"""Put fakes at a node's interfaces: clock, peers, platform.

For tests and for the bench's policy cases. Real nodes' decisions run on a
virtual clock that jumps to the next timer; messages pass through the real
codecs and can be delayed, lost, repeated, reordered and cut.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from json import dumps
from random import Random
from selectors import DefaultSelector

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.fetchers import apply_events
from poplarrack.fetchers import read_configuration
from poplarrack.joiners import join
from poplarrack.messages import CODECS
from poplarrack.nodes import Node
from poplarrack.nodes import NodeDependencies
from poplarrack.nodes import TICK_SECONDS
from poplarrack.peer_handlers import bind_handlers
from poplarrack.platforms import CONFIGURATION_PREFIX
from poplarrack.platforms import PlatformClient
from poplarrack.platforms import raise_for_status
from poplarrack.settings import NodeSettings
from poplarrack.settings import PlatformSettings
from poplarrack.stand_ins.platforms import PlatformStandIn

EPOCH_SECONDS = 1_000_000.0
ZONE_DELAY_SECONDS = 0.001
REGION_DELAY_SECONDS = 0.030
PEER_TIMEOUT_SECONDS = 0.8
FETCH_POLL_SECONDS = 0.05
MESSAGE_HEADER_BYTES = 150


class VirtualClock:
    """The time of a virtual loop, in seconds."""

    def __init__(self):
        self.now = EPOCH_SECONDS

    def __call__(self):
        """Return the present time."""
        return self.now


class _TimeSkippingSelector(DefaultSelector):
    """A selector that moves the clock instead of waiting."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock

    def select(self, timeout=None):
        events = super().select(0)
        if not events and timeout is None:
            raise RuntimeError('nothing is left to wait for')
        if not events and timeout > 0:
            self.clock.now += timeout
        return events


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """An event loop on a virtual clock."""

    def __init__(self, clock):
        super().__init__(_TimeSkippingSelector(clock))
        self.clock = clock

    def time(self):
        """Return the virtual time."""
        return self.clock.now


def run_on_virtual_clock(build):
    """Run ``build(clock)``, a coroutine function, on a virtual loop."""
    clock = VirtualClock()
    loop = VirtualClockLoop(clock)
    try:
        return loop.run_until_complete(build(clock))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


class DirectPlatformClient(PlatformClient):
    """The real client, its HTTP replaced by a call of the stand-in."""

    def __init__(self, platform, random, clock):
        super().__init__(('stand-in:0',), random, clock)
        self.platform = platform
        self.sleep = lambda seconds: None
        self.disconnected = False

    def _send(self, method, path, body, options):
        if self.disconnected:
            raise PoplarrackError(ErrorKind.PLATFORM_UNAVAILABLE, 'cut off')
        status, answer = self.platform.answer(path, body)
        raise_for_status(path, status)
        return _Response(dumps(answer))


@dataclass(frozen=True)
class _Response:
    data: str


class FakeFetcher:
    """Follows the stand-in's store on the virtual loop."""

    def __init__(self, node, client, mesh):
        self.node = node
        self.client = client
        self.mesh = mesh
        self.stopped = False
        self.first = None

    def start(self):
        """Start following."""
        self.node.start_task(self.run())

    def stop(self):
        """End with the next poll."""
        self.stopped = True

    async def run(self):
        """Read, then poll for events, which stands in for the watch."""
        snapshot, seen = None, 0
        while not self.stopped:
            try:
                snapshot, seen = self._follow(snapshot, seen)
            except PoplarrackError as error:
                self.node.record_platform_call(False, error.detail)
            await asyncio.sleep(FETCH_POLL_SECONDS)

    def _follow(self, snapshot, seen):
        if self.client.disconnected or self.client.platform.faults.outage:
            raise PoplarrackError(ErrorKind.PLATFORM_UNAVAILABLE, 'no watch')
        store = self.client.platform.store
        if snapshot is None:
            snapshot, seen = read_configuration(self.client)
            self.first = self.first or snapshot
            self.node.on_snapshot(snapshot)
        try:
            events = store.events_after(seen, CONFIGURATION_PREFIX)
        except PoplarrackError:
            return None, 0
        if events:
            snapshot = apply_events(snapshot, events)
            self.node.on_snapshot(snapshot)
        stale = self.mesh.injected_faults.stale_read_rate
        if stale and self.mesh.random.random() < stale:
            self.node.on_snapshot(self.first)
        self.node.record_platform_call(True, '')
        return snapshot, store.revision


@dataclass
class FaultInjection:
    """Faults injected into messages and reads; rates from 0 to 1.

    ``stale_read_rate`` is the chance that a poll of the platform returns
    the first configuration that the node read. ``is_partitioned`` takes the
    (region, zone) of two nodes and returns whether they are partitioned.
    """

    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    max_extra_delay_seconds: float = 0.0
    stale_read_rate: float = 0.0
    is_partitioned: object = None


@dataclass
class TrafficTotals:
    """Control messages and bytes, headers estimated."""

    messages: Counter = field(default_factory=Counter)
    bytes: Counter = field(default_factory=Counter)
    cross_region_bytes: int = 0

    def add(self, source, target, size, crosses):
        """Count one message."""
        size += MESSAGE_HEADER_BYTES
        self.messages[source] += 1
        self.bytes[source] += size
        self.bytes[target] += size
        if crosses:
            self.cross_region_bytes += size


class FakePeerClient:
    """One node's way to the others."""

    def __init__(self, mesh, node_id):
        self.mesh = mesh
        self.node_id = node_id

    async def call(self, address, method, message):
        """Carry a message and its answer through the real codecs."""
        mesh = self.mesh
        request_codec, answer_codec = CODECS[method]
        raw = request_codec.encode(message)
        await mesh.travel(self.node_id, address, raw)
        handle = mesh.handlers[address][method]
        answer = await handle(request_codec.decode(raw))
        if mesh.random.random() < mesh.injected_faults.duplicate_rate:
            await asyncio.sleep(mesh.random.random())
            if address in mesh.handlers:
                await handle(request_codec.decode(raw))
        packed = answer_codec.encode(answer)
        await mesh.travel(address, self.node_id, packed)
        return answer_codec.decode(packed)


class FakeMesh:
    """Nodes on fakes; a node's address is its id."""

    def __init__(self, clock, seed, platform_region='south'):
        self.clock = clock
        self.random = Random(seed)
        self.platform_region = platform_region
        self.platform = PlatformStandIn(clock, 1e9, 1e9)
        self.nodes = {}
        self.handlers = {}
        self.platform_clients = {}
        self.tickers = {}
        self.paused_nodes = set()
        self.injected_faults = FaultInjection()
        self.traffic = TrafficTotals()
        self.observers = []

    async def travel(self, source, target, raw):
        """Let a message travel, or never arrive."""
        start, end = self._place(source), self._place(target)
        cut = self.injected_faults.is_partitioned
        gone = target not in self.handlers or target in self.paused_nodes
        apart = bool(cut and end and start and cut(start, end))
        if (
            gone
            or apart
            or self.random.random() < self.injected_faults.loss_rate
        ):
            await asyncio.sleep(PEER_TIMEOUT_SECONDS)
            raise PoplarrackError(ErrorKind.PEER_UNAVAILABLE, target)
        crosses = start is not None and start[0] != end[0]
        self.traffic.add(source, target, len(raw), crosses)
        delay = REGION_DELAY_SECONDS if crosses else ZONE_DELAY_SECONDS
        late = (
            self.injected_faults.max_extra_delay_seconds * self.random.random()
        )
        await asyncio.sleep(delay + late)
        if target not in self.handlers:
            raise PoplarrackError(ErrorKind.PEER_UNAVAILABLE, target)

    def _place(self, node_id):
        node = self.nodes.get(node_id)
        return node and (node.settings.region, node.settings.zone)

    def add_node(self, node_id, region, zone, seeds=()):
        """Start a node; it joins in the background."""
        settings = NodeSettings(
            node_id,
            region,
            zone,
            node_id,
            '127.0.0.1:1',
            '127.0.0.1:2',
            node_id,
            PlatformSettings(('stand-in:0',), self.platform_region),
            tuple(seeds),
        )
        client = DirectPlatformClient(
            self.platform, Random(self.random.random()), self.clock
        )
        dependencies = NodeDependencies(
            FakePeerClient(self, node_id),
            client,
            self._run_blocking,
            lambda node: FakeFetcher(node, client, self),
            self.clock,
            Random(self.random.random()),
        )
        node = Node(settings, dependencies)
        self.nodes[node_id] = node
        self.platform_clients[node_id] = client
        self.handlers[node_id] = bind_handlers(node)
        loop = asyncio.get_running_loop()
        self.tickers[node_id] = loop.create_task(self._live(node))
        return node

    async def _run_blocking(self, function, *arguments):
        await asyncio.sleep(ZONE_DELAY_SECONDS)
        return function(*arguments)

    async def _live(self, node):
        node.update_own(node.facts.own)
        await join(node)
        while True:
            if node.settings.node_id not in self.paused_nodes:
                node.tick()
            for observe in self.observers:
                observe(node)
            await asyncio.sleep(TICK_SECONDS)

    def kill_node(self, node_id):
        """End a node without a word."""
        self.tickers.pop(node_id).cancel()
        node = self.nodes.pop(node_id)
        del self.handlers[node_id]
        if node.fetcher is not None:
            node.fetcher.stop()
        for task in list(node.tasks):
            task.cancel()

    def write_settings(self, changes):
        """Write settings as a raw client would, unchecked."""
        operations = [
            {'key': CONFIGURATION_PREFIX + path, 'value': value}
            for path, value in changes.items()
        ]
        return self.platform.write_raw(operations)

    def applied_revisions(self):
        """Return the revision in force on each node."""
        return {
            node_id: node.knowledge.configuration.revision
            for node_id, node in self.nodes.items()
        }

    async def await_condition(self, condition, seconds):
        """Wait in virtual time; return the seconds until it held.

        :raises PoplarrackError: TIMED_OUT.
        """
        began = self.clock()
        while not condition():
            if self.clock() - began > seconds:
                raise PoplarrackError(
                    ErrorKind.TIMED_OUT, f'no condition in {seconds} s'
                )
            await asyncio.sleep(0.01)
        return self.clock() - began

    async def await_revision(self, revision, seconds, node_ids=None):
        """Wait until nodes serve a revision; return the seconds."""

        def reached():
            wanted = self.nodes if node_ids is None else node_ids
            return all(
                self.nodes[node_id].knowledge.configuration.revision
                >= revision
                for node_id in wanted
                if node_id in self.nodes
            )

        return await self.await_condition(reached, seconds)


def spread_over_zones(count, zones):
    """Yield (node id, region, zone) for nodes spread over zones."""
    for number in range(count):
        region, zone = zones[number % len(zones)]
        yield f'{zone}-{number}', region, zone


async def start_fake_mesh(clock, seed, count, zones, changes):
    """Start nodes with settings in force everywhere; return the mesh."""
    mesh = FakeMesh(clock, seed)
    revision = mesh.write_settings(changes)
    seeds = []
    for node_id, region, zone in spread_over_zones(count, zones):
        mesh.add_node(node_id, region, zone, seeds[-3:])
        seeds.append(node_id)
        await asyncio.sleep(0.02)

    def settled():
        return all(
            sum(m.present for m in node.knowledge.members.members.values())
            == count
            for node in mesh.nodes.values()
        )

    await mesh.await_revision(revision, 60)
    await mesh.await_condition(settled, 60)
    await asyncio.sleep(3)
    return mesh
