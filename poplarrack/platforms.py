"""Call the platform's key-value service, as the system and operators do."""

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
from poplarrack.stores import Compare
from poplarrack.stores import KeyValue
from poplarrack.stores import Operation

logger = logging.getLogger(__name__)

CONFIGURATION_PREFIX = '/poplarrack/configuration/'
ZONE_PREFIX = '/poplarrack/zones/'
WRITE_PREFIX = '/poplarrack/writes/'
CONNECT_TIMEOUT_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 2.0
WATCH_SILENCE_SECONDS = 5.0
WRITE_ID_TTL_SECONDS = 300
WRITE_ATTEMPTS = 4

# What HTTP and TCP add to a call and to a line of a watch, about.
HEADER_BYTES = 400
CHUNK_BYTES = 80

STATUS_KINDS = {
    404: ErrorKind.NOT_FOUND,
    412: ErrorKind.CONFLICT,
    410: ErrorKind.COMPACTED,
    413: ErrorKind.TOO_LARGE,
    429: ErrorKind.RATE_LIMITED,
    503: ErrorKind.PLATFORM_UNAVAILABLE,
}


@dataclass(frozen=True)
class RangeResponse:
    """The keys found and the store's revision at that moment."""

    revision: int
    items: tuple[KeyValue, ...]


@dataclass(frozen=True)
class WatchBatch:
    """Events up to a revision; none is a sign of life."""

    revision: int
    events: tuple[KeyValue, ...]


def build_timeout(seconds):
    """Return the bounds of a call that may be silent for so long."""
    return Timeout(connect=CONNECT_TIMEOUT_SECONDS, read=seconds)


class StoreClient:
    """Make HTTP calls to the store, with a circuit; used from threads."""

    def __init__(self, addresses, random=None, clock=time.monotonic):
        self.addresses = tuple(addresses)
        self.random = random or Random()
        self.clock = clock
        self.circuit = CircuitBreaker()
        self.calls = 0
        self.bytes = 0
        # The least that a call took, which its way alone does not undercut.
        self.min_round_trip_seconds = 0.0
        self.lock = Lock()
        self.pool = PoolManager(
            maxsize=4,
            retries=False,
            timeout=build_timeout(CALL_TIMEOUT_SECONDS),
        )

    def request(self, method, path, body=None, **options):
        """Make one call, unless the circuit is open.

        :param body: what is sent as JSON, or None.
        :param options: more arguments for the pool's request.
        :returns: the response, of status 200.
        :raises PoplarrackError: by the status, OUTCOME_UNKNOWN when no
            answer came, PLATFORM_UNAVAILABLE when nothing was sent.
        """
        now = self.clock()
        with self.lock:
            if not self.circuit.allows(now):
                raise PoplarrackError(
                    ErrorKind.PLATFORM_UNAVAILABLE, 'circuit is open'
                )
            self.calls += 1
        try:
            response = self._send(method, path, body, options)
        except PoplarrackError as error:
            self._record(error.kind not in _TRY_AGAIN)
            raise
        self._record(True)
        took = self.clock() - now
        if (
            not self.min_round_trip_seconds
            or took < self.min_round_trip_seconds
        ):
            self.min_round_trip_seconds = took
        return response

    def _record(self, succeeded):
        with self.lock:
            self.circuit = self.circuit.record(succeeded, self.clock())

    def _send(self, method, path, body, options):
        address = self.random.choice(self.addresses)
        raw = None if body is None else dumps(body).encode()
        try:
            response = self.pool.request(
                method,
                f'http://{address}{path}',
                body=raw,
                headers={'Content-Type': 'application/json'},
                **options,
            )
        except (ConnectTimeoutError, NewConnectionError) as error:
            raise PoplarrackError(
                ErrorKind.PLATFORM_UNAVAILABLE, str(error)
            ) from error
        except HTTPError as error:
            raise PoplarrackError(
                ErrorKind.OUTCOME_UNKNOWN, f'{path}: {error}'
            ) from error
        raise_for_status(path, response.status)
        return response


def raise_for_status(path, status):
    """Raise the error that a status of the store stands for."""
    if status != 200:
        kind = STATUS_KINDS.get(status, ErrorKind.OUTCOME_UNKNOWN)
        raise PoplarrackError(kind, f'{path}: status {status}')


class PlatformClient(StoreClient):
    """A blocking client; a node runs it on threads of its own."""

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
        """Read one key; return None when it is absent."""
        answer = self._range({'key': encode_base64(key)}, revision)
        return answer.items[0] if answer.items else None

    def write(self, compares, operations, lease_id=0):
        """Run a transaction once and say what became of it.

        A write whose answer is lost is settled by its identity: a key of
        its own, written with it, which a second try demands to be absent.

        :returns: the revision of the write.
        :raises PoplarrackError: CONFLICT when a compare failed,
            OUTCOME_UNKNOWN when no answer came until the last attempt.
        """
        write_key = WRITE_PREFIX + uuid4().hex
        id_lease = self.grant_lease(WRITE_ID_TTL_SECONDS)
        marked = (
            *operations,
            Operation(write_key, b'', lease_id or id_lease),
        )
        compares = (*compares, Compare(write_key, 0))
        for attempt in range(1, WRITE_ATTEMPTS + 1):
            try:
                return self._write_once(compares, marked, write_key)
            except PoplarrackError as error:
                last = error
            if last.kind not in _TRY_AGAIN:
                raise last
            if attempt < WRITE_ATTEMPTS:
                self.sleep(self.backoff.delay(attempt, self.random))
        raise PoplarrackError(
            ErrorKind.OUTCOME_UNKNOWN,
            f'no answer to a write after {WRITE_ATTEMPTS} attempts: '
            f'{last.detail}; read the setting back before trying again',
        )

    def put_unconditionally(self, operation):
        """Put a value that the next put replaces anyway, once."""
        body = {'success': [encode_operation(operation)]}
        self._call('/v3/kv/txn', body)

    def grant_lease(self, ttl_seconds):
        """Grant a lease and return its number."""
        answer = self._call('/v3/lease/grant', {'TTL': str(ttl_seconds)})
        return int(answer['ID'])

    def renew_lease(self, lease_id):
        """Renew a lease; return False when it lapsed."""
        answer = self._call('/v3/lease/keepalive', {'ID': str(lease_id)})
        return float(answer['result'].get('TTL', 0)) > 0

    def watch(self, prefix, revision) -> Iterator[WatchBatch]:
        """Yield batches of events after a revision until the stream ends.

        :raises PoplarrackError: COMPACTED when the revision is too old,
            PLATFORM_UNAVAILABLE when the stream breaks or falls silent.
        """
        request = {
            'key': encode_base64(prefix),
            'range_end': encode_base64(prefix_end(prefix)),
            'start_revision': str(revision + 1),
            'progress_notify': True,
        }
        response = self.request(
            'POST',
            '/v3/watch',
            {'create_request': request},
            preload_content=False,
            timeout=build_timeout(WATCH_SILENCE_SECONDS),
        )
        try:
            for line in _lines(response):
                self.bytes += len(line) + CHUNK_BYTES
                yield _unpack_batch(loads(line)['result'])
        except HTTPError as error:
            raise PoplarrackError(
                ErrorKind.PLATFORM_UNAVAILABLE, f'watch broke: {error}'
            ) from error
        finally:
            response.close()
        raise PoplarrackError(ErrorKind.PLATFORM_UNAVAILABLE, 'watch ended')

    def _range(self, body, revision):
        if revision:
            body['revision'] = str(revision)
        answer = self._call('/v3/kv/range', body)
        found = tuple(decode_key_value(item) for item in answer.get('kvs', ()))
        return RangeResponse(int(answer['header']['revision']), found)

    def _write_once(self, compares, operations, write_key):
        body = {
            'compare': [encode_compare(item) for item in compares],
            'success': [encode_operation(item) for item in operations],
        }
        answer = self._call('/v3/kv/txn', body)
        if answer.get('succeeded'):
            return int(answer['header']['revision'])
        mark = self.read_key(write_key)
        if mark is not None:
            return mark.mod_revision
        raise PoplarrackError(
            ErrorKind.CONFLICT, 'a setting changed since it was read'
        )

    def _call(self, path, body):
        response = self.request('POST', path, body)
        self.bytes += len(dumps(body)) + len(response.data) + HEADER_BYTES
        return loads(response.data)


_TRY_AGAIN = (
    ErrorKind.OUTCOME_UNKNOWN,
    ErrorKind.PLATFORM_UNAVAILABLE,
    ErrorKind.RATE_LIMITED,
)


def _lines(response):
    rest = b''
    for chunk in response.stream(amt=None):
        *whole, rest = (rest + chunk).split(b'\n')
        yield from whole


def _unpack_batch(result):
    if result.get('canceled'):
        raise PoplarrackError(ErrorKind.COMPACTED, 'watch was compacted')
    events = tuple(decode_event(item) for item in result.get('events', ()))
    return WatchBatch(int(result['header']['revision']), events)
