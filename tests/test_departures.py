"""Test that an acknowledged leave outlives the process of its node."""

import asyncio
from dataclasses import replace
from itertools import permutations

from poplarrack.departures import DEPARTURE_PREFIX
from poplarrack.departures import hold_departure
from poplarrack.departures import read_departure
from poplarrack.joiners import follow_while_leaving
from poplarrack.leases import Lease
from poplarrack.leases import put_under_lease
from poplarrack.members import Departure
from poplarrack.members import EndpointState
from poplarrack.members import LAST_SEQUENCE
from poplarrack.members import MemberState
from poplarrack.messages import CODECS
from poplarrack.messages import Updates
from poplarrack.platform.store_client import PlatformStoreClient
from poplarrack.stores import Operation
from tests.samples import endpoint
from tests.samples import member
from tests.samples import member_table
from tests.store_stand_in import running_store
from tests.support import build_load_tests
from tests.test_nodes import on_fakes
from tests.test_nodes import ZONES

load_tests = build_load_tests(__name__)

DEPARTURE = Departure('i-1', 1000, LAST_SEQUENCE, 100.0)
NODE_ID = 'a-0'
RESTART_SECONDS = 0.5


async def hold(mesh, node_id=NODE_ID):
    """Record a leave at a node; return whether it is held elsewhere."""
    node = mesh.nodes[node_id]
    node.record_departure(DEPARTURE)
    return await hold_departure(node, DEPARTURE)


def start_again(mesh, node_id):
    """Start a node that was killed, with other nodes as its seeds."""
    number = int(node_id.partition('-')[2])
    region, zone = ZONES[number % len(ZONES)]
    return mesh.add_node(node_id, region, zone, ('b-1', 'd-2', 'e-3'))


# DRAIN: a late heartbeat put an endpoint in use again after the node that had
# acknowledged its leave was killed and started.
@on_fakes
async def test_a_leave_outlives_a_node_that_is_killed_at_once(mesh):
    mesh.platform_clients[NODE_ID].disconnected = True
    assert await hold(mesh)
    mesh.kill_node(NODE_ID)
    await asyncio.sleep(RESTART_SECONDS)
    node = start_again(mesh, NODE_ID)
    mesh.platform_clients[NODE_ID].disconnected = True
    recalled = []
    node.on_departure = recalled.append
    await mesh.wait_until(lambda: recalled == [DEPARTURE], 1.0)
    await asyncio.sleep(3)
    tables = [item.knowledge.members for item in mesh.nodes.values()]
    held = {table.members[NODE_ID].departure for table in tables}
    assert held == {DEPARTURE}
    assert len({table.digest for table in tables}) == 1


@on_fakes
async def test_a_leave_outlives_all_nodes_at_once(mesh):
    assert await hold(mesh)
    for node_id in list(mesh.nodes):
        mesh.kill_node(node_id)
    node = start_again(mesh, NODE_ID)
    assert await read_departure(node) == DEPARTURE
    other = start_again(mesh, 'b-1')
    assert await read_departure(other) is None


@on_fakes
async def test_a_leave_that_nobody_else_keeps_is_not_held(mesh):
    mesh.platform_clients[NODE_ID].disconnected = True
    mesh.injected_faults.cut_nodes.add(NODE_ID)
    assert not await hold(mesh)


@on_fakes
async def test_an_odd_departure_in_the_store_is_left_out(mesh):
    assert await hold(mesh)
    for number, value in enumerate(('', '[]', '{"born": "x"}')):
        key = f'{DEPARTURE_PREFIX}{NODE_ID}/i-{number}/odd'
        mesh.platform.write_raw([{'key': key, 'value': value}])
    assert await read_departure(mesh.nodes[NODE_ID]) == DEPARTURE


def test_a_departure_is_kept_by_any_order_of_merges():
    later = replace(DEPARTURE, instance_id='i-2', born=2000, at=101.0)
    records = (
        member('n', departure=DEPARTURE),
        member('n', sequence=2, state=MemberState.DEAD),
        member('n', incarnation=2, departure=later),
        member('n', incarnation=3),
        member('n', incarnation=3, sequence=2, departure=DEPARTURE),
    )
    tables = [member_table(*order) for order in permutations(records)]
    kept = {table.members['n'] for table in tables}
    assert kept == {replace(records[-1], departure=later)}
    assert len({table.digest for table in tables}) == 1
    in_one_message = member_table(*records[:2])
    assert in_one_message.members['n'].departure == DEPARTURE


def test_a_departure_is_sent_to_other_nodes():
    codec, _ = CODECS['Push']
    updates = Updates('n', None, (member('n', departure=DEPARTURE),))
    assert codec.decode(codec.encode(updates)) == updates


# For up to 200 s no leave reached a store that had dropped the lease.
def test_a_lease_that_the_store_dropped_is_granted_anew():
    with running_store() as (stand_in, address):
        client = PlatformStoreClient([address], sleep=lambda seconds: None)
        operation = Operation('own/departure', b'1')
        held = put_under_lease(Lease(), client, 600.0, 100.0, operation)
        stand_in.store.leases.clear()
        lease = put_under_lease(held, client, 600.0, 101.0, operation)
        assert lease.lease_id != held.lease_id
        found = stand_in.store.get('own/departure')
        assert found.lease_id == lease.lease_id
        assert put_under_lease(lease, client, 600.0, 102.0, operation) == lease


# DRAIN, in the product's own mesh: a node that stops, and still serves callers
# with open connections, sent to an endpoint for seconds after its leave.
@on_fakes
async def test_a_node_that_leaves_learns_of_the_leaves_of_others(mesh):
    own, other = mesh.nodes['a-0'], mesh.nodes['a-4']
    serving = endpoint('127.0.0.1:5', announced_at=mesh.clock())
    other.announce(serving)
    await asyncio.sleep(2)

    def state():
        found = own.knowledge.members.members['a-4'].endpoint
        return found and found.state

    assert state() is EndpointState.SERVING
    own.leave()
    # As in its process, which only ends its calls.
    own.tick = lambda: None
    await asyncio.sleep(1)
    following = asyncio.ensure_future(follow_while_leaving(own))
    other.announce(replace(serving, state=EndpointState.DRAINING))
    await asyncio.sleep(1)
    following.cancel()
    assert state() is EndpointState.DRAINING
