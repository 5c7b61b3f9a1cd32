"""Bound the bytes that a process holds of messages.

Load answered: many callers, nodes or endpoints that are slower than those who
feed them, or that send without end.
"""

import logging
from time import monotonic

logger = logging.getLogger(__name__)

MAX_BUFFERED_BYTES = 64_000_000
# Memory that a header takes beside its bytes: a pair of two objects.
HEADER_OVERHEAD_BYTES = 160
# Added to the time for which a holder passed nothing on, so that among those
# which have just begun the one with the most bytes gives way.
LEAST_STILL_SECONDS = 0.1


class ByteBudget:
    """Bounds what all connections of a process hold together.

    A holder is a connection, or a body in pieces, that holds bytes which were
    read and not passed on, or not yet written. Its method ``give_up`` drops
    them, whatever its sender goes on to send.

    :param max_bytes: the bound on the sum over all holders.
    :param clock: a function that returns monotonic seconds.
    """

    def __init__(self, max_bytes=MAX_BUFFERED_BYTES, clock=monotonic):
        self.max_bytes = max_bytes
        self.clock = clock
        self.held_bytes = {}
        # When a holder last held less than before.
        self.moved_at = {}
        self.total_bytes = 0

    def hold(self, holder, size):
        """Set the bytes that a holder holds.

        Where that is too much in total, the holder gives way that has kept
        the most bytes from moving for the longest.
        """
        before = self.held_bytes.get(holder, 0)
        if not before or size < before:
            self.moved_at[holder] = self.clock()
        self.total_bytes += size - before
        self.held_bytes[holder] = size
        while self.total_bytes > self.max_bytes:
            stillest = self._find_stillest()
            logger.warning(
                'message_given_up',
                extra={
                    'bytes': self.held_bytes[stillest],
                    'buffered': self.total_bytes,
                    'connections': len(self.held_bytes),
                },
            )
            self.release(stillest)
            stillest.give_up()

    def _find_stillest(self):
        now = self.clock() + LEAST_STILL_SECONDS
        return max(
            self.held_bytes,
            key=lambda holder: (
                self.held_bytes[holder] * (now - self.moved_at[holder])
            ),
        )

    def still_seconds(self, holder):
        """Return for how long a holder has passed nothing on."""
        now = self.clock()
        return now - self.moved_at.get(holder, now)

    def release(self, holder):
        """Record that a holder holds nothing any more."""
        self.total_bytes -= self.held_bytes.pop(holder, 0)
        self.moved_at.pop(holder, None)
