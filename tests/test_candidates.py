"""Test that no path takes a call to an endpoint that may not serve it."""

import asyncio
from dataclasses import replace
from random import Random
from time import perf_counter

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from poplarrack.call_tables import VersionSplit
from poplarrack.candidates import common_regions
from poplarrack.candidates import filter_group
from poplarrack.carried_calls import Call
from poplarrack.destination_states import Destination
from poplarrack.destination_states import DestinationState
from poplarrack.destination_states import Tier
from poplarrack.doors import Door
from poplarrack.organisations import build_key_index
from poplarrack.placements import choose_destination
from poplarrack.placements import DestinationGroup
from poplarrack.placements import RemainingTime
from poplarrack.resources import digest_key
from poplarrack.resources import Organisation
from poplarrack.resources import Route
from poplarrack.routers import Router
from poplarrack.routing_tables import RoutingTable
from tests.samples import endpoint
from tests.support import build_load_tests
from tests.test_receivers import request
from tests.test_senders import build_sender
from tests.test_senders import BUSY
from tests.test_senders import FAILED
from tests.test_senders import GOOD
from tests.test_senders import LOST
from tests.test_senders import REFUSED
from tests.test_senders import send
from tests.test_senders import STOPPING

load_tests = build_load_tests(__name__)

REGIONS = ('north', 'south')
ZONES = ('n1', 'n2', 's1', 's2')
TIERS = (Tier.ZONE, Tier.REGION, Tier.FAR)
KEY = (b'authorization', b'Bearer k')
ANSWERS = (BUSY, FAILED, LOST, REFUSED, STOPPING)

homes = strategies.none() | strategies.lists(
    strategies.sampled_from((*REGIONS, 'unknown')), max_size=2
).map(tuple)
meshes = strategies.fixed_dictionaries(
    {
        'places': strategies.lists(
            strategies.tuples(
                strategies.sampled_from(ZONES),
                strategies.sampled_from(TIERS),
                strategies.sampled_from(('v1', 'v2')),
            ),
            max_size=12,
        ),
        'route': homes,
        'organisation': homes,
        'evacuated': strategies.frozensets(strategies.sampled_from(ZONES)),
        'share': strategies.sampled_from((None, 0.0, 0.5, 1.0)),
    }
)


def region_of(zone):
    return 'north' if zone[0] == 'n' else 'south'


def destinations_at(places):
    return [
        Destination(
            f'n{number}',
            f'10.0.0.{number}:70',
            endpoint(f'10.0.0.{number}:80', version, instance_id=f'i{number}'),
            tier,
            region_of(zone),
            zone,
        )
        for number, (zone, tier, version) in enumerate(places)
    ]


def table_of(mesh, revision):
    move = {}
    if mesh['share'] is not None:
        move['front'] = VersionSplit('m', 'v1', 'v2', mesh['share'], True)
    route = Route('r', '/r/', 'front', repeatable=True, regions=mesh['route'])
    organisation = Organisation(
        'org', (digest_key(b'k'),), regions=mesh['organisation']
    )
    organisations = {'org': organisation}
    return RoutingTable(
        revision,
        Router((route,)),
        {'front': destinations_at(mesh['places'])},
        move,
        organisations=organisations,
        evacuated_zones=mesh['evacuated'],
        keys=build_key_index(organisations),
    )


def allowed_addresses(mesh):
    """Return what may serve, found without the code under test."""
    return {
        f'10.0.0.{number}:70'
        for number, (zone, _, _) in enumerate(mesh['places'])
        if zone not in mesh['evacuated']
        and all(
            mesh[name] is None or region_of(zone) in mesh[name]
            for name in ('route', 'organisation')
        )
    }


async def run_call(first, later, answers):
    """Return the addresses tried, before and after a change, and the status.

    The configuration changes before the second attempt.
    """
    sender, streams = build_sender([*answers, GOOD])
    sender.set_table(table_of(first, 5))
    deliver, phases = streams.deliver, ([], [])

    def deliver_and_change(address, *rest):
        phases[sender.table.revision - 5].append(address)
        sender.set_table(table_of(later, 6))
        streams.script = streams.script or [GOOD]
        return deliver(address, *rest)

    streams.deliver = deliver_and_change
    status, head, _ = await send(sender, '/r/x', (KEY,))
    return phases, status, head


@settings(max_examples=300, deadline=None)
@given(
    meshes,
    meshes,
    strategies.lists(strategies.sampled_from(ANSWERS), max_size=8),
)
def test_no_path_leaves_the_homes_or_enters_an_evacuated_zone(
    first, later, answers
):
    # A queue, a trial, a repeat, a split or a configuration that changes
    # under a call could each choose from a list that was not filtered.
    later = {**later, 'places': first['places']}
    (before, after), status, head = asyncio.run(
        run_call(first, later, answers)
    )
    assert set(before) <= allowed_addresses(first)
    assert set(after) <= allowed_addresses(first | {'evacuated': ()})
    assert set(after) <= allowed_addresses(later)
    if not allowed_addresses(first):
        assert status == 503
        assert b'retry-after' in head.lower()


def test_a_call_without_a_home_in_reach_says_why_it_has_not_run():
    mesh = {
        'places': [('n1', Tier.FAR, 'v1')],
        'route': ('south',),
        'organisation': None,
        'evacuated': frozenset(),
        'share': None,
    }

    async def reason(changes):
        sender, _ = build_sender([GOOD])
        sender.set_table(table_of(mesh | changes, 5))
        status, _, body = await send(sender, '/r/x', (KEY,))
        return status, body

    status, body = asyncio.run(reason({}))
    assert status == 503 and b'home' in body, body
    evacuated = {'route': None, 'evacuated': frozenset(('n1',))}
    status, body = asyncio.run(reason(evacuated))
    assert status == 503 and b'evacuated' in body, body


def test_both_homes_bind_and_an_empty_list_allows_nothing():
    assert common_regions(None, None) is None
    assert common_regions(('a', 'b'), None, ('b', 'c')) == {'b'}
    assert common_regions((), None) == frozenset()


def test_the_receiving_node_holds_homes_and_evacuations_too():
    # A sender that is cut off knows an older configuration.
    door = Door(
        'north',
        'n1',
        router=Router((Route('r', '/r/', 'front', regions=('south',)),)),
        organisations={'org': Organisation('org', regions=('south',))},
    )
    assert door.find_refusal(request()) == ''
    assert door.find_refusal(request(route='r')) == 'home'
    assert door.find_refusal(request(organisation='org')) == 'home'
    door = replace(door, evacuated_zones=frozenset(('n1',)))
    assert door.find_refusal(request()) == 'evacuated'


def test_a_choice_stays_cheap_among_many_endpoints():
    states = [
        DestinationState(item, 0.0, True)
        for item in destinations_at(
            [
                (ZONES[number % 4], TIERS[number % 3], 'v1')
                for number in range(800)
            ]
        )
    ]
    group = DestinationGroup(states)
    route = Route('r', '/r/', 'front', regions=('north',))
    call = Call(None, None, 0.0, route=route)
    evacuated, random = frozenset(('n2',)), Random(7)
    remaining = RemainingTime(1.0, 2.0)

    def choose():
        regions = common_regions(call.route.regions)
        chosen = filter_group(group, regions, evacuated)
        return choose_destination(chosen, remaining, (), 0.0, random)

    assert choose().state.destination.zone == 'n1'
    took = []
    for _ in range(200):
        began = perf_counter()
        choose()
        took.append(perf_counter() - began)
    assert sorted(took)[100] < 0.0005, sorted(took)[100]
