"""Keep the membership view: the known nodes and their backend servers.

Each record is owned by its node. Other nodes may only mark it as suspect or
dead, which the owner refutes with a greater sequence number.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import IntEnum
from functools import cached_property
from types import MappingProxyType

from xxhash import xxh64_intdigest

DIGEST_BUCKETS = 32

# Bounds of what a backend server may announce of itself.
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000


class MemberState(IntEnum):
    """The state of a node.

    Of two records with the same incarnation and sequence number, the one
    with the greater state wins.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class EndpointState(IntEnum):
    """Whether a backend server accepts new calls."""

    SERVING = 0
    DRAINING = 1


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A backend server as it announced itself to its node.

    ``announced_at`` is when its slow start began, in seconds since the epoch.
    ``instance_id`` and ``born`` identify one start of the process, if the
    backend server reports them.
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
    """Return whether two endpoints describe the same start of a process."""
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
    """A node, its locality and its backend server.

    ``incarnation`` is set when the process starts (milliseconds since the
    epoch); ``sequence`` counts the changes that the owner made.
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
        """Return the merge key: the record with the greater one wins."""
        return (self.incarnation, self.sequence, self.state)

    @property
    def present(self):
        """Return whether the node takes part in the distribution."""
        return self.state <= MemberState.SUSPECT


def member_digest(member):
    """Return a 64-bit hash of a record's node id and rank."""
    key = f'{member.node_id}\0{member.incarnation}\0{member.sequence}'
    return xxh64_intdigest(f'{key}\0{int(member.state)}'.encode())


def _presence_digest(member):
    if not member.present:
        return 0
    key = f'{member.node_id}\0{member.region}\0{member.zone}'
    return xxh64_intdigest(f'{key}\0{int(member.state)}'.encode())


def bucket_of(node_id):
    """Return the digest bucket of a node."""
    return xxh64_intdigest(node_id.encode()) % DIGEST_BUCKETS


@dataclass(frozen=True)
class MemberTable:
    """All known members, with digests to compare two tables by.

    ``presence`` is a digest of which nodes are present, where, and which of
    them are suspects: of all that a topology is derived from.
    """

    members: Mapping[str, Member] = field(
        default_factory=lambda: MappingProxyType({})
    )
    buckets: tuple[int, ...] = (0,) * DIGEST_BUCKETS
    suspects: frozenset[str] = frozenset()
    presence: int = 0

    @cached_property
    def digest(self):
        """Return one digest over all buckets."""
        return xxh64_intdigest(repr(self.buckets).encode())

    def in_buckets(self, buckets):
        """Return the members in the given digest buckets."""
        wanted = set(buckets)
        return tuple(
            member
            for member in self.members.values()
            if bucket_of(member.node_id) in wanted
        )

    def differing_buckets(self, buckets):
        """Return the indexes of the buckets whose digests differ."""
        pairs = zip(self.buckets, buckets)
        return tuple(i for i, (own, other) in enumerate(pairs) if own != other)


@dataclass(frozen=True)
class MemberMerge:
    """A table after a merge, and the records that changed it."""

    table: MemberTable
    changes: tuple[Member, ...]


def merge_members(table, received):
    """Merge records into a table; the one with the greater rank wins.

    :param received: Member records.
    :returns: a MemberMerge.
    """
    changes = tuple(
        member for member in received if _overrides(table.members, member)
    )
    if not changes:
        return MemberMerge(table, ())
    members = dict(table.members)
    buckets = list(table.buckets)
    suspects = set(table.suspects)
    presence = table.presence
    for member in changes:
        old = members.get(member.node_id)
        if old is not None and old.rank >= member.rank:
            continue
        bucket = bucket_of(member.node_id)
        buckets[bucket] ^= member_digest(old) if old else 0
        buckets[bucket] ^= member_digest(member)
        presence ^= _presence_digest(old) if old else 0
        presence ^= _presence_digest(member)
        members[member.node_id] = member
        suspects.discard(member.node_id)
        if member.state is MemberState.SUSPECT:
            suspects.add(member.node_id)
    merged = MemberTable(
        MappingProxyType(members),
        tuple(buckets),
        frozenset(suspects),
        presence,
    )
    return MemberMerge(merged, changes)


def _overrides(members, member):
    old = members.get(member.node_id)
    return old is None or member.rank > old.rank


def refute(own, table):
    """Return the own record with a rank that refutes a suspicion of it.

    Also overrides the record of an earlier process with the same node id
    whose clock ran ahead.

    :param own: the node's own Member.
    :param table: the MemberTable, with the record that others hold of it.
    :returns: a Member, or None where there is nothing to refute.
    """
    held = table.members.get(own.node_id)
    if held is None or held.rank <= own.rank:
        return None
    if held.incarnation > own.incarnation:
        return replace(own, incarnation=held.incarnation + 1)
    return replace(own, sequence=held.sequence + 1)
