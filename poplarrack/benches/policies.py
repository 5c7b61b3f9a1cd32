"""Measure the call path's policies against their plain baselines."""

from itertools import count
from json import dumps
from random import Random
import time

from poplarrack.benches.calls import end_callers
from poplarrack.benches.calls import run_callers
from poplarrack.benches.calls import SETTINGS
from poplarrack.benches.cases import bench_case
from poplarrack.benches.cases import Bound
from poplarrack.benches.cases import Result
from poplarrack.retries import FailedAttempt
from poplarrack.retries import Failure
from poplarrack.retries import may_retry
from poplarrack.retries import RetryBudget
from poplarrack.stand_ins.meshes import ProcessMesh

CHAIN_DEPTH = 11
NAIVE_ATTEMPTS = 3
FAILED_SHARE = 0.05
CALLS_OUT_A_CALL_IN = 1.2


@bench_case('misleading-health')
def misleading_health(seed, seconds=5):
    """A server that says it is well and fails: calls that it gets.

    Both balancers eject; a plain turn would give it a third.
    """
    figures = {}
    for balancer in ('least_loaded', 'round_robin'):
        counts = _call_past_a_liar(balancer, seed, seconds)
        total = sum(counts.values())
        figures[f'failed_share_{balancer}'] = counts[500] / total
        figures[f'calls_{balancer}'] = total
    figures['failed_ratio'] = figures['failed_share_least_loaded'] / max(
        1e-9, figures['failed_share_round_robin']
    )
    bounds = {'failed_share_least_loaded': Bound(most=FAILED_SHARE)}
    return Result(figures, bounds)


def _call_past_a_liar(balancer, seed, seconds):
    """Call through a node with two good servers and one that fails."""
    with ProcessMesh('bench') as mesh:
        mesh.start_platform()
        mesh.ctl('put_all', dumps(SETTINGS))
        seeds = []
        for number in range(3):
            node = mesh.start_node(
                f'a-{number}',
                'south',
                'a',
                seeds,
                calls={'balancer': balancer},
            )
            seeds = [node.peer_address]
            fail_rate = 1.0 if number == 1 + seed % 2 else 0.0
            mesh.start_backend(
                node,
                'front',
                'v1',
                delay=0.01,
                fail_rate=fail_rate,
                lies=True,
            )
        mesh.wait_until_ready()
        mesh.wait_for_servers('a-0', 3)
        address = mesh.nodes['a-0'].call_address
        callers, ended = run_callers(address, 6, count())
        time.sleep(seconds)
        return end_callers(callers, ended)


class _Chain:
    """Services that call each other; the last one fails calls."""

    def __init__(self, random, failed_share, retries):
        self.random = random
        self.failed_share = failed_share
        self.retries = retries
        self.budgets = [RetryBudget() for _ in range(CHAIN_DEPTH)]
        self.at_the_end = 0

    def call(self, depth):
        """Call down from a depth; return whether it succeeded."""
        if depth == CHAIN_DEPTH:
            self.at_the_end += 1
            return self.random.random() >= self.failed_share
        self.budgets[depth].record_call()
        attempts = 1
        while not self.call(depth + 1):
            if not self.retries(self.budgets[depth], depth, attempts):
                return False
            attempts += 1
        return True


def _retries_by_policy(budget, depth, attempts):
    attempted = FailedAttempt(
        Failure.FAILED_ANSWER, attempts, True, depth, deadline=1.0
    )
    return may_retry(attempted, budget, 0.0)


def _retries_naively(budget, depth, attempts):
    return attempts < NAIVE_ATTEMPTS


@bench_case('retry-storm')
def retry_storm(seed, calls=3000):
    """Calls 11 deep, the last service failing: calls out per call in."""
    figures = {}
    for name, retries in (
        ('policy', _retries_by_policy),
        ('naive', _retries_naively),
    ):
        for failed_share in (0.1, 1.0):
            # Naive retries of a dead service are 3 ** 11 calls each.
            hopeless = name == 'naive' and failed_share == 1.0
            number = 2 if hopeless else calls
            chain = _Chain(Random(seed), failed_share, retries)
            answered = sum(chain.call(0) for _ in range(number))
            key = f'{name}_at_{failed_share:g}'
            figures[f'calls_out_{key}'] = chain.at_the_end / number
            figures[f'answered_share_{key}'] = answered / number
    bounds = {
        'calls_out_policy_at_1': Bound(most=CALLS_OUT_A_CALL_IN),
        'calls_out_policy_at_0.1': Bound(most=CALLS_OUT_A_CALL_IN),
    }
    return Result(figures, bounds)
