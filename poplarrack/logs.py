"""Write logs as JSON lines with stable event names."""

from collections import Counter
import logging
import os
import sys
import time

from pythonjsonlogger.json import JsonFormatter

FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
# Lines of one event and outcome that a process writes in a second.
LINES_PER_SECOND = 20
STDOUT = 1


def configure_logs(level, **static):
    """Send JSON lines to standard error.

    :param level: a level's name, such as ``INFO``.
    :param static: fields that every line carries.
    """
    _install(logging.StreamHandler(sys.stderr), level, static)


def configure_nonblocking_logs(level, **static):
    """Send JSON lines to standard output, bounded, and never wait for it."""
    os.set_blocking(STDOUT, False)
    handler = NonBlockingStdoutHandler()
    handler.addFilter(handler.limit)
    _install(handler, level, static)


def _install(handler, level, static):
    renamed = {
        'asctime': 'time',
        'levelname': 'level',
        'name': 'logger',
        'message': 'event',
    }
    handler.setFormatter(
        JsonFormatter(FORMAT, rename_fields=renamed, static_fields=static)
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


class LineRateLimiter(logging.Filter):
    """Pass so many lines of an event and outcome in a second.

    The others are counted: the first line of the next second tells how
    many were left out.
    """

    def __init__(
        self, lines_per_second=LINES_PER_SECOND, clock=time.monotonic
    ):
        super().__init__()
        self.lines_per_second = lines_per_second
        self.clock = clock
        self.second = 0
        self.written = Counter()
        self.left_out = Counter()

    def filter(self, record):
        """Say whether a line is written."""
        second = int(self.clock())
        if second != self.second:
            self.second = second
            self.written.clear()
        key = (record.msg, getattr(record, 'outcome', ''))
        if self.written[key] >= self.lines_per_second:
            self.left_out[key] += 1
            return False
        self.written[key] += 1
        if self.left_out[key]:
            record.left_out = self.left_out.pop(key)
        return True


class NonBlockingStdoutHandler(logging.Handler):
    """Write lines to standard output; drop what it does not take."""

    def __init__(self):
        super().__init__()
        self.limit = LineRateLimiter()
        self.dropped = 0

    def emit(self, record):
        """Write one line, or count it as dropped."""
        try:
            os.write(STDOUT, self.format(record).encode() + b'\n')
        except BlockingIOError:
            self.dropped += 1
        except OSError:
            self.handleError(record)
