"""Take calls over HTTP/1.1 from callers on the node's call address."""

from collections import deque

from httptools import HttpParserError
from httptools import HttpParserUpgrade
from httptools import HttpRequestParser

from poplarrack.buffers import SharedBufferProtocol
from poplarrack.errors import ErrorKind
from poplarrack.http_messages import build_error
from poplarrack.http_messages import HttpRequest

MAX_HEADER_BYTES = 32_768
MAX_BODY_BYTES = 1_000_000
MAX_PIPELINED = 16
READ_TIMEOUT_SECONDS = 10.0
IDLE_TIMEOUT_SECONDS = 75.0


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
        if self.size > MAX_HEADER_BYTES:
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
        if self.size > MAX_BODY_BYTES:
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
        elif self.server.draining:
            self.transport.close()

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
        if reading and silent > READ_TIMEOUT_SECONDS:
            self._refuse(ErrorKind.MALFORMED_REQUEST, 'request too slow')
        elif self.call is None and silent > IDLE_TIMEOUT_SECONDS:
            self.transport.close()

    @property
    def busy(self):
        """Say whether a call is under way or being read."""
        return bool(self.call or self.waiting or self.request)


class CallServer:
    """Accept callers until it is drained."""

    def __init__(self, dispatcher, clock):
        self.dispatcher = dispatcher
        self.clock = clock
        self.connections = set()
        self.draining = False
        self.listener = None

    async def listen(self, loop, host, port):
        """Listen; returns the port in use."""
        self.listener = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=1024
        )
        return self.listener.sockets[0].getsockname()[1]

    def announce_drain(self):
        """Close each connection after its next answer."""
        self.dispatcher.draining = True

    def drain(self):
        """Take no new connection; close idle ones, the others after."""
        self.draining = True
        self.dispatcher.draining = True
        self.listener.close()
        for connection in list(self.connections):
            if not connection.busy:
                connection.transport.close()

    @property
    def drained(self):
        """Say whether every call was answered."""
        return not self.connections

    def expire(self, now):
        """Close slow and idle connections."""
        for connection in list(self.connections):
            connection.expire(now)
