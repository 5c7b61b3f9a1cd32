"""Run a node as the sidecar of an endpoint.

Only its own machine can reach the endpoint directly; other nodes reach it
through this node's peer address. Callers and the local endpoint send requests
to the call address. A PlatformAdapter supplies what is specific to the
platform.
"""

import asyncio
from dataclasses import dataclass
from dataclasses import fields
from dataclasses import replace
import logging
from random import Random
import signal

from poplarrack.addresses import split_address
from poplarrack.blackboards import may_have_missed_a_version
from poplarrack.byte_budgets import ByteBudget
from poplarrack.callers import CallServer
from poplarrack.clocks import SteadyClock
from poplarrack.dumps import dump_node
from poplarrack.early_signals import take_signals
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.explanations import explain
from poplarrack.explanations import parse_question
from poplarrack.fetchers import build_fetcher
from poplarrack.header_names import HeaderNames
from poplarrack.http_messages import build_answer
from poplarrack.joiners import join
from poplarrack.limit_exchanges import LimitExchange
from poplarrack.link_gates import LinkGate
from poplarrack.local_endpoints import LocalEndpoint
from poplarrack.metrics import build_metrics_page
from poplarrack.nodes import MAX_TICK_GAP_SECONDS
from poplarrack.nodes import Node
from poplarrack.nodes import NodeDependencies
from poplarrack.nodes import TICK_SECONDS
from poplarrack.pages import json_page
from poplarrack.pages import Page
from poplarrack.peer_handlers import bind_handlers
from poplarrack.receivers import Receiver
from poplarrack.senders import Sender
from poplarrack.stream_servers import StreamServer
from poplarrack.streams import PeerStreams
from poplarrack.traffic import PeerTraffic

logger = logging.getLogger(__name__)

# How long new requests are still accepted after SIGTERM, until callers have
# learnt that this node is not ready.
DRAIN_ACCEPT_SECONDS = 2.5
# How long after that requests on open connections are taken whatever their
# deadline: the local endpoint makes calls for requests that it still runs.
LATE_CALL_SECONDS = 0.5
# Part of the grace period that is kept for closing connections.
CLOSE_MARGIN_SECONDS = 0.7
DRAIN_POLL_SECONDS = 0.05
CONNECTION_EXPIRY_INTERVAL_SECONDS = 1.0
SETTINGS_RELOAD_INTERVAL_SECONDS = 5.0
# Beside the addresses of the platform.
RELOADED_SETTINGS = frozenset(
    (
        'grace_seconds',
        'retry_budget_levels',
        'retry_budget_ratio',
        'retry_budget_slack',
        'retry_budget_window_seconds',
        'revoke_seconds',
        'service',
        'stale_keys',
    )
)


@dataclass(frozen=True)
class PlatformAdapter:
    """What a platform supplies to a node.

    ``platform`` has the methods of PlatformClient. ``serve_control`` and
    ``serve_ready`` take the server and an HttpRequest and return a Page, or a
    coroutine that returns it.
    ``load_settings`` reads the settings again.
    """

    header_names: HeaderNames
    platform: object
    serve_control: object
    serve_ready: object
    load_settings: object


class PageDispatcher:
    """Dispatches requests for pages."""

    def __init__(self, serve, counts):
        self.serve = serve
        self.counts = counts
        self.tasks = set()

    def start(self, request, respond):
        """Answer a request, at once unless its page takes time.

        :returns: the task that answers, or None.
        """
        page = self.serve(request)
        if not isinstance(page, Page):
            task = asyncio.ensure_future(self._answer(page, request, respond))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            return task
        self._respond(page, request, respond)
        return None

    def may_overlap(self, request):
        """Return False: the endpoint's messages are handled in their order."""
        return False

    def cancel(self, task):
        """Let a page be built to its end, though its caller is gone."""

    async def _answer(self, building, request, respond):
        self._respond(await building, request, respond)

    def _respond(self, page, request, respond):
        headers = [(b'content-type', page.content_type.encode())]
        raw = build_answer(page.status, headers, page.body, request.keep_alive)
        respond(raw, request.keep_alive)


def compare_settings(before, after):
    """Return the names of the settings that differ.

    :returns: all of them, and those that are followed by a restart only.
    """
    changed, needs_restart = [], []
    for item in fields(after):
        old, new = getattr(before, item.name), getattr(after, item.name)
        if old == new:
            continue
        changed.append(item.name)
        if item.name == 'platform':
            old = replace(old, addresses=new.addresses)
        if old != new and item.name not in RELOADED_SETTINGS:
            needs_restart.append(item.name)
    return changed, needs_restart


class SidecarServer:
    """A node with its servers, its Sender and its Receiver.

    :param settings: the SidecarSettings.
    :param adapter: the PlatformAdapter.
    """

    def __init__(self, settings, adapter):
        self.settings = settings
        self.adapter = adapter
        self.clock = SteadyClock()
        self.traffic = PeerTraffic()
        self.budget = ByteBudget(settings.calls.max_buffered_bytes)
        self.streams = PeerStreams(
            self.traffic, settings.peers.call_timeout_seconds, self.budget
        )
        self.platform = adapter.platform
        self.receiver = Receiver(
            adapter.header_names,
            self.clock,
            settings.calls.max_answer_bytes,
            self.budget,
            settings.calls.learns_room,
        )
        self.sender = Sender(
            settings,
            adapter.header_names,
            self.receiver,
            self.streams,
            self.clock,
            Random(),
        )
        if settings.link_megabits_per_second:
            self.receiver.link_gate = LinkGate(
                settings.link_megabits_per_second
            )
        self.receiver.load_reports = self.sender.load_reports
        self.streams.on_unresponsive = self.sender.destinations.avoid_node
        dependencies = NodeDependencies(
            self.streams,
            adapter.platform,
            asyncio.to_thread,
            self._build_fetcher,
            self.clock,
            Random(),
            lambda: self.sender,
        )
        self.node = Node(settings, dependencies)
        self.limit_exchange = LimitExchange(self.node, self.sender.call_limits)
        self.sender.may_be_behind = self._may_be_behind
        self.stream_server = StreamServer(
            self.traffic, self.receiver, bind_handlers(self.node), self.budget
        )
        self.call_server = CallServer(
            self.sender,
            self.clock,
            settings.max_connections,
            self.budget,
            adapter.header_names.request_id,
        )
        self.call_server.knows_limits = False
        self.sender.on_limits = self._apply_limits
        self.page_servers = []
        self.local_endpoint = LocalEndpoint(self)
        self.loop = None
        self.stopping = None
        self.ticked_at = self.clock()
        self.skipped_tick = False
        self.expiry_checked_at = 0.0
        self.settings_read_at = 0.0

    def _may_be_behind(self, now):
        return may_have_missed_a_version(
            self.node.facts, self.settings.revoke_seconds, now
        )

    async def run(self):
        """Serve until a signal asks to stop, then drain."""
        self.loop = asyncio.get_running_loop()
        self.stopping = asyncio.Event()
        self._handle_signals()
        if self.stopping.is_set():
            logger.info('node_stopped')
            return
        await self._listen()
        self.node.update_own(self.node.facts.own)
        join_task = self.loop.create_task(join(self.node))
        recall_task = self.loop.create_task(
            self.local_endpoint.recall(join_task)
        )
        logger.info('node_started', extra={'node': self.settings.node_id})
        while not self.stopping.is_set():
            self._tick()
            # Cheaper than a wait for the event with a timeout; a signal is
            # noticed at the next tick.
            await asyncio.sleep(TICK_SECONDS)
        join_task.cancel()
        recall_task.cancel()
        await self._drain()

    def _handle_signals(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stopping.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        arrived = set(take_signals())
        if signal.SIGHUP in arrived:
            self.reload()
        if arrived & {signal.SIGTERM, signal.SIGINT}:
            self.stopping.set()

    def reload(self):
        """Read the settings again; an invalid file changes nothing."""
        try:
            settings = self.adapter.load_settings()
        except PoplarrackError as error:
            logger.error('settings_rejected', extra={'detail': error.detail})
            return
        if settings == self.settings:
            return
        changed, needs_restart = compare_settings(self.settings, settings)
        self.settings = settings
        self.sender.settings = settings
        self.platform.addresses = settings.platform.addresses
        logger.info(
            'settings_reloaded',
            extra={'changed': changed, 'needs_restart': needs_restart},
        )

    def _tick(self):
        now = self.clock()
        last, self.ticked_at = self.ticked_at, now
        if now - last > MAX_TICK_GAP_SECONDS and not self.skipped_tick:
            # What others sent meanwhile is read first.
            self.skipped_tick = True
            return
        self.skipped_tick = False
        self.node.tick()
        self.streams.check_liveness(self.loop.time())
        self.limit_exchange.tick(now)
        self.call_server.end_abandoned()
        if now - self.expiry_checked_at >= CONNECTION_EXPIRY_INTERVAL_SECONDS:
            self.expiry_checked_at = now
            self._expire(now)
        if now - self.settings_read_at >= SETTINGS_RELOAD_INTERVAL_SECONDS:
            # The file may also change without a SIGHUP.
            self.settings_read_at = now
            self.reload()

    def _apply_limits(self, limits):
        self.call_server.limits = limits
        self.call_server.knows_limits = True
        self.receiver.stalled_seconds = limits.idle_timeout_seconds

    def _expire(self, now):
        self.call_server.expire(now)
        self.receiver.share_fairly(bool(self.sender.table.organisations))
        self.receiver.close_idle(self.loop.time())
        self.sender.returning_calls.expire(now)
        members = self.node.knowledge.members.members.values()
        self.streams.keep_only(member.peer_address for member in members)

    async def _listen(self):
        settings = self.settings
        try:
            await self.stream_server.listen(settings.peer_address)
            await self._listen_pages(
                settings.announce_address, self.adapter.serve_control
            )
            await self._listen_pages(
                settings.operator_address, self.adapter.serve_ready
            )
            await self._listen_pages(settings.metrics_address, _serve_state)
            await self.call_server.listen(
                self.loop, *split_address(settings.call_address)
            )
        except OSError as error:
            raise PoplarrackError(
                ErrorKind.INVALID_SETTINGS, f'cannot listen: {error}'
            ) from error

    async def _listen_pages(self, address, serve):
        dispatcher = PageDispatcher(
            lambda request: serve(self, request), self.sender.counts
        )
        server = CallServer(dispatcher, self.clock, budget=self.budget)
        await server.listen(self.loop, *split_address(address))
        self.page_servers.append(server)

    # Shutdown.

    async def _drain(self):
        """Announce that the node leaves, finish its requests and close.

        New requests are still served for a while, since callers learn with
        a delay that this node is not ready. Later ones, on connections that
        are still open, are served only if they end before the node does.
        """
        logger.info('node_draining')
        end = self.clock() + self.settings.grace_seconds - CLOSE_MARGIN_SECONDS
        self.node.leave()
        self.call_server.announce_drain()
        await self._wait_until(
            lambda: False, self.clock() + DRAIN_ACCEPT_SECONDS
        )
        self.receiver.refuses_new_requests = True
        await self.call_server.drain(self.loop)
        await self._wait_until(
            self._drained, min(end, self.clock() + LATE_CALL_SECONDS)
        )
        self.sender.closes_at = end
        await self._wait_until(self._drained, end)
        self.receiver.refuse_waiting('stopping')
        # Calls of this node that waited there are answered first.
        await asyncio.sleep(0)
        self.sender.give_up_calls()
        await self._close()
        logger.info('node_stopped')

    def _drained(self):
        self.call_server.close_idle(self.clock())
        return self.call_server.drained and not self.receiver.in_flight

    async def _wait_until(self, condition, end):
        while not condition() and self.clock() < end:
            self.streams.check_liveness(self.loop.time())
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def _close(self):
        await self.streams.close()
        await self.stream_server.close()

    def _build_fetcher(self, node):
        return build_fetcher(self.platform, node, self.loop)


def _serve_state(server, request):
    """Return the metrics page or the state dump."""
    path = request.target.partition('?')[0]
    if path == '/metrics':
        return build_metrics_page(server)
    if path == '/dump':
        return json_page(dump_node(server.node, server.traffic))
    if path == '/explain':
        return _serve_explanation(server, request)
    return json_page({'error': f'no page {path}'}, 404)


def _serve_explanation(server, request):
    """Return where the request that a query tells of would go now."""
    try:
        question = parse_question(request.target.partition('?')[2])
    except PoplarrackError as error:
        return json_page({'error': str(error)}, error.answer.http_status)
    return json_page(explain(server.sender, question, server.clock()))
