"""Derive the routing table from a node's knowledge."""

from dataclasses import dataclass
from dataclasses import field

from poplarrack.balancers import OTHER_REGION
from poplarrack.balancers import SAME_REGION
from poplarrack.balancers import SAME_ZONE
from poplarrack.call_tables import derive_version_split
from poplarrack.destination_states import Destination
from poplarrack.destination_states import Tier
from poplarrack.members import EndpointState
from poplarrack.members import MemberState
from poplarrack.organisations import build_key_index
from poplarrack.organisations import KeyIndex
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
    that may be in the mesh. ``by_node`` has the member record and the
    Destination of each node with an endpoint that serves. ``services`` and
    ``organisations`` are the configuration's, by name; ``evacuated_zones``
    are the zones whose endpoints get no calls. ``keys`` has the organisations
    by their keys. ``configured_at`` is when the revision came into force here,
    in seconds since the epoch.
    """

    revision: int = 0
    router: Router = field(default_factory=Router)
    destinations: dict = field(default_factory=dict)
    moves: dict = field(default_factory=dict)
    limits: CallerLimits = field(
        default_factory=lambda: CallerLimits('callers')
    )
    node_count: int = 1
    by_node: dict = field(default_factory=dict)
    services: dict = field(default_factory=dict)
    organisations: dict = field(default_factory=dict)
    evacuated_zones: frozenset[str] = frozenset()
    keys: KeyIndex = field(default_factory=KeyIndex)
    configured_at: float = 0.0


def derive_routing_table(locality, knowledge, now, previous=RoutingTable()):
    """Return the routing table of a node.

    :param locality: the Locality of the node.
    :param knowledge: the node's Knowledge of configuration, members and
        verdicts.
    :param now: seconds since the epoch.
    :param previous: the RoutingTable before, whose Destinations are used
        again for members that have not changed.
    """
    configuration = knowledge.configuration
    moves = {
        service: derive_version_split(move, knowledge.verdicts, now)
        for service, move in configuration.moves.items()
    }
    members = knowledge.members.members.values()
    by_node = _derive_by_node(locality, members, previous.by_node)
    destinations = {}
    for _, destination in by_node.values():
        destinations.setdefault(destination.endpoint.service, []).append(
            destination
        )
    is_new = configuration.revision != previous.revision
    return RoutingTable(
        configuration.revision,
        configuration.router,
        destinations,
        moves,
        configuration.caller_limits,
        _count_nodes(members),
        by_node,
        configuration.services,
        configuration.organisations,
        configuration.evacuated_zones,
        _derive_keys(configuration.organisations, previous),
        now if is_new else previous.configured_at,
    )


def _derive_keys(organisations, previous):
    if organisations == previous.organisations:
        return previous.keys
    return build_key_index(organisations)


def _count_nodes(members):
    """Return how many nodes did not leave.

    Nodes that are presumed dead count: a network partition may hide them.
    """
    return max(
        1, sum(member.state is not MemberState.LEFT for member in members)
    )


def _derive_by_node(locality, members, previous):
    by_node = {}
    for member in members:
        endpoint = member.endpoint
        if endpoint is None or not member.present:
            continue
        if endpoint.state is not EndpointState.SERVING:
            continue
        known = previous.get(member.node_id)
        if known is None or known[0] is not member:
            destination = Destination(
                member.node_id,
                member.peer_address,
                endpoint,
                _tier_of(locality, member),
                member.region,
                member.zone,
            )
            known = (member, destination)
        by_node[member.node_id] = known
    return by_node


def _tier_of(locality, member):
    if member.node_id == locality.node_id:
        return Tier.OWN
    return TIERS[locality.tier(member)]
