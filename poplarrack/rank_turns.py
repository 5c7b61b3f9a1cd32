"""Bound how far better ranks go before worse ones.

Load answered: requests of a better rank that fill an endpoint by themselves
for seconds. In strict order, none of a worse rank would run meanwhile.

A rank of which too small a fraction runs, compared with all that the endpoint
is asked for, is served before better ones until that is made up for. The
fraction is never raised above that of all, so that a worse rank isn't served
more often than better ones.
"""

from dataclasses import dataclass
from math import exp

# What was asked and served counts less by the factor e in this time.
MEMORY_SECONDS = 3.0
# Least fraction of a rank that is served, as a part of that of all ranks.
LEAST_PART = 0.8
# Requests of which a rank is assumed to have asked and been served before.
ASSUMED_REQUESTS = 1.0
MAX_REMEMBERED_RANKS = 256


@dataclass(slots=True)
class RankLoad:
    """How many requests of a rank were asked for and served of late."""

    asked: float = 0.0
    served: float = 0.0
    counted_at: float = 0.0

    def fade(self, now):
        """Let what was counted before count less."""
        weight = exp((self.counted_at - now) / MEMORY_SECONDS)
        self.asked *= weight
        self.served *= weight
        self.counted_at = now


class RankTurns:
    """How often each rank was served, and whose turn it is."""

    def __init__(self):
        self.loads = {}
        self.total = RankLoad()

    def _load_of(self, rank, now):
        load = self.loads.get(rank)
        if load is None:
            if len(self.loads) >= MAX_REMEMBERED_RANKS:
                self.loads.clear()
            load = self.loads[rank] = RankLoad(counted_at=now)
        load.fade(now)
        self.total.fade(now)
        return load

    def ask(self, rank, now):
        """Record a request that was offered, admitted or not."""
        self._load_of(rank, now).asked += 1
        self.total.asked += 1

    def serve(self, rank, now):
        """Record a request that starts to run."""
        self._load_of(rank, now).served += 1
        self.total.served += 1

    def fraction(self, rank, now):
        """Return the fraction of a rank's requests that were served."""
        return _fraction(self._load_of(rank, now))

    def is_behind(self, rank, now):
        """Return whether a rank was served too seldom, compared with all."""
        if len(self.loads) < 2:
            return False
        least = LEAST_PART * min(1.0, _fraction(self.total))
        return self.fraction(rank, now) < least

    def next_rank(self, ranks, now):
        """Return the rank whose turn it is.

        :param ranks: those that wait, the best one first; not empty.
        """
        behind = [rank for rank in ranks[1:] if self.is_behind(rank, now)]
        if not behind:
            return ranks[0]
        return min(behind, key=lambda rank: self.fraction(rank, now))


def _fraction(load):
    return (load.served + ASSUMED_REQUESTS) / (load.asked + ASSUMED_REQUESTS)
