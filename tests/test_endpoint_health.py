"""Test what a node believes of its own endpoint after failures."""

from poplarrack.endpoint_health import FailureRate
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)


def rate_after(outcomes, seconds=0.1):
    rate, now = FailureRate(), 1000.0
    for failed in outcomes:
        now += seconds
        rate.record(failed, now)
    return rate, now


def test_a_failing_endpoint_is_known_within_a_second_of_its_answers():
    rate, now = rate_after([True] * 6)
    assert rate.at(now) >= 0.4
    seldom, now = rate_after(([True] + [False] * 9) * 5)
    assert seldom.at(now) < 0.2


# An endpoint that gets no requests any more could not show that it is well.
def test_a_belief_heals_without_requests():
    rate, now = rate_after([True] * 20)
    assert rate.at(now) > 0.7
    assert rate.at(now + 3.0) < 0.4
    assert rate.at(now + 30.0) < 0.001
