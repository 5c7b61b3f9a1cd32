"""Nodes are restarted in turn while the operator changes the configuration.

Each change moves a route from one service to the other.
"""

import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import main  # noqa: E402
from harness import SERVICE  # noqa: E402

from poplarrack.topologies import rank_nodes  # noqa: E402

OTHER_SERVICE = 'issue-ledger'
# As many as the sites have (idle_routes).
IDLE_ROUTES = 300
RESTARTS = 20
# From the SIGTERM of a node to the change of the configuration.
CHANGE_AFTER_SECONDS = 1.0
# From the start of a node again to the SIGTERM of the next one.
GAP_SECONDS = 0.5
# How long requests are judged before the next node is stopped.
JUDGED_SECONDS = 0.4
# How long the nodes are observed after a request was run by the old service.
OBSERVED_SECONDS = 15.0
CALLERS_PER_MACHINE = 2
# The bounds of the settings.
CONFIG_SECONDS = 2.5
STABLE_WINDOW_SECONDS = 4.0


class Operator:
    """Moves the route between the services; ``changes`` has each change.

    A change is when it was sent, when it was acknowledged, and the service.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.changes = []

    def change(self):
        """Write the next version of the configuration."""
        service = (SERVICE, OTHER_SERVICE)[len(self.changes) % 2]
        idle = {
            f'r-idle{number}': {'prefix': f'/idle{number}/'}
            for number in range(IDLE_ROUTES)
        }
        sent_at = self.deployment.record.now()
        acked_at = self.deployment.configure(
            {**idle, 'r-lookup': {'service': service}},
            (SERVICE, OTHER_SERVICE),
        )
        self.changes.append((sent_at, acked_at, service))


async def play(deployment, trouble):
    """Restart nodes and change the route; return the requests run by the old.

    Without trouble, the operator makes the same changes and no node restarts.
    """
    zone = [deployment.add_machine('a') for _ in range(3)]
    other = deployment.add_machine('b', service=OTHER_SERVICE)
    order = rank_nodes('a', [machine.name for machine in zone])
    zone.sort(key=lambda machine: order.index(machine.name))
    operator = Operator(deployment)
    operator.change()
    for machine in deployment.machines:
        deployment.start_node(machine)
        await deployment.add_endpoint(machine)
    await deployment.wait_until_ready()
    await asyncio.sleep(STABLE_WINDOW_SECONDS)
    end = deployment.record.now() + 95.0
    callers = [
        asyncio.ensure_future(
            deployment.call_until(end, machine, '/lookup/bins', 0.05)
        )
        for machine in (zone[2], other)
        for _ in range(CALLERS_PER_MACHINE)
    ]
    for number in range(RESTARTS):
        if deployment.record.now() > end - 20.0:
            break
        await play_round(deployment, operator, zone[1 - number % 2], trouble)
        if find_violations(deployment, operator):
            # Without a further change, the node stays with the old version.
            await asyncio.sleep(OBSERVED_SECONDS)
            break
    await asyncio.sleep(CONFIG_SECONDS + 1.0)
    for caller in callers:
        caller.cancel()
    deployment.check_processes()
    deployment.check_successes(500)
    return find_violations(deployment, operator)


async def play_round(deployment, operator, machine, trouble):
    """Restart a node and change the configuration meanwhile."""
    restart = None
    if trouble:
        restart = asyncio.ensure_future(deployment.restart_node(machine))
    await asyncio.sleep(CHANGE_AFTER_SECONDS)
    operator.change()
    changed_at = deployment.record.now()
    if restart is not None:
        await restart
        await asyncio.sleep(GAP_SECONDS)
    judged_at = changed_at + CONFIG_SECONDS + JUDGED_SECONDS
    await asyncio.sleep(max(0.0, judged_at - deployment.record.now()))


def find_violations(deployment, operator):
    """Return a line for each request that was run by the old service."""
    service_of = {
        endpoint.instance: endpoint.machine.service
        for endpoint in deployment.endpoints
    }
    ran_by = {run.request_id: run.instance for run in deployment.runs}
    violations = []
    ends = [sent for sent, _, _ in operator.changes[1:]]
    ends.append(deployment.record.now())
    for (_, acked_at, service), until in zip(operator.changes, ends):
        for result in deployment.results:
            instance = ran_by.get(result.request_id)
            late = result.sent_at - acked_at
            if (
                instance is not None
                and late > CONFIG_SECONDS
                and result.ended_at < until
                and service_of[instance] != service
            ):
                violations.append(
                    f'CONFIG: request {result.request_id} at {result.machine}'
                    f', sent {late:.1f} s after the ack of the route to '
                    f'{service}, was run by {service_of[instance]}'
                )
    return violations


if __name__ == '__main__':
    main(play, Path(__file__).parent)
