"""Callers of the soak: each request is sent once, and never again."""

import asyncio
from contextlib import aclosing

from tests.soak_checks import build_request_body
from tests.soak_checks import check_answer
from tests.soak_checks import CONFIG_SECONDS
from tests.soak_http import build_chunks
from tests.soak_http import build_head
from tests.soak_http import build_request
from tests.soak_http import Connection
from tests.soak_http import EXCHANGE_TIMEOUT_SECONDS
from tests.soak_http import NO_ANSWER
from tests.soak_http import NotHttpError
from tests.soak_operators import SAFE_PREFIX
from tests.soak_operators import UNSAFE_PREFIX
from tests.soak_records import Request

DEADLINE_MS = 1500
# The part of the requests whose caller leaves before the answer.
ABANDONED_FRACTION = 0.01
CHUNKED_FRACTION = 0.2
MAX_REQUEST_BODY_BYTES = 4000
# The parts of the requests that come with a pause, with a body or a head that
# is nearly as large as allowed, with others sent ahead, and after a long time
# in which the connection was idle.
PAUSED_FRACTION = 0.05
LARGE_FRACTION = 0.002
LARGE_HEAD_FRACTION = 0.02
AHEAD_FRACTION = 0.03
IDLE_FRACTION = 0.005
MAX_AHEAD = 4
# How far callers go to within the limits of the configuration.
LARGE_RATIO = 0.98
LARGE_HEAD_RATIO = 0.9
PAUSE_RATIO = 0.8
IDLE_RATIO = 0.8


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
            if self.keeps and self.random.random() < AHEAD_FRACTION:
                await self.call_ahead()
            else:
                await self.call()
            await self.pause(self.draw_pause())
        self.connection.close()

    def draw_pause(self):
        """Return the time until the next request in seconds."""
        if self.connection.is_open and self.random.random() < IDLE_FRACTION:
            self.record.counts['idle connections'] += 1
            return IDLE_RATIO * self.find_limit('idle_timeout_seconds')
        return self.random.random() * self.soak.pause_seconds

    def find_limit(self, name):
        """Return the narrowest limit that may be in force."""
        now = self.record.clock()
        versions = self.record.select_in_force(now, now, CONFIG_SECONDS)
        return min(getattr(item.limits, name) for item in versions)

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

    async def call(
        self, key=None, in_parts=False, is_large=False, prefix=None
    ):
        """Send one request and record its answer.

        :param key: the id of a call that an endpoint makes, to a safe route;
            None for a request of its own.
        :param in_parts: whether it has a body that comes with a pause.
        :param is_large: whether it has a body nearly as large as allowed.
        :param prefix: the prefix of a safe route, None for that of the others.
        :returns: the Request.
        """
        if in_parts or is_large:
            request = self.build_unsafe(is_large)
        elif prefix is not None:
            request = self.build_safe(self.new_key(), prefix)
        else:
            request = self.build_request(key)
        self.record.requests[request.key] = request
        answer = None
        try:
            answer = await self.exchange(request, in_parts)
        except NotHttpError as error:
            self.record.violate('MIXED', request.key, f'got {error}')
        except NO_ANSWER:
            pass
        self.finish(request, answer)
        return request

    def finish(self, request, answer):
        """Record the answer to a request, None if there is none."""
        request.ended_at = self.record.clock()
        if answer is not None:
            request.status, request.stamp = answer.status, answer.stamp
            request.denies_run = self.soak.mesh.denies_run(answer)
            check_answer(self.record, request, answer)
        self.record.counts[f'status {request.status}'] += 1
        if request.status == 200:
            self.soak.serving_hosts.add(self.host.name)

    async def call_ahead(self):
        """Send several safe requests at once and record their answers."""
        requests = []
        for _ in range(self.random.randint(2, MAX_AHEAD)):
            request = self.build_request(None)
            request.behind = requests[-1] if requests else None
            requests.append(request)
            self.record.requests[request.key] = request
        self.record.counts['sent ahead'] += len(requests) - 1
        unanswered = list(requests)
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_SECONDS):
                await self.exchange_ahead(unanswered)
        except NotHttpError as error:
            self.record.violate('MIXED', unanswered[0].key, f'got {error}')
        except NO_ANSWER:
            pass
        if unanswered:
            self.connection.close()
        for request in unanswered:
            self.finish(request, None)

    async def exchange_ahead(self, unanswered):
        """Send requests at once.

        :param unanswered: the Requests, which are taken out when answered.
        """
        is_kept = self.connection.is_open
        if not is_kept:
            await self.connection.open(self.host.call_address)
        for request in unanswered:
            request.kept = is_kept or request.behind is not None
            request.sent_at = self.record.clock()
        raws = [self.build_raw(request) for request in unanswered]
        answers = self.connection.exchange_ahead(raws)
        async with aclosing(answers):
            async for answer in answers:
                self.finish(unanswered.pop(0), answer)

    async def exchange(self, request, in_parts=False):
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
                if not in_parts and self.random.random() > PAUSED_FRACTION:
                    return await self.connection.exchange(raw)
                return await self.exchange_in_parts(request, raw, in_parts)
        finally:
            if not self.keeps:
                self.connection.close()

    async def exchange_in_parts(self, request, raw, in_body):
        """Send a request with a pause; return the answer.

        :param in_body: whether the pause is not within the head.
        """
        self.record.counts['sent in parts'] += 1
        start = request.head_bytes if in_body else 1
        middle = self.random.randrange(start, len(raw))
        longest = PAUSE_RATIO * self.find_limit('header_timeout_seconds')
        # Known also when the caller leaves, or gets its answer, before it.
        request.pause_seconds = longest
        (
            answer,
            request.pause_seconds,
        ) = await self.connection.exchange_in_parts(
            (raw[:middle], raw[middle:]),
            self.random.uniform(longest / 4, longest),
            self.record.clock,
        )
        return answer

    def build_request(self, key):
        """Return the next Request."""
        if key is not None:
            return self.build_safe(key, SAFE_PREFIX)
        prefix, safe = self.soak.operator.draw_prefix(self.random)
        if safe:
            return self.build_safe(self.new_key(), prefix)
        is_large = self.random.random() < LARGE_FRACTION
        return self.build_unsafe(is_large, prefix)

    def new_key(self):
        """Return the id of a request of its own."""
        return f'c{next(self.record.numbers)}'

    def build_safe(self, key, prefix):
        """Return a Request without a body."""
        now = self.record.clock()
        return Request(key, self.host.name, f'{prefix}{key}', True, now)

    def build_unsafe(self, is_large, prefix=UNSAFE_PREFIX):
        """Return a Request with a body."""
        key = self.new_key()
        return Request(
            key,
            self.host.name,
            f'{prefix}{key}',
            False,
            self.record.clock(),
            body=build_request_body(key, self.draw_size(is_large)),
        )

    def draw_size(self, is_large):
        """Draw the size of a body in bytes."""
        if is_large:
            self.record.counts['large bodies'] += 1
            return int(LARGE_RATIO * self.find_limit('max_body_bytes'))
        return self.random.randrange(1, MAX_REQUEST_BODY_BYTES)

    def build_raw(self, request):
        """Return the bytes of a request, with a length or in chunks."""
        deadline_header = self.soak.mesh.deadline_header
        fields = {'request_id': request.key, deadline_header: DEADLINE_MS}
        if not self.keeps:
            fields['connection'] = 'close'
        if self.random.random() < LARGE_HEAD_FRACTION:
            self.record.counts['large heads'] += 1
            largest = LARGE_HEAD_RATIO * self.find_limit('max_header_bytes')
            fields['x_padding'] = 'x' * int(largest - 500)
        method = 'GET' if request.safe else 'POST'
        if request.safe or self.random.random() > CHUNKED_FRACTION:
            raw = build_request(method, request.path, request.body, **fields)
        else:
            fields |= {'host': 'shop.example', 'transfer_encoding': 'chunked'}
            head = build_head(f'POST {request.path} HTTP/1.1', fields)
            sizes = iter(lambda: self.random.randint(1, 2000), None)
            raw = head + build_chunks(request.body, sizes)
        request.head_bytes = raw.index(b'\r\n\r\n') + 4
        return raw
