"""Stand in for the endpoints of a soak; they outlive the nodes."""

import asyncio
from json import dumps
from time import monotonic

from poplarrack.addresses import split_address
from tests.test_platform_adapter import HEARTBEAT

CALL_SECONDS = 3.0
BEAT_SECONDS = 0.3


async def exchange(address, raw):
    """Send a request on a new connection; return status, head and body."""
    async with asyncio.timeout(CALL_SECONDS):
        reader, writer = await asyncio.open_connection(*split_address(address))
        try:
            writer.write(raw)
            answer = await reader.read()
        finally:
            writer.close()
    head, _, body = answer.partition(b'\r\n\r\n')
    return (int(head[9:12]) if head else 0), head, body


def build(method, path, body=b'', **headers):
    """Return a request's bytes."""
    fields = {'host': 'shop.example', 'connection': 'close', **headers}
    fields['content-length'] = len(body)
    lines = ''.join(
        f'{name.replace("_", "-")}: {value}\r\n'
        for name, value in fields.items()
    )
    return f'{method} {path} HTTP/1.1\r\n{lines}\r\n'.encode() + body


class Endpoint:
    """An endpoint of this process; notes what each instance ran, and when."""

    def __init__(self, soak, control):
        self.soak, self.control = soak, control
        self.server = self.beating = None
        self.instance, self.left_at, self.sequence = '', None, 0
        self.writers = set()

    async def start(self):
        """Listen and report as a new instance."""
        self.soak.instances += 1
        self.instance = f'i-{self.soak.instances}'
        self.left_at = None
        self.server = await asyncio.start_server(
            lambda *streams: self.serve(self.instance, *streams), '127.0.0.1'
        )
        port = self.server.sockets[0].getsockname()[1]
        self.beat = {**HEARTBEAT, 'address': f'127.0.0.1:{port}', 'born': port}
        self.beating = asyncio.ensure_future(self.report())

    async def report(self):
        """Report for as long as the endpoint is there."""
        while True:
            self.sequence += 1
            status = {'state': 'ready', 'sequence': self.sequence}
            body = dumps({**self.beat, 'status': status}).encode()
            path = f'/-/instances/{self.instance}'
            try:
                await exchange(self.control, build('PUT', path, body))
            except (OSError, TimeoutError):
                self.soak.counts['reports without answer'] += 1
            await asyncio.sleep(BEAT_SECONDS)

    async def leave(self):
        """Say good-bye; what comes after the acknowledgement is noted."""
        await self.stop_reporting()
        path = f'/-/instances/{self.instance}'
        try:
            status, _, _ = await exchange(self.control, build('DELETE', path))
        except (OSError, TimeoutError):
            return
        if status == 200:
            self.left_at = monotonic()

    async def stop_reporting(self):
        """Fall silent."""
        self.beating.cancel()
        await asyncio.gather(self.beating, return_exceptions=True)

    async def close(self):
        """Stop listening and drop all connections."""
        await self.stop_reporting()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, instance, reader, writer):
        """Run requests: most well, some badly, some without an answer."""
        self.writers.add(writer)
        random = self.soak.random
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                fields = _fields(head)
                await reader.readexactly(int(fields.get('content-length', 0)))
                key = fields['request-id']
                wanted = fields.get('expect-instance', instance)
                self.soak.on_run(self, key, instance == wanted)
                await asyncio.sleep(random.random() * 0.02)
                chance = random.random()
                if chance < 0.02:
                    break
                status = 500 if chance < 0.04 else 200
                writer.write(
                    f'HTTP/1.1 {status} -\r\nrequest-id: {key}\r\n'
                    f'server-stamp: s\r\ncontent-length: {len(key)}\r\n\r\n'
                    f'{key}'.encode()
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def _fields(head):
    lines = head.decode().split('\r\n')[1:]
    pairs = (line.split(': ', 1) for line in lines if line)
    return {name.lower(): value for name, value in pairs}
