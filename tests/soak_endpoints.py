"""Endpoints of the soak; they run in its process and outlive the nodes.

Some of them stutter: they answer a request twice, or not properly.
"""

import asyncio
from contextlib import suppress

from tests.soak_checks import check_run
from tests.soak_http import build_chunks
from tests.soak_http import build_head
from tests.soak_http import build_request
from tests.soak_http import exchange
from tests.soak_http import NO_ANSWER
from tests.soak_http import NotHttpError
from tests.soak_http import read_message
from tests.soak_http import STREAM_LIMIT_BYTES
from tests.soak_operators import BURST_RANKS
from tests.soak_records import build_body
from tests.soak_records import CALL_MARK
from tests.soak_records import Run

# The part of the endpoints that stutter, and the part of their answers that
# are followed by a second one.
STUTTERING_FRACTION = 0.6
STUTTER_FRACTION = 0.1
# The part of all answers that an endpoint refuses or breaks off.
REFUSED_FRACTION = 0.05
BROKEN_FRACTION = 0.03
# The part of the runs that make a call of their own. Some endpoints give it
# the same id when a request runs again.
CALLING_FRACTION = 0.05
# The run time of requests that come in bursts.
BURST_RUN_SECONDS = 0.2
STATUSES = (200,) * 22 + (404, 500, 500)
CUT_SECONDS = 0.02
STUTTERS = {}
FORMS = {}


def stutter(send):
    """Register a coroutine function of (endpoint, writer, first, second).

    It writes two answers, and returns the bytes that it holds back until
    the next request arrives on the connection.
    """
    STUTTERS[send.__name__] = send
    return send


def form(build):
    """Register a function of (random, fields, status, body) as a form.

    It returns the bytes of an answer.
    """
    FORMS[build.__name__] = build
    return build


@stutter
async def at_once(endpoint, writer, first, second):
    """Write both answers at once."""
    writer.write(first + second)
    return b''


@stutter
async def cut(endpoint, writer, first, second):
    """Write the rest of the second answer a little later."""
    middle = endpoint.random.randrange(1, len(second))
    writer.write(first + second[:middle])
    await asyncio.sleep(endpoint.random.random() * CUT_SECONDS)
    writer.write(second[middle:])
    return b''


@stutter
async def late(endpoint, writer, first, second):
    """Write the second answer where the next one is expected."""
    writer.write(first)
    return second


@stutter
async def late_cut(endpoint, writer, first, second):
    """Write the rest of the second answer where the next is expected."""
    middle = endpoint.random.randrange(1, len(second))
    writer.write(first + second[:middle])
    return second[middle:]


@stutter
async def late_broken_off(endpoint, writer, first, second):
    """Write the start of the second answer where the next is expected.

    It ends inside its head, with which the next answer then goes on.
    """
    writer.write(first)
    head_size = second.index(b'\r\n\r\n')
    return second[: endpoint.random.randrange(1, head_size)]


@form
def with_length(random, fields, status, body):
    """Build an answer with a length."""
    fields = {**fields, 'content_length': len(body)}
    return build_head(f'HTTP/1.1 {status} -', fields) + body


@form
def in_chunks(random, fields, status, body):
    """Build an answer in chunks."""
    fields = {**fields, 'transfer_encoding': 'chunked'}
    sizes = iter(lambda: random.choice((1, 300, 9000, 20000)), None)
    head = build_head(f'HTTP/1.1 {status} -', fields)
    return head + build_chunks(body, sizes)


def until_end(random, fields, status, body):
    """Build an answer that ends with its connection."""
    fields = {**fields, 'connection': 'close'}
    return build_head(f'HTTP/1.1 {status} -', fields) + body


class Endpoint:
    """An endpoint that records each request that it runs.

    :param soak: the Soak.
    :param random: a random.Random.
    :param host: the name of its host.
    :param service: the name of its service.
    :param control_address: the ``host:port`` of the local node's control
        listener.
    :param heartbeat_seconds: the time between heartbeats.
    """

    def __init__(
        self, soak, random, host, service, control_address, heartbeat_seconds
    ):
        self.record, self.mesh, self.random = soak.record, soak.mesh, random
        self.host, self.service = host, service
        self.control_address = control_address
        self.heartbeat_seconds = heartbeat_seconds
        self.server = self.heartbeat_task = None
        self.instance, self.address = '', ''
        self.left_at, self.sequence, self.born = None, 0, 0
        self.writers = set()
        self.stutters = random.random() < STUTTERING_FRACTION
        self.repeats_ids = random.random() < 0.5
        # Builds the Caller of a call that a run makes.
        self.build_caller = None
        self.lock = asyncio.Lock()

    async def start(self):
        """Listen, and send heartbeats as a new instance."""
        instance = self.instance = f'i-{next(self.record.numbers)}'
        self.left_at = None
        self.server = await asyncio.start_server(
            lambda *streams: self.serve(instance, *streams),
            '127.0.0.1',
            limit=STREAM_LIMIT_BYTES,
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self.born = next(self.record.numbers)
        self.heartbeat_task = asyncio.ensure_future(self.send_heartbeats())

    async def send_heartbeats(self):
        """Send heartbeats until the task is cancelled."""
        while True:
            self.sequence += 1
            report = self.mesh.build_report(self)
            if await self.call_node(*report) != 200:
                self.record.counts['reports without answer'] += 1
            await asyncio.sleep(self.heartbeat_seconds)

    async def call_node(self, method, path, body):
        """Call the local node; return the status, 0 without an answer."""
        raw = build_request(method, path, body, connection='close')
        try:
            answer = await exchange(self.control_address, raw)
        except NO_ANSWER:
            return 0
        return answer.status

    async def leave(self):
        """Announce the leave, and record when the node acknowledged it."""
        await self.stop_heartbeats()
        if await self.call_node(*self.mesh.build_leave(self)) == 200:
            self.left_at = self.record.clock()

    async def stop_heartbeats(self):
        """Stop sending heartbeats."""
        self.heartbeat_task.cancel()
        with suppress(asyncio.CancelledError):
            await self.heartbeat_task

    async def close(self):
        """Stop listening and abort all connections."""
        await self.stop_heartbeats()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, instance, reader, writer):
        """Serve the requests of a connection one after another."""
        self.writers.add(writer)
        held = b''
        try:
            while held is not None:
                request = await read_message(reader)
                if held:
                    writer.write(held)
                held = await self.answer(instance, request, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        except NotHttpError as error:
            self.record.violate('UNASKED', instance, f'received {error}')
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, instance, request, writer):
        """Refuse or run a request and answer it.

        :returns: the bytes that are held back until the next request, or
            None to end the connection.
        """
        key = request.headers.get('request-id', '')
        if self.random.random() < REFUSED_FRACTION:
            raw = self.build_refusal(request)
            return await self.write(writer, raw, lambda kind: raw)
        run = await self.run(instance, key, request)
        fields = {'request_id': key, 'server_stamp': run.stamp}
        if self.random.random() < BROKEN_FRACTION:
            self.write_broken(writer, run, fields)
            return None
        first = self.build_answer(fields, run.status, run.body)

        def build_second(kind):
            return self.build_second(kind, run, request, first)

        return await self.write(writer, first, build_second)

    async def run(self, instance, key, request):
        """Run a request; return the Run, whose answer is decided."""
        run = Run(
            key,
            f's{next(self.record.numbers)}',
            self.host,
            instance,
            self.service,
            self.record.clock(),
        )
        self.record.add_run(run)
        check_run(self.record, run, request, self)
        run.status = self.random.choice(STATUSES)
        run.size = self.draw_size()
        seconds = self.random.random() * self.random.choice((0.02, 0.02, 0.1))
        if self.random.random() < 0.01:
            seconds += self.random.random()
        if request.target.startswith(tuple(BURST_RANKS)):
            seconds = BURST_RUN_SECONDS
        deadline_ms = request.headers.get(self.mesh.deadline_header, 1000)
        await asyncio.sleep(min(seconds, int(deadline_ms) / 1000))
        if CALL_MARK not in key and self.random.random() < CALLING_FRACTION:
            await self.call_from(run)
        return run

    async def call_from(self, run):
        """Make a call of a run, which fails if the call does."""
        key = f'{run.key}{CALL_MARK}'
        if not self.repeats_ids:
            key = f'{key}{next(self.record.numbers)}'
        request = await self.build_caller().call(key)
        if request.status != 200:
            run.status = 500

    def draw_size(self):
        """Draw the size of a body in bytes."""
        largest = self.random.choice((0, 100, 3000, 20000, 60000))
        return self.random.randint(largest // 2, largest)

    def build_refusal(self, request):
        """Return the bytes that say that a request did not run."""
        fields = self.mesh.refusal_fields(request)
        fields['request_id'] = request.headers.get('request-id', '')
        return with_length(self.random, fields, 503, b'')

    def build_answer(self, fields, status, body):
        """Return the bytes of an answer in some form."""
        build = self.random.choice((with_length, with_length, in_chunks))
        return build(self.random, fields, status, body)

    async def write(self, writer, first, build_second):
        """Write an answer, and maybe a second one.

        :param build_second: returns the second answer for a kind of stutter.
        :returns: the bytes that are held back until the next request.
        """
        if not (self.stutters and self.random.random() < STUTTER_FRACTION):
            writer.write(first)
            return b''
        kind = self.random.choice(sorted(STUTTERS))
        self.record.counts[f'answers twice {kind}'] += 1
        second = build_second(kind)
        return await STUTTERS[kind](self, writer, first, second)

    def build_second(self, kind, run, request, first):
        """Return a second answer, which may be another one.

        A whole answer that comes late can only be told apart by the id that
        it bears. Where answers bear none, refusals do.
        """
        status, second = run.status, first
        if kind == late.__name__ and not self.mesh.echoes:
            status, second = 503, self.build_refusal(request)
        elif self.random.random() < 0.5:
            status = self.random.choice(STATUSES)
            body = build_body(f'second {run.stamp} {run.key}', run.size)
            fields = {'request_id': run.key, 'server_stamp': run.stamp}
            second = self.build_answer(fields, status, body)
        run.second = f'{kind} {status}'
        return second

    def write_broken(self, writer, run, fields):
        """Write an answer without a length, or not the whole answer."""
        raw = until_end(self.random, fields, run.status, run.body)
        if self.random.random() < 0.5:
            writer.write(raw)
            return
        run.sound = False
        if self.random.random() < 0.2:
            writer.write(b'no answer\r\n\r\n')
            return
        raw = self.build_answer(fields, run.status, run.body)
        writer.write(raw[: self.random.randrange(len(raw))])
