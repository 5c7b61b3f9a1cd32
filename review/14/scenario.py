"""A rollout is completed; the store returns from a copy, all are killed."""

import asyncio
from json import loads
from pathlib import Path
import signal
import sys

from review.common3.mesh import build_configuration
from review.common3.mesh import build_route
from review.common3.mesh import choose_ips
from review.common3.mesh import run

# The bound `recover` of the settings.
RECOVER_SECONDS = 15.0
DURATION_SECONDS = 14.0
DOWN_SECONDS = 1.2
# How often the store is copied, until the rollout is completed, and how long
# after that it returns from the copy.
COPY_SECONDS = 1.0
RETURN_AFTER_SECONDS = 4.0
RUN_SECONDS = 0.03
CALL_GAP_SECONDS = 0.012
WINDOW_SECONDS = 6.0
STATUS_KEY = 'status/rollout/front'


async def serve(machine, request, reader, writer):
    """Answer a request with success."""
    await asyncio.sleep(RUN_SECONDS)
    writer.write(machine.answer(request))


class Traffic:
    """Requests at some machines, and how many of them were served."""

    def __init__(self, mesh, senders):
        self.mesh = mesh
        self.senders = senders
        self.tasks = []
        self.sending = asyncio.ensure_future(self._send())

    async def _send(self):
        while True:
            for sender in self.senders:
                call = self.mesh.call(sender, '/order/x', 'POST')
                self.tasks.append(asyncio.ensure_future(call))
                await asyncio.sleep(CALL_GAP_SECONDS)

    async def count(self, name, seconds):
        """Return the part that is served of what is sent from now on."""
        first = len(self.tasks)
        await asyncio.sleep(seconds)
        answers = [
            answer for _, answer in await asyncio.gather(*self.tasks[first:])
        ]
        served = sum(
            answer is not None and answer.status == 200 for answer in answers
        )
        self.mesh.note('window', of=name, sent=len(answers), served=served)
        return served / len(answers)


def read_status(mesh):
    """Return the state that the operator reads, '' without one."""
    item = mesh.store.store.get(STATUS_KEY)
    return loads(item.value)['state'] if item is not None else ''


async def wait_for_completion(mesh):
    """Copy the store now and then, until the rollout is completed."""
    end = mesh.clock() + 2 * DURATION_SECONDS
    copied_at = 0.0
    while read_status(mesh) != 'completed':
        if mesh.clock() > end:
            raise RuntimeError('the rollout was not completed')
        if mesh.clock() - copied_at > COPY_SECONDS:
            mesh.store.save()
            copied_at = mesh.clock()
        await asyncio.sleep(0.05)
    age = round(mesh.clock() - copied_at, 2)
    mesh.note('status', state=read_status(mesh), copied_seconds_before=age)


async def wait_until_ready(mesh, machines):
    """Wait until nodes that were started are ready."""
    for machine in machines:
        while not await mesh.is_ready(machine):
            await asyncio.sleep(0.1)


async def scenario(mesh, with_trouble):
    """Return whether a quarter of the requests is served in the end."""
    routes = {'order': build_route('order', 'front')}
    mesh.store.put('op/config', build_configuration(routes, ('front', 'till')))
    ips = choose_ips(6)
    tills = [
        mesh.add(f'till-{number}', ip, 'till', 'ab'[number])
        for number, ip in enumerate(ips[:2])
    ]
    versions = {}
    for version, some in (('v1', ips[2:4]), ('v2', ips[4:6])):
        versions[version] = [
            mesh.add(
                f'front-{version}-{number}',
                ip,
                'front',
                'ab'[number],
                version=version,
                serve=serve,
            )
            for number, ip in enumerate(some)
        ]
    await mesh.start([*tills, *versions['v1']])
    await asyncio.sleep(3.0)
    traffic = Traffic(mesh, tills)
    mesh.note('order', version='v2')
    mesh.store.put(
        'op/rollout/front',
        {
            'service': 'front',
            'target_version': 'v2',
            'duration': f'{DURATION_SECONDS}s',
        },
    )
    await mesh.start(versions['v2'])
    await wait_for_completion(mesh)
    # At `completed`, the old endpoints stop; their machines leave.
    for machine in versions['v1']:
        await machine.stop_endpoint()
        machine.server = None
        machine.signal_node(signal.SIGTERM)
    await asyncio.sleep(RETURN_AFTER_SECONDS - 1.0)
    if await traffic.count('before the fault', 1.0) < 1 / 4:
        raise RuntimeError('not served before the fault')
    running = [*tills, *versions['v2']]
    if with_trouble:
        for machine in running:
            machine.kill_node()
        mesh.store.failure_status = 503
        mesh.store.go_back()
        await asyncio.sleep(DOWN_SECONDS)
        mesh.store.failure_status = 0
        mesh.note('store back', era=mesh.store.era, state=read_status(mesh))
        for machine in running:
            machine.start_node()
    await wait_until_ready(mesh, running)
    mesh.note('machines back', state=read_status(mesh))
    await asyncio.sleep(RECOVER_SECONDS + 1.0)
    after = await traffic.count('later than recover', WINDOW_SECONDS)
    mesh.note('status', state=read_status(mesh))
    traffic.sending.cancel()
    await asyncio.gather(*traffic.tasks)
    return after >= 1 / 4


if __name__ == '__main__':
    sys.exit(run(scenario, Path(__file__).parent / 'record.txt'))
