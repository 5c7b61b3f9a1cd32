"""Policies of moves: their schedules and how much evidence they ask for."""

from dataclasses import dataclass

POLICIES = {}

# Pairs of the fraction of the window at which a step begins and its share.
# The last step leaves some calls on the old version, so that the two
# versions can be compared until the move is completed.
DEFAULT_SCHEDULE = (
    (0.00, 0.01),
    (0.12, 0.02),
    (0.30, 0.05),
    (0.46, 0.10),
    (0.60, 0.25),
    (0.72, 0.50),
    (0.82, 0.90),
)

# For moves at whose end the old servers stop. A bad version must not get
# more than a tenth of the calls, so the larger shares come late and are
# short. The share reaches 100% before the end, so that the old servers are
# idle when they stop.
REPLACEMENT_SCHEDULE = (
    (0.00, 0.02),
    (0.15, 0.04),
    (0.60, 0.08),
    (0.72, 0.20),
    (0.79, 0.50),
    (0.85, 1.00),
)


# Fraction of the window from which a move may be completed.
COMPLETION_FRACTION = 0.95


@dataclass(frozen=True)
class Policy:
    """A trade-off between safe rollback and completion in time.

    ``withdrawal_threshold`` is the Bayes factor at which a move is withdrawn.
    ``min_calls_per_step`` is the number of calls to the new version that
    must be seen at a share before the next one. A service with fewer calls
    than that is moved in time all the same if ``complete_if_inconclusive``,
    and otherwise held for an operator. ``schedule`` pairs fractions of the
    window with the share that begins there. ``stops_old_servers`` means that
    the old backend servers stop when the move is completed, so that it can't
    be watched or withdrawn afterwards.
    """

    name: str
    withdrawal_threshold: float
    min_calls_per_step: int
    complete_if_inconclusive: bool
    schedule: tuple[tuple[float, float], ...] = DEFAULT_SCHEDULE
    stops_old_servers: bool = False

    @property
    def last_share(self):
        """Return the share of the schedule's last step."""
        return self.schedule[-1][1]

    def stage_end(self, share):
        """Return the fraction of the window at which a share is to end."""
        later = [start for start, step in self.schedule if step > share]
        return later[0] if later else COMPLETION_FRACTION

    def stage_fraction(self, share):
        """Return the fraction of the window that a share is scheduled for."""
        starts = [start for start, step in self.schedule if step <= share]
        return self.stage_end(share) - (starts[-1] if starts else 0.0)


def register_policy(build):
    """Register the policy that a function builds under its name."""
    policy = build()
    POLICIES[policy.name] = policy
    return build


@register_policy
def take_back_first():
    """Prefer safe rollback; hold on inconclusive evidence."""
    return Policy('take_back_first', 1_000.0, 50, False)


@register_policy
def done_in_time():
    """Prefer the deadline; complete on inconclusive evidence."""
    return Policy('done_in_time', 5_000.0, 20, True)


@register_policy
def balanced():
    """Balance both aims; hold on inconclusive evidence."""
    return Policy('balanced', 2_000.0, 30, False)


@register_policy
def replace_at_end():
    """Complete in time where the old servers stop at the end."""
    return Policy(
        'replace_at_end',
        1_000.0,
        20,
        True,
        REPLACEMENT_SCHEDULE,
        stops_old_servers=True,
    )
