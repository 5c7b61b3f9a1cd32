"""Keep the stand-in platform's keys, leases and revisions in memory.

The semantics are those of the etcd v3 key-value interface, as far as the
project uses it: one revision for the whole store, compare-and-swap
transactions over several keys, leases, watches by prefix and compaction.
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
    """A key at one revision; ``value`` None marks a deletion."""

    key: str
    value: bytes | None
    create_revision: int
    mod_revision: int
    lease_id: int = 0


@dataclass(frozen=True)
class Compare:
    """Demand that a key was last written at a revision, 0 for absent."""

    key: str
    mod_revision: int


@dataclass(frozen=True)
class Operation:
    """Put a value, or delete the key when ``value`` is None."""

    key: str
    value: bytes | None
    lease_id: int = 0


@dataclass(frozen=True)
class Lease:
    """A lease and when it lapses, seconds of the caller's clock."""

    lease_id: int
    ttl_seconds: float
    expires_at: float


class Store:
    """A multi-version key-value store; the caller holds the lock."""

    def __init__(self, kept_revisions=KEPT_REVISIONS):
        self.revision = 1
        self.compacted_revision = 0
        self.kept_revisions = kept_revisions
        self.versions = {}
        self.events = deque()
        self.leases = {}
        self.next_lease_id = 1

    def get(self, key, revision=0):
        """Return a key's value at a revision, the newest by default."""
        self._check_revision(revision)
        versions = self.versions.get(key, ())
        if revision:
            at = bisect_right(versions, revision, key=_mod_revision)
            versions = versions[:at]
        if not versions or versions[-1].value is None:
            return None
        return versions[-1]

    def range(self, prefix, revision=0):
        """Return the live keys under a prefix, sorted."""
        self._check_revision(revision)
        keys = sorted(key for key in self.versions if key.startswith(prefix))
        found = (self.get(key, revision) for key in keys)
        return [item for item in found if item is not None]

    def transact(self, compares, operations):
        """Run operations when every compare holds; return if it did.

        :raises PoplarrackError: TOO_LARGE or NOT_FOUND for a bad one.
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

        :raises PoplarrackError: COMPACTED when some are gone.
        """
        self._check_revision(revision)
        return [
            event
            for event in self.events
            if event.mod_revision > revision and event.key.startswith(prefix)
        ]

    def grant(self, ttl_seconds, now):
        """Grant a lease."""
        lease = Lease(self.next_lease_id, ttl_seconds, now + ttl_seconds)
        self.next_lease_id += 1
        self.leases[lease.lease_id] = lease
        return lease

    def keep_alive(self, lease_id, now):
        """Renew a lease; return None when it lapsed."""
        self.expire(now)
        lease = self.leases.get(lease_id)
        if lease is None:
            return None
        renewed = Lease(lease_id, lease.ttl_seconds, now + lease.ttl_seconds)
        self.leases[lease_id] = renewed
        return renewed

    def expire(self, now):
        """Delete the keys of the leases that lapsed."""
        lapsed = [
            lease.lease_id
            for lease in self.leases.values()
            if lease.expires_at <= now
        ]
        for lease_id in lapsed:
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
                f'{operation.key}: {len(operation.value)} bytes',
            )
        if operation.lease_id and operation.lease_id not in self.leases:
            raise PoplarrackError(
                ErrorKind.NOT_FOUND, f'no lease {operation.lease_id}'
            )

    def _write(self, operation):
        old = self.get(operation.key)
        if operation.value is None and old is None:
            return
        created = old.create_revision if old else self.revision
        item = KeyValue(
            operation.key,
            operation.value,
            created,
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
