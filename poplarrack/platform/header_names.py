"""Define the header names of the platform's callers and endpoints."""

from poplarrack.header_names import HeaderNames

HEADER_NAMES = HeaderNames(
    request_id=b'request-id',
    deadline_ms=b'deadline-ms',
    not_run=b'not-executed',
    instance=b'expect-instance',
    caller_service=b'caller-service',
    # On each answer that an endpoint made itself.
    origin_stamp=b'server-stamp',
    organisation=b'tenant-id',
    # Misdirected Request: the address belongs to another endpoint by now.
    not_run_statuses=frozenset((421,)),
)
