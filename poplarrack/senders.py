"""Carry callers' requests to the nodes beside the endpoints.

The sending node routes a request, chooses an endpoint, offers the request
to that endpoint's node, and decides whether it may be offered again: what
may not be repeated goes on only while it is certain that it did not run.
"""

import asyncio
from collections import Counter

from poplarrack.carried_calls import Call
from poplarrack.carried_calls import log_end
from poplarrack.carried_calls import log_failure
from poplarrack.carried_calls import log_retry
from poplarrack.dialects import Dialect
from poplarrack.doors import AWAY_SECONDS
from poplarrack.doors import Doors
from poplarrack.draws import Draws
from poplarrack.errors import ANSWERS
from poplarrack.errors import ErrorKind
from poplarrack.errors import resolve_error_kind
from poplarrack.evidence import EvidenceCounter
from poplarrack.evidence import Side
from poplarrack.exchanges import RoutedRequest
from poplarrack.exchanges import Verdict
from poplarrack.histograms import Histogram
from poplarrack.http_messages import build_answer
from poplarrack.http_messages import build_error
from poplarrack.http_messages import connection_options
from poplarrack.http_messages import is_end_to_end
from poplarrack.placements import choose_door
from poplarrack.placements import choose_queue
from poplarrack.placements import Placement
from poplarrack.placements import Tier
from poplarrack.placements import Wish
from poplarrack.retries import RetryBudget
from poplarrack.routing_tables import derive_routing_table
from poplarrack.routing_tables import RoutingTable

# Nodes that one request is offered to at most, refusals included.
MAX_OFFERS = 8
# Asked of callers that found no room; the least that makes a difference.
RETRY_AFTER_SECONDS = 0.15
# Part of the platform's retry budget that is given out, since requests
# that endpoints repeat on their own count too.
BUDGET_PART = 0.5
# Retries that a node may spend in one go.
BUDGET_RESERVE = 3.0
DEADLINE_DIGITS = 9
# An answer to the caller is due so long before its deadline.
ANSWER_MARGIN_SECONDS = 0.002


class Sender:
    """Carries calls by the table in force.

    :param receiver: the Receiver of this node, for its own endpoint.
    :param streams: PeerStreams to the other nodes.
    :param clock: a function to steady seconds.
    """

    def __init__(self, settings, dialect, receiver, streams, clock, random):
        self.settings = settings
        self.dialect: Dialect = dialect
        self.receiver = receiver
        self.streams = streams
        self.clock = clock
        self.random = random
        self.table = RoutingTable()
        self.doors = Doors(clock)
        self.draws = Draws(random)
        self.evidence = EvidenceCounter()
        self.budgets = {}
        self.counts = Counter()
        self.latencies = Histogram()
        self.in_flight = 0
        self.draining = False

    def rebuild_table(self, locality, knowledge, now):
        """Take what the node holds as the table in force."""
        self.set_table(derive_routing_table(locality, knowledge, now))

    def set_table(self, table):
        """Take a new table; endpoints that stay keep what was seen."""
        self.doors.put(table.doors)
        self.table = table

    def start(self, request, respond):
        """Start a call; ``respond`` takes the answer's bytes once.

        :returns: the Call, which ``cancel`` takes.
        """
        now = self.clock()
        call = Call(request, respond, now)
        call.request_id = request.header(self.dialect.request_id) or b''
        self.in_flight += 1
        self.counts['calls'] += 1
        if not self._route(call, now):
            return call
        call.task = asyncio.get_running_loop().create_task(self._carry(call))
        return call

    def _route(self, call, now):
        request = call.request
        host = (request.header(b'host') or b'').decode('latin-1').lower()
        host = host.partition(':')[0]
        route = self.table.router.match(request.method, request.target, host)
        if route is None:
            if self.table.revision:
                self._refuse(call, ErrorKind.NO_ROUTE, request.target)
            else:
                self._refuse(call, ErrorKind.NO_ENDPOINT, 'no configuration')
            return False
        call.route = route
        call.service = self.draws.draw_service(route)
        given = _read_number(request.header(self.dialect.deadline_ms))
        allowed = route.timeout_seconds
        if given is not None:
            allowed = min(allowed, given / 1000)
        call.deadline = now + allowed - ANSWER_MARGIN_SECONDS
        call.target = now + min(
            allowed, route.target_latency_seconds or allowed
        )
        self.budget_of(call.service).record_call()
        return True

    def budget_of(self, service):
        """Return the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            share = self.settings.retry_budget_ratio * BUDGET_PART
            budget = RetryBudget(share, BUDGET_RESERVE)
            self.budgets[service] = budget
        return budget

    # Carrying.

    async def _carry(self, call):
        try:
            while not call.ended:
                await self._attempt(call)
        except Exception:
            # A caller is answered also where the code is at fault.
            log_failure(call)
            call.may_have_run = True
            self._refuse(call, ErrorKind.INTERNAL, call.service)

    async def _attempt(self, call):
        now = self.clock()
        if now >= call.deadline:
            self._give_up(call)
            return
        placement = self._place(call, now)
        if placement is None:
            self._refuse_unplaced(call)
            return
        call.offers += 1
        state = placement.state
        call.last_state = state
        state.in_flight += 1
        sent_at = now
        try:
            delivery = await self._offer(call, placement, now)
        finally:
            state.in_flight -= 1
        now = self.clock()
        if delivery.occupancy is not None:
            state.on_occupancy(delivery.occupancy, now)
        HANDLERS[delivery.verdict](self, call, state, delivery, sent_at, now)

    def _place(self, call, now):
        if call.offers >= MAX_OFFERS:
            return None
        states = self._states_for(call)
        wish = Wish(call.target - now, call.deadline - now)
        placement = choose_door(
            states, wish, call.tried | call.busy, now, self.random
        )
        if placement is None and not call.queued:
            # All are busy: wait, once, where it takes the least time.
            call.queued = True
            informed = bool(call.busy)
            placement = choose_queue(
                states, wish, call.tried, now, self.random, informed
            )
        return placement

    def _states_for(self, call):
        """Return the endpoints of the version that the call goes to."""
        states = self.doors.of(call.service)
        move = self.table.moves.get(call.service)
        if move is None:
            return states
        new = [
            state
            for state in states
            if state.door.endpoint.version == move.to_version
        ]
        old = [
            state
            for state in states
            if state.door.endpoint.version != move.to_version
        ]
        if move.share <= 0 or not new:
            return old
        if move.share >= 1 or not old:
            return new
        if call.version is None:
            goes_new = self.draws.draw_side(move)
            call.version = move.to_version if goes_new else ''
            call.stage = round(move.share * 1000)
        return new if call.version and not call.arrivals else old

    async def _offer(self, call, placement: Placement, now):
        loop = asyncio.get_running_loop()
        future = loop.create_future()

        def done(delivery):
            if not future.done():
                future.set_result(delivery)

        routed = self._routed(call, placement, now)
        door = placement.state.door
        if door.tier is Tier.OWN:
            ticket = self.receiver.take(routed, done)

            def withdraw():
                self.receiver.cancel(ticket)

        else:
            withdraw = self.streams.deliver(
                door.peer_address, routed, call.deadline - now, done
            )
        try:
            return await future
        except asyncio.CancelledError:
            withdraw()
            raise

    def _routed(self, call, placement, now):
        request = call.request
        named = connection_options(request.headers)
        overwritten = self.dialect.overwritten
        headers = [
            (name, value)
            for name, value in request.headers
            if is_end_to_end(name)
            and name not in named
            and name not in overwritten
        ]
        route = call.route
        return RoutedRequest(
            call.request_id,
            request.method,
            request.target,
            headers,
            request.body,
            call.service,
            placement.state.door.endpoint.instance_id,
            self.settings.service,
            max(1, int((call.deadline - now) * 1000)),
            int(placement.patience_seconds * 1000),
            route.queue_rank,
            route.repeatable,
            placement.spare_part,
            max(0, int((call.target - now) * 1000)),
        )

    # What came of an attempt.

    def _on_answered(self, call, state, delivery, sent_at, now):
        failed = delivery.status >= 500
        self._count_evidence(call, state, failed, now - sent_at, now)
        call.arrivals += 1
        self.doors.note_answer(state, failed, now)
        if failed and self._may_repeat(call, now):
            call.may_have_run = True
            call.last_failure = delivery
            log_retry(call, state, delivery)
            call.tried.add(state.door.endpoint.instance_id)
            return
        self._respond(call, delivery, now)

    def _on_not_run(self, call, state, delivery, sent_at, now):
        instance = state.door.endpoint.instance_id
        if delivery.reason == 'busy':
            call.busy.add(instance)
        else:
            call.tried.add(instance)
            state.away_until = now + AWAY_SECONDS
        self.counts[f'offer {delivery.reason}'] += 1

    def _on_refused(self, call, state, delivery, sent_at, now):
        call.arrivals += 1
        call.tried.add(state.door.endpoint.instance_id)
        if self._has_attempts(call) and self._take_retry(call):
            log_retry(call, state, delivery)
            return
        self._refuse(call, ErrorKind.REFUSED_BY_SERVER, delivery.reason)

    def _on_lost(self, call, state, delivery, sent_at, now):
        call.arrivals += 1
        call.may_have_run = True
        call.tried.add(state.door.endpoint.instance_id)
        if now >= call.deadline:
            self._refuse(call, ErrorKind.DEADLINE_EXCEEDED, delivery.reason)
            return
        self.doors.note_answer(state, True, now)
        if self._may_repeat(call, now):
            log_retry(call, state, delivery)
            return
        self._refuse(call, ErrorKind.ANSWER_LOST, delivery.reason)

    def _on_timed_out(self, call, state, delivery, sent_at, now):
        call.may_have_run = True
        self._count_evidence(call, state, True, None, now)
        self.doors.note_answer(state, True, now)
        self._refuse(call, ErrorKind.DEADLINE_EXCEEDED, delivery.reason)

    def _has_attempts(self, call):
        return call.arrivals < call.route.max_attempts

    def _take_retry(self, call):
        taken = self.budget_of(call.service).try_acquire()
        self.counts['retries' if taken else 'retries_over_budget'] += 1
        return taken

    def _may_repeat(self, call, now):
        """Say whether a call that may have run goes on to another."""
        return (
            call.route.repeatable
            and self._has_attempts(call)
            and now < call.deadline
            and self._has_others(call)
            and self._take_retry(call)
        )

    def _has_others(self, call):
        return any(
            state.door.endpoint.instance_id not in call.tried
            for state in self._states_for(call)
        )

    def _count_evidence(self, call, state, failed, latency, now):
        move = self.table.moves.get(call.service)
        if move is None or not move.collects_evidence or call.arrivals:
            # A retry goes where it can: its side was not drawn.
            return
        version = state.door.endpoint.version
        side = Side.NEW if version == move.to_version else Side.OLD
        telling = not failed and now >= state.warm_at
        key = (
            move.move_id,
            call.route.name,
            side,
            int(state.door.tier),
            call.stage,
        )
        self.evidence.record(key, failed, latency if telling else None, now)

    # Answering.

    def _give_up(self, call):
        if call.last_failure is not None:
            self._respond(call, call.last_failure, self.clock())
            return
        kind = ErrorKind.OVERLOADED
        if call.may_have_run:
            kind = ErrorKind.DEADLINE_EXCEEDED
        self._refuse(call, kind, 'time is over')

    def _refuse_unplaced(self, call):
        if call.last_failure is not None:
            self._respond(call, call.last_failure, self.clock())
        elif self.doors.of(call.service):
            self._refuse(call, ErrorKind.OVERLOADED, call.service)
        else:
            self._refuse(call, ErrorKind.NO_ENDPOINT, call.service)

    def _refuse(self, call, kind, detail):
        if call.ended:
            return
        kind = resolve_error_kind(kind, call.may_have_run)
        self.counts[f'refused_{kind.value}'] += 1
        now = self.clock()
        log_end(call, self.table.revision, kind.value, detail, now)
        self._end(call)
        keep_alive = call.request.keep_alive and not self.draining
        retry_after = None
        if ANSWERS[kind].http_status == 503:
            # Callers come back on a new connection: this one would idle.
            keep_alive = False
            retry_after = RETRY_AFTER_SECONDS * (1 + self.random.random())
        raw = build_error(
            kind, detail, call.request_id, keep_alive, retry_after
        )
        call.respond(raw, keep_alive)

    def _respond(self, call, delivery, now):
        if call.ended:
            return
        self.counts['answers'] += 1
        self.latencies.observe(now - call.began)
        log_end(
            call, self.table.revision, f'status {delivery.status}', '', now
        )
        self._end(call)
        keep_alive = call.request.keep_alive and not self.draining
        raw = build_answer(
            delivery.status,
            delivery.headers,
            delivery.body,
            keep_alive,
            call.request.method == 'HEAD',
        )
        call.respond(raw, keep_alive)

    def _end(self, call):
        if not call.ended:
            call.ended = True
            self.in_flight -= 1

    def cancel(self, call):
        """End a call whose caller went away."""
        if call.ended:
            return
        self.counts['cancelled'] += 1
        self._end(call)
        call.task.cancel()

    def busy(self):
        """Return calls in flight by service and version."""
        return self.doors.busy()

    def dump_servers(self):
        """Return what was seen of each endpoint, for operators."""
        return self.doors.dump()


HANDLERS = {
    Verdict.ANSWERED: Sender._on_answered,
    Verdict.NOT_RUN: Sender._on_not_run,
    Verdict.REFUSED: Sender._on_refused,
    Verdict.LOST: Sender._on_lost,
    Verdict.TIMED_OUT: Sender._on_timed_out,
}


def _read_number(raw):
    """Read a whole number from a header that callers set."""
    if raw is None or not raw.isdigit() or len(raw) > DEADLINE_DIGITS:
        return None
    return int(raw)
