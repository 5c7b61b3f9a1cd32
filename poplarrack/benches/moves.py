"""Measure moves: good versions in time, bad ones taken back.

Calls are drawn, not made: many nodes count evidence on a virtual clock and
the real decisions judge it, the way the reports bring it together.
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
from poplarrack.moves import build_move
from poplarrack.moves import decide_move
from poplarrack.moves import DEFAULT_SCHEDULE
from poplarrack.moves import effective_share
from poplarrack.moves import MoveObservation
from poplarrack.moves import POLICIES
from poplarrack.resources import MoveState

WINDOW_SECONDS = 480.0
STEP_SECONDS = 1.0
CALLS_PER_SECOND = 40
REPORT_DELAY_SECONDS = 2.0
MOVES_A_RUN = 16
GOOD_MOVES_A_RUN = 20
SHARE_IN_TIME = 0.95
SHARE_TAKEN_BACK = 0.95
ROUTES = ('payments', 'orders', 'browse')
# Parts of the calls up to and with each route.
ROUTE_EDGES = (0.2, 0.5, 1.0)
BASE_LATENCY_SECONDS = 0.020
BASE_FAILURES = 0.004


@dataclass(frozen=True)
class Badness:
    """How a drawn version is bad, and from when.

    ``shows_at`` is a part of the move's window; ``above_share`` lets it
    show only under load; ``route`` only on one route.
    """

    failures: float = 0.0
    slowdown: float = 1.0
    shows_at: float = 0.0
    above_share: float = 0.0
    route: str = ''

    def applies(self, part, share, route):
        """Say whether the badness shows now."""
        return (
            part >= self.shows_at
            and share >= self.above_share
            and self.route in ('', route)
        )


@dataclass(frozen=True)
class Ending:
    """What became of one move."""

    state: MoveState
    in_time: bool
    largest_share: float
    bad_calls: int
    seconds_to_brake: float


class DrawnMove:
    """One move on drawn calls, worked by the real decisions."""

    def __init__(self, seed, badness, policy, judge=None, plan=None):
        self.random = Random(seed)
        self.badness = badness
        self.judge = judge or judge_by_evidence
        self.plan = plan or decide_move
        self.counter = EvidenceCounter()
        self.now = 1000.0
        self.move = build_move(
            'till-back', 'v1', 'v2', 1000.0 + WINDOW_SECONDS, policy, 1000.0
        )
        self.verdict = None
        self.reported = ()
        self.findings = ()
        self.reported_at = 0.0
        self.bad_calls = 0
        self.largest_share = 0.0
        self.showed_at = None
        self.braked_at = None
        # A busy quarter of an hour, in which both versions are slower.
        self.storm_at = self.random.uniform(0.1, 0.9)

    def run(self):
        """Run to the end of the watch; return the Ending."""
        end = 1000.0 + WINDOW_SECONDS * 1.4
        while self.now < end and self.move.state is not MoveState.WITHDRAWN:
            self.step()
        in_time = (
            self.move.state is MoveState.COMPLETED
            and self.move.ended_at <= self.move.complete_by
        )
        seconds = 0.0
        if self.braked_at and self.showed_at:
            seconds = max(0.0, self.braked_at - self.showed_at)
        return Ending(
            self.move.state,
            in_time,
            self.largest_share,
            self.bad_calls,
            seconds,
        )

    def step(self):
        """Draw a second's calls, report, judge and decide."""
        self.now += STEP_SECONDS
        verdicts = {self.move.move_id: 1} if self.verdict else {}
        share = effective_share(self.move, verdicts)
        self.largest_share = max(self.largest_share, share)
        for _ in range(CALLS_PER_SECOND):
            self._call(share)
        if self.now - self.reported_at >= REPORT_DELAY_SECONDS:
            self.reported_at = self.now
            live = {self.move.move_id}
            self.reported = self.counter.cells(live, self.now)
            self.verdict = self.verdict or self.judge(self)
            if self.verdict and self.braked_at is None:
                self.braked_at = self.now
            self.findings = compare_versions(self.move.move_id, self.reported)
        facts = MoveObservation(
            self.findings, self.verdict, 4, 40.0, 40.0, 10.0
        )
        self.move = self.plan(self.move, facts, self.now) or self.move

    def _call(self, share):
        random = self.random
        route = ROUTES[bisect(ROUTE_EDGES, random.random())]
        part = (self.now - 1000.0) / WINDOW_SECONDS
        new = random.random() < share
        tier = 0 if random.random() < 0.8 else 1
        failures, mean = BASE_FAILURES, BASE_LATENCY_SECONDS + 0.002 * tier
        if abs(part - self.storm_at) < 0.05:
            failures, mean = failures * 4, mean * 2
        if new and self.badness.applies(part, share, route):
            self.showed_at = self.showed_at or self.now
            failures += self.badness.failures
            mean *= self.badness.slowdown
            self.bad_calls += 1
        failed = random.random() < failures
        latency = None if failed else mean * random.lognormvariate(0, 0.5)
        side = Side.NEW if new else Side.OLD
        stage = round(share * 1000)
        key = (self.move.move_id, route, side, tier, stage)
        self.counter.record(key, failed, latency, self.now)


def judge_by_evidence(drawn):
    """Judge as a node does."""
    threshold = POLICIES[drawn.move.policy].fault_threshold
    return detect_regression(
        drawn.move.move_id, drawn.reported, threshold, drawn.now, 'bench'
    )


def judge_by_threshold(drawn):
    """Judge by a fixed threshold on the whole, the baseline."""
    findings = compare_versions(drawn.move.move_id, drawn.reported)
    calls = sum(item.new_calls for item in findings)
    failures = sum(item.new_failures for item in findings)
    if calls >= 20 and failures / calls > 0.05:
        return detect_regression(
            drawn.move.move_id, drawn.reported, 0.0, drawn.now, 'baseline'
        )
    return None


def plan_fixed_steps(move, facts, now):
    """Go up in five equal steps whatever is seen, the baseline."""
    part = (now - move.started_at) / WINDOW_SECONDS
    ramped = min(1.0, (int(part * 5) + 1) / 5)
    nearest = min(DEFAULT_SCHEDULE, key=lambda step: abs(step[1] - ramped))[1]
    share = ramped if part < 0.9 else nearest
    moved = decide_move(move, facts, now) or move
    if moved.state.ended:
        return moved
    return replace(moved, share=share, state=MoveState.ADVANCING)


def run_moves(seed, draw, policy='balanced', moves=MOVES_A_RUN, **options):
    """Run many moves; ``draw`` gives a badness from a random."""
    random = Random(seed)
    return [
        DrawnMove(
            random.randrange(2**31), draw(random), policy, **options
        ).run()
        for _ in range(moves)
    ]


def share_of(endings, state):
    """Return the part of moves that ended in a state."""
    return sum(item.state is state for item in endings) / len(endings)


def bad_figures(endings):
    """Return the figures of moves to bad versions."""
    braked = [e.seconds_to_brake for e in endings if e.seconds_to_brake]
    calls = [item.bad_calls for item in endings]
    return {
        'taken_back': share_of(endings, MoveState.WITHDRAWN),
        'largest_share_p50': percentile(
            [item.largest_share for item in endings], 0.5
        ),
        'bad_calls_p50': percentile(calls, 0.5),
        'bad_calls_most': max(calls),
        'seconds_to_share_0_p50': percentile(braked or [0.0], 0.5),
        'seconds_to_share_0_most': max(braked, default=0.0),
    }


def detection_case(seed, degrees, build):
    """Measure by degree of badness, and beside the baseline.

    :param build: gives a Badness from a degree and a random.
    """
    figures, worst = {}, 1.0
    for degree in degrees:

        def draw(random, degree=degree):
            return build(degree, random)

        endings = run_moves(seed, draw, 'take_back_first')
        for name, value in bad_figures(endings).items():
            figures[f'{name}_at_{degree:g}'] = value
        worst = min(worst, figures[f'taken_back_at_{degree:g}'])
    middle = degrees[len(degrees) // 2]
    baseline = run_moves(
        seed,
        lambda random: build(middle, random),
        'take_back_first',
        judge=judge_by_threshold,
        plan=plan_fixed_steps,
    )
    for name, value in bad_figures(baseline).items():
        figures[f'baseline_{name}_at_{middle:g}'] = value
    figures['taken_back_least'] = worst
    bounds = {'taken_back_least': Bound(least=SHARE_TAKEN_BACK)}
    return Result(figures, bounds)


@bench_case('good-versions')
def good_versions(seed):
    """Good versions through a caller's storm: share done in time."""
    figures, bounds = {}, {}
    for policy in POLICIES:
        endings = run_moves(
            seed, lambda random: Badness(), policy, GOOD_MOVES_A_RUN
        )
        done = sum(item.in_time for item in endings) / len(endings)
        figures[f'done_in_time_{policy}'] = done
        bounds[f'done_in_time_{policy}'] = Bound(least=SHARE_IN_TIME)
    baseline = run_moves(
        seed,
        lambda random: Badness(),
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
    return detection_case(
        seed, (0.5, 0.1, 0.03), lambda degree, random: Badness(degree)
    )


@bench_case('bad-later')
def bad_later(seed):
    """Versions that begin to fail later, by share of failures."""
    return detection_case(
        seed,
        (0.5, 0.1, 0.03),
        lambda degree, random: Badness(
            degree, shows_at=random.uniform(0.3, 1.1)
        ),
    )


@bench_case('bad-under-load')
def bad_under_load(seed):
    """Versions that fail from a share on, by share of failures."""
    return detection_case(
        seed,
        (0.5, 0.1, 0.03),
        lambda degree, random: Badness(
            degree, above_share=random.choice((0.1, 0.25, 0.5))
        ),
    )


@bench_case('bad-one-route')
def bad_one_route(seed):
    """Versions that fail on one route only, by share of failures."""
    return detection_case(
        seed,
        (0.5, 0.1, 0.05),
        lambda degree, random: Badness(degree, route=random.choice(ROUTES)),
    )


@bench_case('slow-version')
def slow_version(seed):
    """Versions that are slow and do not fail, by slowdown."""
    return detection_case(
        seed,
        (4.0, 2.0, 1.5),
        lambda degree, random: Badness(slowdown=degree),
    )
