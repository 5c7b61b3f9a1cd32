"""Test that one odd entry of another writer leaves all others in force.

An entry that is nested too deeply, has a number out of range, lacks a field
or names no address ended the thread that follows the store, the join, or the
process of each node that read it.
"""

import asyncio
from json import dumps
from json import loads

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from poplarrack.addresses import split_destination
from poplarrack.announcements import decode_announcement
from poplarrack.configurations import load_configuration
from poplarrack.controllers import CONTROLLERS
from poplarrack.errors import PoplarrackError
from poplarrack.fetchers import Fetcher
from poplarrack.fetchers import read_configuration
from poplarrack.http_messages import HttpRequest
from poplarrack.joiners import find_seeds
from poplarrack.messages import CODECS
from poplarrack.messages import DEFLATED
from poplarrack.messages import PLAIN
from poplarrack.platform.configurations import translate
from poplarrack.platform.configurations import Translation
from poplarrack.platform.heartbeats import decode_born
from poplarrack.platform.heartbeats import decode_heartbeat
from poplarrack.platform.pages import serve_control
from poplarrack.platform.store_client import PlatformStoreClient
from poplarrack.platforms import ZONE_PREFIX
from poplarrack.resources import encode_resource
from poplarrack.stand_ins.fakes import run_on_virtual_clock
from poplarrack.stand_ins.fakes import start_fake_mesh
from poplarrack.stores import KeyValue
from poplarrack.stores import Operation
from poplarrack.streams import PeerStreams
from poplarrack.summaries import decode_summary
from poplarrack.traffic import PeerTraffic
from poplarrack.upstream_exchanges import Outcome
from poplarrack.upstream_pools import UpstreamPool
from tests.samples import move
from tests.samples import route_json
from tests.samples import service_json
from tests.store_stand_in import running_store
from tests.support import build_load_tests
from tests.support import fixture
from tests.test_platform_adapter import CONFIG
from tests.test_platform_adapter import HEARTBEAT
from tests.test_platform_adapter import ORDER
from tests.test_sidecar_servers import is_ready
from tests.test_sidecar_servers import running_node
from tests.test_sidecar_servers import until

load_tests = build_load_tests(__name__)

DEEP = b'[' * 100_000
ODD_VALUES = (
    DEEP,
    b'\xff',
    b'',
    b'null',
    b'7',
    b'[]',
    b'{}',
    b'{"a":' * 5_000,
    dumps({**ORDER, 'target_version': 1}).encode(),
    dumps({**ORDER, 'target_version': ''}).encode(),
    dumps({**ORDER, 'duration': '1e999s'}).encode(),
    dumps({**ORDER, 'duration': 'nans'}).encode(),
    dumps({**ORDER, 'duration': '-5s'}).encode(),
    dumps({**ORDER, 'duration': 12}).encode(),
    dumps({**ORDER, 'duration': 10**400}).encode(),
)
ODD_ADDRESSES = (
    '',
    'x',
    ':80',
    '10.0.0.1:',
    '10.0.0.1:0',
    '10.0.0.1:65536',
    '10.0.0.1:-1',
    '10.0.0.1:8_0',
    '10.0.0.1:9' + '9' * 5000,
)
ANY_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=12)
    | strategies.sampled_from(('1e999s', '12s', 'safe', '10.0.0.1:70000')),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.sampled_from(
                (
                    'routes',
                    'services',
                    'limits',
                    'service',
                    'target_version',
                    'duration',
                    'backends',
                    'weight',
                    'prefix',
                    'address',
                    'info',
                    'status',
                    'slots',
                    'seeds',
                    'region',
                    'zone',
                )
            ),
            inner,
            max_size=6,
        )
    ),
    max_leaves=20,
)
ANY_BYTES = strategies.binary(max_size=60) | ANY_JSON.map(
    lambda value: dumps(value).encode()
)


@fixture
def store():
    return running_store()


def client_of(address):
    return PlatformStoreClient([address], sleep=lambda seconds: None)


def item(key, value, revision):
    return KeyValue(key, value, revision, revision)


def items_of(**odd):
    """Return a valid configuration and order, and odd items by key."""
    items = {
        'op/config': item('op/config', dumps(CONFIG).encode(), 3),
        'op/rollout/front': item('op/rollout/front', dumps(ORDER).encode(), 4),
    }
    for number, (key, value) in enumerate(odd.items()):
        key = key.replace('__', '/')
        items[key] = item(key, value, 5 + number)
    return items


def translated_paths(items):
    translated = translate(items, Translation()).translated
    return sorted(key.partition('mesh/')[2] for key in translated)


# An order that can't be read ended the thread that follows the store; one
# for an unknown service or version made the whole configuration invalid.
def test_an_odd_order_leaves_the_configuration_and_other_orders_in_force():
    expected = translated_paths(items_of())
    assert 'moves/front' in expected
    for value in (*ODD_VALUES, dumps(ORDER).encode()):
        for key in (
            'op__rollout__back',
            'op__rollout__unknown',
            'op__rollout__',
            'op__rollout__a/b',
        ):
            if value == dumps(ORDER).encode() and key.endswith('back'):
                continue
            odd = {key: value}
            assert translated_paths(items_of(**odd)) == expected, odd


# A record that can't be read, or whose policy is unknown, ended the process
# of each node that followed the configuration.
def test_an_odd_record_is_taken_for_none():
    own = move(from_version='', move_id='front-4', policy='nonsense')
    huge = move(from_version='', move_id='front-4', complete_by=1e300)
    for value in (*ODD_VALUES, encode_resource(own), encode_resource(huge)):
        items = items_of(own__moves__front=value)
        translation = translate(items, Translation())
        found = translation.translated
        key = next(key for key in found if key.endswith('moves/front'))
        assert b'"ordered_seconds":12.0' in found[key].value, value[:80]
        assert 'own/moves/front' in translation.rejected


# A configuration that can't be read ended the thread; the last one that can
# stays in force, and orders are still followed.
def test_an_odd_configuration_leaves_the_last_one_in_force():
    before = after = translate(items_of(), Translation())
    for number, value in enumerate(ODD_VALUES):
        items = items_of()
        items['op/config'] = item('op/config', value, 9 + number)
        after = translate(items, after)
        assert set(after.translated) == set(before.translated), value[:80]
        assert after.rejected['op/config'][0] == 9 + number


# The thread ended on any error but those that it expects.
def test_a_fetcher_goes_on_after_an_unexpected_error():
    class Client:
        calls = 0

        def read_prefix(self, prefix):
            self.calls += 1
            if self.calls > 1:
                fetcher.stop()
            raise RecursionError('too deep')

    client = Client()
    results = []
    fetcher = Fetcher(client, print, lambda *result: results.append(result))
    fetcher.backoff = type('None', (), {'delay': lambda *_: 0.0})()
    fetcher.run()
    assert client.calls == 2 and len(results) == 2, results


# A watching client follows the store past an odd order.
def test_a_watch_goes_on_past_odd_entries(store):
    stand_in, address = store
    stand_in.put('op/config', CONFIG)
    stand_in.put('op/rollout/back', 7)
    stand_in.put('op/rollout/front', {**ORDER, 'target_version': 1})
    client = client_of(address)
    snapshot, revision = read_configuration(client)
    assert not load_configuration(snapshot).moves
    watch = client.watch('', revision)
    stand_in.put('op/rollout/front', ORDER)
    events = next(watch).events
    assert any(event.key.endswith('moves/front') for event in events)
    assert set(client.rejected_entries) == {'op/rollout/back'}


# One odd summary failed the join of each node that read it.
def test_a_node_joins_past_an_odd_summary_and_odd_seeds():
    settings = {
        't/services/front': service_json(),
        't/routes/front': route_json(),
    }

    async def check(clock):
        zones = (('south', 'a'), ('south', 'b'))
        mesh = await start_fake_mesh(clock, 5, 4, zones, settings)
        client = next(iter(mesh.platform_clients.values()))
        good = next(
            decode_summary(found.value)
            for found in client.read_prefix(ZONE_PREFIX).items
        )
        for number, value in enumerate(
            (DEEP, b'null', dumps({'region': 1}).encode())
        ):
            mesh.platform.store.transact(
                (), [Operation(f'{ZONE_PREFIX}odd/{number}', value)]
            )
        node = mesh.add_node('late', 'south', 'c', ODD_ADDRESSES)
        seeds = await find_seeds(node)
        assert set(good.seeds) & set(seeds), seeds
        await mesh.wait_until(lambda: node.facts.lifecycle.joined, 5.0)
        assert len(node.knowledge.members.members) == 5

    run_on_virtual_clock(check)


# An address without a valid port raised an error that the caller of the node
# does not expect, so that the join or the probe ended with it.
def test_a_node_with_an_odd_address_counts_as_unreachable():
    async def check():
        streams = PeerStreams(PeerTraffic(), 0.2)
        for address in ODD_ADDRESSES:
            try:
                await streams.call(address, 'Compare', None)
            except PoplarrackError:
                continue
            raise AssertionError(address)

    asyncio.run(check())


# A port out of range raised an error in the task that connects: the request
# was never ended, and its slot never freed.
def test_an_endpoint_that_can_not_be_connected_to_ends_its_requests():
    async def check():
        pool = UpstreamPool('127.0.0.1:1', 1000, 0.5)
        outcomes = []
        for host, port in (('127.0.0.1', 70_000), ('a' * 80 + '.b', 80)):
            pool.host, pool.port = host, port
            pool.start(b'', False, 2.0, lambda *got: outcomes.append(got))
            await asyncio.gather(*pool.connect_tasks, return_exceptions=True)
        assert [got[0] for got in outcomes] == [Outcome.NEVER_SENT] * 2
        assert pool.open == 0

    asyncio.run(check())


def test_addresses_have_a_host_and_a_port_from_1_to_65535():
    assert split_destination('10.0.0.1:65535') == ('10.0.0.1', 65_535)
    for address in (*ODD_ADDRESSES, 7, None):
        try:
            split_destination(address)
        except ValueError:
            continue
        raise AssertionError(address)


def odd_heartbeats():
    status, info = HEARTBEAT['status'], HEARTBEAT['info']
    yield DEEP
    yield b'{"address":' + DEEP
    for address in (*ODD_ADDRESSES, 7):
        yield dumps({**HEARTBEAT, 'address': address}).encode()
    for slots in (10**30, 10**400, True):
        yield dumps({**HEARTBEAT, 'info': {**info, 'slots': slots}}).encode()
    yield dumps(
        {**HEARTBEAT, 'info': {**info, 'version': 'v' * 9_000}}
    ).encode()
    for sequence in (10**30, -1):
        changed = {**status, 'sequence': sequence}
        yield dumps({**HEARTBEAT, 'status': changed}).encode()
    for cold in ('1e999s', 'nans', '-1s'):
        changed = {**status, 'cold_left': cold}
        yield dumps({**HEARTBEAT, 'status': changed}).encode()
    yield dumps({**HEARTBEAT, 'born': 10**30}).encode()


# A heartbeat whose numbers fit no message, or whose address has no valid
# port, named an endpoint that no request could reach.
def test_odd_heartbeats_name_no_endpoint():
    for body in odd_heartbeats():
        try:
            heartbeat = decode_heartbeat('i-1', body)
        except PoplarrackError:
            continue
        raise AssertionError((body[:90], heartbeat))
    assert decode_born(DEEP) is None
    assert decode_born(b'{"born": ' + b'9' * 400 + b'}') is None


def value_of(raw):
    try:
        return loads(raw)
    except ValueError:
        return None


# A heartbeat for a service that no configuration names took the place of the
# endpoint beside the node, which then got no more requests.
def test_a_heartbeat_of_an_unknown_service_leaves_the_endpoint_in_use():
    def put(report):
        body = dumps(report).encode()
        return HttpRequest('PUT', '/-/instances/i-1', [], body)

    def page_of(server, report):
        return serve_control(server, put(report)).status

    odd = {**HEARTBEAT, 'info': {**HEARTBEAT['info'], 'service': 'nonsense'}}

    async def check():
        with running_store() as (stand_in, address):
            stand_in.put('op/config', CONFIG)
            async with running_node(address) as (server, settings):
                assert page_of(server, HEARTBEAT) == 200
                await until(lambda: is_ready(settings))
                assert page_of(server, {**odd, 'born': 10**14}) == 400
                endpoint = server.receiver.endpoint
                return (
                    endpoint.service,
                    server.local_endpoint.record.endpoint.service,
                )

    assert asyncio.run(check()) == ('front', 'front')


def only_known_errors(function, *arguments):
    try:
        return function(*arguments)
    except PoplarrackError:
        return None


@hypothesis_settings(max_examples=300, deadline=None)
@given(ANY_BYTES, ANY_BYTES, ANY_BYTES)
def test_any_entries_leave_a_valid_configuration(config, order, record):
    items = items_of(
        op__rollout__back=order,
        own__moves__back=record,
        own__moves__front=record,
    )
    before = translate(items_of(), Translation())
    items['op/config'] = item('op/config', config, 30)
    after = translate(items, before)
    snapshot, _ = read_configuration(ItemsClient(after.translated))
    load_configuration(snapshot)


class ItemsClient:
    """A store client with the given items, all of them readable."""

    def __init__(self, items):
        self.items = tuple(items.values())
        self.revision, self.generation = 1, 0

    def read_prefix(self, prefix):
        """Return itself as the response."""
        return self


@hypothesis_settings(max_examples=300, deadline=None)
@given(ANY_BYTES)
def test_decoders_raise_no_other_errors(raw):
    only_known_errors(decode_summary, raw)
    only_known_errors(decode_heartbeat, 'i-1', raw)
    only_known_errors(decode_announcement, value_of(raw), 0.0)
    decode_born(raw)
    for request, answer in CODECS.values():
        for mark in (PLAIN, DEFLATED):
            only_known_errors(request.decode, mark + raw)
            only_known_errors(answer.decode, mark + raw)


# An error in one of the decisions that a node takes ten times a second ended
# the process of each node that held the entry behind it.
def test_a_node_outlives_a_defect_in_one_of_its_decisions():
    def fail(facts, now):
        raise KeyError('nonsense')

    async def check(clock):
        zones = (('south', 'a'),)
        settings = {'t/services/front': service_json()}
        mesh = await start_fake_mesh(clock, 5, 3, zones, settings)
        CONTROLLERS['braking'] = fail
        await asyncio.sleep(1.0)
        changed = {'t/services/front': service_json(slots=7)}
        revision = mesh.write_settings(changed)
        await mesh.wait_for_revision(revision, 5.0)
        assert not any(task.done() for task in mesh.tick_tasks.values())

    braking = CONTROLLERS['braking']
    try:
        run_on_virtual_clock(check)
    finally:
        CONTROLLERS['braking'] = braking
