"""Test that what is derived from members costs little while they change.

While endpoints are released, each node of a large mesh derives its table and
its topology many times a second.
"""

from dataclasses import replace

from poplarrack.balancers import Locality
from poplarrack.knowledge import Knowledge
from poplarrack.members import EndpointState
from poplarrack.members import MemberState
from poplarrack.members import merge_members
from poplarrack.routing_tables import derive_routing_table
from tests.samples import endpoint
from tests.samples import member
from tests.samples import member_table
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

HERE = Locality('n1', 'south', 'a')
MEMBERS = tuple(
    member(f'n{number}', endpoint=endpoint(f'10.0.0.{number}:80'))
    for number in range(1, 5)
)


def derive(table, previous):
    return derive_routing_table(HERE, Knowledge(members=table), 1.0, previous)


def changed(old, **fields):
    return replace(old, sequence=old.sequence + 1, **fields)


# All destinations were built again for a change of one member.
def test_members_that_have_not_changed_keep_their_destinations():
    table = member_table(*MEMBERS)
    first = derive_routing_table(HERE, Knowledge(members=table), 1.0)
    moved = changed(MEMBERS[1], endpoint=endpoint('10.0.0.9:80'))
    drained = changed(
        MEMBERS[2],
        endpoint=replace(MEMBERS[2].endpoint, state=EndpointState.DRAINING),
    )
    gone = changed(MEMBERS[3], state=MemberState.LEFT)
    merged = merge_members(table, (moved, drained, gone)).table
    second = derive(merged, first)
    before, after = first.destinations['front'], second.destinations['front']
    assert after[0] is before[0]
    assert [item.endpoint.address for item in after] == [
        '10.0.0.1:80',
        '10.0.0.9:80',
    ]
    fresh = derive_routing_table(HERE, Knowledge(members=merged), 1.0)
    assert second.destinations == fresh.destinations


# The topology was derived again for each change of an endpoint. What it
# depends on must still change the digest.
def test_the_digest_of_presence_changes_with_nodes_not_with_endpoints():
    table = member_table(*MEMBERS)
    drained = changed(MEMBERS[0], endpoint=None)
    same = merge_members(table, (drained,)).table
    assert same.presence == table.presence
    for fields in (
        {'state': MemberState.SUSPECT},
        {'state': MemberState.LEFT},
        {'zone': 'b'},
    ):
        other = merge_members(table, (changed(MEMBERS[0], **fields),)).table
        assert other.presence != table.presence, fields
    new = merge_members(table, (member('n9'),)).table
    assert new.presence != table.presence
    back = merge_members(
        new, (member('n9', sequence=2, state=MemberState.DEAD),)
    ).table
    assert back.presence == table.presence
