"""Decide what an endpoint's heartbeats change, in whatever order they come.

A heartbeat may arrive late, after its sender ended and another start of
the endpoint registered. The greater birth goes first, then the greater
sequence number.
"""

from dataclasses import dataclass
from dataclasses import replace

from poplarrack.members import Endpoint
from poplarrack.members import EndpointState


@dataclass(frozen=True)
class Heartbeat:
    """What an endpoint says of itself; ``born`` 0 when it does not tell.

    ``cold_seconds`` is how much longer it stays slow after its start.
    """

    instance_id: str
    service: str
    address: str
    version: str
    zone: str
    slots: int
    draining: bool
    sequence: int
    born: int = 0
    cold_seconds: float = 0.0


@dataclass(frozen=True)
class EndpointRecord:
    """What is held of the endpoint beside a node.

    ``left`` names a start that said good-bye: what it said before is
    ignored when it arrives late.
    """

    endpoint: Endpoint | None = None
    sequence: int = -1
    left: tuple[str, int] | None = None


def apply_heartbeat(record, beat, service, now):
    """Return the record after a heartbeat; the same one if it is old.

    :param service: the endpoint's Service, as far as it is known.
    """
    start = (beat.instance_id, beat.born)
    if start == record.left:
        return record
    held = record.endpoint
    if held is not None:
        if beat.born < held.born:
            return record
        same = (held.instance_id, held.born) == start
        if same and beat.sequence <= record.sequence:
            return record
    state = EndpointState.SERVING
    if beat.draining:
        state = EndpointState.DRAINING
    endpoint = Endpoint(
        beat.service,
        beat.version,
        beat.address,
        beat.slots,
        service.max_connections,
        state,
        # Warm from there on, by the service's time to warm up.
        now + beat.cold_seconds - service.warm_up_seconds,
        beat.instance_id,
        beat.born,
    )
    return replace(record, endpoint=endpoint, sequence=beat.sequence)


def apply_leave(record, instance_id):
    """Return the record after an endpoint said that it ends."""
    held = record.endpoint
    if held is None or held.instance_id != instance_id:
        return record
    return EndpointRecord(None, record.sequence, (held.instance_id, held.born))
