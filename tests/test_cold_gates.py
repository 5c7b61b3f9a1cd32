"""Test how many requests a cold endpoint gets in any one second."""

import asyncio
from math import ceil
from math import inf

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from poplarrack.cold_gates import ColdGate
from poplarrack.destination_states import DestinationState
from poplarrack.doors import Door
from poplarrack.exchanges import Delivery
from poplarrack.exchanges import Occupancy
from poplarrack.exchanges import Verdict
from poplarrack.resources import Service
from tests.support import build_load_tests
from tests.test_calls import GatedServer
from tests.test_calls import ScriptedServer
from tests.test_receivers import answer
from tests.test_receivers import deliver
from tests.test_receivers import receiver_of
from tests.test_senders import build_sender
from tests.test_senders import destination
from tests.test_senders import send

load_tests = build_load_tests(__name__)

steps = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, 0.4),
        strategies.sampled_from(
            ('send', 'send', 'send', 'send', 'cold', 'doubt', 'restart')
        ),
    ),
    max_size=150,
)


@settings(max_examples=300, deadline=None)
@given(steps, strategies.sampled_from((0.5, 2.0, 6.5, 13.0)))
def test_no_second_has_more_requests_than_the_rate(steps, rate):
    # A burst that follows a steady rate, a process that starts again, and an
    # endpoint that turns cold under load each could add to a full second.
    now, gate, sent_cold, sent = 100.0, ColdGate(0.0), [], []
    for pause, step in steps:
        now += pause
        if step == 'cold':
            gate.hear(now + 60)
        elif step == 'doubt':
            gate.doubt()
        elif step == 'restart':
            gate = ColdGate(now)
            gate.hear(now + 60)
        elif gate.wait(rate, now) == 0:
            gate.record(now)
            sent.append(now)
            if gate.is_cold(now):
                sent_cold.append(now)
    window = max(1.0, 1 / rate)
    for end in sent_cold:
        within = [at for at in sent if end - window < at <= end]
        assert len(within) <= ceil(rate), (end, within)


def test_a_warm_endpoint_or_one_without_a_rate_is_not_bounded():
    gate = ColdGate(100.0)
    assert gate.wait(13.0, 100.0) == 0
    gate.hear(103.0)
    assert gate.wait(0.0, 100.0) == 0
    assert gate.wait(None, 102.0) == inf
    assert gate.wait(13.0, 100.5) == 0.5
    assert gate.wait(13.0, 103.0) == 0
    # Of one that started later, nothing is unknown.
    gate.hear(104.0, 100.1)
    assert gate.wait(13.0, 100.5) == 0


def test_the_wait_is_until_the_oldest_request_is_a_second_old():
    gate = ColdGate(0.0)
    gate.hear(200.0)
    gate.record(100.0)
    gate.record(100.4)
    assert abs(gate.wait(2.0, 100.5) - 0.5) < 1e-9
    assert abs(gate.wait(2.0, 100.5, 1) - 0.9) < 1e-9
    assert abs(gate.wait(2.0, 100.5, 2) - 1.5) < 1e-9


def door(rate, **changes):
    service = Service('front', '', cold_calls_per_second=rate)
    return Door('r', 'z', services={'front': service}, **changes)


def test_an_endpoint_that_turns_cold_sends_its_queue_elsewhere():
    async def run():
        server = GatedServer()
        async with receiver_of(server) as receiver:
            receiver.door = door(1.0)
            first = asyncio.ensure_future(deliver(receiver, time_left_ms=300))
            while not server.requests:
                await asyncio.sleep(0)
            waiting = asyncio.ensure_future(
                deliver(receiver, max_wait_ms=5000)
            )
            while not receiver.admission.queue:
                await asyncio.sleep(0)
            now = receiver.clock()
            receiver.set_endpoint(receiver.endpoint, now + 9)
            server.gate.set()
            await first
            return await waiting, len(server.requests)

    waiting, requests = asyncio.run(run())
    assert requests == 1
    assert (waiting.verdict, waiting.reason) == (
        Verdict.NOT_RUN,
        'cold',
    ), waiting
    assert waiting.occupancy.cold_ms > 8000
    assert waiting.occupancy.wait_ms > 500


def test_an_endpoint_is_taken_for_cold_until_it_tells_after_an_evacuation():
    # It may have become cold shortly before its zone is taken back.
    async def run():
        server = ScriptedServer(lambda *x: answer())
        async with receiver_of(server) as receiver:
            receiver.cold_gate.known_since = receiver.clock() - 5
            receiver.door = door(1.0, evacuated_zones=frozenset(('z',)))
            receiver.set_endpoint(receiver.endpoint)
            reasons = [(await deliver(receiver)).reason]
            receiver.door = door(1.0)
            reasons += [(await deliver(receiver)).reason for _ in range(2)]
            receiver.set_endpoint(receiver.endpoint)
            reasons.append((await deliver(receiver)).reason)
            return reasons

    assert asyncio.run(run()) == ['evacuated', '', 'cold', '']


def test_senders_count_on_what_a_cold_endpoint_may_get():
    state = DestinationState(destination(2), 0.0, True)
    state.cold_calls_per_second = 13.0
    state.record_occupancy(Occupancy(0, 0, 10, 0, 200.0, cold_ms=500), 100.0)
    assert abs(state.usable_slots(100.1) - 2.6) < 1e-9
    assert state.usable_slots(100.6) == 10


def test_a_call_refused_by_the_cold_comes_back_spread_over_the_warming():
    # Callers that all return at once would meet it as cold as before.
    cold = Delivery(
        Verdict.NOT_RUN, reason='cold', occupancy=Occupancy(cold_ms=3000)
    )

    async def run():
        sender, _ = build_sender([cold] * 60, {'front': [destination(2)]})
        delays = []
        for _ in range(20):
            sender.clock.now += 5
            _, head, _ = await send(sender)
            fields = dict(
                line.split(b': ') for line in head.split(b'\r\n')[1:]
            )
            delays.append(float(fields[b'retry-after']))
        return delays

    delays = asyncio.run(run())
    assert min(delays) < 0.3 < 0.45 < max(delays) < 2.0 / 3, delays
