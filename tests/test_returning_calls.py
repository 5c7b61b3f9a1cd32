"""Test by what a call that comes back is recognised."""

from poplarrack.returning_calls import MAX_REMEMBERED
from poplarrack.returning_calls import ReturningCalls
from poplarrack.returning_calls import TOLERANCE_SECONDS
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)


def test_a_call_with_the_deadline_of_an_earlier_one_is_that_caller_again():
    calls = ReturningCalls()
    calls.record('pay', 13.0, 10.0, 10.1)
    calls.record('pay', 13.1, 10.2, 10.3)
    near = TOLERANCE_SECONDS / 2
    assert calls.take('read', 13.0, 10.5) == 10.5
    assert calls.take('pay', 13.0 + near, 10.5) == 10.0
    assert calls.take('pay', 13.0, 10.5) == 10.5
    assert calls.take('pay', 13.1 + 2 * TOLERANCE_SECONDS, 10.5) == 10.5
    assert calls.take('pay', 13.1 - near, 10.5) == 10.2


def test_the_nearest_deadline_is_taken():
    calls = ReturningCalls()
    for number in range(3):
        calls.record('pay', 13.0 + number / 100, 10.0 + number, 10.1)
    assert calls.take('pay', 13.011, 12.5) == 11.0


# Memory: refused calls whose callers never come back must not pile up.
def test_calls_are_forgotten_once_their_callers_wait_no_more():
    calls = ReturningCalls()
    for number in range(2 * MAX_REMEMBERED):
        calls.record('pay', 13.0 + number, 10.0, 10.1)
    assert len(calls.ended['pay']) == MAX_REMEMBERED
    calls.record('pay', 9.0, 8.0, 10.1)
    assert calls.take('pay', 9.0, 10.2) == 10.2
    calls.expire(13.0 + MAX_REMEMBERED)
    assert not calls.ended
