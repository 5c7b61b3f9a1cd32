"""Drive the whole path on real processes over real sockets."""

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
from poplarrack.stand_ins.meshes import await_condition
from poplarrack.stand_ins.meshes import ProcessMesh
from poplarrack.stores import Operation
from tests.support import suite_of

load_tests = suite_of(__name__)

EXIT_INVALID = ANSWERS[ErrorKind.INVALID_CONFIGURATION].exit_code
# The target of a change in force everywhere (BRIEF) holds for its refusal.
TOLD_SECONDS = 5.0

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
        one = mesh.start_node('a-1', 'south', 'a')
        two = mesh.start_node('b-1', 'south', 'b', [one.peer_address])
        mesh.start_backend(one, 'front', 'v1')
        mesh.start_backend(two, 'front', 'v2')
        mesh.await_ready()
        for node_id in ('a-1', 'b-1'):
            mesh.await_servers(node_id, 2)
        waited = mesh.ctl('wait', put['revision'], '--timeout=20')
        assert waited['nodes'] == 2, waited

        answer = _call(mesh, one)
        assert answer.status == 200
        assert answer.headers['x-served-by'] == 'v1'

        ended, statuses = Event(), Counter()
        caller = Thread(target=_call_until, args=(mesh, one, ended, statuses))
        caller.start()
        try:
            mesh.ctl(
                *('move', 'start', 'front', 'v2'),
                *('--within=6s', '--policy=done_in_time'),
            )
            moved = mesh.ctl('wait', 'front', '--timeout=40')
        finally:
            ended.set()
            caller.join()
        assert moved['state'] == 'completed', moved
        assert set(statuses) == {200}, statuses
        status = mesh.ctl('move', 'status', 'front')
        assert status['share'] == 1.0, status
        for node in (one, two):
            await_condition(
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
        mesh.await_ready()
        mesh.ctl('wait', put['revision'], '--timeout=20')
        path = 'counter/routes/front'
        bad = {**SETTINGS[path], 'timeout_seconds': 90417}

        code, output = mesh.run_ctl('put', path, dumps(bad))
        assert code == EXIT_INVALID, (code, output)
        assert 'timeout_seconds' in output, output

        # Another program may write past the command's own check.
        client = PlatformClient([mesh.platform_address])
        revision = client.write(
            (),
            [
                Operation(CONFIGURATION_PREFIX + path, dumps(bad).encode()),
                Operation(HEAD_KEY, b''),
            ],
        )
        began = monotonic()
        code, output = mesh.run_ctl('wait', revision, '--timeout=60')
        took = monotonic() - began
        assert code == EXIT_INVALID, (code, output)
        assert 'timeout_seconds' in output, output
        assert took < TOLD_SECONDS, took


def _call(mesh, node):
    return mesh.pool.request('GET', f'http://{node.call_address}/menu')


def _call_until(mesh, node, ended, statuses):
    while not ended.wait(0.002):
        statuses[_call(mesh, node).status] += 1
