"""Test that the soak's faults leave each node running."""

import asyncio
from random import Random
import time
from types import SimpleNamespace
from unittest.mock import patch

from tests import soak_faults
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)


class FakeHost:
    """A host whose process is only counted."""

    def __init__(self):
        self.name = 'a-0'
        self.lock = asyncio.Lock()
        self.killed = False

    def has_started(self):
        return True

    def signal(self, number):
        pass

    def kill(self):
        self.killed = True

    def start(self):
        self.killed = False


class SlowCaller:
    """A caller whose answer takes longer than the suspension of its node."""

    def __init__(self, *arguments, **options):
        pass

    async def call(self, **options):
        await asyncio.sleep(0.4)


def build_soak():
    limits = SimpleNamespace(header_timeout_seconds=0.05)
    versions = [SimpleNamespace(limits=limits)]
    record = SimpleNamespace(
        select_in_force=lambda *times: versions,
        disturb=lambda name: SimpleNamespace(),
    )
    return SimpleNamespace(
        random=Random(1), clock=time.monotonic, record=record
    )


# RECOVER: a node that was killed while another fault held its lock, but would
# not start it any more, stayed down for the rest of the run (seed 8704).
def test_a_node_that_is_killed_behind_its_suspension_is_started_again():
    async def run():
        soak, host = build_soak(), FakeHost()
        suspending = asyncio.ensure_future(
            soak_faults.freeze_while_sending(soak, host)
        )
        await asyncio.sleep(0.2)
        await soak_faults.kill_node(soak, host)
        await suspending
        return host.killed

    with (
        patch.object(soak_faults, 'Caller', SlowCaller),
        patch.object(soak_faults, 'SENDING_SECONDS', 0.05),
        patch.object(soak_faults, 'MAX_DOWN_SECONDS', 0.05),
    ):
        assert not asyncio.run(run())
