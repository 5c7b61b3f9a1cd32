"""A fetcher on fakes that waits for changes as the platform's client does."""

import asyncio

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.fetchers import apply_events
from poplarrack.fetchers import MAX_RETRY_DELAY_SECONDS
from poplarrack.fetchers import read_configuration
from poplarrack.platform.store_client import WATCH_MARGIN_SECONDS
from poplarrack.platform.store_client import WATCH_PAUSE_SECONDS
from poplarrack.platform.store_client import WATCH_WAIT_SECONDS
from poplarrack.platforms import CALL_TIMEOUT_SECONDS
from poplarrack.platforms import CONFIGURATION_PREFIX
from poplarrack.retries import Backoff
from poplarrack.stand_ins.fakes import FakeFetcher
from poplarrack.stand_ins.fakes import FETCH_POLL_SECONDS


class WatchingFetcher(FakeFetcher):
    """Fetcher that waits for events as the platform's client does.

    A call or a watch whose node is cut off or whose connection has gone
    silent is noticed only when it times out.
    """

    backoff = Backoff(max_seconds=MAX_RETRY_DELAY_SECONDS)

    async def run(self):
        """Read the configuration, then watch it."""
        snapshot, revision, failures = None, 0, 0
        while not self.stopped:
            try:
                snapshot, revision = await self._watch(snapshot, revision)
                self.node.record_platform_call(True, '')
                failures = 0
            except PoplarrackError as error:
                self.node.record_platform_call(False, error.detail)
                failures += 1
                delay = self.backoff.delay(failures, self.mesh.random)
                await asyncio.sleep(delay)

    async def _watch(self, snapshot, revision):
        mesh, node_id = self.mesh, self.node.settings.node_id
        delay = mesh.platform_delay(node_id)
        if snapshot is None:
            await self._reach_platform(delay)
            snapshot, revision = read_configuration(self.client)
            self.node.on_snapshot(snapshot)
        started_at = mesh.clock()
        mesh.watches += 1
        store = self.client.platform.store
        while mesh.clock() < started_at + WATCH_WAIT_SECONDS:
            await asyncio.sleep(FETCH_POLL_SECONDS)
            self._raise_if_turned_away()
            if self._is_silent(started_at):
                ends_at = (
                    started_at + WATCH_WAIT_SECONDS + WATCH_MARGIN_SECONDS
                )
                await asyncio.sleep(ends_at - mesh.clock())
                raise PoplarrackError(ErrorKind.OUTCOME_UNKNOWN, 'no answer')
            events = store.events_after(revision, CONFIGURATION_PREFIX)
            if events:
                await asyncio.sleep(delay)
                snapshot, revision = (
                    apply_events(snapshot, events),
                    store.revision,
                )
                self.node.on_snapshot(snapshot)
                await asyncio.sleep(WATCH_PAUSE_SECONDS)
                break
        return snapshot, revision

    def _is_silent(self, since):
        faults = self.mesh.injected_faults
        node_id = self.node.settings.node_id
        return (
            node_id in faults.cut_nodes | faults.unanswered
            or since < faults.watches_silent_at
        )

    async def _reach_platform(self, delay):
        self.mesh.watches += 1
        if self._is_silent(self.mesh.clock()):
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)
            raise PoplarrackError(ErrorKind.OUTCOME_UNKNOWN, 'no answer')
        await asyncio.sleep(2 * delay)
        self._raise_if_turned_away()

    def _raise_if_turned_away(self):
        turned_away = self.mesh.injected_faults.turned_away
        if self.node.settings.node_id in turned_away:
            raise PoplarrackError(
                ErrorKind.PLATFORM_UNAVAILABLE, 'turned away'
            )
