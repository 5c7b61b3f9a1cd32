"""Test the platform's client against the stand-in over real sockets."""

from contextlib import contextmanager
from dataclasses import replace
from json import dumps
from random import Random
from threading import Thread

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.etcd_json import encode_key_value
from poplarrack.fetchers import apply_events
from poplarrack.fetchers import Fetcher
from poplarrack.fetchers import HEAD_KEY
from poplarrack.fetchers import read_configuration
from poplarrack.platforms import CONFIGURATION_PREFIX
from poplarrack.platforms import PlatformClient
from poplarrack.retries import CircuitBreaker
from poplarrack.stand_ins.platforms import build_server
from poplarrack.stand_ins.platforms import PlatformStandIn
from poplarrack.stores import Compare
from poplarrack.stores import KeyValue
from poplarrack.stores import Operation
from poplarrack.stores import Store
from tests.support import assert_raises
from tests.support import build_load_tests
from tests.support import fixture

load_tests = build_load_tests(__name__)

KEY = CONFIGURATION_PREFIX + 't/services/front'


class Platform:
    """A stand-in on a server, and clients of it that do not sleep."""

    def __init__(self):
        self.now = 100.0
        self.stand_in = PlatformStandIn(clock=lambda: self.now)
        self.server = build_server(self.stand_in, ('127.0.0.1', 0), 8)
        self.server.prepare()
        self.thread = Thread(target=self.server.serve, daemon=True)
        self.thread.start()

    def client(self):
        """Build a client with a controlled clock and no delays."""
        host, port = self.server.bind_addr
        client = PlatformClient(
            [f'{host}:{port}'], Random(1), lambda: self.now
        )
        client.sleep = lambda seconds: None
        return client

    def set_faults(self, **faults):
        """Inject faults as a request to the stand-in's /faults does."""
        self.stand_in.faults = replace(self.stand_in.faults, **faults)


@fixture
@contextmanager
def platform():
    built = Platform()
    yield built
    built.stand_in.stop()
    built.server.stop()
    built.thread.join()


def put(client, value=b'1', revision=0, key=KEY):
    return client.write(
        [Compare(key, revision)],
        [Operation(key, value), Operation(HEAD_KEY, b'')],
    )


def test_a_write_demands_the_revision_that_was_read(platform):
    client = platform.client()
    first = put(client)
    assert_raises(ErrorKind.CONFLICT, put, client, b'2', 0)
    assert put(client, b'2', first) > first
    assert client.read_key(KEY).value == b'2'


def test_a_lost_answer_is_settled_without_a_second_write(platform):
    client = platform.client()
    platform.set_faults(lost_answers=1)
    revision = put(client)
    assert client.read_key(KEY).mod_revision == revision
    assert len(platform.stand_in.store.versions[KEY]) == 1


def test_a_write_without_any_answer_is_unknown(platform):
    client = platform.client()
    platform.set_faults(lost_answers=100)
    error = assert_raises(ErrorKind.OUTCOME_UNKNOWN, put, client)
    assert 'read the setting back' in error.detail
    assert len(platform.stand_in.store.versions[KEY]) == 1


def test_a_holder_that_was_paused_past_its_lease_writes_nothing(platform):
    paused, other = platform.client(), platform.client()
    lease = paused.grant_lease(5)
    revision = put(paused)
    platform.now += 60
    assert not paused.renew_lease(lease)
    put(other, b'other', revision)
    assert_raises(ErrorKind.CONFLICT, put, paused, b'mine', revision)
    assert other.read_key(KEY).value == b'other'


def test_leases_take_their_keys_along(platform):
    client = platform.client()
    lease = client.grant_lease(5)
    client.put_unconditionally(Operation('/poplarrack/zones/a', b'{}', lease))
    assert client.read_key('/poplarrack/zones/a')
    platform.now += 6
    assert client.read_key('/poplarrack/zones/a') is None


def test_an_outage_opens_the_circuit_and_closes_it_again(platform):
    client = platform.client()
    client.circuit = CircuitBreaker(threshold=2, open_seconds=5.0)
    platform.set_faults(outage=True)
    for _ in range(2):
        assert_raises(ErrorKind.PLATFORM_UNAVAILABLE, client.read_key, KEY)
    calls = client.calls
    assert_raises(ErrorKind.PLATFORM_UNAVAILABLE, client.read_key, KEY)
    assert client.calls == calls, 'a call was made while the circuit was open'
    platform.set_faults(outage=False)
    platform.now += 6
    assert client.read_key(KEY) is None


def test_a_platform_that_takes_no_connection_is_unavailable(platform):
    client = platform.client()
    platform.stand_in.stop()
    platform.server.stop()
    assert_raises(ErrorKind.PLATFORM_UNAVAILABLE, client.read_key, KEY)
    error = assert_raises(ErrorKind.PLATFORM_UNAVAILABLE, put, client)
    assert error.answer.exit_code == 18, (
        'nothing was sent: not OUTCOME_UNKNOWN'
    )


def test_rates_over_the_platforms_are_refused(platform):
    client = platform.client()
    platform.stand_in.read_limit.per_second = 3
    platform.stand_in.read_limit.tokens = 3
    for _ in range(3):
        client.read_key(KEY)
    assert_raises(ErrorKind.RATE_LIMITED, client.read_key, KEY)


def test_a_watch_brings_whole_transactions_and_removals(platform):
    client = platform.client()
    first = put(client)
    snapshot, revision = read_configuration(client)
    watch = client.watch(CONFIGURATION_PREFIX, revision)
    client.write(
        [Compare(KEY, first)],
        [
            Operation(KEY, None),
            Operation(CONFIGURATION_PREFIX + 't/services/b', b'2'),
            Operation(HEAD_KEY, b''),
        ],
    )
    batch = next(batch for batch in watch if batch.events)
    watch.close()
    assert len({event.mod_revision for event in batch.events}) == 1
    after = apply_events(snapshot, batch.events)
    assert list(after.entries) == ['t/services/b']
    assert after.revision == batch.events[0].mod_revision
    assert after == read_configuration(client)[0]


class WatchResponse:
    """A response to a watch that brings messages."""

    def __init__(self, *messages):
        self.messages = messages
        self.close = bool

    def stream(self, amt):
        """Yield each message as a line."""
        for message in self.messages:
            yield dumps({'result': message}).encode() + b'\n'


# A watch that lags behind gets the store's revision with older events: it
# went on after that revision once its connection broke, past other events.
def test_a_watch_continues_from_the_events_that_it_got():
    client = PlatformClient(['stand-in:0'], Random(1))
    event = {'kv': encode_key_value(KeyValue(KEY, b'1', 7, 7))}
    client.request = lambda *arguments, **options: WatchResponse(
        {'header': {'revision': '9'}, 'events': [event]},
        {'header': {'revision': '9'}},
    )
    watch = client.watch(CONFIGURATION_PREFIX, 5)
    assert [next(watch).revision, next(watch).revision] == [7, 9]


def test_a_fetcher_resumes_and_reads_again_after_compaction(platform):
    platform.stand_in.store.kept_revisions = 3
    client = platform.client()
    snapshots = []
    fetcher = Fetcher(
        client,
        lambda snapshot, read_at: snapshots.append(snapshot),
        lambda *result: None,
        Random(1),
    )
    revision = put(client)
    fetcher.resume_at = 1
    for number in range(6):
        revision = put(client, b'%d' % number, revision)
    try:
        fetcher.read_and_watch()
    except PoplarrackError as error:
        assert error.kind is ErrorKind.COMPACTED
        fetcher.on_error(error)
    assert fetcher.resume_at == 0, 'expected a read after a compacted watch'
    original = client.watch
    client.watch = lambda prefix, at: iter(())
    fetcher.read_and_watch()
    client.watch = original
    assert snapshots[-1].revision == revision


def test_a_store_keeps_revisions_within_its_bound():
    store = Store(kept_revisions=2)
    for number in range(5):
        store.transact((), [Operation('k', b'%d' % number)])
    assert_raises(ErrorKind.COMPACTED, store.get, 'k', 2)
    assert store.get('k', 5).value == b'3'
    assert_raises(
        ErrorKind.TOO_LARGE,
        store.transact,
        (),
        [Operation('k', b' ' * 1_000_001)],
    )


def test_a_fetcher_tries_again_within_a_second_however_long_it_failed():
    fetcher = Fetcher(None, print, lambda *result: None, Random(1))
    delays = []
    fetcher.stopped.wait = delays.append
    for _ in range(30):
        fetcher.on_error(PoplarrackError(ErrorKind.OUTCOME_UNKNOWN, 'away'))
    assert max(delays) <= 1.0
