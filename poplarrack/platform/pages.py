"""Serve the endpoint's heartbeats and the platform's readiness probe."""

import logging

from poplarrack.errors import PoplarrackError
from poplarrack.pages import json_page
from poplarrack.pages import Page
from poplarrack.platform.heartbeats import decode_born
from poplarrack.platform.heartbeats import decode_heartbeat
from poplarrack.platform.heartbeats import INSTANCE_PATH

logger = logging.getLogger(__name__)

TEXT = 'text/plain'
READY_PATH = '/-/ready'


def serve_control(server, request):
    """Handle a heartbeat or a deregistration of the local endpoint."""
    path = request.target.partition('?')[0]
    instance_id = path.removeprefix(INSTANCE_PATH)
    if not path.startswith(INSTANCE_PATH) or not instance_id:
        return Page(404, TEXT, b'')
    if request.method == 'PUT':
        return _handle_heartbeat(server, instance_id, request.body)
    if request.method == 'DELETE':
        server.local_endpoint.on_deregistration(
            instance_id, decode_born(request.body)
        )
        return _acknowledge_leave(server)
    return Page(405, TEXT, b'')


def _handle_heartbeat(server, instance_id, body):
    try:
        heartbeat = decode_heartbeat(instance_id, body)
        server.local_endpoint.on_heartbeat(heartbeat)
    except PoplarrackError as error:
        logger.warning('heartbeat_rejected', extra={'detail': error.detail})
        status = error.answer.http_status
        return Page(status, TEXT, error.detail.encode())
    if heartbeat.draining:
        return _acknowledge_leave(server)
    return json_page({})


async def _acknowledge_leave(server):
    """Acknowledge a leave once it outlives the process of this node."""
    if await server.local_endpoint.hold_departure():
        return json_page({})
    return Page(503, TEXT, b'nobody else keeps the leave')


def serve_ready(server, request):
    """Answer whether the node is ready to send the machine's requests."""
    if request.target.partition('?')[0] != READY_PATH:
        return Page(404, TEXT, b'')
    return Page(200 if server.node.ready else 503, TEXT, b'')
