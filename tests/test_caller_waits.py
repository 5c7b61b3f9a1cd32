"""Test what a call's deadline tells of how long its caller has waited."""

from poplarrack.caller_waits import CallerWaits
from poplarrack.caller_waits import FIRST_CALL_FRACTION
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)


# Calls that came back after a refusal were taken for new ones. They got the
# slots of those that could still be in time: two thirds of the lookups that
# were answered on a busy day were late for their callers.
def test_a_call_that_comes_back_has_used_a_part_of_its_time():
    waits = CallerWaits()
    for seconds in (3.0, 3.3, 2.9):
        assert waits.record('lookup', seconds) == 0
    passed = waits.record('lookup', 1.5)
    assert abs(passed - (FIRST_CALL_FRACTION * 3.3 - 1.5)) < 0.01
    assert waits.record('other', 1.5) == 0


def test_a_longer_deadline_of_before_is_forgotten():
    waits = CallerWaits()
    waits.record('lookup', 10.0)
    assert waits.record('lookup', 3.0) > 5
    for _ in range(6_000):
        waits.record('lookup', 3.0)
    assert waits.record('lookup', 3.0) == 0
    waits.keep_only({'other'})
    assert waits.longest == {}
