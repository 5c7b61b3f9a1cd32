"""Check the record of a soak against the rules of the platform's pages.

The bounds are those of the settings of an installation.
"""

from collections import defaultdict

from tests.soak_records import build_body
from tests.soak_records import CALL_MARK
from tests.soak_records import STORE

# From the ack of a version to the requests that must be handled by it.
CONFIG_SECONDS = 2.5
STABLE_WINDOW_SECONDS = 4.0
ROLLBACK_SLACK_SECONDS = 0.25
# On a machine that is slowed, the slack is this many times as long.
SLOWED_FACTOR = 8
# Requests that a node may lose with a kept connection.
MAX_LOST = 3
# Proper requests that nodes may refuse as if they were wrong, in each number
# of requests besides, and for want of a route or a key while out of touch.
MAX_DENIED = 5
REQUESTS_PER_DENIED = 500
MAX_DENIED_OUT_OF_TOUCH = 10
# An endpoint gets no further requests from LEAVE_TOLERANCE_SECONDS after its
# leave was acknowledged.
LEAVE_TOLERANCE_SECONDS = 0.5
# A kind of request is served at least this part as often as all requests.
MIN_SERVED_RATIO = 0.25
# Fewer requests of a kind say nothing.
MIN_REQUESTS_OF_KIND = 50
# Statuses that assert that the request did not run.
NOT_RUN_STATUSES = {408, 421, 429, 503}
# Those of them that don't say that the request is wrong.
RETURNING_STATUSES = {408, 421, 429}
ROUTE_STATUSES = {401, 403, 404}
ANSWER_CHECKS = []
RECORD_CHECKS = []


def answer_check(check):
    """Register a generator function of (record, request, answer)."""
    ANSWER_CHECKS.append(check)
    return check


def record_check(check):
    """Register a generator function of a Record.

    Both kinds yield arguments of ``Record.violate``.
    """
    RECORD_CHECKS.append(check)
    return check


def check_answer(record, request, answer):
    """Check an answer when it arrives."""
    for check in ANSWER_CHECKS:
        for violation in check(record, request, answer):
            record.violate(*violation)


def check_record(record):
    """Check the whole record after the run."""
    for check in RECORD_CHECKS:
        for violation in check(record):
            record.violate(*violation)


@answer_check
def check_stamp(record, request, answer):
    """Check that an answer is the one of a run of its request."""
    if not answer.stamp:
        if 200 <= answer.status < 300:
            yield 'MIXED', request.key, f'got {answer.status} without a stamp'
        return
    run = record.runs_by_stamp.get(answer.stamp)
    if run is None or run.key != request.key:
        yield 'MIXED', request.key, f'got the answer of {run}'
        return
    if run.began_at < request.sent_at:
        # The id of a call is used again when its request runs again.
        yield 'MIXED', request.key, f'got the earlier answer of {run}'
    if answer.status != run.status:
        yield 'MIXED', request.key, f'got status {answer.status} of {run}'
    if answer.body != run.body:
        yield (
            'MIXED',
            request.key,
            f'got {answer.status} with {describe_body(answer.body, run)}',
        )


def describe_body(body, run):
    """Say how a body differs from that of a run."""
    own = run.body
    start = next(
        (i for i, pair in enumerate(zip(body, own)) if pair[0] != pair[1]),
        min(len(body), len(own)),
    )
    return (
        f'{len(body)} bytes in place of {len(own)}, that differ from byte '
        f'{start} on: {body[start : start + 60]!r} ({run})'
    )


@answer_check
def check_echo(record, request, answer):
    """Check that an answer doesn't bear the id of another request."""
    echoed = answer.headers.get('request-id', request.key)
    if echoed != request.key:
        yield 'MIXED', request.key, f'got an answer to {echoed}'


@record_check
def check_runs(record):
    """Check how often each request ran against its kind and status."""
    for request in record.requests.values():
        runs = len(record.runs_of(request))
        if not request.safe and runs > 1:
            yield 'TWICE', request.key, f'is not safe and ran {runs} times'
        if request.denies_run and runs:
            yield 'REFUSED', request.key, f'got {request.status} and ran'


@record_check
def check_asked(record):
    """Check that endpoints ran only what callers sent."""
    for key in record.runs:
        if key not in record.requests:
            yield 'UNASKED', key, 'ran, and no caller sent it'


@record_check
def check_routes(record):
    """Check that no configuration was needed that was never sent."""
    for handling in record.handlings:
        if not handling.first:
            rule = 'DENIED' if handling.service is None else 'ROUTE'
            yield (
                rule,
                handling.request.key,
                f'{describe(handling)}, as none allows',
            )


@record_check
def check_denied(record):
    """Check that proper requests are not refused as if they were wrong.

    Nodes in touch follow the versions that may be in force. What all versions
    allow counts from any node, since neither an impairment nor an older
    version makes it wrong.
    """
    denied = [
        request
        for request in record.requests.values()
        if is_denial(request) and is_allowed(record, request)
    ]
    out_of_touch = [
        request
        for request in denied
        if request.status in ROUTE_STATUSES
        and not was_in_touch(record, request)
    ]
    record.counts['denied'] = len(denied)
    allowed = MAX_DENIED + len(record.requests) // REQUESTS_PER_DENIED
    if len(denied) <= allowed:
        denied = out_of_touch
        allowed = MAX_DENIED_OUT_OF_TOUCH
    if len(denied) > allowed:
        for request in denied:
            yield 'DENIED', request.key, describe_denial(record, request)


def is_allowed(record, request):
    """Return whether no version that its node may follow rules it out."""
    versions = record.changes
    if was_in_touch(record, request):
        versions = record.select_in_force(
            request.sent_at, request.ended_at, CONFIG_SECONDS
        )
    return all(version.allows(request) for version in versions)


def was_in_touch(record, request):
    """Return whether a request's node was in touch all the while.

    A node that got SIGTERM is not in touch.
    """
    return request.sent_at <= record.stopped_at and record.is_in_touch(
        request.host,
        request.sent_at,
        request.ended_at,
        STABLE_WINDOW_SECONDS,
    )


def is_denial(request):
    """Return whether a node says of a request that it is wrong."""
    return (
        300 <= request.status < 500
        and request.status not in RETURNING_STATUSES
        and not request.stamp
    )


def describe_denial(record, request):
    """Say which proper request was refused, and beside what."""
    impaired = [
        name
        for name in (request.host, STORE)
        if not record.is_undisturbed(
            name, request.sent_at - STABLE_WINDOW_SECONDS, request.ended_at
        )
    ]
    return (
        f'at {request.host}, got {request.status} for {request.path} with '
        f'{request.head_bytes} + {len(request.body)} bytes and a pause of '
        f'{request.pause_seconds:.2f} s; impaired: {impaired}'
    )


@record_check
def check_confirmed(record):
    """Check that nodes in touch follow each confirmed version in time."""
    for handling in record.handlings:
        request = handling.request
        confirmed = [
            change
            for change in record.changes
            if change.acked_at + CONFIG_SECONDS < request.sent_at
        ]
        # A node that got SIGTERM is not in touch.
        is_stopped = request.sent_at > record.stopped_at
        if (
            not confirmed
            or is_stopped
            or not record.is_in_touch(
                request.host,
                request.sent_at,
                handling.at,
                STABLE_WINDOW_SECONDS,
            )
        ):
            continue
        record.counts['handled in touch'] += 1
        if 0 < handling.last < confirmed[-1].number:
            late = next(c for c in confirmed if c.number > handling.last)
            yield (
                'CONFIG',
                request.key,
                f'at {request.host}, sent '
                f'{request.sent_at - late.acked_at:.2f} s after the ack of '
                f'r{late.number}, {describe(handling)}, as only r'
                f'{handling.last} or older allows; newest confirmed: '
                f'r{confirmed[-1].number}',
            )


@record_check
def check_regress(record):
    """Check that no process returns to an older version."""
    seen = {}
    for handling in record.handlings:
        if handling.first and handling.service is not None:
            boot = _boot_of(record, handling.request)
            seen.setdefault(boot, []).append(handling)
    for handling in record.handlings:
        request = handling.request
        undisturbed = record.is_undisturbed(
            request.host,
            request.sent_at - STABLE_WINDOW_SECONDS,
            handling.at,
        )
        slack = ROLLBACK_SLACK_SECONDS * (1 if undisturbed else SLOWED_FACTOR)
        before = [
            item
            for item in seen.get(_boot_of(record, request), ())
            if item.at + slack < request.sent_at
        ]
        newest = max(before, key=lambda item: item.first, default=None)
        if newest and 0 < handling.last < newest.first:
            yield (
                'CONFIG',
                request.key,
                f'at {request.host}, {describe(handling)}, as only r'
                f'{handling.last} or older allows, '
                f'{request.sent_at - newest.at:.2f} s after '
                f'{newest.request.key} ran as from r{newest.first} on',
            )


def _boot_of(record, request):
    return request.host, record.boot_of(request.host, request.sent_at)


def describe(handling):
    """Say what became of a request."""
    path = handling.request.path
    if handling.service is None:
        return f'got 404 for {path}'
    return f'ran in {handling.service} for {path}'


@record_check
def check_starved(record):
    """Check that no kind of request is starved while others are served.

    A kind is a route that all versions have, or the calls of endpoints.
    """
    kinds = defaultdict(list)
    for request in record.requests.values():
        if is_owed(record, request):
            kinds[kind_of(request)].append(request)
    every = [request for requests in kinds.values() for request in requests]
    for kind, requests in kinds.items():
        served = served_fraction(requests)
        record.counts[f'served of {kind} %'] = round(served * 100)
        if (
            len(requests) >= MIN_REQUESTS_OF_KIND
            and served < MIN_SERVED_RATIO * served_fraction(every)
        ):
            yield (
                'STARVED',
                kind,
                f'served {served:.3f} of {len(requests)}, of all requests '
                f'{served_fraction(every):.3f} of {len(every)}',
            )


def is_owed(record, request):
    """Return whether all versions allow a request, and no impairment met it.

    An impairment of any node counts, since it may hit the service of some
    kinds only.
    """
    start, end = request.sent_at, request.ended_at
    return (
        not request.abandoned
        and record.served_from <= start <= record.stopped_at
        and all(version.allows(request) for version in record.changes)
        and all(
            record.is_undisturbed(name, start, end)
            for name in list(record.disturbances)
        )
    )


def kind_of(request):
    """Return the prefix of a request, or what calls of endpoints have."""
    if CALL_MARK in request.key:
        return CALL_MARK
    return request.path[: request.path.index('/', 1) + 1]


def served_fraction(requests):
    """Return the part of requests that got an endpoint's answer."""
    return sum(bool(item.stamp) for item in requests) / len(requests)


@record_check
def check_lost(record):
    """Check that nodes in touch don't lose requests with kept connections.

    Only requests count whose endpoint wrote a whole answer. Those that were
    sent behind one without an answer end with its connection.
    """
    lost = [
        request
        for request in record.requests.values()
        if request.kept
        and not (request.status or request.abandoned)
        and (request.behind is None or request.behind.status)
        and record.runs[request.key]
        and all(run.sound for run in record.runs[request.key])
        and record.is_in_touch(
            request.host,
            request.sent_at,
            request.ended_at,
            STABLE_WINDOW_SECONDS,
        )
    ]
    for request in lost[MAX_LOST:]:
        yield 'LOST', request.key, f'got no answer of {request.host}'


def check_run(record, run, request, endpoint):
    """Check a run when it begins.

    :param request: what arrived: an HttpMessage.
    :param endpoint: the Endpoint that runs it.
    """
    sent = record.requests.get(run.key)
    if sent is not None and (
        request.target != sent.path or request.body != sent.body
    ):
        record.violate('UNASKED', run.key, 'ran with another path or body')
    expected = request.headers.get('expect-instance', run.instance)
    if expected != run.instance:
        record.violate('ROUTE', run.key, f'ran in place of {expected}')
    left_at = endpoint.left_at
    # The leave binds the process that the host starts next, too.
    bound_from = run.began_at - STABLE_WINDOW_SECONDS
    if (
        left_at is not None
        and run.began_at - left_at > endpoint.mesh.leave_tolerance
        and record.is_undisturbed(
            run.host, max(left_at, bound_from), run.began_at
        )
    ):
        late_seconds = run.began_at - left_at
        sender = request.headers.get('poplarrack-call', 'not named')
        record.violate(
            'DRAIN',
            run.key,
            'ran after the acknowledged leave, '
            f'{late_seconds:.2f} s later, sent as {sender}',
        )


def build_request_body(key, size):
    """Return the body of a request, which no other one has."""
    return build_body(f'body of {key}', size)
