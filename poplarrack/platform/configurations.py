"""Translate the operator's configuration and rollouts into resources.

One value in the platform's store holds all routes and services, while
poplarrack keeps one resource per path. A rollout order and poplarrack's
record of its progress are translated into one move.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import logging

from msgspec import MsgspecError
from msgspec import Struct
from msgspec.json import decode
from msgspec.json import encode

from poplarrack.configurations import load_configuration
from poplarrack.configurations import MAX_LIMIT
from poplarrack.configurations import move_faults
from poplarrack.configurations import organisation_faults
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.fetchers import HEAD_KEY
from poplarrack.fetchers import snapshot_from_items
from poplarrack.json_values import decode_json
from poplarrack.organisations import build_key_index
from poplarrack.platform.settings import parse_duration
from poplarrack.platforms import CONFIGURATION_PREFIX
from poplarrack.resources import CallerLimits
from poplarrack.resources import decode_resource
from poplarrack.resources import digest_key
from poplarrack.resources import encode_resource
from poplarrack.resources import Evacuation
from poplarrack.resources import Move
from poplarrack.resources import MoveState
from poplarrack.resources import Organisation
from poplarrack.resources import Route
from poplarrack.resources import Service
from poplarrack.resources import WeightedService
from poplarrack.store_histories import store_revision
from poplarrack.stores import KeyValue

logger = logging.getLogger(__name__)

TEAM = 'mesh'
# Common prefix of the operator's keys and of poplarrack's records, so that one
# watch covers both.
WATCHED_PREFIX = 'o'
CONFIGURATION_KEY = 'op/config'
ORDER_PREFIX = 'op/rollout/'
EVACUATION_PREFIX = 'op/evacuate/'
RECORD_PREFIX = 'own/moves/'
STATUS_PREFIX = 'status/rollout/'
# What the organisations of the configuration are named by where one can't be
# used.
MOVES_PREFIX = f'{CONFIGURATION_PREFIX}{TEAM}/moves/'
EVACUATIONS_PREFIX = f'{CONFIGURATION_PREFIX}{TEAM}/evacuations/'
MOVE_POLICY = 'replace_at_end'
VERSION_PREFIX = 'r'
# A 'download' is a route with large answers.
REPEATABLE_ROUTE_TYPES = frozenset(('safe', 'download'))

# Raised where a decoded value has another shape than expected.
UNEXPECTED_SHAPE = (
    AttributeError,
    IndexError,
    KeyError,
    TypeError,
    ValueError,
)
MAX_DETAIL_CHARACTERS = 500
# Requests a second to cold endpoints of a service whose figure can't be read.
LEAST_COLD_RATE = 1.0

STATUS_OF_STATE = {
    MoveState.COMPLETED: 'completed',
    MoveState.WITHDRAWN: 'rolled_back',
}


@dataclass(frozen=True)
class Translation:
    """The store's items and what they mean in poplarrack's resources.

    ``translated`` has poplarrack's KeyValues by key. ``rejected`` has the
    revision and the fault of each item that was left out, by key, and of each
    part of the configuration that could not be read, by key and path.
    ``configuration`` is the store's item that ``resources`` and ``services``
    were last derived from, whether or not it could be used. ``generation`` is
    the number of the version in ``resources``.
    """

    configuration: KeyValue | None = None
    resources: Mapping[str, KeyValue] = field(default_factory=dict)
    services: frozenset[str] = frozenset()
    translated: Mapping[str, KeyValue] = field(default_factory=dict)
    rejected: Mapping[str, tuple[int, str]] = field(default_factory=dict)
    generation: int = 0


def translate(items, previous, oldest_record=0):
    """Return the Translation of the store's items.

    The configuration is translated again only after a change. An item that
    can't be used is left out, so that the others stay in force: an order
    names no move then, a record none that has begun, and for a configuration
    the last one that could be used is kept. Without one, nothing is
    translated.

    :param items: the store's KeyValues under the watched prefix, by key.
    :param previous: the Translation of the items before them; it is not
        changed, so that threads may share it.
    :param oldest_record: the number of the history from which on a move's
        record is up to date; an earlier one came with an older copy.
    """
    return _TranslationPass(items, previous, oldest_record).run()


class _TranslationPass:
    """One translation of the store's items, while it is under way."""

    def __init__(self, items, previous, oldest_record):
        self.items = items
        self.oldest_record = oldest_record
        self.generation = 0
        self.previous = previous
        self.present = {
            key: item for key, item in items.items() if item.value is not None
        }
        self.rejected = {}
        self.resources = {}
        self.services = frozenset()

    def run(self):
        """Return the Translation."""
        configuration = self.present.get(CONFIGURATION_KEY)
        if configuration is not None:
            self._read_configuration(configuration)
        translated = dict(self.resources)
        for key, item in self.present.items():
            if key.startswith(ORDER_PREFIX):
                service = key.removeprefix(ORDER_PREFIX)
                record = self.present.get(RECORD_PREFIX + service)
                move = self._translate_move(service, item, record)
                if move is not None:
                    translated[move.key] = move
            elif key.startswith(EVACUATION_PREFIX):
                translated.update(self._translate_evacuation(item))
        if not self.resources:
            # By themselves, orders would be a version without routes.
            translated = {}
        if translated:
            head = max(item.mod_revision for item in self.items.values())
            translated[HEAD_KEY] = KeyValue(HEAD_KEY, b'', head, head)
        return Translation(
            configuration,
            self.resources,
            self.services,
            translated,
            self.rejected,
            self.generation,
        )

    def _read_configuration(self, item):
        previous = self.previous
        self.resources = previous.resources
        self.services = previous.services
        self.generation = previous.generation
        if item == previous.configuration:
            self.rejected.update(
                (key, fault)
                for key, fault in previous.rejected.items()
                if key.startswith(item.key)
            )
            return
        faults = {}
        try:
            resources = _translate_configuration(item, faults)
            snapshot = snapshot_from_items(resources.values())
            configuration = load_configuration(snapshot)
        except PoplarrackError as error:
            self._reject(item, error.detail)
        else:
            self.resources = resources
            self.services = frozenset(configuration.services)
            self.generation = _read_generation(item)
            for path, fault in faults.items():
                self._reject(item, fault, path)

    def _reject(self, item, detail, path=''):
        """Record an item that can't be used; log it once.

        :param path: of the part of it that can't, if the rest can be.
        """
        key = f'{item.key} {path}' if path else item.key
        fault = (item.mod_revision, detail[:MAX_DETAIL_CHARACTERS])
        self.rejected[key] = fault
        if self.previous.rejected.get(key) != fault:
            logger.error(
                'entry_rejected',
                extra={
                    'key': key,
                    'revision': fault[0],
                    'detail': fault[1],
                },
            )

    def _translate_evacuation(self, item):
        """Return the KeyValue of an evacuation by key, none without a zone.

        Whatever its value is, the key orders it.
        """
        zone = item.key.removeprefix(EVACUATION_PREFIX)
        value = encode_resource(Evacuation(zone))
        try:
            decode_resource(f'{TEAM}/evacuations/{zone}', value)
        except PoplarrackError as error:
            self._reject(item, error.detail)
            return {}
        key = EVACUATIONS_PREFIX + zone
        return {key: KeyValue(key, value, 0, 0)}

    def _translate_move(self, service, order, record):
        """Return the move of an order, or None if it can't be used.

        It is the order's record, or a move that has not started yet.
        """
        key = MOVES_PREFIX + service
        path = f'{TEAM}/moves/{service}'
        # The same in each history that holds this writing of the order.
        move_id = f'{service}-{store_revision(order.mod_revision)}'
        if record is not None:
            try:
                recorded = decode_resource(path, record.value)
                if move_id == (recorded.order_id or recorded.move_id):
                    self._check_move(recorded)
                    value = record.value
                    if recorded.recorded_in < self.oldest_record:
                        value = encode_resource(
                            replace(recorded, order_id=move_id, outdated=True)
                        )
                    return KeyValue(key, value, 0, record.mod_revision)
            except PoplarrackError as error:
                self._reject(record, error.detail)
        try:
            value = encode_resource(_read_order(service, order, move_id))
            self._check_move(decode_resource(path, value))
        except PoplarrackError as error:
            self._reject(order, error.detail)
            return None
        revision = record.mod_revision if record is not None else 0
        return KeyValue(key, value, 0, revision)

    def _check_move(self, move):
        faults = list(move_faults(move))
        if move.service not in self.services:
            faults.append(f'no service {move.service!r}')
        if faults:
            raise PoplarrackError(
                ErrorKind.INVALID_CONFIGURATION, '; '.join(faults)
            )


class _Numbered(Struct):
    """The part of a configuration that numbers it."""

    version: str = ''


def _read_generation(item):
    """Return the number of a configuration's version, 0 if it has none."""
    try:
        version = decode(item.value, type=_Numbered).version
    except MsgspecError:
        return 0
    number = version.removeprefix(VERSION_PREFIX)
    return int(number) if number.isascii() and number.isdigit() else 0


def _translate_configuration(item, faults):
    raw = decode_json(item.value, ErrorKind.INVALID_CONFIGURATION, item.key)
    try:
        return _translate_resources(raw, faults)
    except UNEXPECTED_SHAPE as error:
        raise PoplarrackError(
            ErrorKind.INVALID_CONFIGURATION, f'{item.key}: {error!r}'
        ) from error


def _translate_resources(raw, faults):
    """Return the KeyValues of a configuration.

    :param faults: gets the fault of each part that could not be read, by path.
    """
    resources = {
        f'routes/{name}': _translate_route(name, route, faults)
        for name, route in raw['routes'].items()
    }
    for name, service in raw['services'].items():
        resources[f'services/{name}'] = Service(
            name,
            '',
            max_connections=service['max_connections'],
            cold_calls_per_second=_read_cold_rate(name, service, faults),
        )
    for name, organisation in _translate_organisations(raw, faults).items():
        resources[f'organisations/{name}'] = organisation
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


def _translate_organisations(raw, faults):
    organisations = {}
    for name, fields in (raw.get('tenants') or {}).items():
        try:
            organisation = _translate_organisation(name, fields, faults)
        except UNEXPECTED_SHAPE as error:
            # The error may show a key.
            faults[f'organisations/{name}'] = (
                f'left out: {type(error).__name__}'
            )
            continue
        except PoplarrackError as error:
            faults[f'organisations/{name}'] = f'left out: {error.detail}'
            continue
        organisations[name] = organisation
    for names in build_key_index(organisations).shared.values():
        for name in names:
            holders = ', '.join(names)
            faults[f'organisations/{name}'] = (
                f'a key of several identifies none: {holders}'
            )
    return organisations


def _translate_organisation(name, raw, faults):
    keys = [key for key in raw['api_keys'] if isinstance(key, str) and key]
    if len(keys) < len(raw['api_keys']):
        faults[f'organisations/{name}'] = (
            'keys that are empty or no text are left out'
        )
    organisation = Organisation(
        name,
        tuple(digest_key(key.encode()) for key in keys),
        raw.get('priority'),
        raw.get('rate_per_s') or 0.0,
        raw.get('burst') or 0.0,
        _translate_regions(f'organisations/{name}', raw, faults),
    )
    path = f'{TEAM}/organisations/{name}'
    decoded = decode_resource(path, encode_resource(organisation))
    found = list(organisation_faults(decoded))
    if found:
        raise PoplarrackError(
            ErrorKind.INVALID_CONFIGURATION, '; '.join(found)
        )
    return decoded


def _translate_regions(path, raw, faults):
    """Return where a route or an organisation may be served; None: anywhere.

    The platform writes an empty list where there is no restriction. What
    can't be read may be served nowhere: its data might leave its homes.
    """
    regions = raw.get('allowed_regions')
    if regions is None or regions == []:
        return None
    is_readable = isinstance(regions, list) and all(
        isinstance(region, str) and region for region in regions
    )
    if is_readable:
        return tuple(regions)
    faults[path] = f'allowed_regions can not be read: {regions!r:.80}'
    return ()


def _read_cold_rate(name, raw, faults):
    """Return a service's cold rate, the least one if it can't be read."""
    rate = raw.get('cold_per_s')
    if rate is None:
        return 0.0
    is_number = isinstance(rate, (int, float)) and not isinstance(rate, bool)
    if is_number and 0 <= rate <= MAX_LIMIT:
        return float(rate)
    faults[f'services/{name}'] = f'cold_per_s can not be read: {rate!r:.80}'
    return LEAST_COLD_RATE


def _translate_route(name, raw, faults):
    backends = tuple(
        WeightedService(part['service'], part['weight'])
        for part in raw.get('backends') or ()
    )
    return Route(
        name,
        raw['prefix'],
        raw.get('service') or backends[0].service,
        repeatable=raw['route_type'] in REPEATABLE_ROUTE_TYPES,
        timeout_seconds=parse_duration(raw['timeout']),
        host=raw['host'].lower(),
        backends=backends,
        max_attempts=raw['max_attempts'],
        target_latency_seconds=parse_duration(raw['target_latency']),
        rank=raw['priority'],
        regions=_translate_regions(f'routes/{name}', raw, faults),
        public=bool(raw.get('public', False)),
    )


def _read_order(service, order, move_id):
    """Return the Move that an order asks for."""
    raw = decode_json(order.value, ErrorKind.INVALID_CONFIGURATION, order.key)
    try:
        return Move(
            service,
            '',
            raw['target_version'],
            0.0,
            move_id,
            0.0,
            MOVE_POLICY,
            ordered_seconds=parse_duration(raw['duration']),
        )
    except UNEXPECTED_SHAPE as error:
        raise PoplarrackError(
            ErrorKind.INVALID_CONFIGURATION, f'{order.key}: {error!r}'
        ) from error


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
