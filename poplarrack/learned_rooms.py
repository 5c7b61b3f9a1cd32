"""Learn how many requests an endpoint runs well at once.

The load answered: endpoints that slow down before their slots are full, so
that each request above some number costs more throughput than it adds.

Only what ran while the room was full is compared: otherwise more requests
are at an endpoint because it is slow, and not the other way round. While the
room is full, it is varied. The run times of a route are compared with those
of the same route at other rooms; where they grow faster than the number that
run, the endpoint completes fewer requests, and the room is reduced to where
that begins.
"""

from dataclasses import dataclass
from math import exp
from math import log
from statistics import median

# What was observed counts less by the factor e in this time.
MEMORY_SECONDS = 3.0
# Time between decisions.
STEP_SECONDS = 0.1
# An endpoint whose run times have risen gets this fraction of its room, and
# more by the factor when this many runs at a room have ended, until they take
# longer by more than LOSING_SLOPE allows.
INITIAL_FRACTION = 0.4
MIN_ROOM = 2
START_GROWTH = 1.5
START_RUNS = 4
# What the logarithm of one run time differs by from the mean of its route.
USUAL_SPREAD = 0.2
# Less difference in the numbers that run tells nothing.
MIN_DIFFERENCE = log(1.15)
# Bins of the numbers of requests that ran; larger numbers share bins.
MAX_BINS = 24
# Observations at a room and in all that show a bend.
MIN_LEVEL_WEIGHT = 2.0
MIN_OBSERVATIONS = 12.0
# The slope of run times by the number that run, both as logarithms, over
# which throughput falls, the least loss that counts, and the standard errors
# by which the slope is over zero. Run times near in time are alike, so that
# the errors are larger than they seem.
LOSING_SLOPE = 1.2
MIN_LOSS = 0.1
MIN_STANDARD_ERRORS = 4.0
# Bound of one observation in relation to the mean of its route, so that a
# rare long run is not taken for the endpoint's.
MAX_LOG_RATIO = log(6)
# Weight of a new run time in the mean of its route.
ROUTE_WEIGHT = 0.02
# The part by which the room grows, and how long it stays before that; twice
# as long after each growth that had to be undone.
GROWTH = 0.1
GROWTH_SECONDS = 0.4
MAX_GROWTH_SECONDS = 3.2
# A room that lasts this long is no longer compared with smaller ones before.
STAGES_SECONDS = 5.0
# The room starts again if run times rise by this factor for a time. Each
# start that leads back to the same room doubles the time to the next one.
RISE_FACTOR = 1.8
RISE_SECONDS = 1.2
# It also does if half of those that run have run for this many of their usual
# times, before any of them ends.
RISE_AGE = 4.0
RESTART_SECONDS = 1.0
MAX_DOUBLINGS = 5
# Weight of a new run time in the recent mean.
RECENT_WEIGHT = 0.2
# Fraction of the room that is in use when it is full.
FULL_USE = 0.85


@dataclass(slots=True, eq=False)
class Run:
    """A request that runs; ``area`` is the integral when it began."""

    route: str
    started_at: float
    area: float
    room: float


@dataclass(slots=True)
class Level:
    """The observations at one number of running requests, with decay.

    ``weight`` is their number, ``running`` and ``times`` the sums of the
    logarithms of how many ran and of the run times, ``squares`` that of the
    squares of the latter.
    """

    weight: float = 0.0
    running: float = 0.0
    times: float = 0.0
    squares: float = 0.0

    def add(self, running, value):
        """Add an observation."""
        self.weight += 1.0
        self.running += running
        self.times += value
        self.squares += value * value

    def loses_over(self, other):
        """Return whether throughput is lower than at another level."""
        more = self.running / self.weight - other.running / other.weight
        longer = self.times / self.weight - other.times / other.weight
        error = USUAL_SPREAD * (1 / self.weight + 1 / other.weight) ** 0.5
        return more > MIN_DIFFERENCE and longer > LOSING_SLOPE * more + error

    def scale(self, factor):
        """Multiply the weight of all observations."""
        self.weight *= factor
        self.running *= factor
        self.times *= factor
        self.squares *= factor


@dataclass(frozen=True)
class Bend:
    """Where throughput begins to fall: the requests that run, the slope.

    ``is_lowest`` tells that no smaller number was observed.
    """

    running: float
    slope: float
    is_lowest: bool


class LearnedRoom:
    """The room of one start of an endpoint.

    :param slots: the upper bound of the room.
    """

    def __init__(self, slots, now):
        self.slots = slots
        self.room = slots
        self.reason = 'start'
        self.running = set()
        # The integral of the number of running requests over time.
        self.area = 0.0
        self.changed_at = now
        self.set_at = now
        self.decided_at = now
        # The most that ran since the last decision.
        self.peak = 0
        self.levels = {}
        self.routes = {}
        # The recent run times in relation to the mean of their routes, as a
        # logarithm, and since when they have been long.
        self.recent = 0.0
        self.risen_at = None
        self.restarts_after = now
        self.doublings = 0
        self.growth_seconds = GROWTH_SECONDS
        # The observations at the present room and at those it grew from.
        self.starting = False
        self.stage = Level()
        self.stages = {}

    def _start(self):
        self.starting = True
        self.stages.clear()
        self.levels.clear()
        self.growth_seconds = GROWTH_SECONDS
        self.risen_at = None
        self._set(self.room * INITIAL_FRACTION, 'start')

    def resize(self, slots):
        """Set the upper bound of the room."""
        if self.room >= self.slots:
            self.room = slots
        self.slots = slots
        self.room = min(self.room, slots)

    def begin(self, route, now):
        """Record that a request starts; return the Run."""
        self._integrate(now)
        run = Run(route, now, self.area, self.room)
        self.running.add(run)
        self.peak = max(self.peak, len(self.running))
        return run

    def end(self, run, now, succeeded):
        """Record that a request ended.

        :param succeeded: whether the endpoint ran it to a good end; others
            say nothing of how long requests run.
        """
        self._integrate(now)
        self.running.discard(run)
        if succeeded and now > run.started_at:
            self._observe(run, now - run.started_at, now)
        self._decide_if_due(now)

    def _decide_if_due(self, now):
        if now - self.decided_at >= STEP_SECONDS:
            self._decide(now)

    def _integrate(self, now):
        self.area += len(self.running) * (now - self.changed_at)
        self.changed_at = now

    def _observe(self, run, seconds, now):
        logarithm = log(seconds)
        mean = self.routes.get(run.route, logarithm)
        ratio = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, logarithm - mean))
        self.routes[run.route] = mean + ROUTE_WEIGHT * ratio
        self.recent += RECENT_WEIGHT * (ratio - self.recent)
        if self.recent < log(RISE_FACTOR):
            self.risen_at = None
        elif self.risen_at is None:
            self.risen_at = now
        running = max(1.0, (self.area - run.area) / seconds)
        if run.started_at >= self.set_at:
            self.stage.add(log(running), ratio)
            if self.starting:
                self._grow_at_start()
        if running < FULL_USE * run.room - 0.5:
            return
        scale = min(1.0, MAX_BINS / max(1, self.slots))
        level = self.levels.setdefault(round(running * scale), Level())
        level.add(log(running), ratio)

    def _grow_at_start(self):
        if self.stage.weight < START_RUNS:
            return
        better = self._find_better()
        if better:
            self.starting = False
            self._set(better, 'loss')
            return
        self.starting = self.room < self.slots
        self._grow(START_GROWTH, 'start')

    def _find_better(self):
        """Return the least room grown from that was better, or 0."""
        rooms = [
            room
            for room, stage in self.stages.items()
            if room < self.room and self.stage.loses_over(stage)
        ]
        return min(rooms, default=0)

    def _grow(self, factor, reason):
        self.stages[self.room] = self.stage
        self._set(max(self.room + 1, self.room * factor), reason)

    def _set(self, room, reason):
        room = max(min(MIN_ROOM, self.slots), min(self.slots, int(room)))
        if room < self.room:
            for other in [item for item in self.stages if item >= room]:
                del self.stages[other]
            if self.reason == 'growth':
                self.growth_seconds = min(
                    MAX_GROWTH_SECONDS, 2 * self.growth_seconds
                )
        self.room = room
        self.reason = reason
        self.set_at = self.changed_at
        self.stage = Level()

    def _decide(self, now):
        factor = exp((self.decided_at - now) / MEMORY_SECONDS)
        self.decided_at = now
        for level in self.levels.values():
            level.scale(factor)
        is_full = self.peak >= self.room
        self.peak = len(self.running)
        if not is_full or self.starting:
            return
        if self._has_risen(now):
            self._restart(now)
            return
        self._move(now - self.set_at)

    def _move(self, waited):
        """Reduce the room to where throughput falls, or let it grow."""
        bend = find_bend(self.levels.values())
        found = round(bend.running) if bend else self.slots
        if found < self.room:
            self._set(found, 'bend')
        elif bend and bend.is_lowest and found == self.room:
            if waited >= GROWTH_SECONDS:
                self._set(self.room / (1 + GROWTH), 'bend')
        elif waited >= STAGES_SECONDS:
            self.stages.clear()
        elif self.stage.weight >= START_RUNS:
            self._grow_or_return(found, waited)

    def _grow_or_return(self, found, waited):
        better = self._find_better()
        if better:
            self._set(better, 'loss')
        elif found > self.room and waited >= self.growth_seconds:
            if self.reason == 'growth':
                self.growth_seconds = GROWTH_SECONDS
            self._grow(1 + GROWTH, 'growth')

    def _has_risen(self, now):
        if now < self.restarts_after:
            return False
        if self.risen_at is not None and now - self.risen_at >= RISE_SECONDS:
            return True
        ages = [
            (now - run.started_at) / exp(self.routes[run.route])
            for run in self.running
            if run.route in self.routes
        ]
        return bool(ages) and median(ages) >= RISE_AGE

    def _restart(self, now):
        self.restarts_after = now + RESTART_SECONDS * 2**self.doublings
        self.doublings = min(MAX_DOUBLINGS, self.doublings + 1)
        self._start()


def find_bend(levels):
    """Return the Bend beyond which throughput falls, or None.

    :param levels: Levels with observations.
    """
    points = sorted(
        (level.running / level.weight, level)
        for level in levels
        if level.weight >= MIN_LEVEL_WEIGHT
    )
    total = sum(level.weight for _, level in points)
    if total < MIN_OBSERVATIONS or len(points) < 2:
        return None
    fits = [_fit_from(points, at, total) for at, _ in points[:-1]]
    fits = [fit for fit in fits if fit is not None]
    if not fits:
        return None
    _, at, slope, error = min(fits)
    loss = 1 - exp((1 - slope) * (points[-1][0] - at))
    is_sure = slope - MIN_STANDARD_ERRORS * error > 0
    if slope < LOSING_SLOPE or loss < MIN_LOSS or not is_sure:
        return None
    return Bend(exp(at), slope, at == points[0][0])


def _fit_from(points, at, total):
    """Fit a line that is level up to ``at`` and then rises.

    :returns: the sum of the squared errors, ``at``, the slope and its
        standard error, or None.
    """
    xs = [(max(0.0, x - at), level) for x, level in points]
    mean_x = sum(x * level.weight for x, level in xs) / total
    mean_y = sum(level.times for _, level in xs) / total
    spread = sum((x - mean_x) ** 2 * level.weight for x, level in xs)
    if spread <= 1e-6:
        return None
    slope = (
        sum(
            (x - mean_x) * (level.times - mean_y * level.weight)
            for x, level in xs
        )
        / spread
    )
    squares = sum(level.squares for _, level in xs) - mean_y**2 * total
    rest = max(1e-9, squares - slope**2 * spread)
    error = (rest / max(1.0, total - 3) / spread) ** 0.5
    return rest, at, slope, error
