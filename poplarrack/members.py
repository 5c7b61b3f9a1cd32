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


# The sequence number of a deregistration, which no heartbeat follows.
LAST_SEQUENCE = 2**63 - 1


@dataclass(frozen=True, slots=True)
class Departure:
    """The leave of one start of a backend server.

    Its heartbeats up to ``sequence`` no longer count. ``born`` is None if it
    is not known; ``at`` is when the leave arrived, in seconds since the epoch,
    and later than any that the node knew of, whatever its clock says.
    """

    instance_id: str
    born: int | None
    sequence: int
    at: float

    @property
    def rank(self):
        """Return the merge key: the departure with the greater one wins."""
        return (self.at, self.born or 0, self.sequence, self.instance_id)


def latest_departure(one, other):
    """Return the departure that wins, or None if both are None."""
    known = [item for item in (one, other) if item is not None]
    return max(known, key=lambda item: item.rank, default=None)


@dataclass(frozen=True, slots=True)
class Member:
    """A node, its locality and its backend server.

    ``incarnation`` is set when the process starts (milliseconds since the
    epoch); ``sequence`` counts the changes that the owner made.
    ``departure`` is the last leave that the node acknowledged, also in an
    earlier process; unlike the other fields, it is merged by its own rank.
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
    departure: Departure | None = None

    @property
    def rank(self):
        """Return the merge key: the record with the greater one wins."""
        return (self.incarnation, self.sequence, self.state)

    @property
    def present(self):
        """Return whether the node takes part in the distribution."""
        return self.state <= MemberState.SUSPECT


def member_digest(member):
    """Return a 64-bit hash of a record's node id, rank and departure."""
    key = f'{member.node_id}\0{member.incarnation}\0{member.sequence}'
    key = f'{key}\0{int(member.state)}'
    if member.departure is not None:
        key = f'{key}\0{member.departure.rank}'
    return xxh64_intdigest(key.encode())


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

    A departure is kept in the record that wins, so that a process that
    starts after it can learn of it.

    :param received: Member records.
    :returns: a MemberMerge.
    """
    merged = {}
    for member in received:
        held = merged.get(member.node_id, table.members.get(member.node_id))
        winner = _merge_records(held, member)
        if winner is not held:
            merged[member.node_id] = winner
    changes = tuple(merged.values())
    if not changes:
        return MemberMerge(table, ())
    members = dict(table.members)
    buckets = list(table.buckets)
    suspects = set(table.suspects)
    presence = table.presence
    for member in changes:
        old = members.get(member.node_id)
        bucket = bucket_of(member.node_id)
        buckets[bucket] ^= member_digest(old) if old else 0
        buckets[bucket] ^= member_digest(member)
        presence ^= _presence_digest(old) if old else 0
        presence ^= _presence_digest(member)
        members[member.node_id] = member
        suspects.discard(member.node_id)
        if member.state is MemberState.SUSPECT:
            suspects.add(member.node_id)
    after = MemberTable(
        MappingProxyType(members),
        tuple(buckets),
        frozenset(suspects),
        presence,
    )
    return MemberMerge(after, changes)


def _merge_records(held, received):
    """Return the record that wins; the one that is held if it is as good."""
    if held is None:
        return received
    winner = received if received.rank > held.rank else held
    departure = latest_departure(held.departure, received.departure)
    if departure == winner.departure:
        return winner
    return replace(winner, departure=departure)


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
