"""Versions without tenants come while requests wait for an endpoint."""

import asyncio
from pathlib import Path
import sys

from review.common3.mesh import build_configuration
from review.common3.mesh import build_route
from review.common3.mesh import choose_ips
from review.common3.mesh import run

KEY = 'k3y-of-a-tenant'
SLOTS = 3
RUN_SECONDS = 0.2
# The endpoint is asked for 1.67 times what it runs, for a while.
BURST_CALL_SECONDS = 1 / 25
BURST_SECONDS = 14.0
# The versions take the tenants away, bring them back, and so on.
CHANGES = 5
CHANGE_SECONDS = 2.4
# The bound `config` of the settings, and the time until the state is steady.
CONFIG_SECONDS = 2.5
STEADY_SECONDS = 4.0
STEADY_CALL_SECONDS = 0.2
STEADY_CALLS = 40
# The rule compares with this part of how often first routes are served.
LEAST_PART = 0.25


async def serve(machine, request, reader, writer):
    """Answer a request after a while."""
    await asyncio.sleep(RUN_SECONDS)
    writer.write(machine.answer(request))


def configure(mesh, version, routes, has_tenants):
    """Write a version of the configuration."""
    fields = {}
    if has_tenants:
        fields['tenants'] = {
            'tenant-a': {
                'name': 'tenant-a',
                'api_keys': [KEY],
                'rate_per_s': 0,
                'burst': 0,
            }
        }
    mesh.store.put(
        'op/config',
        build_configuration(routes, ('core', 'records'), version, **fields),
    )
    mesh.note('acknowledged', version=version, tenants=has_tenants)


def count(mesh, name, answers):
    """Return the part of the requests that were served."""
    served = sum(
        answer is not None and answer.status == 200 for _, answer in answers
    )
    mesh.note('requests', of=name, sent=len(answers), served=served)
    return served / len(answers)


async def call_for(mesh, machine, paths, number, pause_seconds):
    """Send requests on several paths; return the answers by path."""
    calls = {path: [] for path in paths}
    for _ in range(number):
        for path, started in calls.items():
            call = mesh.call(
                machine,
                path,
                'POST',
                deadline_ms=3000,
                authorization=f'Bearer {KEY}',
            )
            started.append(asyncio.ensure_future(call))
        await asyncio.sleep(pause_seconds)
    return {
        path: await asyncio.gather(*started) for path, started in calls.items()
    }


async def scenario(mesh, with_trouble):
    """Return whether later routes are served about as often as first ones."""
    first = {
        'balance': build_route('balance', 'core', timeout='3s'),
        'history': build_route('history', 'records', timeout='3s'),
    }
    for route in first.values():
        route['target_latency'] = '2s'
    configure(mesh, 'r1', first, True)
    ips = choose_ips(3)
    caller = mesh.add('core-0', ips[0], 'core', serve=serve)
    core = mesh.add('core-1', ips[1], 'core', 'b', serve=serve)
    records = mesh.add(
        'records-0', ips[2], 'records', 'b', serve=serve, slots=SLOTS
    )
    await mesh.start([caller, core, records])
    await asyncio.sleep(3.0)
    calm = await call_for(mesh, caller, ['/history/x'], 20, 0.1)
    if count(mesh, 'history, calm', calm['/history/x']) < 1 / 2:
        raise RuntimeError('not served before the change')
    burst = asyncio.ensure_future(
        call_for(
            mesh,
            caller,
            ['/history/x'],
            int(BURST_SECONDS / BURST_CALL_SECONDS),
            BURST_CALL_SECONDS,
        )
    )
    later = build_route('export', 'records', timeout='3s')
    routes = {**first, 'export': later}
    for number in range(CHANGES):
        await asyncio.sleep(CHANGE_SECONDS)
        has_tenants = not with_trouble or number % 2 == 1
        configure(mesh, f'r{number + 2}', routes, has_tenants)
    count(mesh, 'history, burst', (await burst)['/history/x'])
    await asyncio.sleep(CONFIG_SECONDS + STEADY_SECONDS)
    answers = await call_for(
        mesh,
        caller,
        ['/balance/x', '/history/x', '/export/x'],
        STEADY_CALLS,
        STEADY_CALL_SECONDS,
    )
    parts = {path: count(mesh, path, of) for path, of in answers.items()}
    of_first = (parts['/balance/x'] + parts['/history/x']) / 2
    return parts['/export/x'] >= LEAST_PART * of_first


if __name__ == '__main__':
    sys.exit(run(scenario, Path(__file__).parent / 'record.txt'))
