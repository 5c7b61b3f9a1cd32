"""Test that a choice is explained as it would be made, and changes nothing."""

from contextlib import redirect_stdout
from copy import deepcopy
from dataclasses import replace
from io import StringIO
from json import dumps
from types import SimpleNamespace

from poplarrack.commands import Commands
from poplarrack.errors import ErrorKind
from poplarrack.exchanges import Occupancy
from poplarrack.explanations import describe_explanation
from poplarrack.explanations import explain
from poplarrack.explanations import parse_question
from poplarrack.explanations import Question
from poplarrack.organisations import StaleKeys
from poplarrack.resources import Organisation
from poplarrack.routers import Router
from poplarrack.routing_tables import RoutingTable
from tests.support import assert_raises
from tests.support import build_load_tests
from tests.test_senders import ACME
from tests.test_senders import build_sender
from tests.test_senders import destination
from tests.test_senders import ROUTES
from tests.test_senders import SETTINGS
from tests.test_senders import with_organisations

load_tests = build_load_tests(__name__)

READ = Question('shop', 'POST', '/read/x')
FREE = Occupancy(1, 0, 10, 0, 50.0)


def told_sender(**loads):
    """Return a Sender that was told the Occupancy of each instance."""
    sender, streams = build_sender([])
    now = sender.clock()
    for state in sender.destinations.for_service('front'):
        name = state.destination.endpoint.instance_id.replace('-', '')
        state.record_occupancy(loads.get(name, FREE), now - 0.1)
    return sender, streams, now


def reasons_of(answer):
    return {
        item['instance']: item['passed_over']
        for item in answer['services'][0]['endpoints']
    }


# What a look at the choice changes, the next request is placed by.
def test_nothing_is_sent_and_nothing_changes():
    sender, streams, now = told_sender()
    states = list(sender.destinations.for_service('front'))
    before = [deepcopy(vars(state)) for state in states]
    counts = dict(sender.counts)
    phases = dict(sender.splitter.phases)
    first = explain(sender, READ, now)
    explain(sender, Question('shop', 'POST', '/split/x'), now)
    assert explain(sender, READ, now) == first
    assert first['outcome'] == 'placed'
    assert not streams.sent and not sender.calls
    assert [vars(state) for state in states] == before
    assert (dict(sender.counts), sender.splitter.phases) == (counts, phases)


def test_each_that_is_passed_over_has_its_reason():
    sender, _, now = told_sender(i3=Occupancy(4, 9, 10, 2900, 900.0, 0.0, 4.0))
    states = sender.destinations.states_by_instance
    states['i-4'].away_until = now + 1
    answer = explain(sender, READ, now)
    reasons = reasons_of(answer)
    assert reasons['i-2'] == ''
    assert 'too slow' in reasons['i-3'] and 'avoided' in reasons['i-4']
    (slow,) = (
        item
        for item in answer['services'][0]['endpoints']
        if item['instance'] == 'i-3'
    )
    assert (slow['room'], slow['slots'], slow['report_age_ms']) == (4, 10, 100)
    assert 'running 1 of 10' in describe_explanation(answer)
    states['i-2'].ejected_until = now + 1
    assert 'ejected' in reasons_of(explain(sender, READ, now))['i-2']


def test_refusals_come_before_the_endpoints():
    sender, _, now = told_sender()
    nowhere = explain(sender, Question('shop', 'GET', '/none/'), now)
    assert nowhere['outcome'] == ErrorKind.NO_ROUTE.value
    homes = {'far': Organisation('far', regions=('moon',))}
    table = RoutingTable(
        6,
        Router(ROUTES),
        {'front': [destination(2)]},
        organisations=homes,
    )
    sender.set_table(table)
    keyless = explain(sender, READ, now)
    assert keyless['outcome'] == ErrorKind.UNAUTHENTICATED.value
    away = explain(sender, replace(READ, organisation='far'), now)
    assert away['outcome'] == ErrorKind.NO_ENDPOINT.value
    assert reasons_of(away) == {'i-2': 'home'}


# DENIED: explain() said 401 where the node answers 503, and that a request is
# placed where the node refuses every key.
def test_a_key_is_explained_as_it_is_refused():
    sender, _, now = told_sender()
    sender.set_table(with_organisations(sender.table, ACME))
    unauthenticated = ErrorKind.UNAUTHENTICATED.value
    no_endpoint = ErrorKind.NO_ENDPOINT.value
    known, unknown, keyless = (
        replace(READ, organisation=name) for name in ('acme', 'k2', '')
    )
    for is_behind, policy, question, outcome, why in (
        (False, StaleKeys.REFUSED, known, 'placed', 'expected'),
        (False, StaleKeys.REFUSED, unknown, unauthenticated, 'no known key'),
        (True, StaleKeys.LAST_KNOWN, known, 'placed', 'expected'),
        (True, StaleKeys.LAST_KNOWN, unknown, no_endpoint, 'may be missing'),
        (True, StaleKeys.LAST_KNOWN, keyless, unauthenticated, 'no known'),
        (True, StaleKeys.REFUSED, known, no_endpoint, 'may be revoked'),
    ):
        sender.settings = replace(SETTINGS, stale_keys=policy)
        sender.may_be_behind = lambda now, is_behind=is_behind: is_behind
        answer = explain(sender, question, now)
        found = (answer['outcome'], why in answer['why'])
        assert found == (outcome, True), (answer, outcome, why)


def test_a_question_is_read_from_a_query():
    asked = parse_question('path=/a/&method=get&deadline_ms=1500')
    assert asked == Question('', 'GET', '/a/', '', 1.5)
    for query in ('', 'path=a', 'path=/a/&color=red', 'path=/&deadline_ms=x'):
        assert_raises(ErrorKind.MALFORMED_REQUEST, parse_question, query)


def test_the_command_exits_with_the_code_of_the_outcome():
    sender, _, now = told_sender()
    for path, code in (('/read/x', 0), ('/none/', 30)):
        answer = explain(sender, Question('shop', 'POST', path), now)
        commands = Commands.__new__(Commands)
        shown = []
        commands._session = SimpleNamespace(
            print_result=lambda value, text, shown=shown: shown.append(text)
        )
        commands._fetch = lambda address, page, raw=answer: dumps(raw).encode()
        exited = 0
        try:
            with redirect_stdout(StringIO()):
                commands.explain('127.0.0.1:9', path, 'shop', 'POST')
        except SystemExit as error:
            exited = error.code
        assert exited == code and answer['why'] in shown[0]
