"""Test that many nodes keep the shares of weighted services together."""

import asyncio
from collections import Counter
from dataclasses import replace
from random import Random

from poplarrack.resources import Route
from poplarrack.resources import WeightedService
from poplarrack.routers import Router
from tests.support import build_load_tests
from tests.test_senders import build_sender
from tests.test_senders import BUSY
from tests.test_senders import destination
from tests.test_senders import GOOD
from tests.test_senders import send

load_tests = build_load_tests(__name__)

NODES = 120
CALLS_A_NODE = 4
ROUTE = Route(
    'split',
    '/split/',
    'front',
    backends=(WeightedService('front', 3), WeightedService('other', 1)),
)
DESTINATIONS = {
    'front': [destination(2), destination(3)],
    'other': [destination(4, service='other')],
}


def run_mesh(full):
    """Return the calls served and refused, by the service of their offers.

    Each node sends a few calls; the services in ``full`` have no room.
    """
    served, refused = Counter(), Counter()

    async def run_node(number):
        sender, streams = build_sender([], DESTINATIONS)
        sender.set_table(replace(sender.table, router=Router((ROUTE,))))
        sender.splitter.random = Random(number)

        def deliver(address, routed, timeout_seconds, done, upload=None):
            streams.sent.append(routed.service)
            answer = BUSY if routed.service in full else GOOD
            asyncio.get_running_loop().call_soon(done, answer)
            return lambda: None

        streams.deliver = deliver
        for _ in range(CALLS_A_NODE):
            streams.sent.clear()
            status, _, _ = await send(sender, '/split/x')
            assert len(set(streams.sent)) == 1, streams.sent
            counts = served if status == 200 else refused
            counts[streams.sent[0]] += 1
            assert status in (200, 503), status
            sender.clock.now += 1.0

    async def run():
        for number in range(NODES):
            await run_node(number)

    asyncio.run(run())
    return served, refused


def test_the_shares_hold_in_total_at_few_calls_a_node():
    served, refused = run_mesh(full=())
    assert not refused
    share = served['other'] / served.total()
    assert abs(share - 0.25) < 0.05, served


def test_what_does_not_fit_a_part_is_refused_and_not_moved():
    # Calls that went to the other part would change the shares that operators
    # asked for, just while one part is short of room.
    served, refused = run_mesh(full=('other',))
    assert set(served) == {'front'} and set(refused) == {'other'}
    share = refused['other'] / (refused.total() + served.total())
    assert abs(share - 0.25) < 0.05, (served, refused)
