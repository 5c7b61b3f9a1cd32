"""Test that a second answer never completes one that was broken off.

A server breaks an answer off and sends another one behind it on the same
connection, so that the first one's body is filled with foreign bytes.
"""

import asyncio

from poplarrack.body_pipes import MAX_WHOLE_BODY_BYTES
from poplarrack.upstreams import Outcome
from tests.support import build_load_tests
from tests.test_upstream_answers import answer
from tests.test_upstream_answers import Caller

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

    :returns: its outcome, None while it goes on, the PieceReader and the
        Caller.
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
    return done[0][0] if done else None, reader, caller


# MIXED: a body of 400 kB was passed on whole with the start of a second
# answer inside, as that start was in an earlier piece.
def test_a_long_answer_filled_by_the_next_one_is_lost():
    own = answer(body=LONG_BODY)

    async def run(size, *splits):
        raw = own[:size] + own
        cuts = (0, *splits, len(raw))
        segments = [raw[a:b] for a, b in zip(cuts, cuts[1:])]
        outcome, reader, caller = await receive(*segments)
        assert outcome is Outcome.LOST, (size, splits)
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
        assert outcome is Outcome.ANSWERED and not caller.closed
        assert reader.has_whole and reader.taken == LONG_BODY

    asyncio.run(run())
