"""Bench case that extrapolates the cost of each role to a mesh size."""

import asyncio
from dataclasses import dataclass
from json import dumps
from json import loads
import subprocess
import sys
import time
import tracemalloc

from poplarrack.balancers import Locality
from poplarrack.benches.cases import bench_case
from poplarrack.benches.cases import Bound
from poplarrack.benches.cases import percentile
from poplarrack.benches.cases import Result
from poplarrack.benches.configurations import measure_call_path_memory
from poplarrack.benches.configurations import start_real_nodes
from poplarrack.benches.loads import read_usage
from poplarrack.benches.scenarios import build_changes
from poplarrack.benches.scenarios import change_one_route
from poplarrack.benches.scenarios import SERVICES
from poplarrack.benches.scenarios import ZONES
from poplarrack.call_tables import derive_call_table
from poplarrack.knowledge import apply_snapshot
from poplarrack.knowledge import Knowledge
from poplarrack.members import Endpoint
from poplarrack.members import Member
from poplarrack.members import MemberTable
from poplarrack.members import merge_members
from poplarrack.messages import CODECS
from poplarrack.messages import Digests
from poplarrack.messages import DigestsAnswer
from poplarrack.messages import Updates
from poplarrack.peers import PeerClient
from poplarrack.peers import PeerServer
from poplarrack.snapshots import build_snapshot
from poplarrack.snapshots import diff_snapshots
from poplarrack.snapshots import Entry
from poplarrack.snapshots import Snapshot
from poplarrack.stand_ins.fakes import MESSAGE_HEADER_BYTES
from poplarrack.stand_ins.fakes import run_on_virtual_clock
from poplarrack.stand_ins.fakes import start_fake_mesh
from poplarrack.stand_ins.meshes import ProcessMesh
from poplarrack.topologies import derive_topology
from poplarrack.traffic import PeerTraffic

# Load of the whole mesh: configuration changes and replaced instances.
CHANGES_PER_DAY = 640
REPLACEMENTS_PER_DAY = 64
SECONDS_PER_DAY = 86_400
TICKS_PER_SECOND = 10

# One progress line per second, with an estimate of the HTTP and TCP
# overhead.
WATCH_BYTES_PER_SECOND = 170

MAX_CONTROL_CPU_SHARE = 0.02
MAX_CONTROL_MB = 32
MAX_CONTROL_BYTES_PER_SECOND = 3000
MAX_PLATFORM_WRITES_PER_SECOND = 300
MAX_PLATFORM_READS_PER_SECOND = 2000
# The shared link between the regions has 30 Mbit/s.
MAX_LINK_BYTES_PER_SECOND = 30e6 / 8

# The statements that each process runs in addition to the one before it.
LAYERS = {
    'interpreter': '',
    'call_path': (
        'import asyncio\n'
        'from poplarrack.callers import CallServer\n'
        'from poplarrack.dispatchers import Dispatcher'
    ),
    'pages': 'from poplarrack.page_servers import PageServer',
    'platform_client': 'from poplarrack.platforms import PlatformClient',
    'logs': 'from poplarrack.logs import configure_logs',
    'settings': 'import json5',
    'grpc': 'import grpc.aio',
    'node': 'from poplarrack.node_servers import NodeServer',
    'first_scrape': (
        'from prometheus_client.exposition import generate_latest'
    ),
}


@dataclass(frozen=True)
class Slopes:
    """Measured costs, in CPU seconds, bytes and megabytes.

    Fields that end in ``_member`` are per member of the mesh. ``roles`` is
    what ``measure_roles`` returns, ``real`` what ``measure_real`` returns.
    """

    layer_mb: dict
    member_bytes: float
    setting_bytes: float
    message_cpu: float
    tick_cpu_base: float
    tick_cpu_member: float
    rebuild_cpu_member: float
    change_cpu: float
    roles: dict
    join_bytes_member: float
    snapshot_bytes: float
    real: dict


def measure_layers():
    """Return the resident megabytes that each layer of libraries adds."""
    code, previous_mb, layers = '', 0.0, {}
    for name, statement in LAYERS.items():
        code = f'{code}\n{statement}'
        sizes = [_resident_mb(code) for _ in range(3)]
        median = percentile(sizes, 0.5)
        layers[name] = median - previous_mb
        previous_mb = median
    return layers


def _resident_mb(code):
    process = subprocess.Popen(
        [sys.executable, '-c', f'{code}\nprint(1, flush=True)\ninput()'],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        process.stdout.readline()
        return read_usage(process.pid).resident_bytes / 1e6
    finally:
        process.kill()
        process.communicate()


def build_members(nodes):
    """Return the member records of nodes spread over zones and services."""
    members = []
    for number in range(nodes):
        region, zone = ZONES[number % len(ZONES)]
        server = Endpoint(
            f'service-{number % SERVICES}',
            'v1',
            f'10.0.{number // 250}.{number % 250}:8080',
            10,
            110,
        )
        members.append(
            Member(
                f'{zone}-{number}',
                1_796_000_000_000 + number,
                2,
                region,
                zone,
                f'10.0.{number // 250}.{number % 250}:7001',
                endpoint=server,
                operator_address=f'10.0.{number // 250}.{number % 250}:9',
            )
        )
    return members


def build_knowledge(nodes):
    """Return the Knowledge of a node in a mesh with a number of nodes."""
    entries = [
        Entry(path, value, 1) for path, value in build_changes().items()
    ]
    known = apply_snapshot(Knowledge(), build_snapshot(1, entries))
    merged = merge_members(MemberTable(), build_members(nodes))
    return Knowledge(known.configuration, None, merged.table)


def measure_state(nodes):
    """Return the bytes per member, with its table entries, and per setting."""
    tracemalloc.start()
    start = tracemalloc.get_traced_memory()[0]
    known = build_knowledge(0)
    settings = tracemalloc.get_traced_memory()[0]
    known = build_knowledge(nodes)
    derive_call_table(Locality('a-0', 'south', 'a'), known, 0.0)
    members = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    count = len(known.configuration.snapshot.entries)
    member_bytes = max(0, members - settings - (settings - start))
    return member_bytes / nodes, (settings - start) / count


def measure_rebuild(nodes):
    """Return the CPU seconds to derive topology and call table, per member."""
    known = build_knowledge(nodes)
    own = known.members.members['a-0']
    locality = Locality('a-0', 'south', 'a')

    def rebuild():
        derive_topology(own, known.members, 'south')
        derive_call_table(locality, known, 0.0)

    return _measure_cpu(rebuild, 20) / nodes


def measure_change():
    """Return the CPU seconds to validate and apply a version."""
    known = build_knowledge(10)
    base = known.configuration.snapshot
    entries = [*base.entries.values()][:-1]
    other = build_snapshot(2, [*entries, Entry(*_last_entry(base), 2)])
    return _measure_cpu(lambda: apply_snapshot(known, other), 20)


def _last_entry(snapshot):
    entry = [*snapshot.entries.values()][-1]
    return entry.path, entry.value


def _measure_cpu(function, times):
    function()
    before = time.process_time()
    for _ in range(times):
        function()
    return (time.process_time() - before) / times


def measure_message(messages=1500):
    """Return the CPU seconds of one message, at both ends, over gRPC."""

    async def exchange():
        digests = Digests('a-0', 1, 2, 3, 4)

        async def on_compare(message):
            return DigestsAnswer(digests)

        server = PeerServer(PeerTraffic(), {'Compare': on_compare})
        port = await server.listen('127.0.0.1:0')
        client = PeerClient(PeerTraffic(), 5.0)
        address = f'127.0.0.1:{port}'
        for _ in range(100):
            await client.call(address, 'Compare', digests)
        before = time.process_time()
        for _ in range(messages):
            await client.call(address, 'Compare', digests)
        cpu_seconds = time.process_time() - before
        await client.close()
        await server.close(0)
        return cpu_seconds / messages

    return asyncio.run(exchange())


def measure_roles(seed, nodes, seconds=30):
    """Measure an idle mesh on fakes, and one configuration change.

    :returns: messages and bytes a second by role, rates of the mesh, CPU
        seconds of a tick, and the cost of the change.
    """

    async def scenario(clock):
        mesh = await start_fake_mesh(
            clock, seed, nodes, ZONES, build_changes()
        )
        messages = mesh.traffic.messages.copy()
        bytes_before = mesh.traffic.bytes.copy()
        platform_bytes = {
            name: item.bytes for name, item in mesh.platform_clients.items()
        }
        link = mesh.traffic.cross_region_bytes
        calls = sum(mesh.platform.counts.values())
        await asyncio.sleep(seconds)
        roles = {}
        for name, node in mesh.nodes.items():
            group = roles.setdefault(role_of(node.facts.topology), [])
            group.append(
                (
                    (mesh.traffic.messages[name] - messages[name]) / seconds,
                    (mesh.traffic.bytes[name] - bytes_before[name]) / seconds
                    + (
                        mesh.platform_clients[name].bytes
                        - platform_bytes[name]
                    )
                    / seconds
                    + WATCH_BYTES_PER_SECOND * node.facts.topology.is_fetcher,
                )
            )
        link = (mesh.traffic.cross_region_bytes - link) / seconds
        calls = (sum(mesh.platform.counts.values()) - calls) / seconds
        node = next(iter(mesh.nodes.values()))
        tick = _measure_cpu(node.tick, 200)
        before = mesh.traffic.cross_region_bytes
        seconds_to_all = await mesh.wait_for_revision(
            change_one_route(mesh, seed), 30
        )
        return {
            'roles': {
                role: tuple(max(column) for column in zip(*group))
                for role, group in roles.items()
            },
            'link': link,
            'platform_calls': calls,
            'tick': tick,
            'seconds_to_all': seconds_to_all,
            'change_link_bytes': mesh.traffic.cross_region_bytes - before,
        }

    return run_on_virtual_clock(scenario)


def role_of(topology):
    """Return the name of the most expensive role of a node."""
    if topology.is_worker:
        return 'worker'
    if topology.is_zone_representative:
        return 'zone_first'
    if topology.is_fetcher:
        return 'fetcher'
    return 'parent' if topology.children else 'leaf'


def measure_slopes(seed, sizes):
    """Return the Slopes.

    :param sizes: the small and the large size of the meshes on fakes.
    """
    small, large = (measure_roles(seed, size) for size in sizes)
    member_bytes, setting_bytes = measure_state(1000)
    updates = Updates('a', None, tuple(build_members(1000)))
    codec = CODECS['Push'][0]
    snapshot = build_knowledge(0).configuration.snapshot
    snapshot_updates = Updates('a', diff_snapshots(Snapshot(), snapshot))
    tick_member = max(
        0.0, (large['tick'] - small['tick']) / (sizes[1] - sizes[0])
    )
    return Slopes(
        measure_layers(),
        member_bytes,
        setting_bytes,
        measure_message(),
        large['tick'],
        tick_member,
        measure_rebuild(1000),
        measure_change(),
        large,
        len(codec.encode(updates)) / 1000,
        len(codec.encode(snapshot_updates)),
        measure_real(),
    )


def measure_real(nodes=6, seconds=10):
    """Return the idle CPU share and the control memory of real processes.

    The number of messages per node does not grow with the mesh, so that
    the idle cost of a process here is its base cost at any size.
    """
    settings = {path: loads(value) for path, value in build_changes().items()}
    with ProcessMesh('bench') as mesh:
        mesh.start_platform()
        mesh.ctl('put_all', dumps(settings))
        start_real_nodes(mesh, nodes)
        call_path_mb = measure_call_path_memory(mesh)
        pids = {n: item.process.pid for n, item in mesh.nodes.items()}
        before = {name: read_usage(pid) for name, pid in pids.items()}
        time.sleep(seconds)
        after = {name: read_usage(pid) for name, pid in pids.items()}
        is_fetcher = {
            name: mesh.dump(name)['topology']['is_fetcher'] for name in pids
        }
    shares = {
        name: (after[name].cpu_seconds - before[name].cpu_seconds) / seconds
        for name in pids
    }
    resident = [usage.resident_bytes / 1e6 for usage in after.values()]
    return {
        'fetcher': max(shares[name] for name in pids if is_fetcher[name]),
        'other': max(shares[name] for name in pids if not is_fetcher[name]),
        'resident_mb': max(resident),
        'control_mb': max(resident) - call_path_mb,
    }


def extrapolate(slopes, nodes, measured_nodes):
    """Return the cost of each role in a mesh of a size.

    :param nodes: the size.
    :param measured_nodes: the size of the mesh that was measured.
    """
    state_mb = (
        nodes * slopes.member_bytes + 2 * SERVICES * slopes.setting_bytes
    ) / 1e6
    tick = (nodes - measured_nodes) * slopes.tick_cpu_member
    # A replaced instance causes three membership updates: left or dead,
    # joined, announced.
    update_rate = 3 * REPLACEMENTS_PER_DAY / SECONDS_PER_DAY
    rebuild = nodes * slopes.rebuild_cpu_member
    change_rate = CHANGES_PER_DAY / SECONDS_PER_DAY
    added_cpu_share = (
        TICKS_PER_SECOND * max(0.0, tick)
        + update_rate * rebuild
        + change_rate * (slopes.change_cpu + rebuild)
    )
    roles = {}
    for role, (messages, bytes_per_second) in sorted(
        slopes.roles['roles'].items()
    ):
        is_other = role in ('leaf', 'parent')
        roles[role] = {
            'messages_per_second': messages,
            'bytes_per_second': bytes_per_second,
            'message_cpu_share': messages * slopes.message_cpu,
            'cpu_share': slopes.real['other' if is_other else 'fetcher']
            + added_cpu_share,
            'control_mb': slopes.real['control_mb'] + state_mb,
        }
    return roles


def print_tables(slopes, roles, nodes):
    """Print the tables that docs/CAPACITY.md contains."""
    print('| layer | MB resident, added |')
    print('| --- | --- |')
    for name, size in slopes.layer_mb.items():
        print(f'| {name} | {size:.1f} |')
    print(
        f'\n| role at {nodes} nodes | messages/s | bytes/s '
        '| CPU % of messages | CPU % in all | MB of control |'
    )
    print('| --- | --- | --- | --- | --- | --- |')
    for role, cost in roles.items():
        print(
            f'| {role} | {cost["messages_per_second"]:.2f} '
            f'| {cost["bytes_per_second"]:.0f} '
            f'| {cost["message_cpu_share"] * 100:.2f} '
            f'| {cost["cpu_share"] * 100:.2f} | {cost["control_mb"]:.1f} |'
        )
    print()


@bench_case('capacity')
def capacity(seed, nodes=1000, small=30, large=90):
    """Slopes of state, messages, CPU, memory; each role at a size."""
    slopes = measure_slopes(seed, (small, large))
    roles = extrapolate(slopes, nodes, large)
    print_tables(slopes, roles, nodes)
    figures = {
        'nodes': nodes,
        'member_bytes': slopes.member_bytes,
        'setting_bytes': slopes.setting_bytes,
        'message_cpu_ms': slopes.message_cpu * 1e3,
        'tick_cpu_ms': slopes.tick_cpu_base * 1e3,
        'tick_cpu_ms_a_member': slopes.tick_cpu_member * 1e3,
        'rebuild_cpu_ms': slopes.rebuild_cpu_member * nodes * 1e3,
        'real_resident_mb': slopes.real['resident_mb'],
        'real_fetcher_cpu_share': slopes.real['fetcher'],
        'real_other_cpu_share': slopes.real['other'],
        'change_cpu_ms': slopes.change_cpu * 1e3,
        'header_bytes_assumed': MESSAGE_HEADER_BYTES,
        'seconds_to_all_measured': slopes.roles['seconds_to_all'],
        'platform_calls_per_second': slopes.roles['platform_calls'],
        'link_bytes_per_second': slopes.roles['link'],
        'link_bytes_a_change': slopes.roles['change_link_bytes'],
        'join_bytes': nodes * slopes.join_bytes_member + slopes.snapshot_bytes,
        'most_bytes_per_second': _maximum(roles, 'bytes_per_second'),
        'most_cpu_share': _maximum(roles, 'cpu_share'),
        'most_control_mb': _maximum(roles, 'control_mb'),
    }
    # When all nodes restart, each reads the seeds of the zones from the
    # platform once within 1 s.
    figures['all_restarted_reads_per_second'] = float(nodes)
    figures['all_restarted_link_bytes'] = 2 * figures['join_bytes']
    bounds = {
        'seconds_to_all_measured': Bound(maximum=5.0),
        'most_bytes_per_second': Bound(maximum=MAX_CONTROL_BYTES_PER_SECOND),
        'most_cpu_share': Bound(maximum=MAX_CONTROL_CPU_SHARE),
        'most_control_mb': Bound(maximum=MAX_CONTROL_MB),
        'platform_calls_per_second': Bound(
            maximum=MAX_PLATFORM_WRITES_PER_SECOND
        ),
        'all_restarted_reads_per_second': Bound(
            maximum=MAX_PLATFORM_READS_PER_SECOND
        ),
        'link_bytes_per_second': Bound(maximum=MAX_LINK_BYTES_PER_SECOND),
    }
    return Result(figures, bounds)


def _maximum(roles, name):
    return max(cost[name] for cost in roles.values())
