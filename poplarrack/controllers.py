"""Controllers: pure functions from facts and the current time to decisions.

Each is registered by decorator; importing this module registers them all.
"""

from poplarrack.decisions import Beat
from poplarrack.decisions import Compare
from poplarrack.decisions import controller
from poplarrack.decisions import CONTROLLERS
from poplarrack.decisions import ForgetEndpoint
from poplarrack.decisions import StoreDeparture
from poplarrack.decisions import Watch
from poplarrack.departures import DEPARTURE_TTL_SECONDS
from poplarrack.detectors import detect_failures
from poplarrack.detectors import rejoin_others
from poplarrack.move_controllers import advance_moves
from poplarrack.move_controllers import halt_bad_versions
from poplarrack.reporters import send_report
from poplarrack.reporters import summarize_zone
from poplarrack.store_histories import history_of

__all__ = (
    'advance_moves',
    'beat',
    'CONTROLLERS',
    'decide_watch',
    'detect_failures',
    'expire_announcement',
    'halt_bad_versions',
    'rejoin_others',
    'run_anti_entropy',
    'send_report',
    'store_departure_again',
    'summarize_zone',
)

# Roots also compare with a bridge in every third round.
BRIDGE_COMPARE_ROUNDS = 3
# How long a node may hear nothing from its source before it follows the store
# itself, in beats. Beats pass on no evidence from further up: each node on the
# way answers for its own source.
MAX_SILENT_BEATS = 2.5
# How many dependents of a fetcher that fails to reach the store get no beat,
# so that they try in its place: one at first, and one more for each interval,
# as the store may fail the first ones, too. The bound keeps an outage of the
# store from having all nodes call it.
MAX_SUBSTITUTES = 3
SUBSTITUTE_INTERVAL_SECONDS = 2.0


@controller('anti-entropy')
def run_anti_entropy(facts, now):
    """Compare digests with neighbours and, at roots, bridges in turn."""
    sent, topology = facts.sent, facts.topology
    if now - sent.compared_at < facts.settings.peers.compare_seconds:
        return
    substitutes = _substitutes(facts, now)
    neighbours = [
        node_id
        for node_id in topology.neighbours
        if node_id not in substitutes
    ]
    if neighbours:
        yield Compare(neighbours[sent.compare_turn % len(neighbours)])
    if topology.bridges and sent.compare_turn % BRIDGE_COMPARE_ROUNDS == 0:
        turn = (sent.compare_turn // BRIDGE_COMPARE_ROUNDS) % len(
            topology.bridges
        )
        yield Compare(topology.bridges[turn])


@controller('beats')
def beat(facts, now):
    """Send a beat to the nodes that depend on this one."""
    lifecycle, dependents = facts.lifecycle, facts.topology.dependents
    interval = facts.settings.peers.beat_seconds
    active = interval and lifecycle.joined and not lifecycle.draining
    if active and now - facts.sent.beat_at >= interval:
        substitutes = _substitutes(facts, now)
        reached = tuple(
            node_id for node_id in dependents if node_id not in substitutes
        )
        if reached:
            yield Beat(reached)


def _substitutes(facts, now):
    """Return the dependents that are to try the store instead."""
    platform = facts.platform
    if not platform.watching or not platform.failing_since:
        return ()
    failed_seconds = now - platform.failing_since
    number = 1 + int(failed_seconds / SUBSTITUTE_INTERVAL_SECONDS)
    return facts.topology.dependents[: min(MAX_SUBSTITUTES, number)]


@controller('announcements')
def expire_announcement(facts, now):
    """Remove the local endpoint when its announcement has expired."""
    ttl = facts.settings.calls.announcement_ttl_seconds
    has_endpoint = facts.own.endpoint is not None
    if has_endpoint and now - facts.announced_at > ttl:
        yield ForgetEndpoint()


def _is_source_silent(facts, now):
    """Return whether the node has not heard from its source for too long."""
    interval = facts.settings.peers.beat_seconds
    silence = now - facts.source_heard_at
    return bool(interval) and silence > MAX_SILENT_BEATS * interval


@controller('departures')
def store_departure_again(facts, now):
    """Write the last leave again after a return of the store.

    Other nodes keep it, too; the store does for when all are restarted.
    """
    departure = facts.own.departure
    history = history_of(facts.knowledge.configuration.revision)
    if (
        departure is not None
        and now - departure.at < DEPARTURE_TTL_SECONDS
        and history > facts.sent.departure_history
    ):
        yield StoreDeparture(history)


@controller('fetching')
def decide_watch(facts, now):
    """Watch the platform while the topology makes this node a fetcher.

    A node that does not hear from its source watches too, because nobody
    else may tell it of a change. The topology of a node that is still
    joining does not count: it is derived from a membership view of that
    node alone.
    """
    lifecycle = facts.lifecycle
    active = lifecycle.joined and not lifecycle.draining
    wanted = active and (
        facts.topology.is_fetcher or _is_source_silent(facts, now)
    )
    if wanted != facts.platform.watching:
        yield Watch(wanted)
