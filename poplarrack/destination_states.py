"""Keep what a sending node knows of each endpoint: load, speed, failures."""

from dataclasses import dataclass
from enum import IntEnum
from math import exp

from poplarrack.members import Endpoint

# Weight of the newest answer in the moving average of failures.
FAILURE_EWMA_WEIGHT = 0.15
# The failure rate from which an endpoint may be ejected. Its average starts at
# half of it after an ejection.
EJECTION_FAILURE_RATE = 0.4
# The first ejection lasts this long; each further one twice as long as the
# one before, up to the bounds.
INITIAL_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 8.0
MAX_EJECTION_DOUBLINGS = 8
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


@dataclass(frozen=True, slots=True)
class Destination:
    """An endpoint and the node that serves it as a sidecar."""

    node_id: str
    peer_address: str
    endpoint: Endpoint
    tier: Tier
    region: str = ''
    zone: str = ''


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
        self.reported_room = 0.0
        # Zero until the first report, so that a new endpoint is tried.
        self.service_seconds = 0.0
        self.failure_rate = 0.0
        self.reported_failure_rate = 0.0
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.away_until = 0.0
        # While it is cold, it gets this many requests a second; 0: no limit.
        self.cold_calls_per_second = 0.0
        self.cold_until = 0.0

    def record_occupancy(self, occupancy, now):
        """Record the occupancy that the endpoint's node reported."""
        self.record_load(
            occupancy.running + occupancy.waiting,
            occupancy.wait_ms,
            occupancy.service_ms,
            occupancy.failure_rate,
            now,
            occupancy.room,
        )
        self.record_cold(occupancy.cold_ms, now)

    def record_load(
        self, running, wait_ms, service_ms, failure_rate, at, room=0.0
    ):
        """Record a load that the endpoint's node reported.

        :param running: the requests that run and that wait.
        :param at: when it was reported, in seconds.
        :param room: how many requests it is found to run well at once, 0 if
            that is not known.
        """
        self.reported_room = room
        self.reported_running = running
        self.reported_wait_seconds = wait_ms / 1000
        self.service_seconds = service_ms / 1000
        self.reported_failure_rate = failure_rate
        self.reported_at = at
        # One that was full is expected to have a free slot again later.
        bounded = min(running, self.room - 1)
        if self.usual_running is None:
            self.usual_running = bounded
        self.usual_running += USUAL_LOAD_EWMA_WEIGHT * (
            bounded - self.usual_running
        )

    def record_cold(self, cold_ms, at):
        """Record how much longer the endpoint was cold at a time."""
        self.cold_until = at + cold_ms / 1000

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

    @property
    def room(self):
        """Return how many requests the endpoint runs well at once."""
        slots = self.destination.endpoint.slots
        return min(slots, self.reported_room) if self.reported_room else slots

    def usable_slots(self, now):
        """Return the slots to count on, a fraction during slow start."""
        slots = self.room
        if now < self.slow_start_until:
            slots = max(1.0, slots * SLOW_START_FRACTION)
        if now < self.cold_until and self.cold_calls_per_second:
            busy = self.cold_calls_per_second * self.service_seconds
            slots = min(slots, max(1.0, busy))
        return slots

    def expected_wait(self, now):
        """Return the seconds that a request would wait for a slot."""
        excess = self.running(now) + 1 - self.usable_slots(now)
        if excess <= 0:
            return 0.0
        estimated = excess * self.service_seconds / max(1.0, self.room)
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
