"""Run the stand-in for a backend server: listen, announce, drain."""

import asyncio
import signal
import time

from poplarrack.addresses import split_address
from poplarrack.callers import CallServer
from poplarrack.clocks import pause
from poplarrack.stand_ins.backends import ANNOUNCE_SECONDS
from poplarrack.stand_ins.backends import Announcer
from poplarrack.stand_ins.backends import BackendDispatcher

DRAIN_SECONDS = 3.0


def serve_backend(service, version, address, announce_address, behaviour):
    """Serve until SIGTERM or SIGINT, then drain.

    :param service: the name of the service.
    :param version: the version of the service.
    :param address: the ``host:port`` to listen on.
    :param announce_address: the ``host:port`` of the local node.
    :param behaviour: the Behaviour.
    """
    announcer = Announcer(
        announce_address,
        {
            'service': service,
            'version': version,
            'address': address,
            'slots': behaviour.slots,
            'max_connections': behaviour.connections,
        },
    )
    asyncio.run(_serve(version, address, behaviour, announcer))


async def _serve(version, address, behaviour, announcer):
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    dispatcher = BackendDispatcher(version, behaviour, time.monotonic)
    server = CallServer(dispatcher, time.monotonic, behaviour.connections)
    await server.listen(loop, *split_address(address))
    while not stopping.is_set():
        health = dispatcher.report_health()
        await asyncio.to_thread(announcer.announce, **health)
        await pause(stopping, ANNOUNCE_SECONDS)
    await _drain(server, announcer)


async def _drain(server, announcer):
    """Announce the drain, serve for DRAIN_SECONDS, then finish open calls.

    Until nodes apply the announcement they still send calls.
    """
    await asyncio.to_thread(announcer.announce, draining=True)
    await asyncio.sleep(DRAIN_SECONDS)
    await server.drain(asyncio.get_running_loop())
    await server.wait_until_drained()
