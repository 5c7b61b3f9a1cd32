"""Build a node of the platform from its settings and run it."""

import asyncio
import os
import sys

from poplarrack.errors import PoplarrackError
from poplarrack.logs import configure_nonblocking_logs
from poplarrack.platform.header_names import HEADER_NAMES
from poplarrack.platform.pages import serve_control
from poplarrack.platform.pages import serve_ready
from poplarrack.platform.settings import load_settings
from poplarrack.platform.store_client import PlatformStoreClient
from poplarrack.programs import tune_interpreter
from poplarrack.sidecar_servers import PlatformAdapter
from poplarrack.sidecar_servers import SidecarServer


def main():
    """Run a node with the settings of the environment."""
    try:
        settings = load_settings()
        configure_nonblocking_logs(settings.log_level, node=settings.node_id)
        adapter = PlatformAdapter(
            HEADER_NAMES,
            PlatformStoreClient(settings.platform.addresses),
            serve_control,
            serve_ready,
            load_settings,
        )
        tune_interpreter()
        asyncio.run(_serve(settings, adapter))
    except PoplarrackError as error:
        print(f'poplarrack: {error}', file=sys.stderr)
        sys.exit(error.answer.exit_code)


async def _serve(settings, adapter):
    await SidecarServer(settings, adapter).run()
    # Threads that wait for the store must not delay the exit.
    sys.stdout.flush()
    os._exit(0)
