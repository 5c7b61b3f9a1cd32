"""Keep the platform's leases, under which a node writes keys of its own."""

from dataclasses import dataclass
from dataclasses import replace

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError


@dataclass(frozen=True)
class Lease:
    """A lease that a node holds.

    ``renew_at`` is in seconds since the epoch, ``history`` the number of the
    store's history that has the lease, None if the store numbers none.
    """

    lease_id: int = 0
    renew_at: float = 0.0
    history: int | None = None


def renew_lease(held, platform, ttl_seconds, now):
    """Return a lease that lasts for at least two thirds of its TTL.

    This blocks.

    :param held: the Lease so far.
    :raises PoplarrackError: if the platform does not renew or grant it.
    """
    if held.history != platform.histories.newest:
        # Its id may be that of another node's lease by now.
        held = Lease()
    if now < held.renew_at:
        return held
    lease_id = held.lease_id
    if not lease_id or not platform.renew_lease(lease_id):
        lease_id = platform.grant_lease(ttl_seconds)
    history = platform.histories.newest
    return Lease(lease_id, now + ttl_seconds / 3, history)


def put_under_lease(held, platform, ttl_seconds, now, operation):
    """Put a value under a lease of the node; return the Lease.

    This blocks. A lease that the store has dropped is granted anew. If the
    answer tells that the store has returned from an older copy, the lease was
    not the node's own, and the value is put again.

    :param held: the Lease so far.
    :param operation: the Operation, without a lease.
    :raises PoplarrackError: if the platform takes the lease or value not.
    """
    lease = renew_lease(held, platform, ttl_seconds, now)
    try:
        _put(platform, operation, lease)
    except PoplarrackError as error:
        if error.kind is not ErrorKind.NOT_FOUND:
            raise
    else:
        if lease.history == platform.histories.newest:
            return lease
    lease = renew_lease(Lease(), platform, ttl_seconds, now)
    _put(platform, operation, lease)
    return lease


def _put(platform, operation, lease):
    platform.put_unconditionally(replace(operation, lease_id=lease.lease_id))
