"""Keep the facts that controllers read, in sections with one writer each."""

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
    """The results of calls to another node; times in seconds since the epoch.

    ``failing_since`` is 0 while it answers; ``probed`` is set when the
    probe helpers did not reach it either.
    """

    answered_at: float = 0.0
    failing_since: float = 0.0
    probed: bool = False


@dataclass(frozen=True)
class ChildReport:
    """A received report and its time of arrival."""

    report: Report
    arrived_at: float


@dataclass(frozen=True)
class PlatformState:
    """The platform's reachability; times in seconds since the epoch.

    ``watching`` is set while the node has a fetcher; ``heard_at`` is the
    time of the last successful call or watch event; ``calls`` counts the
    calls made; ``history`` is the number of the store's newest history, None
    if it names none.
    """

    watching: bool = False
    heard_at: float = 0.0
    failing_since: float = 0.0
    calls: int = 0
    detail: str = ''
    history: int | None = None


@dataclass(frozen=True)
class Lifecycle:
    """The phase of the node between start and exit."""

    started_at: float = 0.0
    joined: bool = False
    draining: bool = False


@dataclass(frozen=True)
class Sent:
    """What the node last sent and when, so that controllers can pace it.

    ``moves`` maps a service to the time at which this node last wrote its
    move. ``departure_history`` is the history of the store that the last leave
    was written in.
    """

    report: Report | None = None
    report_at: float = 0.0
    report_receivers: tuple[str, ...] = ()
    summary_signature: int = -1
    summary_at: float = 0.0
    beat_at: float = 0.0
    compared_at: float = 0.0
    compare_turn: int = 0
    rejoined_at: float = 0.0
    zones_searched_at: float = 0.0
    moves: Mapping[str, float] = field(default_factory=dict)
    departure_history: int = 0


@dataclass(frozen=True)
class Facts:
    """Everything that controllers read.

    ``suspected`` maps a suspect's node id to the time since which this node
    knows of the suspicion. ``source_heard_at`` is the time of the last beat
    of the topology's source, in seconds since the epoch.
    """

    settings: NodeSettings
    own: Member
    announced_at: float = 0.0
    knowledge: Knowledge = field(default_factory=Knowledge)
    topology: Topology = field(default_factory=Topology)
    contacts: Mapping[str, Contact] = field(default_factory=dict)
    source_heard_at: float = 0.0
    suspected: Mapping[str, float] = field(default_factory=dict)
    reports: Mapping[str, ChildReport] = field(default_factory=dict)
    cells: tuple[Cell, ...] = ()
    in_flight_calls: tuple[InFlightCalls, ...] = ()
    platform: PlatformState = field(default_factory=PlatformState)
    lifecycle: Lifecycle = field(default_factory=Lifecycle)
    sent: Sent = field(default_factory=Sent)


def may_have_missed_a_version(facts, bound_seconds, now):
    """Return whether a node heard nothing of the store for too long.

    A node that reads the store answers for itself, another one is told by
    the beats of its source.

    :param facts: the Facts of the node.
    :param bound_seconds: within which a change has to be in force.
    :param now: seconds on the clock of the facts.
    """
    heard_at = facts.source_heard_at
    if facts.platform.watching:
        heard_at = max(heard_at, facts.platform.heard_at)
    return now - heard_at > bound_seconds


WRITERS = {
    'own': 'membership',
    'announced_at': 'membership',
    'suspected': 'membership',
    'knowledge': 'merging',
    'topology': 'merging',
    'contacts': 'peers',
    'source_heard_at': 'peers',
    'reports': 'reports',
    'cells': 'calls',
    'in_flight_calls': 'calls',
    'platform': 'platform',
    'lifecycle': 'node',
    'sent': 'node',
}


class Blackboard:
    """The current facts; replaced as a whole, so that reads are consistent."""

    def __init__(self, facts):
        self.facts = facts

    def write(self, writer, **sections):
        """Replace sections of the facts.

        :param writer: the writer's name, as in ``WRITERS``.
        :param sections: new values by name of section.
        :raises PoplarrackError: INTERNAL for a section of another writer.
        """
        for section in sections:
            if WRITERS.get(section) != writer:
                raise PoplarrackError(
                    ErrorKind.INTERNAL,
                    f'{writer} may not write section {section!r}',
                )
        self.facts = replace(self.facts, **sections)
