"""Work out who fetches, who forwards to whom and who checks whom.

All by rendezvous hashing over the membership view: no election is held,
and two nodes with different views cost messages, never correctness.
"""

from dataclasses import dataclass
from functools import lru_cache

from xxhash import xxh64_intdigest

FETCHERS_PER_ZONE = 2
TREE_DEGREE = 8
NEIGHBOURS = 4
SPEAKERS_TRIED = 3
# Stands for a store in another region that nobody named: then the lead of
# each region works on moves, since none knows of one that is nearer.
ELSEWHERE = '(elsewhere)'


@dataclass(frozen=True)
class Topology:
    """A node's place, as node ids.

    ``roots`` are the fetchers of the node's zone in order; ``bridges`` are
    the nodes in other zones that a root forwards to.
    """

    roots: tuple[str, ...] = ()
    parent: str | None = None
    children: tuple[str, ...] = ()
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
        """Say whether the node knows of no other."""
        return self.zone_size == 1 and not self.bridges

    @property
    def is_zone_representative(self):
        """Say whether the node speaks for its zone."""
        return self.rank == 0

    def next_hops(self):
        """Return whom news go to: the tree, and from its root beyond."""
        up = (self.parent,) if self.parent else ()
        across = self.bridges if self.is_zone_representative else ()
        return (*up, *self.children, *across)


@dataclass(frozen=True)
class ZoneRepresentative:
    """The node that a zone is reached by; ``cut`` when none answers."""

    node_id: str
    cut: bool


def rank_nodes(key, node_ids):
    """Return node ids in rendezvous order for a key."""
    return sorted(node_ids, key=lambda node: (_rank_of(key, node), node))


@lru_cache(maxsize=4096)
def _rank_of(key, node_id):
    return xxh64_intdigest(f'{key}\0{node_id}'.encode())


def derive_topology(own, table, platform_region, silent=frozenset()):
    """Derive a node's place from its own record and its table.

    The first nodes of zones in one region forward to each other; one of
    them, the lead, forwards to the lead of the other region, so that one
    copy of a change crosses the link.

    :param own: the node's own Member.
    :param platform_region: the region where the platform's store sits,
        empty where each region is near it, or ``ELSEWHERE``.
    :param silent: ids of nodes elsewhere that do not answer this one.
    :returns: a Topology.
    """
    near_platform = platform_region in ('', own.region)
    ranks = _ranks_by_zone(own, table)
    zone_ranks = ranks[(own.region, own.zone)]
    at = zone_ranks.index(own.node_id)
    speakers = _speakers(own, ranks, silent)
    leads = _region_leads(speakers)
    is_lead = leads[own.region] == own.node_id
    roots = tuple(zone_ranks[:FETCHERS_PER_ZONE])
    below = slice(TREE_DEGREE * at + 1, TREE_DEGREE * (at + 1) + 1)
    return Topology(
        roots=roots,
        parent=zone_ranks[(at - 1) // TREE_DEGREE] if at else None,
        children=tuple(zone_ranks[below]),
        neighbours=_neighbours(own.node_id, zone_ranks),
        bridges=_bridges(own, speakers, leads) if at < len(roots) else (),
        lead=leads[own.region],
        far_leads=tuple(
            lead for region, lead in leads.items() if region != own.region
        ),
        rank=at,
        is_fetcher=at < len(roots) and (near_platform or is_lead),
        is_lead=is_lead,
        is_worker=is_lead and (near_platform or platform_region == ELSEWHERE),
        zone_size=len(zone_ranks),
    )


def _ranks_by_zone(own, table):
    """Return each zone's present nodes in order, the suspects last.

    A suspect keeps its place in the tree's leaves: should it be alive, it
    is still sent everything, and nobody waits for it.
    """
    zones = {(own.region, own.zone): {own.node_id}}
    for member in table.members.values():
        if member.present:
            place = (member.region, member.zone)
            zones.setdefault(place, set()).add(member.node_id)
    return {
        place: _suspects_last(rank_nodes(place[1], node_ids), table.suspects)
        for place, node_ids in zones.items()
    }


def _suspects_last(ranked, suspects):
    if suspects.isdisjoint(ranked):
        return ranked
    return sorted(ranked, key=suspects.__contains__)


def _speakers(own, ranks, silent):
    """Return whom each zone is reached by, and whether it may be cut off."""
    speakers = {}
    for place, zone_ranks in ranks.items():
        first = zone_ranks[:SPEAKERS_TRIED]
        if place == (own.region, own.zone):
            first = zone_ranks[:1]
        heard = [node_id for node_id in first if node_id not in silent]
        speakers[place] = ZoneRepresentative((heard or first)[0], not heard)
    return speakers


def _region_leads(speakers):
    """Return who speaks for each region: its first zone that answers."""
    leads = {}
    ordered = sorted(speakers, key=lambda place: (speakers[place].cut, place))
    for place in ordered:
        leads.setdefault(place[0], speakers[place].node_id)
    return leads


def _bridges(own, speakers, leads):
    here = (own.region, own.zone)
    near = [
        speaker.node_id
        for place, speaker in sorted(speakers.items())
        if place[0] == own.region and place != here
    ]
    far = []
    if leads[own.region] == speakers[here].node_id:
        far = [lead for region, lead in leads.items() if region != own.region]
    return tuple(near + far)


def _neighbours(node_id, zone_ranks):
    """Return the next nodes on a ring in rendezvous order."""
    at = zone_ranks.index(node_id)
    ring = zone_ranks[at + 1 :] + zone_ranks[:at]
    step = max(1, len(ring) // NEIGHBOURS)
    return tuple(dict.fromkeys(ring[:1] + ring[step::step]))[:NEIGHBOURS]
