"""Judge an endpoint by all answers that its own node sees.

Each sending node of a large mesh sees few answers of an endpoint, its own
node sees all of them.
"""

from math import exp

# Weight of the newest answer in the moving average.
FAILURE_EWMA_WEIGHT = 0.1
# The average falls by the factor e in this time, so that an endpoint that
# gets no requests any more is tried again.
DECAY_SECONDS = 3.0


class FailureRate:
    """The moving average of an endpoint's failures, from 0 to 1."""

    def __init__(self):
        self.rate = 0.0
        self.recorded_at = 0.0

    def record(self, failed, now):
        """Record whether a request failed.

        :param now: seconds, as for ``at``.
        """
        rate = self.at(now)
        self.rate = rate + FAILURE_EWMA_WEIGHT * (failed - rate)
        self.recorded_at = now

    def at(self, now):
        """Return the average now, less for the time since the last answer."""
        if not self.rate:
            return 0.0
        return self.rate * exp((self.recorded_at - now) / DECAY_SECONDS)
