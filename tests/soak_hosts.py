"""Hosts of the soak: a node's process beside an endpoint."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
from json import loads
from pathlib import Path
import signal
import subprocess

from tests.soak_endpoints import Endpoint
from tests.soak_http import build_request
from tests.soak_http import exchange
from tests.soak_http import NO_ANSWER
from tests.soak_meshes import CALL_PORT
from tests.soak_meshes import CONTROL_PORT
from tests.soak_meshes import OPERATOR_PORT
from tests.soak_meshes import PEER_PORT
from tests.soak_operators import SERVICES

ZONES = (('a', 'south'), ('b', 'south'), ('c', 'north'), ('d', 'north'))
NODES_PER_ZONE = 3
# From SIGTERM to the end of the process.
GRACE_SECONDS = 10.0
HEARTBEAT_SECONDS = 0.3
# With many hosts, the heartbeats of all of them take the harness's time.
SLOW_HEARTBEAT_SECONDS = 1.5
FEW_HOSTS = 12


@dataclass
class Host:
    """A node's process and its co-located endpoint.

    ``lock`` is held while the process is stopped, started or suspended.
    ``revision`` is the latest revision that the process reported,
    ``log_offset`` the size of the log in bytes when the process started.
    ``killed`` says whether the process was sent SIGKILL.
    """

    name: str
    zone: str
    region: str
    ip: str
    settings: Path
    endpoint: Endpoint
    soak: object
    process: subprocess.Popen | None = None
    revision: int = 0
    log_offset: int = 0
    killed: bool = False
    stopping: bool = False
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def record(self):
        """Return the Record."""
        return self.soak.record

    @property
    def peer_address(self):
        """Return the ``host:port`` for other nodes."""
        return f'{self.ip}:{PEER_PORT}'

    @property
    def call_address(self):
        """Return the ``host:port`` for callers."""
        return f'{self.ip}:{CALL_PORT}'

    @property
    def control_address(self):
        """Return the ``host:port`` for the local endpoint."""
        return f'{self.ip}:{CONTROL_PORT}'

    @property
    def operator_address(self):
        """Return the ``host:port`` of the state dump."""
        return f'{self.ip}:{OPERATOR_PORT}'

    @property
    def log(self):
        """Return the path of the log of the node's processes."""
        return self.settings.with_suffix('.log')

    def has_started(self):
        """Return whether the process logged that it serves."""
        return b'node_started' in self.log.read_bytes()[self.log_offset :]

    def start(self):
        """Start a process, which appends to the host's log."""
        with self.log.open('ab') as log:
            self.log_offset = log.tell()
            command, environment = self.soak.mesh.build_command(self.settings)
            self.process = subprocess.Popen(
                command, stdout=log, stderr=log, env=environment
            )
        self.revision, self.killed, self.stopping = 0, False, False
        self.record.boots[self.name].append(self.record.clock())

    def kill(self):
        """Kill the process and wait for its end."""
        self.killed = True
        self.process.kill()
        self.process.wait()

    def signal(self, number):
        """Send a signal to the process unless it has ended."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def stop(self):
        """Send SIGTERM; check that the node exits with 0 in the grace period.

        A process that does not serve yet may be ended by the signal itself.
        """
        started = self.has_started()
        self.stopping = True
        self.signal(signal.SIGTERM)
        try:
            code = await asyncio.to_thread(self.process.wait, GRACE_SECONDS)
        except subprocess.TimeoutExpired:
            self.process.kill()
            code = 'SIGKILL, sent after the grace period'
        if self.killed and code == -signal.SIGKILL:
            return
        if code != 0 and (started or code != -signal.SIGTERM):
            self.record.violate('EXIT', self.name, f'exited with {code}')

    def check_process(self):
        """Check that the process did not end by itself."""
        if self.killed or self.stopping:
            return
        code = self.process.poll()
        if code is not None:
            self.record.violate('EXIT', self.name, f'ended by itself: {code}')
            self.start()

    async def watch(self):
        """Check the process once."""
        self.check_process()
        await self.check_revision()

    async def check_revision(self):
        """Check that the process did not return to an older revision."""
        process = self.process
        raw = build_request('GET', '/dump', connection='close')
        try:
            answer = await exchange(self.operator_address, raw)
            revision = _read_revision(answer.body)
        except (*NO_ANSWER, ValueError):
            self.record.counts['dumps without answer'] += 1
            return
        if process is not self.process:
            return
        if revision < self.revision:
            self.record.violate(
                'CONFIG', self.name, f'went back to revision {revision}'
            )
        self.revision = revision


def _read_revision(body):
    return loads(body)['configuration']['revision']


def build_hosts(soak, nodes):
    """Write the settings of a number of hosts; return the Hosts.

    Each zone has endpoints of both services.
    """
    zones = ZONES[: max(2, min(len(ZONES), nodes // NODES_PER_ZONE))]
    hosts = [
        _build_host(soak, number, zones, nodes) for number in range(nodes)
    ]
    for host in hosts:
        host.settings.write_text(soak.mesh.build_settings(host, hosts))
    return hosts


def _build_host(soak, number, zones, nodes):
    zone, region = zones[number % len(zones)]
    name, ip = f'sidecar-{zone}-{number}', f'{soak.net}.{number + 1}'
    endpoint = Endpoint(
        soak,
        soak.build_random(f'endpoint {number}'),
        name,
        SERVICES[number // len(zones) % len(SERVICES)],
        f'{ip}:{CONTROL_PORT}',
        HEARTBEAT_SECONDS if nodes <= FEW_HOSTS else SLOW_HEARTBEAT_SECONDS,
    )
    path = soak.directory / f'{name}.settings'
    return Host(name, zone, region, ip, path, endpoint, soak)
