"""Choose the endpoint for a request by what it would cost to go there.

Pure functions over what a sending node saw of each endpoint.
"""

from dataclasses import dataclass
from enum import IntEnum

from poplarrack.members import Endpoint

# Weight of a new observation in the mean latency and failure rate.
LATENCY_WEIGHT = 0.1
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
# Part of the target latency that a request may wait for a slot where one
# may be free elsewhere.
PATIENCE_PART = 0.2
# Assumed latency before any answer.
FIRST_LATENCY_SECONDS = 0.05


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
        self.latency = 0.0
        self.failure_rate = 0.0
        self.failures_in_row = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.away_until = 0.0

    def on_occupancy(self, occupancy, now):
        """Take in what the endpoint's node told."""
        self.told_running = occupancy.running + occupancy.waiting
        self.told_wait = occupancy.wait_ms / 1000
        self.told_at = now

    def on_answer(self, failed, latency, now):
        """Take in an answer of the endpoint."""
        if failed:
            self.failures_in_row += 1
            self.failure_rate += FAILURE_WEIGHT * (1 - self.failure_rate)
            return
        self.failures_in_row = 0
        self.failure_rate *= 1 - FAILURE_WEIGHT
        if not self.latency:
            self.latency = latency
        self.latency += LATENCY_WEIGHT * (latency - self.latency)

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
        latency = self.latency or FIRST_LATENCY_SECONDS
        guessed = excess * latency / self.door.endpoint.slots
        if now - self.told_at <= OCCUPANCY_AGE_SECONDS:
            return max(guessed, self.told_wait)
        return guessed

    def expected_seconds(self, now):
        """Return when an answer from there may be expected."""
        latency = self.latency or FIRST_LATENCY_SECONDS
        load = self.running(now) / max(1.0, self.usable_slots(now))
        return (
            ROUND_TRIP_SECONDS[self.door.tier]
            + self.expected_wait(now)
            + latency * (1 + 0.5 * load + 2 * self.failure_rate)
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
    """Where a request goes, and how long it may wait there."""

    state: DoorState
    patience_seconds: float


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
    bytes stay near; where none can, the one that is done soonest.

    :param states: the DoorStates of the service.
    :param tried: instances that the request was offered to before.
    :param random: a ``random.Random`` to break ties by.
    :returns: a Placement, or None when nobody is left.
    """
    open_states = [
        state
        for state in states
        if state.door.endpoint.instance_id not in tried
        and now >= state.away_until
    ]
    healthy = [item for item in open_states if item.ejected_until <= now]
    open_states = healthy or open_states
    if not open_states:
        return None
    patience = max(0.0, wish.target) * PATIENCE_PART
    for tiers in ((Tier.OWN, Tier.ZONE), (Tier.REGION,), (Tier.FAR,)):
        near = [
            state
            for state in open_states
            if state.door.tier in tiers
            and state.expected_wait(now) <= patience
            and state.expected_seconds(now) <= max(wish.target, 0.0)
        ]
        if near:
            return Placement(_best(near, now, random), patience)
    best = _best(open_states, now, random)
    seconds = best.expected_seconds(now)
    most = wish.left - seconds + best.expected_wait(now)
    if most <= 0:
        return None
    return Placement(best, most)


def _best(states, now, random):
    return min(
        states,
        key=lambda state: (state.expected_seconds(now), random.random()),
    )
