"""Access the platform's store through the interface of PlatformClient."""

from collections import OrderedDict
from json import loads
import time
from urllib.parse import urlencode

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.etcd_json import decode_base64
from poplarrack.etcd_json import encode_base64
from poplarrack.platform.configurations import build_status
from poplarrack.platform.configurations import record_key_of
from poplarrack.platform.configurations import TEAM
from poplarrack.platform.configurations import Translator
from poplarrack.platform.configurations import WATCHED_PREFIX
from poplarrack.platform.settings import parse_duration
from poplarrack.platforms import build_timeout
from poplarrack.platforms import CONFIGURATION_PREFIX
from poplarrack.platforms import RangeResponse
from poplarrack.platforms import StoreClient
from poplarrack.platforms import WatchBatch
from poplarrack.resources import decode_resource
from poplarrack.stores import KeyValue

# How long a watch waits for an event. A connection that fails silently is
# detected after this time and the margin, which together stay below the time
# after which the platform's rules count a node as in touch again.
WATCH_WAIT_SECONDS = 2.0
# How much longer than its wait the answer to a watch may take to arrive.
WATCH_MARGIN_SECONDS = 1.0
# Pause between watches, so that changes in quick succession are batched.
WATCH_PAUSE_SECONDS = 0.5
# Counted for the headers of each response in addition to its body.
ESTIMATED_HEADER_BYTES = 300
# Revisions whose items a client keeps for its watches.
MAX_KEPT_REVISIONS = 8


class PlatformStoreClient(StoreClient):
    """A blocking client with the methods of PlatformClient."""

    def __init__(self, addresses, sleep=time.sleep):
        super().__init__(addresses)
        self.sleep = sleep
        self.translator = Translator()
        self.rejected_entries = self.translator.rejected
        # The store's items at the revisions that a watch may continue from.
        self.items_by_revision = OrderedDict()

    def read_prefix(self, prefix, revision=0):
        """Read all keys under a prefix.

        :param revision: ignored; the store has no reads of old revisions.
        :returns: a RangeResponse.
        """
        if prefix != CONFIGURATION_PREFIX:
            items, revision = self._read_range(prefix)
            return RangeResponse(revision, tuple(items))
        items, revision = self._read_range(WATCHED_PREFIX)
        items_by_key = {item.key: item for item in items}
        self._keep(revision, items_by_key)
        return RangeResponse(
            revision, tuple(self.translator.translate(items_by_key).values())
        )

    def write(self, compares, operations, lease_id=0):
        """Write a move's record and status if the record is unchanged.

        :returns: the store's revision.
        :raises PoplarrackError: CONFLICT if the record has changed,
            OUTCOME_UNKNOWN without an answer; the next read shows the outcome.
        """
        expected, puts = [], []
        for compare in compares:
            key = record_key_of(compare.key)
            if key:
                expected.append({'key': key, 'revision': compare.mod_revision})
        for operation in operations:
            key = record_key_of(operation.key)
            if key:
                puts.append(_build_put(key, operation.value))
                puts.append(_build_put(*build_status(_decode_move(operation))))
        return self._transact(expected, puts)

    def put_unconditionally(self, operation):
        """Put a value unconditionally, without a retry.

        The next put replaces the value anyway.
        """
        put = _build_put(operation.key, operation.value, operation.lease_id)
        self._transact([], [put])

    def grant_lease(self, ttl_seconds):
        """Grant a lease and return its id."""
        body = {'ttl_time': f'{int(ttl_seconds * 1000)}ms'}
        return int(self._call('POST', '/-/kv-lease', body)['lease'])

    def renew_lease(self, lease_id):
        """Renew a lease; return False if it has expired."""
        try:
            answer = self._call('POST', f'/-/kv-keep/{lease_id}', {})
        except PoplarrackError as error:
            if error.kind is ErrorKind.NOT_FOUND:
                return False
            raise
        return parse_duration(answer['ttl_time']) > 0

    def watch(self, prefix, revision):
        """Yield batches of poplarrack's events after a revision.

        :raises PoplarrackError: COMPACTED if the state at the revision is no
            longer kept, by this client or by the store.
        """
        items_by_key = self.items_by_revision.get(revision)
        if items_by_key is None:
            raise PoplarrackError(
                ErrorKind.COMPACTED, f'revision {revision} is no longer kept'
            )
        translated = self.translator.translate(items_by_key)
        while True:
            answer = self._wait_for_events(revision)
            events = [_unpack_event(item) for item in answer['events']]
            revision = max(revision, answer['store_revision'])
            items_by_key = _apply(items_by_key, events)
            changed = (
                self.translator.translate(items_by_key)
                if events
                else translated
            )
            self._keep(revision, items_by_key)
            yield WatchBatch(revision, _difference(translated, changed))
            translated = changed
            if events:
                self.sleep(WATCH_PAUSE_SECONDS)

    def _wait_for_events(self, revision):
        query = urlencode(
            {
                'prefix': WATCHED_PREFIX,
                'after': revision,
                'wait_ms': int(WATCH_WAIT_SECONDS * 1000),
            }
        )
        max_silence_seconds = WATCH_WAIT_SECONDS + WATCH_MARGIN_SECONDS
        return self._call(
            'GET',
            f'/-/kv-watch?{query}',
            timeout=build_timeout(max_silence_seconds),
        )

    def _keep(self, revision, items_by_key):
        self.items_by_revision[revision] = items_by_key
        self.items_by_revision.move_to_end(revision)
        while len(self.items_by_revision) > MAX_KEPT_REVISIONS:
            self.items_by_revision.popitem(last=False)

    def _read_range(self, prefix):
        """Return the items under a prefix and the revision to watch from.

        The pages are not one snapshot, so that a watch has to continue from
        the revision of the first page.
        """
        items, after, revision = [], '', 0
        while True:
            query = {'prefix': prefix}
            if after:
                query['after'] = after
            page = self._call('GET', f'/-/kv-range?{urlencode(query)}')
            items += [_unpack_item(item) for item in page['items']]
            revision = revision or page['store_revision']
            if not page['has_more']:
                return items, revision
            after = items[-1].key

    def _transact(self, expected, puts):
        body = {'expected_revision': expected, 'puts': puts, 'deletes': []}
        return int(self._call('POST', '/-/kv-txn', body)['revision'])

    def _call(self, method, path, body=None, **options):
        response = self.request(method, path, body, **options)
        self.bytes += len(response.data) + ESTIMATED_HEADER_BYTES
        try:
            return loads(response.data)
        except (ValueError, RecursionError) as error:
            raise PoplarrackError(
                ErrorKind.OUTCOME_UNKNOWN, f'{path}: {error}'
            ) from error


def _build_put(key, value, lease_id=0):
    return {'key': key, 'value': encode_base64(value), 'lease': lease_id}


def _decode_move(operation):
    service = operation.key.rpartition('/')[2]
    return decode_resource(f'{TEAM}/moves/{service}', operation.value)


def _unpack_item(item):
    return KeyValue(
        item['key'],
        decode_base64(item['value']),
        item['created'],
        item['revision'],
        item.get('lease', 0),
    )


def _unpack_event(event):
    if event.get('deleted'):
        return KeyValue(event['key'], None, 0, event['revision'])
    return _unpack_item(event)


def _apply(items_by_key, events):
    """Return the items after events; a deleted key stays without a value.

    The revision of the deletion is needed, so that the version without the
    key counts as newer.
    """
    return {**items_by_key, **{event.key: event for event in events}}


def _difference(before, after):
    """Return the events that turn one set of items into another."""
    changed = [item for key, item in after.items() if before.get(key) != item]
    newest = max((item.mod_revision for item in after.values()), default=0)
    removed = [
        KeyValue(key, None, 0, newest) for key in before if key not in after
    ]
    return (*changed, *removed)
