"""Test what nodes that stood still take for the silence of others.

A process is stopped by SIGSTOP, as on a machine that is frozen. What was sent
to it meanwhile waits in its sockets when it goes on.
"""

import asyncio
from pathlib import Path
import signal
from tempfile import TemporaryDirectory

from poplarrack.addresses import split_address
from tests.node_processes import running_nodes
from tests.support import build_load_tests
from tests.test_slow_readers import BLOCK
from tests.test_slow_readers import build_call_head
from tests.test_slow_readers import LIMITS_SECONDS
from tests.test_slow_readers import read_head
from tests.test_slow_readers import ROUTE_TIMEOUT
from tests.test_slow_readers import serve

load_tests = build_load_tests(__name__)

CALLERS = 30
BODY_BYTES = 2_000
# Longer than ``header_timeout`` of the configuration.
STOPPED_SECONDS = 4.5
STEP_SECONDS = 0.3


async def ask_across_a_pause(node):
    """Send requests in halves; return the statuses of their answers.

    The node is stopped before the second halves are sent.
    """
    raw = build_call_head('POST', '/front/2', BODY_BYTES) + BLOCK[:BODY_BYTES]
    connections = [
        await asyncio.open_connection(*split_address(node.call_address))
        for _ in range(CALLERS)
    ]
    for _, writer in connections:
        writer.write(raw[: -BODY_BYTES // 2])
    await asyncio.sleep(STEP_SECONDS)
    node.process.send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(STEP_SECONDS)
        for _, writer in connections:
            writer.write(raw[-BODY_BYTES // 2 :])
        await asyncio.sleep(STOPPED_SECONDS)
    finally:
        node.process.send_signal(signal.SIGCONT)
    answers = await asyncio.gather(
        *(read_head(reader) for reader, _ in connections)
    )
    for _, writer in connections:
        writer.transport.abort()
    return [answer.status for answer in answers]


# DENIED: 30 of 30 requests were ended with 400 by a node that judged its
# callers before it read what they had sent while it was stopped.
def test_requests_that_were_sent_while_a_node_stood_still_are_answered():
    async def run():
        with TemporaryDirectory() as directory:
            async with running_nodes(
                Path(directory), {'front': serve}, timeout=ROUTE_TIMEOUT
            ) as (nodes, _):
                await asyncio.sleep(LIMITS_SECONDS)
                return await ask_across_a_pause(nodes['front'])

    statuses = asyncio.run(run())
    assert statuses == [200] * CALLERS, statuses
