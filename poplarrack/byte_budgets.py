"""Bound the bytes that a process buffers of messages that are incomplete."""

import logging

logger = logging.getLogger(__name__)

MAX_BUFFERED_BYTES = 64_000_000
# Memory that a header takes beside its bytes: a pair of two objects.
HEADER_OVERHEAD_BYTES = 160


class ByteBudget:
    """Bounds what all connections of a process buffer together.

    A holder is a connection that buffers a part of a message. Its method
    ``give_up`` drops the message, whatever its sender goes on to send.

    :param max_bytes: the bound on the sum over all holders.
    """

    def __init__(self, max_bytes=MAX_BUFFERED_BYTES):
        self.max_bytes = max_bytes
        self.held_bytes = {}
        self.total_bytes = 0

    def hold(self, holder, size):
        """Set the bytes that a holder buffers.

        Where that is too much in total, the holder with the most bytes gives
        up its message.
        """
        self.total_bytes += size - self.held_bytes.get(holder, 0)
        self.held_bytes[holder] = size
        while self.total_bytes > self.max_bytes:
            largest = max(self.held_bytes, key=self.held_bytes.get)
            logger.warning(
                'message_given_up',
                extra={
                    'bytes': self.held_bytes[largest],
                    'buffered': self.total_bytes,
                    'connections': len(self.held_bytes),
                },
            )
            self.release(largest)
            largest.give_up()

    def release(self, holder):
        """Record that a holder buffers nothing any more."""
        self.total_bytes -= self.held_bytes.pop(holder, 0)
