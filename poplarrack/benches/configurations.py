"""Bench cases of configuration changes, endpoints and control cost."""

import asyncio
import time

from poplarrack.benches.cases import bench_case
from poplarrack.benches.cases import Bound
from poplarrack.benches.cases import percentile
from poplarrack.benches.cases import Result
from poplarrack.benches.loads import read_usage
from poplarrack.benches.scenarios import build_changes
from poplarrack.benches.scenarios import build_result
from poplarrack.benches.scenarios import change_one_route
from poplarrack.benches.scenarios import count_platform_calls
from poplarrack.benches.scenarios import InvariantChecker
from poplarrack.benches.scenarios import MAX_CONTROL_BYTES_PER_SECOND
from poplarrack.benches.scenarios import MAX_CONVERGENCE_SECONDS
from poplarrack.benches.scenarios import route_change
from poplarrack.benches.scenarios import run_scenario
from poplarrack.benches.scenarios import timeout_of_turn
from poplarrack.benches.scenarios import ZERO_BOUND
from poplarrack.fetchers import HEAD_KEY
from poplarrack.members import Endpoint
from poplarrack.members import EndpointState
from poplarrack.platforms import CONFIGURATION_PREFIX
from poplarrack.stand_ins.fakes import MESSAGE_HEADER_BYTES
from poplarrack.stand_ins.meshes import ProcessMesh
from poplarrack.stand_ins.meshes import wait_until
from poplarrack.stores import Operation

MAX_LEAVE_SECONDS = 3.0
MAX_CONTROL_CPU_SHARE = 0.02
MAX_CONTROL_MB = 32


@bench_case('convergence-thin')
def convergence_thin(seed, nodes=8):
    """Time from a change put to in force on all nodes, real processes."""
    settings = build_changes(4)
    values = {path: value.decode() for path, value in settings.items()}
    text = '{' + ','.join(f'"{p}": {v}' for p, v in values.items()) + '}'
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
    bounds = {'seconds_to_all': Bound(maximum=MAX_CONVERGENCE_SECONDS)}
    return Result(figures, bounds)


def start_real_nodes(mesh, nodes):
    """Start node processes in two zones; wait until they know each other."""
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
            'complete list of members',
        )


def _time_change(mesh, turn):
    """Change a route; return the seconds until every node applied it."""
    change = route_change(turn % 4, timeout_of_turn(turn))
    client = DirectWriter(mesh.platform_address)
    started_at = time.monotonic()
    revision = client.write(change)

    def is_applied():
        for handle in mesh.nodes.values():
            answer = mesh.fetch(handle.operator_address, '/ready')
            if not answer or answer['revision'] < revision:
                return False
        return True

    wait_until(is_applied, 30, 'version applied by all nodes')
    return time.monotonic() - started_at


class DirectWriter:
    """Writes settings over the platform's protocol, without validation."""

    def __init__(self, address):
        from poplarrack.platforms import PlatformClient

        self.client = PlatformClient([address])

    def write(self, changes):
        """Write changes without compares; return the revision."""
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
        for name, value in run_scenario(seed, size, _measure_changes).items():
            figures[f'{name}_{size}'] = value
    largest = sizes[-1]
    slope = (
        figures[f'seconds_to_all_{largest}']
        - figures[f'seconds_to_all_{sizes[0]}']
    ) / (largest - sizes[0])
    last = figures[f'seconds_to_all_{largest}']
    figures['seconds_to_all_worked_out_1000'] = last + slope * (1000 - largest)
    # In the baseline every node watches the platform, and each change sends
    # it a whole snapshot. Two of the five zones are across the link.
    snapshot_bytes = sum(len(value) for value in build_changes().values())
    figures['baseline_link_bytes_a_change'] = snapshot_bytes * largest * 2 // 5
    figures['baseline_watches'] = largest
    figures['link_bytes_ratio'] = (
        figures[f'link_bytes_a_change_{largest}']
        / figures['baseline_link_bytes_a_change']
    )
    bounds = {
        'seconds_to_all_worked_out_1000': Bound(
            maximum=MAX_CONVERGENCE_SECONDS
        ),
        f'seconds_to_all_{largest}': Bound(maximum=MAX_CONVERGENCE_SECONDS),
        f'idle_bytes_per_second_most_{largest}': Bound(
            maximum=MAX_CONTROL_BYTES_PER_SECOND
        ),
        **{
            f'{name}_{size}': ZERO_BOUND
            for name in InvariantChecker.bounds()
            for size in sizes
        },
    }
    return Result(figures, bounds)


async def _measure_changes(mesh, random):
    calls, started_at = count_platform_calls(mesh), mesh.clock()
    bytes_before = mesh.traffic.bytes.copy()
    link_bytes = mesh.traffic.cross_region_bytes
    await asyncio.sleep(20)
    elapsed = mesh.clock() - started_at
    idle = (mesh.traffic.bytes - bytes_before).values()
    idle_link = (mesh.traffic.cross_region_bytes - link_bytes) / elapsed
    calls = (count_platform_calls(mesh) - calls) / elapsed
    times, bytes_by_change = [], []
    for turn in range(8):
        link_bytes, changed_at = mesh.traffic.cross_region_bytes, mesh.clock()
        times.append(
            await mesh.wait_for_revision(change_one_route(mesh, turn), 30)
        )
        idle_bytes = idle_link * (mesh.clock() - changed_at)
        bytes_by_change.append(
            mesh.traffic.cross_region_bytes - link_bytes - idle_bytes
        )
        await asyncio.sleep(2 + random.random())
    return {
        'seconds_to_all': max(times),
        'idle_bytes_per_second_a_node': sum(idle) / elapsed / len(mesh.nodes),
        'idle_bytes_per_second_most': max(idle) / elapsed,
        'idle_link_bytes_per_second': idle_link,
        'platform_calls_per_second': calls,
        'link_bytes_a_change': percentile(bytes_by_change, 0.5),
    }


@bench_case('endpoint-churn')
def endpoint_churn(seed, nodes=60):
    """Servers announced and leaving: out of use on all nodes in time."""

    async def scenario(mesh, random):
        times, bytes_before = [], sum(mesh.traffic.bytes.values())
        for turn in range(20):
            node = mesh.nodes[random.choice(list(mesh.nodes))]
            address = f'127.0.0.1:{turn + 10}'
            announced_at = mesh.clock()
            server = Endpoint(
                *('service-1', 'v1', address, 10, 110),
                EndpointState.SERVING,
                announced_at,
            )
            node.announce(server)
            await mesh.wait_until(
                lambda address=address: _count_users(mesh, address) == nodes,
                10,
            )
            node.forget_endpoint()
            times.append(
                await mesh.wait_until(
                    lambda address=address: not _count_users(mesh, address), 10
                )
            )
        event_bytes = sum(mesh.traffic.bytes.values()) - bytes_before
        # There were 40 events: 20 announcements and 20 leaves.
        return {
            'seconds_to_all': max(times),
            'bytes_an_event_a_node': event_bytes / 40 / nodes,
        }

    return build_result(
        run_scenario(seed, nodes, scenario), maximum=MAX_LEAVE_SECONDS
    )


def _count_users(mesh, address):
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
        call_path_mb = measure_call_path_memory(mesh)
        before = {name: _sample(mesh, name) for name in mesh.nodes}
        time.sleep(seconds)
        after = {name: _sample(mesh, name) for name in mesh.nodes}
    figures = {'nodes': nodes, 'plain_call_path_mb': call_path_mb}
    for role in ('fetcher', 'other'):
        names = [name for name in mesh.nodes if after[name]['role'] == role]
        for key in ('cpu_share', 'bytes_per_second'):
            rates = [
                (after[name][key] - before[name][key]) / seconds
                for name in names
            ]
            figures[f'{role}_{key}_most'] = max(rates)
        memory = [after[name]['resident_mb'] for name in names]
        figures[f'{role}_resident_mb_most'] = max(memory)
    figures['control_mb'] = (
        max(
            figures['fetcher_resident_mb_most'],
            figures['other_resident_mb_most'],
        )
        - call_path_mb
    )
    return Result(figures, control_bounds())


def control_bounds():
    """Return the bounds on the cost of the control plane per node."""
    bounds = {'control_mb': Bound(maximum=MAX_CONTROL_MB)}
    for role in ('fetcher', 'other'):
        bounds[f'{role}_cpu_share_most'] = Bound(maximum=MAX_CONTROL_CPU_SHARE)
        bounds[f'{role}_bytes_per_second_most'] = Bound(
            maximum=MAX_CONTROL_BYTES_PER_SECOND
        )
    return bounds


def measure_call_path_memory(mesh):
    """Return the resident megabytes of a process with only the call path."""
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
    """Return the control bytes of a node, with estimated message headers.

    :param traffic: the message and byte counts of its dump.
    :param platform_bytes: the bytes exchanged with the platform.
    """
    messages = traffic['messages_in'] + traffic['messages_out']
    payload = traffic['bytes_in'] + traffic['bytes_out']
    return payload + messages * MESSAGE_HEADER_BYTES + platform_bytes


def _sample(mesh, name):
    """Return the role of a node and the resources that it used so far.

    CPU seconds and bytes are totals, under the names of the rates that
    ``control_cost`` computes from them.
    """
    dump = mesh.dump(name)
    usage = read_usage(mesh.nodes[name].process.pid)
    traffic = dump['traffic']
    return {
        'role': 'fetcher' if dump['topology']['is_fetcher'] else 'other',
        'cpu_share': usage.cpu_seconds,
        'bytes_per_second': count_bytes(traffic, dump['platform_bytes']),
        'resident_mb': usage.resident_bytes / 1e6,
    }
