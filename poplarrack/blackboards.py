"""Hold the facts that controllers decide by, each with one writer."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.evidence import Cell
from poplarrack.knowledge import Knowledge
from poplarrack.members import Member
from poplarrack.messages import InFlightCalls
from poplarrack.messages import Report
from poplarrack.settings import NodeSettings
from poplarrack.topologies import Topology


@dataclass(frozen=True)
class Contact:
    """What came of calling another node; times in seconds.

    ``failing_since`` is 0 while it answers; ``probed`` says that others
    were asked and did not reach it either.
    """

    answered_at: float = 0.0
    failing_since: float = 0.0
    probed: bool = False


@dataclass(frozen=True)
class ChildReport:
    """A report and when it came."""

    report: Report
    arrived_at: float


@dataclass(frozen=True)
class PlatformState:
    """How the platform answers this node.

    ``watching`` says that a watch is open, ``heard_at`` when it last
    showed life.
    """

    watching: bool = False
    heard_at: float = 0.0
    failing_since: float = 0.0
    calls: int = 0
    detail: str = ''


@dataclass(frozen=True)
class Lifecycle:
    """Where the node is between its start and its end."""

    started_at: float = 0.0
    joined: bool = False
    draining: bool = False


@dataclass(frozen=True)
class Sent:
    """What was last sent, so that controllers need not repeat it."""

    report: Report | None = None
    report_at: float = 0.0
    report_receivers: tuple[str, ...] = ()
    summary_signature: int = -1
    summary_at: float = 0.0
    compared_at: float = 0.0
    compare_turn: int = 0
    rejoined_at: float = 0.0
    zones_searched_at: float = 0.0
    moves: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class Facts:
    """All that a controller may know."""

    settings: NodeSettings
    own: Member
    announced_at: float = 0.0
    knowledge: Knowledge = field(default_factory=Knowledge)
    topology: Topology = field(default_factory=Topology)
    contacts: Mapping[str, Contact] = field(default_factory=dict)
    suspected: Mapping[str, float] = field(default_factory=dict)
    reports: Mapping[str, ChildReport] = field(default_factory=dict)
    cells: tuple[Cell, ...] = ()
    in_flight_calls: tuple[InFlightCalls, ...] = ()
    platform: PlatformState = field(default_factory=PlatformState)
    lifecycle: Lifecycle = field(default_factory=Lifecycle)
    sent: Sent = field(default_factory=Sent)


WRITERS = {
    'own': 'membership',
    'announced_at': 'membership',
    'suspected': 'membership',
    'knowledge': 'merging',
    'topology': 'merging',
    'contacts': 'peers',
    'reports': 'reports',
    'cells': 'calls',
    'in_flight_calls': 'calls',
    'platform': 'platform',
    'lifecycle': 'node',
    'sent': 'node',
}


class Blackboard:
    """The present facts; replaced whole, so that readers see one state."""

    def __init__(self, facts):
        self.facts = facts

    def write(self, writer, **sections):
        """Replace sections of the facts.

        :raises PoplarrackError: INTERNAL when a section is another's.
        """
        for section in sections:
            if WRITERS.get(section) != writer:
                raise PoplarrackError(
                    ErrorKind.INTERNAL,
                    f'{writer} may not write section {section!r}',
                )
        self.facts = replace(self.facts, **sections)
