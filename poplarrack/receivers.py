"""Guard the endpoint beside a node: the one way to reach it.

The receiving node knows which endpoint stands beside it, how many
requests it runs and whether it leaves; it decides by that alone what is
sent to it, however stale the senders are.
"""

from asyncio import get_running_loop
from collections import Counter
from dataclasses import dataclass
import logging

from poplarrack.admissions import Admission
from poplarrack.exchanges import Delivery
from poplarrack.exchanges import Occupancy
from poplarrack.exchanges import RoutedRequest
from poplarrack.exchanges import Verdict
from poplarrack.http_messages import build_request
from poplarrack.http_messages import HttpRequest
from poplarrack.http_messages import is_end_to_end
from poplarrack.members import EndpointState
from poplarrack.members import same_start
from poplarrack.upstreams import Outcome
from poplarrack.upstreams import UpstreamPool

logger = logging.getLogger(__name__)

# A connection on the own machine stands at once or not at all.
CONNECT_TIMEOUT_SECONDS = 0.5
# An endpoint that refuses or fails to connect is left alone for so long.
UNREACHABLE_BACKOFF_SECONDS = 0.2
# How much sooner than the caller's deadline the answer is given up, so
# that the caller still gets the word.
ANSWER_MARGIN_SECONDS = 0.005


@dataclass(slots=True, eq=False)
class ReceivedRequest:
    """A request at the receiving node."""

    request: RoutedRequest
    reply: object
    deadline: float
    place: object = None
    timer: object = None
    exchange: object = None
    sent_at: float = 0.0
    ended: bool = False


class Receiver:
    """Admit requests to the endpoint beside this node.

    :param header_names: the header names of the mesh.
    :param clock: a function to steady seconds.
    """

    def __init__(self, header_names, clock, max_answer_bytes):
        self.header_names = header_names
        self.clock = clock
        self.max_answer_bytes = max_answer_bytes
        self.endpoint = None
        self.pool = None
        self.admission = Admission(0)
        self.unreachable_until = 0.0
        self.rejects_new_requests = False
        self.counts = Counter()
        self.received_requests = set()

    def set_endpoint(self, endpoint):
        """Take what is known of the endpoint beside this node, or None.

        Another instance gets its own connections and counts; what waits
        for the one before is told that it was not run.
        """
        held = self.endpoint
        self.endpoint = endpoint
        if endpoint is None:
            self._refuse_waiting('no endpoint')
            return
        if held is not None and same_start(held, endpoint):
            self.admission.slots = endpoint.slots
            if endpoint.state is not EndpointState.SERVING:
                self._refuse_waiting('draining')
            return
        self._refuse_waiting('replaced')
        if self.pool is not None:
            self.pool.close()
        self.unreachable_until = 0.0
        self.admission = Admission(endpoint.slots)
        self.pool = UpstreamPool(
            endpoint.address, self.max_answer_bytes, CONNECT_TIMEOUT_SECONDS
        )

    def occupancy(self):
        """Return how busy the endpoint is."""
        admission = self.admission
        wait = admission.expected_wait(len(admission.queue))
        return Occupancy(
            admission.running,
            len(admission.queue),
            admission.slots,
            int(wait * 1000),
            round(admission.service_seconds * 1000, 1),
        )

    @property
    def in_flight(self):
        """Return how many requests are here."""
        return len(self.received_requests)

    def take(self, request, reply):
        """Take a request; ``reply`` gets a Delivery once.

        :returns: a ReceivedRequest, which ``cancel`` takes.
        """
        now = self.clock()
        deadline = now + request.time_left_ms / 1000 - ANSWER_MARGIN_SECONDS
        received = ReceivedRequest(request, reply, deadline)
        reason = self._reason_against(request, now)
        if reason:
            self._answer_not_run(received, reason)
            return received
        self.received_requests.add(received)
        if self.admission.free and not self.admission.queue:
            self._run(received, now)
        else:
            self._wait(received, now)
        return received

    def _reason_against(self, request, now):
        """Return why the endpoint must not get a request, or nothing."""
        endpoint = self.endpoint
        if endpoint is None:
            return 'no endpoint'
        if endpoint.service != request.service:
            return 'other service'
        if request.instance_id not in ('', endpoint.instance_id):
            return 'other instance'
        if endpoint.state is not EndpointState.SERVING:
            return 'draining'
        if self.rejects_new_requests:
            return 'stopping'
        if now < self.unreachable_until:
            return 'endpoint unreachable'
        patience = request.max_wait_ms / 1000
        if not self.admission.admits(
            request.rank, patience, request.spare_slot_fraction
        ):
            return 'busy'
        return ''

    def _wait(self, received, now):
        request = received.request
        patience = max(0.0, request.max_wait_ms / 1000)
        give_up_at = min(received.deadline, now + patience)
        received.place = self.admission.enqueue(
            received,
            request.rank,
            received.deadline,
            give_up_at,
            now + request.target_left_ms / 1000,
        )
        received.timer = get_running_loop().call_later(
            give_up_at - now, self._give_up, received
        )

    def _give_up(self, received):
        self.admission.discard(received.place)
        self._answer_not_run(received, 'busy')

    def _refuse_waiting(self, reason):
        for item in list(self.admission.queue):
            self.admission.discard(item)
            self._answer_not_run(item.received, reason)

    def _run(self, received, now):
        if received.timer is not None:
            received.timer.cancel()
        request = received.request
        left = received.deadline - now
        admission = self.admission
        admission.running += 1
        received.sent_at = now
        self.counts['sent'] += 1

        def done(outcome, answer):
            admission.running -= 1
            self._on_outcome(received, admission, outcome, answer)

        received.exchange = self.pool.start(
            self._build(request, left),
            request.method == 'HEAD',
            left,
            done,
            (self.header_names.request_id, request.request_id),
        )

    def _build(self, request, left):
        header_names = self.header_names
        lines = [
            b'%s: %d\r\n'
            % (header_names.deadline_ms, max(1, int(left * 1000)))
        ]
        if header_names.instance and self.endpoint.instance_id:
            instance = self.endpoint.instance_id.encode()
            lines.append(b'%s: %s\r\n' % (header_names.instance, instance))
        if header_names.caller_service:
            caller = request.caller_service.encode()
            lines.append(b'%s: %s\r\n' % (header_names.caller_service, caller))
        passed = HttpRequest(
            request.method, request.target, request.headers, request.body
        )
        return build_request(passed, self.endpoint.address, b''.join(lines))

    def _on_outcome(self, received, admission, outcome, answer):
        now = self.clock()
        received.exchange = None
        if outcome is Outcome.ANSWERED:
            self._on_answer(received, admission, answer, now)
        elif outcome is Outcome.NEVER_SENT:
            self.unreachable_until = now + UNREACHABLE_BACKOFF_SECONDS
            self._answer_not_run(received, 'endpoint unreachable')
        elif outcome is Outcome.TIMED_OUT:
            self._answer(received, Verdict.TIMED_OUT, 'time is over')
        elif outcome is Outcome.CANCELLED:
            self._end(received)
        else:
            self._answer(received, Verdict.LOST, outcome.value)
        self._serve_queue(now)

    def _on_answer(self, received, admission, answer, now):
        header_names = self.header_names
        not_run = (
            answer.header(header_names.not_run) is not None
            or answer.status in header_names.not_run_statuses
        )
        if not_run:
            self._answer(received, Verdict.REFUSED, f'status {answer.status}')
            return
        proven = (
            not header_names.proof
            or answer.header(header_names.proof) is not None
        )
        if not proven or answer.header(b'content-encoding') is not None:
            # Not what an endpoint of this mesh sends: spoiled on its way.
            self._answer(received, Verdict.LOST, 'spoiled answer')
            return
        admission.observe(now - received.sent_at)
        headers = [item for item in answer.headers if is_end_to_end(item[0])]
        self.counts['answered'] += 1
        self._reply(
            received,
            Delivery(
                Verdict.ANSWERED,
                answer.status,
                headers,
                answer.body,
                '',
                self.occupancy(),
            ),
        )

    def _serve_queue(self, now):
        while True:
            item, too_late = self.admission.take(now)
            for late in too_late:
                self._answer_not_run(late.received, 'too late to run')
            if item is None:
                return
            self._run(item.received, now)

    def _answer_not_run(self, received, reason):
        self._answer(received, Verdict.NOT_RUN, reason)

    def _answer(self, received, verdict, reason):
        self.counts[f'{verdict.name.lower()} {reason}'] += 1
        logger.info(
            'endpoint_not_answered',
            extra={
                'request': received.request.request_id.decode('latin-1'),
                'instance': received.request.instance_id,
                'outcome': f'{verdict.name.lower()}: {reason}',
                'running': self.admission.running,
                'waiting': len(self.admission.queue),
                'slots': self.admission.slots,
            },
        )
        delivery = Delivery(verdict, reason=reason, occupancy=self.occupancy())
        self._reply(received, delivery)

    def _reply(self, received, delivery):
        if not received.ended:
            self._end(received)
            received.reply(delivery)

    def _end(self, received):
        received.ended = True
        if received.timer is not None:
            received.timer.cancel()
        self.received_requests.discard(received)

    def cancel(self, received):
        """End a request that nobody waits for."""
        if received.ended:
            return
        self.counts['cancelled'] += 1
        if received.exchange is not None:
            # The outcome of the exchange ends the request.
            received.exchange.pool.cancel(received.exchange)
            return
        self.admission.discard(received.place)
        self._end(received)

    def close_idle(self, now):
        """Close connections to the endpoint that nobody used."""
        if self.pool is not None:
            self.pool.close_idle(now)
