"""Hold whole versions of the configuration and the deltas between them."""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from types import MappingProxyType

from xxhash import xxh64_intdigest

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError

KEPT_SNAPSHOTS = 64


@dataclass(frozen=True)
class Entry:
    """One setting: its path, JSON bytes and the revision that wrote it."""

    path: str
    value: bytes
    revision: int


@dataclass(frozen=True)
class Snapshot:
    """The whole configuration at a revision of the platform.

    ``digest`` is the XOR of the entries' 64-bit hashes, so that a delta
    updates it without reading the rest.
    """

    revision: int = 0
    entries: Mapping[str, Entry] = field(
        default_factory=lambda: MappingProxyType({})
    )
    digest: int = 0


@dataclass(frozen=True)
class Delta:
    """The difference between two snapshots; base 0 carries everything."""

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
    """Return the delta that takes ``base`` to ``target``."""
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
    """Return the snapshot that a delta makes of its base.

    :raises PoplarrackError: STALE_DELTA when the delta is for another
        base, is not newer, or does not give the digest that it states.
    """
    fits_base = (
        delta.base_revision == base.revision
        and delta.base_digest == base.digest
    )
    if delta.base_revision == 0:
        base = Snapshot()
    elif not fits_base:
        raise PoplarrackError(
            ErrorKind.STALE_DELTA,
            f'delta is for revision {delta.base_revision}, '
            f'held is {base.revision}',
        )
    entries = dict(base.entries)
    digest = base.digest
    for path in delta.removed:
        gone = entries.pop(path, None)
        digest ^= entry_digest(gone) if gone else 0
    for entry in delta.changed:
        old = entries.get(entry.path)
        digest ^= entry_digest(old) if old else 0
        digest ^= entry_digest(entry)
        entries[entry.path] = entry
    if digest != delta.digest:
        raise PoplarrackError(
            ErrorKind.STALE_DELTA,
            f'revision {delta.revision}: digest does not match',
        )
    return Snapshot(delta.revision, MappingProxyType(entries), digest)


class SnapshotHistory:
    """Keep the latest snapshots so that a delta fits most receivers."""

    def __init__(self, kept=KEPT_SNAPSHOTS):
        self.kept = kept
        self.snapshots = OrderedDict()

    def add(self, snapshot):
        """Add a snapshot and drop the oldest beyond the bound."""
        self.snapshots[snapshot.revision] = snapshot
        while len(self.snapshots) > self.kept:
            self.snapshots.popitem(last=False)

    def delta_from(self, revision, digest, target):
        """Return the smallest delta for a receiver, whole if unknown."""
        base = self.snapshots.get(revision)
        if base is None or base.digest != digest:
            base = Snapshot()
        return diff_snapshots(base, target)
