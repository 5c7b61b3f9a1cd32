"""Bound the requests that a cold endpoint gets in any one second.

An endpoint that has just started, or that has become cold again, fails under
more requests than its service's ``cold_calls_per_second``. Only its own node
sends to it, so that this bound holds for all senders together, on a sliding
window: a burst and a steady rate beside it would add up to twice the bound.
"""

from collections import deque
from math import ceil
from math import inf

WINDOW_SECONDS = 1.0
# Of the times of earlier requests, as many are kept at most. More are never
# needed while an endpoint is cold.
MAX_KEPT_TIMES = 4_096


class ColdGate:
    """The times of an endpoint's last requests, and until when it is cold.

    Requests that it got while it was warm count as well: it may have become
    cold after any of them.

    :param known_since: from when on all requests to the endpoint are known.
        A process that starts knows nothing of what the one before it sent.
    """

    def __init__(self, known_since):
        self.known_since = known_since
        self.cold_until = 0.0
        self.born = 0.0
        # Set while the endpoint may have become cold without having told.
        self.is_doubtful = False
        self.sent_at = deque(maxlen=MAX_KEPT_TIMES)

    def record(self, now):
        """Record a request that is sent to the endpoint."""
        self.sent_at.append(now)

    def hear(self, cold_until, born=0.0):
        """Learn from the endpoint until when it is cold.

        :param born: when it started, in seconds on the gate's clock. One that
            started after the process has got nothing that is not known.
        """
        self.cold_until = cold_until
        self.born = born
        self.is_doubtful = False

    def doubt(self):
        """Take the endpoint for cold until it tells of itself again."""
        self.is_doubtful = True

    def is_cold(self, now):
        """Return whether the endpoint is, or may be, cold."""
        return self.is_doubtful or now < self.cold_until

    def cold_seconds(self, now):
        """Return how much longer the endpoint is known to be cold."""
        return max(0.0, self.cold_until - now)

    def wait(self, rate, now, ahead=0):
        """Return the seconds until another request may be sent.

        :param rate: the cold_calls_per_second, None if not known, which
            admits nothing while the endpoint is cold, or 0 for no limit.
        :param ahead: requests that are to be sent before it.
        """
        if rate == 0 or not self.is_cold(now):
            return 0.0
        if rate is None:
            return inf
        most = ceil(rate)
        window = max(WINDOW_SECONDS, most / rate)
        blind = 0.0
        if self.born <= self.known_since:
            blind = self.known_since + window - now
        ahead_windows, ahead = divmod(ahead, most)
        opens_at = now
        if len(self.sent_at) >= most - ahead:
            opens_at = self.sent_at[ahead - most] + window
        return max(blind, opens_at - now, 0.0) + ahead_windows * window
