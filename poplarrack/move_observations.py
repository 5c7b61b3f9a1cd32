"""What the worker of a move sees of its service and of the calls to it."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from poplarrack.evidence import ENTIRE_STAGE
from poplarrack.evidence import Side
from poplarrack.evidence import stage_of
from poplarrack.move_policies import POLICIES

MIN_ELAPSED_SECONDS = 0.1

# Fraction of the nodes, and of a move's time, with whose calls its evidence
# counts as lost.
MIN_LOST_FRACTION = 0.75

# Time from a regression's first failures until the move's record has it. A
# restart of all nodes within that time leaves no trace of it.
MAX_RECORDING_SECONDS = 1.0


@dataclass(frozen=True)
class JointRestart:
    """A restart of several nodes at about the same time.

    ``fraction`` is their fraction of the present nodes, and ``last_at`` when
    the last of them started, in seconds since the epoch. ``kept_fraction`` is
    the part of the move's time until then, on average over all nodes, whose
    calls they still held.
    """

    fraction: float = 0.0
    last_at: float = 0.0
    kept_fraction: float = 1.0


@dataclass(frozen=True)
class MoveObservation:
    """The state of a service on which its move's worker decides.

    ``new_slots`` counts the slots of the new version's servers whose slow
    start has ended, ``busy_slots`` the slots of all versions that calls
    occupy now. ``new_calls_by_stage`` has the calls to the new version by
    the share, in thousandths, at which they were sent; all counts are of the
    calls that nodes hold in memory. ``restart`` is the latest joint restart
    since the present share was set. ``nodes_known`` is unset while the worker
    may not have found the other nodes.
    """

    findings: tuple = ()
    verdict: object = None
    new_servers: int = 0
    new_slots: float = 0.0
    old_slots: float = 0.0
    busy_slots: float = 0.0
    new_calls_by_stage: Mapping[int, int] = field(default_factory=dict)
    restart: JointRestart = JointRestart()
    nodes_known: bool = True

    @property
    def calls(self):
        """Return the calls to both versions."""
        return _count_calls(self.findings)

    @property
    def suspicion_factor(self):
        """Return the strongest evidence for holding the move, to 1."""
        factors = (finding.suspicion_factor for finding in self.findings)
        return max(factors, default=0.0)

    def calls_at(self, share):
        """Return the calls to the new version at a share or a larger one."""
        return sum(
            calls
            for stage, calls in self.new_calls_by_stage.items()
            if stage >= stage_of(share)
        )


def largest_factor(evidence):
    """Return the strongest recorded evidence against a new version, to 1.

    :param evidence: the RouteEvidence of a move's record.
    """
    factors = [
        max(item.failure_factor, item.latency_factor) for item in evidence
    ]
    return max(factors, default=0.0)


def has_lost_evidence(move, observed):
    """Return whether the evidence on a move is gone with its nodes' memory.

    The number of calls doesn't tell: a worker that has just started has not
    received all counts, and nodes that restarted count again at once.
    """
    restart = observed.restart
    return (
        move.share > 0
        and restart.fraction >= MIN_LOST_FRACTION
        and restart.kept_fraction <= 1 - MIN_LOST_FRACTION
    )


def unrecorded_calls(move):
    """Return the calls to the new version that its record may not cover.

    These are the calls in the time that a regression takes to be recorded.
    Their rate is the mean until the present share was set, when the evidence
    was recorded; it is 0 at the first share, before any record.
    """
    seconds = move.stage_since - move.started_at
    if seconds <= 0:
        return 0.0
    calls_per_second = _count_calls(move.evidence) / seconds
    return calls_per_second * move.share * MAX_RECORDING_SECONDS


def has_thin_traffic(move, observed, now):
    """Return whether the present stage is too short for enough calls.

    The rate of calls is the mean since the move began, of which a gap in
    traffic or a restart of nodes takes little away.
    """
    policy = POLICIES[move.policy]
    calls = max(observed.calls, _count_calls(move.evidence))
    calls_per_second = calls / max(MIN_ELAPSED_SECONDS, now - move.started_at)
    window = move.complete_by - move.started_at
    stage_seconds = policy.stage_fraction(move.share) * window
    expected = calls_per_second * move.share * stage_seconds
    return expected < policy.min_calls_per_step


def _count_calls(evidence):
    return sum(item.old_calls + item.new_calls for item in evidence)


def count_new_calls(move_id, cells):
    """Return the number of calls to a move's new version by stage."""
    calls = Counter()
    for cell in cells:
        key = cell.key
        counted = key.move_id == move_id and key.epoch == ENTIRE_STAGE
        if counted and key.side is Side.NEW:
            calls[key.stage] += cell.calls
    return calls
