"""Send news on along the tree, gathered for a moment."""

import asyncio
import logging

from poplarrack.errors import PoplarrackError
from poplarrack.messages import Updates

logger = logging.getLogger(__name__)

SPREAD_DELAY_SECONDS = 0.01
PUSH_ATTEMPTS = 3


class Spreader:
    """What a node has still to pass on, and to whom."""

    def __init__(self, node):
        self.node = node
        self.pending = Updates(node.settings.node_id)
        self.senders = set()
        self.timer = None

    def spread(self, news, sender):
        """Send news on to the tree, gathered for a moment."""
        self.pending = Updates(
            self.node.settings.node_id,
            news.delta or self.pending.delta,
            (*self.pending.members, *news.members),
            (*self.pending.verdicts, *news.verdicts),
        )
        self.senders.add(sender)
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(
                SPREAD_DELAY_SECONDS, self._spread_now
            )

    def _spread_now(self):
        self.timer = None
        news, senders = self.pending, self.senders
        self.pending = Updates(self.node.settings.node_id)
        self.senders = set()
        # A lone sender knows the news; several may each lack a part.
        skipped = senders if len(senders) == 1 else ()
        for node_id in self.node.facts.topology.next_hops():
            if node_id not in skipped:
                self.node.start_task(self._push(node_id, news))

    async def _push(self, node_id, news):
        """Push news to a node, again when no answer came.

        A whole subtree waits for it; what is pushed twice is no news.
        """
        for _ in range(PUSH_ATTEMPTS):
            try:
                answer = await self.node.call(node_id, 'Push', news)
                if answer.stale:
                    address = self.node.address_of(node_id)
                    await self.push_if_behind(address, answer.digests)
            except PoplarrackError as error:
                logger.debug('push_failed', extra={'detail': error.detail})
            else:
                return

    async def push_if_behind(self, address, other):
        """Send a node the version in force if its digests are behind."""
        snapshot = self.node.knowledge.configuration.snapshot
        if other.revision >= snapshot.revision:
            return
        delta = self.node.history.delta_from(
            other.revision, other.configuration, snapshot
        )
        updates = Updates(self.node.settings.node_id, delta)
        await self.node.dependencies.peers.call(address, 'Push', updates)
