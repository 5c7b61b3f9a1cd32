"""Pass the loads of endpoints on among the nodes of a zone.

A node of a large mesh meets each endpoint seldom. With each request to a node
of its zone, and with each answer, it tells the load of its own endpoint and
the latest ones that it heard of, so that knowledge spreads at a cost that
depends on the node's own requests alone.
"""

from collections import OrderedDict

from poplarrack.destination_states import Tier
from poplarrack.exchanges import EndpointLoad

# Loads of other endpoints that a message passes on.
MAX_PASSED_ON = 6
# Older loads are not passed on.
MAX_AGE_SECONDS = 3.0
NEAR_TIERS = (Tier.OWN, Tier.ZONE)


class LoadReports:
    """Collects and learns the loads of the endpoints of the node's zone.

    :param destinations: the DestinationTable of the node.
    :param receiver: the Receiver of the local endpoint.
    """

    def __init__(self, destinations, receiver):
        self.destinations = destinations
        self.receiver = receiver
        # The states in the order in which the node heard of them.
        self.heard = OrderedDict()

    def collect(self, now):
        """Return the EndpointLoads to tell another node of the zone."""
        loads = []
        endpoint = self.receiver.endpoint
        if endpoint is not None:
            occupancy = self.receiver.occupancy()
            loads.append(
                EndpointLoad(
                    endpoint.instance_id,
                    occupancy.running + occupancy.waiting,
                    occupancy.wait_ms,
                    occupancy.service_ms,
                    0,
                    occupancy.failure_rate,
                    occupancy.room,
                    occupancy.cold_ms,
                )
            )
        for state in reversed(self.heard):
            age = now - state.reported_at
            if len(loads) > MAX_PASSED_ON:
                break
            if age <= MAX_AGE_SECONDS:
                loads.append(_load_of(state, age))
        return tuple(loads)

    def learn(self, loads, now):
        """Record the loads that another node of the zone told."""
        states = self.destinations.states_by_instance
        for load in loads:
            state = states.get(load.instance_id)
            at = now - load.age_ms / 1000
            if state is None or at <= state.reported_at:
                continue
            state.record_load(
                load.running,
                load.wait_ms,
                load.service_ms,
                load.failure_rate,
                at,
                load.room,
            )
            state.record_cold(load.cold_ms, at)
            self.mark_heard(state)
            self.destinations.eject_if_failing(state, now)

    def mark_heard(self, state):
        """Note that the load of an endpoint is the one heard of last."""
        if state.destination.tier not in NEAR_TIERS:
            return
        self.heard[state] = None
        self.heard.move_to_end(state)

    def keep_only(self, states):
        """Forget the endpoints that are not among some states."""
        kept = set(states)
        self.heard = OrderedDict.fromkeys(
            state for state in self.heard if state in kept
        )


def _load_of(state, age):
    return EndpointLoad(
        state.destination.endpoint.instance_id,
        state.reported_running,
        int(state.reported_wait_seconds * 1000),
        round(state.service_seconds * 1000, 1),
        int(age * 1000),
        state.reported_failure_rate,
        state.reported_room,
        int(max(0.0, state.cold_until - state.reported_at) * 1000),
    )
