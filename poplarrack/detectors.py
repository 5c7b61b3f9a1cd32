"""Detect failed nodes by probing, and look for nodes that were partitioned."""

from dataclasses import replace

from poplarrack.decisions import controller
from poplarrack.decisions import ProbeThrough
from poplarrack.decisions import Publish
from poplarrack.decisions import Rejoin
from poplarrack.members import MemberState

MAX_PROBE_HELPERS = 2
# How long a neighbour must have failed before a suspicion is published.
SUSPICION_DELAY_SECONDS = 0.5
# How long a node in another zone must have failed to count as unreachable.
UNREACHABLE_SECONDS = 1.0
# The age at which a failure no longer counts, so that the node is tried again.
FAILURE_RETRY_SECONDS = 15.0
# How often a root tries a lost member, and how often an isolated or recently
# started zone representative searches the platform.
REJOIN_INTERVAL_SECONDS = 2.0
# How often a zone representative without bridges searches the platform for
# unknown zones, at one store call per search. Without the search, zones that
# each found only their own nodes would stay apart for good.
ZONE_SEARCH_INTERVAL_SECONDS = 10.0
# The interval with bridges. A search reads the summaries of all zones, which
# must fit into the 3,000 bytes/s that a node may send and receive in total.
BRIDGED_ZONE_SEARCH_INTERVAL_SECONDS = 60.0


@controller('rejoining')
def rejoin_others(facts, now):
    """Look for nodes that this one lost contact with or never discovered.

    An isolated node asks its seeds and the platform again, once its join
    has given up. A zone representative searches the platform for zones in
    which it knows no node, more often when recently started: zones that
    start together may each have found only their own nodes. The roots of a
    zone try its dead and departed members in turn, since from here a
    partition looks the same as a failure and heals without notice.
    """
    if not facts.lifecycle.joined:
        return
    topology, sent = facts.topology, facts.sent
    if (
        topology.is_zone_representative
        and now - sent.zones_searched_at >= _zone_search_interval(facts, now)
    ):
        seeds = facts.settings.seeds if topology.is_isolated else ()
        yield Rejoin(seeds, ask_platform=True)
    elif (
        topology.rank < len(topology.roots)
        and now - sent.rejoined_at >= REJOIN_INTERVAL_SECONDS
    ):
        lost = _lost_addresses(facts)
        if lost:
            turn = int(now / REJOIN_INTERVAL_SECONDS) % len(lost)
            yield Rejoin((lost[turn],), ask_platform=False)


def _zone_search_interval(facts, now):
    topology = facts.topology
    recently_started = (
        now - facts.lifecycle.started_at < ZONE_SEARCH_INTERVAL_SECONDS
    )
    if recently_started or topology.is_isolated:
        return REJOIN_INTERVAL_SECONDS
    return (
        BRIDGED_ZONE_SEARCH_INTERVAL_SECONDS
        if topology.bridges
        else ZONE_SEARCH_INTERVAL_SECONDS
    )


def _lost_addresses(facts):
    members = facts.knowledge.members.members.values()
    present = {item.peer_address for item in members if item.present}
    # Departed members count too: one may have restarted without finding
    # the others.
    dead = {item.peer_address for item in members if not item.present}
    return sorted((dead | set(facts.settings.seeds)) - present)


@controller('failure-detection')
def detect_failures(facts, now):
    """Probe unresponsive neighbours, publish suspicions, declare deaths.

    Only nodes of the own zone are judged. A node that reaches none of its
    neighbours assumes that it is the partitioned one and suspects none.
    """
    neighbours = facts.topology.neighbours
    unresponsive = [
        node_id
        for node_id in neighbours
        if facts.contacts.get(node_id) and _is_failing(facts, node_id)
    ]
    if unresponsive and (
        len(unresponsive) < len(neighbours) or len(neighbours) == 1
    ):
        yield from _probe_or_suspect(facts, unresponsive, now)
    yield from _declare_dead(facts, now)


def _is_failing(facts, node_id):
    return facts.contacts[node_id].failing_since > 0


def _probe_or_suspect(facts, unresponsive, now):
    responsive = [
        node_id
        for node_id in (*facts.topology.neighbours, *facts.topology.children)
        if node_id not in unresponsive
    ]
    for node_id in unresponsive:
        contact = facts.contacts[node_id]
        member = facts.knowledge.members.members.get(node_id)
        if member is None or member.state is not MemberState.ALIVE:
            continue
        if not contact.probed and responsive:
            yield ProbeThrough(node_id, tuple(responsive[:MAX_PROBE_HELPERS]))
        elif now - contact.failing_since >= SUSPICION_DELAY_SECONDS:
            yield Publish((replace(member, state=MemberState.SUSPECT),))


def _declare_dead(facts, now):
    """Declare dead the suspects that did not refute the suspicion in time."""
    timeout = facts.settings.peers.suspect_seconds
    dead = []
    for node_id, since in facts.suspected.items():
        member = facts.knowledge.members.members.get(node_id)
        if member is None or member.state is not MemberState.SUSPECT:
            continue
        if member.zone == facts.own.zone and now - since >= timeout:
            dead.append(replace(member, state=MemberState.DEAD))
    if dead:
        yield Publish(tuple(dead))


def record_failure(contact, now):
    """Return the contact after another unanswered call.

    A failure older than ``FAILURE_RETRY_SECONDS`` is replaced by one that
    begins now, so that the node is probed again.

    :param contact: the node's Contact before the call.
    :param now: seconds since the epoch.
    :returns: a Contact.
    """
    since = contact.failing_since
    if not since or now - since >= FAILURE_RETRY_SECONDS:
        return replace(contact, failing_since=now, probed=False)
    return contact


def find_unreachable_nodes(facts, now):
    """Return the ids of nodes in other zones that do not answer this one.

    Each is left out for a limited time and then tried again, since only
    its own zone may declare it dead.
    """
    members = facts.knowledge.members.members
    return frozenset(
        node_id
        for node_id, contact in facts.contacts.items()
        if contact.failing_since
        and UNREACHABLE_SECONDS
        <= now - contact.failing_since
        < FAILURE_RETRY_SECONDS
        and node_id in members
        and members[node_id].zone != facts.own.zone
    )
