"""Test that all faults of a settings file are reported at once."""

from dataclasses import replace

from poplarrack.errors import ErrorKind
from poplarrack.settings import NodeSettings
from poplarrack.settings import parse_settings
from poplarrack.settings import show_settings
from tests.support import assert_raises
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

VALID = """{
  // The node in Toowoomba.
  node_id: 'toowoomba-1', region: 'south-qld', zone: 'toowoomba',
  peer_address: '127.0.0.1:7001',
  call_address: '127.0.0.1:8001',
  announce_address: '127.0.0.1:8101',
  operator_address: '127.0.0.1:9001',
  platform: {addresses: ['127.0.0.1:2379']},
}"""


def test_comments_and_defaults():
    settings = parse_settings(VALID)
    assert settings.zone == 'toowoomba'
    assert settings.peers.compare_seconds == 1.0
    assert show_settings(settings)['calls']['drain_seconds'] == 3.0


def test_all_faults_with_path_and_line():
    faulty = VALID.replace("'127.0.0.1:7001'", "'toowoomba:7001'")
    faulty = faulty.replace("region: 'south-qld',", '')
    faulty = faulty.replace('addresses:', 'adresses:')
    faulty = faulty.replace(
        'platform:', 'peers: {call_timeout_seconds: "1"}, platform:'
    )
    error = assert_raises(ErrorKind.INVALID_SETTINGS, parse_settings, faulty)
    for expected in (
        "line 4: peer_address: an IP number and port, not 'toowoomba:7001'",
        'line 8: peers.call_timeout_seconds: float is wanted',
        "line 8: platform.adresses: unknown, did you mean 'addresses'?",
        'platform.addresses: missing',
        'region: missing',
    ):
        assert expected in error.detail, error.detail


def test_values_are_checked_with_their_units():
    faulty = VALID.replace("'127.0.0.1:7001'", "'toowoomba:7001'").replace(
        'platform:', 'calls: {drain_seconds: -1, balancer: "x"}, platform:'
    )
    error = assert_raises(ErrorKind.INVALID_SETTINGS, parse_settings, faulty)
    for expected in ('line 4: peer_address', 'drain_seconds', 'balancer'):
        assert expected in error.detail, error.detail


def test_what_is_not_json_is_refused():
    for text in ('{', '[]', 'nul', '{a: 1' * 50):
        assert_raises(ErrorKind.INVALID_SETTINGS, parse_settings, text)


def test_settings_are_frozen():
    settings = parse_settings(VALID)
    assert replace(settings, zone='x') != settings
    assert NodeSettings.__dataclass_params__.frozen
