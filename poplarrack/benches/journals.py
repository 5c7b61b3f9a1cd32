"""Read and plot the scores of a journal, for ``poplarrack-bench report``.

A journal entry is the JSON file that the users' bench writes for a run. It
has the site, the commit and, for each day, its worth (``G``) and the priced
amounts.
"""

from dataclasses import dataclass
from json import loads
from pathlib import Path

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError

# Prefix of days that are generated for one run and not part of its score.
GENERATED_DAY_PREFIX = 'fresh-'
KB_PER_MB = 1000


@dataclass(frozen=True)
class DayScore:
    """One day of a score: its worth, and the resources that a node used.

    ``core_share`` is the mean use of a CPU core from 0 to 1, ``peak_mb``
    the peak memory in megabytes.
    """

    name: str
    worth: float
    core_share: float
    peak_mb: float


@dataclass(frozen=True)
class SiteScore:
    """One score of a site; ``started_at`` is the time in the journal."""

    site: str
    started_at: str
    commit: str
    score: float
    days: tuple[DayScore, ...]

    @property
    def mean_worth(self):
        """Return the mean worth of the standard days."""
        return sum(day.worth for day in self.days) / len(self.days)


def decode_score(entry):
    """Return the SiteScore of a journal entry, None when it has no score."""
    if entry.get('cmd') != 'score' or entry.get('score') is None:
        return None
    days = tuple(
        _decode_day(day)
        for day in entry['days']
        if not day['name'].startswith(GENERATED_DAY_PREFIX)
    )
    if not days:
        return None
    started_at = entry['at'][0]
    return SiteScore(
        entry['site'], started_at, entry['head'][:7], entry['score'], days
    )


def _decode_day(day):
    amounts = {name: amount for name, amount, _ in day['prices']}
    machine_seconds = amounts.get('machine-seconds') or 1.0
    return DayScore(
        day['name'],
        day['G'],
        amounts.get('processor seconds', 0.0) / machine_seconds,
        (day.get('kb_an_instance') or 0.0) / KB_PER_MB,
    )


def read_scores(directory):
    """Return the scores of a journal by site, in order of time.

    :param directory: the directory of the entries.
    :raises PoplarrackError: USAGE when no entry has a score.
    """
    by_site = {}
    for path in Path(directory).glob('*.json'):
        score = decode_score(loads(path.read_text(encoding='utf-8')))
        if score is not None:
            by_site.setdefault(score.site, []).append(score)
    if not by_site:
        raise PoplarrackError(
            ErrorKind.USAGE, f'no scores in the entries of {directory}'
        )
    for scores in by_site.values():
        scores.sort(key=lambda score: score.started_at)
    return dict(sorted(by_site.items()))


def describe_scores(by_site):
    """Yield a Markdown table with the first and last score of each site."""
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


def plot_scores(by_site, path):
    """Plot the worth of days, mean worth and resources by site as SVG.

    Needs the extra ``plots``, which nodes do not need.

    :param by_site: the scores by site, as of ``read_scores``.
    :param path: the file to write.
    :raises PoplarrackError: USAGE when the extra is not installed.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise PoplarrackError(
            ErrorKind.USAGE,
            'plotting needs the extra: install poplarrack[plots]',
        ) from error
    figure = Figure(figsize=(5 * len(by_site), 8), layout='constrained')
    columns = figure.subplots(3, len(by_site), squeeze=False, sharex='col').T
    for (worth, cores, memory), (site, scores) in zip(
        columns, by_site.items()
    ):
        positions = range(len(scores))
        for name in dict.fromkeys(d.name for s in scores for d in s.days):
            values = [
                next((d.worth for d in s.days if d.name == name), None)
                for s in scores
            ]
            worth.plot(positions, values, '.-', lw=0.8, label=name)
        means = [score.mean_worth for score in scores]
        worth.plot(positions, means, 'k-', lw=2, label='mean')
        worth.set_title(site)
        worth.set_ylabel('worth')
        worth.legend(fontsize='x-small')
        busiest = [max(d.core_share for d in s.days) for s in scores]
        cores.plot(positions, busiest, 'o-')
        cores.set_ylabel('part of a core, a node')
        peaks = [max(d.peak_mb for d in s.days) for s in scores]
        memory.plot(positions, peaks, 'o-')
        memory.set_ylabel('MB at the peak, a node')
        memory.set_xticks(positions, [s.commit for s in scores], rotation=90)
    figure.savefig(path, metadata={'Date': None})
