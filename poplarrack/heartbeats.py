"""Apply an endpoint's heartbeats to its record, in any order of arrival.

A heartbeat may arrive late, after its sender stopped and the endpoint was
started and registered again. The later start (``born``) takes precedence,
then the higher sequence number.
"""

from dataclasses import dataclass
from dataclasses import replace

from poplarrack.members import Departure
from poplarrack.members import Endpoint
from poplarrack.members import EndpointState
from poplarrack.members import LAST_SEQUENCE
from poplarrack.members import latest_departure


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


# How long after an endpoint's leave its heartbeats may still arrive.
MAX_HEARTBEAT_DELAY_SECONDS = 10.0


def _precedes(start, sequence, departure, now):
    """Return whether an endpoint sent a heartbeat before its leave.

    Those of earlier endpoints were, too, if they arrive soon after it.

    :param start: the Heartbeat, or the Endpoint that came of it.
    :param sequence: the heartbeat's sequence number.
    """
    is_recent = now - departure.at < MAX_HEARTBEAT_DELAY_SECONDS
    born = departure.born
    if start.instance_id != departure.instance_id:
        return is_recent and 0 < start.born < (born or 0)
    if born is None:
        return is_recent
    return (start.born, sequence) <= (born, departure.sequence)


@dataclass(frozen=True)
class EndpointRecord:
    """What a node knows of its local endpoint.

    Heartbeats that were sent before the last departure but arrive after it
    are ignored, also by a process that started in between. ``heard_at`` is
    when the endpoint's last heartbeat arrived, in seconds since the epoch.
    """

    endpoint: Endpoint | None = None
    sequence: int = -1
    departure: Departure | None = None
    heard_at: float = 0.0


def apply_heartbeat(record, heartbeat, service, now, ttl_seconds):
    """Return the record after a heartbeat; the same object if it is stale.

    :param heartbeat: the Heartbeat.
    :param service: the endpoint's Service, or one with defaults.
    :param now: seconds since the epoch.
    :param ttl_seconds: after this time without a heartbeat, an endpoint gives
        way to any other.
    """
    departure = record.departure
    if departure is not None and _precedes(
        heartbeat, heartbeat.sequence, departure, now
    ):
        return record
    previous = record.endpoint
    if previous is not None:
        is_heard = now - record.heard_at <= ttl_seconds
        if heartbeat.born < previous.born and is_heard:
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
    if heartbeat.draining:
        departure = _extend_departure(departure, heartbeat, now)
    return EndpointRecord(endpoint, heartbeat.sequence, departure, now)


def _extend_departure(held, heartbeat, now):
    """Return the departure of an endpoint that drains.

    It begins with the first heartbeat that says so.
    """
    start = (heartbeat.instance_id, heartbeat.born)
    if held is not None and (held.instance_id, held.born) == start:
        return held
    return Departure(*start, heartbeat.sequence, now)


def apply_deregistration(record, instance_id, born, now):
    """Return the record after an endpoint's deregistration.

    :param born: the time of start in the deregistration, or None.
    :param now: seconds since the epoch.
    """
    previous = record.endpoint
    if previous is not None:
        if previous.instance_id != instance_id:
            return record
        if born is None:
            born = previous.born
        if born < previous.born:
            return record
    departure = Departure(instance_id, born, LAST_SEQUENCE, now)
    return EndpointRecord(None, record.sequence, departure)


def apply_departure(record, departure, now):
    """Return the record after a leave that an earlier process acknowledged.

    An endpoint that is known from a heartbeat before the leave is dropped.

    :param now: seconds since the epoch.
    :returns: the same object if the record has this leave or a later one.
    """
    if latest_departure(departure, record.departure) == record.departure:
        return record
    endpoint = record.endpoint
    if endpoint is not None and _precedes(
        endpoint, record.sequence, departure, now
    ):
        endpoint = None
    return replace(record, endpoint=endpoint, departure=departure)
