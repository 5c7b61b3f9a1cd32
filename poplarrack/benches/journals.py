"""Read the journal's scores and draw them, for ``poplarrack-bench report``.

An entry is what the users' bench leaves of a run: a JSON file with the
site, the commit and, for each day, its worth (``G``) and what was priced.
"""

from dataclasses import dataclass
from json import loads
from pathlib import Path

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError

# A day drawn for one score only; it doesn't count for the score.
DRAWN = 'fresh-'
KB_A_MB = 1000


@dataclass(frozen=True)
class DayScore:
    """One day of a score: its worth, and what a node cost.

    ``core_share`` is the mean part of a core, ``peak_mb`` of memory.
    """

    name: str
    worth: float
    core_share: float
    peak_mb: float


@dataclass(frozen=True)
class SiteScore:
    """One score of a site; ``at`` is when it began, as the journal says."""

    site: str
    at: str
    commit: str
    score: float
    days: tuple[DayScore, ...]

    @property
    def mean_worth(self):
        """Return the mean worth of the standard days."""
        return sum(day.worth for day in self.days) / len(self.days)


def decode_score(entry):
    """Return the SiteScore of a journal entry, None for other entries."""
    if entry.get('cmd') != 'score' or entry.get('score') is None:
        return None
    days = tuple(
        _decode_day(day)
        for day in entry['days']
        if not day['name'].startswith(DRAWN)
    )
    if not days:
        return None
    began = entry['at'][0]
    return SiteScore(
        entry['site'], began, entry['head'][:7], entry['score'], days
    )


def _decode_day(day):
    amounts = {name: amount for name, amount, _ in day['prices']}
    machine_seconds = amounts.get('machine-seconds') or 1.0
    return DayScore(
        day['name'],
        day['G'],
        amounts.get('processor seconds', 0.0) / machine_seconds,
        (day.get('kb_an_instance') or 0.0) / KB_A_MB,
    )


def read_scores(folder):
    """Return the scores of a journal by site, in the order of time.

    :raises PoplarrackError: USAGE when there are none.
    """
    by_site = {}
    for path in Path(folder).glob('*.json'):
        score = decode_score(loads(path.read_text(encoding='utf-8')))
        if score is not None:
            by_site.setdefault(score.site, []).append(score)
    if not by_site:
        raise PoplarrackError(ErrorKind.USAGE, f'{folder}: no scores')
    for scores in by_site.values():
        scores.sort(key=lambda score: score.at)
    return dict(sorted(by_site.items()))


def describe_scores(by_site):
    """Yield lines of a Markdown table, first and last score of a site."""
    yield '| site | commit | score | mean worth | core a node | MB a node |'
    yield '| --- | --- | --- | --- | --- | --- |'
    for site, scores in by_site.items():
        for score in dict.fromkeys((scores[0], scores[-1])):
            cores = max(day.core_share for day in score.days)
            peak = max(day.peak_mb for day in score.days)
            yield (
                f'| {site} | {score.commit} | {score.score:.3f} | '
                f'{score.mean_worth:.3f} | {cores:.3f} | {peak:.0f} |'
            )


def draw_scores(by_site, path):
    """Draw worth by day, mean worth and cost of each site as SVG.

    Needs the extra ``plots``; no node carries it.

    :raises PoplarrackError: USAGE without it.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise PoplarrackError(
            ErrorKind.USAGE, 'install poplarrack[plots] to draw'
        ) from error
    figure = Figure(figsize=(5 * len(by_site), 8), layout='constrained')
    columns = figure.subplots(3, len(by_site), squeeze=False, sharex='col').T
    for (worth, cores, memory), (site, scores) in zip(
        columns, by_site.items()
    ):
        at = range(len(scores))
        for name in dict.fromkeys(d.name for s in scores for d in s.days):
            values = [
                next((d.worth for d in s.days if d.name == name), None)
                for s in scores
            ]
            worth.plot(at, values, '.-', lw=0.8, label=name)
        means = [score.mean_worth for score in scores]
        worth.plot(at, means, 'k-', lw=2, label='mean')
        worth.set_title(site)
        worth.set_ylabel('worth')
        worth.legend(fontsize='x-small')
        busiest = [max(d.core_share for d in s.days) for s in scores]
        cores.plot(at, busiest, 'o-')
        cores.set_ylabel('part of a core, a node')
        peaks = [max(d.peak_mb for d in s.days) for s in scores]
        memory.plot(at, peaks, 'o-')
        memory.set_ylabel('MB at the peak, a node')
        memory.set_xticks(at, [s.commit for s in scores], rotation=90)
    figure.savefig(path, metadata={'Date': None})
