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
# By which a leave is later than the one before where the clock says otherwise.
MIN_CLOCK_STEP_SECONDS = 0.001


def _precedes(start, sequence, departure, now, is_known=False):
    """Return whether an endpoint sent a heartbeat before its leave.

    Those of earlier endpoints were, too, if they arrive soon after it.

    :param start: the Heartbeat, or the Endpoint that came of it.
    :param sequence: the heartbeat's sequence number.
    :param is_known: whether its endpoint is in use: the leave of another one
        does not end that.
    """
    is_recent = now - departure.at < MAX_HEARTBEAT_DELAY_SECONDS
    born = departure.born
    if start.instance_id != departure.instance_id:
        is_earlier = 0 < start.born < (born or 0)
        return is_recent and is_earlier and not is_known
    if born is None:
        return is_recent
    return (start.born, sequence) <= (born, departure.sequence)


@dataclass(frozen=True)
class EndpointRecord:
    """What a node knows of its local endpoint.

    Heartbeats that were sent before the last departure but arrive after it
    are ignored, also by a process that started in between; ``is_recalled``
    says that an earlier process acknowledged it. ``heard_at`` is when the
    endpoint's last heartbeat arrived, ``cold_until`` when its slow start ends
    by that, both in seconds since the epoch.
    """

    endpoint: Endpoint | None = None
    sequence: int = -1
    departure: Departure | None = None
    heard_at: float = 0.0
    is_recalled: bool = False
    cold_until: float = 0.0


def apply_heartbeat(record, heartbeat, service, now, ttl_seconds):
    """Return the record after a heartbeat; the same object if it is stale.

    :param heartbeat: the Heartbeat.
    :param service: the endpoint's Service, or one with defaults.
    :param now: seconds since the epoch.
    :param ttl_seconds: after this time without a heartbeat, an endpoint gives
        way to any other.
    """
    departure, previous = record.departure, record.endpoint
    is_known = previous is not None and (
        previous.instance_id,
        previous.born,
    ) == (heartbeat.instance_id, heartbeat.born)
    if departure is not None and _precedes(
        heartbeat, heartbeat.sequence, departure, now, is_known
    ):
        return record
    if previous is not None:
        is_heard = now - record.heard_at <= ttl_seconds
        if heartbeat.born < previous.born and is_heard:
            return record
        if is_known and heartbeat.sequence <= record.sequence:
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
    record = replace(
        record,
        endpoint=endpoint,
        sequence=heartbeat.sequence,
        heard_at=now,
        cold_until=now + heartbeat.cold_seconds,
    )
    start = (heartbeat.instance_id, heartbeat.born)
    if not heartbeat.draining or (
        departure is not None
        and (departure.instance_id, departure.born) == start
    ):
        return record
    return _depart(record, *start, heartbeat.sequence, now)


def _depart(record, instance_id, born, sequence, now):
    """Return the record with a new departure, later than the one it has."""
    if record.departure is not None:
        now = max(now, record.departure.at + MIN_CLOCK_STEP_SECONDS)
    departure = Departure(instance_id, born, sequence, now)
    return replace(record, departure=departure, is_recalled=False)


def apply_deregistration(record, instance_id, born, now):
    """Return the record after an endpoint's deregistration.

    That of an endpoint other than the one in use counts, too: it may leave
    before its first heartbeat has arrived.

    :param born: the time of start in the deregistration, or None.
    :param now: seconds since the epoch.
    """
    previous = record.endpoint
    if previous is not None and previous.instance_id == instance_id:
        if born is None:
            born = previous.born
        if born < previous.born:
            return record
        record = replace(record, endpoint=None)
    return _depart(record, instance_id, born, LAST_SEQUENCE, now)


def apply_departure(record, departure, now):
    """Return the record after a leave that an earlier process acknowledged.

    An endpoint that is known from a heartbeat before the leave is dropped.
    A leave that this process acknowledged remains the last one.

    :param now: seconds since the epoch.
    :returns: the same object if the record has this leave or a later one.
    """
    held = record.departure
    if latest_departure(departure, held) == held:
        return record
    if held is not None and not record.is_recalled:
        at = departure.at + MIN_CLOCK_STEP_SECONDS
        return replace(record, departure=replace(held, at=at))
    endpoint = record.endpoint
    if endpoint is not None and _precedes(
        endpoint, record.sequence, departure, now
    ):
        endpoint = None
    return replace(
        record, endpoint=endpoint, departure=departure, is_recalled=True
    )
