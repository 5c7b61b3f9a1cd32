"""Read what operators give, and show them what came of it."""

from datetime import datetime
from datetime import timedelta
from getpass import getuser
from json import dumps
from pathlib import Path
import sys

import json5
from urllib3 import PoolManager

from poplarrack.editors import Editor
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.platforms import PlatformClient
from poplarrack.settings import load_settings
from poplarrack.settings import OperatorSettings

DEFAULT_SETTINGS = 'poplarrack-ctl.json'
UNIT_SECONDS = {'s': 1, 'm': 60, 'h': 3600}


def read_json_argument(given):
    """Return the JSON bytes of a value: a file, ``-`` or the text itself.

    :raises PoplarrackError: INVALID_CONFIGURATION when it is not JSON.
    """
    text = given
    if text == '-':
        text = sys.stdin.read()
    elif not text.lstrip().startswith('{'):
        try:
            text = Path(text).read_text(encoding='utf-8')
        except OSError as error:
            raise PoplarrackError(
                ErrorKind.INVALID_CONFIGURATION, f'{given}: {error}'
            ) from error
    try:
        return dumps(json5.loads(text)).encode()
    except (ValueError, RecursionError) as error:
        raise PoplarrackError(
            ErrorKind.INVALID_CONFIGURATION, f'{given}: {error}'
        ) from error


def read_time(by, within, now):
    """Return seconds since the epoch from a clock time or a span.

    :param by: ``23:30`` for the next such time, or an ISO date and time.
    :param within: a number with unit, such as ``90s``, ``20m``, ``2h``.
    :raises PoplarrackError: USAGE.
    """
    try:
        if within:
            text = within
            return now + float(text[:-1]) * UNIT_SECONDS[text[-1]]
        return _read_clock_time(by, now)
    except (KeyError, ValueError, IndexError) as error:
        raise PoplarrackError(
            ErrorKind.USAGE,
            'say --by 23:30, --by 2026-12-04T23:30 or --within 20m',
        ) from error


def _read_clock_time(text, now):
    if 'T' in text:
        return datetime.fromisoformat(text).timestamp()
    hour, minute = text.split(':')
    today = datetime.fromtimestamp(now)
    found = today.replace(
        hour=int(hour), minute=int(minute), second=0, microsecond=0
    )
    if found.timestamp() <= now:
        found += timedelta(days=1)
    return found.timestamp()


class Session:
    """What the commands share: settings, platform and output."""

    def __init__(self, settings_path, as_json, out=sys.stdout):
        self.settings = load_settings(settings_path, OperatorSettings)
        self.as_json = as_json
        self.out = out
        self.client = PlatformClient(self.settings.platform.addresses)
        self.editor = Editor(self.client, self.settings.team)
        self.pool = PoolManager(timeout=5.0, retries=False)

    @property
    def operator(self):
        """Return who the operator is, for the record."""
        return self.settings.operator or getuser()

    def print_result(self, value, text):
        """Print a result as JSON or as text."""
        shown = dumps(value, default=str) if self.as_json else text
        print(shown, file=self.out)

    def progress(self, text):
        """Show progress on a terminal, on one line."""
        if self.out.isatty() and not self.as_json:
            print(f'\r\033[K{text}', end='', file=self.out, flush=True)

    def end_progress(self):
        """Leave the line of progress."""
        if self.out.isatty() and not self.as_json:
            print(file=self.out)
