"""Test load balancing, limits, queues, retry budgets and routing."""

from collections import Counter
from random import Random

from poplarrack.balancers import CallerCounts
from poplarrack.balancers import choose_server
from poplarrack.balancers import derive_candidates
from poplarrack.balancers import Locality
from poplarrack.balancers import may_eject
from poplarrack.balancers import pick_least_loaded
from poplarrack.balancers import ServerLoad
from poplarrack.balancers import subset_size
from poplarrack.limits import AdaptiveLimit
from poplarrack.limits import CallQueue
from poplarrack.members import EndpointState
from poplarrack.resources import Priority
from poplarrack.resources import Route
from poplarrack.retries import Backoff
from poplarrack.retries import FailedAttempt
from poplarrack.retries import Failure
from poplarrack.retries import may_retry
from poplarrack.retries import RetryBudget
from poplarrack.routers import Router
from tests.samples import endpoint
from tests.samples import member
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)


def server_load(address, tier=0, announced_at=-100.0):
    record = endpoint(address, announced_at=announced_at)
    return ServerLoad(record, tier, 5.0)


def choose(loads, tried=(), now=0.0):
    return choose_server(loads, pick_least_loaded, now, Random(1), tried)


def test_the_nearest_tier_goes_first_and_spills_when_full():
    near, far = server_load('n'), server_load('f', tier=2)
    assert choose([far, near]) is near
    near.in_flight = 10
    assert choose([far, near]) is far
    far.in_flight = 10
    assert choose([far, near]) is None


def test_a_cold_server_gets_little_until_it_is_warm():
    cold, warm = server_load('c', announced_at=0.0), server_load('w')
    random = Random(3)
    drawn = Counter()
    for _ in range(1000):
        picked = choose_server([cold, warm], pick_least_loaded, 0.1, random)
        drawn[picked.endpoint.address] += 1
    assert drawn['c'] < 250, drawn
    cold.in_flight = 1
    assert not cold.admits(0.1) and cold.admits(5.0)


def test_ejection_never_empties_a_service():
    loads = [server_load(str(number)) for number in range(6)]
    ejected = 0
    for item in loads:
        for _ in range(6):
            item.on_failure()
        if may_eject(item, loads, 0.0):
            item.eject(0.0)
            ejected += 1
    assert ejected == 2
    assert choose(loads, now=0.1) not in loads[:2]
    assert not may_eject(server_load('only'), [server_load('only')], 0.0)


def test_a_tried_server_is_taken_again_only_when_alone():
    one, two = server_load('1'), server_load('2')
    assert choose([one, two], tried=('1',)) is two
    assert choose([one], tried=('1',)) is one


def test_subsets_keep_servers_under_their_connections():
    members = [
        member(f's{i}', zone='abcde'[i % 5], endpoint=endpoint(f's{i}'))
        for i in range(20)
    ]
    connections = Counter()
    for number in range(1000):
        locality = Locality(f'n{number}', 'south', 'abcde'[number % 5])
        found = derive_candidates(
            locality, members, lambda service: CallerCounts(400, 200)
        )
        for candidate in found[('front', 'v1')]:
            connections[candidate.endpoint.address] += number % 5 < 2
    assert subset_size(20, 500, 110) == 3
    assert max(connections.values()) <= 110, max(connections.values())


def test_leaving_servers_are_no_candidates():
    draining = endpoint(state=EndpointState.DRAINING)
    found = derive_candidates(
        Locality('n', 'south', 'a'),
        [member('s', endpoint=draining)],
        lambda service: CallerCounts(1, 1),
    )
    assert not found


def test_limits_fall_under_pressure_and_come_back():
    limit = AdaptiveLimit(10)
    for moment in range(40):
        limit.on_overload(moment * 0.2)
    assert limit.limit == 1.0 and limit.admits(0)
    for _ in range(200):
        limit.on_success(limit.limit)
    assert limit.limit == 10.0


def test_queues_serve_the_important_first_and_refuse_the_rest_early():
    queue = CallQueue(10)
    accepted = [queue.try_enqueue(n, Priority.SHEDDABLE) for n in range(5)]
    assert accepted == [True] * 3 + [False] * 2
    assert all(queue.try_enqueue(n, Priority.CRITICAL) for n in range(10, 17))
    assert not queue.try_enqueue(99, Priority.CRITICAL)
    assert queue.dequeue() == 10
    queue.discard(11, Priority.CRITICAL)
    assert queue.dequeue() == 12


def failed_attempt(failure, **more):
    fields = {'attempts': 1, 'repeatable': False, 'depth': 0, 'deadline': 9.0}
    return FailedAttempt(failure, **{**fields, **more})


def test_retries_by_what_is_sure():
    budget = RetryBudget()
    not_run = (Failure.NEVER_SENT, Failure.REFUSED)
    for failure in Failure:
        allowed = may_retry(failed_attempt(failure), budget, 0.0)
        assert allowed == (failure in not_run), failure
    lost = failed_attempt(Failure.LOST, repeatable=True)
    assert may_retry(lost, budget, 0.0)
    assert not may_retry(lost, budget, 10.0)
    downstream = failed_attempt(Failure.LOST, repeatable=True, depth=1)
    assert not may_retry(downstream, budget, 0.0)


def test_the_budget_bounds_retries_to_a_share_of_calls():
    budget = RetryBudget(ratio=0.1, capacity=10)
    retries = 0
    for _ in range(1000):
        budget.record_call()
        retries += budget.try_acquire()
    assert retries <= 111, retries


def test_backoff_is_fully_jittered_and_bounded():
    delays = [Backoff().delay(9, Random(n)) for n in range(500)]
    assert 0 <= min(delays) < 1 and 9 < max(delays) <= 10


def test_routes_match_whole_segments_longest_first():
    router = Router(
        sorted(
            [
                Route('all', '/', 's'),
                Route('bag', '/bags', 's', methods=('GET',)),
                Route('own', '/bags/own', 's'),
            ],
            key=lambda route: -len(route.prefix),
        )
    )
    expected = {
        ('GET', '/bags?x=1'): 'bag',
        ('GET', '/bags/own/3'): 'own',
        ('GET', '/bagsful'): 'all',
        ('POST', '/bags'): 'all',
    }
    for (method, target), name in expected.items():
        assert router.match(method, target).name == name, target
