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


# How late a heartbeat may come after the good-bye of its sender.
MAX_HEARTBEAT_DELAY_SECONDS = 10.0


@dataclass(frozen=True)
class Leave:
    """The good-bye of an endpoint, and when it came.

    ``born`` is None where neither it nor a heartbeat before told the start.
    """

    instance_id: str
    born: int | None
    at: float

    def covers(self, beat, now):
        """Say whether a heartbeat was sent before the good-bye."""
        if beat.instance_id != self.instance_id:
            return False
        if self.born is None:
            return now - self.at < MAX_HEARTBEAT_DELAY_SECONDS
        return beat.born <= self.born


@dataclass(frozen=True)
class EndpointRecord:
    """What is held of the endpoint beside a node.

    What an endpoint said before its ``leave`` is ignored when it arrives
    late, also by a node that started since and knows it by that alone.
    """

    endpoint: Endpoint | None = None
    sequence: int = -1
    leave: Leave | None = None


def apply_heartbeat(record, beat, service, now):
    """Return the record after a heartbeat; the same one if it is old.

    :param service: the endpoint's Service, as far as it is known.
    """
    if record.leave is not None and record.leave.covers(beat, now):
        return record
    held = record.endpoint
    if held is not None:
        if beat.born < held.born:
            return record
        same = (held.instance_id, held.born) == (beat.instance_id, beat.born)
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


def apply_leave(record, instance_id, born, now):
    """Return the record after an endpoint said that it ends.

    :param born: the start that it told, or None.
    """
    held = record.endpoint
    if held is None:
        return replace(record, leave=Leave(instance_id, born, now))
    if held.instance_id != instance_id:
        return record
    if born is None:
        born = held.born
    if born < held.born:
        return record
    return EndpointRecord(None, record.sequence, Leave(instance_id, born, now))
