"""Decide which request an endpoint runs next, and which it can't in time."""

from bisect import insort
from dataclasses import dataclass
from dataclasses import field

# Part of a new observation in the mean time of service, once there were so
# many that the plain mean gives it no more.
SERVICE_TIME_WEIGHT = 0.05
# Assumed before anything was observed.
INITIAL_SERVICE_SECONDS = 0.05
# A request whose time left is under this part of the mean time of service
# would most likely be cut off in the middle.
MIN_SERVICE_TIME_FRACTION = 0.5


@dataclass(order=True, slots=True)
class QueuedRequest:
    """A request that waits for a slot; the order of the queue."""

    rank: int
    deadline: float
    number: int
    received: object = field(compare=False, default=None)
    give_up_at: float = field(compare=False, default=0.0)
    target_at: float = field(compare=False, default=0.0)


class Admission:
    """Hold an endpoint's slots and the queue in front of them."""

    def __init__(self, slots):
        self.slots = slots
        self.running = 0
        self.queue = []
        self.number = 0
        self.service_seconds = INITIAL_SERVICE_SECONDS
        self.observed = 0

    def observe(self, seconds):
        """Take in how long the endpoint worked on a request."""
        self.observed += 1
        weight = max(SERVICE_TIME_WEIGHT, 1 / self.observed)
        self.service_seconds += weight * (seconds - self.service_seconds)

    @property
    def free(self):
        """Return how many slots nobody uses."""
        return max(0, self.slots - self.running)

    def expected_wait(self, rank):
        """Return how many seconds a request of a rank would wait."""
        if self.free > len(self.queue):
            return 0.0
        ahead = sum(1 for item in self.queue if item.rank <= rank)
        excess = ahead + 1 + max(0, self.running - self.slots)
        return excess * self.service_seconds / max(1, self.slots)

    def admits(self, rank, max_wait_seconds, spare_slot_fraction=0.0):
        """Say whether a request is taken, at once or after a wait.

        :param spare_slot_fraction: part of the slots that must be free for it.
        """
        if spare_slot_fraction and self.free - len(self.queue) <= (
            spare_slot_fraction * self.slots
        ):
            return False
        return self.expected_wait(rank) <= max_wait_seconds

    def enqueue(self, received, rank, deadline, give_up_at, target_at=0.0):
        """Add a request to the queue.

        :param target_at: until when its answer is wanted.
        :returns: its place, which ``discard`` takes.
        """
        self.number += 1
        item = QueuedRequest(
            rank, deadline, self.number, received, give_up_at, target_at
        )
        insort(self.queue, item)
        return item

    def discard(self, item):
        """Remove a request that ended while it waited."""
        if item in self.queue:
            self.queue.remove(item)

    def take(self, now):
        """Return the next request to run and those that are too late.

        :returns: the QueuedRequest that got the slot, or None, and a list of
            those whose time is over or too short to be served.
        """
        too_late = []
        useful = self.service_seconds * MIN_SERVICE_TIME_FRACTION
        while self.queue and self.free:
            item = self.queue.pop(self._next(now))
            if now >= item.give_up_at or item.deadline - now < useful:
                too_late.append(item)
                continue
            return item, too_late
        return None, too_late

    def _next(self, now):
        """Return the index of the request that goes first.

        Of those of the first rank, one whose answer may still come within
        its target: when not all can be in time, first come first served
        makes all of them late.
        """
        rank = self.queue[0].rank
        for index, item in enumerate(self.queue):
            if item.rank != rank:
                break
            if item.target_at - now >= self.service_seconds:
                return index
        return 0
