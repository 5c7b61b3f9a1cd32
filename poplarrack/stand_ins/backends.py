"""Stand-in for a backend server: slots, faults, drain, announcements."""

import asyncio
from collections import Counter
from collections import deque
from dataclasses import dataclass
from json import dumps
import logging
from random import Random
import socket

from urllib3 import PoolManager
from urllib3 import Retry
from urllib3.exceptions import HTTPError

from poplarrack.http_messages import build_answer
from poplarrack.http_messages import CALL_HEADER
from poplarrack.http_messages import DEADLINE_HEADER
from poplarrack.http_messages import NOT_RUN_HEADER
from poplarrack.http_messages import RAN_HEADER
from poplarrack.http_messages import VERSION_HEADER

logger = logging.getLogger(__name__)

ANNOUNCE_SECONDS = 1.0
ANNOUNCE_TIMEOUT_SECONDS = 1.0
KEY_HEADER = b'x-call-key'


@dataclass(frozen=True)
class Behaviour:
    """How a stand-in serves; times are in seconds.

    ``cold`` is the time from the start during which calls take
    ``cold_factor`` times as long. The faults ``fail_rate`` and
    ``slow_factor`` apply only from ``bad_after`` seconds after the start,
    while at least ``bad_in_flight`` calls are in flight, to targets that
    begin with ``bad_prefix``. ``lies`` inverts the announced health.
    ``witness`` is the path of a datagram socket that receives the key of
    each call when it begins to run. The announced health and load lag by
    one announcement.
    """

    slots: int = 10
    connections: int = 110
    queue: int = 0
    delay: float = 0.002
    body_bytes: int = 1024
    cold: float = 0.0
    cold_factor: float = 4.0
    fail_rate: float = 0.0
    slow_factor: float = 1.0
    bad_after: float = 0.0
    bad_in_flight: int = 0
    bad_prefix: str = '/'
    lies: bool = False
    witness: str = ''


class BackendDispatcher:
    """Run calls in slots; refuse calls beyond the queue, marked as not run."""

    def __init__(self, version, behaviour, clock, random=None):
        self.version = version.encode()
        self.behaviour = behaviour
        self.clock = clock
        self.random = random or Random()
        self.started_at = clock()
        self.in_flight = 0
        self.waiting = deque()
        self.counts = Counter()
        self.draining = False
        self.reported_failures = 0
        self.next_report = {'healthy': True, 'load': 0.0}
        self.witness_socket = None
        if behaviour.witness:
            self.witness_socket = socket.socket(
                socket.AF_UNIX, socket.SOCK_DGRAM
            )
            self.witness_socket.connect(behaviour.witness)

    def start(self, request, respond):
        """Start a call, queue it, or refuse it when the queue is full.

        :param request: the request.
        :param respond: called with the answer and whether to keep the
            connection alive.
        :returns: the call, for ``cancel``.
        """
        call = _Call(request, respond)
        if self.in_flight < self.behaviour.slots:
            self._run(call)
        elif len(self.waiting) < self.behaviour.queue:
            self.waiting.append(call)
        else:
            self._refuse(call)
        return call

    def may_overlap(self, request):
        """Return False: a connection carries one call at a time."""
        return False

    def cancel(self, call):
        """Stop a call whose caller has gone."""
        self.counts['cancelled'] += 1
        if call in self.waiting:
            self.waiting.remove(call)
        elif call.timer is not None and not call.timer.cancelled():
            call.timer.cancel()
            self._free_slot()

    def report_health(self):
        """Return the health and load to announce, and record the next ones."""
        report = self.next_report
        healthy = self.counts['failed'] == self.reported_failures
        self.reported_failures = self.counts['failed']
        self.next_report = {
            'healthy': healthy != self.behaviour.lies,
            'load': self.in_flight / self.behaviour.slots,
        }
        return report

    def _refuse(self, call):
        self.counts['shed'] += 1
        call_id = call.request.header(CALL_HEADER) or b''
        headers = [(NOT_RUN_HEADER, call_id), (RAN_HEADER, b'no')]
        call.respond(build_answer(503, headers, b'', True), True)

    def _run(self, call):
        self.in_flight += 1
        self.counts['run'] += 1
        key = call.request.header(KEY_HEADER)
        if key is not None and self.witness_socket is not None:
            # A blocking send, so that the key arrives before the process
            # can be killed in the middle of the call.
            self.witness_socket.send(key)
        delay = self._delay(call.request)
        loop = asyncio.get_running_loop()
        call.timer = loop.call_later(delay, self._finish, call)

    def _delay(self, request):
        behaviour = self.behaviour
        delay = behaviour.delay * self.random.uniform(0.7, 1.3)
        if self.clock() - self.started_at < behaviour.cold:
            delay *= behaviour.cold_factor
        if self._is_bad(request):
            delay *= behaviour.slow_factor
        deadline_ms = request.header(DEADLINE_HEADER)
        return min(delay, int(deadline_ms) / 1000) if deadline_ms else delay

    def _is_bad(self, request):
        behaviour = self.behaviour
        return (
            self.clock() - self.started_at >= behaviour.bad_after
            and self.in_flight >= behaviour.bad_in_flight
            and request.target.startswith(behaviour.bad_prefix)
        )

    def _finish(self, call):
        self._free_slot()
        is_bad = self._is_bad(call.request)
        failed = is_bad and self.random.random() < self.behaviour.fail_rate
        status = 500 if failed else 200
        self.counts['failed'] += failed
        body = b'x' * self.behaviour.body_bytes
        headers = [
            (b'content-type', b'text/plain'),
            (b'x-served-by', self.version),
            (VERSION_HEADER, self.version),
        ]
        key = call.request.header(KEY_HEADER)
        if key is not None:
            headers.append((KEY_HEADER, key))
        keep_alive = call.request.keep_alive and not self.draining
        call.respond(
            build_answer(status, headers, body, keep_alive), keep_alive
        )

    def _free_slot(self):
        self.in_flight -= 1
        if self.waiting and self.in_flight < self.behaviour.slots:
            self._run(self.waiting.popleft())


class _Call:
    """A call that runs or waits for a slot."""

    def __init__(self, request, respond):
        self.request = request
        self.respond = respond
        self.timer = None


class Announcer:
    """Announces a backend server to its local node; blocks the thread."""

    def __init__(self, announce_address, announcement):
        self.url = f'http://{announce_address}/announce'
        self.announcement = announcement
        self.pool = PoolManager(
            retries=Retry(0), timeout=ANNOUNCE_TIMEOUT_SECONDS
        )

    def announce(self, **changes):
        """Send the announcement once.

        :param changes: fields that differ from the announcement.
        :returns: whether the node accepted it.
        """
        body = dumps({**self.announcement, **changes}).encode()
        try:
            answer = self.pool.request('POST', self.url, body=body)
        except HTTPError as error:
            logger.debug('announce_failed', extra={'detail': str(error)})
            return False
        return answer.status == 200
