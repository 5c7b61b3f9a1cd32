"""Decide what a node does next, from its facts and the present time.

Each controller is a pure function registered by decorator.
"""

from collections import Counter
from dataclasses import replace

from poplarrack.decisions import Brake
from poplarrack.decisions import Compare
from poplarrack.decisions import ForgetEndpoint
from poplarrack.decisions import ProbeThrough
from poplarrack.decisions import Publish
from poplarrack.decisions import Rejoin
from poplarrack.decisions import SendReport
from poplarrack.decisions import Watch
from poplarrack.decisions import WriteMove
from poplarrack.decisions import WriteSummary
from poplarrack.evidence import examine_move
from poplarrack.evidence import find_fault
from poplarrack.evidence import merge_cells
from poplarrack.members import EndpointState
from poplarrack.members import MemberState
from poplarrack.messages import Busy
from poplarrack.messages import Lag
from poplarrack.messages import Report
from poplarrack.moves import decide_move
from poplarrack.moves import is_live
from poplarrack.moves import MoveFacts
from poplarrack.moves import POLICIES
from poplarrack.resources import encode_resource
from poplarrack.resources import MoveState
from poplarrack.summaries import SEEDS_KEPT
from poplarrack.summaries import ZoneSummary

CONTROLLERS = {}
HELPERS = 2
MAX_LAGS = 5
REPORT_GAP_SECONDS = 0.1
REPORT_TTL_FACTOR = 3
BRIDGE_TURNS = 3
SILENT_SECONDS = 1.0
RETRY_SECONDS = 15.0
MOVE_GAP_SECONDS = 0.5
REJOIN_SECONDS = 2.0
# How often a zone's first node reads the other zones' summaries for zones
# that it knows nobody of: one store call, against zones apart for good.
LOOK_SECONDS = 10.0


def controller(name):
    """Register a function from facts and time to decisions."""

    def register(decide):
        CONTROLLERS[name] = decide
        return decide

    return register


@controller('anti-entropy')
def compare_in_turn(facts, now):
    """Compare with one neighbour after another, roots also across."""
    sent, topology = facts.sent, facts.topology
    if now - sent.compared_at < facts.settings.peers.compare_seconds:
        return
    if topology.neighbours:
        turn = sent.compare_turn % len(topology.neighbours)
        yield Compare(topology.neighbours[turn])
    if topology.bridges and sent.compare_turn % BRIDGE_TURNS == 0:
        turn = (sent.compare_turn // BRIDGE_TURNS) % len(topology.bridges)
        yield Compare(topology.bridges[turn])


@controller('rejoining')
def rejoin_others(facts, now):
    """Look for nodes that this one lost, or never found.

    A node that knows nobody asks its seeds and the platform again, once
    it gave up joining. A zone's first node looks for zones that it knows
    nobody of, often while it is young: zones that start together may each
    have found only their own. The roots of a zone try its dead one after
    another, since a cut looks the same as a death from here and heals
    without notice.
    """
    if not facts.lifecycle.joined:
        return
    topology, sent = facts.topology, facts.sent
    alone = topology.zone_size == 1 and not topology.bridges
    if topology.is_first and now - sent.looked_at >= _look_gap(facts, now):
        yield Rejoin(facts.settings.seeds if alone else (), ask_platform=True)
    elif (
        topology.rank < len(topology.roots)
        and now - sent.rejoined_at >= REJOIN_SECONDS
    ):
        lost = _lost_addresses(facts)
        if lost:
            turn = int(now / REJOIN_SECONDS) % len(lost)
            yield Rejoin((lost[turn],), ask_platform=False)


def _look_gap(facts, now):
    young = now - facts.lifecycle.started_at < LOOK_SECONDS
    alone = facts.topology.zone_size == 1 and not facts.topology.bridges
    return REJOIN_SECONDS if young or alone else LOOK_SECONDS


def _lost_addresses(facts):
    members = facts.knowledge.members.members.values()
    present = {item.peer_address for item in members if item.present}
    # One that left may be back, and unable to find the others.
    dead = {item.peer_address for item in members if not item.present}
    return sorted((dead | set(facts.settings.seeds)) - present)


@controller('failure-detection')
def detect_failures(facts, now):
    """Have silent nodes probed, accuse them, and bury the suspects.

    Only nodes of the own zone are judged. A node that no neighbour
    answers takes itself for the one cut off and accuses nobody.
    """
    neighbours = facts.topology.neighbours
    silent = [
        node_id
        for node_id in neighbours
        if facts.contacts.get(node_id) and _failing(facts, node_id)
    ]
    if silent and (len(silent) < len(neighbours) or len(neighbours) == 1):
        yield from _judge_silent(facts, silent, now)
    yield from _bury_suspects(facts, now)


def _failing(facts, node_id):
    return facts.contacts[node_id].failing_since > 0


def _judge_silent(facts, silent, now):
    answering = [
        node_id
        for node_id in (*facts.topology.neighbours, *facts.topology.children)
        if node_id not in silent
    ]
    for node_id in silent:
        contact = facts.contacts[node_id]
        member = facts.knowledge.members.members.get(node_id)
        if member is None or member.state is not MemberState.ALIVE:
            continue
        if not contact.probed and answering:
            yield ProbeThrough(node_id, tuple(answering[:HELPERS]))
        elif now - contact.failing_since >= 0.5:
            yield Publish((replace(member, state=MemberState.SUSPECT),))


def _bury_suspects(facts, now):
    bound = facts.settings.peers.suspect_seconds
    buried = []
    for node_id, since in facts.suspected.items():
        member = facts.knowledge.members.members.get(node_id)
        if member is None or member.state is not MemberState.SUSPECT:
            continue
        if member.zone == facts.own.zone and now - since >= bound:
            buried.append(replace(member, state=MemberState.DEAD))
    if buried:
        yield Publish(tuple(buried))


@controller('announcements')
def expire_announcement(facts, now):
    """Take the own backend server out of use when it fell silent."""
    bound = facts.settings.calls.announcement_ttl_seconds
    has_endpoint = facts.own.endpoint is not None
    if has_endpoint and now - facts.announced_at > bound:
        yield ForgetEndpoint()


@controller('fetching')
def decide_watch(facts, now):
    """Watch the platform where the node's place asks for it.

    A node that is still joining knows of nobody else, and its place for
    none.
    """
    lifecycle = facts.lifecycle
    placed = lifecycle.joined and not lifecycle.draining
    wanted = placed and facts.topology.is_fetcher
    if wanted != facts.platform.watching:
        yield Watch(wanted)


def fresh_reports(facts, now):
    """Return the reports of present children and bridges still valid."""
    bound = facts.settings.peers.report_seconds * REPORT_TTL_FACTOR
    return [
        held.report
        for node_id, held in facts.reports.items()
        if now - held.arrived_at <= bound and _reports_here(facts, node_id)
    ]


def _reports_here(facts, node_id):
    """Count children, and other zones only where the zone is spoken for.

    A second root has bridges too, but what their nodes once sent to it is
    not renewed.
    """
    topology = facts.topology
    across = topology.bridges if topology.is_first else ()
    return node_id in topology.children or node_id in across


def build_report(facts, now, own_zone_only=False):
    """Add the own state to the reports from below."""
    reports = fresh_reports(facts, now)
    if own_zone_only:
        children = set(facts.topology.children)
        reports = [item for item in reports if item.node_id in children]
    revision = facts.knowledge.configuration.revision
    busy = Counter()
    for item in (*facts.busy, *(b for r in reports for b in r.busy)):
        busy[(item.service, item.version)] += item.in_flight
    lowest = min([revision, *(item.lowest_revision for item in reports)])
    rejections = [r for item in reports for r in item.rejections]
    if facts.knowledge.rejection:
        rejections.append(facts.knowledge.rejection)
    return Report(
        facts.own.node_id,
        1 + sum(item.nodes for item in reports),
        lowest,
        _collect_lags(facts.own.node_id, revision, reports),
        tuple(dict.fromkeys(rejections))[:MAX_LAGS],
        merge_cells([facts.cells, *(item.cells for item in reports)]),
        tuple(Busy(*key, number) for key, number in sorted(busy.items())),
    )


def _collect_lags(node_id, revision, reports):
    """Return the nodes furthest behind the newest version seen."""
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
    if not topology.is_first:
        return ()
    # A lead hears from its region and tells the other one's.
    return topology.far_leads if topology.is_lead else (topology.lead,)


@controller('reports')
def send_report(facts, now):
    """Report upward at once when versions change, else at intervals."""
    receivers = _receivers(facts)
    since = now - facts.sent.report_at
    if not receivers or since < REPORT_GAP_SECONDS:
        return
    report = _report_for(facts, now)
    last = facts.sent.report
    peers = facts.settings.peers
    versions_changed = last is None or (
        (report.lowest_revision, report.nodes, report.rejections)
        != (last.lowest_revision, last.nodes, last.rejections)
    )
    evidence_changed = last is not None and report.cells != last.cells
    due = (
        versions_changed
        or receivers != facts.sent.report_receivers
        or since >= peers.report_seconds
        or (evidence_changed and since >= peers.evidence_seconds)
    )
    if due:
        yield SendReport(receivers, report)


def _report_for(facts, now):
    """Build the report for the receivers.

    A zone's first node reports its zone alone, but a lead all zones of
    its region, which the other region hears of through it only.
    """
    topology = facts.topology
    if not topology.is_first or not topology.is_lead:
        return build_report(facts, now, own_zone_only=topology.is_first)
    members = facts.knowledge.members.members
    near = {
        node_id: held
        for node_id, held in facts.reports.items()
        if node_id in members and members[node_id].region == facts.own.region
    }
    return build_report(replace(facts, reports=near), now)


@controller('braking')
def brake_bad_versions(facts, now):
    """Judge every live move on the evidence that passes through here."""
    cells = None
    for move in facts.knowledge.configuration.moves.values():
        if move.move_id in facts.knowledge.verdicts or not is_live(move, now):
            continue
        if cells is None:
            groups = [item.cells for item in fresh_reports(facts, now)]
            cells = merge_cells([facts.cells, *groups])
        threshold = POLICIES[move.policy].fault_threshold
        verdict = find_fault(
            move.move_id, cells, threshold, now, facts.own.node_id
        )
        if verdict is not None:
            yield Brake(verdict)


@controller('moves')
def work_on_moves(facts, now):
    """Advance, hold, complete or withdraw each move, if the worker."""
    if not facts.topology.is_worker or facts.lifecycle.draining:
        return
    configuration = facts.knowledge.configuration
    for service, move in configuration.moves.items():
        if now - facts.sent.moves.get(service, 0.0) < MOVE_GAP_SECONDS:
            continue
        changed = decide_move(move, gather_move_facts(facts, move, now), now)
        if changed is not None:
            yield _write_move(configuration, service, changed)


def _write_move(configuration, service, changed):
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
    held = configuration.snapshot.entries.get(service_path)
    record = configuration.services[service]
    if held is None or record.version in ('', version):
        return decision
    return replace(
        decision,
        service_path=service_path,
        service_revision=held.revision,
        service_value=encode_resource(replace(record, version=version)),
    )


def gather_move_facts(facts, move, now):
    """Return what the worker of a move knows."""
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
    return MoveFacts(
        examine_move(move.move_id, report.cells),
        facts.knowledge.verdicts.get(move.move_id),
        new_servers,
        new_slots,
        old_slots,
        busy,
    )


def _serves(member, endpoint, service):
    return (
        endpoint is not None
        and member.present
        and endpoint.service == service
        and endpoint.state is EndpointState.SERVING
    )


@controller('summaries')
def summarize_zone(facts, now):
    """Write the zone's state to the platform when it changed or is due."""
    lifecycle = facts.lifecycle
    if not lifecycle.joined or lifecycle.draining:
        return
    if not facts.topology.is_first:
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
    """Return a number that changes when operators would want to know."""
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
        tuple(member.peer_address for member in members[:SEEDS_KEPT]),
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


def note_failure(contact, now):
    """Return a contact after one more call without an answer."""
    since = contact.failing_since
    if not since or now - since >= RETRY_SECONDS:
        return replace(contact, failing_since=now, probed=False)
    return contact


def silent_nodes(facts, now):
    """Return the nodes of other zones that have not answered for a while.

    Each is tried again after some time, since nobody here judges it.
    """
    members = facts.knowledge.members.members
    return frozenset(
        node_id
        for node_id, contact in facts.contacts.items()
        if contact.failing_since
        and SILENT_SECONDS <= now - contact.failing_since < RETRY_SECONDS
        and node_id in members
        and members[node_id].zone != facts.own.zone
    )
