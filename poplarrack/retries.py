"""Decide when to try again: budgets, full jitter and circuits."""

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum


@dataclass(frozen=True)
class Backoff:
    """Bounds of a delay that doubles with each failure, in seconds."""

    initial_seconds: float = 0.2
    max_seconds: float = 10.0

    def delay(self, failures, random):
        """Return a delay drawn evenly up to the bound (full jitter).

        :param failures: failures in a row, 1 or more.
        :param random: a ``random.Random``.
        """
        doubled = self.initial_seconds * 2 ** min(failures - 1, 30)
        return random.uniform(0, min(self.max_seconds, doubled))


@dataclass(frozen=True)
class CircuitBreaker:
    """Stop calling a service that keeps failing.

    Open for ``open_seconds`` after ``threshold`` failures in a row, then
    lets one call through.
    """

    threshold: int = 5
    open_seconds: float = 2.0
    failures: int = 0
    opened_at: float = 0.0

    def allows(self, now):
        """Say whether a call may be made now."""
        if self.failures < self.threshold:
            return True
        return now - self.opened_at >= self.open_seconds

    def record(self, succeeded, now):
        """Return the circuit after a call's outcome."""
        if succeeded:
            return replace(self, failures=0)
        return replace(self, failures=self.failures + 1, opened_at=now)


class RetryBudget:
    """Allow retries as a ratio of recent calls.

    Each call adds ``ratio`` of a token and each retry takes one, so that
    retries add at most that ratio to the load; ``capacity`` tokens let a
    quiet node retry too.
    """

    def __init__(self, ratio=0.1, capacity=10.0):
        self.ratio = ratio
        self.capacity = capacity
        self.tokens = capacity

    def record_call(self):
        """Add a call's part of a retry."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def try_acquire(self):
        """Take one retry; return False when the budget is spent."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Failure(Enum):
    """How an attempt at a call failed, by what is sure of it."""

    NEVER_SENT = 'never_sent'
    REFUSED = 'refused'
    LOST = 'lost'
    TIMED_OUT = 'timed_out'
    FAILED_ANSWER = 'failed_answer'


SURELY_NOT_RUN = frozenset((Failure.NEVER_SENT, Failure.REFUSED))
MAX_ATTEMPTS = 3


@dataclass(frozen=True)
class FailedAttempt:
    """A call's history as far as a retry depends on it.

    ``depth`` is how many nodes the call passed before this one; only the
    first repeats what may have run, so that retries do not multiply.
    """

    failure: Failure
    attempts: int
    repeatable: bool
    depth: int
    deadline: float


def may_retry(attempted, budget, now):
    """Say whether a call may be tried again; takes from the budget.

    What may not be repeated goes again only when it surely did not run.
    """
    if attempted.attempts >= MAX_ATTEMPTS or now >= attempted.deadline:
        return False
    if attempted.failure not in SURELY_NOT_RUN:
        if not attempted.repeatable or attempted.depth > 0:
            return False
        if attempted.failure is Failure.TIMED_OUT:
            return False
    return budget.try_acquire()
