"""Test the bound on repeats that all nodes of a mesh share.

Nodes keep it without talking to each other, so that it has to hold for the
sum of what they do: at any size, through restarts, and where the services
that they retry call other services.
"""

from random import Random

from poplarrack.balancers import Locality
from poplarrack.knowledge import Knowledge
from poplarrack.members import MemberState
from poplarrack.retry_budgets import RetryLimits
from poplarrack.retry_budgets import SharedRetryBudget
from poplarrack.routing_tables import derive_routing_table
from tests.retry_meshes import MeshPlan
from tests.retry_meshes import play
from tests.samples import member
from tests.samples import member_table
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

SEED = 774013


def assert_bound_holds(plan):
    excess, service, second = play(plan, SEED).worst_excess()
    assert excess <= 0, f'{service}: {excess:.0f} too many from {second} s on'


# Retries of 4 nodes that fail half of their requests at two services, also
# if all of them restart.
def test_repeats_of_a_small_mesh_stay_within_the_budget():
    for fraction in (0.0, 1.0):
        assert_bound_holds(
            MeshPlan(4, 20.0, slack=56.0, herd_fraction=fraction)
        )


# Repeated runs call the next service again, which no retry budget counted.
def test_repeats_of_calling_services_stay_within_the_budget():
    assert_bound_holds(MeshPlan(75, 4.0, slack=190.0))


# A restarted node had a full reserve of retries again.
def test_repeats_after_a_restart_of_many_nodes_stay_within_the_budget():
    for fraction in (0.4, 1.0):
        assert_bound_holds(
            MeshPlan(75, 4.0, slack=190.0, herd_fraction=fraction)
        )


# A node that restarts again and again had a full reserve each time.
def test_a_started_node_has_only_the_retries_that_its_calls_earned():
    random = Random(SEED)
    limits = RetryLimits(slack=200.0)
    granted = 0
    for _ in range(1000):
        budget = SharedRetryBudget(limits, random)
        budget.record_call('r', 5.0)
        granted += budget.try_acquire('r', 10, 5.0)
    assert granted <= 1.5 * 1000 * limits.retry_ratio, granted


# The reserves of 1,000 nodes added up to 3,000 retries of each service.
def test_reserves_of_a_large_mesh_stay_within_the_budget():
    assert_bound_holds(MeshPlan(1000, 0.5, slack=190.0, herd_fraction=0.4))


# Each service of a chain added its own retries to those it inherited.
def test_repeats_at_the_end_of_a_long_chain_stay_within_the_budget():
    services = ('a', 'b', 'c', 'd', 'e', 'f')
    assert_bound_holds(
        MeshPlan(75, 2.0, slack=190.0, services=services, calls_per_run=1)
    )


# Retries earned by calls that lead to no others were sent on a route whose
# runs call the next service, which got more repeats than its calls allow.
def test_a_route_gets_no_retries_that_other_routes_earned():
    assert_bound_holds(
        MeshPlan(
            75,
            4.0,
            slack=190.0,
            calls_per_run=3,
            unrepeatable_fraction=0.7,
            failed_fraction=0.3,
        )
    )


# With parts rounded to whole retries, a large mesh sends either none or one
# more for each node.
def test_small_parts_of_many_nodes_add_up():
    random = Random(SEED)
    limits = RetryLimits(slack=200.0)
    budgets = [SharedRetryBudget(limits, random) for _ in range(1000)]
    for budget in budgets:
        for second in range(10):
            budget.record_call('r', float(second))
    granted = sum(budget.try_acquire('r', 1000, 9.0) for budget in budgets)
    part = limits.node_reserve(1000) + limits.retry_ratio
    assert 0.7 * 1000 * part <= granted <= 1.5 * 1000 * part, granted


# A node that a partition cuts off would take the parts of all others.
def test_nodes_behind_a_partition_keep_their_part():
    states = {
        'n1': MemberState.ALIVE,
        'n2': MemberState.SUSPECT,
        'n3': MemberState.DEAD,
        'n4': MemberState.LEFT,
    }
    members = member_table(
        *(member(node_id, state=state) for node_id, state in states.items())
    )
    locality = Locality('n1', 'south', 'a')
    table = derive_routing_table(locality, Knowledge(members=members), 0.0)
    assert table.node_count == 3
    assert derive_routing_table(locality, Knowledge(), 0.0).node_count == 1


# Names of routes that change with each version would be kept for good.
def test_dropped_routes_are_forgotten():
    budget = SharedRetryBudget(RetryLimits(), Random(SEED))
    for route in ('kept', 'dropped'):
        budget.record_call(route, 0.0)
    budget.keep_only({'kept'})
    assert set(budget.route_buckets) == {'kept'}
    assert not budget.try_acquire('dropped', 10, 0.0)
