"""Decide when to send reports up the tree and to write zone summaries."""

from collections import Counter
from dataclasses import replace

from poplarrack.decisions import controller
from poplarrack.decisions import SendReport
from poplarrack.decisions import WriteSummary
from poplarrack.evidence import ENTIRE_STAGE
from poplarrack.evidence import merge_cells
from poplarrack.evidence import Side
from poplarrack.messages import InFlightCalls
from poplarrack.messages import Lag
from poplarrack.messages import Report
from poplarrack.summaries import MAX_SEEDS
from poplarrack.summaries import ZoneSummary

# Bounds both the lags and the rejections in a report.
MAX_LAGS = 5
MIN_REPORT_INTERVAL_SECONDS = 0.1
# Minimum time between reports if the new version of a move failed more calls.
FAILURE_REPORT_INTERVAL_SECONDS = 0.2
REPORT_TTL_FACTOR = 3


def fresh_reports(facts, now):
    """Return the unexpired reports of the current children and bridges."""
    ttl = facts.settings.peers.report_seconds * REPORT_TTL_FACTOR
    return [
        held.report
        for node_id, held in facts.reports.items()
        if now - held.arrived_at <= ttl
        and _is_current_reporter(facts, node_id)
    ]


def _is_current_reporter(facts, node_id):
    """Return whether a node reports to this one at present.

    These are the children and, for the zone representative only, its
    bridges. Another root has bridges too, but a report that it holds of
    them is left from an earlier topology and is not renewed.
    """
    topology = facts.topology
    across = topology.bridges if topology.is_zone_representative else ()
    return node_id in topology.children or node_id in across


def build_report(facts, now, own_zone_only=False):
    """Aggregate the own state with the reports that this node received.

    :param own_zone_only: whether to leave out the reports of other zones.
    :returns: a Report.
    """
    reports = fresh_reports(facts, now)
    if own_zone_only:
        children = set(facts.topology.children)
        reports = [item for item in reports if item.node_id in children]
    revision = facts.knowledge.configuration.revision
    in_flight = Counter()
    for item in (
        *facts.in_flight_calls,
        *(calls for r in reports for calls in r.busy),
    ):
        in_flight[(item.service, item.version)] += item.in_flight
    lowest_revision = min(
        [revision, *(item.lowest_revision for item in reports)]
    )
    rejections = [r for item in reports for r in item.rejections]
    if facts.knowledge.rejection:
        rejections.append(facts.knowledge.rejection)
    return Report(
        facts.own.node_id,
        1 + sum(item.nodes for item in reports),
        lowest_revision,
        _collect_lags(facts.own.node_id, revision, reports),
        tuple(dict.fromkeys(rejections))[:MAX_LAGS],
        merge_cells([facts.cells, *(item.cells for item in reports)]),
        tuple(
            InFlightCalls(*key, number)
            for key, number in sorted(in_flight.items())
        ),
    )


def _collect_lags(node_id, revision, reports):
    """Return the nodes furthest behind the newest reported revision."""
    lags = [Lag(node_id, revision)]
    for item in reports:
        lags.extend(item.lags or [Lag(item.node_id, item.lowest_revision)])
    newest = max(lag.revision for lag in lags)
    behind = [lag for lag in lags if lag.revision < newest]
    return tuple(sorted(behind, key=lambda lag: lag.revision)[:MAX_LAGS])


def _receivers(facts):
    topology = facts.topology
    if topology.parent:
        return (topology.parent,)
    if not topology.is_zone_representative:
        return ()
    # The lead aggregates its region's zones for the other regions' leads.
    return topology.far_leads if topology.is_lead else (topology.lead,)


@controller('reports')
def send_report(facts, now):
    """Report at once when versions or receivers change, else at intervals.

    Failures of a move's new version are reported at shorter intervals: the
    move may be completed before a report that is not urgent arrives.
    """
    receivers = _receivers(facts)
    since = now - facts.sent.report_at
    if not receivers or since < MIN_REPORT_INTERVAL_SECONDS:
        return
    report = _report_for(facts, now)
    last = facts.sent.report
    peers = facts.settings.peers
    versions_changed = last is None or (
        (report.lowest_revision, report.nodes, report.rejections)
        != (last.lowest_revision, last.nodes, last.rejections)
    )
    evidence_changed = last is not None and report.cells != last.cells
    evidence_seconds = peers.evidence_seconds
    if evidence_changed and _count_new_failures(
        report.cells
    ) > _count_new_failures(last.cells):
        evidence_seconds = FAILURE_REPORT_INTERVAL_SECONDS
    due = (
        versions_changed
        or receivers != facts.sent.report_receivers
        or since >= peers.report_seconds
        or (evidence_changed and since >= evidence_seconds)
    )
    if due:
        yield SendReport(receivers, report)


def _count_new_failures(cells):
    """Return the failed calls to the new versions of all moves."""
    return sum(
        cell.failures
        for cell in cells
        if cell.key.side is Side.NEW and cell.key.epoch == ENTIRE_STAGE
    )


def _report_for(facts, now):
    """Build the report for the receivers.

    A zone representative reports its own zone only, except that a region's
    lead reports all zones of its region to the leads of other regions.
    """
    topology = facts.topology
    if not topology.is_zone_representative or not topology.is_lead:
        return build_report(
            facts, now, own_zone_only=topology.is_zone_representative
        )
    members = facts.knowledge.members.members
    own_region = {
        node_id: held
        for node_id, held in facts.reports.items()
        if node_id in members and members[node_id].region == facts.own.region
    }
    return build_report(replace(facts, reports=own_region), now)


@controller('summaries')
def summarize_zone(facts, now):
    """Write the zone's summary when its signature changed or it is due."""
    lifecycle = facts.lifecycle
    if not lifecycle.joined or lifecycle.draining:
        return
    if not facts.topology.is_zone_representative:
        return
    since = now - facts.sent.summary_at
    if since < facts.settings.platform.summary_gap_seconds:
        return
    report = build_report(facts, now, own_zone_only=True)
    due = since >= facts.settings.platform.summary_seconds
    signature = summary_signature(facts, report)
    if due or signature != facts.sent.summary_signature:
        yield WriteSummary(build_summary(facts, report, now), signature)


def summary_signature(facts, report):
    """Return a hash of the state whose changes operators are shown at once."""
    return hash(
        (
            report.nodes,
            report.lowest_revision,
            report.rejections,
            facts.knowledge.configuration.revision,
            frozenset(facts.knowledge.verdicts),
        )
    )


def build_summary(facts, report, now):
    """Build the zone's summary from its report."""
    members = [
        member
        for member in facts.knowledge.members.members.values()
        if member.present and member.zone == facts.own.zone
    ]
    servers = Counter(
        f'{member.endpoint.service}/{member.endpoint.version}'
        for member in members
        if member.endpoint is not None
    )
    return ZoneSummary(
        facts.own.region,
        facts.own.zone,
        now,
        facts.own.node_id,
        len(members),
        facts.knowledge.configuration.revision,
        report.lowest_revision,
        report.nodes,
        tuple(member.peer_address for member in members[:MAX_SEEDS]),
        tuple(
            lag
            for lag in report.lags
            if lag.revision < facts.knowledge.configuration.revision
        ),
        report.rejections,
        facts.topology.roots,
        dict(servers),
        tuple(facts.knowledge.verdicts),
        facts.own.operator_address,
    )
