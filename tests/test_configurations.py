"""Test that an invalid configuration is rejected, with all reasons."""

from poplarrack.benches.scenarios import build_changes
from poplarrack.benches.scenarios import route_change
from poplarrack.benches.scenarios import timeout_of_turn
from poplarrack.configurations import load_configuration
from poplarrack.errors import ErrorKind
from poplarrack.knowledge import apply_snapshot
from poplarrack.knowledge import Knowledge
from tests.samples import CHANGES
from tests.samples import route_json
from tests.samples import service_json
from tests.samples import snapshot
from tests.support import assert_raises
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

INVALID_CHANGES = {
    'dangling': ({'t/routes/x': route_json('x', 'none')}, 'no service'),
    'unknown kind': ({'t/things/x': b'{}'}, 'unknown kind'),
    'unknown field': ({'t/services/x': service_json('x', size=3)}, 'size'),
    'malformed': ({'t/services/x': b'{'}, 'services/x'),
    'wrong type': ({'t/services/x': service_json('x', slots='1')}, 'slots'),
    'other name': ({'t/services/x': service_json('y')}, 'names'),
    'other owner': ({'u/services/front': service_json()}, 'already'),
    'bad path': ({'front': service_json()}, 'path is'),
    'too large': ({'t/services/x': b' ' * 1_000_001}, '1000001 bytes'),
    'cycle': (
        {
            't/services/x': service_json('x', calls=['y']),
            't/services/y': service_json('y', calls=['x']),
        },
        'cycle',
    ),
    'too deep': (
        {
            f't/services/d{i}': service_json(
                f'd{i}', calls=[f'd{i + 1}'] if i < 11 else []
            )
            for i in range(12)
        },
        'deep',
    ),
    'no move target': (
        {
            't/moves/none': b'{"service":"none","from_version":"a",'
            b'"to_version":"a","complete_by":1,"move_id":"m",'
            b'"started_at":0,"share":2}'
        },
        'both versions',
    ),
}


def test_each_kind_of_bad_setting_is_refused_with_its_reason():
    for name, (changes, reason) in INVALID_CHANGES.items():
        invalid = snapshot(2, {**CHANGES, **changes})
        error = assert_raises(
            ErrorKind.INVALID_CONFIGURATION, load_configuration, invalid
        )
        assert reason in error.detail, (name, error.detail)


def test_all_faults_are_reported_at_once():
    changes = {
        **INVALID_CHANGES['dangling'][0],
        **INVALID_CHANGES['unknown kind'][0],
    }
    error = assert_raises(
        ErrorKind.INVALID_CONFIGURATION,
        load_configuration,
        snapshot(2, changes),
    )
    assert 'no service' in error.detail
    assert 'unknown kind' in error.detail


def test_a_rejected_version_leaves_the_old_in_force_whole():
    before = apply_snapshot(Knowledge(), snapshot(1))
    changes = {
        't/services/front': service_json(version='v9'),
        't/routes/front': route_json(target='none'),
    }
    after = apply_snapshot(before, snapshot(2, changes))
    assert after.configuration is before.configuration
    assert after.rejection.revision == 2
    assert 'no service' in after.rejection.reasons[0]
    corrected = apply_snapshot(after, snapshot(3))
    assert corrected.configuration.revision == 3
    assert corrected.rejection is None


def test_bench_timeouts_are_valid_at_any_seed():
    for turn in (0, 3, 1001, 90417, 338201, 774013):
        change = route_change(0, timeout_of_turn(turn))
        changes = {**build_changes(4), **change}
        load_configuration(snapshot(1, changes))
