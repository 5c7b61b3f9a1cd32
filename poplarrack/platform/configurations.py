"""Translate the operator's configuration and rollouts into resources.

One value in the platform's store holds all routes and services, while
poplarrack keeps one resource per path. A rollout order and poplarrack's
record of its progress are translated into one move.
"""

from msgspec.json import decode
from msgspec.json import encode

from poplarrack.fetchers import HEAD_KEY
from poplarrack.platform.settings import parse_duration
from poplarrack.platforms import CONFIGURATION_PREFIX
from poplarrack.resources import CallerLimits
from poplarrack.resources import decode_resource
from poplarrack.resources import encode_resource
from poplarrack.resources import Move
from poplarrack.resources import MoveState
from poplarrack.resources import Route
from poplarrack.resources import Service
from poplarrack.resources import WeightedService
from poplarrack.stores import KeyValue

TEAM = 'mesh'
# Common prefix of the operator's keys and of poplarrack's records, so that one
# watch covers both.
WATCHED_PREFIX = 'o'
CONFIGURATION_KEY = 'op/config'
ORDER_PREFIX = 'op/rollout/'
RECORD_PREFIX = 'own/moves/'
STATUS_PREFIX = 'status/rollout/'
MOVES_PREFIX = f'{CONFIGURATION_PREFIX}{TEAM}/moves/'
MOVE_POLICY = 'replace_at_end'

STATUS_OF_STATE = {
    MoveState.COMPLETED: 'completed',
    MoveState.WITHDRAWN: 'rolled_back',
}


class Translator:
    """Translates the store's items into poplarrack's resources.

    The configuration is kept with its revision and translated again only
    after a change.
    """

    def __init__(self):
        self.revision = 0
        self.resources = {}

    def translate(self, items):
        """Return poplarrack's KeyValues by key.

        :param items: the store's KeyValues under the watched prefix, by key.
        """
        present = {
            key: item for key, item in items.items() if item.value is not None
        }
        translated = dict(self._configuration(present.get(CONFIGURATION_KEY)))
        for key, item in present.items():
            if key.startswith(ORDER_PREFIX):
                service = key.removeprefix(ORDER_PREFIX)
                record = present.get(RECORD_PREFIX + service)
                move = _translate_move(service, item, record)
                translated[move.key] = move
        head = max((item.mod_revision for item in items.values()), default=0)
        if translated:
            translated[HEAD_KEY] = KeyValue(HEAD_KEY, b'', head, head)
        return translated

    def _configuration(self, item):
        if item is None:
            return {}
        if item.mod_revision != self.revision:
            self.resources = _translate_configuration(decode(item.value))
            self.revision = item.mod_revision
        return self.resources


def _translate_configuration(raw):
    resources = {
        f'routes/{name}': _translate_route(name, route)
        for name, route in raw['routes'].items()
    }
    for name, service in raw['services'].items():
        resources[f'services/{name}'] = Service(
            name, '', max_connections=service['max_connections']
        )
    limits = raw.get('limits')
    if limits:
        resources['limits/callers'] = CallerLimits(
            'callers',
            limits['max_header_bytes'],
            limits['max_body_bytes'],
            parse_duration(limits['header_timeout']),
            parse_duration(limits['idle_timeout']),
        )
    keys = (
        (f'{CONFIGURATION_PREFIX}{TEAM}/{path}', encode_resource(resource))
        for path, resource in resources.items()
    )
    # All have revision 0, so that resources which a new version of the
    # configuration does not change compare as equal.
    return {key: KeyValue(key, value, 0, 0) for key, value in keys}


def _translate_route(name, raw):
    backends = tuple(
        WeightedService(part['service'], part['weight'])
        for part in raw.get('backends') or ()
    )
    return Route(
        name,
        raw['prefix'],
        raw.get('service') or backends[0].service,
        repeatable=raw['route_type'] == 'safe',
        timeout_seconds=parse_duration(raw['timeout']),
        host=raw['host'].lower(),
        backends=backends,
        max_attempts=raw['max_attempts'],
        target_latency_seconds=parse_duration(raw['target_latency']),
        rank=raw['priority'],
    )


def _translate_move(service, order, record):
    """Return the move of an order: its record, or a move not yet started."""
    key = MOVES_PREFIX + service
    move_id = f'{service}-{order.mod_revision}'
    if record is not None:
        recorded = decode_resource(f'{TEAM}/moves/{service}', record.value)
        if recorded.move_id == move_id:
            return KeyValue(key, record.value, 0, record.mod_revision)
    raw = decode(order.value)
    move = Move(
        service,
        '',
        raw['target_version'],
        0.0,
        move_id,
        0.0,
        MOVE_POLICY,
        ordered_seconds=parse_duration(raw['duration']),
    )
    revision = record.mod_revision if record is not None else 0
    return KeyValue(key, encode_resource(move), 0, revision)


def record_key_of(key):
    """Return the store's key for the record of a move, or an empty string."""
    if key.startswith(MOVES_PREFIX):
        return RECORD_PREFIX + key.removeprefix(MOVES_PREFIX)
    return ''


def build_status(move):
    """Return the key and the value of a move's status for the operator."""
    state = STATUS_OF_STATE.get(move.state, 'running')
    value = {'state': state, 'target_version': move.to_version}
    return STATUS_PREFIX + move.service, encode(value)
