"""Break off answers of 400 kB and send a second answer behind each.

One of two endpoints does so with 3 in 100 of its answers, for 5 s. The second
answer is a copy of the same one or, by turns, a late copy of the answer before
it on the connection, to another request.
"""

import asyncio
from pathlib import Path
import time

from stand_ins_2 import build_call
from stand_ins_2 import build_configuration
from stand_ins_2 import build_message
from stand_ins_2 import CALL
from stand_ins_2 import Endpoint
from stand_ins_2 import exchange
from stand_ins_2 import run_case

ANSWER_BYTES = 400_000
# Part of its answer that the endpoint sends.
SENT_PART = 0.75
# 3 in 100 of the answers.
SPOILT_EVERY = 34
GARBLE_SECONDS = 5.0
CALLERS = 4
# Between the requests of a caller.
PAUSE_SECONDS = 0.03
SETTLE_SECONDS = 5.0


def build_body(request_id):
    """Return the body of the answer to a request."""
    line = f'statement for {request_id}\n'.encode()
    return (line * (ANSWER_BYTES // len(line) + 1))[:ANSWER_BYTES]


class ExportEndpoint(Endpoint):
    """Answers with long bodies, some of which it spoils."""

    garbles = False
    spoilt = 0

    async def answer(self, request, reader, writer):
        """Answer a request; return whether the connection stays open."""
        request_id = request.header('request-id')
        if request.header('expect-instance') != self.instance:
            headers = [('Request-Id', request_id), ('Not-Executed', '1')]
            writer.write(build_message('HTTP/1.1 421 -', headers))
            return True
        self.runs.append((request_id, time.monotonic(), request))
        headers = [
            ('Request-Id', request_id),
            ('Server-Stamp', f'{self.instance}.{len(self.runs)}'),
        ]
        raw = build_message('HTTP/1.1 200 OK', headers, build_body(request_id))
        previous = getattr(writer, 'previous', None)
        writer.previous = raw
        if self.garbles and previous and len(self.runs) % SPOILT_EVERY == 0:
            self.record.add(f'{self.instance} spoils the answer {request_id}')
            writer.write(raw[: int(len(raw) * SENT_PART)])
            await writer.drain()
            self.spoilt += 1
            writer.write(raw if self.spoilt % 2 else previous)
        else:
            writer.write(raw)
        await writer.drain()
        return True


async def call_on(case, node, end, answered):
    """Send requests one after the other until a time; check the answers."""
    while time.monotonic() < end:
        request_id, raw = build_call('GET', '/export/x', 5000)
        answer = await exchange(node.ip, CALL, raw, 6.0)
        answered.append(answer.status if answer else 0)
        if answer is not None and answer.status == 200:
            if answer.body != build_body(request_id):
                at = next(
                    index
                    for index, (one, other) in enumerate(
                        zip(answer.body, build_body(request_id))
                    )
                    if one != other
                )
                case.violate(
                    f'MIXED: {request_id} got 200 and {len(answer.body)} '
                    f'bytes as a whole body, foreign from byte {at}: '
                    f'{answer.body[at : at + 50]!r}'
                )
        elif answer is None:
            case.record.add(f'{request_id}: no whole answer')
        else:
            case.record.add(f'{request_id}: status {answer.status}')
        await asyncio.sleep(PAUSE_SECONDS)


async def play(case):
    """Call while an endpoint spoils answers."""
    case.store.write(
        'op/config',
        build_configuration(
            {
                'r-export': {
                    'prefix': '/export/',
                    'service': 'records-hub',
                    'route_type': 'download',
                    'timeout': '5000ms',
                    'target_latency': '800ms',
                },
                'r-check': {'prefix': '/check/', 'service': 'payments-core'},
            }
        ),
    )
    front = await case.add_node(1, 'payments-core')
    hubs = [
        await case.add_node(2, 'records-hub'),
        await case.add_node(3, 'records-hub', 'ipswich'),
    ]
    exports = []
    for hub in hubs:
        endpoint = ExportEndpoint(hub, f'i-{hub.name}', case.record)
        case.endpoints.append(endpoint)
        exports.append(endpoint)
    await case.add_endpoint(front, 'i-front')
    for node in case.nodes:
        node.start()
    for endpoint in case.endpoints:
        await endpoint.start()
    for node in case.nodes:
        await node.wait_until_ready()
    await asyncio.sleep(SETTLE_SECONDS)
    exports[0].garbles = case.trouble
    answered = []
    end = time.monotonic() + GARBLE_SECONDS
    await asyncio.gather(
        *(call_on(case, front, end, answered) for _ in range(CALLERS))
    )
    for endpoint in exports:
        case.record.add(f'{endpoint.instance}: {len(endpoint.runs)} runs')
    case.record.add(f'{len(answered)} calls, {answered.count(200)} with 200')
    assert answered.count(200) > len(answered) / 2, 'too few answers'
    assert exports[0].runs, 'the endpoint got no request'


run_case(Path(__file__).parent, play)
