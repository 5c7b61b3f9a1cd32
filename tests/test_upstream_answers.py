"""Test that an exchange ends with its own answer, whatever else is sent."""

import asyncio

from poplarrack.upstreams import Exchange
from poplarrack.upstreams import Outcome
from poplarrack.upstreams import UpstreamConnection
from poplarrack.upstreams import UpstreamPool
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

ECHO = b'x-id'


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


class Caller:
    """Sends exchanges over a pool's connections, without a socket."""

    def __init__(self):
        self.pool = UpstreamPool('127.0.0.1:1', 1_000_000, 1.0)
        self.connection = None
        self.sent = 0

    def send(self, echo=True, bodiless=False):
        """Send a request.

        :returns: a list to which the outcome and the answer are added.
        """
        if self.pool.idle:
            self.connection = self.pool.idle.pop()
        else:
            self.connection = UpstreamConnection(self.pool)
            self.connection.connection_made(FakeTransport())
        self.sent += 1
        done = []
        self.connection.send(
            Exchange(
                self.pool,
                b'',
                bodiless,
                lambda *item: done.append(item),
                (ECHO, self.own_id) if echo else None,
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
        assert len(done) < 2 and caller.pool.buffered_bytes == 0
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
