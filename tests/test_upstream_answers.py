"""Test that an exchange ends with its own answer, whatever else is sent."""

import asyncio
from dataclasses import dataclass
from random import Random
from unittest import TestCase

from poplarrack.upstream_exchanges import Exchange
from poplarrack.upstream_exchanges import Outcome
from poplarrack.upstream_pools import UpstreamPool
from poplarrack.upstreams import UpstreamConnection
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

ECHO = b'x-id'
SEQUENCES = 6_000
EXCHANGES = 4
STATUSES = (200, 200, 404, 500, 503)
FRAMINGS = ('length', 'length', 'chunked', 'trailers', 'end')


class FakeTransport:
    """Accepts all bytes, and closes without telling the protocol."""

    def __init__(self):
        self.closed = False

    def write(self, data):
        pass

    def abort(self):
        self.closed = True

    def is_closing(self):
        return self.closed

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, name):
        return None

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


class Caller:
    """Sends exchanges over a pool's connections, without a socket."""

    def __init__(self):
        self.pool = UpstreamPool('127.0.0.1:1', 1_000_000, 1.0)
        self.connection = None
        self.sent = 0

    def send(self, echo=True, bodiless=False, on_begin=None):
        """Send a request.

        :param on_begin: takes a long answer in pieces, as Exchange says.
        :returns: a list to which the outcome and the answer are added.
        """
        if self.pool.idle:
            self.connection = self.pool.idle.pop()
        else:
            self.connection = UpstreamConnection(self.pool)
            self.connection.connection_made(FakeTransport())
        self.sent += 1
        done = []
        assert self.connection.try_send(
            Exchange(
                self.pool,
                b'',
                bodiless,
                lambda *item: done.append(item),
                (ECHO, self.own_id) if echo else None,
                on_begin=on_begin,
            )
        )
        return done

    @property
    def own_id(self):
        return b'r%d' % self.sent

    @property
    def closed(self):
        return self.connection.transport.closed

    def receive(self, data):
        if not self.closed:
            self.connection.data_received(memoryview(data))

    def end(self, error=None):
        """End the connection, in order or with an error."""
        if not self.closed:
            if error is None:
                self.connection.eof_received()
            self.connection.connection_lost(error)
            self.connection.transport.closed = True


def head(status=200, call_id=b'r1', *lines):
    fields = (b'HTTP/1.1 %d Some reason' % status, b'x-id: ' + call_id)
    stamp = (b'x-stamp: s-' + call_id,)
    return b'\r\n'.join((*fields, *lines, *stamp, b'', b''))


def answer(call_id=b'r1', body=b'ok', status=200, *lines):
    length = b'content-length: %d' % len(body)
    return head(status, call_id, length, *lines) + body


def exchange(*segments, end=False, **more):
    """Return how an exchange ended, and whether its connection is kept."""

    async def run():
        caller = Caller()
        done = caller.send(**more)
        for segment in segments:
            caller.receive(segment)
        if end:
            caller.end()
        outcome, found = (*done, (None, None))[0]
        assert len(done) < 2 and not caller.connection.body.size
        assert not done or not caller.pool.budget.held_bytes
        return outcome, found and found.body, not caller.closed

    return asyncio.run(run())


# MIXED: the connection was reused inside the copy, whose rest was put in front
# of the next answer's body.
def test_a_connection_is_not_reused_inside_a_second_answer():
    async def run(size):
        caller = Caller()
        first = caller.send()
        own = answer(body=b'first')
        caller.receive((own + answer(body=b'c' * 90))[: len(own) + size])
        assert first[0][1].body == b'first'
        assert caller.closed and not caller.pool.idle, size

    for size in range(1, 200, 7):
        asyncio.run(run(size))


# MIXED: the status came from an earlier answer that was cut off, and the
# stamp and the body from the own one.
def test_the_rest_of_a_head_that_was_cut_off_is_no_answer():
    own = answer(b'r1', b'ok', 500)
    stray = answer(b'r0', b'x')
    for cut in range(1, len(stray) - 1):
        outcome, body, kept = exchange(stray[:cut] + own)
        assert outcome in (Outcome.LOST, None), (stray[:cut], body)
        outcome, body, kept = exchange(stray[:cut], own[:13], own[13:])
        assert outcome in (Outcome.LOST, None), (stray[:cut], body)
    assert exchange(stray + own) == (Outcome.ANSWERED, b'ok', True)


# LOST: a complete answer was given up for the bytes behind it.
def test_an_answer_is_delivered_whatever_comes_behind_it():
    own = answer()
    for extra in (own, own[:9], b'\0garbage', b'HTTP/1.1 200 \0'):
        assert exchange(own + extra) == (Outcome.ANSWERED, b'ok', False)
    last = answer(b'r1', b'ok', 200, b'connection: close')
    for extra in (b'', own, last, b'garbage'):
        assert exchange(last + extra) == (Outcome.ANSWERED, b'ok', False)


# MIXED: an answer that is cut off looks complete when the next one fills it.
def test_an_answer_filled_by_the_next_one_is_lost():
    own = answer(body=b'b' * 60)
    for cut in range(1, 60):
        assert exchange(own[:-cut] + own)[0] is Outcome.LOST, cut


# MIXED: the answer to a HEAD request was complete with any head.
def test_a_head_is_complete_only_with_its_own_head():
    def exchange_head(*segments):
        return exchange(*segments, bodiless=True)[0]

    own = head(200, b'r1', b'content-length: 90')
    interim = b'HTTP/1.1 103 Hints\r\nlink: x\r\n\r\n'
    assert exchange_head(own) is Outcome.ANSWERED
    assert exchange_head(interim + own) is Outcome.ANSWERED
    assert exchange_head(interim) is None
    assert exchange_head(answer(b'r0') + own) is Outcome.LOST


def test_an_interim_answer_leaves_nothing_behind():
    interim = head(100, b'r0', b'link: x')
    assert exchange(interim * 2, answer()) == (Outcome.ANSWERED, b'ok', True)
    for spoiled in (
        head(100, b'r1', b'content-length: 4') + b'rest' + answer(),
        head(101, b'r1', b'upgrade: x', b'connection: upgrade') + answer(),
        head(99, b'r1', b'content-length: 0'),
        interim,
    ):
        assert exchange(spoiled, end=True)[0] is Outcome.LOST, spoiled


def test_two_different_ids_are_no_id():
    two = answer(b'r1', b'ok', 200, b'x-id: r0')
    assert exchange(two, end=True)[0] is Outcome.LOST


# Logs didn't tell which answers were skipped, or what came behind one.
def test_what_is_out_of_step_is_logged():
    logger = 'poplarrack.upstreams'
    with TestCase().assertLogs(logger, 'INFO') as logs:
        exchange(answer(b'r0') + answer() + answer(), b'x')
    skipped, behind = logs.records
    assert skipped.msg == behind.msg == 'answer_out_of_step'
    assert skipped.outcome == 'answer to another request'
    assert (skipped.request, skipped.other) == ('r1', 'r0')
    assert (behind.outcome, behind.request) == ('bytes after the answer', 'r1')


# A trailer, which a cut answer's chunks may take from the next head, could
# name the id of the request.
def test_a_trailer_is_no_header():
    raw = head(200, b'r0', b'transfer-encoding: chunked') + b'0\r\n'
    raw = raw.replace(b'x-id: r0\r\n', b'') + b'x-id: r1\r\n\r\n'
    assert exchange(raw, end=True)[0] is Outcome.LOST


# Nothing but a blank line may stay unseen after an answer.
def test_a_blank_line_after_an_answer_does_no_harm():
    async def run(line):
        caller = Caller()
        caller.send()
        caller.receive(answer() + line)
        assert caller.pool.idle == [caller.connection]
        done = caller.send()
        caller.receive(answer(b'r2'))
        assert done[0][0] is Outcome.ANSWERED

    for line in (b'\r\n', b'\r', b'\n\r\n'):
        asyncio.run(run(line))


# A request was called lost, so that it was not offered to another endpoint,
# though its connection had been reset before it took a byte.
def test_a_request_that_no_connection_took_was_never_sent():
    async def run(is_idle):
        pool = UpstreamPool('127.0.0.1:1', 1_000, 1.0)
        loop = asyncio.get_running_loop()

        async def connect(build, host, port):
            connection = build()
            connection.connection_made(FakeTransport())
            connection.transport.abort()
            connection.connection_lost(ConnectionResetError())

        loop.create_connection = connect
        if is_idle:
            kept = UpstreamConnection(pool)
            kept.connection_made(FakeTransport())
            pool.open += 1
            pool.release(kept)
            kept.transport.abort()
        done = []
        pool.start(b'', False, 5.0, lambda *item: done.append(item))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert done == [(Outcome.NEVER_SENT, None)]
        assert (pool.open, pool.idle, pool.budget.held_bytes) == (0, [], {})

    asyncio.run(run(False))
    asyncio.run(run(True))


def test_a_closing_connection_is_not_pooled():
    async def run():
        caller = Caller()
        caller.send()
        caller.connection.detach()
        caller.connection.transport.abort()
        caller.pool.release(caller.connection)
        assert caller.pool.idle == []

    asyncio.run(run())


@dataclass
class SentAnswer:
    """An answer as the server meant it."""

    call_id: bytes
    status: int
    body: bytes
    framing: str
    raw: bytes


def draw_answer(random, call_id):
    status = random.choice(STATUSES)
    size = random.choice((0, 1, 9, 60, 300))
    body = bytes(random.choices(b'ab 1\r\n', k=size))
    framing = random.choice(FRAMINGS)
    lines = []
    raw_body = body
    if framing == 'length':
        lines.append(b'content-length: %d' % len(body))
    elif framing != 'end':
        lines.append(b'transfer-encoding: chunked')
        cut = random.randint(0, len(body))
        parts = [part for part in (body[:cut], body[cut:]) if part]
        raw_body = b''.join(b'%x\r\n%b\r\n' % (len(p), p) for p in parts)
        trailer = b'x-sum: 1\r\n' if framing == 'trailers' else b''
        raw_body += b'0\r\n' + trailer + b'\r\n'
    if random.random() < 0.1:
        lines.append(b'connection: close')
    raw = head(status, call_id, *lines) + raw_body
    return SentAnswer(call_id, status, body, framing, raw)


class RandomServer:
    """Draws what a faulty server sends on one connection.

    Before an answer it sends copies of the one before, and after an answer
    copies of that; each may be cut off. An answer that is cut off itself is
    the last on its connection.
    """

    def __init__(self, random):
        self.random = random
        self.last = None
        # What the caller has not read yet.
        self.unread = b''
        self.sends_whole = True
        self.sends_only_whole = True

    def draw(self, call_id):
        """Add what is sent for a request to ``unread``.

        :returns: the SentAnswer.
        """
        random = self.random
        own = draw_answer(random, call_id)
        self.sends_only_whole = not self.unread
        before = self._draw_copy(self.last)
        if random.random() < 0.1:
            before += b'HTTP/1.1 100 Continue\r\nx-id: r0\r\n\r\n'
        raw = own.raw
        self.sends_whole = random.random() < 0.85
        if not self.sends_whole:
            raw = raw[: random.randrange(len(raw))]
        self.unread += before + raw
        only_whole = self.sends_only_whole
        if self.sends_whole and own.framing != 'end':
            self.unread += self._draw_copy(own)
        self.sends_only_whole = only_whole
        self.last = own
        return own

    def _draw_copy(self, item):
        choice = self.random.random()
        if item is None or item.framing == 'end' or choice < 0.4:
            return b''
        if choice < 0.7 and b'connection: close' not in item.raw:
            return item.raw
        self.sends_only_whole = False
        return item.raw[: self.random.randrange(len(item.raw))]


def play(random, server, caller, done):
    """Deliver a server's answer in random segments.

    :returns: the SentAnswer, and whether it must arrive.
    """
    own = server.draw(caller.own_id)
    must_arrive = server.sends_whole and server.sends_only_whole
    while server.unread and not caller.closed:
        if done and random.random() < 0.5:
            # The rest comes after the next request.
            break
        size = random.choice((1, 5, 40, 200, 1000))
        caller.receive(server.unread[:size])
        server.unread = server.unread[size:]
    if not done:
        # Without a length, an answer that was cut off is told by the reset.
        is_cut = not server.sends_whole and own.framing == 'end'
        is_reset = is_cut or random.random() < 0.3
        caller.end(ConnectionResetError() if is_reset else None)
        must_arrive = must_arrive and not is_reset
    return own, must_arrive


async def play_sequence(random):
    """Play some exchanges; return their outcomes."""
    server, caller, connection, outcomes = None, Caller(), None, []
    for _ in range(EXCHANGES):
        done = caller.send()
        if caller.connection is not connection:
            server, connection = RandomServer(random), caller.connection
        own, must_arrive = play(random, server, caller, done)
        [(outcome, found)] = done
        outcomes.append(outcome)
        assert outcome is Outcome.ANSWERED or not must_arrive, own
        if outcome is Outcome.ANSWERED:
            assert server.sends_whole, own
            assert found.status == own.status, (own, found)
            assert found.header(b'x-stamp') == b's-' + own.call_id
            assert found.body == own.body, (own, found)
    assert not caller.pool.budget.held_bytes
    return outcomes


# MIXED: a success whose status, stamp or body was another answer's.
def test_each_exchange_ends_with_its_own_answer():
    async def run():
        outcomes = []
        for seed in range(SEQUENCES):
            try:
                outcomes += await play_sequence(Random(seed))
            except AssertionError as error:
                raise AssertionError(f'seed {seed}: {error}') from error
        return outcomes

    outcomes = asyncio.run(run())
    assert outcomes.count(Outcome.ANSWERED) > SEQUENCES
    assert outcomes.count(Outcome.LOST) > SEQUENCES / 4
