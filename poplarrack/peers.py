"""Carry messages between nodes over gRPC.

The methods are registered without generated code: MessagePack codecs encode
the frozen data classes that both sides use as messages.
"""

from asyncio import timeout
from collections import OrderedDict
import logging

from grpc import method_handlers_generic_handler
from grpc import StatusCode
from grpc import unary_unary_rpc_method_handler
from grpc.aio import AioRpcError
from grpc.aio import insecure_channel
from grpc.aio import server as build_grpc_server

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.messages import CODECS
from poplarrack.messages import MAX_MESSAGE_BYTES

logger = logging.getLogger(__name__)

SERVICE = 'poplarrack.Peer'
MAX_CHANNELS = 32
MAX_CONCURRENT_CALLS = 64
# Multiple of the call timeout after which a call ends even if its gRPC
# deadline, which may fire late in a reconnect backoff, has not.
LOCAL_TIMEOUT_FACTOR = 1.5

CHANNEL_OPTIONS = (
    ('grpc.enable_http_proxy', 0),
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.initial_reconnect_backoff_ms', 200),
    ('grpc.min_reconnect_backoff_ms', 200),
    ('grpc.max_reconnect_backoff_ms', 3000),
)
SERVER_OPTIONS = (
    ('grpc.so_reuseport', 0),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
)


class PeerClient:
    """Call other nodes; the most recently used channels stay open."""

    def __init__(self, traffic, timeout_seconds):
        self.traffic = traffic
        self.timeout_seconds = timeout_seconds
        self.channels = OrderedDict()

    async def call(self, address, method, message):
        """Call a method of the node at an address.

        :param address: the node's peer address.
        :param method: a key of ``CODECS``.
        :param message: the method's request.
        :returns: the method's answer.
        :raises PoplarrackError: PEER_UNAVAILABLE without an answer.
        """
        request_codec, answer_codec = CODECS[method]
        raw = request_codec.encode(message)
        self.traffic.record_sent(raw)
        stub = await self._stub(address, method)
        try:
            async with timeout(self.timeout_seconds * LOCAL_TIMEOUT_FACTOR):
                answer = await stub(raw, timeout=self.timeout_seconds)
        except (AioRpcError, TimeoutError) as error:
            detail = f'{method} to {address}: {_describe(error)}'
            raise PoplarrackError(
                ErrorKind.PEER_UNAVAILABLE, detail
            ) from error
        self.traffic.record_received(answer)
        return answer_codec.decode(answer)

    async def _stub(self, address, method):
        channel = self.channels.get(address)
        if channel is None:
            channel = insecure_channel(address, options=CHANNEL_OPTIONS)
            self.channels[address] = channel
            await self._evict_channels()
        self.channels.move_to_end(address)
        return channel.unary_unary(f'/{SERVICE}/{method}')

    async def _evict_channels(self):
        while len(self.channels) > MAX_CHANNELS:
            _, channel = self.channels.popitem(last=False)
            await channel.close()

    async def close(self):
        """Close all channels."""
        while self.channels:
            _, channel = self.channels.popitem()
            await channel.close()


def _describe(error):
    if isinstance(error, AioRpcError):
        return f'{error.code().name} {error.details()}'
    return 'timed out without an answer'


class PeerServer:
    """Serve other nodes; ``handlers`` maps methods to coroutine functions."""

    def __init__(self, traffic, handlers):
        self.traffic = traffic
        self.handlers = handlers
        self.server = build_grpc_server(
            options=SERVER_OPTIONS,
            maximum_concurrent_rpcs=MAX_CONCURRENT_CALLS,
        )
        methods = {
            name: unary_unary_rpc_method_handler(self._serve(name))
            for name in handlers
        }
        self.server.add_generic_rpc_handlers(
            (method_handlers_generic_handler(SERVICE, methods),)
        )

    def _serve(self, name):
        request_codec, answer_codec = CODECS[name]
        handle = self.handlers[name]

        async def serve(raw, context):
            self.traffic.record_received(raw)
            try:
                answer = await handle(request_codec.decode(raw))
            except PoplarrackError as error:
                code = StatusCode[error.answer.grpc_status]
                await context.abort(code, str(error))
            packed = answer_codec.encode(answer)
            self.traffic.record_sent(packed)
            return packed

        return serve

    async def listen(self, address):
        """Start to listen on an address.

        :returns: the port, also where the address has port 0.
        :raises PoplarrackError: INVALID_SETTINGS when it cannot be bound.
        """
        port = self.server.add_insecure_port(address)
        if not port:
            raise PoplarrackError(
                ErrorKind.INVALID_SETTINGS, f'cannot listen on {address}'
            )
        await self.server.start()
        return port

    async def close(self, grace_seconds):
        """Stop once the calls in progress end, or after a grace period."""
        await self.server.stop(grace_seconds)
