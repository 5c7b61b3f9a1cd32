"""Count calls during a move and test the new version against the old.

The test is sequential: a score statistic for the log odds ratio,
stratified by route and locality, with a half-normal mixture prior. It may
be evaluated after every call without inflating the rate of false
positives.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import IntEnum
from math import erf
from math import exp
from math import inf
from math import log
from math import log2
from math import sqrt

# Latencies up to FIRST_BUCKET_SECONDS are counted in bucket 0. From there
# the bounds of the buckets grow by a factor of 2 ** (1/4), about 19%.
BUCKETS_PER_DOUBLING = 4
FIRST_BUCKET_SECONDS = 0.0005
MAX_BUCKET = 60

# Length of an epoch. Recent calls are counted apart by epochs, so that a
# version that turns bad late is not hidden by its earlier calls.
EPOCH_SECONDS = 15

# Scale of the half-normal prior of the log odds ratio.
PRIOR_SCALE = 1.5

# exp() overflows from about 709 on.
MAX_EXPONENT = 500

# Factors are stored and shown up to this one, since JSON has no infinity.
MAX_FINITE_FACTOR = 1e12

# Events added to a stratum, so that an old version with few calls and no
# failure is not taken for one that never fails.
PSEUDO_EVENTS = 0.5

# Lower bound of the variance of a stratum's new events.
MIN_VARIANCE = 0.01

# Odds ratio of failures up to which a new version counts as no worse.
FAILURE_TOLERANCE = 1.25

# Latency buckets by which a new version may be slower and counts as no
# worse, and the quantiles of the old version's latency that are compared.
LATENCY_TOLERANCE_BUCKETS = 1
LATENCY_QUANTILES = (0.5, 0.9)

# CellKey.stage at a share of 100%.
FULL_SHARE_STAGE = 1000

# Name under which all routes together are tested.
ALL_ROUTES = '(all)'

# Tolerated odds ratios of failures and of very slow calls, and divisor of the
# Bayes factor, for comparing the new version at the full share with earlier
# calls to the old one. Very slow calls take twice as long as nearly all of
# the old version's, or longer.
HISTORICAL_TOLERANCE = 5.0
HISTORICAL_LATENCY_TOLERANCE = 2.0
HISTORICAL_LATENCY_TOLERANCE_BUCKETS = 4
HISTORICAL_DISCOUNT = 1000.0

# Earlier calls to the old version that are enough for that comparison.
ENOUGH_EARLIER_CALLS = 500


class Side(IntEnum):
    """The version of a move that a call was sent to."""

    OLD = 0
    NEW = 1


@dataclass(frozen=True, slots=True)
class CellKey:
    """The key by which calls are counted.

    ``tier`` is the locality of the backend server. A Dispatcher numbers it
    from ``SAME_ZONE`` to ``OTHER_REGION``, a Sender as in ``Tier``.
    ``stage`` is the move's share in thousandths. Within a stage each call
    is assigned to a side with the same probability, so that both versions
    are exposed to the same load and the same incidents. ``epoch`` is
    ENTIRE_STAGE or RECENT_EPOCHS.
    """

    move_id: str
    route: str
    side: Side
    tier: int
    stage: int
    epoch: int


def stage_of(share):
    """Return the CellKey.stage of a share from 0 to 1."""
    return round(share * FULL_SHARE_STAGE)


@dataclass(frozen=True, slots=True)
class Cell:
    """The counts under one key; ``latency`` maps buckets to calls."""

    key: CellKey
    calls: int = 0
    failures: int = 0
    latency: Mapping[int, int] = field(default_factory=dict)


# Values of CellKey.epoch: all calls of a stage, or only those of the
# current and the previous epoch.
ENTIRE_STAGE = 0
RECENT_EPOCHS = 1


def latency_bucket(seconds):
    """Return the index of the bucket that a latency falls in."""
    if seconds <= FIRST_BUCKET_SECONDS:
        return 0
    doublings = log2(seconds / FIRST_BUCKET_SECONDS)
    return min(MAX_BUCKET, 1 + int(doublings * BUCKETS_PER_DOUBLING))


class _MutableCell:
    """The counts of a cell while calls are added to it."""

    __slots__ = ('calls', 'failures', 'latency')

    def __init__(self):
        self.calls = 0
        self.failures = 0
        self.latency = {}

    def add(self, failed, bucket):
        self.calls += 1
        self.failures += failed
        if bucket is not None:
            self.latency[bucket] = self.latency.get(bucket, 0) + 1


class EvidenceCounter:
    """Count the calls that a node sends by move, route, side and tier."""

    def __init__(self):
        self.by_stage = {}
        self.by_epoch = {}

    def record(self, key, failed, latency, now):
        """Count one finished call.

        :param key: move id, route, side, tier and stage.
        :param latency: seconds, or None where the latency says nothing
            about the version, as for a failed call or a cold server.
        :param now: seconds since the epoch.
        """
        bucket = None if latency is None else latency_bucket(latency)
        counts = self.by_stage.get(key)
        if counts is None:
            counts = self.by_stage[key] = _MutableCell()
        counts.add(failed, bucket)
        epoch = int(now // EPOCH_SECONDS)
        counts = self.by_epoch.get((epoch, key))
        if counts is None:
            counts = self.by_epoch[(epoch, key)] = _MutableCell()
        counts.add(failed, bucket)

    def cells(self, live_moves, now):
        """Return the cells of the live moves and drop all other counts.

        :param live_moves: the ids of the live moves.
        :param now: seconds since the epoch.
        """
        oldest = int(now // EPOCH_SECONDS) - 1
        self.by_stage = {
            key: counts
            for key, counts in self.by_stage.items()
            if key[0] in live_moves
        }
        self.by_epoch = {
            key: counts
            for key, counts in self.by_epoch.items()
            if key[0] >= oldest and key[1][0] in live_moves
        }
        entire = [
            _freeze(key, ENTIRE_STAGE, counts)
            for key, counts in self.by_stage.items()
        ]
        recent = [
            _freeze(key, RECENT_EPOCHS, counts)
            for (_, key), counts in self.by_epoch.items()
        ]
        return merge_cells([entire, recent])


def _freeze(key, epoch, counts):
    return Cell(
        CellKey(*key, epoch),
        counts.calls,
        counts.failures,
        dict(counts.latency),
    )


def merge_cells(groups):
    """Return one cell per key, with the counts of all groups added up."""
    merged = {}
    for group in groups:
        for cell in group:
            previous = merged.get(cell.key)
            merged[cell.key] = _add(previous, cell) if previous else cell
    return tuple(merged.values())


def _add(first, second):
    latency = dict(first.latency)
    for bucket, calls in second.latency.items():
        latency[bucket] = latency.get(bucket, 0) + calls
    return Cell(
        first.key,
        first.calls + second.calls,
        first.failures + second.failures,
        latency,
    )


@dataclass(frozen=True)
class Stratum:
    """The calls and events of two versions under the same conditions.

    Events are failures, or calls slower than some bound.
    """

    old_calls: int
    old_events: int
    new_calls: int
    new_events: int


def bayes_factor(strata, tolerance=1.0, scale=PRIOR_SCALE):
    """Return the Bayes factor for the new version being worse.

    While the new version's odds of an event are at most ``tolerance``
    times the old version's, the probability that the factor ever exceeds
    1/a is about a.

    :param strata: an iterable of Stratum.
    :param tolerance: the odds ratio up to which a version is no worse.
    :param scale: the scale of the log odds ratio's half-normal prior.
    """
    score, information = 0.0, 0.0
    for stratum in strata:
        expected, variance = _expectation(stratum, tolerance)
        score += stratum.new_events - expected
        information += variance
    if score <= 0:
        return 0.0
    spread = 1 + information * scale * scale
    exponent = score * score * scale * scale / (2 * spread)
    if exponent > MAX_EXPONENT:
        return inf
    tail = 0.5 * (1 + erf(score * scale / sqrt(2 * spread)))
    return 2 * exp(exponent) * tail / sqrt(spread)


def _expectation(stratum, tolerance):
    """Return mean and variance of the new events at the tolerance."""
    if not stratum.new_calls or not stratum.old_calls:
        return stratum.new_events, 0.0
    calls = stratum.old_calls + stratum.new_calls
    events = stratum.old_events + stratum.new_events + PSEUDO_EVENTS
    weighted_new = stratum.new_calls * tolerance
    fraction = weighted_new / (weighted_new + stratum.old_calls)
    correction = max(0.0, (calls - events) / max(1, calls - 1))
    return events * fraction, max(
        events * fraction * (1 - fraction) * correction, MIN_VARIANCE
    )


@dataclass(frozen=True)
class Verdict:
    """The final decision that a move's new version is bad.

    Not related to the Verdict of ``exchanges.py``, which is on a request.
    """

    move_id: str
    route: str
    cause: str
    factor: float
    found_at: float
    found_by: str


@dataclass(frozen=True)
class Finding:
    """The counts and Bayes factors of one route.

    ``suspicion_factor`` is the greatest of them without the discount on
    comparisons with earlier calls: too weak to withdraw a version, but
    enough not to complete it.
    """

    route: str
    old_calls: int
    old_failures: int
    new_calls: int
    new_failures: int
    failure_factor: float
    latency_factor: float
    suspicion_factor: float = 0.0


def compare_versions(move_id, cells, recorded=()):
    """Test the new version of a move against the old one on each route.

    :param recorded: the RouteEvidence of the move's record. Its calls to the
        old version are compared with where the cells have few of them.
    :returns: a tuple of Findings, one per route with calls to the new
        version.
    """
    by_route = {}
    for cell in cells:
        if cell.key.move_id == move_id:
            by_route.setdefault(cell.key.route, []).append(cell)
    findings = (
        _compare_route(route, group, [r for r in recorded if r.route == route])
        for route, group in by_route.items()
    )
    return tuple(finding for finding in findings if finding is not None)


def _compare_route(route, cells, recorded):
    entire_old = _by_stratum(cells, Side.OLD, ENTIRE_STAGE)
    entire_new = _by_stratum(cells, Side.NEW, ENTIRE_STAGE)
    if not entire_new:
        return None
    windows = (
        (entire_old, entire_new),
        (
            _by_stratum(cells, Side.OLD, RECENT_EPOCHS),
            _by_stratum(cells, Side.NEW, RECENT_EPOCHS),
        ),
    )
    failures = max(_failure_factor(*window) for window in windows)
    latency = max(_latency_factor(*window) for window in windows)
    earlier = _count_earlier_calls(entire_old, recorded)
    historical = max(_historical_factor(*earlier, new) for _, new in windows)
    slowed = max(
        _historical_latency_factor(entire_old, new) for _, new in windows
    )
    return Finding(
        route,
        sum(cell.calls for cell in entire_old.values()),
        sum(cell.failures for cell in entire_old.values()),
        sum(cell.calls for cell in entire_new.values()),
        sum(cell.failures for cell in entire_new.values()),
        max(failures, historical / HISTORICAL_DISCOUNT),
        max(latency, slowed / HISTORICAL_DISCOUNT),
        max(failures, latency, historical, slowed),
    )


def _by_stratum(cells, side, epoch):
    return {
        (cell.key.route, cell.key.tier, cell.key.stage): cell
        for cell in cells
        if cell.key.side is side and cell.key.epoch == epoch
    }


def _failure_factor(old, new):
    strata = [
        Stratum(old[key].calls, old[key].failures, cell.calls, cell.failures)
        for key, cell in new.items()
        if key in old
    ]
    return bayes_factor(strata, FAILURE_TOLERANCE)


def _count_earlier_calls(old, recorded):
    """Return the calls and failures of the old version at its last shares.

    Earlier ones count only until there are enough: they may lie in a burst or
    in the recovery from a loss of power. Nodes that restart at the whole share
    forget them all, but not those on record.
    """
    by_stage = {}
    for (_, _, stage), cell in old.items():
        by_stage.setdefault(stage, []).append(cell)
    calls, failures = 0, 0
    for stage in sorted(by_stage, reverse=True):
        calls += sum(cell.calls for cell in by_stage[stage])
        failures += sum(cell.failures for cell in by_stage[stage])
        if calls >= ENOUGH_EARLIER_CALLS:
            return calls, failures
    on_record = (
        sum(item.old_calls for item in recorded),
        sum(item.old_failures for item in recorded),
    )
    return max((calls, failures), on_record)


def _historical_factor(old_calls, old_failures, new):
    """Compare calls at the full share with earlier ones to the old version.

    At the full share no calls to the old version run at the same time, so
    that a burst of bad calls from a caller may look like a regression.
    Far stronger evidence is required for that reason: what is returned here
    is divided by ``HISTORICAL_DISCOUNT`` before a version is withdrawn.
    """
    strata = [
        Stratum(old_calls, old_failures, cell.calls, cell.failures)
        for (_, _, stage), cell in new.items()
        if stage == FULL_SHARE_STAGE
    ]
    return bayes_factor(strata, HISTORICAL_TOLERANCE)


def _historical_latency_factor(old, new):
    """Compare latencies at the full share with the old version's before it.

    As of failures, far stronger evidence is required than within a stage.
    """
    earlier = {}
    for (route, tier, _), cell in old.items():
        latency = earlier.setdefault((route, tier), {})
        for bucket, calls in cell.latency.items():
            latency[bucket] = latency.get(bucket, 0) + calls
    pairs = [
        (earlier[(route, tier)], cell.latency)
        for (route, tier, stage), cell in new.items()
        if stage == FULL_SHARE_STAGE and earlier.get((route, tier))
    ]
    strata = [_very_slow_stratum(*pair) for pair in pairs]
    return bayes_factor(strata, HISTORICAL_LATENCY_TOLERANCE)


def _very_slow_stratum(old, new):
    """Count the calls far slower than nearly all of the old version's."""
    bound = (
        _quantile_bucket(old, max(LATENCY_QUANTILES))
        + HISTORICAL_LATENCY_TOLERANCE_BUCKETS
    )
    return Stratum(
        sum(old.values()),
        sum(calls for bucket, calls in old.items() if bucket > bound),
        sum(new.values()),
        sum(calls for bucket, calls in new.items() if bucket > bound),
    )


def _latency_factor(old, new):
    factors = [
        bayes_factor(
            [
                _slow_stratum(old[key].latency, cell.latency, quantile)
                for key, cell in new.items()
                if key in old and old[key].latency
            ]
        )
        for quantile in LATENCY_QUANTILES
    ]
    return max(factors)


def _slow_stratum(old, new, quantile):
    """Count the calls slower than a quantile of the old version's.

    The bound of the new version is LATENCY_TOLERANCE_BUCKETS higher, so
    that a difference too small to matter never counts as a regression,
    however many calls there are.
    """
    old_bound = _quantile_bucket(old, quantile)
    new_bound = old_bound + LATENCY_TOLERANCE_BUCKETS
    return Stratum(
        sum(old.values()),
        sum(calls for bucket, calls in old.items() if bucket > old_bound),
        sum(new.values()),
        sum(calls for bucket, calls in new.items() if bucket > new_bound),
    )


def _quantile_bucket(counts, quantile):
    rank = quantile * sum(counts.values())
    cumulated = 0
    for bucket in sorted(counts):
        cumulated += counts[bucket]
        if cumulated >= rank:
            return bucket
    return max(counts)


def detect_regression(move_id, cells, threshold, now, found_by, recorded=()):
    """Return a Verdict if a Bayes factor reaches the threshold, or None.

    Each route is tested, and all routes together, which detects a small
    regression on several routes sooner.

    :param found_by: the id of the node that tests.
    :param recorded: the RouteEvidence of the move's record.
    """
    own = [cell for cell in cells if cell.key.move_id == move_id]
    overall = _compare_route(ALL_ROUTES, own, recorded)
    findings = [
        *compare_versions(move_id, own, recorded),
        *([overall] if overall else []),
    ]
    for finding in findings:
        pairs = (
            ('failures', finding.failure_factor),
            ('latency', finding.latency_factor),
        )
        for cause, factor in pairs:
            if factor >= threshold:
                capped = min(factor, MAX_FINITE_FACTOR)
                return Verdict(
                    move_id, finding.route, cause, capped, now, found_by
                )
    return None


def format_factor(factor):
    """Return a Bayes factor as a short text for operators."""
    if factor <= 1:
        return 'none'
    return (
        f'1 to {min(factor, MAX_FINITE_FACTOR):.0f} '
        f'(log {log(min(factor, MAX_FINITE_FACTOR)):.1f})'
    )
