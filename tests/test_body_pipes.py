"""Test how bodies are passed on in pieces, hop by hop."""

import asyncio
from contextlib import asynccontextmanager
from contextlib import contextmanager

from poplarrack.body_pipes import BodyPipe
from poplarrack.body_pipes import MAX_WHOLE_BODY_BYTES
from poplarrack.body_pipes import PIECE_BYTES
from poplarrack.body_pipes import WholeBody
from poplarrack.body_pipes import WINDOW_BYTES
from poplarrack.byte_budgets import ByteBudget
from poplarrack.callers import CallServer
from poplarrack.exchanges import Delivery
from poplarrack.exchanges import Verdict
from poplarrack.http_messages import build_answer
from poplarrack.http_messages import build_answer_head
from poplarrack.resources import CallerLimits
from tests.support import build_load_tests
from tests.support import fixture
from tests.test_callers import ManualClock
from tests.test_calls import GatedServer
from tests.test_receivers import receiver_of
from tests.test_receivers import request
from tests.test_streams import connected
from tests.test_streams import deliver
from tests.test_streams import FakeReceiver

load_tests = build_load_tests(__name__)

LONG = MAX_WHOLE_BODY_BYTES * 4
# More than the kernel holds between two ends.
ENDLESS = 64 * LONG
WAITS = {'max_wait_ms': 400, 'time_left_ms': 500}
UPLOAD = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n' % LONG


class RecordingSource:
    """The source of a pipe that records what it is told."""

    def __init__(self):
        self.told = []

    def on_pipe_opened(self, pipe):
        self.told.append('opened')

    def on_pipe_taken(self, pipe):
        self.told.append('taken')

    def on_pipe_closed(self, pipe):
        self.told.append('closed')


class Holder:
    """A holder of the budget that records that it gave way."""

    def __init__(self):
        self.gave_up = False

    def give_up(self):
        self.gave_up = True


class SlowSource(RecordingSource):
    """Puts a body into its pipe as room comes free."""

    def __init__(self, size):
        super().__init__()
        self.left = size
        self.pipe = BodyPipe(self, size)

    def fill(self):
        while self.left and not self.pipe.is_full:
            size = min(self.left, PIECE_BYTES)
            self.left -= size
            self.pipe.put(bytes(size))
        if not self.left:
            self.pipe.end()

    def on_pipe_opened(self, pipe):
        self.fill()

    def on_pipe_taken(self, pipe):
        asyncio.get_running_loop().call_soon(self.fill)


# LOST: the holder with the most bytes gave way, though it was the fastest.
def test_what_moves_least_gives_way():
    clock = ManualClock()
    budget = ByteBudget(1_000, clock)
    still, quick, new = Holder(), Holder(), Holder()
    budget.hold(still, 400)
    for _ in range(10):
        clock.now += 1.0
        budget.hold(quick, 500)
        budget.hold(quick, 450)
    budget.hold(new, 300)
    assert (still.gave_up, quick.gave_up, new.gave_up) == (True, False, False)
    assert budget.total_bytes == 750


def test_a_body_that_gives_way_ends_on_both_sides():
    source, seen = RecordingSource(), []
    budget = ByteBudget(WINDOW_BYTES)
    pipe = BodyPipe(source, LONG, budget)
    pipe.open(lambda: seen.append(pipe.failed))
    pipe.put(bytes(WINDOW_BYTES + 1))
    assert pipe.failed and seen[-1] and source.told[-1] == 'closed'
    assert not budget.total_bytes and not budget.held_bytes


def test_a_whole_body_is_bounded_by_the_budget():
    async def run(max_bytes):
        source = SlowSource(LONG)
        source.pipe.budget = ByteBudget(max_bytes)
        return await asyncio.wait_for(WholeBody(source.pipe).read(), 5)

    assert len(asyncio.run(run(4 * LONG))) == LONG
    assert asyncio.run(run(LONG // 2)) is None


class PieceReceiver(FakeReceiver):
    """Answers in pieces, and reads what is uploaded when it is told to."""

    def __init__(self):
        super().__init__()
        self.sources = []
        self.uploads = []

    def receive(self, routed, reply, upload=None, in_pieces=False):
        self.uploads.append(upload)
        if routed.target != '/long':
            return super().receive(routed, reply)
        assert in_pieces
        source = SlowSource(LONG)
        self.sources.append(source)
        answer = Delivery(Verdict.ANSWERED, 200, streamed_bytes=LONG)
        reply(answer, source.pipe)
        return routed


async def ask(streams, address, **more):
    """Send a request for an answer in pieces; return its BodyPipe."""
    future = asyncio.get_running_loop().create_future()
    streams.deliver(
        address,
        request(target='/long', **more),
        2.0,
        lambda delivery, body=None: future.set_result(body),
    )
    return await asyncio.wait_for(future, 5)


async def wait_for(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


# LOST: an answer that nobody read was held whole in both nodes.
def test_a_slow_answer_takes_its_window_and_holds_up_no_other():
    async def run():
        receiver = PieceReceiver()
        async with connected(receiver) as (streams, address):
            slow = await ask(streams, address)
            await asyncio.sleep(0.1)
            assert slow.size <= WINDOW_BYTES
            assert receiver.sources[0].left >= LONG - 3 * WINDOW_BYTES
            answers = [await deliver(streams, address) for _ in range(10)]
            assert {item.status for item in answers} == {200}
            whole = await asyncio.wait_for(WholeBody(slow).read(), 5)
            assert len(whole) == LONG

    asyncio.run(run())


def test_an_answer_that_is_not_wanted_any_more_stops():
    async def run():
        receiver = PieceReceiver()
        async with connected(receiver) as (streams, address):
            body = await ask(streams, address)
            body.close()
            await asyncio.wait_for(receiver.cancelled.wait(), 0.5)
            await wait_for(lambda: receiver.sources[0].told)
            assert receiver.sources[0].told == ['closed']

    asyncio.run(run())


def test_an_answer_ends_with_its_connection():
    async def run():
        async with connected(PieceReceiver()) as (streams, address):
            body = await ask(streams, address)
            streams.peers[address].stream.transport.abort()
            await wait_for(lambda: body.failed)

    asyncio.run(run())


# LOST: a request that was not run could not be offered elsewhere, as a part
# of its body was gone.
def test_nothing_of_a_body_leaves_before_its_request_runs():
    async def run():
        receiver = PieceReceiver()
        receiver.never_answers = True
        async with connected(receiver) as (streams, address):
            assert await streams.takes_pieces(address, 1.0)
            source = SlowSource(LONG)
            cancel = streams.deliver(
                address,
                request(streamed_bytes=LONG),
                2.0,
                lambda delivery: None,
                source.pipe,
            )
            await wait_for(lambda: receiver.uploads)
            assert not source.pipe.opened and source.left == LONG
            body = await WholeBody(receiver.uploads[0]).read()
            assert len(body) == LONG and source.pipe.is_done
            cancel()

    asyncio.run(run())


def test_a_node_of_an_earlier_build_gets_whole_messages():
    async def run():
        async with connected(FakeReceiver()) as (streams, address):
            await deliver(streams, address)
            stream = streams.peers[address].stream
            await wait_for(lambda: stream.knows_pieces)
            # As if its HELLO had not come.
            stream.knows_pieces = None
            assert not await streams.takes_pieces(address, 1.0)

    asyncio.run(run())


# LOST: bodies that waited whole at an endpoint's node were not counted.
def test_a_whole_body_that_waits_gives_way_as_not_run():
    async def run():
        server = GatedServer()
        async with receiver_of(server) as receiver:
            budget = ByteBudget(3 * PIECE_BYTES)
            peers = connected(receiver, (budget, None))
            async with peers as (streams, address):
                body = bytes(PIECE_BYTES)
                offers = [
                    asyncio.ensure_future(
                        deliver(streams, address, 5.0, body=body, **WAITS)
                    )
                    for _ in range(5)
                ]
                done, _ = await asyncio.wait(
                    offers, timeout=5, return_when=asyncio.FIRST_COMPLETED
                )
                verdicts = {item.result().verdict for item in done}
                assert verdicts <= {Verdict.NOT_RUN, Verdict.LOST}, verdicts
                assert budget.total_bytes <= budget.max_bytes
                server.gate.set()
                await asyncio.gather(*offers)

    asyncio.run(run())


class Callers:
    """A dispatcher that keeps what it starts, and its server."""

    takes_uploads = True

    def __init__(self):
        self.counts = {'refused_too_large': 0, 'refused_malformed_request': 0}
        self.started = []
        self.cancelled = []
        self.clock = ManualClock()
        self.server = CallServer(self, self.clock)
        self.server.limits = CallerLimits('callers', max_body_bytes=4 * LONG)

    def start(self, request, respond):
        self.started.append((request, respond))
        return request

    def may_overlap(self, request):
        return request.method == 'GET'

    def cancel(self, call):
        self.cancelled.append(call)

    @asynccontextmanager
    async def connected(self):
        errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, error: errors.append(error))
        port = await self.server.listen(loop, '127.0.0.1', 0)
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        try:
            yield reader, writer
        finally:
            if not writer.is_closing():
                writer.transport.abort()
            self.server.listener.close()
            self.server.socket.close()
            await asyncio.sleep(0)
            # Such as a transport that is closed within its own callback.
            assert not errors, errors

    async def begin(self, writer, raw):
        """Send the start of a request; return it and its ``respond``."""
        writer.write(raw)
        await wait_for(lambda: self.started)
        return self.started.pop()


@fixture
@contextmanager
def callers():
    yield Callers()


def test_a_caller_continues_once_its_body_is_wanted(callers):
    async def run():
        async with callers.connected() as (reader, writer):
            raw = UPLOAD + b'expect: 100-continue\r\n\r\n'
            started, _ = await callers.begin(writer, raw)
            await asyncio.sleep(0.05)
            assert not reader._buffer
            started.upload.open(lambda: None)
            head = await reader.readuntil(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 100 ')

    asyncio.run(run())


def test_a_caller_that_may_not_continue_is_closed_after_its_answer(callers):
    async def run():
        async with callers.connected() as (reader, writer):
            raw = UPLOAD + b'expect: 100-continue\r\n\r\n'
            _, respond = await callers.begin(writer, raw)
            respond(build_answer(503, [], b'no', True), True)
            assert (await reader.read()).startswith(b'HTTP/1.1 503 ')

    asyncio.run(run())


# MIXED: the rest of a body went on to an endpoint after its answer.
def test_what_follows_an_early_answer_goes_nowhere(callers):
    async def run():
        async with callers.connected() as (reader, writer):
            started, respond = await callers.begin(writer, UPLOAD + b'\r\n')
            respond(build_answer(200, [], b'early', True), True)
            await reader.readuntil(b'early')
            writer.write(bytes(LONG))
            raw = b'GET /next HTTP/1.1\r\nhost: a\r\n\r\n'
            following, _ = await callers.begin(writer, raw)
            assert following.target == '/next'
            assert not started.upload.size

    asyncio.run(run())


def test_a_body_without_a_length_is_passed_on(callers):
    async def run():
        async with callers.connected() as (_, writer):
            raw = b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'
            raw += b'%x\r\n%b\r\n' % (LONG, bytes(LONG)) + b'0\r\n\r\n'
            started, _ = await callers.begin(writer, raw)
            body = await asyncio.wait_for(WholeBody(started.upload).read(), 5)
            assert body == bytes(LONG) and started.upload.length is None

    asyncio.run(run())


def test_a_caller_that_leaves_breaks_its_body_off(callers):
    async def run():
        async with callers.connected() as (_, writer):
            started, _ = await callers.begin(writer, UPLOAD + b'\r\n')
            # Not all is read, as nothing is taken. The kernel holds the rest:
            # an end behind more than that can't be seen.
            writer.write(bytes(WINDOW_BYTES + 1_000))
            await wait_for(lambda: callers.server.paused)
            writer.transport.abort()
            await asyncio.sleep(0.1)
            callers.server.end_abandoned()
            await wait_for(lambda: started.upload.failed)
            assert callers.cancelled == [started]

    asyncio.run(run())


# GONE: the end of a caller that sent more than is read was only seen once the
# endpoint read on.
def test_a_caller_that_leaves_bytes_behind_breaks_its_body_off(callers):
    async def run():
        async with callers.connected() as (_, writer):
            started, _ = await callers.begin(writer, UPLOAD + b'\r\n')
            writer.write(bytes(LONG - 1))
            await wait_for(lambda: callers.server.paused)
            writer.close()
            await asyncio.sleep(0.1)
            callers.server.end_abandoned()
            await wait_for(lambda: started.upload.failed)
            assert callers.cancelled == [started]

    asyncio.run(run())


def respond_in_pieces(respond, length):
    """Begin an answer that the kernel does not hold; return its source."""
    source = SlowSource(ENDLESS)
    source.pipe.length = length
    chunked = length is None
    head = build_answer_head(200, [], length, True, chunked)
    respond(head, True, source.pipe, chunked)
    return source


# LOST: an answer that broke off looked complete.
def test_an_answer_that_breaks_off_does_not_look_complete(callers):
    async def run(length):
        async with callers.connected() as (reader, writer):
            raw = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
            _, respond = await callers.begin(writer, raw)
            source = respond_in_pieces(respond, length)
            await reader.readuntil(b'\r\n\r\n')
            source.fill = lambda: None
            source.pipe.fail()
            try:
                rest = await reader.read()
            except OSError:
                rest = b''
            return rest

    assert len(asyncio.run(run(ENDLESS))) < ENDLESS
    callers.__init__()
    assert not asyncio.run(run(None)).endswith(b'0\r\n\r\n')


def test_a_caller_that_takes_nothing_is_let_go_after_the_idle_time(callers):
    async def run():
        async with callers.connected() as (reader, writer):
            writer.transport.pause_reading()
            raw = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
            _, respond = await callers.begin(writer, raw)
            (connection,) = callers.server.connections
            connection.write(bytes(ENDLESS))
            source = respond_in_pieces(respond, ENDLESS)
            idle_seconds = callers.server.limits.idle_timeout_seconds
            callers.server.expire(callers.clock())
            callers.clock.now += idle_seconds - 0.1
            callers.server.expire(callers.clock())
            assert not connection.transport.is_closing()
            callers.clock.now += 0.2
            callers.server.expire(callers.clock())
            assert connection.transport.is_closing()
            assert source.told[-1] == 'closed'

    asyncio.run(run())
