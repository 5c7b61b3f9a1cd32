"""Choose the endpoint for a request by its expected latency.

Pure functions over the state that a sending node keeps of each endpoint.
"""

from dataclasses import dataclass
from enum import IntEnum

from poplarrack.members import Endpoint

# Weight of the newest answer in the moving average of failures.
FAILURE_EWMA_WEIGHT = 0.15
# An endpoint is ejected from load balancing after this many consecutive
# failures, or at this failure rate.
EJECTION_CONSECUTIVE_FAILURES = 5
EJECTION_FAILURE_RATE = 0.4
# The first ejection lasts this long; each further one twice as long as the
# one before, up to the bounds.
INITIAL_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 8.0
MAX_EJECTION_DOUBLINGS = 8
# Fraction of a service's endpoints that may be ejected at a time.
MAX_EJECTED_FRACTION = 0.34
# The load in reports of an endpoint's occupancy that are older than this is
# ignored; their service time is still used.
MAX_OCCUPANCY_AGE_SECONDS = 0.5
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
# another endpoint may have a free one.
MAX_WAIT_FRACTION = 0.2
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
        self.reported_running = 0
        self.reported_wait_seconds = 0.0
        self.reported_at = -1.0
        # Zero until the first report, so that a new endpoint is tried.
        self.service_seconds = 0.0
        self.failure_rate = 0.0
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.away_until = 0.0

    def record_occupancy(self, occupancy, now):
        """Record the occupancy that the endpoint's node reported."""
        self.reported_running = occupancy.running + occupancy.waiting
        self.reported_wait_seconds = occupancy.wait_ms / 1000
        self.service_seconds = occupancy.service_ms / 1000
        self.reported_at = now

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
        if now - self.reported_at > MAX_OCCUPANCY_AGE_SECONDS:
            return self.in_flight
        return max(self.in_flight, self.reported_running)

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
        if now - self.reported_at <= MAX_OCCUPANCY_AGE_SECONDS:
            return max(estimated, self.reported_wait_seconds)
        return estimated

    def expected_latency(self, now):
        """Return the seconds until an answer may be expected."""
        load = self.running(now) / max(1.0, self.usable_slots(now))
        return (
            ROUND_TRIP_SECONDS[self.destination.tier]
            + self.expected_wait(now)
            + self.service_seconds
            * (
                1
                + FULL_LOAD_PENALTY * load
                + FAILURE_PENALTY * self.failure_rate
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
    ``deadline_seconds`` what remains until the deadline.
    """

    target_seconds: float
    deadline_seconds: float


@dataclass(frozen=True)
class Placement:
    """The chosen endpoint, and how long a request may wait for a slot there.

    ``spare_slot_fraction`` is the fraction of the endpoint's slots that must
    be free to admit the request.
    """

    state: DestinationState
    max_wait_seconds: float
    spare_slot_fraction: float = 0.0


def may_eject(state, group, now):
    """Return whether an endpoint's failures justify an ejection.

    Never when too large a fraction of the service's endpoints is ejected
    already: a misleading signal must not leave a service without endpoints.

    :param group: the DestinationStates of the service.
    """
    too_many_in_row = (
        state.consecutive_failures >= EJECTION_CONSECUTIVE_FAILURES
    )
    if not too_many_in_row and state.failure_rate < EJECTION_FAILURE_RATE:
        return False
    ejected = sum(1 for other in group if other.ejected_until > now)
    return ejected + 1 <= MAX_EJECTED_FRACTION * len(group)


def choose_destination(states, remaining, tried, now, random):
    """Choose the endpoint for a request's next attempt.

    The nearest tier that can answer within the target latency takes
    precedence, so that traffic stays local.

    :param states: the DestinationStates of the service.
    :param remaining: the request's RemainingTime.
    :param tried: ids of the instances that are not to be tried again.
    :param random: a ``random.Random`` that breaks ties.
    :returns: a Placement, or None when no endpoint is expected to answer
        within the target latency after a short enough wait.
    """
    available = _available(states, tried, now)
    max_wait = max(0.0, remaining.deadline_seconds) * MAX_WAIT_FRACTION
    for tiers in ((Tier.OWN, Tier.ZONE), (Tier.REGION,), (Tier.FAR,)):
        near = [
            state
            for state in available
            if state.destination.tier in tiers
            and state.expected_wait(now) <= max_wait
            and state.expected_latency(now)
            <= max(remaining.target_seconds, 0.0)
        ]
        if near:
            spare_fraction = SPARE_SLOT_FRACTION[tiers[0]]
            return Placement(
                _fastest(near, now, random), max_wait, spare_fraction
            )
    return None


def choose_queue(states, remaining, tried, now, random, already_offered):
    """Choose the endpoint whose queue a request joins when all are busy.

    The request may wait as long as its answer can still meet the deadline;
    in the far region only where no nearer queue is short enough. The other
    parameters are those of ``choose_destination``.

    :param already_offered: whether a node refused the request as busy. If
        not, the fastest endpoint is chosen whatever its expected wait, since
        the recorded occupancies may be stale.
    :returns: a Placement, or None when no answer can come in time.
    """
    available = _available(states, tried, now)
    near = [state for state in available if state.destination.tier < Tier.FAR]
    far = [state for state in available if state.destination.tier is Tier.FAR]
    for group in (near, far):
        if not group:
            continue
        best = _fastest(group, now, random)
        answer_seconds = (
            best.service_seconds + ROUND_TRIP_SECONDS[best.destination.tier]
        )
        max_wait = (
            remaining.deadline_seconds * QUEUE_DEADLINE_FRACTION
            - answer_seconds
        )
        if max_wait > 0 and (
            not already_offered or max_wait >= best.expected_wait(now)
        ):
            return Placement(best, max_wait)
    return None


def _available(states, tried, now):
    """Return the endpoints to choose from, ejected ones as a last resort."""
    usable = [
        state
        for state in states
        if state.destination.endpoint.instance_id not in tried
        and now >= state.away_until
    ]
    healthy = [state for state in usable if state.ejected_until <= now]
    return healthy or usable


def _fastest(states, now, random):
    return min(
        states,
        key=lambda state: (state.expected_latency(now), random.random()),
    )
