"""Serve callers over HTTP/1.1 on the node's call address."""

import asyncio
from collections import deque
import socket

from httptools import HttpParserError
from httptools import HttpParserUpgrade
from httptools import HttpRequestParser

from poplarrack.buffers import SharedBufferProtocol
from poplarrack.errors import ErrorKind
from poplarrack.http_messages import build_error
from poplarrack.http_messages import HttpRequest
from poplarrack.resources import CallerLimits

MAX_PIPELINED_REQUESTS = 16
MAX_CONNECTIONS = 4_096
LISTEN_BACKLOG = 1024
# Connections are closed after this multiple of the idle timeout, so that a
# request that is sent within the timeout doesn't reach a closed connection.
IDLE_TIMEOUT_FACTOR = 1.2
# Idle time after which a connection may be evicted for a new one.
MIN_EVICTION_IDLE_SECONDS = 0.5
# Connections evicted at a time, those idle the longest first.
EVICTION_BATCH = 64
DRAIN_IDLE_SECONDS = 1.0
DRAIN_POLL_SECONDS = 0.05


class CallerConnection(SharedBufferProtocol):
    """A caller's connection, whose pipelined requests run one by one."""

    def __init__(self, server):
        self.server = server
        self.transport = None
        self.parser = HttpRequestParser(self)
        self.request = None
        self.chunks = []
        self.size = 0
        self.pipelined = deque()
        self.call = None
        self.closing = False
        self.last_read = server.clock()

    def connection_made(self, transport):
        """Register with the server, which may evict idle connections.

        The connection is aborted if there are still too many.
        """
        self.transport = transport
        self.server.connections.add(self)
        if self.server.is_over_limit:
            self.server.evict_idle(self.last_read)
        if self.server.is_over_limit:
            self.server.dispatcher.counts['connections_refused'] += 1
            transport.abort()

    def connection_lost(self, error):
        """Cancel the call in flight, whose caller disconnected."""
        self.server.connections.discard(self)
        call, self.call = self.call, None
        self.pipelined.clear()
        if call is not None:
            self.server.dispatcher.cancel(call)

    def data_received(self, data):
        """Feed the parser and refuse malformed requests."""
        if self.closing:
            return
        self.last_read = self.server.clock()
        try:
            self.parser.feed_data(data)
        except HttpParserUpgrade:
            self._refuse(ErrorKind.MALFORMED_REQUEST, 'upgrade')
        except HttpParserError as error:
            if not self.closing:
                self._refuse(ErrorKind.MALFORMED_REQUEST, str(error))

    def on_message_begin(self):
        """Start a new request."""
        self.request = HttpRequest('', '')
        self.chunks = []
        self.size = 0

    def on_url(self, url):
        """Append to the request target, which may arrive in parts."""
        self.request.target += url.decode('latin-1')
        self._count_header(len(url))

    def on_header(self, name, value):
        """Add a header to the request."""
        self.request.headers.append((name.lower(), value))
        self._count_header(len(name) + len(value))

    def _count_header(self, size):
        self.size += size
        if self.size > self.server.limits.max_header_bytes:
            self._refuse(ErrorKind.TOO_LARGE, 'headers')

    def on_headers_complete(self):
        """Store the method; answer an Expect header with 100 Continue."""
        self.request.method = self.parser.get_method().decode()
        self.size = 0
        if self.request.header(b'expect') and not self.closing:
            self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body):
        """Add a chunk to the body, up to the size limit."""
        self.size += len(body)
        if self.size > self.server.limits.max_body_bytes:
            self._refuse(ErrorKind.TOO_LARGE, 'body')
            return
        self.chunks.append(body)

    def on_message_complete(self):
        """Dispatch the request, or queue it behind the one in flight."""
        request, self.request = self.request, None
        if self.closing:
            return
        request.body = b''.join(self.chunks)
        request.keep_alive = self.parser.should_keep_alive()
        if self.call is not None:
            self._enqueue(request)
        else:
            self._serve(request)

    def _enqueue(self, request):
        self.pipelined.append(request)
        if len(self.pipelined) >= MAX_PIPELINED_REQUESTS:
            self.transport.pause_reading()

    def _serve(self, request):
        answered = False

        def respond(raw, keep_alive):
            nonlocal answered
            answered = True
            self._on_answer(raw, keep_alive)

        call = self.server.dispatcher.start(request, respond)
        if not answered:
            self.call = call

    def _on_answer(self, raw, keep_alive):
        self.call = None
        if self.transport.is_closing():
            return
        self.transport.write(raw)
        if not keep_alive:
            self.closing = True
            self.transport.close()
        elif self.pipelined:
            self.transport.resume_reading()
            self._serve(self.pipelined.popleft())

    def _refuse(self, kind, detail):
        """Refuse a request that can't be served, and close the connection.

        An error answer is sent only if no call is in flight, since it would
        be taken for the answer to that call.
        """
        if self.closing:
            return
        self.closing = True
        self.server.dispatcher.counts[f'refused_{kind.value}'] += 1
        if self.call is None:
            self.transport.write(build_error(kind, detail, None, False))
            self.transport.close()
        else:
            self.transport.abort()

    def expire(self, now):
        """Close the connection if its request or idle timeout has passed."""
        idle_seconds = now - self.last_read
        reading = self.request is not None
        limits = self.server.limits
        if reading and idle_seconds > limits.header_timeout_seconds:
            self._refuse(ErrorKind.MALFORMED_REQUEST, 'request too slow')
        elif self.call is None and idle_seconds > (
            IDLE_TIMEOUT_FACTOR * limits.idle_timeout_seconds
        ):
            self.transport.close()

    @property
    def busy(self):
        """Return whether a request is being read, queued or in flight."""
        return bool(self.call or self.pipelined or self.request)


class CallServer:
    """Accepts callers' connections until it is drained.

    :param dispatcher: starts and cancels calls, such as a Dispatcher or
        Sender.
    :param clock: a function that returns monotonic seconds.
    :param max_connections: connections that are served at once.
    """

    def __init__(self, dispatcher, clock, max_connections=MAX_CONNECTIONS):
        self.dispatcher = dispatcher
        self.max_connections = max_connections
        self.clock = clock
        self.limits = CallerLimits('callers')
        self.connections = set()
        self.draining = False
        self.listener = None
        self.socket = None

    async def listen(self, loop, host, port):
        """Listen for callers.

        :returns: the port in use.
        """
        self.socket = socket.create_server(
            (host, port), backlog=LISTEN_BACKLOG
        )
        self.socket.setblocking(False)
        self.listener = await loop.create_server(
            self._build_connection, sock=self.socket.dup()
        )
        return self.socket.getsockname()[1]

    def _build_connection(self):
        return CallerConnection(self)

    @property
    def is_over_limit(self):
        """Return whether more connections are open than allowed."""
        return len(self.connections) > self.max_connections

    def evict_idle(self, now):
        """Evict the connections that have been idle the longest."""
        idle = [
            connection
            for connection in self.connections
            if not connection.busy
            and now - connection.last_read > MIN_EVICTION_IDLE_SECONDS
        ]
        idle.sort(key=lambda connection: connection.last_read)
        for connection in idle[:EVICTION_BATCH]:
            self.connections.discard(connection)
            connection.transport.close()

    def announce_drain(self):
        """Have each connection closed after its next answer."""
        self.dispatcher.draining = True

    async def drain(self, loop):
        """Stop listening, without cutting off calls.

        Connections that the kernel has accepted already are served, and open
        connections stay open for a request that may be on its way.

        :param loop: the running event loop.
        """
        self.announce_drain()
        self.draining = True
        self.listener.close()
        while True:
            try:
                accepted, _ = self.socket.accept()
            except BlockingIOError:
                break
            await loop.connect_accepted_socket(
                self._build_connection, accepted
            )
        self.socket.close()

    def close_idle(self, now):
        """Close connections that have been idle for ``DRAIN_IDLE_SECONDS``.

        Called while the server drains.
        """
        for connection in list(self.connections):
            idle_seconds = now - connection.last_read
            if not connection.busy and idle_seconds > DRAIN_IDLE_SECONDS:
                connection.transport.close()

    @property
    def drained(self):
        """Return whether every connection is closed."""
        return not self.connections

    async def wait_until_drained(self):
        """Wait until every connection is closed, closing idle ones."""
        while not self.drained:
            self.close_idle(self.clock())
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def expire(self, now):
        """Close connections whose request or idle timeout has passed."""
        for connection in list(self.connections):
            connection.expire(now)
