"""Apply an endpoint's heartbeats to its record, in any order of arrival.

A heartbeat may arrive late, after its sender stopped and the endpoint was
started and registered again. The later start (``born``) takes precedence,
then the higher sequence number.
"""

from dataclasses import dataclass
from dataclasses import replace

from poplarrack.members import Endpoint
from poplarrack.members import EndpointState


@dataclass(frozen=True)
class Heartbeat:
    """State that an endpoint reports about itself.

    ``born`` is the time of its start, 0 if unknown. ``cold_seconds`` is how
    much longer its slow start lasts.
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


# How long after an endpoint's deregistration its heartbeats may still arrive.
MAX_HEARTBEAT_DELAY_SECONDS = 10.0


@dataclass(frozen=True)
class Deregistration:
    """The deregistration of an endpoint; ``at`` is when it arrived.

    ``born`` is None if neither it nor an earlier heartbeat contained it.
    """

    instance_id: str
    born: int | None
    at: float

    def covers(self, heartbeat, now):
        """Return whether a heartbeat was sent before the deregistration."""
        if heartbeat.instance_id != self.instance_id:
            return False
        if self.born is None:
            return now - self.at < MAX_HEARTBEAT_DELAY_SECONDS
        return heartbeat.born <= self.born


@dataclass(frozen=True)
class EndpointRecord:
    """What a node knows of its local endpoint.

    Heartbeats that were sent before the deregistration but arrive after it are
    ignored, also by a node that was started in between and knows the
    endpoint from its deregistration alone.
    """

    endpoint: Endpoint | None = None
    sequence: int = -1
    deregistration: Deregistration | None = None


def apply_heartbeat(record, heartbeat, service, now):
    """Return the record after a heartbeat; the same object if it is stale.

    :param heartbeat: the Heartbeat.
    :param service: the endpoint's Service, or one with defaults.
    :param now: seconds since the epoch.
    """
    if record.deregistration is not None and record.deregistration.covers(
        heartbeat, now
    ):
        return record
    previous = record.endpoint
    if previous is not None:
        if heartbeat.born < previous.born:
            return record
        same = (previous.instance_id, previous.born) == (
            heartbeat.instance_id,
            heartbeat.born,
        )
        if same and heartbeat.sequence <= record.sequence:
            return record
    state = EndpointState.SERVING
    if heartbeat.draining:
        state = EndpointState.DRAINING
    endpoint = Endpoint(
        heartbeat.service,
        heartbeat.version,
        heartbeat.address,
        heartbeat.slots,
        service.max_connections,
        state,
        # Chosen so that ``warm_up_seconds`` later the slow start ends.
        now + heartbeat.cold_seconds - service.warm_up_seconds,
        heartbeat.instance_id,
        heartbeat.born,
    )
    return replace(record, endpoint=endpoint, sequence=heartbeat.sequence)


def apply_deregistration(record, instance_id, born, now):
    """Return the record after an endpoint's deregistration.

    :param born: the time of start in the deregistration, or None.
    :param now: seconds since the epoch.
    """
    previous = record.endpoint
    if previous is None:
        return replace(
            record, deregistration=Deregistration(instance_id, born, now)
        )
    if previous.instance_id != instance_id:
        return record
    if born is None:
        born = previous.born
    if born < previous.born:
        return record
    return EndpointRecord(
        None, record.sequence, Deregistration(instance_id, born, now)
    )
