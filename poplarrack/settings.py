"""Read and check the settings of a node; the defaults stand here.

Settings are JSON with comments. Every fault is reported at once, with the
path and the line of the setting.
"""

from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from dataclasses import fields
from dataclasses import MISSING
from pathlib import Path
import re
from types import UnionType
from typing import get_args
from typing import get_origin
from typing import get_type_hints

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError

MAX_SETTINGS_BYTES = 256_000
LOG_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')
SERVING_BALANCERS = ('least_loaded', 'round_robin')


@dataclass(frozen=True)
class PlatformSettings:
    """How to reach the platform's key-value service.

    ``region`` names the region where the store sits, else it is measured;
    nodes of another region fetch through one node only. A zone's summary
    is written each ``summary_seconds``, at changes too but no sooner than
    ``summary_gap_seconds``, and forgotten after ``summary_ttl_seconds``,
    or never if that is 0.
    """

    addresses: tuple[str, ...]
    region: str = ''
    summary_seconds: float = 5.0
    summary_gap_seconds: float = 0.5
    summary_ttl_seconds: float = 60.0


@dataclass(frozen=True)
class PeerSettings:
    """Intervals and timeouts between nodes, in seconds."""

    compare_seconds: float = 1.0
    call_timeout_seconds: float = 0.8
    suspect_seconds: float = 3.0
    report_seconds: float = 10.0
    evidence_seconds: float = 1.0


@dataclass(frozen=True)
class CallSettings:
    """How calls are carried."""

    max_answer_bytes: int = 8_000_000
    drain_seconds: float = 3.0
    announcement_ttl_seconds: float = 3.0
    balancer: str = 'least_loaded'


@dataclass(frozen=True)
class NodeSettings:
    """Everything that a node is told when it starts."""

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
    """What a node is told that alone reaches the endpoint beside it.

    ``service`` is that endpoint's. ``retry_budget_ratio`` bounds what all
    nodes together may send again, as a part of calls. ``grace_seconds`` is
    the time from SIGTERM to the end.
    """

    service: str = ''
    metrics_address: str = ''
    retry_budget_ratio: float = 0.2
    grace_seconds: float = 6.0
    max_connections: int = 4_096


@dataclass(frozen=True)
class OperatorSettings:
    """What ``poplarrack-ctl`` is told: the platform and the own team."""

    platform: PlatformSettings
    team: str
    operator: str = ''


@dataclass(frozen=True)
class Fault:
    """One fault of a settings file."""

    path: str
    line: int
    detail: str

    def __str__(self):
        """Return the fault as one line for operators."""
        return f'line {self.line}: {self.path}: {self.detail}'


def load_settings(path, shape=NodeSettings):
    """Read a settings file.

    :param shape: the frozen data class to decode into.
    :raises PoplarrackError: INVALID_SETTINGS with every fault.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise PoplarrackError(
            ErrorKind.INVALID_SETTINGS, f'{path}: {error}'
        ) from error
    return parse_settings(text, shape, str(path))


def parse_settings(text, shape=NodeSettings, source='settings'):
    """Decode the text of a settings file."""
    if len(text) > MAX_SETTINGS_BYTES:
        raise PoplarrackError(
            ErrorKind.INVALID_SETTINGS,
            f'{source}: over {MAX_SETTINGS_BYTES} bytes',
        )
    # Loaded here, since a node on a platform reads its file another way.
    import json5

    try:
        raw = json5.loads(text)
    except (ValueError, RecursionError) as error:
        raise PoplarrackError(
            ErrorKind.INVALID_SETTINGS, f'{source}: {error}'
        ) from error
    faults = []
    built = _decode(raw, shape, '', text, faults)
    if faults:
        listed = '\n'.join(f'{source}: {fault}' for fault in faults)
        raise PoplarrackError(ErrorKind.INVALID_SETTINGS, listed)
    return built


def show_settings(settings):
    """Return the effective settings as a plain mapping."""
    return asdict(settings)


def _decode(raw, shape, path, text, faults):
    if not isinstance(raw, dict):
        faults.append(_fault(path, text, f'an object is wanted, not {raw!r}'))
        return None
    hints = get_type_hints(shape)
    for key in sorted(set(raw) - set(hints)):
        near = f', did you mean {_nearest(key, hints)!r}?'
        faults.append(_fault(_join(path, key), text, 'unknown' + near))
    values = {}
    for item in fields(shape):
        at = _join(path, item.name)
        if item.name in raw:
            values[item.name] = _decode_value(
                raw[item.name], hints[item.name], at, text, faults
            )
        elif item.default is MISSING and item.default_factory is MISSING:
            faults.append(_fault(at, text, 'missing'))
    return None if faults else shape(**values)


def _decode_value(raw, wanted, path, text, faults):
    if hasattr(wanted, '__dataclass_fields__'):
        return _decode(raw, wanted, path, text, faults)
    if get_origin(wanted) is tuple:
        return _decode_list(raw, get_args(wanted)[0], path, text, faults)
    if isinstance(wanted, UnionType):
        wanted = get_args(wanted)[0]
    if wanted is float and type(raw) is int:
        raw = float(raw)
    if type(raw) is not wanted:
        detail = f'{wanted.__name__} is wanted, not {raw!r}'
        faults.append(_fault(path, text, detail))
        return raw
    detail = _value_fault(path, raw)
    if detail:
        faults.append(_fault(path, text, detail))
    return raw


def _decode_list(raw, wanted, path, text, faults):
    if not isinstance(raw, list):
        faults.append(_fault(path, text, f'a list is wanted, not {raw!r}'))
        return None
    if not raw and path.endswith('addresses'):
        faults.append(_fault(path, text, 'must not be empty'))
    return tuple(
        _decode_value(item, wanted, f'{path}[{index}]', text, faults)
        for index, item in enumerate(raw)
    )


def _value_fault(path, value):
    """Return what is wrong with a value of the right type, or nothing."""
    name = path.rpartition('.')[2].partition('[')[0]
    for ending, detail in VALUE_CHECKS.items():
        if name.endswith(ending) and not _CHECKS[ending](value):
            return f'{detail}, not {value!r}'
    return ''


def _is_address(value):
    host, _, port = value.rpartition(':')
    numbers = host.split('.')
    is_ip = len(numbers) == 4 and all(
        part.isdigit() and int(part) < 256 for part in numbers
    )
    return is_ip and port.isdigit() and int(port) < 65_536


# What values must be, by the ending of their name.
VALUE_CHECKS = {
    '_seconds': 'more than 0 and 86400 seconds at most',
    '_bytes': '1 to 1000000000 bytes',
    'address': 'an IP number and port',
    'addresses': 'an IP number and port',
    'seeds': 'an IP number and port',
    'node_id': 'not empty',
    'zone': 'not empty',
    'team': 'not empty',
    'log_level': 'one of ' + ', '.join(LOG_LEVELS),
    'balancer': 'one of ' + ', '.join(SERVING_BALANCERS),
}
_CHECKS = {
    '_seconds': lambda value: 0 < value <= 86_400,
    '_bytes': lambda value: 0 < value <= 1_000_000_000,
    'address': _is_address,
    'addresses': _is_address,
    'seeds': _is_address,
    'node_id': bool,
    'zone': bool,
    'team': bool,
    'log_level': LOG_LEVELS.__contains__,
    'balancer': SERVING_BALANCERS.__contains__,
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
    """Return the line of a setting, or of the nearest one above it.

    The parser gives no positions, so each name of the path is looked for
    after the one before it.
    """
    at = 0
    for name in re.findall(r'[A-Za-z_][A-Za-z0-9_]*', path):
        found = re.compile(rf'["\']?\b{name}\b["\']?\s*:').search(text, at)
        if found is None:
            break
        at = found.start()
    return text.count('\n', 0, at) + 1
