"""Run nodes as processes beside endpoints of the test's own process."""

import asyncio
from contextlib import asynccontextmanager
from contextlib import AsyncExitStack
from contextlib import suppress
from dataclasses import dataclass
from itertools import count
from json import dumps
import os
from pathlib import Path
import subprocess
import sys

from tests.soak_http import build_request
from tests.soak_http import exchange
from tests.soak_http import NO_ANSWER
from tests.store_stand_in import running_store
from tests.test_platform_adapter import HEARTBEAT
from tests.test_platform_adapter import SETTINGS

START_TIMEOUT_SECONDS = 20.0
HEARTBEAT_SECONDS = 1.0
HOST = 'shop.example'
NUMBERS = count(1)


@dataclass(frozen=True)
class NodeProcess:
    """A node's process, at an address of its own."""

    name: str
    ip: str
    service: str
    process: subprocess.Popen
    log: Path

    @property
    def call_address(self):
        """Return the ``host:port`` for callers."""
        return f'{self.ip}:8141'

    @property
    def peer_address(self):
        """Return the ``host:port`` for other nodes."""
        return f'{self.ip}:8145'

    @property
    def endpoint_address(self):
        """Return the ``host:port`` of the node's endpoint."""
        return f'{self.ip}:8147'

    def peak_mebibytes(self):
        """Return the peak of the process's resident memory, in MiB."""
        status = Path(f'/proc/{self.process.pid}/status').read_text()
        fields = dict(line.split(':', 1) for line in status.splitlines())
        return int(fields['VmHWM'].split()[0]) // 1024

    def count_descriptors(self):
        """Return the number of the process's open descriptors."""
        return len(os.listdir(f'/proc/{self.process.pid}/fd'))

    async def report(self):
        """Send heartbeats of the node's endpoint, until cancelled."""
        sequence = 0
        while True:
            sequence += 1
            info = {**HEARTBEAT['info'], 'service': self.service}
            status = {'state': 'ready', 'sequence': sequence}
            body = {
                **HEARTBEAT,
                'address': self.endpoint_address,
                'info': info,
                'status': status,
            }
            path = f'/-/instances/i-{self.name}'
            raw = build_request('PUT', path, dumps(body).encode())
            with suppress(NO_ANSWER):
                await exchange(f'{self.ip}:8146', raw)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def is_ready(self):
        """Return whether the node says that it is ready."""
        raw = build_request('GET', '/-/ready', connection='close')
        try:
            answer = await exchange(f'{self.ip}:8140', raw)
        except NO_ANSWER:
            return False
        return answer.status == 200


def build_configuration(services, timeout='2s'):
    """Return a configuration with the route ``/SERVICE/`` to each service."""
    route = {
        'host': HOST,
        'route_type': 'safe',
        'timeout': timeout,
        'target_latency': '1s',
        'priority': 2,
        'max_attempts': 1,
    }
    return {
        'version': 'r1',
        'routes': {
            f'r-{name}': {**route, 'prefix': f'/{name}/', 'service': name}
            for name in services
        },
        'services': {
            name: {'health_path': '/h', 'max_connections': 110}
            for name in services
        },
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout': '3s',
            'idle_timeout': '15s',
        },
    }


def start_node(directory, store_address, ip, service, memory_mebibytes):
    """Start a node's process; return the NodeProcess.

    :param directory: the path for its settings and its log.
    :param memory_mebibytes: the limit on memory in its settings.
    """
    name = f'sidecar-{service}'
    text = SETTINGS.replace('10.1.0.35', ip)
    text = text.replace('10.200.1.7:8142', store_address)
    text = text.replace('sidecar-a-1', name)
    text = text.replace('service = "front"', f'service = "{service}"')
    limits = f'[limits]\nmemory_mb = {memory_mebibytes}'
    text = text.replace('[limits]', limits)
    settings = directory / f'{name}.toml'
    settings.write_text(text)
    log = directory / f'{name}.log'
    with log.open('ab') as output:
        process = subprocess.Popen(
            [sys.executable, '-m', 'poplarrack.platform'],
            stdout=output,
            stderr=output,
            env={**os.environ, 'POPLARRACK_NODE_FILE': str(settings)},
        )
    return NodeProcess(name, ip, service, process, log)


def choose_ip():
    """Return a loopback address that no other test uses at the time."""
    return f'127.{os.getpid() % 100 + 20}.{next(NUMBERS) % 250 + 1}.1'


@asynccontextmanager
async def running_endpoint(node, serve):
    """Run an endpoint that reports to its node.

    :param serve: a coroutine function of a reader and a writer.
    """
    tasks = [asyncio.ensure_future(node.report())]

    async def serve_connection(reader, writer):
        tasks.append(asyncio.current_task())
        try:
            await serve(reader, writer)
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # asyncio prints the traceback of a cancelled one.
            pass
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(serve_connection, node.ip, 8147)
    try:
        yield
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@asynccontextmanager
async def running_nodes(
    directory, endpoints, memory_mebibytes=300, timeout='2s'
):
    """Run a node beside each endpoint until all are ready; yield them.

    :param endpoints: what ``running_endpoint`` takes, by service.
    :param memory_mebibytes: the limit on memory in the nodes' settings.
    :param timeout: that of the routes.
    :yields: the NodeProcess by service, and the StoreStandIn.
    """
    with running_store() as (store, address):
        store.put('op/config', build_configuration(endpoints, timeout))
        nodes = {
            service: start_node(
                directory, address, choose_ip(), service, memory_mebibytes
            )
            for service in endpoints
        }
        async with AsyncExitStack() as stack:
            for service, node in nodes.items():
                endpoint = running_endpoint(node, endpoints[service])
                await stack.enter_async_context(endpoint)
                stack.callback(node.process.wait)
                stack.callback(node.process.kill)
            async with asyncio.timeout(START_TIMEOUT_SECONDS):
                for node in nodes.values():
                    while not await node.is_ready():
                        await asyncio.sleep(0.1)
            yield nodes, store


async def call(node, service, timeout_seconds=3.0):
    """Send a request to a service through a node; return its status.

    :returns: 0 without an answer.
    """
    raw = build_request(
        'GET',
        f'/{service}/x',
        connection='close',
        host=HOST,
        request_id=f'{next(NUMBERS):016x}',
        deadline_ms=int(timeout_seconds * 1000),
    )
    try:
        answer = await exchange(node.call_address, raw)
    except NO_ANSWER:
        return 0
    return answer.status
