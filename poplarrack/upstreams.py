"""Send requests to backend servers over keep-alive connections.

A connection carries one exchange at a time. It is closed after an exchange
that did not end with exactly one complete answer and no byte behind it, so
that a late answer can't reach another caller. Where servers echo a request's
id, an answer with another id is skipped.
"""

from asyncio import get_running_loop
import logging
import re
import select

from httptools import HttpParserError
from httptools import HttpParserUpgrade
from httptools import HttpResponseParser

from poplarrack.answer_starts import AnswerStartFinder
from poplarrack.body_pipes import BodyPipe
from poplarrack.body_pipes import MAX_WHOLE_BODY_BYTES
from poplarrack.body_pipes import write_pieces
from poplarrack.buffers import BodyBuffer
from poplarrack.buffers import MAX_CHUNK_FRAMING_BYTES
from poplarrack.buffers import SharedBufferProtocol
from poplarrack.byte_budgets import HEADER_OVERHEAD_BYTES
from poplarrack.http_messages import connection_options
from poplarrack.http_messages import HttpAnswer
from poplarrack.socket_states import poll_now
from poplarrack.upstream_exchanges import Outcome

logger = logging.getLogger(__name__)

MAX_IDLE_SECONDS = 15.0
# Subtracted from the keep-alive timeout that a server announces, so that no
# request is sent while the server closes the connection.
IDLE_MARGIN_SECONDS = 1.0
# Answers to other requests that are skipped in one exchange before the
# connection is closed as out of step.
MAX_MISMATCHED_ANSWERS = 2
MAX_HEADER_BYTES = 65_536
# How long a complete answer is held back whose body may hold the start of
# another one, the rest of which would follow.
HELD_BACK_SECONDS = 0.02
# Inside a head, where an answer was cut off and another one follows.
STATUS_LINE = re.compile(rb'HTTP/\d\.\d \d\d\d')


class UpstreamConnection(SharedBufferProtocol):
    """A connection to a backend server."""

    def __init__(self, pool):
        self.pool = pool
        self.transport = None
        self.exchange = None
        self.parser = None
        # State of the answer that is being read, reset when one begins.
        self.answer = None
        self.reason = b''
        self.has_head = False
        self.body = BodyBuffer()
        # Of the whole body, also where it is passed on in pieces.
        self.starts = AnswerStartFinder()
        # The body of an answer that is passed on in pieces, and what was read
        # of it and is to be checked first.
        self.pipe = None
        self.unchecked = []
        # The body of a request that is sent in pieces, until it is complete.
        self.upload = None
        self.is_write_paused = False
        # Bytes of the names and values of the headers.
        self.header_bytes = 0
        # Bytes of the exchange that are not part of a body or its framing.
        self.overhead_bytes = 0
        self.complete = False
        # Whether bytes came after the complete answer.
        self.followed = False
        # Set while the complete answer is held back.
        self.held_back = None
        # Whether answers name the request that they belong to.
        self.has_echo = True
        self.reusable = False
        self.idle_since = 0.0
        self.idle_seconds = MAX_IDLE_SECONDS
        self.removed = False
        self.mismatched_answers = 0

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport

    def try_send(self, exchange):
        """Send the exchange's request; the answer ends the exchange.

        :returns: False if the connection was lost before it took a byte.
        """
        self.exchange = exchange
        exchange.connection = self
        self.has_echo = exchange.echo is not None
        self.parser = HttpResponseParser(self)
        self.answer = None
        self.has_head = False
        self.overhead_bytes = 0
        self.complete = False
        self.followed = False
        self.mismatched_answers = 0
        self.transport.write(exchange.request)
        if self.transport.is_closing():
            exchange.connection = None
            self.detach()
            self.close()
            return False
        self.upload = exchange.upload
        if self.upload is not None:
            self.upload.open(self._send_upload)
        return True

    def pause_writing(self):
        """Hold the request's body back until the server has read more."""
        self.is_write_paused = True

    def resume_writing(self):
        """Go on with the request's body.

        Not at once: the transport must not be closed within this call.
        """
        self.is_write_paused = False
        if self.upload is not None:
            get_running_loop().call_soon(self._send_upload)

    def _send_upload(self):
        upload = self.upload
        if upload is None:
            return
        if upload.failed:
            self._fail(Outcome.LOST)
        elif write_pieces(
            upload,
            self.transport,
            lambda: self.is_write_paused,
            upload.length is None,
        ):
            self.upload = None

    def _reset_answer(self):
        self.body = BodyBuffer()
        self.starts = AnswerStartFinder()
        self.answer = HttpAnswer(0)
        self.reason = b''
        self.has_head = False
        self.header_bytes = 0
        self.reusable = False

    def data_received(self, data):
        """Feed the parser; close on bytes that no exchange asked for."""
        if self.exchange is None:
            self._note_out_of_step('bytes without a request')
            self.close()
            return
        if self.held_back is not None:
            self._receive_after(data)
            return
        self.overhead_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            self._note_bytes_after()
            if not self.complete:
                self._fail(Outcome.LOST)
                return
        if self.exchange is None:
            return
        if self.complete:
            self._end_answer()
            return
        if self.unchecked:
            self._pass_on()
        self._check_bounds()

    def _check_bounds(self):
        if self.overhead_bytes > MAX_HEADER_BYTES:
            # The parser keeps an unfinished header, whatever its size.
            self._fail(Outcome.LOST)
        elif self.exchange is not None:
            self.pool.budget.hold(self, self._buffered_bytes())

    def _end_answer(self):
        """Hand a complete answer on, unless another one may fill it.

        Such an answer is lost if bytes follow. If none did so far, it is held
        back for a moment.
        """
        if not self.starts.may_have_found:
            self._succeed()
            return
        self.reusable = False
        if self.followed:
            self._fail(Outcome.LOST)
        elif self.starts.found or poll_now(self.transport, select.POLLIN):
            self.held_back = get_running_loop().call_later(
                HELD_BACK_SECONDS, self._succeed
            )
            self.pool.budget.hold(self, self._buffered_bytes())
        else:
            self._succeed()

    def _receive_after(self, data):
        """Lose an answer that is held back, unless a line end follows."""
        if bytes(data).strip(b'\r\n'):
            self._note_bytes_after()
            self._fail(Outcome.LOST)

    def _buffered_bytes(self):
        headers = self.answer.headers if self.answer else ()
        return (
            self.body.size
            + self.header_bytes
            + HEADER_OVERHEAD_BYTES * len(headers)
            + self.overhead_bytes
        )

    def on_message_begin(self):
        """Start an answer, or note that one follows the complete answer."""
        if not self.complete:
            self._reset_answer()
        else:
            self._note_bytes_after()

    def _note_bytes_after(self):
        if self.complete and not self.followed:
            self.followed = True
            self._note_out_of_step('bytes after the answer')

    def on_status(self, part):
        """Add a part of the reason phrase."""
        if not self.complete:
            self.reason += part

    def on_header(self, name, value):
        """Add a header to the answer; trailers are left out."""
        if self.complete or self.has_head or self.exchange is None:
            return
        self.header_bytes += len(name) + len(value)
        self.answer.headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Store the status; an answer to HEAD is complete here."""
        if self.complete or self.exchange is None:
            return
        self.has_head = True
        self.answer.status = self.parser.get_status_code()
        if self.header_bytes > MAX_HEADER_BYTES:
            self._fail(Outcome.TOO_LARGE)
        elif self._is_spoiled_head():
            self._note_out_of_step('spoiled head')
            self._fail(Outcome.LOST)
        elif self.exchange.bodiless and not self._is_interim():
            self._complete_head()

    def _is_interim(self):
        return 100 <= self.answer.status < 200

    def _is_spoiled_head(self):
        """Return whether the head is that of no one answer.

        The head of an answer that was cut off goes on with the next answer's.
        """
        texts = [value for _, value in self.answer.headers]
        texts.append(self.reason)
        return (
            self.answer.status < 100
            or STATUS_LINE.search(b'\n'.join(texts)) is not None
        )

    def _complete_head(self):
        if self._is_mismatched():
            # It is not known whether a body follows.
            self._note_out_of_step('answer to another request')
            self._fail(Outcome.LOST)
        else:
            self.complete = True

    def on_chunk_header(self):
        """Allow for the framing of a chunk."""
        self._discount(MAX_CHUNK_FRAMING_BYTES)

    def _discount(self, size):
        # Never below zero, so that many small chunks allow for no more bytes
        # after them.
        self.overhead_bytes = max(0, self.overhead_bytes - size)

    def on_body(self, body):
        """Add a chunk to the body, unless the answer is complete."""
        self._discount(len(body))
        if self.complete or self.exchange is None:
            return
        self.starts.add(body)
        if self.pipe is not None:
            self.unchecked.append(body)
            return
        size = self.body.size + len(body)
        if size > MAX_WHOLE_BODY_BYTES and self.exchange.on_begin is not None:
            self._begin_pieces(body)
        elif size > self.pool.max_answer_bytes:
            self._fail(Outcome.TOO_LARGE)
        else:
            self.body.append(body)

    def _begin_pieces(self, body):
        """Pass an answer on in pieces, unless its head is refused."""
        if self._is_mismatched():
            self._note_out_of_step('answer to another request')
            self._fail(Outcome.LOST)
            return
        length = self.answer.header(b'content-length')
        pipe = BodyPipe(
            self, int(length) if length else None, self.pool.budget
        )
        self.pipe = pipe
        self.unchecked = [self.body.joined(), body]
        self.body = BodyBuffer()
        if not self.exchange.on_begin(self.answer, pipe):
            self._fail(Outcome.LOST)

    def _pass_on(self):
        piece, self.unchecked = b''.join(self.unchecked), []
        if self.pipe is not None:
            self.pipe.put(piece)
        if self.pipe is not None and self.pipe.is_full:
            self.transport.pause_reading()

    def on_pipe_opened(self, pipe):
        """Do nothing: the answer comes anyway."""

    def on_pipe_taken(self, pipe):
        """Read on once the next hop has taken some of the answer."""
        if pipe is self.pipe and not pipe.is_full:
            self.transport.resume_reading()

    def on_pipe_closed(self, pipe):
        """End the exchange, whose answer is not wanted any more."""
        if pipe is self.pipe and self.exchange is not None:
            self.pool.cancel(self.exchange)

    def on_message_complete(self):
        """Complete the answer, unless it is interim or mismatched."""
        if self.complete or self.exchange is None or self._is_interim():
            return
        if self._is_mismatched():
            self._skip_mismatched()
            return
        self.complete = True
        # The parser resets this after the end of the message.
        self.reusable = self.parser.should_keep_alive()

    def _is_mismatched(self):
        return self.exchange.is_mismatched(self.answer)

    def _skip_mismatched(self):
        self._note_out_of_step('answer to another request')
        self.mismatched_answers += 1
        self.body = BodyBuffer()
        if self.mismatched_answers > MAX_MISMATCHED_ANSWERS or (
            not self.parser.should_keep_alive()
        ):
            self._fail(Outcome.LOST)

    def eof_received(self):
        """Complete an answer that is delimited by the connection's end."""
        if self.held_back is not None:
            self._succeed()
            return
        if (
            self.exchange is not None
            and not self.complete
            and self.has_head
            and not self._is_interim()
            and self._ends_with_connection()
            and not self._is_mismatched()
            # With it, nothing tells whether the answer itself was complete.
            and not self.starts.found_head
        ):
            self.complete = True
            self.reusable = False
            self._succeed()

    def _ends_with_connection(self):
        """Return whether the answer's body ends with the connection.

        A head that says so names no length, and announces that the connection
        closes (RFC 9112, 9.6). One that does not announce it may have been
        cut off before the length. Where the server echoes a request's id, the
        id is enough.
        """
        answer = self.answer
        return (
            answer.header(b'content-length') is None
            and answer.header(b'transfer-encoding') is None
            and (
                self.exchange.echo is not None
                or self.parser.get_http_version() == '1.0'
                or b'close' in connection_options(answer.headers)
            )
        )

    def connection_lost(self, error):
        """Fail the exchange in flight."""
        self.pool.remove(self)
        self._fail(Outcome.LOST)
        # The parser refers to the connection, so that both would stay until
        # the next garbage collection.
        self.parser = None

    def close(self):
        """Close at once."""
        self.pool.remove(self)
        if self.transport is not None:
            self.transport.abort()

    def _note_out_of_step(self, outcome):
        """Log why the connection's bytes are not one answer to its request.

        Where answers don't name it, no connection to the server is reused.
        """
        if not self.has_echo:
            self.pool.distrust(get_running_loop().time())
        echo = self.exchange and self.exchange.echo
        name, own = echo or (b'', b'')
        other = self.answer.header(name) if echo and self.answer else None
        logger.info(
            'answer_out_of_step',
            extra={
                'request': own.decode('latin-1'),
                'outcome': outcome,
                'endpoint': self.pool.address,
                'status': self.answer.status if self.answer else 0,
                'other': (other or b'').decode('latin-1'),
            },
        )

    def _fail(self, outcome):
        exchange = self.detach()
        if exchange is None:
            return
        self.close()
        exchange.finish(outcome)

    def give_up(self):
        """Give up an answer that the budget has no room for."""
        self._fail(Outcome.TOO_LARGE)

    def detach(self):
        """Drop the exchange and what was buffered for it.

        :returns: the Exchange, or None if there is none.
        """
        exchange, self.exchange = self.exchange, None
        self.pool.budget.release(self)
        if self.held_back is not None:
            self.held_back.cancel()
            self.held_back = None
        self.answer = None
        self.body = BodyBuffer()
        self.unchecked = []
        pipe, self.pipe = self.pipe, None
        if pipe is not None:
            pipe.fail()
        upload, self.upload = self.upload, None
        if upload is not None:
            upload.close()
        return exchange

    def _succeed(self):
        if self.unchecked:
            self._pass_on()
        if self.exchange is None:
            # The next hop wants no more of the answer.
            return
        answer = self.answer
        answer.body = self.body.joined()
        is_sent = self.upload is None
        if self.pipe is not None:
            # The connection may have to wait for the reader.
            self.transport.resume_reading()
            self.pipe.end()
        exchange = self.detach()
        self.idle_seconds = idle_timeout_seconds(answer)
        can_reuse = (
            self.reusable
            and is_sent
            and not self.followed
            and not exchange.bodiless
            and not exchange.is_out_of_step(answer)
            and self.transport.get_write_buffer_size() == 0
        )
        if can_reuse:
            self.pool.release(self)
        else:
            self.close()
        exchange.finish(Outcome.ANSWERED, answer)


def idle_timeout_seconds(answer):
    """Return how long a connection may stay idle after an answer.

    The server may shorten the time by a Keep-Alive header.

    :returns: seconds, at most ``MAX_IDLE_SECONDS``.
    """
    keep_alive = answer.header(b'keep-alive')
    for part in (keep_alive or b'').lower().split(b','):
        name, _, value = part.strip().partition(b'=')
        if name == b'timeout' and value.isdigit():
            seconds = int(value) - IDLE_MARGIN_SECONDS
            return min(MAX_IDLE_SECONDS, max(0.0, seconds))
    return MAX_IDLE_SECONDS
