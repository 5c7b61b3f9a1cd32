"""Test that weights hold in total over many nodes with few calls each.

Each node began a route's sequence with its largest part, give or take. One
call from each of 1,000 nodes gave a part of 10% 2.5% of the calls, and parts
of 1% none.
"""

from collections import Counter
from random import Random

from poplarrack.resources import Route
from poplarrack.resources import WeightedService
from poplarrack.traffic_splitters import TrafficSplitter
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

WEIGHTS = ((90, 10), (70, 30), (50, 30, 20), (1, 1, 1, 97), (0.3, 0.7))


def route_of(weights):
    parts = [
        WeightedService(f's{n}', weight) for n, weight in enumerate(weights)
    ]
    return Route('r', '/', 's0', backends=tuple(parts))


def shares_of(weights, nodes, calls):
    """Return each part's share of the calls of all nodes together."""
    chosen = Counter()
    for node in range(nodes):
        splitter = TrafficSplitter(Random(node))
        for _ in range(calls):
            chosen[splitter.choose_service(route_of(weights))] += 1
    return [chosen[f's{n}'] / (nodes * calls) for n in range(len(weights))]


# The site allows 0.1, the rule 0.2; sampling leaves 0.03 at 1,000 calls.
def test_weights_hold_in_total_with_few_calls_a_node():
    for weights in WEIGHTS:
        for nodes, calls in ((1000, 1), (1000, 2), (1000, 5), (65, 20)):
            shares = shares_of(weights, nodes, calls)
            for weight, share in zip(weights, shares):
                wanted = weight / sum(weights)
                assert abs(share - wanted) < 0.03, (
                    weights,
                    nodes,
                    calls,
                    shares,
                )
                assert share > wanted / 4, (weights, nodes, calls, shares)


# A part that is taken out gets nothing at once, and comes back with its
# weight; a route without any weight keeps to its first service.
def test_a_weight_of_zero_gets_no_call():
    assert shares_of((100, 0), 50, 20) == [1.0, 0.0]
    assert shares_of((0, 0), 5, 10) == [1.0, 0.0]
    splitter = TrafficSplitter(Random(1))
    for weights, expected in (((50, 50), 50), ((50, 0), 0), ((50, 50), 50)):
        route = route_of(weights)
        got = [splitter.choose_service(route) for _ in range(100)]
        assert abs(got.count('s1') - expected) <= 1


# A service may be named twice; both parts count for it.
def test_a_service_that_is_named_twice_gets_both_weights():
    parts = tuple(
        WeightedService(name, weight)
        for name, weight in (('a', 20), ('b', 50), ('a', 30))
    )
    route = Route('r', '/', 'a', backends=parts)
    splitter = TrafficSplitter(Random(3))
    got = [splitter.choose_service(route) for _ in range(200)]
    assert abs(got.count('a') - 100) <= 2
