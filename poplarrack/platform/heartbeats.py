"""Decode the heartbeats and deregistrations of endpoints."""

import logging
from typing import Annotated

from msgspec import field
from msgspec import Meta
from msgspec import Struct

from poplarrack.addresses import split_destination
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.heartbeats import Heartbeat
from poplarrack.json_values import decode_json
from poplarrack.members import MAX_SLOTS
from poplarrack.platform.settings import parse_duration

logger = logging.getLogger(__name__)

INSTANCE_PATH = '/-/instances/'
STATES = ('ready', 'draining')
MAX_BODY_BYTES = 65_536
# Every node keeps these texts of every endpoint.
MAX_NAME_CHARACTERS = 200
_Name = Annotated[str, Meta(max_length=MAX_NAME_CHARACTERS)]
# Integers between nodes have 64 bits.
_Count = Annotated[int, Meta(ge=0, le=2**63 - 1)]


class _Info(Struct):
    service: _Name
    version: _Name
    zone: _Name
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]


class _Status(Struct):
    state: str
    sequence: _Count
    cold_left: str = '0ms'


class _Report(Struct):
    address: _Name
    info: _Info
    status: _Status
    # Unix time of the endpoint's start in milliseconds.
    born: _Count = field(default=0)


def decode_heartbeat(instance_id, body):
    """Return the Heartbeat in the body of a request.

    :raises PoplarrackError: MALFORMED_REQUEST if it describes no endpoint.
    """
    report = decode_json(
        body, ErrorKind.MALFORMED_REQUEST, 'heartbeat', _Report
    )
    try:
        split_destination(report.address)
        cold_seconds = parse_duration(report.status.cold_left)
    except ValueError as error:
        raise PoplarrackError(
            ErrorKind.MALFORMED_REQUEST, f'heartbeat: {error}'
        ) from error
    info, status = report.info, report.status
    named = 0 < len(instance_id) <= MAX_NAME_CHARACTERS
    if status.state not in STATES or not named:
        raise PoplarrackError(
            ErrorKind.MALFORMED_REQUEST,
            f'heartbeat: state {status.state!r:.40} of {instance_id!r:.40}',
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
    born: _Count | None = None


def decode_born(body):
    """Return the time of start in a deregistration, or None."""
    if not body:
        return None
    try:
        return decode_json(
            body,
            ErrorKind.MALFORMED_REQUEST,
            'deregistration',
            _Deregistration,
        ).born
    except PoplarrackError as error:
        logger.warning('leave_unreadable', extra={'detail': error.detail})
        return None
