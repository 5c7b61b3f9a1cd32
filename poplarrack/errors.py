"""Define the kinds of errors and how each kind is answered."""

from dataclasses import dataclass
from enum import Enum


class Ran(Enum):
    """Whether the request that an error answers was run."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class ErrorKind(Enum):
    """The kinds of errors, by the name used in answers and logs."""

    INVALID_SETTINGS = 'invalid_settings'
    INVALID_CONFIGURATION = 'invalid_configuration'
    TOO_LARGE = 'too_large'
    USAGE = 'usage'
    FORBIDDEN = 'forbidden'
    NOT_FOUND = 'not_found'
    CONFLICT = 'conflict'
    RATE_LIMITED = 'rate_limited'
    COMPACTED = 'compacted'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    PEER_UNAVAILABLE = 'peer_unavailable'
    STALE_DELTA = 'stale_delta'
    NO_ROUTE = 'no_route'
    NO_ENDPOINT = 'no_endpoint'
    OVERLOADED = 'overloaded'
    DRAINING = 'draining'
    CONNECT_FAILED = 'connect_failed'
    REFUSED_BY_SERVER = 'refused_by_server'
    ANSWER_LOST = 'answer_lost'
    ANSWER_TOO_LARGE = 'answer_too_large'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    MALFORMED_REQUEST = 'malformed_request'
    REQUEST_TOO_SLOW = 'request_too_slow'
    UNAUTHENTICATED = 'unauthenticated'
    MOVE_WITHDRAWN = 'move_withdrawn'
    TIMED_OUT = 'timed_out'
    INTERNAL = 'internal'


@dataclass(frozen=True)
class ErrorAnswer:
    """How a kind of error is answered over HTTP, gRPC and the command line.

    ``grpc_status`` is the name of a gRPC status code, ``exit_code`` the exit
    code of the command-line programs.
    """

    code: str
    http_status: int
    grpc_status: str
    exit_code: int
    ran: Ran


_NO, _UNKNOWN = Ran.NO, Ran.UNKNOWN

ANSWERS = {
    ErrorKind.INVALID_SETTINGS: ErrorAnswer(
        'PR100', 400, 'INVALID_ARGUMENT', 10, _NO
    ),
    ErrorKind.INVALID_CONFIGURATION: ErrorAnswer(
        'PR101', 422, 'INVALID_ARGUMENT', 11, _NO
    ),
    ErrorKind.TOO_LARGE: ErrorAnswer(
        'PR102', 413, 'RESOURCE_EXHAUSTED', 12, _NO
    ),
    ErrorKind.USAGE: ErrorAnswer('PR103', 400, 'INVALID_ARGUMENT', 2, _NO),
    ErrorKind.FORBIDDEN: ErrorAnswer(
        'PR104', 403, 'PERMISSION_DENIED', 13, _NO
    ),
    ErrorKind.NOT_FOUND: ErrorAnswer('PR105', 404, 'NOT_FOUND', 14, _NO),
    ErrorKind.CONFLICT: ErrorAnswer('PR106', 409, 'ABORTED', 15, _NO),
    ErrorKind.RATE_LIMITED: ErrorAnswer(
        'PR107', 429, 'RESOURCE_EXHAUSTED', 16, _NO
    ),
    ErrorKind.COMPACTED: ErrorAnswer('PR108', 410, 'OUT_OF_RANGE', 17, _NO),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorAnswer(
        'PR109', 503, 'UNAVAILABLE', 18, _NO
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(
        'PR110', 504, 'UNKNOWN', 19, _UNKNOWN
    ),
    ErrorKind.PEER_UNAVAILABLE: ErrorAnswer(
        'PR111', 503, 'UNAVAILABLE', 20, _NO
    ),
    ErrorKind.STALE_DELTA: ErrorAnswer(
        'PR112', 409, 'FAILED_PRECONDITION', 21, _NO
    ),
    ErrorKind.NO_ROUTE: ErrorAnswer('PR200', 404, 'NOT_FOUND', 30, _NO),
    ErrorKind.NO_ENDPOINT: ErrorAnswer('PR201', 503, 'UNAVAILABLE', 31, _NO),
    ErrorKind.OVERLOADED: ErrorAnswer(
        'PR202', 503, 'RESOURCE_EXHAUSTED', 32, _NO
    ),
    ErrorKind.DRAINING: ErrorAnswer('PR203', 503, 'UNAVAILABLE', 33, _NO),
    ErrorKind.CONNECT_FAILED: ErrorAnswer(
        'PR204', 503, 'UNAVAILABLE', 34, _NO
    ),
    ErrorKind.REFUSED_BY_SERVER: ErrorAnswer(
        'PR205', 503, 'UNAVAILABLE', 35, _NO
    ),
    ErrorKind.ANSWER_LOST: ErrorAnswer('PR206', 502, 'UNKNOWN', 36, _UNKNOWN),
    ErrorKind.ANSWER_TOO_LARGE: ErrorAnswer(
        'PR207', 502, 'OUT_OF_RANGE', 37, Ran.YES
    ),
    ErrorKind.DEADLINE_EXCEEDED: ErrorAnswer(
        'PR208', 504, 'DEADLINE_EXCEEDED', 38, _UNKNOWN
    ),
    ErrorKind.MALFORMED_REQUEST: ErrorAnswer(
        'PR209', 400, 'INVALID_ARGUMENT', 39, _NO
    ),
    ErrorKind.UNAUTHENTICATED: ErrorAnswer(
        'PR210', 401, 'UNAUTHENTICATED', 42, _NO
    ),
    ErrorKind.REQUEST_TOO_SLOW: ErrorAnswer(
        'PR211', 408, 'DEADLINE_EXCEEDED', 43, _NO
    ),
    ErrorKind.MOVE_WITHDRAWN: ErrorAnswer(
        'PR300', 409, 'FAILED_PRECONDITION', 40, _NO
    ),
    ErrorKind.TIMED_OUT: ErrorAnswer(
        'PR301', 504, 'DEADLINE_EXCEEDED', 41, _UNKNOWN
    ),
    ErrorKind.INTERNAL: ErrorAnswer('PR900', 500, 'INTERNAL', 70, _UNKNOWN),
}


def resolve_error_kind(kind, may_have_run):
    """Return the error kind to answer with.

    A kind that promises that the call was not run is replaced by ANSWER_LOST
    when an earlier attempt may have run.

    :param kind: ErrorKind of the last attempt.
    :param may_have_run: whether any attempt may have run.
    """
    if may_have_run and ANSWERS[kind].ran is Ran.NO:
        return ErrorKind.ANSWER_LOST
    return kind


class PoplarrackError(Exception):
    """An error of a known kind.

    :param kind: an ErrorKind.
    :param detail: text for the reader.
    """

    def __init__(self, kind, detail):
        super().__init__(f'{ANSWERS[kind].code} {kind.value}: {detail}')
        self.kind = kind
        self.detail = detail

    @property
    def answer(self):
        """Return the ErrorAnswer of this error's kind."""
        return ANSWERS[self.kind]
