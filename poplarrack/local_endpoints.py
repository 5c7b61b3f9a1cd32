"""Apply what the endpoint of a sidecar says of itself.

Its heartbeats put it in use. Its leave ends that, also for the processes that
the node starts later: it is acknowledged once it is kept elsewhere, and a
process that starts learns of it before it takes a heartbeat for a new one.
"""

import asyncio
from contextlib import suppress
import logging

from poplarrack.departures import hold_departure
from poplarrack.departures import read_departure
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.heartbeats import apply_departure
from poplarrack.heartbeats import apply_deregistration
from poplarrack.heartbeats import apply_heartbeat
from poplarrack.heartbeats import EndpointRecord
from poplarrack.resources import Service

logger = logging.getLogger(__name__)

# How long a node that has started waits for what the store and other nodes
# know of its endpoint's leave, and the pauses before it asks the store again.
RECALL_TIMEOUT_SECONDS = 1.0
RECALL_RETRY_SECONDS = (1.0, 2.0, 4.0, 8.0)


class LocalEndpoint:
    """The endpoint beside a node, as far as it has told.

    :param server: the SidecarServer, whose node and receiver learn of it.
    """

    def __init__(self, server):
        self.server = server
        self.node = server.node
        self.clock = server.clock
        self.record = EndpointRecord()
        # The last leave that is kept elsewhere, too.
        self.held_departure = None
        # Whether the leaves that earlier processes acknowledged are known, and
        # the heartbeats that wait for that.
        self.is_recalled = False
        self.early_heartbeats = []
        self.node.on_departure = self.on_departure

    def on_heartbeat(self, heartbeat):
        """Apply a heartbeat.

        :raises PoplarrackError: MALFORMED_REQUEST if its service is not this
            node's. Another writer sent it then.
        """
        if not self._is_own_service(heartbeat.service):
            raise PoplarrackError(
                ErrorKind.MALFORMED_REQUEST,
                f'heartbeat: service {heartbeat.service!r:.80} is not that '
                'of this node',
            )
        if not self.is_recalled and not heartbeat.draining:
            # It may be late, and its sender may have left.
            self.early_heartbeats.append(heartbeat)
            return
        self._apply_heartbeat(heartbeat)

    def _is_own_service(self, service):
        """Return whether the settings name a service as this node's.

        The settings may have changed with the endpoint, without a signal.
        """
        if service != self.server.settings.service:
            self.server.reload()
        return service == self.server.settings.service

    def _apply_heartbeat(self, heartbeat):
        services = self.node.knowledge.configuration.services
        service = services.get(heartbeat.service)
        service = service or Service(heartbeat.service, '')
        self._set_record(
            apply_heartbeat(
                self.record,
                heartbeat,
                service,
                self.clock(),
                self.server.settings.calls.announcement_ttl_seconds,
            )
        )

    def on_deregistration(self, instance_id, born):
        """Apply a deregistration.

        :param born: the endpoint's time of start, or None if not given.
        """
        self._set_record(
            apply_deregistration(self.record, instance_id, born, self.clock())
        )

    async def hold_departure(self):
        """Have the endpoint's leave kept elsewhere, before it is acknowledged.

        :returns: whether it is; True if there is none.
        """
        departure = self.record.departure
        if departure is None or self._is_held(departure):
            return True
        if await hold_departure(self.node, departure):
            self.held_departure = departure
        return self._is_held(departure)

    def _is_held(self, departure):
        held = self.held_departure
        return held is not None and (held.instance_id, held.born) == (
            departure.instance_id,
            departure.born,
        )

    def on_departure(self, departure):
        """Apply a leave that an earlier process acknowledged."""
        logger.info(
            'departure_recalled', extra={'instance': departure.instance_id}
        )
        self.held_departure = departure
        self._set_record(apply_departure(self.record, departure, self.clock()))

    async def recall(self, join_task):
        """Learn of the last leave before the first endpoint is put in use.

        Without the store, the nodes that this one joins know of it.

        :param join_task: the task that joins the mesh.
        """
        known = False
        with suppress(TimeoutError):
            async with asyncio.timeout(RECALL_TIMEOUT_SECONDS):
                known = await self._read_departure()
                if not known:
                    await asyncio.wait([join_task])
        self.is_recalled = True
        early, self.early_heartbeats = self.early_heartbeats, []
        for heartbeat in early:
            self._apply_heartbeat(heartbeat)
        for delay_seconds in RECALL_RETRY_SECONDS:
            if known:
                return
            await asyncio.sleep(delay_seconds)
            known = await self._read_departure()

    async def _read_departure(self):
        """Read the last leave from the store; return whether it answered."""
        try:
            departure = await read_departure(self.node)
        except PoplarrackError as error:
            logger.info('departure_unknown', extra={'detail': error.detail})
            return False
        if departure is not None:
            self.node.record_departure(departure)
            self.on_departure(departure)
        return True

    def _set_record(self, record):
        previous = self.record
        if record is previous:
            return
        self.record = record
        if record.departure is not None:
            self.node.record_departure(record.departure)
        self.server.receiver.set_endpoint(record.endpoint, record.cold_until)
        if record.endpoint is not None:
            self.node.announce(record.endpoint)
        elif previous.endpoint is not None:
            self.node.forget_endpoint()
