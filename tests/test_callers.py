"""Test how the call server manages connections of callers."""

import asyncio
from collections import Counter
from contextlib import asynccontextmanager
from contextlib import contextmanager
from dataclasses import replace
from select import select
import socket
from unittest import TestCase
from unittest.mock import patch

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from poplarrack.buffers import READ_BUFFER_BYTES
from poplarrack.caller_connections import CallerConnection
from poplarrack.caller_connections import MAX_OVERLAPPING_REQUESTS
from poplarrack.callers import CallServer
from poplarrack.callers import DRAIN_EXPIRY_DELAY_SECONDS
from poplarrack.callers import DRAIN_IDLE_SECONDS
from poplarrack.callers import MAX_EVICTION_POLLS
from poplarrack.http_messages import build_answer
from poplarrack.resources import CallerLimits
from tests.support import build_load_tests
from tests.support import fixture

load_tests = build_load_tests(__name__)

REQUEST = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'


class ImmediateDispatcher:
    """A dispatcher that answers each request at once."""

    def __init__(self):
        self.counts = {}

    def start(self, request, respond):
        keep_alive = request.keep_alive
        respond(build_answer(200, [], b'ok', keep_alive), keep_alive)


class ManualClock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def test_idle_connections_make_room_for_new_ones():
    async def exceed_connections():
        clock = ManualClock()
        server = CallServer(ImmediateDispatcher(), clock, max_connections=10)
        loop = asyncio.get_running_loop()
        port = await server.listen(loop, '127.0.0.1', 0)
        opened = []
        for _ in range(30):
            clock.now += 1.0
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(REQUEST)
            answer = await reader.readuntil(b'ok')
            opened.append((reader, writer))
            assert answer.startswith(b'HTTP/1.1 200'), answer
            assert len(server.connections) <= 10
        for _, writer in opened:
            writer.close()
        server.listener.close()
        server.socket.close()

    asyncio.run(exceed_connections())


class HeldDispatcher:
    """A dispatcher that answers when the test says so."""

    def __init__(self):
        self.counts = Counter()
        self.responses = {}
        self.cancelled = []

    def start(self, request, respond):
        self.responses[request.target] = respond
        return request.target

    def may_overlap(self, request):
        return request.method == 'GET'

    def cancel(self, call):
        self.cancelled.append(call)

    def answer(self, target, keep_alive=True):
        body = target.encode()
        respond = self.responses.pop(target)
        respond(build_answer(200, [], body, keep_alive), keep_alive)


class RecordingTransport:
    """A transport that keeps what is written."""

    def __init__(self):
        self.written = b''
        self.closing = False

    def write(self, data):
        self.written += data

    def write_eof(self):
        pass

    def close(self):
        self.closing = True

    def is_closing(self):
        return self.closing

    def set_write_buffer_limits(self, high):
        pass

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, name):
        return None

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def abort(self):
        self.closing = True


class Caller:
    """A connection of a caller to a server whose answers the test gives."""

    def __init__(self):
        self.dispatcher = HeldDispatcher()
        server = CallServer(self.dispatcher, ManualClock())
        self.connection = CallerConnection(server)
        self.transport = RecordingTransport()
        self.connection.connection_made(self.transport)

    def send(self, *requests):
        for method, target in requests:
            head = f'{method} {target} HTTP/1.1\r\nhost: a\r\n'
            if method == 'POST':
                head += 'content-length: 0\r\n'
            self.connection.data_received(f'{head}\r\n'.encode())

    @property
    def started(self):
        return list(self.dispatcher.responses)

    @property
    def bodies(self):
        return self.transport.written.decode().split('\r\n\r\n')[1:]


@fixture
@contextmanager
def caller():
    yield Caller()


# Lookups that were sent ahead ran one after another: 16 of 100 ms took 1.6 s.
def test_repeatable_requests_sent_ahead_run_at_once(caller):
    targets = [f'/{number}' for number in range(MAX_OVERLAPPING_REQUESTS + 2)]
    caller.send(*(('GET', target) for target in targets))
    assert caller.started == targets[:MAX_OVERLAPPING_REQUESTS]
    caller.dispatcher.answer('/0')
    assert caller.started == targets[1 : MAX_OVERLAPPING_REQUESTS + 1]


def test_answers_keep_the_order_of_their_requests(caller):
    caller.send(('GET', '/a'), ('GET', '/b'), ('GET', '/c'))
    caller.dispatcher.answer('/c')
    caller.dispatcher.answer('/b')
    assert not caller.transport.written
    caller.dispatcher.answer('/a')
    written = caller.transport.written.decode()
    assert written.index('/a') < written.index('/b') < written.index('/c')


def test_a_request_that_is_not_repeatable_runs_alone(caller):
    caller.send(('GET', '/a'), ('POST', '/b'), ('GET', '/c'), ('GET', '/d'))
    assert caller.started == ['/a']
    caller.dispatcher.answer('/a')
    assert caller.started == ['/b']
    caller.dispatcher.answer('/b')
    assert caller.started == ['/c', '/d']


def test_nothing_runs_on_behind_an_answer_that_closes(caller):
    caller.send(('GET', '/a'), ('GET', '/b'), ('GET', '/c'), ('POST', '/d'))
    caller.dispatcher.answer('/c')
    caller.dispatcher.answer('/a', keep_alive=False)
    assert caller.transport.closing
    assert caller.dispatcher.cancelled == ['/b']
    assert '/d' not in caller.started
    assert b'/c' not in caller.transport.written


def test_a_caller_that_leaves_cancels_all_of_its_requests(caller):
    caller.send(('GET', '/a'), ('GET', '/b'), ('GET', '/c'))
    caller.dispatcher.answer('/b')
    caller.connection.connection_lost(None)
    assert caller.dispatcher.cancelled == ['/a', '/c']


OFFERS = (
    b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
    b'HTTP2-Settings: AAMAAABk\r\n',
    b'Connection: upgrade\r\nUpgrade: websocket\r\n',
    b'Upgrade: something/1\r\nConnection: keep-alive, Upgrade\r\n',
)


# LOST: a request that offers an upgrade ran, and its connection was aborted
# without an answer. The offer may be ignored (RFC 9110, 7.8).
def test_a_request_that_offers_an_upgrade_is_answered_as_any_other(caller):
    for number, offer in enumerate(OFFERS):
        for body in (b'', b'whole'):
            length = b'content-length: %d\r\n' % len(body)
            target = f'/{number}/{len(body)}'
            raw = b'POST %b HTTP/1.1\r\nhost: a\r\n' % target.encode()
            raw += length + offer + b'\r\n' + body
            behind = b'GET %b/x HTTP/1.1\r\nhost: a\r\n\r\n' % target.encode()
            for cut in (len(raw), len(raw) - 2, len(raw) + 3):
                parts = raw + behind
                caller.connection.data_received(memoryview(parts[:cut]))
                caller.connection.data_received(memoryview(parts[cut:]))
                assert caller.started == [target], (offer, body, cut)
                caller.dispatcher.answer(target)
                assert caller.started == [f'{target}/x'], (offer, body, cut)
                caller.dispatcher.answer(f'{target}/x')
    assert not caller.transport.closing


class ResetTransport(RecordingTransport):
    """A transport whose caller has reset the connection."""

    def write_eof(self):
        raise OSError(107, 'Transport endpoint is not connected')


# An error of the socket showed as a defect of the node.
def test_a_caller_that_has_reset_while_it_sent_is_closed_quietly(caller):
    caller.connection.server.takes_uploads = True
    caller.transport = caller.connection.transport = ResetTransport()
    head = b'POST /up HTTP/1.1\r\nhost: a\r\ncontent-length: 900000\r\n\r\n'
    caller.connection.data_received(head + b'x' * 1000)
    assert caller.started == ['/up']
    caller.dispatcher.answer('/up', keep_alive=False)
    assert b' 200 ' in caller.transport.written
    assert caller.transport.closing


# Trailers were passed on as headers (RFC 9110, 6.5.1).
def test_trailers_of_a_request_are_dropped(caller):
    requests = []
    start = caller.dispatcher.start

    def record(request, respond):
        requests.append(request)
        return start(request, respond)

    caller.dispatcher.start = record
    caller.connection.data_received(
        b'POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
        b'2\r\nok\r\n0\r\nhost: b\r\nx-sum: 1\r\n\r\n'
    )
    [request] = requests
    assert request.body == b'ok'
    assert request.headers == [
        (b'host', b'a'),
        (b'transfer-encoding', b'chunked'),
    ]


# Without a line of its own, a request that was refused while it was read could
# not be found in the logs of its node.
def test_a_request_that_is_refused_unread_is_logged_with_its_id(caller):
    caller.connection.server.request_id_header = b'request-id'
    head = b'POST / HTTP/1.1\r\nrequest-id: r1\r\ncontent-length: 9\r\n\r\n'
    with TestCase().assertLogs('poplarrack.caller_connections') as logs:
        caller.connection.data_received(head + b'abc')
        caller.connection.server.clock.now += 76
        caller.connection.expire(caller.connection.server.clock())
    (line,) = logs.records
    assert line.msg == 'request_refused_unread'
    shown = line.request, line.has_head, line.body_bytes, line.read_ms_ago
    assert shown == ('r1', True, 3, 76_000), shown


# Seconds by which the clocks of these tests go on: more than each timeout.
LONG_SECONDS = 1000.0
# More than the kernel holds of one connection.
ANSWER_BYTES = 2**25
HALF_HEAD = b'POST /late HTTP/1.1\r\nhost: a\r\n'
HALF_BODY = HALF_HEAD + b'content-length: 8\r\n\r\nhalf'


@asynccontextmanager
async def serving(dispatcher=None):
    """Yield a CallServer with a clock that stands, and its address."""
    server = CallServer(dispatcher or ImmediateDispatcher(), ManualClock())
    server.dispatcher.counts = Counter()
    loop = asyncio.get_running_loop()
    port = await server.listen(loop, '127.0.0.1', 0)
    try:
        yield server, ('127.0.0.1', port)
    finally:
        for connection in list(server.connections):
            connection.transport.abort()
        server.listener.close()
        server.socket.close()
        await asyncio.sleep(0)


async def until(condition):
    """Wait until a function returns a true value."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


def receive(caller):
    """Return what a caller's socket has received; b'' at its end."""
    caller.setblocking(True)
    caller.settimeout(10)
    return caller.recv(65_536)


def ask_in_one_turn(first, second, act):
    """Return the answer to a request whose second part isn't read in time.

    :param first: what the server reads.
    :param second: what waits in the socket when ``act`` is called with the
        server and its clock's time.
    """

    async def run():
        async with serving() as (server, address):
            with socket.create_connection(address) as caller:
                caller.sendall(first)
                await until(lambda: len(server.connections) == 1)
                [connection] = server.connections
                await until(lambda: has_read(connection, first))
                caller.sendall(second)
                server.clock.now += LONG_SECONDS
                act(server, server.clock())
                return await asyncio.to_thread(receive, caller)

    return asyncio.run(run())


def has_read(connection, part):
    """Return whether a connection has read the first part of a request."""
    return not part or connection.request is not None


# DENIED: a turn of the event loop that took longer than a limit ended in the
# check of the limits, before the bytes were read that had come meanwhile.
def test_bytes_that_wait_to_be_read_are_no_silence():
    for first, second in (
        (HALF_BODY, b'half'),
        (HALF_HEAD, b'content-length: 0\r\n\r\n'),
    ):
        answer = ask_in_one_turn(first, second, CallServer.expire)
        assert answer.startswith(b'HTTP/1.1 200'), answer


# LOST: a request that waited in the socket of an idle connection was reset.
def test_a_request_that_waits_keeps_its_connection_from_the_idle_timeout():
    answer = ask_in_one_turn(b'', REQUEST, CallServer.expire)
    assert answer.startswith(b'HTTP/1.1 200'), answer


# LOST: so it was where a connection made room for another, and in a drain.
def test_a_request_that_waits_keeps_its_connection_when_others_are_closed():
    for act in (CallServer.evict_idle, CallServer.close_idle):
        answer = ask_in_one_turn(b'', REQUEST, act)
        assert answer.startswith(b'HTTP/1.1 200'), answer


# LOST: a caller that had read all that a busy node had written was taken for
# one that reads nothing, and the rest of its answer was cut off.
def test_a_caller_that_has_read_what_was_written_is_not_let_go():
    async def run():
        dispatcher = HeldDispatcher()
        async with serving(dispatcher) as (server, address):
            loop = asyncio.get_running_loop()
            caller = socket.socket()
            caller.setblocking(False)
            await loop.sock_connect(caller, address)
            await loop.sock_sendall(caller, REQUEST)
            await until(lambda: dispatcher.responses)
            [connection] = server.connections
            answer = build_answer(200, [], bytes(ANSWER_BYTES), True)
            dispatcher.responses.pop('/')(answer, True)
            assert connection.transport.get_write_buffer_size()
            server.expire(server.clock())
            # In one turn of the event loop, so that nothing more is written.
            received = read_what_has_come(caller)
            server.clock.now += LONG_SECONDS
            server.expire(server.clock())
            with caller:
                while received < len(answer):
                    part = await loop.sock_recv(caller, 2**20)
                    assert part, (received, len(answer))
                    received += len(part)

    asyncio.run(run())


def read_what_has_come(caller):
    """Read until nothing more comes at once; return the number of bytes."""
    received = 0
    while select([caller], [], [], 0.2)[0]:
        received += len(caller.recv(2**20))
    return received


@fixture
@contextmanager
def slow_caller():
    """Yield a Caller and a function by which time passes."""
    caller = Caller()
    server = caller.connection.server

    def wait(seconds):
        server.clock.now += seconds
        caller.connection.expire(server.clock())

    yield caller, wait


# DENIED: a request that was too slow was ended with 400, which says that it is
# wrong and is never sent again.
def test_a_request_that_is_too_slow_is_promised_not_to_run(slow_caller):
    caller, wait = slow_caller
    limits = caller.connection.server.limits
    caller.connection.data_received(HALF_HEAD)
    wait(limits.header_timeout_seconds - 0.1)
    assert not caller.transport.written
    wait(0.2)
    head, _, body = caller.transport.written.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 408 Request Timeout\r\n'), head
    assert b'\r\nconnection: close' in head
    assert b'"ran":"no"' in body
    caller.connection.data_received(b'content-length: 0\r\n\r\n')
    assert not caller.started


# DENIED: a pause within a body was bounded by the limit for the head.
def test_a_body_may_pause_for_longer_than_a_head(slow_caller):
    caller, wait = slow_caller
    limits = caller.connection.server.limits
    caller.connection.data_received(HALF_BODY)
    wait(limits.header_timeout_seconds + 1)
    assert not caller.transport.written
    caller.connection.data_received(b'half')
    assert caller.started == ['/late']
    caller.dispatcher.answer('/late')
    caller.connection.data_received(HALF_BODY)
    wait(limits.idle_timeout_seconds + 1)
    assert b'HTTP/1.1 408' in caller.transport.written


# LOST: the answer to a request was thrown away when the next one on its
# connection, or its own body, was slow.
def test_a_slow_request_leaves_the_one_in_flight_its_answer(slow_caller):
    caller, wait = slow_caller
    caller.send(('GET', '/a'))
    caller.connection.data_received(HALF_HEAD)
    wait(LONG_SECONDS)
    assert not caller.transport.closing
    caller.dispatcher.answer('/a')
    wait(0)
    assert caller.bodies[0].startswith('/aHTTP/1.1 408'), caller.bodies


def test_a_slow_body_that_is_passed_on_ends_with_its_request(slow_caller):
    caller, wait = slow_caller
    caller.connection.server.takes_uploads = True
    head = b'POST /up HTTP/1.1\r\nhost: a\r\ncontent-length: 900000\r\n\r\n'
    caller.connection.data_received(head + b'x' * 1000)
    wait(LONG_SECONDS)
    assert not caller.transport.closing
    caller.dispatcher.answer('/up', keep_alive=False)
    assert b' 200 ' in caller.transport.written


# DENIED: a caller that waited for a 100 Continue was called too slow.
def test_a_caller_that_waits_to_continue_is_not_too_slow(slow_caller):
    caller, wait = slow_caller
    caller.connection.server.takes_uploads = True
    caller.connection.data_received(
        b'POST /up HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n'
        b'content-length: 900000\r\n\r\n'
    )
    wait(LONG_SECONDS)
    assert not caller.transport.closing
    caller.connection.upload.open(lambda: None)
    wait(0)
    assert caller.transport.written.endswith(b' 100 Continue\r\n\r\n')
    assert not caller.transport.closing


# LOST: the answer to a caller that still sent its request was thrown away by
# a reset, with its promise that the request did not run.
def test_a_caller_that_still_sends_reads_why_it_is_refused():
    def ask(address):
        with socket.create_connection(address) as caller:
            caller.settimeout(10)
            caller.sendall(LARGE_HEAD)
            caller.sendall(bytes(LARGE_BYTES // 2))
            answer = b''
            while part := caller.recv(65_536):
                answer += part
            return answer

    async def run():
        async with serving() as (server, address):
            answer = await asyncio.to_thread(ask, address)
            await until(lambda: not server.connections)
            return answer

    answer = asyncio.run(run())
    assert answer.startswith(b'HTTP/1.1 413'), answer
    assert answer.endswith(b'}'), answer


LARGE_BYTES = 2_000_000
LARGE_HEAD = (
    b'POST /large HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n'
    % LARGE_BYTES
)


# DENIED: what the limits of a node without a configuration don't allow got
# 413, though the configuration that it didn't know yet allowed it.
def test_no_request_is_too_large_for_limits_that_are_not_known(caller):
    head = b'GET / HTTP/1.1\r\nx: ' + b'x' * 40_000 + b'\r\n\r\n'
    for raw in (LARGE_HEAD, head):
        caller.__init__()
        caller.connection.server.knows_limits = False
        caller.connection.data_received(raw)
        assert caller.transport.written.startswith(b'HTTP/1.1 503'), raw[:50]
        assert b'\r\nretry-after: ' in caller.transport.written
        caller.__init__()
        caller.connection.data_received(raw)
        assert caller.transport.written.startswith(b'HTTP/1.1 413'), raw[:50]


# DENIED: a request was refused by the limits of a version that came while it
# was sent.
def test_a_request_may_use_the_limits_of_when_it_began(caller):
    server = caller.connection.server
    larger = replace(server.limits, max_body_bytes=LARGE_BYTES)
    for first, second in (
        (larger, server.limits),
        (server.limits, larger),
    ):
        caller.__init__()
        server = caller.connection.server
        server.limits = first
        caller.connection.data_received(LARGE_HEAD[:20])
        server.limits = second
        caller.connection.data_received(LARGE_HEAD[20:])
        for _ in range(LARGE_BYTES // 50_000):
            caller.connection.data_received(bytes(50_000))
        assert caller.started == ['/large']
        caller.dispatcher.answer('/large')
        server.limits = CallerLimits('callers')
        caller.connection.data_received(LARGE_HEAD)
        assert b'HTTP/1.1 413' in caller.transport.written


MALFORMED = b'GET /bad HTTP/1.1\r\nno colon\r\n\r\n'


# LOST: what came behind a request in flight, such as bytes that the parser
# refuses, took its answer away.
def test_what_is_refused_behind_a_request_leaves_it_its_answer(caller):
    closing = REQUEST.replace(b'host', b'connection: close\r\nhost')
    too_large = LARGE_HEAD
    for first, second, statuses in (
        (REQUEST, MALFORMED, [200, 400]),
        (REQUEST, too_large, [200, 413]),
        (REQUEST * 2, MALFORMED + REQUEST, [200, 200, 400]),
        (closing, REQUEST, [200]),
        (closing, b'\r\n', [200]),
    ):
        for parts in ((first + second,), (first, second)):
            caller.__init__()
            caller.connection.server.takes_uploads = True
            caller.dispatcher.may_overlap = lambda request: False
            for part in parts:
                caller.connection.data_received(part)
            assert not caller.transport.closing, (first, second)
            while caller.dispatcher.responses:
                keep_alive = first is not closing
                caller.dispatcher.answer('/', keep_alive)
            lines = caller.transport.written.split(b'HTTP/1.1 ')[1:]
            assert [int(line[:3]) for line in lines] == statuses, lines
            assert not caller.dispatcher.cancelled


@fixture
@contextmanager
def asked():
    """Yield a Caller and the list of the requests that it starts."""
    caller = Caller()
    requests = []

    def start(request, respond):
        requests.append(request)
        keep_alive = request.keep_alive
        respond(build_answer(200, [], b'ok', keep_alive), keep_alive)

    caller.dispatcher.start = start
    yield caller, requests


# DENIED: the target of a request to a proxy (RFC 9112, 3.2.2) matched no
# route and got 404.
def test_a_target_in_absolute_form_is_read_as_host_and_path(asked):
    caller, requests = asked
    for target, path, host in (
        ('http://b.example/x/y?z', '/x/y?z', b'b.example'),
        ('HTTP://B.example:80?z', '/?z', b'B.example:80'),
        ('http://b', '/', b'b'),
        ('http://u@b/x?http://c/', '/x?http://c/', b'b'),
        ('/x?http://c/', '/x?http://c/', b'a'),
        ('/http://c/', '/http://c/', b'a'),
    ):
        raw = f'GET {target} HTTP/1.1\r\nx: y\r\nhost: a\r\n\r\n'
        caller.connection.data_received(raw.encode())
        request = requests.pop()
        hosts = [value for name, value in request.headers if name == b'host']
        assert (request.target, hosts) == (path, [host]), request
    caller.send(('OPTIONS', 'http://b'), ('OPTIONS', '*'))
    assert [request.target for request in requests] == ['*', '*']


# DENIED: an exception in the node's own code, raised while a request was read,
# was answered with 400.
def test_a_defect_of_the_node_is_no_fault_of_the_request(caller):
    def fail(*_):
        raise ValueError('a defect')

    log = TestCase().assertLogs('poplarrack.caller_connections')
    with log as logs:
        caller.dispatcher.start = fail
        caller.connection.data_received(REQUEST)
        assert caller.transport.closing and not caller.transport.written
        caller.__init__()
        caller.connection._begin_upload = fail
        caller.connection.server.takes_uploads = True
        caller.connection.data_received(
            LARGE_HEAD.replace(b'2000000', b'900000')
        )
    assert caller.transport.written.startswith(b'HTTP/1.1 500')
    failed = [line for line in logs.records if line.exc_info]
    assert len(failed) == 2
    shown = [str(line.exc_info[1].__context__) for line in failed]
    assert shown == ['a defect'] * 2, shown


EDGE_LIMITS = CallerLimits('callers', 2_000, 300_000)
HEADER_START = b' /edge HTTP/1.1\r\nhost: a\r\n'
SIZES = strategies.sampled_from((0, 1, 2, 262_144, 262_145, 299_999, 300_000))
FRAMINGS = strategies.sampled_from((0, 1, 7, 4_096, 100_000))
CUTS = strategies.sampled_from((1_000, 16_384, READ_BUFFER_BYTES))


def build_edge_request(body_bytes, chunk_bytes, head_bytes):
    """Return a request whose head has a size, as far as that is possible.

    :param chunk_bytes: the size of the body's chunks, or 0 for a length.
    """
    body = b'b' * body_bytes
    framing = b'content-length: %d\r\n' % body_bytes
    if chunk_bytes:
        framing = b'transfer-encoding: chunked\r\n'
        chunks = [
            body[start : start + chunk_bytes]
            for start in range(0, body_bytes, chunk_bytes)
        ]
        body = b''.join(
            b'%x;x=1\r\n%b\r\n' % (len(chunk), chunk)
            for chunk in (*chunks, b'')
        )
    head = b'POST' + HEADER_START + framing + b'x: '
    return head + b'x' * (head_bytes - len(head) - 4) + b'\r\n\r\n' + body


# Tiny chunks, bodies that are read late and requests that are sent ahead may
# not add up to what only a head may have.
@settings(max_examples=25, deadline=None)
@given(
    strategies.lists(
        strategies.tuples(
            SIZES, FRAMINGS, strategies.integers(100, 2_000), CUTS
        ),
        min_size=1,
        max_size=2,
    ),
    strategies.booleans(),
)
def test_no_request_within_the_limits_is_too_large(parts, takes_uploads):
    caller = Caller()
    connection = caller.connection
    connection.server.limits = EDGE_LIMITS
    connection.server.takes_uploads = takes_uploads

    def start(request, respond):
        respond(build_answer(200, [], b'', True), True)

    caller.dispatcher.start = start
    raw = b''.join(build_edge_request(*part[:3]) for part in parts)
    step = parts[0][3]
    for start_at in range(0, len(raw), step):
        connection.data_received(memoryview(raw)[start_at : start_at + step])
    lines = caller.transport.written.split(b'HTTP/1.1 ')[1:]
    assert [line[:3] for line in lines] == [b'200'] * len(parts), lines


# A caller that is refused and sends on without end would keep its node busy.
def test_what_a_refused_caller_sends_on_is_bounded(caller):
    caller.connection.data_received(LARGE_HEAD)
    assert b' 413 ' in caller.transport.written
    block = bytes(100_000)
    for _ in range(caller.connection.server.limits.max_body_bytes // 100_000):
        caller.connection.data_received(block)
    assert not caller.transport.closing
    caller.connection.data_received(block)
    assert caller.transport.closing


# MIXED, DENIED: where a caller read its answers slowly, the refusal of a later
# request went out as the answer to one before it that had not begun.
def test_a_refusal_is_no_answer_to_a_request_before_it(caller):
    connection = caller.connection
    connection.pause_writing()
    caller.send(('POST', '/first'))
    assert not caller.started
    connection.data_received(b'GET /wrong HTTP/1.1\r\nhost : a\r\n\r\n')
    assert b'HTTP/1.1 400' not in caller.transport.written


# DRAIN: a caller that stops within a body holds a node that drains for the
# idle timeout, which may be longer than the grace of the process.
def test_a_stalled_body_does_not_hold_a_drain_for_the_idle_timeout(
    slow_caller,
):
    caller, wait = slow_caller
    server = caller.connection.server
    server.announce_drain()
    caller.connection.data_received(HALF_BODY)
    wait(server.limits.header_timeout_seconds + 0.1)
    server.close_idle(server.clock())
    assert b'HTTP/1.1 408' in caller.transport.written


# DRAIN: in a drain nothing looked for requests that were too slow, and one
# whose caller had stopped within it held a node of the own mesh for good.
def test_a_drain_ends_requests_that_stopped_coming(slow_caller):
    caller, _ = slow_caller
    for part in (HALF_HEAD, HALF_BODY):
        caller.__init__()
        server = caller.connection.server
        server.connections.add(caller.connection)
        server.announce_drain()
        caller.connection.data_received(part)
        server.clock.now += server.limits.header_timeout_seconds + 0.5
        server.close_idle(server.clock())
        assert not caller.transport.written
        server.clock.now += DRAIN_EXPIRY_DELAY_SECONDS
        server.close_idle(server.clock())
        assert b'HTTP/1.1 408' in caller.transport.written
        server.close_idle(server.clock())
        assert caller.transport.closing


def open_connections(server, number, part=b''):
    """Return new connections of which each has sent a part of a request."""
    connections = []
    for _ in range(number):
        server.clock.now += 0.001
        connection = CallerConnection(server)
        connection.connection_made(RecordingTransport())
        if part:
            connection.data_received(part)
        connections.append(connection)
    return connections


# DENIED: callers that stopped within a body took all connections for the idle
# timeout, and new ones were reset without an answer.
def test_requests_that_pause_make_room_for_new_connections():
    for part in (HALF_HEAD, HALF_BODY):
        server = CallServer(HeldDispatcher(), ManualClock(), 100)
        paused = open_connections(server, 100, part)
        seconds = server.limits.header_timeout_seconds
        server.clock.now = paused[0].last_read + seconds - 0.1
        [refused] = open_connections(server, 1)
        assert refused.transport.closing
        server.connections.discard(refused)
        server.clock.now = paused[49].last_read + seconds - 0.0005
        [first] = open_connections(server, 1)
        assert not first.transport.closing
        written = [item.transport.written for item in paused]
        ended = [item.startswith(b'HTTP/1.1 408') for item in written]
        assert ended == [True] * 50 + [False] * 50, sum(ended)
        closed = [item.transport.closing for item in paused]
        assert closed == ended
        assert server.dispatcher.counts['refused_request_too_slow'] == 50


# DENIED: those that waited for an answer would be cut off.
def test_requests_in_flight_are_not_evicted():
    server = CallServer(HeldDispatcher(), ManualClock(), 10)
    server.takes_uploads = True
    waiting = open_connections(server, 5, REQUEST)
    upload = LARGE_HEAD.replace(b'2000000', b'900000')
    waiting += open_connections(server, 5, upload)
    server.clock.now += LONG_SECONDS
    [refused] = open_connections(server, 1)
    assert refused.transport.closing
    assert not any(item.transport.closing for item in waiting)


# DENIED: with many connections, each new one had all sockets polled, so that
# the node stood still while many came at once.
def test_a_new_connection_has_few_sockets_polled():
    polled = []

    def poll_now(transport, events):
        polled.append(transport)
        return True

    server = CallServer(HeldDispatcher(), ManualClock(), 1_000)
    idle = open_connections(server, 1_000)
    server.clock.now += LONG_SECONDS
    with patch('poplarrack.caller_connections.poll_now', poll_now):
        open_connections(server, 1)
    oldest = [item.transport for item in idle[:MAX_EVICTION_POLLS]]
    assert polled == oldest, len(polled)
    assert MAX_EVICTION_POLLS < 1_000


# LOST: a caller that asked to continue, but sent its body without waiting for
# that, lost the answers behind that request, if the body was not wanted. Nor
# did a limit hold for what it sent then.
def test_a_caller_that_does_not_wait_to_continue_goes_on(slow_caller):
    caller, wait = slow_caller
    connection = caller.connection
    connection.server.takes_uploads = True
    connection.data_received(
        b'POST /up HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n'
        b'content-length: 300000\r\n\r\n'
    )
    connection.data_received(bytes(50_000))
    assert caller.started == ['/up']
    connection.upload.close()
    for _ in range(5):
        connection.data_received(bytes(50_000))
    caller.dispatcher.answer('/up')
    for target in ('/a', '/b'):
        caller.send(('GET', target))
        caller.dispatcher.answer(target)
    assert not caller.transport.closing
    assert len(caller.bodies) == 3
    connection.data_received(HALF_HEAD)
    wait(LONG_SECONDS)
    assert b'HTTP/1.1 408' in caller.transport.written


# DENIED: one that only dropped the rest of a refused request kept its place
# from new callers, and held a drain.
def test_a_refused_connection_makes_room_and_holds_no_drain():
    for act in (
        lambda server: open_connections(server, 1),
        lambda server: server.close_idle(server.clock()),
    ):
        server = CallServer(HeldDispatcher(), ManualClock(), 1)
        [refused] = open_connections(server, 1, LARGE_HEAD)
        assert refused.transport.written.startswith(b'HTTP/1.1 413')
        assert not refused.transport.closing
        server.clock.now += DRAIN_IDLE_SECONDS + 0.1
        act(server)
        assert refused.transport.closing
        new = server.connections - {refused}
        assert not any(item.transport.closing for item in new)


# LOST: a caller that had just been told to continue was reset while it sent,
# and with that lost an answer that came before its body.
def test_a_caller_that_was_told_to_continue_reads_an_early_answer(slow_caller):
    caller, wait = slow_caller
    caller.connection.server.takes_uploads = True
    caller.connection.data_received(
        b'POST /up HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n'
        b'content-length: 900000\r\n\r\n'
    )
    wait(LONG_SECONDS)
    caller.connection.upload.open(lambda: None)
    caller.dispatcher.answer('/up', keep_alive=False)
    wait(0.1)
    assert b' 200 ' in caller.transport.written
    assert not caller.transport.closing


# Callers that send nothing more would keep a connection of no more use.
def test_a_refused_connection_is_kept_while_its_caller_sends(slow_caller):
    caller, wait = slow_caller
    limits = caller.connection.server.limits
    caller.connection.data_received(LARGE_HEAD)
    for _ in range(3):
        wait(limits.header_timeout_seconds - 0.1)
        assert not caller.transport.closing
        caller.connection.data_received(b'more')
    wait(limits.header_timeout_seconds + 0.1)
    assert caller.transport.closing


# So would those that never stop.
def test_a_refused_connection_is_not_kept_for_good(slow_caller):
    caller, wait = slow_caller
    limits = caller.connection.server.limits
    caller.connection.data_received(LARGE_HEAD)
    for _ in range(int(limits.idle_timeout_seconds)):
        assert not caller.transport.closing
        caller.connection.data_received(b'more')
        wait(1.0)
    caller.connection.data_received(b'more')
    wait(1.0)
    assert caller.transport.closing
