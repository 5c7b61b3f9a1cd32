"""Check where requests are placed, and what a queue lets in."""

from random import Random

from poplarrack.admissions import Admission
from poplarrack.exchanges import Occupancy
from poplarrack.placements import choose_door
from poplarrack.placements import choose_queue
from poplarrack.placements import DoorState
from poplarrack.placements import may_eject
from poplarrack.placements import Tier
from poplarrack.placements import Wish
from tests.support import suite_of
from tests.test_senders import door

load_tests = suite_of(__name__)

WISH = Wish(0.4, 1.2)
TIERS = (Tier.OWN, Tier.ZONE, Tier.REGION, Tier.FAR)


def states(now=10.0):
    """Return the state of one endpoint in each tier."""
    return [
        DoorState(door(number, tier), now, True)
        for number, tier in enumerate(TIERS)
    ]


def tell(state, running, waiting=0, wait_ms=0, now=10.0):
    state.on_occupancy(Occupancy(running, waiting, 10, wait_ms, 90.0), now)


def choose(group, now=10.0, tried=()):
    placement = choose_door(group, WISH, set(tried), now, Random(1))
    return placement and placement.state.door.tier


def test_the_nearest_with_room_is_chosen():
    group = states()
    assert choose(group) is Tier.OWN
    for state, tier in zip(group, (Tier.ZONE, Tier.REGION, Tier.FAR)):
        tell(state, 10, 60, 900)
        assert choose(group) is tier
    tell(group[-1], 10, 60, 900)
    assert choose(group) is None


def test_far_requests_ask_for_spare_slots():
    group = states()
    for state in group[:-1]:
        tell(state, 10, 60, 900)
    placement = choose_door(group, WISH, set(), 10.0, Random(1))
    assert placement.state.door.tier is Tier.FAR
    assert placement.spare_part > 0


def test_what_was_told_long_ago_does_not_count():
    group = states()
    tell(group[0], 10, 60, 900)
    assert choose(group) is Tier.ZONE
    assert group[0].expected_wait(10.1) > 0
    assert group[0].expected_wait(11.0) == 0


def test_a_first_offer_is_made_whatever_is_known():
    group = states()
    for state in group:
        tell(state, 10, 99, 5000)
    first = choose_queue(group, WISH, set(), 10.0, Random(1), False)
    assert first is not None and first.patience_seconds > 0
    assert choose_queue(group, WISH, set(), 10.0, Random(1), True) is None


def test_a_new_endpoint_gets_part_of_its_slots():
    cold = DoorState(door(9, Tier.OWN), 10.0, False)
    assert cold.usable_slots(10.0) < 10
    assert cold.usable_slots(20.0) == 10


def test_ejections_never_empty_a_service():
    group = states()
    for state in group:
        for _ in range(6):
            state.on_answer(True)
        if may_eject(state, group, 10.0):
            state.eject(10.0)
    out = [state for state in group if state.ejected_until > 10.0]
    assert len(out) == 1


def test_a_queue_goes_by_rank_then_deadline():
    admission = Admission(1)
    admission.running = 1
    for name, rank, deadline in (('c', 2, 5), ('b', 0, 9), ('a', 0, 8)):
        admission.enqueue(name, rank, deadline, 99.0)
    admission.running = 0
    assert [admission.take(1.0)[0].ticket for _ in range(3)] == list('abc')


def test_a_request_without_time_left_gives_up_its_place():
    admission = Admission(1)
    admission.enqueue('late', 0, 1.01, 99.0)
    admission.enqueue('left', 0, 9.0, 0.5)
    admission.enqueue('good', 1, 9.0, 99.0)
    item, too_late = admission.take(1.0)
    assert item.ticket == 'good'
    assert [late.ticket for late in too_late] == ['late', 'left']


def test_waiting_is_estimated_by_rank():
    admission = Admission(2)
    admission.running = 2
    admission.service_seconds = 0.1
    for number in range(10):
        admission.enqueue(number, 2, 9.0, 9.0)
    assert admission.expected_wait(0) < admission.expected_wait(2)
    assert admission.admits(0, 0.1) and not admission.admits(2, 0.1)
    assert not admission.admits(0, 9.0, spare_part=0.1)


def test_a_new_endpoint_is_tried_soon():
    old = [DoorState(door(n, Tier.ZONE), 10.0, True) for n in (1, 2)]
    for state in old:
        state.on_occupancy(Occupancy(1, 0, 10, 0, 20.0), 10.0)
    new = DoorState(door(3, Tier.ZONE), 10.0, False)
    placement = choose_door([*old, new], WISH, set(), 10.0, Random(1))
    assert placement.state is new
