"""Test snapshots, deltas and their digests."""

from dataclasses import replace

from poplarrack.errors import ErrorKind
from poplarrack.snapshots import apply_delta
from poplarrack.snapshots import build_snapshot
from poplarrack.snapshots import diff_snapshots
from poplarrack.snapshots import Entry
from poplarrack.snapshots import Snapshot
from poplarrack.snapshots import SnapshotHistory
from tests.support import assert_raises
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

OLD = build_snapshot(3, [Entry('a', b'1', 1), Entry('b', b'2', 3)])
NEW = build_snapshot(5, [Entry('b', b'9', 5), Entry('c', b'4', 4)])


def test_a_delta_takes_its_base_to_its_target():
    delta = diff_snapshots(OLD, NEW)
    assert delta.removed == ('a',)
    assert {entry.path for entry in delta.changed} == {'b', 'c'}
    assert apply_delta(OLD, delta) == NEW


def test_a_delta_from_nothing_carries_everything_and_fits_any_base():
    delta = diff_snapshots(Snapshot(), NEW)
    assert apply_delta(OLD, delta) == NEW


def test_a_delta_for_another_base_is_refused():
    delta = diff_snapshots(OLD, NEW)
    other = build_snapshot(3, [Entry('a', b'1', 1)])
    assert_raises(ErrorKind.STALE_DELTA, apply_delta, other, delta)
    assert_raises(ErrorKind.STALE_DELTA, apply_delta, NEW, delta)


def test_a_truncated_delta_is_refused():
    delta = diff_snapshots(OLD, NEW)
    cut = replace(delta, changed=delta.changed[:1])
    assert_raises(ErrorKind.STALE_DELTA, apply_delta, OLD, cut)


def test_history_gives_a_small_delta_or_everything():
    history = SnapshotHistory(max_snapshots=2)
    history.add(OLD)
    assert history.delta_from(3, OLD.digest, NEW).base_revision == 3
    assert history.delta_from(3, OLD.digest + 1, NEW).base_revision == 0
    for revision in (6, 7):
        history.add(build_snapshot(revision, []))
    assert history.delta_from(3, OLD.digest, NEW).base_revision == 0
