"""A mesh of many sending and receiving nodes on a virtual clock.

Senders and Receivers are the product's own. Endpoints, their machines and
the network are simulated: endpoints have slots and differ in speed, requests
arrive at random at nodes, and a node knows of others only what their answers
tell it. No sockets are opened.
"""

import asyncio
from dataclasses import dataclass
from dataclasses import field
from itertools import count
from math import exp
from random import Random
from statistics import fmean

from poplarrack.balancers import Locality
from poplarrack.benches.cases import bench_case
from poplarrack.benches.cases import Bound
from poplarrack.benches.cases import percentile
from poplarrack.benches.cases import Result
from poplarrack.benches.mesh_shapes import counter_mesh
from poplarrack.configurations import load_configuration
from poplarrack.header_names import HeaderNames
from poplarrack.http_messages import HttpAnswer
from poplarrack.http_messages import HttpRequest
from poplarrack.knowledge import Knowledge
from poplarrack.members import Endpoint
from poplarrack.members import Member
from poplarrack.members import MemberTable
from poplarrack.members import merge_members
from poplarrack.placements import Placement
from poplarrack.receivers import Receiver
from poplarrack.resources import encode_resource
from poplarrack.resources import Route
from poplarrack.resources import Service
from poplarrack.routing_tables import derive_routing_table
from poplarrack.senders import Sender
from poplarrack.settings import PlatformSettings
from poplarrack.settings import SidecarSettings
from poplarrack.snapshots import build_snapshot
from poplarrack.snapshots import Entry
from poplarrack.stand_ins.fakes import run_on_virtual_clock
from poplarrack.upstream_exchanges import Outcome

ZONE_DELAY_SECONDS = 0.0002
REGION_DELAY_SECONDS = 0.0015
FAR_DELAY_SECONDS = 0.0301
# Requests that arrive in this time after the start are not counted.
SETTLE_SECONDS = 3.0
# How long an endpoint takes to fail a request.
FAILURE_SECONDS = 0.005
MAX_ANSWER_BYTES = 1_000_000
HEADER_NAMES = HeaderNames()
# Of all requests, while sound endpoints have free slots.
MAX_REFUSED_SHARE = 0.01
# How many more requests of a kind may be late than with full knowledge.
MAX_MORE_LATE = 0.05

# Classes of Senders by the name of how they place requests.
PLACEMENTS = {}


def placement(name):
    """Register a class of Senders that the bench compares."""

    def register(build_sender):
        PLACEMENTS[name] = build_sender
        return build_sender

    return register


placement('product')(Sender)


@placement('uniform')
class UniformSender(Sender):
    """Places requests at random in the nearest tier, whatever the load."""

    def _choose_placement(self, call, now):
        if call.offers:
            return None
        members = next(filter(None, self._candidates(call).by_tiers), ())
        if not members:
            return None
        return Placement(
            self.random.choice(members), max(0.0, call.deadline - now)
        )


@placement('full_knowledge')
class KnowingSender(Sender):
    """Knows the true load of every endpoint at each choice."""

    receivers = None

    def _choose_placement(self, call, now):
        for state in self.destinations.for_service(call.service):
            receiver = self.receivers[state.destination.peer_address]
            state.record_occupancy(receiver.occupancy(), now)
        return super()._choose_placement(call, now)


@dataclass
class EndpointTotals:
    """What one simulated endpoint did."""

    service: str
    speed: float
    failure_rate: float = 0.0
    runs: int = 0
    failures: int = 0
    work_seconds: float = 0.0


class SimulatedEndpoint:
    """Runs the requests of a Receiver, in place of its UpstreamPool."""

    def __init__(self, mesh, node_id, totals):
        self.mesh = mesh
        self.node_id = node_id
        self.totals = totals

    def start(
        self, request, bodiless, timeout_seconds, on_done, echo, **in_pieces
    ):
        """Start a run, as ``UpstreamPool.start`` does, of a whole message."""
        kind = self.mesh.kinds_by_request[echo[1]]
        self.totals.runs += 1
        task = asyncio.get_running_loop().create_task(self._run(kind, on_done))
        self.mesh.tasks.add(task)
        task.add_done_callback(self.mesh.tasks.discard)

    async def _run(self, kind, on_done):
        if self.mesh.random.random() < self.totals.failure_rate:
            self.totals.failures += 1
            await asyncio.sleep(FAILURE_SECONDS)
            on_done(Outcome.ANSWERED, HttpAnswer(500))
            return
        spread = kind.work_spread
        work = kind.work_seconds * exp(
            self.mesh.random.gauss(-spread * spread / 2, spread)
        )
        seconds = work / self.totals.speed
        self.totals.work_seconds += seconds
        await asyncio.sleep(seconds)
        status = 200
        for _ in range(kind.inner_calls):
            inner = self.mesh.kinds[kind.inner_kind]
            called = await self.mesh.call(self.node_id, inner)
            if called >= 400:
                status = 500
        on_done(Outcome.ANSWERED, HttpAnswer(status))

    def close(self):
        """Do nothing: there are no connections."""


class SimulatedStreams:
    """Delivers the requests of one node to the Receivers of others."""

    def __init__(self, mesh, node_id):
        self.mesh = mesh
        self.node_id = node_id

    def deliver(self, address, request, timeout_seconds, done, upload=None):
        """Deliver a request, as ``PeerStreams.deliver`` does."""
        mesh, loop = self.mesh, asyncio.get_running_loop()
        delay = mesh.delay(self.node_id, address)
        mesh.offers += 1

        def reply(delivery):
            loop.call_later(delay, done, delivery)

        loop.call_later(delay, mesh.receivers[address].receive, request, reply)
        return lambda: None


@dataclass(frozen=True)
class Answered:
    """An answered request: its kind, status and the seconds it took."""

    kind: str
    status: int
    seconds: float


@dataclass
class Observations:
    """What callers got, and what the endpoints did meanwhile."""

    answered: list = field(default_factory=list)
    endpoints: dict = field(default_factory=dict)
    offers: int = 0

    def late_share(self, kind):
        """Return the fraction of a kind's requests that missed its target."""
        times = [item for item in self.answered if item.kind == kind.name]
        late = sum(
            item.status != 200 or item.seconds > kind.target_seconds
            for item in times
        )
        return late / max(1, len(times))

    def refused_share(self):
        """Return the fraction of all requests that got no endpoint."""
        refused = sum(item.status >= 500 for item in self.answered)
        return refused / max(1, len(self.answered))

    def busiest_to_mean(self, service):
        """Return the busiest endpoint's runs to the mean of its service."""
        runs = [
            item.runs
            for item in self.endpoints.values()
            if item.service == service
        ]
        return max(runs) / max(1e-9, fmean(runs))

    def busiest_use_to_mean(self, service):
        """Return the greatest time in use to the mean of the service.

        All endpoints of a mesh have the same number of slots.
        """
        used = [
            item.work_seconds
            for item in self.endpoints.values()
            if item.service == service
        ]
        return max(used) / max(1e-9, fmean(used))

    def latency(self, kind, fraction):
        """Return a quantile of the seconds that a kind's answers took."""
        times = [
            item.seconds
            for item in self.answered
            if item.kind == kind.name and item.status == 200
        ]
        return percentile(times, fraction) if times else float('inf')


class ManyNodes:
    """The simulated mesh.

    :param shape: the MeshShape.
    :param seed: the seed of arrivals, work and of the nodes' own choices.
    :param build_sender: the class of the Senders.
    """

    def __init__(self, shape, seed, clock, build_sender=Sender):
        self.shape = shape
        self.clock = clock
        self.random = Random(seed)
        self.kinds = {kind.name: kind for kind in shape.kinds}
        self.kinds_by_request = {}
        self.request_ids = count(1)
        self.tasks = set()
        self.offers = 0
        self.observations = Observations()
        self.receivers = {}
        self.senders = {}
        self.members = {}
        self._add_nodes(build_sender)

    def _add_nodes(self, build_sender):
        shape = self.shape
        services = _spread(shape.service_shares, shape.nodes)
        now = self.clock()
        for number, service in enumerate(services):
            region, zone = shape.zones[number % len(shape.zones)]
            node_id = f'n{number}'
            endpoint = Endpoint(
                service,
                'v1',
                '10.0.0.1:80',
                shape.slots,
                1000,
                instance_id=f'i{number}',
            )
            self.members[node_id] = Member(
                node_id, 1, 1, region, zone, node_id, endpoint=endpoint
            )
            receiver = Receiver(
                HEADER_NAMES,
                self.clock,
                MAX_ANSWER_BYTES,
                learns_room=shape.learns_room,
            )
            receiver.set_endpoint(endpoint)
            failing = self.random.random() < shape.failing_share
            totals = EndpointTotals(
                service,
                self.random.choice(shape.speeds),
                shape.failure_rate if failing else 0.0,
            )
            receiver.pool = SimulatedEndpoint(self, node_id, totals)
            self.observations.endpoints[node_id] = totals
            self.receivers[node_id] = receiver
        knowledge = Knowledge(
            load_configuration(_build_settings(shape)),
            members=merge_members(
                MemberTable(), tuple(self.members.values())
            ).table,
        )
        for node_id, member in self.members.items():
            sender = build_sender(
                _settings_of(member),
                HEADER_NAMES,
                self.receivers[node_id],
                SimulatedStreams(self, node_id),
                self.clock,
                Random(self.random.random()),
            )
            self.receivers[node_id].load_reports = sender.load_reports
            sender.receivers = self.receivers
            sender.set_table(
                derive_routing_table(
                    Locality(node_id, member.region, member.zone),
                    knowledge,
                    now,
                )
            )
            self.senders[node_id] = sender

    def delay(self, source, target):
        """Return the one-way delay between two nodes in seconds."""
        one, other = self.members[source], self.members[target]
        if one.region != other.region:
            return FAR_DELAY_SECONDS
        if one.zone != other.zone:
            return REGION_DELAY_SECONDS
        return ZONE_DELAY_SECONDS

    async def call(self, node_id, kind):
        """Send a request from a node; return the status of its answer."""
        request_id = b'%x' % next(self.request_ids)
        self.kinds_by_request[request_id] = kind
        request = HttpRequest(
            'GET',
            f'/{kind.name}/',
            [
                (HEADER_NAMES.request_id, request_id),
                (
                    HEADER_NAMES.deadline_ms,
                    b'%d' % int(kind.deadline_seconds * 1000),
                ),
            ],
            b'',
        )
        future = asyncio.get_running_loop().create_future()
        self.senders[node_id].start(
            request, lambda raw, keep_alive: future.set_result(raw)
        )
        raw = await future
        del self.kinds_by_request[request_id]
        return int(raw[9:12])

    async def _call_and_record(self, node_id, kind, counted):
        started_at = self.clock()
        status = await self.call(node_id, kind)
        if counted:
            self.observations.answered.append(
                Answered(kind.name, status, self.clock() - started_at)
            )

    async def run(self):
        """Let callers send requests; return the Observations."""
        loop, shape = asyncio.get_running_loop(), self.shape
        kinds = [kind for kind in shape.kinds if kind.per_second]
        weights = [kind.per_second for kind in kinds]
        rate = sum(weights) * shape.load
        end = self.clock() + SETTLE_SECONDS + shape.seconds
        counted_from = self.clock() + SETTLE_SECONDS
        names = list(self.senders)
        while self.clock() < end:
            await asyncio.sleep(self.random.expovariate(rate))
            (kind,) = self.random.choices(kinds, weights)
            counted = self.clock() >= counted_from
            task = loop.create_task(
                self._call_and_record(self.random.choice(names), kind, counted)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        while self.tasks:
            await asyncio.sleep(0.1)
        self.observations.offers = self.offers
        return self.observations


def run_mesh(shape, seed, build_sender=Sender):
    """Run a mesh of a MeshShape; return its Observations."""

    async def main(clock):
        return await ManyNodes(shape, seed, clock, build_sender).run()

    return run_on_virtual_clock(main)


def _spread(shares, nodes):
    """Return the service of each node, the zones in turn for each service."""
    services = []
    for service, share in shares:
        services += [service] * round(share * nodes)
    last = shares[-1][0]
    return (services + [last] * nodes)[:nodes]


def _build_settings(shape):
    resources = {
        f't/services/{service}': Service(service, '')
        for service, _ in shape.service_shares
    }
    for kind in shape.kinds:
        resources[f't/routes/{kind.name}'] = Route(
            kind.name,
            f'/{kind.name}/',
            kind.service,
            repeatable=True,
            timeout_seconds=kind.deadline_seconds,
            target_latency_seconds=kind.target_seconds,
            rank=kind.rank,
        )
    return build_snapshot(
        1,
        [
            Entry(path, encode_resource(resource), 1)
            for path, resource in resources.items()
        ],
    )


def _settings_of(member):
    return SidecarSettings(
        member.node_id,
        member.region,
        member.zone,
        member.peer_address,
        '127.0.0.1:2',
        '127.0.0.1:3',
        '127.0.0.1:4',
        PlatformSettings(('127.0.0.1:5',)),
        service=member.endpoint.service,
        retry_budget_ratio=0.2,
    )


@bench_case('many-nodes')
def compare_placements(seed, nodes=195, load=1.0, seconds=6.0):
    """Late and refused requests on a mesh of many nodes, by placement."""
    shape = counter_mesh(nodes, load, seconds)
    figures = {}
    for name, build_sender in PLACEMENTS.items():
        seen = run_mesh(shape, seed, build_sender)
        for kind in shape.kinds:
            if kind.per_second:
                figures[f'{name}_{kind.name}_late'] = seen.late_share(kind)
        figures[f'{name}_refused'] = seen.refused_share()
        figures[f'{name}_offers'] = seen.offers / len(seen.answered)
        for service, _ in shape.service_shares:
            figures[f'{name}_{service}_busiest_to_mean'] = (
                seen.busiest_to_mean(service)
            )
    bounds = {'product_refused': Bound(maximum=MAX_REFUSED_SHARE)}
    for kind in shape.kinds:
        if kind.per_second:
            least = figures[f'full_knowledge_{kind.name}_late']
            bounds[f'product_{kind.name}_late'] = Bound(
                maximum=least + MAX_MORE_LATE
            )
    return Result(figures, bounds)
