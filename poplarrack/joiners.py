"""Bring a node up to what others hold: joining and syncing."""

import asyncio
from itertools import zip_longest
import logging

from poplarrack.errors import PoplarrackError
from poplarrack.messages import SyncRequest
from poplarrack.messages import Updates
from poplarrack.platforms import ZONE_PREFIX
from poplarrack.summaries import decode_summary

logger = logging.getLogger(__name__)

JOIN_PEERS = 3
# Nodes that start or look for others together must not call together, and
# the first of them to speak for a zone are found by the rest: most seconds
# that one waits, under a tenth of what an installation may take to recover.
JOIN_SPREAD_SECONDS = 1.0


async def join(node):
    """Take the greatest version that several peers hold.

    Without seeds the zones' summaries name peers. Where none of these
    answers, nodes may be starting together: each looks again after a
    while, drawn evenly. One that still finds nobody goes on alone, reads
    the platform as its place then asks, and the rejoining controller looks
    further.
    """
    own = node.facts.own.peer_address
    seeds = [seed for seed in node.settings.seeds if seed != own]
    answered = await sync_with_some(node, seeds)
    for most_seconds in (0.0, JOIN_SPREAD_SECONDS):
        if answered:
            break
        await asyncio.sleep(node.random.random() * most_seconds)
        answered = await sync_with_some(node, await find_seeds(node))
    node.write_lifecycle(joined=True)
    logger.info('node_joined', extra={'peers_asked': answered})


async def sync_with_some(node, addresses):
    """Ask all at once, sync with the first to answer; return how many.

    One after another, each that is gone would cost its time-out.
    """
    asked = [
        asyncio.ensure_future(_compare(node, address)) for address in addresses
    ]
    answered = 0
    try:
        for first in asyncio.as_completed(asked):
            address, answer = await first
            if answer is None or not await _syncs(node, address, answer):
                continue
            answered += 1
            if answered >= JOIN_PEERS:
                break
    finally:
        for task in asked:
            task.cancel()
    return answered


async def _compare(node, address):
    try:
        answer = await node.dependencies.peers.call(
            address, 'Compare', node.digests()
        )
    except PoplarrackError:
        # The link logs whom it can't reach.
        return address, None
    return address, answer


async def _syncs(node, address, answer):
    try:
        await sync(node, address, answer)
    except PoplarrackError as error:
        logger.info(
            'sync_failed', extra={'peer': address, 'detail': error.detail}
        )
        return False
    return True


async def find_seeds(node):
    """Return addresses in zones that the node knows nobody of.

    They come from the zones' summaries, the own zone's first and the
    others' by turns.
    """
    try:
        answer = await node.dependencies.run_blocking(
            node.dependencies.platform.read_prefix, ZONE_PREFIX
        )
    except PoplarrackError as error:
        logger.warning('seeds_unknown', extra={'detail': error.detail})
        return []
    own = node.facts.own
    known = {
        (member.region, member.zone)
        for member in node.knowledge.members.members.values()
        if member.present and member.node_id != own.node_id
    }
    near, far = [], []
    for item in answer.items:
        summary = decode_summary(item.value)
        if (summary.region, summary.zone) in known:
            continue
        if (summary.region, summary.zone) == (own.region, own.zone):
            near += summary.seeds
        else:
            far.append(summary.seeds)
    by_turns = [seed for turn in zip_longest(*far) for seed in turn if seed]
    seeds = [seed for seed in near + by_turns if seed != own.peer_address]
    return seeds[: JOIN_PEERS * 2]


async def sync(node, address, answer):
    """Exchange what differs with the node at an address.

    :param answer: the DigestsAnswer that it gave when it was asked.
    """
    call = node.dependencies.peers.call
    own, other = node.digests(), answer.digests
    knowledge = node.knowledge
    differing = ()
    if answer.buckets:
        differing = knowledge.members.differing_buckets(answer.buckets)
    verdicts = ()
    if other.verdicts != own.verdicts:
        verdicts = tuple(knowledge.verdicts.values())
    members = knowledge.members.in_buckets(differing)
    request = SyncRequest(own, differing, members, verdicts)
    updates = await call(address, 'Sync', request)
    node.merge_updates(updates, other.node_id)
    await node.spreader.push_if_behind(address, other)


def answer_sync(node, request):
    """Return what another node lacks, and take what it brought."""
    knowledge = node.knowledge
    other = request.digests
    snapshot = knowledge.configuration.snapshot
    delta = None
    if other.revision < snapshot.revision:
        delta = node.history.delta_from(
            other.revision, other.configuration, snapshot
        )
    verdicts = ()
    if other.verdicts != node.digests().verdicts:
        verdicts = tuple(knowledge.verdicts.values())
    members = knowledge.members.in_buckets(request.buckets)
    brought = Updates(other.node_id, None, request.members, request.verdicts)
    node.merge_updates(brought, other.node_id)
    return Updates(node.settings.node_id, delta, members, verdicts)
