"""Measure how a change reaches nodes, and what control costs."""

import asyncio
import time

from poplarrack.benches.cases import bench_case
from poplarrack.benches.cases import Bound
from poplarrack.benches.cases import percentile
from poplarrack.benches.cases import Result
from poplarrack.benches.loads import read_usage
from poplarrack.benches.scenarios import build_changes
from poplarrack.benches.scenarios import change_one
from poplarrack.benches.scenarios import held_within
from poplarrack.benches.scenarios import IN_FORCE_SECONDS
from poplarrack.benches.scenarios import NODE_BYTES_PER_SECOND
from poplarrack.benches.scenarios import NONE
from poplarrack.benches.scenarios import on_fakes
from poplarrack.benches.scenarios import platform_calls
from poplarrack.benches.scenarios import route_change
from poplarrack.benches.scenarios import timeout_of_turn
from poplarrack.benches.scenarios import Witness
from poplarrack.fetchers import HEAD_KEY
from poplarrack.members import Endpoint
from poplarrack.members import EndpointState
from poplarrack.platforms import CONFIGURATION_PREFIX
from poplarrack.stand_ins.fakes import MESSAGE_HEADER_BYTES
from poplarrack.stand_ins.meshes import ProcessMesh
from poplarrack.stand_ins.meshes import wait_until
from poplarrack.stores import Operation

LEAVE_SECONDS = 3.0
NODE_CPU_SHARE = 0.02
NODE_CONTROL_MB = 32


@bench_case('convergence-thin')
def convergence_thin(seed, nodes=8):
    """Time from a change put to in force on all nodes, real processes."""
    settings = build_changes(4)
    given = {path: value.decode() for path, value in settings.items()}
    text = '{' + ','.join(f'"{p}": {v}' for p, v in given.items()) + '}'
    with ProcessMesh('bench') as mesh:
        mesh.start_platform()
        mesh.ctl('put_all', text)
        start_real_nodes(mesh, nodes)
        times = []
        for turn in range(5):
            times.append(_time_change(mesh, turn + seed))
    figures = {
        'nodes': nodes,
        'seconds_to_all': max(times),
        'seconds_to_all_p50': percentile(times, 0.5),
    }
    bounds = {'seconds_to_all': Bound(most=IN_FORCE_SECONDS)}
    return Result(figures, bounds)


def start_real_nodes(mesh, nodes):
    """Start nodes as processes in two zones and wait for them."""
    seeds = []
    for number in range(nodes):
        zone = 'ab'[number % 2]
        node = mesh.start_node(
            f'{zone}-{number}',
            'south',
            zone,
            seeds[:4],
            log_level='WARNING',
            platform={'region': 'south'},
        )
        seeds.append(node.peer_address)
    mesh.wait_until_ready(60)
    for node_id in mesh.nodes:
        wait_until(
            lambda node_id=node_id: (
                len(mesh.dump(node_id)['members']) == nodes
            ),
            60,
            'members',
        )


def _time_change(mesh, turn):
    """Change a route; return seconds until every node serves it."""
    change = route_change(turn % 4, timeout_of_turn(turn))
    client = DirectWriter(mesh.platform_address)
    began = time.monotonic()
    revision = client.write(change)

    def in_force():
        for handle in mesh.nodes.values():
            page = mesh.fetch(handle.operator_address, '/ready')
            if not page or page['revision'] < revision:
                return False
        return True

    wait_until(in_force, 30, 'version in force')
    return time.monotonic() - began


class DirectWriter:
    """Write settings over the platform's protocol."""

    def __init__(self, address):
        from poplarrack.platforms import PlatformClient

        self.client = PlatformClient([address])

    def write(self, changes):
        """Write changes unfenced; return the revision."""
        operations = [
            Operation(CONFIGURATION_PREFIX + path, value)
            for path, value in changes.items()
        ]
        return self.client.write((), [*operations, Operation(HEAD_KEY, b'')])


@bench_case('convergence')
def convergence(seed, nodes=120):
    """A change over growing meshes on fakes, against all-watch."""
    figures, sizes = {}, (nodes // 4, nodes // 2, nodes)
    for size in sizes:
        for name, value in on_fakes(seed, size, _measure_changes).items():
            figures[f'{name}_{size}'] = value
    largest = sizes[-1]
    slope = (
        figures[f'seconds_to_all_{largest}']
        - figures[f'seconds_to_all_{sizes[0]}']
    ) / (largest - sizes[0])
    last = figures[f'seconds_to_all_{largest}']
    figures['seconds_to_all_worked_out_1000'] = last + slope * (1000 - largest)
    # Every node watching the platform gets a whole snapshot each change.
    whole = sum(len(value) for value in build_changes().values())
    figures['baseline_link_bytes_a_change'] = whole * largest * 2 // 5
    figures['baseline_watches'] = largest
    figures['link_bytes_ratio'] = (
        figures[f'link_bytes_a_change_{largest}']
        / figures['baseline_link_bytes_a_change']
    )
    bounds = {
        'seconds_to_all_worked_out_1000': Bound(most=IN_FORCE_SECONDS),
        f'seconds_to_all_{largest}': Bound(most=IN_FORCE_SECONDS),
        f'idle_bytes_per_second_most_{largest}': Bound(
            most=NODE_BYTES_PER_SECOND
        ),
        **{
            f'{name}_{size}': NONE
            for name in Witness.bounds()
            for size in sizes
        },
    }
    return Result(figures, bounds)


async def _measure_changes(mesh, random):
    calls, began = platform_calls(mesh), mesh.clock()
    sent = mesh.traffic.bytes.copy()
    link = mesh.traffic.cross_region_bytes
    await asyncio.sleep(20)
    spent = mesh.clock() - began
    idle = (mesh.traffic.bytes - sent).values()
    idle_link = (mesh.traffic.cross_region_bytes - link) / spent
    calls = (platform_calls(mesh) - calls) / spent
    times, crossed = [], []
    for turn in range(8):
        link, at = mesh.traffic.cross_region_bytes, mesh.clock()
        times.append(await mesh.wait_for_revision(change_one(mesh, turn), 30))
        steady = idle_link * (mesh.clock() - at)
        crossed.append(mesh.traffic.cross_region_bytes - link - steady)
        await asyncio.sleep(2 + random.random())
    return {
        'seconds_to_all': max(times),
        'idle_bytes_per_second_a_node': sum(idle) / spent / len(mesh.nodes),
        'idle_bytes_per_second_most': max(idle) / spent,
        'idle_link_bytes_per_second': idle_link,
        'platform_calls_per_second': calls,
        'link_bytes_a_change': percentile(crossed, 0.5),
    }


@bench_case('endpoint-churn')
def endpoint_churn(seed, nodes=60):
    """Servers announced and leaving: out of use on all nodes in time."""

    async def scenario(mesh, random):
        times, sent = [], sum(mesh.traffic.bytes.values())
        for turn in range(20):
            node = mesh.nodes[random.choice(list(mesh.nodes))]
            address = f'127.0.0.1:{turn + 10}'
            at = mesh.clock()
            server = Endpoint(
                *('service-1', 'v1', address, 10, 110),
                EndpointState.SERVING,
                at,
            )
            node.announce(server)
            await mesh.wait_until(
                lambda address=address: _users(mesh, address) == nodes, 10
            )
            node.forget_endpoint()
            times.append(
                await mesh.wait_until(
                    lambda address=address: not _users(mesh, address), 10
                )
            )
        grown = sum(mesh.traffic.bytes.values()) - sent
        return {
            'seconds_to_all': max(times),
            'bytes_an_event_a_node': grown / 40 / nodes,
        }

    return held_within(on_fakes(seed, nodes, scenario), most=LEAVE_SECONDS)


def _users(mesh, address):
    return sum(
        any(
            item.endpoint.address == address
            for group in node.dispatcher.table.candidates.values()
            for item in group
        )
        for node in mesh.nodes.values()
    )


@bench_case('control-cost')
def control_cost(seed, nodes=24, seconds=15):
    """CPU, memory and bytes of idle nodes by role, real processes."""
    text = '{' + ','.join(
        f'"{path}": {value.decode()}'
        for path, value in build_changes().items()
    )
    with ProcessMesh('bench') as mesh:
        mesh.start_platform()
        mesh.ctl('put_all', text + '}')
        start_real_nodes(mesh, nodes)
        plain = read_plain_memory(mesh)
        first = {name: _sample(mesh, name) for name in mesh.nodes}
        time.sleep(seconds)
        last = {name: _sample(mesh, name) for name in mesh.nodes}
    figures = {'nodes': nodes, 'plain_call_path_mb': plain}
    for role in ('fetcher', 'other'):
        names = [name for name in mesh.nodes if last[name]['role'] == role]
        for key in ('cpu_share', 'bytes_per_second'):
            spent = [
                (last[name][key] - first[name][key]) / seconds
                for name in names
            ]
            figures[f'{role}_{key}_most'] = max(spent)
        memory = [last[name]['resident_mb'] for name in names]
        figures[f'{role}_resident_mb_most'] = max(memory)
    figures['control_mb'] = (
        max(
            figures['fetcher_resident_mb_most'],
            figures['other_resident_mb_most'],
        )
        - plain
    )
    return Result(figures, control_bounds())


def control_bounds():
    """Return the bounds on what control costs a node."""
    bounds = {'control_mb': Bound(most=NODE_CONTROL_MB)}
    for role in ('fetcher', 'other'):
        bounds[f'{role}_cpu_share_most'] = Bound(most=NODE_CPU_SHARE)
        bounds[f'{role}_bytes_per_second_most'] = Bound(
            most=NODE_BYTES_PER_SECOND
        )
    return bounds


def read_plain_memory(mesh):
    """Return the megabytes of a process that only carries calls."""
    import subprocess
    import sys

    code = (
        'import asyncio, time; from poplarrack.dispatchers import Dispatcher;'
        'from poplarrack.callers import CallServer;'
        'Dispatcher("n", time.time); print("up", flush=True); input()'
    )
    process = subprocess.Popen(
        [sys.executable, '-c', code],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    mesh.processes.append(process)
    process.stdout.readline()
    return read_usage(process.pid).resident_bytes / 1e6


def count_bytes(traffic, platform_bytes):
    """Return a node's control bytes, each message with its headers."""
    messages = traffic['messages_in'] + traffic['messages_out']
    payload = traffic['bytes_in'] + traffic['bytes_out']
    return payload + messages * MESSAGE_HEADER_BYTES + platform_bytes


def _sample(mesh, name):
    """Return a node's role, and what it used so far."""
    dump = mesh.dump(name)
    usage = read_usage(mesh.nodes[name].process.pid)
    traffic = dump['traffic']
    return {
        'role': 'fetcher' if dump['topology']['is_fetcher'] else 'other',
        'cpu_share': usage.cpu_seconds,
        'bytes_per_second': count_bytes(traffic, dump['platform_bytes']),
        'resident_mb': usage.resident_bytes / 1e6,
    }
