"""Admit requests to the local endpoint, which only its own node sends to.

The receiving node knows which endpoint is co-located, how many requests it
runs and whether it is draining. It admits requests by that state alone, so
that stale routing tables at the senders do no harm.
"""

from asyncio import get_running_loop
from collections import Counter
import logging
from math import inf

from msgspec.structs import replace

from poplarrack.admissions import Admission
from poplarrack.body_pipes import MAX_WHOLE_BODY_BYTES
from poplarrack.byte_budgets import ByteBudget
from poplarrack.cold_gates import ColdGate
from poplarrack.doors import Door
from poplarrack.endpoint_health import FailureRate
from poplarrack.exchanges import Delivery
from poplarrack.exchanges import Occupancy
from poplarrack.exchanges import Verdict
from poplarrack.fair_queues import FairShares
from poplarrack.fetched_bodies import FetchedBody
from poplarrack.fetched_bodies import is_fetched
from poplarrack.forwarded_requests import build_forwarded_request
from poplarrack.http_messages import is_end_to_end
from poplarrack.learned_rooms import LearnedRoom
from poplarrack.link_gates import LinkGate
from poplarrack.members import EndpointState
from poplarrack.members import same_start
from poplarrack.queue_orders import QUEUE_ORDERS
from poplarrack.received_requests import ReceivedRequest
from poplarrack.received_requests import RunningRepeats
from poplarrack.resources import CallerLimits
from poplarrack.upstream_exchanges import Outcome
from poplarrack.upstream_pools import UpstreamPool

logger = logging.getLogger(__name__)

# A connection within one machine is set up at once or not at all.
CONNECT_TIMEOUT_SECONDS = 0.5
# Backoff after the endpoint refused a connection or none could be set up.
UNREACHABLE_BACKOFF_SECONDS = 0.2
# How long before the caller's deadline the endpoint's answer is no longer
# awaited, so that the outcome reaches the caller in time.
ANSWER_MARGIN_SECONDS = 0.005
# Bound of the wait for a cold endpoint that is told to senders.
MAX_TOLD_WAIT_SECONDS = 60.0
# Megabits per second of a link of which nothing is known.
UNBOUNDED_LINK = 1e6
# Fraction of its target latency that a request may wait while the endpoint is
# full.
FULL_WAIT_FRACTION = 0.25
# A request that did not run was refused at once if it waited less.
MIN_COUNTED_WAIT_SECONDS = 0.005
# Ranks that are counted, each with a label; further ones count together.
MAX_COUNTED_RANKS = 32
OTHER_RANKS = '(other)'
# Outcomes that count as failures of the endpoint.
FAILED_OUTCOMES = (Outcome.LOST, Outcome.TIMED_OUT, Outcome.TOO_LARGE)


class Receiver:
    """Admits requests to the local endpoint.

    :param header_names: the HeaderNames of the mesh.
    :param clock: a function that returns seconds since the epoch and never
        goes back, such as a SteadyClock.
    :param max_answer_bytes: bound on the size of an answer.
    :param budget: the ByteBudget of the process.
    :param learns_room: whether the endpoint's room is learned.
    """

    def __init__(
        self,
        header_names,
        clock,
        max_answer_bytes,
        budget=None,
        learns_room=False,
    ):
        self.header_names = header_names
        self.clock = clock
        self.max_answer_bytes = max_answer_bytes
        self.budget = budget or ByteBudget()
        self.learns_room = learns_room
        self.endpoint = None
        self.pool = None
        self.admission = Admission(0)
        # Set where the configuration holds organisations.
        self.shares = None
        self.failure_rate = FailureRate()
        self.unreachable_until = 0.0
        self.refuses_new_requests = False
        # Replaced with each new configuration.
        self.door = Door()
        self.cold_gate = ColdGate(clock())
        self.counts = Counter()
        self.counts_by_rank = {}
        self.received_requests = set()
        # The BodyPipes of answers that are passed on in pieces.
        self.answer_bodies = set()
        # A caller that takes nothing of its answer for so long gives its slot
        # up to requests that wait.
        self.stalled_seconds = CallerLimits('callers').idle_timeout_seconds
        # Set where the link of the node is known.
        self.link_gate = None
        # Set where the node also sends requests: its LoadReports.
        self.load_reports = None
        self.running_repeats = RunningRepeats()

    def set_endpoint(self, endpoint, cold_until=0.0):
        """Set the local endpoint, or None when there is none.

        Another instance, or another start of the same one, gets a connection
        pool and an admission queue of its own; requests that wait for the
        previous one are answered with NOT_RUN.

        :param cold_until: when its slow start ends, as it just told.
        """
        previous = self.endpoint
        self.endpoint = endpoint
        born = endpoint.born / 1000 if endpoint is not None else 0.0
        self.cold_gate.hear(cold_until, born)
        if self.door.is_evacuated:
            # It may become cold before it gets requests again.
            self.cold_gate.doubt()
        if endpoint is None:
            self.refuse_waiting('no endpoint')
            return
        if previous is not None and same_start(previous, endpoint):
            self.admission.resize(endpoint.slots)
            if endpoint.state is not EndpointState.SERVING:
                self.refuse_waiting('draining')
            return
        self.refuse_waiting('replaced')
        if self.pool is not None:
            self.pool.close()
        self.unreachable_until = 0.0
        learned = None
        if self.learns_room:
            learned = LearnedRoom(endpoint.slots, self.clock())
        self.admission = Admission(endpoint.slots, learned, self._order_name)
        self.failure_rate = FailureRate()
        self.pool = UpstreamPool(
            endpoint.address,
            self.max_answer_bytes,
            CONNECT_TIMEOUT_SECONDS,
            self.budget,
        )

    def occupancy(self):
        """Return the Occupancy of the endpoint."""
        admission = self.admission
        now = self.clock()
        wait = admission.expected_wait_of_new(now)
        wait = max(wait, min(self._cold_wait(now), MAX_TOLD_WAIT_SECONDS))
        return Occupancy(
            admission.running,
            admission.count_ahead_of_new(now),
            admission.slots,
            int(wait * 1000),
            round(admission.service_seconds * 1000, 1),
            round(self.failure_rate.at(now), 2),
            admission.room if admission.learned else 0.0,
            self._cold_ms(now),
        )

    def _cold_rate(self):
        if self.endpoint is None:
            return 0.0
        return self.door.cold_rate(self.endpoint.service)

    def _cold_wait(self, now, ahead=0):
        """Return the seconds until the cold endpoint may get a request.

        :param ahead: requests that wait before it.
        """
        if not self.cold_gate.is_cold(now):
            return 0.0
        return self.cold_gate.wait(self._cold_rate(), now, ahead)

    def _cold_ms(self, now):
        if not self.cold_gate.is_cold(now) or not self._cold_rate():
            return 0
        # One that may be cold tells soon.
        return max(1, int(self.cold_gate.cold_seconds(now) * 1000))

    @property
    def in_flight(self):
        """Return the number of requests that are queued or running."""
        return len(self.received_requests)

    def receive(self, request, reply, upload=None, in_pieces=False):
        """Run a request, queue it or refuse it.

        :param request: the RoutedRequest.
        :param reply: called once with the Delivery.
        :param upload: the BodyPipe of a body that follows, or None. It is
            opened once the endpoint takes the request.
        :param in_pieces: whether ``reply`` also takes the BodyPipe of a long
            answer.
        :returns: the ReceivedRequest, to pass to ``cancel``.
        """
        now = self.clock()
        if request.loads and self.load_reports is not None:
            self.load_reports.learn(request.loads, now)
        deadline = now + request.time_left_ms / 1000 - ANSWER_MARGIN_SECONDS
        received = ReceivedRequest(request, reply, deadline, upload, in_pieces)
        received.received_at = now
        self._count_rank(request.rank, 'received')
        if self.answer_bodies and not self.admission.free_slots:
            self._end_stalled_answer()
        reason = self._refusal_reason(request, now)
        if reason in ('', 'busy') and not request.was_offered:
            self.admission.turns.ask(request.rank, now)
        if reason:
            self._reply_not_run(received, reason)
            return received
        self.received_requests.add(received)
        if is_fetched(upload):
            self._fetch(received, now)
        else:
            self._admit(received, now)
        return received

    def _admit(self, received, now):
        """Run a request or let it wait for a slot."""
        request = received.request
        if self.shares is not None:
            received.ticket = self.shares.charge(
                request.rank, request.organisation, request.route
            )
        if self.admission.free_slots and not self.admission.queue:
            self._run(received, now)
        else:
            self._enqueue(received, now)
            self._displace(now)

    def _fetch(self, received, now):
        """Fetch a request's body before it is admitted."""
        request, upload = received.request, received.upload
        gate = self.link_gate or LinkGate(UNBOUNDED_LINK)

        def done(body):
            received.fetched = None
            received.timer.cancel()
            self._on_fetched(received, body, self.clock())

        received.fetched = FetchedBody(gate, upload, done)
        received.upload = None
        max_wait_seconds = max(0.0, request.max_wait_ms / 1000)
        received.timer = get_running_loop().call_later(
            min(
                received.deadline - now,
                max_wait_seconds + gate.crossing_seconds(upload.length),
            ),
            self._expire_fetch,
            received,
        )
        received.fetched.begin(request.rank, received.deadline)

    def _on_fetched(self, received, body, now):
        if received.ended:
            return
        if body is None:
            self._reply_not_run(received, 'body not fetched')
            return
        received.receiver = self
        self.budget.hold(received, len(body))
        if received.ended:
            return
        late_ms = int((now - received.received_at) * 1000)
        request = received.request = replace(
            received.request,
            body=body,
            streamed_bytes=0,
            target_left_ms=max(0, received.request.target_left_ms - late_ms),
        )
        reason = self._refusal_reason(request, now)
        if reason:
            self._reply_not_run(received, reason)
            return
        self._admit(received, now)

    def _expire_fetch(self, received):
        received.fetched.cancel()
        received.fetched = None
        self._reply_not_run(received, 'busy')

    def _end_stalled_answer(self):
        """Break off the answer of which nothing was taken for the longest.

        Load answered: as many callers that read nothing as the endpoint has
        slots, which others wait for.
        """
        stillest = max(self.answer_bodies, key=self.budget.still_seconds)
        if (
            stillest.is_full
            and self.budget.still_seconds(stillest) > self.stalled_seconds
        ):
            self.counts['stalled_answers'] += 1
            stillest.give_up()

    def _refusal_reason(self, request, now):
        """Return why a request is not admitted, or an empty string."""
        endpoint = self.endpoint
        if endpoint is None:
            return 'no endpoint'
        if endpoint.service != request.service:
            return 'other service'
        if request.instance_id not in ('', endpoint.instance_id):
            return 'other instance'
        if endpoint.state is not EndpointState.SERVING:
            return 'draining'
        return self._state_reason(request, now)

    def _state_reason(self, request, now):
        """Return why the present state admits no request, if it does not."""
        if self.refuses_new_requests:
            return 'stopping'
        if now < self.unreachable_until:
            return 'endpoint unreachable'
        excluded = self.door.find_refusal(request)
        if excluded:
            return excluded
        if self._cold_wait(now, len(self.admission.queue)) > 0:
            return 'cold'
        if self._link_wait(request) > request.max_wait_ms / 1000:
            return 'busy'
        return '' if self._admits(request, now) else 'busy'

    def _link_wait(self, request):
        """Return the seconds until a body that is to be fetched may come."""
        size = request.streamed_bytes
        if self.link_gate is None or not 0 < size <= MAX_WHOLE_BODY_BYTES:
            return 0.0
        return self.link_gate.expected_wait(request.rank, size)

    def _admits(self, request, now):
        """Return whether a request can run, now or after its longest wait."""
        tag = inf
        if self.shares is not None:
            tag = self.shares.tag_of(request.rank, request.organisation)
        return self.admission.admits(
            request.rank,
            self._max_wait(request, now),
            now,
            request.spare_slot_fraction,
            tag,
        )

    def _max_wait(self, request, now):
        """Return the seconds that a request may be expected to wait.

        While the room is full of what can be in time, a long queue would
        serve each request at the end of its time, and leave none to those
        that are refused for another attempt.
        """
        seconds = request.max_wait_ms / 1000
        if not self.admission.is_full(now):
            return seconds
        target_seconds = request.target_left_ms / 1000
        return min(seconds, FULL_WAIT_FRACTION * target_seconds)

    def _enqueue(self, received, now):
        request = received.request
        expires_at = self._expires_at(received, now)
        received.queue_entry = self.admission.enqueue(
            received,
            request.rank,
            received.deadline,
            expires_at,
            now + request.target_left_ms / 1000,
            received.ticket.tag if received.ticket else 0.0,
            request.route,
        )
        received.timer = get_running_loop().call_later(
            expires_at - now, self._expire, received
        )

    def _expires_at(self, received, now):
        """Return when a request that has not run is given back."""
        max_wait_seconds = max(0.0, received.request.max_wait_ms / 1000)
        return min(received.deadline, now + max_wait_seconds)

    def _displace(self, now):
        """Refuse at once what others have left too late."""
        for late in self.admission.remove_late(now):
            self._reply_not_run(late.received, 'busy')
        item = self.shares and self.admission.displaced(now)
        if item:
            self.admission.discard(item)
            self._reply_not_run(item.received, 'busy')

    def _expire(self, received):
        self.admission.discard(received.queue_entry)
        self._reply_not_run(received, 'busy')

    def refuse_waiting(self, reason):
        """Answer the requests that have not run with NOT_RUN."""
        for received in list(self.received_requests):
            if received.fetched is not None:
                received.fetched.cancel()
                self._reply_not_run(received, reason)
        for item in list(self.admission.queue):
            self.admission.discard(item)
            self._reply_not_run(item.received, reason)

    def _run(self, received, now):
        if received.timer is not None:
            received.timer.cancel()
        request = received.request
        remaining_seconds = received.deadline - now
        admission = self.admission
        run = admission.begin(request.route, now, request.rank)
        received.sent_at = now
        self.cold_gate.record(now)
        if received.ticket is not None:
            self.shares.begin(received.ticket)
        self.counts['sent'] += 1
        self._count_rank(request.rank, 'sent')
        self.counts['sent_repeats'] += request.is_repeat
        self.running_repeats.add(request)

        def done(outcome, answer):
            # A long answer takes as long as its caller reads it.
            succeeded = (
                outcome is Outcome.ANSWERED
                and answer.status < 400
                and not received.has_begun
            )
            room = admission.room
            admission.end(run, self.clock(), succeeded)
            if admission.room != room:
                self._log_room(admission)
            self.running_repeats.remove(request)
            self._on_outcome(received, admission, outcome, answer)

        def begin(answer, body):
            return self._begin_answer(received, admission, answer, body)

        received.exchange = self.pool.start(
            build_forwarded_request(
                request,
                self.endpoint,
                self.header_names,
                remaining_seconds,
                received.upload,
            ),
            request.method == 'HEAD',
            remaining_seconds,
            done,
            (self.header_names.request_id, request.request_id),
            upload=received.upload,
            on_begin=begin if received.in_pieces else None,
        )

    def _log_room(self, admission):
        logger.info(
            'room_changed',
            extra={
                'instance': self.endpoint and self.endpoint.instance_id,
                'room': admission.room,
                'slots': admission.slots,
                'reason': admission.learned.reason,
                'running': admission.running,
                'waiting': len(admission.queue),
            },
        )

    def _on_outcome(self, received, admission, outcome, answer):
        now = self.clock()
        received.exchange = None
        if outcome in FAILED_OUTCOMES:
            self.failure_rate.record(True, now)
        if received.has_begun:
            self.answer_bodies.discard(received.answer_body)
            self._end(received)
        elif outcome is Outcome.ANSWERED:
            self._on_answer(received, admission, answer, now)
        elif outcome is Outcome.NEVER_SENT:
            self.unreachable_until = now + UNREACHABLE_BACKOFF_SECONDS
            # It may be starting again.
            self.cold_gate.doubt()
            self._reply_not_run(received, 'endpoint unreachable')
        elif outcome is Outcome.TIMED_OUT:
            self._reply_unanswered(received, Verdict.TIMED_OUT, 'time is over')
        elif outcome is Outcome.CANCELLED:
            self._end(received)
        else:
            self._reply_unanswered(received, Verdict.LOST, outcome.value)
        self._serve_queue(now)

    def _on_answer(self, received, admission, answer, now):
        if self._is_refused_head(received, answer, now):
            return
        self._observe(received, admission, answer, now)
        delivery = self._build_delivery(received, answer, now)
        self._reply(received, delivery)

    def _begin_answer(self, received, admission, answer, body):
        """Pass on an answer whose body follows; return whether it is taken.

        The request goes on running until the body is complete.
        """
        now = self.clock()
        received.has_begun = True
        if received.ended or self._is_refused_head(received, answer, now):
            return False
        self._observe(received, admission, answer, now)
        delivery = self._build_delivery(received, answer, now, body.length)
        received.answer_body = body
        self.answer_bodies.add(body)
        received.reply(self._add_loads(received, delivery), body)
        return True

    def _is_refused_head(self, received, answer, now):
        """Refuse an answer by its head; return whether that was necessary."""
        header_names = self.header_names
        not_run = (
            answer.header(header_names.not_run) is not None
            or answer.status in header_names.not_run_statuses
        )
        if not_run:
            self.failure_rate.record(True, now)
            self._reply_unanswered(
                received, Verdict.REFUSED, f'status {answer.status}'
            )
            return True
        is_stamped = (
            not header_names.origin_stamp
            or answer.header(header_names.origin_stamp) is not None
        )
        if not is_stamped or answer.header(b'content-encoding') is not None:
            # Endpoints of this mesh stamp their answers and don't compress
            # them, so something on the way altered this one.
            self.failure_rate.record(True, now)
            self._reply_unanswered(received, Verdict.LOST, 'spoiled answer')
            return True
        return False

    def _observe(self, received, admission, answer, now):
        failed = answer.status >= 500
        self.failure_rate.record(failed, now)
        if not failed:
            # Failures are often fast: an endpoint that fails would seem the
            # fastest one.
            admission.observe(now - received.sent_at, received.request.route)
            if self.shares is not None:
                self.shares.learn(
                    received.request.route, now - received.sent_at
                )
        self.counts['answered'] += 1
        request = received.request
        target_at = received.received_at + request.target_left_ms / 1000
        if request.target_left_ms and now > target_at:
            self._count_rank(request.rank, 'late')

    def _build_delivery(self, received, answer, now, streamed_bytes=0):
        """Return the Delivery of an answer.

        :param streamed_bytes: the size of a body that follows, None if that
            is not known, 0 if the answer is whole.
        """
        headers = [item for item in answer.headers if is_end_to_end(item[0])]
        return Delivery(
            Verdict.ANSWERED,
            answer.status,
            headers,
            answer.body,
            '',
            self.occupancy(),
            run_ms=round((now - received.sent_at) * 1000, 1),
            streamed_bytes=-1 if streamed_bytes is None else streamed_bytes,
        )

    def _serve_queue(self, now):
        while True:
            item, too_late = self.admission.dequeue(now)
            for late in too_late:
                self._reply_not_run(late.received, 'too late to run')
            if item is None:
                return
            # The configuration may have changed while it waited.
            excluded = self.door.find_refusal(item.received.request)
            if not excluded and self._cold_wait(now) > 0:
                # Warm endpoints may serve it sooner.
                excluded = 'cold'
            if excluded:
                self._reply_not_run(item.received, excluded)
                continue
            self._run(item.received, now)

    def _reply_not_run(self, received, reason):
        self._reply_unanswered(received, Verdict.NOT_RUN, reason)

    def _reply_unanswered(self, received, verdict, reason):
        self.counts[f'{verdict.name.lower()} {reason}'] += 1
        waited_seconds = self.clock() - received.received_at
        if verdict is Verdict.NOT_RUN:
            has_waited = waited_seconds >= MIN_COUNTED_WAIT_SECONDS
            self._count_rank(
                received.request.rank,
                'not_run_after_wait' if has_waited else 'not_run_at_once',
            )
        logger.info(
            'endpoint_not_answered',
            extra={
                'request': received.request.request_id.decode('latin-1'),
                'instance': received.request.instance_id,
                'outcome': f'{verdict.name.lower()}: {reason}',
                'running': self.admission.running,
                'waiting': len(self.admission.queue),
                'slots': self.admission.slots,
                'rank': received.request.rank,
                'waited_ms': round(waited_seconds * 1000, 1),
                **self._describe_share(received),
                'room': self.admission.room,
            },
        )
        delivery = Delivery(verdict, reason=reason, occupancy=self.occupancy())
        self._reply(received, delivery)

    def _reply(self, received, delivery):
        if not received.ended:
            self._end(received)
            received.reply(self._add_loads(received, delivery))

    def _add_loads(self, received, delivery):
        if received.request.loads and self.load_reports is not None:
            loads = self.load_reports.collect(self.clock())
            return replace(delivery, loads=loads)
        return delivery

    def _end(self, received):
        received.ended = True
        self.budget.release(received)
        self._settle(received)
        if received.timer is not None:
            received.timer.cancel()
        self.received_requests.discard(received)

    def _count_rank(self, rank, name):
        counts = self.counts_by_rank.get(rank)
        if counts is None:
            if len(self.counts_by_rank) >= MAX_COUNTED_RANKS:
                rank = OTHER_RANKS
            counts = self.counts_by_rank.setdefault(rank, Counter())
        counts[name] += 1

    def _describe_share(self, received):
        """Return the inputs of a place in the queue, for the log."""
        if self.shares is None:
            return {}
        request = received.request
        return {
            'organisation': request.organisation,
            'seconds_beyond_share': round(
                self.shares.beyond_share(request.rank, request.organisation), 3
            ),
        }

    def _settle(self, received):
        """Charge the organisation for what its request took."""
        if received.ticket is None or self.shares is None:
            return
        if received.sent_at:
            seconds = self.clock() - received.sent_at
            self.shares.end(received.ticket, seconds)
        else:
            self.shares.refund(received.ticket)

    def share_fairly(self, wanted):
        """Set whether organisations get fair shares of the endpoint."""
        if wanted != (self.shares is not None):
            self.shares = FairShares() if wanted else None
            self.admission.order = QUEUE_ORDERS[self._order_name]

    @property
    def _order_name(self):
        return 'deadline' if self.shares is None else 'target'

    def cancel(self, received):
        """Cancel a request whose sender no longer waits for it."""
        if received.ended:
            return
        self.counts['cancelled'] += 1
        if received.exchange is not None:
            # The exchange's CANCELLED outcome ends the request.
            received.exchange.pool.cancel(received.exchange)
            return
        if received.fetched is not None:
            received.fetched.cancel()
        self.admission.discard(received.queue_entry)
        self._end(received)

    def give_up(self, received):
        """End a request that the budget has no room for.

        One that waits was not run.
        """
        if received.exchange is not None:
            received.exchange.pool.cancel(received.exchange, Outcome.TOO_LARGE)
        elif not received.ended:
            self.admission.discard(received.queue_entry)
            self._reply_not_run(received, 'memory')

    def close_idle(self, now):
        """Close idle connections to the endpoint."""
        if self.pool is not None:
            self.pool.close_idle(now)
