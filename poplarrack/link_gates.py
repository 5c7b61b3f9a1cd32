"""Let bodies cross a node's link only as fast as it takes them.

Load answered: a burst of uploads to a few nodes with thin links. Each sender
sends its body at once; together they fill the link for seconds, and brief
requests wait behind them until they are too late.

The receiving node, which knows its link, decides which bodies may come. What
may be under way at once fills the link for IN_FLIGHT_SECONDS.
"""

from bisect import insort
from dataclasses import dataclass
from dataclasses import field

IN_FLIGHT_SECONDS = 0.1
# Part of the link that bodies may fill; the rest is for what is brief.
BODY_FRACTION = 0.75
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


@dataclass(order=True, slots=True)
class Crossing:
    """A body that is to cross the link, ordered as they wait.

    ``start`` is called once when it may come.
    """

    rank: int
    deadline: float
    sequence: int
    size: int = field(compare=False, default=0)
    start: object = field(compare=False, default=None)
    started: bool = field(compare=False, default=False)


class LinkGate:
    """The bodies that cross a link, and those that wait for it.

    :param megabits_per_second: what the link takes.
    """

    def __init__(self, megabits_per_second):
        self.bytes_per_second = (
            BODY_FRACTION
            * megabits_per_second
            * BITS_PER_MEGABIT
            / BITS_PER_BYTE
        )
        self.max_in_flight = self.bytes_per_second * IN_FLIGHT_SECONDS
        self.in_flight = 0
        self.waiting = []
        self.last_sequence = 0

    def expected_wait(self, rank, size):
        """Return the seconds until a body of a rank might come.

        :param size: its bytes.
        """
        ahead = sum(item.size for item in self.waiting if item.rank <= rank)
        before = self.in_flight + ahead
        if not before or before + size <= self.max_in_flight:
            return 0.0
        return before / self.bytes_per_second

    def crossing_seconds(self, size):
        """Return how long a body is under way while the link is busy."""
        return (self.max_in_flight + size) / self.bytes_per_second

    def enter(self, rank, deadline, size, start):
        """Have a body come, at once or when the link has room for it.

        :param start: called once, without arguments.
        :returns: the Crossing, to pass to ``leave``.
        """
        self.last_sequence += 1
        crossing = Crossing(rank, deadline, self.last_sequence, size, start)
        insort(self.waiting, crossing)
        self._start_next()
        return crossing

    def leave(self, crossing):
        """Record that a body is here, or won't come."""
        if crossing.started:
            self.in_flight -= crossing.size
        elif crossing in self.waiting:
            self.waiting.remove(crossing)
        self._start_next()

    def _start_next(self):
        while self.waiting and (
            not self.in_flight
            or self.in_flight + self.waiting[0].size <= self.max_in_flight
        ):
            crossing = self.waiting.pop(0)
            crossing.started = True
            self.in_flight += crossing.size
            crossing.start()
