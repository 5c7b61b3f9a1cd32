"""Run one short seed of the soak; more are run by hand."""

from tests.soaks import soak
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)


def test_promises_hold_on_real_processes_under_random_faults():
    broken, counts = soak(seed=11)
    assert not broken, (broken[:9], counts)
    assert counts['status 200'] > 0, counts
