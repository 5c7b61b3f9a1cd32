"""Test what is learnt of how long the requests of a route run."""

from random import Random

from poplarrack.destination_states import DestinationState
from poplarrack.destination_states import Tier
from poplarrack.placements import choose_destination
from poplarrack.placements import DestinationGroup
from poplarrack.placements import RemainingTime
from poplarrack.run_times import MAX_FACTOR
from poplarrack.run_times import MIN_FACTOR
from poplarrack.run_times import RunTimes
from tests.support import build_load_tests
from tests.test_senders import destination

load_tests = build_load_tests(__name__)


def test_a_routes_factor_is_its_mean_run_to_the_service_time():
    times = RunTimes()
    assert times.factor_of('front', 'brief') == 1.0
    for seconds in (0.02, 0.04, 0.03):
        times.record('front', 'brief', seconds, 0.3)
    assert abs(times.factor_of('front', 'brief') - 0.1) < 1e-9
    times.record('front', 'other', 0.0, 0.3)
    times.record('front', 'other', 0.3, 0.0)
    assert times.factor_of('front', 'other') == 1.0
    times.keep_only({'other'})
    assert times.factor_of('front', 'brief') == 1.0


# One run of a second at an endpoint of a millisecond must not make a route
# seem endless.
def test_a_factor_stays_in_bounds():
    times = RunTimes()
    times.record('front', 'r', 10.0, 0.001)
    assert abs(times.factor_of('front', 'r') - MAX_FACTOR) < 1e-9
    times.record('back', 'r', 0.00001, 1.0)
    assert abs(times.factor_of('back', 'r') - MIN_FACTOR) < 1e-9


# No endpoint seemed fast enough for a brief call whose target latency is
# shorter than the service time of all routes together.
def test_a_brief_call_is_placed_where_long_ones_run():
    state = DestinationState(destination(1, Tier.ZONE), 10.0, True)
    state.record_load(2, 0, 200.0, 0.0, 10.0)
    group = DestinationGroup([state])

    def place(run_factor):
        remaining = RemainingTime(0.15, 0.5, run_factor)
        return choose_destination(group, remaining, set(), 10.0, Random(1))

    assert place(1.0) is None
    assert place(0.2).state is state
    assert place(0.2).max_wait_seconds > 0
