"""Define the decisions that controllers return and the node executes."""

from dataclasses import dataclass

from poplarrack.evidence import Verdict
from poplarrack.members import Member
from poplarrack.messages import Report
from poplarrack.resources import Move
from poplarrack.summaries import ZoneSummary


@dataclass(frozen=True)
class Compare:
    """Compare digests with another node."""

    node_id: str


@dataclass(frozen=True)
class Beat:
    """Show the nodes that depend on this one that it runs and is reached."""

    node_ids: tuple[str, ...]


@dataclass(frozen=True)
class Rejoin:
    """Sync with nodes that may be partitioned from this one.

    With ``ask_platform``, the node falls back to addresses from the zone
    summaries.
    """

    addresses: tuple[str, ...]
    ask_platform: bool


@dataclass(frozen=True)
class CheckContent:
    """Compare the configuration held with the platform's.

    ``revision`` and ``digest`` are those of the configuration.
    """

    revision: int
    digest: int


@dataclass(frozen=True)
class ProbeThrough:
    """Ask helpers whether an unresponsive node answers them."""

    target: str
    helpers: tuple[str, ...]


@dataclass(frozen=True)
class Publish:
    """Merge member records and spread what they changed."""

    members: tuple[Member, ...]


@dataclass(frozen=True)
class SendReport:
    """Send a report to the nodes that aggregate it."""

    receivers: tuple[str, ...]
    report: Report


@dataclass(frozen=True)
class HaltMove:
    """Stop sending calls to a move's new version and spread the verdict.

    Logged as ``version_braked``.
    """

    verdict: Verdict


@dataclass(frozen=True)
class WriteMove:
    """Write a move's next record if it is unchanged since it was read.

    ``revision`` is the one at which it was read. With a ``service_path``,
    the service's record is written in the same transaction.
    ``calls_at_share`` is the number of calls to the new version that were
    counted at the share before this record; it is only logged.
    """

    path: str
    revision: int
    move: Move
    service_path: str = ''
    service_revision: int = 0
    service_value: bytes = b''
    calls_at_share: int = 0


@dataclass(frozen=True)
class WriteSummary:
    """Write the zone's summary to the platform.

    ``signature`` changes with the state that operators are shown at once.
    """

    summary: ZoneSummary
    signature: int


@dataclass(frozen=True)
class Watch:
    """Start or stop watching the platform."""

    wanted: bool


@dataclass(frozen=True)
class ForgetEndpoint:
    """Remove the local endpoint, whose announcement expired."""


@dataclass(frozen=True)
class StoreDeparture:
    """Write the last leave to a store that has returned from a copy."""

    history: int


CONTROLLERS = {}


def controller(name):
    """Register a controller: a generator of decisions from facts and time.

    :param name: the controller's key in the state dump.
    """

    def register(decide):
        CONTROLLERS[name] = decide
        return decide

    return register
