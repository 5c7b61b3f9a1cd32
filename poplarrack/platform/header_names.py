"""Name the headers of the platform's callers and endpoints."""

from poplarrack.header_names import HeaderNames

HEADER_NAMES = HeaderNames(
    request_id=b'request-id',
    deadline_ms=b'deadline-ms',
    not_run=b'not-executed',
    instance=b'expect-instance',
    caller_service=b'caller-service',
    # Endpoints stamp each answer that they made themselves.
    proof=b'server-stamp',
    # Misdirected: the address belongs to another endpoint by now.
    not_run_statuses=frozenset((421,)),
)
