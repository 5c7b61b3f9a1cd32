"""Demonstrate a configuration change, a good move and a bad one.

Starts the stand-in for the platform, nodes in two zones and backend servers
on loopback, calls the nodes throughout, and ends all that it started.
"""

from collections import Counter
from json import dumps
import sys
from threading import Event
from threading import Thread
import time

from urllib3.exceptions import HTTPError

from poplarrack.errors import PoplarrackError
from poplarrack.stand_ins.meshes import ProcessMesh

ZONES = ('toowoomba', 'ipswich')
NODES_PER_ZONE = 4
# Of the backend servers in each zone.
VERSIONS = ('v1', 'v1', 'v2', 'v3-bad')
CALLERS = 4
CALL_INTERVAL_SECONDS = 0.004
MOVE_DURATION = '9s'
SERVICE = 'till-back'

SETTINGS = {
    'counter/services/till-back': {
        'name': SERVICE,
        'version': 'v1',
        'warm_up_seconds': 1.0,
    },
    'counter/routes/payments': {
        'name': 'payments',
        'prefix': '/payments',
        'service': SERVICE,
        'priority': 'critical',
    },
    'counter/routes/browse': {
        'name': 'browse',
        'prefix': '/jars',
        'service': SERVICE,
        'repeatable': True,
        'priority': 'sheddable',
    },
}


class CallGenerator:
    """Threads that call nodes until stopped, and count the answers."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.stopped = Event()
        self.statuses = Counter()
        self.versions = Counter()
        self.threads = [
            Thread(target=self.run, args=(number,))
            for number in range(CALLERS)
        ]

    def start(self):
        """Start the threads."""
        for thread in self.threads:
            thread.start()

    def stop(self):
        """Stop the threads and wait for them."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def run(self, number):
        """Call one node, by the routes payments and browse in turn."""
        nodes = list(self.mesh.nodes.values())
        address = nodes[number % len(nodes)].call_address
        calls = 0
        while not self.stopped.wait(CALL_INTERVAL_SECONDS):
            calls += 1
            path = '/payments/1' if calls % 2 else '/jars'
            try:
                answer = self.mesh.pool.request(
                    'GET', f'http://{address}{path}'
                )
            except HTTPError as error:
                self.statuses[type(error).__name__] += 1
                continue
            self.statuses[answer.status] += 1
            self.versions[answer.headers.get('x-served-by')] += 1


def print_line(text):
    """Print a line without buffering."""
    print(text, flush=True)


def start_mesh(mesh):
    """Start the platform, the nodes and backend servers of three versions."""
    mesh.start_platform()
    mesh.ctl('put_all', dumps(SETTINGS))
    seeds = []
    for number in range(NODES_PER_ZONE):
        for zone in ZONES:
            node = mesh.start_node(
                f'{zone}-{number + 1}', 'south-qld', zone, seeds[:3]
            )
            seeds.append(node.peer_address)
    for zone in ZONES:
        for number, version in enumerate(VERSIONS, 1):
            faults = {'fail_rate': 0.3} if version == 'v3-bad' else {}
            node = mesh.nodes[f'{zone}-{number}']
            mesh.start_backend(node, SERVICE, version, **faults)
    mesh.wait_until_ready()
    # All of them: only those of v1 take calls before the first move.
    for node_id in mesh.nodes:
        mesh.wait_for_servers(node_id, len(ZONES) * len(VERSIONS))


def change_configuration(mesh):
    """Change one setting.

    :returns: the seconds until every node applied it, and how many did.
    """
    route = {**SETTINGS['counter/routes/browse'], 'timeout_seconds': 2.0}
    started_at = time.monotonic()
    put = mesh.ctl('put', 'counter/routes/browse', dumps(route))
    waited = mesh.ctl('wait', put['revision'])
    return time.monotonic() - started_at, waited['nodes']


def run_move(mesh, version, policy):
    """Start a move and wait for its end.

    :returns: the exit code of the wait, the record of the move, and the
        seconds that it took.
    """
    started_at = time.monotonic()
    mesh.ctl(
        *('move', 'start', SERVICE, version),
        *(f'--within={MOVE_DURATION}', f'--policy={policy}'),
    )
    code, _ = mesh.run_ctl('wait', SERVICE, '--timeout=40')
    record = mesh.ctl('move', 'status', SERVICE)
    return code, record, time.monotonic() - started_at


def count_new_calls(record):
    """Return the calls and failures of the new version, by the evidence."""
    calls = sum(item['new_calls'] for item in record['evidence'])
    failures = sum(item['new_failures'] for item in record['evidence'])
    return calls, failures


def demo(mesh):
    """Run the demo on a mesh; return descriptions of what went wrong."""
    failures = []
    print_line(
        f'starting {NODES_PER_ZONE} nodes in each of {len(ZONES)} zones'
    )
    start_mesh(mesh)
    generator = CallGenerator(mesh)
    generator.start()
    try:
        seconds, nodes = change_configuration(mesh)
        print_line(f'change: in force on {nodes} nodes after {seconds:.2f} s')
        code, record, seconds = run_move(mesh, 'v2', 'done_in_time')
        calls, _ = count_new_calls(record)
        print_line(
            f'move to v2: {record["state"]} after {seconds:.1f} s of '
            f'{MOVE_DURATION}, {calls} calls judged'
        )
        if code or record['state'] != 'completed':
            failures.append(f'the good move ended as {record}')
        code, record, seconds = run_move(mesh, 'v3-bad', 'take_back_first')
        calls, failed_calls = count_new_calls(record)
        print_line(
            f'move to v3-bad: {record["state"]} after {seconds:.1f} s, '
            f'{failed_calls} of {calls} calls had failed: {record["reason"]}'
        )
        if record['state'] != 'withdrawn':
            failures.append(f'the bad move ended as {record}')
    finally:
        generator.stop()
    print_line(f'answers by version: {dict(generator.versions)}')
    print_line(f'answers by status: {dict(generator.statuses)}')
    if set(generator.statuses) - {200, 500}:
        failures.append(f'callers saw {dict(generator.statuses)}')
    return failures


def main():
    """Run the demo; return the exit status."""
    started_at = time.monotonic()
    try:
        with ProcessMesh() as mesh:
            failures = demo(mesh)
    except PoplarrackError as error:
        failures = [str(error)]
    for failure in failures:
        print_line(f'FAULT: {failure}')
    outcome = 'failed' if failures else 'done'
    print_line(
        f'{outcome} after {time.monotonic() - started_at:.0f} s, '
        'all processes ended'
    )
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main())
