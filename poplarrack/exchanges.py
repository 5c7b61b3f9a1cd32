"""Define the messages between a sending and a receiving node.

They are encoded as MessagePack arrays without field names, since each call
bears their cost.
"""

from enum import IntEnum

from msgspec import Struct
from msgspec.msgpack import Decoder
from msgspec.msgpack import Encoder


class Verdict(IntEnum):
    """Outcome of a request at the receiving node.

    Not related to the Verdict of ``evidence.py``, which is on a move.

    NOT_RUN: it was not sent to the endpoint and will not be.
    REFUSED: the endpoint answered that it did not run it.
    LOST: it may have run, but its answer was lost.
    TIMED_OUT: it may have run, but no answer came before the deadline.
    """

    ANSWERED = 0
    NOT_RUN = 1
    REFUSED = 2
    LOST = 3
    TIMED_OUT = 4


class EndpointLoad(Struct, frozen=True, array_like=True):
    """The load of an endpoint of the zone, as some node last heard of it.

    ``running`` includes the requests that wait; the other fields are those of
    Occupancy. ``age_ms`` is the time since the endpoint's node measured it,
    and ``cold_ms`` was left then.
    """

    instance_id: str
    running: int
    wait_ms: int
    service_ms: float
    age_ms: int
    failure_rate: float = 0.0
    room: float = 0.0
    cold_ms: int = 0


class RoutedRequest(Struct, frozen=True, array_like=True):
    """A request as a sending node offers it to an endpoint's node.

    ``time_left_ms`` is the time until the caller's deadline, less that of the
    way to the endpoint's node and back,
    ``target_left_ms`` the rest of the target latency, ``max_wait_ms`` how
    long it may wait for a slot, ``spare_slot_fraction`` the fraction of the
    slots that must be free to admit it, ``rank`` its priority (0 is the
    highest) and ``instance_id`` the endpoint that it is meant for.
    ``is_repeat`` says that it may have reached another endpoint before.
    ``loads`` tells a node of the same zone of endpoints there.
    ``organisation`` is the name of the caller's, if its key was checked, and
    ``route`` the name of the route. ``streamed_bytes`` is the size of a body
    that follows in pieces, -1 if its size is not known, 0 if ``body`` is all.
    ``was_offered`` says that it was offered to another node before.
    """

    request_id: bytes
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    service: str
    instance_id: str
    caller_service: str
    time_left_ms: int
    max_wait_ms: int
    rank: int
    repeatable: bool
    spare_slot_fraction: float = 0.0
    target_left_ms: int = 0
    is_repeat: bool = False
    loads: tuple[EndpointLoad, ...] = ()
    organisation: str = ''
    route: str = ''
    streamed_bytes: int = 0
    was_offered: bool = False


class Occupancy(Struct, frozen=True, array_like=True):
    """Load of an endpoint, as measured by its own node.

    ``waiting`` are those that run before a new request of the lowest rank,
    ``wait_ms`` is how long that one would wait,
    ``service_ms`` the mean service time, ``failure_rate`` the recent fraction
    of its requests that failed. ``room`` is how many requests it is found to
    run well at once, 0 if that is not known. ``cold_ms`` is how much longer
    its slow start lasts.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 0
    wait_ms: int = 0
    service_ms: float = 0.0
    failure_rate: float = 0.0
    room: float = 0.0
    cold_ms: int = 0


class Delivery(Struct, frozen=True, array_like=True):
    """A receiving node's answer to a RoutedRequest.

    ``loads`` answers those of the request, ``run_ms`` is how long the endpoint
    took. ``streamed_bytes`` is as in a RoutedRequest.
    """

    verdict: Verdict
    status: int = 0
    headers: list[tuple[bytes, bytes]] = []
    body: bytes = b''
    reason: str = ''
    occupancy: Occupancy | None = None
    loads: tuple[EndpointLoad, ...] = ()
    run_ms: float = 0.0
    streamed_bytes: int = 0


class _StructCodec:
    """Encodes and decodes messages of one type."""

    def __init__(self, message_type):
        self.encode = Encoder().encode
        self.decode = Decoder(message_type).decode


REQUEST_CODEC = _StructCodec(RoutedRequest)
ANSWER_CODEC = _StructCodec(Delivery)
