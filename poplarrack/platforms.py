"""Clients of the platform's key-value store, for nodes and operators."""

from collections.abc import Iterator
from dataclasses import dataclass
from json import dumps
from json import loads
import logging
from random import Random
from threading import Lock
import time
from uuid import uuid4

from urllib3 import PoolManager
from urllib3 import Timeout
from urllib3.exceptions import ConnectTimeoutError
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.etcd_json import decode_event
from poplarrack.etcd_json import decode_key_value
from poplarrack.etcd_json import encode_base64
from poplarrack.etcd_json import encode_compare
from poplarrack.etcd_json import encode_operation
from poplarrack.etcd_json import prefix_end
from poplarrack.retries import Backoff
from poplarrack.retries import CircuitBreaker
from poplarrack.store_histories import StoreHistories
from poplarrack.stores import Compare
from poplarrack.stores import KeyValue
from poplarrack.stores import Operation

logger = logging.getLogger(__name__)

CONFIGURATION_PREFIX = '/poplarrack/configuration/'
ZONE_PREFIX = '/poplarrack/zones/'
WRITE_PREFIX = '/poplarrack/writes/'
CONNECT_TIMEOUT_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 2.0
WATCH_READ_TIMEOUT_SECONDS = 5.0
WRITE_KEY_TTL_SECONDS = 300
MAX_WRITE_ATTEMPTS = 4

# Far more than the store answers at a time.
MAX_RESPONSE_BYTES = 8_000_000
READ_BYTES = 65_536
# How many times its timeout a response may take that arrives in pieces.
MAX_TIMEOUTS = 2

# Approximate overhead of HTTP and TCP for a call and for a line of a watch.
CALL_OVERHEAD_BYTES = 400
LINE_OVERHEAD_BYTES = 80

STATUS_KINDS = {
    404: ErrorKind.NOT_FOUND,
    412: ErrorKind.CONFLICT,
    410: ErrorKind.COMPACTED,
    413: ErrorKind.TOO_LARGE,
    429: ErrorKind.RATE_LIMITED,
    503: ErrorKind.PLATFORM_UNAVAILABLE,
}


@dataclass(frozen=True)
class Response:
    """The body of a response, and the number of the store's history."""

    data: bytes
    history: int = 0


@dataclass(frozen=True)
class RangeResponse:
    """The keys found and the store's revision when they were read.

    ``generation`` is the operator's own number of the configuration among
    them, 0 if it has none.
    """

    revision: int
    items: tuple[KeyValue, ...]
    generation: int = 0


@dataclass(frozen=True)
class WatchBatch:
    """Events up to a revision; a progress notification has none.

    ``generation`` is that of the configuration after them.
    """

    revision: int
    events: tuple[KeyValue, ...]
    generation: int = 0


def build_timeout(read_seconds):
    """Return the timeouts of a call.

    :param read_seconds: how long the connection may be silent.
    """
    return Timeout(connect=CONNECT_TIMEOUT_SECONDS, read=read_seconds)


class StoreClient:
    """Make HTTP calls to the store, guarded by a circuit breaker.

    Several threads may use a client at once. ``history_header`` is the name
    of the header by which the store numbers its histories, if it does.
    """

    history_header = None

    def __init__(self, addresses, random=None, clock=time.monotonic):
        self.addresses = tuple(addresses)
        self.random = random or Random()
        self.clock = clock
        self.circuit = CircuitBreaker()
        self.histories = StoreHistories()
        self.calls = 0
        self.bytes = 0
        # The shortest call so far bounds the network's round trip from above.
        self.min_round_trip_seconds = 0.0
        self.lock = Lock()
        self.pool = PoolManager(
            maxsize=4,
            retries=False,
            timeout=build_timeout(CALL_TIMEOUT_SECONDS),
        )

    @property
    def rejected_entries(self):
        """Return the revision and the fault of left out entries by key."""
        return {}

    def request(self, method, path, body=None, timeout=None, streams=False):
        """Make one call, unless the circuit is open.

        :param body: an object to send as JSON, or None.
        :param timeout: a urllib3 Timeout; None stands for the usual ones.
        :param streams: whether to leave the body to be read by the caller.
        :returns: the Response, of status 200; with ``streams``, urllib3's.
        :raises PoplarrackError: the status's kind, OUTCOME_UNKNOWN when no
            response arrived, PLATFORM_UNAVAILABLE when no request was sent.
        """
        now = self.clock()
        with self.lock:
            if not self.circuit.allows(now):
                raise PoplarrackError(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    'no request sent, the circuit breaker is open',
                )
            self.calls += 1
        try:
            response = self._send(method, path, body, timeout, streams)
        except PoplarrackError as error:
            self._record(error.kind not in _RETRYABLE_KINDS)
            raise
        self._record(True)
        duration = self.clock() - now
        with self.lock:
            if (
                not self.min_round_trip_seconds
                or duration < self.min_round_trip_seconds
            ):
                self.min_round_trip_seconds = duration
        return response

    def count_bytes(self, count):
        """Add to the bytes exchanged with the store."""
        with self.lock:
            self.bytes += count

    def _record(self, succeeded):
        with self.lock:
            self.circuit = self.circuit.record(succeeded, self.clock())

    def _send(self, method, path, body, timeout, streams):
        timeout = timeout or build_timeout(CALL_TIMEOUT_SECONDS)
        address = self.random.choice(self.addresses)
        encoded = None if body is None else dumps(body).encode()
        try:
            response = self.pool.request(
                method,
                f'http://{address}{path}',
                body=encoded,
                headers={'Content-Type': 'application/json'},
                timeout=timeout,
                preload_content=False,
            )
            history = 0
            if self.history_header is not None:
                history = self.histories.hear(
                    response.headers.get(self.history_header)
                )
            if streams and response.status == 200:
                return response
            data = self._read_body(path, response, timeout)
        except (ConnectTimeoutError, NewConnectionError) as error:
            raise PoplarrackError(
                ErrorKind.PLATFORM_UNAVAILABLE, str(error)
            ) from error
        except HTTPError as error:
            raise PoplarrackError(
                ErrorKind.OUTCOME_UNKNOWN, f'{path}: {error}'
            ) from error
        raise_for_status(path, response.status)
        return Response(data, history)

    def _read_body(self, path, response, timeout):
        """Return the body of a response, if it ends.

        :raises PoplarrackError: OUTCOME_UNKNOWN if it is too large or late.
        """
        body = bytearray()
        end = self.clock() + MAX_TIMEOUTS * timeout.read_timeout
        for part in response.stream(READ_BYTES):
            body += part
            if len(body) > MAX_RESPONSE_BYTES or self.clock() > end:
                response.close()
                raise PoplarrackError(
                    ErrorKind.OUTCOME_UNKNOWN,
                    f'{path}: no end after {len(body)} bytes',
                )
        return bytes(body)


def raise_for_status(path, status):
    """Raise the error of a response whose status is not 200."""
    if status != 200:
        kind = STATUS_KINDS.get(status, ErrorKind.OUTCOME_UNKNOWN)
        raise PoplarrackError(
            kind, f'{path}: expected status 200, got {status}'
        )


class PlatformClient(StoreClient):
    """A blocking client of the etcd v3 gateway.

    Nodes call it on threads beside their event loop.
    """

    def __init__(self, addresses, random=None, clock=time.monotonic):
        super().__init__(addresses, random, clock)
        self.sleep = time.sleep
        self.backoff = Backoff()

    def read_prefix(self, prefix, revision=0):
        """Read all keys under a prefix."""
        body = {
            'key': encode_base64(prefix),
            'range_end': encode_base64(prefix_end(prefix)),
        }
        return self._range(body, revision)

    def read_key(self, key, revision=0):
        """Return the KeyValue of a key, or None when it is absent."""
        response = self._range({'key': encode_base64(key)}, revision)
        return response.items[0] if response.items else None

    def write(self, compares, operations, lease_id=0):
        """Run a transaction at most once and return its revision.

        Each transaction also puts a key of its own and requires that key
        to be absent. When a response is lost, the retry therefore fails if
        the first attempt was applied, and the key's revision is the
        write's.

        :param lease_id: the lease of that key; 0 stands for a new lease of
            WRITE_KEY_TTL_SECONDS.
        :returns: the revision of the write.
        :raises PoplarrackError: CONFLICT when a compare failed,
            OUTCOME_UNKNOWN when no attempt got a response.
        """
        write_key = WRITE_PREFIX + uuid4().hex
        key_lease = self.grant_lease(WRITE_KEY_TTL_SECONDS)
        keyed_operations = (
            *operations,
            Operation(write_key, b'', lease_id or key_lease),
        )
        compares = (*compares, Compare(write_key, 0))
        for attempt in range(1, MAX_WRITE_ATTEMPTS + 1):
            try:
                return self._write_once(compares, keyed_operations, write_key)
            except PoplarrackError as error:
                last = error
            if last.kind not in _RETRYABLE_KINDS:
                raise last
            if attempt < MAX_WRITE_ATTEMPTS:
                self.sleep(self.backoff.delay(attempt, self.random))
        raise PoplarrackError(
            ErrorKind.OUTCOME_UNKNOWN,
            f'no answer to a write after {MAX_WRITE_ATTEMPTS} attempts: '
            f'{last.detail}; read the setting back before trying again',
        )

    def put_unconditionally(self, operation):
        """Put a value once, without a compare.

        For values that are written periodically, so that the next put
        makes up for a lost one.
        """
        body = {'success': [encode_operation(operation)]}
        self._call('/v3/kv/txn', body)

    def grant_lease(self, ttl_seconds):
        """Grant a lease and return its id."""
        response = self._call('/v3/lease/grant', {'TTL': str(ttl_seconds)})
        return int(response['ID'])

    def renew_lease(self, lease_id):
        """Renew a lease; return False when it has expired."""
        response = self._call('/v3/lease/keepalive', {'ID': str(lease_id)})
        return float(response['result'].get('TTL', 0)) > 0

    def watch(self, prefix, revision) -> Iterator[WatchBatch]:
        """Yield batches of events after a revision until the stream ends.

        :raises PoplarrackError: COMPACTED when the revision is compacted,
            PLATFORM_UNAVAILABLE when the stream ends or stays silent for
            WATCH_READ_TIMEOUT_SECONDS.
        """
        create_request = {
            'key': encode_base64(prefix),
            'range_end': encode_base64(prefix_end(prefix)),
            'start_revision': str(revision + 1),
            'progress_notify': True,
        }
        response = self.request(
            'POST',
            '/v3/watch',
            {'create_request': create_request},
            streams=True,
            timeout=build_timeout(WATCH_READ_TIMEOUT_SECONDS),
        )
        try:
            for line in _read_lines(response):
                self.count_bytes(len(line) + LINE_OVERHEAD_BYTES)
                yield _decode_batch(loads(line)['result'])
        except HTTPError as error:
            raise PoplarrackError(
                ErrorKind.PLATFORM_UNAVAILABLE, f'watch failed: {error}'
            ) from error
        finally:
            response.close()
        raise PoplarrackError(
            ErrorKind.PLATFORM_UNAVAILABLE, 'the store ended the watch'
        )

    def _range(self, body, revision):
        if revision:
            body['revision'] = str(revision)
        response = self._call('/v3/kv/range', body)
        items = tuple(
            decode_key_value(item) for item in response.get('kvs', ())
        )
        return RangeResponse(int(response['header']['revision']), items)

    def _write_once(self, compares, operations, write_key):
        body = {
            'compare': [encode_compare(item) for item in compares],
            'success': [encode_operation(item) for item in operations],
        }
        response = self._call('/v3/kv/txn', body)
        if response.get('succeeded'):
            return int(response['header']['revision'])
        written = self.read_key(write_key)
        if written is not None:
            return written.mod_revision
        raise PoplarrackError(
            ErrorKind.CONFLICT, 'a setting changed since it was read'
        )

    def _call(self, path, body):
        response = self.request('POST', path, body)
        self.count_bytes(
            len(dumps(body)) + len(response.data) + CALL_OVERHEAD_BYTES
        )
        return loads(response.data)


_RETRYABLE_KINDS = (
    ErrorKind.OUTCOME_UNKNOWN,
    ErrorKind.PLATFORM_UNAVAILABLE,
    ErrorKind.RATE_LIMITED,
)


def _read_lines(response):
    remainder = b''
    for chunk in response.stream(READ_BYTES):
        *lines, remainder = (remainder + chunk).split(b'\n')
        yield from lines
        if len(remainder) > MAX_RESPONSE_BYTES:
            raise PoplarrackError(
                ErrorKind.PLATFORM_UNAVAILABLE,
                f'watch failed: a line of over {MAX_RESPONSE_BYTES} bytes',
            )


def _decode_batch(result):
    if result.get('canceled'):
        raise PoplarrackError(
            ErrorKind.COMPACTED,
            'the watch was cancelled: its start revision is compacted',
        )
    events = tuple(decode_event(item) for item in result.get('events', ()))
    revision = int(result['header']['revision'])
    if events:
        # To a watch that lags behind, the header names a revision of which
        # later responses have yet to bring the events.
        revision = max(event.mod_revision for event in events)
    return WatchBatch(revision, events)
