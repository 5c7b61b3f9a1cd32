"""Decide the next step of a move between versions of a backend server.

A move's window is the time from its start to its deadline. The schedule
spends most of the window at small shares, so that a regression is found
while it affects few calls, and keeps the last part of the window at the
final share before the move is completed.
"""

from dataclasses import replace

from poplarrack.move_observations import has_lost_evidence
from poplarrack.move_observations import has_thin_traffic
from poplarrack.move_observations import largest_factor
from poplarrack.move_observations import unrecorded_calls
from poplarrack.move_policies import COMPLETION_FRACTION
from poplarrack.move_policies import POLICIES
from poplarrack.move_records import change_move
from poplarrack.move_records import hold_move
from poplarrack.move_records import keep_share
from poplarrack.move_records import record_evidence
from poplarrack.move_records import withdraw_move
from poplarrack.resources import MoveState

# Fraction of the window from which a policy that completes on inconclusive
# evidence takes its next step without enough calls.
LATE_STEP_FRACTION = 0.88

# Fraction of the window for which a share must have been in effect before
# the move is completed, or takes a step without enough calls.
MIN_STAGE_FRACTION = 0.05

# Evidence against a new version, to 1, from which its move goes no further.
SUSPICION_FACTOR = 20.0
# The same where the old servers stop with the completion, which can't be taken
# back: answers that are due within the last stage are not in yet.
LAST_SUSPICION_FACTOR = 5.0

# Fraction of the window from which a wait for evidence is recorded.
RECORDED_WAIT_FRACTION = 0.1

DEADLINE_PASSED = 'deadline passed on thin evidence'

# Share up to which few calls meet a fault of the new version.
SMALL_SHARE = 0.1

# Share up to which a move whose evidence was lost goes on, at SMALL_SHARE at
# most, though the versions can't be compared since.
MAX_RESUMED_SHARE = 0.25

# Calls to the new version that no record covers, up to which a move whose
# evidence was lost goes on where the old servers stop.
MAX_UNRECORDED_CALLS = 100

# Fraction of the window that must be left after a restart of all nodes for a
# move to be done by its deadline.
MIN_REST_FRACTION = 0.6

# How long a completed move is still watched, as a fraction of its window.
WATCH_FRACTION = 0.5
MIN_WATCH_SECONDS = 10.0

# Utilization of the new version's slots up to which a share is raised, and
# ratio of new to old slots from which the new version can take all calls.
TARGET_SLOT_UTILIZATION = 0.8


def watch_end(move):
    """Return the time until which a completed move is watched."""
    if POLICIES[move.policy].stops_old_servers:
        return move.ended_at
    window = move.complete_by - move.started_at
    return move.ended_at + max(MIN_WATCH_SECONDS, WATCH_FRACTION * window)


def is_live(move, now):
    """Return whether evidence on a move is still collected."""
    if move.state is MoveState.COMPLETED:
        return now < watch_end(move)
    return move.state is not MoveState.WITHDRAWN


def effective_share(move, verdicts):
    """Return the share of calls that a node sends to the new version.

    :param verdicts: the verdicts that the node knows, by move id. They
        take precedence over the share in the move's record, unless the
        old servers have stopped with the move's completion.
    """
    completed = move.state is MoveState.COMPLETED
    if completed and POLICIES[move.policy].stops_old_servers:
        return 1.0
    if move.move_id in verdicts or move.state is MoveState.WITHDRAWN:
        return 0.0
    return 1.0 if completed else move.share


def planned_share(move, now):
    """Return the scheduled share and the time of the next step.

    After the last step, the time is that of the move's completion.
    """
    window = max(1e-9, move.complete_by - move.started_at)
    elapsed = (now - move.started_at) / window
    share = 0.0
    for step_start, step_share in POLICIES[move.policy].schedule:
        if elapsed < step_start:
            return share, move.started_at + step_start * window
        share = step_share
    return share, _time_at_fraction(move, COMPLETION_FRACTION)


def decide_move(move, observed, now):
    """Return the move's next record, or None if nothing changes."""
    if not is_live(move, now):
        return None
    if move.ordered_seconds:
        return _start_ordered(move, observed, now)
    if observed.verdict is not None:
        return withdraw_move(move, _describe(observed.verdict), observed, now)
    if move.state is MoveState.COMPLETED:
        return None
    if move.hold_requested:
        return hold_move(move, 'held by an operator', observed, now)
    if _misses_evidence(move, observed):
        return _go_on_without_evidence(move, observed, now)
    if observed.new_servers == 0:
        return keep_share(move, 'no server of the new version', observed, now)
    return _advance(move, observed, now)


def _start_ordered(move, observed, now):
    """Start a move whose order states a duration, not a deadline."""
    return change_move(
        move,
        observed,
        now,
        started_at=now,
        complete_by=now + move.ordered_seconds,
        ordered_seconds=0.0,
        reason='started by an order',
    )


def _misses_evidence(move, observed):
    """Return whether a move can't go on because its evidence was lost.

    It can if the share is small, nothing recorded is against the version,
    and enough of the window is left to watch servers that have restarted.
    """
    if not has_lost_evidence(move, observed):
        return False
    return (
        move.share > SMALL_SHARE
        or largest_factor(move.evidence) >= SUSPICION_FACTOR
        or not _has_enough_time(move, observed)
    )


def _has_enough_time(move, observed):
    window = move.complete_by - move.started_at
    rest = move.complete_by - observed.restart.last_at
    return rest >= MIN_REST_FRACTION * window


def _go_on_without_evidence(move, observed, now):
    """Go on with a move whose evidence was lost, start it again or end it.

    It ends if the evidence is against the new version or, where the old
    servers stop, if the version may have failed unseen. Otherwise it goes on
    at a small share: on schedule if enough of its window is left, and else
    with its whole window again, since servers that have restarted may turn
    bad later than the deadline. A worker that may not have found the other
    nodes, and with them the evidence, waits.
    """
    if not observed.nodes_known:
        return None
    policy = POLICIES[move.policy]
    is_unsafe = policy.stops_old_servers and _may_have_failed_unseen(
        move, policy, observed
    )
    factor = max(largest_factor(move.evidence), observed.suspicion_factor)
    if is_unsafe or factor >= SUSPICION_FACTOR:
        reason = f'evidence lost at a share of {move.share:.0%}'
        return withdraw_move(move, reason, observed, now)
    small_share = _largest_step_within(policy, SMALL_SHARE)
    if _has_enough_time(move, observed):
        share = min(planned_share(move, now)[0], small_share)
        resumed = replace(move, share=share)
        verb = 'goes on'
    else:
        share = min(move.share, small_share)
        window = move.complete_by - move.started_at
        resumed = replace(
            move, share=share, started_at=now, complete_by=now + window
        )
        verb = 'started again'
    return change_move(
        resumed,
        observed,
        now,
        state=MoveState.ADVANCING,
        stage_since=now,
        evidence=record_evidence(observed),
        reason=f'evidence lost, {verb} at {share:.0%}',
    )


def _may_have_failed_unseen(move, policy, observed):
    """Return whether bad answers may have been given that no node knows of.

    That is so if many calls are on no record, or if the share is large and
    the versions can't be compared on the calls since.
    """
    if unrecorded_calls(move) > MAX_UNRECORDED_CALLS:
        return True
    return move.share > MAX_RESUMED_SHARE and not _can_compare(
        move, policy, observed
    )


def _can_compare(move, policy, observed):
    """Return whether both versions got enough calls to compare them."""
    old_calls = sum(finding.old_calls for finding in observed.findings)
    new_calls = observed.calls_at(move.share)
    return min(old_calls, new_calls) >= policy.min_calls_per_step


def _advance(move, observed, now):
    """Raise the share to the schedule's or complete the move.

    The share is raised only as far as the new version's slots allow.
    """
    policy = POLICIES[move.policy]
    target, _ = planned_share(move, now)
    target = max(target, move.share)
    capacity = _share_capacity(observed)
    if target > capacity and target > move.share:
        target = max(move.share, _largest_step_within(policy, capacity))
        if target <= move.share:
            return keep_share(move, 'too few warm servers', observed, now)
    if target > move.share:
        return _take_step(move, target, policy, observed, now)
    if move.share >= policy.last_share and _may_complete(move, now):
        return _complete(move, policy, observed, now)
    if move.state is not MoveState.ADVANCING:
        return change_move(
            move,
            observed,
            now,
            state=MoveState.ADVANCING,
            reason='advancing on schedule',
        )
    return None


def _take_step(move, target, policy, observed, now):
    """Raise the share by one step of the schedule, or hold the move."""
    steps = [share for _, share in policy.schedule if share > move.share]
    if move.share > 0:
        behind = target > steps[0] or now >= _time_at_fraction(
            move, LATE_STEP_FRACTION
        )
        late = behind and _stage_lasted(move, now)
        # Few calls meet a fault at small shares, so that their calls count
        # together and a move that is behind can catch up.
        counted_from = 0.0 if steps[0] <= SMALL_SHARE else move.share
        missing = _missing_evidence(
            move, policy, observed, counted_from, late, now
        )
        if missing:
            return _hold_for_evidence(move, policy, missing, observed, now)
    share = min(target, steps[0] if steps else 1.0)
    return change_move(
        move,
        observed,
        now,
        state=MoveState.ADVANCING,
        share=share,
        stage_since=now,
        reason=f'share {share:.0%} on schedule',
    )


def _time_at_fraction(move, fraction):
    return move.started_at + fraction * (move.complete_by - move.started_at)


def _missing_evidence(move, policy, observed, counted_from, late, now):
    """Return what a move waits for at its share, or an empty string.

    Calls of smaller shares don't count at large ones: some faults show only
    there. Nor do those from before a gap in traffic, after which the version
    may have turned bad.

    :param counted_from: the smallest share whose calls count.
    :param late: whether a service with few calls goes on without them.
    """
    if observed.suspicion_factor >= SUSPICION_FACTOR:
        return 'evidence against the new version'
    thin = has_thin_traffic(move, observed, now)
    if observed.calls_at(counted_from) < policy.min_calls_per_step:
        if thin and late and policy.complete_if_inconclusive:
            return ''
        return f'waiting for {policy.min_calls_per_step} calls'
    if observed.busy_slots <= 0 and not thin:
        return 'no calls in flight'
    return ''


def _hold_for_evidence(move, policy, missing, observed, now):
    """Hold the move, and record it if the wait is a long one.

    A short wait is not recorded, since each record delays the next one.
    """
    due_at = _time_at_fraction(move, policy.stage_end(move.share))
    waits_since = max(due_at, move.stage_since)
    window = move.complete_by - move.started_at
    if now < waits_since + RECORDED_WAIT_FRACTION * window:
        return None
    if now < move.complete_by:
        return hold_move(move, missing, observed, now)
    if move.state is MoveState.HOLDING and move.reason.startswith(
        DEADLINE_PASSED
    ):
        return None
    seen = _count_new_calls(observed)
    reason = f'{DEADLINE_PASSED}: {seen} calls seen, {missing}'
    return hold_move(move, reason, observed, now)


def _count_new_calls(observed):
    return sum(finding.new_calls for finding in observed.findings)


def _may_complete(move, now):
    due = now >= _time_at_fraction(move, COMPLETION_FRACTION)
    return due and _stage_lasted(move, now)


def _stage_lasted(move, now):
    """Return whether the share has been in effect for the shortest stage."""
    window = move.complete_by - move.started_at
    return now - move.stage_since >= MIN_STAGE_FRACTION * window


def _complete(move, policy, observed, now):
    missing = _missing_evidence(move, policy, observed, move.share, True, now)
    if policy.stops_old_servers and not missing:
        if not observed.calls_at(move.share):
            missing = 'no calls at the last share'
        elif observed.suspicion_factor >= LAST_SUSPICION_FACTOR:
            missing = 'evidence against the new version'
    if missing:
        return _hold_for_evidence(move, policy, missing, observed, now)
    return change_move(
        move,
        observed,
        now,
        state=MoveState.COMPLETED,
        share=1.0,
        ended_at=now,
        reason='no fault found up to the whole share',
    )


def _describe(verdict):
    return (
        f'{verdict.cause} on route {verdict.route}, evidence '
        f'{verdict.factor:.0f} to 1, found by {verdict.found_by}'
    )


def _share_capacity(observed):
    """Return the share of calls that the new version's slots can take.

    A new version with about as many slots as the old one can take all
    calls: if more slots are busy than it has, the service is overloaded
    with either version.
    """
    enough = (
        observed.new_slots >= TARGET_SLOT_UTILIZATION * observed.old_slots > 0
    )
    if observed.busy_slots <= 0 or enough:
        return 1.0
    return observed.new_slots * TARGET_SLOT_UTILIZATION / observed.busy_slots


def _largest_step_within(policy, share):
    steps = [step for _, step in policy.schedule if step <= share]
    return steps[-1] if steps else 0.0
