"""Count durations in fixed buckets, cheaply enough for each call."""

from bisect import bisect_left

# Upper bounds in seconds.
BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class Histogram:
    """Counts by bucket, the last one without a bound, and the sum."""

    def __init__(self):
        self.counts = [0] * (len(BOUNDS) + 1)
        self.total_seconds = 0.0

    def observe(self, seconds):
        """Count a duration."""
        self.counts[bisect_left(BOUNDS, seconds)] += 1
        self.total_seconds += seconds

    def cumulative(self):
        """Return pairs of a bound as text and the count up to it."""
        pairs, seen = [], 0
        for bound, count in zip((*BOUNDS, None), self.counts):
            seen += count
            pairs.append(('+Inf' if bound is None else str(bound), seen))
        return pairs
