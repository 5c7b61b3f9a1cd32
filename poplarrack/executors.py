"""Execute the decisions of controllers."""

import asyncio
from dataclasses import replace
import logging

from poplarrack.decisions import Beat
from poplarrack.decisions import CheckContent
from poplarrack.decisions import Compare
from poplarrack.decisions import ForgetEndpoint
from poplarrack.decisions import HaltMove
from poplarrack.decisions import ProbeThrough
from poplarrack.decisions import Publish
from poplarrack.decisions import Rejoin
from poplarrack.decisions import SendReport
from poplarrack.decisions import StoreDeparture
from poplarrack.decisions import Watch
from poplarrack.decisions import WriteMove
from poplarrack.decisions import WriteSummary
from poplarrack.departures import store_again
from poplarrack.errors import PoplarrackError
from poplarrack.fetchers import HEAD_KEY
from poplarrack.fetchers import read_configuration
from poplarrack.joiners import find_seeds
from poplarrack.joiners import MAX_JOIN_DELAY_SECONDS
from poplarrack.joiners import sync
from poplarrack.joiners import sync_with_some
from poplarrack.leases import put_under_lease
from poplarrack.messages import DigestsAnswer
from poplarrack.messages import ProbeRequest
from poplarrack.messages import Updates
from poplarrack.move_observations import largest_factor
from poplarrack.platforms import CONFIGURATION_PREFIX
from poplarrack.platforms import ZONE_PREFIX
from poplarrack.resources import encode_resource
from poplarrack.snapshots import is_newer
from poplarrack.stores import Compare as CompareKey
from poplarrack.stores import Operation
from poplarrack.summaries import encode_summary

logger = logging.getLogger(__name__)

EXECUTORS = {}
# Upper bound of the random delay before a node reads the store to check the
# content that it holds.
MAX_CHECK_DELAY_SECONDS = 1.0


def executes(decision_type):
    """Register the coroutine function that executes a type of decision."""

    def register(execute):
        EXECUTORS[decision_type] = execute
        return execute

    return register


@executes(Compare)
async def compare(node, decision):
    """Compare digests with a node and sync if they differ."""
    turn = node.facts.sent.compare_turn + 1
    node.write_sent(compared_at=node.clock(), compare_turn=turn)
    own = node.digests()
    answer = await node.call(decision.node_id, 'Compare', own)
    node.check_content(answer.digests)
    if _differs(own, answer.digests):
        await sync(node, node.address_of(decision.node_id), answer)


@executes(Beat)
async def beat(node, decision):
    """Compare digests with all nodes at once, without waiting for answers."""
    node.write_sent(beat_at=node.clock())
    for node_id in decision.node_ids:
        node.start_task(_beat(node, node_id))


async def _beat(node, node_id):
    """Compare digests; only the configuration is synchronised."""
    own = node.digests()
    try:
        address = node.address_of(node_id)
        answer = await node.dependencies.peers.call(address, 'Compare', own)
        if answer.digests.revision != own.revision:
            await sync(node, address, DigestsAnswer(answer.digests))
    except PoplarrackError as error:
        logger.debug('beat_failed', extra={'detail': error.detail})


def _differs(own, other):
    return (
        own.revision != other.revision
        or own.members != other.members
        or own.verdicts != other.verdicts
    )


@executes(Rejoin)
async def rejoin(node, decision):
    """Sync with lost nodes or, failing that, with those in zone summaries."""
    now = node.clock()
    node.write_sent(rejoined_at=now)
    if decision.ask_platform:
        node.write_sent(zones_searched_at=now)
        await asyncio.sleep(node.random.random() * MAX_JOIN_DELAY_SECONDS)
    synced = await sync_with_some(node, list(decision.addresses))
    if not synced and decision.ask_platform:
        await sync_with_some(node, await find_seeds(node))


@executes(ProbeThrough)
async def probe_through(node, decision):
    """Have helpers probe an unresponsive node, and record the result."""
    contact = node.facts.contacts.get(decision.target)
    if contact is None:
        return
    request = ProbeRequest(node.address_of(decision.target))
    for helper in decision.helpers:
        try:
            answer = await node.call(helper, 'Probe', request)
        except PoplarrackError:
            continue
        if answer.answered:
            node.record_contact(decision.target, True)
            return
    contacts = dict(node.facts.contacts)
    contacts[decision.target] = replace(contact, probed=True)
    node.blackboard.write('peers', contacts=contacts)


@executes(Publish)
async def publish(node, decision):
    """Merge member records and spread what they changed."""
    node.merge_updates(Updates(node.settings.node_id, None, decision.members))


@executes(SendReport)
async def send_report(node, decision):
    """Send a report, and sync with a receiver that has a newer revision."""
    node.write_sent(
        report=decision.report,
        report_at=node.clock(),
        report_receivers=decision.receivers,
    )
    for receiver in decision.receivers:
        try:
            answer = await node.call(receiver, 'Gather', decision.report)
        except PoplarrackError:
            # Clears the record of sending it, so that it is sent again soon.
            node.write_sent(report=None)
            continue
        if is_newer(answer.digests, node.digests()):
            address = node.address_of(receiver)
            await sync(node, address, DigestsAnswer(answer.digests))


@executes(HaltMove)
async def halt_move(node, decision):
    """Record a verdict, which sets the new version's share to 0; spread it."""
    verdict = decision.verdict
    logger.warning(
        'version_braked',
        extra={
            'move': verdict.move_id,
            'route': verdict.route,
            'cause': verdict.cause,
            'factor': verdict.factor,
        },
    )
    node.merge_updates(Updates(node.settings.node_id, verdicts=(verdict,)))


@executes(WriteMove)
async def write_move(node, decision):
    """Write a move's next record, fenced by the revision it was read at."""
    moves = dict(node.facts.sent.moves)
    moves[decision.move.service] = node.clock()
    node.write_sent(moves=moves)
    compares, operations = move_transaction(decision)
    await node.dependencies.run_blocking(
        node.dependencies.platform.write, compares, operations
    )
    logger.info(
        'move_written',
        extra={
            'path': decision.path,
            'state': decision.move.state.value,
            'share': decision.move.share,
            'reason': decision.move.reason,
            'calls_at_share': decision.calls_at_share,
            **_summarize_evidence(decision.move),
        },
    )


def _summarize_evidence(move):
    """Return the evidence in a move's record as fields of a log line."""
    return {
        'new_calls': sum(item.new_calls for item in move.evidence),
        'new_failures': sum(item.new_failures for item in move.evidence),
        'largest_factor': round(largest_factor(move.evidence), 3),
    }


def move_transaction(decision):
    """Return the compares and operations that write a move's next record."""
    key = CONFIGURATION_PREFIX + decision.path
    compares = [CompareKey(key, decision.revision)]
    operations = [
        Operation(key, encode_resource(decision.move)),
        Operation(HEAD_KEY, b''),
    ]
    if decision.service_path:
        service_key = CONFIGURATION_PREFIX + decision.service_path
        compares.append(CompareKey(service_key, decision.service_revision))
        operations.append(Operation(service_key, decision.service_value))
    return compares, operations


@executes(WriteSummary)
async def write_summary(node, decision):
    """Write the zone's summary under a lease."""
    node.write_sent(
        summary_at=node.clock(), summary_signature=decision.signature
    )
    await node.dependencies.run_blocking(_put_summary, node, decision.summary)


def _put_summary(node, summary):
    """Put a summary under its lease."""
    platform = node.dependencies.platform
    ttl_seconds = node.settings.platform.summary_ttl_seconds
    key = f'{ZONE_PREFIX}{summary.region}/{summary.zone}'
    operation = Operation(key, encode_summary(summary))
    if not ttl_seconds:
        platform.put_unconditionally(operation)
        return
    node.summary_lease = put_under_lease(
        node.summary_lease, platform, ttl_seconds, node.clock(), operation
    )


@executes(CheckContent)
async def check_content(node, decision):
    """Read the configuration again, unless it has been replaced meanwhile.

    Many nodes may find the same difference at once; the read of one of them
    may repair all.
    """
    await asyncio.sleep(node.random.random() * MAX_CHECK_DELAY_SECONDS)
    if _holds(node, decision):
        snapshot, read_at = await node.dependencies.run_blocking(
            read_configuration, node.dependencies.platform
        )
        node.on_snapshot(snapshot, read_at)
        if read_at >= decision.revision:
            held = node.knowledge.configuration.snapshot
            node.checked_content = (held.revision, held.digest)
    if node.fetcher is not None and not _holds(node, decision):
        # What its watch goes on from may be wrong, too; the next one reads.
        await watch(node, Watch(False))


def _holds(node, decision):
    """Return whether a node holds the content that it is to check."""
    held = node.knowledge.configuration.snapshot
    return (held.revision, held.digest) == (decision.revision, decision.digest)


@executes(Watch)
async def watch(node, decision):
    """Start or stop the fetcher."""
    if decision.wanted:
        node.fetcher = node.dependencies.build_fetcher(node)
        node.fetcher.start()
    elif node.fetcher is not None:
        node.fetcher.stop()
        node.fetcher = None
    # What an earlier watch met says nothing of the next one.
    platform = replace(
        node.facts.platform, watching=decision.wanted, failing_since=0.0
    )
    node.blackboard.write('platform', platform=platform)


@executes(StoreDeparture)
async def store_departure(node, decision):
    """Write the last leave to a store that has returned from a copy."""
    await store_again(node, decision.history)


@executes(ForgetEndpoint)
async def forget_endpoint(node, decision):
    """Remove the local endpoint, whose announcement expired."""
    node.forget_endpoint()
