"""Split the bytes of a connection between nodes into frames.

Both ends of a connection do, and pass bodies in pieces in both directions.
"""

import asyncio
import logging

from poplarrack.framed_bodies import FramedBodies
from poplarrack.frames import build_frame
from poplarrack.frames import FRAME_HEADER
from poplarrack.frames import FrameKind
from poplarrack.frames import MAX_FRAME_BYTES

logger = logging.getLogger(__name__)

# Payloads from which on it is counted what the transport has yet to write.
MIN_COUNTED_BYTES = 16_384


class FrameProtocol(asyncio.Protocol):
    """Splits a byte stream into frames.

    :param budget: the ByteBudget of the process. A frame that it has no room
        for is skipped; those after it are not affected.
    """

    # Whether bodies that this end receives wait for a first window.
    grants_first_window = False

    def __init__(self, budget):
        self.budget = budget
        self.bodies = FramedBodies(self, self.cancel_body)
        self.is_write_paused = False
        # Whether the other node takes bodies in pieces, None until known.
        self.knows_pieces = None
        self.transport = None
        self.buffer = bytearray()
        # What is yet to come of a frame that is skipped.
        self.skipped_bytes_left = 0
        self.last_received_at = 0.0

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport
        self.last_received_at = asyncio.get_running_loop().time()

    def data_received(self, data):
        """Pass each complete frame to ``on_frame``."""
        self.last_received_at = asyncio.get_running_loop().time()
        skipped = min(self.skipped_bytes_left, len(data))
        self.skipped_bytes_left -= skipped
        buffer = self.buffer
        buffer += data[skipped:]
        offset = 0
        while len(buffer) - offset >= FRAME_HEADER.size:
            size, kind, message_id = FRAME_HEADER.unpack_from(buffer, offset)
            if size > MAX_FRAME_BYTES:
                logger.warning('frame_too_large', extra={'bytes': size})
                self.transport.abort()
                return
            end = offset + FRAME_HEADER.size + size
            if len(buffer) < end:
                break
            with memoryview(buffer) as view:
                payload = bytes(view[offset + FRAME_HEADER.size : end])
            offset = end
            self.on_frame(kind, message_id, payload)
        if offset:
            del buffer[:offset]
        self.count_held()

    def count_held(self):
        """Count what is buffered, read or to be written."""
        unwritten = self.transport.get_write_buffer_size()
        self.budget.hold(self, len(self.buffer) + unwritten)

    def pause_writing(self):
        """Hold bodies back until the other node has read more."""
        self.is_write_paused = True

    def resume_writing(self):
        """Go on with the bodies.

        Not at once: the transport must not be closed within this call.
        """
        self.is_write_paused = False
        asyncio.get_running_loop().call_soon(self._resume_bodies)

    def _resume_bodies(self):
        if not self.transport.is_closing():
            self.bodies.resume()
            self.count_held()

    def give_up(self):
        """Skip the frame whose start is buffered.

        A connection whose other node reads nothing is aborted.
        """
        if self.transport.get_write_buffer_size() > len(self.buffer):
            self.transport.abort()
        elif len(self.buffer) >= FRAME_HEADER.size:
            self._skip_frame()

    def _skip_frame(self):
        size, kind, message_id = FRAME_HEADER.unpack_from(self.buffer)
        self.skipped_bytes_left = FRAME_HEADER.size + size - len(self.buffer)
        self.buffer = bytearray()
        self.on_skipped_frame(kind, message_id)

    def send(self, kind, message_id, payload=b''):
        """Send a frame unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(build_frame(kind, message_id, payload))
            if len(payload) >= MIN_COUNTED_BYTES:
                self.count_held()

    def on_body_frame(self, kind, message_id, payload):
        """Handle a frame of a body in pieces; return whether it is one."""
        handle = BODY_HANDLERS.get(kind)
        if handle is None:
            return False
        handle(self.bodies, message_id, payload)
        return True

    def cancel_body(self, message_id):
        """Tell the other node that no more of a body is wanted."""
        raise NotImplementedError

    def on_frame(self, kind, message_id, payload):
        """Handle one frame."""
        raise NotImplementedError

    def on_skipped_frame(self, kind, message_id):
        """Handle a frame whose payload was skipped."""
        raise NotImplementedError


BODY_HANDLERS = {
    FrameKind.PIECE: FramedBodies.on_piece,
    FrameKind.END: FramedBodies.on_end,
    FrameKind.WINDOW: FramedBodies.on_window,
}
