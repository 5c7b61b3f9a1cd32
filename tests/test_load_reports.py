"""Test that nodes of a zone learn the loads of its endpoints from each other.

Each node of a large mesh meets an endpoint once in many seconds. It chose by
what it alone had seen, so that it took slow and busy endpoints for idle ones.
"""

from random import Random
from types import SimpleNamespace

from poplarrack.destination_states import Tier
from poplarrack.destinations import DestinationTable
from poplarrack.exchanges import ANSWER_CODEC
from poplarrack.exchanges import Delivery
from poplarrack.exchanges import EndpointLoad
from poplarrack.exchanges import Occupancy
from poplarrack.exchanges import REQUEST_CODEC
from poplarrack.exchanges import Verdict
from poplarrack.load_reports import LoadReports
from poplarrack.load_reports import MAX_AGE_SECONDS
from poplarrack.load_reports import MAX_PASSED_ON
from poplarrack.placements import choose_destination
from poplarrack.placements import RemainingTime
from tests.samples import endpoint
from tests.support import build_load_tests
from tests.test_receivers import request
from tests.test_senders import Clock
from tests.test_senders import destination

load_tests = build_load_tests(__name__)


def reports_of(count, tier=Tier.ZONE, own=None):
    """Return the LoadReports of a node that knows some endpoints."""
    table = DestinationTable(Clock())
    table.set_destinations(
        {'front': [destination(number, tier) for number in range(count)]}
    )
    receiver = SimpleNamespace(
        endpoint=own, occupancy=lambda: Occupancy(3, 1, 10, 20, 80.0)
    )
    return LoadReports(table, receiver)


def loads_of(count, age_ms=0, running=5):
    return tuple(
        EndpointLoad(f'i-{number}', running, 0, 90.0, age_ms)
        for number in range(count)
    )


def test_the_learned_room_is_passed_on():
    first, second = reports_of(2), reports_of(2)
    load = EndpointLoad('i-0', 5, 0, 90.0, 0, room=4.0)
    first.learn((load,), 1000.0)
    second.learn(first.collect(1000.2), 1000.2)
    states = second.destinations.states_by_instance
    assert (states['i-0'].room, states['i-1'].room) == (4.0, 10)


# A node chose among endpoints that it had not met as if they were idle.
def test_what_one_node_heard_another_one_learns():
    first, second = (
        reports_of(4, own=endpoint(instance_id='i-9')),
        reports_of(4),
    )
    first.learn(loads_of(4), 1000.0)
    second.learn(first.collect(1000.25), 1000.25)
    states = second.destinations.states_by_instance
    assert [states[f'i-{n}'].reported_running for n in range(4)] == [5] * 4
    assert states['i-0'].reported_at == 1000.0
    own = first.collect(1000.25)[0]
    assert (own.instance_id, own.running, own.age_ms) == ('i-9', 4, 0)


# A load that went from node to node for a while must not replace a newer one.
def test_an_older_load_never_replaces_a_newer_one():
    reports = reports_of(1)
    reports.learn(loads_of(1, running=2), 1000.0)
    reports.learn(loads_of(1, age_ms=400, running=9), 1000.1)
    state = reports.destinations.states_by_instance['i-0']
    assert (state.reported_running, state.reported_at) == (2, 1000.0)


# What a message costs must not grow with the mesh, and loads must not go
# round for ever.
def test_messages_carry_a_bounded_number_of_fresh_loads():
    reports = reports_of(200, own=endpoint(instance_id='i-999'))
    reports.learn(loads_of(200), 1000.0)
    assert len(reports.collect(1000.0)) == MAX_PASSED_ON + 1
    assert len(reports.collect(1000.1 + MAX_AGE_SECONDS)) == 1


# Bytes between zones are expensive.
def test_loads_of_other_zones_are_not_passed_on():
    reports = reports_of(3, Tier.REGION)
    reports.learn(loads_of(3), 1000.0)
    assert reports.collect(1000.0) == ()


# The table is replaced with each change of members.
def test_endpoints_that_left_are_no_longer_passed_on():
    reports = reports_of(3)
    reports.learn(loads_of(3), 1000.0)
    reports.destinations.set_destinations({'front': [destination(1)]})
    reports.keep_only(reports.destinations.states.values())
    assert [load.instance_id for load in reports.collect(1000.0)] == ['i-1']
    reports.learn(loads_of(3), 1000.5)
    assert len(reports.collect(1000.5)) == 1


# Nodes of the previous build send neither field.
def test_messages_without_loads_are_read():
    old_request = REQUEST_CODEC.encode(request())
    assert REQUEST_CODEC.decode(old_request).loads == ()
    delivery = Delivery(Verdict.ANSWERED, 200, [], b'', '', None, loads_of(2))
    decoded = ANSWER_CODEC.decode(ANSWER_CODEC.encode(delivery))
    assert decoded.loads == loads_of(2)


def failing_load(number, failure_rate, age_ms=0):
    return EndpointLoad(f'i-{number}', 2, 0, 90.0, age_ms, failure_rate)


# A sender that meets an endpoint twice a minute never sees it fail five times
# in a row; its own node sees that within a second.
def test_an_endpoint_that_its_own_node_sees_failing_is_ejected():
    reports = reports_of(6)
    reports.learn(loads_of(6), 999.0)
    reports.learn((failing_load(2, 0.6),), 1000.0)
    states = reports.destinations.states_by_instance
    ejected = [s for s in states.values() if s.ejected_until > 1000.0]
    assert ejected == [states['i-2']]


# A service that fails because of one behind it must not lose its endpoints.
def test_endpoints_that_all_fail_are_not_ejected():
    reports = reports_of(6)
    reports.learn(tuple(failing_load(n, 0.5) for n in range(6)), 1000.0)
    # The first are judged before the others are heard of.
    for at in (1010.0, 1020.0):
        reports.learn(tuple(failing_load(n, 0.5) for n in range(6)), at)
    states = reports.destinations.states_by_instance.values()
    assert not [s for s in states if s.ejected_until > 1020.0]


# Nodes that have all heard the same must not send all to one endpoint.
def test_nodes_that_know_the_same_choose_different_endpoints():
    reports = reports_of(20)
    reports.learn(loads_of(20), 1000.0)
    states = reports.destinations.states_by_instance
    states['i-7'].service_seconds = 0.01
    chosen = {
        choose_destination(
            reports.destinations.for_service('front'),
            RemainingTime(0.4, 1.2),
            set(),
            1000.5,
            Random(seed),
        ).state.destination.endpoint.instance_id
        for seed in range(60)
    }
    assert len(chosen) >= 15, chosen
