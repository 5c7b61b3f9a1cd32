"""All nodes are killed while the store is down and another writer reports.

The other writer's reports name a service that the configuration doesn't have.
"""

import asyncio
from json import dumps
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import build_message  # noqa: E402
from harness import exchange  # noqa: E402
from harness import HEARTBEAT_SECONDS  # noqa: E402
from harness import main  # noqa: E402
from harness import NO_ANSWER  # noqa: E402

MACHINES = 4
# From the kill to the start of the processes, and how long the store is down.
DOWN_SECONDS = 0.7
STORE_DOWN_SECONDS = 4.5
CALLERS_PER_MACHINE = 2
OBSERVED_SECONDS = 20.0
# The bounds of the settings and the rule.
RECOVER_SECONDS = 15.0
SERVED_FRACTION = 0.25


class OtherWriter:
    """Sends reports of a service that isn't named in the configuration."""

    def __init__(self, deployment, machine):
        self.deployment, self.machine = deployment, machine
        self.sequence = 0

    async def run(self):
        """Send a report as often as an endpoint does, until cancelled."""
        await asyncio.sleep(self.deployment.random.random())
        while True:
            await self.send()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def send(self):
        """Send one report."""
        self.sequence += 1
        body = {
            'address': f'{self.machine.ip}:8147',
            'info': {
                'service': 'stocktake',
                'version': 'v1',
                'zone': self.machine.zone,
                'slots': 4,
            },
            'status': {'state': 'ready', 'sequence': self.sequence},
            'born': int(time.time() * 1000),
        }
        raw = build_message(
            'PUT /-/instances/i-other HTTP/1.1',
            {'Host': self.machine.control, 'Content-Type': 'application/json'},
            dumps(body).encode(),
        )
        try:
            answer = await exchange(self.machine.control, raw, 1.0)
        except NO_ANSWER:
            return
        self.deployment.record.write(
            'other report', node=self.machine.name, answer=answer.first_line
        )


async def play(deployment, trouble):
    """Kill the nodes and start them again; return whether they recover."""
    machines = [
        deployment.add_machine('ab'[number % 2]) for number in range(MACHINES)
    ]
    deployment.configure({'r-lookup': {}})
    for machine in machines:
        deployment.start_node(machine)
        await deployment.add_endpoint(machine)
    await deployment.wait_until_ready()
    await asyncio.sleep(3.0)
    tasks = [
        asyncio.ensure_future(OtherWriter(deployment, machine).run())
        for machine in machines
    ]
    end = deployment.record.now() + 3.0 + DOWN_SECONDS + 1.0
    end += RECOVER_SECONDS + OBSERVED_SECONDS
    tasks += [
        asyncio.ensure_future(
            deployment.call_until(end, machine, '/lookup/bins', 0.05)
        )
        for machine in machines
        for _ in range(CALLERS_PER_MACHINE)
    ]
    await asyncio.sleep(3.0)
    back_at = deployment.record.now()
    if trouble:
        deployment.store.failure_status = 503
        deployment.record.write('store down')
        asyncio.get_running_loop().call_later(
            STORE_DOWN_SECONDS, restore_store, deployment
        )
        for machine in machines:
            deployment.kill_node(machine)
        await asyncio.sleep(DOWN_SECONDS)
        for machine in machines:
            deployment.start_node(machine)
        back_at = deployment.record.now()
        await deployment.wait_until_ready()
    await asyncio.sleep(end - deployment.record.now())
    for task in tasks:
        task.cancel()
    deployment.check_processes()
    return find_violations(deployment, back_at)


def restore_store(deployment):
    """Let the store answer again."""
    deployment.store.failure_status = 0
    deployment.record.write('store up')


def find_violations(deployment, back_at):
    """Return a line if less than a quarter of the requests is served."""
    statuses = [
        result.status
        for result in deployment.results
        if result.sent_at > back_at + RECOVER_SECONDS
    ]
    served = statuses.count(200)
    deployment.record.write('recovery', served=served, sent=len(statuses))
    if served >= SERVED_FRACTION * len(statuses):
        return []
    return [
        f'RECOVER: of {len(statuses)} requests sent later than '
        f'{RECOVER_SECONDS} s after the nodes were back, {served} were served'
    ]


if __name__ == '__main__':
    main(play, Path(__file__).parent)
