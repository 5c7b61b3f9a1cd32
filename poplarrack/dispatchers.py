"""Carry calls: route, choose, send, try again, and count what was seen."""

from asyncio import get_running_loop
from collections import Counter
from dataclasses import dataclass
from random import Random

from poplarrack.balancers import BALANCERS
from poplarrack.balancers import choose_server
from poplarrack.balancers import may_eject
from poplarrack.balancers import ServerLoad
from poplarrack.call_tables import CallTable
from poplarrack.call_tables import derive_call_table
from poplarrack.errors import ErrorKind
from poplarrack.errors import resolve_error_kind
from poplarrack.evidence import EvidenceCounter
from poplarrack.evidence import Side
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
from poplarrack.upstreams import Outcome
from poplarrack.upstreams import UpstreamPool

MAX_QUEUED_CALLS = 200
CONNECT_TIMEOUT_SECONDS = 0.5
MAX_DEPTH = 64

FAILURES = {
    Outcome.NEVER_SENT: Failure.NEVER_SENT,
    Outcome.LOST: Failure.LOST,
    Outcome.TIMED_OUT: Failure.TIMED_OUT,
}
FAILURE_KINDS = {
    Failure.NEVER_SENT: ErrorKind.CONNECT_FAILED,
    Failure.REFUSED: ErrorKind.REFUSED_BY_SERVER,
    Failure.LOST: ErrorKind.ANSWER_LOST,
    Failure.TIMED_OUT: ErrorKind.DEADLINE_EXCEEDED,
}


@dataclass(slots=True)
class Call:
    """A caller's call on its way through the node."""

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
    """Carries calls by the table in force."""

    def __init__(
        self,
        node_id,
        clock,
        random=None,
        max_answer_bytes=8_000_000,
        balancer='least_loaded',
    ):
        self.node_id = node_id
        self.clock = clock
        self.random = random or Random()
        self.max_answer_bytes = max_answer_bytes
        self.pick = BALANCERS[balancer]
        self.table = CallTable()
        self.loads = {}
        self.servers = {}
        self.pools = {}
        self.queues = {}
        self.phases = {}
        self.evidence = EvidenceCounter()
        self.budget = RetryBudget()
        self.counts = Counter()
        self.in_flight = 0
        self.next_call = 0
        self.draining = False

    def rebuild_table(self, locality, knowledge, now):
        """Take what the node holds as the table in force."""
        self.set_table(derive_call_table(locality, knowledge, now))

    def set_table(self, table):
        """Take a new table; servers that stay keep what was seen."""
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
            self._serve_queue(service)

    def _load_for(self, candidate, service, table):
        endpoint = candidate.endpoint
        held = self.servers.get(endpoint.address)
        same = held is not None and (
            held.endpoint.announced_at == endpoint.announced_at
            and held.endpoint.version == endpoint.version
        )
        if same:
            held.endpoint = endpoint
            held.tier = candidate.tier
            return held
        warm_up = table.warm_up_seconds.get(service, 0.0)
        return ServerLoad(endpoint, candidate.tier, warm_up)

    def start(self, request, respond):
        """Start a call; ``respond`` takes the answer's bytes once.

        :returns: the Call, which ``cancel`` takes.
        """
        call = Call(request, respond)
        call.caller_call_id = request.header(CALL_HEADER)
        self.in_flight += 1
        self.counts['calls'] += 1
        route = self.table.router.match(request.method, request.target)
        if route is None:
            self._refuse(call, ErrorKind.NO_ROUTE, request.target)
            return call
        call.route = route
        call.deadline = self.clock() + self._time_allowed(call, route)
        call.depth = _read_number(request.header(DEPTH_HEADER), 0, MAX_DEPTH)
        if call.depth >= MAX_DEPTH:
            self._refuse(call, ErrorKind.MALFORMED_REQUEST, 'too deep')
            return call
        self.budget.record_call()
        self._attempt(call)
        return call

    def _time_allowed(self, call, route):
        given = call.request.header(DEADLINE_HEADER)
        most = int(route.timeout_seconds * 1000)
        return _read_number(given, most, most) / 1000

    def _attempt(self, call):
        now = self.clock()
        if now >= call.deadline:
            self._refuse(call, ErrorKind.OVERLOADED, 'deadline in queue')
            return
        service = call.route.service
        loads = self._loads_for(call, service)
        if not loads:
            self._refuse(call, ErrorKind.NO_ENDPOINT, service)
            return
        load = choose_server(loads, self.pick, now, self.random, call.tried)
        if load is None:
            self._enqueue(call, service)
            return
        self._send(call, load, now)

    def _loads_for(self, call, service):
        """Return the servers of the version that the call goes to."""
        move = self.table.moves.get(service)
        if move is None:
            version = self.table.versions.get(service)
            return self.loads.get((service, version))
        old = self.loads.get((service, move.from_version))
        new = self.loads.get((service, move.to_version))
        if move.share <= 0 or not new:
            return old
        if move.share >= 1:
            return new
        if call.attempts and old:
            return old
        if not call.version:
            # The choice stays with the call while it waits in a queue.
            goes_new = self._draw(move)
            call.version = move.to_version if goes_new else move.from_version
        return new if call.version == move.to_version else (old or new)

    def _draw(self, move):
        """Draw a side so that any run of calls holds the share exactly.

        Each node starts at a random phase, so that many nodes with few
        calls add up to the share too.
        """
        phase = self.phases.get(move.move_id)
        if phase is None:
            self.phases.clear()
            phase = self.random.random()
        phase += move.share
        goes_new = phase >= 1.0
        self.phases[move.move_id] = phase - 1.0 if goes_new else phase
        return goes_new

    def _enqueue(self, call, service):
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = CallQueue(MAX_QUEUED_CALLS)
        if not queue.try_enqueue(call, call.route.priority):
            self._refuse(call, ErrorKind.OVERLOADED, f'{service} is full')
            return
        call.queue = queue
        left = call.deadline - self.clock()
        call.timer = get_running_loop().call_later(
            left, self._expire_in_queue, call
        )

    def _expire_in_queue(self, call):
        self._leave_queue(call)
        self._refuse(call, ErrorKind.OVERLOADED, 'deadline in queue')

    def _leave_queue(self, call):
        if call.queue is not None:
            call.queue.discard(call, call.route.priority)
            call.queue = None
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None

    def _serve_queue(self, service):
        queue = self.queues.get(service)
        if queue is None or not queue.size:
            return
        while queue.size:
            call = queue.dequeue()
            call.queue = None
            self._leave_queue(call)
            self._attempt(call)
            if call.queue is not None:
                # No room after all: it goes first the next time.
                queue.move_to_front(call, call.route.priority)
                return

    def _send(self, call, load, now):
        endpoint = load.endpoint
        call.attempts += 1
        call.tried = (*call.tried, endpoint.address)
        call.load = load
        call.sent_at = now
        call.stage = self._stage_of(endpoint.service)
        self.next_call += 1
        call.call_id = b'%s-%d' % (self.node_id.encode(), self.next_call)
        load.in_flight += 1
        left = call.deadline - now
        own = b'%s: %s\r\n%s: %d\r\n%s: %d\r\n' % (
            CALL_HEADER,
            call.call_id,
            DEADLINE_HEADER,
            max(1, int(left * 1000)),
            DEPTH_HEADER,
            call.depth + 1,
        )
        raw = build_request(call.request, endpoint.address, own)
        pool = self.pools.get(endpoint.address)
        if pool is None:
            pool = self.pools[endpoint.address] = UpstreamPool(
                endpoint.address,
                self.max_answer_bytes,
                CONNECT_TIMEOUT_SECONDS,
            )

        def done(outcome, answer):
            self._on_outcome(call, load, outcome, answer)

        bodiless = call.request.method == 'HEAD'
        call.pool = pool
        call.exchange = pool.start(raw, bodiless, left, done)

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
            self._on_failure(call, load, FAILURES[outcome], now)
        self._serve_queue(load.endpoint.service)

    def _on_answer(self, call, load, answer, now):
        if answer.header(NOT_RUN_HEADER) == call.call_id:
            load.limit.on_overload(now)
            self._retry_or_refuse(call, Failure.REFUSED, now)
            return
        failed = answer.status >= 500
        call.may_have_run = True
        latency = max(0.0, now - call.sent_at)
        self._count_evidence(call, load, failed, latency, now)
        if not failed:
            load.on_success(latency)
        else:
            self._note_failure(load, now)
            if self._retries(call, Failure.FAILED_ANSWER, now):
                return
        self._respond(call, answer)

    def _on_failure(self, call, load, failure, now):
        if failure is Failure.NEVER_SENT:
            load.consecutive_failures += 1
            if may_eject(load, self._peers_of(load), now):
                load.eject(now)
        else:
            call.may_have_run = True
            self._count_evidence(call, load, True, None, now)
            self._note_failure(load, now)
        if failure is Failure.TIMED_OUT:
            load.limit.on_overload(now)
        self._retry_or_refuse(call, failure, now)

    def _note_failure(self, load, now):
        load.on_failure()
        if may_eject(load, self._peers_of(load), now):
            load.eject(now)
            self.counts['ejections'] += 1

    def _peers_of(self, load):
        key = (load.endpoint.service, load.endpoint.version)
        return self.loads.get(key, ())

    def _count_evidence(self, call, load, failed, latency, now):
        move = self.table.moves.get(load.endpoint.service)
        if move is None or not move.collects_evidence or call.attempts > 1:
            # A retry goes where it can: its side was not drawn.
            return
        version = load.endpoint.version
        if version not in (move.from_version, move.to_version):
            return
        side = Side.NEW if version == move.to_version else Side.OLD
        telling = not failed and not load.is_warming_up(now)
        key = (move.move_id, call.route.name, side, load.tier, call.stage)
        told = latency if telling else None
        self.evidence.record(key, failed, told, now)

    def _stage_of(self, service):
        """Return the share that a call was drawn by, in thousandths."""
        move = self.table.moves.get(service)
        return 0 if move is None else round(move.share * 1000)

    def _retries(self, call, failure, now):
        """Try again where that is allowed; say whether it was."""
        attempted = FailedAttempt(
            failure,
            call.attempts,
            call.route.repeatable,
            call.depth,
            call.deadline,
        )
        if not may_retry(attempted, self.budget, now):
            return False
        self.counts['retries'] += 1
        self._attempt(call)
        return True

    def _retry_or_refuse(self, call, failure, now):
        if not self._retries(call, failure, now):
            address = call.tried[-1] if call.tried else ''
            self._refuse(call, FAILURE_KINDS[failure], address)

    def _refuse(self, call, kind, detail):
        if call.ended:
            return
        kind = resolve_error_kind(kind, call.may_have_run)
        self.counts[f'refused_{kind.value}'] += 1
        self._end(call)
        keep_alive = call.request.keep_alive and not self.draining
        call.respond(
            build_error(kind, detail, call.caller_call_id, keep_alive),
            keep_alive,
        )

    def _respond(self, call, answer):
        if call.ended:
            return
        self._end(call)
        self.counts['answers'] += 1
        keep_alive = call.request.keep_alive and not self.draining
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
        """End a call whose caller went away."""
        if call.ended:
            return
        self._leave_queue(call)
        if call.exchange is not None:
            self.counts['cancelled'] += 1
            call.pool.cancel(call.exchange)
            return
        self._end(call)

    def busy(self):
        """Return calls in flight by service and version."""
        busy = Counter()
        for load in self.servers.values():
            if load.in_flight:
                key = (load.endpoint.service, load.endpoint.version)
                busy[key] += load.in_flight
        return busy

    def dump_servers(self):
        """Return what was seen of each server, for operators."""
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
        """Close connections that nobody used for a while."""
        for pool in self.pools.values():
            pool.close_idle(now)


def _read_number(raw, default, most):
    """Read a bounded whole number from a header that callers set."""
    if raw is None or not raw.isdigit() or len(raw) > 9:
        return default
    return min(int(raw), most)
