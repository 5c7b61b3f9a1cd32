"""Test that better ranks leave others a part of an endpoint with too little.

The load: lookups of a better rank, by themselves twice what the endpoints
run, beside a third as many bookings. The bounds are those of the platform: a
kind is starved if it is served less than a quarter as often as all, and the
more urgent one is put behind if it is served less often by over 5 in 100.
"""

from dataclasses import replace

from poplarrack.admissions import Admission
from poplarrack.benches.many_nodes import run_mesh
from poplarrack.benches.mesh_shapes import CallKind
from poplarrack.benches.mesh_shapes import FOUR_ZONES
from poplarrack.benches.mesh_shapes import MeshShape
from poplarrack.rank_turns import MAX_RANKS
from poplarrack.rank_turns import RankTurns
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

SEED = 5607
LOOKUP = CallKind('lookup', 'desk', 600.0, 0.16, 0.576, 1.5, 0)
BOOKING = CallKind('booking', 'desk', 200.0, 0.13, 0.674, 2.0, 1)
DESK = MeshShape(
    16, (LOOKUP, BOOKING), (('desk', 1.0),), FOUR_ZONES, slots=3, seconds=8.0
)
LEAST_PART_OF_ALL = 0.25
MOST_PUT_BEHIND = 0.05


def served_fractions(seen):
    """Return the fractions of lookups, bookings and all that were served."""

    def fraction(kinds):
        statuses = [
            item.status for item in seen.answered if item.kind in kinds
        ]
        return statuses.count(200) / len(statuses)

    return (
        fraction(('lookup',)),
        fraction(('booking',)),
        fraction(('lookup', 'booking')),
    )


def check_served(load, tolerance=MOST_PUT_BEHIND):
    seen = run_mesh(replace(DESK, load=load), SEED)
    lookups, bookings, all_requests = served_fractions(seen)
    seen = (lookups, bookings, all_requests)
    assert bookings >= LEAST_PART_OF_ALL * all_requests, seen
    assert lookups >= bookings - tolerance, seen


# Starved: while lookups filled the slots, strict order left bookings none for
# twenty seconds, and they were refused at each node that they were offered to.
def test_a_worse_rank_is_served_while_a_better_one_fills_the_slots():
    check_served(load=1.0)
    check_served(load=0.7)


# Refused requests were held for twice their target latency and longer: their
# callers had no time left to come back, and each hold is wasted.
def test_what_cannot_be_in_time_is_refused_before_its_target_has_passed():
    for load in (0.7, 1.0):
        seen = run_mesh(replace(DESK, load=load), SEED)
        for kind in (LOOKUP, BOOKING):
            refused = sorted(
                item.seconds
                for item in seen.answered
                if item.kind == kind.name and item.status != 200
            )
            assert refused
            median = refused[len(refused) // 2]
            assert median < kind.target_seconds, (kind.name, median)


def test_a_rank_that_is_behind_goes_next_if_it_can_be_in_time():
    admission = Admission(1, order='target')
    admission.observe(0.1)
    for number in range(20):
        admission.turns.ask(number % 2, 10.0)
    for _ in range(10):
        admission.end(admission.begin('lookup', 10.0, 0), 10.1, True)
    admission.enqueue('lookup', 0, 20.0, 20.0, 10.6)
    admission.enqueue('late booking', 1, 20.0, 20.0, 10.05)
    assert admission.dequeue(10.0)[0].received == 'lookup'
    admission.enqueue('lookup', 0, 20.0, 20.0, 10.6)
    admission.enqueue('booking', 1, 20.0, 20.0, 10.6)
    assert admission.dequeue(10.0)[0].received == 'booking'


def test_a_rank_that_is_behind_waits_only_for_its_own():
    admission = Admission(1, order='target')
    admission.observe(0.1)
    admission.running = 1
    for _ in range(10):
        admission.turns.ask(0, 10.0)
        admission.turns.serve(0, 10.0)
        admission.enqueue('lookup', 0, 20.0, 20.0, 19.0)
    assert not admission.admits(1, 0.3, 10.0)
    for _ in range(5):
        admission.turns.ask(1, 10.0)
    assert admission.admits(1, 0.3, 10.0)
    admission.enqueue('booking', 1, 20.0, 10.3, 19.0)
    assert admission.displaced(10.0) is None


def test_without_other_ranks_or_after_a_while_no_rank_is_behind():
    turns = RankTurns()
    for _ in range(50):
        turns.ask(1, 10.0)
    assert not turns.is_behind(1, 10.0)
    for _ in range(50):
        turns.ask(0, 10.0)
        turns.serve(0, 10.0)
    assert turns.is_behind(1, 10.0)
    assert not turns.is_behind(0, 10.0)
    assert turns.next_rank([0, 1], 10.0) == 1
    assert not turns.is_behind(1, 60.0)
    assert turns.next_rank([0, 1], 60.0) == 0


def test_ranks_without_end_leave_a_process_its_memory():
    turns = RankTurns()
    for rank in range(3 * MAX_RANKS):
        turns.ask(rank, 10.0)
    assert len(turns.loads) <= MAX_RANKS
