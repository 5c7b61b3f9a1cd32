"""Start a small mesh of real processes on loopback.

Only the demo, the bench and the end-to-end test use it: the programs that
run in a mesh never start other processes.
"""

from dataclasses import dataclass
from json import dumps
from json import loads
import os
from pathlib import Path
from random import SystemRandom
import signal
import socket
import subprocess
import sys
from tempfile import TemporaryDirectory
import time

from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError

POLL_SECONDS = 0.05
START_SECONDS = 20.0
STOP_SECONDS = 10.0


def program_command(name, *arguments):
    """Return the command line that runs one of the project's programs."""
    code = f'from poplarrack.programs import run_{name}; run_{name}()'
    return [sys.executable, '-c', code, *map(str, arguments)]


def wait_until(condition, seconds, what):
    """Poll until a condition returns a true value.

    :param condition: a function without parameters.
    :param seconds: the timeout.
    :param what: the noun that the error names.
    :returns: the value of the condition.
    :raises PoplarrackError: TIMED_OUT when no value is true in time.
    """
    deadline = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise PoplarrackError(
                ErrorKind.TIMED_OUT, f'no {what} within {seconds} s'
            )
        time.sleep(POLL_SECONDS)


@dataclass
class NodeHandle:
    """The process and the addresses of a started node."""

    node_id: str
    process: subprocess.Popen
    peer_address: str
    call_address: str
    announce_address: str
    operator_address: str


class ProcessMesh:
    """The processes of a mesh; leaving the context kills each by its id."""

    def __init__(self, team='counter'):
        self.team = team
        self.processes = []
        self.nodes = {}
        self.platform_address = ''
        # Outgoing connections come from 127.0.0.1. On another loopback
        # address they cannot take a port that was found to be free.
        low, high = 1, 254
        octets = [str(SystemRandom().randint(low, high)) for _ in range(3)]
        self.host = '.'.join(('127', *octets))
        self.allocated_ports = set()
        self.pool = PoolManager(timeout=3.0, retries=False, maxsize=8)

    def __enter__(self):
        """Create the directory for settings and logs."""
        self.directory = TemporaryDirectory(prefix='poplarrack-')
        self.path = Path(self.directory.name)
        return self

    def __exit__(self, *error):
        """Kill every process and remove the directory."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait(STOP_SECONDS)
        self.directory.cleanup()

    def allocate_address(self):
        """Return a free address that was not returned before."""
        while True:
            with socket.socket() as probe:
                probe.bind((self.host, 0))
                port = probe.getsockname()[1]
            if port not in self.allocated_ports:
                self.allocated_ports.add(port)
                return f'{self.host}:{port}'

    def start(self, name, log_name, *arguments):
        """Start a program, which logs to a file in the directory.

        :param name: the program, as in ``poplarrack.programs.run_<name>``.
        :param log_name: the stem of the log file.
        :param arguments: its command line arguments.
        :returns: the process.
        """
        log = (self.path / f'{log_name}.log').open('ab')
        environment = {**os.environ, 'GRPC_VERBOSITY': 'ERROR'}
        process = subprocess.Popen(
            program_command(name, *arguments),
            stdout=log,
            stderr=log,
            env=environment,
        )
        log.close()
        self.processes.append(process)
        return process

    def log_text(self, log_name):
        """Return the log of a program so far."""
        return (self.path / f'{log_name}.log').read_text()

    def start_platform(self, **limits):
        """Start the stand-in for the platform and wait until it serves.

        :param limits: flags of the program, such as ``writes`` a second.
        :returns: the process.
        """
        self.platform_address = self.allocate_address()
        flags = [f'--{name}={value}' for name, value in limits.items()]
        process = self.start(
            'platform',
            'platform',
            f'--address={self.platform_address}',
            *flags,
        )
        wait_until(
            lambda: self.fetch(self.platform_address, '/counts'),
            START_SECONDS,
            'platform',
        )
        return process

    def start_node(self, node_id, region, zone, seeds=(), **settings):
        """Start a node.

        :param seeds: peer addresses of nodes to join through.
        :param settings: further settings of the node.
        :returns: its NodeHandle.
        """
        addresses = [self.allocate_address() for _ in range(4)]
        peer, call, announce, operator = addresses
        platform = {'addresses': [self.platform_address]}
        platform.update(settings.pop('platform', {}))
        values = {
            'node_id': node_id,
            'region': region,
            'zone': zone,
            'peer_address': peer,
            'call_address': call,
            'announce_address': announce,
            'operator_address': operator,
            'platform': platform,
            'seeds': list(seeds),
            **settings,
        }
        path = self.path / f'{node_id}.json'
        path.write_text(dumps(values))
        process = self.start('node', node_id, path)
        handle = NodeHandle(node_id, process, *addresses)
        self.nodes[node_id] = handle
        return handle

    def start_backend(self, node, service, version, **behaviour):
        """Start a backend server in the instance of a node.

        :param node: the NodeHandle of the local node.
        :param behaviour: flags by the fields of Behaviour.
        :returns: the process.
        """
        flags = [f'--{name}={value}' for name, value in behaviour.items()]
        return self.start(
            'backend',
            f'{node.node_id}-{service}-{version}',
            service,
            version,
            self.allocate_address(),
            node.announce_address,
            *flags,
        )

    def fetch(self, address, path, method='GET', body=None):
        """Return the JSON of a page, None when the request fails."""
        try:
            answer = self.pool.request(
                method,
                f'http://{address}{path}',
                body=None if body is None else dumps(body),
            )
        except HTTPError:
            return None
        return loads(answer.data)

    def set_faults(self, **faults):
        """Set the faults that the platform injects."""
        self.fetch(self.platform_address, '/faults', 'POST', faults)

    def dump(self, node_id):
        """Return the state dump of a node, None when it does not answer."""
        return self.fetch(self.nodes[node_id].operator_address, '/dump')

    def wait_until_ready(self, seconds=START_SECONDS):
        """Wait until every node is ready."""
        for handle in self.nodes.values():
            wait_until(
                lambda handle=handle: self._is_ready(handle),
                seconds,
                f'ready {handle.node_id}',
            )

    def _is_ready(self, handle):
        answer = self.fetch(handle.operator_address, '/ready')
        return answer and answer['ready']

    def wait_for_servers(self, node_id, number, seconds=START_SECONDS):
        """Wait until a node lists a number of backend servers in its dump."""
        wait_until(
            lambda: (
                len((self.dump(node_id) or {}).get('servers', ())) >= number
            ),
            seconds,
            f'{number} servers on {node_id}',
        )

    def run_ctl(self, *arguments, team=None):
        """Run ``poplarrack-ctl --json``.

        :param team: the team to run it as; that of the mesh when None.
        :returns: the exit code, and what it printed.
        """
        team = team or self.team
        settings = self.path / f'ctl-{team}.json'
        if not settings.exists():
            values = {
                'team': team,
                'platform': {'addresses': [self.platform_address]},
            }
            settings.write_text(dumps(values))
        completed = subprocess.run(
            program_command(
                'ctl', *arguments, f'--settings={settings}', '--json'
            ),
            capture_output=True,
            text=True,
            check=False,
            timeout=120,
        )
        return (
            completed.returncode,
            completed.stdout.strip() or completed.stderr.strip(),
        )

    def ctl(self, *arguments):
        """Run ``poplarrack-ctl --json``, which must succeed.

        :returns: the decoded output, None when there is none.
        :raises PoplarrackError: INTERNAL when the command fails.
        """
        code, output = self.run_ctl(*arguments)
        if code:
            raise PoplarrackError(
                ErrorKind.INTERNAL,
                f'poplarrack-ctl {arguments} exited with {code}: {output}',
            )
        return loads(output) if output else None
