"""Test that a signal while a node starts doesn't end it without a word."""

import os
from pathlib import Path
import signal
import subprocess
import sys
from tempfile import TemporaryDirectory
import time

from tests.node_processes import choose_ip
from tests.store_stand_in import running_store
from tests.support import build_load_tests
from tests.test_platform_adapter import CONFIG
from tests.test_platform_adapter import SETTINGS

load_tests = build_load_tests(__name__)

SECONDS = 20.0
# Sends the process a signal when it imports a library, before it serves.
SENDER = '''
import os, sys

class Sender:
    def find_spec(self, name, path, target=None):
        if name == 'httptools':
            sys.meta_path.remove(self)
            os.kill(os.getpid(), {number})

sys.meta_path.insert(0, Sender())
'''


def start(directory, store_address, number):
    """Start a node that gets a signal while it loads its libraries.

    :returns: the process, and the path of its log.
    """
    path = Path(directory)
    (path / 'sitecustomize.py').write_text(SENDER.format(number=int(number)))
    text = SETTINGS.replace('10.1.0.35', choose_ip())
    settings = path / 'settings.toml'
    settings.write_text(text.replace('10.200.1.7:8142', store_address))
    log = path / 'log'
    environment = {
        **os.environ,
        'POPLARRACK_NODE_FILE': str(settings),
        'PYTHONPATH': os.pathsep.join((directory, os.getcwd())),
    }
    with log.open('wb') as output:
        process = subprocess.Popen(
            [sys.executable, '-m', 'poplarrack.platform'],
            stdout=output,
            stderr=output,
            env=environment,
        )
    return process, log


def wait_for(process, log, event):
    """Wait until a node has logged an event."""
    end = time.monotonic() + SECONDS
    while event not in log.read_text():
        assert process.poll() is None, (process.returncode, log.read_text())
        assert time.monotonic() < end, log.read_text()
        time.sleep(0.02)


def test_a_reload_while_a_node_starts_does_not_end_it():
    with TemporaryDirectory() as directory, running_store() as store:
        store[0].put('op/config', CONFIG)
        process, log = start(directory, store[1], signal.SIGHUP)
        try:
            wait_for(process, log, 'node_started')
            process.send_signal(signal.SIGTERM)
            assert process.wait(SECONDS) == 0
        finally:
            process.kill()
            process.wait()


def test_a_stop_while_a_node_starts_ends_it_in_order():
    with TemporaryDirectory() as directory, running_store() as store:
        process, log = start(directory, store[1], signal.SIGTERM)
        try:
            assert process.wait(SECONDS) == 0
        finally:
            process.kill()
            process.wait()
        assert 'node_stopped' in log.read_text()
