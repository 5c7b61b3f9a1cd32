"""Test the admission to an endpoint's slots and the order of its queue."""

from poplarrack.admissions import Admission
from poplarrack.admissions import SERVICE_TIME_WEIGHT
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)


def test_the_time_of_service_is_known_from_the_first_answer_on():
    admission = Admission(2)
    admission.observe(0.4)
    assert admission.service_seconds == 0.4
    admission.observe(0.2)
    assert abs(admission.service_seconds - 0.3) < 1e-9
    for _ in range(200):
        admission.observe(0.3)
    before = admission.service_seconds
    admission.observe(1.3)
    assert abs(admission.service_seconds - before - SERVICE_TIME_WEIGHT) < 1e-3


def test_what_can_still_be_in_time_goes_before_what_is_late():
    admission = Admission(1)
    admission.observe(0.4)
    for name, rank, target_at in (
        ('late', 1, 10.1),
        ('hopeless', 1, 10.3),
        ('in time', 1, 10.6),
        ('lower rank', 2, 99.0),
    ):
        admission.enqueue(name, rank, 20.0 + target_at, 15.0, target_at)
    order = []
    while admission.queue:
        item, too_late = admission.dequeue(10.0)
        assert not too_late
        order.append(item.received)
    assert order == ['in time', 'late', 'hopeless', 'lower rank']


# More load than room: of two routes, the one whose callers wait longer for an
# answer that comes late had all of its requests behind those of the other.
def test_the_next_target_goes_first_whatever_the_deadlines():
    admission = Admission(1, order='target')
    admission.observe(0.1)
    for name, deadline, target_at in (
        ('lookup 2', 13.5, 10.6),
        ('booking', 14.5, 10.5),
        ('lookup 1', 13.4, 10.4),
        ('late', 11.0, 10.05),
    ):
        admission.enqueue(name, 1, deadline, 99.0, target_at)
    order = [admission.dequeue(10.0)[0].received for _ in range(4)]
    assert order == ['lookup 1', 'booking', 'lookup 2', 'late']


# Brief calls beside long ones were taken for too late at once, by the mean
# time of all routes.
def test_a_brief_route_is_late_by_its_own_run_time():
    admission = Admission(1, order='target')
    for _ in range(50):
        admission.observe(0.4, 'long')
        admission.observe(0.04, 'brief')
    for route in ('long', 'brief'):
        admission.enqueue(route, 1, 20.0, 99.0, 10.15, route=route)
    assert admission.dequeue(10.0)[0].received == 'brief'


def test_a_new_request_does_not_wait_for_those_that_are_late():
    admission = Admission(1, order='target')
    admission.observe(0.4)
    admission.running = 1
    for _ in range(5):
        admission.enqueue('late', 1, 20.0, 15.0, 10.1)
    assert admission.expected_wait(1, 9.0) > 1.9
    assert admission.count_ahead_of_new(9.0) == 5
    assert admission.expected_wait(1, 10.0) < 0.5
    assert admission.count_ahead_of_new(10.0) == 0
    assert admission.expected_wait(2, 10.0) > 1.9


def test_targets_count_within_the_organisation_whose_turn_it_is():
    admission = Admission(1, order='target')
    admission.observe(0.4)
    for name, tag, target_at in (
        ('small', 1.0, 10.7),
        ('large', 2.0, 10.1),
        ('large', 3.0, 10.6),
        ('large', 4.0, 10.5),
    ):
        admission.enqueue((name, tag), 1, 20.0, 15.0, target_at, tag)
    order = [admission.dequeue(10.0)[0].received for _ in range(4)]
    assert order == [
        ('small', 1.0),
        ('large', 3.0),
        ('large', 4.0),
        ('large', 2.0),
    ]


# What is new must not change how a mesh without organisations is served.
def test_without_organisations_the_order_is_that_of_deadlines():
    admission = Admission(1)
    admission.observe(0.1)
    for name, deadline, target_at in (
        ('lookup', 13.5, 10.6),
        ('booking', 14.5, 10.5),
        ('late', 11.0, 10.05),
    ):
        admission.enqueue(name, 1, deadline, 99.0, target_at)
    assert admission.count_ahead_of_new(10.0) == 3
    order = [admission.dequeue(10.0)[0].received for _ in range(3)]
    assert order == ['lookup', 'booking', 'late']


def test_a_queue_goes_by_rank_then_deadline():
    admission = Admission(1)
    admission.running = 1
    for name, rank, deadline in (('c', 2, 5), ('b', 0, 9), ('a', 0, 8)):
        admission.enqueue(name, rank, deadline, 99.0)
    admission.running = 0
    assert [admission.dequeue(1.0)[0].received for _ in range(3)] == list(
        'abc'
    )


def test_a_request_without_time_left_gives_up_its_place():
    admission = Admission(1)
    admission.enqueue('late', 0, 1.01, 99.0)
    admission.enqueue('left', 0, 9.0, 0.5)
    admission.enqueue('good', 1, 9.0, 99.0)
    item, too_late = admission.dequeue(1.0)
    assert item.received == 'good'
    assert [late.received for late in too_late] == ['late', 'left']


def test_waiting_is_estimated_by_rank():
    admission = Admission(2)
    admission.running = 2
    admission.service_seconds = 0.1
    for number in range(10):
        admission.enqueue(number, 2, 9.0, 9.0)
    assert admission.expected_wait(0, 1.0) < admission.expected_wait(2, 1.0)
    assert admission.admits(0, 0.1, 1.0)
    assert not admission.admits(2, 0.1, 1.0)
    assert not admission.admits(0, 9.0, 1.0, spare_slot_fraction=0.1)


# Under too much load, late requests were held until their last wait was over
# and refused then, a second later, while others took every slot.
def test_what_is_late_is_given_back_while_the_endpoint_is_full():
    admission = Admission(1, order='target')
    admission.observe(0.1)
    admission.begin('lookup', 10.0)
    for name, target_at in (('late', 10.35), ('in time', 11.5)):
        admission.enqueue(name, 1, 20.0, 15.0, target_at)
    assert not admission.is_full(10.3)
    assert not admission.remove_late(10.3)
    assert admission.is_full(10.6)
    given_back = admission.remove_late(10.6)
    assert [item.received for item in given_back] == ['late']
    assert [item.received for item in admission.queue] == ['in time']


def test_late_requests_use_the_room_that_others_leave():
    admission = Admission(1, order='target')
    admission.observe(0.1)
    admission.begin('lookup', 10.0)
    admission.enqueue('late', 1, 20.0, 15.0, 10.1)
    admission.end(None, 11.0, True)
    assert admission.dequeue(11.0)[0].received == 'late'
    admission.begin('late', 11.0)
    admission.enqueue('late, too', 1, 20.0, 15.0, 11.0)
    assert not admission.remove_late(11.2)


# Runs of seconds would make an endpoint seem full on which nobody had waited.
def test_long_runs_alone_do_not_fill_an_endpoint():
    admission = Admission(1, order='target')
    admission.observe(2.0)
    run = admission.begin('listing', 10.0)
    assert not admission.is_full(13.0)
    admission.end(run, 13.5, True)
    assert not admission.is_full(17.0)
    admission.begin('listing', 17.0)
    admission.enqueue('listing', 1, 40.0, 40.0, 40.0)
    assert admission.is_full(22.0)
