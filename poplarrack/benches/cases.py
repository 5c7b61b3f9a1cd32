"""Define the bench's interface: cases, figures, bounds, one JSON line."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from importlib import import_module
from json import dumps
import sys
import time

from poplarrack.benches.journals import describe_scores
from poplarrack.benches.journals import draw_scores
from poplarrack.benches.journals import read_scores
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError

CASES = {}
CASE_MODULES = (
    'poplarrack.benches.calls',
    'poplarrack.benches.policies',
    'poplarrack.benches.configurations',
    'poplarrack.benches.faults',
    'poplarrack.benches.writers',
    'poplarrack.benches.moves',
    'poplarrack.benches.cuts',
    'poplarrack.benches.capacities',
)
EXIT_MISSED = 3


@dataclass(frozen=True)
class Bound:
    """A bound from a stated target; one of the two is given."""

    most: float | None = None
    least: float | None = None

    def holds(self, figure):
        """Say whether a figure is within the bound."""
        if self.most is not None and not figure <= self.most:
            return False
        return self.least is None or figure >= self.least

    def as_builtins(self):
        """Return the bound as the interface's JSON object."""
        if self.most is not None:
            return {'max': self.most}
        return {'min': self.least}


@dataclass(frozen=True)
class Result:
    """The figures of a run and the bounds on some of them."""

    figures: Mapping[str, float]
    bounds: Mapping[str, Bound] = field(default_factory=dict)

    @property
    def held(self):
        """Say whether every bound holds."""
        return all(
            bound.holds(self.figures[name])
            for name, bound in self.bounds.items()
        )


@dataclass(frozen=True)
class Case:
    """A registered case; ``run`` takes a seed and options."""

    name: str
    summary: str
    run: object


def bench_case(name):
    """Register a case; the summary is its docstring's first line."""

    def register(run):
        summary = run.__doc__.splitlines()[0]
        CASES[name] = Case(name, summary, run)
        return run

    return register


def load_cases():
    """Import the modules that register cases."""
    for module in CASE_MODULES:
        import_module(module)


def percentile(values, part):
    """Return the value below which a part (0 to 1) of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def as_line(name, seed, result):
    """Return a result as one line of JSON."""
    figures = {key: round(value, 6) for key, value in result.figures.items()}
    bounds = {key: item.as_builtins() for key, item in result.bounds.items()}
    line = {
        'case': name,
        'seed': seed,
        'figures': figures,
        'bounds': bounds,
        'held': result.held,
    }
    return dumps(line)


class Bench:
    """Measure poplarrack: list the cases, run one, or all as a table."""

    def __init__(self):
        load_cases()

    def list(self):
        """Name the cases, a line each."""
        for case in CASES.values():
            print(f'{case.name:20} {case.summary}')

    def run(self, case, seed=1, **options):
        """Run a case; exits 0 when held, 3 when a bound is missed."""
        found = CASES.get(case)
        if found is None:
            raise PoplarrackError(ErrorKind.USAGE, f'no case {case!r}')
        if not isinstance(seed, int):
            raise PoplarrackError(ErrorKind.USAGE, 'seed is a whole number')
        try:
            result = found.run(seed, **options)
        except TypeError as error:
            if 'unexpected keyword' not in str(error):
                raise
            raise PoplarrackError(ErrorKind.USAGE, str(error)) from error
        print(as_line(case, seed, result))
        if not result.held:
            sys.exit(EXIT_MISSED)

    def table(self, seed=1):
        """Run all cases and print a table in Markdown."""
        print('| case | figure | value | bound | held |')
        print('| --- | --- | --- | --- | --- |')
        missed = 0
        for case in CASES.values():
            began = time.monotonic()
            result = case.run(seed)
            spent = time.monotonic() - began
            missed += not result.held
            for row in table_rows(case.name, result):
                print(row, flush=True)
            print(f'| {case.name} | run_seconds | {spent:.1f} | | |')
        if missed:
            sys.exit(EXIT_MISSED)

    def report(self, journal='journal', out='docs/scores.svg'):
        """Draw the scores of a journal of the users' bench."""
        by_site = read_scores(journal)
        draw_scores(by_site, out)
        for line in describe_scores(by_site):
            print(line)


def table_rows(name, result):
    """Yield a row of the table for each figure."""
    for key, value in result.figures.items():
        bound = result.bounds.get(key)
        shown, held = '', ''
        if bound is not None:
            (word, number), *_ = bound.as_builtins().items()
            shown = f'{word} {number:g}'
            held = 'yes' if bound.holds(value) else 'NO'
        yield f'| {name} | {key} | {value:.6g} | {shown} | {held} |'
