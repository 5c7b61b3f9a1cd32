"""Run nodes as real processes under random faults and check the promises.

    python -m tests.soaks --first 1 --seeds 50

Nodes, callers and the store speak real HTTP over loopback; endpoints live
in this process, so that what ran is known whatever is killed. Each caller
sends a request once.
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

from tests.soak_endpoints import BEAT_SECONDS
from tests.soak_endpoints import build
from tests.soak_endpoints import Endpoint
from tests.soak_endpoints import exchange
from tests.store_stand_in import running_store
from tests.test_platform_adapter import CONFIG
from tests.test_platform_adapter import SETTINGS

PLACES = (('south', 'a'), ('south', 'b'), ('north', 'c'), ('north', 'd'))
CALLERS = 6
# Calls that are made between one fault and the next.
CALLS_A_FAULT = 60
FAULTS = 10
DEADLINE_MS = 1500
# From the installations' bounds: recover, grace and what an ack promises.
RECOVER_SECONDS = 15.0
GRACE_SECONDS = 10.0
LEAVE_SLACK_SECONDS = 0.5
# Statuses that promise that the request did not run.
NOT_RUN = {408, 421, 429, 503}
FAULT_KINDS = {}


def fault(act):
    """Register a coroutine function of a Soak as a kind of fault."""
    FAULT_KINDS[act.__name__] = act
    return act


@dataclass
class Machine:
    """A node's process, the endpoint beside it and what was seen of it."""

    name: str
    call: str
    dump: str
    settings: Path
    endpoint: Endpoint
    process: subprocess.Popen | None = None
    revision: int = 0
    log_at: int = 0

    @property
    def log(self):
        """Return the file that the node's processes write to."""
        return self.settings.with_suffix('.log')

    def has_begun(self):
        """Say whether the process said that it serves."""
        return b'node_started' in self.log.read_bytes()[self.log_at :]


class Soak:
    """One run of all: start, disturb, let recover, judge."""

    def __init__(self, seed, folder, stand_in, store):
        self.random = Random(seed)
        self.folder, self.stand_in, self.store = folder, stand_in, store
        self.counts, self.runs = Counter(), Counter()
        self.results, self.broken = {}, []
        self.instances = self.calls = self.version = 0
        self.serving = set()
        self.ended = False
        net = self.random.randrange(1, 250)
        self.machines = [
            self.build_machine(number, f'127.{seed % 200 + 20}.{net}')
            for number in range(len(PLACES))
        ]

    def build_machine(self, number, net):
        """Write the settings of one machine."""
        region, zone = PLACES[number]
        name, ip = f'sidecar-{zone}-{number}', f'{net}.{number + 1}'
        text = SETTINGS.replace('10.1.0.35', ip)
        for old, new in (
            ('sidecar-a-1', name),
            ('region = "south"', f'region = "{region}"'),
            ('zone = "a"', f'zone = "{zone}"'),
            ('10.200.1.7:8142', self.store),
            ('"1500ms"', f'"{BEAT_SECONDS * 1000:.0f}ms"'),
        ):
            assert old in text, old
            text = text.replace(old, new)
        path = self.folder / f'{name}.toml'
        path.write_text(text)
        endpoint = Endpoint(self, f'{ip}:8146')
        return Machine(name, f'{ip}:8141', f'{ip}:9464', path, endpoint)

    def configure(self):
        """Write another version of the configuration."""
        self.version += 1
        routes = {
            name: {**route, 'backends': None, 'service': 'front'}
            for name, route in CONFIG['routes'].items()
        }
        value = {**CONFIG, 'version': f'r{self.version}', 'routes': routes}
        self.stand_in.put('op/config', value)

    def start_node(self, machine):
        """Start a node's process; its log goes to the folder."""
        with machine.log.open('ab') as log:
            machine.log_at = log.tell()
            machine.process = subprocess.Popen(
                [sys.executable, '-m', 'poplarrack.platform'],
                stdout=log,
                stderr=log,
                env={**os.environ, 'POPLARRACK_NODE_FILE': machine.settings},
            )
        machine.revision = 0

    def on_run(self, endpoint, key, expected):
        """Note that an endpoint began to run a request."""
        self.runs[key] += 1
        if not expected:
            self.broken.append(f'{key} ran at another instance')
        left = endpoint.left_at
        if left is not None and monotonic() - left > LEAVE_SLACK_SECONDS:
            self.broken.append(f'{key} ran after the leave was acknowledged')

    async def call_for_ever(self):
        """Send requests, each once, to nodes at random."""
        while not self.ended:
            self.calls += 1
            key = f'c{self.calls}'
            safe = self.random.random() < 0.5
            machine = self.random.choice(self.machines)
            method, path = ('GET', '/a/x') if safe else ('POST', '/b/x')
            raw = build(method, path, request_id=key, deadline_ms=DEADLINE_MS)
            try:
                status, head, body = await exchange(machine.call, raw)
            except (OSError, TimeoutError):
                status, head, body = 0, b'', b''
            self.note_result(key, safe, status, head, body)
            if status == 200:
                self.serving.add(machine.name)
            await asyncio.sleep(0.002)

    def note_result(self, key, safe, status, head, body):
        """Keep what a caller was told, and whether it was its own."""
        self.results[key] = (safe, status)
        self.counts[f'status {status}'] += 1
        mine = f'request-id: {key}'.encode() in head.lower()
        if status == 200 and not (mine and body == key.encode()):
            self.broken.append(f'{key} got {head!r} {body!r}')

    async def calls_made(self, number):
        """Wait until the callers made so many more calls."""
        end = self.calls + number
        while self.calls < end:
            await asyncio.sleep(0.01)

    async def see_revisions(self):
        """Check that no process went back to an older version."""
        for machine in self.machines:
            try:
                _, _, body = await exchange(
                    machine.dump, build('GET', '/dump')
                )
                revision = loads(body)['configuration']['revision']
            except (OSError, TimeoutError, ValueError):
                self.counts['dumps without answer'] += 1
                continue
            if revision < machine.revision:
                self.broken.append(f'{machine.name} went back to {revision}')
            machine.revision = revision

    async def end_node(self, machine):
        """Send SIGTERM and wait; a node ends well within its grace.

        One that has not begun to serve may end by the signal itself.
        """
        begun = machine.has_begun()
        machine.process.send_signal(signal.SIGTERM)
        try:
            code = await asyncio.to_thread(machine.process.wait, GRACE_SECONDS)
        except subprocess.TimeoutExpired:
            machine.process.kill()
            code = 'killed after its grace'
        if code != 0 and (begun or code != -signal.SIGTERM):
            self.broken.append(f'{machine.name} ended with {code}')

    async def run(self):
        """Run it all; return what was broken."""
        self.configure()
        for machine in self.machines:
            self.start_node(machine)
            await machine.endpoint.start()
        callers = [
            asyncio.ensure_future(self.call_for_ever()) for _ in range(CALLERS)
        ]
        try:
            await self.recovered()
            for _ in range(FAULTS):
                kind = self.random.choice(sorted(FAULT_KINDS))
                self.counts[kind] += 1
                await FAULT_KINDS[kind](
                    self, self.random.choice(self.machines)
                )
                await self.calls_made(CALLS_A_FAULT)
                await self.see_revisions()
            self.stand_in.failure_status = 0
            await self.recovered()
            for machine in self.machines:
                await self.end_node(machine)
        finally:
            self.ended = True
            await asyncio.gather(*callers)
            for machine in self.machines:
                machine.process.kill()
                await machine.endpoint.close()
        return self.judge()

    async def recovered(self):
        """Wait until calls are served again through every node."""
        self.serving.clear()
        end = monotonic() + RECOVER_SECONDS
        while len(self.serving) < len(self.machines):
            if monotonic() > end:
                serving = sorted(self.serving)
                self.broken.append(f'served again in time only by {serving}')
                return
            await asyncio.sleep(0.01)

    def judge(self):
        """Add what the callers were told against what ran."""
        for key, (safe, status) in self.results.items():
            runs = self.runs[key]
            if not safe and runs > 1:
                self.broken.append(f'{key} is unsafe and ran {runs} times')
            if status in NOT_RUN and runs:
                self.broken.append(f'{key} was told {status} and ran')
            if status == 200 and not runs:
                self.broken.append(f'{key} was told 200 and never ran')
        return self.broken


@fault
async def kill_node(soak, machine):
    """End a node without a word and start it again."""
    machine.process.kill()
    machine.process.wait()
    soak.start_node(machine)


@fault
async def restart_node(soak, machine):
    """End a node in order and start it again."""
    await soak.end_node(machine)
    soak.start_node(machine)


@fault
async def freeze_node(soak, machine):
    """Stop a node's process for a while; its connections stay."""
    machine.process.send_signal(signal.SIGSTOP)
    await soak.calls_made(CALLS_A_FAULT // 2)
    machine.process.send_signal(signal.SIGCONT)


@fault
async def fail_store(soak, machine):
    """Let the store fail, or let it work again."""
    soak.stand_in.failure_status = soak.random.choice([0, 429, 500, 503])


@fault
async def change_configuration(soak, machine):
    """Write several versions in quick succession."""
    for _ in range(soak.random.randrange(1, 4)):
        soak.configure()


@fault
async def replace_endpoint(soak, machine):
    """Let an endpoint leave in order and another one come."""
    await machine.endpoint.leave()
    await soak.calls_made(CALLS_A_FAULT)
    await machine.endpoint.close()
    await machine.endpoint.start()


@fault
async def crash_endpoint(soak, machine):
    """Let an endpoint die without a word and another one come."""
    await machine.endpoint.close()
    await soak.calls_made(CALLS_A_FAULT // 2)
    await machine.endpoint.start()


def soak(seed):
    """Run one seed; return what was broken, the counts and the logs."""
    with (
        TemporaryDirectory(prefix='poplarrack-soak-') as folder,
        running_store() as (stand_in, store),
    ):
        run = Soak(seed, Path(folder), stand_in, store)
        broken = asyncio.run(run.run())
        if broken:
            for path in sorted(Path(folder).glob('*.log')):
                print(path.name, path.read_text()[-4000:], file=sys.stderr)
        return broken, dict(run.counts)


def main(first=1, seeds=50):
    """Run seeds one after another; exit with 1 when a promise is broken."""
    failed = []
    for seed in range(first, first + seeds):
        broken, counts = soak(seed)
        print(dumps({'seed': seed, 'broken': broken[:9], 'counts': counts}))
        failed += [seed] if broken else []
    print(f'{seeds - len(failed)} of {seeds} seeds held; broken: {failed}')
    sys.exit(bool(failed))


if __name__ == '__main__':
    Fire(main)
