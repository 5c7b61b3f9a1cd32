"""The two meshes that a soak runs: the platform's and the product's own.

They differ in the process of a node, its settings, the store, and in what an
endpoint says to its node and adds to its answers.
"""

from contextlib import contextmanager
from dataclasses import replace
from json import dumps
import os
import sys
from threading import Lock
from threading import Thread
from time import sleep

from poplarrack.addresses import split_address
from poplarrack.fetchers import HEAD_KEY
from poplarrack.platforms import CONFIGURATION_PREFIX
from poplarrack.stand_ins.backend_servers import DRAIN_SECONDS
from poplarrack.stand_ins.meshes import program_command
from poplarrack.stand_ins.platforms import build_server
from poplarrack.stand_ins.platforms import PlatformStandIn
from tests.soak_checks import LEAVE_TOLERANCE_SECONDS
from tests.soak_checks import NOT_RUN_STATUSES
from tests.soak_operators import build_configuration
from tests.soak_operators import build_resources
from tests.store_stand_in import running_store
from tests.test_platform_adapter import HEARTBEAT
from tests.test_platform_adapter import SETTINGS

CALL_PORT, PEER_PORT, CONTROL_PORT, OPERATOR_PORT = 8141, 8145, 8146, 9464
MAX_SEEDS = 3
STORE_FAILURES = (429, 500, 503)
PLATFORM_THREADS = 200
# Later than the start of any endpoint of a soak.
LATE_BORN = 2**41
MESHES = {}


def mesh(kind):
    """Register a class as the mesh of its name."""
    MESHES[kind.name] = kind
    return kind


@mesh
class PlatformMesh:
    """Nodes on the users' platform.

    :param store: the StoreStandIn.
    :param store_address: its ``host:port``.
    """

    name = 'platform'
    deadline_header = 'deadline-ms'
    # Faults of the registry that these nodes don't know.
    unknown_faults = ()
    # Whether an answer with the id of another request is told apart.
    echoes = True
    # From an endpoint's leave to the last request that it gets, in seconds.
    leave_tolerance = LEAVE_TOLERANCE_SECONDS

    def __init__(self, store, store_address):
        self.store, self.store_address = store, store_address
        self.written = None
        # Held while the operator writes.
        self.operator = Lock()

    @classmethod
    @contextmanager
    def running(cls, net):
        """Run the store; yield the mesh.

        :param net: the first three octets of the hosts' addresses.
        """
        with running_store() as (store, address):
            yield cls(store, address)

    def write(self, number, routes, limits):
        """Write a version of the configuration; return when confirmed."""
        with self.operator:
            self.written = build_configuration(number, routes, limits)
            self.store.put('op/config', self.written)

    def save_store(self):
        """Keep a copy of the store."""
        self.store.save()

    def return_store(self, seconds):
        """Return the store from its copy; then write what is lost again.

        :param seconds: until the operator writes.
        """
        with self.operator:
            self.store.go_back()
            sleep(seconds)
            self.store.put('op/config', self.written)

    def fail_store(self, random):
        """Make the store answer every call with a failure."""
        self.store.failure_status = random.choice(STORE_FAILURES)

    def restore_store(self):
        """End the failure of the store."""
        self.store.failure_status = 0

    def build_settings(self, host, hosts):
        """Return the text of the settings of a host's node.

        :param hosts: all Hosts.
        """
        text = SETTINGS.replace('10.1.0.35', host.ip)
        milliseconds = host.endpoint.heartbeat_seconds * 1000
        for old, new in (
            ('sidecar-a-1', host.name),
            ('region = "south"', f'region = "{host.region}"'),
            ('zone = "a"', f'zone = "{host.zone}"'),
            ('service = "front"', f'service = "{host.endpoint.service}"'),
            ('10.200.1.7:8142', self.store_address),
            ('"1500ms"', f'"{milliseconds:.0f}ms"'),
        ):
            assert old in text, old
            text = text.replace(old, new)
        return text

    def build_command(self, settings):
        """Return the command line and the environment of a node."""
        command = [sys.executable, '-m', 'poplarrack.platform']
        return command, {**os.environ, 'POPLARRACK_NODE_FILE': settings}

    def build_report(self, endpoint):
        """Return the method, path and body of an endpoint's report."""
        status = {'state': 'ready', 'sequence': endpoint.sequence}
        body = {
            **HEARTBEAT,
            'info': {**HEARTBEAT['info'], 'service': endpoint.service},
            'address': endpoint.address,
            'born': endpoint.born,
            'status': status,
        }
        return 'PUT', f'/-/instances/{endpoint.instance}', dumps(body).encode()

    def build_odd_report(self, endpoint):
        """Return the report of a service that isn't configured."""
        body = {
            **HEARTBEAT,
            'info': {**HEARTBEAT['info'], 'service': 'stocktake'},
            'address': endpoint.address,
            'born': LATE_BORN,
        }
        return 'PUT', '/-/instances/i-other', dumps(body).encode()

    def build_leave(self, endpoint):
        """Return the method, path and body of an endpoint's leave."""
        return 'DELETE', f'/-/instances/{endpoint.instance}', b''

    def refusal_fields(self, request):
        """Return the headers that say that a request did not run."""
        return {'not_executed': '1'}

    def denies_run(self, answer):
        """Return whether an answer promises that its request did not run."""
        return answer.status in NOT_RUN_STATUSES


@mesh
class OwnMesh:
    """Nodes of the product's own mesh, which reach every endpoint.

    :param application: the PlatformStandIn.
    :param store_address: its ``host:port``.
    """

    name = 'own'
    deadline_header = 'poplarrack-deadline-ms'
    # SIGHUP ends a program that has no settings to read again. Announcements
    # have no order, and name no service to check them by. Its store never
    # returns from an older copy.
    unknown_faults = (
        'return_store',
        'reload_node',
        'kill_after_leave',
        'delay_report',
        'send_odd_report',
    )
    echoes = False
    # Other nodes learn of it from the local one.
    leave_tolerance = DRAIN_SECONDS

    def __init__(self, application, store_address):
        self.application, self.store_address = application, store_address
        self.written = {}

    @classmethod
    @contextmanager
    def running(cls, net):
        """Run the store; yield the mesh."""
        application = PlatformStandIn(writes=1e9, reads=1e9)
        address = f'{net}.254:{CALL_PORT}'
        server = build_server(
            application, split_address(address), PLATFORM_THREADS
        )
        server.prepare()
        Thread(target=server.serve, daemon=True).start()
        try:
            yield cls(application, address)
        finally:
            application.stop()
            server.stop()

    def write(self, number, routes, limits):
        """Write the settings that a version changes; return when confirmed."""
        resources = build_resources(routes, limits)
        changed = {
            path: resources.get(path)
            for path in {*resources, *self.written}
            if resources.get(path) != self.written.get(path)
        }
        changes = [
            {
                'key': CONFIGURATION_PREFIX + path,
                'value': None if value is None else dumps(value).encode(),
            }
            for path, value in changed.items()
        ]
        self.application.write_raw([*changes, {'key': HEAD_KEY, 'value': b''}])
        self.written = resources

    def fail_store(self, random):
        """Make the store answer every call with a failure."""
        self._set_outage(True)

    def restore_store(self):
        """End the failure of the store."""
        self._set_outage(False)

    def _set_outage(self, outage):
        self.application.faults = replace(
            self.application.faults, outage=outage
        )

    def build_settings(self, host, hosts):
        """Return the text of the settings of a host's node."""
        seeds = [other.peer_address for other in hosts if other is not host]
        values = {
            'node_id': host.name,
            'region': host.region,
            'zone': host.zone,
            'peer_address': host.peer_address,
            'call_address': host.call_address,
            'announce_address': host.control_address,
            'operator_address': host.operator_address,
            'platform': {'addresses': [self.store_address]},
            'seeds': seeds[:MAX_SEEDS],
        }
        return dumps(values)

    def build_command(self, settings):
        """Return the command line and the environment of a node."""
        environment = {**os.environ, 'GRPC_VERBOSITY': 'ERROR'}
        return program_command('node', settings), environment

    def build_report(self, endpoint, draining=False):
        """Return the method, path and body of an announcement."""
        body = {
            'service': endpoint.service,
            'version': 'v1',
            'address': endpoint.address,
            'draining': draining,
        }
        return 'POST', '/announce', dumps(body).encode()

    def build_leave(self, endpoint):
        """Return the method, path and body of the last announcement."""
        return self.build_report(endpoint, draining=True)

    def refusal_fields(self, request):
        """Return the headers that say that a call did not run."""
        call_id = request.headers['poplarrack-call']
        return {'poplarrack_not_run': call_id, 'poplarrack_ran': 'no'}

    def denies_run(self, answer):
        """Return whether an answer says that its call did not run."""
        return answer.headers.get('poplarrack-ran') == 'no'
