"""Fakes of a node's clock, peers and platform, and a mesh built on them.

Tests and bench cases use them to run the decisions of real nodes on a
virtual clock that skips to the next timer. Messages pass through the real
codecs; fault injection can delay, drop, duplicate and reorder them and
partition the network.
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
from poplarrack.platforms import Response
from poplarrack.settings import NodeSettings
from poplarrack.settings import PeerSettings
from poplarrack.settings import PlatformSettings
from poplarrack.stand_ins.platforms import PlatformStandIn
from poplarrack.stand_ins.platforms import UNLIMITED_PER_SECOND

# The time at which a virtual clock starts.
EPOCH_SECONDS = 1_000_000.0
# One-way delays of a message; a platform call takes the shorter one.
INTRA_REGION_DELAY_SECONDS = 0.001
CROSS_REGION_DELAY_SECONDS = 0.030
PEER_TIMEOUT_SECONDS = 0.8
FETCH_POLL_SECONDS = 0.05
# Estimated size of the headers of a message.
MESSAGE_HEADER_BYTES = 150


class VirtualClock:
    """Clock of a VirtualClockLoop, in seconds."""

    def __init__(self):
        self.now = EPOCH_SECONDS

    def __call__(self):
        """Return the current time in seconds."""
        return self.now


class _TimeSkippingSelector(DefaultSelector):
    """A selector that advances the clock instead of blocking."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock

    def select(self, timeout=None):
        events = super().select(0)
        if not events and timeout is None:
            raise RuntimeError('event loop has neither timers nor events')
        if not events and timeout > 0:
            self.clock.now += timeout
        return events


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """An event loop that runs on a virtual clock."""

    def __init__(self, clock):
        super().__init__(_TimeSkippingSelector(clock))
        self.clock = clock

    def time(self):
        """Return the virtual time in seconds."""
        return self.clock.now


def run_on_virtual_clock(main):
    """Run a coroutine function on an event loop with a virtual clock.

    :param main: the coroutine function; it is called with the clock.
    :returns: the result of ``main``.
    """
    clock = VirtualClock()
    loop = VirtualClockLoop(clock)
    try:
        return loop.run_until_complete(main(clock))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


class DirectPlatformClient(PlatformClient):
    """Platform client that calls the stand-in directly instead of by HTTP."""

    def __init__(self, platform, random, clock):
        super().__init__(('stand-in:0',), random, clock)
        self.platform = platform
        self.sleep = lambda seconds: None
        self.disconnected = False

    def _send(self, method, path, body, timeout, streams):
        if self.disconnected:
            raise PoplarrackError(
                ErrorKind.PLATFORM_UNAVAILABLE, 'client is disconnected'
            )
        status, answer = self.platform.answer(path, body)
        raise_for_status(path, status)
        return Response(dumps(answer).encode())


class FakeFetcher:
    """Fetcher that polls the store of the stand-in instead of watching it."""

    def __init__(self, node, client, mesh):
        self.node = node
        self.client = client
        self.mesh = mesh
        self.stopped = False
        self.first_read = None

    def start(self):
        """Start the polling task."""
        self.node.start_task(self.run())

    def stop(self):
        """Stop before the next poll."""
        self.stopped = True

    async def run(self):
        """Read the configuration, then poll for events in place of a watch."""
        snapshot, revision = None, 0
        while not self.stopped:
            try:
                snapshot, revision = self._poll(snapshot, revision)
            except PoplarrackError as error:
                self.node.record_platform_call(False, error.detail)
            await asyncio.sleep(FETCH_POLL_SECONDS)

    def _poll(self, snapshot, revision):
        if self.client.disconnected or self.client.platform.faults.outage:
            raise PoplarrackError(
                ErrorKind.PLATFORM_UNAVAILABLE, 'watch is not available'
            )
        store = self.client.platform.store
        if snapshot is None:
            snapshot, revision = read_configuration(self.client)
            self.first_read = self.first_read or (snapshot, revision)
            self.node.on_snapshot(snapshot, revision)
        try:
            events = store.events_after(revision, CONFIGURATION_PREFIX)
        except PoplarrackError:
            return None, 0
        if events:
            snapshot = apply_events(snapshot, events)
            self.node.on_snapshot(snapshot)
        rate = self.mesh.injected_faults.stale_read_rate
        if rate and self.mesh.random.random() < rate:
            self.node.on_snapshot(*self.first_read)
        self.node.record_platform_call(True, '')
        return snapshot, store.revision


@dataclass
class FaultInjection:
    """Faults injected into messages and reads; rates from 0 to 1.

    ``stale_read_rate`` is the chance that a poll of the platform returns
    the first configuration that the node read. ``is_partitioned`` takes the
    (region, zone) of two nodes and returns whether they are partitioned.
    ``cut_nodes`` are cut off from all other nodes and the platform. The
    platform refuses the calls of ``turned_away`` and does not answer those of
    ``unanswered``, nor watches that began before ``watches_silent_at``.
    """

    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    max_extra_delay_seconds: float = 0.0
    stale_read_rate: float = 0.0
    is_partitioned: object = None
    cut_nodes: set = field(default_factory=set)
    turned_away: set = field(default_factory=set)
    unanswered: set = field(default_factory=set)
    watches_silent_at: float = 0.0


@dataclass
class TrafficTotals:
    """Messages sent, and bytes sent and received, by node.

    Each message counts with its estimated headers.
    """

    messages: Counter = field(default_factory=Counter)
    bytes: Counter = field(default_factory=Counter)
    cross_region_bytes: int = 0

    def record_message(self, source, target, size, crosses_regions):
        """Add a message to the totals.

        :param size: its payload in bytes.
        """
        size += MESSAGE_HEADER_BYTES
        self.messages[source] += 1
        self.bytes[source] += size
        self.bytes[target] += size
        if crosses_regions:
            self.cross_region_bytes += size


class FakePeerClient:
    """Peer client of one node; delivers messages within the process."""

    def __init__(self, mesh, node_id):
        self.mesh = mesh
        self.node_id = node_id

    async def call(self, address, method, message):
        """Send a message and return its answer.

        Both are encoded and decoded by the real codecs.
        """
        mesh = self.mesh
        request_codec, answer_codec = CODECS[method]
        raw_request = request_codec.encode(message)
        await mesh.deliver(self.node_id, address, raw_request)
        handle = mesh.handlers[address][method]
        answer = await handle(request_codec.decode(raw_request))
        if mesh.random.random() < mesh.injected_faults.duplicate_rate:
            await asyncio.sleep(mesh.random.random())
            if address in mesh.handlers:
                await handle(request_codec.decode(raw_request))
        raw_answer = answer_codec.encode(answer)
        await mesh.deliver(address, self.node_id, raw_answer)
        return answer_codec.decode(raw_answer)


class FakeMesh:
    """Real nodes on fakes, in one process; a node's address is its id."""

    fetcher_type = FakeFetcher
    peer_settings = PeerSettings()

    def __init__(self, clock, seed, platform_region='south'):
        self.clock = clock
        self.random = Random(seed)
        self.platform_region = platform_region
        self.platform = PlatformStandIn(
            clock, UNLIMITED_PER_SECOND, UNLIMITED_PER_SECOND
        )
        self.nodes = {}
        self.handlers = {}
        self.platform_clients = {}
        self.tick_tasks = {}
        self.paused_nodes = set()
        self.injected_faults = FaultInjection()
        self.traffic = TrafficTotals()
        self.observers = []
        self.watches = 0

    async def deliver(self, source, target, raw):
        """Delay a message by its way and by the injected faults, or lose it.

        :raises PoplarrackError: PEER_UNAVAILABLE when the message is lost
            or the target is down, paused or partitioned from the source.
        """
        start, end = self._location(source), self._location(target)
        is_partitioned = self.injected_faults.is_partitioned
        down = target not in self.handlers or target in self.paused_nodes
        partitioned = bool(
            is_partitioned and end and start and is_partitioned(start, end)
        )
        cut = {source, target} & self.injected_faults.cut_nodes
        if (
            down
            or cut
            or partitioned
            or self.random.random() < self.injected_faults.loss_rate
        ):
            await asyncio.sleep(PEER_TIMEOUT_SECONDS)
            raise PoplarrackError(ErrorKind.PEER_UNAVAILABLE, target)
        crosses_regions = start is not None and start[0] != end[0]
        self.traffic.record_message(source, target, len(raw), crosses_regions)
        delay = (
            CROSS_REGION_DELAY_SECONDS
            if crosses_regions
            else INTRA_REGION_DELAY_SECONDS
        )
        extra_delay = (
            self.injected_faults.max_extra_delay_seconds * self.random.random()
        )
        await asyncio.sleep(delay + extra_delay)
        if target not in self.handlers:
            raise PoplarrackError(ErrorKind.PEER_UNAVAILABLE, target)

    def platform_delay(self, node_id):
        """Return the one-way delay between a node and the platform."""
        if self.nodes[node_id].settings.region == self.platform_region:
            return INTRA_REGION_DELAY_SECONDS
        return CROSS_REGION_DELAY_SECONDS

    def _location(self, node_id):
        node = self.nodes.get(node_id)
        return node and (node.settings.region, node.settings.zone)

    def add_node(self, node_id, region, zone, seeds=()):
        """Start a node, which joins the mesh in the background; return it."""
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
            peers=self.peer_settings,
        )
        client = DirectPlatformClient(
            self.platform, Random(self.random.random()), self.clock
        )
        dependencies = NodeDependencies(
            FakePeerClient(self, node_id),
            client,
            self._run_blocking,
            lambda node: self.fetcher_type(node, client, self),
            self.clock,
            Random(self.random.random()),
        )
        node = Node(settings, dependencies)
        self.nodes[node_id] = node
        self.platform_clients[node_id] = client
        self.handlers[node_id] = bind_handlers(node)
        loop = asyncio.get_running_loop()
        self.tick_tasks[node_id] = loop.create_task(self._run_node(node))
        return node

    async def _run_blocking(self, function, *arguments):
        await asyncio.sleep(INTRA_REGION_DELAY_SECONDS)
        return function(*arguments)

    async def _run_node(self, node):
        node.update_own(node.facts.own)
        await join(node)
        while True:
            if node.settings.node_id not in self.paused_nodes:
                node.tick()
            for observe in self.observers:
                observe(node)
            await asyncio.sleep(TICK_SECONDS)

    def kill_node(self, node_id):
        """Stop a node without a leave message, as a crash does."""
        self.tick_tasks.pop(node_id).cancel()
        node = self.nodes.pop(node_id)
        del self.handlers[node_id]
        if node.fetcher is not None:
            node.fetcher.stop()
        for task in list(node.tasks):
            task.cancel()

    def write_settings(self, changes):
        """Write settings without validation, as a foreign client might.

        :param changes: values by path, None to remove the setting.
        :returns: the revision.
        """
        operations = [
            {'key': CONFIGURATION_PREFIX + path, 'value': value}
            for path, value in changes.items()
        ]
        return self.platform.write_raw(operations)

    def applied_revisions(self):
        """Return the applied configuration revision by node id."""
        return {
            node_id: node.knowledge.configuration.revision
            for node_id, node in self.nodes.items()
        }

    async def wait_until(self, condition, seconds):
        """Wait until a condition holds, in virtual time.

        :param condition: a function without parameters.
        :param seconds: the timeout.
        :returns: the seconds waited.
        :raises PoplarrackError: TIMED_OUT when it does not hold in time.
        """
        started_at = self.clock()
        while not condition():
            if self.clock() - started_at > seconds:
                raise PoplarrackError(
                    ErrorKind.TIMED_OUT,
                    f'condition did not hold within {seconds} s',
                )
            await asyncio.sleep(0.01)
        return self.clock() - started_at

    async def wait_for_revision(self, revision, seconds, node_ids=None):
        """Wait until nodes apply a revision; return the seconds waited.

        :param node_ids: the nodes to wait for; all when None.
        """

        def has_revision():
            awaited = self.nodes if node_ids is None else node_ids
            return all(
                self.nodes[node_id].knowledge.configuration.revision
                >= revision
                for node_id in awaited
                if node_id in self.nodes
            )

        return await self.wait_until(has_revision, seconds)


def spread_over_zones(count, zones):
    """Yield (node id, region, zone) of nodes, zone by zone in turn."""
    for number in range(count):
        region, zone = zones[number % len(zones)]
        yield f'{zone}-{number}', region, zone


async def start_fake_mesh(clock, seed, count, zones, changes):
    """Start a FakeMesh, and wait for its configuration and membership.

    :param count: the number of nodes.
    :param zones: the (region, zone) pairs to spread the nodes over.
    :param changes: the settings by path.
    :returns: the mesh, in which each node has applied the settings and
        knows every other node.
    """
    mesh = FakeMesh(clock, seed)
    await start_nodes(mesh, tuple(spread_over_zones(count, zones)), changes)
    return mesh


async def start_nodes(mesh, nodes, changes):
    """Start nodes, and wait for their configuration and membership.

    :param nodes: the (node id, region, zone) of each.
    :param changes: the settings by path.
    """
    revision = mesh.write_settings(changes)
    seeds = []
    for node_id, region, zone in nodes:
        mesh.add_node(node_id, region, zone, seeds[-3:])
        seeds.append(node_id)
        await asyncio.sleep(0.02)

    def knows_all_members():
        return all(
            sum(m.present for m in node.knowledge.members.members.values())
            == len(nodes)
            for node in mesh.nodes.values()
        )

    await mesh.wait_for_revision(revision, 60)
    await mesh.wait_until(knows_all_members, 60)
    await asyncio.sleep(3)
