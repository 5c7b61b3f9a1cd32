"""Define the messages between nodes and their codec.

Messages are MessagePack maps by field name. The first byte of an encoded
message tells whether the rest is deflated, as it is above a size threshold.
"""

from dataclasses import dataclass
from zlib import compress
from zlib import decompressobj
from zlib import error as ZlibError

from msgspec import MsgspecError
from msgspec.msgpack import Decoder
from msgspec.msgpack import Encoder

from poplarrack.configurations import Rejection
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.evidence import Cell
from poplarrack.evidence import Verdict
from poplarrack.limit_messages import CallCounts
from poplarrack.limit_messages import CallTotals
from poplarrack.members import Member
from poplarrack.snapshots import Delta

DEFLATE_THRESHOLD_BYTES = 512
MAX_MESSAGE_BYTES = 16_000_000
PLAIN = b'\0'
DEFLATED = b'\1'


@dataclass(frozen=True)
class Digests:
    """Digests of a node's knowledge, for comparison with another node's.

    ``generation`` is that of the configuration, ``first_history`` the first
    history of the store that the node knows of.
    """

    node_id: str
    revision: int
    configuration: int
    members: int
    verdicts: int
    generation: int = 0
    first_history: int | None = None


@dataclass(frozen=True)
class DigestsAnswer:
    """The answering node's digests; with buckets only if members differ."""

    digests: Digests
    buckets: tuple[int, ...] = ()


@dataclass(frozen=True)
class Updates:
    """Changes for another node."""

    sender: str
    delta: Delta | None = None
    members: tuple[Member, ...] = ()
    verdicts: tuple[Verdict, ...] = ()

    @property
    def empty(self):
        """Return whether there are no changes."""
        return not (self.delta or self.members or self.verdicts)


@dataclass(frozen=True)
class SyncRequest:
    """Request the records that the sender lacks.

    Carries its own members in ``buckets``, the digest buckets that differ,
    and its verdicts if those differ.
    """

    digests: Digests
    buckets: tuple[int, ...]
    members: tuple[Member, ...]
    verdicts: tuple[Verdict, ...]


@dataclass(frozen=True)
class UpdatesAnswer:
    """The receiver's digests; ``stale`` asks for another delta."""

    digests: Digests
    stale: bool = False


@dataclass(frozen=True)
class ProbeRequest:
    """Request a probe of another node, by its peer address."""

    target: str


@dataclass(frozen=True)
class ProbeAnswer:
    """Whether the target answered."""

    answered: bool


@dataclass(frozen=True)
class InFlightCalls:
    """The number of calls in flight to one version of a service."""

    service: str
    version: str
    in_flight: float


@dataclass(frozen=True)
class Lag:
    """A node whose configuration has an older revision."""

    node_id: str
    revision: int


@dataclass(frozen=True)
class Report:
    """The aggregated state and evidence of a subtree of nodes.

    ``nodes`` counts the nodes; ``lags`` lists those furthest behind.
    """

    node_id: str
    nodes: int
    lowest_revision: int
    lags: tuple[Lag, ...] = ()
    rejections: tuple[Rejection, ...] = ()
    cells: tuple[Cell, ...] = ()
    busy: tuple[InFlightCalls, ...] = ()


@dataclass(frozen=True)
class ReportAnswer:
    """Acknowledge a report."""

    digests: Digests


class Codec:
    """Encode and decode messages of one type."""

    def __init__(self, message_type):
        self.encoder = Encoder()
        self.decoder = Decoder(message_type)

    def encode(self, message):
        """Encode a message."""
        body = self.encoder.encode(message)
        if len(body) > DEFLATE_THRESHOLD_BYTES:
            return DEFLATED + compress(body, 6)
        return PLAIN + body

    def decode(self, raw):
        """Decode a message.

        :raises PoplarrackError: MALFORMED_REQUEST, or TOO_LARGE if it
            inflates to more than ``MAX_MESSAGE_BYTES``.
        """
        body = raw[1:]
        try:
            if raw[:1] == DEFLATED:
                body = _inflate(body)
            return self.decoder.decode(body)
        except (MsgspecError, ValueError, ZlibError) as error:
            raise PoplarrackError(
                ErrorKind.MALFORMED_REQUEST, f'cannot decode message: {error}'
            ) from error


def _inflate(body):
    inflater = decompressobj()
    plain = inflater.decompress(body, MAX_MESSAGE_BYTES)
    if inflater.unconsumed_tail:
        raise PoplarrackError(
            ErrorKind.TOO_LARGE, f'message exceeds {MAX_MESSAGE_BYTES} bytes'
        )
    return plain


# The request and answer types of the control methods between nodes.
METHODS = {
    'Compare': (Digests, DigestsAnswer),
    'Sync': (SyncRequest, Updates),
    'Push': (Updates, UpdatesAnswer),
    'Probe': (ProbeRequest, ProbeAnswer),
    'Gather': (Report, ReportAnswer),
    'Count': (CallCounts, CallTotals),
}
CODECS = {
    name: (Codec(request), Codec(answer))
    for name, (request, answer) in METHODS.items()
}
