"""Choose the endpoint for a request by its expected latency.

Pure functions over the state that a sending node keeps of each endpoint. In
a large group, the better of two endpoints drawn at random is chosen: nodes
that know the same old loads would all choose the same best one.
"""

from dataclasses import dataclass

from poplarrack.destination_states import DestinationState
from poplarrack.destination_states import EJECTION_FAILURE_RATE
from poplarrack.destination_states import ROUND_TRIP_SECONDS
from poplarrack.destination_states import Tier

# An endpoint is ejected from load balancing after this many consecutive
# failures, or at EJECTION_FAILURE_RATE.
EJECTION_CONSECUTIVE_FAILURES = 5
# A failure rate that an endpoint's node reports counts if it is this many
# times the mean of its service.
OUTLIER_FACTOR = 2.0
# Fraction of a service's endpoints that may be ejected at a time.
MAX_EJECTED_FRACTION = 0.34
# Fraction of the remaining deadline that a request may wait for a slot while
# another endpoint may have a free one, and the multiple of the service time
# that must be left of the target latency after the wait.
MAX_WAIT_FRACTION = 0.2
SERVICE_TIME_ALLOWANCE = 1.3
# Endpoints drawn from a tier, and how many of them that can answer in time
# are compared. The endpoints of a small tier are all compared.
MAX_DRAWN = 8
COMPARED_ENDPOINTS = 2
SMALL_TIER = 4
# Fraction of the remaining deadline that the wait and the answer may take
# together when every endpoint is busy.
QUEUE_DEADLINE_FRACTION = 0.9
# Fraction of an endpoint's slots that must be free to admit a request from
# each tier, so that two busy regions do not exchange their overload over
# expensive links.
SPARE_SLOT_FRACTION = {
    Tier.OWN: 0.0,
    Tier.ZONE: 0.0,
    Tier.REGION: 0.0,
    Tier.FAR: 0.1,
}


@dataclass(frozen=True)
class RemainingTime:
    """Time that a request has left.

    ``target_seconds`` is what remains of the target latency,
    ``deadline_seconds`` what remains until the deadline. ``run_factor`` is
    how long requests of its route run, in multiples of the mean service time
    of an endpoint, which runs those of other routes too.
    """

    target_seconds: float
    deadline_seconds: float
    run_factor: float = 1.0


@dataclass(frozen=True)
class Placement:
    """The chosen endpoint, and how long a request may wait for a slot there.

    ``spare_slot_fraction`` is the fraction of the endpoint's slots that must
    be free to admit the request.
    """

    state: DestinationState
    max_wait_seconds: float
    spare_slot_fraction: float = 0.0


# The tiers that are tried together, nearest first.
TIER_GROUPS = ((Tier.OWN, Tier.ZONE), (Tier.REGION,), (Tier.FAR,))


class DestinationGroup:
    """The DestinationStates of a service, or of some of its versions.

    ``by_tiers`` has those of each of TIER_GROUPS.
    """

    def __init__(self, states=()):
        self.states = tuple(states)
        self.by_tiers = tuple(
            tuple(
                state
                for state in self.states
                if state.destination.tier in tiers
            )
            for tiers in TIER_GROUPS
        )
        self.splits = {}
        # Those that pass a filter of ``candidates``, by filter.
        self.filtered = {}

    def __iter__(self):
        return iter(self.states)

    def __len__(self):
        return len(self.states)

    def split_by_version(self, version):
        """Return the groups of a version's endpoints and of all others."""
        split = self.splits.get(version)
        if split is None:
            new, old = [], []
            for state in self.states:
                is_new = state.destination.endpoint.version == version
                (new if is_new else old).append(state)
            split = self.splits[version] = (
                DestinationGroup(new),
                DestinationGroup(old),
            )
        return split


def may_eject(state, group, now):
    """Return whether an endpoint's failures justify an ejection.

    Never when too large a fraction of the service's endpoints is ejected
    already: a misleading signal must not leave a service without endpoints.

    :param group: the DestinationStates of the service.
    """
    too_many_in_row = (
        state.consecutive_failures >= EJECTION_CONSECUTIVE_FAILURES
    )
    if (
        not too_many_in_row
        and state.failure_rate < EJECTION_FAILURE_RATE
        and not _is_reported_failing(state, group)
    ):
        return False
    ejected = sum(1 for other in group if other.ejected_until > now)
    return ejected + 1 <= MAX_EJECTED_FRACTION * len(group)


def _is_reported_failing(state, group):
    """Return whether an endpoint's node sees far more failures than others.

    If most endpoints fail, the cause is elsewhere, such as a service that all
    of them call.
    """
    rate = state.reported_failure_rate
    # The last endpoint may have left before its answer came.
    if rate < EJECTION_FAILURE_RATE or not group:
        return False
    mean = sum(other.reported_failure_rate for other in group) / len(group)
    return rate >= OUTLIER_FACTOR * mean


def choose_destination(group, remaining, tried, now, random):
    """Choose the endpoint for a request's next attempt.

    The nearest tier that can answer within the target latency takes
    precedence, so that traffic stays local. Ejected endpoints are a last
    resort.

    :param group: the DestinationGroup of the service.
    :param remaining: the request's RemainingTime.
    :param tried: ids of the instances that are not to be tried again.
    :param random: a ``random.Random`` that draws endpoints and breaks ties.
    :returns: a Placement, or None when no endpoint is expected to answer
        within the target latency after a short enough wait.
    """
    for with_ejected in (False, True):
        any_usable = False
        for tiers, members in zip(TIER_GROUPS, group.by_tiers):
            drawn = _draw(members, tried, now, random, with_ejected)
            any_usable = any_usable or bool(drawn)
            is_small = len(members) <= SMALL_TIER
            most = len(members) if is_small else COMPARED_ENDPOINTS
            best = _find_fastest(drawn, most, remaining, now)
            if best is not None:
                return Placement(
                    best,
                    wait_bound(best, remaining),
                    SPARE_SLOT_FRACTION[tiers[0]],
                )
        if any_usable:
            return None
    return None


def _find_fastest(states, most, remaining, now):
    """Return the fastest of the first endpoints that can answer in time.

    :param most: how many of those that can are compared.
    """
    fastest, least_seconds, compared = None, 0.0, 0
    for state in states:
        seconds = state.expected_latency(now, remaining.run_factor)
        if seconds > remaining.target_seconds:
            continue
        if state.expected_wait(now) > wait_bound(state, remaining):
            continue
        if fastest is None or seconds < least_seconds:
            fastest, least_seconds = state, seconds
        compared += 1
        if compared == most:
            break
    return fastest


def wait_bound(state, remaining):
    """Return the seconds that a request may wait to be answered in time."""
    spare_seconds = (
        remaining.target_seconds
        - ROUND_TRIP_SECONDS[state.destination.tier]
        - SERVICE_TIME_ALLOWANCE * remaining.run_factor * state.service_seconds
    )
    return max(
        0.0,
        min(remaining.deadline_seconds * MAX_WAIT_FRACTION, spare_seconds),
    )


def choose_queue(group, remaining, tried, now, random, already_offered):
    """Choose the endpoint whose queue a request joins when all are busy.

    The request may wait as long as its answer can still meet the deadline;
    in the far region only where no nearer queue is short enough. The other
    parameters are those of ``choose_destination``.

    :param already_offered: whether a node refused the request as busy. If
        not, the fastest endpoint is chosen whatever its expected wait, since
        the recorded occupancies may be stale.
    :returns: a Placement, or None when no answer can come in time.
    """
    *near, far = group.by_tiers
    for with_ejected in (False, True):
        any_usable = False
        for members in (sum(near, ()), far):
            drawn = _draw(members, tried, now, random, with_ejected)
            if not drawn:
                continue
            any_usable = True
            best = min(
                drawn,
                key=lambda state: state.expected_latency(
                    now, remaining.run_factor
                ),
            )
            max_wait = _max_queueing(best, remaining)
            if max_wait > 0 and (
                not already_offered or max_wait >= best.expected_wait(now)
            ):
                return Placement(best, max_wait)
        if any_usable:
            return None
    return None


def choose_trial(group, remaining, now, random):
    """Choose an endpoint that may have become faster than it is known to be.

    Without requests, nothing else would show that.

    :returns: a Placement, or None where no endpoint may be tried.
    """
    for members in group.by_tiers:
        drawn = _draw(members, (), now, random, with_ejected=False)
        if drawn:
            best = min(
                drawn,
                key=lambda state: state.expected_latency(
                    now, remaining.run_factor
                ),
            )
            return Placement(best, 0.0)
    return None


def _max_queueing(state, remaining):
    """Return the seconds that a request may wait to meet its deadline."""
    answer_seconds = (
        remaining.run_factor * state.service_seconds
        + ROUND_TRIP_SECONDS[state.destination.tier]
    )
    return (
        remaining.deadline_seconds * QUEUE_DEADLINE_FRACTION - answer_seconds
    )


def _draw(members, tried, now, random, with_ejected):
    """Return endpoints of a tier that may be tried, in random order."""
    drawn = random.sample(members, min(MAX_DRAWN, len(members)))
    return [
        state
        for state in drawn
        if now >= state.away_until
        and (with_ejected or state.ejected_until <= now)
        and state.destination.endpoint.instance_id not in tried
    ]
