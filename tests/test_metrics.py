"""Test the metrics that tell on-call what a node believes."""

from collections import Counter
from types import SimpleNamespace

from prometheus_client.core import CollectorRegistry
from prometheus_client.exposition import generate_latest

from poplarrack.blackboards import Facts
from poplarrack.errors import ErrorKind
from poplarrack.evidence import Cell
from poplarrack.evidence import CellKey
from poplarrack.evidence import ENTIRE_STAGE
from poplarrack.evidence import Side
from poplarrack.knowledge import apply_snapshot
from poplarrack.knowledge import Knowledge
from poplarrack.metrics import MAX_LABELLED_ORGANISATIONS
from poplarrack.metrics import NodeCollector
from poplarrack.metrics import OTHER_ORGANISATIONS
from poplarrack.resources import encode_resource
from poplarrack.resources import MoveState
from poplarrack.settings import NodeSettings
from poplarrack.settings import PlatformSettings
from poplarrack.traffic import PeerTraffic
from tests.samples import CHANGES
from tests.samples import member
from tests.samples import move
from tests.samples import snapshot
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)


def scrape(facts, **counts):
    dispatcher = SimpleNamespace(in_flight=0, counts=Counter(counts))
    node = SimpleNamespace(
        blackboard=SimpleNamespace(facts=facts), dispatcher=dispatcher
    )
    server = SimpleNamespace(
        node=node,
        traffic=PeerTraffic(),
        platform=SimpleNamespace(calls=0, rejected_entries={}),
    )
    registry = CollectorRegistry()
    registry.register(NodeCollector(server))
    return generate_latest(registry).decode()


# A node that had lost its counts could not be told from one that held them.
def test_the_calls_held_as_evidence_are_shown_by_version_and_share():
    record = move(share=0.5, state=MoveState.ADVANCING)
    changes = {**CHANGES, 't/moves/front': encode_resource(record)}
    knowledge = apply_snapshot(Knowledge(), snapshot(1, changes))
    cells = tuple(
        Cell(CellKey('m1', route, side, 0, 500, ENTIRE_STAGE), calls, failures)
        for route, side, calls, failures in (
            ('front', Side.OLD, 40, 1),
            ('front', Side.NEW, 30, 12),
            ('pay', Side.NEW, 5, 0),
        )
    )
    settings = NodeSettings(
        'n', 'south', 'a', 'n', '', '', '', PlatformSettings(())
    )
    page = scrape(
        Facts(settings, member('n'), knowledge=knowledge, cells=cells)
    )
    assert (
        'poplarrack_move_share{service="front",state="advancing"} 0.5' in page
    )
    for line in (
        'poplarrack_move_calls{service="front",share="0.5",side="new"} 35.0',
        'poplarrack_move_calls{service="front",share="0.5",side="old"} 40.0',
        'poplarrack_move_failures{service="front",share="0.5",side="new"} '
        '12.0',
    ):
        assert line in page, page


# Refusals with a 4xx could not be told from those that may come back.
def test_own_answers_are_counted_by_status_and_kind():
    settings = NodeSettings(
        'n', 'south', 'a', 'n', '', '', '', PlatformSettings(())
    )
    page = scrape(
        Facts(settings, member('n')), refused_no_route=3, refused_overloaded=5
    )
    lines = [
        line
        for line in page.splitlines()
        if line.startswith('poplarrack_own_answers_total{')
    ]
    name = 'poplarrack_own_answers_total'
    for kind, status, value in (
        ('no_route', 404, 3.0),
        ('overloaded', 503, 5.0),
        ('malformed_request', 400, 0.0),
    ):
        line = f'{name}{{kind="{kind}",status="{status}"}} {value}'
        assert line in lines, lines
    assert len(lines) == len(ErrorKind)


# An organisation a label would let the metrics grow with the configuration.
def test_the_labels_of_organisations_are_bounded():
    counts = {
        f'o{number:03d}': Counter(calls=1)
        for number in range(MAX_LABELLED_ORGANISATIONS + 5)
    }
    node = SimpleNamespace(
        dispatcher=SimpleNamespace(counts_by_organisation=counts)
    )
    collector = NodeCollector(SimpleNamespace(node=node))
    calls, over_limit = collector._collect_organisations()
    values = {
        sample.labels['organisation']: sample.value for sample in calls.samples
    }
    assert len(values) == MAX_LABELLED_ORGANISATIONS + 1
    assert values['o000'] == 1 and values[OTHER_ORGANISATIONS] == 5
    assert sum(sample.value for sample in over_limit.samples) == 0
