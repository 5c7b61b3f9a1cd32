"""Translate the platform's settings file into SidecarSettings."""

import os
from pathlib import Path
import tomllib

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.organisations import StaleKeys
from poplarrack.settings import CallSettings
from poplarrack.settings import PeerSettings
from poplarrack.settings import PlatformSettings
from poplarrack.settings import SidecarSettings

PATH_VARIABLE = 'POPLARRACK_NODE_FILE'
# The port of the metrics page; deploy/system.toml contains it too.
METRICS_PORT = 9464
# Heartbeats may arrive seconds late, so that an endpoint may miss this many.
MAX_MISSED_HEARTBEATS = 4
# Rollouts last only seconds on this platform, so that evidence is passed up
# the tree at short intervals.
EVIDENCE_SECONDS = 0.5
# A node without a beat follows the store, so that a change is in force in time
# at each node that reaches the store.
BEAT_SECONDS = 0.6
# File descriptors reserved for files and for connections to other nodes, the
# endpoint and the store.
RESERVED_FDS = 900
# The platform charges for each call of the store, and only joining nodes read
# the summaries.
SUMMARY_SECONDS = 15.0
SUMMARY_GAP_SECONDS = 3.0
# Where the settings have no slack, nodes keep no reserve of retries.
RETRY_BUDGET_SLACK = 0.0
RETRY_BUDGET_WINDOW = '10s'
# A week, longer than any duration on this platform.
MAX_DURATION_SECONDS = 604_800.0
UNITS = (('ms', 0.001), ('s', 1.0))


def load_settings():
    """Read the settings file whose path is in the environment.

    :returns: the SidecarSettings.
    :raises PoplarrackError: INVALID_SETTINGS with the reason.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise PoplarrackError(
            ErrorKind.INVALID_SETTINGS, f'{PATH_VARIABLE} is not set'
        )
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise PoplarrackError(
            ErrorKind.INVALID_SETTINGS, f'{path}: {error}'
        ) from error
    return parse_settings(text, path)


def parse_settings(text, source='settings'):
    """Parse the text of a settings file; unknown fields are ignored.

    :param source: the file's path, for error messages.
    :returns: the SidecarSettings.
    :raises PoplarrackError: INVALID_SETTINGS with the reason.
    """
    try:
        return _translate(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        detail = f'{source}: {error}'
    except KeyError as error:
        detail = f'{source}: {error.args[0]} is missing'
    except (TypeError, ValueError, AttributeError, RecursionError) as error:
        detail = f'{source}: {error}'
    raise PoplarrackError(ErrorKind.INVALID_SETTINGS, detail)


def _translate(raw):
    listen, bounds = raw['listen'], raw['bounds']
    return SidecarSettings(
        node_id=raw['node_name'],
        region=raw['region'],
        zone=raw['zone'],
        # Other nodes reach the local endpoint here.
        peer_address=listen['inbound'],
        # Callers on this machine send their requests here.
        call_address=listen['outbound'],
        announce_address=listen['control'],
        operator_address=listen['ready'],
        platform=PlatformSettings(
            (raw['platform']['address'],),
            summary_seconds=SUMMARY_SECONDS,
            summary_gap_seconds=SUMMARY_GAP_SECONDS,
            # Without a lease, so that a node that joins while leases expire
            # still finds the summary.
            summary_ttl_seconds=0.0,
        ),
        seeds=tuple(raw.get('seeds', ())),
        peers=PeerSettings(
            beat_seconds=BEAT_SECONDS, evidence_seconds=EVIDENCE_SECONDS
        ),
        calls=CallSettings(
            **_divide_memory(raw['limits']),
            announcement_ttl_seconds=(
                MAX_MISSED_HEARTBEATS * parse_duration(raw['heartbeat'])
            ),
        ),
        service=raw['service'],
        metrics_address=f'{raw["ip"]}:{METRICS_PORT}',
        retry_budget_ratio=float(bounds['retry_budget_ratio']),
        retry_budget_slack=float(
            bounds.get('retry_budget_slack', RETRY_BUDGET_SLACK)
        ),
        retry_budget_window_seconds=parse_duration(
            bounds.get('budget_window', RETRY_BUDGET_WINDOW)
        ),
        grace_seconds=parse_duration(bounds['grace']),
        max_connections=raw['limits']['max_fds'] - RESERVED_FDS,
        link_megabits_per_second=float(raw['limits'].get('link_mbps', 0.0)),
        **_translate_revocation(bounds),
        limit_window_seconds=parse_duration(bounds.get('quota_window', '0s')),
    )


def _translate_revocation(bounds):
    """Return the settings of what happens to keys out of touch, by name."""
    if not bounds.get('strict_revoke', False):
        return {}
    return {
        'stale_keys': StaleKeys.REFUSED,
        'revoke_seconds': parse_duration(
            bounds.get('revoke') or bounds['config']
        ),
    }


# The part of a process's memory that it may hold of messages. The rest is for
# the copies that the next hop makes of them, and for the process itself.
BUFFERED_FRACTION = 0.25
MAX_ANSWER_BYTES = 32_000_000
DEFAULT_MEMORY_MEGABYTES = 300
BYTES_PER_MEGABYTE = 2**20


def _divide_memory(limits):
    """Return the bounds on buffered bytes, by name of the setting."""
    memory = limits.get('memory_mb', DEFAULT_MEMORY_MEGABYTES)
    buffered_bytes = int(memory * BYTES_PER_MEGABYTE * BUFFERED_FRACTION)
    return {
        'max_buffered_bytes': buffered_bytes,
        'max_answer_bytes': min(MAX_ANSWER_BYTES, buffered_bytes // 2),
    }


def parse_duration(text):
    """Return the seconds of a duration such as ``1500ms`` or ``2.5s``.

    :raises ValueError: for any other text.
    """
    for unit, factor in UNITS:
        if isinstance(text, str) and text.endswith(unit):
            seconds = float(text.removesuffix(unit)) * factor
            if 0 <= seconds <= MAX_DURATION_SECONDS:
                return seconds
    raise ValueError(f'{text!r:.80} is no duration')
