"""Test the translation between the platform's formats and poplarrack's."""

import ast
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from json import dumps
from json import loads
from pathlib import Path
import re

import poplarrack
from poplarrack.configurations import load_configuration
from poplarrack.decisions import WriteMove
from poplarrack.errors import ErrorKind
from poplarrack.executors import move_transaction
from poplarrack.fetchers import read_configuration
from poplarrack.fetchers import snapshot_from_items
from poplarrack.organisations import build_key_index
from poplarrack.organisations import StaleKeys
from poplarrack.platform.configurations import translate
from poplarrack.platform.configurations import Translation
from poplarrack.platform.heartbeats import decode_born
from poplarrack.platform.heartbeats import decode_heartbeat
from poplarrack.platform.settings import parse_duration
from poplarrack.platform.settings import parse_settings
from poplarrack.platform.store_client import PlatformStoreClient
from poplarrack.platform.store_client import WATCH_WAIT_SECONDS
from poplarrack.platforms import build_timeout
from poplarrack.platforms import CALL_TIMEOUT_SECONDS
from poplarrack.platforms import CONFIGURATION_PREFIX
from poplarrack.platforms import CONNECT_TIMEOUT_SECONDS
from poplarrack.platforms import ZONE_PREFIX
from poplarrack.resources import MoveState
from poplarrack.stores import KeyValue
from poplarrack.stores import Operation
from tests.store_stand_in import running_store
from tests.support import assert_raises
from tests.support import build_load_tests
from tests.support import fixture

load_tests = build_load_tests(__name__)

ROUTE = {
    'host': 'Shop.example',
    'prefix': '/a/',
    'route_type': 'safe',
    'timeout': '1200ms',
    'target_latency': '0.4s',
    'priority': 2,
    'backends': [
        {'service': 'front', 'weight': 90},
        {'service': 'back', 'weight': 10},
    ],
    'max_attempts': 2,
}
CONFIG = {
    'version': 'r7',
    'routes': {
        'r-1': ROUTE,
        'r-2': {
            **ROUTE,
            'prefix': '/b/',
            'route_type': 'unsafe',
            'backends': None,
            'service': 'front',
        },
    },
    'services': {
        'front': {'health_path': '/h', 'max_connections': 90},
        'back': {'health_path': '/h', 'max_connections': 90},
    },
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 67108864,
        'header_timeout': '3000ms',
        'idle_timeout': '15s',
    },
}
# The greatest value that the platform's store takes.
STORE_VALUE_BYTES = 1_048_576
ORDER = {'service': 'front', 'target_version': 'v2', 'duration': '12s'}
SETTINGS = '''
node_name = "sidecar-a-1"
ip = "10.1.0.35"
zone = "a"
region = "south"
heartbeat = "1500ms"
app_addr = "10.1.0.35:8147"
service = "front"
something_new = 3
[listen]
inbound = "10.1.0.35:8145"
outbound = "10.1.0.35:8141"
ready = "10.1.0.35:8140"
control = "10.1.0.35:8146"
[limits]
max_fds = 4100
[bounds]
grace = "6s"
retry_budget_ratio = 0.2
retry_budget_slack = 56
budget_window = "10s"
exposure_share = 0.1
exposure_slack = 50
[platform]
address = "10.200.1.7:8142"
'''
HEARTBEAT = {
    'address': '10.1.0.35:8147',
    'info': {'service': 'front', 'version': 'v1', 'zone': 'a', 'slots': 9},
    'status': {'state': 'ready', 'sequence': 4, 'cold_left': '250ms'},
    'born': 1700000000000,
}


@fixture
def store():
    return running_store()


@dataclass(frozen=True)
class Answer:
    status: int
    data: bytes
    headers: dict = field(default_factory=dict)

    def stream(self, size):
        yield self.data


def client_of(address):
    return PlatformStoreClient([address], sleep=lambda seconds: None)


def test_settings_are_decoded_and_unknown_ones_ignored():
    settings = parse_settings(SETTINGS)
    assert settings.node_id == 'sidecar-a-1'
    assert settings.peer_address == '10.1.0.35:8145'
    assert settings.call_address == '10.1.0.35:8141'
    assert settings.grace_seconds == 6.0
    assert settings.retry_budget_ratio == 0.2
    assert settings.retry_budget_slack == 56.0
    assert settings.retry_budget_window_seconds == 10.0
    assert settings.calls.announcement_ttl_seconds == 6.0
    assert settings.platform.addresses == ('10.200.1.7:8142',)
    assert settings.stale_keys is StaleKeys.LAST_KNOWN


def test_bounds_on_organisations_are_taken_over():
    bounds = (
        '[bounds]\nstrict_revoke = true\nrevoke = "4s"\nquota_window = "5s"\n'
    )
    settings = parse_settings(SETTINGS.replace('[bounds]\n', bounds))
    assert settings.stale_keys is StaleKeys.REFUSED
    assert settings.revoke_seconds == 4.0
    assert settings.limit_window_seconds == 5.0


def test_settings_that_can_not_be_used_say_why():
    for text, detail in (
        ('=', 'settings'),
        (SETTINGS.replace('zone = "a"', ''), 'zone is missing'),
        (SETTINGS.replace('"6s"', '"soon"'), "'soon' is no duration"),
        (SETTINGS.replace('"6s"', '6'), 'settings'),
    ):
        error = assert_raises(ErrorKind.INVALID_SETTINGS, parse_settings, text)
        assert detail in error.detail, error.detail


def test_durations_have_a_number_and_a_unit():
    assert parse_duration('1500ms') == 1.5
    assert parse_duration('2.5s') == 2.5


def test_a_heartbeat_is_decoded():
    heartbeat = decode_heartbeat('i-1', dumps(HEARTBEAT).encode())
    assert (heartbeat.service, heartbeat.slots, heartbeat.sequence) == (
        'front',
        9,
        4,
    )
    assert heartbeat.cold_seconds == 0.25 and not heartbeat.draining
    assert heartbeat.born == 1700000000000


def test_heartbeats_of_another_writer_name_no_endpoint():
    status, info = HEARTBEAT['status'], HEARTBEAT['info']
    for body in (
        b'\xff',
        b'[]',
        b'{}',
        dumps({**HEARTBEAT, 'info': {**info, 'slots': '9'}}).encode(),
        dumps({**HEARTBEAT, 'info': {**info, 'slots': 0}}).encode(),
        dumps({**HEARTBEAT, 'status': {**status, 'state': 'asleep'}}).encode(),
        dumps({**HEARTBEAT, 'status': {**status, 'cold_left': 'x'}}).encode(),
        dumps({**HEARTBEAT, 'born': 1.5}).encode(),
    ):
        assert_raises(
            ErrorKind.MALFORMED_REQUEST, decode_heartbeat, 'i-1', body
        )


def test_a_leave_may_tell_its_start():
    assert decode_born(b'{"born": 1700000000000}') == 1700000000000
    assert decode_born(b'') is None
    assert decode_born(b'[1]') is None


def test_the_configuration_becomes_settings(store):
    stand_in, address = store
    stand_in.put('op/config', CONFIG)
    snapshot, _ = read_configuration(client_of(address))
    configuration = load_configuration(snapshot)
    first, second = sorted(configuration.routes, key=lambda r: r.name)
    assert first.host == 'shop.example' and first.repeatable
    assert (first.timeout_seconds, first.target_latency_seconds) == (1.2, 0.4)
    assert [part.weight for part in first.backends] == [90, 10]
    assert not second.repeatable and second.service == 'front'
    assert configuration.services['front'].max_connections == 90
    assert configuration.caller_limits.idle_timeout_seconds == 15


def fill_value(kind, entry, **others):
    """Return a configuration with as many entries as the store may hold."""
    number = STORE_VALUE_BYTES // len(
        dumps({'1': entry}, separators=(',', ':'))
    )
    config = {**CONFIG, **others, kind: {f'{i}': entry for i in range(number)}}
    return dumps(config).encode()


# DENIED, CONFIG: a version with 5,000 settings or more was rejected though the
# store held it. The nodes stayed on the one before, and answered 404 on the
# routes of the new one; one that started knew none.
def test_every_configuration_that_fits_into_the_store_is_in_force():
    route = {**ROUTE, 'host': 'h', 'prefix': '/', 'service': 'back'}
    del route['backends']
    tenant = {'api_keys': []}
    for value, kind in (
        (fill_value('routes', route), 'routes'),
        (fill_value('tenants', tenant), 'organisations'),
    ):
        found = load(value)
        expected = len(loads(value)[kind.replace('organisations', 'tenants')])
        assert len(getattr(found, kind)) == expected > 5_000, kind


def load(value):
    item = KeyValue('op/config', value, 3, 3)
    translation = translate({item.key: item}, Translation())
    return load_configuration(
        snapshot_from_items(translation.translated.values())
    )


def translated(tenants):
    """Return the organisations and the faults of a configuration."""
    value = dumps({**CONFIG, 'tenants': tenants}).encode()
    item = KeyValue('op/config', value, 3, 3)
    translation = translate({item.key: item}, Translation())
    snapshot = snapshot_from_items(translation.resources.values())
    assert translate({item.key: item}, translation).rejected == (
        translation.rejected
    )
    organisations = load_configuration(snapshot).organisations
    return organisations, {
        key.rpartition('/')[2]: detail
        for key, (_, detail) in translation.rejected.items()
    }


# One bad organisation must not keep a version from being in force, nor be
# given the calls of another; its keys must not be shown in what is logged.
def test_bad_organisations_are_left_out_and_named():
    good = {'api_keys': ['k-good'], 'rate_per_s': 5, 'burst': 5}
    organisations, faults = translated(
        {
            'good': good,
            'two': {'api_keys': ['k-two', 'k-one']},
            'three': {'api_keys': ['k-two', 'k-three']},
            'odd keys': {'api_keys': ['k-spaced']},
            'empty': {'api_keys': ['', 7, None, 'k-left']},
            'less': {'api_keys': ['k-less'], 'rate_per_s': -1},
            'text': {'api_keys': ['k-text'], 'burst': 'many'},
            'none': {'api_keys': None},
            'list': ['k-list'],
        }
    )
    assert set(organisations) == {'good', 'two', 'three', 'empty'}
    assert set(faults) == {
        *('two', 'three', 'odd keys', 'empty', 'less', 'text', 'none'),
        'list',
    }
    assert 'k-' not in ' '.join(faults.values())
    index = build_key_index(organisations)
    for key, name in ((b'k-good', 'good'), (b'k-left', 'empty')):
        assert index.find(key).name == name
    for key in (b'k-two', b'k-less', b'k-list', b'', b'7', b'k-spaced'):
        assert index.find(key) is None
    assert index.find(b'k-three').name == 'three'


def test_a_new_version_changes_only_what_differs(store):
    stand_in, address = store
    stand_in.put('op/config', CONFIG)
    client = client_of(address)
    before, revision = read_configuration(client)
    watch = client.watch(CONFIGURATION_PREFIX, revision)
    routes = {**CONFIG['routes'], 'r-1': {**ROUTE, 'timeout': '2s'}}
    del routes['r-2']
    stand_in.put('op/config', {**CONFIG, 'routes': routes})
    batch = next(watch)
    changed = {item.key.rpartition('/')[2] for item in batch.events}
    assert changed == {'r-1', 'r-2', '!head'}
    after, _ = read_configuration(client)
    assert after.revision > before.revision


def test_reads_go_on_over_pages(store):
    stand_in, address = store
    stand_in.page_size = 2
    for number in range(7):
        stand_in.put(f'{ZONE_PREFIX}{number}', number)
    answer = client_of(address).read_prefix(ZONE_PREFIX)
    assert [loads(item.value) for item in answer.items] == list(range(7))


def test_a_watch_that_can_not_go_on_is_compacted(store):
    stand_in, address = store
    client = client_of(address)
    watch = client.watch(CONFIGURATION_PREFIX, 999)
    assert_raises(ErrorKind.COMPACTED, next, watch)
    _, revision = read_configuration(client)
    stand_in.failure_status = 410
    watch = client.watch(CONFIGURATION_PREFIX, revision)
    assert_raises(ErrorKind.COMPACTED, next, watch)


def ordered_move(client):
    snapshot, _ = read_configuration(client)
    configuration = load_configuration(snapshot)
    path = configuration.move_paths['front']
    return path, snapshot.entries[path].revision, configuration.moves['front']


def test_an_order_becomes_a_move_and_its_record_a_status(store):
    stand_in, address = store
    stand_in.put('op/config', CONFIG)
    stand_in.put('op/rollout/front', ORDER)
    client = client_of(address)
    path, revision, move = ordered_move(client)
    assert (move.to_version, move.ordered_seconds) == ('v2', 12.0)
    assert revision == 0
    started = replace(move, ordered_seconds=0.0, started_at=5.0, share=0.1)
    client.write(*move_transaction(WriteMove(path, revision, started)))
    status = loads(stand_in.store.get('status/rollout/front').value)
    assert status == {'state': 'running', 'target_version': 'v2'}
    path, revision, recorded = ordered_move(client)
    assert recorded == started and revision > 0
    done = replace(recorded, state=MoveState.WITHDRAWN)
    client.write(*move_transaction(WriteMove(path, revision, done)))
    status = loads(stand_in.store.get('status/rollout/front').value)
    assert status['state'] == 'rolled_back'


def test_two_workers_do_not_overwrite_each_other(store):
    stand_in, address = store
    stand_in.put('op/config', CONFIG)
    stand_in.put('op/rollout/front', ORDER)
    client = client_of(address)
    path, revision, move = ordered_move(client)
    started = replace(move, ordered_seconds=0.0, started_at=5.0)
    change = move_transaction(WriteMove(path, revision, started))
    client.write(*change)
    assert_raises(ErrorKind.CONFLICT, client.write, *change)


def test_a_new_order_starts_a_new_move(store):
    stand_in, address = store
    stand_in.put('op/config', CONFIG)
    stand_in.put('op/rollout/front', ORDER)
    client = client_of(address)
    path, revision, move = ordered_move(client)
    done = replace(move, ordered_seconds=0.0, state=MoveState.COMPLETED)
    client.write(*move_transaction(WriteMove(path, revision, done)))
    stand_in.put('op/rollout/front', {**ORDER, 'target_version': 'v3'})
    _, _, again = ordered_move(client)
    assert again.to_version == 'v3'
    assert again.move_id != move.move_id and again.ordered_seconds == 12.0


def test_a_lease_that_ended_is_told(store):
    stand_in, address = store
    client = client_of(address)
    lease = client.grant_lease(60)
    assert client.renew_lease(lease)
    stand_in.now = 100.0
    assert not client.renew_lease(lease)
    error = assert_raises(
        ErrorKind.NOT_FOUND,
        client.put_unconditionally,
        Operation(f'{ZONE_PREFIX}x', b'1', lease),
    )
    assert 'kv-txn' in error.detail


class RecordingPool:
    """Record the timeouts of each call and answer with success."""

    def __init__(self, body):
        self.body = body
        self.timeouts = []

    def request(self, method, url, timeout=None, **options):
        self.timeouts.append((timeout.connect_timeout, timeout.read_timeout))
        return Answer(200, dumps(self.body).encode())


def test_a_watch_may_be_silent_for_as_long_as_it_waits(store):
    stand_in, address = store
    client = client_of(address)
    _, revision = read_configuration(client)
    client.pool = RecordingPool({'events': [], 'store_revision': revision})
    next(client.watch(CONFIGURATION_PREFIX, revision))
    connect, read = client.pool.timeouts[0]
    assert read > WATCH_WAIT_SECONDS
    assert connect < read


def test_a_call_may_be_silent_for_its_timeout():
    bound = build_timeout(CALL_TIMEOUT_SECONDS)
    assert bound.read_timeout == CALL_TIMEOUT_SECONDS
    assert bound.connect_timeout == CONNECT_TIMEOUT_SECONDS


def test_refusals_of_the_store_have_kinds(store):
    stand_in, address = store
    for status, kind in (
        (503, ErrorKind.PLATFORM_UNAVAILABLE),
        (429, ErrorKind.RATE_LIMITED),
        (500, ErrorKind.OUTCOME_UNKNOWN),
    ):
        stand_in.failure_status = status
        client = client_of(address)
        assert_raises(kind, client.read_prefix, ZONE_PREFIX)


# Names that only the adapter may contain.
PLATFORM_WORDS = re.compile(
    r'/-/|not-executed|server-stamp|expect-instance|caller-service|'
    r'POPLARRACK_NODE_FILE|op/config|op/rollout|status/rollout|route_type|'
    r'app_addr|cold_left|kv-',
    re.IGNORECASE,
)


def product_modules():
    root = Path(poplarrack.__file__).parent
    adapter = root / 'platform'
    return sorted(
        path for path in root.rglob('*.py') if adapter not in path.parents
    )


def test_only_the_adapter_knows_the_platforms_words():
    for path in product_modules():
        found = PLATFORM_WORDS.search(path.read_text())
        assert found is None, f'{path.name}: {found.group()}'


def test_the_product_never_imports_the_adapter():
    for path in product_modules():
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom):
                adapter = (node.module or '').startswith(
                    'poplarrack.platform.'
                )
                assert not adapter, f'{path.name}: {node.module}'
