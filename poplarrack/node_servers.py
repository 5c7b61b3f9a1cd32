"""Run a node as a process: listen, run the control loop, serve, drain."""

import asyncio
import logging
from random import Random
import signal
import time

from poplarrack.addresses import split_address
from poplarrack.announcements import decode_announcement
from poplarrack.callers import CallServer
from poplarrack.clocks import pause
from poplarrack.dumps import dump_node
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.fetchers import build_fetcher
from poplarrack.joiners import follow_while_leaving
from poplarrack.joiners import join
from poplarrack.metrics import build_metrics_page
from poplarrack.nodes import Node
from poplarrack.nodes import NodeDependencies
from poplarrack.nodes import TICK_SECONDS
from poplarrack.page_servers import PageServer
from poplarrack.pages import json_page
from poplarrack.peer_handlers import bind_handlers
from poplarrack.peers import PeerClient
from poplarrack.peers import PeerServer
from poplarrack.platforms import PlatformClient
from poplarrack.traffic import PeerTraffic

logger = logging.getLogger(__name__)

CONNECTION_EXPIRY_INTERVAL_SECONDS = 1.0
CLOSE_GRACE_SECONDS = 0.2


class NodeServer:
    """The process around a node."""

    def __init__(self, settings):
        self.settings = settings
        self.traffic = PeerTraffic()
        self.peers = PeerClient(
            self.traffic, settings.peers.call_timeout_seconds
        )
        self.platform = PlatformClient(settings.platform.addresses)
        dependencies = NodeDependencies(
            self.peers,
            self.platform,
            asyncio.to_thread,
            self._build_fetcher,
            time.time,
            Random(),
        )
        self.node = Node(settings, dependencies)
        self.peer_server = PeerServer(self.traffic, bind_handlers(self.node))
        self.call_server = CallServer(self.node.dispatcher, time.monotonic)
        self.call_server.knows_limits = False
        self.node.dispatcher.on_limits = self._apply_limits
        self.page_servers = []
        self.loop = None
        self.stopping = None
        self.expiry_checked_at = 0.0

    async def run(self):
        """Serve until SIGTERM or SIGINT, then drain.

        :raises PoplarrackError: INVALID_SETTINGS when an address cannot be
            bound.
        """
        self.loop = asyncio.get_running_loop()
        self.stopping = asyncio.Event()
        try:
            await self._listen()
        except OSError as error:
            await self._close()
            raise PoplarrackError(
                ErrorKind.INVALID_SETTINGS, f'cannot listen: {error}'
            ) from error
        self._handle_signals()
        self.node.update_own(self.node.facts.own)
        await join(self.node)
        logger.info('node_started')
        while not self.stopping.is_set():
            self._tick()
            await pause(self.stopping, TICK_SECONDS)
        await self._drain()

    def _handle_signals(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stopping.set)

    def _apply_limits(self, limits):
        self.call_server.limits = limits
        self.call_server.knows_limits = True

    def _tick(self):
        self.node.tick()
        now = self.loop.time()
        if now - self.expiry_checked_at >= CONNECTION_EXPIRY_INTERVAL_SECONDS:
            self.expiry_checked_at = now
            self.call_server.expire(time.monotonic())
            self.node.dispatcher.close_idle(now)

    async def _listen(self):
        await self.peer_server.listen(self.settings.peer_address)
        await self.call_server.listen(
            self.loop, *split_address(self.settings.call_address)
        )
        operator_routes = {
            ('GET', '/dump'): lambda body: json_page(self.dump()),
            ('GET', '/metrics'): lambda body: build_metrics_page(self),
            ('GET', '/health'): lambda body: json_page({'healthy': True}),
            ('GET', '/ready'): lambda body: self._ready_page(),
        }
        announce_routes = {('POST', '/announce'): self._on_announcement}
        for address, routes in (
            (self.settings.operator_address, operator_routes),
            (self.settings.announce_address, announce_routes),
        ):
            server = PageServer(address, routes)
            self.page_servers.append(server)
            server.start()

    async def _drain(self):
        """Announce that the node leaves, finish its calls and close.

        Connections first stay open and then close after their next answer,
        so that none is closed between two calls of a caller.
        """
        logger.info('node_draining')
        self.node.leave()
        self.call_server.announce_drain()
        following = self.loop.create_task(follow_while_leaving(self.node))
        await asyncio.sleep(self.settings.calls.drain_seconds)
        await self.call_server.drain(self.loop)
        await self.call_server.wait_until_drained()
        following.cancel()
        await self._close()
        logger.info('node_stopped')

    async def _close(self):
        await self.peers.close()
        await self.peer_server.close(CLOSE_GRACE_SECONDS)
        for server in self.page_servers:
            server.stop()

    def _build_fetcher(self, node):
        return build_fetcher(self.platform, node, self.loop)

    def _on_announcement(self, body):
        endpoint = decode_announcement(body, self.node.clock())
        self.loop.call_soon_threadsafe(self.node.announce, endpoint)
        return json_page({'node': self.settings.node_id})

    def _ready_page(self):
        ready = self.node.ready
        revision = self.node.knowledge.configuration.revision
        page = {'ready': ready, 'revision': revision}
        return json_page(page, 200 if ready else 503)

    def dump(self):
        """Return the state dump for operators."""
        return dump_node(self.node, self.traffic)
