"""Test that no answer reaches a caller whose status is that of no answer.

An endpoint in trouble sends a whole answer with the status 000. Each path that
an answer takes must refuse it: whole, in pieces, to HEAD, without an id, and
in a frame of another node.
"""

import asyncio

from poplarrack.body_pipes import MAX_WHOLE_BODY_BYTES
from poplarrack.exchanges import Delivery
from poplarrack.exchanges import Verdict
from poplarrack.upstream_exchanges import Outcome
from tests.support import build_load_tests
from tests.test_body_pipes import SlowSource
from tests.test_calls import call_path_to
from tests.test_calls import run
from tests.test_second_answers import receive
from tests.test_streams import connected
from tests.test_streams import deliver
from tests.test_streams import FakeReceiver
from tests.test_upstream_answers import head

load_tests = build_load_tests(__name__)

STATUSES = (b'000', b'001', b'042', b'099', b'00', b'7', b'0000', b'0x0')
# The last two are statuses of answers that others follow.
FRAMED_STATUSES = (0, 1, 42, 99, -1, 1000, 100, 199)
LONG = MAX_WHOLE_BODY_BYTES * 2


def build_answer(status, body, *lines):
    """Return a whole answer with any status."""
    length = b'content-length: %d' % len(body)
    raw = head(200, b'r1', length, *lines) + body
    return raw.replace(b'HTTP/1.1 200 ', b'HTTP/1.1 %b ' % status, 1)


def test_an_endpoint_gets_no_odd_status_passed_on():
    async def run_test(raw, **more):
        outcome, reader, _ = await receive(raw, end=True, **more)
        assert outcome() is Outcome.LOST, (raw[:20], more)
        assert reader.pipe is None, raw[:20]

    for status in STATUSES:
        for body in (b'', b'whole', bytes(LONG)):
            raw = build_answer(status, body)
            asyncio.run(run_test(raw))
            asyncio.run(run_test(raw, echo=False))
        raw = build_answer(status, b'whole', b'connection: close')
        asyncio.run(run_test(raw))
        asyncio.run(run_test(build_answer(status, b''), bodiless=True))


# A node of another build could send one: the caller got "HTTP/1.1 0 -".
def test_a_frame_gets_no_odd_status_passed_on():
    class OddReceiver(FakeReceiver):
        def __init__(self, status, streamed_bytes):
            super().__init__()
            self.status, self.streamed_bytes = status, streamed_bytes
            self.source = None

        def receive(self, routed, reply, upload=None, in_pieces=False):
            size = self.streamed_bytes
            answer = Delivery(
                Verdict.ANSWERED, self.status, streamed_bytes=size
            )
            if size:
                self.source = SlowSource(size)
                reply(answer, self.source.pipe)
            else:
                reply(answer)
            return routed

    async def run_test(status, streamed_bytes=0):
        receiver = OddReceiver(status, streamed_bytes)
        async with connected(receiver) as (streams, address):
            found = await deliver(streams, address)
            assert found.verdict is Verdict.LOST, status
            assert not found.status and not found.streamed_bytes
            if streamed_bytes:
                # The endpoint must not wait for a reader.
                async with asyncio.timeout(5):
                    await receiver.cancelled.wait()

    for status in FRAMED_STATUSES:
        asyncio.run(run_test(status))
        asyncio.run(run_test(status, streamed_bytes=LONG))


@run
async def test_the_own_mesh_passes_no_odd_status_on():
    answers = []

    def serve(request, number):
        answers.append(STATUSES[len(answers) % len(STATUSES)])
        return build_answer(answers[-1], b'whole')

    async with call_path_to(serve) as path:
        for _ in STATUSES:
            for method in ('GET', 'HEAD'):
                status, _, body = await path.call('/pay', method=method)
                assert status >= 500 and b'whole' not in body
