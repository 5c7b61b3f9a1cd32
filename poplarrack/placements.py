"""Choose the endpoint for a request by what it would cost to go there.

Pure functions over what a sending node saw of each endpoint.
"""

from dataclasses import dataclass
from enum import IntEnum

from poplarrack.members import Endpoint

# Weight of a new observation in the failure rate.
FAILURE_WEIGHT = 0.15
# Failures in a row, or rate of failures, that leave an endpoint out.
EJECT_CONSECUTIVE_FAILURES = 5
EJECT_FAILURE_RATE = 0.4
MIN_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 8.0
MAX_EJECTED_FRACTION = 0.34
# News of an endpoint's occupancy say nothing after so long.
MAX_OCCUPANCY_AGE_SECONDS = 0.5
# A new endpoint is slow at first: it gets part of its slots for so long.
SLOW_START_SECONDS = 3.0
SLOW_START_FRACTION = 0.4
# Part of the time left that a request may wait for a slot where one may be
# free elsewhere.
MAX_WAIT_FRACTION = 0.2
# Part of the time left that the wait and the answer together may take
# where every endpoint is busy.
QUEUE_DEADLINE_FRACTION = 0.9


class Tier(IntEnum):
    """How far an endpoint is."""

    OWN = 0
    ZONE = 1
    REGION = 2
    FAR = 3


# Time for one round trip to each tier, before it was measured.
ROUND_TRIP_SECONDS = {
    Tier.OWN: 0.0,
    Tier.ZONE: 0.0005,
    Tier.REGION: 0.003,
    Tier.FAR: 0.061,
}
# Part of an endpoint's slots that must be free for requests from there, so
# that two busy places do not trade their requests over dear links.
SPARE_SLOT_FRACTION = {
    Tier.OWN: 0.0,
    Tier.ZONE: 0.0,
    Tier.REGION: 0.0,
    Tier.FAR: 0.1,
}


@dataclass(frozen=True, slots=True)
class Destination:
    """An endpoint and the node beside it."""

    node_id: str
    peer_address: str
    endpoint: Endpoint
    tier: Tier


class DestinationState:
    """What a sending node saw of one endpoint."""

    def __init__(self, destination, now, warm):
        self.destination = destination
        self.seen_at = now
        self.warm_at = now if warm else now + SLOW_START_SECONDS
        self.in_flight = 0
        self.reported_running = 0
        self.reported_wait_seconds = 0.0
        self.reported_at = -1.0
        # Taken for fast until it told, so that a new one is tried.
        self.service_seconds = 0.0
        self.failure_rate = 0.0
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.away_until = 0.0

    def on_occupancy(self, occupancy, now):
        """Take in what the endpoint's node told."""
        self.reported_running = occupancy.running + occupancy.waiting
        self.reported_wait_seconds = occupancy.wait_ms / 1000
        self.service_seconds = occupancy.service_ms / 1000
        self.reported_at = now

    def on_answer(self, failed):
        """Take in an answer of the endpoint, or that there was none."""
        if failed:
            self.consecutive_failures += 1
            self.failure_rate += FAILURE_WEIGHT * (1 - self.failure_rate)
            return
        self.consecutive_failures = 0
        self.failure_rate *= 1 - FAILURE_WEIGHT

    def running(self, now):
        """Return the estimated number of requests at the endpoint."""
        if now - self.reported_at > MAX_OCCUPANCY_AGE_SECONDS:
            return self.in_flight
        return max(self.in_flight, self.reported_running)

    def usable_slots(self, now):
        """Return the slots that this endpoint is offered."""
        slots = self.destination.endpoint.slots
        return (
            slots
            if now >= self.warm_at
            else max(1.0, slots * SLOW_START_FRACTION)
        )

    def expected_wait(self, now):
        """Return how long a request would wait for a slot there."""
        excess = self.running(now) + 1 - self.usable_slots(now)
        if excess <= 0:
            return 0.0
        guessed = (
            excess * self.service_seconds / self.destination.endpoint.slots
        )
        if now - self.reported_at <= MAX_OCCUPANCY_AGE_SECONDS:
            return max(guessed, self.reported_wait_seconds)
        return guessed

    def expected_seconds(self, now):
        """Return when an answer from there may be expected."""
        load = self.running(now) / max(1.0, self.usable_slots(now))
        return (
            ROUND_TRIP_SECONDS[self.destination.tier]
            + self.expected_wait(now)
            + self.service_seconds * (1 + 0.5 * load + 2 * self.failure_rate)
        )

    def eject(self, now):
        """Leave the endpoint out for a time that doubles."""
        doubled = MIN_EJECTION_SECONDS * 2 ** min(self.ejections, 8)
        self.ejected_until = now + min(MAX_EJECTION_SECONDS, doubled)
        self.ejections += 1
        self.consecutive_failures = 0
        self.failure_rate = EJECT_FAILURE_RATE / 2


@dataclass(frozen=True)
class RemainingTime:
    """What a request asks of a placement, in seconds.

    ``target_seconds`` is what is left of the target latency,
    ``deadline_seconds`` what is left of the deadline.
    """

    target_seconds: float
    deadline_seconds: float


@dataclass(frozen=True)
class Placement:
    """Where a request goes, and how long it may wait there.

    ``spare_slot_fraction`` is the part of the slots that must be free for it.
    """

    state: DestinationState
    max_wait_seconds: float
    spare_slot_fraction: float = 0.0


def may_eject(state, group, now):
    """Say whether an endpoint's failures leave it out for a time.

    Not when too large a share of the group is out already: a signal that
    misleads must not empty a service.
    """
    many = state.consecutive_failures >= EJECT_CONSECUTIVE_FAILURES
    if not many and state.failure_rate < EJECT_FAILURE_RATE:
        return False
    out = sum(1 for other in group if other.ejected_until > now)
    return out + 1 <= MAX_EJECTED_FRACTION * len(group)


def choose_destination(states, remaining, tried, now, random):
    """Choose the endpoint for a request's next attempt.

    The nearest tier that can answer within the target goes first, so that
    bytes stay near.

    :param states: the DestinationStates of the service.
    :param tried: instances that the request was offered to before.
    :param random: a ``random.Random`` to break ties by.
    :returns: a Placement, or None when nobody can run it soon.
    """
    open_states = _open(states, tried, now)
    patience = max(0.0, remaining.deadline_seconds) * MAX_WAIT_FRACTION
    for tiers in ((Tier.OWN, Tier.ZONE), (Tier.REGION,), (Tier.FAR,)):
        near = [
            state
            for state in open_states
            if state.destination.tier in tiers
            and state.expected_wait(now) <= patience
            and state.expected_seconds(now)
            <= max(remaining.target_seconds, 0.0)
        ]
        if near:
            spare = SPARE_SLOT_FRACTION[tiers[0]]
            return Placement(_best(near, now, random), patience, spare)
    return None


def choose_queue(states, remaining, tried, now, random, informed):
    """Choose where a request waits when nobody can run it soon.

    It may wait as long as the answer still comes in time; in the far
    region only where no queue nearer by is short enough.

    :param informed: an endpoint's node was asked about this request; else
        one is, since what is known of their queues may be old.
    """
    open_states = _open(states, tried, now)
    near = [
        state for state in open_states if state.destination.tier < Tier.FAR
    ]
    far = [
        state for state in open_states if state.destination.tier is Tier.FAR
    ]
    for group in (near, far):
        if not group:
            continue
        best = _best(group, now, random)
        spent = (
            best.service_seconds + ROUND_TRIP_SECONDS[best.destination.tier]
        )
        most = remaining.deadline_seconds * QUEUE_DEADLINE_FRACTION - spent
        if most > 0 and (not informed or most >= best.expected_wait(now)):
            return Placement(best, most)
    return None


def _open(states, tried, now):
    """Return the endpoints that may be used, the ejected ones at need."""
    usable = [
        state
        for state in states
        if state.destination.endpoint.instance_id not in tried
        and now >= state.away_until
    ]
    healthy = [state for state in usable if state.ejected_until <= now]
    return healthy or usable


def _best(states, now, random):
    return min(
        states,
        key=lambda state: (state.expected_seconds(now), random.random()),
    )
