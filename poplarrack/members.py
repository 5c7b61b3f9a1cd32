"""Hold what a node knows of other nodes and their backend servers.

Each record has one owner, the node itself; others may only accuse it of
being dead, and the owner answers with a greater sequence number.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import IntEnum
from functools import cached_property
from types import MappingProxyType

from xxhash import xxh64_intdigest

BUCKETS = 32


class MemberState(IntEnum):
    """States in the order in which one overrides another."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class EndpointState(IntEnum):
    """Whether a backend server takes new work."""

    SERVING = 0
    DRAINING = 1


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A backend server as it announced itself to its node.

    ``announced_at`` is in seconds since the epoch, for slow start.
    ``instance_id`` and ``born`` name one start of it, where it tells them.
    """

    service: str
    version: str
    address: str
    slots: int
    max_connections: int
    state: EndpointState = EndpointState.SERVING
    announced_at: float = 0.0
    instance_id: str = ''
    born: int = 0


def same_start(one, other):
    """Say whether two records tell of one start of a backend server."""
    return _start_of(one) == _start_of(other)


def _start_of(endpoint):
    return (
        endpoint.address,
        endpoint.version,
        endpoint.instance_id,
        endpoint.born,
    )


@dataclass(frozen=True, slots=True)
class Member:
    """A node, its place and its backend server.

    ``incarnation`` is fixed when the process starts (milliseconds since
    the epoch); ``sequence`` counts the owner's changes.
    """

    node_id: str
    incarnation: int
    sequence: int
    region: str
    zone: str
    peer_address: str
    state: MemberState = MemberState.ALIVE
    endpoint: Endpoint | None = None
    operator_address: str = ''

    @property
    def rank(self):
        """Return the key by which one record overrides another."""
        return (self.incarnation, self.sequence, self.state)

    @property
    def present(self):
        """Say whether the node takes part in the distribution."""
        return self.state <= MemberState.SUSPECT


def member_digest(member):
    """Return the 64-bit hash of what overrides a record."""
    key = f'{member.node_id}\0{member.incarnation}\0{member.sequence}'
    return xxh64_intdigest(f'{key}\0{int(member.state)}'.encode())


def bucket_of(node_id):
    """Return the digest bucket of a node."""
    return xxh64_intdigest(node_id.encode()) % BUCKETS


@dataclass(frozen=True)
class MemberTable:
    """All known members and digests to compare tables by."""

    members: Mapping[str, Member] = field(
        default_factory=lambda: MappingProxyType({})
    )
    buckets: tuple[int, ...] = (0,) * BUCKETS
    suspects: frozenset[str] = frozenset()

    @cached_property
    def digest(self):
        """Return one digest over all buckets."""
        return xxh64_intdigest(repr(self.buckets).encode())

    def in_buckets(self, buckets):
        """Return the members of some buckets."""
        wanted = set(buckets)
        return tuple(
            member
            for member in self.members.values()
            if bucket_of(member.node_id) in wanted
        )

    def differing_buckets(self, buckets):
        """Return the numbers of the buckets that differ."""
        pairs = zip(self.buckets, buckets)
        return tuple(i for i, (own, other) in enumerate(pairs) if own != other)


@dataclass(frozen=True)
class Merge:
    """A table after a merge and the records that were news to it."""

    table: MemberTable
    news: tuple[Member, ...]


def merge_members(table, arrived):
    """Merge records into a table; the greater rank wins.

    :returns: a Merge.
    """
    news = tuple(
        member for member in arrived if _is_news(table.members, member)
    )
    if not news:
        return Merge(table, ())
    members = dict(table.members)
    buckets = list(table.buckets)
    suspects = set(table.suspects)
    for member in news:
        old = members.get(member.node_id)
        if old is not None and old.rank >= member.rank:
            continue
        at = bucket_of(member.node_id)
        buckets[at] ^= member_digest(old) if old else 0
        buckets[at] ^= member_digest(member)
        members[member.node_id] = member
        suspects.discard(member.node_id)
        if member.state is MemberState.SUSPECT:
            suspects.add(member.node_id)
    merged = MemberTable(
        MappingProxyType(members), tuple(buckets), frozenset(suspects)
    )
    return Merge(merged, news)


def _is_news(members, member):
    old = members.get(member.node_id)
    return old is None or member.rank > old.rank


def refute(own, table):
    """Return the own record raised above an accusation, or None.

    Also covers a record of an earlier process of the same name whose
    clock ran ahead.
    """
    held = table.members.get(own.node_id)
    if held is None or held.rank <= own.rank:
        return None
    if held.incarnation > own.incarnation:
        return replace(own, incarnation=held.incarnation + 1)
    return replace(own, sequence=held.sequence + 1)
