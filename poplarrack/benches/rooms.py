"""An endpoint with a curve of slowing, and callers, on simulated time.

The ways to find the endpoint's room are compared: none of them is told the
curve.
"""

from collections import deque
from dataclasses import dataclass
from heapq import heappop
from heapq import heappush
from math import exp
from math import pi
from math import sin
from random import Random

from poplarrack.benches.cases import bench_case
from poplarrack.benches.cases import Bound
from poplarrack.benches.cases import Result
from poplarrack.learned_rooms import LearnedRoom

ROOMS = {}


def room(name):
    """Register a way to find an endpoint's room under a name."""

    def register(build):
        ROOMS[name] = build
        return build

    return register


room('learned')(LearnedRoom)


@room('slots')
class SlotsRoom(LearnedRoom):
    """The slots that the endpoint tells."""

    def __init__(self, slots, now):
        super().__init__(slots, now)
        self.room = float(slots)
        self.starting = False

    def _decide(self, now):
        self.decided_at = now


@room('additive')
class AdditiveRoom(SlotsRoom):
    """Additive increase, multiplicative decrease by run times."""

    def end(self, run, now, succeeded):
        """Grow by one in a room's worth of runs; shrink after a long one."""
        usual = exp(self.routes.get(run.route, 0.0))
        super().end(run, now, succeeded)
        seconds = max(1e-9, now - run.started_at)
        if seconds > 2.0 * usual:
            if now - self.set_at > 0.1:
                self.room = max(1.0, self.room * 0.85)
                self.set_at = now
        elif len(self.running) + 1 >= 0.8 * self.room:
            self.room = min(self.slots, self.room + 1 / self.room)


@room('gradient')
class GradientRoom(SlotsRoom):
    """The ratio of the usual run time to the present one."""

    recent = 0.0

    def end(self, run, now, succeeded):
        """Move to the room times the gradient, and its root more."""
        super().end(run, now, succeeded)
        seconds = max(1e-9, now - run.started_at)
        usual = exp(self.routes.get(run.route, 0.0))
        self.recent += 0.2 * (seconds / usual - self.recent)
        gradient = max(0.5, min(1.0, 1.2 / max(0.1, self.recent)))
        wanted = self.room * gradient + self.room**0.5
        self.room += 0.05 * (min(self.slots, wanted) - self.room)


@dataclass(frozen=True)
class Kind:
    """A route: its part of the requests, its work and its target."""

    name: str
    share: float
    work_seconds: float
    target_seconds: float


SHORT = Kind('short', 1.0, 0.14, 0.6)
LONG = Kind('long', 0.2, 1.4, 3.0)
# An endpoint beside another user of its machine.
NOISE_SECONDS = 0.6
NOISE = Random(5).choices((1.0, 2.5), (0.85, 0.15), k=1000)


@dataclass(frozen=True)
class RoomShape:
    """An endpoint and its load.

    ``slowing`` returns how many times as long work takes, given the number
    that run and the time. ``per_second`` returns the arrivals at a time.
    """

    slowing: object
    per_second: object
    slots: int = 12
    kinds: tuple = (SHORT,)
    seconds: float = 30.0
    work_spread: float = 0.3
    failing_share: float = 0.0


@dataclass
class RoomFigures:
    """What callers got; ``rooms`` has the room by time."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    times_in_time: list = None
    rooms: list = None

    def in_time_between(self, start, end):
        """Return how many were in time in a part of the run."""
        return sum(start <= at < end for at in self.times_in_time)


class SimulatedRun:
    """One run; work is done at one rate for all that run."""

    def __init__(self, shape, build, seed):
        self.shape = shape
        self.random = Random(seed)
        self.arrivals = Random(seed + 1)
        self.found = build(shape.slots, 0.0)
        self.figures = RoomFigures(times_in_time=[], rooms=[])
        self.now = 0.0
        self.done_work = 0.0
        self.running = []
        self.waiting = deque()
        self.last_run = shape.kinds[0].work_seconds

    def run(self):
        """Play the run; return the RoomFigures."""
        shape, arrives_at, number = self.shape, 0.0, 0
        while self.now < shape.seconds:
            slowing = shape.slowing(max(1, len(self.running)), self.now)
            ends_at = float('inf')
            if self.running:
                left = self.running[0][0] - self.done_work
                ends_at = self.now + max(0.0, left) * slowing
            at = min(ends_at, arrives_at, self.now + 0.02)
            self.done_work += (at - self.now) / slowing
            self.now = at
            if at == ends_at:
                self._end()
            elif at == arrives_at:
                number += 1
                self._arrive(number)
                rate = shape.per_second(self.now)
                arrives_at += self.arrivals.expovariate(rate)
            self._serve()
            self.figures.rooms.append((self.now, self.found.room))
        return self.figures

    def _arrive(self, number):
        kind = self.arrivals.choices(
            self.shape.kinds, [kind.share for kind in self.shape.kinds]
        )[0]
        ahead = len(self.waiting) + 1
        wait = ahead * self.last_run / max(1.0, self.found.room)
        if (
            len(self.running) >= int(self.found.room)
            and wait + self.last_run > kind.target_seconds
        ):
            self.figures.refused += 1
            return
        self.waiting.append((self.now, kind, number))

    def _serve(self):
        while self.waiting and len(self.running) < int(self.found.room):
            arrived_at, kind, number = self.waiting.popleft()
            too_late = arrived_at + kind.target_seconds - self.last_run / 2
            if self.now > max(arrived_at, too_late):
                self.figures.refused += 1
                continue
            spread = self.shape.work_spread
            work = kind.work_seconds * exp(
                self.random.gauss(-spread * spread / 2, spread)
            )
            failed = self.random.random() < self.shape.failing_share
            if failed:
                work = 0.002
            run = self.found.begin(kind.name, self.now)
            heappush(
                self.running,
                (
                    self.done_work + work,
                    number,
                    arrived_at,
                    kind,
                    run,
                    failed,
                ),
            )

    def _end(self):
        _, _, arrived_at, kind, run, failed = heappop(self.running)
        self.found.end(run, self.now, not failed)
        if failed:
            return
        self.last_run += 0.05 * (self.now - run.started_at - self.last_run)
        if self.now - arrived_at <= kind.target_seconds:
            self.figures.in_time += 1
            self.figures.times_in_time.append(self.now)
        else:
            self.figures.late += 1


def fixed_room(number):
    """Return a builder of a room that is known."""

    def build(slots, now):
        found = SlotsRoom(slots, now)
        found.room = number
        return found

    return build


def best_fixed(shape, seed):
    """Return the RoomFigures of the fixed room that serves most in time."""
    runs = [
        SimulatedRun(shape, fixed_room(number), seed).run()
        for number in range(1, shape.slots + 1)
    ]
    return max(runs, key=lambda figures: figures.in_time)


def run_times_that_rise(number, power):
    """Return a curve that is level up to a number and then rises."""
    return lambda running, now: max(1.0, (running / number) ** power)


def level(running, now):
    """Slow down at no number of running requests."""
    return 1.0


def uneven(running, now):
    """Be slow for 0.6 s now and then, as beside another user."""
    return NOISE[int(now / NOISE_SECONDS) % len(NOISE)]


def between(start, end, one, other):
    """Return a curve that is another one for a time."""
    return lambda running, now: (other if start <= now < end else one)(
        running, now
    )


def steady(per_second):
    """Return arrivals at a steady rate."""
    return lambda now: per_second


def wave(per_second):
    """Return arrivals in a wave of half their height."""
    return lambda now: per_second * (1 + 0.5 * sin(2 * pi * (now / 13 - 0.25)))


def rising(per_second):
    """Return arrivals that are few for three seconds."""
    return lambda now: per_second * (0.3 if now < 3.0 else 1.0)


SHAPES = {
    'calm': RoomShape(level, steady(50)),
    'full': RoomShape(level, steady(110)),
    'uneven': RoomShape(uneven, steady(50)),
    'uneven_full': RoomShape(uneven, steady(90)),
    'two_routes': RoomShape(level, steady(18), kinds=(SHORT, LONG)),
    'slower': RoomShape(
        between(10, 20, level, lambda running, now: 3.0), steady(60)
    ),
    'thrashing': RoomShape(run_times_that_rise(5, 2), rising(50)),
    'wave': RoomShape(run_times_that_rise(5, 2), wave(40)),
    'collapse': RoomShape(run_times_that_rise(4, 3), rising(40)),
    'failing': RoomShape(
        run_times_that_rise(5, 2), rising(60), failing_share=0.2
    ),
    'squeezed': RoomShape(
        between(10, 20, level, run_times_that_rise(4, 2.5)), steady(60)
    ),
}


@bench_case('rooms')
def compare_rooms(seed, runs=4):
    """In-time answers to those of the best fixed room, by how it is found."""
    figures = {}
    for shape_name, shape in SHAPES.items():
        seeds = range(seed, seed + runs)
        best = sum(best_fixed(shape, item).in_time for item in seeds)
        for name, build in ROOMS.items():
            in_time = sum(
                SimulatedRun(shape, build, item).run().in_time
                for item in seeds
            )
            figures[f'{shape_name}_{name}'] = in_time / best
    return Result(
        figures,
        {
            'calm_learned': Bound(minimum=0.99),
            'uneven_learned': Bound(minimum=0.99),
        },
    )
