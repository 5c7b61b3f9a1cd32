"""Admit requests to an endpoint's slots and order its queue."""

from bisect import insort
from dataclasses import dataclass
from dataclasses import field
from math import inf

from poplarrack.queue_orders import may_be_in_time
from poplarrack.queue_orders import QUEUE_ORDERS
from poplarrack.rank_turns import RankTurns

# Least weight of a new observation in the mean service time: the plain mean
# of the first observations changes over to a moving average.
SERVICE_TIME_WEIGHT = 0.05
# Weight of a new observation in the mean of its route, and the routes that
# are remembered.
ROUTE_TIME_WEIGHT = 0.1
MAX_REMEMBERED_ROUTES = 256
# Assumed until the first observation.
INITIAL_SERVICE_SECONDS = 0.05
# A request with less than this fraction of the mean service time left would
# most likely time out while it runs.
MIN_SERVICE_TIME_FRACTION = 0.5
# An endpoint has no room for what is late if, for so long and for so many
# service times, it ran nothing but what had waited and could be in time.
FULL_SECONDS = 0.5
FULL_SERVICE_TIMES = 2


@dataclass(order=True, slots=True)
class QueuedRequest:
    """A request that waits for a slot, ordered as the queue is.

    ``tag`` is that of FairShares, 0 without organisations. ``received`` is
    the ReceivedRequest, ``expires_at`` when it leaves the queue unserved,
    ``target_at`` when its target latency has passed, 0 if it has none.
    ``run_seconds`` is how long requests of its route run.
    """

    rank: int
    tag: float
    deadline: float
    sequence: int
    received: object = field(compare=False, default=None)
    expires_at: float = field(compare=False, default=0.0)
    target_at: float = field(compare=False, default=0.0)
    run_seconds: float = field(compare=False, default=0.0)


class Admission:
    """The room of an endpoint and the queue of requests for it.

    :param learned: the LearnedRoom, or None where all slots are used.
    :param order: the name of the queue order.
    """

    def __init__(self, slots, learned=None, order='deadline'):
        self.slots = slots
        self.learned = learned
        self.order = QUEUE_ORDERS[order]
        self.running = 0
        self.queue = []
        self.last_sequence = 0
        self.service_seconds = INITIAL_SERVICE_SECONDS
        self.observations = 0
        self.route_seconds = {}
        self.turns = RankTurns()
        # When there was room for what can't be in time.
        self.spare_at = 0.0

    def observe(self, seconds, route=''):
        """Record the seconds that the endpoint took for a request."""
        self.observations += 1
        weight = max(SERVICE_TIME_WEIGHT, 1 / self.observations)
        self.service_seconds += weight * (seconds - self.service_seconds)
        if len(self.route_seconds) > MAX_REMEMBERED_ROUTES:
            self.route_seconds.clear()
        mean = self.route_seconds.get(route, seconds)
        mean += ROUTE_TIME_WEIGHT * (seconds - mean)
        self.route_seconds[route] = mean

    def run_seconds_of(self, route):
        """Return how long requests of a route run, as far as is known."""
        return self.route_seconds.get(route, self.service_seconds)

    def resize(self, slots):
        """Set the slots that the endpoint tells."""
        self.slots = slots
        if self.learned is not None:
            self.learned.resize(slots)

    @property
    def room(self):
        """Return how many requests may run at once."""
        return self.slots if self.learned is None else self.learned.room

    def begin(self, route, now, rank=0):
        """Count a request that starts to run.

        :returns: what ``end`` is given.
        """
        self.running += 1
        self.turns.serve(rank, now)
        if not self.queue:
            self.spare_at = now
        return self.learned and self.learned.begin(route, now)

    def end(self, run, now, succeeded):
        """Count a request that no longer runs.

        :param run: what ``begin`` returned.
        :param succeeded: whether the endpoint ran it to a good end.
        """
        self.running -= 1
        if not self.queue:
            self.spare_at = now
        if self.learned is not None:
            self.learned.end(run, now, succeeded)

    @property
    def free_slots(self):
        """Return the number of unused slots of the room."""
        return max(0, self.room - self.running)

    def expected_wait(self, rank, now, tag=inf):
        """Return the seconds that a request of a rank and tag would wait."""
        if self.free_slots > len(self.queue):
            return 0.0
        queue = self.queue
        if self.turns.is_behind(rank, now):
            queue = self._members_of(rank)
        return self._wait_behind(self.order.count_ahead(queue, rank, tag, now))

    def _members_of(self, rank):
        return [item for item in self.queue if item.rank == rank]

    def count_ahead_of_new(self, now):
        """Return how many run before a new request of the lowest rank."""
        if not self.queue:
            return 0
        return self.order.count_ahead(
            self.queue, self.queue[-1].rank, inf, now
        )

    def expected_wait_of_new(self, now):
        """Return the seconds that a new one of the lowest rank would wait."""
        if self.free_slots > len(self.queue):
            return 0.0
        return self._wait_behind(self.count_ahead_of_new(now))

    def _wait_behind(self, ahead):
        excess = ahead + 1 + max(0, self.running - self.room)
        return excess * self.service_seconds / max(1, self.room)

    def admits(
        self, rank, max_wait_seconds, now, spare_slot_fraction=0.0, tag=inf
    ):
        """Return whether a request is admitted, at once or to the queue.

        :param spare_slot_fraction: fraction of the slots that must be free.
        """
        if spare_slot_fraction and self.free_slots - len(self.queue) <= (
            spare_slot_fraction * self.room
        ):
            return False
        return self.expected_wait(rank, now, tag) <= max_wait_seconds

    def enqueue(
        self,
        received,
        rank,
        deadline,
        expires_at,
        target_at=0.0,
        tag=0.0,
        route='',
    ):
        """Add a request to the queue.

        :param expires_at: when the request leaves the queue unserved.
        :param target_at: when its target latency has passed; 0 for none.
        :param tag: that of the organisation's share, if it has any.
        :returns: the QueuedRequest, to pass to ``discard``.
        """
        self.last_sequence += 1
        item = QueuedRequest(
            rank,
            tag,
            deadline,
            self.last_sequence,
            received,
            expires_at,
            target_at,
            self.run_seconds_of(route),
        )
        insort(self.queue, item)
        return item

    def displaced(self, now):
        """Return the last request if it can't be served in time any more.

        Requests that came later may be ahead of it.

        :returns: its QueuedRequest, or None.
        """
        if not self.queue:
            return None
        last = self.queue[-1]
        ahead = len(self.queue) - 1
        if self.turns.is_behind(last.rank, now):
            ahead = len(self._members_of(last.rank)) - 1
        wait = self._wait_behind(ahead)
        return last if now + wait > last.expires_at else None

    def is_full(self, now):
        """Return whether what can be in time takes all of the room."""
        least_seconds = max(
            FULL_SECONDS, FULL_SERVICE_TIMES * self.service_seconds
        )
        return bool(self.queue) and now - self.spare_at > least_seconds

    def remove_late(self, now):
        """Remove the requests that are late while there is no room for them.

        :returns: their QueuedRequests.
        """
        if not self.is_full(now):
            return []
        late = [item for item in self.queue if not may_be_in_time(item, now)]
        for item in late:
            self.queue.remove(item)
        return late

    def discard(self, item):
        """Remove a request that ended before it got a slot."""
        if item in self.queue:
            self.queue.remove(item)

    def _next_rank(self, now):
        """Return the rank whose request runs next.

        A rank that is behind gets its turn for what can be in time.
        """
        best = self.queue[0].rank
        if self.queue[-1].rank == best:
            return best
        in_time = {
            item.rank for item in self.queue if may_be_in_time(item, now)
        }
        return self.turns.next_rank(sorted(in_time | {best}), now)

    def dequeue(self, now):
        """Remove the next request to run and any that are too late.

        :returns: the QueuedRequest to run, or None, and a list of those that
            expired or have too little time left to be served.
        """
        too_late = []
        min_seconds = self.service_seconds * MIN_SERVICE_TIME_FRACTION
        while self.queue and self.free_slots:
            members = self._members_of(self._next_rank(now))
            index = self.order.next_index(members, self.service_seconds, now)
            item = members[index]
            self.queue.remove(item)
            if not self.queue or not may_be_in_time(item, now):
                self.spare_at = now
            if now >= item.expires_at or item.deadline - now < min_seconds:
                too_late.append(item)
                continue
            return item, too_late
        return None, too_late
