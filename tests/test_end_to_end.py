"""Test the whole path with real processes over real sockets."""

from collections import Counter
from json import dumps
from threading import Event
from threading import Thread
from time import monotonic

from poplarrack.errors import ANSWERS
from poplarrack.errors import ErrorKind
from poplarrack.fetchers import HEAD_KEY
from poplarrack.platforms import CONFIGURATION_PREFIX
from poplarrack.platforms import PlatformClient
from poplarrack.stand_ins.meshes import ProcessMesh
from poplarrack.stand_ins.meshes import wait_until
from poplarrack.stores import Operation
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

EXIT_INVALID = ANSWERS[ErrorKind.INVALID_CONFIGURATION].exit_code
# A change is to be in force everywhere within 5 s (BRIEF); its rejection is
# to be reported within the same time.
MAX_REPORT_SECONDS = 5.0

SETTINGS = {
    'counter/services/front': {'name': 'front', 'version': 'v1'},
    'counter/routes/front': {
        'name': 'front',
        'prefix': '/',
        'service': 'front',
        'repeatable': True,
    },
}


def test_settings_reach_calls_and_a_move_is_read_back_as_done():
    with ProcessMesh() as mesh:
        mesh.start_platform()
        put = mesh.ctl('put_all', dumps(SETTINGS))
        first = mesh.start_node('a-1', 'south', 'a')
        second = mesh.start_node('b-1', 'south', 'b', [first.peer_address])
        mesh.start_backend(first, 'front', 'v1')
        mesh.start_backend(second, 'front', 'v2')
        mesh.wait_until_ready()
        for node_id in ('a-1', 'b-1'):
            mesh.wait_for_servers(node_id, 2)
        waited = mesh.ctl('wait', put['revision'], '--timeout=20')
        assert waited['nodes'] == 2, waited

        answer = _call(mesh, first)
        assert answer.status == 200
        assert answer.headers['x-served-by'] == 'v1'

        stop, statuses = Event(), Counter()
        caller = Thread(target=_call_until, args=(mesh, first, stop, statuses))
        caller.start()
        try:
            mesh.ctl(
                *('move', 'start', 'front', 'v2'),
                *('--within=6s', '--policy=done_in_time'),
            )
            moved = mesh.ctl('wait', 'front', '--timeout=40')
        finally:
            stop.set()
            caller.join()
        assert moved['state'] == 'completed', moved
        assert set(statuses) == {200}, statuses
        status = mesh.ctl('move', 'status', 'front')
        assert status['share'] == 1.0, status
        for node in (first, second):
            wait_until(
                lambda node=node: (
                    _call(mesh, node).headers['x-served-by'] == 'v2'
                ),
                10,
                'answer by v2',
            )


def test_a_version_that_nodes_refuse_is_told_at_once_with_its_reason():
    with ProcessMesh() as mesh:
        mesh.start_platform()
        put = mesh.ctl('put_all', dumps(SETTINGS))
        mesh.start_node('a-1', 'south', 'a')
        mesh.wait_until_ready()
        mesh.ctl('wait', put['revision'], '--timeout=20')
        path = 'counter/routes/front'
        invalid = {**SETTINGS[path], 'timeout_seconds': 90417}

        code, output = mesh.run_ctl('put', path, dumps(invalid))
        assert code == EXIT_INVALID, (code, output)
        assert 'timeout_seconds' in output, output

        # Another program may write to the store without the command's check.
        client = PlatformClient([mesh.platform_address])
        revision = client.write(
            (),
            [
                Operation(
                    CONFIGURATION_PREFIX + path, dumps(invalid).encode()
                ),
                Operation(HEAD_KEY, b''),
            ],
        )
        started_at = monotonic()
        code, output = mesh.run_ctl('wait', revision, '--timeout=60')
        elapsed_seconds = monotonic() - started_at
        assert code == EXIT_INVALID, (code, output)
        assert 'timeout_seconds' in output, output
        assert elapsed_seconds < MAX_REPORT_SECONDS, elapsed_seconds


# Nodes of the own mesh kept to the default limits, whatever the settings say.
def test_the_limits_on_callers_are_those_of_the_settings():
    limits = {
        'name': 'callers',
        'max_header_bytes': 8192,
        'max_body_bytes': 500_000,
        'header_timeout_seconds': 5.0,
        'idle_timeout_seconds': 10.0,
    }
    settings = {**SETTINGS, 'counter/limits/callers': limits}
    with ProcessMesh() as mesh:
        mesh.start_platform()
        mesh.ctl('put_all', dumps(settings))
        node = mesh.start_node('a-1', 'south', 'a')
        mesh.start_backend(node, 'front', 'v1')
        mesh.wait_until_ready()
        mesh.wait_for_servers('a-1', 1)
        url = f'http://{node.call_address}/menu'
        for size, status in ((400_000, 200), (600_000, 413)):
            answer = mesh.pool.request('POST', url, body=b'x' * size)
            assert answer.status == status, (size, answer.status)


def _call(mesh, node):
    return mesh.pool.request('GET', f'http://{node.call_address}/menu')


def _call_until(mesh, node, stop, statuses):
    while not stop.wait(0.002):
        statuses[_call(mesh, node).status] += 1
