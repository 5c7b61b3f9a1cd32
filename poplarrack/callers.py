"""Take calls over HTTP/1.1 from callers on the node's call address."""

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

MAX_PIPELINED = 16
MAX_CONNECTIONS = 4_096
# An idle connection is kept somewhat longer than callers may count on.
IDLE_SLACK = 1.2
# How long a connection must have been idle to make room for a new one.
EVICTED_IDLE_SECONDS = 0.5
# Idle connections closed at a time, the longest idle first.
EVICTED_AT_ONCE = 64
DRAIN_SILENCE_SECONDS = 1.0
DRAIN_POLL_SECONDS = 0.05


class CallerConnection(SharedBufferProtocol):
    """A caller's connection; its calls are served one after another."""

    def __init__(self, server):
        self.server = server
        self.transport = None
        self.parser = HttpRequestParser(self)
        self.request = None
        self.chunks = []
        self.size = 0
        self.waiting = deque()
        self.call = None
        self.refused = False
        self.last_read = server.clock()

    def connection_made(self, transport):
        """Register with the server."""
        self.transport = transport
        self.server.connections.add(self)
        if self.server.is_full:
            self.server.evict_idle(self.last_read)
        if self.server.is_full:
            self.server.dispatcher.counts['connections_refused'] += 1
            transport.abort()

    def connection_lost(self, error):
        """Cancel the call that nobody waits for any more."""
        self.server.connections.discard(self)
        call, self.call = self.call, None
        self.waiting.clear()
        if call is not None:
            self.server.dispatcher.cancel(call)

    def data_received(self, data):
        """Feed the parser."""
        if self.refused:
            return
        self.last_read = self.server.clock()
        try:
            self.parser.feed_data(data)
        except HttpParserUpgrade:
            self._refuse(ErrorKind.MALFORMED_REQUEST, 'upgrade')
        except HttpParserError as error:
            if not self.refused:
                self._refuse(ErrorKind.MALFORMED_REQUEST, str(error))

    def on_message_begin(self):
        """Start a request."""
        self.request = HttpRequest('', '')
        self.chunks = []
        self.size = 0

    def on_url(self, url):
        """Collect the target, which may come in parts."""
        self.request.target += url.decode('latin-1')
        self._count_header(len(url))

    def on_header(self, name, value):
        """Collect a header."""
        self.request.headers.append((name.lower(), value))
        self._count_header(len(name) + len(value))

    def _count_header(self, size):
        self.size += size
        if self.size > self.server.limits.max_header_bytes:
            self._refuse(ErrorKind.TOO_LARGE, 'headers')

    def on_headers_complete(self):
        """Take the method and answer a caller that waits to send."""
        self.request.method = self.parser.get_method().decode()
        self.size = 0
        if self.request.header(b'expect') and not self.refused:
            self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body):
        """Collect a part of the body."""
        self.size += len(body)
        if self.size > self.server.limits.max_body_bytes:
            self._refuse(ErrorKind.TOO_LARGE, 'body')
            return
        self.chunks.append(body)

    def on_message_complete(self):
        """Serve the request, or keep it until the one before is done."""
        request, self.request = self.request, None
        if self.refused:
            return
        request.body = b''.join(self.chunks)
        request.keep_alive = self.parser.should_keep_alive()
        if self.call is not None:
            self._keep_waiting(request)
        else:
            self._serve(request)

    def _keep_waiting(self, request):
        self.waiting.append(request)
        if len(self.waiting) >= MAX_PIPELINED:
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
            self.refused = True
            self.transport.close()
        elif self.waiting:
            self.transport.resume_reading()
            self._serve(self.waiting.popleft())

    def _refuse(self, kind, detail):
        """Answer a request that can't be read, and close."""
        if self.refused:
            return
        self.refused = True
        self.server.dispatcher.counts[f'refused_{kind.value}'] += 1
        if self.call is None:
            self.transport.write(build_error(kind, detail, None, False))
            self.transport.close()
        else:
            self.transport.abort()

    def expire(self, now):
        """Close a connection whose caller is too slow or gone."""
        silent = now - self.last_read
        reading = self.request is not None
        limits = self.server.limits
        if reading and silent > limits.header_timeout_seconds:
            self._refuse(ErrorKind.MALFORMED_REQUEST, 'request too slow')
        elif self.call is None and silent > (
            IDLE_SLACK * limits.idle_timeout_seconds
        ):
            self.transport.close()

    @property
    def busy(self):
        """Say whether a call is under way or being read."""
        return bool(self.call or self.waiting or self.request)


class CallServer:
    """Accept callers until it is drained."""

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
        """Listen; returns the port in use."""
        self.socket = socket.create_server((host, port), backlog=1024)
        self.socket.setblocking(False)
        self.listener = await loop.create_server(
            self._build_connection, sock=self.socket.dup()
        )
        return self.socket.getsockname()[1]

    def _build_connection(self):
        return CallerConnection(self)

    @property
    def is_full(self):
        """Say whether there are more connections than allowed."""
        return len(self.connections) > self.max_connections

    def evict_idle(self, now):
        """Close the connections that were idle the longest."""
        idle = [
            connection
            for connection in self.connections
            if not connection.busy
            and now - connection.last_read > EVICTED_IDLE_SECONDS
        ]
        idle.sort(key=lambda connection: connection.last_read)
        for connection in idle[:EVICTED_AT_ONCE]:
            self.connections.discard(connection)
            connection.transport.close()

    def announce_drain(self):
        """Close each connection after its next answer."""
        self.dispatcher.draining = True

    async def drain(self, loop):
        """Take no new connection; end the others without cutting a call.

        What the kernel accepted already is served, and an open connection
        may still bring a call that was under way to here.
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

    def close_quiet(self, now):
        """Close connections that brought nothing for a while."""
        for connection in list(self.connections):
            silent = now - connection.last_read
            if not connection.busy and silent > DRAIN_SILENCE_SECONDS:
                connection.transport.close()

    @property
    def drained(self):
        """Say whether every connection ended."""
        return not self.connections

    async def wait_until_drained(self):
        """Wait until the callers are gone or silent."""
        while not self.drained:
            self.close_quiet(self.clock())
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def expire(self, now):
        """Close slow and idle connections."""
        for connection in list(self.connections):
            connection.expire(now)
