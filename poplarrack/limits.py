"""Bound the calls in flight and the calls that wait."""

from collections import deque

from poplarrack.resources import Priority

LOWEST_LIMIT = 1.0
DECREASE = 0.85
DECREASE_PAUSE_SECONDS = 0.1
PRIORITIES = (Priority.CRITICAL, Priority.NORMAL, Priority.SHEDDABLE)

# Part of a queue that each priority may fill.
QUEUE_PARTS = {
    Priority.CRITICAL: 1.0,
    Priority.NORMAL: 0.6,
    Priority.SHEDDABLE: 0.3,
}


class AdaptiveLimit:
    """Additive increase and multiplicative decrease of calls in flight.

    Starts at the server's stated slots. A refusal or a timeout lowers it,
    once a pause at most; a success while near the limit raises it.
    """

    def __init__(self, slots):
        self.most = float(slots)
        self.limit = float(slots)
        self.lowered_at = 0.0

    def admits(self, in_flight):
        """Say whether one more call may go."""
        return in_flight < self.limit

    def on_success(self, in_flight):
        """Raise the limit when it was nearly used."""
        if in_flight + 1 >= self.limit * 0.8:
            self.limit = min(self.most, self.limit + 1.0 / self.limit)

    def on_pressure(self, now):
        """Lower the limit after a refusal or a timeout."""
        if now - self.lowered_at < DECREASE_PAUSE_SECONDS:
            return
        self.lowered_at = now
        self.limit = max(LOWEST_LIMIT, self.limit * DECREASE)


class CallQueue:
    """A bounded queue of calls by priority, oldest first within one.

    Less important calls may fill only part of it, so that they are
    refused first and cost the important ones no wait.
    """

    def __init__(self, most):
        self.most = most
        self.waiting = {priority: deque() for priority in PRIORITIES}
        self.size = 0

    def offer(self, call, priority):
        """Add a call; return False when it is to be refused."""
        if self.size >= self.most * QUEUE_PARTS[priority]:
            return False
        self.waiting[priority].append(call)
        self.size += 1
        return True

    def put_first(self, call, priority):
        """Move a call that was just offered again to the front."""
        waiting = self.waiting[priority]
        waiting.remove(call)
        waiting.appendleft(call)

    def take(self):
        """Remove and return the call to serve next, or None."""
        for priority in PRIORITIES:
            if self.waiting[priority]:
                self.size -= 1
                return self.waiting[priority].popleft()
        return None

    def discard(self, call, priority):
        """Remove a call that ended while it waited."""
        try:
            self.waiting[priority].remove(call)
        except ValueError:
            return
        self.size -= 1
