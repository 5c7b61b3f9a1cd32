"""Test operators' edits: ownership, races and atomic writes."""

from contextlib import contextmanager
from random import Random

from poplarrack.call_tables import is_in_effect
from poplarrack.editors import Edit
from poplarrack.editors import Editor
from poplarrack.editors import withdraw_by_operator
from poplarrack.errors import ErrorKind
from poplarrack.operator_sessions import read_json_argument
from poplarrack.operator_sessions import read_time_argument
from poplarrack.resources import encode_resource
from poplarrack.resources import MoveState
from poplarrack.resources import Service
from poplarrack.stand_ins.fakes import DirectPlatformClient
from poplarrack.stand_ins.platforms import PlatformStandIn
from tests.samples import CHANGES
from tests.samples import move
from tests.samples import route_json
from tests.samples import service_json
from tests.support import assert_raises
from tests.support import build_load_tests
from tests.support import fixture

load_tests = build_load_tests(__name__)


@fixture
@contextmanager
def stand_in():
    yield PlatformStandIn(lambda: 0.0, 1e9, 1e9)


def editor(stand_in, team='t'):
    return Editor(DirectPlatformClient(stand_in, Random(1), lambda: 0), team)


def test_a_write_outside_the_own_subtree_is_refused(stand_in):
    error = assert_raises(
        ErrorKind.FORBIDDEN, editor(stand_in, 'u').write, Edit(CHANGES)
    )
    assert 'belongs to' in error.detail


def test_several_paths_are_written_whole_or_not_at_all(stand_in):
    mine = editor(stand_in)
    invalid = {**CHANGES, 't/routes/x': route_json('x', 'none')}
    assert_raises(ErrorKind.INVALID_CONFIGURATION, mine.write, Edit(invalid))
    assert not mine.read().snapshot.entries
    revision = mine.write(Edit(CHANGES))
    entries = mine.read().snapshot.entries
    assert {entry.revision for entry in entries.values()} == {revision}


def test_an_expected_revision_that_passed_shows_what_changed(stand_in):
    mine, theirs = editor(stand_in), editor(stand_in)
    path = 't/services/front'
    first = mine.write(Edit(CHANGES))
    theirs.write(Edit({path: service_json(version='v7')}))
    error = assert_raises(
        ErrorKind.CONFLICT,
        mine.write,
        Edit({path: service_json(version='v8')}, {path: first}),
    )
    assert '"v7"' in error.detail and '"v8"' in error.detail


def test_of_two_operators_racing_one_wins_and_one_is_told(stand_in):
    mine, theirs = editor(stand_in), editor(stand_in)
    mine.write(Edit(CHANGES))
    path = 't/services/front'
    read = mine.read

    def read_before_their_write():
        current = read()
        mine.read = read
        theirs.write(Edit({path: service_json(version='v7')}))
        return current

    mine.read = read_before_their_write
    assert_raises(
        ErrorKind.CONFLICT,
        mine.write,
        Edit({path: service_json(version='v8')}),
    )
    assert b'v7' in mine.read().snapshot.entries[path].value


def test_a_race_on_another_path_is_checked_again(stand_in):
    mine, theirs = editor(stand_in), editor(stand_in)
    mine.write(Edit(CHANGES))
    read = mine.read

    def read_before_their_write():
        current = read()
        mine.read = read
        theirs.write(Edit({'t/routes/front': None}))
        theirs.write(Edit({'t/services/front': None}))
        return current

    mine.read = read_before_their_write
    error = assert_raises(
        ErrorKind.INVALID_CONFIGURATION,
        mine.write,
        Edit({'t/routes/two': route_json('two')}),
    )
    assert "no service 'front'" in error.detail


def test_an_operator_takes_a_move_back_once(stand_in):
    mine = editor(stand_in)
    value = encode_resource(move(state=MoveState.ADVANCING, share=0.5))
    mine.write(Edit({**CHANGES, 't/moves/front': value}))
    mine.withdraw_move('front', 'jo', 5.0)
    _, record = mine.read_move('front')
    assert record.state is MoveState.WITHDRAWN and record.share == 0
    assert 'jo' in record.reason
    assert_raises(
        ErrorKind.MOVE_WITHDRAWN, withdraw_by_operator, record, 'jo', 6.0
    )


def test_a_completed_move_is_taken_back_with_its_service(stand_in):
    mine = editor(stand_in)
    completed = move(state=MoveState.COMPLETED, share=1.0, ended_at=950.0)
    changes = {
        **CHANGES,
        't/services/front': service_json(version='v2', slots=7),
        't/moves/front': encode_resource(completed),
    }
    mine.write(Edit(changes))
    assert_raises(ErrorKind.USAGE, mine.withdraw_move, 'front', 'jo', 9999.0)
    mine.withdraw_move('front', 'jo', 960.0)
    value = mine.read().snapshot.entries['t/services/front'].value
    assert b'"v1"' in value and b'"slots":7' in value, value


def test_an_ended_move_leaves_the_word_to_the_service():
    current = Service('front', 'v2')
    completed = move(state=MoveState.COMPLETED, ended_at=950.0)
    assert is_in_effect(completed, current, 960.0)
    assert not is_in_effect(completed, current, 9999.0)
    assert not is_in_effect(completed, Service('front', 'v3'), 960.0)
    assert not is_in_effect(move(state=MoveState.WITHDRAWN), current, 1.0)
    assert is_in_effect(move(state=MoveState.HOLDING), current, 1.0)


def test_history_goes_back_as_far_as_the_platform_keeps_it(stand_in):
    mine = editor(stand_in)
    mine.write(Edit(CHANGES))
    for version in ('v2', 'v3'):
        mine.write(Edit({'t/services/front': service_json(version=version)}))
    values = [item.value for item in mine.history('t/services/front')]
    assert [b'v3' in values[0], b'v2' in values[1]] == [True, True]
    assert len(values) == 3


def test_values_and_times_are_read_as_operators_write_them():
    assert read_json_argument('{a: 1, /* note */}') == b'{"a": 1}'
    assert_raises(ErrorKind.INVALID_CONFIGURATION, read_json_argument, '{a: ')
    assert_raises(
        ErrorKind.INVALID_CONFIGURATION, read_json_argument, 'no-such-file'
    )
    assert read_time_argument('', '20m', 100.0) == 1300.0
    assert 0 < read_time_argument('23:30', '', 100.0) - 100.0 <= 86_400
    assert_raises(ErrorKind.USAGE, read_time_argument, 'soon', '', 0.0)
