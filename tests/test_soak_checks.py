"""Test that each check of the soak finds what it is for."""

from poplarrack.resources import CallerLimits
from tests.soak_checks import check_answer
from tests.soak_checks import check_record
from tests.soak_checks import MAX_DENIED
from tests.soak_checks import MAX_DENIED_OUT_OF_TOUCH
from tests.soak_checks import MIN_REQUESTS_OF_KIND
from tests.soak_http import HttpMessage
from tests.soak_records import Change
from tests.soak_records import Disturbance
from tests.soak_records import Record
from tests.soak_records import Request
from tests.soak_records import Run
from tests.soak_records import STORE
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

HOST = 'sidecar-a-0'


def build_record():
    """Return a Record of two versions that move a route and drop one."""
    record = Record(lambda: 0.0)
    record.boots[HOST] = [0.0]
    record.changes = [
        Change(1, 0.0, 0.0, {'/c/': 'front', '/n1/': 'front'}),
        Change(2, 9.9, 10.0, {'/c/': 'back'}),
    ]
    return record


def add_request(record, sent_at, path='/c/x', safe=True, **fields):
    """Add a request that was answered after 0.1 s; return it."""
    key = f'c{next(record.numbers)}'
    request = Request(key, HOST, path, safe, sent_at, **fields)
    request.ended_at = sent_at + 0.1
    record.requests[key] = request
    return request


def add_run(record, request, service='front', at=None):
    """Add a run of a request; return it."""
    began_at = request.sent_at if at is None else at
    stamp = f's{next(record.numbers)}'
    run = Run(request.key, stamp, HOST, 'i-1', service, began_at, 200, 50)
    record.add_run(run)
    return run


def rules_broken(record):
    """Check the record; return the rules that were broken."""
    check_record(record)
    return [item.partition(':')[0] for item in record.violations]


def answer(run, **changes):
    """Return the rules that an answer breaks which differs from a run's."""
    record = build_record()
    request = add_request(record, 1.0)
    own, other = (
        add_run(record, request),
        add_run(record, add_request(record, 1.0)),
    )
    run = {'own': own, 'other': other}[run]
    fields = {'status': run.status, 'body': run.body, 'stamp': run.stamp}
    fields = {**fields, 'echo': request.key, **changes}
    headers = {'request-id': fields['echo'], 'server-stamp': fields['stamp']}
    message = HttpMessage(
        f'HTTP/1.1 {fields["status"]} -', headers, fields['body']
    )
    check_answer(record, request, message)
    return record.violations


def test_an_answer_that_is_not_its_own_is_found():
    # A foreign or changed answer would pass as the caller's own.
    assert not answer('own')
    assert answer('other')
    for changes in (
        {'status': 500},
        {'body': b'short'},
        {'stamp': ''},
        {'stamp': 's0'},
        {'echo': 'c0'},
    ):
        assert answer('own', **changes), changes


def test_the_answer_of_an_earlier_call_with_the_same_id_is_found():
    # A late second answer to the first of two calls would pass.
    record = build_record()
    request = add_request(record, 1.0)
    run = add_run(record, request, at=0.9)
    message = HttpMessage(
        'HTTP/1.1 200 -', {'server-stamp': run.stamp}, run.body
    )
    check_answer(record, request, message)
    assert len(record.violations) == 1, record.violations


def test_repeated_runs_and_untrue_refusals_are_found():
    # A run that a status denies, or a second one, would pass.
    record = build_record()
    twice = add_request(record, 1.0, safe=False)
    add_run(record, twice)
    add_run(record, twice)
    add_run(record, add_request(record, 1.0, denies_run=True))
    assert rules_broken(record) == ['TWICE', 'REFUSED']


def test_a_confirmed_version_is_due_after_the_bound():
    # A node that keeps an older version would pass.
    for sent_at, path, service, late in (
        (12.4, '/c/x', 'front', False),
        (12.6, '/c/x', 'front', True),
        (12.6, '/c/x', 'back', False),
        (12.6, '/n1/x', 'front', True),
    ):
        record = build_record()
        add_run(record, add_request(record, sent_at, path), service)
        assert rules_broken(record) == ['CONFIG'] * late, (sent_at, path)


def test_an_added_route_is_due_after_the_bound():
    # 404 on a route that was added and confirmed would pass.
    record = build_record()
    record.changes.append(Change(3, 20.0, 20.0, {'/n2/': 'front'}))
    add_request(record, 22.4, '/n2/x', status=404)
    assert not rules_broken(record)
    add_request(record, 22.6, '/n2/x', status=404)
    del record.handlings
    assert rules_broken(record) == ['CONFIG']


def test_hosts_that_are_not_in_touch_are_excused():
    # The excuse of a fault must end with the stable window.
    for name, span, excused in (
        (HOST, (8.0, 8.7), True),
        (HOST, (8.0, 8.5), False),
        (STORE, (8.0, 8.7), True),
        (HOST, (12.8, 13.0), False),
        ('sidecar-a-1', (8.0, 13.0), False),
    ):
        record = build_record()
        record.disturbances[name].append(Disturbance(*span))
        add_run(record, add_request(record, 12.6))
        assert bool(rules_broken(record)) != excused, (name, span)


def test_a_node_that_goes_back_is_found_within_the_bound_on_changes():
    # A node that shows a version and then an older one would pass.
    for sent_at, boots, broken in (
        (10.4, [0.0], False),
        (10.6, [0.0], True),
        (10.6, [0.0, 10.5], False),
    ):
        record = build_record()
        record.boots[HOST] = boots
        add_run(record, add_request(record, 10.2), 'back')
        add_run(record, add_request(record, sent_at), 'front')
        assert bool(rules_broken(record)) == broken, sent_at


def test_what_no_version_allows_is_found():
    # A service that never had the route would pass.
    record = build_record()
    add_run(record, add_request(record, 1.0, '/n1/x'), 'back')
    add_request(record, 1.0, status=404)
    assert sorted(rules_broken(record)) == ['DENIED', 'ROUTE']


def test_requests_lost_with_kept_connections_are_found():
    # A node in touch that closes a connection in use would pass.
    for kept, found in ((True, ['LOST']), (False, [])):
        record = build_record()
        for _ in range(4):
            add_run(record, add_request(record, 5.0, kept=kept))
        assert rules_broken(record) == found


def deny(number, disturbed=(), **fields):
    """Return the rules that a number of refused requests breaks.

    Versions widen the limits from 10 s and from 20 s on, and add a route
    from 20 s on.

    :param disturbed: spans in which the host was impaired.
    """
    record = Record(lambda: 0.0)
    record.boots[HOST] = [0.0]
    narrow = CallerLimits('callers', 8000, 100, 1.0, 5.0)
    wide = CallerLimits('callers', 9000, 200, 2.0, 5.0)
    services = {'/c/': 'front'}
    added = {**services, '/n1/': 'front'}
    record.changes = [
        Change(1, 0.0, 0.0, services, narrow),
        Change(2, 9.9, 10.0, services, wide),
        Change(3, 19.9, 20.0, added, wide),
    ]
    record.disturbances[HOST] = [Disturbance(*span) for span in disturbed]
    for _ in range(number):
        add_request(record, **fields)
    return set(rules_broken(record))


# A node answered 400 to requests whose callers kept the limits.
def test_proper_requests_that_are_refused_are_found_beyond_the_bound():
    frozen = ((4.0, 6.0),)
    for number, disturbed, fields, broken in (
        # What all versions allow is proper at any node.
        (MAX_DENIED, (), {'sent_at': 5.0, 'status': 400}, False),
        (MAX_DENIED + 1, (), {'sent_at': 5.0, 'status': 400}, True),
        (MAX_DENIED + 1, frozen, {'sent_at': 5.0, 'status': 400}, True),
        (MAX_DENIED + 1, (), {'sent_at': 5.0, 'status': 302}, True),
        # A promise that the request did not run says nothing against it.
        (9, (), {'sent_at': 5.0, 'status': 408}, False),
        (9, (), {'sent_at': 5.0, 'status': 429}, False),
        (9, (), {'sent_at': 5.0, 'status': 503}, False),
        # An endpoint's own answer.
        (9, (), {'sent_at': 5.0, 'status': 400, 'stamp': 's1'}, False),
    ):
        found = deny(number, disturbed, **fields)
        assert ('DENIED' in found) == broken, (number, disturbed, fields)


# Nodes have a time to take over a version, and longer while out of touch.
def test_requests_are_judged_by_the_versions_that_may_be_in_force():
    large = {'status': 413, 'body': b'x' * 150}
    slow = {'status': 400, 'pause_seconds': 1.5}
    head = {'status': 400, 'head_bytes': 8500}
    added = {'status': 404, 'path': '/n1/x'}
    for fields in (large, slow, head):
        assert 'DENIED' not in deny(9, sent_at=12.4, **fields), fields
        assert 'DENIED' in deny(9, sent_at=12.6, **fields), fields
        found = deny(9, [(12.0, 13.0)], sent_at=12.6, **fields)
        assert 'DENIED' not in found, fields
    assert 'DENIED' not in deny(9, sent_at=22.4, **added)
    assert 'DENIED' in deny(9, sent_at=22.6, **added)
    assert 'DENIED' not in deny(9, sent_at=30.0, body=b'x' * 250, status=413)


def test_routes_of_all_versions_are_known_to_nodes_out_of_touch():
    # A node that knows no configuration yet answered 404 in place of 503.
    record = Record(lambda: 0.0)
    record.changes = [Change(1, 0.0, 0.0, {'/c/': 'front'})]
    record.disturbances[HOST] = [Disturbance(4.0, 6.0)]
    # Enough requests for the bound on all nodes to allow as many.
    for _ in range(5000):
        add_request(record, 1.0, status=503)
    for _ in range(MAX_DENIED_OUT_OF_TOUCH):
        add_request(record, 5.0, status=401)
    assert not rules_broken(record)
    add_request(record, 5.0, status=401)
    assert set(rules_broken(record)) == {'DENIED'}


def test_what_was_sent_behind_a_broken_answer_is_not_lost():
    # The connection ends with the answer that its endpoint broke off.
    for status, found in ((0, []), (200, ['LOST'])):
        record = build_record()
        for _ in range(4):
            first = add_request(record, 5.0, status=status)
            behind = add_request(record, 5.0, kept=True, behind=first)
            add_run(record, behind)
        assert rules_broken(record) == found


# One rank or one service's calls would get nothing while the whole stands.
def test_a_kind_that_is_served_far_less_than_all_is_found():
    for path, served, fields, broken in (
        ('/l/x', 5, {}, True),
        ('/l/x', 15, {}, False),
        # Not owed: its callers left, or a version has no such route.
        ('/l/x', 0, {'abandoned': True}, False),
        ('/n1/x', 0, {}, False),
        # Sent while another node was impaired.
        ('/l/x', 0, {'sent_at': 8.0}, False),
        # Sent while the nodes were started.
        ('/l/x', 0, {'sent_at': 1.0}, False),
    ):
        record = Record(lambda: 0.0)
        record.boots[HOST] = [0.0]
        services = {'/c/': 'front', '/l/': 'front'}
        record.changes = [
            Change(1, 0.0, 0.0, services),
            Change(2, 0.0, 0.0, {**services, '/n1/': 'front'}),
        ]
        record.served_from = 2.0
        record.disturbances['sidecar-a-1'].append(Disturbance(7.0, 9.0))
        for _ in range(MIN_REQUESTS_OF_KIND * 10):
            add_request(record, 5.0, status=200, stamp='s')
        for number in range(MIN_REQUESTS_OF_KIND):
            request = add_request(
                record,
                path=path,
                status=503,
                **{'sent_at': 5.0, **fields},
            )
            if number < served:
                request.stamp = 's'
        found = rules_broken(record)
        assert found == ['STARVED'] * broken, (path, served, fields)
