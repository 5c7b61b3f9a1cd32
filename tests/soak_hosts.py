"""Hosts of the soak: a node's process beside an endpoint."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
from json import loads
import os
from pathlib import Path
import signal
import subprocess
import sys

from tests.soak_endpoints import Endpoint
from tests.soak_http import build_request
from tests.soak_http import exchange
from tests.soak_http import NO_ANSWER
from tests.soak_operators import SERVICES
from tests.test_platform_adapter import SETTINGS

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
    call_address: str
    operator_address: str
    settings: Path
    endpoint: Endpoint
    record: object
    process: subprocess.Popen | None = None
    revision: int = 0
    log_offset: int = 0
    killed: bool = False
    stopping: bool = False
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

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
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'poplarrack.platform'],
                stdout=log,
                stderr=log,
                env={**os.environ, 'POPLARRACK_NODE_FILE': self.settings},
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

    def check_runs(self):
        """Check that the process did not end by itself."""
        if self.killed or self.stopping:
            return
        code = self.process.poll()
        if code is not None:
            self.record.violate('EXIT', self.name, f'ended by itself: {code}')
            self.start()

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
    net = f'127.{soak.seed % 200 + 20}.{soak.random.randrange(1, 250)}'
    zones = ZONES[: max(2, min(len(ZONES), nodes // NODES_PER_ZONE))]
    return [
        _build_host(soak, number, net, zones, nodes) for number in range(nodes)
    ]


def _build_host(soak, number, net, zones, nodes):
    zone, region = zones[number % len(zones)]
    service = SERVICES[number // len(zones) % len(SERVICES)]
    name, ip = f'sidecar-{zone}-{number}', f'{net}.{number + 1}'
    heartbeat_seconds = (
        HEARTBEAT_SECONDS if nodes <= FEW_HOSTS else SLOW_HEARTBEAT_SECONDS
    )
    text = SETTINGS.replace('10.1.0.35', ip)
    for old, new in (
        ('sidecar-a-1', name),
        ('region = "south"', f'region = "{region}"'),
        ('zone = "a"', f'zone = "{zone}"'),
        ('service = "front"', f'service = "{service}"'),
        ('10.200.1.7:8142', soak.store_address),
        ('"1500ms"', f'"{heartbeat_seconds * 1000:.0f}ms"'),
    ):
        assert old in text, old
        text = text.replace(old, new)
    path = soak.directory / f'{name}.toml'
    path.write_text(text)
    endpoint = Endpoint(
        soak.record,
        soak.build_random(f'endpoint {number}'),
        name,
        service,
        f'{ip}:8146',
        heartbeat_seconds,
    )
    return Host(
        name, zone, f'{ip}:8141', f'{ip}:9464', path, endpoint, soak.record
    )
