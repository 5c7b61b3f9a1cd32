"""Read operators' arguments and print the results of their commands."""

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
HTTP_TIMEOUT_SECONDS = 5.0
SECONDS_PER_UNIT = {'s': 1, 'm': 60, 'h': 3600}


def read_json_argument(argument):
    """Read a JSON value from a command-line argument.

    :param argument: JSON text that begins with a brace, the name of a file, or
        ``-`` for standard input; comments are allowed.
    :returns: the value as JSON without comments, in bytes.
    :raises PoplarrackError: INVALID_CONFIGURATION if the file can't be read
        or the text is not JSON.
    """
    text = argument
    if text == '-':
        text = sys.stdin.read()
    elif not text.lstrip().startswith('{'):
        try:
            text = Path(text).read_text(encoding='utf-8')
        except OSError as error:
            raise PoplarrackError(
                ErrorKind.INVALID_CONFIGURATION, f'{argument}: {error}'
            ) from error
    try:
        return dumps(json5.loads(text)).encode()
    except (ValueError, RecursionError) as error:
        raise PoplarrackError(
            ErrorKind.INVALID_CONFIGURATION, f'{argument}: {error}'
        ) from error


def read_time_argument(by, within, now):
    """Read a point in time from a clock time or a time span.

    :param by: ``23:30`` for the next such time, or an ISO date and time, in
        local time.
    :param within: a number with its unit, such as ``90s``, ``20m`` or
        ``2h``; takes precedence over ``by``.
    :param now: seconds since the epoch.
    :returns: seconds since the epoch.
    :raises PoplarrackError: USAGE if the argument has another format.
    """
    try:
        if within:
            text = within
            return now + float(text[:-1]) * SECONDS_PER_UNIT[text[-1]]
        return _read_clock_time(by, now)
    except (KeyError, ValueError, IndexError) as error:
        raise PoplarrackError(
            ErrorKind.USAGE,
            'expected --by 23:30, --by 2026-12-04T23:30 or --within 20m',
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
    """The state that commands share: settings, connections and output.

    :param settings_path: name of the operator's settings file.
    :param as_json: whether results are printed as JSON.
    :param out: the file that results are printed to.
    """

    def __init__(self, settings_path, as_json, out=sys.stdout):
        self.settings = load_settings(settings_path, OperatorSettings)
        self.as_json = as_json
        self.out = out
        self.client = PlatformClient(self.settings.platform.addresses)
        self.editor = Editor(self.client, self.settings.team)
        self.pool = PoolManager(timeout=HTTP_TIMEOUT_SECONDS, retries=False)

    @property
    def operator(self):
        """Return the operator's name as it is recorded with changes."""
        return self.settings.operator or getuser()

    def print_result(self, value, text):
        """Print a result.

        :param value: the result as JSON values.
        :param text: the same result as text.
        """
        output = dumps(value, default=str) if self.as_json else text
        print(output, file=self.out)

    def show_progress(self, text):
        """Show progress on one line, which is overwritten each time.

        Shown only on a terminal and not with JSON output.
        """
        if self.out.isatty() and not self.as_json:
            print(f'\r\033[K{text}', end='', file=self.out, flush=True)

    def end_progress(self):
        """End the line that shows progress."""
        if self.out.isatty() and not self.as_json:
            print(file=self.out)
