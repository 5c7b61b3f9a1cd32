"""Choose the endpoint for a request by its expected latency.

Pure functions over the state that a sending node keeps of each endpoint. In
a large group, the better of two endpoints drawn at random is chosen: nodes
that know the same old loads would all choose the same best one.
"""

from dataclasses import dataclass
from enum import IntEnum
from math import exp

from poplarrack.members import Endpoint

# Weight of the newest answer in the moving average of failures.
FAILURE_EWMA_WEIGHT = 0.15
# An endpoint is ejected from load balancing after this many consecutive
# failures, or at this failure rate.
EJECTION_CONSECUTIVE_FAILURES = 5
EJECTION_FAILURE_RATE = 0.4
# A failure rate that an endpoint's node reports counts if it is this many
# times the mean of its service.
OUTLIER_FACTOR = 2.0
# The first ejection lasts this long; each further one twice as long as the
# one before, up to the bounds.
INITIAL_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 8.0
MAX_EJECTION_DOUBLINGS = 8
# Fraction of a service's endpoints that may be ejected at a time.
MAX_EJECTED_FRACTION = 0.34
# Weight of the newest report in the moving average of an endpoint's load.
USUAL_LOAD_EWMA_WEIGHT = 0.3
# A reported load approaches the usual one as the requests behind it end: by
# the factor e in a service time, or in this time if that is longer.
MIN_LOAD_DECAY_SECONDS = 0.2
# A report whose weight has fallen to this no longer counts.
MIN_REPORT_WEIGHT = 0.01
# Reported waits that are older than this are ignored.
MAX_WAIT_AGE_SECONDS = 0.5
# Slow start: a new endpoint answers slowly at first and is offered only a
# fraction of its slots. It is counted from when this node learnt of the
# endpoint, not from its announcement as the Dispatcher's is.
SLOW_START_SECONDS = 3.0
SLOW_START_FRACTION = 0.4
# Added to an endpoint's expected latency, in multiples of its service time:
# when all its slots are used, and at a failure rate of 1.
FULL_LOAD_PENALTY = 0.5
FAILURE_PENALTY = 2
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


class Tier(IntEnum):
    """Network distance of an endpoint from the sending node.

    The numbers differ from those of ``Locality.tier``, which has no tier for
    the sending node's own endpoint.
    """

    OWN = 0
    ZONE = 1
    REGION = 2
    FAR = 3


# Assumed duration of one round trip to each tier.
ROUND_TRIP_SECONDS = {
    Tier.OWN: 0.0,
    Tier.ZONE: 0.0005,
    Tier.REGION: 0.003,
    Tier.FAR: 0.061,
}
# Fraction of an endpoint's slots that must be free to admit a request from
# each tier, so that two busy regions do not exchange their overload over
# expensive links.
SPARE_SLOT_FRACTION = {
    Tier.OWN: 0.0,
    Tier.ZONE: 0.0,
    Tier.REGION: 0.0,
    Tier.FAR: 0.1,
}


@dataclass(frozen=True, slots=True)
class Destination:
    """An endpoint and the node that serves it as a sidecar."""

    node_id: str
    peer_address: str
    endpoint: Endpoint
    tier: Tier


class DestinationState:
    """Load, latency and failures of one endpoint, as a sending node sees them.

    ``ejected_until`` is when an ejection for failures ends, ``away_until``
    until when the endpoint is avoided after its node did not answer or could
    not run a request. ``reported_running`` includes the requests that wait.

    :param skip_slow_start: whether the endpoint gets all its slots at once.
    """

    def __init__(self, destination, now, skip_slow_start):
        self.destination = destination
        self.seen_at = now
        self.slow_start_until = (
            now if skip_slow_start else now + SLOW_START_SECONDS
        )
        self.in_flight = 0
        self.usual_running = None
        self.reported_running = 0
        self.reported_wait_seconds = 0.0
        self.reported_at = -1.0
        # Zero until the first report, so that a new endpoint is tried.
        self.service_seconds = 0.0
        self.failure_rate = 0.0
        self.reported_failure_rate = 0.0
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.away_until = 0.0

    def record_occupancy(self, occupancy, now):
        """Record the occupancy that the endpoint's node reported."""
        self.record_load(
            occupancy.running + occupancy.waiting,
            occupancy.wait_ms,
            occupancy.service_ms,
            occupancy.failure_rate,
            now,
        )

    def record_load(self, running, wait_ms, service_ms, failure_rate, at):
        """Record a load that the endpoint's node reported.

        :param running: the requests that run and that wait.
        :param at: when it was reported, in seconds.
        """
        self.reported_running = running
        self.reported_wait_seconds = wait_ms / 1000
        self.service_seconds = service_ms / 1000
        self.reported_failure_rate = failure_rate
        self.reported_at = at
        # One that was full is expected to have a free slot again later.
        bounded = min(running, self.destination.endpoint.slots - 1)
        if self.usual_running is None:
            self.usual_running = bounded
        self.usual_running += USUAL_LOAD_EWMA_WEIGHT * (
            bounded - self.usual_running
        )

    def record_answer(self, failed):
        """Update the failure statistics after an attempt.

        :param failed: whether the answer was a failure or did not come.
        """
        if failed:
            self.consecutive_failures += 1
            self.failure_rate += FAILURE_EWMA_WEIGHT * (1 - self.failure_rate)
            return
        self.consecutive_failures = 0
        self.failure_rate *= 1 - FAILURE_EWMA_WEIGHT

    def running(self, now):
        """Return the estimated number of requests at the endpoint."""
        usual = self.usual_running
        if usual is None:
            return self.in_flight
        decay_seconds = max(MIN_LOAD_DECAY_SECONDS, self.service_seconds)
        weight = exp((self.reported_at - now) / decay_seconds)
        if weight < MIN_REPORT_WEIGHT:
            return max(self.in_flight, usual)
        return max(
            self.in_flight, usual + (self.reported_running - usual) * weight
        )

    def usable_slots(self, now):
        """Return the slots to count on, a fraction during slow start."""
        slots = self.destination.endpoint.slots
        return (
            slots
            if now >= self.slow_start_until
            else max(1.0, slots * SLOW_START_FRACTION)
        )

    def expected_wait(self, now):
        """Return the seconds that a request would wait for a slot."""
        excess = self.running(now) + 1 - self.usable_slots(now)
        if excess <= 0:
            return 0.0
        estimated = (
            excess * self.service_seconds / self.destination.endpoint.slots
        )
        if now - self.reported_at <= MAX_WAIT_AGE_SECONDS:
            return max(estimated, self.reported_wait_seconds)
        return estimated

    def expected_latency(self, now, run_factor=1.0):
        """Return the seconds until an answer may be expected.

        :param run_factor: how long the request's route runs, in multiples of
            the endpoint's service time.
        """
        load = self.running(now) / max(1.0, self.usable_slots(now))
        return (
            ROUND_TRIP_SECONDS[self.destination.tier]
            + self.expected_wait(now)
            + self.service_seconds
            * run_factor
            * (
                1
                + FULL_LOAD_PENALTY * load
                + FAILURE_PENALTY
                * max(self.failure_rate, self.reported_failure_rate)
            )
        )

    def eject(self, now):
        """Eject the endpoint for a time that doubles with each ejection."""
        backoff = INITIAL_EJECTION_SECONDS * 2 ** min(
            self.ejections, MAX_EJECTION_DOUBLINGS
        )
        self.ejected_until = now + min(MAX_EJECTION_SECONDS, backoff)
        self.ejections += 1
        self.consecutive_failures = 0
        self.failure_rate = EJECTION_FAILURE_RATE / 2


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
    if rate < EJECTION_FAILURE_RATE:
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
                    _max_wait(best, remaining),
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
        if state.expected_wait(now) > _max_wait(state, remaining):
            continue
        if fastest is None or seconds < least_seconds:
            fastest, least_seconds = state, seconds
        compared += 1
        if compared == most:
            break
    return fastest


def _max_wait(state, remaining):
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
