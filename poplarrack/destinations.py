"""Track the state of the endpoints that a node sends requests to."""

from collections import Counter
import logging

from poplarrack.destination_states import DestinationState
from poplarrack.placements import DestinationGroup
from poplarrack.placements import may_eject

logger = logging.getLogger(__name__)

# How long an endpoint is avoided after its node did not answer or could not
# run a request.
AVOIDANCE_SECONDS = 0.3
NO_DESTINATIONS = DestinationGroup()


class DestinationTable:
    """The DestinationState of each endpoint, by service.

    :param clock: a function that returns seconds since the epoch and never
        goes back, such as a SteadyClock.
    """

    def __init__(self, clock):
        self.clock = clock
        self.states = {}
        self.groups = {}
        self.states_by_instance = {}
        self.is_initial = True

    def set_destinations(self, destinations_by_service, services=None):
        """Replace the set of endpoints; those that stay keep their state.

        :param services: the configuration's Services by name.
        """
        now = self.clock()
        states, groups = {}, {}
        for service, destinations in destinations_by_service.items():
            group = [
                self._state_for(destination, now)
                for destination in destinations
            ]
            groups[service] = DestinationGroup(group)
            known = (services or {}).get(service)
            for state in group:
                state.cold_calls_per_second = (
                    known.cold_calls_per_second if known else 0.0
                )
            states.update(
                (_key_of(state.destination), state) for state in group
            )
        if states:
            # Only endpoints that join later go through slow start.
            self.is_initial = False
        self.states = states
        self.groups = groups
        self.states_by_instance = {
            state.destination.endpoint.instance_id: state
            for state in states.values()
        }

    def _state_for(self, destination, now):
        existing = self.states.get(_key_of(destination))
        if existing is None:
            return DestinationState(destination, now, self.is_initial)
        existing.destination = destination
        return existing

    def for_service(self, service):
        """Return the DestinationGroup of a service's endpoints."""
        return self.groups.get(service, NO_DESTINATIONS)

    def avoid_node(self, address):
        """Avoid the endpoint of an unresponsive node for a short time."""
        until = self.clock() + AVOIDANCE_SECONDS
        for state in self.states.values():
            if state.destination.peer_address == address:
                state.away_until = until

    def record_answer(self, state, failed, now):
        """Record an attempt; eject an endpoint that keeps failing.

        :param state: the DestinationState that the request went to.
        :param failed: whether the answer was a failure or did not come.
        """
        state.record_answer(failed)
        self.eject_if_failing(state, now)

    def eject_if_failing(self, state, now):
        """Eject an endpoint if its failures justify that."""
        if state.ejected_until > now or not may_eject(
            state, self.for_service(state.destination.endpoint.service), now
        ):
            return
        state.eject(now)
        logger.info(
            'endpoint_ejected',
            extra={
                'instance': state.destination.endpoint.instance_id,
                'seconds': round(state.ejected_until - now, 3),
                'ejections': state.ejections,
            },
        )

    def busy(self):
        """Return the numbers of calls in flight by service and version."""
        busy = Counter()
        for state in self.states.values():
            if state.in_flight:
                endpoint = state.destination.endpoint
                busy[(endpoint.service, endpoint.version)] += state.in_flight
        return busy

    def dump(self):
        """Return the state of each endpoint for the state dump."""
        now = self.clock()
        return {
            state.destination.endpoint.instance_id: {
                'node': state.destination.node_id,
                'service': state.destination.endpoint.service,
                'version': state.destination.endpoint.version,
                'tier': state.destination.tier.name.lower(),
                'in_flight': state.in_flight,
                'running': state.running(now),
                'room': state.room,
                'occupancy_age_seconds': round(now - state.reported_at, 3),
                'service_seconds': state.service_seconds,
                'expected_wait_seconds': round(state.expected_wait(now), 4),
                'failure_rate': round(state.failure_rate, 4),
                'ejected_until': state.ejected_until,
                'away_until': state.away_until,
                'cold_until': state.cold_until,
            }
            for state in self.states.values()
        }


def _key_of(destination):
    """Return a key that differs between two starts of one endpoint."""
    endpoint = destination.endpoint
    return (destination.node_id, endpoint.instance_id, endpoint.born)
