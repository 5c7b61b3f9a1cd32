"""Test that heartbeats are applied correctly in any order of arrival."""

from dataclasses import replace

from poplarrack.heartbeats import apply_departure
from poplarrack.heartbeats import apply_deregistration
from poplarrack.heartbeats import apply_heartbeat
from poplarrack.heartbeats import EndpointRecord
from poplarrack.heartbeats import Heartbeat
from poplarrack.members import EndpointState
from poplarrack.members import latest_departure
from poplarrack.resources import Service
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

SERVICE = Service('front', '', warm_up_seconds=5.0)
TTL_SECONDS = 6.0
HEARTBEAT = Heartbeat(
    'i-1', 'front', '10.0.0.1:80', 'v1', 'a', 9, False, 4, born=1000
)


def apply(record, heartbeat, now=100.0):
    return apply_heartbeat(record, heartbeat, SERVICE, now, TTL_SECONDS)


def test_a_drain_is_not_undone_by_a_late_heartbeat():
    record = apply(
        EndpointRecord(), replace(HEARTBEAT, sequence=6, draining=True)
    )
    late = apply(record, replace(HEARTBEAT, sequence=5))
    assert late is record
    assert record.endpoint.state is EndpointState.DRAINING


def test_another_start_under_the_same_id_counts_anew():
    record = apply(EndpointRecord(), replace(HEARTBEAT, sequence=90))
    restarted = apply(record, replace(HEARTBEAT, sequence=0, born=2000))
    assert (restarted.endpoint.born, restarted.sequence) == (2000, 0)
    assert apply(restarted, replace(HEARTBEAT, sequence=91)) is restarted


def test_a_heartbeat_after_the_leave_is_ignored():
    record = apply_deregistration(
        apply(EndpointRecord(), HEARTBEAT), 'i-1', None, 101.0
    )
    assert record.endpoint is None
    assert apply(record, replace(HEARTBEAT, sequence=9)) is record
    other = replace(HEARTBEAT, instance_id='i-2', born=1500)
    assert apply(record, other).endpoint.instance_id == 'i-2'


def test_the_leave_of_another_instance_ends_nothing():
    record = apply(EndpointRecord(), HEARTBEAT)
    for born in (None, 500, 2000):
        left = apply_deregistration(record, 'i-0', born, 101.0)
        assert (left.endpoint, left.sequence) == (record.endpoint, 4)
        later = apply(left, replace(HEARTBEAT, sequence=5), 102.0)
        assert (later.endpoint.instance_id, later.sequence) == ('i-1', 5)


# DRAIN: a leave was acknowledged and forgotten if the node still took an
# earlier endpoint for its own, as after a crash.
def test_a_leave_counts_before_the_first_heartbeat_of_its_endpoint():
    before = apply(EndpointRecord(), replace(HEARTBEAT, instance_id='i-0'))
    late = replace(HEARTBEAT, born=2000)
    for born in (None, 2000):
        left = apply_deregistration(before, 'i-1', born, 101.0)
        assert apply(left, late, 104.0).endpoint.instance_id == 'i-0'
        started = apply_departure(EndpointRecord(), left.departure, 102.0)
        assert apply(started, late, 104.0).endpoint is None


def test_an_endpoint_is_warm_when_it_says_so():
    record = apply(EndpointRecord(), replace(HEARTBEAT, cold_seconds=2.0))
    assert record.cold_until == record.heard_at + 2.0
    assert record.endpoint.announced_at + SERVICE.warm_up_seconds == 102.0


def test_a_node_that_just_started_keeps_a_leave_against_late_heartbeats():
    for born in (None, 1000):
        record = apply_deregistration(EndpointRecord(), 'i-1', born, 100.0)
        late = replace(HEARTBEAT, sequence=9)
        assert apply(record, late, 102.7).endpoint is None
        other = replace(HEARTBEAT, instance_id='i-2')
        assert apply(record, other, 102.7).endpoint is not None


def test_an_endpoint_that_left_may_start_again():
    with_start = apply_deregistration(EndpointRecord(), 'i-1', 1000, 100.0)
    restarted = replace(HEARTBEAT, born=2000, sequence=0)
    assert apply(with_start, restarted, 101.0).endpoint.born == 2000
    without_start = apply_deregistration(EndpointRecord(), 'i-1', None, 100.0)
    assert apply(without_start, restarted, 111.0).endpoint.born == 2000


# DRAIN: a process that started after its predecessor had acknowledged a leave
# took a late heartbeat of the endpoint for that of a new one.
def test_a_leave_that_an_earlier_process_acknowledged_holds():
    draining = replace(HEARTBEAT, draining=True)
    for leave in (
        apply(EndpointRecord(), draining),
        apply_deregistration(
            apply(EndpointRecord(), HEARTBEAT), 'i-1', 1000, 100.0
        ),
    ):
        started = apply_departure(EndpointRecord(), leave.departure, 101.0)
        late = apply(started, replace(HEARTBEAT, sequence=3), 106.0)
        assert late.endpoint is None
        misled = apply(EndpointRecord(), replace(HEARTBEAT, sequence=3))
        assert misled.endpoint is not None
        told = apply_departure(misled, leave.departure, 106.0)
        assert told.endpoint is None
        assert apply(told, replace(HEARTBEAT, sequence=3)).endpoint is None
        other = replace(HEARTBEAT, instance_id='i-2', born=2000, sequence=0)
        assert apply(started, other).endpoint.instance_id == 'i-2'


def test_a_recalled_leave_does_not_end_a_later_endpoint():
    left = apply_deregistration(EndpointRecord(), 'i-1', 1000, 100.0)
    later = replace(HEARTBEAT, instance_id='i-2', born=2000)
    record = apply_departure(
        apply(EndpointRecord(), later), left.departure, 101.0
    )
    assert record.endpoint.instance_id == 'i-2'
    assert apply_departure(record, left.departure, 102.0) is record


def test_a_late_heartbeat_of_an_earlier_endpoint_names_none_that_runs():
    left = apply_deregistration(
        apply(EndpointRecord(), HEARTBEAT), 'i-1', 1000, 100.0
    )
    earlier = replace(HEARTBEAT, instance_id='i-0', born=500)
    assert apply(left, earlier, 106.0) is left
    # Endpoints' clocks may be set back.
    assert apply(left, earlier, 111.0).endpoint.instance_id == 'i-0'


# RECOVER: an endpoint whose clock was set back, and which started again, was
# ignored for as long as the node's process lived.
def test_a_silent_endpoint_gives_way_to_one_with_an_earlier_start():
    record = apply(EndpointRecord(), HEARTBEAT, 100.0)
    record = apply(record, replace(HEARTBEAT, sequence=5), 101.0)
    earlier = replace(HEARTBEAT, instance_id='i-0', born=500, sequence=0)
    assert apply(record, earlier, 106.0) is record
    assert apply(record, earlier, 107.5).endpoint.instance_id == 'i-0'
    # What ended as the same start doesn't begin again.
    late = replace(HEARTBEAT, sequence=4)
    assert apply(record, late, 107.5) is record


# DRAIN: a node that had just started took a leave without a time of start, and
# then took the one that its earlier process had acknowledged for the last one.
def test_a_leave_of_this_process_is_the_last_whatever_was_before():
    before = apply_deregistration(
        apply(EndpointRecord(), HEARTBEAT), 'i-1', 1000, 100.0
    ).departure
    # The clock may have been set back.
    for now in (101.0, 95.0):
        record = apply_deregistration(EndpointRecord(), 'i-2', None, now)
        record = apply_departure(record, before, now)
        assert record.departure.instance_id == 'i-2'
        assert latest_departure(before, record.departure) is record.departure
        late = replace(HEARTBEAT, instance_id='i-2', born=2000)
        assert apply(record, late, now + 6.0).endpoint is None
        started = apply_departure(EndpointRecord(), before, now)
        started = apply_departure(started, record.departure, now)
        assert apply(started, late, now + 6.0).endpoint is None
