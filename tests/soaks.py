"""Soak test: run nodes as processes under random faults, check invariants.

    python -m tests.soaks --first 1 --seeds 50

Nodes, callers and the store use real HTTP over loopback. The endpoints run
in this process, so that the requests that ran are known when a node is
killed. Callers never retry: each request is sent once.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass
from json import dumps
from json import loads
import os
from pathlib import Path
from random import Random
import signal
import subprocess
import sys
from tempfile import TemporaryDirectory
from time import monotonic

from fire import Fire

from tests.soak_endpoints import build_request
from tests.soak_endpoints import Endpoint
from tests.soak_endpoints import exchange
from tests.soak_endpoints import HEARTBEAT_SECONDS
from tests.store_stand_in import running_store
from tests.test_platform_adapter import CONFIG
from tests.test_platform_adapter import SETTINGS

LOCATIONS = (('south', 'a'), ('south', 'b'), ('north', 'c'), ('north', 'd'))
CALLERS = 6
# Calls between two faults.
CALLS_PER_FAULT = 60
FAULTS_PER_RUN = 10
DEADLINE_MS = 1500
# Bounds that installations require. Calls succeed again within
# RECOVERY_SECONDS after the last fault, and a node exits within
# GRACE_SECONDS after SIGTERM. An endpoint gets no further requests from
# LEAVE_TOLERANCE_SECONDS after its leave was acknowledged.
RECOVERY_SECONDS = 15.0
GRACE_SECONDS = 10.0
LEAVE_TOLERANCE_SECONDS = 0.5
# Statuses that assert that the request did not run.
NOT_RUN_STATUSES = {408, 421, 429, 503}
FAULT_KINDS = {}


def fault(inject):
    """Register a coroutine function of (soak, host) as a kind of fault.

    Its name is a key of the counts that a run prints.
    """
    FAULT_KINDS[inject.__name__] = inject
    return inject


@dataclass
class Host:
    """A node's process and its co-located endpoint.

    ``revision`` is the latest revision that the process reported,
    ``log_offset`` the size of the log in bytes when the process started.
    """

    name: str
    call_address: str
    operator_address: str
    settings: Path
    endpoint: Endpoint
    process: subprocess.Popen | None = None
    revision: int = 0
    log_offset: int = 0

    @property
    def log(self):
        """Return the path of the log of the node's processes."""
        return self.settings.with_suffix('.log')

    def has_started(self):
        """Return whether the process logged that it serves."""
        return b'node_started' in self.log.read_bytes()[self.log_offset :]


class Soak:
    """One run: start the nodes, inject faults, let them recover, check.

    :param seed: seeds the faults and the addresses, so that two runs of
        one seed at the same time disturb each other.
    :param directory: the path for settings and logs.
    :param store: the StoreStandIn.
    :param address: the ``host:port`` of the store.
    """

    def __init__(self, seed, directory, store, address):
        self.random = Random(seed)
        self.directory, self.store, self.address = directory, store, address
        self.counts, self.runs = Counter(), Counter()
        self.results, self.violations = {}, []
        self.instances = self.calls = self.version = 0
        self.serving_nodes = set()
        self.stopped = False
        net = self.random.randrange(1, 250)
        self.hosts = [
            self.build_host(number, f'127.{seed % 200 + 20}.{net}')
            for number in range(len(LOCATIONS))
        ]

    def build_host(self, number, net):
        """Write the settings of a host; return it.

        :param net: the first three octets of its address.
        """
        region, zone = LOCATIONS[number]
        name, ip = f'sidecar-{zone}-{number}', f'{net}.{number + 1}'
        text = SETTINGS.replace('10.1.0.35', ip)
        for old, new in (
            ('sidecar-a-1', name),
            ('region = "south"', f'region = "{region}"'),
            ('zone = "a"', f'zone = "{zone}"'),
            ('10.200.1.7:8142', self.address),
            ('"1500ms"', f'"{HEARTBEAT_SECONDS * 1000:.0f}ms"'),
        ):
            assert old in text, old
            text = text.replace(old, new)
        path = self.directory / f'{name}.toml'
        path.write_text(text)
        endpoint = Endpoint(self, f'{ip}:8146')
        return Host(name, f'{ip}:8141', f'{ip}:9464', path, endpoint)

    def configure(self):
        """Write a new version of the configuration."""
        self.version += 1
        routes = {
            name: {**route, 'backends': None, 'service': 'front'}
            for name, route in CONFIG['routes'].items()
        }
        value = {**CONFIG, 'version': f'r{self.version}', 'routes': routes}
        self.store.put('op/config', value)

    def start_node(self, host):
        """Start a node's process, which appends to the log of its host."""
        with host.log.open('ab') as log:
            host.log_offset = log.tell()
            host.process = subprocess.Popen(
                [sys.executable, '-m', 'poplarrack.platform'],
                stdout=log,
                stderr=log,
                env={**os.environ, 'POPLARRACK_NODE_FILE': host.settings},
            )
        host.revision = 0

    def on_run(self, endpoint, key, is_expected_instance):
        """Record that an endpoint began to run a request; check it.

        The request must be for this instance, and not come after an
        acknowledged leave.
        """
        self.runs[key] += 1
        if not is_expected_instance:
            self.violations.append(
                f'{key} ran on an instance other than expected'
            )
        left_at = endpoint.left_at
        if (
            left_at is not None
            and monotonic() - left_at > LEAVE_TOLERANCE_SECONDS
        ):
            self.violations.append(
                f'{key} ran after the leave was acknowledged'
            )

    async def run_caller(self):
        """Send requests, each once, to random nodes until the run stops."""
        while not self.stopped:
            self.calls += 1
            key = f'c{self.calls}'
            safe = self.random.random() < 0.5
            host = self.random.choice(self.hosts)
            method, path = ('GET', '/a/x') if safe else ('POST', '/b/x')
            raw = build_request(
                method, path, request_id=key, deadline_ms=DEADLINE_MS
            )
            try:
                status, head, body = await exchange(host.call_address, raw)
            except (OSError, TimeoutError):
                status, head, body = 0, b'', b''
            self.record_result(key, safe, status, head, body)
            if status == 200:
                self.serving_nodes.add(host.name)
            await asyncio.sleep(0.002)

    def record_result(self, key, safe, status, head, body):
        """Record the answer of a caller; check that it is not another's."""
        self.results[key] = (safe, status)
        self.counts[f'status {status}'] += 1
        own_id = f'request-id: {key}'.encode() in head.lower()
        if status == 200 and not (own_id and body == key.encode()):
            self.violations.append(
                f'{key} got an answer not its own: {head!r} {body!r}'
            )

    async def wait_for_calls(self, number):
        """Wait until the callers made a number of further calls."""
        end = self.calls + number
        while self.calls < end:
            await asyncio.sleep(0.01)

    async def check_revisions(self):
        """Check that no process returned to an older revision."""
        for host in self.hosts:
            try:
                _, _, body = await exchange(
                    host.operator_address, build_request('GET', '/dump')
                )
                revision = loads(body)['configuration']['revision']
            except (OSError, TimeoutError, ValueError):
                self.counts['dumps without answer'] += 1
                continue
            if revision < host.revision:
                self.violations.append(
                    f'{host.name} went back to revision {revision}'
                )
            host.revision = revision

    async def stop_node(self, host):
        """Send SIGTERM; check that the node exits with 0 in the grace period.

        A process that does not serve yet may be ended by the signal itself.
        """
        started = host.has_started()
        host.process.send_signal(signal.SIGTERM)
        try:
            code = await asyncio.to_thread(host.process.wait, GRACE_SECONDS)
        except subprocess.TimeoutExpired:
            host.process.kill()
            code = 'SIGKILL, sent after the grace period'
        if code != 0 and (started or code != -signal.SIGTERM):
            self.violations.append(f'{host.name} exited with {code}')

    async def run(self):
        """Run the nodes, the callers and the faults; return the violations."""
        self.configure()
        for host in self.hosts:
            self.start_node(host)
            await host.endpoint.start()
        callers = [
            asyncio.ensure_future(self.run_caller()) for _ in range(CALLERS)
        ]
        try:
            await self.wait_for_recovery()
            for _ in range(FAULTS_PER_RUN):
                kind = self.random.choice(sorted(FAULT_KINDS))
                self.counts[kind] += 1
                await FAULT_KINDS[kind](self, self.random.choice(self.hosts))
                await self.wait_for_calls(CALLS_PER_FAULT)
                await self.check_revisions()
            self.store.failure_status = 0
            await self.wait_for_recovery()
            for host in self.hosts:
                await self.stop_node(host)
        finally:
            self.stopped = True
            await asyncio.gather(*callers)
            for host in self.hosts:
                host.process.kill()
                await host.endpoint.close()
        return self.check_runs()

    async def wait_for_recovery(self):
        """Wait until calls through every node succeed again."""
        self.serving_nodes.clear()
        end = monotonic() + RECOVERY_SECONDS
        while len(self.serving_nodes) < len(self.hosts):
            if monotonic() > end:
                serving = sorted(self.serving_nodes)
                self.violations.append(
                    f'only {serving} served again within the recovery time'
                )
                return
            await asyncio.sleep(0.01)

    def check_runs(self):
        """Compare each caller's status with how often its request ran.

        :returns: the violations of the whole run.
        """
        for key, (safe, status) in self.results.items():
            runs = self.runs[key]
            if not safe and runs > 1:
                self.violations.append(
                    f'{key} is not safe and ran {runs} times'
                )
            if status in NOT_RUN_STATUSES and runs:
                self.violations.append(f'{key} got status {status} and ran')
            if status == 200 and not runs:
                self.violations.append(f'{key} got status 200 and did not run')
        return self.violations


@fault
async def kill_node(soak, host):
    """Kill a node's process and start it again."""
    host.process.kill()
    host.process.wait()
    soak.start_node(host)


@fault
async def restart_node(soak, host):
    """Stop a node gracefully and start it again."""
    await soak.stop_node(host)
    soak.start_node(host)


@fault
async def freeze_node(soak, host):
    """Suspend a node's process for a while; its connections stay open."""
    host.process.send_signal(signal.SIGSTOP)
    await soak.wait_for_calls(CALLS_PER_FAULT // 2)
    host.process.send_signal(signal.SIGCONT)


@fault
async def fail_store(soak, host):
    """Make the store answer every call with a failure, or recover."""
    soak.store.failure_status = soak.random.choice([0, 429, 500, 503])


@fault
async def change_configuration(soak, host):
    """Write one to three versions in quick succession."""
    for _ in range(soak.random.randrange(1, 4)):
        soak.configure()


@fault
async def replace_endpoint(soak, host):
    """Replace an endpoint that leaves gracefully by a new instance."""
    await host.endpoint.leave()
    await soak.wait_for_calls(CALLS_PER_FAULT)
    await host.endpoint.close()
    await host.endpoint.start()


@fault
async def crash_endpoint(soak, host):
    """Replace an endpoint that stops without a leave by a new instance."""
    await host.endpoint.close()
    await soak.wait_for_calls(CALLS_PER_FAULT // 2)
    await host.endpoint.start()


def run_soak(seed):
    """Run one seed; print the logs of the nodes when an invariant failed.

    :returns: the violations, and the counts of statuses and faults.
    """
    with (
        TemporaryDirectory(prefix='poplarrack-soak-') as directory,
        running_store() as (store, address),
    ):
        soak = Soak(seed, Path(directory), store, address)
        violations = asyncio.run(soak.run())
        if violations:
            for path in sorted(Path(directory).glob('*.log')):
                print(path.name, path.read_text()[-4000:], file=sys.stderr)
        return violations, dict(soak.counts)


def main(first=1, seeds=50):
    """Run seeds one after another; exit with 1 when an invariant failed."""
    failed = []
    for seed in range(first, first + seeds):
        violations, counts = run_soak(seed)
        print(
            dumps({'seed': seed, 'broken': violations[:9], 'counts': counts})
        )
        failed += [seed] if violations else []
    print(f'{seeds - len(failed)} of {seeds} seeds held; broken: {failed}')
    sys.exit(bool(failed))


if __name__ == '__main__':
    Fire(main)
