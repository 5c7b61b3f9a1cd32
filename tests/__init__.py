"""The tests of poplarrack, run with ``python -m unittest``."""

import logging

# Tests check the log events that they cause; keep these out of the output.
logging.getLogger('poplarrack').addHandler(logging.NullHandler())
