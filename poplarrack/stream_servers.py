"""Answer the framed connections of other nodes."""

import asyncio
import logging

from msgspec import MsgspecError

from poplarrack.addresses import split_address
from poplarrack.errors import PoplarrackError
from poplarrack.exchanges import ANSWER_CODEC
from poplarrack.exchanges import Delivery
from poplarrack.exchanges import REQUEST_CODEC
from poplarrack.exchanges import Verdict
from poplarrack.messages import CODECS
from poplarrack.streams import FrameProtocol
from poplarrack.streams import HEAD
from poplarrack.streams import Kind

logger = logging.getLogger(__name__)


class ServerStream(FrameProtocol):
    """A connection from another node."""

    def __init__(self, server):
        super().__init__()
        self.server = server
        self.received_requests = {}

    def connection_made(self, transport):
        """Register with the server."""
        super().connection_made(transport)
        self.server.streams.add(self)

    def connection_lost(self, error):
        """Cancel what the other node asked for: nobody waits for it."""
        self.server.streams.discard(self)
        received_requests, self.received_requests = self.received_requests, {}
        for received in received_requests.values():
            self.server.receiver.cancel(received)

    def on_frame(self, kind, number, payload):
        """Serve a question."""
        if kind == Kind.REQUEST:
            self._on_request(number, payload)
        elif kind == Kind.CANCEL:
            received = self.received_requests.pop(number, None)
            if received is not None:
                self.server.receiver.cancel(received)
        elif kind == Kind.CONTROL:
            self.server.serve_control(self, number, payload)
        elif kind == Kind.PING:
            self.send(Kind.PONG, number)

    def _on_request(self, number, payload):
        try:
            request = REQUEST_CODEC.decode(payload)
        except MsgspecError as error:
            logger.warning('request_unreadable', extra={'detail': str(error)})
            delivery = Delivery(Verdict.NOT_RUN, reason='unreadable')
            self.send(Kind.ANSWER, number, ANSWER_CODEC.encode(delivery))
            return
        answered = False

        def reply(delivery):
            nonlocal answered
            answered = True
            self.received_requests.pop(number, None)
            self.send(Kind.ANSWER, number, ANSWER_CODEC.encode(delivery))

        received = self.server.receiver.receive(request, reply)
        if not answered:
            self.received_requests[number] = received


class StreamServer:
    """Accept the connections of other nodes."""

    def __init__(self, traffic, receiver, handlers):
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

    def serve_control(self, stream, number, payload):
        """Answer a control message on a task of its own."""
        self.traffic.messages_in += 1
        self.traffic.bytes_in += len(payload) + HEAD.size
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._answer(stream, number, payload))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _answer(self, stream, number, payload):
        end = 1 + payload[0]
        method = payload[1:end].decode()
        try:
            request, answer = CODECS[method]
            message = request.decode(payload[end:])
            raw = answer.encode(await self.handlers[method](message))
        except (PoplarrackError, KeyError) as error:
            stream.send(Kind.CONTROL_ERROR, number, str(error).encode())
            return
        stream.send(Kind.CONTROL_ANSWER, number, raw)

    async def close(self):
        """Stop accepting and close every connection."""
        if self.listener is not None:
            self.listener.close()
        for stream in list(self.streams):
            stream.transport.close()
