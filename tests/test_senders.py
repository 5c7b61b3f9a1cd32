"""Test how a sending node retries, queues and answers calls."""

import asyncio
from dataclasses import replace
from random import Random
from types import SimpleNamespace

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from poplarrack.body_pipes import BodyPipe
from poplarrack.call_tables import VersionSplit
from poplarrack.destination_states import Destination
from poplarrack.destination_states import Tier
from poplarrack.errors import ErrorKind
from poplarrack.evidence import FULL_SHARE_STAGE
from poplarrack.exchanges import Delivery
from poplarrack.exchanges import Occupancy
from poplarrack.exchanges import Verdict
from poplarrack.explanations import explain
from poplarrack.explanations import Question
from poplarrack.header_names import HeaderNames
from poplarrack.http_messages import HttpRequest
from poplarrack.http_messages import take_authority
from poplarrack.organisations import build_key_index
from poplarrack.organisations import StaleKeys
from poplarrack.received_requests import RunningRepeats
from poplarrack.resources import digest_key
from poplarrack.resources import Organisation
from poplarrack.resources import Route
from poplarrack.resources import WeightedService
from poplarrack.routers import Router
from poplarrack.routing_tables import RoutingTable
from poplarrack.senders import Sender
from poplarrack.settings import PlatformSettings
from poplarrack.settings import SidecarSettings
from tests.samples import endpoint
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

HEADER_NAMES = HeaderNames(
    request_id=b'x-id',
    deadline_ms=b'x-deadline',
    caller_service=b'x-from',
    organisation=b'x-org',
)
SETTINGS = SidecarSettings(
    'n1',
    'south',
    'a',
    '127.0.0.1:1',
    '127.0.0.1:2',
    '127.0.0.1:3',
    '127.0.0.1:4',
    PlatformSettings(('127.0.0.1:5',)),
    service='shop',
)
ROUTES = (
    Route('read', '/read/', 'front', repeatable=True, timeout_seconds=2.0),
    Route('pay', '/pay/', 'front', timeout_seconds=2.0),
    Route(
        'split',
        '/split/',
        'front',
        backends=(WeightedService('front', 3), WeightedService('other', 1)),
    ),
)
GOOD = Delivery(Verdict.ANSWERED, 200, [], b'ok')
BUSY = Delivery(
    Verdict.NOT_RUN, reason='busy', occupancy=Occupancy(10, 40, 10, 900, 50.0)
)
STOPPING = Delivery(Verdict.NOT_RUN, reason='stopping')
REFUSED = Delivery(Verdict.REFUSED, reason='status 503')
LOST = Delivery(Verdict.LOST, reason='lost')
TIMED_OUT = Delivery(Verdict.TIMED_OUT, reason='time is over')
FAILED = Delivery(Verdict.ANSWERED, 500, [], b'no')
EARLIER_CALLS = 100
NOT_EXECUTED = (BUSY, STOPPING, REFUSED)


class FakeStreams:
    """Return scripted deliveries; record each request and its address."""

    def __init__(self, script):
        self.script = list(script)
        self.sent = []
        self.withdrawn = 0
        self.script_ended = asyncio.Event()

    def deliver(self, address, request, timeout_seconds, done, upload=None):
        self.sent.append((address, request))
        if self.script:
            delivery = self.script.pop(0)
            asyncio.get_running_loop().call_soon(done, delivery)
        else:
            self.script_ended.set()
        return self._withdraw

    def _withdraw(self):
        self.withdrawn += 1


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def destination(number, tier=Tier.ZONE, service='front'):
    served = replace(
        endpoint(f'10.0.0.{number}:80', instance_id=f'i-{number}'),
        service=service,
    )
    return Destination(f'n{number}', f'10.0.0.{number}:70', served, tier)


def build_sender(script, destinations=None):
    streams = FakeStreams(script)
    receiver = SimpleNamespace(running_repeats=RunningRepeats(), endpoint=None)
    sender = Sender(
        SETTINGS, HEADER_NAMES, receiver, streams, Clock(), Random(7)
    )
    destinations = destinations or {
        'front': [destination(2), destination(3), destination(4)]
    }
    sender.set_table(RoutingTable(5, Router(ROUTES), destinations))
    for route in ROUTES:
        # Earlier calls, which have earned retries.
        for _ in range(EARLIER_CALLS):
            sender.budget_of('front').record_call(route.name, sender.clock())
    return sender, streams


async def send(sender, path='/pay/x', headers=()):
    """Send a request; return the status code, the head and the body."""
    answers = []
    request = HttpRequest(
        'POST', path, [(b'host', b'shop'), (b'x-id', b'r1'), *headers]
    )
    # As the connection does that reads it.
    take_authority(request)
    call = sender.start(request, lambda raw, keep: answers.append(raw))
    if call.task is not None:
        await call.task
    assert len(answers) == 1, answers
    head, _, body = answers[0].partition(b'\r\n\r\n')
    return int(head[9:12]), head, body


def answer_to(script, path):
    """Send one request; return its status, its head and the FakeStreams."""

    async def run():
        sender, streams = build_sender(script)
        status, head, _ = await send(sender, path)
        return status, head, streams

    return asyncio.run(run())


def test_an_answer_is_returned():
    status, _, streams = answer_to([GOOD], '/pay/x')
    assert (status, len(streams.sent)) == (200, 1)


def test_what_surely_did_not_run_goes_to_another_endpoint():
    status, _, streams = answer_to([STOPPING, REFUSED, GOOD], '/pay/x')
    assert status == 200
    addresses = [address for address, _ in streams.sent]
    assert len(set(addresses)) == 3


def test_what_may_have_run_is_not_sent_again_unless_repeatable():
    status, _, streams = answer_to([LOST, GOOD], '/pay/x')
    assert (status, len(streams.sent)) == (502, 1)
    status, _, streams = answer_to([LOST, GOOD], '/read/x')
    assert (status, len(streams.sent)) == (200, 2)


# RECOVER: endpoints that were slow once, as after their node's start, got no
# request again, since none of a route could be in time as far as was known.
def test_endpoints_that_were_slow_are_tried_again():
    def answer(service_ms):
        occupancy = Occupancy(1, 0, 10, 0, service_ms)
        return Delivery(Verdict.ANSWERED, 200, [], b'ok', '', occupancy)

    async def run():
        slow, quick = answer(5000.0), answer(5.0)
        sender, streams = build_sender([slow, slow, quick, quick])
        for state in sender.destinations.for_service('front'):
            state.service_seconds = 5.0
        found = []
        for pause_seconds in (0.0, 0.5, 0.6, 1.0, 0.1):
            sender.clock.now += pause_seconds
            status, _, _ = await send(sender)
            found.append((status, len(streams.sent)))
        return found

    tried = [(200, 1), (503, 1), (200, 2), (200, 3), (200, 4)]
    assert asyncio.run(run()) == tried


def test_a_refusal_says_when_to_come_back():
    status, head, _ = answer_to([BUSY] * 20, '/pay/x')
    assert status == 503
    assert b'retry-after: 0.' in head


def test_a_call_is_not_refused_unasked():
    async def run():
        sender, streams = build_sender([GOOD])
        now = sender.clock()
        for state in sender.destinations.for_service('front'):
            # By the recorded occupancy, every queue is too long to wait in.
            state.record_occupancy(Occupancy(10, 40, 10, 1500, 800.0), now)
        status, _, _ = await send(sender)
        return status, streams.sent

    status, sent = asyncio.run(run())
    assert (status, len(sent)) == (200, 1)
    assert sent[0][1].max_wait_ms > 0


def test_a_call_waits_where_it_takes_the_least_time_when_all_are_busy():
    async def run():
        sender, streams = build_sender([BUSY, BUSY, BUSY, GOOD])
        status, _, _ = await send(sender)
        return status, [request.max_wait_ms for _, request in streams.sent]

    status, max_waits_ms = asyncio.run(run())
    assert status == 200
    # The last offer may wait as long as the answer can meet the deadline.
    assert max_waits_ms[-1] > max(max_waits_ms[:-1])


def test_a_failure_of_the_endpoint_is_passed_on():
    status, _, streams = answer_to([FAILED], '/pay/x')
    assert (status, len(streams.sent)) == (500, 1)


def test_the_last_failure_is_returned_when_nobody_is_left():
    status, _, _ = answer_to([FAILED, STOPPING, STOPPING], '/read/x')
    assert status == 500


def test_no_refusal_after_a_run_that_may_have_been():
    status, _, _ = answer_to([LOST, STOPPING, STOPPING], '/read/x')
    assert status == 502


def test_max_attempts_bound_the_endpoints_that_a_call_reaches():
    route = replace(ROUTES[0], max_attempts=2)

    async def run():
        sender, streams = build_sender([LOST, LOST, GOOD])
        table = replace(sender.table, router=Router((route,)))
        sender.set_table(table)
        status, _, _ = await send(sender, '/read/x')
        return status, len(streams.sent)

    assert asyncio.run(run()) == (502, 2)


def test_unknown_routes_and_unknown_configuration_differ():
    async def run():
        sender, _ = build_sender([])
        first = await send(sender, '/none/')
        sender.set_table(RoutingTable())
        return first[0], (await send(sender, '/none/'))[0]

    assert asyncio.run(run()) == (404, 503)


# DENIED: a revision was taken for routes, so that all requests got 404.
def test_a_revision_without_routes_denies_no_route():
    async def run():
        sender, _ = build_sender([])
        sender.set_table(RoutingTable(7))
        explanation = explain(sender, Question('', 'GET', '/read/x'), 0.0)
        status, head, _ = await send(sender, '/read/x')
        return status, head, explanation['outcome']

    status, head, explained = asyncio.run(run())
    assert status == 503 and b'retry-after' in head.lower(), head
    assert explained == ErrorKind.NO_ENDPOINT.value


# DENIED: a target in absolute form, as callers send to a proxy, got 404.
def test_a_target_in_absolute_form_is_routed_by_its_host_and_path():
    async def run(target):
        sender, streams = build_sender([GOOD])
        route = Route('r', '/pay/', 'front', host='shop.example')
        sender.set_table(replace(sender.table, router=Router((route,))))
        status, _, _ = await send(sender, target)
        found = [
            (routed.target, dict(routed.headers).get(b'host'))
            for _, routed in streams.sent
        ]
        return status, found

    for target, path in (
        ('http://shop.example/pay/x?y=/z', '/pay/x?y=/z'),
        ('HTTP://a:b@Shop.example:80/pay/', '/pay/'),
    ):
        status, found = asyncio.run(run(target))
        assert (status, [sent for sent, _ in found]) == (200, [path]), status
        assert found[0][1].lower().startswith(b'shop.example'), found
    for target in (
        'http://other/pay/x',
        'http://shop.example?a=/pay/',
        'http://shop.example/p',
        '/http://shop.example/pay/x',
        '*',
    ):
        assert asyncio.run(run(target)) == (404, []), target


def test_headers_of_the_mesh_are_set_whatever_was_sent():
    async def run():
        sender, streams = build_sender([GOOD])
        forged = ((b'x-from', b'forged'), (b'x-deadline', b'700'))
        await send(sender, '/pay/x', forged)
        return streams.sent[0][1]

    routed = asyncio.run(run())
    assert routed.caller_service == 'shop'
    assert 690 <= routed.time_left_ms <= 700
    names = [name for name, _ in routed.headers]
    assert b'x-from' not in names and b'x-deadline' not in names
    assert routed.request_id == b'r1' and b'x-id' in names


def with_organisations(table, *organisations):
    """Return a RoutingTable with organisations and a public route."""
    by_name = {item.name: item for item in organisations}
    public = Route('open', '/open/', 'front', public=True)
    return replace(
        table,
        router=Router((*ROUTES, public)),
        organisations=by_name,
        keys=build_key_index(by_name),
    )


ACME = Organisation('acme', (digest_key(b'k1'),), rank=7)
KEY = (b'authorization', b'Bearer k1')


def send_with_key(headers, path='/pay/x', stale_keys=None, table=None):
    """Send one request; return its status and the offers made of it."""

    async def run():
        sender, streams = build_sender([GOOD])
        sender.set_table(table or with_organisations(sender.table, ACME))
        if stale_keys is not None:
            sender.settings = replace(SETTINGS, stale_keys=stale_keys)
            sender.may_be_behind = lambda now: True
        status, head, body = await send(sender, path, headers)
        assert b'k1' not in head + body
        return status, [request for _, request in streams.sent]

    return asyncio.run(run())


# UNASKED: a key was passed on to the endpoint, or a caller named another
# organisation than the one that holds its key.
def test_a_key_ends_where_the_caller_connects():
    forged = ((b'x-org', b'other'), (b'x-org', b'acme'), KEY, KEY)
    status, (routed,) = send_with_key(forged)
    assert (status, routed.organisation, routed.rank) == (200, 'acme', 7001)
    names = {name for name, _ in routed.headers}
    assert not names & {b'authorization', b'x-org'}


# ROUTE, CONFIG: a request ran with a key that no version held, or that was
# taken away.
def test_without_a_known_key_nothing_runs():
    for headers in (
        (),
        ((b'authorization', b'Bearer k2'),),
        ((b'authorization', b'k1'),),
        (KEY, (b'authorization', b'Bearer k2')),
    ):
        assert send_with_key(headers) == (401, []), headers
    assert send_with_key((KEY,), table=RoutingTable()) == (503, [])


def test_a_public_route_asks_for_no_key_and_passes_none_on():
    status, (routed,) = send_with_key((KEY, (b'x-org', b'acme')), '/open/x')
    assert (status, routed.organisation) == (200, '')
    names = {name for name, _ in routed.headers}
    assert not names & {b'authorization', b'x-org'}
    assert send_with_key((), '/open/x')[0] == 200


def test_without_organisations_credentials_are_the_endpoints_own():
    async def run():
        sender, streams = build_sender([GOOD])
        await send(sender, headers=(KEY,))
        return streams.sent[0][1]

    routed = asyncio.run(run())
    assert KEY in routed.headers and routed.organisation == ''


# A node that is out of touch can't know of a revocation: it serves by the
# last version, or refuses every key with a promise that nothing ran.
def test_stale_keys_are_taken_or_refused_as_set():
    status, sent = send_with_key((KEY,), stale_keys=StaleKeys.LAST_KNOWN)
    assert (status, len(sent)) == (200, 1)
    refused = StaleKeys.REFUSED
    assert send_with_key((KEY,), stale_keys=refused) == (503, [])
    assert send_with_key((), '/open/x', refused)[0] == 200


# DENIED: a node that is out of touch denied for good what a newer version may
# allow: 401 and 404 are never retried.
def test_a_node_that_may_be_behind_denies_no_key_and_no_route():
    unknown = (b'authorization', b'Bearer k2')
    for policy in StaleKeys:
        assert send_with_key((unknown,), stale_keys=policy) == (503, [])
        assert send_with_key((KEY,), '/none/', policy) == (503, [])
    without_key = send_with_key((), stale_keys=StaleKeys.LAST_KNOWN)
    assert without_key == (401, [])


# DENIED: a node that rejected a newer version denied for good what that may
# allow. Keys that it knows are taken, whatever is done with stale keys.
def test_a_node_that_rejected_a_version_denies_no_key_and_no_route():
    async def run(path, *headers):
        sender, streams = build_sender([GOOD])
        sender.set_table(with_organisations(sender.table, ACME))
        sender.settings = replace(SETTINGS, stale_keys=StaleKeys.REFUSED)
        sender.is_newer_rejected = lambda: True
        status, head, body = await send(sender, path, headers)
        promised = b'"ran":"no"' in body and b'retry-after: ' in head
        assert status != 503 or promised
        return status, len(streams.sent), b'newer version was rejected' in body

    unknown = (b'authorization', b'Bearer k2')
    for path, headers, found in (
        ('/pay/x', (unknown,), (503, 0, True)),
        ('/none/', (KEY,), (503, 0, True)),
        ('/pay/x', (KEY,), (200, 1, False)),
        ('/pay/x', (), (401, 0, False)),
    ):
        assert asyncio.run(run(path, *headers)) == found, (path, headers)


# QUOTA: a call over the limit must be refused at once with a promise that it
# did not run, and be told when there is room again.
def test_over_its_limit_an_organisation_is_refused():
    limited = replace(ACME, calls_per_second=2.0, burst=2.0)

    async def run():
        sender, streams = build_sender([GOOD] * 5)
        sender.set_table(with_organisations(sender.table, limited))
        sender.call_limits.told_at = sender.clock()
        found = [await send(sender, headers=(KEY,)) for _ in range(20)]
        passed = sum(status == 200 for status, _, _ in found)
        assert passed == len(streams.sent) <= 3
        (described,) = sender.dump_organisations()[
            'nearest_to_limits'
        ].values()
        assert described['limit'] == 2.0 and described['made_here'] == 20.0
        return found[-1]

    status, head, body = asyncio.run(run())
    assert status == 429 and b'"ran":"no"' in body
    assert b'retry-after: ' in head


# Requests below the limit were refused while the organisation's earlier ones
# had used it up without being run.
def test_what_did_not_run_is_not_counted_against_a_limit():
    limited = replace(ACME, calls_per_second=2.0, burst=2.0)

    async def run():
        sender, _ = build_sender([STOPPING] * 300)
        sender.set_table(with_organisations(sender.table, limited))
        sender.call_limits.told_at = sender.clock()
        found = [await send(sender, headers=(KEY,)) for _ in range(20)]
        return {status for status, _, _ in found}

    assert asyncio.run(run()) == {503}


def test_a_retry_is_marked_as_a_repeat():
    _, _, streams = answer_to([STOPPING, FAILED, GOOD], '/read/x')
    marks = [request.is_repeat for _, request in streams.sent]
    assert marks == [False, False, True]


def test_calls_of_repeated_runs_are_estimated():
    async def run():
        destinations = {
            'front': [destination(2)],
            'other': [destination(3, service='other')],
        }
        sender, streams = build_sender([GOOD] * 8, destinations)
        sender.settings = replace(SETTINGS, service='front')
        for is_repeat in (False, True):
            sender.receiver.running_repeats.add(
                SimpleNamespace(repeatable=True, is_repeat=is_repeat)
            )
        for _ in range(4):
            await send(sender, '/split/x')
        return sender.counts_by_service

    counts = asyncio.run(run())
    assert counts['front']['inherited_repeats'] == 0
    assert counts['other']['inherited_repeats'] == 0.5


def test_a_caller_that_leaves_withdraws_its_request():
    async def run():
        sender, streams = build_sender([])
        request = HttpRequest('POST', '/pay/x', [(b'x-id', b'r1')])
        call = sender.start(request, lambda *answer: None)
        await streams.script_ended.wait()
        sender.cancel(call)
        await asyncio.gather(call.task, return_exceptions=True)
        return streams.withdrawn, sender.in_flight

    assert asyncio.run(run()) == (1, 0)


def test_a_call_that_ends_before_it_began_is_not_counted_on():
    async def run():
        sender, streams = build_sender([GOOD])
        request = HttpRequest('POST', '/pay/x', [(b'x-id', b'r1')])
        call = sender.start(request, lambda *answer: None)
        sender.cancel(call)
        await asyncio.gather(call.task, return_exceptions=True)
        return len(streams.sent), sender.in_flight

    assert asyncio.run(run()) == (0, 0)


def test_weights_split_calls_exactly():
    async def run():
        destinations = {
            'front': [destination(2)],
            'other': [destination(3, service='other')],
        }
        sender, streams = build_sender([GOOD] * 400, destinations)
        for _ in range(400):
            await send(sender, '/split/x')
        return sum(request.service == 'other' for _, request in streams.sent)

    assert abs(asyncio.run(run()) - 100) <= 1


# EXPOSURE: calls that only the new version could take were counted under the
# share 0, at which nothing compares them with the old version's.
def test_calls_without_an_old_version_are_counted_at_the_whole_share():
    for share in (0.5, 1.0):
        new = destination(2)
        new = replace(new, endpoint=replace(new.endpoint, version='v2'))
        sender, _ = build_sender([FAILED], {'front': [new]})
        split = VersionSplit('m1', '', 'v2', share, True)
        sender.set_table(replace(sender.table, moves={'front': split}))
        asyncio.run(send(sender))
        cells = sender.evidence.cells({'m1'}, sender.clock())
        assert {cell.key.stage for cell in cells} == {FULL_SHARE_STAGE}, cells


def test_a_silent_node_is_avoided():
    async def run():
        sender, streams = build_sender([GOOD] * 30)
        sender.destinations.avoid_node('10.0.0.2:70')
        for _ in range(30):
            await send(sender, '/read/x')
        return {address for address, _ in streams.sent}

    assert '10.0.0.2:70' not in asyncio.run(run())


@settings(max_examples=150, deadline=None)
@given(
    strategies.lists(
        strategies.sampled_from(
            [GOOD, BUSY, STOPPING, REFUSED, LOST, TIMED_OUT, FAILED]
        ),
        min_size=20,
        max_size=20,
    ),
    strategies.booleans(),
)
def test_promises_hold_for_any_course_of_attempts(script, repeatable):
    path = '/read/x' if repeatable else '/pay/x'
    status, _, streams = answer_to(script, path)
    deliveries = script[: len(streams.sent)]
    may_have_run = [item for item in deliveries if item not in NOT_EXECUTED]
    if not repeatable:
        # At most one attempt may have run, and it is the last one.
        assert len(may_have_run) <= 1
        assert all(item in NOT_EXECUTED for item in deliveries[:-1])
    if status == 503:
        assert not may_have_run
    if status == 200:
        assert deliveries[-1] is GOOD
    arrived = [item for item in deliveries if item not in (BUSY, STOPPING)]
    assert len(arrived) <= 3


# REFUSED, TWICE: endpoints echo a request's id, so that an earlier refusal can
# only be mistaken where the same request comes to the same endpoint again.
def test_a_refused_request_never_returns_to_the_endpoint():
    sender, streams = build_sender(
        [REFUSED, GOOD], {'front': [destination(2)]}
    )
    status, _, _ = asyncio.run(send(sender))
    assert status == 503 and len(streams.sent) == 1


# LOST: a stopping node took requests late in its grace and was gone before
# their answers came.
def test_a_stopping_node_refuses_requests_that_may_outlast_it():
    sender, streams = build_sender([GOOD])
    sender.closes_at = sender.clock() + 1.0
    refused, head, _ = asyncio.run(send(sender))
    assert refused == 503 and b'retry-after' in head and not streams.sent
    in_time = ((b'x-deadline', b'900'),)
    served, _, _ = asyncio.run(send(sender, headers=in_time))
    assert served == 200


# LOST: connections of a stopping node were closed without an answer.
def test_a_stopping_node_answers_the_calls_that_it_gives_up():
    async def run():
        sender, streams = build_sender([])
        answers = []
        request = HttpRequest('POST', '/pay/x', [(b'host', b'shop')])
        call = sender.start(request, lambda raw, keep: answers.append(raw))
        await streams.script_ended.wait()
        sender.give_up_calls()
        await asyncio.wait([call.task])
        return answers, sender.in_flight, streams.withdrawn

    answers, in_flight, withdrawn = asyncio.run(run())
    # The endpoint may be running it: no promise that it has not run.
    assert len(answers) == 1 and answers[0].startswith(b'HTTP/1.1 502')
    assert (in_flight, withdrawn) == (0, 1)


# The node of a far endpoint told that a request was not run 30 ms after the
# sending node had given it up as one that may have run.
def test_an_outcome_is_back_by_the_deadline():
    async def run(tier):
        sender, streams = build_sender(
            [GOOD], {'front': [destination(2, tier)]}
        )
        await send(sender, '/pay/x', [(b'x-deadline', b'500')])
        return streams.sent[0][1].time_left_ms

    near, far = (asyncio.run(run(tier)) for tier in (Tier.ZONE, Tier.FAR))
    assert 490 <= near < 500
    assert 430 <= far <= near - 60


class SilentSource:
    """The source of a body that doesn't come."""

    def on_pipe_opened(self, pipe):
        pass

    on_pipe_taken = on_pipe_closed = on_pipe_opened


# A request whose body stalled was held without an end where the next
# node takes none in pieces; no timer of its connection ends it.
def test_a_stalled_body_that_is_read_whole_ends_at_the_deadline():
    async def run():
        sender, streams = build_sender([GOOD])

        async def takes_pieces(address, timeout_seconds):
            return False

        streams.takes_pieces = takes_pieces
        answers = []
        headers = [(b'host', b'shop'), (b'x-deadline', b'300')]
        request = HttpRequest('POST', '/pay/x', headers)
        request.upload = BodyPipe(SilentSource(), 900_000)
        call = sender.start(request, lambda raw, keep: answers.append(raw))
        await asyncio.wait_for(call.task, 5)
        return answers, request.upload, streams

    (answer,), upload, streams = asyncio.run(run())
    assert answer.startswith(b'HTTP/1.1 503'), answer
    assert upload.closed and not streams.sent


def target_lefts(deadlines_ms, deliveries):
    """Return what is left of the target latency of calls at their offers.

    :param deadlines_ms: what their callers say that they wait, in turn.
    """

    async def run():
        sender, streams = build_sender(deliveries)
        routes = [replace(item, target_latency_seconds=0.6) for item in ROUTES]
        sender.set_table(
            RoutingTable(5, Router(routes), {'front': [destination(2)]})
        )

        for asked_ms, waited_ms in deadlines_ms:
            sender.clock.now += waited_ms / 1000
            headers = [(b'x-deadline', b'%d' % asked_ms)]
            await send(sender, '/pay/x', headers)
        return [request.target_left_ms for _, request in streams.sent]

    return asyncio.run(run())


# Lookups that came back after a refusal had the slots of those that could
# still be in time, since their target latency began anew.
def test_a_call_that_comes_back_has_less_of_its_target_latency():
    calls = ((3000, 0), (2805, 200), (2590, 210))
    first, second, third = target_lefts(calls, [REFUSED, REFUSED, GOOD])
    assert 590 <= first <= 600
    assert first - 200 - 5 <= second <= first - 200 + 5
    assert first - 410 - 5 <= third <= first - 410 + 5


# Refused: one caller with a long deadline, or calls with what is left of their
# parents' time, made others seem to have waited for their target latency.
def test_callers_that_wait_differently_long_have_all_of_their_target_latency():
    calls = [(3_600_000, 0), (2000, 5), (800, 5), (1999, 5), (300, 5)]
    lefts = target_lefts(calls, [REFUSED, GOOD, REFUSED, GOOD, GOOD])
    assert min(lefts) >= 299, lefts
    assert min(lefts[:4]) >= 590, lefts


# A caller that was served doesn't come back; another may have its deadline.
def test_a_call_like_one_that_was_served_has_all_of_its_target_latency():
    lefts = target_lefts([(3000, 0), (2800, 200)], [GOOD, GOOD])
    assert min(lefts) >= 590, lefts
