"""Decide how a move between back-end versions goes on.

The schedule spends most of the time given at small shares, since the time
is there to find faults with few calls, and keeps a last part of it at the
whole share before the move is called done.
"""

from dataclasses import dataclass
from dataclasses import replace

from poplarrack.resources import Move
from poplarrack.resources import MoveState
from poplarrack.resources import RouteEvidence

POLICIES = {}
LOG_LINES = 24
MAX_LOG_TEXT = 200

# Part of the time given at which each share begins. The last one leaves
# some calls on the old version, to compare with up to the end.
DEFAULT_SCHEDULE = (
    (0.00, 0.01),
    (0.12, 0.02),
    (0.30, 0.05),
    (0.46, 0.10),
    (0.60, 0.25),
    (0.72, 0.50),
    (0.82, 0.90),
)

# Where the old servers stop at the end: a bad version must not see over a
# tenth of the calls, so that the greater shares come late and briefly, and
# the whole share before the end, so that the old ones are idle by then.
REPLACEMENT_SCHEDULE = (
    (0.00, 0.02),
    (0.15, 0.04),
    (0.60, 0.08),
    (0.72, 0.20),
    (0.79, 0.50),
    (0.85, 1.00),
)
COMPLETE_AT_PART = 0.95
LAST_CALL_PART = 0.88
WATCH_PART = 0.5
MIN_WATCH_SECONDS = 10.0
SLOTS_HEADROOM = 0.8


@dataclass(frozen=True)
class Policy:
    """How a customer weighs taking back against being done in time.

    ``fault_threshold`` is the factor of evidence that withdraws a move;
    ``calls_a_step`` is how many calls to the new version a step wants.
    ``finish_when_thin`` says what happens at the deadline when fewer were
    seen: finish, or hold for an operator. ``schedule`` pairs parts of the
    time given with the share that begins there. ``final`` says that the
    old backend servers stop with the move's completion, so that nothing is
    watched or taken back afterwards.
    """

    name: str
    fault_threshold: float
    calls_a_step: int
    finish_when_thin: bool
    schedule: tuple[tuple[float, float], ...] = DEFAULT_SCHEDULE
    final: bool = False

    @property
    def last_share(self):
        """Return the share of the schedule's last step."""
        return self.schedule[-1][1]


def move_policy(build):
    """Register a policy under its name."""
    policy = build()
    POLICIES[policy.name] = policy
    return build


@move_policy
def take_back_first():
    """Prefer taking a version back; hold when evidence is thin."""
    return Policy('take_back_first', 1_000.0, 50, False)


@move_policy
def done_in_time():
    """Prefer being done in time; finish when evidence is thin."""
    return Policy('done_in_time', 5_000.0, 20, True)


@move_policy
def balanced():
    """Stand between the two; hold when evidence is thin."""
    return Policy('balanced', 2_000.0, 30, False)


@move_policy
def replace_at_end():
    """Finish in time where the old servers stop with the move."""
    return Policy(
        'replace_at_end', 1_000.0, 20, True, REPLACEMENT_SCHEDULE, final=True
    )


@dataclass(frozen=True)
class MoveObservation:
    """What the worker of a move knows when it decides.

    ``new_slots`` are the warm slots of the new version's servers and
    ``busy_slots`` the slots that the service's calls take now.
    """

    findings: tuple = ()
    verdict: object = None
    new_servers: int = 0
    new_slots: float = 0.0
    old_slots: float = 0.0
    busy_slots: float = 0.0


def watch_ends(move):
    """Return until when a completed move is still watched."""
    if POLICIES[move.policy].final:
        return move.ended_at
    window = move.complete_by - move.started_at
    return move.ended_at + max(MIN_WATCH_SECONDS, WATCH_PART * window)


def is_live(move, now):
    """Say whether a move's evidence is still gathered."""
    if move.state is MoveState.COMPLETED:
        return now < watch_ends(move)
    return move.state is not MoveState.WITHDRAWN


def effective_share(move, verdicts):
    """Return the share that a node gives to the new version now."""
    completed = move.state is MoveState.COMPLETED
    if completed and POLICIES[move.policy].final:
        return 1.0
    if move.move_id in verdicts or move.state is MoveState.WITHDRAWN:
        return 0.0
    return 1.0 if completed else move.share


def planned_share(move, now):
    """Return the schedule's share for now and the next step's time."""
    window = max(1e-9, move.complete_by - move.started_at)
    part = (now - move.started_at) / window
    share = 0.0
    for begins, step_share in POLICIES[move.policy].schedule:
        if part < begins:
            return share, move.started_at + begins * window
        share = step_share
    return share, _part_at(move, COMPLETE_AT_PART)


def decide_move(move, facts, now):
    """Return the move's next record, or None when nothing changes."""
    if not is_live(move, now):
        return None
    if move.ordered_seconds:
        return _start_ordered(move, facts, now)
    if facts.verdict is not None:
        return _withdraw(move, facts, now)
    if move.state is MoveState.COMPLETED:
        return None
    if move.hold_requested:
        return _hold(move, 'held by an operator', now, facts)
    if facts.new_servers == 0:
        return _wait(move, 'no server of the new version', now, facts)
    return _advance(move, facts, now)


def _start_ordered(move, facts, now):
    """Start a move whose order gives the time that it may take."""
    return _change(
        move,
        now,
        facts,
        started_at=now,
        complete_by=now + move.ordered_seconds,
        ordered_seconds=0.0,
        reason='started by an order',
    )


def _advance(move, facts, now):
    policy = POLICIES[move.policy]
    wanted, _ = planned_share(move, now)
    wanted = max(wanted, move.share)
    roomy = _room(facts)
    if wanted > roomy and wanted > move.share:
        wanted = max(move.share, _floor_step(policy, roomy))
        if wanted <= move.share:
            return _wait(move, 'too few warm servers', now, facts)
    if wanted > move.share:
        return _step(move, wanted, policy, facts, now)
    if move.share >= policy.last_share and _may_complete(move, now):
        return _complete(move, policy, facts, now)
    if move.state is not MoveState.ADVANCING:
        return _change(
            move,
            now,
            facts,
            state=MoveState.ADVANCING,
            reason='advancing on schedule',
        )
    return None


def _step(move, wanted, policy, facts, now):
    steps = [share for _, share in policy.schedule if share > move.share]
    if move.share > 0 and not _seen_enough(policy, facts):
        late = wanted > steps[0] or now >= _part_at(move, LAST_CALL_PART)
        if not (late and policy.finish_when_thin):
            return _hold_thin(move, policy, facts, now)
    share = min(wanted, steps[0] if steps else 1.0)
    return _change(
        move,
        now,
        facts,
        state=MoveState.ADVANCING,
        share=share,
        stage_since=now,
        reason=f'share {share:.0%} on schedule',
    )


def _part_at(move, part):
    return move.started_at + part * (move.complete_by - move.started_at)


def _hold_thin(move, policy, facts, now):
    seen = _calls_seen(facts)
    if now >= move.complete_by:
        reason = f'deadline passed on thin evidence: {seen} calls seen'
        return _hold(move, reason, now, facts)
    reason = f'waiting for {policy.calls_a_step} calls'
    return _hold(move, reason, now, facts)


def _calls_seen(facts):
    return sum(finding.new_calls for finding in facts.findings)


def _seen_enough(policy, facts):
    return _calls_seen(facts) >= policy.calls_a_step


def _may_complete(move, now):
    window = move.complete_by - move.started_at
    held_long = now - move.stage_since >= 0.05 * window
    return now >= _part_at(move, COMPLETE_AT_PART) and held_long


def _complete(move, policy, facts, now):
    if not _seen_enough(policy, facts) and not policy.finish_when_thin:
        return _hold_thin(move, policy, facts, now)
    return _change(
        move,
        now,
        facts,
        state=MoveState.COMPLETED,
        share=1.0,
        ended_at=now,
        reason='no fault found up to the whole share',
    )


def _withdraw(move, facts, now):
    verdict = facts.verdict
    reason = (
        f'{verdict.cause} on route {verdict.route}, evidence '
        f'{verdict.factor:.0f} to 1, found by {verdict.found_by}'
    )
    return _change(
        move,
        now,
        facts,
        state=MoveState.WITHDRAWN,
        share=0.0,
        ended_at=now,
        reason=reason,
    )


def _wait(move, reason, now, facts):
    state = MoveState.HOLDING if move.share > 0 else MoveState.PENDING
    if move.state is state and move.reason == reason:
        return None
    return _change(move, now, facts, state=state, reason=reason)


def _hold(move, reason, now, facts):
    if move.state is MoveState.HOLDING and move.reason == reason:
        return None
    return _change(move, now, facts, state=MoveState.HOLDING, reason=reason)


def _change(move, now, facts, **changes):
    evidence = tuple(
        RouteEvidence(
            finding.route,
            finding.old_calls,
            finding.old_failures,
            finding.new_calls,
            finding.new_failures,
            min(finding.failure_factor, 1e12),
            min(finding.latency_factor, 1e12),
        )
        for finding in facts.findings
    )
    changed = replace(move, evidence=evidence or move.evidence, **changes)
    line = (
        f'{now:.1f} {changed.state.value} {changed.share:.0%}: '
        f'{changed.reason}'
    )
    log = (*move.log, line[:MAX_LOG_TEXT])[-LOG_LINES:]
    return replace(changed, log=log)


def _room(facts):
    """Return the share that the new version's warm slots can take.

    As many slots as before take all: that more is busy is overload.
    """
    enough = facts.new_slots >= SLOTS_HEADROOM * facts.old_slots > 0
    if facts.busy_slots <= 0 or enough:
        return 1.0
    return facts.new_slots * SLOTS_HEADROOM / facts.busy_slots


def _floor_step(policy, share):
    steps = [step for _, step in policy.schedule if step <= share]
    return steps[-1] if steps else 0.0


def build_move(service, from_version, to_version, complete_by, policy, now):
    """Build the record of a new move; ids sort by start.

    :param complete_by: seconds since the epoch.
    """
    return Move(
        service=service,
        from_version=from_version,
        to_version=to_version,
        complete_by=complete_by,
        move_id=f'{service}-{int(now * 1000)}-{to_version}',
        started_at=now,
        policy=policy,
        log=(f'{now:.1f} pending 0%: started by an operator',),
    )
