"""Run one seed of the soak test; ``python -m tests.soaks`` runs others."""

from tests.soaks import run_soak
from tests.soaks import select_shown
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)


def test_promises_hold_on_real_processes_under_random_faults():
    # Rules broken where faults, changes and second answers overlap.
    violations, counts = run_soak(seed=11)
    assert not violations, (select_shown(violations), counts)
    assert counts['status 200'] and counts['handled in touch'], counts
