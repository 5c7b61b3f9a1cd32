"""Read and watch the platform's configuration on a thread.

Only the few nodes of a zone that are its fetchers do this.
"""

from functools import partial
import logging
from random import Random
from threading import Event
from threading import Thread
import time

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.platforms import CONFIGURATION_PREFIX
from poplarrack.retries import Backoff
from poplarrack.snapshots import build_snapshot
from poplarrack.snapshots import Entry
from poplarrack.snapshots import Snapshot

logger = logging.getLogger(__name__)

# The bound on the backoff is low because few nodes fetch, and all nodes of
# a zone wait for their fetchers when the platform is available again.
MAX_RETRY_DELAY_SECONDS = 1.0

# The head key is written with each change. The greatest revision under the
# prefix therefore rises on the removal of a setting too.
HEAD_KEY = CONFIGURATION_PREFIX + '!head'


def snapshot_from_items(items, generation=0):
    """Build a snapshot from the KeyValues under the prefix."""
    revision = max((item.mod_revision for item in items), default=0)
    entries = [
        Entry(_path(item), item.value, item.mod_revision)
        for item in items
        if item.key != HEAD_KEY
    ]
    return build_snapshot(revision, entries, generation)


def apply_events(snapshot, events, generation=None):
    """Return the snapshot after some events.

    :param events: KeyValues in the order of their revisions.
    :param generation: that of the configuration after them, None for that of
        the snapshot.
    """
    if generation is None:
        generation = snapshot.generation
    entries = dict(snapshot.entries)
    revision = snapshot.revision
    for event in events:
        revision = max(revision, event.mod_revision)
        if event.value is None:
            entries.pop(_path(event), None)
        elif event.key != HEAD_KEY:
            path = _path(event)
            entries[path] = Entry(path, event.value, event.mod_revision)
    return build_snapshot(revision, entries.values(), generation)


def _path(item):
    return item.key.removeprefix(CONFIGURATION_PREFIX)


def read_configuration(client):
    """Read the whole configuration.

    :returns: a Snapshot, and the revision of the store from which to watch.
    """
    response = client.read_prefix(CONFIGURATION_PREFIX)
    snapshot = snapshot_from_items(response.items, response.generation)
    return snapshot, response.revision


class Fetcher:
    """Read the configuration, then watch it for changes.

    It is read again when the watch has failed, or can't go on because the
    store has compacted its revision.

    :param on_snapshot: called on the fetcher's thread with each Snapshot and
        the revision of the store at which it was read as a whole, or 0.
    :param on_platform_result: called on the fetcher's thread after each
        call to the platform, with whether it succeeded and a detail.
    """

    def __init__(
        self,
        client,
        on_snapshot,
        on_platform_result,
        random=None,
        clock=time.time,
    ):
        self.client = client
        self.on_snapshot = on_snapshot
        self.on_platform_result = on_platform_result
        self.random = random or Random()
        self.clock = clock
        self.backoff = Backoff(max_seconds=MAX_RETRY_DELAY_SECONDS)
        self.stopped = Event()
        self.snapshot = Snapshot()
        self.resume_at = 0
        self.failures = 0
        self.thread = Thread(target=self.run, daemon=True)

    def start(self):
        """Start the thread."""
        self.thread.start()

    def stop(self):
        """Let the thread end at the next event or progress notification.

        It may still be in a watch by then, and reports nothing more.
        """
        self.stopped.set()

    def run(self):
        """Read and watch until stopped, with jittered backoff."""
        while not self.stopped.is_set():
            try:
                self.read_and_watch()
            except PoplarrackError as error:
                self.on_error(error)
            except Exception as error:
                # A node that ends this thread never follows the store again.
                logger.exception('fetcher_failed_internally')
                self.on_error(PoplarrackError(ErrorKind.INTERNAL, repr(error)))

    def on_error(self, error):
        """Report a failure and wait before the next attempt.

        The configuration is read again: what a watch missed may be too much
        for one answer. A compacted watch is no failure of the platform, so
        that this is done at once.
        """
        resumed_at, self.resume_at = self.resume_at, 0
        if error.kind is ErrorKind.COMPACTED:
            logger.info('watch_compacted', extra={'at': resumed_at})
            return
        self.failures += 1
        self.on_platform_result(False, error.detail)
        delay = self.backoff.delay(self.failures, self.random)
        self.stopped.wait(delay)

    def read_and_watch(self):
        """Read the configuration unless a watch goes on; watch it."""
        if not self.resume_at:
            self.snapshot, self.resume_at = read_configuration(self.client)
            if self.stopped.is_set():
                return
            self.on_snapshot(self.snapshot, self.resume_at)
            self.on_platform_result(True, '')
        watch = self.client.watch(CONFIGURATION_PREFIX, self.resume_at)
        for batch in watch:
            if self.stopped.is_set():
                watch.close()
                return
            self.failures = 0
            self.on_platform_result(True, '')
            if batch.events:
                self.snapshot = apply_events(
                    self.snapshot, batch.events, batch.generation
                )
                self.on_snapshot(self.snapshot, 0)
            self.resume_at = max(self.resume_at, batch.revision)


def build_fetcher(client, node, loop):
    """Return a Fetcher that calls a node on the node's event loop.

    What it sent before it was stopped there is dropped.
    """

    def report(method, *arguments):
        loop.call_soon_threadsafe(report_unless_stopped, method, *arguments)

    def report_unless_stopped(method, *arguments):
        if not fetcher.stopped.is_set():
            method(*arguments)

    fetcher = Fetcher(
        client,
        partial(report, node.on_snapshot),
        partial(report, node.record_platform_call),
    )
    return fetcher
