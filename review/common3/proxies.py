"""A proxy between one node and the store."""

import asyncio
import time


class StoreProxy:
    """Forwards connections to the store, unless the path is cut.

    A cut is silent: nothing passes in either direction, and connections stay
    open. What is held up passes once the cut has healed.

    :param store_address: ``host:port`` of the store.
    """

    def __init__(self, store_address):
        self.host, _, self.port = store_address.rpartition(':')
        self.passes = asyncio.Event()
        self.passes.set()
        self.server = None
        self.tasks = set()
        self.address = ''
        # When the node last asked for a watch.
        self.watched_at = 0.0

    async def start(self, ip):
        """Listen on a free port of an address."""
        self.server = await asyncio.start_server(self._serve, ip, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'{ip}:{port}'

    def cut(self):
        """Let nothing pass any more."""
        self.passes.clear()

    def heal(self):
        """Let everything pass again."""
        self.passes.set()

    async def _serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        upstream = None
        try:
            await self.passes.wait()
            there, upstream = await asyncio.open_connection(
                self.host, int(self.port)
            )
            await asyncio.gather(
                self._pass(reader, upstream, True),
                self._pass(there, writer, False),
            )
        except (OSError, asyncio.CancelledError):
            # asyncio prints the traceback of a cancelled one.
            pass
        finally:
            writer.transport.abort()
            if upstream is not None:
                upstream.transport.abort()
            self.tasks.discard(asyncio.current_task())

    async def _pass(self, reader, writer, is_request):
        while True:
            data = await reader.read(65_536)
            await self.passes.wait()
            if not data:
                raise ConnectionResetError
            if is_request and b'/-/kv-watch' in data:
                self.watched_at = time.monotonic()
            writer.write(data)
            await writer.drain()

    async def stop(self):
        """End all connections."""
        self.server.close()
        self.heal()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
