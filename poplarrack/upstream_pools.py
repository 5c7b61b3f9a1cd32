"""Pool keep-alive connections to backend servers."""

from asyncio import get_running_loop
from asyncio import timeout
import select

from poplarrack.addresses import split_destination
from poplarrack.byte_budgets import ByteBudget
from poplarrack.socket_states import poll_now
from poplarrack.upstream_exchanges import Exchange
from poplarrack.upstream_exchanges import Outcome
from poplarrack.upstreams import UpstreamConnection

# How long a server that sent bytes beyond an answer gets a connection of its
# own for each request, if its answers don't say to which one they belong.
DISTRUST_SECONDS = 60.0


class UpstreamPool:
    """A pool of connections to one backend server.

    The most recently used connection is reused first.

    :param address: IP number and port of the server.
    :param max_answer_bytes: bound on the size of an answer.
    :param connect_timeout_seconds: bound on the time to connect.
    :param budget: the ByteBudget of the process.
    """

    def __init__(
        self, address, max_answer_bytes, connect_timeout_seconds, budget=None
    ):
        self.address = address
        self.budget = budget or ByteBudget()
        self.host, self.port = split_destination(address)
        self.max_answer_bytes = max_answer_bytes
        self.connect_timeout_seconds = connect_timeout_seconds
        self.idle = []
        self.open = 0
        self.connect_tasks = set()
        self.distrusted_until = 0.0
        self.closed = False

    def start(
        self,
        request,
        bodiless,
        timeout_seconds,
        on_done,
        echo=None,
        mark=None,
        upload=None,
        on_begin=None,
    ):
        """Start an exchange.

        :param request: bytes of the whole request.
        :param bodiless: whether the answer has no body, as for HEAD.
        :param timeout_seconds: time until the exchange ends as TIMED_OUT.
        :param on_done: called once, with an Outcome and an HttpAnswer or None.
        :param echo: name and value of a header that the answer must have.
        :param mark: the Mark that the answer may bear.
        :param upload: the BodyPipe of a body that follows the request.
        :param on_begin: called with the HttpAnswer and the BodyPipe of a long
            answer, which it takes or not.
        :returns: the Exchange, to be passed to ``cancel``.
        """
        loop = get_running_loop()
        exchange = Exchange(
            self, request, bodiless, on_done, echo, mark, upload, on_begin
        )
        exchange.timer = loop.call_later(
            timeout_seconds, self._expire, exchange
        )
        self.close_idle(loop.time())
        if not self._try_send_on_idle(exchange):
            task = loop.create_task(self._connect(loop, exchange))
            self.connect_tasks.add(task)
            task.add_done_callback(self.connect_tasks.discard)
        return exchange

    def _try_send_on_idle(self, exchange):
        while self.idle:
            connection = self.idle.pop()
            if exchange.echo is None and poll_now(
                connection.transport, select.POLLIN
            ):
                # They would be taken for the answer.
                connection.close()
            elif connection.try_send(exchange):
                return True
        return False

    async def _connect(self, loop, exchange):
        self.open += 1
        connection = UpstreamConnection(self)
        try:
            connecting = loop.create_connection(
                lambda: connection, self.host, self.port
            )
            async with timeout(self.connect_timeout_seconds):
                await connecting
        except (OSError, TimeoutError, OverflowError, ValueError):
            # The last two are raised for a port or a host out of range.
            self.open -= 1
            exchange.finish(Outcome.NEVER_SENT)
            return
        if exchange.ended:
            self.release(connection)
        elif not connection.try_send(exchange):
            # Such as one beyond the server's limit, which it resets.
            exchange.finish(Outcome.NEVER_SENT)

    def release(self, connection):
        """Return a connection to the pool for the next exchange."""
        now = get_running_loop().time()
        if (
            self.closed
            or connection.transport.is_closing()
            or not self.may_reuse(now)
        ):
            connection.close()
            return
        connection.idle_since = now
        self.idle.append(connection)

    def distrust(self, now):
        """Use no connection again for a while.

        :param now: the event loop's time in seconds.
        """
        self.distrusted_until = now + DISTRUST_SECONDS
        for connection in list(self.idle):
            connection.close()

    def may_reuse(self, now):
        """Return whether a connection may carry another exchange."""
        return now >= self.distrusted_until

    def remove(self, connection):
        """Remove a closed connection from the pool."""
        if connection in self.idle:
            self.idle.remove(connection)
        if not connection.removed:
            connection.removed = True
            self.open -= 1

    def cancel(self, exchange, outcome=Outcome.CANCELLED):
        """End an exchange early and close its connection.

        An exchange that times out before it was sent ends as NEVER_SENT.
        """
        connection = exchange.connection
        if connection is None:
            exchange.finish(
                Outcome.NEVER_SENT if outcome is Outcome.TIMED_OUT else outcome
            )
            return
        if connection.exchange is exchange:
            connection.detach()
            connection.close()
        exchange.finish(outcome)

    def close_idle(self, now):
        """Close the connections whose idle timeout has passed."""
        for connection in list(self.idle):
            if now - connection.idle_since > connection.idle_seconds:
                connection.close()

    def close(self):
        """Close idle connections now and the others after their exchange."""
        self.closed = True
        for connection in list(self.idle):
            connection.close()

    def _expire(self, exchange):
        self.cancel(exchange, Outcome.TIMED_OUT)
