"""Hold signals that arrive before the process can act on them.

By default they would end it, without a log line.
"""

import signal

HELD_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_arrived = []


def hold_signals():
    """Hold signals from now on; imports little, to be called first."""
    for number in HELD_SIGNALS:
        signal.signal(number, _hold)


def _hold(number, frame):
    _arrived.append(number)


def take_signals():
    """Return the numbers of the signals that arrived, and forget them."""
    arrived = _arrived.copy()
    _arrived.clear()
    return arrived
