"""Multiplex requests and control messages between nodes on connections.

A frame consists of its payload's length, its kind, a message id that matches
an answer with its request, and the payload in MessagePack. The payload of a
control message starts with the length and the name of its method, whose
codecs are in ``messages.py``. A connection that has pending requests but
receives no bytes is probed and then aborted, because a network partition
closes no connection.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
import logging
import select

from msgspec import MsgspecError

from poplarrack.addresses import split_destination
from poplarrack.body_pipes import BodyPipe
from poplarrack.byte_budgets import ByteBudget
from poplarrack.errors import ErrorKind
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
from poplarrack.socket_states import poll_now

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_SECONDS = 0.5
# A connection with pending requests is probed when it has received no bytes
# for this long.
PROBE_AFTER_SECONDS = 0.15
# How long after a probe without an answer the node is avoided, and how long
# after it the connection is aborted. Round trips between regions take 0.06 s,
# and TCP retransmits a lost packet after 0.2 s or more.
AVOID_AFTER_SECONDS = 0.1
PROBE_TIMEOUT_SECONDS = 0.6
# Those of three digits, but for interim answers.
FINAL_STATUSES = range(200, 1000)


@dataclass(slots=True)
class PendingRequest:
    """A request without an answer yet; ``on_done`` is called once with it.

    ``upload`` is the BodyPipe of its body, if that is sent in pieces.
    """

    on_done: Callable
    upload: BodyPipe | None = None
    timer: object = None


class ClientStream(FrameProtocol):
    """A connection to another node."""

    def __init__(self, peer):
        super().__init__(peer.budget)
        self.peer = peer
        self.pending = {}
        self.probe_sent_at = 0.0

    def connection_made(self, transport):
        """Say that this node takes bodies in pieces."""
        super().connection_made(transport)
        self.send(FrameKind.HELLO, 0)

    def on_frame(self, kind, message_id, payload):
        """Pass an answer to its request; drop it if the request has ended."""
        self.probe_sent_at = 0.0
        if kind == FrameKind.HELLO:
            self.knows_pieces = True
        elif not self.on_body_frame(kind, message_id, payload):
            self._end(message_id, kind, payload)

    def cancel_body(self, message_id):
        """Tell the other node that an answer is not wanted any more."""
        self.send(FrameKind.CANCEL, message_id)

    def on_skipped_frame(self, kind, message_id):
        """End the request whose answer was skipped as one without any."""
        if kind in BODY_HANDLERS:
            self.bodies.break_off(message_id)
            return
        self.cancel_body(message_id)
        self._end(message_id, None, b'')

    def _end(self, message_id, kind, payload):
        pending = self.pending.pop(message_id, None)
        if pending is None:
            return
        if pending.timer is not None:
            pending.timer.cancel()
        # What is left of the request's body is not wanted any more.
        self.bodies.drop(message_id)
        receive_body = None
        if kind == FrameKind.ANSWER:
            receive_body = partial(self.bodies.receive, message_id)
        pending.on_done(kind, payload, receive_body)

    def connection_lost(self, error):
        """Fail the pending requests, which may have arrived."""
        self.budget.release(self)
        self.bodies.lose()
        self.peer.remove_stream(self)
        pending, self.pending = self.pending, {}
        for item in pending.values():
            if item.timer is not None:
                item.timer.cancel()
            item.on_done(None, b'', None)

    def check_liveness(self, now):
        """Probe a silent connection; abort it if the probe is not answered.

        :param now: the event loop's time in seconds.
        """
        if self.probe_sent_at:
            # An answer that comes in slowly has the probe's behind it.
            silent_seconds = now - max(
                self.probe_sent_at, self.last_received_at
            )
            if silent_seconds <= AVOID_AFTER_SECONDS or poll_now(
                self.transport, select.POLLIN
            ):
                # What waits there is read in the event loop's next turn.
                return
            self.peer.on_unresponsive(self.peer.address)
            if silent_seconds > PROBE_TIMEOUT_SECONDS:
                logger.info('peer_silent', extra={'peer': self.peer.address})
                self.peer.record_failure(now)
                self.transport.abort()
        elif (
            self.pending or self.bodies.incoming
        ) and now - self.last_received_at > PROBE_AFTER_SECONDS:
            self.probe_sent_at = now
            self.send(FrameKind.PING, 0)


class Peer:
    """The connection to one node, opened on demand."""

    def __init__(self, address, traffic, budget, on_unresponsive):
        self.address = address
        self.budget = budget
        self.on_unresponsive = on_unresponsive
        self.host, self.port = split_destination(address)
        self.traffic = traffic
        self.stream = None
        self.connect_task = None
        self.unsent = []
        self.failed_at = None
        self.last_used_at = 0.0
        self.last_message_id = 0

    @property
    def connected(self):
        """Return whether a connection is open."""
        return self.stream is not None

    def record_failure(self, now):
        """Record when the node was last unreachable."""
        self.failed_at = now

    def remove_stream(self, stream):
        """Drop a closed connection."""
        if self.stream is stream:
            self.stream = None

    def send_request(
        self, kind, payload, timeout_seconds, on_done, upload=None
    ):
        """Send a request and call ``on_done`` once with the outcome.

        :param on_done: called with the kind and the payload of the answer and
            a function that returns the BodyPipe of a body that follows it;
            with ``(None, b'', None)`` if no answer will come, although the
            request may have arrived; with ``(FrameKind.CANCEL, b'', None)``
            if the request was never sent.
        :param upload: the BodyPipe of a body that follows the request, or
            None.
        :returns: a function that cancels the request, also at the other node
            if it was sent.
        """
        loop = asyncio.get_running_loop()
        self.last_used_at = loop.time()
        self.last_message_id = (self.last_message_id + 1) & 0xFFFFFFFF
        message_id = self.last_message_id
        pending = PendingRequest(on_done, upload)
        pending.timer = loop.call_later(
            timeout_seconds, self._expire, message_id, pending
        )
        if self.stream is not None:
            self._write(kind, message_id, payload, pending)
        else:
            self.unsent.append((kind, message_id, payload, pending))
            if self.connect_task is None:
                self.connect_task = loop.create_task(self._connect())
        return lambda: self._cancel(message_id, pending)

    def _write(self, kind, message_id, payload, pending):
        self.traffic.messages_out += 1
        self.traffic.bytes_out += len(payload) + FRAME_HEADER.size
        if not self.stream.pending and not self.stream.probe_sent_at:
            # Silence is measured from the first pending request on. A new
            # request is no sign of life of a node that was probed.
            self.stream.last_received_at = self.last_used_at
        self.stream.pending[message_id] = pending
        self.stream.send(kind, message_id, payload)
        if pending.upload is not None:
            self.stream.bodies.send(message_id, pending.upload, 0)

    async def _connect(self):
        loop = asyncio.get_running_loop()
        stream = ClientStream(self)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await loop.create_connection(
                    lambda: stream, self.host, self.port
                )
        except (OSError, TimeoutError, ValueError) as error:
            # ValueError is raised for a host that can't be looked up.
            logger.info(
                'peer_unreachable',
                extra={'peer': self.address, 'detail': repr(error)},
            )
            self.failed_at = loop.time()
            unsent, self.unsent = self.unsent, []
            self.connect_task = None
            for _, _, _, pending in unsent:
                pending.timer.cancel()
                pending.on_done(FrameKind.CANCEL, b'', None)
            return
        self.connect_task = None
        if self.failed_at is not None:
            logger.info('peer_regained', extra={'peer': self.address})
        self.failed_at = None
        self.stream = stream
        unsent, self.unsent = self.unsent, []
        for item in unsent:
            self._write(*item)

    def _expire(self, message_id, pending):
        was_sent = all(item[3] is not pending for item in self.unsent)
        if self._cancel(message_id, pending):
            kind = None if was_sent else FrameKind.CANCEL
            pending.on_done(kind, b'', None)

    def _cancel(self, message_id, pending):
        pending.timer.cancel()
        for item in self.unsent:
            if item[3] is pending:
                self.unsent.remove(item)
                return True
        stream = self.stream
        if stream is None or stream.pending.get(message_id) is not pending:
            return False
        del stream.pending[message_id]
        stream.bodies.drop(message_id)
        stream.send(FrameKind.CANCEL, message_id)
        return True

    def close(self):
        """Close the connection."""
        if self.connect_task is not None:
            self.connect_task.cancel()
        if self.stream is not None:
            self.stream.transport.close()


class PeerStreams:
    """Connections to the nodes that this one sends requests to.

    ``on_unresponsive`` is called with the address of a node that does not
    answer a probe.

    :param budget: the ByteBudget of the process.
    """

    def __init__(self, traffic, call_timeout_seconds, budget=None):
        self.traffic = traffic
        self.budget = budget or ByteBudget()
        self.call_timeout_seconds = call_timeout_seconds
        self.on_unresponsive = lambda address: None
        self.peers = {}

    def peer(self, address):
        """Return the peer at an address.

        :raises PoplarrackError: PEER_UNAVAILABLE if it is no address.
        """
        found = self.peers.get(address)
        if found is None:
            try:
                found = Peer(
                    address,
                    self.traffic,
                    self.budget,
                    self._on_peer_unresponsive,
                )
            except ValueError as error:
                raise PoplarrackError(
                    ErrorKind.PEER_UNAVAILABLE, str(error)
                ) from error
            self.peers[address] = found
        return found

    def _on_peer_unresponsive(self, address):
        self.on_unresponsive(address)

    async def call(self, address, method, message):
        """Call a control method of another node.

        :raises PoplarrackError: PEER_UNAVAILABLE if there is no answer or
            the other node answers with an error.
        """
        future = asyncio.get_running_loop().create_future()

        def on_done(kind, payload, receive_body):
            if not future.done():
                future.set_result((kind, payload))

        peer = self.peer(address)
        request, answer = CODECS[method]
        name = method.encode()
        payload = bytes([len(name)]) + name + request.encode(message)
        cancel = peer.send_request(
            FrameKind.CONTROL, payload, self.call_timeout_seconds, on_done
        )
        try:
            kind, payload = await future
        except asyncio.CancelledError:
            cancel()
            raise
        if kind == FrameKind.CONTROL_ANSWER:
            return answer.decode(payload)
        if kind == FrameKind.CONTROL_ERROR:
            raise PoplarrackError(
                ErrorKind.PEER_UNAVAILABLE, payload.decode('utf-8', 'replace')
            )
        raise PoplarrackError(
            ErrorKind.PEER_UNAVAILABLE, f'{method} at {address}: no answer'
        )

    def knows_pieces(self, address):
        """Return whether a node has said that it takes bodies in pieces."""
        peer = self.peers.get(address)
        return bool(peer and peer.stream and peer.stream.knows_pieces)

    async def takes_pieces(self, address, timeout_seconds):
        """Return whether a node takes bodies in pieces.

        A node that can't be asked counts as one that does: what is offered to
        it next shows that it is not reached.
        """
        try:
            peer = self.peer(address)
        except PoplarrackError:
            return True
        if peer.stream is not None and peer.stream.knows_pieces is not None:
            return peer.stream.knows_pieces
        future = asyncio.get_running_loop().create_future()

        def on_done(kind, payload, receive_body):
            if not future.done():
                future.set_result(kind)

        # A HELLO would come before this answer.
        cancel = peer.send_request(
            FrameKind.PING, b'', timeout_seconds, on_done
        )
        try:
            kind = await future
        except asyncio.CancelledError:
            cancel()
            raise
        if kind != FrameKind.PONG or peer.stream is None:
            return True
        if peer.stream.knows_pieces is None:
            peer.stream.knows_pieces = False
        return peer.stream.knows_pieces

    def deliver(self, address, request, timeout_seconds, on_done, upload=None):
        """Send a request to the node of its endpoint.

        :param request: the RoutedRequest.
        :param on_done: called once with the Delivery, and with the BodyPipe
            of its body if that follows in pieces.
        :param upload: the BodyPipe of the request's body, if that follows.
        :returns: a function that cancels the request.
        """

        def on_answer(kind, payload, receive_body):
            delivery = _decode_delivery(kind, payload)
            body = None
            if delivery.streamed_bytes:
                body = receive_body(delivery.streamed_bytes)
            if not _is_sound(delivery):
                if body is not None:
                    # Has the other node stop.
                    body.close()
                delivery = Delivery(Verdict.LOST, reason='no such status')
                body = None
            if body is None:
                on_done(delivery)
            else:
                on_done(delivery, body)

        try:
            peer = self.peer(address)
        except PoplarrackError as error:
            logger.info(
                'peer_unreachable',
                extra={'peer': address, 'detail': error.detail},
            )
            on_done(Delivery(Verdict.NOT_RUN, reason='unreachable'))
            return lambda: None
        payload = REQUEST_CODEC.encode(request)
        return peer.send_request(
            FrameKind.REQUEST, payload, timeout_seconds, on_answer, upload
        )

    def check_liveness(self, now):
        """Probe or abort silent connections."""
        for peer in self.peers.values():
            if peer.stream is not None:
                peer.stream.check_liveness(now)

    def keep_only(self, addresses):
        """Close the connections to all addresses but the given ones."""
        for address in set(self.peers) - set(addresses):
            if not self.peers[address].unsent:
                self.peers.pop(address).close()

    async def close(self):
        """Close every connection."""
        for peer in self.peers.values():
            peer.close()


def _is_sound(delivery):
    """Return whether an answer has the status of a final answer."""
    if delivery.verdict is not Verdict.ANSWERED:
        return True
    is_sound = delivery.status in FINAL_STATUSES
    if not is_sound:
        logger.warning(
            'delivery_unreadable', extra={'status': delivery.status}
        )
    return is_sound


def _decode_delivery(kind, payload):
    if kind == FrameKind.CANCEL:
        return Delivery(Verdict.NOT_RUN, reason='unreachable')
    if kind is None:
        return Delivery(Verdict.LOST, reason='no answer from node')
    try:
        return ANSWER_CODEC.decode(payload)
    except MsgspecError as error:
        logger.warning('delivery_unreadable', extra={'detail': str(error)})
        return Delivery(Verdict.LOST, reason='unreadable answer')
