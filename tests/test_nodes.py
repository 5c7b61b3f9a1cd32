"""Check nodes on fakes: joins, partitions, failures, mass restarts, moves."""

import asyncio
from dataclasses import replace
from unittest import TestCase

from poplarrack.blackboards import Blackboard
from poplarrack.blackboards import ChildReport
from poplarrack.blackboards import Contact
from poplarrack.blackboards import Facts
from poplarrack.blackboards import Lifecycle
from poplarrack.blackboards import Sent
from poplarrack.configurations import Configuration
from poplarrack.configurations import load_configuration
from poplarrack.controllers import decide_watch
from poplarrack.decisions import ProbeThrough
from poplarrack.decisions import Publish
from poplarrack.decisions import Rejoin
from poplarrack.decisions import Watch
from poplarrack.detectors import BRIDGED_ZONE_SEARCH_INTERVAL_SECONDS
from poplarrack.detectors import detect_failures
from poplarrack.detectors import rejoin_others
from poplarrack.detectors import ZONE_SEARCH_INTERVAL_SECONDS
from poplarrack.errors import ErrorKind
from poplarrack.evidence import Cell
from poplarrack.evidence import CellKey
from poplarrack.evidence import ENTIRE_STAGE
from poplarrack.evidence import Side
from poplarrack.evidence import Verdict
from poplarrack.executors import EXECUTORS
from poplarrack.knowledge import Knowledge
from poplarrack.members import MemberState
from poplarrack.members import refute
from poplarrack.messages import Report
from poplarrack.messages import Updates
from poplarrack.nodes import CHECK_INTERVAL_SECONDS
from poplarrack.nodes import TICK_SECONDS
from poplarrack.reporters import build_report
from poplarrack.reporters import send_report
from poplarrack.reporters import summarize_zone
from poplarrack.settings import NodeSettings
from poplarrack.settings import PlatformSettings
from poplarrack.snapshots import Snapshot
from poplarrack.stand_ins.fakes import FakeMesh
from poplarrack.stand_ins.fakes import PEER_TIMEOUT_SECONDS
from poplarrack.stand_ins.fakes import run_on_virtual_clock
from poplarrack.stand_ins.fakes import start_fake_mesh
from poplarrack.topologies import derive_topology
from poplarrack.topologies import Topology
from tests.samples import CHANGES
from tests.samples import endpoint
from tests.samples import member
from tests.samples import member_table
from tests.samples import route_json
from tests.samples import service_json
from tests.samples import snapshot
from tests.support import assert_raises
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

assert_logs = TestCase().assertLogs

ZONES = (('south', 'a'), ('south', 'b'), ('north', 'd'), ('north', 'e'))


def on_fakes(test, count=16, seed=7):
    """Make a test function of a coroutine function that takes a mesh."""

    async def build(clock):
        await test(await start_fake_mesh(clock, seed, count, ZONES, CHANGES))

    def wrapped():
        run_on_virtual_clock(build)

    wrapped.__name__ = test.__name__
    wrapped.__module__ = test.__module__
    return wrapped


# The same bound as for catching up after an outage of the platform.
RECOVER_SECONDS = 6.0


def write_change(mesh, number):
    return mesh.write_settings(
        {'t/routes/front': route_json(timeout_seconds=number)}
    )


def count_present(node):
    members = node.knowledge.members.members.values()
    return sum(item.present for item in members)


def partition(*zones):
    return lambda one, other: (one[1] in zones) != (other[1] in zones)


@on_fakes
async def test_a_change_is_in_force_everywhere_by_one_copy_over_the_link(mesh):
    before = mesh.traffic.cross_region_bytes
    took = await mesh.wait_for_revision(write_change(mesh, 2), 5)
    assert took < 1
    assert mesh.traffic.cross_region_bytes - before < 3000


@on_fakes
async def test_lost_repeated_and_late_messages_only_delay(mesh):
    mesh.injected_faults.loss_rate = 0.2
    mesh.injected_faults.duplicate_rate = 0.2
    mesh.injected_faults.max_extra_delay_seconds = 0.3
    seen = {}

    def observe(node):
        revision = node.knowledge.configuration.revision
        name = node.settings.node_id
        assert revision >= seen.get(name, 0), 'revision went back'
        seen[name] = revision

    mesh.observers.append(observe)
    for number in range(2, 6):
        write_change(mesh, number)
        await asyncio.sleep(0.2)
    mesh.injected_faults.loss_rate = 0.05
    await mesh.wait_for_revision(write_change(mesh, 9), 5)
    assert len(seen) == 16


@on_fakes
async def test_a_bad_version_is_refused_everywhere_and_shown(mesh):
    good = max(mesh.applied_revisions().values())
    mesh.write_settings({'t/routes/front': route_json(target='none')})
    await asyncio.sleep(5)
    assert set(mesh.applied_revisions().values()) == {good}
    values = [
        item.value
        for item in mesh.platform.store.range('/poplarrack/zones/south')
    ]
    assert all(b'no service' in value for value in values), values
    await mesh.wait_for_revision(write_change(mesh, 3), 5)


# A node that holds a version without routes would be given callers.
@on_fakes
async def test_a_node_without_routes_is_not_ready(mesh):
    node = next(iter(mesh.nodes.values()))
    assert node.ready
    empty = Configuration(Snapshot(node.knowledge.configuration.revision + 1))
    node.apply_knowledge(replace(node.knowledge, configuration=empty))
    assert not node.ready


@on_fakes
async def test_a_zone_cut_off_serves_on_and_catches_up(mesh):
    zone_a = [name for name in mesh.nodes if name.startswith('a-')]
    held = max(mesh.applied_revisions().values())
    mesh.injected_faults.is_partitioned = partition('a')
    for name in zone_a:
        mesh.platform_clients[name].disconnected = True
    revision = write_change(mesh, 2)
    rest = [name for name in mesh.nodes if name not in zone_a]
    await mesh.wait_for_revision(revision, 10, rest)
    fresh = mesh.add_node('a-fresh', 'south', 'a', zone_a[:2])
    mesh.platform_clients['a-fresh'].disconnected = True
    await asyncio.sleep(30)
    assert {mesh.applied_revisions()[name] for name in zone_a} == {held}
    assert fresh.knowledge.configuration.revision == held
    assert fresh.ready
    mesh.injected_faults.is_partitioned = None
    for name in (*zone_a, 'a-fresh'):
        mesh.platform_clients[name].disconnected = False
    assert await mesh.wait_for_revision(revision, 5) <= 5
    await mesh.wait_until(
        lambda: all(count_present(node) == 17 for node in mesh.nodes.values()),
        30,
    )


@on_fakes
async def test_a_region_cut_off_heals_without_a_burst(mesh):
    mesh.injected_faults.is_partitioned = lambda one, other: one[0] != other[0]
    for name, node in mesh.nodes.items():
        mesh.platform_clients[name].disconnected = (
            node.settings.region == 'north'
        )
    for number in range(2, 12):
        revision = write_change(mesh, number)
        await asyncio.sleep(6)
    before = mesh.traffic.cross_region_bytes
    mesh.injected_faults.is_partitioned = None
    for client in mesh.platform_clients.values():
        client.disconnected = False
    assert await mesh.wait_for_revision(revision, 5) <= 5
    assert mesh.traffic.cross_region_bytes - before < 50_000


@on_fakes
async def test_fetchers_killed_in_the_middle_of_a_fan_out(mesh):
    roots = {
        node.facts.topology.roots[0]
        for node in mesh.nodes.values()
        if node.facts.topology.roots
    }
    revision = write_change(mesh, 2)
    await asyncio.sleep(0.055)
    for name in roots:
        mesh.kill_node(name)
    assert await mesh.wait_for_revision(revision, 5) <= 5
    left = len(mesh.nodes)
    await mesh.wait_until(
        lambda: all(
            count_present(node) == left for node in mesh.nodes.values()
        ),
        20,
    )
    assert await mesh.wait_for_revision(write_change(mesh, 3), 5) <= 5


@on_fakes
async def test_a_zone_restarted_as_one_comes_back_from_its_peers(mesh):
    zone_b = [name for name in mesh.nodes if name.startswith('b-')]
    for name in zone_b:
        mesh.kill_node(name)
    held = max(mesh.applied_revisions().values())
    calls = sum(mesh.platform.counts.values())
    for name in zone_b:
        mesh.add_node(name, 'south', 'b', ['a-0', 'a-4'])
    await mesh.wait_for_revision(held, 5)
    await mesh.wait_until(
        lambda: all(count_present(node) == 16 for node in mesh.nodes.values()),
        15,
    )
    spent = sum(mesh.platform.counts.values()) - calls
    assert spent < 60, spent


@on_fakes
async def test_an_outage_at_the_change_and_a_death_together(mesh):
    stand_in = mesh.platform
    stand_in.faults = replace(stand_in.faults, outage=True)
    revision = write_change(mesh, 2)
    lead = next(
        name for name, n in mesh.nodes.items() if n.facts.topology.is_worker
    )
    mesh.kill_node(lead)
    fresh = mesh.add_node('a-fresh', 'south', 'a', ['a-4', 'a-8'])
    await asyncio.sleep(20)
    assert fresh.ready, 'peers alone suffice'
    stand_in.faults = replace(stand_in.faults, outage=False)
    assert await mesh.wait_for_revision(revision, 5) <= 5


@on_fakes
async def test_a_paused_node_is_buried_and_revives_itself(mesh):
    name = 'a-8'
    mesh.paused_nodes.add(name)
    others = [node for other, node in mesh.nodes.items() if other != name]
    await mesh.wait_until(
        lambda: all(
            node.knowledge.members.members[name].state is MemberState.DEAD
            for node in others
        ),
        15,
    )
    mesh.paused_nodes.discard(name)
    await mesh.wait_until(
        lambda: all(
            node.knowledge.members.members[name].state is MemberState.ALIVE
            for node in others
        ),
        15,
    )


@on_fakes
async def test_a_leaving_server_is_out_of_use_within_three_seconds(mesh):
    node = mesh.nodes['a-4']
    node.announce(endpoint('127.0.0.1:5', announced_at=mesh.clock()))

    def in_use():
        return [
            name
            for name, other in mesh.nodes.items()
            if '127.0.0.1:5' in other.dispatcher.servers
        ]

    await mesh.wait_until(lambda: len(in_use()) == 16, 3)
    node.leave()
    assert await mesh.wait_until(lambda: not in_use(), 3) < 3


@on_fakes
async def test_a_silent_server_is_forgotten(mesh):
    node = mesh.nodes['a-4']
    node.announce(endpoint('127.0.0.1:5', announced_at=mesh.clock()))
    await asyncio.sleep(0.5)
    assert node.facts.own.endpoint is not None
    await asyncio.sleep(4)
    assert node.facts.own.endpoint is None


# A node that stood still took its backend server for silent, whose heartbeats
# waited in its socket, and told all nodes that it had none.
@on_fakes
async def test_a_node_that_stood_still_does_not_forget_its_server(mesh):
    node = mesh.nodes['a-4']
    node.announce(endpoint('127.0.0.1:5', announced_at=mesh.clock()))
    mesh.paused_nodes.add('a-4')
    await asyncio.sleep(5)
    mesh.paused_nodes.discard('a-4')
    await asyncio.sleep(2 * TICK_SECONDS)
    assert node.facts.own.endpoint is not None
    await asyncio.sleep(5)
    assert node.facts.own.endpoint is None


# DENIED: nodes that read a version from the store and rejected it denied what
# it may allow.
@on_fakes
async def test_calls_are_told_of_a_rejected_version(mesh):
    nodes = mesh.nodes.values()
    assert not any(node.dispatcher.is_newer_rejected() for node in nodes)
    mesh.write_settings({'t/routes/front': route_json(target='none')})
    await asyncio.sleep(3)
    readers = [node for node in nodes if node.facts.platform.watching]
    assert readers
    assert all(node.dispatcher.is_newer_rejected() for node in readers)
    await mesh.wait_for_revision(write_change(mesh, 3), 5)
    assert not any(node.dispatcher.is_newer_rejected() for node in nodes)


@on_fakes
async def test_a_verdict_in_a_cut_off_zone_is_final_everywhere(mesh):
    mesh.injected_faults.is_partitioned = partition('e')
    verdict = Verdict('m1', 'front', 'failures', 9.0, mesh.clock(), 'e-3')
    mesh.nodes['e-3'].merge_updates(Updates('e-3', verdicts=(verdict,)))
    await asyncio.sleep(3)
    zone_e = [n for name, n in mesh.nodes.items() if name.startswith('e-')]
    assert all('m1' in node.knowledge.verdicts for node in zone_e)
    mesh.injected_faults.is_partitioned = None
    await mesh.wait_until(
        lambda: all(
            'm1' in node.knowledge.verdicts for node in mesh.nodes.values()
        ),
        10,
    )


def test_nodes_that_start_at_once_find_each_other():
    async def build(clock):
        mesh = FakeMesh(clock, 3)
        mesh.write_settings(CHANGES)
        names = [f'a-{number}' for number in range(12)]
        for name in names:
            mesh.add_node(name, 'south', 'a', names[:2])
        await mesh.wait_until(
            lambda: all(
                count_present(node) == 12 for node in mesh.nodes.values()
            ),
            15,
        )

    run_on_virtual_clock(build)


# Controllers and topologies, on a given time.

SETTINGS = NodeSettings(
    'n', 'south', 'a', 'n', '', '', '', PlatformSettings(()), ('s1',)
)


def facts(topology, members=(), **more):
    knowledge = Knowledge(members=member_table(*members))
    lifecycle = more.pop('lifecycle', Lifecycle(joined=True))
    return Facts(
        SETTINGS,
        member('n'),
        lifecycle=lifecycle,
        knowledge=knowledge,
        topology=topology,
        **more,
    )


def test_a_second_root_does_not_count_the_reports_of_other_zones():
    old = {'b-1': ChildReport(Report('b-1', 4, 2), 10.0)}
    second = facts(Topology(rank=1, bridges=('b-1',)), reports=old)
    assert build_report(second, 11.0).nodes == 1
    first = facts(Topology(rank=0, bridges=('b-1',)), reports=old)
    assert build_report(first, 11.0).nodes == 5
    assert build_report(first, 99.0).nodes == 1, 'expired'


def test_a_report_goes_at_once_to_a_new_parent():
    report = build_report(facts(Topology()), 1.0)
    sent = Sent(report, 9.8, ('p1',))
    same = facts(Topology(rank=3, parent='p1'), sent=sent)
    moved = facts(Topology(rank=3, parent='p2'), sent=sent)
    assert not list(send_report(same, 10.0))
    assert list(send_report(moved, 10.0))


# Reports of failures must not wait for the interval of other evidence, in
# which a move may be completed, nor may other evidence be sent as often.
def test_only_failures_of_a_new_version_shorten_the_interval_of_reports():
    topology = Topology(rank=3, parent='p1')
    key = CellKey('m1', 'front', Side.NEW, 0, 500, ENTIRE_STAGE)
    old_key = replace(key, side=Side.OLD)
    report = build_report(
        facts(topology, cells=(Cell(key, 9, 0), Cell(old_key, 9, 0))), 9.0
    )
    sent = Sent(report, 9.75, ('p1',))
    for cells, is_sent in (
        ((Cell(key, 10, 1), Cell(old_key, 9, 0)), True),
        ((Cell(key, 10, 0), Cell(old_key, 9, 0)), False),
        ((Cell(key, 9, 0), Cell(old_key, 10, 1)), False),
    ):
        seen = facts(topology, sent=sent, cells=cells)
        assert bool(list(send_report(seen, 10.0))) is is_sent, cells
        assert not list(send_report(seen, 9.9)), cells


def test_a_node_that_hears_nobody_accuses_nobody():
    names = ('x', 'y', 'z')
    members = [member(name) for name in names]
    failing = {name: Contact(0.0, 1.0, True) for name in names}
    topology = Topology(neighbours=names, zone_size=4)
    partitioned = facts(topology, members, contacts=failing)
    assert not list(detect_failures(partitioned, 10.0))
    one = facts(topology, members, contacts={'x': Contact(0.0, 1.0)})
    assert list(detect_failures(one, 10.0)) == [ProbeThrough('x', ('y', 'z'))]
    probed = facts(topology, members, contacts={'x': Contact(0.0, 1.0, True)})
    (decision,) = detect_failures(probed, 10.0)
    assert isinstance(decision, Publish)
    assert decision.members[0].state is MemberState.SUSPECT


def test_the_lonely_and_the_roots_look_for_others():
    assert list(rejoin_others(facts(Topology()), 10.0)) == [
        Rejoin(('s1',), True)
    ]
    dead = [member('d', state=MemberState.DEAD), member('s1')]
    root = Topology(roots=('n', 'm'), zone_size=4)
    sent = Sent(zones_searched_at=9.0)
    assert list(rejoin_others(facts(root, dead, sent=sent), 10.0)) == [
        Rejoin(('d',), False)
    ]


def test_a_node_that_is_joining_speaks_for_nobody():
    alone = Topology(is_fetcher=True, is_lead=True)
    joining = facts(alone, lifecycle=Lifecycle())
    for decide in (decide_watch, summarize_zone, rejoin_others):
        assert not list(decide(joining, 10.0)), decide.__name__
        assert list(decide(facts(alone), 10.0)), decide.__name__


def test_nodes_that_start_together_without_seeds_ask_the_platform_little():
    async def build(clock):
        mesh = FakeMesh(clock, 5)
        mesh.write_settings(CHANGES)
        for number in range(40):
            region, zone = ZONES[number % len(ZONES)]
            mesh.add_node(f'{zone}-{number}', region, zone)
        await mesh.wait_until(
            lambda: all(
                count_present(node) == 40 for node in mesh.nodes.values()
            ),
            15,
        )
        await mesh.wait_until(
            lambda: all(node.ready for node in mesh.nodes.values()), 5
        )
        return sum(mesh.platform.counts.values())

    # Each searches the platform at most twice; few represent a zone.
    assert run_on_virtual_clock(build) <= 40 * 4


def test_a_mesh_that_lost_all_power_is_one_again_with_little_traffic():
    async def build(clock):
        mesh = await start_fake_mesh(clock, 9, 40, ZONES, CHANGES)
        localities = {
            name: (node.settings.region, node.settings.zone)
            for name, node in mesh.nodes.items()
        }
        for name in localities:
            mesh.kill_node(name)
        await asyncio.sleep(1)
        calls = sum(mesh.platform.counts.values())
        for name, locality in localities.items():
            await asyncio.sleep(mesh.random.random() * 0.04)
            mesh.add_node(name, *locality)
        await mesh.wait_until(
            lambda: all(
                node.ready and count_present(node) == 40
                for node in mesh.nodes.values()
            ),
            RECOVER_SECONDS,
        )
        return sum(mesh.platform.counts.values()) - calls

    # One or two searches each, and the summaries and configuration that
    # the zone representatives write and read.
    assert run_on_virtual_clock(build) <= 40 * 4


@on_fakes
async def test_seeds_that_are_gone_do_not_delay_a_join(mesh):
    kept = list(mesh.nodes)[0]
    seeds = [*(f'gone-{number}' for number in range(5)), kept]
    joining = [
        mesh.add_node(f'a-new-{number}', 'south', 'a', seeds)
        for number in range(8)
    ]
    # Asked in sequence, two of the missing seeds would take as long.
    await mesh.wait_until(
        lambda: all(node.ready for node in joining), 2 * PEER_TIMEOUT_SECONDS
    )


def test_the_first_of_a_zone_looks_for_zones_that_it_lost_sight_of():
    first = Topology(roots=('n', 'm'), zone_size=4)
    sent = Sent(zones_searched_at=10.0, rejoined_at=20.0)
    searched = facts(first, sent=sent)
    assert not list(
        rejoin_others(searched, 10.0 + ZONE_SEARCH_INTERVAL_SECONDS - 0.1)
    )
    assert list(
        rejoin_others(searched, 10.0 + ZONE_SEARCH_INTERVAL_SECONDS)
    ) == [Rejoin((), True)]
    bridged = replace(searched, topology=replace(first, bridges=('z',)))
    assert not list(
        rejoin_others(bridged, 10.0 + ZONE_SEARCH_INTERVAL_SECONDS)
    )
    assert list(
        rejoin_others(bridged, 10.0 + BRIDGED_ZONE_SEARCH_INTERVAL_SECONDS)
    )
    second = replace(searched, topology=replace(first, rank=1))
    assert not list(rejoin_others(second, 10.0 + ZONE_SEARCH_INTERVAL_SECONDS))


def test_an_accused_node_raises_its_own_record_only():
    own = member('n')
    assert refute(own, member_table(member('n'))) is None
    suspect = member_table(member('n', state=MemberState.SUSPECT))
    assert refute(own, suspect).sequence == 2
    ahead = member_table(member('n', incarnation=9, state=MemberState.LEFT))
    assert refute(own, ahead).incarnation == 10


def test_trees_reach_everybody_once_and_the_link_is_crossed_once():
    localities = [('south', zone) for zone in 'abc'] + [('north', 'd')]
    members = [
        member(f'{zone}-{number}', zone=zone, region=region)
        for region, zone in localities
        for number in range(60)
    ]
    known = member_table(*members)
    topologies = {
        item.node_id: derive_topology(item, known, 'south') for item in members
    }
    start = next(
        name
        for name, topology in topologies.items()
        if topology.is_zone_representative
    )
    reached, frontier, crossings = {start}, [(start, None)], 0
    while frontier:
        name, source = frontier.pop()
        for target in topologies[name].next_hops():
            crosses = name[0] == 'd' or target[0] == 'd'
            crossings += crosses and name[0] != target[0]
            if target != source and target not in reached:
                reached.add(target)
                frontier.append((target, name))
    assert len(reached) == 240
    fetchers = [
        name for name, topology in topologies.items() if topology.is_fetcher
    ]
    assert len(fetchers) == 7, 'two per zone in the region, one in the other'
    assert crossings <= 2, 'there and back'
    assert sum(topology.is_worker for topology in topologies.values()) == 1


def test_a_section_has_one_writer():
    board = Blackboard(facts(Topology()))
    error = assert_raises(
        ErrorKind.INTERNAL, lambda: board.write('calls', topology=Topology())
    )
    assert 'topology' in error.detail


@on_fakes
async def test_a_node_back_while_the_platform_is_away_is_found(mesh):
    # The node that started last is in no other node's list of seeds.
    name = list(mesh.nodes)[-1]
    settings = mesh.nodes[name].settings
    mesh.nodes[name].leave()
    await asyncio.sleep(2)
    mesh.kill_node(name)
    await asyncio.sleep(2)
    back = mesh.add_node(name, settings.region, settings.zone)
    mesh.platform_clients[name].disconnected = True
    await mesh.wait_until(lambda: back.ready, 20)


def falsify(node, timeout_seconds):
    """Give a node other content of the revision that it has."""
    held = node.knowledge.configuration.snapshot
    route = route_json(timeout_seconds=timeout_seconds)
    other = snapshot(held.revision, {**CHANGES, 't/routes/front': route})
    node.apply_knowledge(
        replace(node.knowledge, configuration=load_configuration(other))
    )


def digests_of(mesh):
    return {
        node.knowledge.configuration.snapshot.digest
        for node in mesh.nodes.values()
    }


# A node that held other content of a revision kept it until the next change:
# comparisons, deltas and snapshots looked at the revision only.
@on_fakes
async def test_other_content_of_a_revision_is_replaced_from_the_store(mesh):
    expected = digests_of(mesh)
    names = list(mesh.nodes)
    for falsified in (names[:1], names[-1:], names[::2], names):
        for name in falsified:
            falsify(mesh.nodes[name], 2)
        falsify(mesh.nodes[falsified[0]], 3)
        with assert_logs('poplarrack.nodes', 'ERROR') as logs:
            await mesh.wait_until(
                lambda: digests_of(mesh) == expected, RECOVER_SECONDS
            )
        text = '\n'.join(logs.output)
        assert 'configuration_mismatch' in text
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        assert digests_of(mesh) == expected


def spoil(fetcher):
    """Have a fetcher go on from other content than it has read."""
    poll = fetcher._poll

    def poll_once(held, revision):
        fetcher._poll = poll
        held, revision = poll(held, revision)
        route = route_json(timeout_seconds=9)
        other = {**CHANGES, 't/routes/front': route}
        return snapshot(held.revision, other), revision

    fetcher._poll = poll_once


# A node was repaired, and its fetcher put the wrong content in force again
# with each change.
@on_fakes
async def test_a_fetcher_does_not_go_on_from_content_found_wrong(mesh):
    spoiled = [node for node in mesh.nodes.values() if node.fetcher]
    spoil(spoiled[0].fetcher)
    await asyncio.sleep(1)
    with assert_logs('poplarrack.nodes', 'ERROR'):
        mesh.write_settings({'t/services/s-1': service_json('s-1')})
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
    assert len(digests_of(mesh)) == 1
    with TestCase().assertNoLogs('poplarrack.nodes', 'ERROR'):
        mesh.write_settings({'t/services/s-2': service_json('s-2')})
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
    assert len(digests_of(mesh)) == 1
    assert all(node.fetcher for node in spoiled)


# A node whose store can't be read tries again, but not at each comparison.
@on_fakes
async def test_a_difference_is_checked_a_bounded_number_of_times(mesh):
    for client in mesh.platform_clients.values():
        client.disconnected = True
    await asyncio.sleep(1)
    falsify(next(iter(mesh.nodes.values())), 2)
    with assert_logs('poplarrack.nodes', 'ERROR') as logs:
        await asyncio.sleep(4 * CHECK_INTERVAL_SECONDS)
    by_revision = [item for item in logs.output if 'mismatch' in item]
    assert 2 <= len(by_revision) <= 5 * len(mesh.nodes), len(by_revision)
    for client in mesh.platform_clients.values():
        client.disconnected = False
    await mesh.wait_until(
        lambda: len(digests_of(mesh)) == 1, 2 * CHECK_INTERVAL_SECONDS
    )


# A false alarm would read the store without need.
@on_fakes
async def test_the_same_revision_has_the_same_digest_everywhere(mesh):
    mesh.injected_faults.loss_rate = 0.2
    mesh.injected_faults.duplicate_rate = 0.2
    mesh.injected_faults.max_extra_delay_seconds = 0.3
    mesh.injected_faults.stale_read_rate = 0.1
    seen = {}

    def observe(node):
        held = node.knowledge.configuration.snapshot
        digest = seen.setdefault(held.revision, held.digest)
        assert digest == held.digest, held.revision

    mesh.observers.append(observe)
    for number in range(2, 8):
        write_change(mesh, number)
        mesh.write_settings(
            {f't/services/s{number}': service_json(f's{number}')}
        )
        await asyncio.sleep(0.7)
        mesh.write_settings({f't/services/s{number}': None})
        name = list(mesh.nodes)[0]
        settings = mesh.nodes[name].settings
        mesh.kill_node(name)
        await asyncio.sleep(0.2)
        seeds = list(mesh.nodes)[:2]
        mesh.add_node(name, settings.region, settings.zone, seeds)
    await mesh.wait_for_revision(write_change(mesh, 9), 10)
    assert len(seen) > 6


# A node that stopped its watch while the store failed counted the next watch
# as failing from its start, and kept its beats from a node below it.
@on_fakes
async def test_a_new_watch_has_not_failed_yet(mesh):
    node = next(n for n in mesh.nodes.values() if n.facts.platform.watching)
    node.record_platform_call(False, 'away')
    assert node.facts.platform.failing_since
    for wanted in (False, True):
        await EXECUTORS[Watch](node, Watch(wanted))
        assert not node.facts.platform.failing_since
