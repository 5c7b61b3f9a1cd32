"""Follow the platform's configuration on a thread, for a fetcher node."""

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

# Few nodes fetch, and a zone waits for its fetchers once the platform is
# back.
RETRY_MOST_SECONDS = 1.0

# Written with each change, so that a removal too raises the greatest
# revision under the prefix.
HEAD_KEY = CONFIGURATION_PREFIX + '!head'


def snapshot_of(items):
    """Build a snapshot from the key-values under the prefix."""
    revision = max((item.mod_revision for item in items), default=0)
    entries = [
        Entry(_path(item), item.value, item.mod_revision)
        for item in items
        if item.key != HEAD_KEY
    ]
    return build_snapshot(revision, entries)


def apply_events(snapshot, events):
    """Return the snapshot after events, in the order of revisions."""
    entries = dict(snapshot.entries)
    revision = snapshot.revision
    for event in events:
        revision = max(revision, event.mod_revision)
        if event.value is None:
            entries.pop(_path(event), None)
        elif event.key != HEAD_KEY:
            path = _path(event)
            entries[path] = Entry(path, event.value, event.mod_revision)
    return build_snapshot(revision, entries.values())


def _path(item):
    return item.key.removeprefix(CONFIGURATION_PREFIX)


def read_configuration(client):
    """Read the whole configuration.

    :returns: a Snapshot and the store's revision to watch from.
    """
    answer = client.read_prefix(CONFIGURATION_PREFIX)
    return snapshot_of(answer.items), answer.revision


class Fetcher:
    """Read, then watch; read again where the watch can't go on.

    :param offer: called on this thread with each Snapshot.
    :param note: called with (succeeded, detail) about the platform.
    """

    def __init__(self, client, offer, note, random=None, clock=time.time):
        self.client = client
        self.offer = offer
        self.note = note
        self.random = random or Random()
        self.clock = clock
        self.backoff = Backoff(max_seconds=RETRY_MOST_SECONDS)
        self.stopped = Event()
        self.snapshot = Snapshot()
        self.resume_at = 0
        self.failures = 0
        self.thread = Thread(target=self.run, daemon=True)

    def start(self):
        """Start the thread."""
        self.thread.start()

    def stop(self):
        """End as soon as the watch shows the next sign of life."""
        self.stopped.set()

    def run(self):
        """Follow until stopped, with full jitter between failures."""
        while not self.stopped.is_set():
            try:
                self.follow()
            except PoplarrackError as error:
                self.on_error(error)

    def on_error(self, error):
        """Note a failure and wait before the next try."""
        if error.kind is ErrorKind.COMPACTED:
            logger.info('watch_compacted', extra={'at': self.resume_at})
            self.resume_at = 0
            return
        self.failures += 1
        self.note(False, error.detail)
        delay = self.backoff.delay(self.failures, self.random)
        self.stopped.wait(delay)

    def follow(self):
        """Read unless a watch can be resumed, then watch."""
        if not self.resume_at:
            self.snapshot, self.resume_at = read_configuration(self.client)
            self.offer(self.snapshot)
        self.note(True, '')
        watch = self.client.watch(CONFIGURATION_PREFIX, self.resume_at)
        for batch in watch:
            if self.stopped.is_set():
                watch.close()
                return
            self.failures = 0
            self.note(True, '')
            if batch.events:
                self.snapshot = apply_events(self.snapshot, batch.events)
                self.offer(self.snapshot)
            self.resume_at = max(self.resume_at, batch.revision)


def build_fetcher(client, node, loop):
    """Return a fetcher whose thread hands over to a node's event loop."""

    def offer(snapshot):
        loop.call_soon_threadsafe(node.on_snapshot, snapshot)

    def note(succeeded, detail):
        loop.call_soon_threadsafe(node.record_platform_call, succeeded, detail)

    return Fetcher(client, offer, note)
