"""Stand-in for the platform's key-value service, served over HTTP.

It implements the paths of the etcd v3 JSON gateway that the project uses,
and two of its own: ``/faults`` sets the injected faults, ``/counts``
returns the number of requests by path.
"""

from collections import Counter
from dataclasses import dataclass
from dataclasses import replace
from json import dumps
from json import loads
import signal
from threading import Condition
from threading import Lock
import time

from cheroot.wsgi import Server

from poplarrack.addresses import split_address
from poplarrack.errors import PoplarrackError
from poplarrack.etcd_json import decode_base64
from poplarrack.etcd_json import decode_compare
from poplarrack.etcd_json import decode_operation
from poplarrack.etcd_json import encode_event
from poplarrack.etcd_json import encode_key_value
from poplarrack.stores import Operation
from poplarrack.stores import Store

WATCH_PROGRESS_SECONDS = 1.0
THREADS = 64
# A rate limit that no test or bench case reaches.
UNLIMITED_PER_SECOND = 1e9
WRITE_PATHS = ('/v3/kv/txn', '/v3/lease/grant', '/v3/lease/keepalive')


@dataclass(frozen=True)
class Faults:
    """The faults to inject.

    ``lost_answers`` is the number of further transactions that take effect
    and whose answers are lost.
    """

    outage: bool = False
    delay_seconds: float = 0.0
    lost_answers: int = 0


class RateLimit:
    """A token bucket that holds the requests of one second."""

    def __init__(self, per_second, now):
        self.per_second = per_second
        self.tokens = per_second
        self.refilled_at = now

    def admit(self, now):
        """Take one token; return False when the bucket is empty."""
        gained = (now - self.refilled_at) * self.per_second
        self.tokens = min(self.per_second, self.tokens + gained)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class PlatformStandIn:
    """WSGI application of the stand-in.

    :param clock: returns the time in seconds.
    :param writes: the limit of writes a second.
    :param reads: the limit of reads a second.
    """

    def __init__(self, clock=time.monotonic, writes=500, reads=2000):
        self.clock = clock
        self.store = Store()
        self.changed = Condition(Lock())
        self.faults = Faults()
        self.counts = Counter()
        self.bytes_out = 0
        self.write_limit = RateLimit(writes, clock())
        self.read_limit = RateLimit(reads, clock())
        self.stopped = False
        self.handlers = {
            '/v3/kv/range': self._range,
            '/v3/kv/txn': self._transact,
            '/v3/lease/grant': self._grant,
            '/v3/lease/keepalive': self._keep_alive,
        }

    def __call__(self, environ, start_response):
        """Answer a request by the WSGI protocol."""
        path = environ['PATH_INFO']
        length = int(environ.get('CONTENT_LENGTH') or 0)
        body = loads(environ['wsgi.input'].read(length) or b'{}')
        if path == '/counts':
            return self._answer(start_response, 200, self._counts())
        if path == '/faults':
            self.faults = replace(self.faults, **body)
            return self._answer(start_response, 200, {})
        return self._serve(path, body, start_response)

    def _serve(self, path, body, start_response):
        if self.faults.delay_seconds:
            time.sleep(self.faults.delay_seconds)
        if path == '/v3/watch' and not self.faults.outage:
            self.counts[path] += 1
            start_response('200 OK', [('Content-Type', 'application/json')])
            return self._watch(body['create_request'])
        status, answer = self.answer(path, body)
        return self._answer(start_response, status, answer)

    def answer(self, path, body):
        """Return the status and the answer of a request other than a watch."""
        self.counts[path] += 1
        if self.faults.outage:
            return 503, {'error': 'outage'}
        if not self._admit(path):
            return 429, {'error': 'rate'}
        if path not in self.handlers:
            return 404, {'error': path}
        try:
            with self.changed:
                self.store.expire(self.clock())
                answer = self.handlers[path](body)
                self.changed.notify_all()
        except PoplarrackError as error:
            return error.answer.http_status, {'error': str(error)}
        if path == '/v3/kv/txn' and self._lose_answer():
            return 504, {'error': 'lost'}
        return 200, answer

    def write_raw(self, changes):
        """Write without limits, faults or compares, as a foreign client might.

        :param changes: mappings with ``key`` and ``value``, None to remove.
        :returns: the revision.
        """
        with self.changed:
            operations = [
                Operation(item['key'], item['value']) for item in changes
            ]
            self.store.transact((), operations)
            self.changed.notify_all()
            return self.store.revision

    def _admit(self, path):
        with self.changed:
            is_write = path in WRITE_PATHS
            limit = self.write_limit if is_write else self.read_limit
            return limit.admit(self.clock())

    def _lose_answer(self):
        with self.changed:
            if self.faults.lost_answers < 1:
                return False
            remaining = self.faults.lost_answers - 1
            self.faults = replace(self.faults, lost_answers=remaining)
            return True

    def _answer(self, start_response, status, answer):
        body = dumps(answer).encode()
        self.bytes_out += len(body)
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ]
        start_response(f'{status} -', headers)
        return [body]

    def _counts(self):
        return {**self.counts, 'bytes_out': self.bytes_out}

    def _header(self):
        return {'revision': str(self.store.revision)}

    def _range(self, body):
        key = decode_base64(body['key']).decode()
        revision = int(body.get('revision', 0))
        if 'range_end' in body:
            found = self.store.range(key, revision)
        else:
            item = self.store.get(key, revision)
            found = [item] if item else []
        packed = [encode_key_value(item) for item in found]
        return {'header': self._header(), 'kvs': packed}

    def _transact(self, body):
        compares = [decode_compare(item) for item in body.get('compare', ())]
        operations = [decode_operation(item) for item in body['success']]
        succeeded = self.store.transact(compares, operations)
        return {'header': self._header(), 'succeeded': succeeded}

    def _grant(self, body):
        lease = self.store.grant(float(body['TTL']), self.clock())
        return {'ID': str(lease.lease_id), 'TTL': body['TTL']}

    def _keep_alive(self, body):
        lease = self.store.keep_alive(int(body['ID']), self.clock())
        ttl = str(lease.ttl_seconds) if lease else '0'
        return {'result': {'ID': body['ID'], 'TTL': ttl}}

    def _watch(self, request):
        prefix = decode_base64(request['key']).decode()
        revision = int(request.get('start_revision', 1)) - 1
        while not (self.stopped or self.faults.outage):
            try:
                with self.changed:
                    self.store.expire(self.clock())
                    events = self.store.events_after(revision, prefix)
                    if not events:
                        self.changed.wait(WATCH_PROGRESS_SECONDS)
                        events = self.store.events_after(revision, prefix)
                    revision = self.store.revision
            except PoplarrackError:
                canceled = {'canceled': True, 'compact_revision': '1'}
                yield dumps({'result': canceled}).encode() + b'\n'
                return
            packed = [encode_event(event) for event in events]
            result = {'header': {'revision': str(revision)}, 'events': packed}
            line = dumps({'result': result}).encode() + b'\n'
            self.bytes_out += len(line)
            yield line

    def stop(self):
        """End every watch."""
        with self.changed:
            self.stopped = True
            self.changed.notify_all()


def build_server(application, address, threads=THREADS):
    """Build the HTTP server of an application.

    :param address: the (host, port) to listen on.
    :param threads: the number of threads; each watch holds one.
    """
    return Server(address, application, numthreads=threads)


def serve_platform(address, writes, reads, threads):
    """Run the stand-in until SIGTERM or SIGINT.

    :param address: the ``host:port`` to listen on.
    :param writes: the limit of writes a second.
    :param reads: the limit of reads a second.
    :param threads: the number of threads of the HTTP server.
    """
    application = PlatformStandIn(writes=writes, reads=reads)
    server = build_server(application, split_address(address), threads)

    def stop(number, frame):
        application.stop()
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    try:
        server.start()
    except KeyboardInterrupt:
        application.stop()
        server.stop()
