"""Controllers: pure functions from facts and the current time to decisions.

Each is registered by decorator; importing this module registers them all.
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
    'advance_moves',
    'CONTROLLERS',
    'decide_watch',
    'detect_failures',
    'expire_announcement',
    'halt_bad_versions',
    'rejoin_others',
    'run_anti_entropy',
    'send_report',
    'summarize_zone',
)

# Roots also compare with a bridge in every third round.
BRIDGE_COMPARE_ROUNDS = 3


@controller('anti-entropy')
def run_anti_entropy(facts, now):
    """Compare digests with neighbours and, at roots, bridges in turn."""
    sent, topology = facts.sent, facts.topology
    if now - sent.compared_at < facts.settings.peers.compare_seconds:
        return
    if topology.neighbours:
        turn = sent.compare_turn % len(topology.neighbours)
        yield Compare(topology.neighbours[turn])
    if topology.bridges and sent.compare_turn % BRIDGE_COMPARE_ROUNDS == 0:
        turn = (sent.compare_turn // BRIDGE_COMPARE_ROUNDS) % len(
            topology.bridges
        )
        yield Compare(topology.bridges[turn])


@controller('announcements')
def expire_announcement(facts, now):
    """Remove the local endpoint when its announcement has expired."""
    ttl = facts.settings.calls.announcement_ttl_seconds
    has_endpoint = facts.own.endpoint is not None
    if has_endpoint and now - facts.announced_at > ttl:
        yield ForgetEndpoint()


@controller('fetching')
def decide_watch(facts, now):
    """Watch the platform while the topology makes this node a fetcher.

    The topology of a node that is still joining does not count: it is
    derived from a membership view of that node alone.
    """
    lifecycle = facts.lifecycle
    active = lifecycle.joined and not lifecycle.draining
    wanted = active and facts.topology.is_fetcher
    if wanted != facts.platform.watching:
        yield Watch(wanted)
