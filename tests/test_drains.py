"""Test that a drain answers all that was passed on, also what was sent ahead.

A caller sends several requests on a connection before the first is answered.
"""

import asyncio
from itertools import permutations

from poplarrack.caller_connections import CallerConnection
from poplarrack.callers import CallServer
from poplarrack.exchanges import Delivery
from poplarrack.exchanges import Verdict
from tests.support import build_load_tests
from tests.test_callers import RecordingTransport
from tests.test_calls import call_path_to
from tests.test_calls import GatedServer
from tests.test_calls import run
from tests.test_senders import build_sender

load_tests = build_load_tests(__name__)

SENT_AHEAD = 4


class HeldStreams:
    """Keeps offers until the test answers them."""

    def __init__(self):
        self.held = {}
        self.cancelled = []

    def deliver(self, address, request, timeout_seconds, done, upload=None):
        self.held[request.target] = done
        return lambda: self.cancelled.append(request.target)

    async def answer(self, target, verdict=Verdict.ANSWERED):
        """Answer an offer with its target as the body."""
        done = self.held.pop(target)
        done(Delivery(verdict, 200, [], target.encode()))
        await settle()


async def settle():
    """Let the tasks of calls run until they wait."""
    for _ in range(5):
        await asyncio.sleep(0)


class Caller:
    """A caller's connection to the server of a Sender."""

    def __init__(self):
        self.sender, _ = build_sender([])
        self.streams = self.sender.streams = HeldStreams()
        self.server = CallServer(self.sender, self.sender.clock)
        self.connection = CallerConnection(self.server)
        self.transport = RecordingTransport()
        self.connection.connection_made(self.transport)

    async def send(self, *targets, version='1.1'):
        """Send requests and let them start."""
        for target in targets:
            head = f'GET {target} HTTP/{version}\r\nhost: a\r\n'
            if version == '1.0':
                head += 'connection: keep-alive\r\n'
            self.connection.data_received(f'{head}\r\n'.encode())
        await settle()

    @property
    def answers(self):
        """Return the head and the body of each answer that was written."""
        parts = self.transport.written.decode().split('\r\n\r\n')
        heads, found = parts[0], []
        for part in parts[1:]:
            body, _, head = part.partition('HTTP/1.1 ')
            found.append((heads, body))
            heads = head
        return found

    @property
    def bodies(self):
        return [body for _, body in self.answers]

    def closes(self, number):
        """Return whether an answer announces the connection's end."""
        return 'connection: close' in self.answers[number][0]


async def drain_between(order, drained_after):
    """Answer requests in some order; begin to drain after some of them."""
    caller = Caller()
    targets = [f'/read/{number}' for number in range(SENT_AHEAD)]
    await caller.send(*targets)
    assert list(caller.streams.held) == targets
    for index, number in enumerate(order):
        if index == drained_after:
            caller.server.announce_drain()
        await caller.streams.answer(targets[number])
    assert caller.bodies == targets, (order, drained_after)
    assert not caller.streams.cancelled
    # Whoever was answered last knows that the node drains.
    is_told = drained_after <= order.index(SENT_AHEAD - 1)
    assert caller.transport.closing is is_told, (order, drained_after)
    closing = [caller.closes(number) for number in range(SENT_AHEAD)]
    assert closing == [False] * (SENT_AHEAD - 1) + [is_told]


# LOST: the answer to the first request closed the connection, and those to
# the others, ready or not, were thrown away.
def test_a_drain_answers_all_that_was_sent_ahead():
    for order in permutations(range(SENT_AHEAD)):
        for drained_after in range(SENT_AHEAD):
            asyncio.run(drain_between(order, drained_after))


# A caller that always sends ahead would keep its connection open to the end.
def test_what_comes_while_others_run_is_not_started_in_a_drain():
    async def run_test():
        caller = Caller()
        await caller.send('/read/a', '/read/b')
        await caller.streams.answer('/read/b')
        caller.server.announce_drain()
        await caller.send('/read/c')
        assert list(caller.streams.held) == ['/read/a']
        await caller.streams.answer('/read/a')
        # The answer to b was ready before the drain, so that c is served.
        assert caller.bodies == ['/read/a', '/read/b']
        await settle()
        await caller.streams.answer('/read/c')
        assert caller.closes(2) and caller.transport.closing

        caller = Caller()
        await caller.send('/read/a', '/read/b')
        caller.server.announce_drain()
        await caller.streams.answer('/read/b')
        await caller.send('/read/c')
        await caller.streams.answer('/read/a')
        assert caller.bodies == ['/read/a', '/read/b']
        assert caller.closes(1) and caller.transport.closing
        assert not caller.streams.held and not caller.streams.cancelled

    asyncio.run(run_test())


# LOST: an answer whose end is the connection's end cut off those behind it.
def test_nothing_starts_behind_an_answer_that_may_end_its_connection():
    async def run_test():
        caller = Caller()
        await caller.send('/read/a', '/read/b', version='1.0')
        assert list(caller.streams.held) == ['/read/a']
        await caller.streams.answer('/read/a')
        await caller.streams.answer('/read/b')
        assert caller.bodies == ['/read/a', '/read/b']

    asyncio.run(run_test())


# LOST in the product's own mesh, too.
@run
async def test_a_drain_of_the_own_mesh_answers_all_that_was_sent_ahead():
    async with call_path_to(lambda *request: b'') as path:
        gated = GatedServer()
        await path.serve_only_by(gated)
        reader, writer = await path.connect()
        for number in range(SENT_AHEAD):
            writer.write(b'GET /jars/%d HTTP/1.1\r\nhost: x\r\n\r\n' % number)
        while len(gated.requests) < SENT_AHEAD:
            await asyncio.sleep(0)
        path.calls.announce_drain()
        await path.calls.drain(asyncio.get_running_loop())
        gated.gate.set()
        for number in range(SENT_AHEAD):
            head = await reader.readuntil(b'\r\n\r\n')
            assert b' 200 ' in head, number
            is_last = number == SENT_AHEAD - 1
            assert (b'connection: close' in head) is is_last, number
            assert await reader.readexactly(2) == b'ok'
        assert not await reader.read()
        writer.close()
