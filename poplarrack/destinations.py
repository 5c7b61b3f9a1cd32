"""Keep what a sending node saw of the endpoints that it may use."""

from collections import Counter
import logging

from poplarrack.placements import DestinationState
from poplarrack.placements import may_eject

logger = logging.getLogger(__name__)

# A node that does not answer, or can't serve a service, is left alone so
# long.
AVOIDANCE_SECONDS = 0.3


class DestinationTable:
    """The state of each endpoint, by service.

    :param clock: a function to steady seconds.
    """

    def __init__(self, clock):
        self.clock = clock
        self.states = {}
        self.by_service = {}
        self.warm_start = True

    def put(self, destinations_by_service):
        """Take the endpoints in force; those that stay keep their state."""
        now = self.clock()
        states, by_service = {}, {}
        for service, destinations in destinations_by_service.items():
            group = [
                self._state_for(destination, now)
                for destination in destinations
            ]
            by_service[service] = group
            states.update(
                (_key_of(state.destination), state) for state in group
            )
        if states:
            # Only what joins later is taken for cold.
            self.warm_start = False
        self.states = states
        self.by_service = by_service

    def _state_for(self, destination, now):
        held = self.states.get(_key_of(destination))
        if held is None:
            return DestinationState(destination, now, self.warm_start)
        held.destination = destination
        return held

    def of(self, service):
        """Return the states of a service's endpoints."""
        return self.by_service.get(service, ())

    def avoid_node(self, address):
        """Leave out the endpoint of a node that does not answer."""
        until = self.clock() + AVOIDANCE_SECONDS
        for state in self.states.values():
            if state.destination.peer_address == address:
                state.away_until = until

    def note_answer(self, state, failed, now):
        """Take in an answer, or its absence; eject what keeps failing."""
        state.on_answer(failed)
        if not may_eject(
            state, self.of(state.destination.endpoint.service), now
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
        """Return calls in flight by service and version."""
        busy = Counter()
        for state in self.states.values():
            if state.in_flight:
                endpoint = state.destination.endpoint
                busy[(endpoint.service, endpoint.version)] += state.in_flight
        return busy

    def dump(self):
        """Return what was seen of each endpoint, for operators."""
        now = self.clock()
        return {
            state.destination.endpoint.instance_id: {
                'node': state.destination.node_id,
                'service': state.destination.endpoint.service,
                'version': state.destination.endpoint.version,
                'tier': state.destination.tier.name.lower(),
                'in_flight': state.in_flight,
                'running': state.running(now),
                'occupancy_age_seconds': round(now - state.reported_at, 3),
                'service_seconds': state.service_seconds,
                'expected_wait_seconds': round(state.expected_wait(now), 4),
                'failure_rate': round(state.failure_rate, 4),
                'ejected_until': state.ejected_until,
                'away_until': state.away_until,
            }
            for state in self.states.values()
        }


def _key_of(destination):
    """Return what tells one start of an endpoint from another."""
    endpoint = destination.endpoint
    return (destination.node_id, endpoint.instance_id, endpoint.born)
