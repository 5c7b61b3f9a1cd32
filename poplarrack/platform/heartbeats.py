"""Decode the heartbeats and deregistrations of endpoints."""

import logging

from msgspec import convert
from msgspec import field
from msgspec import MsgspecError
from msgspec import Struct
from msgspec.json import decode

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.heartbeats import Heartbeat
from poplarrack.platform.settings import parse_duration

logger = logging.getLogger(__name__)

INSTANCE_PATH = '/-/instances/'
STATES = ('ready', 'draining')
MAX_BODY_BYTES = 65_536


class _Info(Struct):
    service: str
    version: str
    zone: str
    slots: int


class _Status(Struct):
    state: str
    sequence: int
    cold_left: str = '0ms'


class _Report(Struct):
    address: str
    info: _Info
    status: _Status
    # Unix time of the endpoint's start in milliseconds.
    born: int = field(default=0)


def decode_heartbeat(instance_id, body):
    """Return the Heartbeat in the body of a request.

    :raises PoplarrackError: MALFORMED_REQUEST if it describes no endpoint.
    """
    try:
        report = convert(decode(body), _Report)
        cold_seconds = parse_duration(report.status.cold_left)
    except (MsgspecError, ValueError) as error:
        raise PoplarrackError(
            ErrorKind.MALFORMED_REQUEST, f'heartbeat: {error}'
        ) from error
    info, status = report.info, report.status
    if status.state not in STATES or info.slots < 1 or not instance_id:
        raise PoplarrackError(
            ErrorKind.MALFORMED_REQUEST,
            f'heartbeat: state {status.state!r}, {info.slots} slots',
        )
    return Heartbeat(
        instance_id,
        info.service,
        report.address,
        info.version,
        info.zone,
        info.slots,
        status.state == 'draining',
        status.sequence,
        report.born,
        cold_seconds,
    )


class _Deregistration(Struct):
    born: int | None = None


def decode_born(body):
    """Return the time of start in a deregistration, or None."""
    try:
        return convert(decode(body), _Deregistration).born if body else None
    except MsgspecError as error:
        logger.warning('leave_unreadable', extra={'detail': str(error)})
        return None
