"""Run one short seed of the soak; more are run by hand."""

from tests.soaks import soak
from tests.support import suite_of

load_tests = suite_of(__name__)


def test_promises_hold_on_real_processes_under_random_faults():
    broken, counts = soak(seed=11)
    assert not broken, (broken[:9], counts)
    assert counts['status 200'] > 0, counts
