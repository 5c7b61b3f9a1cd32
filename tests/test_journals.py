"""Tests of reading the scores in a journal of the users' bench."""

from json import dumps
from pathlib import Path
from tempfile import TemporaryDirectory

from poplarrack.benches.journals import describe_scores
from poplarrack.benches.journals import read_scores
from poplarrack.errors import ErrorKind
from tests.support import assert_raises
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)


def day_record(name, worth):
    return {
        'name': name,
        'G': worth,
        'prices': [
            ['machine-seconds', 400.0, 0.04],
            ['processor seconds', 20.0, 0.001],
        ],
        'kb_an_instance': 24000.0,
    }


def journal_entry(started_at, score, *days, cmd='score'):
    return {
        'cmd': cmd,
        'site': 'shop',
        'at': [started_at, ''],
        'head': '0123456789abcdef',
        'score': score,
        'days': days,
    }


def write_journal(directory, *entries):
    for number, value in enumerate(entries):
        path = Path(directory) / f'{number}.json'
        path.write_text(dumps(value))


def test_scores_come_in_the_order_of_time_with_standard_days_only():
    quiet, generated = day_record('quiet-1', 0.9), day_record('fresh-1', 0.1)
    trouble = day_record('trouble-1', 0.7)
    with TemporaryDirectory() as directory:
        write_journal(
            directory,
            journal_entry('2026-12-04T10', 0.8, quiet, trouble, generated),
            journal_entry('2026-12-04T09', 0.5, trouble),
            journal_entry('2026-12-04T11', None, quiet),
            journal_entry('2026-12-04T12', 0.9, quiet, cmd='run'),
        )
        by_site = read_scores(directory)
    first, last = by_site['shop']
    assert (first.score, last.score) == (0.5, 0.8)
    assert abs(last.mean_worth - 0.8) < 1e-9
    assert last.days[0].core_share == 0.05
    *_, line = describe_scores(by_site)
    assert line == '| shop | 0123456 | 0.800 | 0.800 | 0.050 | 24 |'


def test_a_journal_without_scores_is_told():
    with TemporaryDirectory() as directory:
        write_journal(
            directory, journal_entry('2026-12-04T11', 0.9, cmd='hunt')
        )
        error = assert_raises(ErrorKind.USAGE, read_scores, directory)
    assert 'no scores' in error.detail
