"""Carry requests and control messages between nodes, many on a connection.

A frame is a length, a kind, a number that pairs an answer with its
question, and MessagePack. Control messages use the codec of
``messages.py``. A connection with questions open that brings no bytes is
probed and given up, since a cut network closes nothing.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
import logging
from struct import Struct

from msgspec import MsgspecError

from poplarrack.addresses import split_address
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.exchanges import ANSWER_CODEC
from poplarrack.exchanges import Delivery
from poplarrack.exchanges import REQUEST_CODEC
from poplarrack.exchanges import Verdict
from poplarrack.messages import CODECS

logger = logging.getLogger(__name__)

HEAD = Struct('>IBI')
# Bound on what one frame may hold: a whole body and its headers.
MAX_FRAME_BYTES = 72_000_000
CONNECT_TIMEOUT_SECONDS = 0.5
# Silence with questions open before a probe, after which the node is
# avoided and the connection given up; round trips between regions take
# 0.06 s, and a lost packet is sent again after 0.2 s and more.
PROBE_AFTER_SECONDS = 0.15
AVOID_AFTER_SECONDS = 0.1
PROBE_TIMEOUT_SECONDS = 0.6


class Kind(IntEnum):
    """What a frame holds."""

    REQUEST = 1
    ANSWER = 2
    CANCEL = 3
    CONTROL = 4
    CONTROL_ANSWER = 5
    CONTROL_ERROR = 6
    PING = 7
    PONG = 8


def build_frame(kind, number, payload=b''):
    """Return a frame's bytes."""
    return HEAD.pack(len(payload), kind, number) + payload


class FrameProtocol(asyncio.Protocol):
    """Cut a byte stream into frames."""

    def __init__(self):
        self.transport = None
        self.buffer = bytearray()
        self.heard_at = 0.0

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport
        self.heard_at = asyncio.get_running_loop().time()

    def data_received(self, data):
        """Hand over each whole frame."""
        self.heard_at = asyncio.get_running_loop().time()
        buffer = self.buffer
        buffer += data
        at = 0
        while len(buffer) - at >= HEAD.size:
            size, kind, number = HEAD.unpack_from(buffer, at)
            if size > MAX_FRAME_BYTES:
                logger.warning('frame_too_large', extra={'bytes': size})
                self.transport.abort()
                return
            end = at + HEAD.size + size
            if len(buffer) < end:
                break
            payload = bytes(buffer[at + HEAD.size : end])
            at = end
            self.on_frame(kind, number, payload)
        if at:
            del buffer[:at]

    def send(self, kind, number, payload=b''):
        """Send a frame unless the connection is going."""
        if not self.transport.is_closing():
            self.transport.write(build_frame(kind, number, payload))

    def on_frame(self, kind, number, payload):
        """Take one frame."""
        raise NotImplementedError


@dataclass(slots=True)
class Pending:
    """A question whose answer is open; ``done`` takes it once."""

    done: Callable
    timer: object = None


class ClientStream(FrameProtocol):
    """A connection to another node."""

    def __init__(self, peer):
        super().__init__()
        self.peer = peer
        self.pending = {}
        self.probed_at = 0.0

    def on_frame(self, kind, number, payload):
        """Pair an answer with its question; late ones are dropped."""
        self.probed_at = 0.0
        pending = self.pending.pop(number, None)
        if pending is None:
            return
        if pending.timer is not None:
            pending.timer.cancel()
        pending.done(kind, payload)

    def connection_lost(self, error):
        """Fail what is open: it may have arrived."""
        self.peer.forget(self)
        pending, self.pending = self.pending, {}
        for item in pending.values():
            if item.timer is not None:
                item.timer.cancel()
            item.done(None, b'')

    def check(self, now):
        """Probe a silent connection, and give up one that stays so."""
        if self.probed_at:
            unanswered = now - self.probed_at
            if unanswered > AVOID_AFTER_SECONDS:
                self.peer.on_silent(self.peer.address)
            if unanswered > PROBE_TIMEOUT_SECONDS:
                logger.info('peer_silent', extra={'peer': self.peer.address})
                self.peer.note_failure(now)
                self.transport.abort()
        elif self.pending and now - self.heard_at > PROBE_AFTER_SECONDS:
            self.probed_at = now
            self.send(Kind.PING, 0)


class Peer:
    """The connection to one node, made on demand."""

    def __init__(self, address, traffic, on_silent):
        self.address = address
        self.on_silent = on_silent
        self.host, self.port = split_address(address)
        self.traffic = traffic
        self.stream = None
        self.connecting = None
        self.waiting = []
        self.failed_at = None
        self.used_at = 0.0
        self.next_number = 0

    @property
    def connected(self):
        """Say whether a connection stands."""
        return self.stream is not None

    def note_failure(self, now):
        """Remember when the node was last out of reach."""
        self.failed_at = now

    def forget(self, stream):
        """Drop a connection that closed."""
        if self.stream is stream:
            self.stream = None

    def ask(self, kind, payload, timeout_seconds, done):
        """Send a question; ``done`` takes the answer's kind and payload.

        ``done(None, b'')`` says that no answer will come and that the
        question may have arrived, ``done(Kind.CANCEL, b'')`` that it was
        never sent.

        :returns: a function that withdraws the question and tells the
            other node so.
        """
        loop = asyncio.get_running_loop()
        self.used_at = loop.time()
        self.next_number = (self.next_number + 1) & 0xFFFFFFFF
        number = self.next_number
        pending = Pending(done)
        pending.timer = loop.call_later(
            timeout_seconds, self._expire, number, pending
        )
        if self.stream is not None:
            self._put(kind, number, payload, pending)
        else:
            self.waiting.append((kind, number, payload, pending))
            if self.connecting is None:
                self.connecting = loop.create_task(self._connect())
        return lambda: self._withdraw(number, pending)

    def _put(self, kind, number, payload, pending):
        self.traffic.messages_out += 1
        self.traffic.bytes_out += len(payload) + HEAD.size
        if not self.stream.pending:
            # Silence is counted from the first open question on.
            self.stream.heard_at = self.used_at
        self.stream.pending[number] = pending
        self.stream.send(kind, number, payload)

    async def _connect(self):
        loop = asyncio.get_running_loop()
        stream = ClientStream(self)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await loop.create_connection(
                    lambda: stream, self.host, self.port
                )
        except (OSError, TimeoutError) as error:
            logger.info(
                'peer_unreachable',
                extra={'peer': self.address, 'detail': repr(error)},
            )
            self.failed_at = loop.time()
            waiting, self.waiting = self.waiting, []
            self.connecting = None
            for _, _, _, pending in waiting:
                pending.timer.cancel()
                pending.done(Kind.CANCEL, b'')
            return
        self.connecting = None
        if self.failed_at is not None:
            logger.info('peer_regained', extra={'peer': self.address})
        self.failed_at = None
        self.stream = stream
        waiting, self.waiting = self.waiting, []
        for item in waiting:
            self._put(*item)

    def _expire(self, number, pending):
        if self._withdraw(number, pending):
            pending.done(None, b'')

    def _withdraw(self, number, pending):
        pending.timer.cancel()
        for item in self.waiting:
            if item[3] is pending:
                self.waiting.remove(item)
                return True
        stream = self.stream
        if stream is None or stream.pending.get(number) is not pending:
            return False
        del stream.pending[number]
        stream.send(Kind.CANCEL, number)
        return True

    def close(self):
        """Close the connection."""
        if self.connecting is not None:
            self.connecting.cancel()
        if self.stream is not None:
            self.stream.transport.close()


class PeerStreams:
    """Connections to all nodes that this one talks to."""

    def __init__(self, traffic, call_timeout_seconds):
        self.traffic = traffic
        self.call_timeout_seconds = call_timeout_seconds
        self.on_silent = lambda address: None
        self.peers = {}

    def peer(self, address):
        """Return the peer at an address."""
        found = self.peers.get(address)
        if found is None:
            found = Peer(address, self.traffic, self._note_silent)
            self.peers[address] = found
        return found

    def _note_silent(self, address):
        self.on_silent(address)

    async def call(self, address, method, message):
        """Call another node's control method.

        :raises PoplarrackError: PEER_UNAVAILABLE without an answer, or
            the kind of error that the other node told.
        """
        future = asyncio.get_running_loop().create_future()

        def done(kind, payload):
            if not future.done():
                future.set_result((kind, payload))

        request, answer = CODECS[method]
        name = method.encode()
        payload = bytes([len(name)]) + name + request.encode(message)
        withdraw = self.peer(address).ask(
            Kind.CONTROL, payload, self.call_timeout_seconds, done
        )
        try:
            kind, payload = await future
        except asyncio.CancelledError:
            withdraw()
            raise
        if kind == Kind.CONTROL_ANSWER:
            return answer.decode(payload)
        if kind == Kind.CONTROL_ERROR:
            raise PoplarrackError(
                ErrorKind.PEER_UNAVAILABLE, payload.decode('utf-8', 'replace')
            )
        raise PoplarrackError(
            ErrorKind.PEER_UNAVAILABLE, f'{method} at {address}: no answer'
        )

    def deliver(self, address, request, timeout_seconds, done):
        """Send a request to the node beside its endpoint.

        :param done: takes a Delivery once.
        :returns: a function that cancels the request.
        """

        def on_answer(kind, payload):
            done(_decode_delivery(kind, payload))

        payload = REQUEST_CODEC.encode(request)
        return self.peer(address).ask(
            Kind.REQUEST, payload, timeout_seconds, on_answer
        )

    def check(self, now):
        """Look for silent connections."""
        for peer in self.peers.values():
            if peer.stream is not None:
                peer.stream.check(now)

    def keep_only(self, addresses):
        """Close the connections to nodes that are gone."""
        for address in set(self.peers) - set(addresses):
            if not self.peers[address].waiting:
                self.peers.pop(address).close()

    async def close(self):
        """Close every connection."""
        for peer in self.peers.values():
            peer.close()


def _decode_delivery(kind, payload):
    if kind == Kind.CANCEL:
        return Delivery(Verdict.NOT_RUN, reason='unreachable')
    if kind is None:
        return Delivery(Verdict.LOST, reason='no answer from node')
    try:
        return ANSWER_CODEC.decode(payload)
    except MsgspecError as error:
        logger.warning('delivery_unreadable', extra={'detail': str(error)})
        return Delivery(Verdict.LOST, reason='unreadable answer')
