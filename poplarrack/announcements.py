"""Decode what a backend server announces to its own node."""

from dataclasses import dataclass

from msgspec import convert
from msgspec import ValidationError

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.members import Endpoint
from poplarrack.members import EndpointState


@dataclass(frozen=True)
class Announcement:
    """A backend server's own words, repeated every second.

    Its health and load may lag or mislead, so they are shown but not
    decided by.
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
    """Return the Endpoint of an announcement.

    :raises PoplarrackError: MALFORMED_REQUEST with the reason.
    """
    try:
        said = convert(body, Announcement)
    except ValidationError as error:
        raise PoplarrackError(
            ErrorKind.MALFORMED_REQUEST, f'announcement: {error}'
        ) from error
    if said.slots < 1 or said.max_connections < 1 or not said.service:
        raise PoplarrackError(
            ErrorKind.MALFORMED_REQUEST,
            'announcement: service, slots and max_connections are wanted',
        )
    return Endpoint(
        said.service,
        said.version,
        said.address,
        said.slots,
        said.max_connections,
        EndpointState.DRAINING if said.draining else EndpointState.SERVING,
        now,
    )
