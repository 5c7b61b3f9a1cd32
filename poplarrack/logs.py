"""Write logs as JSON lines with stable event names."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'


def configure_logs(level, **static):
    """Send JSON lines to standard error.

    :param level: a level's name, such as ``INFO``.
    :param static: fields that every line carries.
    """
    handler = logging.StreamHandler(sys.stderr)
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
