"""Test the choice of endpoints and queues, and ejection."""

from random import Random

from poplarrack.destination_states import DestinationState
from poplarrack.destination_states import Tier
from poplarrack.exchanges import Occupancy
from poplarrack.placements import choose_destination
from poplarrack.placements import choose_queue
from poplarrack.placements import DestinationGroup
from poplarrack.placements import may_eject
from poplarrack.placements import RemainingTime
from tests.support import build_load_tests
from tests.test_senders import destination

load_tests = build_load_tests(__name__)

REMAINING = RemainingTime(0.4, 1.2)
TIERS = (Tier.OWN, Tier.ZONE, Tier.REGION, Tier.FAR)


def one_state_per_tier(now=10.0):
    return [
        DestinationState(destination(number, tier), now, True)
        for number, tier in enumerate(TIERS)
    ]


def report(state, running, waiting=0, wait_ms=0, now=10.0):
    state.record_occupancy(Occupancy(running, waiting, 10, wait_ms, 90.0), now)


def choose(group, now=10.0, tried=()):
    placement = choose_destination(
        DestinationGroup(group), REMAINING, set(tried), now, Random(1)
    )
    return placement and placement.state.destination.tier


def test_the_nearest_with_room_is_chosen():
    group = one_state_per_tier()
    assert choose(group) is Tier.OWN
    for state, tier in zip(group, (Tier.ZONE, Tier.REGION, Tier.FAR)):
        report(state, 10, 60, 900)
        assert choose(group) is tier
    report(group[-1], 10, 60, 900)
    assert choose(group) is None


def test_far_requests_ask_for_spare_slots():
    group = one_state_per_tier()
    for state in group[:-1]:
        report(state, 10, 60, 900)
    placement = choose_destination(
        DestinationGroup(group), REMAINING, set(), 10.0, Random(1)
    )
    assert placement.state.destination.tier is Tier.FAR
    assert placement.spare_slot_fraction > 0


def test_what_was_told_long_ago_does_not_count():
    group = one_state_per_tier()
    report(group[0], 10, 60, 900)
    assert choose(group) is Tier.ZONE
    assert group[0].expected_wait(10.1) > 0
    assert group[0].expected_wait(11.0) == 0


# An endpoint that slows down at half of its slots seemed half free.
def test_the_learned_room_counts_in_place_of_the_slots():
    full, free = (
        DestinationState(destination(number, Tier.ZONE), 10.0, True)
        for number in range(2)
    )
    for state, room in ((full, 4.0), (free, 10.0)):
        state.record_occupancy(Occupancy(4, 0, 10, 0, 90.0, 0.0, room), 10.0)
    assert full.expected_wait(10.0) > 0 == free.expected_wait(10.0)
    group = DestinationGroup((full, free))
    chosen = choose_destination(group, REMAINING, set(), 10.0, Random(1))
    assert chosen.state is free
    full.record_occupancy(Occupancy(4, 0, 10, 0, 90.0), 10.1)
    assert full.room == 10


def test_a_first_offer_is_made_whatever_is_known():
    group = one_state_per_tier()
    for state in group:
        report(state, 10, 99, 5000)
    group = DestinationGroup(group)
    first = choose_queue(group, REMAINING, set(), 10.0, Random(1), False)
    assert first is not None and first.max_wait_seconds > 0
    assert choose_queue(group, REMAINING, set(), 10.0, Random(1), True) is None


def test_a_new_endpoint_gets_part_of_its_slots():
    cold = DestinationState(destination(9, Tier.OWN), 10.0, False)
    assert cold.usable_slots(10.0) < 10
    assert cold.usable_slots(20.0) == 10


def test_ejections_never_empty_a_service():
    group = one_state_per_tier()
    for state in group:
        for _ in range(6):
            state.record_answer(True)
        if may_eject(state, group, 10.0):
            state.eject(10.0)
    ejected = [state for state in group if state.ejected_until > 10.0]
    assert len(ejected) == 1


def test_a_new_endpoint_is_tried_soon():
    old = [
        DestinationState(destination(n, Tier.ZONE), 10.0, True) for n in (1, 2)
    ]
    for state in old:
        state.record_occupancy(Occupancy(1, 0, 10, 0, 20.0), 10.0)
    new = DestinationState(destination(3, Tier.ZONE), 10.0, False)
    placement = choose_destination(
        DestinationGroup([*old, new]), REMAINING, set(), 10.0, Random(1)
    )
    assert placement.state is new
