"""Endpoints of the soak; they run in its process and outlive the nodes."""

import asyncio
from json import dumps
from time import monotonic

from poplarrack.addresses import split_address
from tests.test_platform_adapter import HEARTBEAT

EXCHANGE_TIMEOUT_SECONDS = 3.0
HEARTBEAT_SECONDS = 0.3


async def exchange(address, raw):
    """Send a request on a new connection.

    :param address: the ``host:port``.
    :param raw: the bytes of the request.
    :returns: the status, the head and the body; 0 without an answer.
    :raises OSError: when the connection fails.
    :raises TimeoutError: after EXCHANGE_TIMEOUT_SECONDS.
    """
    async with asyncio.timeout(EXCHANGE_TIMEOUT_SECONDS):
        reader, writer = await asyncio.open_connection(*split_address(address))
        try:
            writer.write(raw)
            answer = await reader.read()
        finally:
            writer.close()
    head, _, body = answer.partition(b'\r\n\r\n')
    return (int(head[9:12]) if head else 0), head, body


def build_request(method, path, body=b'', **headers):
    """Return the bytes of a request.

    :param headers: by name, with ``_`` in place of ``-``.
    """
    fields = {'host': 'shop.example', 'connection': 'close', **headers}
    fields['content-length'] = len(body)
    lines = ''.join(
        f'{name.replace("_", "-")}: {value}\r\n'
        for name, value in fields.items()
    )
    return f'{method} {path} HTTP/1.1\r\n{lines}\r\n'.encode() + body


class Endpoint:
    """An endpoint that reports each request that it runs to the soak.

    :param soak: the Soak.
    :param control_address: the ``host:port`` of the local node's control
        listener.
    """

    def __init__(self, soak, control_address):
        self.soak, self.control_address = soak, control_address
        self.server = self.heartbeat_task = None
        self.instance, self.left_at, self.sequence = '', None, 0
        self.writers = set()

    async def start(self):
        """Listen, and send heartbeats as a new instance."""
        self.soak.instances += 1
        self.instance = f'i-{self.soak.instances}'
        self.left_at = None
        self.server = await asyncio.start_server(
            lambda *streams: self.serve(self.instance, *streams), '127.0.0.1'
        )
        port = self.server.sockets[0].getsockname()[1]
        self.heartbeat = {
            **HEARTBEAT,
            'address': f'127.0.0.1:{port}',
            'born': port,
        }
        self.heartbeat_task = asyncio.ensure_future(self.send_heartbeats())

    async def send_heartbeats(self):
        """Send heartbeats until the task is cancelled."""
        while True:
            self.sequence += 1
            status = {'state': 'ready', 'sequence': self.sequence}
            body = dumps({**self.heartbeat, 'status': status}).encode()
            path = f'/-/instances/{self.instance}'
            try:
                await exchange(
                    self.control_address, build_request('PUT', path, body)
                )
            except (OSError, TimeoutError):
                self.soak.counts['reports without answer'] += 1
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def leave(self):
        """Announce the leave, and record when the node acknowledged it."""
        await self.stop_heartbeats()
        path = f'/-/instances/{self.instance}'
        try:
            status, _, _ = await exchange(
                self.control_address, build_request('DELETE', path)
            )
        except (OSError, TimeoutError):
            return
        if status == 200:
            self.left_at = monotonic()

    async def stop_heartbeats(self):
        """Stop sending heartbeats."""
        self.heartbeat_task.cancel()
        await asyncio.gather(self.heartbeat_task, return_exceptions=True)

    async def close(self):
        """Stop listening and abort all connections."""
        await self.stop_heartbeats()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, instance, reader, writer):
        """Run the requests of a connection, and report each to the soak.

        2 % get a status 500, and 2 % no answer: their connection is closed.
        """
        self.writers.add(writer)
        random = self.soak.random
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                fields = _parse_headers(head)
                await reader.readexactly(int(fields.get('content-length', 0)))
                key = fields['request-id']
                expected = fields.get('expect-instance', instance)
                self.soak.on_run(self, key, instance == expected)
                await asyncio.sleep(random.random() * 0.02)
                chance = random.random()
                if chance < 0.02:
                    break
                status = 500 if chance < 0.04 else 200
                writer.write(
                    f'HTTP/1.1 {status} -\r\nrequest-id: {key}\r\n'
                    f'server-stamp: s\r\ncontent-length: {len(key)}\r\n'
                    f'\r\n{key}'.encode()
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def _parse_headers(head):
    lines = head.decode().split('\r\n')[1:]
    pairs = (line.split(': ', 1) for line in lines if line)
    return {name.lower(): value for name, value in pairs}
