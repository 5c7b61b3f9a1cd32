"""Test which requests a receiving node runs, queues and refuses."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace

from poplarrack.admissions import Admission
from poplarrack.exchanges import RoutedRequest
from poplarrack.exchanges import Verdict
from poplarrack.header_names import HeaderNames
from poplarrack.members import EndpointState
from poplarrack.received_requests import RunningRepeats
from poplarrack.receivers import MAX_COUNTED_RANKS
from poplarrack.receivers import OTHER_RANKS
from poplarrack.receivers import Receiver
from tests.samples import endpoint
from tests.support import build_load_tests
from tests.test_calls import GatedServer
from tests.test_calls import ScriptedServer

load_tests = build_load_tests(__name__)

HEADER_NAMES = HeaderNames(
    request_id=b'x-id',
    not_run=b'x-not-run',
    instance=b'x-instance',
    origin_stamp=b'x-stamp',
    organisation=b'x-org',
    not_run_statuses=frozenset((421,)),
)


def answer(status=200, body=b'ok', **headers):
    fields = {'x-id': 'r1', 'x-stamp': 's', 'content-length': len(body)}
    fields.update({key.replace('_', '-'): v for key, v in headers.items()})
    lines = ''.join(
        f'{name}: {value}\r\n'
        for name, value in fields.items()
        if value is not None
    )
    return f'HTTP/1.1 {status} -\r\n{lines}\r\n'.encode() + body


def request(**more):
    fields = {
        'request_id': b'r1',
        'method': 'GET',
        'target': '/x',
        'headers': [(b'x-id', b'r1')],
        'body': b'',
        'service': 'front',
        'instance_id': 'i-1',
        'caller_service': 'shop',
        'time_left_ms': 5000,
        'max_wait_ms': 0,
        'rank': 1,
        'repeatable': False,
        **more,
    }
    return RoutedRequest(**fields)


@asynccontextmanager
async def receiver_of(server, slots=1):
    """Run a Receiver in front of a scripted endpoint."""
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    loop = asyncio.get_running_loop()
    receiver = Receiver(HEADER_NAMES, loop.time, 1_000_000)
    receiver.set_endpoint(
        endpoint(f'127.0.0.1:{port}', instance_id='i-1', slots=slots)
    )
    try:
        yield receiver
    finally:
        listener.close()
        receiver.pool.close()
        if isinstance(server, GatedServer):
            server.gate.set()
        for writer in server.writers:
            writer.close()
        await asyncio.sleep(0)


async def deliver(receiver, **more):
    """Send a request; return its Delivery."""
    future = asyncio.get_running_loop().create_future()
    receiver.receive(
        request(**more),
        lambda delivery: future.done() or future.set_result(delivery),
    )
    return await asyncio.wait_for(future, 5)


def verdict_of(script, **more):
    async def run():
        server = ScriptedServer(script)
        async with receiver_of(server) as receiver:
            return await deliver(receiver, **more), server

    return asyncio.run(run())


def test_running_repeats_are_not_diluted_by_requests_that_cannot_repeat():
    repeats = RunningRepeats()
    running = [
        request(repeatable=True, is_repeat=True),
        request(repeatable=True),
        request(),
        request(),
    ]
    for item in running:
        repeats.add(item)
    assert repeats.fraction() == 0.5
    for item in running:
        repeats.remove(item)
    assert repeats.fraction() == 0.0


def test_an_answer_comes_with_how_busy_the_endpoint_is():
    delivery, server = verdict_of(lambda *x: answer())
    assert (delivery.verdict, delivery.status, delivery.body) == (
        Verdict.ANSWERED,
        200,
        b'ok',
    )
    assert delivery.occupancy.slots == 1
    assert b'x-instance: i-1\r\n' in server.requests[0]


def test_another_instance_or_service_is_never_reached():
    for more in ({'instance_id': 'i-2'}, {'service': 'back'}):
        delivery, server = verdict_of(lambda *x: answer(), **more)
        assert delivery.verdict is Verdict.NOT_RUN
        assert not server.requests


def test_an_endpoint_that_says_so_did_not_run_it():
    for script in (answer(503, x_not_run='1'), answer(421, x_stamp=None)):
        delivery, _ = verdict_of(lambda *x, script=script: script)
        assert delivery.verdict is Verdict.REFUSED


def test_answers_that_are_cut_short_or_unproven_are_lost():
    spoiled = (
        answer().replace(b'length: 2', b'length: 9') + b'cut',
        b'garbage cut\r\n\r\n',
        answer(x_stamp=None),
        answer(content_encoding='gzip'),
        None,
    )
    for script in spoiled:
        delivery, _ = verdict_of(lambda *x, script=script: script)
        assert delivery.verdict is Verdict.LOST, script


# UNASKED: the endpoint must be told the organisation that holds the key.
def test_the_endpoint_is_told_the_organisation():
    async def run():
        server = ScriptedServer(lambda head, number: answer())
        async with receiver_of(server) as receiver:
            await deliver(receiver, organisation='acme')
            await deliver(receiver)
        return [b'x-org: acme' in head for head in server.requests]

    assert asyncio.run(run()) == [True, False]


def test_an_answer_to_another_request_is_skipped():
    stray = answer(body=b'old', x_id='r0')
    delivery, _ = verdict_of(lambda *x: stray + answer())
    assert (delivery.verdict, delivery.body) == (Verdict.ANSWERED, b'ok')


def test_a_late_answer_does_not_reach_the_next_request():
    async def run():
        def script(head, number):
            if number == 1:
                return answer() + answer(body=b'late')
            return answer(x_id='r2')

        async with receiver_of(ScriptedServer(script)) as receiver:
            await deliver(receiver)
            headers = [(b'x-id', b'r2')]
            delivery = await deliver(
                receiver, request_id=b'r2', headers=headers
            )
            return delivery.body

    assert asyncio.run(run()) == b'ok'


# REFUSED, TWICE: an endpoint that wrote an earlier refusal once more on a kept
# connection had the next request, which it ran, answered as not run.
def test_an_earlier_refusal_is_not_taken_for_the_next_request():
    async def run(repeated):
        def script(head, number):
            refusal = answer(503, x_not_run='1')
            if number == 1:
                return refusal
            return repeated + answer(x_id='r2')

        server = ScriptedServer(script)
        async with receiver_of(server) as receiver:
            refused = await deliver(receiver)
            headers = [(b'x-id', b'r2')]
            served = await deliver(receiver, request_id=b'r2', headers=headers)
            return refused.verdict, served.verdict, server.connections

    for repeated in (
        answer(503, x_not_run='1'),
        answer(503, x_not_run='1', x_id=None),
    ):
        verdicts = asyncio.run(run(repeated))
        assert verdicts == (Verdict.REFUSED, Verdict.ANSWERED, 1), verdicts


# MIXED, ORDER: an answer whose connection ended within its head was passed on
# as a whole one with an empty or short body.
def test_an_answer_that_ends_within_its_head_is_lost():
    whole = b'HTTP/1.1 200 OK\r\nx-id: r1\r\nx-stamp: s\r\n\r\n'

    async def run():
        heads = (whole[:length] for length in range(len(whole)))
        lengths = iter(heads)

        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(next(lengths))
            writer.close()

        server = SimpleNamespace(serve=serve, writers=())
        async with receiver_of(server) as receiver:
            return [await deliver(receiver) for _ in range(len(whole))]

    for length, delivery in enumerate(asyncio.run(run())):
        assert delivery.verdict is Verdict.LOST, whole[:length]


def test_an_answer_without_a_length_ends_with_its_connection():
    raw = b'HTTP/1.1 200 OK\r\nx-id: r1\r\nx-stamp: s\r\n\r\nnot cut off'
    delivery, _ = verdict_of(lambda *x: raw)
    assert (delivery.verdict, delivery.body) == (
        Verdict.ANSWERED,
        b'not cut off',
    )


def test_time_that_is_over_is_told_as_such():
    delivery, _ = verdict_of(lambda *x: 'silent', time_left_ms=40)
    assert delivery.verdict is Verdict.TIMED_OUT


def test_an_endpoint_that_is_gone_ran_nothing():
    async def run():
        receiver = Receiver(
            HEADER_NAMES, asyncio.get_running_loop().time, 1000
        )
        before = await deliver(receiver)
        unreachable = endpoint('127.0.0.1:1', instance_id='i-1')
        receiver.set_endpoint(unreachable)
        return before, await deliver(receiver)

    for delivery in asyncio.run(run()):
        assert delivery.verdict is Verdict.NOT_RUN


def test_slots_are_held_and_the_queue_goes_by_rank():
    async def run():
        server = GatedServer()
        async with receiver_of(server) as receiver:
            first = asyncio.ensure_future(deliver(receiver))
            while not server.requests:
                await asyncio.sleep(0)
            busy = await deliver(receiver)
            order = []

            def record_as(name):
                return lambda delivery: order.append((name, delivery.verdict))

            receiver.receive(
                request(max_wait_ms=900, rank=2), record_as('late')
            )
            receiver.receive(
                request(max_wait_ms=900, rank=0), record_as('soon')
            )
            first_rank = receiver.admission.queue[0].rank
            refused = await deliver(
                receiver, max_wait_ms=900, spare_slot_fraction=0.1
            )
            first.cancel()
            return busy, first_rank, refused

    busy, first_rank, refused = asyncio.run(run())
    assert (busy.verdict, busy.reason) == (Verdict.NOT_RUN, 'busy')
    assert first_rank == 0
    assert refused.reason == 'busy'


# Senders were told that nothing waits: ranks of organisations are greater than
# the length of the queue, up to which requests were counted.
def test_the_wait_that_is_told_counts_all_ranks():
    receiver = Receiver(HEADER_NAMES, lambda: 1.0, 1000)
    receiver.share_fairly(True)
    receiver.admission = Admission(1)
    receiver.admission.running = 1
    for number in range(3):
        receiver.admission.enqueue(number, 1002, 9.0, 9.0)
    assert receiver.occupancy().wait_ms >= 4 * 50


def test_a_draining_endpoint_gets_nothing_new():
    async def run():
        server = GatedServer()
        async with receiver_of(server) as receiver:
            running = asyncio.ensure_future(deliver(receiver))
            while not server.requests:
                await asyncio.sleep(0)
            waiting = asyncio.ensure_future(deliver(receiver, max_wait_ms=900))
            while not receiver.admission.queue:
                await asyncio.sleep(0)
            serving = receiver.endpoint
            receiver.set_endpoint(
                replace(serving, state=EndpointState.DRAINING)
            )
            deliveries = [await waiting, await deliver(receiver)]
            running.cancel()
            return deliveries, len(server.requests)

    deliveries, reached = asyncio.run(run())
    assert [item.reason for item in deliveries] == ['draining', 'draining']
    assert reached == 1


def test_a_cancelled_request_stops_at_the_endpoint():
    async def run():
        server = ScriptedServer(lambda *x: 'silent')
        async with receiver_of(server) as receiver:
            received = receiver.receive(request(), lambda delivery: None)
            while not server.requests:
                await asyncio.sleep(0)
            receiver.cancel(received)
            return receiver.in_flight, receiver.admission.running

    assert asyncio.run(run()) == (0, 0)


# Bookings were starved beside lookups of a better rank, and no counter told.
def test_requests_are_counted_by_rank():
    async def run():
        server = GatedServer()
        async with receiver_of(server) as receiver:
            running = asyncio.create_task(deliver(receiver, rank=0))
            await asyncio.sleep(0.02)
            await deliver(receiver, rank=1)
            waiting = asyncio.create_task(
                deliver(receiver, rank=1, max_wait_ms=300)
            )
            await asyncio.wait_for(waiting, 5)
            server.gate.set()
            await running
            return receiver.counts_by_rank

    counts = asyncio.run(run())
    assert counts[0]['received'] == counts[0]['sent'] == 1
    assert counts[1]['received'] == 2
    assert counts[1]['not_run_at_once'] == 1
    assert counts[1]['not_run_after_wait'] == 1
    assert not counts[1]['sent']


def test_ranks_beyond_a_number_are_counted_together():
    receiver = Receiver(HEADER_NAMES, lambda: 100.0, 1_000)
    for rank in range(2 * MAX_COUNTED_RANKS):
        receiver.receive(request(rank=rank), lambda delivery: None)
    assert len(receiver.counts_by_rank) == MAX_COUNTED_RANKS + 1
    other = receiver.counts_by_rank[OTHER_RANKS]
    assert other['received'] == other['not_run_at_once'] == MAX_COUNTED_RANKS
