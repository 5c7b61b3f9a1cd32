"""Define, read and validate the settings of nodes and operators.

Settings files are JSON with comments. All faults of a file are reported at
once, each with the path and the line of the setting.
"""

from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from dataclasses import fields
from dataclasses import MISSING
from functools import cached_property
from pathlib import Path
import re
from types import UnionType
from typing import get_args
from typing import get_origin
from typing import get_type_hints

from poplarrack.byte_budgets import MAX_BUFFERED_BYTES
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.organisations import StaleKeys
from poplarrack.retry_budgets import RetryLimits

MAX_SETTINGS_BYTES = 256_000
LOG_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')
BALANCER_NAMES = ('least_loaded', 'round_robin')


@dataclass(frozen=True)
class PlatformSettings:
    """How to reach the platform's key-value service.

    ``region`` is the region of the store. If it is empty, each node measures
    its round trip to the store to tell whether they are in the same region.
    Nodes of other regions fetch through a single node. A zone's summary is
    written every ``summary_seconds`` and after changes, but at most once in
    ``summary_gap_seconds``. It expires after ``summary_ttl_seconds``, or
    never if that is 0.
    """

    addresses: tuple[str, ...]
    region: str = ''
    summary_seconds: float = 5.0
    summary_gap_seconds: float = 0.5
    summary_ttl_seconds: float = 60.0


@dataclass(frozen=True)
class PeerSettings:
    """Intervals and timeouts of messages between nodes, in seconds.

    A node compares its state with a neighbour's every ``compare_seconds``.
    A message times out after ``call_timeout_seconds``. A member that was
    suspected for ``suspect_seconds`` is declared dead. An unchanged report is
    repeated after ``report_seconds``, and new evidence is reported at most
    once in ``evidence_seconds``. A node shows those that depend on it every
    ``beat_seconds`` that it runs, so that they need not follow the platform
    themselves; 0 stands for no beats.
    """

    compare_seconds: float = 1.0
    beat_seconds: float = 0.0
    call_timeout_seconds: float = 0.8
    suspect_seconds: float = 3.0
    report_seconds: float = 10.0
    evidence_seconds: float = 1.0


@dataclass(frozen=True)
class CallSettings:
    """Limits and timeouts of the call path, and its load balancer.

    ``max_buffered_bytes`` bounds what the process holds of messages, read or
    still to be written, ``max_answer_bytes`` an answer that is passed on
    whole. ``learns_room`` says whether a sidecar learns how many requests its
    backend server runs well at once; if not, all slots are used.
    """

    max_answer_bytes: int = 8_000_000
    max_buffered_bytes: int = MAX_BUFFERED_BYTES
    drain_seconds: float = 3.0
    announcement_ttl_seconds: float = 3.0
    balancer: str = 'least_loaded'
    learns_room: bool = False


@dataclass(frozen=True)
class NodeSettings:
    """The settings of a node."""

    node_id: str
    region: str
    zone: str
    peer_address: str
    call_address: str
    announce_address: str
    operator_address: str
    platform: PlatformSettings
    seeds: tuple[str, ...] = ()
    log_level: str = 'INFO'
    peers: PeerSettings = field(default_factory=PeerSettings)
    calls: CallSettings = field(default_factory=CallSettings)


@dataclass(frozen=True)
class SidecarSettings(NodeSettings):
    """The settings of a node that is a sidecar of one backend server.

    No other node connects to that server. ``service`` is the service of the
    server. In any ``retry_budget_window_seconds`` all nodes together send a
    service at most ``retry_budget_ratio`` repeats per call to it and
    ``retry_budget_slack`` more; ``retry_budget_levels`` is the number of
    services that call each other in a chain. ``grace_seconds`` is the time
    between SIGTERM and the end of the process. ``max_connections`` bounds the
    callers' connections. ``stale_keys`` tells what is done with keys of
    organisations once the node has heard nothing of the store for
    ``revoke_seconds``. With ``limit_window_seconds``, limits of organisations
    allow a burst in each window of that length.
    """

    service: str = ''
    metrics_address: str = ''
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 50.0
    retry_budget_window_seconds: float = 10.0
    retry_budget_levels: int = 2
    grace_seconds: float = 6.0
    max_connections: int = 4_096
    stale_keys: StaleKeys = StaleKeys.LAST_KNOWN
    revoke_seconds: float = 5.0
    link_megabits_per_second: float = 0.0
    limit_window_seconds: float = 0.0

    @cached_property
    def retry_limits(self):
        """Return the RetryLimits of all nodes together."""
        return RetryLimits(
            self.retry_budget_ratio,
            self.retry_budget_slack,
            self.retry_budget_window_seconds,
            self.retry_budget_levels,
        )


@dataclass(frozen=True)
class OperatorSettings:
    """The settings of ``poplarrack-ctl``."""

    platform: PlatformSettings
    team: str
    operator: str = ''


@dataclass(frozen=True)
class Fault:
    """A fault in a settings file."""

    path: str
    line: int
    detail: str

    def __str__(self):
        """Format the fault as one line for operators."""
        return f'line {self.line}: {self.path}: {self.detail}'


def load_settings(path, settings_class=NodeSettings):
    """Read and validate a settings file.

    :param path: name of the file.
    :param settings_class: the data class of the settings.
    :returns: an instance of the data class.
    :raises PoplarrackError: INVALID_SETTINGS with all faults.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise PoplarrackError(
            ErrorKind.INVALID_SETTINGS, f'{path}: {error}'
        ) from error
    return parse_settings(text, settings_class, str(path))


def parse_settings(text, settings_class=NodeSettings, source='settings'):
    """Decode and validate the text of a settings file.

    :param text: JSON with comments.
    :param settings_class: the data class of the settings.
    :param source: name of the text, for error messages.
    :returns: an instance of the data class.
    :raises PoplarrackError: INVALID_SETTINGS with all faults.
    """
    if len(text) > MAX_SETTINGS_BYTES:
        raise PoplarrackError(
            ErrorKind.INVALID_SETTINGS,
            f'{source}: over {MAX_SETTINGS_BYTES} bytes',
        )
    # Imported here, since a node with a platform adapter reads its settings
    # in another format and does without the library.
    import json5

    try:
        raw = json5.loads(text)
    except (ValueError, RecursionError) as error:
        raise PoplarrackError(
            ErrorKind.INVALID_SETTINGS, f'{source}: {error}'
        ) from error
    faults = []
    built = _decode(raw, settings_class, '', text, faults)
    if faults:
        listed = '\n'.join(f'{source}: {fault}' for fault in faults)
        raise PoplarrackError(ErrorKind.INVALID_SETTINGS, listed)
    return built


def show_settings(settings):
    """Return the effective settings as a mapping."""
    return asdict(settings)


def _decode(raw, settings_class, path, text, faults):
    if not isinstance(raw, dict):
        faults.append(_fault(path, text, f'an object is wanted, not {raw!r}'))
        return None
    hints = get_type_hints(settings_class)
    for key in sorted(set(raw) - set(hints)):
        suggestion = f', did you mean {_nearest(key, hints)!r}?'
        faults.append(_fault(_join(path, key), text, 'unknown' + suggestion))
    values = {}
    for item in fields(settings_class):
        field_path = _join(path, item.name)
        if item.name in raw:
            values[item.name] = _decode_value(
                raw[item.name], hints[item.name], field_path, text, faults
            )
        elif item.default is MISSING and item.default_factory is MISSING:
            faults.append(_fault(field_path, text, 'missing'))
    return None if faults else settings_class(**values)


def _decode_value(raw, expected, path, text, faults):
    if hasattr(expected, '__dataclass_fields__'):
        return _decode(raw, expected, path, text, faults)
    if get_origin(expected) is tuple:
        return _decode_list(raw, get_args(expected)[0], path, text, faults)
    if isinstance(expected, UnionType):
        expected = get_args(expected)[0]
    if expected is float and type(raw) is int:
        raw = float(raw)
    if type(raw) is not expected:
        detail = f'{expected.__name__} is wanted, not {raw!r}'
        faults.append(_fault(path, text, detail))
        return raw
    detail = _value_fault(path, raw)
    if detail:
        faults.append(_fault(path, text, detail))
    return raw


def _decode_list(raw, expected, path, text, faults):
    if not isinstance(raw, list):
        faults.append(_fault(path, text, f'a list is wanted, not {raw!r}'))
        return None
    if not raw and path.endswith('addresses'):
        faults.append(_fault(path, text, 'must not be empty'))
    return tuple(
        _decode_value(item, expected, f'{path}[{index}]', text, faults)
        for index, item in enumerate(raw)
    )


def _value_fault(path, value):
    """Return what is wrong with a value of the right type, or ''."""
    name = path.rpartition('.')[2].partition('[')[0]
    for suffix, detail in VALUE_REQUIREMENTS.items():
        if name.endswith(suffix) and not _VALUE_CHECKS[suffix](value):
            return f'{detail}, not {value!r}'
    return ''


def _is_address(value):
    host, _, port = value.rpartition(':')
    octets = host.split('.')
    is_ip = len(octets) == 4 and all(
        part.isdigit() and int(part) < 256 for part in octets
    )
    return is_ip and port.isdigit() and int(port) < 65_536


# What values must be, by the suffix of the setting's name.
VALUE_REQUIREMENTS = {
    '_seconds': 'more than 0 and 86400 seconds at most',
    '_bytes': '1 to 1000000000 bytes',
    'address': 'an IP number and port',
    'addresses': 'an IP number and port',
    'seeds': 'an IP number and port',
    'node_id': 'not empty',
    'zone': 'not empty',
    'team': 'not empty',
    'log_level': 'one of ' + ', '.join(LOG_LEVELS),
    'balancer': 'one of ' + ', '.join(BALANCER_NAMES),
}
_VALUE_CHECKS = {
    '_seconds': lambda value: 0 < value <= 86_400,
    '_bytes': lambda value: 0 < value <= 1_000_000_000,
    'address': _is_address,
    'addresses': _is_address,
    'seeds': _is_address,
    'node_id': bool,
    'zone': bool,
    'team': bool,
    'log_level': LOG_LEVELS.__contains__,
    'balancer': BALANCER_NAMES.__contains__,
}


def _nearest(key, known):
    from difflib import get_close_matches

    close = get_close_matches(key, known, 1, 0)
    return close[0] if close else ''


def _join(path, name):
    return f'{path}.{name}' if path else name


def _fault(path, text, detail):
    return Fault(path or '(top)', find_line(text, path), detail)


def find_line(text, path):
    """Return the line of a setting, or of its nearest parent.

    The parser reports no positions, so the names of the path are searched
    in the text one after another.

    :param text: the text of the settings file.
    :param path: the setting's path, such as ``peers.compare_seconds``.
    :returns: the line number, from 1.
    """
    offset = 0
    for name in re.findall(r'[A-Za-z_][A-Za-z0-9_]*', path):
        found = re.compile(rf'["\']?\b{name}\b["\']?\s*:').search(text, offset)
        if found is None:
            break
        offset = found.start()
    return text.count('\n', 0, offset) + 1
