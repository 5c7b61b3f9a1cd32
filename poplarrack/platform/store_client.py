"""Access the platform's store through the interface of PlatformClient."""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from json import loads
from threading import local
import time
from urllib.parse import urlencode

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.etcd_json import decode_base64
from poplarrack.etcd_json import encode_base64
from poplarrack.platform.configurations import build_status
from poplarrack.platform.configurations import CONFIGURATION_KEY
from poplarrack.platform.configurations import record_key_of
from poplarrack.platform.configurations import TEAM
from poplarrack.platform.configurations import translate
from poplarrack.platform.configurations import Translation
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
# The least wait of a watch that is only asked for what has happened.
CATCH_UP_WAIT_SECONDS = 0.001
# Pause between watches, so that changes in quick succession are batched.
WATCH_PAUSE_SECONDS = 0.5
# Counted for the headers of each response in addition to its body.
ESTIMATED_HEADER_BYTES = 300
# Revisions whose items a client keeps for its watches.
MAX_KEPT_REVISIONS = 8


@dataclass(frozen=True)
class StoreState:
    """The store's items at a revision, by key, and their Translation."""

    revision: int = 0
    items: Mapping[str, KeyValue] = field(default_factory=dict)
    translation: Translation = field(default_factory=Translation)


class ThreadStates(local):
    """The states at the revisions that a thread's watch may continue from."""

    def __init__(self):
        self.states = OrderedDict()

    def keep(self, state):
        """Add a state and evict the oldest ones over the maximum."""
        self.states[state.revision] = state
        self.states.move_to_end(state.revision)
        while len(self.states) > MAX_KEPT_REVISIONS:
            self.states.popitem(last=False)


class PlatformStoreClient(StoreClient):
    """A blocking client with the methods of PlatformClient.

    A thread's watch continues from a state that the same thread has read, of
    which its caller has every event.
    """

    def __init__(self, addresses, sleep=time.sleep):
        super().__init__(addresses)
        self.sleep = sleep
        self.threads = ThreadStates()
        self.newest = StoreState()

    @property
    def rejected_entries(self):
        """Return the revision and the fault of left out entries by key."""
        return self.newest.translation.rejected

    def read_prefix(self, prefix, revision=0):
        """Read all keys under a prefix.

        :param revision: ignored; the store has no reads of old revisions.
        :returns: a RangeResponse.
        """
        if prefix != CONFIGURATION_PREFIX:
            items, revision, _ = self._read_range(prefix)
            return RangeResponse(revision, tuple(items))
        items, revision, end = self._read_range(WATCHED_PREFIX)
        items_by_key = {item.key: item for item in items}
        if end != revision:
            # Pages are no snapshot: what came between them brings all items
            # to one revision.
            revision, events = self._wait_for_events(
                revision, CATCH_UP_WAIT_SECONDS
            )
            items_by_key = _apply(items_by_key, events)
        translation = translate(items_by_key, self.newest.translation)
        if CONFIGURATION_KEY in translation.rejected:
            # An earlier configuration is not what the store has.
            translation = Translation(rejected=translation.rejected)
        self._keep(StoreState(revision, items_by_key, translation))
        return RangeResponse(revision, tuple(translation.translated.values()))

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
        state = self.threads.states.get(revision)
        if state is None:
            raise PoplarrackError(
                ErrorKind.COMPACTED, f'revision {revision} is no longer kept'
            )
        while True:
            revision, events = self._wait_for_events(state.revision)
            after = _advance(state, revision, events)
            self._keep(after)
            yield WatchBatch(
                after.revision,
                _difference(state.translation, after.translation),
            )
            state = after
            if events:
                self.sleep(WATCH_PAUSE_SECONDS)

    def _wait_for_events(self, revision, wait_seconds=WATCH_WAIT_SECONDS):
        """Return the revision that a watch goes on from, and its events."""
        query = urlencode(
            {
                'prefix': WATCHED_PREFIX,
                'after': revision,
                'wait_ms': int(wait_seconds * 1000),
            }
        )
        answer = self._call(
            'GET',
            f'/-/kv-watch?{query}',
            timeout=build_timeout(wait_seconds + WATCH_MARGIN_SECONDS),
        )
        events = [_unpack_event(item) for item in answer['events']]
        return max(revision, answer['store_revision']), events

    def _keep(self, state):
        self.threads.keep(state)
        with self.lock:
            if state.revision >= self.newest.revision:
                self.newest = state

    def _read_range(self, prefix):
        """Return the items under a prefix, read page by page.

        :returns: the items, and the store's revisions at the first and at
            the last page. The pages are not one snapshot, so that a watch
            has to continue from the first.
        """
        items, after, first = [], '', 0
        while True:
            query = {'prefix': prefix}
            if after:
                query['after'] = after
            page = self._call('GET', f'/-/kv-range?{urlencode(query)}')
            items += [_unpack_item(item) for item in page['items']]
            first = first or page['store_revision']
            if not page['has_more']:
                return items, first, page['store_revision']
            after = items[-1].key

    def _transact(self, expected, puts):
        body = {'expected_revision': expected, 'puts': puts, 'deletes': []}
        return int(self._call('POST', '/-/kv-txn', body)['revision'])

    def _call(self, method, path, body=None, **options):
        response = self.request(method, path, body, **options)
        self.count_bytes(len(response.data) + ESTIMATED_HEADER_BYTES)
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


def _apply(items, events):
    """Return the items after events; a deleted key stays without a value.

    The revision of the deletion is needed, so that the version without the
    key counts as newer.
    """
    return {**items, **{event.key: event for event in events}}


def _advance(state, revision, events):
    """Return the StoreState at a later revision, after some events."""
    if not events:
        return replace(state, revision=revision)
    items = _apply(state.items, events)
    return StoreState(revision, items, translate(items, state.translation))


def _difference(before, after):
    """Return the events that turn one Translation into another."""
    if before is after:
        return ()
    before, after = before.translated, after.translated
    changed = [item for key, item in after.items() if before.get(key) != item]
    newest = max((item.mod_revision for item in after.values()), default=0)
    removed = [
        KeyValue(key, None, 0, newest) for key in before if key not in after
    ]
    return (*changed, *removed)
