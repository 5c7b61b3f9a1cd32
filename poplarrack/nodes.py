"""Hold a node's state: decide, merge what arrives, spread the news.

No sockets here: other nodes, the platform and the clock are given as
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
from poplarrack.detectors import find_unreachable_nodes
from poplarrack.detectors import record_failure
from poplarrack.dispatchers import Dispatcher
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.executors import EXECUTORS
from poplarrack.executors import SummaryLease
from poplarrack.knowledge import apply_snapshot
from poplarrack.knowledge import merge_updates
from poplarrack.knowledge import prune_verdicts
from poplarrack.members import Member
from poplarrack.members import MemberState
from poplarrack.members import refute
from poplarrack.members import same_start
from poplarrack.messages import InFlightCalls
from poplarrack.messages import Updates
from poplarrack.moves import is_live
from poplarrack.snapshots import SnapshotHistory
from poplarrack.spreaders import Spreader
from poplarrack.topologies import derive_topology
from poplarrack.topologies import REMOTE_REGION

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.1
CELLS_SECONDS = 0.5
TOPOLOGY_SECONDS = 1.0
REBUILD_DELAY_SECONDS = 0.05
# A store that answers sooner sits in this region: regions are tens of
# milliseconds apart, availability zones one.
NEAR_SECONDS = 0.03


@dataclass(frozen=True)
class NodeDependencies:
    """What a node reaches the world by.

    ``peers`` has ``call(address, method, message)``; ``platform`` the
    blocking methods of PlatformClient, run through ``run_blocking``;
    ``build_fetcher`` takes functions for snapshots and notes.
    ``build_dispatcher`` returns what carries calls, None for the
    Dispatcher that reaches backend servers itself.
    """

    peers: object
    platform: object
    run_blocking: Callable
    build_fetcher: Callable
    clock: Callable[[], float]
    random: Random
    build_dispatcher: Callable | None = None


class Node:
    """The state of the process in a backend server instance's slot."""

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
        self.summary_lease = SummaryLease()
        build = dependencies.build_dispatcher or self._build_dispatcher
        self.dispatcher = build()
        self.spreader = Spreader(self)
        self.rebuilding = None
        self.tasks = set()
        self.executing = set()
        self.last_decisions = {}
        self.cells_at = 0.0
        self.topology_at = 0.0
        self.topology_basis = (None,)

    def _build_dispatcher(self):
        return Dispatcher(
            self.settings.node_id,
            self.clock,
            self.random,
            self.settings.calls.max_answer_bytes,
            self.settings.calls.balancer,
        )

    @property
    def facts(self):
        """Return the present facts."""
        return self.blackboard.facts

    @property
    def knowledge(self):
        """Return what the node shares with others."""
        return self.blackboard.facts.knowledge

    def digests(self):
        """Return the digests of what the node holds."""
        return self.knowledge.digests(self.settings.node_id)

    def address_of(self, node_id):
        """Return another node's peer address.

        :raises PoplarrackError: PEER_UNAVAILABLE when it is not known.
        """
        member = self.knowledge.members.members.get(node_id)
        if member is None:
            raise PoplarrackError(
                ErrorKind.PEER_UNAVAILABLE, f'{node_id} is not known'
            )
        return member.peer_address

    # Deciding.

    def tick(self):
        """Run every controller and carry out what it decides."""
        now = self.clock()
        self._refresh(now)
        facts = self.facts
        for name, decide in CONTROLLERS.items():
            for decision in decide(facts, now):
                self.last_decisions[name] = (now, decision)
                self.execute(decision)

    def _refresh(self, now):
        """Update the facts that come from the node itself."""
        if now - self.cells_at >= CELLS_SECONDS:
            self.cells_at = now
            self._refresh_calls(now)
        if now - self.topology_at >= TOPOLOGY_SECONDS:
            self.topology_at = now
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
        cells = self.dispatcher.evidence.cells(live, now)
        in_flight_calls = tuple(
            InFlightCalls(service, version, float(number))
            for (service, version), number in self.dispatcher.busy().items()
        )
        self.blackboard.write(
            'calls', cells=cells, in_flight_calls=in_flight_calls
        )

    def execute(self, decision):
        """Carry out a decision unless its twin is under way."""
        key = _identity(decision)
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
        """Run a coroutine and keep it until it ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def write_sent(self, **changes):
        """Note what was sent."""
        sent = replace(self.facts.sent, **changes)
        self.blackboard.write('node', sent=sent)

    def write_lifecycle(self, **changes):
        """Note a step from start to end."""
        lifecycle = replace(self.facts.lifecycle, **changes)
        self.blackboard.write('node', lifecycle=lifecycle)

    # The platform's side.

    def on_snapshot(self, snapshot):
        """Take a snapshot that was read from the platform."""
        before = self.knowledge
        knowledge = apply_snapshot(before, snapshot)
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
        """Note how the platform answered."""
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
            detail=detail,
        )
        self.blackboard.write('platform', platform=state)

    # The peers' side.

    async def call(self, node_id, method, message):
        """Call a peer by id and note whether it answered."""
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
        """Note whether another node answered."""
        now = self.clock()
        contacts = self.facts.contacts
        held = contacts.get(node_id, Contact())
        if answered:
            changed = Contact(answered_at=now)
        else:
            changed = record_failure(held, now)
        present = self.knowledge.members.members
        kept = {
            other: contact
            for other, contact in contacts.items()
            if other in present and present[other].present
        }
        self.blackboard.write('peers', contacts={**kept, node_id: changed})

    # Merging and spreading.

    def merge_updates(self, updates, sender=''):
        """Merge updates and spread the news; return whether stale."""
        before = self.knowledge
        result = merge_updates(before, updates)
        if result.applied:
            self.history.add(result.knowledge.configuration.snapshot)
        if not result.changes.empty:
            self.apply_knowledge(result.knowledge)
        elif result.knowledge.rejection is not before.rejection:
            self._log_rejection(result.knowledge.rejection)
            self.blackboard.write('merging', knowledge=result.knowledge)
        self._refute_if_accused()
        if not result.changes.empty:
            self.spreader.spread(result.changes, sender)
        return result.stale

    def _refute_if_accused(self):
        raised = refute(self.facts.own, self.knowledge.members)
        if raised is not None:
            logger.info('accusation_refuted')
            self.update_own(raised)

    def update_own(self, own):
        """Take the own record's next state and spread it."""
        self.blackboard.write('membership', own=own)
        self.merge_updates(Updates(own.node_id, None, (own,)))

    def apply_knowledge(self, knowledge):
        """Take new knowledge: facts, place and the calls' table at once."""
        before = self.knowledge
        knowledge = prune_verdicts(knowledge)
        self.blackboard.write('merging', knowledge=knowledge)
        only_members = (
            knowledge.configuration is before.configuration
            and knowledge.verdicts is before.verdicts
        )
        if only_members and self.facts.topology.roots:
            self._rebuild_soon()
        else:
            self._rebuild()
        revision = knowledge.configuration.revision
        if revision != before.configuration.revision:
            logger.info('version_applied', extra={'revision': revision})

    def _rebuild_soon(self):
        """Gather changes of members: a herd's are many and each costs."""
        if self.rebuilding is None:
            self.rebuilding = asyncio.get_running_loop().call_later(
                REBUILD_DELAY_SECONDS, self._rebuild
            )

    def _rebuild(self):
        """Derive the place and the calls' table from what is held."""
        if self.rebuilding is not None:
            self.rebuilding.cancel()
            self.rebuilding = None
        self._refresh_topology()
        self.dispatcher.rebuild_table(
            self.locality, self.knowledge, self.clock()
        )

    def _refresh_topology(self):
        """Derive the place anew when what it rests on changed."""
        facts = self.facts
        silent = find_unreachable_nodes(facts, self.clock())
        region = self._platform_region()
        basis = (
            facts.knowledge.members,
            facts.own.incarnation,
            silent,
            region,
        )
        if basis[0] is self.topology_basis[0] and basis == self.topology_basis:
            return
        self.topology_basis = basis
        topology = derive_topology(
            facts.own, facts.knowledge.members, region, silent
        )
        if topology != facts.topology:
            self.blackboard.write('merging', topology=topology)

    def _platform_region(self):
        """Return where the store sits, as told or measured."""
        told = self.settings.platform.region
        if told:
            return told
        near = self.dependencies.platform.min_round_trip_seconds < NEAR_SECONDS
        return self.settings.region if near else REMOTE_REGION

    # The own backend server.

    def announce(self, endpoint):
        """Take what the own backend server says of itself."""
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
        """Take the own backend server out of use."""
        own = self.facts.own
        logger.warning('backend_server_silent')
        self.update_own(replace(own, sequence=own.sequence + 1, endpoint=None))

    def leave(self):
        """Tell the others that the node and its server leave."""
        self.write_lifecycle(draining=True)
        own = self.facts.own
        self.update_own(
            replace(own, sequence=own.sequence + 1, state=MemberState.LEFT)
        )
        if self.fetcher is not None:
            self.fetcher.stop()

    @property
    def ready(self):
        """Say whether calls can be carried by some version."""
        lifecycle = self.facts.lifecycle
        revision = self.knowledge.configuration.revision
        return lifecycle.joined and revision > 0 and not lifecycle.draining


def _identity(decision):
    """Return what makes two decisions the same piece of work."""
    target = getattr(decision, 'node_id', None)
    target = target or getattr(decision, 'path', None)
    return (type(decision), target or getattr(decision, 'target', None))
