"""Dispatch calls to backend servers.

Each call is routed, balanced, sent and possibly retried, and its outcome is
recorded for load balancing and as evidence for moves.
"""

from asyncio import get_running_loop
from collections import Counter
from dataclasses import dataclass
from random import Random

from poplarrack.balancers import BALANCERS
from poplarrack.balancers import choose_server
from poplarrack.balancers import may_eject
from poplarrack.balancers import ServerLoad
from poplarrack.byte_budgets import ByteBudget
from poplarrack.byte_budgets import MAX_BUFFERED_BYTES
from poplarrack.call_tables import CallTable
from poplarrack.call_tables import derive_call_table
from poplarrack.errors import ErrorKind
from poplarrack.errors import resolve_error_kind
from poplarrack.evidence import EvidenceCounter
from poplarrack.evidence import Side
from poplarrack.evidence import stage_of
from poplarrack.http_messages import build_answer
from poplarrack.http_messages import build_error
from poplarrack.http_messages import build_request
from poplarrack.http_messages import CALL_HEADER
from poplarrack.http_messages import DEADLINE_HEADER
from poplarrack.http_messages import DEPTH_HEADER
from poplarrack.http_messages import HttpRequest
from poplarrack.http_messages import is_end_to_end
from poplarrack.http_messages import NOT_RUN_HEADER
from poplarrack.limits import CallQueue
from poplarrack.resources import Route
from poplarrack.retries import FailedAttempt
from poplarrack.retries import Failure
from poplarrack.retries import may_retry
from poplarrack.retries import RetryBudget
from poplarrack.upstream_exchanges import Mark
from poplarrack.upstream_exchanges import Outcome
from poplarrack.upstream_pools import UpstreamPool

# Calls that are queued for one service.
MAX_QUEUED_CALLS = 200
CONNECT_TIMEOUT_SECONDS = 0.5
# Nodes that a chain of calls may pass.
MAX_DEPTH = 64
# Digits in a depth or deadline header; a longer number counts as missing.
MAX_NUMBER_DIGITS = 9

FAILURES_BY_OUTCOME = {
    Outcome.NEVER_SENT: Failure.NEVER_SENT,
    Outcome.LOST: Failure.LOST,
    Outcome.TIMED_OUT: Failure.TIMED_OUT,
}
ERROR_KINDS_BY_FAILURE = {
    Failure.NEVER_SENT: ErrorKind.CONNECT_FAILED,
    Failure.REFUSED: ErrorKind.REFUSED_BY_SERVER,
    Failure.LOST: ErrorKind.ANSWER_LOST,
    Failure.TIMED_OUT: ErrorKind.DEADLINE_EXCEEDED,
}


@dataclass(slots=True)
class Call:
    """The state of a caller's call while the node carries it.

    ``depth`` is the number of nodes that the call passed before this one,
    and ``tried`` has the address of each attempt. ``caller_call_id`` is
    the id that the caller gave, ``call_id`` that of the latest attempt.
    ``version`` is the version drawn during a move, and ``stage`` the share
    of the new version when the call was sent, in thousandths.
    """

    request: HttpRequest
    respond: object
    route: Route | None = None
    deadline: float = 0.0
    depth: int = 0
    caller_call_id: bytes | None = None
    attempts: int = 0
    tried: tuple[str, ...] = ()
    load: ServerLoad | None = None
    exchange: object = None
    sent_at: float = 0.0
    call_id: bytes = b''
    version: str = ''
    stage: int = 0
    queue: CallQueue | None = None
    timer: object = None
    pool: UpstreamPool | None = None
    may_have_run: bool = False
    ended: bool = False


class Dispatcher:
    """Carries calls according to the current CallTable.

    :param node_id: prefix of the ids of the node's calls.
    :param clock: a function that returns the time in seconds since the
        epoch.
    :param random: a ``random.Random``.
    :param max_answer_bytes: bound on the size of an answer.
    :param balancer: name of the registered balancer.
    :param max_buffered_bytes: bound on what all connections buffer.
    """

    def __init__(
        self,
        node_id,
        clock,
        random=None,
        max_answer_bytes=8_000_000,
        balancer='least_loaded',
        max_buffered_bytes=MAX_BUFFERED_BYTES,
    ):
        self.call_id_prefix = b'%s-' % node_id.encode()
        self.clock = clock
        self.random = random or Random()
        self.max_answer_bytes = max_answer_bytes
        self.byte_budget = ByteBudget(max_buffered_bytes)
        self.pick = BALANCERS[balancer]
        self.table = CallTable()
        # Is given the limits on callers of each new revision.
        self.on_limits = lambda limits: None
        # ServerLoads by service and version, and the same by address.
        self.loads = {}
        self.servers = {}
        # UpstreamPools by address, and CallQueues by service.
        self.pools = {}
        self.queues = {}
        # Accumulators of _draw_new_version, by move id.
        self.split_phases = {}
        self.evidence = EvidenceCounter()
        self.budget = RetryBudget()
        self.counts = Counter()
        self.in_flight = 0
        self.last_call = 0
        self.draining = False
        # Returns whether a newer version can't be applied.
        self.is_newer_rejected = lambda: False

    def rebuild_table(self, locality, knowledge, now):
        """Derive the call table from the node's knowledge and set it."""
        self.set_table(derive_call_table(locality, knowledge, now))

    def set_table(self, table):
        """Replace the call table.

        Servers that stay, and did not restart, keep their measurements.
        Connections to servers that left are closed, and queued calls are
        dispatched again.
        """
        if table.revision != self.table.revision:
            self.on_limits(table.limits)
        servers = {}
        loads = {}
        for key, candidates in table.candidates.items():
            group = []
            for candidate in candidates:
                load = self._load_for(candidate, key[0], table)
                servers[candidate.endpoint.address] = load
                group.append(load)
            loads[key] = group
        for address in set(self.pools) - set(servers):
            self.pools.pop(address).close()
        self.servers = servers
        self.loads = loads
        self.table = table
        for service in list(self.queues):
            self._dispatch_queued(service)

    def _load_for(self, candidate, service, table):
        endpoint = candidate.endpoint
        known = self.servers.get(endpoint.address)
        unchanged = known is not None and (
            known.endpoint.announced_at == endpoint.announced_at
            and known.endpoint.version == endpoint.version
        )
        if unchanged:
            known.endpoint = endpoint
            known.tier = candidate.tier
            known.region = candidate.region
            return known
        warm_up = table.warm_up_seconds.get(service, 0.0)
        return ServerLoad(endpoint, candidate.tier, warm_up, candidate.region)

    def start(self, request, respond):
        """Start a call.

        :param request: an HttpRequest.
        :param respond: called once with the bytes of the answer and with
            whether the caller's connection stays open.
        :returns: the Call, to be passed to ``cancel``.
        """
        call = Call(request, respond)
        call.caller_call_id = request.header(CALL_HEADER)
        self.in_flight += 1
        self.counts['calls'] += 1
        route = self.table.router.match(request.method, request.target)
        if route is None:
            kind, why = self.table.router.explain_mismatch(
                self.is_newer_rejected()
            )
            is_denied = kind is ErrorKind.NO_ROUTE
            self._refuse(call, kind, request.target if is_denied else why)
            return call
        call.route = route
        call.deadline = self.clock() + self._timeout_seconds(call, route)
        call.depth = _parse_number(request.header(DEPTH_HEADER), 0, MAX_DEPTH)
        if call.depth >= MAX_DEPTH:
            self._refuse(call, ErrorKind.MALFORMED_REQUEST, 'too deep')
            return call
        self.budget.record_call()
        self._attempt(call)
        return call

    def may_overlap(self, request):
        """Return whether a call may run beside others of its connection."""
        route = self.table.router.match(request.method, request.target)
        return route is not None and route.repeatable

    def _timeout_seconds(self, call, route):
        requested = call.request.header(DEADLINE_HEADER)
        route_limit_ms = int(route.timeout_seconds * 1000)
        return _parse_number(requested, route_limit_ms, route_limit_ms) / 1000

    def _attempt(self, call):
        now = self.clock()
        if now >= call.deadline:
            self._refuse(call, ErrorKind.OVERLOADED, 'deadline in queue')
            return
        service = call.route.service
        regions = call.route.regions
        of_version = self._eligible_loads(call, service) or ()
        loads = [
            load
            for load in of_version
            if regions is None or load.region in regions
        ]
        if not loads:
            detail = f'{service}: home' if of_version else service
            self._refuse(call, ErrorKind.NO_ENDPOINT, detail)
            return
        load = choose_server(loads, self.pick, now, self.random, call.tried)
        if load is None:
            self._enqueue(call, service)
            return
        self._send(call, load, now)

    def _eligible_loads(self, call, service):
        """Return the servers of the version that the call is to go to.

        While the share of a move is between 0 and 1, a first attempt goes
        to a version drawn by the share, and a retry to the old version if
        that has servers.
        """
        split = self.table.moves.get(service)
        if split is None:
            version = self.table.versions.get(service)
            return self.loads.get((service, version))
        old = self.loads.get((service, split.from_version))
        new = self.loads.get((service, split.to_version))
        if split.share <= 0 or not new:
            return old
        if split.share >= 1:
            return new
        if call.attempts and old:
            return old
        if not call.version:
            # Drawn once per call: a queued call keeps its version.
            to_new = self._draw_new_version(split)
            call.version = split.to_version if to_new else split.from_version
        return new if call.version == split.to_version else (old or new)

    def _draw_new_version(self, split):
        """Return whether the next call goes to the new version.

        An accumulator spreads the calls evenly, so that any sequence of
        calls keeps the share to within one call. It starts at a random
        phase, so that the share also holds over many nodes that carry only
        a few calls each.
        """
        phase = self.split_phases.get(split.move_id)
        if phase is None:
            self.split_phases.clear()
            phase = self.random.random()
        phase += split.share
        to_new = phase >= 1.0
        self.split_phases[split.move_id] = phase - 1.0 if to_new else phase
        return to_new

    def _enqueue(self, call, service):
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = CallQueue(MAX_QUEUED_CALLS)
        if not queue.try_enqueue(call, call.route.priority):
            self._refuse(call, ErrorKind.OVERLOADED, f'{service} is full')
            return
        call.queue = queue
        seconds_left = call.deadline - self.clock()
        call.timer = get_running_loop().call_later(
            seconds_left, self._expire_in_queue, call
        )

    def _expire_in_queue(self, call):
        self._remove_from_queue(call)
        self._refuse(call, ErrorKind.OVERLOADED, 'deadline in queue')

    def _remove_from_queue(self, call):
        if call.queue is not None:
            call.queue.discard(call, call.route.priority)
            call.queue = None
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None

    def _dispatch_queued(self, service):
        queue = self.queues.get(service)
        if queue is None or not queue.size:
            return
        while queue.size:
            call = queue.dequeue()
            call.queue = None
            self._remove_from_queue(call)
            self._attempt(call)
            if call.queue is not None:
                # Still no capacity: keep the call's position at the front.
                queue.move_to_front(call, call.route.priority)
                return

    def _send(self, call, load, now):
        endpoint = load.endpoint
        call.attempts += 1
        call.tried = (*call.tried, endpoint.address)
        call.load = load
        call.sent_at = now
        call.stage = self._stage_of(endpoint.service)
        self.last_call += 1
        call.call_id = b'%s%d' % (self.call_id_prefix, self.last_call)
        load.in_flight += 1
        seconds_left = call.deadline - now
        hop_headers = b'%s: %s\r\n%s: %d\r\n%s: %d\r\n' % (
            CALL_HEADER,
            call.call_id,
            DEADLINE_HEADER,
            max(1, int(seconds_left * 1000)),
            DEPTH_HEADER,
            call.depth + 1,
        )
        raw = build_request(call.request, endpoint.address, hop_headers)
        pool = self.pools.get(endpoint.address)
        if pool is None:
            pool = self.pools[endpoint.address] = UpstreamPool(
                endpoint.address,
                self.max_answer_bytes,
                CONNECT_TIMEOUT_SECONDS,
                self.byte_budget,
            )

        def on_done(outcome, answer):
            self._on_outcome(call, load, outcome, answer)

        bodiless = call.request.method == 'HEAD'
        call.pool = pool
        call.exchange = pool.start(
            raw,
            bodiless,
            seconds_left,
            on_done,
            mark=Mark(NOT_RUN_HEADER, call.call_id, self.call_id_prefix),
        )

    def _on_outcome(self, call, load, outcome, answer):
        now = self.clock()
        load.in_flight -= 1
        call.exchange = None
        if outcome is Outcome.CANCELLED:
            self._end(call)
        elif outcome is Outcome.TOO_LARGE:
            self._refuse(call, ErrorKind.ANSWER_TOO_LARGE, 'answer too large')
        elif outcome is Outcome.ANSWERED:
            self._on_answer(call, load, answer, now)
        else:
            self._on_failure(call, load, FAILURES_BY_OUTCOME[outcome], now)
        self._dispatch_queued(load.endpoint.service)

    def _on_answer(self, call, load, answer, now):
        if answer.header(NOT_RUN_HEADER) == call.call_id:
            load.limit.on_overload(now)
            self._retry_or_refuse(call, Failure.REFUSED, now)
            return
        failed = answer.status >= 500
        call.may_have_run = True
        latency = max(0.0, now - call.sent_at)
        self._record_evidence(call, load, failed, latency, now)
        if not failed:
            load.on_success(latency)
        else:
            self._record_failure(load, now)
            if self._try_retry(call, Failure.FAILED_ANSWER, now):
                return
        self._respond(call, answer)

    def _on_failure(self, call, load, failure, now):
        if failure is Failure.NEVER_SENT:
            load.consecutive_failures += 1
            if may_eject(load, self._loads_of_same_version(load), now):
                load.eject(now)
        else:
            call.may_have_run = True
            self._record_evidence(call, load, True, None, now)
            self._record_failure(load, now)
        if failure is Failure.TIMED_OUT:
            load.limit.on_overload(now)
        self._retry_or_refuse(call, failure, now)

    def _record_failure(self, load, now):
        load.on_failure()
        if may_eject(load, self._loads_of_same_version(load), now):
            load.eject(now)
            self.counts['ejections'] += 1

    def _loads_of_same_version(self, load):
        key = (load.endpoint.service, load.endpoint.version)
        return self.loads.get(key, ())

    def _record_evidence(self, call, load, failed, latency, now):
        split = self.table.moves.get(load.endpoint.service)
        if split is None or not split.collects_evidence or call.attempts > 1:
            # A retry is no evidence: its version was not drawn but depends
            # on the servers that are left.
            return
        version = load.endpoint.version
        if version not in (split.from_version, split.to_version):
            return
        side = Side.NEW if version == split.to_version else Side.OLD
        latency_comparable = not failed and not load.is_in_slow_start(now)
        key = (split.move_id, call.route.name, side, load.tier, call.stage)
        usable_latency = latency if latency_comparable else None
        self.evidence.record(key, failed, usable_latency, now)

    def _stage_of(self, service):
        """Return the new version's share of calls, in thousandths.

        It is 0 if no move is in effect.
        """
        split = self.table.moves.get(service)
        return 0 if split is None else stage_of(split.share)

    def _try_retry(self, call, failure, now):
        """Retry the call if allowed; return whether it was retried."""
        failed_attempt = FailedAttempt(
            failure,
            call.attempts,
            call.route.repeatable,
            call.depth,
            call.deadline,
        )
        if not may_retry(failed_attempt, self.budget, now):
            return False
        self.counts['retries'] += 1
        self._attempt(call)
        return True

    def _retry_or_refuse(self, call, failure, now):
        if not self._try_retry(call, failure, now):
            address = call.tried[-1] if call.tried else ''
            self._refuse(call, ERROR_KINDS_BY_FAILURE[failure], address)

    def _refuse(self, call, kind, detail):
        if call.ended:
            return
        kind = resolve_error_kind(kind, call.may_have_run)
        self.counts[f'refused_{kind.value}'] += 1
        self._end(call)
        keep_alive = call.request.stays_open(self.draining)
        call.respond(
            build_error(kind, detail, call.caller_call_id, keep_alive),
            keep_alive,
        )

    def _respond(self, call, answer):
        if call.ended:
            return
        self._end(call)
        self.counts['answers'] += 1
        keep_alive = call.request.stays_open(self.draining)
        headers = [item for item in answer.headers if is_end_to_end(item[0])]
        bodiless = call.request.method == 'HEAD'
        raw = build_answer(
            answer.status, headers, answer.body, keep_alive, bodiless
        )
        call.respond(raw, keep_alive)

    def _end(self, call):
        if not call.ended:
            call.ended = True
            self.in_flight -= 1

    def cancel(self, call):
        """Cancel a call whose caller disconnected."""
        if call.ended:
            return
        self._remove_from_queue(call)
        if call.exchange is not None:
            self.counts['cancelled'] += 1
            call.pool.cancel(call.exchange)
            return
        self._end(call)

    def busy(self):
        """Return the numbers of calls in flight by service and version."""
        busy = Counter()
        for load in self.servers.values():
            if load.in_flight:
                key = (load.endpoint.service, load.endpoint.version)
                busy[key] += load.in_flight
        return busy

    def dump_servers(self):
        """Return the measurements of each server for the state dump."""
        return {
            address: {
                'service': load.endpoint.service,
                'version': load.endpoint.version,
                'tier': load.tier,
                'in_flight': load.in_flight,
                'limit': round(load.limit.limit, 2),
                'latency_seconds': load.latency,
                'failure_rate': round(load.failure_rate, 4),
                'ejected_until': load.ejected_until,
            }
            for address, load in self.servers.items()
        }

    def close_idle(self, now):
        """Close idle connections to backend servers."""
        for pool in self.pools.values():
            pool.close_idle(now)


def _parse_number(raw, default, max_value):
    """Parse the number in a header that a caller may have set.

    :returns: the number, capped at ``max_value``, or ``default`` when the
        header is missing or not a number of up to
        ``MAX_NUMBER_DIGITS`` digits.
    """
    if raw is None or not raw.isdigit() or len(raw) > MAX_NUMBER_DIGITS:
        return default
    return min(int(raw), max_value)
