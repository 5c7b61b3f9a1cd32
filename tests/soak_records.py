"""Record of a soak: requests, runs, changes and disturbances."""

from bisect import bisect_right
from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from functools import cached_property
from itertools import count
from math import inf

from poplarrack.resources import CallerLimits

# The name under which impairments of the store are recorded.
STORE = 'store'
# What the ids of calls contain that endpoints make.
CALL_MARK = '-call'


@dataclass(slots=True)
class Request:
    """A request of a caller; status 0 means that no whole answer came.

    ``kept`` says whether its connection had carried a request before,
    ``denies_run`` whether the answer promises that it did not run.
    ``pause_seconds`` is the longest pause that its caller made in it;
    ``behind`` is the request that was sent ahead of it, or None.
    """

    key: str
    host: str
    path: str
    safe: bool
    sent_at: float
    kept: bool = False
    body: bytes = b''
    ended_at: float = inf
    status: int = 0
    stamp: str = ''
    denies_run: bool = False
    abandoned: bool = False
    head_bytes: int = 0
    pause_seconds: float = 0.0
    behind: object = field(default=None, repr=False)


@dataclass(slots=True)
class Run:
    """A request that an endpoint began to run, and the answer it wrote.

    ``sound`` says whether the first answer was written whole; ``second`` is
    how a second answer was sent and its status.
    """

    key: str
    stamp: str
    host: str
    instance: str
    service: str
    began_at: float
    status: int = 0
    size: int = 0
    sound: bool = True
    second: str = ''

    @property
    def body(self):
        """Return the whole body of the first answer."""
        return build_body(f'{self.stamp} {self.key}', self.size)


def build_body(text, size):
    """Return a body of a number of bytes that repeats a text."""
    line = f'{text}\n'.encode()
    return (line * (size // len(line) + 1))[:size]


@dataclass(frozen=True)
class Change:
    """A version of the configuration: the service of each route's prefix.

    The operator sent it at ``sent_at``; ``acked_at`` is when the store had
    confirmed it.
    """

    number: int
    sent_at: float
    acked_at: float
    services: dict
    limits: CallerLimits = CallerLimits('callers')

    def service_of(self, path):
        """Return the service of a path, None if no route matches it."""
        return self.services.get(path[: path.index('/', 1) + 1])

    def allows(self, request):
        """Return whether a request has a route and keeps the limits."""
        return (
            self.service_of(request.path) is not None
            and request.head_bytes <= self.limits.max_header_bytes
            and len(request.body) <= self.limits.max_body_bytes
            and request.pause_seconds <= self.limits.header_timeout_seconds
        )


@dataclass
class Disturbance:
    """A span in which a node's process, or the store, was impaired."""

    began_at: float
    ended_at: float = inf


@dataclass(frozen=True)
class Handling:
    """What became of a request, as far as a route decides it.

    ``service`` is the service that ran it, or None if it got 404. The
    numbers of the first and the last version that allow it are 0 if no
    version does that had been sent by ``at``.
    """

    request: Request
    at: float
    service: str | None
    first: int
    last: int


@dataclass
class Record:
    """All that callers, endpoints and the operator did and saw.

    ``boots`` has the times at which each host's processes were started,
    ``served_from`` when calls through every node had succeeded, ``stopped_at``
    when all hosts were sent SIGTERM at the end.
    """

    clock: object
    requests: dict = field(default_factory=dict)
    runs: dict = field(default_factory=lambda: defaultdict(list))
    runs_by_stamp: dict = field(default_factory=dict)
    changes: list = field(default_factory=list)
    disturbances: dict = field(default_factory=lambda: defaultdict(list))
    boots: dict = field(default_factory=lambda: defaultdict(list))
    counts: Counter = field(default_factory=Counter)
    violations: list = field(default_factory=list)
    numbers: object = field(default_factory=lambda: count(1))
    served_from: float = 0.0
    stopped_at: float = inf

    def add_run(self, run):
        """Add a run that begins."""
        self.runs[run.key].append(run)
        self.runs_by_stamp[run.stamp] = run

    def runs_of(self, request):
        """Return the runs of a request.

        Earlier ones are those of an earlier call with the same id.
        """
        return [
            run
            for run in self.runs[request.key]
            if run.began_at >= request.sent_at
        ]

    def violate(self, rule, key, detail):
        """Record that a rule was broken.

        :param key: the request's id, or the name of a host.
        """
        self.counts[f'broken {rule}'] += 1
        self.violations.append(f'{rule}: {key} {detail}')

    def disturb(self, name):
        """Record that an impairment begins; return the Disturbance."""
        disturbance = Disturbance(self.clock())
        self.disturbances[name].append(disturbance)
        return disturbance

    def is_undisturbed(self, name, start, end):
        """Return whether no impairment overlaps a span of time."""
        return not any(
            item.began_at <= end and start <= item.ended_at
            for item in self.disturbances[name]
        )

    def is_in_touch(self, name, start, end, window):
        """Return whether a host was in touch from start to end.

        :param window: the seconds before without impairment that it takes.
        """
        return all(
            self.is_undisturbed(item, start - window, end)
            for item in (name, STORE)
        )

    def select_in_force(self, start, end, bound):
        """Return the versions that may be in force from start to end.

        :param bound: the seconds from the ack of a version to its effect.
        """
        first = 0
        for position, change in enumerate(self.changes):
            if change.acked_at + bound < start:
                first = position
        return [item for item in self.changes[first:] if item.sent_at <= end]

    def boot_of(self, host, at):
        """Return the number of the host's process at a time."""
        return bisect_right(self.boots[host], at)

    @cached_property
    def handlings(self):
        """Return the Handlings of all requests, ordered by time.

        It is read when the record is complete.
        """
        found = []
        for request in self.requests.values():
            for run in self.runs_of(request):
                found.append(
                    self._build_handling(request, run.began_at, run.service)
                )
            if request.status == 404 and not request.stamp:
                found.append(
                    self._build_handling(request, request.ended_at, None)
                )
        return sorted(found, key=lambda item: item.at)

    def _build_handling(self, request, at, service):
        allowing = [
            change.number
            for change in self.changes
            if change.sent_at <= at
            and change.service_of(request.path) == service
        ] or [0]
        return Handling(request, at, service, allowing[0], allowing[-1])
