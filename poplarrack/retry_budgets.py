"""Keep repeats within a bound that all nodes of a mesh share.

Nodes don't talk about it: each has a part of the bound that follows from the
calls that it sends, so that the parts add up to the whole.
"""

from dataclasses import dataclass
from math import exp

# Fraction of the window whose calls a bucket may have saved up retries from.
BURST_FRACTION = 0.1
# Fraction of the slack that nodes of one level may save up retries from.
# Each such retry leads to calls at the next level, which the rest is for.
RESERVED_SLACK_FRACTION = 0.25


@dataclass(frozen=True)
class RetryLimits:
    """Bound on the repeats that all nodes together send to a service.

    In any ``window_seconds``, the nodes send a service at most ``ratio``
    repeats per call to it and ``slack`` more. A repeat is an arrival at an
    endpoint beyond the first of a call, or a call that a repeated run makes.
    ``levels`` is the number of services that call each other in a chain.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window_seconds: float = 10.0
    levels: int = 2

    @property
    def burst_seconds(self):
        """Return from how many seconds of calls retries may be saved up."""
        return BURST_FRACTION * self.window_seconds

    @property
    def retry_ratio(self):
        """Return the retries that a call earns.

        Repeated runs repeat their calls at the next level, where they add to
        the retries of that level. A window may also hold retries that were
        saved up before it.
        """
        return self.ratio / self.levels / (1 + BURST_FRACTION)

    def node_reserve(self, node_count):
        """Return the retries that a node may save up at any call rate."""
        return RESERVED_SLACK_FRACTION * self.slack / node_count


class RetryBucket:
    """A token bucket of retries whose capacity grows with the call rate.

    It starts empty: a node that restarts would otherwise have its burst
    twice in a window.
    """

    def __init__(self):
        self.tokens = 0.0
        # Calls in the burst time, as an exponentially decaying count.
        self.recent_calls = 0.0
        self.counted_at = 0.0

    def record_call(self, limits, now):
        """Add what a call earns."""
        self.recent_calls = self._recent_calls(limits, now) + 1
        self.counted_at = now
        self.tokens += limits.retry_ratio

    def _recent_calls(self, limits, now):
        elapsed = now - self.counted_at
        return self.recent_calls * exp(-elapsed / limits.burst_seconds)

    def available(self, limits, reserve, now):
        """Return the tokens, after those beyond the capacity are dropped."""
        capacity = reserve + limits.retry_ratio * self._recent_calls(
            limits, now
        )
        self.tokens = min(self.tokens, capacity)
        return self.tokens


class SharedRetryBudget:
    """A node's part of the retries that all nodes may send to a service.

    Each route has a bucket besides that of the service: if the calls of all
    routes earned retries for one of them, the services that its runs call
    would get more repeats than its calls of them allow.

    :param limits: the RetryLimits of all nodes together.
    :param random: a ``random.Random``.
    """

    def __init__(self, limits, random):
        self.limits = limits
        self.random = random
        self.bucket = RetryBucket()
        self.route_buckets = {}

    def record_call(self, route, now):
        """Count a call.

        :param route: the route's name.
        """
        bucket = self.route_buckets.get(route)
        if bucket is None:
            bucket = self.route_buckets[route] = RetryBucket()
        bucket.record_call(self.limits, now)
        self.bucket.record_call(self.limits, now)

    def keep_only(self, routes):
        """Forget all routes but those with the given names, a set."""
        for route in set(self.route_buckets) - routes:
            del self.route_buckets[route]

    def try_acquire(self, route, node_count, now):
        """Take a token for a retry; return whether it may be sent.

        Less than a token is taken too, and grants the retry with that
        probability: at many nodes with small parts, rounding down would
        leave no retries and rounding up one more for each node.

        :param route: the name of the call's route.
        :param node_count: the number of nodes in the mesh.
        """
        bucket = self.route_buckets.get(route)
        if bucket is None:
            return False
        reserve = self.limits.node_reserve(node_count)
        buckets = (self.bucket, bucket)
        available = min(
            item.available(self.limits, reserve, now) for item in buckets
        )
        taken = min(1.0, available)
        for item in buckets:
            item.tokens -= taken
        return self.random.random() < taken
