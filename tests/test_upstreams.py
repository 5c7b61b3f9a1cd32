"""Test connections to backend servers that send bytes without end."""

import asyncio
from contextlib import suppress

from poplarrack.byte_budgets import ByteBudget
from poplarrack.upstream_exchanges import Outcome
from poplarrack.upstream_pools import UpstreamPool
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

MAX_ANSWER_BYTES = 100_000
# Far longer than it takes to send what a connection accepts.
EXCHANGE_SECONDS = 20
STATUS = b'HTTP/1.1 200 OK\r\n'
CHUNKED = STATUS + b'transfer-encoding: chunked\r\n\r\n'


class EndlessServer:
    """Sends ``first``, then ``rest`` again and again until it is cut off."""

    def __init__(self, first, rest):
        self.first = first
        self.rest = rest
        self.cut_off = 0

    async def serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self.first)
        with suppress(ConnectionError):
            while True:
                writer.write(self.rest)
                await writer.drain()
                await asyncio.sleep(0)
        writer.close()
        with suppress(ConnectionError):
            await writer.wait_closed()
        self.cut_off += 1


async def exchange_with(server, budget, exchanges=1):
    """Exchange requests with a server.

    :param budget: the ByteBudget of all exchanges.
    :returns: the outcomes, the pool, and the most bytes that its budget held.
    """
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    pool = UpstreamPool(f'127.0.0.1:{port}', MAX_ANSWER_BYTES, 1.0, budget)
    outcomes = []
    for _ in range(exchanges):
        pool.start(
            b'GET / HTTP/1.1\r\n\r\n',
            False,
            EXCHANGE_SECONDS,
            lambda outcome, answer: outcomes.append(outcome),
        )
    most = 0
    while len(outcomes) < exchanges or server.cut_off < exchanges:
        most = max(most, budget.total_bytes)
        await asyncio.sleep(0)
    listener.close()
    return outcomes, pool, most


def outcome_of(first, rest):
    server = EndlessServer(first, rest)
    outcomes, pool, _ = asyncio.run(exchange_with(server, ByteBudget()))
    assert (pool.open, pool.budget.total_bytes) == (0, 0)
    return outcomes[0]


# A head without end was kept in memory until the exchange timed out.
def test_bytes_without_end_that_are_no_head_end_the_exchange():
    for first, rest in (
        (b'', b'\r\n' * 1000),
        (b'HTTP/1.1 200 ', b'a' * 4096),
        (STATUS, b'x: a\r\n' * 1000),
        (STATUS + b'x: ', b'a' * 4096),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 100),
    ):
        assert outcome_of(first, rest) is Outcome.LOST, (first, rest[:30])


# Chunk extensions and trailers without end are in a body, but not part of it.
def test_bytes_without_end_that_are_no_body_end_the_exchange():
    for first, rest in (
        (CHUNKED + b'1;', b'a' * 4096),
        (CHUNKED + b'0\r\n', b'x: a\r\n' * 1000),
        (CHUNKED + b'1\r\na\r\n' * 50_000 + b'0\r\nx: ', b'a' * 4096),
    ):
        assert outcome_of(first, rest) is Outcome.LOST, (first, rest[:30])


def test_a_body_without_end_is_too_large():
    for first, rest in (
        (STATUS + b'\r\n', b'a' * 4096),
        (CHUNKED, b'1000\r\n' + b'a' * 4096 + b'\r\n'),
        (CHUNKED, b'1\r\na\r\n' * 1000),
    ):
        assert outcome_of(first, rest) is Outcome.TOO_LARGE, (first, rest[:9])


# Each answer was within its bound, but many at once filled the memory.
def test_bodies_without_end_share_one_bound():
    server = EndlessServer(STATUS + b'\r\n', b'a' * 512)
    budget = ByteBudget(2 * MAX_ANSWER_BYTES)
    outcomes, pool, most = asyncio.run(exchange_with(server, budget, 20))
    assert set(outcomes) == {Outcome.TOO_LARGE}
    assert MAX_ANSWER_BYTES < most <= budget.max_bytes
