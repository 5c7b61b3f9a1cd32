"""Send callers' requests to the nodes of the endpoints.

The sending node routes a request, chooses an endpoint, offers the request
to that endpoint's node, and decides whether it may be offered again. A
request that is not repeatable is offered again only while it is certain
that no endpoint ran it.
"""

import asyncio
from collections import Counter

from msgspec.structs import replace

from poplarrack.body_pipes import WholeBody
from poplarrack.call_limits import CallLimits
from poplarrack.candidates import explain_exclusion
from poplarrack.candidates import filter_group
from poplarrack.candidates import regions_of
from poplarrack.carried_calls import Call
from poplarrack.carried_calls import log_ended
from poplarrack.carried_calls import log_internal_error
from poplarrack.carried_calls import log_over_limit
from poplarrack.carried_calls import log_retried
from poplarrack.carried_calls import log_retry_over_budget
from poplarrack.destination_states import Tier
from poplarrack.destinations import AVOIDANCE_SECONDS
from poplarrack.destinations import DestinationTable
from poplarrack.doors import derive_door
from poplarrack.errors import ANSWERS
from poplarrack.errors import ErrorKind
from poplarrack.errors import Ran
from poplarrack.errors import resolve_error_kind
from poplarrack.evidence import EvidenceCounter
from poplarrack.evidence import Side
from poplarrack.exchanges import Verdict
from poplarrack.fetched_bodies import build_held_pipe
from poplarrack.fetched_bodies import MIN_FETCHED_BYTES
from poplarrack.header_names import HeaderNames
from poplarrack.histograms import Histogram
from poplarrack.http_messages import build_answer
from poplarrack.http_messages import build_answer_head
from poplarrack.http_messages import build_error
from poplarrack.load_reports import LoadReports
from poplarrack.offers import build_routed_request
from poplarrack.organisations import rank_of
from poplarrack.organisations import read_key
from poplarrack.organisations import StaleKeys
from poplarrack.placements import choose_destination
from poplarrack.placements import choose_queue
from poplarrack.placements import choose_trial
from poplarrack.placements import Placement
from poplarrack.placements import RemainingTime
from poplarrack.retry_budgets import SharedRetryBudget
from poplarrack.returning_calls import ReturningCalls
from poplarrack.routers import NEWER_REJECTED
from poplarrack.routing_tables import derive_routing_table
from poplarrack.routing_tables import RoutingTable
from poplarrack.run_times import RunTimes
from poplarrack.traffic_splitters import TrafficSplitter

# Nodes that one request is offered to, including those that refuse it.
MAX_OFFERS = 8
# Minimum Retry-After of answers with status 503, which ask for up to twice as
# much at random. A shorter wait does not help against overload.
RETRY_AFTER_SECONDS = 0.15
# Part of their time left that callers wait for a Retry-After.
CALLERS_PATIENCE_FRACTION = 1 / 3
# Answers after which callers come back.
RETRIED_STATUSES = (429, 503)
SERVER_ERRORS = range(500, 600)
# Organisations in the state dump.
DUMPED_ORGANISATIONS = 10
# A deadline header with more digits is ignored as invalid.
MAX_DEADLINE_DIGITS = 9
# Part of its route's timeout that a call must have left for a trial.
TRIAL_TIME_FRACTION = 0.5
# How long before the caller's deadline its answer is due.
ANSWER_MARGIN_SECONDS = 0.002


class Sender:
    """Sends calls to endpoints according to the active routing table.

    :param settings: the SidecarSettings.
    :param header_names: the HeaderNames of the mesh.
    :param receiver: the Receiver of this node, for the local endpoint.
    :param streams: PeerStreams to the other nodes.
    :param clock: a function that returns seconds since the epoch and never
        goes back, such as a SteadyClock.
    :param random: a ``random.Random``.
    """

    # Long bodies of requests may still be coming when a call starts.
    takes_uploads = True

    def __init__(
        self, settings, header_names, receiver, streams, clock, random
    ):
        self.settings = settings
        self.header_names: HeaderNames = header_names
        self.receiver = receiver
        self.streams = streams
        self.clock = clock
        self.random = random
        self.table = RoutingTable()
        # Called with the CallerLimits of each configuration.
        self.on_limits = lambda limits: None
        self.destinations = DestinationTable(clock)
        self.load_reports = LoadReports(self.destinations, receiver)
        self.run_times = RunTimes()
        self.returning_calls = ReturningCalls()
        self.splitter = TrafficSplitter(random)
        self.evidence = EvidenceCounter()
        self.budgets = {}
        self.call_limits = CallLimits(random, settings.limit_window_seconds)
        self.counts = Counter()
        self.counts_by_service = {}
        self.counts_by_organisation = {}
        self.latencies = Histogram()
        self.calls = set()
        self.draining = False
        # Set while the process stops and only takes requests that end by then.
        self.closes_at = None
        # Returns whether a newer version may have been missed.
        self.may_be_behind = lambda now: False
        # Returns whether a newer version can't be applied.
        self.is_newer_rejected = lambda: False

    def rebuild_table(self, locality, knowledge, now):
        """Derive the routing table from what the node knows and apply it."""
        self.set_table(
            derive_routing_table(locality, knowledge, now, self.table)
        )

    def set_table(self, table):
        """Apply a new table; endpoints that stay keep their state."""
        self.destinations.set_destinations(table.destinations, table.services)
        self.load_reports.keep_only(self.destinations.states.values())
        if table.revision != self.table.revision:
            self.on_limits(table.limits)
            names = {route.name for route in table.router.routes}
            for budget in self.budgets.values():
                budget.keep_only(names)
            self.run_times.keep_only(names)
            for name in (
                self.counts_by_organisation.keys() - table.organisations.keys()
            ):
                del self.counts_by_organisation[name]
        self.call_limits.set_organisations(
            table.organisations, table.node_count
        )
        self.table = table
        self.receiver.door = derive_door(self.settings, table)

    def start(self, request, respond):
        """Start a call.

        Its time runs from its arrival, also if it waited behind others.

        :param request: the caller's HttpRequest.
        :param respond: called once with the answer's bytes and whether the
            connection stays open.
        :returns: the Call, to pass to ``cancel``.
        """
        now = request.arrived_at or self.clock()
        call = Call(request, respond, now)
        call.request_id = request.header(self.header_names.request_id) or b''
        self.calls.add(call)
        self.counts['calls'] += 1
        if not self._route(call, now):
            return call
        call.task = asyncio.get_running_loop().create_task(
            self._run_attempts(call)
        )
        return call

    def may_overlap(self, request):
        """Return whether a request may run beside others of its connection."""
        route = self._match(request)
        return route is not None and route.repeatable

    def _match(self, request):
        host = (request.header(b'host') or b'').decode('latin-1').lower()
        host = host.partition(':')[0]
        return self.table.router.match(request.method, request.target, host)

    def _route(self, call, now):
        request = call.request
        route = self._match(request)
        if route is None:
            kind, why = self.explain_mismatch(now)
            is_denied = kind is ErrorKind.NO_ROUTE
            self._refuse(call, kind, request.target if is_denied else why)
            return False
        call.route = route
        call.rank = route.queue_rank
        if self.table.organisations and not self._identify(call, now):
            return False
        self._read_deadline(call, now)
        if call.organisation is not None and self._is_over_limit(call):
            return False
        call.service = self.splitter.choose_service(route)
        self._set_times(call, now)
        if self.closes_at is not None and call.deadline > self.closes_at:
            self._refuse(call, ErrorKind.DRAINING, call.service)
            return False
        if call.service != self.settings.service:
            # Callers and the endpoint can't be told apart, but an endpoint
            # rarely calls its own service.
            call.inherited_repeat = self.receiver.running_repeats.fraction()
        counts = self._service_counts(call.service)
        counts['calls'] += 1
        counts['inherited_repeats'] += call.inherited_repeat
        self.budget_of(call.service).record_call(route.name, now)
        return True

    def _read_deadline(self, call, now):
        """Read how long the caller waits, and see if it was here before."""
        requested_ms = _parse_milliseconds(
            call.request.header(self.header_names.deadline_ms)
        )
        call.first_at = now
        if requested_ms is not None:
            call.caller_deadline = now + requested_ms / 1000
            call.first_at = self.returning_calls.take(
                call.return_key, call.caller_deadline, now
            )

    def _set_times(self, call, now):
        """Set by when a call ends, and by when its answer is in time."""
        route = call.route
        ends_at = now + route.timeout_seconds
        if call.caller_deadline:
            ends_at = min(ends_at, call.caller_deadline)
        call.deadline = ends_at - ANSWER_MARGIN_SECONDS
        call.target_at = ends_at
        if route.target_latency_seconds:
            target_at = call.first_at + route.target_latency_seconds
            call.target_at = min(ends_at, target_at)

    def explain_mismatch(self, now):
        """Return the ErrorKind of calls that match no route, and the reason.

        :param now: seconds on the clock of the Sender.
        """
        kind, why = self.table.router.explain_mismatch(
            self.is_newer_rejected()
        )
        if kind is ErrorKind.NO_ROUTE and self.may_be_behind(now):
            return ErrorKind.NO_ENDPOINT, 'routes may be missing'
        return kind, why

    def explain_key(self, organisation, has_key, now):
        """Return why calls of routes that ask for a key are refused.

        :param organisation: the Organisation that holds the key, None if no
            one does.
        :param has_key: whether the calls have a key.
        :param now: seconds on the clock of the Sender.
        :returns: the ErrorKind and the reason, None if they are not refused.
        """
        stale_keys = self.settings.stale_keys
        if stale_keys is StaleKeys.REFUSED and self.may_be_behind(now):
            return ErrorKind.NO_ENDPOINT, 'keys may be revoked'
        if organisation is not None:
            return None
        if has_key and self.is_newer_rejected():
            return ErrorKind.NO_ENDPOINT, NEWER_REJECTED
        if has_key and self.may_be_behind(now):
            return ErrorKind.NO_ENDPOINT, 'keys may be missing'
        return ErrorKind.UNAUTHENTICATED, 'no known key'

    def _identify(self, call, now):
        """Find the organisation of a call by its key; refuse it without.

        A public route asks for no key.
        """
        if call.route.public:
            call.rank = rank_of(None, call.route)
            return True
        name = self.header_names.credentials
        key = read_key(call.request.headers, name)
        organisation = self.table.keys.find(key)
        refusal = self.explain_key(organisation, bool(key), now)
        if refusal is not None:
            self._refuse(call, *refusal)
            return False
        call.organisation = organisation
        call.rank = rank_of(organisation, call.route)
        return True

    def _is_over_limit(self, call):
        """Count a call of an organisation; refuse it beyond the limit."""
        organisation = call.organisation
        now = self.clock()
        retry_after = self.call_limits.admit(organisation, now)
        counts = self.counts_by_organisation.setdefault(
            organisation.name, Counter()
        )
        counts['calls'] += 1
        if retry_after is not None:
            counts['over_limit'] += 1
            log_over_limit(
                call, self.call_limits.describe(organisation, now), retry_after
            )
            self._refuse(
                call, ErrorKind.RATE_LIMITED, organisation.name, retry_after
            )
            return True
        call.is_within_limit = True
        return False

    def _service_counts(self, service):
        counts = self.counts_by_service.get(service)
        if counts is None:
            counts = self.counts_by_service[service] = Counter()
        return counts

    def budget_of(self, service):
        """Return the retry budget of a service."""
        limits = self.settings.retry_limits
        budget = self.budgets.get(service)
        if budget is None or budget.limits != limits:
            budget = SharedRetryBudget(limits, self.random)
            self.budgets[service] = budget
        return budget

    # Attempts.

    async def _run_attempts(self, call):
        try:
            while not call.ended:
                await self._attempt(call)
        except Exception:
            # The caller gets an answer even if this code has a defect.
            log_internal_error(call)
            call.may_have_run = True
            self._refuse(call, ErrorKind.INTERNAL, call.service)

    async def _attempt(self, call):
        now = self.clock()
        if now >= call.deadline:
            self._end_timed_out(call)
            return
        if self.closes_at is not None and now >= self.closes_at:
            self._refuse(call, ErrorKind.DRAINING, call.service)
            return
        placement = self._choose_placement(call, now)
        if placement is None:
            self._refuse_unplaced(call)
            return
        call.offers += 1
        self.run_times.record_offer(call.service, call.route.name, now)
        state = placement.state
        call.last_state = state
        state.in_flight += 1
        sent_at = now
        try:
            await self._prepare_upload(call, placement, now)
            if call.ended:
                return
            delivery = await self._offer(call, placement, now)
        finally:
            state.in_flight -= 1
        now = self.clock()
        if delivery.occupancy is not None:
            state.record_occupancy(delivery.occupancy, now)
            self.load_reports.mark_heard(state)
            self.destinations.eject_if_failing(state, now)
        if delivery.loads:
            self.load_reports.learn(delivery.loads, now)
        VERDICT_HANDLERS[delivery.verdict](
            self, call, state, delivery, sent_at, now
        )

    def _choose_placement(self, call, now):
        if call.offers >= MAX_OFFERS:
            return None
        self._record_own_load(call.service, now)
        group = self._candidates(call)
        remaining = RemainingTime(
            call.target_at - now,
            call.deadline - now,
            self.run_times.factor_of(call.service, call.route.name),
        )
        placement = choose_destination(
            group,
            remaining,
            call.tried_instances | call.busy_instances,
            now,
            self.random,
        )
        if placement is None and not call.has_queued:
            # All are busy: queue once, where the wait is shortest.
            call.has_queued = True
            already_offered = bool(call.busy_instances)
            placement = choose_queue(
                group,
                remaining,
                call.tried_instances,
                now,
                self.random,
                already_offered,
            )
        if placement is None and self._is_trial_due(call, now):
            placement = choose_trial(group, remaining, now, self.random)
        return placement

    def _is_trial_due(self, call, now):
        """Return whether a call that would be refused is to be tried.

        It must have enough time left to show how long its route runs.
        """
        enough_seconds = TRIAL_TIME_FRACTION * call.route.timeout_seconds
        return (
            not call.offers
            and call.deadline - now >= enough_seconds
            and self.run_times.is_trial_due(call.service, call.route.name, now)
        )

    def _candidates(self, call):
        """Return the DestinationGroup of those that a call may be sent to.

        Each choice for each attempt is made from these.
        """
        group = filter_group(
            self.destinations.for_service(call.service),
            regions_of(call, self.table),
            self.table.evacuated_zones,
        )
        split = self.table.moves.get(call.service)
        if split is None:
            return group
        return self.splitter.choose_version(call, group, split)

    def _record_own_load(self, service, now):
        """Record the load of the local endpoint, which is known exactly."""
        endpoint = self.receiver.endpoint
        if endpoint is None or endpoint.service != service:
            return
        state = self.destinations.states_by_instance.get(endpoint.instance_id)
        if state is not None:
            state.record_occupancy(self.receiver.occupancy(), now)

    async def _offer(self, call, placement: Placement, now):
        loop = asyncio.get_running_loop()
        future = loop.create_future()

        def done(delivery, body=None):
            if not future.done():
                call.answer_body = body
                future.set_result(delivery)
            elif body is not None:
                body.close()

        destination = placement.state.destination
        loads = ()
        if destination.tier is Tier.ZONE:
            loads = self.load_reports.collect(now)
        routed = build_routed_request(
            call,
            placement,
            self.header_names,
            self.settings.service,
            now,
            loads,
            bool(self.table.organisations),
        )
        cancel = self._deliver(call, destination, routed, now, done)
        try:
            return await future
        except asyncio.CancelledError:
            cancel()
            if call.answer_body is not None:
                call.answer_body.close()
            raise

    def _deliver(self, call, destination, routed, now, done):
        """Hand over an offer; return a function that cancels it."""
        upload = call.request.upload
        if destination.tier is Tier.OWN:
            received = self.receiver.receive(routed, done, upload, True)
            return lambda: self.receiver.cancel(received)
        if (
            upload is None
            and len(routed.body) >= MIN_FETCHED_BYTES
            and self.streams.knows_pieces(destination.peer_address)
        ):
            upload = build_held_pipe(routed.body)
            routed = replace(routed, body=b'', streamed_bytes=upload.length)
        return self.streams.deliver(
            destination.peer_address,
            routed,
            call.deadline - now,
            done,
            upload,
        )

    async def _prepare_upload(self, call, placement, now):
        """Read a long body whole for a node that takes none in pieces."""
        upload = call.request.upload
        destination = placement.state.destination
        if upload is None or destination.tier is Tier.OWN:
            return
        takes_pieces = await self.streams.takes_pieces(
            destination.peer_address, call.deadline - now
        )
        if not takes_pieces:
            try:
                async with asyncio.timeout(call.deadline - self.clock()):
                    body = await WholeBody(upload).read()
            except TimeoutError:
                self._end_timed_out(call)
                return
            if body is None:
                self._refuse(call, ErrorKind.OVERLOADED, 'memory')
                return
            call.request.body = body
            call.request.upload = None

    # Outcomes of an attempt, by verdict.

    def _on_answered(self, call, state, delivery, sent_at, now):
        failed = delivery.status >= 500
        self._record_evidence(call, state, failed, now - sent_at, now)
        call.arrivals += 1
        self.destinations.record_answer(state, failed, now)
        if not failed:
            self.run_times.record(
                call.service,
                call.route.name,
                delivery.run_ms / 1000,
                state.service_seconds,
            )
        if failed and self._may_retry(call, now):
            call.may_have_run = True
            if call.answer_body is None:
                call.last_failure = delivery
            else:
                call.answer_body.close()
            log_retried(call, state, delivery)
            call.tried_instances.add(state.destination.endpoint.instance_id)
            return
        self._respond(call, delivery, now)

    def _on_not_run(self, call, state, delivery, sent_at, now):
        instance = state.destination.endpoint.instance_id
        if delivery.reason == 'busy':
            call.busy_instances.add(instance)
        else:
            call.tried_instances.add(instance)
            state.away_until = now + AVOIDANCE_SECONDS
        if delivery.reason == 'cold' and delivery.occupancy is not None:
            cold_seconds = delivery.occupancy.cold_ms / 1000
            call.cold_seconds = max(call.cold_seconds, cold_seconds)
        self.counts[f'offer {delivery.reason}'] += 1
        if call.is_spent:
            self._refuse(call, ErrorKind.OVERLOADED, delivery.reason)

    def _on_refused(self, call, state, delivery, sent_at, now):
        call.arrivals += 1
        call.tried_instances.add(state.destination.endpoint.instance_id)
        if self._has_attempts_left(call) and self._spend_retry(call, now):
            log_retried(call, state, delivery)
            return
        self._refuse(call, ErrorKind.REFUSED_BY_SERVER, delivery.reason)

    def _on_lost(self, call, state, delivery, sent_at, now):
        call.arrivals += 1
        call.may_have_run = True
        call.tried_instances.add(state.destination.endpoint.instance_id)
        if now >= call.deadline:
            self._refuse(call, ErrorKind.DEADLINE_EXCEEDED, delivery.reason)
            return
        self.destinations.record_answer(state, True, now)
        if self._may_retry(call, now):
            log_retried(call, state, delivery)
            return
        self._refuse(call, ErrorKind.ANSWER_LOST, delivery.reason)

    def _on_timed_out(self, call, state, delivery, sent_at, now):
        call.may_have_run = True
        self._record_evidence(call, state, True, None, now)
        self.destinations.record_answer(state, True, now)
        self._refuse(call, ErrorKind.DEADLINE_EXCEEDED, delivery.reason)

    def _has_attempts_left(self, call):
        return call.arrivals < call.route.max_attempts and not call.is_spent

    def _spend_retry(self, call, now):
        taken = self.budget_of(call.service).try_acquire(
            call.route.name, self.table.node_count, now
        )
        name = 'retries' if taken else 'retries_over_budget'
        self.counts[name] += 1
        self._service_counts(call.service)[name] += 1
        if not taken:
            log_retry_over_budget(call)
        return taken

    def _may_retry(self, call, now):
        """Return whether a call that may have run goes to another endpoint."""
        return (
            call.route.repeatable
            and self._has_attempts_left(call)
            and now < call.deadline
            and self._has_untried_endpoint(call)
            and self._spend_retry(call, now)
        )

    def _has_untried_endpoint(self, call):
        return any(
            state.destination.endpoint.instance_id not in call.tried_instances
            for state in self._candidates(call)
        )

    def _record_evidence(self, call, state, failed, latency, now):
        split = self.table.moves.get(call.service)
        if split is None or not split.collects_evidence or call.arrivals:
            # The version of a retry was not chosen by the move's share, so
            # that it would bias the comparison.
            return
        version = state.destination.endpoint.version
        side = Side.NEW if version == split.to_version else Side.OLD
        latency_comparable = not failed and now >= state.slow_start_until
        key = (
            split.move_id,
            call.route.name,
            side,
            int(state.destination.tier),
            call.stage,
        )
        self.evidence.record(
            key, failed, latency if latency_comparable else None, now
        )

    # Answers to the caller.

    def _end_timed_out(self, call):
        if call.last_failure is not None:
            self._respond(call, call.last_failure, self.clock())
            return
        kind = ErrorKind.OVERLOADED
        if call.may_have_run:
            kind = ErrorKind.DEADLINE_EXCEEDED
        self._refuse(call, kind, 'time is over')

    def _refuse_unplaced(self, call):
        group = self.destinations.for_service(call.service)
        excluded = explain_exclusion(
            group, regions_of(call, self.table), self.table.evacuated_zones
        )
        if call.last_failure is not None:
            self._respond(call, call.last_failure, self.clock())
        elif excluded:
            self.counts[f'excluded {excluded}'] += 1
            detail = f'{call.service}: {excluded}'
            self._refuse(call, ErrorKind.NO_ENDPOINT, detail)
        elif group:
            detail = call.service
            if call.cold_seconds:
                self.counts['met_cold'] += 1
                detail = f'{call.service}: cold'
            self._refuse(call, ErrorKind.OVERLOADED, detail)
        else:
            self._refuse(call, ErrorKind.NO_ENDPOINT, call.service)

    def _refuse(self, call, kind, detail, retry_after=None):
        if call.ended:
            return
        kind = resolve_error_kind(kind, call.may_have_run)
        if call.is_within_limit and ANSWERS[kind].ran is Ran.NO:
            self.call_limits.take_back(call.organisation, self.clock())
        self.counts[f'refused_{kind.value}'] += 1
        now = self.clock()
        log_ended(call, self.table, kind.value, detail, now)
        self._end(call)
        if ANSWERS[kind].http_status in (429, *SERVER_ERRORS):
            self._remember(call, now)
        keep_alive = call.request.stays_open(self.draining)
        if ANSWERS[kind].http_status in RETRIED_STATUSES:
            # Callers retry on a new connection; this one would stay idle,
            # unless it carries other requests.
            keep_alive = keep_alive and call.request.is_pipelined
            retry_after = retry_after or self._retry_after(call, now)
        raw = build_error(
            kind, detail, call.request_id, keep_alive, retry_after
        )
        call.respond(raw, keep_alive)

    def _retry_after(self, call, now):
        """Return the seconds after which a refused call may come back.

        Calls that met cold endpoints come back spread over the warming, as
        far as callers would wait.
        """
        spread_seconds = max(
            RETRY_AFTER_SECONDS,
            min(
                call.cold_seconds,
                (call.deadline - now) * CALLERS_PATIENCE_FRACTION
                - RETRY_AFTER_SECONDS,
            ),
        )
        return RETRY_AFTER_SECONDS + spread_seconds * self.random.random()

    def _respond(self, call, delivery, now):
        if call.ended:
            return
        self.counts['answers'] += 1
        self.latencies.observe(now - call.started_at)
        log_ended(call, self.table, f'status {delivery.status}', '', now)
        self._end(call)
        if delivery.status in SERVER_ERRORS:
            self._remember(call, now)
        keep_alive = call.request.stays_open(self.draining)
        if delivery.streamed_bytes:
            self._respond_in_pieces(call, delivery, keep_alive)
            return
        raw = build_answer(
            delivery.status,
            delivery.headers,
            delivery.body,
            keep_alive,
            call.request.method == 'HEAD',
        )
        call.respond(raw, keep_alive)

    def _respond_in_pieces(self, call, delivery, keep_alive):
        length = call.answer_body.length
        chunked = length is None and call.request.takes_chunks
        keep_alive = keep_alive and (chunked or length is not None)
        head = build_answer_head(
            delivery.status, delivery.headers, length, keep_alive, chunked
        )
        call.respond(head, keep_alive, call.answer_body, chunked)

    def _remember(self, call, now):
        """Remember a call that its caller may send again."""
        if call.caller_deadline:
            self.returning_calls.record(
                call.return_key, call.caller_deadline, call.first_at, now
            )

    def _end(self, call):
        call.ended = True
        self.calls.discard(call)

    def cancel(self, call):
        """Cancel a call whose caller disconnected."""
        if call.ended:
            return
        self.counts['cancelled'] += 1
        self._end(call)
        call.task.cancel()

    def give_up_calls(self):
        """Answer each call in flight, since the process is about to end.

        An endpoint may be running it.
        """
        for call in list(self.calls):
            call.may_have_run = True
            self._refuse(call, ErrorKind.DRAINING, call.service)
            call.task.cancel()

    @property
    def in_flight(self):
        """Return the number of calls in flight."""
        return len(self.calls)

    def busy(self):
        """Return the numbers of calls in flight by service and version."""
        return self.destinations.busy()

    def dump_organisations(self):
        """Return those nearest to their limits, for the state dump."""
        shared = self.table.keys.shared.values()
        return {
            'number': len(self.table.organisations),
            'holders_of_shared_keys': sorted(set().union(*shared)),
            'nearest_to_limits': self.call_limits.nearest(
                DUMPED_ORGANISATIONS, self.clock()
            ),
        }

    def dump_servers(self):
        """Return the state of each endpoint for the state dump."""
        return self.destinations.dump()


VERDICT_HANDLERS = {
    Verdict.ANSWERED: Sender._on_answered,
    Verdict.NOT_RUN: Sender._on_not_run,
    Verdict.REFUSED: Sender._on_refused,
    Verdict.LOST: Sender._on_lost,
    Verdict.TIMED_OUT: Sender._on_timed_out,
}


def _parse_milliseconds(raw):
    """Parse a caller's deadline header; return None if it is invalid."""
    if raw is None or not raw.isdigit() or len(raw) > MAX_DEADLINE_DIGITS:
        return None
    return int(raw)
