"""Keep the platform's leases, under which a node writes keys of its own."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Lease:
    """A lease that a node holds.

    ``renew_at`` is in seconds since the epoch.
    """

    lease_id: int = 0
    renew_at: float = 0.0


def renew_lease(held, platform, ttl_seconds, now):
    """Return a lease that lasts for at least two thirds of its TTL.

    This blocks.

    :param held: the Lease so far.
    :raises PoplarrackError: if the platform does not renew or grant it.
    """
    if now < held.renew_at:
        return held
    lease_id = held.lease_id
    if not lease_id or not platform.renew_lease(lease_id):
        lease_id = platform.grant_lease(ttl_seconds)
    return Lease(lease_id, now + ttl_seconds / 3)
