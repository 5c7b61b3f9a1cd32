"""Recognise calls that their callers send again.

A call that comes back after a refusal is a new one to the mesh, but its caller
has waited since the first one. It asks for what is left of the same time, so
that both have to be answered by the same moment.
"""

from bisect import bisect_left
from bisect import insort

# How far the deadlines of a call and of the one before it may lie apart: what
# they spend on the way to this node differs.
TOLERANCE_SECONDS = 0.01
# Calls of one key that are remembered.
MAX_REMEMBERED = 256


class ReturningCalls:
    """Calls that were not served, by when their callers stop waiting.

    ``ended`` has pairs of the caller's deadline and of when its first call
    came, in order, by key.
    """

    def __init__(self):
        self.ended = {}

    def record(self, key, deadline, first_at, now):
        """Remember a call that ended without being served.

        :param key: what a call that comes back has in common with it.
        :param deadline: when its caller stops waiting.
        :param first_at: when the caller's first call came.
        """
        if deadline <= now:
            return
        calls = self.ended.setdefault(key, [])
        del calls[: bisect_left(calls, (now, 0.0))]
        if len(calls) < MAX_REMEMBERED:
            insort(calls, (deadline, first_at))

    def take(self, key, deadline, now):
        """Return when the first call came of the caller of a new one.

        :returns: ``now`` for a call that has not been here before.
        """
        calls = self.ended.get(key)
        if not calls:
            return now
        index = bisect_left(calls, (deadline - TOLERANCE_SECONDS, 0.0))
        near = [
            (abs(calls[place][0] - deadline), place)
            for place in range(index, min(index + 2, len(calls)))
        ]
        distance, place = min(near, default=(TOLERANCE_SECONDS, 0))
        if distance >= TOLERANCE_SECONDS:
            return now
        return calls.pop(place)[1]

    def expire(self, now):
        """Forget the calls whose callers no longer wait."""
        for key, calls in list(self.ended.items()):
            del calls[: bisect_left(calls, (now, 0.0))]
            if not calls:
                del self.ended[key]
