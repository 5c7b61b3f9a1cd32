"""Test a sidecar node against a stand-in of the platform's store."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace
from json import dumps
import socket
import time
from unittest import TestCase

from poplarrack.addresses import split_address
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.members import EndpointState
from poplarrack.platform.header_names import HEADER_NAMES
from poplarrack.platform.pages import serve_control
from poplarrack.platform.pages import serve_ready
from poplarrack.platform.settings import parse_settings
from poplarrack.platform.store_client import PlatformStoreClient
from poplarrack.settings import PlatformSettings
from poplarrack.sidecar_servers import PlatformAdapter
from poplarrack.sidecar_servers import SidecarServer
from tests.store_stand_in import running_store
from tests.support import build_load_tests
from tests.test_calls import ScriptedServer
from tests.test_platform_adapter import CONFIG
from tests.test_platform_adapter import HEARTBEAT
from tests.test_platform_adapter import SETTINGS

load_tests = build_load_tests(__name__)

ENDPOINT_ANSWER = (
    b'HTTP/1.1 200 OK\r\nrequest-id: r1\r\nserver-stamp: s\r\n'
    b'content-length: 2\r\n\r\nok'
)
CALL = (
    b'GET /b/x HTTP/1.1\r\nhost: shop.example\r\nrequest-id: r1\r\n'
    b'deadline-ms: 2000\r\nconnection: close\r\n\r\n'
)
WAIT_SECONDS = 15


def free_addresses(count):
    """Return loopback addresses with unused ports."""
    sockets = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    addresses = [f'127.0.0.1:{item.getsockname()[1]}' for item in sockets]
    for item in sockets:
        item.close()
    return addresses


async def exchange(address, raw):
    """Send a request; return the complete answer."""
    reader, writer = await asyncio.open_connection(*split_address(address))
    writer.write(raw)
    answer = await asyncio.wait_for(reader.read(), WAIT_SECONDS)
    writer.close()
    return answer


def build_request(method, path, body=b''):
    head = f'{method} {path} HTTP/1.1\r\nhost: n\r\nconnection: close\r\n'
    return f'{head}content-length: {len(body)}\r\n\r\n'.encode() + body


async def until(condition):
    """Poll a coroutine function until it returns a true value."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not await condition():
            await asyncio.sleep(0.02)


@asynccontextmanager
async def running_node(store_address, load_settings=None, **changes):
    """Run a node; yield its server and its settings.

    :param changes: settings that differ from the samples.
    """
    addresses = free_addresses(5)
    settings = replace(
        parse_settings(SETTINGS),
        peer_address=addresses[0],
        call_address=addresses[1],
        announce_address=addresses[2],
        operator_address=addresses[3],
        metrics_address=addresses[4],
        platform=PlatformSettings((store_address,), summary_ttl_seconds=0.0),
        **changes,
    )
    adapter = PlatformAdapter(
        HEADER_NAMES,
        PlatformStoreClient([store_address]),
        serve_control,
        serve_ready,
        load_settings or (lambda: settings),
    )
    server = SidecarServer(settings, adapter)
    running = asyncio.ensure_future(server.run())
    try:
        yield server, settings
    finally:
        server.stopping.set()
        await asyncio.wait_for(running, WAIT_SECONDS)


def test_a_call_is_carried_from_its_caller_to_the_endpoint():
    async def run():
        endpoint = ScriptedServer(lambda *x: ENDPOINT_ANSWER)
        listener = await asyncio.start_server(endpoint.serve, '127.0.0.1', 0)
        port = listener.sockets[0].getsockname()[1]
        heartbeat = dumps(
            {**HEARTBEAT, 'address': f'127.0.0.1:{port}'}
        ).encode()
        with running_store() as (stand_in, store):
            stand_in.put('op/config', CONFIG)
            async with running_node(store) as (server, settings):
                await until(lambda: is_ready(settings))
                put = build_request('PUT', '/-/instances/i-1', heartbeat)
                acknowledged = await exchange(settings.announce_address, put)
                # The node batches changes of members.
                await until(lambda: has_endpoint(server))
                answer = await exchange(settings.call_address, CALL)
                metrics = await exchange(
                    settings.metrics_address, build_request('GET', '/metrics')
                )
                state = await exchange(
                    settings.metrics_address, build_request('GET', '/dump')
                )
                await exchange(
                    settings.announce_address,
                    build_request('DELETE', '/-/instances/i-1'),
                )
                await until(lambda: has_no_endpoint(server))
                refused = await exchange(settings.call_address, CALL)
        listener.close()
        return acknowledged, answer, metrics, state, refused, endpoint

    acknowledged, answer, metrics, state, refused, endpoint = asyncio.run(
        run()
    )
    assert acknowledged.startswith(b'HTTP/1.1 200')
    assert answer.startswith(b'HTTP/1.1 200') and answer.endswith(b'ok')
    assert b'server-stamp: s' in answer
    assert b'caller-service: front\r\n' in endpoint.requests[0]
    assert b'expect-instance: i-1\r\n' in endpoint.requests[0]
    assert b'poplarrack_call_seconds_bucket' in metrics
    assert b'poplarrack_call_answers_total 1.0' in metrics
    assert b'poplarrack_service_calls_total{service="front"} 1.0' in metrics
    assert b'"i-1"' in state
    assert refused.startswith(b'HTTP/1.1 503')
    assert b'retry-after' in refused
    assert len(endpoint.requests) == 1


async def has_endpoint(server):
    return bool(server.sender.destinations.for_service('front'))


async def has_no_endpoint(server):
    return not server.sender.destinations.for_service('front')


async def is_ready(settings):
    """Return whether the node reports that it is ready."""
    try:
        answer = await exchange(
            settings.operator_address, build_request('GET', '/-/ready')
        )
    except OSError:
        return False
    return answer.startswith(b'HTTP/1.1 200')


def test_a_node_without_a_configuration_is_not_ready():
    async def run():
        with running_store() as (_, store):
            async with running_node(store) as (server, settings):
                await until(lambda: joined(server))
                ready = await is_ready(settings)
                return ready, await exchange(settings.call_address, CALL)

    ready, answer = asyncio.run(run())
    assert not ready
    assert answer.startswith(b'HTTP/1.1 503')


async def joined(server):
    return server.node.facts.lifecycle.joined


def test_faulty_settings_change_nothing():
    def fail():
        raise PoplarrackError(ErrorKind.INVALID_SETTINGS, 'truncated file')

    async def run():
        with running_store() as (_, store):
            async with running_node(store, fail) as (server, settings):
                await until(lambda: joined(server))
                server.reload()
                return server.settings == settings

    assert asyncio.run(run())


class SilentServer:
    """An endpoint that reads requests and never answers."""

    def __init__(self):
        self.requests = 0
        self.writers = []

    async def serve(self, reader, writer):
        self.writers.append(writer)
        while await reader.readline():
            await reader.readuntil(b'\r\n\r\n')
            self.requests += 1


async def announce(settings, listener):
    """Announce an endpoint that listens on the port of a listener."""
    port = listener.sockets[0].getsockname()[1]
    heartbeat = {**HEARTBEAT, 'address': f'127.0.0.1:{port}'}
    put = build_request('PUT', '/-/instances/i-1', dumps(heartbeat).encode())
    await exchange(settings.announce_address, put)


async def send_heartbeat(settings, heartbeat, instance_id='i-1'):
    """Send a heartbeat; return the answer's status."""
    path = f'/-/instances/{instance_id}'
    put = build_request('PUT', path, dumps(heartbeat).encode())
    answer = await exchange(settings.announce_address, put)
    return int(answer.split()[1])


# RECOVER: a heartbeat of another writer, taken while no configuration was
# known, kept the true endpoint out for as long as the process ran. One that
# named another configured service did so at any time.
def test_a_heartbeat_of_another_service_never_takes_the_endpoints_place():
    def others(sequence):
        for service in ('stocktake', 'back'):
            info = {**HEARTBEAT['info'], 'service': service}
            status = {'state': 'ready', 'sequence': sequence}
            yield {**HEARTBEAT, 'info': info, 'status': status, 'born': 2**41}

    async def run():
        endpoint = ScriptedServer(lambda *x: ENDPOINT_ANSWER)
        listener = await asyncio.start_server(endpoint.serve, '127.0.0.1', 0)
        statuses = []
        with running_store() as (stand_in, store):
            stand_in.failure_status = 503
            async with running_node(store) as (server, settings):
                await until(lambda: joined(server))
                for other in others(1):
                    status = await send_heartbeat(settings, other, 'i-other')
                    statuses.append(status)
                await announce(settings, listener)
                stand_in.put('op/config', CONFIG)
                stand_in.failure_status = 0
                await until(lambda: is_ready(settings))
                for other in others(2):
                    status = await send_heartbeat(settings, other, 'i-other')
                    statuses.append(status)
                await until(lambda: has_endpoint(server))
                answer = await exchange(settings.call_address, CALL)
        listener.close()
        return statuses, answer

    statuses, answer = asyncio.run(run())
    assert answer.startswith(b'HTTP/1.1 200'), answer
    assert statuses == [400] * 4, statuses


def test_an_endpoint_is_taken_once_the_settings_name_its_service():
    held = []

    async def run():
        with running_store() as (_, store):
            node = running_node(store, lambda: held[-1], service='back')
            async with node as (server, settings):
                held.append(settings)
                await until(lambda: joined(server))
                before = await send_heartbeat(settings, HEARTBEAT)
                held.append(replace(settings, service='front'))
                after = await send_heartbeat(settings, HEARTBEAT)
                return (
                    before,
                    after,
                    server.local_endpoint.record.endpoint.service,
                )

    assert asyncio.run(run()) == (400, 200, 'front')


# DRAIN: see test_departures; here the two processes share the store only.
def test_a_late_heartbeat_does_not_undo_the_leave_before_a_restart():
    later = {**HEARTBEAT, 'born': HEARTBEAT['born'] + 1}

    async def run():
        with running_store() as (stand_in, store):
            stand_in.put('op/config', CONFIG)
            async with running_node(store) as (server, settings):
                await until(lambda: is_ready(settings))
                await send_heartbeat(settings, HEARTBEAT)
                delete = build_request('DELETE', '/-/instances/i-1')
                acknowledged = await exchange(
                    settings.announce_address, delete
                )
            async with running_node(store) as (server, settings):
                await until(lambda: is_ready(settings))
                await until(lambda: has_recalled(server))
                await send_heartbeat(settings, HEARTBEAT)
                late = server.local_endpoint.record.endpoint
                await send_heartbeat(settings, later)
                return (
                    acknowledged,
                    late,
                    server.local_endpoint.record.endpoint,
                )

    acknowledged, late, endpoint = asyncio.run(run())
    assert acknowledged.startswith(b'HTTP/1.1 200'), acknowledged
    assert late is None
    assert endpoint.born == later['born']


async def has_recalled(server):
    return server.local_endpoint.is_recalled


def test_no_leave_is_acknowledged_that_ends_with_the_process():
    status = {**HEARTBEAT['status'], 'state': 'draining'}

    async def run():
        with running_store() as (stand_in, store):
            stand_in.failure_status = 503
            async with running_node(store) as (server, settings):
                await until(lambda: has_recalled(server))
                await send_heartbeat(settings, HEARTBEAT)
                leave = {**HEARTBEAT, 'status': {**status, 'sequence': 5}}
                alone = await send_heartbeat(settings, leave)
                state = server.local_endpoint.record.endpoint.state
                stand_in.failure_status = 0
                leave = {**HEARTBEAT, 'status': {**status, 'sequence': 6}}
                await until(lambda: is_acknowledged(settings, leave))
                return alone, state

    alone, state = asyncio.run(run())
    assert alone == 503
    assert state is EndpointState.DRAINING


async def is_acknowledged(settings, heartbeat):
    return await send_heartbeat(settings, heartbeat) == 200


# LOST: a stopping node passed on requests that came late in its grace, and
# closed their connections without an answer when the grace was over.
def test_a_stopping_node_answers_every_request_that_it_has_read():
    call = CALL.replace(b'deadline-ms: 2000', b'deadline-ms: 9000')
    split_at = call.index(b'connection')
    routes = {
        name: {**route, 'timeout': '9s'}
        for name, route in CONFIG['routes'].items()
    }

    async def run():
        endpoint = SilentServer()
        listener = await asyncio.start_server(endpoint.serve, '127.0.0.1', 0)
        with running_store() as (stand_in, store):
            stand_in.put('op/config', {**CONFIG, 'routes': routes})
            async with running_node(store, grace_seconds=4.0) as node:
                server, settings = node
                await until(lambda: is_ready(settings))
                await announce(settings, listener)
                await until(lambda: has_endpoint(server))
                early = asyncio.ensure_future(
                    exchange(settings.call_address, call)
                )
                late, writer = await asyncio.open_connection(
                    *split_address(settings.call_address)
                )
                writer.write(call[:split_at])
                server.stopping.set()
                await until(lambda: refuses_late_requests(server))
                writer.write(call[split_at:])
                late_answer = await asyncio.wait_for(late.read(), WAIT_SECONDS)
                writer.close()
                early_answer = await early
        listener.close()
        for item in endpoint.writers:
            item.close()
        return late_answer, early_answer, endpoint.requests

    late, early, requests = asyncio.run(run())
    assert late.startswith(b'HTTP/1.1 503') and b'retry-after' in late, late
    assert early.startswith(b'HTTP/1.1 502'), early
    assert requests == 1


async def refuses_late_requests(server):
    return server.sender.closes_at is not None


# CONFIG: nodes said that they had reloaded, and kept to the store's old
# address for good.
def test_a_reload_follows_the_store_to_another_address():
    loaded = []

    def load():
        if not loaded:
            raise PoplarrackError(ErrorKind.INVALID_SETTINGS, 'none yet')
        return loaded[-1]

    async def run(one, other):
        async with running_node(one[1], load) as (server, settings):
            loaded.append(settings)
            one[0].put('op/config', CONFIG)
            await until(lambda: configured(server))
            before = server.node.knowledge.configuration.revision
            other[0].store = one[0].store
            platform = replace(settings.platform, addresses=(other[1],))
            loaded.append(
                replace(settings, platform=platform, seeds=('127.0.0.9:1',))
            )
            with TestCase().assertLogs('poplarrack.sidecar_servers') as logs:
                server.reload()
            [record] = logs.records
            assert record.msg == 'settings_reloaded'
            assert record.changed == ['platform', 'seeds']
            assert record.needs_restart == ['seeds']
            one[0].failure_status = 503
            other[0].put('op/config', {**CONFIG, 'version': 'r99'})

            async def follows():
                revision = server.node.knowledge.configuration.revision
                return revision > before

            await until(follows)

    async def configured(server):
        return server.node.knowledge.configuration.revision

    with running_store() as one, running_store() as other:
        asyncio.run(run(one, other))


LARGE_BYTES = 2_000_000


# DENIED: the limits on callers were those of the version before for up to a
# second, and before the first one the defaults.
def test_limits_hold_as_soon_as_their_configuration():
    limits = {**CONFIG['limits'], 'max_body_bytes': LARGE_BYTES}
    body = bytes(LARGE_BYTES)
    call = b'POST /b/x HTTP/1.1\r\nhost: shop.example\r\nrequest-id: r1\r\n'
    call += b'connection: close\r\ncontent-length: %d\r\n\r\n' % len(body)

    async def run():
        with running_store() as (stand_in, store):
            async with running_node(store) as (server, settings):
                await until(lambda: joined(server))
                statuses = [await ask(settings)]
                for revision in ('r1', 'r2'):
                    before = server.sender.table.revision
                    stand_in.put(
                        'op/config',
                        {**CONFIG, 'version': revision, 'limits': limits},
                    )
                    limits['max_body_bytes'] *= 2
                    while server.sender.table.revision == before:
                        await asyncio.sleep(0)
                    statuses.append(await ask(settings))
                return statuses

    async def ask(settings):
        answer = await exchange(settings.call_address, call + body)
        return int(answer.split()[1])

    assert asyncio.run(run()) == [503, 503, 503]


# A node that stood still, or was busy in one turn of its event loop, withdrew
# its own endpoint from all others before it read the heartbeat that waited.
def test_an_endpoint_is_not_silent_while_its_node_is_busy():
    ttl_seconds = 0.8
    calls = replace(
        parse_settings(SETTINGS).calls, announcement_ttl_seconds=ttl_seconds
    )
    later = {**HEARTBEAT, 'status': {**HEARTBEAT['status'], 'sequence': 9}}
    put = build_request('PUT', '/-/instances/i-1', dumps(later).encode())

    async def run():
        with running_store() as (stand_in, store):
            stand_in.put('op/config', CONFIG)
            async with running_node(store, calls=calls) as (server, settings):
                await until(lambda: has_recalled(server))
                forgotten = []
                server.node.forget_endpoint = lambda: forgotten.append(1)
                await send_heartbeat(settings, HEARTBEAT)
                address = split_address(settings.announce_address)
                with socket.create_connection(address) as endpoint:
                    endpoint.sendall(put)
                    time.sleep(ttl_seconds + 0.1)
                    await asyncio.sleep(0.4)
                    heard = list(forgotten)
                await until(lambda: is_forgotten(forgotten))
                return heard

    async def is_forgotten(forgotten):
        return bool(forgotten)

    assert not asyncio.run(run())
