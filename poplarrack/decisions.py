"""Define what controllers may decide; the node carries it out."""

from dataclasses import dataclass

from poplarrack.evidence import Verdict
from poplarrack.members import Member
from poplarrack.messages import Report
from poplarrack.resources import Move
from poplarrack.summaries import ZoneSummary


@dataclass(frozen=True)
class Compare:
    """Compare what is held with another node."""

    node_id: str


@dataclass(frozen=True)
class Rejoin:
    """Sync with nodes that may be cut off from this one.

    ``ask_platform`` looks for addresses in the zones' summaries too.
    """

    addresses: tuple[str, ...]
    ask_platform: bool


@dataclass(frozen=True)
class ProbeThrough:
    """Ask helpers whether a silent node answers them."""

    target: str
    helpers: tuple[str, ...]


@dataclass(frozen=True)
class Publish:
    """Merge member records and spread what is news."""

    members: tuple[Member, ...]


@dataclass(frozen=True)
class SendReport:
    """Send a report to the nodes that gather it."""

    receivers: tuple[str, ...]
    report: Report


@dataclass(frozen=True)
class HaltMove:
    """Take a version's share to nothing and spread the verdict."""

    verdict: Verdict


@dataclass(frozen=True)
class WriteMove:
    """Write a move's next record where it is still as it was read."""

    path: str
    revision: int
    move: Move
    service_path: str = ''
    service_revision: int = 0
    service_value: bytes = b''


@dataclass(frozen=True)
class WriteSummary:
    """Write the zone's summary to the platform.

    ``signature`` changes when operators would want to know.
    """

    summary: ZoneSummary
    signature: int


@dataclass(frozen=True)
class Watch:
    """Keep a watch on the platform, or end it."""

    wanted: bool


@dataclass(frozen=True)
class ForgetEndpoint:
    """Take the own backend server, which fell silent, out of use."""


CONTROLLERS = {}


def controller(name):
    """Register a function from facts and time to decisions."""

    def register(decide):
        CONTROLLERS[name] = decide
        return decide

    return register
