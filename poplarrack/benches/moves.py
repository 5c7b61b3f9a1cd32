"""Bench cases of moves: good ones complete in time, bad ones are withdrawn.

The calls are simulated: their outcomes are drawn at random and counted as
evidence, and the decisions of real nodes act on that evidence on a virtual
clock, with the delay that reports have.
"""

from bisect import bisect
from dataclasses import dataclass
from dataclasses import replace
from random import Random

from poplarrack.benches.cases import bench_case
from poplarrack.benches.cases import Bound
from poplarrack.benches.cases import percentile
from poplarrack.benches.cases import Result
from poplarrack.evidence import compare_versions
from poplarrack.evidence import detect_regression
from poplarrack.evidence import EvidenceCounter
from poplarrack.evidence import Side
from poplarrack.move_observations import count_new_calls
from poplarrack.move_observations import MoveObservation
from poplarrack.move_policies import DEFAULT_SCHEDULE
from poplarrack.move_policies import POLICIES
from poplarrack.move_records import build_move
from poplarrack.moves import decide_move
from poplarrack.moves import effective_share
from poplarrack.resources import MoveState

MOVE_STARTED_AT = 1000.0
MOVE_SECONDS = 480.0
# Half the length of the load peak, as a fraction of the move.
LOAD_PEAK_HALF_WIDTH = 0.05
STEP_SECONDS = 1.0
CALLS_PER_SECOND = 40
REPORT_DELAY_SECONDS = 2.0
MOVES_PER_RUN = 16
GOOD_MOVES_PER_RUN = 20
MIN_FRACTION_IN_TIME = 0.95
MIN_FRACTION_WITHDRAWN = 0.95
ROUTES = ('payments', 'orders', 'browse')
# Cumulative fractions of the calls by route.
ROUTE_EDGES = (0.2, 0.5, 1.0)
BASELINE_MIN_CALLS = 20
BASELINE_MAX_FAILURE_RATE = 0.05
BASELINE_STEPS = 5
BASE_LATENCY_SECONDS = 0.020
BASE_FAILURE_RATE = 0.004


@dataclass(frozen=True)
class Regression:
    """How the calls of a simulated new version are worse, and when.

    ``failure_rate`` is added to that of the old version, and ``slowdown``
    is a factor on its latency. They apply from the fraction ``shows_at`` of
    the move's duration, and from the share ``above_share``, as a fault that
    shows only under load. They apply to ``route`` only, or to all routes
    when it is empty.
    """

    failure_rate: float = 0.0
    slowdown: float = 1.0
    shows_at: float = 0.0
    above_share: float = 0.0
    route: str = ''

    def applies(self, elapsed_fraction, share, route):
        """Return whether the regression applies to a call."""
        return (
            elapsed_fraction >= self.shows_at
            and share >= self.above_share
            and self.route in ('', route)
        )


@dataclass(frozen=True)
class Outcome:
    """The outcome of one move."""

    state: MoveState
    in_time: bool
    largest_share: float
    bad_calls: int
    seconds_to_halt: float


class SimulatedMove:
    """One move on simulated calls, run by the decisions of real nodes.

    :param judge: a function of the SimulatedMove that returns a verdict or
        None; that of nodes by default.
    :param plan: a function of (move, observed, now) that returns the next
        state of the move or None; that of nodes by default.
    """

    def __init__(self, seed, regression, policy, judge=None, plan=None):
        self.random = Random(seed)
        self.regression = regression
        self.judge = judge or judge_by_evidence
        self.plan = plan or decide_move
        self.counter = EvidenceCounter()
        self.now = MOVE_STARTED_AT
        self.move = build_move(
            'till-back',
            'v1',
            'v2',
            MOVE_STARTED_AT + MOVE_SECONDS,
            policy,
            MOVE_STARTED_AT,
        )
        self.verdict = None
        self.reported = ()
        self.findings = ()
        self.reported_at = 0.0
        self.bad_calls = 0
        self.largest_share = 0.0
        self.regressed_at = None
        self.halted_at = None
        # The middle of a load peak, in which both versions are slower and
        # fail more often; it lasts a tenth of the move.
        self.peak_load_at = self.random.uniform(0.1, 0.9)

    def run(self):
        """Run until the watch after the move ends; return the Outcome."""
        ends_at = MOVE_STARTED_AT + MOVE_SECONDS * 1.4
        while (
            self.now < ends_at and self.move.state is not MoveState.WITHDRAWN
        ):
            self.step()
        in_time = (
            self.move.state is MoveState.COMPLETED
            and self.move.ended_at <= self.move.complete_by
        )
        seconds = 0.0
        if self.halted_at and self.regressed_at:
            seconds = max(0.0, self.halted_at - self.regressed_at)
        return Outcome(
            self.move.state,
            in_time,
            self.largest_share,
            self.bad_calls,
            seconds,
        )

    def step(self):
        """Simulate the calls of a step, report evidence, decide."""
        self.now += STEP_SECONDS
        verdicts = {self.move.move_id: 1} if self.verdict else {}
        share = effective_share(self.move, verdicts)
        self.largest_share = max(self.largest_share, share)
        for _ in range(CALLS_PER_SECOND):
            self._simulate_call(share)
        if self.now - self.reported_at >= REPORT_DELAY_SECONDS:
            self.reported_at = self.now
            live = {self.move.move_id}
            self.reported = self.counter.cells(live, self.now)
            self.verdict = self.verdict or self.judge(self)
            if self.verdict and self.halted_at is None:
                self.halted_at = self.now
            self.findings = compare_versions(self.move.move_id, self.reported)
        observed = MoveObservation(
            self.findings,
            self.verdict,
            4,
            40.0,
            40.0,
            10.0,
            count_new_calls(self.move.move_id, self.reported),
        )
        self.move = self.plan(self.move, observed, self.now) or self.move

    def _simulate_call(self, share):
        random = self.random
        route = ROUTES[bisect(ROUTE_EDGES, random.random())]
        elapsed_fraction = (self.now - MOVE_STARTED_AT) / MOVE_SECONDS
        is_new = random.random() < share
        tier = 0 if random.random() < 0.8 else 1
        failure_rate, mean_latency = (
            BASE_FAILURE_RATE,
            BASE_LATENCY_SECONDS + 0.002 * tier,
        )
        if abs(elapsed_fraction - self.peak_load_at) < LOAD_PEAK_HALF_WIDTH:
            failure_rate, mean_latency = failure_rate * 4, mean_latency * 2
        if is_new and self.regression.applies(elapsed_fraction, share, route):
            self.regressed_at = self.regressed_at or self.now
            failure_rate += self.regression.failure_rate
            mean_latency *= self.regression.slowdown
            self.bad_calls += 1
        failed = random.random() < failure_rate
        latency = (
            None if failed else mean_latency * random.lognormvariate(0, 0.5)
        )
        side = Side.NEW if is_new else Side.OLD
        stage = round(share * 1000)
        key = (self.move.move_id, route, side, tier, stage)
        self.counter.record(key, failed, latency, self.now)


def judge_by_evidence(simulated):
    """Return the verdict that a node reaches, None without one."""
    threshold = POLICIES[simulated.move.policy].withdrawal_threshold
    return detect_regression(
        simulated.move.move_id,
        simulated.reported,
        threshold,
        simulated.now,
        'bench',
    )


def judge_by_threshold(simulated):
    """Return a verdict by a fixed limit on the failure rate: the baseline.

    The rate is that of all calls of the new version, whatever their route.
    """
    findings = compare_versions(simulated.move.move_id, simulated.reported)
    calls = sum(item.new_calls for item in findings)
    failures = sum(item.new_failures for item in findings)
    if (
        calls >= BASELINE_MIN_CALLS
        and failures / calls > BASELINE_MAX_FAILURE_RATE
    ):
        return detect_regression(
            simulated.move.move_id,
            simulated.reported,
            0.0,
            simulated.now,
            'baseline',
        )
    return None


def plan_fixed_steps(move, observed, now):
    """Raise the share in five equal steps, without evidence: the baseline."""
    elapsed_fraction = (now - move.started_at) / MOVE_SECONDS
    ramped = min(
        1.0, (int(elapsed_fraction * BASELINE_STEPS) + 1) / BASELINE_STEPS
    )
    nearest = min(DEFAULT_SCHEDULE, key=lambda step: abs(step[1] - ramped))[1]
    share = ramped if elapsed_fraction < 0.9 else nearest
    moved = decide_move(move, observed, now) or move
    if moved.state.ended:
        return moved
    return replace(moved, share=share, state=MoveState.ADVANCING)


def run_moves(
    seed, draw_regression, policy='balanced', moves=MOVES_PER_RUN, **options
):
    """Run a number of simulated moves.

    :param draw_regression: returns a Regression for a Random.
    :param options: further arguments of SimulatedMove.
    :returns: the Outcome of each.
    """
    random = Random(seed)
    return [
        SimulatedMove(
            random.randrange(2**31), draw_regression(random), policy, **options
        ).run()
        for _ in range(moves)
    ]


def fraction_in_state(outcomes, state):
    """Return the fraction of moves that ended in a state."""
    return sum(item.state is state for item in outcomes) / len(outcomes)


def summarize_bad_moves(outcomes):
    """Return the figures of moves to bad versions."""
    seconds_to_halt = [
        e.seconds_to_halt for e in outcomes if e.seconds_to_halt
    ]
    calls = [item.bad_calls for item in outcomes]
    return {
        'taken_back': fraction_in_state(outcomes, MoveState.WITHDRAWN),
        'largest_share_p50': percentile(
            [item.largest_share for item in outcomes], 0.5
        ),
        'bad_calls_p50': percentile(calls, 0.5),
        'bad_calls_most': max(calls),
        'seconds_to_share_0_p50': percentile(seconds_to_halt or [0.0], 0.5),
        'seconds_to_share_0_most': max(seconds_to_halt, default=0.0),
    }


def measure_detection(seed, degrees, build_regression):
    """Measure the detection of bad versions by the degree of the regression.

    The baseline is measured at the degree in the middle.

    :param degrees: failure rates or slowdowns.
    :param build_regression: returns a Regression for a degree and a Random.
    """
    figures, lowest = {}, 1.0
    for degree in degrees:

        def draw_regression(random, degree=degree):
            return build_regression(degree, random)

        outcomes = run_moves(seed, draw_regression, 'take_back_first')
        for name, value in summarize_bad_moves(outcomes).items():
            figures[f'{name}_at_{degree:g}'] = value
        lowest = min(lowest, figures[f'taken_back_at_{degree:g}'])
    middle = degrees[len(degrees) // 2]
    baseline = run_moves(
        seed,
        lambda random: build_regression(middle, random),
        'take_back_first',
        judge=judge_by_threshold,
        plan=plan_fixed_steps,
    )
    for name, value in summarize_bad_moves(baseline).items():
        figures[f'baseline_{name}_at_{middle:g}'] = value
    figures['taken_back_least'] = lowest
    bounds = {'taken_back_least': Bound(minimum=MIN_FRACTION_WITHDRAWN)}
    return Result(figures, bounds)


@bench_case('good-versions')
def good_versions(seed):
    """Good versions through a caller's storm: share done in time."""
    figures, bounds = {}, {}
    for policy in POLICIES:
        outcomes = run_moves(
            seed, lambda random: Regression(), policy, GOOD_MOVES_PER_RUN
        )
        done = sum(item.in_time for item in outcomes) / len(outcomes)
        figures[f'done_in_time_{policy}'] = done
        bounds[f'done_in_time_{policy}'] = Bound(minimum=MIN_FRACTION_IN_TIME)
    baseline = run_moves(
        seed,
        lambda random: Regression(),
        judge=judge_by_threshold,
        plan=plan_fixed_steps,
    )
    figures['baseline_done_in_time'] = sum(
        item.in_time for item in baseline
    ) / len(baseline)
    return Result(figures, bounds)


@bench_case('bad-at-once')
def bad_at_once(seed):
    """Versions that fail from the start, by share of failures."""
    return measure_detection(
        seed, (0.5, 0.1, 0.03), lambda degree, random: Regression(degree)
    )


@bench_case('bad-later')
def bad_later(seed):
    """Versions that begin to fail later, by share of failures."""
    return measure_detection(
        seed,
        (0.5, 0.1, 0.03),
        lambda degree, random: Regression(
            degree, shows_at=random.uniform(0.3, 1.1)
        ),
    )


@bench_case('bad-under-load')
def bad_under_load(seed):
    """Versions that fail from a share on, by share of failures."""
    return measure_detection(
        seed,
        (0.5, 0.1, 0.03),
        lambda degree, random: Regression(
            degree, above_share=random.choice((0.1, 0.25, 0.5))
        ),
    )


@bench_case('bad-one-route')
def bad_one_route(seed):
    """Versions that fail on one route only, by share of failures."""
    return measure_detection(
        seed,
        (0.5, 0.1, 0.05),
        lambda degree, random: Regression(degree, route=random.choice(ROUTES)),
    )


@bench_case('slow-version')
def slow_version(seed):
    """Versions that are slow and do not fail, by slowdown."""
    return measure_detection(
        seed,
        (4.0, 2.0, 1.5),
        lambda degree, random: Regression(slowdown=degree),
    )
