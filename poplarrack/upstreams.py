"""Exchange calls with backend servers over kept connections.

One exchange at a time on a connection. A connection whose exchange did
not end with one whole answer is closed and never used again, so that a
late answer can't reach another caller. Where servers echo a request's id,
an answer with another id is skipped.
"""

from asyncio import get_running_loop
from asyncio import timeout
from dataclasses import dataclass
from enum import Enum

from httptools import HttpParserError
from httptools import HttpResponseParser

from poplarrack.addresses import split_address
from poplarrack.buffers import SharedBufferProtocol
from poplarrack.http_messages import HttpAnswer

IDLE_SECONDS = 15.0
# Kept back from the time that a server keeps an idle connection for, so
# that a request does not cross its close.
IDLE_MARGIN_SECONDS = 1.0
# Answers to other requests that are skipped before a connection is given
# up as crossed.
MAX_STRAY_ANSWERS = 2
MAX_HEADER_BYTES = 65_536


class Outcome(Enum):
    """How an exchange with a backend server ended."""

    ANSWERED = 'answered'
    NEVER_SENT = 'never_sent'
    LOST = 'lost'
    TIMED_OUT = 'timed_out'
    TOO_LARGE = 'too_large'
    CANCELLED = 'cancelled'


@dataclass(slots=True)
class Exchange:
    """One request on its way; ``done`` takes outcome and answer.

    ``echo`` is the name and value of a header that the answer must bear.
    """

    pool: object
    request: bytes
    bodiless: bool
    done: object
    echo: tuple[bytes, bytes] | None = None
    timer: object = None
    connection: object = None
    ended: bool = False

    def finish(self, outcome, answer=None):
        """End the exchange once."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.done(outcome, answer)


class UpstreamConnection(SharedBufferProtocol):
    """A connection to one backend server."""

    def __init__(self, pool):
        self.pool = pool
        self.transport = None
        self.exchange = None
        self.parser = None
        self.answer = None
        self.chunks = []
        self.size = 0
        self.complete = False
        self.reusable = False
        self.idle_since = 0.0
        self.idle_seconds = IDLE_SECONDS
        self.forgotten = False
        self.strays = 0

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport

    def send(self, exchange):
        """Send a request; the answer ends the exchange."""
        self.exchange = exchange
        exchange.connection = self
        self.answer = HttpAnswer(0)
        self.chunks = []
        self.size = 0
        self.complete = False
        self.strays = 0
        if self.parser is None:
            self.parser = HttpResponseParser(self)
        self.transport.write(exchange.request)

    def data_received(self, data):
        """Feed the parser; bytes without an exchange are never kept."""
        if self.exchange is None:
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except HttpParserError:
            self._fail(Outcome.LOST)
            return
        if self.complete and self.exchange is not None:
            self._succeed()

    def on_header(self, name, value):
        """Collect a header."""
        if self.complete:
            return
        self.size += len(name) + len(value)
        self.answer.headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Take the status; an answer to HEAD ends here."""
        if self.complete:
            return
        self.answer.status = self.parser.get_status_code()
        if self.size > MAX_HEADER_BYTES:
            self._fail(Outcome.TOO_LARGE)
        elif self.exchange and self.exchange.bodiless:
            self.complete = True

    def on_body(self, body):
        """Collect a part of the body; what follows the end is dropped."""
        if self.complete:
            return
        self.size += len(body)
        if self.size > self.pool.max_answer_bytes:
            self._fail(Outcome.TOO_LARGE)
            return
        self.chunks.append(body)

    def on_message_complete(self):
        """Note the end of a final answer."""
        if self.answer.status < 200:
            self.answer = HttpAnswer(0)
            return
        if self.complete:
            # A second answer to one request: the connection is crossed.
            self.reusable = False
            return
        if self._is_stray():
            self._skip_stray()
            return
        self.complete = True
        # The parser forgets this with the end of the message.
        self.reusable = self.parser.should_keep_alive()

    def _is_stray(self):
        """Say whether the answer belongs to another request."""
        echo = self.exchange.echo if self.exchange else None
        return echo is not None and self.answer.header(echo[0]) != echo[1]

    def _skip_stray(self):
        self.strays += 1
        self.answer = HttpAnswer(0)
        self.chunks = []
        self.size = 0
        if self.strays > MAX_STRAY_ANSWERS or (
            not self.parser.should_keep_alive()
        ):
            self._fail(Outcome.LOST)

    def eof_received(self):
        """End an answer without a length, which its connection ends."""
        answer = self.answer
        ends_here = (
            self.exchange is not None
            and not self.complete
            and answer.status >= 200
            and answer.header(b'content-length') is None
            and answer.header(b'transfer-encoding') is None
            and not self._is_stray()
        )
        if ends_here:
            self.complete = True
            self.reusable = False
            self._succeed()

    def connection_lost(self, error):
        """Fail the exchange that was cut short."""
        self.pool.forget(self)
        self._fail(Outcome.LOST)

    def close(self):
        """Close without waiting."""
        self.pool.forget(self)
        if self.transport is not None:
            self.transport.abort()

    def _fail(self, outcome):
        exchange, self.exchange = self.exchange, None
        if exchange is None:
            return
        self.close()
        exchange.finish(outcome)

    def _succeed(self):
        exchange, self.exchange = self.exchange, None
        answer = self.answer
        answer.body = b''.join(self.chunks)
        self.idle_seconds = kept_seconds(answer)
        clean = (
            self.reusable
            and not exchange.bodiless
            and self.transport.get_write_buffer_size() == 0
        )
        if clean:
            self.pool.release(self)
        else:
            self.close()
        exchange.finish(Outcome.ANSWERED, answer)


def kept_seconds(answer):
    """Return how long a connection may stay idle after an answer."""
    stated = answer.header(b'keep-alive')
    for part in (stated or b'').lower().split(b','):
        name, _, value = part.strip().partition(b'=')
        if name == b'timeout' and value.isdigit():
            kept = int(value) - IDLE_MARGIN_SECONDS
            return min(IDLE_SECONDS, max(0.0, kept))
    return IDLE_SECONDS


class UpstreamPool:
    """Connections to one backend server, the latest used first."""

    def __init__(self, address, max_answer_bytes, connect_timeout_seconds):
        self.host, self.port = split_address(address)
        self.max_answer_bytes = max_answer_bytes
        self.connect_timeout_seconds = connect_timeout_seconds
        self.idle = []
        self.open = 0
        self.connects = set()
        self.closed = False

    def start(self, request, bodiless, timeout_seconds, done, echo=None):
        """Start an exchange.

        :param done: called once with an Outcome and an HttpAnswer.
        :param echo: name and value of a header that the answer must bear.
        :returns: the Exchange, which ``cancel`` takes.
        """
        loop = get_running_loop()
        exchange = Exchange(self, request, bodiless, done, echo)
        exchange.timer = loop.call_later(
            timeout_seconds, self._expire, exchange
        )
        self.close_idle(loop.time())
        if self.idle:
            self.idle.pop().send(exchange)
        else:
            task = loop.create_task(self._connect(loop, exchange))
            self.connects.add(task)
            task.add_done_callback(self.connects.discard)
        return exchange

    async def _connect(self, loop, exchange):
        self.open += 1
        connection = UpstreamConnection(self)
        try:
            connecting = loop.create_connection(
                lambda: connection, self.host, self.port
            )
            async with timeout(self.connect_timeout_seconds):
                await connecting
        except (OSError, TimeoutError):
            self.open -= 1
            exchange.finish(Outcome.NEVER_SENT)
            return
        if exchange.ended:
            self.release(connection)
            return
        connection.send(exchange)

    def release(self, connection):
        """Keep a clean connection for the next exchange."""
        if self.closed:
            connection.close()
            return
        connection.idle_since = get_running_loop().time()
        self.idle.append(connection)

    def forget(self, connection):
        """Drop a connection that closed."""
        if connection in self.idle:
            self.idle.remove(connection)
        if not connection.forgotten:
            connection.forgotten = True
            self.open -= 1

    def cancel(self, exchange, outcome=Outcome.CANCELLED):
        """End an exchange early; its connection is closed."""
        connection = exchange.connection
        if connection is None:
            exchange.finish(
                Outcome.NEVER_SENT if outcome is Outcome.TIMED_OUT else outcome
            )
            return
        if connection.exchange is exchange:
            connection.exchange = None
            connection.close()
        exchange.finish(outcome)

    def close_idle(self, now):
        """Close the connections that nobody used for a while."""
        for connection in list(self.idle):
            if now - connection.idle_since > connection.idle_seconds:
                connection.close()

    def close(self):
        """Close idle connections now and the others as they end."""
        self.closed = True
        for connection in list(self.idle):
            connection.close()

    def _expire(self, exchange):
        self.cancel(exchange, Outcome.TIMED_OUT)
