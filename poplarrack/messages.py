"""Define the messages between nodes and their codec.

MessagePack by field name; a body over a bound travels deflated, which the
first byte says.
"""

from dataclasses import dataclass
from zlib import compress
from zlib import decompressobj

from msgspec import MsgspecError
from msgspec.msgpack import Decoder
from msgspec.msgpack import Encoder

from poplarrack.configurations import Rejection
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.evidence import Cell
from poplarrack.evidence import Verdict
from poplarrack.members import Member
from poplarrack.snapshots import Delta

DEFLATE_OVER_BYTES = 512
MAX_MESSAGE_BYTES = 16_000_000
PLAIN = b'\0'
DEFLATED = b'\1'


@dataclass(frozen=True)
class Digests:
    """What a node holds, in a few bytes."""

    node_id: str
    revision: int
    configuration: int
    members: int
    verdicts: int


@dataclass(frozen=True)
class DigestsAnswer:
    """The other node's digests; buckets only where members differ."""

    digests: Digests
    buckets: tuple[int, ...] = ()


@dataclass(frozen=True)
class Updates:
    """News for another node."""

    sender: str
    delta: Delta | None = None
    members: tuple[Member, ...] = ()
    verdicts: tuple[Verdict, ...] = ()

    @property
    def empty(self):
        """Say whether nothing is in it."""
        return not (self.delta or self.members or self.verdicts)


@dataclass(frozen=True)
class SyncRequest:
    """Ask for what differs; carries own records of those buckets."""

    digests: Digests
    buckets: tuple[int, ...]
    members: tuple[Member, ...]
    verdicts: tuple[Verdict, ...]


@dataclass(frozen=True)
class UpdatesAnswer:
    """What the receiver holds after updates; ``stale`` asks anew."""

    digests: Digests
    stale: bool = False


@dataclass(frozen=True)
class ProbeRequest:
    """Ask a node to check whether another one answers."""

    target: str


@dataclass(frozen=True)
class ProbeAnswer:
    """Whether the target answered."""

    answered: bool


@dataclass(frozen=True)
class InFlightCalls:
    """Calls in flight to one version of a service."""

    service: str
    version: str
    in_flight: float


@dataclass(frozen=True)
class Lag:
    """A node that serves an older revision."""

    node_id: str
    revision: int


@dataclass(frozen=True)
class Report:
    """What a subtree of nodes serves and saw, for its parent."""

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
        """Return a message's bytes."""
        body = self.encoder.encode(message)
        if len(body) > DEFLATE_OVER_BYTES:
            return DEFLATED + compress(body, 6)
        return PLAIN + body

    def decode(self, raw):
        """Return the message in some bytes.

        :raises PoplarrackError: MALFORMED_REQUEST or TOO_LARGE.
        """
        body = raw[1:]
        try:
            if raw[:1] == DEFLATED:
                body = _inflate(body)
            return self.decoder.decode(body)
        except (MsgspecError, ValueError, OSError) as error:
            raise PoplarrackError(
                ErrorKind.MALFORMED_REQUEST, f'message: {error}'
            ) from error


def _inflate(body):
    inflater = decompressobj()
    plain = inflater.decompress(body, MAX_MESSAGE_BYTES)
    if inflater.unconsumed_tail:
        raise PoplarrackError(
            ErrorKind.TOO_LARGE, f'message over {MAX_MESSAGE_BYTES} bytes'
        )
    return plain


# The control methods between nodes: what each takes and answers.
METHODS = {
    'Compare': (Digests, DigestsAnswer),
    'Sync': (SyncRequest, Updates),
    'Push': (Updates, UpdatesAnswer),
    'Probe': (ProbeRequest, ProbeAnswer),
    'Gather': (Report, ReportAnswer),
}
CODECS = {
    name: (Codec(request), Codec(answer))
    for name, (request, answer) in METHODS.items()
}
