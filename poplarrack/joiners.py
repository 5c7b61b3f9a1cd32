"""Bring a node up to what others hold: joining and syncing."""

import asyncio
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
# that one waits, a tenth of what an installation may take to recover.
JOIN_SPREAD_SECONDS = 1.0


async def join(node):
    """Take the greatest version that several peers hold.

    Without seeds the zones' summaries name peers. Where they name none
    yet, nodes start together: each looks again after a while, drawn
    evenly. One that still finds nobody goes on alone, reads the platform
    as its place then asks, and the rejoining controller looks further.
    """
    own = node.facts.own.peer_address
    seeds = [seed for seed in node.settings.seeds if seed != own]
    answered = await sync_with_some(node, seeds)
    if not answered:
        found = await find_seeds(node)
        if not found:
            await asyncio.sleep(node.random.random() * JOIN_SPREAD_SECONDS)
            found = await find_seeds(node)
        answered = await sync_with_some(node, found)
    node.write_lifecycle(joined=True)
    logger.info('node_joined', extra={'peers_asked': answered})


async def sync_with_some(node, addresses):
    """Sync with peers at random until enough answered; return how many."""
    answered = 0
    for address in node.random.sample(addresses, len(addresses)):
        try:
            await sync(node, address)
        except PoplarrackError:
            continue
        answered += 1
        if answered >= JOIN_PEERS:
            break
    return answered


async def find_seeds(node):
    """Return addresses from the zones' summaries, the own zone's first."""
    try:
        answer = await node.links.run_blocking(
            node.links.platform.read_prefix, ZONE_PREFIX
        )
    except PoplarrackError as error:
        logger.warning('seeds_unknown', extra={'detail': error.detail})
        return []
    summaries = [decode_summary(item.value) for item in answer.items]
    summaries.sort(key=lambda item: item.zone != node.settings.zone)
    own = node.facts.own.peer_address
    seeds = [seed for item in summaries for seed in item.seeds]
    return [seed for seed in seeds if seed != own][: JOIN_PEERS * 2]


async def sync(node, address, answer=None):
    """Exchange what differs with the node at an address.

    :param answer: its DigestsAnswer where it was asked already.
    """
    call = node.links.peers.call
    if answer is None:
        answer = await call(address, 'Compare', node.digests())
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
    node.absorb(updates, other.node_id)
    await node.push_if_behind(address, other)


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
    node.absorb(brought, other.node_id)
    return Updates(node.settings.node_id, delta, members, verdicts)
