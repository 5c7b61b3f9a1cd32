"""Interface of the bench: cases, figures, bounds and their output."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from importlib import import_module
from json import dumps
import sys
import time

from poplarrack.benches.journals import describe_scores
from poplarrack.benches.journals import plot_scores
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
    'poplarrack.benches.many_nodes',
    'poplarrack.benches.rooms',
)
EXIT_BOUND_MISSED = 3


@dataclass(frozen=True)
class Bound:
    """The bound that a target sets; either a maximum or a minimum."""

    maximum: float | None = None
    minimum: float | None = None

    def holds(self, figure):
        """Return whether a figure is within the bound."""
        if self.maximum is not None and not figure <= self.maximum:
            return False
        return self.minimum is None or figure >= self.minimum

    def as_builtins(self):
        """Return the bound as the mapping that the JSON output has."""
        if self.maximum is not None:
            return {'max': self.maximum}
        return {'min': self.minimum}


@dataclass(frozen=True)
class Result:
    """The figures of a run and the bounds on some of them."""

    figures: Mapping[str, float]
    bounds: Mapping[str, Bound] = field(default_factory=dict)

    @property
    def held(self):
        """Return whether every bound holds."""
        return all(
            bound.holds(self.figures[name])
            for name, bound in self.bounds.items()
        )


@dataclass(frozen=True)
class Case:
    """A registered case; ``run`` takes a seed and its options."""

    name: str
    summary: str
    run: object


def bench_case(name):
    """Register a function as a case.

    Its parameters are the options of the case, the first line of its
    docstring is the summary that ``list`` prints.

    :param name: the name of the case.
    """

    def register(run):
        summary = run.__doc__.splitlines()[0]
        CASES[name] = Case(name, summary, run)
        return run

    return register


def load_cases():
    """Import the modules that register cases."""
    for module in CASE_MODULES:
        import_module(module)


def percentile(values, fraction):
    """Return the value below which a fraction (0 to 1) of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def format_line(name, seed, result):
    """Return the result of a case as one line of JSON."""
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
        """List the cases with their summaries, one per line."""
        for case in CASES.values():
            print(f'{case.name:20} {case.summary}')

    def run(self, case, seed=1, **options):
        """Run a case; exit with 0 when all bounds hold, with 3 otherwise."""
        found = CASES.get(case)
        if found is None:
            raise PoplarrackError(
                ErrorKind.USAGE, f'no bench case {case!r}; see: list'
            )
        if not isinstance(seed, int):
            raise PoplarrackError(
                ErrorKind.USAGE, 'seed must be a whole number'
            )
        try:
            result = found.run(seed, **options)
        except TypeError as error:
            if 'unexpected keyword' not in str(error):
                raise
            raise PoplarrackError(ErrorKind.USAGE, str(error)) from error
        print(format_line(case, seed, result))
        if not result.held:
            sys.exit(EXIT_BOUND_MISSED)

    def table(self, seed=1):
        """Run all cases and print a table in Markdown."""
        print('| case | figure | value | bound | held |')
        print('| --- | --- | --- | --- | --- |')
        missed = 0
        for case in CASES.values():
            started_at = time.monotonic()
            result = case.run(seed)
            elapsed = time.monotonic() - started_at
            missed += not result.held
            for row in table_rows(case.name, result):
                print(row, flush=True)
            print(f'| {case.name} | run_seconds | {elapsed:.1f} | | |')
        if missed:
            sys.exit(EXIT_BOUND_MISSED)

    def report(self, journal='journal', out='docs/scores.svg'):
        """Plot the scores in a journal of the users' bench as SVG."""
        by_site = read_scores(journal)
        plot_scores(by_site, out)
        for line in describe_scores(by_site):
            print(line)


def table_rows(name, result):
    """Yield the Markdown table row of each figure of a result."""
    for key, value in result.figures.items():
        bound = result.bounds.get(key)
        shown, held = '', ''
        if bound is not None:
            (kind, limit), *_ = bound.as_builtins().items()
            shown = f'{kind} {limit:g}'
            held = 'yes' if bound.holds(value) else 'NO'
        yield f'| {name} | {key} | {value:.6g} | {shown} | {held} |'
