"""Keep what a node knows of organisations' calls and of other nodes'."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from math import exp

# Time constant of mean rates, and of those of a node that gets few calls.
RATE_SECONDS = 1.0
SLOW_RATE_SECONDS = 8.0
# Least time that counts are taken for.
MIN_ELAPSED_SECONDS = 0.2
# After which a node that tells no counts is taken for cut off.
SILENCE_SECONDS = 1.5


@dataclass(slots=True)
class Rate:
    """A mean number per second of what is counted."""

    value: float = 0.0
    counted_at: float = 0.0
    seconds: float = RATE_SECONDS

    def add(self, number, now):
        """Count a number of events that have happened by now."""
        self.value = self.at(now) + number / self.seconds
        self.counted_at = now

    def at(self, now):
        """Return the rate, which decays while nothing is counted."""
        elapsed = max(0.0, now - self.counted_at)
        return max(0.0, self.value * exp(-elapsed / self.seconds))


@dataclass(slots=True)
class Reporter:
    """A node that tells its counts: its rates and when it was heard.

    ``rates`` are pairs of the calls per second made and passed, as means that
    stay as they are while nothing is heard, by organisation,
    ``parts`` its parts of the calls made when it was last heard, and
    ``usual_part`` what it is taken to have had of others.
    """

    heard_at: float
    rates: dict = field(default_factory=dict)
    parts: dict = field(default_factory=dict)
    usual_part: float = 0.0

    def is_silent(self, now):
        """Return whether it seems to be cut off."""
        return now - self.heard_at > SILENCE_SECONDS

    def learn(self, counts, now):
        """Record what was counted since the node was last heard."""
        elapsed = max(MIN_ELAPSED_SECONDS, now - self.heard_at)
        self.heard_at = now
        weight = 1 - exp(-elapsed / RATE_SECONDS)
        by_name = {count.organisation: count for count in counts}
        for name in self.rates.keys() | by_name.keys():
            count = by_name.get(name)
            numbers = (count.made, count.passed) if count else (0, 0)
            self.rates[name] = tuple(
                rate + weight * (number / elapsed - rate)
                for rate, number in zip(
                    self.rates.get(name, (0.0, 0.0)), numbers
                )
            )

    def made_per_second(self, organisation):
        """Return the calls of an organisation."""
        return max(0.0, self.rates.get(organisation, (0.0, 0.0))[0])


@dataclass(slots=True)
class LimitState:
    """What a node knows of an organisation's calls.

    ``made_per_second`` and ``level`` are over all nodes. ``tokens`` are those
    of the node's own bucket, ``credit`` is what is left of the fractions of
    calls that may pass. ``past_rates`` are pairs of time and own rates.
    ``made`` and ``passed`` are not told yet, ``taken`` passed on all nodes and
    is not in ``level`` yet.
    """

    tokens: float
    credit: float
    filled_at: float
    own: Rate = field(default_factory=Rate)
    slow: Rate = field(default_factory=lambda: Rate(seconds=SLOW_RATE_SECONDS))
    made_per_second: float = -1.0
    level: float = 0.0
    part: float = 0.0
    slow_part: float = 0.0
    past_rates: deque = field(default_factory=deque)
    made: int = 0
    passed: int = 0
    taken: int = 0
