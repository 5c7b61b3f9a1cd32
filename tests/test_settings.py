"""Check that every fault of a settings file is told at once."""

from dataclasses import replace

from poplarrack.errors import ErrorKind
from poplarrack.settings import NodeSettings
from poplarrack.settings import parse_settings
from poplarrack.settings import show_settings
from tests.support import assert_raises
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

GOOD = """{
  // The node in Toowoomba.
  node_id: 'toowoomba-1', region: 'south-qld', zone: 'toowoomba',
  peer_address: '127.0.0.1:7001',
  call_address: '127.0.0.1:8001',
  announce_address: '127.0.0.1:8101',
  operator_address: '127.0.0.1:9001',
  platform: {addresses: ['127.0.0.1:2379']},
}"""


def test_comments_and_defaults():
    built = parse_settings(GOOD)
    assert built.zone == 'toowoomba'
    assert built.peers.compare_seconds == 1.0
    assert show_settings(built)['calls']['drain_seconds'] == 3.0


def test_all_faults_with_path_and_line():
    bad = GOOD.replace("'127.0.0.1:7001'", "'toowoomba:7001'")
    bad = bad.replace("region: 'south-qld',", '')
    bad = bad.replace('addresses:', 'adresses:')
    bad = bad.replace(
        'platform:', 'peers: {call_timeout_seconds: "1"}, platform:'
    )
    error = assert_raises(ErrorKind.INVALID_SETTINGS, parse_settings, bad)
    for words in (
        "line 4: peer_address: an IP number and port, not 'toowoomba:7001'",
        'line 8: peers.call_timeout_seconds: float is wanted',
        "line 8: platform.adresses: unknown, did you mean 'addresses'?",
        'platform.addresses: missing',
        'region: missing',
    ):
        assert words in error.detail, error.detail


def test_values_are_checked_with_their_units():
    bad = GOOD.replace("'127.0.0.1:7001'", "'toowoomba:7001'").replace(
        'platform:', 'calls: {drain_seconds: -1, balancer: "x"}, platform:'
    )
    error = assert_raises(ErrorKind.INVALID_SETTINGS, parse_settings, bad)
    for words in ('line 4: peer_address', 'drain_seconds', 'balancer'):
        assert words in error.detail, error.detail


def test_what_is_not_json_is_refused():
    for text in ('{', '[]', 'nul', '{a: 1' * 50):
        assert_raises(ErrorKind.INVALID_SETTINGS, parse_settings, text)


def test_settings_are_frozen():
    built = parse_settings(GOOD)
    assert replace(built, zone='x') != built
    assert NodeSettings.__dataclass_params__.frozen
