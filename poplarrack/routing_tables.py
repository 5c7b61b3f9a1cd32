"""Derive the routing table from a node's knowledge."""

from dataclasses import dataclass
from dataclasses import field

from poplarrack.balancers import OTHER_REGION
from poplarrack.balancers import SAME_REGION
from poplarrack.balancers import SAME_ZONE
from poplarrack.call_tables import derive_version_split
from poplarrack.members import EndpointState
from poplarrack.members import MemberState
from poplarrack.placements import Destination
from poplarrack.placements import Tier
from poplarrack.resources import CallerLimits
from poplarrack.routers import Router

TIERS = {
    SAME_ZONE: Tier.ZONE,
    SAME_REGION: Tier.REGION,
    OTHER_REGION: Tier.FAR,
}


@dataclass(frozen=True)
class RoutingTable:
    """Everything that requests are routed by; replaced as a whole.

    ``revision`` 0 means that no configuration is known yet. ``destinations``
    are lists by service. ``moves`` has the VersionSplit of each move by
    service, also of moves that ended. ``node_count`` is the number of nodes
    that may be in the mesh.
    """

    revision: int = 0
    router: Router = field(default_factory=Router)
    destinations: dict = field(default_factory=dict)
    moves: dict = field(default_factory=dict)
    limits: CallerLimits = field(
        default_factory=lambda: CallerLimits('callers')
    )
    node_count: int = 1


def derive_routing_table(locality, knowledge, now):
    """Return the routing table of a node.

    :param locality: the Locality of the node.
    :param knowledge: the node's Knowledge of configuration, members and
        verdicts.
    :param now: seconds since the epoch.
    """
    configuration = knowledge.configuration
    moves = {
        service: derive_version_split(move, knowledge.verdicts, now)
        for service, move in configuration.moves.items()
    }
    return RoutingTable(
        configuration.revision,
        configuration.router,
        _derive_destinations(locality, knowledge.members.members.values()),
        moves,
        configuration.caller_limits,
        _count_nodes(knowledge.members.members.values()),
    )


def _count_nodes(members):
    """Return how many nodes did not leave.

    Nodes that are presumed dead count: a network partition may hide them.
    """
    return max(
        1, sum(member.state is not MemberState.LEFT for member in members)
    )


def _derive_destinations(locality, members):
    destinations = {}
    for member in members:
        endpoint = member.endpoint
        usable = member.present and endpoint is not None
        if usable and endpoint.state is EndpointState.SERVING:
            destination = Destination(
                member.node_id,
                member.peer_address,
                endpoint,
                _tier_of(locality, member),
            )
            destinations.setdefault(endpoint.service, []).append(destination)
    return destinations


def _tier_of(locality, member):
    if member.node_id == locality.node_id:
        return Tier.OWN
    return TIERS[locality.tier(member)]
