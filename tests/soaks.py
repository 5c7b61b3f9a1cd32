"""Soak test: run nodes as processes under random faults, check invariants.

    python -m tests.soaks --first 1 --seeds 50 --nodes 6 --seconds 30

Nodes, callers and the store use real HTTP over loopback. The endpoints run
in this process, so that the requests that ran are known when a node is
killed. Callers never retry: each request is sent once.
"""

import asyncio
from collections import defaultdict
from contextlib import suppress
from functools import partial
from json import dumps
from pathlib import Path
from random import Random
from shutil import copytree
import sys
from tempfile import TemporaryDirectory
from time import monotonic

from fire import Fire

from tests.soak_callers import Caller
from tests.soak_checks import check_record
from tests.soak_faults import draw_fault
from tests.soak_faults import FAULT_KINDS
from tests.soak_faults import PLANNED_KINDS
from tests.soak_faults import send_burst
from tests.soak_hosts import build_hosts
from tests.soak_meshes import MESHES
from tests.soak_meshes import PlatformMesh
from tests.soak_operators import Operator
from tests.soak_records import Record

NODES = 6
RUN_SECONDS = 20.0
# In each spell, faults hit a part of the hosts only; the others are in touch
# long enough for the bounds on configuration to hold.
SPELL_SECONDS = 10.0
DISTURBED_FRACTION = 0.5
# The part of the spells that have planned work only.
PLANNED_FRACTION = 0.5
# With more hosts, faults come at shorter intervals.
MAX_FAULT_GAP_SECONDS = 1.0
HOSTS_PER_FAULT_GAP = 12
# Calls succeed again within RECOVERY_SECONDS after the last fault, as
# installations require.
RECOVERY_SECONDS = 15.0
WATCH_SECONDS = 0.5
# Requests a second at all hosts, roughly: what the harness can carry.
MAX_REQUESTS_PER_SECOND = 500
CALLERS_PER_HOST = 4
SHOWN_VIOLATIONS_PER_RULE = 3
LOG_TAIL_BYTES = 4000


class Soak:
    """One run: start the nodes, inject faults, let them recover, check.

    :param seed: seeds the faults and the addresses, so that two runs of
        one seed at the same time disturb each other.
    :param nodes: the number of nodes.
    :param directory: the path for settings and logs.
    :param mesh: the mesh, an entry of MESHES.
    :param clock: a function that returns monotonic seconds.
    """

    def __init__(self, seed, nodes, directory, mesh, clock=monotonic):
        self.seed, self.random, self.clock = seed, Random(seed), clock
        self.directory, self.mesh = directory, mesh
        self.net = choose_net(seed)
        self.store_lock, self.burst_lock = asyncio.Lock(), asyncio.Lock()
        self.zone_locks = defaultdict(asyncio.Lock)
        self.record = Record(clock)
        self.serving_hosts = set()
        self.stopped = False
        callers = nodes * CALLERS_PER_HOST
        # Callers wait for half of it on average.
        self.pause_seconds = 2 * callers / MAX_REQUESTS_PER_SECOND
        self.hosts = build_hosts(self, nodes)
        for host in self.hosts:
            host.endpoint.build_caller = partial(
                Caller, self, host, host.endpoint.random, keeps=False
            )
        self.operator = Operator(
            self.record, self.build_random('operator'), self.write
        )

    def build_random(self, name):
        """Return a random.Random of its own for a part of the soak."""
        return Random(f'{self.seed} {name}')

    async def write(self, number, routes, limits):
        """Write a version of the configuration to the store."""
        await asyncio.to_thread(self.mesh.write, number, routes, limits)

    async def run(self, seconds):
        """Run the nodes, the callers and the faults; check the record.

        :param seconds: how long faults are injected.
        """
        await self.operator.configure()
        for host in self.hosts:
            host.start()
            await host.endpoint.start()
        callers = [
            asyncio.ensure_future(caller.run())
            for caller in self.build_callers()
        ]
        watch = asyncio.ensure_future(self.watch())
        try:
            await self.wait_for_recovery()
            self.record.served_from = self.clock()
            await send_burst(self)
            await self.disturb(self.clock() + seconds)
            await self.wait_for_recovery()
            self.record.stopped_at = self.clock()
            await asyncio.gather(*(host.stop() for host in self.hosts))
        finally:
            self.stopped = True
            await asyncio.gather(*callers, watch)
            for host in self.hosts:
                host.kill()
                await host.endpoint.close()
        check_record(self.record)

    def build_callers(self):
        """Return the callers; half of those at a host keep connections."""
        return [
            Caller(
                self, host, self.build_random(f'{host.name} {n}'), n % 2 == 0
            )
            for host in self.hosts
            for n in range(CALLERS_PER_HOST)
        ]

    async def watch(self):
        """Check the processes, and how late this one's timers are."""
        while not self.stopped:
            due = self.clock() + WATCH_SECONDS
            await asyncio.sleep(WATCH_SECONDS)
            lag_ms = round((self.clock() - due) * 1000)
            counts = self.record.counts
            counts['harness lag ms'] = max(counts['harness lag ms'], lag_ms)
            await asyncio.gather(*(host.watch() for host in self.hosts))

    async def disturb(self, end):
        """Inject overlapping faults and changes until a time.

        Those that have begun by then are brought to their end.
        """
        operator = asyncio.ensure_future(self.operator.run())
        faults = []
        gaps = max(1.0, len(self.hosts) / HOSTS_PER_FAULT_GAP)
        longest_gap = MAX_FAULT_GAP_SECONDS / gaps
        while self.clock() < end:
            number = max(1, round(len(self.hosts) * DISTURBED_FRACTION))
            hosts = self.random.sample(self.hosts, number)
            spell_end = min(end, self.clock() + SPELL_SECONDS)
            is_planned = self.random.random() < PLANNED_FRACTION
            names = PLANNED_KINDS if is_planned else FAULT_KINDS
            names = sorted(set(names) - set(self.mesh.unknown_faults))
            while self.clock() < spell_end:
                name, inject = draw_fault(self.random, names)
                self.record.counts[name] += 1
                host = self.random.choice(hosts)
                faults.append(asyncio.ensure_future(inject(self, host)))
                await asyncio.sleep(self.random.random() * longest_gap)
        await asyncio.gather(*faults)
        operator.cancel()
        with suppress(asyncio.CancelledError):
            await operator

    async def wait_for_recovery(self):
        """Wait until calls through every node succeed again."""
        self.serving_hosts.clear()
        end = self.clock() + RECOVERY_SECONDS
        while len(self.serving_hosts) < len(self.hosts):
            if self.clock() > end:
                missing = {host.name for host in self.hosts}
                missing -= self.serving_hosts
                self.record.violate(
                    'RECOVER', sorted(missing), 'did not serve again in time'
                )
                return
            await asyncio.sleep(0.01)


def choose_net(seed):
    """Return the first three octets of the addresses of a seed."""
    return f'127.{seed % 200 + 20}.{Random(seed).randrange(1, 250)}'


def run_soak(
    seed,
    nodes=NODES,
    seconds=RUN_SECONDS,
    keep=None,
    mesh=PlatformMesh.name,
):
    """Run one seed; print the logs of the nodes when an invariant failed.

    :param seconds: how long faults are injected.
    :param keep: the path under which the logs are kept, or None.
    :param mesh: the name of a mesh.
    :returns: the violations, and the counts of statuses and faults.
    """
    with (
        TemporaryDirectory(prefix='poplarrack-soak-') as directory,
        MESHES[mesh].running(choose_net(seed)) as running,
    ):
        path = Path(directory)
        soak = Soak(seed, nodes, path, running)
        asyncio.run(soak.run(seconds))
        violations = soak.record.violations
        if violations:
            print(
                f'seed {seed}, {mesh}, {nodes} nodes, {seconds} s',
                file=sys.stderr,
            )
            print_logs(path, select_shown(violations))
        if keep is not None:
            write_events(soak.record, path / 'events.txt')
            copytree(path, Path(keep) / str(seed), dirs_exist_ok=True)
        return violations, dict(soak.record.counts)


def select_shown(violations):
    """Return the first violations of each rule."""
    by_rule = defaultdict(list)
    for item in violations:
        by_rule[item.partition(':')[0]].append(item)
    return [
        item
        for items in by_rule.values()
        for item in items[:SHOWN_VIOLATIONS_PER_RULE]
    ]


def print_logs(directory, violations):
    """Print the lines that name a violation's request, and each log's end."""
    keys = {item.split()[1] for item in violations}
    for path in sorted(directory.glob('*.log')):
        text = path.read_text(errors='replace')
        named = [
            line
            for line in text.splitlines()
            if any(f'"{key}"' in line for key in keys)
        ]
        print(path.name, *named, sep='\n', file=sys.stderr)
        print(text[-LOG_TAIL_BYTES:], file=sys.stderr)


def write_events(record, path):
    """Write the record: violations, versions, impairments, runs, answers."""
    with path.open('w') as events:
        for item in record.violations:
            print(item, file=events)
        for change in record.changes:
            print(change, file=events)
        for name, spans in record.disturbances.items():
            print(name, spans, record.boots[name], file=events)
        for request in record.requests.values():
            request.body = b''
            print(request, record.runs[request.key], file=events)


def main(
    first=1,
    seeds=50,
    nodes=NODES,
    seconds=RUN_SECONDS,
    keep=None,
    mesh=PlatformMesh.name,
):
    """Run seeds one after another; exit with 1 when an invariant failed."""
    failed = []
    for seed in range(first, first + seeds):
        violations, counts = run_soak(seed, nodes, seconds, keep, mesh)
        shown = select_shown(violations)
        print(
            dumps({'seed': seed, 'broken': shown, 'counts': counts}),
            flush=True,
        )
        failed += [seed] if violations else []
    print(f'{seeds - len(failed)} of {seeds} seeds held; broken: {failed}')
    sys.exit(bool(failed))


if __name__ == '__main__':
    Fire(main)
