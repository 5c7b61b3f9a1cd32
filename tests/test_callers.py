"""Test how the call server manages connections of callers."""

import asyncio

from poplarrack.callers import CallServer
from poplarrack.http_messages import build_answer
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

REQUEST = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'


class ImmediateDispatcher:
    """A dispatcher that answers each request at once."""

    def __init__(self):
        self.counts = {}

    def start(self, request, respond):
        keep_alive = request.keep_alive
        respond(build_answer(200, [], b'ok', keep_alive), keep_alive)


class ManualClock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def test_idle_connections_make_room_for_new_ones():
    async def exceed_connections():
        clock = ManualClock()
        server = CallServer(ImmediateDispatcher(), clock, max_connections=10)
        loop = asyncio.get_running_loop()
        port = await server.listen(loop, '127.0.0.1', 0)
        opened = []
        for _ in range(30):
            clock.now += 1.0
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(REQUEST)
            answer = await reader.readuntil(b'ok')
            opened.append((reader, writer))
            assert answer.startswith(b'HTTP/1.1 200'), answer
            assert len(server.connections) <= 10
        for _, writer in opened:
            writer.close()
        server.listener.close()
        server.socket.close()

    asyncio.run(exceed_connections())
