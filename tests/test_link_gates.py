"""Test which bodies cross a node's link, and in which order.

The pattern is a burst of uploads to a few nodes with thin links: what was
sent at once filled them for seconds, and the calls that other requests make
there were too late.
"""

import asyncio
from collections import deque

from poplarrack.exchanges import Verdict
from poplarrack.fetched_bodies import build_held_pipe
from poplarrack.fetched_bodies import MIN_FETCHED_BYTES
from poplarrack.link_gates import LinkGate
from tests.support import build_load_tests
from tests.test_calls import ScriptedServer
from tests.test_receivers import answer
from tests.test_receivers import receiver_of
from tests.test_receivers import request

load_tests = build_load_tests(__name__)

THIN = 5.0
BODY_BYTES = 60_000
BODY = b'b' * BODY_BYTES


def test_a_burst_of_uploads_leaves_room_on_a_thin_link():
    gate, under_way, most = LinkGate(THIN), deque(), 0
    entered = []

    def enter(number):
        entered.append(
            gate.enter(0, number, BODY_BYTES, lambda: under_way.append(number))
        )

    for number in range(30):
        enter(number)
    order = []
    while under_way:
        most = max(most, gate.in_flight)
        number = under_way.popleft()
        order.append(number)
        gate.leave(entered[number])
    assert order == list(range(30))
    assert most == BODY_BYTES and not gate.in_flight


def test_a_wide_link_holds_nothing_back():
    gate, started = LinkGate(1000.0), []
    for number in range(30):
        gate.enter(0, number, BODY_BYTES, lambda: started.append(1))
    assert len(started) == 30
    assert gate.expected_wait(0, BODY_BYTES) < 0.03


def test_bodies_cross_by_rank_and_deadline():
    gate, started = LinkGate(THIN), []
    first = gate.enter(2, 1.0, BODY_BYTES, lambda: started.append('first'))
    for name, rank, deadline in (('c', 2, 9), ('b', 1, 8), ('a', 1, 7)):
        gate.enter(
            rank, deadline, BODY_BYTES, lambda name=name: started.append(name)
        )
    assert gate.expected_wait(1, BODY_BYTES) < gate.expected_wait(
        2, BODY_BYTES
    )
    gate.leave(first)
    assert started == ['first', 'a']


def test_one_that_gives_up_waiting_frees_its_place():
    gate, started = LinkGate(THIN), []
    first = gate.enter(0, 1.0, BODY_BYTES, lambda: None)
    second = gate.enter(0, 2.0, BODY_BYTES, lambda: started.append(2))
    gate.enter(0, 3.0, BODY_BYTES, lambda: started.append(3))
    gate.leave(second)
    gate.leave(first)
    assert started == [3]


async def fetch(receiver, pipes):
    """Offer uploads at once; return their Deliveries."""
    loop = asyncio.get_running_loop()
    futures = []
    for pipe in pipes:
        future = loop.create_future()
        futures.append(future)
        receiver.receive(
            request(method='POST', streamed_bytes=pipe.length),
            future.set_result,
            pipe,
        )
    return await asyncio.gather(*futures)


def test_an_upload_reaches_the_endpoint_whole():
    async def run():
        server = ScriptedServer(lambda head, number: answer())
        async with receiver_of(server) as receiver:
            receiver.link_gate = LinkGate(THIN)
            (delivery,) = await fetch(receiver, [build_held_pipe(BODY)])
            return delivery, server.requests, receiver.link_gate.in_flight

    delivery, (head,), in_flight = asyncio.run(run())
    assert delivery.verdict is Verdict.ANSWERED, delivery
    assert b'content-length: %d' % BODY_BYTES in head
    assert not in_flight


def test_an_upload_that_finds_the_link_busy_is_offered_elsewhere():
    async def run():
        server = ScriptedServer(lambda head, number: answer())
        async with receiver_of(server) as receiver:
            receiver.link_gate = LinkGate(THIN)
            receiver.link_gate.enter(0, 0.0, 10 * BODY_BYTES, lambda: None)
            (delivery,) = await fetch(receiver, [build_held_pipe(BODY)])
            return delivery, server.requests

    delivery, requests = asyncio.run(run())
    assert (delivery.verdict, delivery.reason) == (Verdict.NOT_RUN, 'busy')
    assert not requests


def test_an_upload_that_breaks_off_has_not_run():
    async def run():
        server = ScriptedServer(lambda head, number: answer())
        async with receiver_of(server) as receiver:
            receiver.link_gate = LinkGate(THIN)
            pipe = build_held_pipe(BODY)
            pipe.ended = False
            loop = asyncio.get_running_loop()
            loop.call_later(0.02, pipe.fail)
            (delivery,) = await fetch(receiver, [pipe])
            return delivery, server.requests, receiver.link_gate.in_flight

    delivery, requests, in_flight = asyncio.run(run())
    assert delivery.verdict is Verdict.NOT_RUN, delivery
    assert not requests and not in_flight


def test_brief_requests_carry_their_bodies():
    assert MIN_FETCHED_BYTES > 8_192
