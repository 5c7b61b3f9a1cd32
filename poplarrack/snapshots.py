"""Snapshots of the configuration and the deltas between them."""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from types import MappingProxyType

from xxhash import xxh64_intdigest

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError

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

    ``digest`` is the XOR of the entries' 64-bit hashes, so that it can be
    updated from a delta without hashing the unchanged entries.
    """

    revision: int = 0
    entries: Mapping[str, Entry] = field(
        default_factory=lambda: MappingProxyType({})
    )
    digest: int = 0


@dataclass(frozen=True)
class Delta:
    """The difference between two snapshots.

    A delta whose ``base_revision`` is 0 contains the whole configuration.
    """

    base_revision: int
    base_digest: int
    revision: int
    digest: int
    changed: tuple[Entry, ...] = ()
    removed: tuple[str, ...] = ()


def entry_digest(entry):
    """Return the 64-bit hash of an entry."""
    head = f'{entry.path}\0{entry.revision}\0'.encode()
    return xxh64_intdigest(head + entry.value)


def build_snapshot(revision, entries):
    """Build a snapshot from an iterable of entries."""
    by_path = {entry.path: entry for entry in entries}
    digest = 0
    for entry in by_path.values():
        digest ^= entry_digest(entry)
    return Snapshot(revision, MappingProxyType(by_path), digest)


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
    return Snapshot(delta.revision, MappingProxyType(entries), digest)


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
