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
from poplarrack.resources import encode_resource
from poplarrack.store_histories import history_of
from poplarrack.store_histories import place_revision
from poplarrack.store_histories import store_revision
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
    """The store's items at a revision, by key, and their Translation.

    ``history`` is the number of the store's history that they are from.
    """

    revision: int = 0
    history: int = 0
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
    which its caller has every event. Revisions that it returns begin with
    the store's history, as ``store_histories.py`` says. What it reads is of
    one history; where the store returns meanwhile, it is read again.
    """

    history_header = 'Store-Era'

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
            items, revision, _, _ = self._read_range(prefix)
            return RangeResponse(revision, tuple(items))
        items, revision, end, history = self._read_range(WATCHED_PREFIX)
        items_by_key = {item.key: item for item in items}
        if end != revision:
            # Pages are no snapshot: what came between them brings all items
            # to one revision.
            revision, events = self._wait_for_events(
                revision, history, CATCH_UP_WAIT_SECONDS
            )
            items_by_key = _apply(items_by_key, events)
        translation = translate(
            items_by_key, self.newest.translation, self._oldest_record(history)
        )
        if CONFIGURATION_KEY in translation.rejected:
            # An earlier configuration is not what the store has.
            translation = Translation(rejected=translation.rejected)
        self._keep(StoreState(revision, history, items_by_key, translation))
        return RangeResponse(
            revision,
            tuple(translation.translated.values()),
            translation.generation,
        )

    def _oldest_record(self, history):
        """Return the history from which on a move's record is up to date.

        A record that names none is of the first history, or was written
        before any node that runs knew of another one.
        """
        return 0 if history == self.histories.first else history

    def write(self, compares, operations, lease_id=0):
        """Write a move's record and status if the record is unchanged.

        :returns: the store's revision.
        :raises PoplarrackError: CONFLICT if the record has changed,
            OUTCOME_UNKNOWN without an answer; the next read shows the outcome.
        """
        current = self.histories.current
        expected, puts = [], []
        for compare in compares:
            key = record_key_of(compare.key)
            if not key:
                continue
            if compare.mod_revision and (
                history_of(compare.mod_revision) != current
            ):
                # The same number may stand on other content by now.
                raise PoplarrackError(
                    ErrorKind.CONFLICT,
                    f'{compare.key}: the store has returned from an older '
                    'copy since it was read',
                )
            revision = store_revision(compare.mod_revision)
            expected.append({'key': key, 'revision': revision})
        for operation in operations:
            key = record_key_of(operation.key)
            if key:
                move = _decode_move(operation)
                record = replace(
                    move, recorded_in=self._recorded_in(), outdated=False
                )
                puts.append(_build_put(key, encode_resource(record)))
                puts.append(_build_put(*build_status(move)))
        revision = self._transact(expected, puts)
        if current != self.histories.current:
            raise PoplarrackError(
                ErrorKind.OUTCOME_UNKNOWN,
                'the store returned from an older copy before the write',
            )
        return place_revision(current, revision)

    def _recorded_in(self):
        """Return what a record names as its history, 0 in the first one.

        Earlier builds take a record only without it.
        """
        newest = self.histories.newest or 0
        return newest if self.histories.current else 0

    def put_unconditionally(self, operation):
        """Put a value unconditionally, without a retry.

        The next put replaces the value anyway.
        """
        put = _build_put(operation.key, operation.value, operation.lease_id)
        self._transact([], [put])

    def grant_lease(self, ttl_seconds):
        """Grant a lease and return its id."""
        body = {'ttl_time': f'{int(ttl_seconds * 1000)}ms'}
        answer, _ = self._call('POST', '/-/kv-lease', body)
        return int(answer['lease'])

    def renew_lease(self, lease_id):
        """Renew a lease; return False if it has expired."""
        history = self.histories.newest
        try:
            answer, _ = self._call('POST', f'/-/kv-keep/{lease_id}', {})
        except PoplarrackError as error:
            if error.kind is ErrorKind.NOT_FOUND:
                return False
            raise
        # After a return, the id may be that of another node's lease.
        is_own = history == self.histories.newest or history is None
        return is_own and parse_duration(answer['ttl_time']) > 0

    def watch(self, prefix, revision):
        """Yield batches of poplarrack's events after a revision.

        :raises PoplarrackError: COMPACTED if the state at the revision is no
            longer kept, by this client or by the store.
        """
        state = self.threads.states.get(revision)
        if state is None or not self._is_current(state):
            raise PoplarrackError(
                ErrorKind.COMPACTED, f'revision {revision} is no longer kept'
            )
        while True:
            revision, events = self._wait_for_events(
                state.revision, state.history
            )
            after = _advance(
                state, revision, events, self._oldest_record(state.history)
            )
            self._keep(after)
            yield WatchBatch(
                after.revision,
                _difference(state.translation, after.translation),
                after.translation.generation,
            )
            state = after
            if events:
                self.sleep(WATCH_PAUSE_SECONDS)

    def _is_current(self, state):
        """Return whether a state's revision is placed in the newest history.

        Another node may have told of a history before the first known one.
        """
        histories = self.histories
        return histories.is_newest(state.history) and (
            history_of(state.revision) == histories.current
        )

    def _wait_for_events(
        self, revision, history, wait_seconds=WATCH_WAIT_SECONDS
    ):
        """Return the revision that a watch goes on from, and its events.

        :raises PoplarrackError: COMPACTED if the store has returned.
        """
        query = urlencode(
            {
                'prefix': WATCHED_PREFIX,
                'after': store_revision(revision),
                'wait_ms': int(wait_seconds * 1000),
            }
        )
        answer, answered_in = self._call(
            'GET',
            f'/-/kv-watch?{query}',
            timeout=build_timeout(wait_seconds + WATCH_MARGIN_SECONDS),
        )
        _check_same_history(history, answered_in)
        place = self.histories.count_from_first(history)
        events = [_unpack_event(item, place) for item in answer['events']]
        newest = place_revision(place, answer['store_revision'])
        return max(revision, newest), events

    def _keep(self, state):
        self.threads.keep(state)
        with self.lock:
            if state.revision >= self.newest.revision:
                self.newest = state

    def _read_range(self, prefix):
        """Return the items under a prefix, read page by page.

        :returns: the items, the store's revisions at the first and at the
            last page, and the number of its history. The pages are not one
            snapshot, so that a watch has to continue from the first.
        :raises PoplarrackError: COMPACTED if the store returned meanwhile.
        """
        items, after, first, history = [], '', 0, None
        while True:
            query = {'prefix': prefix}
            if after:
                query['after'] = after
            page, answered_in = self._call(
                'GET', f'/-/kv-range?{urlencode(query)}'
            )
            if history is None:
                history = answered_in
            _check_same_history(history, answered_in)
            place = self.histories.count_from_first(history)
            items += [_unpack_item(item, place) for item in page['items']]
            end = place_revision(place, page['store_revision'])
            first = first or end
            if not page['has_more']:
                return items, first, end, history
            after = items[-1].key

    def _transact(self, expected, puts):
        body = {'expected_revision': expected, 'puts': puts, 'deletes': []}
        answer, _ = self._call('POST', '/-/kv-txn', body)
        return int(answer['revision'])

    def _call(self, method, path, body=None, **options):
        """Make a call.

        :returns: the decoded answer, and the number of the store's history.
        :raises PoplarrackError: OUTCOME_UNKNOWN for an answer of an earlier
            history, which says nothing of the newest one.
        """
        response = self.request(method, path, body, **options)
        self.count_bytes(len(response.data) + ESTIMATED_HEADER_BYTES)
        if not self.histories.is_newest(response.history):
            raise PoplarrackError(
                ErrorKind.OUTCOME_UNKNOWN,
                f'{path}: answered in the history {response.history}, the '
                f'store is in {self.histories.newest}',
            )
        try:
            return loads(response.data), response.history
        except (ValueError, RecursionError) as error:
            raise PoplarrackError(
                ErrorKind.OUTCOME_UNKNOWN, f'{path}: {error}'
            ) from error


def _check_same_history(expected, found):
    if found != expected:
        raise PoplarrackError(
            ErrorKind.COMPACTED,
            f'the store returned: history {found} in place of {expected}',
        )


def _build_put(key, value, lease_id=0):
    return {'key': key, 'value': encode_base64(value), 'lease': lease_id}


def _decode_move(operation):
    service = operation.key.rpartition('/')[2]
    return decode_resource(f'{TEAM}/moves/{service}', operation.value)


def _unpack_item(item, history):
    return KeyValue(
        item['key'],
        decode_base64(item['value']),
        place_revision(history, item['created']),
        place_revision(history, item['revision']),
        item.get('lease', 0),
    )


def _unpack_event(event, history):
    if event.get('deleted'):
        revision = place_revision(history, event['revision'])
        return KeyValue(event['key'], None, 0, revision)
    return _unpack_item(event, history)


def _apply(items, events):
    """Return the items after events; a deleted key stays without a value.

    The revision of the deletion is needed, so that the version without the
    key counts as newer.
    """
    return {**items, **{event.key: event for event in events}}


def _advance(state, revision, events, oldest_record):
    """Return the StoreState at a later revision, after some events."""
    if not events:
        return replace(state, revision=revision)
    items = _apply(state.items, events)
    translation = translate(items, state.translation, oldest_record)
    return StoreState(revision, state.history, items, translation)


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
