"""Write the steps of a move into its record.

A record has the move's state and share, the reason for them, the evidence
known then, and a log of the earlier steps.
"""

from dataclasses import replace

from poplarrack.evidence import MAX_FINITE_FACTOR
from poplarrack.resources import Move
from poplarrack.resources import MoveState
from poplarrack.resources import RouteEvidence

# Bounds of the log in a move's record; the oldest lines are dropped first.
MAX_LOG_LINES = 24
MAX_LOG_LINE_CHARACTERS = 200


def withdraw_move(move, reason, observed, now):
    """Return the record of a move that is withdrawn for good."""
    return change_move(
        move,
        observed,
        now,
        state=MoveState.WITHDRAWN,
        share=0.0,
        ended_at=now,
        reason=reason,
    )


def keep_share(move, reason, observed, now):
    """Return the record of a move that waits, or None if it says so.

    Its state is PENDING before the first step, then HOLDING.
    """
    state = MoveState.HOLDING if move.share > 0 else MoveState.PENDING
    if move.state is state and move.reason == reason:
        return None
    return change_move(move, observed, now, state=state, reason=reason)


def hold_move(move, reason, observed, now):
    """Return the record of a move that holds, or None if it says so."""
    if move.state is MoveState.HOLDING and move.reason == reason:
        return None
    return change_move(
        move, observed, now, state=MoveState.HOLDING, reason=reason
    )


def change_move(move, observed, now, **changes):
    """Return the changed move, with new evidence and a line in its log."""
    changes.setdefault('evidence', record_evidence(observed) or move.evidence)
    changed = replace(move, **changes)
    line = (
        f'{now:.1f} {changed.state.value} {changed.share:.0%}: '
        f'{changed.reason}'
    )
    log = (*move.log, line[:MAX_LOG_LINE_CHARACTERS])[-MAX_LOG_LINES:]
    return replace(changed, log=log)


def record_evidence(observed):
    """Return the RouteEvidence of what was observed, for the record."""
    return tuple(
        RouteEvidence(
            finding.route,
            finding.old_calls,
            finding.old_failures,
            finding.new_calls,
            finding.new_failures,
            min(finding.failure_factor, MAX_FINITE_FACTOR),
            min(finding.latency_factor, MAX_FINITE_FACTOR),
        )
        for finding in observed.findings
    )


def build_move(service, from_version, to_version, complete_by, policy, now):
    """Build the record of a new move.

    The ids of a service's moves sort by the time of their start.

    :param complete_by: the deadline, in seconds since the epoch.
    :param now: the start, in seconds since the epoch.
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
