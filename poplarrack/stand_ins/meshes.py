"""Start a small mesh of real processes on loopback.

For the demo, the bench and the end-to-end test alone: no program that
runs in a mesh starts another one.
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
    """Return the command that runs one of the project's programs."""
    code = f'from poplarrack.programs import run_{name}; run_{name}()'
    return [sys.executable, '-c', code, *map(str, arguments)]


def await_condition(condition, seconds, what):
    """Poll until a condition gives a true value, and return it.

    :raises PoplarrackError: TIMED_OUT.
    """
    end = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise PoplarrackError(
                ErrorKind.TIMED_OUT, f'no {what} within {seconds} s'
            )
        time.sleep(POLL_SECONDS)


@dataclass
class NodeHandle:
    """A started node: its process and addresses."""

    node_id: str
    process: subprocess.Popen
    peer_address: str
    call_address: str
    announce_address: str
    operator_address: str


class ProcessMesh:
    """Processes started here; leaving the context ends each by id."""

    def __init__(self, team='counter'):
        self.team = team
        self.processes = []
        self.nodes = {}
        self.platform_address = ''
        # An address of its own: ports that are free here are not taken by
        # outgoing connections, which come from 127.0.0.1.
        low, high = 1, 254
        parts = [str(SystemRandom().randint(low, high)) for _ in range(3)]
        self.host = '.'.join(('127', *parts))
        self.ports_given = set()
        self.pool = PoolManager(timeout=3.0, retries=False, maxsize=8)

    def __enter__(self):
        """Make the folder that settings and logs go to."""
        self.folder = TemporaryDirectory(prefix='poplarrack-')
        self.path = Path(self.folder.name)
        return self

    def __exit__(self, *error):
        """End every process and remove the folder."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait(STOP_SECONDS)
        self.folder.cleanup()

    def free_address(self):
        """Return an address that is free and was not given before."""
        while True:
            with socket.socket() as item:
                item.bind((self.host, 0))
                port = item.getsockname()[1]
            if port not in self.ports_given:
                self.ports_given.add(port)
                return f'{self.host}:{port}'

    def start(self, name, log_name, *arguments):
        """Start a program; its log goes to a file in the folder."""
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
        """Return what a program logged."""
        return (self.path / f'{log_name}.log').read_text()

    def start_platform(self, **limits):
        """Start the platform's stand-in and wait for it."""
        self.platform_address = self.free_address()
        flags = [f'--{name}={value}' for name, value in limits.items()]
        process = self.start(
            'platform',
            'platform',
            f'--address={self.platform_address}',
            *flags,
        )
        await_condition(
            lambda: self.fetch(self.platform_address, '/counts'),
            START_SECONDS,
            'platform',
        )
        return process

    def start_node(self, node_id, region, zone, seeds=(), **settings):
        """Start a node."""
        addresses = [self.free_address() for _ in range(4)]
        peer, call, announce, operator = addresses
        platform = {'addresses': [self.platform_address]}
        platform.update(settings.pop('platform', {}))
        given = {
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
        path.write_text(dumps(given))
        process = self.start('node', node_id, path)
        handle = NodeHandle(node_id, process, *addresses)
        self.nodes[node_id] = handle
        return handle

    def start_backend(self, node, service, version, **behaviour):
        """Start a backend server in a node's instance."""
        flags = [f'--{name}={value}' for name, value in behaviour.items()]
        return self.start(
            'backend',
            f'{node.node_id}-{service}-{version}',
            service,
            version,
            self.free_address(),
            node.announce_address,
            *flags,
        )

    def fetch(self, address, path, method='GET', body=None):
        """Return a page's JSON, None when there is no answer."""
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
        """Set the platform's faults."""
        self.fetch(self.platform_address, '/faults', 'POST', faults)

    def dump(self, node_id):
        """Return a node's state."""
        return self.fetch(self.nodes[node_id].operator_address, '/dump')

    def await_ready(self, seconds=START_SECONDS):
        """Wait until every node serves a version."""
        for handle in self.nodes.values():
            await_condition(
                lambda handle=handle: self._is_ready(handle),
                seconds,
                f'ready {handle.node_id}',
            )

    def _is_ready(self, handle):
        page = self.fetch(handle.operator_address, '/ready')
        return page and page['ready']

    def await_servers(self, node_id, number, seconds=START_SECONDS):
        """Wait until a node may use a number of backend servers."""
        await_condition(
            lambda: (
                len((self.dump(node_id) or {}).get('servers', ())) >= number
            ),
            seconds,
            f'{number} servers on {node_id}',
        )

    def run_ctl(self, *arguments, team=None):
        """Run ``poplarrack-ctl --json``; return exit code and output."""
        team = team or self.team
        settings = self.path / f'ctl-{team}.json'
        if not settings.exists():
            given = {
                'team': team,
                'platform': {'addresses': [self.platform_address]},
            }
            settings.write_text(dumps(given))
        done = subprocess.run(
            program_command(
                'ctl', *arguments, f'--settings={settings}', '--json'
            ),
            capture_output=True,
            text=True,
            check=False,
            timeout=120,
        )
        return done.returncode, done.stdout.strip() or done.stderr.strip()

    def ctl(self, *arguments):
        """Run a command that must succeed; return its JSON."""
        code, output = self.run_ctl(*arguments)
        if code:
            raise PoplarrackError(
                ErrorKind.INTERNAL, f'{arguments}: exit {code}: {output}'
            )
        return loads(output) if output else None
