"""Measure the call path on real processes."""

from json import dumps
import time

from poplarrack.benches import bench_case
from poplarrack.benches import Bound
from poplarrack.benches import percentile
from poplarrack.benches import Result
from poplarrack.loads import CallClient
from poplarrack.loads import read_usage
from poplarrack.meshes import Mesh

CALLS_PER_SECOND = 120
WARM_UP_CALLS = 200
ADDED_P99_MS = 0.48

SETTINGS = {
    'bench/services/front': {
        'name': 'front',
        'version': 'v1',
        'warm_up_seconds': 0.1,
    },
    'bench/routes/front': {
        'name': 'front',
        'prefix': '/',
        'service': 'front',
    },
}


def start_small_mesh(mesh, **behaviour):
    """Start one node and its backend server; return node and server."""
    mesh.start_platform()
    mesh.ctl('put_all', dumps(SETTINGS))
    node = mesh.start_node('a-1', 'south', 'a')
    mesh.start_backend(node, 'front', 'v1', **behaviour)
    mesh.await_ready()
    mesh.await_servers('a-1', 1)
    (server,) = mesh.dump('a-1')['servers']
    return node, server


def interleave(direct, through, calls):
    """Call both in turn at the stated rate; return their seconds."""
    direct_times, through_times = [], []
    gap = 1 / CALLS_PER_SECOND
    due = time.perf_counter()
    for _ in range(calls):
        direct_times.append(direct.call('/jars')[1])
        through_times.append(through.call('/jars')[1])
        due += gap
        time.sleep(max(0.0, due - time.perf_counter()))
    return direct_times, through_times


@bench_case('added-latency')
def added_latency(seed, calls=2000):
    """Added to a call by the node, at 120 calls/s, real processes."""
    with Mesh('bench') as mesh:
        node, server = start_small_mesh(mesh, delay=0, slots=50)
        direct, through = CallClient(server), CallClient(node.call_address)
        interleave(direct, through, WARM_UP_CALLS)
        idle_before = read_usage(node.process.pid)
        time.sleep(3)
        idle_after = read_usage(node.process.pid)
        before = read_usage(node.process.pid)
        began = time.monotonic()
        direct_times, through_times = interleave(direct, through, calls)
        spent = time.monotonic() - began
        after = read_usage(node.process.pid)
    idle_share = (idle_after.cpu_seconds - idle_before.cpu_seconds) / 3
    cpu = after.cpu_seconds - before.cpu_seconds - idle_share * spent
    paired = [a - b for a, b in zip(through_times, direct_times)]
    figures = {
        'direct_p50_ms': percentile(direct_times, 0.5) * 1e3,
        'direct_p99_ms': percentile(direct_times, 0.99) * 1e3,
        'through_p50_ms': percentile(through_times, 0.5) * 1e3,
        'through_p99_ms': percentile(through_times, 0.99) * 1e3,
        'paired_p50_ms': percentile(paired, 0.5) * 1e3,
        'paired_p99_ms': percentile(paired, 0.99) * 1e3,
        'node_cpu_ms_a_call': cpu / calls * 1e3,
        'node_idle_cpu_share': idle_share,
        'node_resident_mb': after.resident_bytes / 1e6,
    }
    figures['added_p50_ms'] = (
        figures['through_p50_ms'] - figures['direct_p50_ms']
    )
    figures['added_p99_ms'] = (
        figures['through_p99_ms'] - figures['direct_p99_ms']
    )
    return Result(figures, {'added_p99_ms': Bound(most=ADDED_P99_MS)})
