"""Show the main job on loopback: a change, a good move and a bad one.

Starts the platform's stand-in and two zones of nodes, each with a backend
server, calls them all the time, and ends everything that it started.
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
NODES_A_ZONE = 4
CALLERS = 4
CALL_GAP_SECONDS = 0.004
MOVE_WITHIN = '9s'
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


class Traffic:
    """Callers that call nodes until told to end, and count answers."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.ended = Event()
        self.statuses = Counter()
        self.versions = Counter()
        self.threads = [
            Thread(target=self.run, args=(number,))
            for number in range(CALLERS)
        ]

    def start(self):
        """Start the callers."""
        for thread in self.threads:
            thread.start()

    def stop(self):
        """End the callers and wait for them."""
        self.ended.set()
        for thread in self.threads:
            thread.join()

    def run(self, number):
        """Call one node, payments and browsing in turn."""
        nodes = list(self.mesh.nodes.values())
        address = nodes[number % len(nodes)].call_address
        turn = 0
        while not self.ended.wait(CALL_GAP_SECONDS):
            turn += 1
            path = '/payments/1' if turn % 2 else '/jars'
            try:
                answer = self.mesh.pool.request(
                    'GET', f'http://{address}{path}'
                )
            except HTTPError as error:
                self.statuses[type(error).__name__] += 1
                continue
            self.statuses[answer.status] += 1
            self.versions[answer.headers.get('x-served-by')] += 1


def say(text):
    """Print a line at once."""
    print(text, flush=True)


def start_mesh(mesh):
    """Start the platform, the nodes and three versions of a service."""
    mesh.start_platform()
    mesh.ctl('put_all', dumps(SETTINGS))
    seeds = []
    for number in range(NODES_A_ZONE):
        for zone in ZONES:
            node = mesh.start_node(
                f'{zone}-{number + 1}', 'south-qld', zone, seeds[:3]
            )
            seeds.append(node.peer_address)
    for zone in ZONES:
        for number, version in enumerate(('v1', 'v1', 'v2', 'v3-bad'), 1):
            faults = {'fail_rate': 0.3} if version == 'v3-bad' else {}
            node = mesh.nodes[f'{zone}-{number}']
            mesh.start_backend(node, SERVICE, version, **faults)
    mesh.wait_until_ready()
    for node_id in mesh.nodes:
        mesh.wait_for_servers(node_id, 2)


def change_configuration(mesh):
    """Change one setting; return the seconds until in force everywhere."""
    route = {**SETTINGS['counter/routes/browse'], 'timeout_seconds': 2.0}
    began = time.monotonic()
    put = mesh.ctl('put', 'counter/routes/browse', dumps(route))
    waited = mesh.ctl('wait', put['revision'])
    return time.monotonic() - began, waited['nodes']


def move(mesh, version, policy):
    """Run a move to its end; return exit code, record and seconds."""
    began = time.monotonic()
    mesh.ctl(
        *('move', 'start', SERVICE, version),
        *(f'--within={MOVE_WITHIN}', f'--policy={policy}'),
    )
    code, _ = mesh.run_ctl('wait', SERVICE, '--timeout=40')
    record = mesh.ctl('move', 'status', SERVICE)
    return code, record, time.monotonic() - began


def calls_to(record):
    """Return calls and failures of the new version in the evidence."""
    calls = sum(item['new_calls'] for item in record['evidence'])
    failures = sum(item['new_failures'] for item in record['evidence'])
    return calls, failures


def demo(mesh):
    """Drive the mesh; return what went wrong."""
    faults = []
    say(f'starting {NODES_A_ZONE} nodes in each of {len(ZONES)} zones')
    start_mesh(mesh)
    traffic = Traffic(mesh)
    traffic.start()
    try:
        seconds, nodes = change_configuration(mesh)
        say(f'change: in force on {nodes} nodes after {seconds:.2f} s')
        code, record, seconds = move(mesh, 'v2', 'done_in_time')
        calls, _ = calls_to(record)
        say(
            f'move to v2: {record["state"]} after {seconds:.1f} s of '
            f'{MOVE_WITHIN}, {calls} calls judged'
        )
        if code or record['state'] != 'completed':
            faults.append(f'the good move ended as {record}')
        code, record, seconds = move(mesh, 'v3-bad', 'take_back_first')
        calls, failures = calls_to(record)
        say(
            f'move to v3-bad: {record["state"]} after {seconds:.1f} s, '
            f'{failures} of {calls} calls had failed: {record["reason"]}'
        )
        if record['state'] != 'withdrawn':
            faults.append(f'the bad move ended as {record}')
    finally:
        traffic.stop()
    say(f'answers by version: {dict(traffic.versions)}')
    say(f'answers by status: {dict(traffic.statuses)}')
    if set(traffic.statuses) - {200, 500}:
        faults.append(f'callers saw {dict(traffic.statuses)}')
    return faults


def main():
    """Run the demo; return the exit status."""
    began = time.monotonic()
    try:
        with ProcessMesh() as mesh:
            faults = demo(mesh)
    except PoplarrackError as error:
        faults = [str(error)]
    for fault in faults:
        say(f'FAULT: {fault}')
    ending = 'failed' if faults else 'done'
    say(f'{ending} after {time.monotonic() - began:.0f} s, all ended')
    return 1 if faults else 0


if __name__ == '__main__':
    sys.exit(main())
