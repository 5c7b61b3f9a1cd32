"""Test that a revision of the store stands for one content, on any thread.

A node compares configurations by their revisions first. Content that is read
under a revision that isn't its own stays in force until the next change.
"""

from concurrent.futures import ThreadPoolExecutor
from functools import partial
from json import dumps
from threading import Event
from unittest.mock import patch

from poplarrack.configurations import load_configuration
from poplarrack.errors import ErrorKind
from poplarrack.etcd_json import encode_base64
from poplarrack.fetchers import apply_events
from poplarrack.fetchers import build_fetcher
from poplarrack.fetchers import Fetcher
from poplarrack.fetchers import read_configuration
from poplarrack.knowledge import apply_snapshot
from poplarrack.knowledge import Knowledge
from poplarrack.platform import configurations
from poplarrack.platform.store_client import PlatformStoreClient
from poplarrack.platforms import CONFIGURATION_PREFIX
from poplarrack.snapshots import Snapshot
from tests.store_stand_in import running_store
from tests.support import assert_raises
from tests.support import build_load_tests
from tests.support import fixture
from tests.test_platform_adapter import CONFIG
from tests.test_platform_adapter import ORDER
from tests.test_platform_adapter import ROUTE

load_tests = build_load_tests(__name__)

WAIT_SECONDS = 20.0


@fixture
def store():
    return running_store()


def client_of(address):
    return PlatformStoreClient([address], sleep=lambda seconds: None)


def config(**changes):
    """Return a configuration whose first route has other values."""
    routes = {**CONFIG['routes'], 'r-1': {**ROUTE, **changes}}
    return {**CONFIG, 'routes': routes}


class PausedTranslation:
    """Pauses the first translation of a configuration until it is let go."""

    def __init__(self):
        self.original = configurations._translate_configuration
        self.begun = Event()
        self.let_go = Event()

    def __call__(self, item, faults):
        """Translate an item; the first call waits."""
        if not self.begun.is_set():
            self.begun.set()
            assert self.let_go.wait(WAIT_SECONDS)
        return self.original(item, faults)


def play_beside(first, second):
    """Run ``second`` while ``first``, on another thread, translates."""
    paused = PausedTranslation()
    with (
        patch.object(configurations, '_translate_configuration', paused),
        ThreadPoolExecutor(1) as pool,
    ):
        result = pool.submit(first)
        assert paused.begun.wait(WAIT_SECONDS)
        try:
            other = second()
        finally:
            paused.let_go.set()
        return result.result(WAIT_SECONDS), other


# A second thread took the revision for translated while the first one still
# did it, and got the old content under the new revision.
def test_two_threads_read_the_same_content_at_a_revision(store):
    stand_in, address = store
    stand_in.put('op/config', CONFIG)
    client = client_of(address)
    before, _ = read_configuration(client)
    stand_in.put('op/config', config(timeout='7s'))
    one, other = play_beside(
        lambda: read_configuration(client)[0],
        lambda: read_configuration(client)[0],
    )
    assert one.revision == other.revision > before.revision
    assert one == other
    timeouts = {r.timeout_seconds for r in load_configuration(other).routes}
    assert 7.0 in timeouts


# The same of a watch, beside which another thread reads the change.
def test_a_watch_and_a_read_bring_the_same_content(store):
    stand_in, address = store
    stand_in.put('op/config', CONFIG)
    client = client_of(address)
    before, revision = read_configuration(client)
    watch = client.watch(CONFIGURATION_PREFIX, revision)
    stand_in.put('op/rollout/front', ORDER)
    before = apply_events(before, next(watch).events)
    stand_in.put('op/config', config(timeout='7s'))
    one, other = play_beside(
        lambda: read_configuration(client)[0],
        lambda: apply_events(before, next(watch).events),
    )
    assert one == other
    assert other.revision > before.revision


def change_after_first_page(client, change):
    """Call a function once, after the client's first read of a page."""
    request = client.request

    def request_and_change(method, target, *arguments, **options):
        response = request(method, target, *arguments, **options)
        if 'kv-range' in target:
            client.request = request
            change()
        return response

    client.request = request_and_change


# An item of the first page changed, and then one of the second page was read
# with a newer revision: the old value was read under the newer revision, and
# the watch then brought the new value under the same one.
def test_pages_that_change_while_they_are_read_are_one_state(store):
    stand_in, address = store
    stand_in.page_size = 1
    stand_in.put('op/config', CONFIG)
    stand_in.put('op/rollout/front', ORDER)
    client = client_of(address)

    def change():
        stand_in.put('op/config', config(timeout='7s'))
        stand_in.put('op/rollout/front', {**ORDER, 'target_version': 'v3'})

    change_after_first_page(client, change)
    snapshot, revision = read_configuration(client)
    again, _ = read_configuration(client_of(address))
    assert snapshot == again
    stand_in.put('op/rollout/back', {**ORDER, 'service': 'back'})
    batch = next(client.watch(CONFIGURATION_PREFIX, revision))
    after = apply_events(snapshot, batch.events)
    assert after.revision > snapshot.revision
    assert after == read_configuration(client_of(address))[0]


# A read whose pages lack what was deleted meanwhile had an older revision
# than the watch of another node.
def test_a_deletion_between_pages_counts(store):
    stand_in, address = store
    stand_in.page_size = 1
    stand_in.put('op/config', CONFIG)
    stand_in.put('op/rollout/front', ORDER)
    client, other = client_of(address), client_of(address)
    before, revision = read_configuration(other)
    change_after_first_page(
        client, lambda: stand_in.delete('op/rollout/front')
    )
    snapshot, _ = read_configuration(client)
    batch = next(other.watch(CONFIGURATION_PREFIX, revision))
    assert snapshot == apply_events(before, batch.events)


# An earlier configuration that the client had kept would be put in force as
# what the store has, in place of a newer one that the node got from others.
def test_a_read_puts_no_earlier_configuration_in_place_of_an_odd_one(store):
    stand_in, address = store
    stand_in.put('op/config', CONFIG)
    stand_in.put('op/rollout/front', ORDER)
    client = client_of(address)
    read_configuration(client)
    stand_in.put('op/config', 7)
    snapshot, revision = read_configuration(client)
    assert snapshot == Snapshot()
    assert set(client.rejected_entries) >= {'op/config'}
    watch = client.watch(CONFIGURATION_PREFIX, revision)
    stand_in.put('op/config', config(timeout='7s'))
    batch = next(watch)
    snapshot = apply_events(snapshot, batch.events, batch.generation)
    assert snapshot == read_configuration(client_of(address))[0]
    assert not client.rejected_entries


def follow(store, *changes):
    """Return the Knowledge of a node that reads the store, then watches it.

    It holds what the store had first.

    :param changes: functions of the StoreStandIn; the first is called before
        the node reads.
    """
    stand_in, address = store
    stand_in.put('op/config', CONFIG)
    held, read_at = read_configuration(client_of(address))
    knowledge = apply_snapshot(Knowledge(), held, read_at)
    client = client_of(address)
    changes[0](stand_in)
    snapshot, revision = read_configuration(client)
    knowledge = apply_snapshot(knowledge, snapshot, revision)
    watch = client.watch(CONFIGURATION_PREFIX, revision)
    for change in changes[1:]:
        change(stand_in)
        batch = next(watch)
        snapshot = apply_events(snapshot, batch.events, batch.generation)
        knowledge = apply_snapshot(knowledge, snapshot)
    return knowledge


def put_odd(stand_in):
    stand_in.put('op/config', 7)


def evacuate(stand_in):
    stand_in.put('op/evacuate/a', {})


def delete(stand_in):
    stand_in.delete('op/config')


def put_again(stand_in):
    stand_in.put('op/config', config(timeout='7s'))


# DENIED: where no configuration could be used, an evacuation put one without
# routes in force, so that all requests got 404.
def test_a_node_keeps_its_routes_while_the_store_has_none_to_use(store):
    orders = (
        (put_odd, evacuate),
        (evacuate, put_odd),
        (put_odd, evacuate, delete),
        (evacuate, delete),
        (delete, evacuate),
    )
    for changes in orders:
        names = [change.__name__ for change in changes]
        configuration = follow(store, *changes).configuration
        assert len(configuration.routes) == 2, names
        configuration = follow(store, *changes, put_again).configuration
        timeouts = {route.timeout_seconds for route in configuration.routes}
        assert 7.0 in timeouts, names
        assert configuration.evacuated_zones == {'a'}, names
        store[0].delete('op/evacuate/a')


# DENIED: the copy that a store returned to held an evacuation and no
# configuration yet.
def test_a_copy_from_before_the_configuration_drops_no_routes(store):
    stand_in, address = store
    evacuate(stand_in)
    stand_in.save()
    stand_in.put('op/config', CONFIG)
    client = client_of(address)
    knowledge = apply_snapshot(Knowledge(), *read_configuration(client))
    stand_in.go_back()
    stand_in.put('op/evacuate/b', {})
    assert_raises(
        ErrorKind.COMPACTED,
        next,
        client.watch(CONFIGURATION_PREFIX, client.newest.revision),
    )
    snapshot, revision = read_configuration(client)
    knowledge = apply_snapshot(knowledge, snapshot, revision)
    assert len(knowledge.configuration.routes) == 2
    put_again(stand_in)
    batch = next(client.watch(CONFIGURATION_PREFIX, revision))
    snapshot = apply_events(snapshot, batch.events, batch.generation)
    knowledge = apply_snapshot(knowledge, snapshot)
    assert 7.0 in timeouts_of(knowledge.configuration.snapshot)


class RecordingNode:
    """Records what a fetcher reports."""

    def __init__(self):
        self.snapshots = []
        self.results = []

    def on_snapshot(self, snapshot, read_at):
        """Record a snapshot."""
        self.snapshots.append(snapshot)

    def record_platform_call(self, succeeded, detail):
        """Record the result of a call."""
        self.results.append((succeeded, detail))


# CONFIG, DENIED: a fetcher that the store turned away said before each try
# that the store had answered. No other node took over, so that a mesh whose
# fetchers were turned away stayed on its version; keys that may be revoked
# passed for fresh.
def test_a_fetcher_that_is_turned_away_never_says_that_the_store_answers(
    store,
):
    stand_in, address = store
    stand_in.put('op/config', CONFIG)
    results, delays = [], []

    def stop_in_time(seconds):
        delays.append(seconds)
        if len(delays) == 4:
            fetcher.stop()

    fetcher = Fetcher(
        client_of(address),
        lambda *read: setattr(stand_in, 'failure_status', 503),
        lambda succeeded, detail: results.append(succeeded),
    )
    fetcher.stopped.wait = stop_in_time
    fetcher.run()
    assert results == [True] + [False] * 4, results


# CONFIG, DENIED: each version comes whole through the watch. After a time in
# which many were written, a watch that was resumed had an answer that was too
# long to be read; each further try had a longer one.
def test_a_fetcher_catches_up_with_more_versions_than_an_answer_holds(store):
    stand_in, address = store
    stand_in.put('op/config', CONFIG)
    held, delays = [], []

    def fall_behind(snapshot, read_at):
        held.append(snapshot)
        if len(held) == 1:
            stand_in.failure_status = 503
        elif 9.0 in timeouts_of(snapshot):
            fetcher.stop()

    def write_meanwhile(seconds):
        delays.append(seconds)
        stand_in.failure_status = 0
        for timeout in range(2, 10):
            stand_in.put('op/config', config(timeout=f'{timeout}s'))
        if len(delays) == 4:
            fetcher.stop()

    fetcher = Fetcher(client_of(address), fall_behind, lambda *result: None)
    fetcher.stopped.wait = write_meanwhile
    most = 3 * len(encode_base64(dumps(CONFIG).encode()))
    with patch('poplarrack.platforms.MAX_RESPONSE_BYTES', most):
        fetcher.run()
    assert 9.0 in timeouts_of(held[-1]), len(delays)


def timeouts_of(snapshot):
    routes = load_configuration(snapshot).routes
    return {route.timeout_seconds for route in routes}


class RecordingLoop:
    """Keeps calls until they are run, as an event loop does."""

    def __init__(self):
        self.calls = []

    def call_soon_threadsafe(self, function, *arguments):
        """Keep a call."""
        self.calls.append(partial(function, *arguments))

    def run(self):
        """Run the calls that were kept."""
        calls, self.calls = self.calls, []
        for call in calls:
            call()


def stop_after(fetcher, path):
    """Stop a fetcher as soon as a call of its client is answered."""
    request = fetcher.client.request

    def request_and_stop(method, target, *arguments, **options):
        response = request(method, target, *arguments, **options)
        if path in target:
            fetcher.stop()
        return response

    fetcher.client.request = request_and_stop


def fetch_until_stopped(store, path):
    """Run a fetcher that is stopped at a call; the store then changes.

    :returns: the snapshots that it brought.
    """
    stand_in, address = store
    node, loop = RecordingNode(), RecordingLoop()
    fetcher = build_fetcher(client_of(address), node, loop)
    stop_after(fetcher, path)
    bring = fetcher.on_snapshot

    def bring_and_change(*arguments):
        bring(*arguments)
        loop.run()
        stand_in.put('op/rollout/front', ORDER)

    fetcher.on_snapshot = bring_and_change
    fetcher.run()
    loop.run()
    return node.snapshots


# A fetcher that was stopped in a watch of up to 4 s still brought what it
# found then, beside the fetcher that was started after it.
def test_a_stopped_fetcher_brings_nothing_more(store):
    stand_in, _ = store
    stand_in.put('op/config', CONFIG)
    assert len(fetch_until_stopped(store, 'kv-range')) == 0
    assert len(fetch_until_stopped(store, 'kv-watch')) == 1


# It was stopped while what it had found was on its way to the event loop.
def test_what_a_stopped_fetcher_found_before_is_dropped():
    node, loop = RecordingNode(), RecordingLoop()
    fetcher = build_fetcher(None, node, loop)
    fetcher.on_platform_result(True, '')
    loop.run()
    fetcher.on_snapshot(Snapshot(), 0)
    fetcher.on_platform_result(False, 'away')
    fetcher.stop()
    loop.run()
    assert node.snapshots == [] and node.results == [(True, '')]
