"""Decide what a node does next, from its facts and the present time.

Each controller is a pure function registered by decorator; importing this
module registers all of them.
"""

from poplarrack.decisions import Compare
from poplarrack.decisions import controller
from poplarrack.decisions import CONTROLLERS
from poplarrack.decisions import ForgetEndpoint
from poplarrack.decisions import Watch
from poplarrack.detectors import detect_failures
from poplarrack.detectors import rejoin_others
from poplarrack.move_controllers import advance_moves
from poplarrack.move_controllers import halt_bad_versions
from poplarrack.reporters import send_report
from poplarrack.reporters import summarize_zone

__all__ = (
    'halt_bad_versions',
    'compare_in_turn',
    'CONTROLLERS',
    'decide_watch',
    'detect_failures',
    'expire_announcement',
    'rejoin_others',
    'send_report',
    'summarize_zone',
    'advance_moves',
)

BRIDGE_TURNS = 3


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
