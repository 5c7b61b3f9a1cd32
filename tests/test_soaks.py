"""Run short seeds of the soak; ``python -m tests.soaks`` runs others."""

from tests.soak_meshes import OwnMesh
from tests.soaks import run_soak
from tests.soaks import select_shown
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)


def assert_held(violations, counts):
    assert not violations, (select_shown(violations), counts)
    assert counts['status 200'] and counts['handled in touch'], counts


def test_promises_hold_on_real_processes_under_random_faults():
    # Rules broken where faults, changes and second answers overlap.
    assert_held(*run_soak(seed=11, seconds=15.0))


def test_promises_hold_in_the_own_mesh_under_random_faults():
    # The same where nodes reach every endpoint and answers echo no id.
    assert_held(*run_soak(seed=12, seconds=8.0, mesh=OwnMesh.name))
