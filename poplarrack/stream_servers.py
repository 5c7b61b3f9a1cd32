"""Serve requests and control messages that other nodes send in frames."""

import asyncio
import logging

from msgspec import MsgspecError

from poplarrack.addresses import split_address
from poplarrack.body_pipes import WINDOW_BYTES
from poplarrack.byte_budgets import ByteBudget
from poplarrack.errors import PoplarrackError
from poplarrack.exchanges import ANSWER_CODEC
from poplarrack.exchanges import Delivery
from poplarrack.exchanges import REQUEST_CODEC
from poplarrack.exchanges import Verdict
from poplarrack.frame_protocols import BODY_HANDLERS
from poplarrack.frame_protocols import FrameProtocol
from poplarrack.frames import FRAME_HEADER
from poplarrack.frames import FrameKind
from poplarrack.messages import CODECS

logger = logging.getLogger(__name__)


class ServerStream(FrameProtocol):
    """A connection from another node."""

    grants_first_window = True

    def __init__(self, server):
        super().__init__(server.budget)
        self.server = server
        # The Reply of each request that is not complete, by message id.
        self.replies = {}

    def connection_made(self, transport):
        """Register with the server."""
        super().connection_made(transport)
        self.server.streams.add(self)

    def connection_lost(self, error):
        """Cancel the other node's requests, whose answers can't reach it."""
        self.budget.release(self)
        self.bodies.lose()
        self.server.streams.discard(self)
        replies, self.replies = self.replies, {}
        for reply in replies.values():
            reply.cancel()

    def on_frame(self, kind, message_id, payload):
        """Handle a request, a cancellation, a control message or a probe."""
        if kind == FrameKind.REQUEST:
            self._on_request(message_id, payload)
        elif kind == FrameKind.CANCEL:
            reply = self.replies.pop(message_id, None)
            if reply is not None:
                reply.cancel()
            self.bodies.forget(message_id)
        elif kind == FrameKind.CONTROL:
            self.server.serve_control(self, message_id, payload)
        elif kind == FrameKind.PING:
            self.send(FrameKind.PONG, message_id)
        elif kind == FrameKind.HELLO:
            self.knows_pieces = True
            self.send(FrameKind.HELLO, 0)
        else:
            self.on_body_frame(kind, message_id, payload)

    def cancel_body(self, message_id):
        """Let a request's body stop for lack of a window.

        Its answer tells the other node that no more of it is wanted.
        """

    def on_skipped_frame(self, kind, message_id):
        """Refuse a request or a control message that was skipped."""
        if kind == FrameKind.REQUEST:
            self._refuse(message_id, 'too large')
        elif kind == FrameKind.CONTROL:
            self.send(FrameKind.CONTROL_ERROR, message_id, b'too large')
        elif kind in BODY_HANDLERS:
            self.bodies.break_off(message_id)

    def _refuse(self, message_id, reason):
        delivery = Delivery(Verdict.NOT_RUN, reason=reason)
        self.send(FrameKind.ANSWER, message_id, ANSWER_CODEC.encode(delivery))

    def _on_request(self, message_id, payload):
        try:
            request = REQUEST_CODEC.decode(payload)
        except MsgspecError as error:
            logger.warning('request_unreadable', extra={'detail': str(error)})
            self._refuse(message_id, 'unreadable')
            return
        upload = None
        if request.streamed_bytes:
            upload = self.bodies.receive(message_id, request.streamed_bytes)
        reply = Reply(self, message_id, upload)
        reply.received = self.server.receiver.receive(
            request, reply, upload, bool(self.knows_pieces)
        )
        if not reply.is_complete:
            self.replies[message_id] = reply
            if request.body:
                self.budget.hold(reply, len(request.body))


class Reply:
    """Passes the outcome of a request to the other node.

    ``is_complete`` says that nothing of it is still to be sent, ``received``
    is what the Receiver made of the request. A holder of the request's body.
    """

    def __init__(self, stream, message_id, upload):
        self.stream = stream
        self.message_id = message_id
        self.upload = upload
        self.is_complete = False
        self.received = None

    def cancel(self):
        """Cancel the request, whose outcome is not wanted any more."""
        self.stream.budget.release(self)
        self.stream.server.receiver.cancel(self.received)

    def give_up(self):
        """End the request, whose body the budget has no room for."""
        self.stream.server.receiver.give_up(self.received)

    def __call__(self, delivery, body=None):
        """Send a Delivery, and the BodyPipe of its body if that is long."""
        stream, message_id = self.stream, self.message_id
        if self.upload is not None:
            self.upload.close()
        raw = ANSWER_CODEC.encode(delivery)
        stream.send(FrameKind.ANSWER, message_id, raw)
        if body is None:
            self._end()
        else:
            stream.bodies.send(message_id, body, WINDOW_BYTES, self._end)

    def _end(self):
        self.is_complete = True
        self.stream.replies.pop(self.message_id, None)
        self.stream.budget.release(self)


class StreamServer:
    """Accepts the connections of other nodes.

    :param receiver: the Receiver that runs their requests.
    :param handlers: coroutine functions by control method.
    :param budget: the ByteBudget of the process.
    """

    def __init__(self, traffic, receiver, handlers, budget=None):
        self.budget = budget or ByteBudget()
        self.traffic = traffic
        self.receiver = receiver
        self.handlers = handlers
        self.streams = set()
        self.listener = None
        self.tasks = set()

    async def listen(self, address):
        """Listen at an address."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ServerStream(self), *split_address(address), backlog=1024
        )

    def serve_control(self, stream, message_id, payload):
        """Answer a control message in a task of its own."""
        self.traffic.messages_in += 1
        self.traffic.bytes_in += len(payload) + FRAME_HEADER.size
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._answer(stream, message_id, payload))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _answer(self, stream, message_id, payload):
        end = 1 + int.from_bytes(payload[:1])
        method = payload[1:end].decode('utf-8', 'replace')
        try:
            request, answer = CODECS[method]
            message = request.decode(payload[end:])
            raw = answer.encode(await self.handlers[method](message))
        except (PoplarrackError, KeyError) as error:
            stream.send(
                FrameKind.CONTROL_ERROR, message_id, str(error).encode()
            )
            return
        stream.send(FrameKind.CONTROL_ANSWER, message_id, raw)

    async def close(self):
        """Stop accepting and close every connection."""
        if self.listener is not None:
            self.listener.close()
        for stream in list(self.streams):
            stream.transport.close()
