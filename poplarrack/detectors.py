"""Decide which nodes are gone, and look for those that were lost."""

from dataclasses import replace

from poplarrack.decisions import controller
from poplarrack.decisions import ProbeThrough
from poplarrack.decisions import Publish
from poplarrack.decisions import Rejoin
from poplarrack.members import MemberState

HELPERS = 2
SILENT_SECONDS = 1.0
RETRY_SECONDS = 15.0
REJOIN_SECONDS = 2.0
# How often a zone's first node reads the other zones' summaries for zones
# that it knows nobody of: one store call, against zones apart for good.
LOOK_SECONDS = 10.0
# The same where it knows other zones: the summaries of all of them must
# not outweigh what a node may send and receive in all, 3,000 bytes/s.
WIDE_LOOK_SECONDS = 60.0


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
    if topology.is_zone_representative and now - sent.looked_at >= _look_gap(
        facts, now
    ):
        seeds = facts.settings.seeds if topology.is_isolated else ()
        yield Rejoin(seeds, ask_platform=True)
    elif (
        topology.rank < len(topology.roots)
        and now - sent.rejoined_at >= REJOIN_SECONDS
    ):
        lost = _lost_addresses(facts)
        if lost:
            turn = int(now / REJOIN_SECONDS) % len(lost)
            yield Rejoin((lost[turn],), ask_platform=False)


def _look_gap(facts, now):
    topology = facts.topology
    young = now - facts.lifecycle.started_at < LOOK_SECONDS
    if young or topology.is_isolated:
        return REJOIN_SECONDS
    return WIDE_LOOK_SECONDS if topology.bridges else LOOK_SECONDS


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


def record_failure(contact, now):
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
