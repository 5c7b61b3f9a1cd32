"""Stop a node with SIGTERM while callers send requests ahead.

Callers keep a connection and send four safe requests at a time, as those of
`parcel-status` do.
"""

import asyncio
from pathlib import Path
import signal
import time

from stand_ins_2 import build_call
from stand_ins_2 import build_configuration
from stand_ins_2 import CALL
from stand_ins_2 import read_message
from stand_ins_2 import run_case

CALLERS = 6
SENT_AHEAD = 4
# As SYSTEM.md and the site file say of parcel-status.
DEADLINE_MS = 3456
TIMEOUT = '1500ms'
SETTLE_SECONDS = 6.0
CALLING_SECONDS = 3.0
# Until 1 s after `grace`.
GRACE_SECONDS = 6.0


class Caller:
    """Sends requests ahead on a connection that it keeps."""

    def __init__(self, case, node):
        self.case = case
        self.node = node
        self.reader = self.writer = None
        # Of each request: its id, when it was sent, and its status or 0.
        self.sent = []

    async def call(self, end):
        """Send requests until a time or until the node takes none."""
        while time.monotonic() < end:
            try:
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(
                        self.node.ip, CALL
                    )
            except OSError:
                return
            await self._send_some()

    async def _send_some(self):
        calls = [
            build_call('GET', f'/status/{index}', DEADLINE_MS)
            for index in range(SENT_AHEAD)
        ]
        self.writer.write(b''.join(raw for _, raw in calls))
        sent_at = time.monotonic()
        statuses = {request_id: 0 for request_id, _ in calls}
        closed = False
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                for request_id in statuses:
                    answer = await read_message(self.reader)
                    statuses[request_id] = answer.status
                    closed = answer.header('connection') == 'close'
                    if closed:
                        # What was sent behind it gets no answer here: wait
                        # for the end of the connection.
                        await self.reader.read()
                        break
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            closed = True
        ended_at = time.monotonic()
        for request_id, status in statuses.items():
            self.sent.append((request_id, sent_at, ended_at, status))
        if closed:
            self.writer.close()
            self.writer = None


def check(case, item, stopped_at):
    """Check a request that was sent to the node that is stopped."""
    request_id, sent_at, ended_at, status = item
    runs, answered = 'no endpoint', False
    for endpoint in case.endpoints:
        if any(run[0] == request_id for run in endpoint.runs):
            runs = endpoint.instance
            answered = request_id in endpoint.answered
    case.record.add(
        f'{request_id} sent {sent_at - stopped_at:.3f} s from SIGTERM, '
        f'ended {ended_at - stopped_at:.3f}, status {status}, ran at {runs}'
        f'{", which answered" if answered else ""}'
    )
    is_counted = ended_at - stopped_at < GRACE_SECONDS + 1
    if status or runs == 'no endpoint' or not is_counted:
        return
    case.violate(
        f'LOST: {request_id}, sent {sent_at - stopped_at:.3f} s from SIGTERM, '
        f'was passed on to {runs}{", which answered" if answered else ""}; '
        f'its connection ended {ended_at - sent_at:.3f} s after it was sent, '
        'without an answer'
    )


async def play(case):
    """Stop a node while callers call."""
    case.store.write(
        'op/config',
        build_configuration(
            {
                'r-status': {
                    'prefix': '/status/',
                    'service': 'dispatch-desk',
                    'timeout': TIMEOUT,
                    'target_latency': '576ms',
                },
                'r-depot': {'prefix': '/depot/', 'service': 'route-depot'},
            }
        ),
    )
    zones = ('toowoomba', 'toowoomba', 'ipswich')
    for number, zone in enumerate(zones, 1):
        node = await case.add_node(number, 'dispatch-desk', zone)
        endpoint = await case.add_endpoint(node, f'i-{number}')
        # The mean of parcel-status, and three times that for a few.
        endpoint.work = lambda request: (
            0.3 if '/status/0' in request.first_line else 0.1
        )
        node.start()
    for endpoint in case.endpoints:
        await endpoint.start()
    for node in case.nodes:
        await node.wait_until_ready()
    await asyncio.sleep(SETTLE_SECONDS)
    stopped = case.nodes[0]
    callers = [Caller(case, stopped) for _ in range(CALLERS)]
    end = time.monotonic() + CALLING_SECONDS
    calling = asyncio.gather(*(caller.call(end) for caller in callers))
    await asyncio.sleep(CALLING_SECONDS / 2)
    case.record.add(f'SIGTERM to {stopped.name}' if case.trouble else 'none')
    stopped_at = time.monotonic()
    if case.trouble:
        stopped.signal(signal.SIGTERM)
    await calling
    await asyncio.sleep(1.0)
    for caller in callers:
        for item in caller.sent:
            check(case, item, stopped_at)
    sent = [item for caller in callers for item in caller.sent]
    answered = sum(1 for item in sent if item[3] == 200)
    case.record.add(f'{len(sent)} requests, {answered} with 200')
    assert answered > len(sent) / 3, 'too few answers'


run_case(Path(__file__).parent, play)
