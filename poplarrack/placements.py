"""Choose the endpoint for a request by what it would cost to go there.

Pure functions over what a sending node saw of each endpoint.
"""

from dataclasses import dataclass
from enum import IntEnum

from poplarrack.members import Endpoint

# Weight of a new observation in the failure rate.
FAILURE_WEIGHT = 0.15
# Failures in a row, or rate of failures, that leave an endpoint out.
EJECT_FAILURES = 5
EJECT_RATE = 0.4
EJECT_FIRST_SECONDS = 0.5
EJECT_MOST_SECONDS = 8.0
EJECT_MOST_SHARE = 0.34
# News of an endpoint's occupancy say nothing after so long.
OCCUPANCY_AGE_SECONDS = 0.5
# A new endpoint is slow at first: it gets part of its slots for so long.
WARM_UP_SECONDS = 3.0
COLD_PART = 0.4
# Part of the time left that a request may wait for a slot where one may be
# free elsewhere.
PATIENCE_PART = 0.2
# Part of the time left that the wait and the answer together may take
# where every endpoint is busy.
QUEUE_PART = 0.9


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
SPARE_PART = {Tier.OWN: 0.0, Tier.ZONE: 0.0, Tier.REGION: 0.0, Tier.FAR: 0.1}


@dataclass(frozen=True, slots=True)
class Door:
    """An endpoint and the node beside it."""

    node_id: str
    peer_address: str
    endpoint: Endpoint
    tier: Tier


class DoorState:
    """What a sending node saw of one endpoint."""

    def __init__(self, door, now, warm):
        self.door = door
        self.seen_at = now
        self.warm_at = now if warm else now + WARM_UP_SECONDS
        self.in_flight = 0
        self.told_running = 0
        self.told_wait = 0.0
        self.told_at = -1.0
        # Taken for fast until it told, so that a new one is tried.
        self.service_seconds = 0.0
        self.failure_rate = 0.0
        self.failures_in_row = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.away_until = 0.0

    def on_occupancy(self, occupancy, now):
        """Take in what the endpoint's node told."""
        self.told_running = occupancy.running + occupancy.waiting
        self.told_wait = occupancy.wait_ms / 1000
        self.service_seconds = occupancy.service_ms / 1000
        self.told_at = now

    def on_answer(self, failed):
        """Take in an answer of the endpoint, or that there was none."""
        if failed:
            self.failures_in_row += 1
            self.failure_rate += FAILURE_WEIGHT * (1 - self.failure_rate)
            return
        self.failures_in_row = 0
        self.failure_rate *= 1 - FAILURE_WEIGHT

    def running(self, now):
        """Return the estimated number of requests at the endpoint."""
        if now - self.told_at > OCCUPANCY_AGE_SECONDS:
            return self.in_flight
        return max(self.in_flight, self.told_running)

    def usable_slots(self, now):
        """Return the slots that this endpoint is offered."""
        slots = self.door.endpoint.slots
        return slots if now >= self.warm_at else max(1.0, slots * COLD_PART)

    def expected_wait(self, now):
        """Return how long a request would wait for a slot there."""
        excess = self.running(now) + 1 - self.usable_slots(now)
        if excess <= 0:
            return 0.0
        guessed = excess * self.service_seconds / self.door.endpoint.slots
        if now - self.told_at <= OCCUPANCY_AGE_SECONDS:
            return max(guessed, self.told_wait)
        return guessed

    def expected_seconds(self, now):
        """Return when an answer from there may be expected."""
        load = self.running(now) / max(1.0, self.usable_slots(now))
        return (
            ROUND_TRIP_SECONDS[self.door.tier]
            + self.expected_wait(now)
            + self.service_seconds * (1 + 0.5 * load + 2 * self.failure_rate)
        )

    def eject(self, now):
        """Leave the endpoint out for a time that doubles."""
        doubled = EJECT_FIRST_SECONDS * 2 ** min(self.ejections, 8)
        self.ejected_until = now + min(EJECT_MOST_SECONDS, doubled)
        self.ejections += 1
        self.failures_in_row = 0
        self.failure_rate = EJECT_RATE / 2


@dataclass(frozen=True)
class Wish:
    """What a request asks of a placement, in seconds.

    ``target`` is what is left of the target latency, ``left`` what is
    left of the deadline.
    """

    target: float
    left: float


@dataclass(frozen=True)
class Placement:
    """Where a request goes, and how long it may wait there.

    ``spare_part`` is the part of the slots that must be free for it.
    """

    state: DoorState
    patience_seconds: float
    spare_part: float = 0.0


def may_eject(state, group, now):
    """Say whether an endpoint's failures leave it out for a time.

    Not when too large a share of the group is out already: a signal that
    misleads must not empty a service.
    """
    many = state.failures_in_row >= EJECT_FAILURES
    if not many and state.failure_rate < EJECT_RATE:
        return False
    out = sum(1 for other in group if other.ejected_until > now)
    return out + 1 <= EJECT_MOST_SHARE * len(group)


def choose_door(states, wish, tried, now, random):
    """Choose the endpoint for a request's next attempt.

    The nearest tier that can answer within the target goes first, so that
    bytes stay near.

    :param states: the DoorStates of the service.
    :param tried: instances that the request was offered to before.
    :param random: a ``random.Random`` to break ties by.
    :returns: a Placement, or None when nobody can run it soon.
    """
    open_states = _open(states, tried, now)
    patience = max(0.0, wish.left) * PATIENCE_PART
    for tiers in ((Tier.OWN, Tier.ZONE), (Tier.REGION,), (Tier.FAR,)):
        near = [
            state
            for state in open_states
            if state.door.tier in tiers
            and state.expected_wait(now) <= patience
            and state.expected_seconds(now) <= max(wish.target, 0.0)
        ]
        if near:
            spare = SPARE_PART[tiers[0]]
            return Placement(_best(near, now, random), patience, spare)
    return None


def choose_queue(states, wish, tried, now, random, informed):
    """Choose where a request waits when nobody can run it soon.

    It may wait as long as the answer still comes in time; in the far
    region only where no queue nearer by is short enough.

    :param informed: an endpoint's node was asked about this request; else
        one is, since what is known of their queues may be old.
    """
    open_states = _open(states, tried, now)
    near = [state for state in open_states if state.door.tier < Tier.FAR]
    far = [state for state in open_states if state.door.tier is Tier.FAR]
    for group in (near, far):
        if not group:
            continue
        best = _best(group, now, random)
        spent = best.service_seconds + ROUND_TRIP_SECONDS[best.door.tier]
        most = wish.left * QUEUE_PART - spent
        if most > 0 and (not informed or most >= best.expected_wait(now)):
            return Placement(best, most)
    return None


def _open(states, tried, now):
    """Return the endpoints that may be used, the ejected ones at need."""
    usable = [
        state
        for state in states
        if state.door.endpoint.instance_id not in tried
        and now >= state.away_until
    ]
    healthy = [state for state in usable if state.ejected_until <= now]
    return healthy or usable


def _best(states, now, random):
    return min(
        states,
        key=lambda state: (state.expected_seconds(now), random.random()),
    )
