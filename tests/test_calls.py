"""Test the call path with answers that are lost, late, extra or mixed up."""

import asyncio
from contextlib import asynccontextmanager
from contextlib import suppress
from dataclasses import replace
from random import Random
import time

from poplarrack.balancers import Candidate
from poplarrack.call_tables import CallTable
from poplarrack.call_tables import VersionSplit
from poplarrack.callers import CallServer
from poplarrack.dispatchers import Dispatcher
from poplarrack.evidence import Side
from poplarrack.resources import Priority
from poplarrack.resources import Route
from poplarrack.routers import Router
from tests.samples import endpoint
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

OK = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
ROUTES = (
    Route('pay', '/pay', 'front', priority=Priority.CRITICAL),
    Route('jars', '/jars', 'front', repeatable=True),
    Route('quick', '/quick', 'front', timeout_seconds=0.05),
)


class ScriptedServer:
    """A backend server whose answers are scripted.

    ``script`` is a function of the request's head and number. It returns the
    bytes to send, None to close the connection, or ``'silent'`` to send
    nothing. The connection is closed after an answer that contains ``cut``.
    """

    def __init__(self, script):
        self.script = script
        self.requests = []
        self.connections = 0
        self.writers = set()

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.requests.append(head)
                answer = self.script(head, len(self.requests))
                if answer is None:
                    break
                if answer == 'silent':
                    await reader.read()
                    break
                writer.write(answer)
                await writer.drain()
                if b'cut' in answer:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class GatedServer(ScriptedServer):
    """A backend server that delays its answer until the gate is opened."""

    def __init__(self):
        super().__init__(None)
        self.gate = asyncio.Event()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        self.requests.append(await reader.readuntil(b'\r\n\r\n'))
        await self.gate.wait()
        writer.write(OK)


@asynccontextmanager
async def call_path_to(*scripts, **table):
    """Run a node's call path in front of scripted backend servers."""
    servers = [ScriptedServer(script) for script in scripts]
    listeners, candidates = [], []
    for server in servers:
        listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
        listeners.append(listener)
        port = listener.sockets[0].getsockname()[1]
        candidates.append(Candidate(endpoint(f'127.0.0.1:{port}'), 0))
    dispatcher = Dispatcher('n', time.time, Random(1))
    given = {('front', 'v1'): tuple(candidates)}
    dispatcher.set_table(
        CallTable(
            Router(ROUTES),
            {'front': 'v1'},
            **{'candidates': given, 'revision': 1, **table},
        )
    )
    calls = CallServer(dispatcher, time.monotonic)
    port = await calls.listen(asyncio.get_running_loop(), '127.0.0.1', 0)
    try:
        yield CallPath(dispatcher, calls, port, servers, listeners)
    finally:
        calls.listener.close()
        calls.socket.close()
        for listener in listeners:
            listener.close()
        for server in servers:
            for writer in server.writers:
                writer.close()
        for connection in list(calls.connections):
            connection.transport.abort()
        await asyncio.sleep(0)


class CallPath:
    """The call path under test, with a client that calls through it."""

    def __init__(self, dispatcher, calls, port, servers, listeners):
        self.listeners = listeners
        self.dispatcher = dispatcher
        self.calls = calls
        self.port = port
        self.servers = servers

    async def serve_only_by(self, server, **more):
        """Start another server and make it the only candidate."""
        listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
        self.servers.append(server)
        self.listeners.append(listener)
        port = listener.sockets[0].getsockname()[1]
        only = Candidate(endpoint(f'127.0.0.1:{port}', **more), 0)
        self.set_candidates({('front', 'v1'): (only,)})

    def set_candidates(self, candidates, **more):
        """Replace the candidates of the call table."""
        table = self.dispatcher.table
        self.dispatcher.set_table(
            replace(table, candidates=candidates, **more)
        )

    async def connect(self):
        return await asyncio.open_connection('127.0.0.1', self.port)

    async def call(self, target, headers='', method='GET', stream=None):
        """Make a call and return status, headers and body."""
        reader, writer = stream or await self.connect()
        writer.write(
            f'{method} {target} HTTP/1.1\r\nhost: x\r\n{headers}\r\n'.encode()
        )
        head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
        lines = head.split('\r\n')
        fields = dict(line.split(': ', 1) for line in lines[1:] if line)
        size = int(fields.get('content-length', 0)) if method != 'HEAD' else 0
        body = await reader.readexactly(size)
        if stream is None:
            writer.close()
        return int(lines[0].split()[1]), fields, body


def run(test):
    """Turn a coroutine function into a test function."""

    def wrapped():
        asyncio.run(asyncio.wait_for(test(), 20))

    wrapped.__name__ = test.__name__
    wrapped.__module__ = test.__module__
    return wrapped


def call_id_of(head):
    for line in head.split(b'\r\n'):
        if line.startswith(b'poplarrack-call: '):
            return line.partition(b': ')[2]
    raise AssertionError(head)


def refuse_as_not_run(head, number):
    call_id = call_id_of(head)
    return (
        b'HTTP/1.1 503 x\r\npoplarrack-not-run: %s\r\n'
        b'content-length: 0\r\n\r\n' % call_id
    )


def refuse_another_call(head, number):
    return refuse_as_not_run(
        head.replace(b'poplarrack-call: n', b'poplarrack-call: m'), number
    )


@run
async def test_a_connection_is_kept_for_the_next_call():
    async with call_path_to(lambda *request: OK) as path:
        for _ in range(5):
            assert (await path.call('/jars'))[2] == b'ok'
        assert path.servers[0].connections == 1


@run
async def test_what_may_not_be_repeated_runs_at_most_once():
    broken_answers = (
        lambda head, number: None,
        lambda head, number: (
            b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ncut'
        ),
        lambda head, number: b'HTTP/1.1 200 OK\r\ncut',
        lambda head, number: b'nonsense cut\r\n\r\n',
    )
    for broken in broken_answers:
        async with call_path_to(broken, broken) as path:
            status, headers, _ = await path.call('/pay')
            assert status == 502, (broken, status)
            assert headers['poplarrack-ran'] == 'unknown'
            assert sum(len(s.requests) for s in path.servers) == 1


@run
async def test_what_may_be_repeated_is_tried_elsewhere():
    async with call_path_to(lambda *x: None, lambda *x: OK) as path:
        for _ in range(4):
            assert (await path.call('/jars'))[0] == 200


@run
async def test_a_true_refusal_lets_anything_go_elsewhere():
    async with call_path_to(refuse_as_not_run, lambda *x: OK) as path:
        for _ in range(6):
            assert (await path.call('/pay'))[0] == 200
        assert path.servers[0].requests, 'the refusing server was not tried'


@run
async def test_a_refusal_with_a_strange_mark_is_not_believed():
    async with call_path_to(refuse_another_call, refuse_another_call) as path:
        status, headers, _ = await path.call('/pay')
        assert status == 503
        assert 'poplarrack-not-run' not in headers
        assert sum(len(s.requests) for s in path.servers) == 1


# MIXED: a server wrote an earlier refusal once more in front of its answer to
# the next call, which got the refusal.
@run
async def test_a_refusal_of_an_earlier_call_is_no_answer():
    async def call_after(repeated):
        def script(head, number):
            if number == 1:
                refusals.append(refuse_as_not_run(head, number))
                return OK
            return refusals[0] * repeated + OK

        refusals = []
        async with call_path_to(script) as path:
            assert (await path.call('/pay'))[0] == 200
            status, headers, _ = await path.call('/pay')
            assert 'poplarrack-not-run' not in headers
            return status

    assert await call_after(1) == 200
    assert await call_after(3) == 502


# MIXED: a server wrote an earlier refusal once more, and the answer that came
# after it on the kept connection reached the next call.
@run
async def test_an_earlier_refusal_puts_its_connection_out_of_use():
    def script(head, number):
        if number == 1:
            return refuse_another_call(head, number)
        is_kept = path.servers[0].connections == 1
        body = b'answer 1' if is_kept else b'answer 2'
        return b'HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n' + body

    async with call_path_to(script) as path:
        status, headers, _ = await path.call('/pay')
        assert status == 503 and 'poplarrack-not-run' not in headers
        assert (await path.call('/pay'))[2] == b'answer 2'


@run
async def test_refused_everywhere_is_answered_as_not_run_with_the_mark():
    async with call_path_to(refuse_as_not_run) as path:
        status, headers, _ = await path.call('/pay', 'poplarrack-call: c7\r\n')
        assert status == 503
        assert headers['poplarrack-not-run'] == 'c7'


@run
async def test_a_call_that_may_have_run_is_never_called_not_run():
    def lose_then_refuse(head, number):
        return None if number == 1 else refuse_as_not_run(head, number)

    async with call_path_to(lose_then_refuse) as path:
        status, headers, _ = await path.call(
            '/jars', 'poplarrack-call: c7\r\n'
        )
        assert len(path.servers[0].requests) > 1
        assert headers['poplarrack-ran'] == 'unknown', headers
        assert 'poplarrack-not-run' not in headers


@run
async def test_a_late_answer_reaches_nobody():
    release = asyncio.Event()

    class LateServer(ScriptedServer):
        async def serve(self, reader, writer):
            self.connections += 1
            self.writers.add(writer)
            head = await reader.readuntil(b'\r\n\r\n')
            self.requests.append(head)
            if b'/quick' in head:
                await release.wait()
                writer.write(OK.replace(b'ok', b'no'))
            else:
                writer.write(OK)

    async with call_path_to(lambda *x: OK) as path:
        late_server = LateServer(None)
        await path.serve_only_by(late_server)
        status, headers, _ = await path.call('/quick')
        assert status == 504 and headers['poplarrack-ran'] == 'unknown'
        release.set()
        assert (await path.call('/jars'))[2] == b'ok'
        assert late_server.connections == 2


@run
async def test_two_answers_to_one_request_drop_the_connection():
    async with call_path_to(lambda *x: OK + OK.replace(b'ok', b'no')) as path:
        for _ in range(3):
            assert (await path.call('/jars'))[2] == b'ok'
        assert path.servers[0].connections == 3


@run
async def test_pipelined_calls_are_answered_in_order():
    def echo(head, number):
        target = head.split(b' ')[1]
        return b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s' % (
            len(target),
            target,
        )

    async with call_path_to(echo) as path:
        reader, writer = await path.connect()
        for number in range(8):
            writer.write(b'GET /jars/%d HTTP/1.1\r\nhost: x\r\n\r\n' % number)
        for number in range(8):
            head = await reader.readuntil(b'\r\n\r\n')
            assert b' 200 ' in head
            assert await reader.readexactly(7) == b'/jars/%d' % number
        writer.close()


@run
async def test_head_and_no_content_have_no_body():
    async with call_path_to(
        lambda head, n: (
            OK[:-2]
            if head.startswith(b'HEAD')
            else b'HTTP/1.1 204 No Content\r\n\r\n'
        )
    ) as path:
        assert (await path.call('/jars', method='HEAD'))[0] == 200
        assert (await path.call('/jars'))[0] == 204


@run
async def test_a_caller_that_goes_away_cancels_its_call():
    async with call_path_to(lambda *x: 'silent') as path:
        reader, writer = await path.connect()
        writer.write(b'GET /jars HTTP/1.1\r\nhost: x\r\n\r\n')
        while not path.servers[0].requests:
            await asyncio.sleep(0)
        writer.close()
        while path.dispatcher.in_flight:
            await asyncio.sleep(0)
        assert path.dispatcher.counts['cancelled'] == 1
        load = next(iter(path.dispatcher.servers.values()))
        assert load.in_flight == 0


# CONFIG: a node that knew no configuration yet denied routes that were there.
@run
async def test_a_node_without_a_configuration_denies_no_route():
    async with call_path_to(lambda *x: OK) as path:
        # A revision alone says nothing of routes.
        for table in (CallTable(), CallTable(revision=7)):
            path.dispatcher.set_table(table)
            status, headers, _ = await path.call('/jars')
            assert status == 503
            assert headers['poplarrack-ran'] == 'no'


# DENIED: a node that rejected a newer version denied what that may allow.
@run
async def test_a_node_that_rejected_a_version_denies_no_route():
    async with call_path_to(lambda *x: OK) as path:
        assert (await path.call('/none'))[0] == 404
        path.dispatcher.is_newer_rejected = lambda: True
        status, headers, _ = await path.call('/none')
        assert (status, headers['poplarrack-ran']) == (503, 'no')
        assert (await path.call('/jars'))[0] == 200


@run
async def test_requests_over_the_bounds_are_refused():
    async with call_path_to(lambda *x: OK) as path:
        big = 'x-big: ' + 'y' * 40_000 + '\r\n'
        assert (await path.call('/jars', big))[0] == 413
        body = 'content-length: 2000000\r\n'
        reader, writer = await path.connect()
        writer.write(f'POST /jars HTTP/1.1\r\nhost: x\r\n{body}\r\n'.encode())
        writer.write(b'z' * 1_100_000)
        assert b' 413 ' in await reader.readline()
        assert (await path.call('/none'))[0] == 404
        assert not path.servers[0].requests


@run
async def test_callers_may_not_set_what_only_nodes_set():
    async with call_path_to(lambda *x: OK) as path:
        await path.call(
            '/jars',
            'poplarrack-not-run: 1\r\nconnection: x-hop\r\nx-hop: 1\r\n',
        )
        head = path.servers[0].requests[0]
        assert b'not-run' not in head and b'x-hop' not in head
        assert b'poplarrack-depth: 1' in head


@run
async def test_only_the_first_of_a_chain_repeats_what_may_have_run():
    async with call_path_to(lambda *x: None) as path:
        await path.call('/jars', 'poplarrack-depth: 3\r\n')
        assert len(path.servers[0].requests) == 1


@run
async def test_connections_over_the_bound_are_refused():
    async with call_path_to(lambda *x: OK) as path:
        path.calls.max_connections = 2
        streams = [await path.connect() for _ in range(2)]
        for stream in streams:
            assert (await path.call('/jars', stream=stream))[0] == 200
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            await path.call('/jars')
        assert path.dispatcher.counts['connections_refused'] == 1
        assert (await path.call('/jars', stream=streams[0]))[0] == 200


@run
async def test_a_slow_caller_is_cut_off():
    async with call_path_to(lambda *x: OK) as path:
        reader, writer = await path.connect()
        writer.write(b'GET /jars HTTP/1.1\r\nhost')
        while not any(c.request for c in path.calls.connections):
            await asyncio.sleep(0)
        path.calls.expire(time.monotonic() + 60)
        assert b' 408 ' in await reader.readline()


@run
async def test_drain_answers_what_is_under_way_and_closes():
    async with call_path_to(lambda *x: OK) as path:
        gated = GatedServer()
        await path.serve_only_by(gated)
        under_way = asyncio.ensure_future(path.call('/pay'))
        while not gated.requests:
            await asyncio.sleep(0)
        path.calls.announce_drain()
        await path.calls.drain(asyncio.get_running_loop())
        assert not path.calls.drained
        gated.gate.set()
        status, headers, body = await under_way
        assert (status, body) == (200, b'ok')
        assert headers['connection'] == 'close'
        while not path.calls.drained:
            await asyncio.sleep(0)


@run
async def test_drain_serves_what_was_connected_and_then_only_the_silent_end():
    async with call_path_to(lambda *x: OK) as path:
        early = await path.connect()
        await path.calls.drain(asyncio.get_running_loop())
        path.calls.close_idle(path.calls.clock() + 0.5)
        status, headers, _ = await path.call('/pay', stream=early)
        assert (status, headers['connection']) == (200, 'close')
        try:
            await path.connect()
        except ConnectionRefusedError:
            return
        raise AssertionError('a drained server accepted a connection')


@run
async def test_waiting_calls_are_all_served_when_room_comes():
    async with call_path_to(lambda *x: OK) as path:
        original_candidates = path.dispatcher.table.candidates
        gated = GatedServer()
        await path.serve_only_by(gated, slots=2)
        calls = [asyncio.ensure_future(path.call('/pay')) for _ in range(9)]
        queues = path.dispatcher.queues
        while not queues or queues['front'].size < 7:
            await asyncio.sleep(0)
        path.set_candidates(original_candidates)
        assert queues['front'].size == 0, 'calls are still queued'
        gated.gate.set()
        answers = await asyncio.gather(*calls)
        assert [status for status, _, _ in answers] == [200] * 9


@run
async def test_a_retry_is_no_evidence_since_nobody_drew_its_side():
    splits = {'front': VersionSplit('m', 'v1', 'v2', 0.999, True)}
    async with call_path_to(lambda *x: None, lambda *x: OK) as path:
        ((bad, good),) = path.dispatcher.table.candidates.values()
        bad = replace(bad, endpoint=replace(bad.endpoint, version='v2'))
        path.set_candidates(
            {('front', 'v1'): (good,), ('front', 'v2'): (bad,)}, moves=splits
        )
        for _ in range(3):
            assert (await path.call('/jars'))[0] == 200
        cells = path.dispatcher.evidence.cells({'m'}, time.time())
        assert {cell.key.side for cell in cells} == {Side.NEW}
        assert {cell.key.stage for cell in cells} == {999}
        assert all(cell.failures == cell.calls == 3 for cell in cells)


@run
async def test_shares_add_up_over_many_nodes_with_few_calls():
    counts = {Side.OLD: 0, Side.NEW: 0}
    split = VersionSplit('m', 'v1', 'v2', 0.05, True)
    for node in range(400):
        dispatcher = Dispatcher(f'n{node}', time.time, Random(node))
        for _ in range(5):
            counts[Side(dispatcher._draw_new_version(split))] += 1
    assert 80 <= counts[Side.NEW] <= 120, counts


@run
async def test_a_braked_version_gets_no_call_even_without_the_old():
    splits = {'front': VersionSplit('m', 'v1', 'v2', 0.0, True)}
    async with call_path_to(lambda *x: OK) as path:
        (candidates,) = path.dispatcher.table.candidates.values()
        path.set_candidates({('front', 'v2'): candidates}, moves=splits)
        status, headers, _ = await path.call('/jars')
        assert (status, headers['poplarrack-error']) == (503, 'no_endpoint')
