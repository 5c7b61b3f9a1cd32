"""Test how the demo starts its mesh."""

from types import SimpleNamespace

from poplarrack.stand_ins.meshes import ProcessMesh
from tests.support import build_load_tests
from tools.demo import start_mesh

load_tests = build_load_tests(__name__)


class SlowMesh:
    """A mesh whose nodes hear of four more backend servers at each look.

    Those of the version that takes calls come last.
    """

    wait_for_servers = ProcessMesh.wait_for_servers

    def __init__(self):
        self.nodes = {}
        self.versions = []
        self.looks = {}

    def start_platform(self):
        pass

    def ctl(self, *arguments):
        pass

    def wait_until_ready(self):
        pass

    def start_node(self, node_id, region, zone, seeds):
        node = SimpleNamespace(peer_address=node_id)
        self.nodes[node_id] = node
        return node

    def start_backend(self, node, service, version, **faults):
        self.versions.append(version)

    def known(self, node_id):
        """Return the versions of the servers that a node has heard of."""
        ordered = sorted(self.versions, reverse=True)
        return ordered[: 4 * self.looks.get(node_id, 0)]

    def dump(self, node_id):
        self.looks[node_id] = self.looks.get(node_id, 0) + 1
        return {'servers': self.known(node_id)}


# Calls got 503 on a slow start: nodes that knew two servers of versions that
# take no calls yet counted as ready.
def test_the_demo_waits_for_the_servers_that_take_calls():
    mesh = SlowMesh()
    start_mesh(mesh)
    for node_id in mesh.nodes:
        assert mesh.known(node_id).count('v1') == 4, mesh.known(node_id)
