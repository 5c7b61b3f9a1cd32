"""The summary that each zone writes, for operators and joining nodes."""

from dataclasses import dataclass

from msgspec.json import encode

from poplarrack.configurations import Rejection
from poplarrack.errors import ErrorKind
from poplarrack.json_values import decode_json
from poplarrack.messages import Lag

MAX_SEEDS = 6


@dataclass(frozen=True)
class ZoneSummary:
    """The state of an availability zone, as its first node sees it.

    ``written_at`` is in seconds since the epoch. ``nodes`` counts the
    zone's present members, ``reported_nodes`` those whose state is in the
    report from which the summary is built. ``seeds`` are the peer addresses
    that joining nodes contact first. ``servers`` maps ``service/version``
    to the number of its backend servers.
    """

    region: str
    zone: str
    written_at: float
    written_by: str
    nodes: int
    highest_revision: int
    lowest_revision: int
    reported_nodes: int
    seeds: tuple[str, ...] = ()
    lags: tuple[Lag, ...] = ()
    rejections: tuple[Rejection, ...] = ()
    fetchers: tuple[str, ...] = ()
    servers: dict[str, int] | None = None
    verdicts: tuple[str, ...] = ()
    operator_address: str = ''


def encode_summary(summary):
    """Return a summary as JSON bytes."""
    return encode(summary)


def decode_summary(raw):
    """Return the ZoneSummary that JSON bytes encode.

    :raises PoplarrackError: MALFORMED_REQUEST for other bytes.
    """
    return decode_json(
        raw, ErrorKind.MALFORMED_REQUEST, 'summary', ZoneSummary
    )
