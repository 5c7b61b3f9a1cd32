"""Tests of poplarrack, run by ``python -m unittest``."""

import logging

# Events that tests provoke are checked, not printed.
logging.getLogger('poplarrack').addHandler(logging.NullHandler())
