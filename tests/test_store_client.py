"""Test that a revision of the store stands for one content, on any thread.

A node compares configurations by their revisions first. Content that is read
under a revision that isn't its own stays in force until the next change.
"""

from concurrent.futures import ThreadPoolExecutor
from threading import Event
from unittest.mock import patch

from poplarrack.configurations import load_configuration
from poplarrack.fetchers import apply_events
from poplarrack.fetchers import read_configuration
from poplarrack.platform import configurations
from poplarrack.platform.store_client import PlatformStoreClient
from poplarrack.platforms import CONFIGURATION_PREFIX
from tests.store_stand_in import running_store
from tests.support import build_load_tests
from tests.support import fixture
from tests.test_platform_adapter import CONFIG
from tests.test_platform_adapter import ORDER
from tests.test_platform_adapter import ROUTE

load_tests = build_load_tests(__name__)

WAIT_SECONDS = 20.0


@fixture
def store():
    return running_store()


def client_of(address):
    return PlatformStoreClient([address], sleep=lambda seconds: None)


def config(**changes):
    """Return a configuration whose first route has other values."""
    routes = {**CONFIG['routes'], 'r-1': {**ROUTE, **changes}}
    return {**CONFIG, 'routes': routes}


class PausedTranslation:
    """Pauses the first translation of a configuration until it is let go."""

    def __init__(self):
        self.original = configurations._translate_configuration
        self.begun = Event()
        self.let_go = Event()

    def __call__(self, item):
        """Translate an item; the first call waits."""
        if not self.begun.is_set():
            self.begun.set()
            assert self.let_go.wait(WAIT_SECONDS)
        return self.original(item)


def play_beside(first, second):
    """Run ``second`` while ``first``, on another thread, translates."""
    paused = PausedTranslation()
    with (
        patch.object(configurations, '_translate_configuration', paused),
        ThreadPoolExecutor(1) as pool,
    ):
        result = pool.submit(first)
        assert paused.begun.wait(WAIT_SECONDS)
        try:
            other = second()
        finally:
            paused.let_go.set()
        return result.result(WAIT_SECONDS), other


# A second thread took the revision for translated while the first one still
# did it, and got the old content under the new revision.
def test_two_threads_read_the_same_content_at_a_revision(store):
    stand_in, address = store
    stand_in.put('op/config', CONFIG)
    client = client_of(address)
    before, _ = read_configuration(client)
    stand_in.put('op/config', config(timeout='7s'))
    one, other = play_beside(
        lambda: read_configuration(client)[0],
        lambda: read_configuration(client)[0],
    )
    assert one.revision == other.revision > before.revision
    assert one == other
    timeouts = {r.timeout_seconds for r in load_configuration(other).routes}
    assert 7.0 in timeouts


# The same of a watch, beside which another thread reads the change.
def test_a_watch_and_a_read_bring_the_same_content(store):
    stand_in, address = store
    stand_in.put('op/config', CONFIG)
    client = client_of(address)
    before, revision = read_configuration(client)
    watch = client.watch(CONFIGURATION_PREFIX, revision)
    stand_in.put('op/rollout/front', ORDER)
    before = apply_events(before, next(watch).events)
    stand_in.put('op/config', config(timeout='7s'))
    one, other = play_beside(
        lambda: read_configuration(client)[0],
        lambda: apply_events(before, next(watch).events),
    )
    assert one == other
    assert other.revision > before.revision
