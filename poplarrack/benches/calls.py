"""Bench cases of the call path, on real processes."""

from collections import Counter
from itertools import count
from json import dumps
from random import Random
import signal
import socket
from threading import Event
from threading import Thread
import time

from poplarrack.benches.cases import bench_case
from poplarrack.benches.cases import Bound
from poplarrack.benches.cases import percentile
from poplarrack.benches.cases import Result
from poplarrack.benches.loads import CallClient
from poplarrack.benches.loads import read_usage
from poplarrack.stand_ins.meshes import ProcessMesh

CALLS_PER_SECOND = 120
WARM_UP_CALLS = 200
MAX_ADDED_P99_MS = 0.48
# Pause of a caller after a refused connection.
REFUSED_PAUSE_SECONDS = 0.05
# Answered calls as a fraction of those that the slots could serve.
MIN_GOODPUT_SHARE = 0.8

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
    'bench/routes/critical': {
        'name': 'critical',
        'prefix': '/critical',
        'service': 'front',
        'priority': 'critical',
        'timeout_seconds': 1.0,
    },
    'bench/routes/deadline': {
        'name': 'deadline',
        'prefix': '/deadline',
        'service': 'front',
        'timeout_seconds': 0.05,
    },
    'bench/routes/browse': {
        'name': 'browse',
        'prefix': '/browse',
        'service': 'front',
        'priority': 'sheddable',
        'timeout_seconds': 1.0,
    },
}


def start_small_mesh(mesh, **behaviour):
    """Start one node and its backend server.

    :param behaviour: the flags of the backend server.
    :returns: the NodeHandle, and the address of the backend server.
    """
    mesh.start_platform()
    mesh.ctl('put_all', dumps(SETTINGS))
    node = mesh.start_node('a-1', 'south', 'a')
    mesh.start_backend(node, 'front', 'v1', **behaviour)
    mesh.wait_until_ready()
    mesh.wait_for_servers('a-1', 1)
    (server,) = mesh.dump('a-1')['servers']
    return node, server


def interleave(direct, through, calls):
    """Call with two clients in turn, CALLS_PER_SECOND times a second.

    :param direct: the CallClient of the backend server.
    :param through: the CallClient of the node.
    :param calls: the number of calls of each.
    :returns: the latencies of the clients in seconds.
    """
    direct_times, through_times = [], []
    interval = 1 / CALLS_PER_SECOND
    due = time.perf_counter()
    for _ in range(calls):
        direct_times.append(direct.call('/jars')[1])
        through_times.append(through.call('/jars')[1])
        due += interval
        time.sleep(max(0.0, due - time.perf_counter()))
    return direct_times, through_times


@bench_case('added-latency')
def added_latency(seed, calls=2000):
    """Added to a call by the node, at 120 calls/s, real processes."""
    with ProcessMesh('bench') as mesh:
        node, server = start_small_mesh(mesh, delay=0, slots=50)
        direct, through = CallClient(server), CallClient(node.call_address)
        interleave(direct, through, WARM_UP_CALLS)
        idle_before = read_usage(node.process.pid)
        time.sleep(3)
        idle_after = read_usage(node.process.pid)
        before = read_usage(node.process.pid)
        started_at = time.monotonic()
        direct_times, through_times = interleave(direct, through, calls)
        elapsed = time.monotonic() - started_at
        after = read_usage(node.process.pid)
    idle_share = (idle_after.cpu_seconds - idle_before.cpu_seconds) / 3
    cpu = after.cpu_seconds - before.cpu_seconds - idle_share * elapsed
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
    return Result(figures, {'added_p99_ms': Bound(maximum=MAX_ADDED_P99_MS)})


class Caller(Thread):
    """Thread that calls an address until stopped, and counts the outcomes.

    The counts are by status, and of ``refused`` and ``lost`` connections
    and of ``crossed`` answers, which carry the key of another call.

    :param stopped: the event that stops it.
    :param keys: an iterator of numbers, shared by the callers.
    """

    def __init__(self, address, stopped, keys, path):
        super().__init__(daemon=True)
        self.client = CallClient(address)
        self.path = path
        self.stopped = stopped
        self.keys = keys
        self.counts = Counter()

    def run(self):
        """Call until stopped; a refused connection has sent nothing."""
        while not self.stopped.is_set():
            key = next(self.keys)
            try:
                status, _ = self.client.call(
                    self.path, f'x-call-key: k{key}\r\n'
                )
            except ConnectionRefusedError:
                self.counts['refused'] += 1
                time.sleep(REFUSED_PAUSE_SECONDS)
            except OSError:
                self.counts['lost'] += 1
            else:
                self.counts[status] += 1
                own_header = b'x-call-key: k%d\r\n' % key
                crossed = status == 200 and own_header not in self.client.head
                self.counts['crossed'] += crossed


def run_callers(address, number, keys, path='/payments'):
    """Start callers; return them and the event that stops them."""
    stopped = Event()
    callers = [Caller(address, stopped, keys, path) for _ in range(number)]
    for caller in callers:
        caller.start()
    return callers, stopped


def stop_callers(callers, stopped):
    """Stop callers; return the sum of their counts."""
    stopped.set()
    total = Counter()
    for caller in callers:
        caller.join(10)
        total += caller.counts
    return total


@bench_case('drain')
def drain(seed, callers=16):
    """SIGTERM to a node, then to a server, under load: none lost."""
    keys = count()
    with ProcessMesh('bench') as mesh:
        node, _ = start_small_mesh(mesh, delay=0.02, slots=40)
        other = mesh.start_node('a-2', 'south', 'a', [node.peer_address])
        backend = mesh.start_backend(other, 'front', 'v1', slots=40)
        mesh.wait_for_servers('a-1', 2)
        running, stopped = run_callers(node.call_address, callers, keys)
        time.sleep(1 + seed % 3 * 0.1)
        backend.send_signal(signal.SIGTERM)
        backend.wait(15)
        server_exit = backend.returncode
        counts = stop_callers(running, stopped)
        # The local backend server of a leaving node leaves with it, so
        # that another one has to be there.
        mesh.start_backend(other, 'front', 'v1', delay=0.02, slots=40)
        mesh.wait_for_servers('a-1', 2)
        running, stopped = run_callers(node.call_address, callers, keys)
        time.sleep(1 + seed % 7 * 0.1)
        started_at = time.monotonic()
        node.process.send_signal(signal.SIGTERM)
        node.process.wait(20)
        elapsed = time.monotonic() - started_at
        counts += stop_callers(running, stopped)
        figures = {
            'answered': counts[200],
            'lost': counts['lost'],
            'failed': sum(
                number
                for status, number in counts.items()
                if isinstance(status, int) and status != 200
            ),
            'node_exit': node.process.returncode,
            'server_exit': server_exit,
            'node_seconds_to_end': elapsed,
        }
    bounds = {
        'lost': Bound(maximum=0),
        'failed': Bound(maximum=0),
        'node_exit': Bound(maximum=0),
        'server_exit': Bound(maximum=0),
        'answered': Bound(minimum=1),
    }
    return Result(figures, bounds)


class RunCounter(Thread):
    """Counts how often each call ran.

    Backend servers send the key of each call as a datagram before they run
    it, so that no run goes uncounted when they are killed.
    """

    def __init__(self, path):
        super().__init__(daemon=True)
        self.path = str(path)
        self.socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.socket.bind(self.path)
        self.runs = Counter()

    def run(self):
        """Count until an empty datagram arrives."""
        while key := self.socket.recv(64):
            self.runs[key] += 1

    def stop(self):
        """Stop after all datagrams sent so far; return the runs by call."""
        with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as last:
            last.sendto(b'', self.path)
        self.join(10)
        self.socket.close()
        return self.runs


@bench_case('at-most-once')
def at_most_once(seed, callers=8, seconds=12):
    """Servers and nodes killed under load: nothing runs twice."""
    random, keys = Random(seed), count()
    with ProcessMesh('bench') as mesh:
        path = mesh.path / 'witness'
        counter = RunCounter(path)
        counter.start()
        behaviour = {'slots': 4, 'witness': path}
        node, _ = start_small_mesh(mesh, delay=0.01, **behaviour)
        other = mesh.start_node('a-2', 'south', 'a', [node.peer_address])
        server = mesh.start_backend(other, 'front', 'v1', **behaviour)
        mesh.wait_for_servers('a-1', 2)
        running, stopped = run_callers(node.call_address, callers, keys)
        kills = 0
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            time.sleep(random.uniform(0.5, 2.0))
            server.kill()
            server.wait(5)
            kills += 1
            server = mesh.start_backend(other, 'front', 'v1', **behaviour)
        counts = stop_callers(running, stopped)
        runs = counter.stop()
    figures = {
        'calls': sum(counts.values()) - counts['crossed'],
        'answered': counts[200],
        'told_not_run': counts[503],
        'told_unknown': counts[502] + counts[504],
        'servers_killed': kills,
        'runs_told': sum(runs.values()),
        'ran_twice': sum(number > 1 for number in runs.values()),
        'crossed': counts['crossed'],
        'sent_but_unanswered': counts['lost'],
    }
    bounds = {
        'ran_twice': Bound(maximum=0),
        'crossed': Bound(maximum=0),
        'sent_but_unanswered': Bound(maximum=0),
        'servers_killed': Bound(minimum=1),
        'runs_told': Bound(minimum=counts[200]),
    }
    return Result(figures, bounds)


@bench_case('overload')
def overload(seed, seconds=6):
    """More callers than slots, 2 and 10 times: what is still answered."""
    figures, keys = {'seed_pause': seed % 10 * 0.01}, count()
    slots, delay = 8, 0.040
    with ProcessMesh('bench') as mesh:
        node, _ = start_small_mesh(mesh, delay=delay, slots=slots)
        time.sleep(figures.pop('seed_pause'))
        for times in (2, 10):
            # The critical callers are a quarter of the slots, so that all
            # of their calls find room.
            critical = max(1, slots // 4)
            browsing = slots * times - critical
            address = node.call_address
            critical_callers, stop_critical = run_callers(
                address, critical, keys, '/critical'
            )
            browse_callers, stop_browsing = run_callers(
                address, browsing, keys, '/browse'
            )
            time.sleep(seconds)
            critical_counts = stop_callers(critical_callers, stop_critical)
            browse_counts = stop_callers(browse_callers, stop_browsing)
            answered = critical_counts[200] + browse_counts[200]
            figures[f'goodput_share_{times}x'] = (
                answered / seconds / (slots / delay)
            )
            figures[f'critical_answered_share_{times}x'] = critical_counts[
                200
            ] / sum(critical_counts.values())
            figures[f'browse_refused_{times}x'] = browse_counts[503]
            figures[f'untrue_or_lost_{times}x'] = sum(
                number
                for counts in (critical_counts, browse_counts)
                for status, number in counts.items()
                if status not in (200, 503)
            )
    bounds = {}
    for times in (2, 10):
        bounds[f'goodput_share_{times}x'] = Bound(minimum=MIN_GOODPUT_SHARE)
        bounds[f'critical_answered_share_{times}x'] = Bound(minimum=0.95)
        bounds[f'untrue_or_lost_{times}x'] = Bound(maximum=0)
    return Result(figures, bounds)


@bench_case('crossed-answers')
def crossed_answers(seed, callers=12, seconds=8):
    """Answers around the deadline, early and late: each to its caller."""
    keys = count()
    with ProcessMesh('bench') as mesh:
        node, _ = start_small_mesh(mesh, delay=0.05, slots=30)
        running, stopped = run_callers(
            node.call_address, callers, keys, '/deadline'
        )
        time.sleep(seconds + seed % 10 * 0.1)
        counts = stop_callers(running, stopped)
    figures = {
        'answered': counts[200],
        'timed_out': counts[504],
        'crossed': counts['crossed'],
        'lost': counts['lost'],
    }
    bounds = {
        'crossed': Bound(maximum=0),
        'lost': Bound(maximum=0),
        'timed_out': Bound(minimum=1),
        'answered': Bound(minimum=1),
    }
    return Result(figures, bounds)
