"""Count calls during a move and test the new version against the old.

The test is a sequential one: a score statistic for the log odds ratio,
stratified by route and locality, mixed over a half-normal prior. Its value
may be looked at after every call without raising false alarms.
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

BUCKETS_PER_DOUBLING = 4
FIRST_BUCKET_SECONDS = 0.0005
LAST_BUCKET = 60
EPOCH_SECONDS = 15
PRIOR_SCALE = 1.5
FAILURE_TOLERANCE = 1.25
LATENCY_TOLERANCE_BUCKETS = 1
LATENCY_QUANTILES = (0.5, 0.9)
WHOLE_STAGE = 1000
ALL_ROUTES = '(all)'
AFTERWARDS_TOLERANCE = 5.0
AFTERWARDS_DOUBT = 1000.0


class Side(IntEnum):
    """Which version of a move a call went to."""

    OLD = 0
    NEW = 1


@dataclass(frozen=True, slots=True)
class CellKey:
    """What calls are counted by.

    ``tier`` is the locality of the backend server: 0 same availability
    zone, 1 same region, 2 another region. ``stage`` is the share in
    thousandths: while it stays, each call's side is drawn by the same
    chance, so that both sides see the same hours and storms. ``epoch`` 0
    counts the whole stage, 1 its latest epochs.
    """

    move_id: str
    route: str
    side: Side
    tier: int
    stage: int
    epoch: int


@dataclass(frozen=True, slots=True)
class Cell:
    """Counts under one key; ``latency`` maps bucket to calls."""

    key: CellKey
    calls: int = 0
    failures: int = 0
    latency: Mapping[int, int] = field(default_factory=dict)


ENTIRE_STAGE = 0
RECENT_EPOCHS = 1


def latency_bucket(seconds):
    """Return the number of a latency's bucket."""
    if seconds <= FIRST_BUCKET_SECONDS:
        return 0
    doublings = log2(seconds / FIRST_BUCKET_SECONDS)
    return min(LAST_BUCKET, 1 + int(doublings * BUCKETS_PER_DOUBLING))


class _Counts:
    """The mutable counts behind one cell."""

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
    """Count a node's own calls by move, route, side and locality."""

    def __init__(self):
        self.whole = {}
        self.epochs = {}

    def record(self, key, failed, latency, now):
        """Count one finished call.

        :param key: move id, route, side, tier and stage.
        :param latency: seconds, or None where it says nothing of the
            version, as for a failed call or a cold server.
        """
        bucket = None if latency is None else latency_bucket(latency)
        counts = self.whole.get(key)
        if counts is None:
            counts = self.whole[key] = _Counts()
        counts.add(failed, bucket)
        epoch = int(now // EPOCH_SECONDS)
        counts = self.epochs.get((epoch, key))
        if counts is None:
            counts = self.epochs[(epoch, key)] = _Counts()
        counts.add(failed, bucket)

    def cells(self, live_moves, now):
        """Return the cells of the live moves and forget the rest."""
        oldest = int(now // EPOCH_SECONDS) - 1
        self.whole = {
            key: counts
            for key, counts in self.whole.items()
            if key[0] in live_moves
        }
        self.epochs = {
            key: counts
            for key, counts in self.epochs.items()
            if key[0] >= oldest and key[1][0] in live_moves
        }
        whole = [
            _freeze(key, ENTIRE_STAGE, counts)
            for key, counts in self.whole.items()
        ]
        recent = [
            _freeze(key, RECENT_EPOCHS, counts)
            for (_, key), counts in self.epochs.items()
        ]
        return merge_cells([whole, recent])


def _freeze(key, epoch, counts):
    return Cell(
        CellKey(*key, epoch),
        counts.calls,
        counts.failures,
        dict(counts.latency),
    )


def merge_cells(groups):
    """Add up groups of cells by key."""
    merged = {}
    for group in groups:
        for cell in group:
            held = merged.get(cell.key)
            merged[cell.key] = _add(held, cell) if held else cell
    return tuple(merged.values())


def _add(one, other):
    latency = dict(one.latency)
    for bucket, calls in other.latency.items():
        latency[bucket] = latency.get(bucket, 0) + calls
    return Cell(
        one.key,
        one.calls + other.calls,
        one.failures + other.failures,
        latency,
    )


@dataclass(frozen=True)
class Stratum:
    """Two versions' calls and events of one kind in like conditions."""

    old_calls: int
    old_events: int
    new_calls: int
    new_events: int


def bayes_factor(strata, tolerance=1.0, scale=PRIOR_SCALE):
    """Return the factor by which events speak against the new version.

    Under a new version no worse than ``tolerance`` times the old odds it
    exceeds 1/a at any time with a chance of about a.

    :param strata: an iterable of Stratum.
    :param scale: the prior's scale of the log odds ratio.
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
    if exponent > 500:
        return inf
    tail = 0.5 * (1 + erf(score * scale / sqrt(2 * spread)))
    return 2 * exp(exponent) * tail / sqrt(spread)


def _expectation(stratum, tolerance):
    """Return mean and variance of the new events at the tolerance.

    The old version's part is smoothed by half an event, so that a few
    calls without a failure do not pass for a version that never fails.
    """
    if not stratum.new_calls or not stratum.old_calls:
        return stratum.new_events, 0.0
    calls = stratum.old_calls + stratum.new_calls
    events = stratum.old_events + stratum.new_events + 0.5
    weighted_new = stratum.new_calls * tolerance
    part = weighted_new / (weighted_new + stratum.old_calls)
    spare = max(0.0, (calls - events) / max(1, calls - 1))
    return events * part, max(events * part * (1 - part) * spare, 0.01)


@dataclass(frozen=True)
class Verdict:
    """A finding, final for one move, that its new version is bad."""

    move_id: str
    route: str
    cause: str
    factor: float
    found_at: float
    found_by: str


@dataclass(frozen=True)
class Finding:
    """What the tests say of one route, at the latest look."""

    route: str
    old_calls: int
    old_failures: int
    new_calls: int
    new_failures: int
    failure_factor: float
    latency_factor: float


def compare_versions(move_id, cells):
    """Test each route of a move.

    :returns: a tuple of Findings, one a route with calls to the new
        version.
    """
    by_route = {}
    for cell in cells:
        if cell.key.move_id == move_id:
            by_route.setdefault(cell.key.route, []).append(cell)
    found = (_compare_route(route, group) for route, group in by_route.items())
    return tuple(finding for finding in found if finding is not None)


def _compare_route(route, cells):
    whole_old = _by_stratum(cells, Side.OLD, ENTIRE_STAGE)
    whole_new = _by_stratum(cells, Side.NEW, ENTIRE_STAGE)
    if not whole_new:
        return None
    views = (
        (whole_old, whole_new),
        (
            _by_stratum(cells, Side.OLD, RECENT_EPOCHS),
            _by_stratum(cells, Side.NEW, RECENT_EPOCHS),
        ),
    )
    failures = [_failure_factor(*view) for view in views]
    failures.extend(_afterwards_factor(whole_old, new) for _, new in views)
    return Finding(
        route,
        sum(cell.calls for cell in whole_old.values()),
        sum(cell.failures for cell in whole_old.values()),
        sum(cell.calls for cell in whole_new.values()),
        sum(cell.failures for cell in whole_new.values()),
        max(failures),
        max(_latency_factor(*view) for view in views),
    )


def _by_stratum(cells, side, epoch):
    return {
        (cell.key.route, cell.key.tier, cell.key.stage): cell
        for cell in cells
        if cell.key.side is side and cell.key.epoch == epoch
    }


def _failure_factor(old, new):
    strata = [
        Stratum(old[at].calls, old[at].failures, cell.calls, cell.failures)
        for at, cell in new.items()
        if at in old
    ]
    return bayes_factor(strata, FAILURE_TOLERANCE)


def _afterwards_factor(old, new):
    """Compare the whole share's calls with the old version's before.

    Nothing of the old version runs in the same hours any more, so that a
    caller's storm may look like a fault: far more evidence is asked for.
    """
    strata = [
        Stratum(
            sum(cell.calls for cell in old.values()),
            sum(cell.failures for cell in old.values()),
            cell.calls,
            cell.failures,
        )
        for (_, _, stage), cell in new.items()
        if stage == WHOLE_STAGE
    ]
    factor = bayes_factor(strata, AFTERWARDS_TOLERANCE)
    return factor / AFTERWARDS_DOUBT


def _latency_factor(old, new):
    factors = [
        bayes_factor(
            [
                _slow_stratum(old[at].latency, cell.latency, quantile)
                for at, cell in new.items()
                if at in old and old[at].latency
            ]
        )
        for quantile in LATENCY_QUANTILES
    ]
    return max(factors)


def _slow_stratum(old, new, quantile):
    """Compare calls beyond the old version's quantile.

    The new version is allowed a few buckets more, so that a difference
    too small to matter is not found however many calls there are.
    """
    edge = _quantile_bucket(old, quantile)
    allowed = edge + LATENCY_TOLERANCE_BUCKETS
    return Stratum(
        sum(old.values()),
        sum(calls for bucket, calls in old.items() if bucket > edge),
        sum(new.values()),
        sum(calls for bucket, calls in new.items() if bucket > allowed),
    )


def _quantile_bucket(counts, quantile):
    wanted = quantile * sum(counts.values())
    seen = 0
    for bucket in sorted(counts):
        seen += counts[bucket]
        if seen >= wanted:
            return bucket
    return max(counts)


def detect_regression(move_id, cells, threshold, now, found_by):
    """Return a Verdict when some evidence passes the threshold.

    Each route is tested, and all of them together, which finds a small
    fault that is spread over routes sooner.
    """
    own = [cell for cell in cells if cell.key.move_id == move_id]
    together = _compare_route(ALL_ROUTES, own)
    findings = [
        *compare_versions(move_id, own),
        *([together] if together else []),
    ]
    for finding in findings:
        pairs = (
            ('failures', finding.failure_factor),
            ('latency', finding.latency_factor),
        )
        for cause, factor in pairs:
            if factor >= threshold:
                capped = min(factor, 1e12)
                return Verdict(
                    move_id, finding.route, cause, capped, now, found_by
                )
    return None


def format_factor(factor):
    """Return a factor as a short text for operators."""
    if factor <= 1:
        return 'none'
    return f'1 to {min(factor, 1e12):.0f} (log {log(min(factor, 1e12)):.1f})'
