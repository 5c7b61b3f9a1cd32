"""Callers of the soak: each request is sent once, and never again."""

import asyncio

from tests.soak_checks import build_request_body
from tests.soak_checks import check_answer
from tests.soak_http import build_chunks
from tests.soak_http import build_head
from tests.soak_http import build_request
from tests.soak_http import Connection
from tests.soak_http import EXCHANGE_TIMEOUT_SECONDS
from tests.soak_http import NO_ANSWER
from tests.soak_http import NotHttpError
from tests.soak_operators import SAFE_PREFIX
from tests.soak_records import Request

DEADLINE_MS = 1500
# The part of the requests whose caller leaves before the answer.
ABANDONED_FRACTION = 0.01
CHUNKED_FRACTION = 0.2
MAX_REQUEST_BODY_BYTES = 4000


class Caller:
    """A caller at one host, with one request at a time.

    :param soak: the Soak.
    :param host: the Host.
    :param random: a random.Random.
    :param keeps: whether it keeps its connection for further requests.
    """

    def __init__(self, soak, host, random, keeps):
        self.soak, self.host = soak, host
        self.random, self.keeps = random, keeps
        self.record = soak.record
        self.connection = Connection()

    async def run(self):
        """Send requests until the run stops."""
        while not self.soak.stopped:
            await self.call()
            await self.pause(self.random.random() * self.soak.pause_seconds)
        self.connection.close()

    async def pause(self, seconds):
        """Wait until the next request; nothing may arrive meanwhile."""
        if not self.connection.is_open:
            await asyncio.sleep(seconds)
            return
        unasked = await self.connection.read_unasked(seconds)
        if unasked:
            self.record.violate(
                'MIXED', self.host.name, f'sent {unasked!r} without a request'
            )

    async def call(self, key=None):
        """Send one request and record its answer.

        :param key: the id of a call that an endpoint makes, to a safe route;
            None for a request of its own.
        :returns: the Request.
        """
        request = self.build_request(key)
        self.record.requests[request.key] = request
        answer = None
        try:
            answer = await self.exchange(request)
        except NotHttpError as error:
            self.record.violate('MIXED', request.key, f'got {error}')
        except NO_ANSWER:
            pass
        request.ended_at = self.record.clock()
        if answer is not None:
            request.status, request.stamp = answer.status, answer.stamp
            request.denies_run = self.soak.mesh.denies_run(answer)
            check_answer(self.record, request, answer)
        self.record.counts[f'status {request.status}'] += 1
        if request.status == 200:
            self.soak.serving_hosts.add(self.host.name)
        return request

    async def exchange(self, request):
        """Return the answer to a request, None if the caller leaves."""
        seconds = EXCHANGE_TIMEOUT_SECONDS
        if self.random.random() < ABANDONED_FRACTION:
            request.abandoned = True
            seconds = self.random.random() * 0.05
        request.kept = self.connection.is_open
        request.sent_at = self.record.clock()
        try:
            async with asyncio.timeout(seconds):
                if not request.kept:
                    await self.connection.open(self.host.call_address)
                raw = self.build_raw(request)
                return await self.connection.exchange(raw)
        finally:
            if not self.keeps:
                self.connection.close()

    def build_request(self, key):
        """Return the next Request."""
        if key is None:
            key = f'c{next(self.record.numbers)}'
            prefix, safe = self.soak.operator.draw_prefix(self.random)
        else:
            prefix, safe = SAFE_PREFIX, True
        body = b''
        if not safe:
            size = self.random.randrange(MAX_REQUEST_BODY_BYTES)
            body = build_request_body(key, size)
        now = self.record.clock()
        return Request(
            key, self.host.name, f'{prefix}{key}', safe, now, body=body
        )

    def build_raw(self, request):
        """Return the bytes of a request, with a length or in chunks."""
        deadline_header = self.soak.mesh.deadline_header
        fields = {'request_id': request.key, deadline_header: DEADLINE_MS}
        if not self.keeps:
            fields['connection'] = 'close'
        if request.safe:
            return build_request('GET', request.path, **fields)
        if self.random.random() > CHUNKED_FRACTION:
            return build_request('POST', request.path, request.body, **fields)
        fields |= {'host': 'shop.example', 'transfer_encoding': 'chunked'}
        head = build_head(f'POST {request.path} HTTP/1.1', fields)
        sizes = iter(lambda: self.random.randint(1, 2000), None)
        return head + build_chunks(request.body, sizes)
