"""Bench cases of the call path's policies, against plain baselines."""

from itertools import count
from json import dumps
from random import Random
import time

from poplarrack.benches.calls import run_callers
from poplarrack.benches.calls import SETTINGS
from poplarrack.benches.calls import stop_callers
from poplarrack.benches.cases import bench_case
from poplarrack.benches.cases import Bound
from poplarrack.benches.cases import Result
from poplarrack.retries import FailedAttempt
from poplarrack.retries import Failure
from poplarrack.retries import may_retry
from poplarrack.retries import RetryBudget
from poplarrack.stand_ins.meshes import ProcessMesh

CHAIN_DEPTH = 11
MAX_NAIVE_ATTEMPTS = 3
MAX_FAILED_SHARE = 0.05
MAX_CALLS_OUT_PER_CALL_IN = 1.2


@bench_case('misleading-health')
def misleading_health(seed, seconds=5):
    """A server that says it is well and fails: calls that it gets.

    Both balancers eject it; plain round robin would send it a third.
    """
    figures = {}
    for balancer in ('least_loaded', 'round_robin'):
        counts = _call_with_misleading_health(balancer, seed, seconds)
        total = sum(counts.values())
        figures[f'failed_share_{balancer}'] = counts[500] / total
        figures[f'calls_{balancer}'] = total
    figures['failed_ratio'] = figures['failed_share_least_loaded'] / max(
        1e-9, figures['failed_share_round_robin']
    )
    bounds = {'failed_share_least_loaded': Bound(maximum=MAX_FAILED_SHARE)}
    return Result(figures, bounds)


def _call_with_misleading_health(balancer, seed, seconds):
    """Call with two good servers and one that fails; return the counts.

    All three announce the reverse of their health.
    """
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
        callers, stopped = run_callers(address, 6, count())
        time.sleep(seconds)
        return stop_callers(callers, stopped)


class _Chain:
    """Services that each call the next; calls to the last one may fail.

    :param failed_share: the fraction of calls that the last one fails.
    :param may_retry: a function of (budget, depth, attempts).
    """

    def __init__(self, random, failed_share, may_retry):
        self.random = random
        self.failed_share = failed_share
        self.may_retry = may_retry
        self.budgets = [RetryBudget() for _ in range(CHAIN_DEPTH)]
        self.calls_out = 0

    def call(self, depth):
        """Call from the service at a depth; return whether it succeeded."""
        if depth == CHAIN_DEPTH:
            self.calls_out += 1
            return self.random.random() >= self.failed_share
        self.budgets[depth].record_call()
        attempts = 1
        while not self.call(depth + 1):
            if not self.may_retry(self.budgets[depth], depth, attempts):
                return False
            attempts += 1
        return True


def _may_retry_by_policy(budget, depth, attempts):
    attempted = FailedAttempt(
        Failure.FAILED_ANSWER, attempts, True, depth, deadline=1.0
    )
    return may_retry(attempted, budget, 0.0)


def _may_retry_naively(budget, depth, attempts):
    return attempts < MAX_NAIVE_ATTEMPTS


@bench_case('retry-storm')
def retry_storm(seed, calls=3000):
    """Calls 11 deep, the last service failing: calls out per call in."""
    figures = {}
    for name, may_retry_call in (
        ('policy', _may_retry_by_policy),
        ('naive', _may_retry_naively),
    ):
        for failed_share in (0.1, 1.0):
            # Naive retries send a dead service 3 ** 11 calls for each call.
            is_explosive = name == 'naive' and failed_share == 1.0
            number = 2 if is_explosive else calls
            chain = _Chain(Random(seed), failed_share, may_retry_call)
            succeeded = sum(chain.call(0) for _ in range(number))
            key = f'{name}_at_{failed_share:g}'
            figures[f'calls_out_{key}'] = chain.calls_out / number
            figures[f'answered_share_{key}'] = succeeded / number
    bounds = {
        'calls_out_policy_at_1': Bound(maximum=MAX_CALLS_OUT_PER_CALL_IN),
        'calls_out_policy_at_0.1': Bound(maximum=MAX_CALLS_OUT_PER_CALL_IN),
    }
    return Result(figures, bounds)
