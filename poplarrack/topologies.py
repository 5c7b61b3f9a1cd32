"""Derive the dissemination tree, the fetchers and the failure detection ring.

All of it follows from rendezvous hashing over the membership view: there is
no leader election, and nodes with different views cost additional messages
but never correctness.
"""

from dataclasses import dataclass
from functools import lru_cache

from xxhash import xxh64_intdigest

ROOTS_PER_ZONE = 2
TREE_FAN_OUT = 8
MAX_NEIGHBOURS = 4
MAX_REPRESENTATIVE_CANDIDATES = 3
# Stands for an unnamed remote region that holds the platform's store. The
# lead of every region then advances moves, since none is known to be nearer.
REMOTE_REGION = '(elsewhere)'


@dataclass(frozen=True)
class Topology:
    """A node's position in the topology, as node ids.

    ``roots`` are the first nodes of the node's zone in rendezvous order. They
    are its fetchers where the platform is near; elsewhere only the region's
    lead is one.
    ``bridges`` are the nodes in other zones that a root forwards to;
    ``lead`` represents the node's region and ``far_leads`` the others;
    ``partner_children`` are the children of the other node of its pair of
    ranks (2k and 2k + 1), to which it sends the configuration too.
    ``dependents`` learn of changes only through this node, and it through
    ``source``, which is empty for a fetcher.
    ``neighbours`` are the nodes that it monitors. ``rank`` is the node's
    index in its zone's rendezvous order. ``is_worker`` marks the node that
    advances moves.
    """

    roots: tuple[str, ...] = ()
    parent: str | None = None
    children: tuple[str, ...] = ()
    partner_children: tuple[str, ...] = ()
    source: str = ''
    dependents: tuple[str, ...] = ()
    neighbours: tuple[str, ...] = ()
    bridges: tuple[str, ...] = ()
    lead: str = ''
    far_leads: tuple[str, ...] = ()
    rank: int = 0
    is_fetcher: bool = False
    is_lead: bool = False
    is_worker: bool = False
    zone_size: int = 1

    @property
    def is_isolated(self):
        """Return whether the node knows no other node."""
        return self.zone_size == 1 and not self.bridges

    @property
    def is_zone_representative(self):
        """Return whether the node represents its zone towards others."""
        return self.rank == 0

    def next_hops(self):
        """Return the nodes that changes are forwarded to.

        These are the parent and the children in the zone's tree and, for
        the zone representative, its bridges.
        """
        up = (self.parent,) if self.parent else ()
        across = self.bridges if self.is_zone_representative else ()
        return (*up, *self.children, *across)


@dataclass(frozen=True)
class ZoneRepresentative:
    """The node through which this one reaches a zone.

    ``unreachable`` is set when none of the zone's candidates answers.
    """

    node_id: str
    unreachable: bool


def rank_nodes(key, node_ids):
    """Return node ids in rendezvous order for a key."""
    return sorted(node_ids, key=lambda node: (_rank_of(key, node), node))


@lru_cache(maxsize=4096)
def _rank_of(key, node_id):
    return xxh64_intdigest(f'{key}\0{node_id}'.encode())


def derive_topology(own, table, platform_region, unreachable=frozenset()):
    """Derive a node's topology from its own record and its member table.

    The representatives of the zones of one region forward to each other;
    one of them, the region's lead, forwards to the lead of the other
    region, so that one copy of a change crosses the link between regions.

    :param own: the node's own Member.
    :param table: the MemberTable with all known members.
    :param platform_region: the region of the platform's store, empty where
        every region is near it, or ``REMOTE_REGION``.
    :param unreachable: ids of nodes in other zones that do not answer this
        one.
    :returns: a Topology.
    """
    near_platform = platform_region in ('', own.region)
    ranks = _ranks_by_zone(own, table)
    zone_ranks = ranks[(own.region, own.zone)]
    rank = zone_ranks.index(own.node_id)
    representatives = _choose_representatives(own, ranks, unreachable)
    leads = _choose_region_leads(representatives)
    is_lead = leads[own.region] == own.node_id
    roots = tuple(zone_ranks[:ROOTS_PER_ZONE])
    parent = zone_ranks[(rank - 1) // TREE_FAN_OUT] if rank else None
    children = _children(rank, zone_ranks)
    bridges = (
        _bridges(own, representatives, leads) if rank < len(roots) else ()
    )
    is_fetcher = rank < len(roots) and (near_platform or is_lead)
    dependents = children
    if near_platform:
        dependents = tuple(node for node in children if node not in roots)
    elif is_lead:
        far_leads = leads.values()
        dependents += tuple(node for node in bridges if node not in far_leads)
    return Topology(
        roots=roots,
        parent=parent,
        children=children,
        partner_children=tuple(
            node
            for node in _children(rank ^ 1, zone_ranks)
            if node not in (own.node_id, parent)
        ),
        source='' if is_fetcher else parent or leads[own.region],
        dependents=dependents,
        neighbours=_neighbours(own.node_id, zone_ranks),
        bridges=bridges,
        lead=leads[own.region],
        far_leads=tuple(
            lead for region, lead in leads.items() if region != own.region
        ),
        rank=rank,
        is_fetcher=is_fetcher,
        is_lead=is_lead,
        is_worker=is_lead
        and (near_platform or platform_region == REMOTE_REGION),
        zone_size=len(zone_ranks),
    )


def _children(rank, zone_ranks):
    """Return the children of the node of a rank in the zone's tree."""
    first = TREE_FAN_OUT * rank + 1
    return tuple(zone_ranks[first : first + TREE_FAN_OUT])


def _ranks_by_zone(own, table):
    """Return each zone's present nodes in rendezvous order, suspects last.

    Suspects become leaves of the tree: one that is in fact alive still
    receives every change, and no other node depends on it.
    """
    zones = {(own.region, own.zone): {own.node_id}}
    for member in table.members.values():
        if member.present:
            locality = (member.region, member.zone)
            zones.setdefault(locality, set()).add(member.node_id)
    return {
        locality: _suspects_last(
            rank_nodes(locality[1], node_ids), table.suspects
        )
        for locality, node_ids in zones.items()
    }


def _suspects_last(ranked, suspects):
    if suspects.isdisjoint(ranked):
        return ranked
    return sorted(ranked, key=suspects.__contains__)


def _choose_representatives(own, ranks, unreachable):
    """Return the ZoneRepresentative of each zone.

    In other zones it is the first of a few candidates that answers, or the
    very first where none does.
    """
    representatives = {}
    for locality, zone_ranks in ranks.items():
        candidates = zone_ranks[:MAX_REPRESENTATIVE_CANDIDATES]
        if locality == (own.region, own.zone):
            candidates = zone_ranks[:1]
        reachable = [
            node_id for node_id in candidates if node_id not in unreachable
        ]
        representatives[locality] = ZoneRepresentative(
            (reachable or candidates)[0], not reachable
        )
    return representatives


def _choose_region_leads(representatives):
    """Return each region's lead: the representative of its first zone.

    Zones are ordered by name, those that do not answer last.
    """
    leads = {}
    ordered = sorted(
        representatives,
        key=lambda locality: (representatives[locality].unreachable, locality),
    )
    for locality in ordered:
        leads.setdefault(locality[0], representatives[locality].node_id)
    return leads


def _bridges(own, representatives, leads):
    """Return the bridges of a root.

    They are the representatives of the region's other zones and, in the
    lead's zone, the leads of the other regions.
    """
    own_locality = (own.region, own.zone)
    near = [
        representative.node_id
        for locality, representative in sorted(representatives.items())
        if locality[0] == own.region and locality != own_locality
    ]
    far = []
    if leads[own.region] == representatives[own_locality].node_id:
        far = [lead for region, lead in leads.items() if region != own.region]
    return tuple(near + far)


def _neighbours(node_id, zone_ranks):
    """Return the nodes that a node monitors.

    They are its successor and others spread evenly over the ring that the
    zone's rendezvous order forms.
    """
    rank = zone_ranks.index(node_id)
    ring = zone_ranks[rank + 1 :] + zone_ranks[:rank]
    step = max(1, len(ring) // MAX_NEIGHBOURS)
    return tuple(dict.fromkeys(ring[:1] + ring[step::step]))[:MAX_NEIGHBOURS]
