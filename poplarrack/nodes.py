"""Run a node: carry out what controllers decide, and answer peers."""

import asyncio
from dataclasses import replace
import logging
from random import Random
import signal
import time

from poplarrack.announcements import decode_announcement
from poplarrack.balancers import derive_candidates
from poplarrack.balancers import Place
from poplarrack.blackboards import Blackboard
from poplarrack.blackboards import ChildReport
from poplarrack.blackboards import Contact
from poplarrack.blackboards import Facts
from poplarrack.blackboards import Lifecycle
from poplarrack.callers import CallServer
from poplarrack.controllers import build_report
from poplarrack.controllers import CONTROLLERS
from poplarrack.controllers import summary_signature
from poplarrack.controllers import unreachable_zones
from poplarrack.decisions import Brake
from poplarrack.decisions import Compare
from poplarrack.decisions import ForgetEndpoint
from poplarrack.decisions import ProbeThrough
from poplarrack.decisions import Publish
from poplarrack.decisions import Rejoin
from poplarrack.decisions import SendReport
from poplarrack.decisions import Watch
from poplarrack.decisions import WriteMove
from poplarrack.decisions import WriteSummary
from poplarrack.dispatchers import CallTable
from poplarrack.dispatchers import Dispatcher
from poplarrack.dispatchers import ServedMove
from poplarrack.dumps import dump_facts
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.fetchers import Fetcher
from poplarrack.fetchers import HEAD_KEY
from poplarrack.fetchers import read_configuration
from poplarrack.knowledge import absorb
from poplarrack.knowledge import offer_snapshot
from poplarrack.knowledge import prune_verdicts
from poplarrack.members import Member
from poplarrack.members import MemberState
from poplarrack.members import refute
from poplarrack.messages import Busy
from poplarrack.messages import DigestsAnswer
from poplarrack.messages import ProbeAnswer
from poplarrack.messages import ProbeRequest
from poplarrack.messages import ReportAnswer
from poplarrack.messages import SyncRequest
from poplarrack.messages import Updates
from poplarrack.messages import UpdatesAnswer
from poplarrack.metrics import build_metrics_page
from poplarrack.moves import effective_share
from poplarrack.moves import is_live
from poplarrack.pages import json_page
from poplarrack.pages import PageServer
from poplarrack.peers import PeerClient
from poplarrack.peers import PeerServer
from poplarrack.peers import PeerTraffic
from poplarrack.platforms import CONFIGURATION_PREFIX
from poplarrack.platforms import PlatformClient
from poplarrack.platforms import ZONE_PREFIX
from poplarrack.resources import encode_resource
from poplarrack.routers import Router
from poplarrack.snapshots import SnapshotHistory
from poplarrack.stores import Compare as CompareKey
from poplarrack.stores import Operation
from poplarrack.summaries import decode_summary
from poplarrack.summaries import encode_summary
from poplarrack.topologies import derive_topology

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.1
CELLS_SECONDS = 0.5
HOUSEKEEPING_SECONDS = 1.0
SPREAD_DELAY_SECONDS = 0.01
JOIN_PEERS = 3
SUMMARY_TTL_SECONDS = 60

PERFORMERS = {}


def performs(decision_type):
    """Register the coroutine method that carries out a decision."""

    def register(method):
        PERFORMERS[decision_type] = method
        return method

    return register


class Node:
    """The process in a backend server instance's slot."""

    def __init__(self, settings, clock=time.time, random=None):
        self.settings = settings
        self.clock = clock
        self.random = random or Random()
        now = clock()
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
        self.place = Place(own.node_id, own.region, own.zone)
        self.history = SnapshotHistory()
        self.traffic = PeerTraffic()
        self.peers = PeerClient(
            self.traffic, settings.peers.call_timeout_seconds
        )
        self.peer_server = None
        self.platform = PlatformClient(settings.platform.addresses)
        self.fetcher = None
        self.summary_lease = 0
        self.dispatcher = Dispatcher(
            own.node_id,
            clock,
            self.random,
            settings.calls.max_answer_bytes,
            settings.calls.balancer,
        )
        self.call_server = CallServer(self.dispatcher, time.monotonic)
        self.pages = []
        self.known_digests = {}
        self.pending = Updates(own.node_id)
        self.pending_from = set()
        self.spreading = None
        self.tasks = set()
        self.performing = set()
        self.last_decisions = {}
        self.loop = None
        self.stopping = None
        self.cells_at = 0.0
        self.housekept_at = 0.0

    # Life of the process.

    async def run(self):
        """Serve until told to stop, then drain."""
        self.loop = asyncio.get_running_loop()
        self.stopping = asyncio.Event()
        try:
            await self._listen()
        except OSError as error:
            await self._close()
            raise PoplarrackError(
                ErrorKind.INVALID_SETTINGS, f'cannot listen: {error}'
            ) from error
        self._update_own(self.blackboard.facts.own)
        await self._join()
        logger.info('node_started')
        while not self.stopping.is_set():
            self.tick()
            await self._pause(TICK_SECONDS)
        await self._drain()

    def stop(self):
        """Ask the node to drain and end."""
        self.stopping.set()

    def handle_signals(self):
        """Drain on SIGTERM and SIGINT."""
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, self.stop)

    async def _pause(self, seconds):
        try:
            async with asyncio.timeout(seconds):
                await self.stopping.wait()
        except TimeoutError:
            return

    async def _listen(self):
        handlers = {
            'Compare': self._on_compare,
            'Sync': self._on_sync,
            'Push': self._on_push,
            'Probe': self._on_probe,
            'Gather': self._on_gather,
        }
        self.peer_server = PeerServer(self.traffic, handlers)
        await self.peer_server.listen(self.settings.peer_address)
        host, _, port = self.settings.call_address.rpartition(':')
        await self.call_server.listen(self.loop, host, int(port))
        operator_routes = {
            ('GET', '/dump'): lambda body: json_page(self.dump()),
            ('GET', '/metrics'): lambda body: build_metrics_page(self),
            ('GET', '/health'): lambda body: json_page({'healthy': True}),
            ('GET', '/ready'): lambda body: self._ready_page(),
        }
        announce_routes = {
            ('POST', '/announce'): self._on_announcement,
        }
        for address, routes in (
            (self.settings.operator_address, operator_routes),
            (self.settings.announce_address, announce_routes),
        ):
            server = PageServer(address, routes)
            self.pages.append(server)
            server.start()

    async def _drain(self):
        """Leave: tell the peers, finish what is in flight, end."""
        logger.info('node_draining')
        facts = self.blackboard.facts
        self.blackboard.write(
            'node', lifecycle=replace(facts.lifecycle, draining=True)
        )
        own = replace(
            facts.own,
            sequence=facts.own.sequence + 1,
            state=MemberState.LEFT,
        )
        self._update_own(own)
        if self.fetcher is not None:
            self.fetcher.stop()
        self.call_server.announce_drain()
        await asyncio.sleep(self.settings.calls.drain_seconds)
        self.call_server.drain()
        while not self.call_server.drained:
            await asyncio.sleep(TICK_SECONDS / 2)
        await self._close()
        logger.info('node_stopped')

    async def _close(self):
        await self.peers.close()
        if self.peer_server is not None:
            await self.peer_server.close(0.2)
        for server in self.pages:
            server.stop()

    # Joining.

    async def _join(self):
        """Take the greatest version that several peers hold.

        Without any peer the platform is read, once; a node that reaches
        neither serves nothing yet and goes on trying with each tick.
        """
        seeds = [
            seed
            for seed in self.settings.seeds
            if seed != self.settings.peer_address
        ]
        answered = await self._sync_with_some(seeds)
        if not answered:
            listed = await self._seeds_on_platform()
            answered = await self._sync_with_some(listed)
        revision = self.blackboard.facts.knowledge.configuration.revision
        if revision == 0 and not answered:
            await self._read_platform()
        lifecycle = self.blackboard.facts.lifecycle
        self.blackboard.write(
            'node', lifecycle=replace(lifecycle, joined=True)
        )
        logger.info('node_joined', extra={'peers_asked': answered})

    async def _sync_with_some(self, addresses):
        """Sync with peers at random until enough answered."""
        answered = 0
        shuffled = self.random.sample(addresses, len(addresses))
        for address in shuffled:
            try:
                await self._sync(address, None)
            except PoplarrackError:
                continue
            answered += 1
            if answered >= JOIN_PEERS:
                break
        return answered

    async def _seeds_on_platform(self):
        try:
            answer = await asyncio.to_thread(
                self.platform.read_prefix, ZONE_PREFIX
            )
        except PoplarrackError as error:
            logger.warning('seeds_unknown', extra={'detail': error.detail})
            return []
        summaries = [decode_summary(item.value) for item in answer.items]
        summaries.sort(key=lambda item: item.zone != self.settings.zone)
        own = self.settings.peer_address
        seeds = [seed for item in summaries for seed in item.seeds]
        return [seed for seed in seeds if seed != own][: JOIN_PEERS * 2]

    async def _read_platform(self):
        try:
            snapshot, _ = await asyncio.to_thread(
                read_configuration, self.platform
            )
        except PoplarrackError as error:
            self._note_platform(False, error.detail)
            return
        self._offer(snapshot)

    # Deciding.

    def tick(self):
        """Run every controller and carry out what it decides."""
        now = self.clock()
        self._refresh(now)
        facts = self.blackboard.facts
        for name, decide in CONTROLLERS.items():
            for decision in decide(facts, now):
                self.last_decisions[name] = (now, decision)
                self._perform(decision)

    def _refresh(self, now):
        """Update the facts that come from the node itself."""
        facts = self.blackboard.facts
        if now - self.cells_at >= CELLS_SECONDS:
            self.cells_at = now
            self._refresh_calls(facts, now)
        if now - self.housekept_at >= HOUSEKEEPING_SECONDS:
            self.housekept_at = now
            monotonic = time.monotonic()
            self.call_server.expire(monotonic)
            self.dispatcher.close_idle(self.loop.time())
            self._refresh_topology()
        suspected = {
            member.node_id: facts.suspected.get(member.node_id, now)
            for member in facts.knowledge.members.members.values()
            if member.state is MemberState.SUSPECT
        }
        if suspected != facts.suspected:
            self.blackboard.write('membership', suspected=suspected)

    def _refresh_calls(self, facts, now):
        live = {
            move.move_id
            for move in facts.knowledge.configuration.moves.values()
            if is_live(move, now)
        }
        cells = self.dispatcher.evidence.cells(live, now)
        busy = tuple(
            Busy(service, version, float(number))
            for (service, version), number in self.dispatcher.busy().items()
        )
        self.blackboard.write('calls', cells=cells, busy=busy)

    def _perform(self, decision):
        """Carry out a decision unless its twin is under way."""
        key = _identity(decision)
        if key in self.performing:
            return
        self.performing.add(key)
        task = self.loop.create_task(self._perform_safely(decision, key))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _perform_safely(self, decision, key):
        try:
            await PERFORMERS[type(decision)](self, decision)
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
            self.performing.discard(key)

    def _write_sent(self, **changes):
        sent = replace(self.blackboard.facts.sent, **changes)
        self.blackboard.write('node', sent=sent)

    @performs(Compare)
    async def _compare(self, decision):
        sent = self.blackboard.facts.sent
        self._write_sent(
            compared_at=self.clock(), compare_turn=sent.compare_turn + 1
        )
        address = self._address_of(decision.node_id)
        own = self._digests()
        answer = await self._call(decision.node_id, address, 'Compare', own)
        if _differs(own, answer.digests):
            await self._sync(address, answer, decision.node_id)

    @performs(ProbeThrough)
    async def _probe_through(self, decision):
        contact = self.blackboard.facts.contacts.get(decision.target)
        if contact is None:
            return
        request = ProbeRequest(self._address_of(decision.target))
        answered = False
        for helper in decision.helpers:
            try:
                answer = await self._call(
                    helper, self._address_of(helper), 'Probe', request
                )
            except PoplarrackError:
                continue
            answered = answered or answer.answered
        if answered:
            self._note_contact(decision.target, True)
            return
        contacts = dict(self.blackboard.facts.contacts)
        contacts[decision.target] = replace(contact, probed=True)
        self.blackboard.write('peers', contacts=contacts)

    @performs(Rejoin)
    async def _rejoin(self, decision):
        self._write_sent(rejoined_at=self.clock())
        if decision.ask_platform:
            # Nodes that start together must not call together.
            await asyncio.sleep(self.random.random())
        answered = await self._sync_with_some(list(decision.addresses))
        if not answered and decision.ask_platform:
            listed = await self._seeds_on_platform()
            await self._sync_with_some(listed)

    @performs(Publish)
    async def _publish(self, decision):
        self._absorb(Updates(self.settings.node_id, None, decision.members))

    @performs(SendReport)
    async def _send_report(self, decision):
        self._write_sent(
            report=decision.report,
            report_at=self.clock(),
            report_receivers=decision.receivers,
        )
        for receiver in decision.receivers:
            address = self._address_of(receiver)
            try:
                answer = await self._call(
                    receiver, address, 'Gather', decision.report
                )
            except PoplarrackError:
                # Forget that it was sent, so that it goes again soon.
                self._write_sent(report=None)
                continue
            own = self._digests()
            if answer.digests.revision > own.revision:
                await self._sync(address, DigestsAnswer(answer.digests))

    @performs(Brake)
    async def _brake(self, decision):
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
        self._absorb(Updates(self.settings.node_id, verdicts=(verdict,)))

    @performs(WriteMove)
    async def _write_move(self, decision):
        sent = dict(self.blackboard.facts.sent.moves)
        sent[decision.move.service] = self.clock()
        self._write_sent(moves=sent)
        compares, operations = move_transaction(decision)
        await asyncio.to_thread(self.platform.write, compares, operations)
        logger.info(
            'move_written',
            extra={
                'path': decision.path,
                'state': decision.move.state.value,
                'share': decision.move.share,
                'reason': decision.move.reason,
            },
        )

    @performs(WriteSummary)
    async def _write_summary(self, decision):
        summary = decision.summary
        facts = self.blackboard.facts
        report = build_report(facts, self.clock(), own_zone_only=True)
        self._write_sent(
            summary_at=self.clock(),
            summary_revision=summary_signature(facts, report),
        )
        await asyncio.to_thread(self._put_summary, summary)

    def _put_summary(self, summary):
        key = f'{ZONE_PREFIX}{summary.region}/{summary.zone}'
        lease = self.summary_lease
        if not lease or not self.platform.keep_lease(lease):
            lease = self.platform.grant_lease(SUMMARY_TTL_SECONDS)
            self.summary_lease = lease
        put = Operation(key, encode_summary(summary), lease)
        self.platform.put_unguarded(put)

    @performs(Watch)
    async def _watch(self, decision):
        platform = self.blackboard.facts.platform
        if decision.wanted:
            self.fetcher = Fetcher(
                self.platform,
                self._offer_from_thread,
                self._note_from_thread,
            )
            self.fetcher.start()
        elif self.fetcher is not None:
            self.fetcher.stop()
            self.fetcher = None
        changed = replace(platform, watching=decision.wanted)
        self.blackboard.write('platform', platform=changed)

    @performs(ForgetEndpoint)
    async def _forget_endpoint(self, decision):
        own = self.blackboard.facts.own
        logger.warning('backend_server_silent')
        self._update_own(
            replace(own, sequence=own.sequence + 1, endpoint=None)
        )

    # The platform's side.

    def _offer_from_thread(self, snapshot):
        self.loop.call_soon_threadsafe(self._offer, snapshot)

    def _note_from_thread(self, succeeded, detail):
        self.loop.call_soon_threadsafe(self._note_platform, succeeded, detail)

    def _offer(self, snapshot):
        before = self.blackboard.facts.knowledge
        knowledge = offer_snapshot(before, snapshot)
        if knowledge.rejection != before.rejection and knowledge.rejection:
            logger.error(
                'version_rejected',
                extra={
                    'revision': knowledge.rejection.revision,
                    'reasons': knowledge.rejection.reasons,
                },
            )
        if knowledge.configuration is before.configuration:
            self.blackboard.write('merging', knowledge=knowledge)
            return
        delta = self._delta_from(before.configuration.snapshot, knowledge)
        self._put_in_force(knowledge)
        self._spread(Updates(self.settings.node_id, delta), '')

    def _delta_from(self, base, knowledge):
        self.history.add(knowledge.configuration.snapshot)
        return self.history.delta_from(
            base.revision, base.digest, knowledge.configuration.snapshot
        )

    def _note_platform(self, succeeded, detail):
        now = self.clock()
        state = self.blackboard.facts.platform
        failing_since = 0.0 if succeeded else (state.failing_since or now)
        state = replace(
            state,
            heard_at=now if succeeded else state.heard_at,
            failing_since=failing_since,
            calls=self.platform.calls,
            detail=detail,
        )
        self.blackboard.write('platform', platform=state)

    def platform_calls(self):
        """Return how many calls the node made to the platform."""
        return self.platform.calls

    # The peers' side.

    def _digests(self):
        knowledge = self.blackboard.facts.knowledge
        return knowledge.digests(self.settings.node_id)

    def _address_of(self, node_id):
        member = self.blackboard.facts.knowledge.members.members.get(node_id)
        if member is None:
            raise PoplarrackError(
                ErrorKind.PEER_UNAVAILABLE, f'{node_id} is not known'
            )
        return member.peer_address

    async def _call(self, node_id, address, method, message):
        """Call a peer and note whether it answered."""
        try:
            answer = await self.peers.call(address, method, message)
        except PoplarrackError as error:
            if error.kind is ErrorKind.PEER_UNAVAILABLE:
                self._note_contact(node_id, False)
            raise
        self._note_contact(node_id, True)
        return answer

    def _note_contact(self, node_id, answered):
        now = self.clock()
        contacts = self.blackboard.facts.contacts
        held = contacts.get(node_id, Contact())
        if answered:
            changed = Contact(answered_at=now)
        else:
            changed = replace(held, failing_since=held.failing_since or now)
        present = self.blackboard.facts.knowledge.members.members
        kept = {
            other: contact
            for other, contact in contacts.items()
            if other in present and present[other].present
        }
        self.blackboard.write('peers', contacts={**kept, node_id: changed})

    async def _sync(self, address, answer, node_id=''):
        """Exchange what differs with the node at an address.

        :param answer: its DigestsAnswer, None to ask first.
        """
        own = self._digests()
        if answer is None:
            answer = await self.peers.call(address, 'Compare', own)
        knowledge = self.blackboard.facts.knowledge
        other = answer.digests
        differing = ()
        if answer.buckets:
            differing = knowledge.members.differing_buckets(answer.buckets)
        request = SyncRequest(
            own,
            differing,
            knowledge.members.in_buckets(differing),
            tuple(knowledge.verdicts.values())
            if other.verdicts != own.verdicts
            else (),
        )
        updates = await self.peers.call(address, 'Sync', request)
        self._absorb(updates, other.node_id)
        await self._push_if_behind(address, other)

    async def _push_if_behind(self, address, other):
        knowledge = self.blackboard.facts.knowledge
        if other.revision >= knowledge.configuration.revision:
            return
        delta = self.history.delta_from(
            other.revision,
            other.configuration,
            knowledge.configuration.snapshot,
        )
        updates = Updates(self.settings.node_id, delta)
        await self.peers.call(address, 'Push', updates)

    async def _on_compare(self, digests):
        own = self._digests()
        self.known_digests[digests.node_id] = digests
        buckets = ()
        if digests.members != own.members:
            buckets = self.blackboard.facts.knowledge.members.buckets
        return DigestsAnswer(own, buckets)

    async def _on_sync(self, request):
        knowledge = self.blackboard.facts.knowledge
        delta = None
        if request.digests.revision < knowledge.configuration.revision:
            delta = self.history.delta_from(
                request.digests.revision,
                request.digests.configuration,
                knowledge.configuration.snapshot,
            )
        verdicts = ()
        if request.digests.verdicts != self._digests().verdicts:
            verdicts = tuple(knowledge.verdicts.values())
        members = knowledge.members.in_buckets(request.buckets)
        self._absorb(
            Updates(
                request.digests.node_id,
                None,
                request.members,
                request.verdicts,
            ),
            request.digests.node_id,
        )
        return Updates(self.settings.node_id, delta, members, verdicts)

    async def _on_push(self, updates):
        stale = self._absorb(updates, updates.sender)
        return UpdatesAnswer(self._digests(), stale)

    async def _on_probe(self, request):
        try:
            await self.peers.call(request.target, 'Compare', self._digests())
        except PoplarrackError:
            return ProbeAnswer(False)
        return ProbeAnswer(True)

    async def _on_gather(self, report):
        reports = dict(self.blackboard.facts.reports)
        reports[report.node_id] = ChildReport(report, self.clock())
        self.blackboard.write('reports', reports=reports)
        return ReportAnswer(self._digests())

    # Merging and spreading.

    def _absorb(self, updates, sender=''):
        """Merge updates and spread the news; return whether stale."""
        before = self.blackboard.facts.knowledge
        result = absorb(before, updates)
        if result.applied:
            self.history.add(result.knowledge.configuration.snapshot)
        changed = result.knowledge is not before
        if changed and not (result.news.empty and not result.applied):
            self._put_in_force(result.knowledge)
        elif result.knowledge.rejection != before.rejection:
            self.blackboard.write('merging', knowledge=result.knowledge)
        self._refute_if_accused()
        if not result.news.empty:
            self._spread(result.news, sender)
        return result.stale

    def _refute_if_accused(self):
        facts = self.blackboard.facts
        raised = refute(facts.own, facts.knowledge.members)
        if raised is not None:
            logger.info('accusation_refuted')
            self._update_own(raised)

    def _update_own(self, own):
        """Take the own record's next state and spread it."""
        self.blackboard.write('membership', own=own)
        self._absorb(Updates(own.node_id, None, (own,)))

    def _put_in_force(self, knowledge):
        """Take new knowledge: facts, place and the calls' table at once."""
        before = self.blackboard.facts.knowledge
        knowledge = prune_verdicts(knowledge)
        self.blackboard.write('merging', knowledge=knowledge)
        if knowledge.members is not before.members:
            self._refresh_topology()
        self.dispatcher.put_in_force(self._build_table(knowledge))
        revision = knowledge.configuration.revision
        if revision != before.configuration.revision:
            logger.info('version_applied', extra={'revision': revision})

    def _refresh_topology(self):
        facts = self.blackboard.facts
        topology = derive_topology(
            facts.own,
            facts.knowledge.members,
            self.settings.platform.region,
            unreachable_zones(facts, self.clock()),
        )
        if topology != facts.topology:
            self.blackboard.write('merging', topology=topology)

    def _build_table(self, knowledge):
        now = self.clock()
        configuration = knowledge.configuration
        present = sum(
            member.present for member in knowledge.members.members.values()
        )
        moves = {
            service: ServedMove(
                move.move_id,
                move.from_version,
                move.to_version,
                effective_share(move, knowledge.verdicts),
                is_live(move, now),
            )
            for service, move in configuration.moves.items()
        }
        return CallTable(
            Router(configuration.routes),
            {
                name: service.version
                for name, service in configuration.services.items()
            },
            moves,
            derive_candidates(
                self.place,
                knowledge.members.members.values(),
                lambda service: present,
            ),
            {
                name: service.warm_up_seconds
                for name, service in configuration.services.items()
            },
        )

    def _spread(self, news, sender):
        """Send news on to the tree, gathered for a moment."""
        self.pending = Updates(
            self.settings.node_id,
            news.delta or self.pending.delta,
            (*self.pending.members, *news.members),
            (*self.pending.verdicts, *news.verdicts),
        )
        self.pending_from.add(sender)
        if self.loop is not None and self.spreading is None:
            self.spreading = self.loop.call_later(
                SPREAD_DELAY_SECONDS, self._spread_now
            )

    def _spread_now(self):
        self.spreading = None
        news, senders = self.pending, self.pending_from
        self.pending = Updates(self.settings.node_id)
        self.pending_from = set()
        # A lone sender knows the news; several may each lack a part.
        skipped = senders if len(senders) == 1 else ()
        for node_id in self.blackboard.facts.topology.next_hops():
            if node_id not in skipped:
                task = self.loop.create_task(self._push(node_id, news))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def _push(self, node_id, news):
        """Push news to a node; once more, fitted, when its base differs."""
        try:
            address = self._address_of(node_id)
            answer = await self._call(node_id, address, 'Push', news)
            if answer.stale:
                await self._push_if_behind(address, answer.digests)
        except PoplarrackError as error:
            logger.debug('push_failed', extra={'detail': error.detail})

    # Pages.

    def _on_announcement(self, body):
        announcement = decode_announcement(body, self.clock())
        self.loop.call_soon_threadsafe(self._announce, announcement)
        return json_page({'node': self.settings.node_id})

    def _announce(self, endpoint):
        now = self.clock()
        facts = self.blackboard.facts
        self.blackboard.write('membership', announced_at=now)
        held = facts.own.endpoint
        if facts.lifecycle.draining:
            return
        if held is not None and _same_server(held, endpoint):
            endpoint = replace(endpoint, announced_at=held.announced_at)
        if endpoint == held:
            return
        logger.info(
            'backend_server_announced',
            extra={'service': endpoint.service, 'version': endpoint.version},
        )
        own = replace(
            facts.own, sequence=facts.own.sequence + 1, endpoint=endpoint
        )
        self._update_own(own)

    def _ready_page(self):
        facts = self.blackboard.facts
        revision = facts.knowledge.configuration.revision
        ready = (
            facts.lifecycle.joined
            and revision > 0
            and not facts.lifecycle.draining
        )
        page = {'ready': ready, 'revision': revision}
        return json_page(page, 200 if ready else 503)

    def dump(self):
        """Return the whole state for operators."""
        return dump_facts(self)


def move_transaction(decision):
    """Return compares and operations that write a move's next record."""
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


def _identity(decision):
    """Return what makes two decisions the same piece of work."""
    target = getattr(decision, 'node_id', None)
    target = target or getattr(decision, 'path', None)
    return (type(decision), target or getattr(decision, 'target', None))


def _differs(own, other):
    return (
        own.revision != other.revision
        or own.members != other.members
        or own.verdicts != other.verdicts
    )


def _same_server(held, endpoint):
    return (held.address, held.version) == (endpoint.address, endpoint.version)
