"""Forward changes along the dissemination tree in small batches."""

import asyncio
import logging

from poplarrack.errors import PoplarrackError
from poplarrack.messages import Updates
from poplarrack.snapshots import is_newer

logger = logging.getLogger(__name__)

SPREAD_DELAY_SECONDS = 0.01
MAX_PUSH_ATTEMPTS = 3


class Spreader:
    """The changes that a node has yet to forward, and who sent them."""

    def __init__(self, node):
        self.node = node
        self.pending = Updates(node.settings.node_id)
        self.senders = set()
        self.timer = None

    def spread(self, changes, sender):
        """Add changes to the next batch for the tree.

        :param changes: an Updates.
        :param sender: node id of the peer that sent them, empty for own ones.
        """
        self.pending = Updates(
            self.node.settings.node_id,
            changes.delta or self.pending.delta,
            (*self.pending.members, *changes.members),
            (*self.pending.verdicts, *changes.verdicts),
        )
        self.senders.add(sender)
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(
                SPREAD_DELAY_SECONDS, self._spread_now
            )

    def _spread_now(self):
        self.timer = None
        changes, senders = self.pending, self.senders
        self.pending = Updates(self.node.settings.node_id)
        self.senders = set()
        # A single sender has all the changes; several may each lack some.
        skipped = senders if len(senders) == 1 else ()
        topology = self.node.facts.topology
        for node_id in topology.next_hops():
            if node_id not in skipped:
                self.node.start_task(self._push(node_id, changes))
        if changes.delta is None:
            return
        # A change of configuration reaches each node along two paths.
        change = Updates(changes.sender, changes.delta)
        for node_id in topology.partner_children:
            if node_id not in skipped:
                self.node.start_task(self._push(node_id, change))

    async def _push(self, node_id, changes):
        """Push changes to a node, and retry if it does not answer.

        A whole subtree depends on it; merging the same changes twice has no
        effect.
        """
        for _ in range(MAX_PUSH_ATTEMPTS):
            try:
                answer = await self.node.call(node_id, 'Push', changes)
                if answer.stale:
                    address = self.node.address_of(node_id)
                    await self.push_if_behind(address, answer.digests)
            except PoplarrackError as error:
                logger.debug('push_failed', extra={'detail': error.detail})
            else:
                return

    async def push_if_behind(self, address, other):
        """Send a node the current configuration if its revision is older.

        :param address: the node's peer address.
        :param other: the node's Digests.
        :raises PoplarrackError: PEER_UNAVAILABLE without an answer.
        """
        snapshot = self.node.knowledge.configuration.snapshot
        if not is_newer(snapshot, other):
            return
        delta = self.node.history.delta_from(
            other.revision, other.configuration, snapshot
        )
        updates = Updates(self.node.settings.node_id, delta)
        await self.node.dependencies.peers.call(address, 'Push', updates)
