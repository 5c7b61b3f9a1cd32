"""Check the invariants of merging updates, in any order."""

from dataclasses import replace

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies as st

from poplarrack.evidence import Verdict
from poplarrack.knowledge import apply_snapshot
from poplarrack.knowledge import Knowledge
from poplarrack.knowledge import merge_updates
from poplarrack.members import MemberState
from poplarrack.messages import Updates
from poplarrack.snapshots import diff_snapshots
from poplarrack.snapshots import Snapshot
from tests.samples import member
from tests.samples import route_json
from tests.samples import service_json
from tests.samples import snapshot
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)


def version(number):
    """Build a snapshot that depends on a number; every fourth is invalid."""
    names = [f's{i}' for i in range(1 + number % 3)]
    changes = {f't/services/{name}': service_json(name) for name in names}
    target = 'none' if number % 4 == 3 else names[-1]
    changes['t/routes/r'] = route_json('r', target, timeout_seconds=number + 1)
    return snapshot(number, changes)


VERSIONS = [Snapshot(), *(version(number) for number in range(1, 13))]

deltas = st.tuples(
    st.integers(0, 12), st.integers(1, 12), st.booleans(), st.booleans()
)
members = st.builds(
    member,
    st.sampled_from(['n1', 'n2', 'n3']),
    incarnation=st.integers(1, 3),
    sequence=st.integers(1, 3),
    state=st.sampled_from(list(MemberState)),
)
verdicts = st.builds(
    Verdict,
    st.sampled_from(['m1', 'm2']),
    st.just('r'),
    st.just('failures'),
    st.just(9.0),
    st.just(1.0),
    st.just('n1'),
)
steps = st.lists(st.one_of(deltas, members, verdicts), max_size=40)


def apply_step(knowledge, step):
    """Apply a step: a snapshot, a possibly truncated delta, or a record."""
    if not isinstance(step, tuple):
        is_verdict = isinstance(step, Verdict)
        updates = Updates(
            'x',
            None,
            () if is_verdict else (step,),
            (step,) if is_verdict else (),
        )
        return merge_updates(knowledge, updates).knowledge
    base, target, from_platform, truncated = step
    if from_platform:
        return apply_snapshot(knowledge, VERSIONS[target])
    delta = diff_snapshots(VERSIONS[base], VERSIONS[target])
    if truncated:
        delta = replace(delta, changed=delta.changed[1:])
    return merge_updates(knowledge, Updates('x', delta)).knowledge


def check_invariants(before, after):
    """Check the invariants between the knowledge before and after a step."""
    configuration = after.configuration
    assert configuration.revision >= before.configuration.revision
    assert configuration.snapshot in VERSIONS, 'partially applied'
    assert all(
        item.service in configuration.services for item in configuration.routes
    )
    assert set(after.verdicts) >= set(before.verdicts)
    for node_id, old in before.members.members.items():
        assert after.members.members[node_id].rank >= old.rank


@seed(20261204)
@settings(max_examples=300, deadline=None, database=None)
@given(steps)
def test_promises_hold_after_every_step(sequence):
    knowledge = Knowledge()
    for step in sequence:
        after = apply_step(knowledge, step)
        check_invariants(knowledge, after)
        knowledge = after


@seed(20261205)
@settings(max_examples=100, deadline=None, database=None)
@given(st.lists(members, max_size=12), st.randoms(use_true_random=False))
def test_members_merge_to_the_same_in_any_order(records, random):
    shuffled = [*records, *records]
    random.shuffle(shuffled)
    one = merge_updates(
        Knowledge(), Updates('x', None, tuple(records))
    ).knowledge
    two = Knowledge()
    for record in shuffled:
        two = merge_updates(two, Updates('x', None, (record,))).knowledge
    assert one.members.digest == two.members.digest
    ranks = {k: m.rank for k, m in one.members.members.items()}
    assert ranks == {k: m.rank for k, m in two.members.members.items()}
    assert one.members.suspects == two.members.suspects


def test_a_delta_that_does_not_fit_is_wanted_anew():
    held = apply_snapshot(Knowledge(), VERSIONS[1])
    delta = diff_snapshots(VERSIONS[4], VERSIONS[5])
    result = merge_updates(held, Updates('x', delta))
    assert result.stale
    assert result.knowledge.configuration.revision == 1


def test_a_second_verdict_on_a_move_is_no_news():
    verdict = Verdict('m1', 'r', 'failures', 9.0, 1.0, 'n1')
    once = merge_updates(Knowledge(), Updates('x', verdicts=(verdict,)))
    again = merge_updates(once.knowledge, Updates('y', verdicts=(verdict,)))
    assert once.changes.verdicts and again.changes.empty


def digest_after(held, read, read_at):
    knowledge = apply_snapshot(Knowledge(), held)
    return apply_snapshot(knowledge, read, read_at).configuration


# Other content under the revision that was held, or under an older one as
# after a deletion, was ignored even if the store had it.
def test_the_store_decides_on_the_content_of_a_revision():
    for read_at, number, revision in ((4, 4, 4), (6, 4, 6), (6, 2, 6)):
        read = replace(version(2), revision=number)
        after = digest_after(VERSIONS[4], read, read_at)
        assert after.snapshot.digest == read.digest
        assert after.revision == revision


def test_a_read_replaces_nothing_newer_and_nothing_by_nothing():
    other = replace(version(2), revision=4)
    for read, read_at in (
        (other, 0),
        (other, 3),
        (replace(VERSIONS[4], revision=2), 9),
        (Snapshot(), 9),
    ):
        after = digest_after(VERSIONS[4], read, read_at)
        assert after.snapshot is VERSIONS[4]
