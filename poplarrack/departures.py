"""Keep a backend server's leave where it outlives the node's process.

A leave that was acknowledged must hold for the process that the node starts
next, which knows nothing of it. Other nodes keep it in the node's member
record. The store keeps it too, for when all nodes are restarted at once.
"""

import asyncio
import logging

from msgspec.json import encode

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.json_values import decode_json
from poplarrack.leases import put_under_lease
from poplarrack.members import Departure
from poplarrack.members import latest_departure
from poplarrack.messages import Updates
from poplarrack.stores import Operation

logger = logging.getLogger(__name__)

DEPARTURE_PREFIX = '/poplarrack/departures/'
# Far longer than a heartbeat may be late.
DEPARTURE_TTL_SECONDS = 600.0
# Other nodes of the zone, and of other zones, that are asked to keep a leave.
MAX_NEAR_HOLDERS = 2
MAX_FAR_HOLDERS = 1
# Bound of the delay at random before a leave is written again.
MAX_STORE_DELAY_SECONDS = 10.0
# A backend server takes an acknowledgement that is later than a second for
# none.
HOLD_TIMEOUT_SECONDS = 0.7


async def hold_departure(node, departure):
    """Have other nodes and the store keep a departure.

    :param departure: the Departure, which is in the node's own record.
    :returns: whether at least one of them does.
    """
    holders = [_push(node, node_id) for node_id in _choose_holders(node)]
    attempts = [
        asyncio.ensure_future(attempt)
        for attempt in (*holders, _store(node, departure))
    ]
    done, _ = await asyncio.wait(attempts, timeout=HOLD_TIMEOUT_SECONDS)
    held = sum(attempt.result() for attempt in done)
    logger.info(
        'departure_held',
        extra={
            'instance': departure.instance_id,
            'holders': held,
            'asked': len(attempts),
        },
    )
    return held > 0


def _choose_holders(node):
    own = node.facts.own
    others = [
        member
        for member in node.knowledge.members.members.values()
        if member.present and member.node_id != own.node_id
    ]
    node.random.shuffle(others)
    near = [item.node_id for item in others if item.zone == own.zone]
    far = [item.node_id for item in others if item.zone != own.zone]
    return near[:MAX_NEAR_HOLDERS] + far[:MAX_FAR_HOLDERS]


async def _push(node, node_id):
    """Send a node the own record; return whether it has taken it."""
    own = node.facts.own
    try:
        await node.call(node_id, 'Push', Updates(own.node_id, None, (own,)))
    except PoplarrackError as error:
        logger.debug('push_failed', extra={'detail': error.detail})
        return False
    return True


async def _store(node, departure):
    """Write a departure to the store; return whether it is there."""
    try:
        await node.dependencies.run_blocking(_put, node, departure)
    except PoplarrackError as error:
        logger.info('departure_not_stored', extra={'detail': error.detail})
        return False
    return True


async def store_again(node, history):
    """Write the own departure to a store that has returned from a copy.

    :param history: the store's history, as revisions begin with it.
    """
    # All nodes learn of the return within a second.
    await asyncio.sleep(node.random.random() * MAX_STORE_DELAY_SECONDS)
    departure = node.facts.own.departure
    if await _store(node, departure):
        node.write_sent(departure_history=history)
        logger.info(
            'departure_stored_again',
            extra={'instance': departure.instance_id},
        )


def _put(node, departure):
    # A key for each start, so that a late write replaces no other departure.
    prefix = _prefix_of(node)
    key = f'{prefix}{departure.instance_id}/{departure.born or 0}'
    node.departure_lease = put_under_lease(
        node.departure_lease,
        node.dependencies.platform,
        DEPARTURE_TTL_SECONDS,
        node.clock(),
        Operation(key, encode(departure)),
    )


def _prefix_of(node):
    return f'{DEPARTURE_PREFIX}{node.settings.node_id}/'


async def read_departure(node):
    """Return the last Departure that the store holds for a node, or None.

    :raises PoplarrackError: without an answer of the store.
    """
    answer = await node.dependencies.run_blocking(
        node.dependencies.platform.read_prefix, _prefix_of(node)
    )
    latest = None
    for item in answer.items:
        try:
            departure = decode_json(
                item.value, ErrorKind.MALFORMED_REQUEST, 'departure', Departure
            )
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
        latest = latest_departure(latest, departure)
    return latest
