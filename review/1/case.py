"""Some answers of the endpoints are followed by a second copy.

The bodies are some 48 KB, so that a copy is not read as a whole together with
the answer that it follows.
"""

import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import Endpoint  # noqa: E402
from harness import main  # noqa: E402

BODY_BYTES = 48_000
# The largest dose of the site: 0.6 of the endpoints, 0.03 of their answers.
EXTRA_FRACTION = 0.03
CALLERS_PER_MACHINE = 15
TRAFFIC_SECONDS = 20.0


class CopyingEndpoint(Endpoint):
    """An endpoint that sends some of its answers twice."""

    extra_fraction = 0.0

    def body_of(self, request_id):
        """Return a body in which the request's id is repeated."""
        line = f'{request_id}\n'.encode()
        return line * (BODY_BYTES // len(line))

    def build_answer(self, request_id, status):
        """Return the answer, and its copy if it is sent twice."""
        raw = super().build_answer(request_id, status)
        if self.deployment.random.random() < self.extra_fraction:
            self.deployment.record.write('copy', id=request_id)
            return raw + raw
        return raw


async def play(deployment, trouble):
    """Send requests for a while; return the answers that are not whole."""
    machines = [deployment.add_machine(zone) for zone in ('a', 'b')]
    deployment.configure({'r-lookup': {}})
    endpoints = []
    for machine in machines:
        deployment.start_node(machine)
        endpoint = await deployment.add_endpoint(
            machine, CopyingEndpoint, work_seconds=0.04
        )
        endpoints.append(endpoint)
    await deployment.wait_until_ready()
    await asyncio.sleep(2.0)
    if trouble:
        endpoints[0].extra_fraction = EXTRA_FRACTION
    end = deployment.record.now() + TRAFFIC_SECONDS
    callers = [
        deployment.call_until(end, machine, '/lookup/bins', 0.005)
        for machine in machines
        for _ in range(CALLERS_PER_MACHINE)
    ]
    await asyncio.gather(*callers)
    deployment.check_processes()
    deployment.check_successes(1_000)
    return find_violations(deployment, endpoints[0])


def find_violations(deployment, endpoint):
    """Return a line for each success with another body than its own."""
    violations = []
    for result in deployment.results:
        own = endpoint.body_of(result.request_id)
        if result.status == 200 and result.body != own:
            first = result.body.split(b'\n')
            foreign = sum(line != result.request_id.encode() for line in first)
            violations.append(
                f'MIXED: request {result.request_id} got 200 with '
                f'{len(result.body)} bytes instead of {len(own)}, '
                f'{foreign} lines of them of other requests'
            )
    return violations


if __name__ == '__main__':
    main(play, Path(__file__).parent)
