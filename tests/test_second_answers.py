"""Test that a second answer never completes one that was broken off.

A server breaks an answer off and sends another one behind it on the same
connection, so that the first one's body is filled with foreign bytes.
"""

import asyncio
import socket

from poplarrack.body_pipes import MAX_WHOLE_BODY_BYTES
from poplarrack.upstream_exchanges import Outcome
from poplarrack.upstream_pools import DISTRUST_SECONDS
from tests.support import build_load_tests
from tests.test_upstream_answers import answer
from tests.test_upstream_answers import Caller
from tests.test_upstream_answers import ECHO
from tests.test_upstream_answers import head

load_tests = build_load_tests(__name__)

LONG_BODY = b'b' * (MAX_WHOLE_BODY_BYTES + 140_000)
READ_BYTES = 65_536
# Longer than a complete answer is held back.
SETTLE_SECONDS = 0.1


class PieceReader:
    """Takes an answer in pieces, as the next hop does."""

    def __init__(self):
        self.pipe = None
        self.taken = b''

    def begin(self, found, pipe):
        self.pipe = pipe
        pipe.open(self.take)
        return True

    def take(self):
        while self.pipe.size:
            self.taken += self.pipe.take()

    @property
    def has_whole(self):
        """Return whether the next hop takes the body for a whole one.

        It does from the last byte on, if it was told the length.
        """
        return self.pipe is not None and (
            self.pipe.is_done or self.pipe.length == len(self.taken)
        )


async def receive(*segments, settle=False, end=False, **more):
    """Deliver segments to an exchange that takes pieces.

    :returns: a function that returns its outcome, None while it goes on, the
        PieceReader and the Caller.
    """
    caller, reader = Caller(), PieceReader()
    done = caller.send(on_begin=reader.begin, **more)
    for segment in segments:
        for start in range(0, len(segment), READ_BYTES):
            caller.receive(segment[start : start + READ_BYTES])
    if end:
        caller.end()
    if settle:
        await asyncio.sleep(SETTLE_SECONDS)
    return lambda: done[0][0] if done else None, reader, caller


# MIXED: a body of 400 kB was passed on whole with the start of a second
# answer inside, as that start was in an earlier piece.
def test_a_long_answer_filled_by_the_next_one_is_lost():
    own = answer(body=LONG_BODY)

    async def run(size, *splits):
        raw = own[:size] + own
        cuts = (0, *splits, len(raw))
        segments = [raw[a:b] for a, b in zip(cuts, cuts[1:])]
        outcome, reader, caller = await receive(*segments)
        assert outcome() is Outcome.LOST, (size, splits)
        assert reader.pipe.failed and not reader.has_whole, (size, splits)
        assert caller.closed

    for size in range(1_000, len(own), 33_331):
        asyncio.run(run(size))
        for offset in range(-1, 7):
            # Reads that end inside the second answer's first bytes.
            asyncio.run(run(size, size + offset))


def test_a_long_answer_is_passed_on_whole():
    async def run():
        own = answer(body=LONG_BODY)
        outcome, reader, caller = await receive(own)
        assert outcome() is Outcome.ANSWERED and not caller.closed
        assert reader.has_whole and reader.taken == LONG_BODY

    asyncio.run(run())


# MIXED: nothing followed yet when the second answer had filled the first one,
# and the connection was even used again.
def test_an_answer_filled_exactly_at_the_end_of_a_read_is_lost():
    async def run(body, filled_by):
        own = answer(body=body)
        second_head = own[: -len(body)]
        cut = len(own) - len(second_head) + filled_by
        outcome, reader, caller = await receive(own[:cut], second_head)
        assert outcome() is None and not reader.has_whole, filled_by
        caller.receive(body[:9])
        assert outcome() is Outcome.LOST and caller.closed, filled_by
        assert not caller.pool.idle and not reader.has_whole

    async def run_end(body):
        # Its end shows only after the time that it is held back.
        own = answer(body=body)
        second_head = own[: -len(body)]
        cut = len(own) - len(second_head)
        outcome, reader, caller = await receive(
            own[:cut], second_head, settle=True
        )
        assert outcome() is Outcome.ANSWERED
        assert caller.closed and not caller.pool.idle

    for body in (b'b' * 300, LONG_BODY):
        # Line ends behind an answer are no sign of another one.
        for filled_by in (0, 2, 4):
            asyncio.run(run(body, filled_by))
        asyncio.run(run_end(body))


def test_a_whole_answer_about_answers_is_delivered_a_little_later():
    async def run(body, end=False):
        outcome, reader, caller = await receive(
            answer(body=body), settle=not end, end=end
        )
        assert outcome() is Outcome.ANSWERED and caller.closed
        assert not caller.pool.idle
        return reader

    text = b'The status line is HTTP/1.1 200 OK.'
    asyncio.run(run(text))
    asyncio.run(run(text, end=True))
    assert asyncio.run(run(LONG_BODY + text)).has_whole


def test_an_answer_that_may_be_filled_is_lost_with_a_reset():
    async def run():
        caller = Caller()
        done = caller.send()
        caller.receive(answer(body=b'HTTP/1.1 200'))
        caller.end(ConnectionResetError())
        assert done[0][0] is Outcome.LOST
        await asyncio.sleep(SETTLE_SECONDS)
        assert len(done) == 1 and not caller.pool.budget.held_bytes

    asyncio.run(run())


# MIXED: an answer that ends with its connection was passed on with a second
# answer inside its body.
def test_an_answer_without_a_length_that_holds_another_one_is_lost():
    own = head(200, b'r1', b'connection: close') + b'b' * 90
    long = head(200, b'r1', b'connection: close') + LONG_BODY

    async def run(*segments, echo=True):
        outcome, reader, _ = await receive(*segments, end=True, echo=echo)
        assert outcome() is not Outcome.ANSWERED, segments
        assert reader.pipe is None or not reader.pipe.ended

    for cut in range(len(own) - 80, len(own)):
        asyncio.run(run(own[:cut] + own))
        asyncio.run(run(own[:cut], own, echo=False))
    for cut in range(len(long) - 90_000, len(long), 7_001):
        asyncio.run(run(long[:cut] + long))
        asyncio.run(run(long[:cut], long[:40], long[40:]))


def test_an_answer_without_a_length_is_delivered_at_its_end():
    async def run(body):
        raw = head(200, b'r1', b'connection: close') + body
        outcome, reader, _ = await receive(raw, end=True)
        assert outcome() is Outcome.ANSWERED
        assert reader.pipe is None or reader.taken == body

    for body in (
        b'b',
        b'HTTP/1.1 200 is how an answer begins.\r\n',
        LONG_BODY,
    ):
        asyncio.run(run(body))


# MIXED: where answers echo no id, the start of a second answer, "no answer"
# and the connection's end were taken for an answer without a length.
def test_a_cut_head_is_no_answer_without_a_length():
    async def run(raw, expected):
        outcome, _, _ = await receive(raw, end=True, echo=False)
        assert outcome() is expected, raw

    second = answer(b'r0', b'x' * 9)
    for cut in range(1, second.index(b'\r\n\r\n')):
        raw = second[:cut] + b'no answer\r\n\r\n'
        asyncio.run(run(raw, Outcome.LOST))
    for raw in (
        b'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nbody',
        b'HTTP/1.1 200 OK\r\nconnection: Close, x\r\n\r\nbody',
        b'HTTP/1.0 200 OK\r\n\r\nbody',
    ):
        asyncio.run(run(raw, Outcome.ANSWERED))


# MIXED: where answers echo no id, the rest of a second answer was taken for
# the answer to the next request on the connection.
def test_a_connection_with_bytes_to_read_is_not_used_again():
    async def run(echo, expected):
        caller = Caller()
        caller.send(echo=echo)
        caller.receive(answer())
        [kept] = caller.pool.idle
        ours, theirs = socket.socketpair()
        with ours, theirs:
            kept.transport.get_extra_info = lambda name: ours
            theirs.send(b'HTTP/1.1 200 OK\r\n')
            caller.pool.start(
                b'',
                False,
                5.0,
                lambda *item: None,
                (ECHO, b'r') if echo else None,
            )
        assert (kept.exchange is not None) is expected
        assert kept.transport.closed is not expected

    asyncio.run(run(echo=False, expected=False))
    # An answer to another request is told apart there.
    asyncio.run(run(echo=True, expected=True))


def test_a_server_that_answers_twice_gets_a_connection_for_each_request():
    async def run(echo, expected):
        caller = Caller()
        caller.send(echo=echo)
        caller.receive(answer() + answer())
        assert caller.closed
        caller.send(echo=echo)
        caller.receive(answer(b'r2'))
        assert (caller.connection in caller.pool.idle) is expected
        now = asyncio.get_running_loop().time()
        pool = caller.pool
        assert pool.may_reuse(now) is expected
        assert pool.may_reuse(now + DISTRUST_SECONDS)

    asyncio.run(run(echo=False, expected=False))
    asyncio.run(run(echo=True, expected=True))
