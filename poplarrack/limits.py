"""Limit the calls in flight to a server and the calls that are queued."""

from collections import deque

from poplarrack.resources import Priority

MIN_LIMIT = 1.0
# Fraction of the limit that must be in use for a success to increase it.
INCREASE_OCCUPANCY = 0.8
DECREASE_FACTOR = 0.85
DECREASE_INTERVAL_SECONDS = 0.1
PRIORITIES = (Priority.CRITICAL, Priority.NORMAL, Priority.SHEDDABLE)

# Occupancy of the queue, as a fraction, up to which a priority is admitted.
QUEUE_FRACTIONS = {
    Priority.CRITICAL: 1.0,
    Priority.NORMAL: 0.6,
    Priority.SHEDDABLE: 0.3,
}


class AdaptiveLimit:
    """A concurrency limit that adapts by AIMD.

    The limit starts at the number of slots that the server announced and
    never exceeds it. A refusal or a timeout decreases the limit
    multiplicatively, at most once in ``DECREASE_INTERVAL_SECONDS``. A
    success increases it additively, if most of the limit was in use.

    :param slots: calls that the server runs at once.
    """

    def __init__(self, slots):
        self.max_limit = float(slots)
        self.limit = float(slots)
        self.decreased_at = 0.0

    def admits(self, in_flight):
        """Return whether one more call may be sent."""
        return in_flight < self.limit

    def on_success(self, in_flight):
        """Increase the limit after a success, if most of it was in use."""
        if in_flight + 1 >= self.limit * INCREASE_OCCUPANCY:
            self.limit = min(self.max_limit, self.limit + 1.0 / self.limit)

    def on_overload(self, now):
        """Decrease the limit after a refusal or a timeout."""
        if now - self.decreased_at < DECREASE_INTERVAL_SECONDS:
            return
        self.decreased_at = now
        self.limit = max(MIN_LIMIT, self.limit * DECREASE_FACTOR)


class CallQueue:
    """A bounded queue of calls, by priority and then first in, first out.

    Calls of lower priority may fill only a fraction of the queue, so that
    under load they are refused first and don't delay critical calls.

    :param max_size: calls that may be queued.
    """

    def __init__(self, max_size):
        self.max_size = max_size
        self.waiting = {priority: deque() for priority in PRIORITIES}
        self.size = 0

    def try_enqueue(self, call, priority):
        """Add a call at the end of its priority.

        :returns: False when the queue is full for this priority.
        """
        if self.size >= self.max_size * QUEUE_FRACTIONS[priority]:
            return False
        self.waiting[priority].append(call)
        self.size += 1
        return True

    def move_to_front(self, call, priority):
        """Move a queued call to the front of its priority."""
        waiting = self.waiting[priority]
        waiting.remove(call)
        waiting.appendleft(call)

    def dequeue(self):
        """Remove and return the next call, or None when none is queued."""
        for priority in PRIORITIES:
            if self.waiting[priority]:
                self.size -= 1
                return self.waiting[priority].popleft()
        return None

    def discard(self, call, priority):
        """Remove a call that ended while it was queued."""
        try:
            self.waiting[priority].remove(call)
        except ValueError:
            return
        self.size -= 1
