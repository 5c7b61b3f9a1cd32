"""Test that a call ends as it ran though its endpoint has left meanwhile.

The last endpoint of a service may leave between the choice of it and its
answer, so that the group that it was chosen from is empty by then.
"""

import asyncio

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from poplarrack.exchanges import Delivery
from poplarrack.exchanges import Occupancy
from poplarrack.exchanges import Verdict
from poplarrack.routers import Router
from poplarrack.routing_tables import RoutingTable
from tests.support import build_load_tests
from tests.test_senders import build_sender
from tests.test_senders import destination
from tests.test_senders import ROUTES
from tests.test_senders import send

load_tests = build_load_tests(__name__)

DESTINATIONS = [destination(2), destination(3)]

outcomes = strategies.tuples(
    strategies.sampled_from(Verdict),
    strategies.sampled_from((200, 404, 500)),
    strategies.sampled_from((0.0, 0.39, 0.4, 1.0)),
    # The endpoints that are left when the answer comes.
    strategies.sampled_from(((), (0,), (1,), (0, 1))),
)


class DepartingStreams:
    """Answers offers; before each answer, endpoints leave."""

    def __init__(self, sender, script):
        self.sender = sender
        self.script = list(script)
        self.answered = []

    def deliver(self, address, request, timeout_seconds, done, upload=None):
        verdict, status, failure_rate, left = self.script.pop(0)
        occupancy = Occupancy(1, 0, 10, 0, 5.0, failure_rate)
        delivery = Delivery(verdict, reason='x', occupancy=occupancy)
        if verdict is Verdict.ANSWERED:
            delivery = replace_status(delivery, status)
        self.answered.append((verdict, status))

        def answer():
            found = {'front': [DESTINATIONS[index] for index in left]}
            self.sender.set_table(RoutingTable(6, Router(ROUTES), found))
            done(delivery)

        asyncio.get_running_loop().call_soon(answer)
        return lambda: None


def replace_status(delivery, status):
    """Return a delivery as an answer with a status and a body."""
    return Delivery(
        delivery.verdict, status, [], b'ok', '', delivery.occupancy
    )


async def play(script, path):
    """Send a request; return its status and the outcomes of its offers."""
    sender, _ = build_sender([], {'front': DESTINATIONS})
    streams = sender.streams = DepartingStreams(sender, script)
    status, _, _ = await send(sender, path)
    assert not sender.counts['refused_internal'], script
    return status, streams.answered


# A success was replaced by a 500: a mean was taken over the empty group.
@settings(max_examples=400, deadline=None)
@given(
    strategies.lists(outcomes, min_size=10, max_size=10),
    strategies.sampled_from(('/pay/x', '/read/x')),
)
def test_a_departure_changes_no_answer(script, path):
    status, answered = asyncio.run(play(script, path))
    verdict, last = answered[-1]
    if verdict is Verdict.ANSWERED:
        assert status == last, (script, path)
