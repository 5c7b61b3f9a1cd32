"""A node restarts after its endpoint has deregistered.

The endpoint sends ``DELETE`` first and goes on serving for many seconds. A
status report that it sent before arrives seconds late, when the node that
acknowledged the deregistration has been killed and started again.
"""

import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import main  # noqa: E402

# When things happen, in seconds after the deregistration was acknowledged.
KILL_SECONDS = 0.5
RESTART_SECONDS = 1.0
LATE_REPORT_SECONDS = 6.0
EXIT_SECONDS = 9.0
CALLERS = 6
# The leaving endpoint is the faster one, and the one that is preferred.
LEAVING_WORK_SECONDS = 0.15
OTHER_WORK_SECONDS = 0.25
# The bounds of the settings.
DRAIN_SECONDS = 2.5
STABLE_WINDOW_SECONDS = 4.0


async def play(deployment, trouble):
    """Play the leave; return the requests that the endpoint got after it."""
    machines = [deployment.add_machine(zone) for zone in ('a', 'a')]
    leaving_machine, other_machine = machines
    deployment.configure({'r-issue': {'route_type': 'unsafe'}})
    for machine in machines:
        deployment.start_node(machine)
    leaving = await deployment.add_endpoint(
        leaving_machine, work_seconds=LEAVING_WORK_SECONDS
    )
    await deployment.add_endpoint(
        other_machine, work_seconds=OTHER_WORK_SECONDS
    )
    await deployment.wait_until_ready()
    await asyncio.sleep(5.0)
    end = deployment.record.now() + 3.0 + EXIT_SECONDS + 2.0
    callers = [
        asyncio.ensure_future(
            deployment.call_until(
                end, other_machine, '/lookup/issue', 0.02, method='POST'
            )
        )
        for _ in range(CALLERS)
    ]
    await asyncio.sleep(3.0)
    late_report = leaving.build_heartbeat()
    left_at = await leaving.deregister()
    started_at = 0.0
    if trouble:
        await asyncio.sleep(KILL_SECONDS)
        deployment.kill_node(leaving_machine)
        await asyncio.sleep(RESTART_SECONDS - KILL_SECONDS)
        deployment.start_node(leaving_machine)
        started_at = deployment.record.now()
        await deployment.wait_until_ready(leaving_machine)
    await sleep_until(deployment, left_at + LATE_REPORT_SECONDS)
    acknowledged = await leaving.send_control(late_report)
    deployment.record.write('late report', acknowledged=acknowledged)
    await sleep_until(deployment, left_at + EXIT_SECONDS)
    await leaving.stop()
    deployment.record.write('endpoint ended', instance=leaving.instance)
    await asyncio.gather(*callers)
    deployment.check_processes()
    deployment.check_successes(100)
    in_touch_at = started_at + STABLE_WINDOW_SECONDS if started_at else 0.0
    return find_violations(deployment, leaving, left_at, in_touch_at)


async def sleep_until(deployment, at):
    """Sleep until a time of the record."""
    await asyncio.sleep(max(0.0, at - deployment.record.now()))


def find_violations(deployment, leaving, left_at, in_touch_at):
    """Return a line for each request that reached the endpoint too late.

    Only requests sent when both nodes were in touch count.
    """
    sent_at = {item.request_id: item.sent_at for item in deployment.results}
    ran = {run.request_id for run in deployment.runs}
    lost = [
        item.request_id
        for item in deployment.results
        if item.request_id in ran and item.status != 200
    ]
    deployment.record.write('run without an answer', ids=lost)
    bound = max(left_at + DRAIN_SECONDS, in_touch_at)
    return [
        f'DRAIN: request {run.request_id} reached {run.instance} '
        f'{run.at - left_at:.1f} s after its leave was acknowledged, allowed '
        f'are {DRAIN_SECONDS} s'
        for run in deployment.runs
        if run.instance == leaving.instance
        and sent_at.get(run.request_id, 0.0) > bound
    ]


if __name__ == '__main__':
    main(play, Path(__file__).parent)
