"""Serve callers over HTTP/1.1 on the node's call address."""

import asyncio
from heapq import nsmallest
import socket

from poplarrack.byte_budgets import ByteBudget
from poplarrack.caller_connections import CallerConnection
from poplarrack.http_messages import CALL_HEADER
from poplarrack.resources import CallerLimits

MAX_CONNECTIONS = 4_096
LISTEN_BACKLOG = 1024
# Idle time after which a connection may be evicted for a new one.
MIN_EVICTION_IDLE_SECONDS = 0.5
# Connections evicted at a time, those idle the longest first.
EVICTION_BATCH = 64
# Connections of a kind that are looked at for that. Those with bytes that
# wait are read in the event loop's next turn.
MAX_EVICTION_POLLS = 4 * EVICTION_BATCH
DRAIN_IDLE_SECONDS = 1.0
DRAIN_POLL_SECONDS = 0.05
# How much later limits end a request in a drain, where they are checked at
# each poll. Before, they are checked once in this time.
DRAIN_EXPIRY_DELAY_SECONDS = 1.0


class CallServer:
    """Accepts callers' connections until it is drained.

    :param dispatcher: starts and cancels calls and tells which may overlap,
        such as a Dispatcher or Sender.
    :param clock: a function that returns monotonic seconds.
    :param max_connections: connections that are served at once.
    :param budget: the ByteBudget of the process.
    :param request_id_header: the name of the header by which log lines tell
        requests apart.
    """

    def __init__(
        self,
        dispatcher,
        clock,
        max_connections=MAX_CONNECTIONS,
        budget=None,
        request_id_header=CALL_HEADER,
    ):
        self.dispatcher = dispatcher
        self.budget = budget or ByteBudget()
        self.max_connections = max_connections
        self.clock = clock
        self.request_id_header = request_id_header
        self.limits = CallerLimits('callers')
        # Whether they are those of a configuration, not what holds before it.
        self.knows_limits = True
        self.connections = set()
        # Those that are not read from, whose end shows in no other way.
        self.paused = set()
        self.takes_uploads = getattr(dispatcher, 'takes_uploads', False)
        self.draining = False
        self.listener = None
        self.socket = None

    async def listen(self, loop, host, port):
        """Listen for callers.

        :returns: the port in use.
        """
        self.socket = socket.create_server(
            (host, port), backlog=LISTEN_BACKLOG
        )
        self.socket.setblocking(False)
        self.listener = await loop.create_server(
            self._build_connection, sock=self.socket.dup()
        )
        return self.socket.getsockname()[1]

    def _build_connection(self):
        return CallerConnection(self)

    @property
    def is_over_limit(self):
        """Return whether more connections are open than allowed."""
        return len(self.connections) > self.max_connections

    def evict_idle(self, now):
        """Make room for new connections.

        Those that have been idle the longest are evicted. If that is not
        enough, so are those whose unfinished request pauses the longest.
        """
        self._evict(
            (item for item in self.connections if not item.busy),
            lambda item: item.is_silent(now, MIN_EVICTION_IDLE_SECONDS),
        )
        if self.is_over_limit:
            self._evict(
                (item for item in self.connections if item.busy),
                lambda item: item.refuse_stalled(now),
            )

    def _evict(self, connections, may_evict):
        """Evict those of some connections that may be, the oldest first.

        :param may_evict: a function of a connection, which polls its socket.
        """
        oldest = nsmallest(
            MAX_EVICTION_POLLS, connections, key=lambda item: item.last_read
        )
        evicted = 0
        for connection in oldest:
            if evicted == EVICTION_BATCH:
                break
            if may_evict(connection):
                evicted += 1
                self.connections.discard(connection)
                connection.transport.close()

    def announce_drain(self):
        """Have each connection closed after all that was started on it."""
        self.draining = True
        self.dispatcher.draining = True

    async def drain(self, loop):
        """Stop listening, without cutting off calls.

        Connections that the kernel has accepted already are served, and open
        connections stay open for a request that may be on its way.

        :param loop: the running event loop.
        """
        self.announce_drain()
        self.listener.close()
        while True:
            try:
                accepted, _ = self.socket.accept()
            except BlockingIOError:
                break
            await loop.connect_accepted_socket(
                self._build_connection, accepted
            )
        self.socket.close()

    def close_idle(self, now):
        """Close connections that have been idle for ``DRAIN_IDLE_SECONDS``.

        So are those whose request or idle timeout has passed. Called while
        the server drains.
        """
        for connection in list(self.connections):
            if not connection.busy and connection.is_silent(
                now, DRAIN_IDLE_SECONDS
            ):
                connection.transport.close()
            else:
                connection.expire(now - DRAIN_EXPIRY_DELAY_SECONDS)

    @property
    def drained(self):
        """Return whether every connection is closed."""
        return not self.connections

    async def wait_until_drained(self):
        """Wait until every connection is closed, closing idle ones."""
        while not self.drained:
            self.close_idle(self.clock())
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def end_abandoned(self):
        """End the requests of callers that have left while not read from."""
        for connection in list(self.paused):
            if connection.has_left():
                connection.transport.abort()

    def expire(self, now):
        """Close connections whose request or idle timeout has passed."""
        for connection in list(self.connections):
            connection.expire(now)
