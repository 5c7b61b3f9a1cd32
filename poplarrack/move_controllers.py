"""Decide on moves: halt bad versions and advance good ones."""

from dataclasses import replace

from poplarrack.decisions import controller
from poplarrack.decisions import HaltMove
from poplarrack.decisions import WriteMove
from poplarrack.detectors import REJOIN_INTERVAL_SECONDS
from poplarrack.evidence import compare_versions
from poplarrack.evidence import detect_regression
from poplarrack.evidence import merge_cells
from poplarrack.members import EndpointState
from poplarrack.move_observations import count_new_calls
from poplarrack.move_observations import JointRestart
from poplarrack.move_observations import MIN_ELAPSED_SECONDS
from poplarrack.move_observations import MoveObservation
from poplarrack.move_policies import POLICIES
from poplarrack.moves import decide_move
from poplarrack.moves import is_live
from poplarrack.reporters import build_report
from poplarrack.reporters import fresh_reports
from poplarrack.resources import encode_resource
from poplarrack.resources import MoveState

MIN_MOVE_WRITE_INTERVAL_SECONDS = 0.5
# Nodes whose starts lie within this time count as started together.
RESTART_SPREAD_SECONDS = 10.0


@controller('braking')
def halt_bad_versions(facts, now):
    """Halt each live move whose new version proves bad.

    The evidence is this node's own counts and the reports that it received.
    """
    cells = None
    for move in facts.knowledge.configuration.moves.values():
        if move.move_id in facts.knowledge.verdicts or not is_live(move, now):
            continue
        if cells is None:
            groups = [item.cells for item in fresh_reports(facts, now)]
            cells = merge_cells([facts.cells, *groups])
        threshold = POLICIES[move.policy].withdrawal_threshold
        verdict = detect_regression(
            move.move_id,
            cells,
            threshold,
            now,
            facts.own.node_id,
            move.evidence,
        )
        if verdict is not None:
            yield HaltMove(verdict)


@controller('moves')
def advance_moves(facts, now):
    """Advance, hold, complete or withdraw each move, on the worker only."""
    if not facts.topology.is_worker or facts.lifecycle.draining:
        return
    configuration = facts.knowledge.configuration
    for service, move in configuration.moves.items():
        if (
            now - facts.sent.moves.get(service, 0.0)
            < MIN_MOVE_WRITE_INTERVAL_SECONDS
        ):
            continue
        if move.outdated:
            # Without its order, the store has no place for its record.
            if move.order_id:
                yield _write_move(
                    configuration, service, replace(move, outdated=False)
                )
            continue
        observed = observe_move(facts, move, now)
        changed = decide_move(move, observed, now)
        if changed is not None:
            decision = _write_move(configuration, service, changed)
            yield replace(
                decision, calls_at_share=observed.calls_at(move.share)
            )


def _write_move(configuration, service, changed):
    """Return the decision to write a move's next record.

    When the move ends, the service's version is written with it, unless
    the service accepts any version or has this one already.
    """
    path = configuration.move_paths[service]
    entry = configuration.snapshot.entries[path]
    decision = WriteMove(path, entry.revision, changed)
    if changed.state is MoveState.COMPLETED:
        version = changed.to_version
    elif changed.state is MoveState.WITHDRAWN:
        version = changed.from_version
    else:
        return decision
    team = path.partition('/')[0]
    service_path = f'{team}/services/{service}'
    service_entry = configuration.snapshot.entries.get(service_path)
    record = configuration.services[service]
    if service_entry is None or record.version in ('', version):
        return decision
    return replace(
        decision,
        service_path=service_path,
        service_revision=service_entry.revision,
        service_value=encode_resource(replace(record, version=version)),
    )


def observe_move(facts, move, now):
    """Return the MoveObservation on which a move's worker decides."""
    report = build_report(facts, now)
    service = facts.knowledge.configuration.services[move.service]
    new_slots, old_slots, new_servers = 0.0, 0.0, 0
    for member in facts.knowledge.members.members.values():
        endpoint = member.endpoint
        if not _serves(member, endpoint, move.service):
            continue
        warm = now - endpoint.announced_at >= service.warm_up_seconds
        if endpoint.version == move.to_version:
            new_servers += 1
            new_slots += endpoint.slots * warm
        elif move.is_old(endpoint.version):
            old_slots += endpoint.slots
    busy = sum(
        item.in_flight for item in report.busy if item.service == move.service
    )
    return MoveObservation(
        compare_versions(move.move_id, report.cells, move.evidence),
        facts.knowledge.verdicts.get(move.move_id),
        new_servers,
        new_slots,
        old_slots,
        busy,
        count_new_calls(move.move_id, report.cells),
        _find_restart(facts, move),
        now - facts.lifecycle.started_at >= REJOIN_INTERVAL_SECONDS,
    )


def _find_restart(facts, move):
    """Return the latest JointRestart since the present share was set."""
    starts = [
        member.incarnation / 1000
        for member in facts.knowledge.members.members.values()
        if member.present
    ]
    if not starts:
        return JointRestart()
    last = max(starts)
    first = max(move.stage_since, last - RESTART_SPREAD_SECONDS)
    restarted = [start for start in starts if start > first]
    unchanged = len(starts) - len(restarted)
    age = max(MIN_ELAPSED_SECONDS, last - move.started_at)
    # Measured at the last start: calls since then, however many, don't make
    # up for those that were lost before.
    kept = unchanged + sum((last - start) / age for start in restarted)
    return JointRestart(len(restarted) / len(starts), last, kept / len(starts))


def _serves(member, endpoint, service):
    return (
        endpoint is not None
        and member.present
        and endpoint.service == service
        and endpoint.state is EndpointState.SERVING
    )
