"""Serve requests and control messages that other nodes send in frames."""

import asyncio
import logging

from msgspec import MsgspecError

from poplarrack.addresses import split_address
from poplarrack.byte_budgets import ByteBudget
from poplarrack.errors import PoplarrackError
from poplarrack.exchanges import ANSWER_CODEC
from poplarrack.exchanges import Delivery
from poplarrack.exchanges import REQUEST_CODEC
from poplarrack.exchanges import Verdict
from poplarrack.messages import CODECS
from poplarrack.streams import FRAME_HEADER
from poplarrack.streams import FrameKind
from poplarrack.streams import FrameProtocol

logger = logging.getLogger(__name__)


class ServerStream(FrameProtocol):
    """A connection from another node."""

    def __init__(self, server):
        super().__init__(server.budget)
        self.server = server
        self.received_requests = {}

    def connection_made(self, transport):
        """Register with the server."""
        super().connection_made(transport)
        self.server.streams.add(self)

    def connection_lost(self, error):
        """Cancel the other node's requests, whose answers can't reach it."""
        self.budget.release(self)
        self.server.streams.discard(self)
        received_requests, self.received_requests = self.received_requests, {}
        for received in received_requests.values():
            self.server.receiver.cancel(received)

    def on_frame(self, kind, message_id, payload):
        """Handle a request, a cancellation, a control message or a probe."""
        if kind == FrameKind.REQUEST:
            self._on_request(message_id, payload)
        elif kind == FrameKind.CANCEL:
            received = self.received_requests.pop(message_id, None)
            if received is not None:
                self.server.receiver.cancel(received)
        elif kind == FrameKind.CONTROL:
            self.server.serve_control(self, message_id, payload)
        elif kind == FrameKind.PING:
            self.send(FrameKind.PONG, message_id)

    def on_skipped_frame(self, kind, message_id):
        """Refuse a request or a control message that was skipped."""
        if kind == FrameKind.REQUEST:
            self._refuse(message_id, 'too large')
        elif kind == FrameKind.CONTROL:
            self.send(FrameKind.CONTROL_ERROR, message_id, b'too large')

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
        answered = False

        def reply(delivery):
            nonlocal answered
            answered = True
            self.received_requests.pop(message_id, None)
            self.send(
                FrameKind.ANSWER, message_id, ANSWER_CODEC.encode(delivery)
            )

        received = self.server.receiver.receive(request, reply)
        if not answered:
            self.received_requests[message_id] = received


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
