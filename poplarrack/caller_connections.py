"""Read a caller's requests and write their answers, on one connection."""

import asyncio
from collections import deque
from dataclasses import dataclass
import logging
import select

from httptools import HttpParserCallbackError
from httptools import HttpParserError
from httptools import HttpParserUpgrade
from httptools import HttpRequestParser

from poplarrack.body_pipes import BodyPipe
from poplarrack.body_pipes import MAX_WHOLE_BODY_BYTES
from poplarrack.body_pipes import write_pieces
from poplarrack.buffers import BodyBuffer
from poplarrack.buffers import MAX_CHUNK_FRAMING_BYTES
from poplarrack.buffers import READ_BUFFER_BYTES
from poplarrack.buffers import SharedBufferProtocol
from poplarrack.byte_budgets import HEADER_OVERHEAD_BYTES
from poplarrack.errors import ANSWERS
from poplarrack.errors import ErrorKind
from poplarrack.http_messages import build_error
from poplarrack.http_messages import build_head_without_offer
from poplarrack.http_messages import HttpRequest
from poplarrack.http_messages import take_authority
from poplarrack.socket_states import poll_now

logger = logging.getLogger(__name__)

# Requests of a connection that wait behind others before it is read on.
MAX_PIPELINED_REQUESTS = 16
# Repeatable requests of a connection that run at once.
MAX_OVERLAPPING_REQUESTS = 16
# Connections are closed after this multiple of the idle timeout, so that a
# request that is sent within the timeout doesn't reach a closed connection.
IDLE_TIMEOUT_FACTOR = 1.2
# After which a request that found no memory may be sent again; those that
# fill it end within their deadlines.
RETRY_AFTER_SECONDS = 1.0
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Poll events by which a caller that is not read from has left.
LEFT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


@dataclass(slots=True, eq=False)
class CallerExchange:
    """A request that was started, and its answer once there is one.

    ``call`` is what the dispatcher returned, ``answer`` the bytes of an
    answer that waits for those before it, b'' once they are written. ``body``
    is the BodyPipe of a long answer, ``chunked`` whether it goes in chunks.
    """

    request: HttpRequest
    call: object = None
    answer: bytes | None = None
    keep_alive: bool = True
    body: BodyPipe | None = None
    chunked: bool = False

    @property
    def held_bytes(self):
        """Return the bytes of what is whole: the body and the answer."""
        return len(self.request.body) + len(self.answer or b'')


class CallerConnection(SharedBufferProtocol):
    """A caller's connection.

    Its pipelined requests run at once while all of them are repeatable, any
    other one alone. They are answered in the order in which they came.
    """

    def __init__(self, server):
        self.server = server
        self.transport = None
        self.parser = HttpRequestParser(self)
        self.request = None
        self.has_head = False
        self.body = BodyBuffer()
        self.header_bytes = 0
        # Bytes of the request that are not part of a body or its framing.
        self.overhead_bytes = 0
        # Requests that are not started yet, and those that are.
        self.pipelined = deque()
        self.exchanges = deque()
        self.starting = False
        self.closing = False
        # The answer to a request that was refused while it was read, which
        # waits for those before it.
        self.refusal = None
        # The body of the request that is read, if it is passed on in pieces.
        self.upload = None
        self.upload_bytes = 0
        # Whether its caller sends it only after a 100 Continue.
        self.awaits_continue = False
        # Whether the rest of a body is dropped before the connection closes.
        self.lingers_until = 0.0
        self.dropped_bytes = 0
        self.is_write_paused = False
        self.is_reading = True
        self.last_read = server.clock()
        # The limits when the request began that is read.
        self.first_limits = server.limits
        # Bytes that were written, and those that had been taken by a time.
        self.written_bytes = 0
        self.taken_bytes = 0
        self.taken_at = self.last_read

    def connection_made(self, transport):
        """Register with the server, which may evict idle connections.

        The connection is aborted if there are still too many.
        """
        self.transport = transport
        # One whole answer that is read slowly does not stop the requests that
        # were sent ahead.
        transport.set_write_buffer_limits(MAX_WHOLE_BODY_BYTES)
        self.server.connections.add(self)
        if self.server.is_over_limit:
            self.server.evict_idle(self.last_read)
        if self.server.is_over_limit:
            self.server.dispatcher.counts['connections_refused'] += 1
            transport.abort()

    def connection_lost(self, error):
        """Cancel the calls in flight, whose caller disconnected."""
        self.server.connections.discard(self)
        self.server.budget.release(self)
        # The parser refers to the connection, so that both would stay until
        # the next garbage collection.
        self.parser = None
        self.request = None
        self.server.paused.discard(self)
        self._cancel_all()
        if self.upload is not None:
            self.upload.fail()
            self.upload = None

    def _cancel_all(self):
        """Cancel the calls that have no answer, and start no more."""
        self.pipelined.clear()
        exchanges, self.exchanges = self.exchanges, deque()
        for exchange in exchanges:
            if exchange.answer is None and exchange.call is not None:
                self.server.dispatcher.cancel(exchange.call)
            elif exchange.body is not None:
                exchange.body.close()

    def data_received(self, data):
        """Feed the parser and refuse malformed requests."""
        if self.drops_input:
            if self.lingers_until:
                self._drop(len(data))
            return
        self.last_read = self.server.clock()
        self.overhead_bytes += len(data)
        self._parse(data)
        if self.overhead_bytes > self.max_header_bytes + READ_BUFFER_BYTES:
            # The parser keeps an unfinished header, whatever its size.
            self._refuse_too_large('headers')
        if self.upload is not None:
            self._pass_on()
            self._update_reading()
        self._count_held()

    def _drop(self, size):
        """Count what is dropped; that of one request has a bound."""
        self.last_read = self.server.clock()
        self.dropped_bytes += size
        if self.dropped_bytes > self.server.limits.max_body_bytes:
            self.transport.abort()

    @property
    def drops_input(self):
        """Return whether what the caller sends is of no use any more."""
        return self.closing or self.refusal is not None

    def _parse(self, data):
        while len(data):
            try:
                self.parser.feed_data(data)
            except HttpParserUpgrade as offer:
                # The parser ends with the head: another one reads it again
                # without the offer, and the body.
                data = data[offer.args[0] :]
                if self._ignore_offer():
                    continue
                self._refuse(ErrorKind.MALFORMED_REQUEST, 'upgrade')
            except HttpParserCallbackError:
                if not self.drops_input:
                    self._fail_internally()
            except HttpParserError as error:
                if not self.drops_input:
                    self._refuse(ErrorKind.MALFORMED_REQUEST, str(error))
            return

    def _fail_internally(self):
        """End the connection: a defect of this code is no fault of a caller.

        A request that it started may run, or not.
        """
        logger.exception('request_failed_internally')
        if self.starting:
            self._let_go()
        else:
            self._refuse(ErrorKind.INTERNAL, 'internal')

    def _ignore_offer(self):
        """Begin the request again without its offer of an upgrade.

        :returns: whether it goes on; one with the method CONNECT can't.
        """
        request = self.request
        if self.drops_input or request is None or request.method == 'CONNECT':
            return False
        head = build_head_without_offer(
            request, self.parser.get_http_version()
        )
        self.parser = HttpRequestParser(self)
        self.parser.feed_data(head)
        return True

    def _count_held(self):
        """Count what is held for the caller, read or to be written.

        Bodies in pieces are counted by themselves.
        """
        held = self._buffered_bytes()
        for exchange in self.exchanges:
            held += exchange.held_bytes
        for request in self.pipelined:
            held += len(request.body)
        held += self.transport.get_write_buffer_size()
        self.server.budget.hold(self, held)

    def _buffered_bytes(self):
        """Return the memory that a request takes that is not complete."""
        if self.request is None or self.drops_input:
            return 0
        return (
            self.body.size
            + self.header_bytes
            + HEADER_OVERHEAD_BYTES * len(self.request.headers)
            + self.overhead_bytes
        )

    def on_message_begin(self):
        """Start a new request."""
        self.request = HttpRequest('', '')
        self.first_limits = self.server.limits
        self.has_head = False
        self.body = BodyBuffer()
        self.header_bytes = 0

    def on_url(self, url):
        """Append to the request target, which may arrive in parts."""
        self.request.target += url.decode('latin-1')
        self._count_header(len(url))

    def on_header(self, name, value):
        """Add a header to the request; trailers are dropped."""
        if self.drops_input:
            return
        if not self.has_head:
            self.request.headers.append((name.lower(), value))
        self._count_header(len(name) + len(value))

    @property
    def max_header_bytes(self):
        """Return the larger limit of those of the request's time."""
        return max(
            self.first_limits.max_header_bytes,
            self.server.limits.max_header_bytes,
        )

    @property
    def max_body_bytes(self):
        """Return the larger limit of those of the request's time."""
        return max(
            self.first_limits.max_body_bytes,
            self.server.limits.max_body_bytes,
        )

    def _refuse_too_large(self, part):
        if self.server.knows_limits:
            self._refuse(ErrorKind.TOO_LARGE, part)
        else:
            self._refuse(
                ErrorKind.NO_ENDPOINT, 'no configuration', RETRY_AFTER_SECONDS
            )

    def _count_header(self, size):
        self.header_bytes += size
        if self.header_bytes > self.max_header_bytes:
            self._refuse_too_large('headers')

    def on_headers_complete(self):
        """Store the method; answer an Expect header with 100 Continue."""
        self.has_head = True
        self.request.method = self.parser.get_method().decode()
        if self.drops_input or self.parser.should_upgrade():
            return
        take_authority(self.request)
        length = self.request.header(b'content-length')
        if length is not None and int(length) > MAX_WHOLE_BODY_BYTES:
            if int(length) > self.max_body_bytes:
                self._refuse_too_large('body')
            elif self.server.takes_uploads:
                self._begin_upload(int(length))
        if self.drops_input or self.request.header(b'expect') is None:
            return
        if self.upload is None or self.upload.opened:
            self.write(CONTINUE)
        else:
            self.awaits_continue = True

    def _begin_upload(self, length):
        """Start a request whose body is passed on as it comes.

        :param length: the size of the body, or None if it is not known.
        """
        request = self.request
        request.upload = BodyPipe(self, length, self.server.budget)
        self.upload = request.upload
        self.upload_bytes = self.body.size
        self._enqueue(request)

    def _pass_on(self):
        """Put what was read of a body into its pipe, as one piece."""
        if self.body.size:
            body, self.body = self.body, BodyBuffer()
            self.upload.put(body.joined())

    def on_pipe_opened(self, pipe):
        """Have the caller send its body, if it waits for that."""
        if self.awaits_continue and pipe is self.upload:
            self.awaits_continue = False
            self.last_read = self.server.clock()
            self.write(CONTINUE)

    def on_pipe_taken(self, pipe):
        """Read on once the next hop has taken some of a body."""
        if pipe is self.upload and not self.is_reading:
            self._update_reading()

    on_pipe_closed = on_pipe_taken

    def on_chunk_header(self):
        """Allow for the framing of a chunk."""
        self._discount(MAX_CHUNK_FRAMING_BYTES)

    def _discount(self, size):
        self.overhead_bytes = max(0, self.overhead_bytes - size)

    def on_body(self, body):
        """Add a chunk to the body, up to the size limit."""
        self._discount(len(body))
        if self.drops_input:
            return
        held = self.body.size if self.upload is None else self.upload_bytes
        size = held + len(body)
        if size > self.max_body_bytes:
            self._refuse_too_large('body')
        elif self.upload is not None:
            self.upload_bytes = size
            self.body.append(body)
        else:
            self.body.append(body)
            if size > MAX_WHOLE_BODY_BYTES and self.server.takes_uploads:
                self._begin_upload(None)

    def on_message_complete(self):
        """Start the request, or queue it behind those before it.

        The parser says so of one that offers an upgrade before its body.
        """
        if self.parser.should_upgrade():
            return
        request, self.request = self.request, None
        self.overhead_bytes = 0
        if self.drops_input:
            return
        if self.upload is not None:
            self._pass_on()
            self.upload.end()
            self.upload = None
            self.awaits_continue = False
            return
        request.body, self.body = self.body.joined(), BodyBuffer()
        self._enqueue(request)

    def _enqueue(self, request):
        request.keep_alive = self.parser.should_keep_alive()
        request.takes_chunks = self.parser.get_http_version() != '1.0'
        request.arrived_at = self.last_read
        if self.exchanges:
            for exchange in self.exchanges:
                exchange.request.is_pipelined = True
            request.is_pipelined = True
        self.pipelined.append(request)
        self._start_next()
        if len(self.pipelined) >= MAX_PIPELINED_REQUESTS:
            self._update_reading()

    def _update_reading(self):
        """Read from the caller, unless what it sends would pile up.

        While a body is read, answers don't wait for the caller: it may read
        them after that.
        """
        if self.upload is not None:
            reads = not self.upload.is_full
        else:
            reads = not self.is_write_paused
        reads = reads and len(self.pipelined) < MAX_PIPELINED_REQUESTS
        if reads == self.is_reading or self.transport.is_closing():
            return
        self.is_reading = reads
        if reads:
            self.last_read = self.server.clock()
            self.server.paused.discard(self)
            self.transport.resume_reading()
        else:
            self.server.paused.add(self)
            self.transport.pause_reading()

    def pause_writing(self):
        """Write and start nothing until the caller has read more."""
        self.is_write_paused = True

    def resume_writing(self):
        """Go on with the answers.

        Not at once: the transport must not be closed within this call.
        """
        self.is_write_paused = False
        asyncio.get_running_loop().call_soon(self._send_answers)

    def write(self, data):
        """Write a part of an answer."""
        self.written_bytes += len(data)
        self.transport.write(data)

    def _start_next(self):
        """Start the requests that need not wait for those before them."""
        if self.starting:
            # An answer that came at once; the loop below goes on.
            return
        self.starting = True
        while self.pipelined and self._may_start(self.pipelined[0]):
            self._start(self.pipelined.popleft())
        self.starting = False

    def _may_start(self, request):
        if self.is_write_paused:
            return False
        if not self.exchanges:
            return True
        if request.upload is not None or self._may_end_before_next():
            return False
        may_overlap = self.server.dispatcher.may_overlap
        return (
            len(self.exchanges) < MAX_OVERLAPPING_REQUESTS
            and may_overlap(self.exchanges[-1].request)
            and may_overlap(request)
        )

    def _may_end_before_next(self):
        """Return whether the connection may end with an earlier answer."""
        last = self.exchanges[-1]
        return (
            self.server.draining
            or not last.keep_alive
            # An answer of unknown length may end with the connection.
            or not last.request.takes_chunks
        )

    def _start(self, request):
        exchange = CallerExchange(request)
        if self.exchanges:
            self.exchanges[-1].request.is_followed = True
        self.exchanges.append(exchange)

        def respond(raw, keep_alive, body=None, chunked=False):
            exchange.answer, exchange.keep_alive = raw, keep_alive
            if body is not None:
                exchange.body, exchange.chunked = body, chunked
                body.open(self._send_answers)
            self._send_answers()

        call = self.server.dispatcher.start(request, respond)
        if exchange.answer is None:
            exchange.call = call

    def _send_answers(self):
        """Send the answers that no earlier request is without."""
        if self.transport.is_closing() or self.closing:
            return
        while self.exchanges and self._send_answer(self.exchanges[0]):
            exchange = self.exchanges.popleft()
            if exchange.request.upload is not None:
                # What the caller still sends of it is dropped.
                exchange.request.upload.close()
            if self._must_close_after(exchange):
                self._close_after_answer()
                return
        if self.closing:
            return
        self._start_next()
        if self.refusal is None:
            self._update_reading()
        elif not self.exchanges and not self.pipelined:
            self._send_refusal()
        self._count_held()

    def _send_answer(self, exchange):
        """Write what there is of an answer; return whether it is complete."""
        if exchange.answer is None or self.is_write_paused:
            return False
        if exchange.answer:
            self.write(exchange.answer)
            exchange.answer = b''
        if exchange.body is None:
            return True
        if exchange.body.failed:
            # Cut off before its end, so that it doesn't look complete.
            self._let_go()
            return False
        return write_pieces(
            exchange.body,
            self,
            lambda: self.is_write_paused,
            exchange.chunked,
        )

    def _must_close_after(self, exchange):
        # A caller that was not told to continue may send its body or not.
        return not exchange.keep_alive or (
            self.awaits_continue and exchange.request.upload is self.upload
        )

    def _close_after_answer(self):
        self.closing = True
        self._cancel_all()
        if self.upload is None:
            self.transport.close()
        else:
            self._linger()

    def _linger(self):
        """Drop what a caller still sends, who then closes the connection.

        A reset could take the answer from it.
        """
        if self.upload is not None:
            self.upload.close()
            self.upload = None
        self.lingers_until = (
            self.server.clock() + self.server.limits.idle_timeout_seconds
        )
        self._update_reading()
        try:
            self.transport.write_eof()
        except OSError:
            # The caller has reset the connection.
            self.transport.abort()

    def _let_go(self):
        """Abort the connection and cancel its calls."""
        self.closing = True
        self._cancel_all()
        self.transport.abort()

    def give_up(self):
        """Refuse a request that the budget has no room for.

        A caller that reads too little of its answers is let go.
        """
        unwritten = self.transport.get_write_buffer_size()
        if self.request is None or self.exchanges or unwritten:
            self._let_go()
        else:
            self._refuse(ErrorKind.OVERLOADED, 'memory', RETRY_AFTER_SECONDS)

    def _refuse(self, kind, detail, retry_after=None):
        """Refuse a request that can't be served, and close the connection.

        The requests before it are answered first. One whose body was being
        passed on may have run, or have its answer.
        """
        if self.drops_input:
            return
        self._log_refused(kind, detail)
        # Freed at once: more is read before the connection's end is handled.
        self.request = HttpRequest('', '')
        self.body = BodyBuffer()
        self.server.dispatcher.counts[f'refused_{kind.value}'] += 1
        if self.upload is not None and self.upload is not self._next_upload():
            self._let_go()
            return
        if self.upload is not None:
            self.pipelined.pop()
        self.refusal = build_error(kind, detail, None, False, retry_after)
        if not self.exchanges and not self.pipelined:
            self._send_refusal()

    def _next_upload(self):
        """Return the body of the last request that was not started."""
        return self.pipelined[-1].upload if self.pipelined else None

    def _send_refusal(self):
        self.closing = True
        self.write(self.refusal)
        self._linger()

    def _log_refused(self, kind, detail):
        """Log that a request is refused before all of it was read."""
        request = self.request or HttpRequest('', '')
        request_id = request.header(self.server.request_id_header) or b''
        body_bytes = self.body.size
        if self.upload is not None:
            body_bytes = self.upload_bytes
        logger.info(
            'request_refused_unread',
            extra={
                'request': request_id.decode('latin-1'),
                'outcome': kind.value,
                'detail': detail,
                'status': ANSWERS[kind].http_status,
                'has_head': self.has_head,
                'body_bytes': body_bytes,
                'read_ms_ago': round(
                    (self.server.clock() - self.last_read) * 1000
                ),
                'in_flight': len(self.exchanges),
            },
        )

    def expire(self, now):
        """Close the connection if its request or idle timeout has passed.

        So is one whose caller takes nothing of what was written.
        """
        limits = self.server.limits
        if self._takes_nothing(now):
            self._let_go()
        elif self.lingers_until:
            if now > self.lingers_until or self.is_silent(
                now, limits.header_timeout_seconds
            ):
                self.transport.abort()
        elif self._is_too_slow(now):
            part = 'body' if self.has_head else 'head'
            self._refuse(ErrorKind.REQUEST_TOO_SLOW, part)
        elif not self.exchanges and self.is_silent(
            now, IDLE_TIMEOUT_FACTOR * limits.idle_timeout_seconds
        ):
            self.transport.close()

    def _is_too_slow(self, now):
        """Return whether the rest of a request is too long in coming.

        Pauses within a body are shorter while the server drains.
        """
        limits = self.server.limits
        seconds = limits.header_timeout_seconds
        if self.has_head and not self.server.draining:
            seconds = limits.idle_timeout_seconds
        return self._is_stalled(now, seconds)

    def refuse_stalled(self, now):
        """Refuse a request that pauses too long for a server without room.

        :returns: whether there was one.
        """
        seconds = self.server.limits.header_timeout_seconds
        is_stalled = self._is_stalled(now, seconds)
        if is_stalled:
            self._refuse(ErrorKind.REQUEST_TOO_SLOW, 'connections')
        return is_stalled

    def _is_stalled(self, now, seconds):
        """Return whether no more of a request has come for some seconds.

        Not while a request is in flight on the connection: that one ends at
        its deadline and takes its body along, also one not wanted yet.
        """
        if (
            self.request is None
            or not self.is_reading
            or self.exchanges
            or self.pipelined
        ):
            return False
        return self.is_silent(now, seconds)

    def is_silent(self, now, seconds):
        """Return whether the caller has sent nothing for some seconds.

        Bytes that wait in the socket are read in the event loop's next turn.
        They may be old where this process stood still or was busy.
        """
        if now - self.last_read <= seconds:
            return False
        return not self.is_reading or not poll_now(
            self.transport, select.POLLIN
        )

    def _takes_nothing(self, now):
        """Return whether nothing was taken for the idle timeout."""
        unwritten = self.transport.get_write_buffer_size()
        taken = self.written_bytes - unwritten
        if not unwritten or taken != self.taken_bytes:
            self.taken_bytes, self.taken_at = taken, now
        seconds = self.server.limits.idle_timeout_seconds
        # A socket that takes more has been read from meanwhile.
        return now - self.taken_at > seconds and not poll_now(
            self.transport, select.POLLOUT
        )

    def has_left(self):
        """Return whether the caller has closed a connection not read from."""
        return poll_now(self.transport, LEFT_EVENTS)

    @property
    def busy(self):
        """Return whether a request is being read, queued or in flight."""
        if self.closing:
            return False
        return bool(self.exchanges or self.pipelined or self.request)
