"""Snapshots of the configuration and the deltas between them."""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from types import MappingProxyType

from xxhash import xxh64_intdigest

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.store_histories import history_of

MAX_SNAPSHOTS = 64


@dataclass(frozen=True)
class Entry:
    """One setting: its path, JSON bytes and the revision that wrote it."""

    path: str
    value: bytes
    revision: int


@dataclass(frozen=True)
class Snapshot:
    """The whole configuration at a revision of the platform's store.

    ``generation`` is the operator's own number of the version, 0 if it has
    none. ``digest`` is the XOR of the entries' 64-bit hashes, so that it can
    be updated from a delta without hashing the unchanged entries.
    """

    revision: int = 0
    entries: Mapping[str, Entry] = field(
        default_factory=lambda: MappingProxyType({})
    )
    digest: int = 0
    generation: int = 0


@dataclass(frozen=True)
class Delta:
    """The difference between two snapshots.

    A delta whose ``base_revision`` is 0 contains the whole configuration.
    ``generation`` is that of the target.
    """

    base_revision: int
    base_digest: int
    revision: int
    digest: int
    changed: tuple[Entry, ...] = ()
    removed: tuple[str, ...] = ()
    generation: int = 0


def is_newer(one, other):
    """Return whether one version of the configuration replaces another.

    A store that returned from an older copy may hold an earlier version than
    the one in force, until the operator has written that again. The
    operator's own numbers tell, where both versions have one.

    :param one: what has a revision and a generation, such as a Snapshot, a
        Delta or Digests.
    """
    if (
        history_of(one.revision) != history_of(other.revision)
        and one.generation != other.generation
        and one.generation
        and other.generation
    ):
        return one.generation > other.generation
    return one.revision > other.revision


def entry_digest(entry):
    """Return the 64-bit hash of an entry."""
    head = f'{entry.path}\0{entry.revision}\0'.encode()
    return xxh64_intdigest(head + entry.value)


def build_snapshot(revision, entries, generation=0):
    """Build a snapshot from an iterable of entries."""
    by_path = {entry.path: entry for entry in entries}
    digest = 0
    for entry in by_path.values():
        digest ^= entry_digest(entry)
    return Snapshot(revision, MappingProxyType(by_path), digest, generation)


def diff_snapshots(base, target):
    """Return the delta from ``base`` to ``target``."""
    changed = tuple(
        entry
        for path, entry in target.entries.items()
        if base.entries.get(path) != entry
    )
    removed = tuple(
        path for path in base.entries if path not in target.entries
    )
    return Delta(
        base.revision,
        base.digest,
        target.revision,
        target.digest,
        changed,
        removed,
        target.generation,
    )


def apply_delta(base, delta):
    """Return the snapshot that results from applying a delta to its base.

    :raises PoplarrackError: STALE_DELTA when the delta has another base,
        or when the result does not have the delta's digest.
    """
    has_this_base = (
        delta.base_revision == base.revision
        and delta.base_digest == base.digest
    )
    if delta.base_revision == 0:
        base = Snapshot()
    elif not has_this_base:
        raise PoplarrackError(
            ErrorKind.STALE_DELTA,
            f'the delta is based on revision {delta.base_revision}, '
            f'this node has {base.revision}',
        )
    entries = dict(base.entries)
    digest = base.digest
    for path in delta.removed:
        previous = entries.pop(path, None)
        digest ^= entry_digest(previous) if previous else 0
    for entry in delta.changed:
        previous = entries.get(entry.path)
        digest ^= entry_digest(previous) if previous else 0
        digest ^= entry_digest(entry)
        entries[entry.path] = entry
    if digest != delta.digest:
        raise PoplarrackError(
            ErrorKind.STALE_DELTA,
            f'revision {delta.revision}: expected digest {delta.digest:x}, '
            f'got {digest:x}',
        )
    return Snapshot(
        delta.revision, MappingProxyType(entries), digest, delta.generation
    )


class SnapshotHistory:
    """The latest snapshots, kept as bases of deltas for other nodes.

    Enough are kept that most receivers have one of them.
    """

    def __init__(self, max_snapshots=MAX_SNAPSHOTS):
        self.max_snapshots = max_snapshots
        self.snapshots = OrderedDict()

    def add(self, snapshot):
        """Add a snapshot and evict the oldest ones over the maximum."""
        self.snapshots[snapshot.revision] = snapshot
        while len(self.snapshots) > self.max_snapshots:
            self.snapshots.popitem(last=False)

    def delta_from(self, revision, digest, target):
        """Return the delta to ``target`` from what a receiver has.

        If the history lacks that snapshot, the delta contains the whole
        configuration.

        :param revision: the revision of the receiver's snapshot.
        :param digest: the digest of the receiver's snapshot.
        """
        base = self.snapshots.get(revision)
        if base is None or base.digest != digest:
            base = Snapshot()
        return diff_snapshots(base, target)
