"""An in-memory store for the platform's stand-in.

It has the semantics of etcd v3 as far as the project uses them: one
revision for the whole store, compare-and-swap transactions over several
keys, leases, watches by prefix and compaction.
"""

from bisect import bisect_right
from collections import deque
from dataclasses import dataclass

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError

MAX_VALUE_BYTES = 1_000_000
KEPT_REVISIONS = 2_000


@dataclass(frozen=True)
class KeyValue:
    """A key at one revision; ``value`` is None after a deletion."""

    key: str
    value: bytes | None
    create_revision: int
    mod_revision: int
    lease_id: int = 0


@dataclass(frozen=True)
class Compare:
    """The condition that a key was last written at a revision.

    ``mod_revision`` 0 means that the key is absent.
    """

    key: str
    mod_revision: int


@dataclass(frozen=True)
class Operation:
    """A put of a value, or a deletion of the key if ``value`` is None."""

    key: str
    value: bytes | None
    lease_id: int = 0


@dataclass(frozen=True)
class Lease:
    """A lease; ``expires_at`` is in seconds of the callers' clock."""

    lease_id: int
    ttl_seconds: float
    expires_at: float


class Store:
    """A multi-version key-value store.

    It is not thread-safe: its users hold a lock around each method.
    """

    def __init__(self, kept_revisions=KEPT_REVISIONS):
        self.revision = 1
        self.compacted_revision = 0
        self.kept_revisions = kept_revisions
        self.versions = {}
        self.events = deque()
        self.leases = {}
        self.next_lease_id = 1

    def get(self, key, revision=0):
        """Return the KeyValue of a key at a revision, or None if absent.

        Revision 0 stands for the newest.
        """
        self._check_revision(revision)
        versions = self.versions.get(key, ())
        if revision:
            count = bisect_right(versions, revision, key=_mod_revision)
            versions = versions[:count]
        if not versions or versions[-1].value is None:
            return None
        return versions[-1]

    def range(self, prefix, revision=0):
        """Return the KeyValues under a prefix, sorted by key."""
        self._check_revision(revision)
        keys = sorted(key for key in self.versions if key.startswith(prefix))
        found = (self.get(key, revision) for key in keys)
        return [item for item in found if item is not None]

    def transact(self, compares, operations):
        """Run all operations if every compare holds.

        :returns: whether the compares held.
        :raises PoplarrackError: TOO_LARGE for a value over
            MAX_VALUE_BYTES, NOT_FOUND for an unknown lease.
        """
        for operation in operations:
            self._check_operation(operation)
        if not all(self._holds(compare) for compare in compares):
            return False
        if operations:
            self.revision += 1
        for operation in operations:
            self._write(operation)
        self._compact()
        return True

    def events_after(self, revision, prefix):
        """Return the events under a prefix after a revision.

        :raises PoplarrackError: COMPACTED when the revision is older than
            the oldest one kept.
        """
        self._check_revision(revision)
        return [
            event
            for event in self.events
            if event.mod_revision > revision and event.key.startswith(prefix)
        ]

    def grant(self, ttl_seconds, now):
        """Grant a lease from ``now`` on and return it."""
        lease = Lease(self.next_lease_id, ttl_seconds, now + ttl_seconds)
        self.next_lease_id += 1
        self.leases[lease.lease_id] = lease
        return lease

    def keep_alive(self, lease_id, now):
        """Return a lease as renewed, or None when it has expired."""
        self.expire(now)
        lease = self.leases.get(lease_id)
        if lease is None:
            return None
        renewed = Lease(lease_id, lease.ttl_seconds, now + lease.ttl_seconds)
        self.leases[lease_id] = renewed
        return renewed

    def expire(self, now):
        """Delete the leases that have expired, and their keys."""
        expired = [
            lease.lease_id
            for lease in self.leases.values()
            if lease.expires_at <= now
        ]
        for lease_id in expired:
            del self.leases[lease_id]
            keys = [
                key
                for key, versions in self.versions.items()
                if versions[-1].lease_id == lease_id
                and versions[-1].value is not None
            ]
            self.transact((), [Operation(key, None) for key in keys])

    def _holds(self, compare):
        found = self.get(compare.key)
        return (found.mod_revision if found else 0) == compare.mod_revision

    def _check_revision(self, revision):
        if revision and revision < self.compacted_revision:
            raise PoplarrackError(
                ErrorKind.COMPACTED,
                f'revision {revision} is compacted, the oldest kept is '
                f'{self.compacted_revision}',
            )

    def _check_operation(self, operation):
        if operation.value and len(operation.value) > MAX_VALUE_BYTES:
            raise PoplarrackError(
                ErrorKind.TOO_LARGE,
                f'{operation.key}: {len(operation.value)} bytes, at most '
                f'{MAX_VALUE_BYTES} are allowed',
            )
        if operation.lease_id and operation.lease_id not in self.leases:
            raise PoplarrackError(
                ErrorKind.NOT_FOUND,
                f'lease {operation.lease_id} is unknown or has expired',
            )

    def _write(self, operation):
        previous = self.get(operation.key)
        if operation.value is None and previous is None:
            return
        create_revision = (
            previous.create_revision if previous else self.revision
        )
        item = KeyValue(
            operation.key,
            operation.value,
            create_revision,
            self.revision,
            operation.lease_id,
        )
        self.versions.setdefault(operation.key, []).append(item)
        self.events.append(item)

    def _compact(self):
        oldest = self.revision - self.kept_revisions
        if oldest <= self.compacted_revision:
            return
        self.compacted_revision = oldest
        while self.events and self.events[0].mod_revision <= oldest:
            self._drop_superseded(self.events.popleft(), oldest)

    def _drop_superseded(self, event, oldest):
        versions = self.versions.get(event.key, [])
        while len(versions) > 1 and versions[1].mod_revision <= oldest:
            versions.pop(0)
        if versions and versions[0].value is None and len(versions) == 1:
            del self.versions[event.key]


def _mod_revision(item):
    return item.mod_revision
