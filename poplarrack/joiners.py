"""Join the mesh and synchronise with other nodes."""

import asyncio
from itertools import zip_longest
import logging

from poplarrack.errors import PoplarrackError
from poplarrack.messages import SyncRequest
from poplarrack.messages import Updates
from poplarrack.platforms import ZONE_PREFIX
from poplarrack.snapshots import is_newer
from poplarrack.summaries import decode_summary

logger = logging.getLogger(__name__)

MAX_JOIN_PEERS = 3
# Upper bound of the random delay before a node reads the zone summaries.
# Nodes that start or rejoin together must not all call the platform at once,
# and the later ones find the zone representatives that came first. The bound
# stays under a tenth of the time in which an installation must recover.
MAX_JOIN_DELAY_SECONDS = 1.0
# How often a node that leaves asks another one for changes.
LEAVING_SYNC_SECONDS = 0.5


async def join(node):
    """Join the mesh by syncing with several peers.

    The node ends up with the newest version that any of them holds.
    Without seeds, the zone summaries name peers. Where none of these
    answers, nodes may be starting together, so the node tries once more
    after a uniformly random delay. One that still finds no peer goes on
    alone: it fetches from the platform if its topology asks for that, and
    the rejoining controller keeps looking for peers.
    """
    own = node.facts.own.peer_address
    seeds = [seed for seed in node.settings.seeds if seed != own]
    synced = await sync_with_some(node, seeds)
    for max_delay_seconds in (0.0, MAX_JOIN_DELAY_SECONDS):
        if synced:
            break
        await asyncio.sleep(node.random.random() * max_delay_seconds)
        synced = await sync_with_some(node, await find_seeds(node))
    node.write_lifecycle(joined=True)
    # The source has yet to learn of this node.
    node.blackboard.write('peers', source_heard_at=node.clock())
    logger.info('node_joined', extra={'peers_asked': synced})


async def follow_while_leaving(node):
    """Learn of changes until cancelled, on a node that has left the mesh.

    Other nodes send it nothing any more, but callers with open connections
    are still served: endpoints that leave meanwhile must get nothing more.
    """
    while True:
        members = node.knowledge.members.members.values()
        near = [
            member.peer_address
            for member in members
            if member.present and member.zone == node.facts.own.zone
        ]
        node.random.shuffle(near)
        await sync_with_some(node, near[:MAX_JOIN_PEERS], 1)
        await asyncio.sleep(LEAVING_SYNC_SECONDS)


async def sync_with_some(node, addresses, wanted=MAX_JOIN_PEERS):
    """Compare with all addresses at once and sync with the first to answer.

    Asking them in sequence would cost a timeout for each that is gone.

    :param addresses: peer addresses.
    :param wanted: the number of nodes to sync with.
    :returns: the number of nodes synced with.
    """
    comparisons = [
        asyncio.ensure_future(_compare(node, address)) for address in addresses
    ]
    synced = 0
    try:
        for first in asyncio.as_completed(comparisons):
            address, answer = await first
            if answer is None or not await _try_sync(node, address, answer):
                continue
            synced += 1
            if synced >= wanted:
                break
    finally:
        for task in comparisons:
            task.cancel()
    return synced


async def _compare(node, address):
    try:
        answer = await node.dependencies.peers.call(
            address, 'Compare', node.digests()
        )
    except PoplarrackError:
        # PeerStreams logs the peers that it cannot reach.
        return address, None
    return address, answer


async def _try_sync(node, address, answer):
    try:
        await sync(node, address, answer)
    except PoplarrackError as error:
        logger.info(
            'sync_failed', extra={'peer': address, 'detail': error.detail}
        )
        return False
    return True


async def find_seeds(node):
    """Return peer addresses in zones in which the node knows no other node.

    They come from the zone summaries: first those of the own zone, then
    those of the other zones in round-robin order.
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
        try:
            summary = decode_summary(item.value)
        except PoplarrackError as error:
            logger.warning(
                'entry_rejected',
                extra={
                    'key': item.key,
                    'revision': item.mod_revision,
                    'detail': error.detail,
                },
            )
            continue
        if (summary.region, summary.zone) in known:
            continue
        if (summary.region, summary.zone) == (own.region, own.zone):
            near += summary.seeds
        else:
            far.append(summary.seeds)
    interleaved = [seed for turn in zip_longest(*far) for seed in turn if seed]
    seeds = [seed for seed in near + interleaved if seed != own.peer_address]
    return seeds[: MAX_JOIN_PEERS * 2]


async def sync(node, address, answer):
    """Exchange differences with the node at an address.

    :param address: the other node's peer address.
    :param answer: the DigestsAnswer with which it answered 'Compare'.
    :raises PoplarrackError: PEER_UNAVAILABLE without an answer.
    """
    call = node.dependencies.peers.call
    node.hear_digests(answer.digests)
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
    """Merge another node's records and return what it lacks.

    :returns: an Updates.
    """
    knowledge = node.knowledge
    other = request.digests
    snapshot = knowledge.configuration.snapshot
    delta = None
    if is_newer(snapshot, other):
        delta = node.history.delta_from(
            other.revision, other.configuration, snapshot
        )
    verdicts = ()
    if other.verdicts != node.digests().verdicts:
        verdicts = tuple(knowledge.verdicts.values())
    members = knowledge.members.in_buckets(request.buckets)
    received = Updates(other.node_id, None, request.members, request.verdicts)
    node.merge_updates(received, other.node_id)
    return Updates(node.settings.node_id, delta, members, verdicts)
