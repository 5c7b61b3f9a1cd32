"""Configure logging as JSON lines with stable event names."""

from collections import Counter
import logging
import os
import sys
import time

from pythonjsonlogger.json import JsonFormatter

FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
# Lines per second that a process writes of one event and outcome.
LINES_PER_SECOND = 20
STDOUT = 1


def configure_logs(level, **static_fields):
    """Log JSON lines to standard error.

    :param level: name of the lowest level that is logged, such as ``INFO``.
    :param static_fields: fields that are added to every line.
    """
    _install(logging.StreamHandler(sys.stderr), level, static_fields)


def configure_nonblocking_logs(level, **static_fields):
    """Log JSON lines to standard output, rate-limited and non-blocking.

    :param level: name of the lowest level that is logged, such as ``INFO``.
    :param static_fields: fields that are added to every line.
    """
    os.set_blocking(STDOUT, False)
    handler = NonBlockingStdoutHandler()
    handler.addFilter(handler.rate_limiter)
    _install(handler, level, static_fields)


def _install(handler, level, static_fields):
    field_names = {
        'asctime': 'time',
        'levelname': 'level',
        'name': 'logger',
        'message': 'event',
    }
    handler.setFormatter(
        JsonFormatter(
            FORMAT, rename_fields=field_names, static_fields=static_fields
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


class LineRateLimiter(logging.Filter):
    """A filter that limits the lines per second of one event and outcome.

    Suppressed lines are counted; the next line that is written of the event
    and outcome has their number in its field ``left_out``.
    """

    def __init__(
        self, lines_per_second=LINES_PER_SECOND, clock=time.monotonic
    ):
        super().__init__()
        self.lines_per_second = lines_per_second
        self.clock = clock
        self.second = 0
        self.written = Counter()
        self.suppressed = Counter()

    def filter(self, record):
        """Return whether a line is written."""
        second = int(self.clock())
        if second != self.second:
            self.second = second
            self.written.clear()
        key = (record.msg, getattr(record, 'outcome', ''))
        if self.written[key] >= self.lines_per_second:
            self.suppressed[key] += 1
            return False
        self.written[key] += 1
        if self.suppressed[key]:
            record.left_out = self.suppressed.pop(key)
        return True


class NonBlockingStdoutHandler(logging.Handler):
    """A handler that drops lines when standard output would block."""

    def __init__(self):
        super().__init__()
        self.rate_limiter = LineRateLimiter()
        self.dropped = 0

    def emit(self, record):
        """Write one line, or count it as dropped."""
        try:
            os.write(STDOUT, self.format(record).encode() + b'\n')
        except BlockingIOError:
            self.dropped += 1
        except OSError:
            self.handleError(record)
