"""Define what each zone writes about itself for operators and joiners."""

from dataclasses import dataclass

from msgspec.json import decode
from msgspec.json import encode

from poplarrack.configurations import Rejection
from poplarrack.messages import Lag

MAX_SEEDS = 6


@dataclass(frozen=True)
class ZoneSummary:
    """A zone as its first node sees it; ``written_at`` in seconds.

    ``seeds`` are peer addresses for nodes that join. ``servers`` counts
    backend servers as ``service/version`` to number.
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
    """Return the summary in some JSON bytes."""
    return decode(raw, type=ZoneSummary)
