"""Keep a node's state: run controllers, merge updates, spread changes.

This module opens no sockets. Peers, platform and clock are injected as
``NodeDependencies``, so that the same code runs in a process and on fakes.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
import logging
from random import Random

from poplarrack.balancers import Locality
from poplarrack.blackboards import Blackboard
from poplarrack.blackboards import Contact
from poplarrack.blackboards import Facts
from poplarrack.blackboards import Lifecycle
from poplarrack.controllers import CONTROLLERS
from poplarrack.decisions import CheckContent
from poplarrack.detectors import find_unreachable_nodes
from poplarrack.detectors import record_failure
from poplarrack.dispatchers import Dispatcher
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.executors import EXECUTORS
from poplarrack.knowledge import apply_snapshot
from poplarrack.knowledge import merge_updates
from poplarrack.knowledge import prune_verdicts
from poplarrack.leases import Lease
from poplarrack.members import latest_departure
from poplarrack.members import Member
from poplarrack.members import MemberState
from poplarrack.members import refute
from poplarrack.members import same_start
from poplarrack.messages import InFlightCalls
from poplarrack.messages import Updates
from poplarrack.moves import is_live
from poplarrack.snapshots import SnapshotHistory
from poplarrack.spreaders import Spreader
from poplarrack.store_histories import describe_revision
from poplarrack.store_histories import history_of
from poplarrack.topologies import derive_topology
from poplarrack.topologies import REMOTE_REGION

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.1
# By how much more its ticks are apart, a node stood still, or was busy in one
# turn of its event loop.
MAX_TICK_GAP_SECONDS = 0.5
# How often the controllers run while no fact changes and no move is live.
IDLE_DECISION_INTERVAL_SECONDS = 0.3
CALLS_REFRESH_INTERVAL_SECONDS = 0.5
TOPOLOGY_REFRESH_INTERVAL_SECONDS = 1.0
REBUILD_DELAY_SECONDS = 0.05
# How often at most a node reads the store again where contents differ.
CHECK_INTERVAL_SECONDS = 5.0
# A platform with a shorter round trip is in this region. Round trips take
# tens of milliseconds between regions and one millisecond between
# availability zones.
MAX_REGION_ROUND_TRIP_SECONDS = 0.03


@dataclass(frozen=True)
class NodeDependencies:
    """The injected dependencies of a node.

    ``peers`` has ``call(address, method, message)``; ``platform`` has the
    blocking methods of PlatformClient, to be run by ``run_blocking``;
    ``build_fetcher`` takes the node that the fetcher reports to.
    ``build_dispatcher`` builds what carries calls; with None it is a
    Dispatcher, which connects to backend servers directly.
    """

    peers: object
    platform: object
    run_blocking: Callable
    build_fetcher: Callable
    clock: Callable[[], float]
    random: Random
    build_dispatcher: Callable | None = None


class Node:
    """The state of one node, its controllers and its executors."""

    def __init__(self, settings, dependencies):
        self.settings = settings
        self.dependencies = dependencies
        self.clock = dependencies.clock
        self.random = dependencies.random
        now = self.clock()
        own = Member(
            settings.node_id,
            int(now * 1000),
            1,
            settings.region,
            settings.zone,
            settings.peer_address,
            operator_address=settings.operator_address,
        )
        self.blackboard = Blackboard(
            Facts(settings, own, lifecycle=Lifecycle(now))
        )
        self.locality = Locality(own.node_id, own.region, own.zone)
        self.history = SnapshotHistory()
        self.fetcher = None
        self.summary_lease = Lease()
        self.departure_lease = Lease()
        # Called with a Departure that an earlier process acknowledged.
        self.on_departure = lambda departure: None
        # The revision and the digest of the content that was last compared
        # with the store's because another node had other content.
        self.checked_content = (0, 0)
        self.check_at = 0.0
        build = dependencies.build_dispatcher or self._build_dispatcher
        self.dispatcher = build()
        self.dispatcher.is_newer_rejected = self.is_newer_rejected
        self.spreader = Spreader(self)
        self.pending_rebuild = None
        self.tasks = set()
        self.executing = set()
        self.last_decisions = {}
        self.ticked_at = now
        self.decided_facts = None
        self.decided_at = 0.0
        self.live_moves = set()
        self.calls_refreshed_at = 0.0
        self.topology_refreshed_at = 0.0
        self.topology_inputs = (None,)

    def _build_dispatcher(self):
        return Dispatcher(
            self.settings.node_id,
            self.clock,
            self.random,
            self.settings.calls.max_answer_bytes,
            self.settings.calls.balancer,
            self.settings.calls.max_buffered_bytes,
        )

    @property
    def facts(self):
        """Return the current facts."""
        return self.blackboard.facts

    @property
    def knowledge(self):
        """Return the state that nodes replicate."""
        return self.blackboard.facts.knowledge

    def is_newer_rejected(self):
        """Return whether a newer version than the one held was rejected."""
        return self.knowledge.rejection is not None

    def digests(self):
        """Return the digests of the node's knowledge."""
        digests = self.knowledge.digests(self.settings.node_id)
        first = self.dependencies.platform.histories.first
        return replace(digests, first_history=first)

    def hear_digests(self, other):
        """Learn of the store's histories from another node's Digests."""
        self.dependencies.platform.histories.hear_first(other.first_history)

    def address_of(self, node_id):
        """Return another node's peer address.

        :raises PoplarrackError: PEER_UNAVAILABLE without a record of the node.
        """
        member = self.knowledge.members.members.get(node_id)
        if member is None:
            raise PoplarrackError(
                ErrorKind.PEER_UNAVAILABLE,
                f'no member record of node {node_id}',
            )
        return member.peer_address

    # Control loop.

    def tick(self):
        """Run every controller and execute its decisions.

        On the facts that it decided on last, with no move that must be
        braked in time, a node waits a little before it decides again.
        """
        now = self.clock()
        self._excuse_gap(now)
        self._refresh(now)
        facts = self.facts
        if (
            facts is self.decided_facts
            and not self.live_moves
            and now - self.decided_at < IDLE_DECISION_INTERVAL_SECONDS
        ):
            return
        self.decided_facts, self.decided_at = facts, now
        for name, decide in CONTROLLERS.items():
            for decision in _decide_safely(name, decide, facts, now):
                self.last_decisions[name] = (now, decision)
                self.execute(decision)

    def _excuse_gap(self, now):
        """Count no time for silence of the server in which the node stood.

        Announcements that came meanwhile wait to be read.
        """
        stood_seconds = now - self.ticked_at - MAX_TICK_GAP_SECONDS
        self.ticked_at = now
        facts = self.facts
        if stood_seconds > 0 and facts.own.endpoint is not None:
            # One that came meanwhile may have been read already.
            announced_at = min(now, facts.announced_at + stood_seconds)
            self.blackboard.write('membership', announced_at=announced_at)

    def _refresh(self, now):
        """Update the facts that the node derives from its own state."""
        if now - self.calls_refreshed_at >= CALLS_REFRESH_INTERVAL_SECONDS:
            self.calls_refreshed_at = now
            self._refresh_calls(now)
        if (
            now - self.topology_refreshed_at
            >= TOPOLOGY_REFRESH_INTERVAL_SECONDS
        ):
            self.topology_refreshed_at = now
            self._refresh_topology()
        self._refresh_suspected(now)

    def _refresh_suspected(self, now):
        held = self.facts.suspected
        suspected = {
            node_id: held.get(node_id, now)
            for node_id in self.knowledge.members.suspects
        }
        if suspected != held:
            self.blackboard.write('membership', suspected=suspected)

    def _refresh_calls(self, now):
        live = {
            move.move_id
            for move in self.knowledge.configuration.moves.values()
            if is_live(move, now)
        }
        self.live_moves = live
        cells = self.dispatcher.evidence.cells(live, now)
        in_flight_calls = tuple(
            InFlightCalls(service, version, float(number))
            for (service, version), number in self.dispatcher.busy().items()
        )
        facts = self.facts
        if (cells, in_flight_calls) != (facts.cells, facts.in_flight_calls):
            self.blackboard.write(
                'calls', cells=cells, in_flight_calls=in_flight_calls
            )

    def execute(self, decision):
        """Start a decision's executor unless the same one is still running."""
        key = _decision_key(decision)
        if key in self.executing:
            return
        self.executing.add(key)
        self.start_task(self._execute_safely(decision, key))

    async def _execute_safely(self, decision, key):
        try:
            await EXECUTORS[type(decision)](self, decision)
        except PoplarrackError as error:
            logger.info(
                'decision_failed',
                extra={
                    'decision': type(decision).__name__,
                    'kind': error.kind.value,
                    'detail': error.detail,
                },
            )
        finally:
            self.executing.discard(key)

    def start_task(self, coroutine):
        """Run a coroutine as a task and reference it until it ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def write_sent(self, **changes):
        """Record what was sent."""
        sent = replace(self.facts.sent, **changes)
        self.blackboard.write('node', sent=sent)

    def write_lifecycle(self, **changes):
        """Record a change of the lifecycle."""
        lifecycle = replace(self.facts.lifecycle, **changes)
        self.blackboard.write('node', lifecycle=lifecycle)

    # Platform.

    def on_snapshot(self, snapshot, read_at=0):
        """Apply a snapshot read from the platform and spread the delta.

        :param read_at: the store's revision if it was read as a whole.
        """
        before = self.knowledge
        knowledge = apply_snapshot(before, snapshot, read_at)
        if knowledge.rejection and knowledge.rejection != before.rejection:
            self._log_rejection(knowledge.rejection)
        if knowledge.configuration is before.configuration:
            self.blackboard.write('merging', knowledge=knowledge)
            return
        target = knowledge.configuration.snapshot
        base = before.configuration.snapshot
        self.history.add(target)
        delta = self.history.delta_from(base.revision, base.digest, target)
        self.apply_knowledge(knowledge)
        self.spreader.spread(Updates(self.settings.node_id, delta), '')

    def _log_rejection(self, rejection):
        logger.error(
            'version_rejected',
            extra={
                'revision': rejection.revision,
                'reasons': rejection.reasons,
            },
        )

    def record_platform_call(self, succeeded, detail):
        """Record the result of a platform call; log a change of reachability.

        :param succeeded: whether the platform answered.
        :param detail: the failure in words, empty on success.
        """
        now = self.clock()
        state = self.facts.platform
        failing_since = 0.0 if succeeded else (state.failing_since or now)
        if bool(failing_since) != bool(state.failing_since):
            event = 'platform_regained' if succeeded else 'platform_lost'
            logger.info(event, extra={'detail': detail})
        state = replace(
            state,
            heard_at=now if succeeded else state.heard_at,
            failing_since=failing_since,
            calls=self.dependencies.platform.calls,
            history=self.dependencies.platform.histories.newest,
            detail=detail,
        )
        self.blackboard.write('platform', platform=state)

    # Peers.

    async def call(self, node_id, method, message):
        """Call a peer by node id and record whether it answered.

        :raises PoplarrackError: PEER_UNAVAILABLE without an answer.
        """
        address = self.address_of(node_id)
        try:
            answer = await self.dependencies.peers.call(
                address, method, message
            )
        except PoplarrackError as error:
            if error.kind is ErrorKind.PEER_UNAVAILABLE:
                self.record_contact(node_id, False)
            raise
        self.record_contact(node_id, True)
        return answer

    def record_contact(self, node_id, answered):
        """Record whether a node answered; drop contacts of absent nodes."""
        now = self.clock()
        contacts = self.facts.contacts
        held = contacts.get(node_id, Contact())
        if answered:
            contact = Contact(answered_at=now)
        else:
            contact = record_failure(held, now)
        members = self.knowledge.members.members
        kept = {
            other: item
            for other, item in contacts.items()
            if other in members and members[other].present
        }
        self.blackboard.write('peers', contacts={**kept, node_id: contact})

    def record_beat(self, node_id):
        """Record that a node runs and reaches this one, if it is its source.

        Each comparison that the source begins is such a beat.
        """
        if node_id == self.facts.topology.source:
            self.blackboard.write('peers', source_heard_at=self.clock())

    # Merging and dissemination.

    def check_content(self, other):
        """Read the store again if a node has other content of this revision.

        Neither node can tell whose content is right. Each reads once.

        :param other: the other node's Digests.
        """
        self.hear_digests(other)
        own, now = self.digests(), self.clock()
        differs = (
            other.revision == own.revision
            and other.configuration != own.configuration
        )
        content = (own.revision, own.configuration)
        if (
            not differs
            or content == self.checked_content
            or now < self.check_at
        ):
            return
        self.check_at = now + CHECK_INTERVAL_SECONDS
        logger.error(
            'configuration_mismatch',
            extra={
                'revision': own.revision,
                'digest': f'{own.configuration:016x}',
                'peer': other.node_id,
                'peer_digest': f'{other.configuration:016x}',
            },
        )
        self.execute(CheckContent(*content))

    def merge_updates(self, updates, sender=''):
        """Merge updates and spread what they changed.

        :param sender: node id of the peer that sent them, to which they need
            not be sent back.
        :returns: whether the updates' delta was stale.
        """
        before = self.knowledge
        result = merge_updates(before, updates)
        if result.applied:
            self.history.add(result.knowledge.configuration.snapshot)
        if not result.changes.empty:
            self.apply_knowledge(result.knowledge)
        elif result.knowledge.rejection is not before.rejection:
            self._log_rejection(result.knowledge.rejection)
            self.blackboard.write('merging', knowledge=result.knowledge)
        self._refute_if_suspected()
        self._recall_departure()
        if not result.changes.empty:
            self.spreader.spread(result.changes, sender)
        return result.stale

    def _refute_if_suspected(self):
        refutation = refute(self.facts.own, self.knowledge.members)
        if refutation is not None:
            logger.info('accusation_refuted')
            self.update_own(refutation)

    def _recall_departure(self):
        """Take over a departure that other nodes hold for this one."""
        own = self.facts.own
        held = self.knowledge.members.members.get(own.node_id)
        if held is not None and held.departure != own.departure:
            self.record_departure(held.departure)
            self.on_departure(held.departure)

    def record_departure(self, departure):
        """Add the local backend server's Departure to the own record."""
        own = self.facts.own
        latest = latest_departure(own.departure, departure)
        if latest != own.departure:
            sequence = own.sequence + 1
            self.update_own(replace(own, sequence=sequence, departure=latest))

    def update_own(self, own):
        """Replace the own record and spread it."""
        self.blackboard.write('membership', own=own)
        self.merge_updates(Updates(own.node_id, None, (own,)))

    def apply_knowledge(self, knowledge):
        """Replace the knowledge and rebuild what is derived from it.

        Topology and routing table follow at once for a new configuration or
        verdict, and after a short delay where only members changed.
        """
        before = self.knowledge
        knowledge = prune_verdicts(knowledge)
        self.blackboard.write('merging', knowledge=knowledge)
        only_members = (
            knowledge.configuration is before.configuration
            and knowledge.verdicts is before.verdicts
        )
        if only_members and self.facts.topology.roots:
            self._schedule_rebuild()
        else:
            self._rebuild()
        if knowledge.configuration is not before.configuration:
            revision = knowledge.configuration.revision
            logger.info(
                'version_applied',
                extra={
                    'revision': revision,
                    'history': history_of(revision),
                },
            )
            _log_return(before.configuration, knowledge.configuration)
            _log_evacuations(before.configuration, knowledge.configuration)

    def _schedule_rebuild(self):
        """Batch member changes: many come at once, and a rebuild is costly."""
        if self.pending_rebuild is None:
            self.pending_rebuild = asyncio.get_running_loop().call_later(
                REBUILD_DELAY_SECONDS, self._rebuild
            )

    def _rebuild(self):
        """Derive the topology and the routing table from the knowledge."""
        if self.pending_rebuild is not None:
            self.pending_rebuild.cancel()
            self.pending_rebuild = None
        self._refresh_topology()
        self.dispatcher.rebuild_table(
            self.locality, self.knowledge, self.clock()
        )

    def _refresh_topology(self):
        """Derive the topology again if its inputs changed."""
        facts = self.facts
        unreachable = find_unreachable_nodes(facts, self.clock())
        region = self._platform_region()
        inputs = (
            facts.knowledge.members.presence,
            facts.own.incarnation,
            unreachable,
            region,
        )
        if inputs == self.topology_inputs:
            return
        self.topology_inputs = inputs
        topology = derive_topology(
            facts.own, facts.knowledge.members, region, unreachable
        )
        if topology != facts.topology:
            self.blackboard.write('merging', topology=topology)

    def _platform_region(self):
        """Return the platform's region, as configured or measured."""
        configured = self.settings.platform.region
        if configured:
            return configured
        near = (
            self.dependencies.platform.min_round_trip_seconds
            < MAX_REGION_ROUND_TRIP_SECONDS
        )
        return self.settings.region if near else REMOTE_REGION

    # Local backend server.

    def announce(self, endpoint):
        """Record the announcement of the local backend server.

        One that restarted gets a new time of announcement.
        """
        facts = self.facts
        self.blackboard.write('membership', announced_at=self.clock())
        held = facts.own.endpoint
        if held is not None and same_start(held, endpoint):
            endpoint = replace(endpoint, announced_at=held.announced_at)
        if endpoint == held or facts.lifecycle.draining:
            return
        logger.info(
            'backend_server_announced',
            extra={'service': endpoint.service, 'version': endpoint.version},
        )
        sequence = facts.own.sequence + 1
        self.update_own(
            replace(facts.own, sequence=sequence, endpoint=endpoint)
        )

    def forget_endpoint(self):
        """Remove the local endpoint from the own record."""
        own = self.facts.own
        logger.warning('backend_server_silent')
        self.update_own(replace(own, sequence=own.sequence + 1, endpoint=None))

    def leave(self):
        """Announce that the node and its backend server leave."""
        self.write_lifecycle(draining=True)
        own = self.facts.own
        self.update_own(
            replace(own, sequence=own.sequence + 1, state=MemberState.LEFT)
        )
        if self.fetcher is not None:
            self.fetcher.stop()

    @property
    def ready(self):
        """Return whether the node can carry calls.

        It must have joined, know routes and not be draining.
        """
        lifecycle = self.facts.lifecycle
        has_routes = bool(self.knowledge.configuration.routes)
        return lifecycle.joined and has_routes and not lifecycle.draining


def _log_return(before, after):
    """Log that the store had returned from an older copy, and what is kept."""
    if not before.revision or (
        history_of(before.revision) == history_of(after.revision)
    ):
        return
    logger.warning(
        'store_history_changed',
        extra={
            'before': describe_revision(before.revision),
            'after': describe_revision(after.revision),
            'generation': after.snapshot.generation,
            'moves_kept': sorted(
                service
                for service, move in after.moves.items()
                if move.outdated
            ),
        },
    )


def _log_evacuations(before, after):
    """Log a change of which zones are evacuated."""
    if before.evacuated_zones != after.evacuated_zones:
        zones = sorted(after.evacuated_zones)
        logger.warning('evacuated_zones_changed', extra={'zones': zones})


def _decide_safely(name, decide, facts, now):
    """Return a controller's decisions; none if it has a defect.

    The other controllers and the calls of the node go on without it.
    """
    try:
        return list(decide(facts, now))
    except Exception:
        logger.exception('controller_failed', extra={'controller': name})
        return []


def _decision_key(decision):
    """Return a key that is equal for decisions on the same target."""
    target = getattr(decision, 'node_id', None)
    target = target or getattr(decision, 'path', None)
    return (type(decision), target or getattr(decision, 'target', None))
