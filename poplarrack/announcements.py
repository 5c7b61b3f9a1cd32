"""Decode the announcements of a backend server to its node."""

from dataclasses import dataclass

from msgspec import convert
from msgspec import ValidationError

from poplarrack.addresses import split_destination
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.members import Endpoint
from poplarrack.members import EndpointState
from poplarrack.members import MAX_CONNECTIONS
from poplarrack.members import MAX_SLOTS


@dataclass(frozen=True)
class Announcement:
    """The state that a backend server announces every second.

    ``healthy`` and ``load`` may be late or misleading, so they are shown
    to operators but not used in decisions.
    """

    service: str
    version: str
    address: str
    slots: int = 10
    max_connections: int = 110
    draining: bool = False
    healthy: bool = True
    load: float = 0.0


def decode_announcement(body, now):
    """Return the Endpoint that a decoded JSON body announces.

    :param now: when it arrived, in seconds since the epoch.
    :raises PoplarrackError: MALFORMED_REQUEST with the reason.
    """
    try:
        announcement = convert(body, Announcement)
        split_destination(announcement.address)
    except (ValidationError, ValueError) as error:
        raise PoplarrackError(
            ErrorKind.MALFORMED_REQUEST, f'announcement: {error}'
        ) from error
    if (
        not 1 <= announcement.slots <= MAX_SLOTS
        or not 1 <= announcement.max_connections <= MAX_CONNECTIONS
        or not announcement.service
    ):
        raise PoplarrackError(
            ErrorKind.MALFORMED_REQUEST,
            'announcement: service must not be empty, slots must be from 1 '
            f'to {MAX_SLOTS} and max_connections from 1 to {MAX_CONNECTIONS},'
            f' got {announcement.slots} and {announcement.max_connections}',
        )
    return Endpoint(
        announcement.service,
        announcement.version,
        announcement.address,
        announcement.slots,
        announcement.max_connections,
        EndpointState.DRAINING
        if announcement.draining
        else EndpointState.SERVING,
        now,
    )
