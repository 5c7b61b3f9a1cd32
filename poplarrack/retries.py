"""Decide whether and when to retry: backoff, circuit breaker and budget."""

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum


@dataclass(frozen=True)
class Backoff:
    """Exponential backoff with full jitter."""

    initial_seconds: float = 0.2
    max_seconds: float = 10.0

    def delay(self, failures, random):
        """Return the delay before the next attempt, in seconds.

        The delay is drawn uniformly between 0 and a bound that doubles with
        each failure (full jitter).

        :param failures: number of consecutive failures, at least 1.
        :param random: a ``random.Random``.
        """
        bound = self.initial_seconds * 2 ** min(failures - 1, 30)
        return random.uniform(0, min(self.max_seconds, bound))


@dataclass(frozen=True)
class CircuitBreaker:
    """An immutable circuit breaker for a dependency that keeps failing.

    The circuit opens for ``open_seconds`` after ``threshold`` consecutive
    failures and then lets calls through again: a further failure reopens
    it, a success closes it.
    """

    threshold: int = 5
    open_seconds: float = 2.0
    failures: int = 0
    opened_at: float = 0.0

    def allows(self, now):
        """Return whether a call may be made now."""
        if self.failures < self.threshold:
            return True
        return now - self.opened_at >= self.open_seconds

    def record(self, succeeded, now):
        """Return the circuit breaker after the outcome of a call."""
        if succeeded:
            return replace(self, failures=0)
        return replace(self, failures=self.failures + 1, opened_at=now)


class RetryBudget:
    """A token bucket that limits retries to a ratio of the calls.

    Each call adds ``ratio`` of a token and each retry takes one, so that
    retries increase the load by at most that ratio. The bucket starts full,
    so that a node with few calls can retry too.

    :param ratio: retries allowed per call.
    :param capacity: tokens that the bucket holds at most.
    """

    def __init__(self, ratio=0.1, capacity=10.0):
        self.ratio = ratio
        self.capacity = capacity
        self.tokens = capacity

    def record_call(self):
        """Add the tokens that a call earns."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def try_acquire(self):
        """Take a token for a retry; return False when none is left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Failure(Enum):
    """How an attempt failed, by what is known of the call's execution."""

    NEVER_SENT = 'never_sent'
    REFUSED = 'refused'
    LOST = 'lost'
    TIMED_OUT = 'timed_out'
    FAILED_ANSWER = 'failed_answer'


KNOWN_NOT_RUN = frozenset((Failure.NEVER_SENT, Failure.REFUSED))
MAX_ATTEMPTS = 3


@dataclass(frozen=True)
class FailedAttempt:
    """A failed attempt and the facts that a retry depends on.

    ``attempts`` counts the attempts so far and ``depth`` the nodes that the
    call passed before this one. ``repeatable`` says that the route allows a
    call to run more than once.
    """

    failure: Failure
    attempts: int
    repeatable: bool
    depth: int
    deadline: float


def may_retry(attempt, budget, now):
    """Return whether a call may be retried; a retry takes a token.

    A call that is not repeatable is retried only if it is known not to have
    run. Only the first node of a call chain retries a call that may have
    run, so that retries don't multiply along the chain. A call that timed
    out is not retried.

    :param attempt: the FailedAttempt.
    :param budget: the RetryBudget to take from.
    :param now: the time, in seconds on the clock of the deadline.
    """
    if attempt.attempts >= MAX_ATTEMPTS or now >= attempt.deadline:
        return False
    if attempt.failure not in KNOWN_NOT_RUN:
        if not attempt.repeatable or attempt.depth > 0:
            return False
        if attempt.failure is Failure.TIMED_OUT:
            return False
    return budget.try_acquire()
