"""Model a mesh of real Senders whose calls lead to further calls.

Services form a chain: each endpoint calls the next service through the
Sender of its own node. The mesh knows which arrivals are repeats and checks
the bound on them that all nodes share.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass
from dataclasses import replace
from random import Random
from types import SimpleNamespace

from poplarrack.destination_states import Destination
from poplarrack.destination_states import Tier
from poplarrack.exchanges import Delivery
from poplarrack.exchanges import Verdict
from poplarrack.header_names import HeaderNames
from poplarrack.http_messages import HttpRequest
from poplarrack.received_requests import RunningRepeats
from poplarrack.resources import Route
from poplarrack.routers import Router
from poplarrack.routing_tables import RoutingTable
from poplarrack.senders import Sender
from poplarrack.settings import PlatformSettings
from poplarrack.settings import SidecarSettings
from tests.samples import endpoint

HEADER_NAMES = HeaderNames(request_id=b'x-id', deadline_ms=b'x-deadline')
# Endpoints of each service that a node knows.
KNOWN_ENDPOINTS = 6
TICK_SECONDS = 0.5
GOOD = Delivery(Verdict.ANSWERED, 200, [], b'ok')
FAILED = Delivery(Verdict.ANSWERED, 500, [], b'no')


@dataclass(frozen=True)
class MeshPlan:
    """The size, load and faults of a RetryMesh.

    Endpoints fail ``failed_fraction`` of their requests from
    ``fails_from_seconds`` on; ``herd_fraction`` of the nodes restart at
    ``herd_at_seconds``. ``services`` form a chain, and a run makes
    ``calls_per_run`` calls of the next service. ``unrepeatable_fraction`` of
    the callers' calls are on a route that is not repeatable and whose runs
    make no calls.
    """

    nodes: int
    calls_per_second: float
    slack: float
    services: tuple[str, ...] = ('front', 'back')
    calls_per_run: int = 2
    unrepeatable_fraction: float = 0.25
    failed_fraction: float = 0.5
    fails_from_seconds: float = 12.0
    herd_at_seconds: float = 18.0
    herd_fraction: float = 0.0
    length_seconds: float = 26.0


class RetryMesh:
    """Plays a MeshPlan; ``repeats`` and ``calls`` count by tick and service.

    The id of a call by a repeated run begins with ``!``.
    """

    def __init__(self, plan, seed):
        self.plan = plan
        self.random = Random(seed)
        self.now = 1000.0
        self.calls = Counter()
        self.repeats = Counter()
        self.arrived = set()
        self.last_id = 0
        self.running_repeats = [RunningRepeats() for _ in range(plan.nodes)]
        self.senders = [self._start_node(i) for i in range(plan.nodes)]

    def service_of(self, number):
        """Return the service of a node's endpoint."""
        return self.plan.services[number % len(self.plan.services)]

    def _start_node(self, number):
        plan = self.plan
        address = f'127.0.0.1:{number}'
        settings = SidecarSettings(
            f'n{number}',
            'south',
            'a',
            *[address] * 4,
            PlatformSettings(('127.0.0.1:5',)),
            service=self.service_of(number),
            retry_budget_slack=plan.slack,
            retry_budget_levels=len(plan.services),
        )
        sender = Sender(
            settings,
            HEADER_NAMES,
            SimpleNamespace(running_repeats=self.running_repeats[number]),
            SimpleNamespace(deliver=self.deliver),
            lambda: self.now,
            Random(self.random.random()),
        )
        routes = [
            Route(name, f'/{name}/', name, repeatable=True, timeout_seconds=60)
            for name in plan.services
        ]
        routes.append(
            Route('pay', '/pay/', plan.services[0], timeout_seconds=60)
        )
        destinations = {
            name: self._destinations(name, index)
            for index, name in enumerate(plan.services)
        }
        sender.set_table(
            RoutingTable(
                5, Router(routes), destinations, node_count=plan.nodes
            )
        )
        return sender

    def _destinations(self, service, index):
        numbers = range(index, self.plan.nodes, len(self.plan.services))
        known = self.random.sample(numbers, min(KNOWN_ENDPOINTS, len(numbers)))
        return [
            Destination(
                f'n{number}',
                f'127.0.0.1:{number}',
                replace(
                    endpoint(instance_id=f'i-{number}'),
                    service=service,
                    slots=1000,
                ),
                Tier.ZONE,
            )
            for number in known
        ]

    def deliver(self, address, routed, timeout_seconds, done, upload=None):
        """Run a RoutedRequest at the endpoint of its node."""
        number = int(address.rpartition(':')[2])
        asyncio.get_running_loop().create_task(self._run(number, routed, done))
        return lambda: None

    async def _run(self, number, routed, done):
        is_repeat = (
            routed.request_id in self.arrived
            or routed.request_id.startswith(b'!')
        )
        self.arrived.add(routed.request_id)
        self.repeats[self._tick(), routed.service] += is_repeat
        self.running_repeats[number].add(routed)
        answer = GOOD
        if routed.service != self.plan.services[-1] and routed.repeatable:
            answer = await self._call_next(number, routed.service, is_repeat)
        else:
            await asyncio.sleep(0)
        elapsed = self.now - 1000.0
        if elapsed >= self.plan.fails_from_seconds and (
            self.random.random() < self.plan.failed_fraction
        ):
            answer = FAILED
        self.running_repeats[number].remove(routed)
        done(answer)

    async def _call_next(self, number, service, is_repeat):
        following = self.plan.services.index(service) + 1
        path = f'/{self.plan.services[following]}/x'
        for _ in range(self.plan.calls_per_run):
            status = await self.send(number, path, is_repeat)
            if status != 200:
                return FAILED
        return GOOD

    async def send(self, number, path, is_repeat=False):
        """Send a call through a node; return the status of its answer."""
        self.last_id += 1
        mark = '!' if is_repeat else ''
        request_id = f'{mark}{self.last_id}'.encode()
        headers = [(b'host', b'h'), (b'x-id', request_id)]
        answers = []
        sender = self.senders[number]
        call = sender.start(
            HttpRequest('GET', path, headers),
            lambda raw, keep_alive: answers.append(raw),
        )
        # A repeated run's calls are no requests of callers.
        self.calls[self._tick(), call.service] += not is_repeat
        await call.task
        return int(answers[0][9:12])

    def _tick(self):
        return round((self.now - 1000.0) / TICK_SECONDS)

    async def play(self):
        """Play the whole plan."""
        plan = self.plan
        restarted = False
        while self.now - 1000.0 < plan.length_seconds:
            if not restarted and (self.now - 1000.0 >= plan.herd_at_seconds):
                restarted = True
                for number in range(int(plan.nodes * plan.herd_fraction)):
                    self.senders[number] = self._start_node(number)
            await asyncio.gather(*self._start_callers())
            self.now += TICK_SECONDS

    def _start_callers(self):
        plan = self.plan
        for _ in range(int(plan.nodes * plan.calls_per_second * TICK_SECONDS)):
            is_other = self.random.random() < plan.unrepeatable_fraction
            path = '/pay/x' if is_other else f'/{plan.services[0]}/x'
            yield self.send(self.random.randrange(plan.nodes), path)

    def worst_excess(self):
        """Return by how many repeats the worst window breaks the bound.

        The calls are those in the window, in the one before it or in the one
        that began half a window earlier, whichever are most.

        :returns: the excess (negative if the bound holds), the service and
            the second in which the window begins.
        """
        window = round(10.0 / TICK_SECONDS)
        ticks = self._tick()

        def total(counts, service, begin):
            return sum(
                counts[tick, service]
                for tick in range(max(0, begin), begin + window)
            )

        return max(
            (
                total(self.repeats, service, begin)
                - self.plan.slack
                - 0.2
                * max(
                    total(self.calls, service, begin - back)
                    for back in (0, window // 2, window)
                ),
                service,
                begin * TICK_SECONDS,
            )
            for service in self.plan.services
            for begin in range(ticks)
        )


def play(plan, seed):
    """Play a MeshPlan; return the RetryMesh."""

    async def run():
        mesh = RetryMesh(plan, seed)
        await mesh.play()
        return mesh

    return asyncio.run(run())
