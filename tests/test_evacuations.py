"""Test evacuations of zones, and homes and figures that can't be read."""

from contextlib import contextmanager
from dataclasses import replace
from json import dumps
from random import Random
from types import SimpleNamespace

from poplarrack.balancers import CallerCounts
from poplarrack.balancers import derive_candidates
from poplarrack.balancers import Locality
from poplarrack.commands import Commands
from poplarrack.configurations import load_configuration
from poplarrack.editors import Edit
from poplarrack.editors import Editor
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.fetchers import snapshot_from_items
from poplarrack.platform.configurations import translate
from poplarrack.platform.configurations import Translation
from poplarrack.reports import describe_status
from poplarrack.reports import Status
from poplarrack.resources import encode_resource
from poplarrack.resources import Evacuation
from poplarrack.resources import Route
from poplarrack.routers import Router
from poplarrack.stand_ins.fakes import DirectPlatformClient
from poplarrack.stand_ins.platforms import PlatformStandIn
from tests.samples import CHANGES
from tests.samples import endpoint
from tests.samples import member
from tests.support import assert_raises
from tests.support import build_load_tests
from tests.support import fixture
from tests.test_calls import call_path_to
from tests.test_calls import OK
from tests.test_calls import run
from tests.test_nodes import on_fakes
from tests.test_odd_entries import item
from tests.test_odd_entries import items_of
from tests.test_platform_adapter import CONFIG

load_tests = build_load_tests(__name__)

EVACUATE_SECONDS = 5.0


def configuration_of(translation):
    return load_configuration(
        snapshot_from_items(translation.translated.values())
    )


def evacuated(items, previous=None):
    previous = previous or Translation()
    return configuration_of(translate(items, previous)).evacuated_zones


def test_whatever_its_value_an_order_evacuates_the_zone_it_names():
    # One that can't be read would leave the zone in use.
    for value in (b'{}', b'', b'\xff', b'null', b'[' * 100_000):
        assert evacuated(items_of(op__evacuate__a=value)) == {'a'}
    unknown = items_of(op__evacuate__a=b'{}', op__evacuate__nowhere=b'{}')
    assert evacuated(unknown) == {'a', 'nowhere'}


def test_an_order_that_names_no_zone_leaves_all_others_in_force():
    items = items_of(
        op__evacuate__=b'{}', op__evacuate__b__c=b'{}', op__evacuate__a=b'{}'
    )
    translation = translate(items, Translation())
    assert configuration_of(translation).evacuated_zones == {'a'}
    assert set(translation.rejected) == {'op/evacuate/', 'op/evacuate/b/c'}


# DENIED: an evacuation without a configuration that could be used was taken
# for a newer configuration without routes, so that all requests got 404.
def test_an_evacuation_without_a_configuration_drops_no_routes():
    order = {'op/evacuate/a': item('op/evacuate/a', b'{}', 9)}
    assert not translate(order, Translation()).translated
    for value in (None, b'7', b'{"routes": {}}'):
        odd = {**order, 'op/config': item('op/config', value, 8)}
        assert not translate(odd, Translation()).translated


def test_an_order_given_twice_ends_with_its_removal():
    first = items_of(op__evacuate__a=b'{}')
    again = {**first, 'op/evacuate/a': item('op/evacuate/a', b'{}', 9)}
    removed = {**first, 'op/evacuate/a': item('op/evacuate/a', None, 10)}
    before = translate(first, Translation())
    assert evacuated(again, before) == {'a'}
    after = translate(removed, before)
    assert not configuration_of(after).evacuated_zones
    assert configuration_of(after).revision == 10


def translate_config(**changes):
    items = items_of()
    value = dumps({**CONFIG, **changes}).encode()
    items['op/config'] = item('op/config', value, 3)
    translation = translate(items, Translation())
    again = translate(items, translation)
    assert again.rejected == translation.rejected
    return configuration_of(translation), translation.rejected


def test_a_route_whose_homes_can_not_be_read_is_served_nowhere():
    # It must not be served anywhere instead; the other routes hold.
    for odd in ('south', {}, 7, [1], [''], False, ['south', None]):
        first = {**CONFIG['routes']['r-1'], 'allowed_regions': odd}
        routes = {**CONFIG['routes'], 'r-1': first}
        configuration, rejected = translate_config(routes=routes)
        regions = {route.name: route.regions for route in configuration.routes}
        assert regions == {'r-1': (), 'r-2': None}, odd
        assert set(rejected) == {'op/config routes/r-1'}


def test_homes_are_read_and_an_empty_list_restricts_nothing():
    for given, meant in (([], None), (['south', 'x'], ('south', 'x'))):
        first = {**CONFIG['routes']['r-1'], 'allowed_regions': given}
        configuration, rejected = translate_config(routes={'r-1': first})
        assert configuration.routes[0].regions == meant
        assert not rejected


def test_a_cold_rate_that_can_not_be_read_is_the_least_one():
    for odd in (-1, 'x', [], True, 1e300):
        front = {**CONFIG['services']['front'], 'cold_per_s': odd}
        services = {**CONFIG['services'], 'front': front}
        configuration, rejected = translate_config(services=services)
        rates = {
            name: service.cold_calls_per_second
            for name, service in configuration.services.items()
        }
        assert rates == {'front': 1.0, 'back': 0.0}, odd
        assert set(rejected) == {'op/config services/front'}


# In the product's own mesh.


def evacuate(*zones):
    return {
        f't/evacuations/{zone}': encode_resource(Evacuation(zone))
        for zone in zones
    }


def zones_known(mesh):
    return {
        node.knowledge.configuration.evacuated_zones
        for node in mesh.nodes.values()
    }


@on_fakes
async def test_nodes_that_the_store_turns_away_learn_of_it_in_time(mesh):
    def turn_away(*arguments):
        raise PoplarrackError(ErrorKind.PLATFORM_UNAVAILABLE, 'turned away')

    for name, client in mesh.platform_clients.items():
        if name.startswith('d-') or name == 'a-0':
            client._send = turn_away
    both = frozenset(('b', 'e'))
    revision = mesh.write_settings(evacuate(*both))
    await mesh.wait_for_revision(revision, EVACUATE_SECONDS)
    assert zones_known(mesh) == {both}
    # A node that starts again, and one that joins, learn of it.
    mesh.kill_node('b-1')
    mesh.add_node('b-1', 'south', 'b', ['a-0', 'a-4'])
    mesh.add_node('a-99', 'south', 'a', ['a-4'])
    await mesh.wait_for_revision(revision, EVACUATE_SECONDS)
    assert zones_known(mesh) == {both}
    revision = mesh.write_settings({'t/evacuations/b': None})
    await mesh.wait_for_revision(revision, EVACUATE_SECONDS)
    assert zones_known(mesh) == {frozenset(('e',))}


@on_fakes
async def test_one_that_is_taken_back_before_it_is_in_force(mesh):
    mesh.write_settings(evacuate('b'))
    revision = mesh.write_settings({'t/evacuations/b': None})
    await mesh.wait_for_revision(revision, EVACUATE_SECONDS)
    assert zones_known(mesh) == {frozenset()}


def test_servers_of_an_evacuated_zone_are_no_candidates():
    members = [
        member('n1', 'a', endpoint=endpoint('1:1')),
        member('n2', 'b', endpoint=endpoint('2:1')),
    ]
    found = derive_candidates(
        Locality('n1', 'south', 'a'),
        members,
        lambda service: CallerCounts(2, 1),
        frozenset(('a',)),
    )
    addresses = {
        candidate.endpoint.address
        for candidates in found.values()
        for candidate in candidates
    }
    assert addresses == {'2:1'}


@run
async def test_a_call_whose_home_has_no_server_is_refused():
    routes = (
        Route('here', '/here', 'front', regions=('',)),
        Route('south', '/south', 'front', regions=('south',)),
    )
    async with call_path_to(lambda *x: OK) as path:
        dispatcher = path.dispatcher
        table = replace(dispatcher.table, router=Router(routes))
        dispatcher.set_table(table)
        assert (await path.call('/here'))[0] == 200
        status, _, body = await path.call('/south')
        assert status == 503 and b'home' in body
        assert len(path.servers[0].requests) == 1


@fixture
@contextmanager
def session():
    stand_in = PlatformStandIn(lambda: 0.0, 1e9, 1e9)
    client = DirectPlatformClient(stand_in, Random(1), lambda: 0)
    printed = []
    yield SimpleNamespace(
        editor=Editor(client, 't'),
        settings=SimpleNamespace(team='t'),
        printed=printed,
        print_result=lambda value, text: printed.append(text),
    )


def test_operators_evacuate_and_restore_a_zone_and_see_since_when(session):
    session.editor.write(Edit(CHANGES))
    commands = Commands.__new__(Commands)
    commands._session = session
    commands.evacuate('a')
    commands.evacuate('a')
    read = session.editor.read()
    status = Status([], read.snapshot, 0.0)
    assert status.evacuations['a'].since > 0
    assert 'a is evacuated since' in describe_status(status)
    assert status.as_builtins()['evacuations']['a']['name'] == 'a'
    commands.restore('a')
    assert_raises(ErrorKind.NOT_FOUND, commands.restore, 'a')
    assert not load_configuration(
        session.editor.read().snapshot
    ).evacuated_zones
    first, second, third = session.printed
    assert 'no node is in it' in first and 'already' in second
    assert 'restored' in third
