"""Test the framed connections between nodes over loopback."""

import asyncio
from contextlib import asynccontextmanager
from contextlib import AsyncExitStack
from contextlib import suppress
from unittest.mock import patch

from poplarrack.byte_budgets import ByteBudget
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.exchanges import ANSWER_CODEC
from poplarrack.exchanges import Delivery
from poplarrack.exchanges import Verdict
from poplarrack.frames import build_frame
from poplarrack.frames import FRAME_HEADER
from poplarrack.frames import FrameKind
from poplarrack.frames import MAX_FRAME_BYTES
from poplarrack.messages import Digests
from poplarrack.messages import DigestsAnswer
from poplarrack.messages import ProbeRequest
from poplarrack.stream_servers import StreamServer
from poplarrack.streams import AVOID_AFTER_SECONDS
from poplarrack.streams import PeerStreams
from poplarrack.streams import PROBE_AFTER_SECONDS
from poplarrack.streams import PROBE_TIMEOUT_SECONDS
from poplarrack.traffic import PeerTraffic
from tests.support import build_load_tests
from tests.test_receivers import request

load_tests = build_load_tests(__name__)

DIGESTS = Digests('n1', 7, 1, 2, 3)


class FakeReceiver:
    """Answers requests at once, or not at all if ``never_answers`` is set."""

    def __init__(self, never_answers=False):
        self.never_answers = never_answers
        self.requests = []
        self.cancelled = asyncio.Event()

    def receive(self, routed, reply, upload=None, in_pieces=False):
        self.requests.append(routed)
        if not self.never_answers:
            reply(Delivery(Verdict.ANSWERED, 200, [], routed.body))
        return routed

    def cancel(self, received):
        self.cancelled.set()


async def on_compare(message):
    return DigestsAnswer(message)


async def on_failure(message):
    raise PoplarrackError(ErrorKind.STALE_DELTA, 'not today')


@asynccontextmanager
async def connected(receiver, budgets=(None, None)):
    """Yield PeerStreams and the address of a server for a receiver.

    :param budgets: the ByteBudgets of the server and of the streams.
    """
    handlers = {'Compare': on_compare, 'Probe': on_failure}
    server = StreamServer(PeerTraffic(), receiver, handlers, budgets[0])
    await server.listen('127.0.0.1:0')
    port = server.listener.sockets[0].getsockname()[1]
    streams = PeerStreams(PeerTraffic(), 2.0, budgets[1])
    try:
        yield streams, f'127.0.0.1:{port}'
    finally:
        await streams.close()
        await server.close()


@asynccontextmanager
async def endless_peer():
    """Yield the address of a peer whose first answer has no end."""

    async def serve(reader, writer):
        with suppress(OSError, asyncio.IncompleteReadError):
            kind = None
            while kind != FrameKind.REQUEST:
                size, kind, message_id = FRAME_HEADER.unpack(
                    await reader.readexactly(FRAME_HEADER.size)
                )
                await reader.readexactly(size)
            writer.write(
                FRAME_HEADER.pack(
                    MAX_FRAME_BYTES, FrameKind.ANSWER, message_id
                )
            )
            while True:
                writer.write(bytes(100_000))
                await writer.drain()
        writer.transport.abort()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    try:
        yield f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
    finally:
        server.close()


async def deliver(streams, address, seconds=2.0, **more):
    """Send a request; return its Delivery."""
    future = asyncio.get_running_loop().create_future()
    streams.deliver(address, request(**more), seconds, future.set_result)
    return await asyncio.wait_for(future, 5)


def test_requests_and_control_messages_share_a_connection():
    async def run():
        async with connected(FakeReceiver()) as (streams, address):
            deliveries = await asyncio.gather(
                *(
                    deliver(streams, address, body=b'%d' % number)
                    for number in range(50)
                )
            )
            compared = await streams.call(address, 'Compare', DIGESTS)
            return (
                [item.body for item in deliveries],
                compared,
                len(streams.peers),
            )

    bodies, compared, peers = asyncio.run(run())
    assert bodies == [b'%d' % number for number in range(50)]
    assert compared.digests == DIGESTS
    assert peers == 1


def test_an_error_of_the_other_node_is_told():
    async def run():
        async with connected(FakeReceiver()) as (streams, address):
            try:
                await streams.call(address, 'Probe', ProbeRequest('n2'))
            except PoplarrackError as error:
                return error
            return None

    error = asyncio.run(run())
    assert error.kind is ErrorKind.PEER_UNAVAILABLE
    assert 'not today' in error.detail


def test_what_was_never_sent_did_not_run():
    async def run():
        streams = PeerStreams(PeerTraffic(), 2.0)
        return await deliver(streams, '127.0.0.1:1')

    assert asyncio.run(run()).verdict is Verdict.NOT_RUN


# A request whose time was over while its connection was still being opened was
# answered 504, though it was not sent: on swiftpay's busy day 54 or more.
def test_what_was_not_sent_in_time_did_not_run():
    async def run():
        receiver = FakeReceiver()
        async with connected(receiver) as (streams, address):
            delivery = await deliver(streams, address, seconds=0.0)
            while not streams.peers[address].connected:
                await asyncio.sleep(0)
            return delivery, len(receiver.requests)

    delivery, received = asyncio.run(run())
    assert (delivery.verdict, received) == (Verdict.NOT_RUN, 0)


def test_what_was_sent_and_not_answered_may_have_run():
    async def run():
        async with connected(FakeReceiver(never_answers=True)) as (
            streams,
            address,
        ):
            first = asyncio.ensure_future(deliver(streams, address))
            while not streams.peers or not streams.peers[address].connected:
                await asyncio.sleep(0)
            streams.peers[address].stream.transport.abort()
            return await first

    assert asyncio.run(run()).verdict is Verdict.LOST


def test_a_withdrawn_request_is_cancelled_over_there():
    async def run():
        receiver = FakeReceiver(never_answers=True)
        async with connected(receiver) as (streams, address):
            cancel = streams.deliver(address, request(), 5.0, print)
            while not receiver.requests:
                await asyncio.sleep(0)
            cancel()
            await asyncio.wait_for(receiver.cancelled.wait(), 5)
            return True

    assert asyncio.run(run())


def test_time_over_cancels_and_may_have_run():
    async def run():
        receiver = FakeReceiver(never_answers=True)
        async with connected(receiver) as (streams, address):
            delivery = await deliver(streams, address, seconds=0.05)
            await asyncio.wait_for(receiver.cancelled.wait(), 5)
            return delivery

    assert asyncio.run(run()).verdict is Verdict.LOST


def test_a_silent_connection_is_avoided_then_given_up():
    async def run():
        writers = []
        silent = await asyncio.start_server(
            lambda reader, writer: writers.append(writer), '127.0.0.1', 0
        )
        port = silent.sockets[0].getsockname()[1]
        address = f'127.0.0.1:{port}'
        streams = PeerStreams(PeerTraffic(), 9.0)
        avoided = []
        streams.on_unresponsive = avoided.append
        request_task = asyncio.ensure_future(deliver(streams, address, 9.0))
        while not streams.peers or not streams.peers[address].connected:
            await asyncio.sleep(0)
        now = asyncio.get_running_loop().time() + PROBE_AFTER_SECONDS + 0.1
        streams.check_liveness(now)
        streams.check_liveness(now + AVOID_AFTER_SECONDS + 0.01)
        avoided_before_abort = list(avoided)
        streams.check_liveness(now + PROBE_TIMEOUT_SECONDS + 0.01)
        delivery = await request_task
        silent.close()
        for writer in writers:
            writer.close()
        return avoided_before_abort == [address], delivery

    avoided, delivery = asyncio.run(run())
    assert avoided
    assert delivery.verdict is Verdict.LOST


# LOST: a node that stood still after a probe, or was busy in one turn of its
# event loop, gave a peer up whose answers waited in the socket.
def test_a_connection_whose_answer_waits_is_not_silent():
    async def run():
        writers = []
        late = await asyncio.start_server(
            lambda reader, writer: writers.append(writer), '127.0.0.1', 0
        )
        port = late.sockets[0].getsockname()[1]
        address = f'127.0.0.1:{port}'
        streams = PeerStreams(PeerTraffic(), 9.0)
        avoided = []
        streams.on_unresponsive = avoided.append
        request_task = asyncio.ensure_future(deliver(streams, address, 9.0))
        while not writers or not streams.peers[address].connected:
            await asyncio.sleep(0)
        now = asyncio.get_running_loop().time() + PROBE_AFTER_SECONDS + 0.1
        streams.check_liveness(now)
        # In one turn of the event loop: written, and not read.
        writers[0].write(build_frame(FrameKind.PONG, 0))
        streams.check_liveness(now + PROBE_TIMEOUT_SECONDS + 0.1)
        payload = ANSWER_CODEC.encode(Delivery(Verdict.NOT_RUN))
        writers[0].write(build_frame(FrameKind.ANSWER, 1, payload))
        delivery = await request_task
        late.close()
        writers[0].close()
        await streams.close()
        return avoided, delivery.verdict

    assert asyncio.run(run()) == ([], Verdict.NOT_RUN)


# LOST: each peer could fill 72 MB, so that a few took a node over its memory.
def test_answers_of_peers_without_end_share_one_bound():
    async def run():
        budget = ByteBudget(1_000_000)
        async with AsyncExitStack() as stack:
            streams, sound = await stack.enter_async_context(
                connected(FakeReceiver(), (None, budget))
            )
            faulty = [
                await stack.enter_async_context(endless_peer())
                for _ in range(5)
            ]
            lost = [
                asyncio.ensure_future(deliver(streams, address))
                for address in faulty
            ]
            served, most = [], 0
            while not all(item.done() for item in lost):
                served.append(await deliver(streams, sound))
                most = max(most, budget.total_bytes)
            return [item.result().verdict for item in lost], served, most

    verdicts, served, most = asyncio.run(run())
    assert verdicts == [Verdict.LOST] * 5
    assert {item.verdict for item in served} == {Verdict.ANSWERED}
    assert 100_000 < most <= 1_000_000, most


def test_a_frame_that_is_skipped_affects_no_other():
    async def run(*budgets):
        async with connected(FakeReceiver(), budgets) as (streams, address):
            bodies = (b'a', bytes(3_000_000), b'b')
            deliveries = await asyncio.gather(
                *(deliver(streams, address, body=body) for body in bodies)
            )
            return [item.verdict for item in deliveries]

    small = ByteBudget(1_000_000)
    answered, lost = Verdict.ANSWERED, Verdict.LOST
    assert asyncio.run(run(None, small)) == [answered, lost, answered]
    not_run = Verdict.NOT_RUN
    assert asyncio.run(run(small, None)) == [answered, not_run, answered]
    assert small.total_bytes == 0


# LOST: a peer whose answer was coming in, but not complete yet, was given up
# because silence was measured to the next whole frame.
def test_a_peer_whose_answer_is_coming_in_is_not_silent():
    async def run():
        writers = []
        slow = await asyncio.start_server(
            lambda reader, writer: writers.append(writer), '127.0.0.1', 0
        )
        port = slow.sockets[0].getsockname()[1]
        address = f'127.0.0.1:{port}'
        streams = PeerStreams(PeerTraffic(), 9.0)
        avoided = []
        streams.on_unresponsive = avoided.append
        request_task = asyncio.ensure_future(deliver(streams, address, 9.0))
        while not writers or not streams.peers[address].connected:
            await asyncio.sleep(0)
        stream = streams.peers[address].stream
        now = asyncio.get_running_loop().time() + PROBE_AFTER_SECONDS + 0.1
        streams.check_liveness(now)
        payload = ANSWER_CODEC.encode(Delivery(Verdict.NOT_RUN))
        frame = build_frame(FrameKind.ANSWER, 1, payload)
        writers[0].write(frame[:-1])
        while len(stream.buffer) < len(frame) - 1:
            await asyncio.sleep(0)
        stream.last_received_at = now + PROBE_TIMEOUT_SECONDS + 0.05
        streams.check_liveness(now + PROBE_TIMEOUT_SECONDS + 0.1)
        writers[0].write(frame[-1:])
        delivery = await request_task
        slow.close()
        writers[0].close()
        await streams.close()
        return avoided, delivery.verdict

    assert asyncio.run(run()) == ([], Verdict.NOT_RUN)


# LOST: requests that were sent while a probe had no answer must not count as
# signs of life of a peer that is gone.
def test_new_requests_do_not_keep_a_silent_peer():
    async def run():
        silent = await asyncio.start_server(
            lambda reader, writer: None, '127.0.0.1', 0
        )
        address = f'127.0.0.1:{silent.sockets[0].getsockname()[1]}'
        streams = PeerStreams(PeerTraffic(), 9.0)
        avoided = []
        streams.on_unresponsive = avoided.append
        loop = asyncio.get_running_loop()
        first = asyncio.ensure_future(deliver(streams, address, 9.0))
        while not (streams.peers and streams.peers[address].connected):
            await asyncio.sleep(0)
        stream = streams.peers[address].stream
        probed_at = loop.time() + PROBE_AFTER_SECONDS + 0.1
        streams.check_liveness(probed_at)
        assert stream.probe_sent_at == probed_at
        stream.pending.popitem()[1].on_done(None, b'', None)
        await first
        with patch.object(loop, 'time', lambda: probed_at + 0.5):
            second = asyncio.ensure_future(deliver(streams, address, 9.0))
            while not stream.pending:
                await asyncio.sleep(0)
        streams.check_liveness(probed_at + PROBE_TIMEOUT_SECONDS + 0.1)
        delivery = await asyncio.wait_for(second, 2.0)
        silent.close()
        await streams.close()
        return avoided == [address], delivery.verdict

    assert asyncio.run(run()) == (True, Verdict.LOST)
