"""Offer the operators' commands, for ``poplarrack-ctl``."""

from dataclasses import replace
from datetime import datetime
from datetime import timedelta
from getpass import getuser
from json import dumps
from pathlib import Path
import sys
import time

from fire.decorators import SetParseFn
import json5
from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from poplarrack.configurations import load_configuration
from poplarrack.editors import check_edit
from poplarrack.editors import Edit
from poplarrack.editors import Editor
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.moves import is_live
from poplarrack.moves import planned_share
from poplarrack.moves import POLICIES
from poplarrack.moves import start_move
from poplarrack.platforms import PlatformClient
from poplarrack.reports import describe_history
from poplarrack.reports import describe_move
from poplarrack.reports import describe_status
from poplarrack.reports import Status
from poplarrack.resources import encode_resource
from poplarrack.resources import MoveState
from poplarrack.settings import load_settings
from poplarrack.settings import OperatorSettings

POLL_SECONDS = 0.25
DEFAULT_SETTINGS = 'poplarrack-ctl.json'
UNIT_SECONDS = {'s': 1, 'm': 60, 'h': 3600}


def read_value(given):
    """Return the JSON bytes of a value: a file, ``-`` or the text itself.

    :raises PoplarrackError: INVALID_CONFIGURATION when it is not JSON.
    """
    text = given
    if text == '-':
        text = sys.stdin.read()
    elif not text.lstrip().startswith('{'):
        try:
            text = Path(text).read_text(encoding='utf-8')
        except OSError as error:
            raise PoplarrackError(
                ErrorKind.INVALID_CONFIGURATION, f'{given}: {error}'
            ) from error
    try:
        return dumps(json5.loads(text)).encode()
    except (ValueError, RecursionError) as error:
        raise PoplarrackError(
            ErrorKind.INVALID_CONFIGURATION, f'{given}: {error}'
        ) from error


def read_time(by, within, now):
    """Return seconds since the epoch from a clock time or a span.

    :param by: ``23:30`` for the next such time, or an ISO date and time.
    :param within: a number with unit, such as ``90s``, ``20m``, ``2h``.
    :raises PoplarrackError: USAGE.
    """
    try:
        if within:
            text = within
            return now + float(text[:-1]) * UNIT_SECONDS[text[-1]]
        return _read_clock_time(by, now)
    except (KeyError, ValueError, IndexError) as error:
        raise PoplarrackError(
            ErrorKind.USAGE,
            'say --by 23:30, --by 2026-12-04T23:30 or --within 20m',
        ) from error


def _read_clock_time(text, now):
    if 'T' in text:
        return datetime.fromisoformat(text).timestamp()
    hour, minute = text.split(':')
    today = datetime.fromtimestamp(now)
    found = today.replace(
        hour=int(hour), minute=int(minute), second=0, microsecond=0
    )
    if found.timestamp() <= now:
        found += timedelta(days=1)
    return found.timestamp()


class Session:
    """What the commands share: settings, platform and output."""

    def __init__(self, settings_path, as_json, out=sys.stdout):
        self.settings = load_settings(settings_path, OperatorSettings)
        self.as_json = as_json
        self.out = out
        self.client = PlatformClient(self.settings.platform.addresses)
        self.editor = Editor(self.client, self.settings.team)
        self.pool = PoolManager(timeout=5.0, retries=False)

    @property
    def operator(self):
        """Return who the operator is, for the record."""
        return self.settings.operator or getuser()

    def say(self, value, text):
        """Print a result as JSON or as text."""
        shown = dumps(value, default=str) if self.as_json else text
        print(shown, file=self.out)

    def progress(self, text):
        """Show progress on a terminal, on one line."""
        if self.out.isatty() and not self.as_json:
            print(f'\r\033[K{text}', end='', file=self.out, flush=True)

    def end_progress(self):
        """Leave the line of progress."""
        if self.out.isatty() and not self.as_json:
            print(file=self.out)


class MoveCommands:
    """Start, watch, hold and take back moves to another version."""

    def __init__(self, session):
        self._session = session

    @SetParseFn(str, 'service', 'to', 'by', 'within', 'policy')
    def start(self, service, to, by='', within='', policy='balanced'):
        """Start a move of a service to a version by a time."""
        session = self._session
        now = time.time()
        if policy not in POLICIES:
            raise PoplarrackError(
                ErrorKind.USAGE, 'policy is one of ' + ', '.join(POLICIES)
            )
        complete_by = read_time(by, within, now)
        if complete_by <= now:
            raise PoplarrackError(ErrorKind.USAGE, 'the time has passed')
        configuration = load_configuration(session.editor.read().snapshot)
        held = configuration.services.get(service)
        if held is None:
            raise PoplarrackError(ErrorKind.NOT_FOUND, f'service {service}')
        before = configuration.moves.get(service)
        if before and is_live(before, now) and not before.state.ended:
            raise PoplarrackError(
                ErrorKind.CONFLICT, f'{service}: a move is under way'
            )
        move = start_move(service, held.version, to, complete_by, policy, now)
        path = f'{session.settings.team}/moves/{service}'
        revision = session.editor.write(Edit({path: encode_resource(move)}))
        session.say(
            {'path': path, 'revision': revision, 'move_id': move.move_id},
            f'{service}: move to {to} started, revision {revision}',
        )

    def status(self, service):
        """Show a move: state, share, evidence, reason and when it ends."""
        _, move = self._session.editor.read_move(service)
        share, until = planned_share(move, time.time())
        value = {
            'service': service,
            'state': move.state.value,
            'share': move.share,
            'planned_share': share,
            'next_step_at': until,
            'complete_by': move.complete_by,
            'reason': move.reason,
            'log': list(move.log),
            'evidence': [vars(item) for item in move.evidence],
        }
        self._session.say(value, describe_move(move, time.time()))

    def hold(self, service):
        """Keep a move at the share that it has."""
        self._set_hold(service, True)

    def resume(self, service):
        """Let a held move go on."""
        self._set_hold(service, False)

    def _set_hold(self, service, wanted):
        def change(move):
            if move.state.ended:
                raise PoplarrackError(
                    ErrorKind.CONFLICT, f'{service}: {move.state.value}'
                )
            return replace(move, hold_requested=wanted)

        revision = self._session.editor.change_move(service, change)
        done = 'held' if wanted else 'resumed'
        self._session.say(
            {'revision': revision, 'hold': wanted}, f'{service}: {done}'
        )

    def withdraw(self, service):
        """Take a move back now."""
        session = self._session
        revision = session.editor.withdraw_move(
            service, session.operator, time.time()
        )
        self._session.say(
            {'revision': revision, 'state': 'withdrawn'},
            f'{service}: taken back, revision {revision}',
        )


class Commands:
    """Change settings under paths and read back what became of it."""

    def __init__(self, settings=DEFAULT_SETTINGS, json=False):
        self._session = Session(settings, json)
        self.move = MoveCommands(self._session)

    @SetParseFn(str, 'path', 'value')
    def put(self, path, value, expect_revision=None):
        """Put a setting; VALUE is JSON, a file's name, or - for input."""
        raw = read_value(value)
        expected = {} if expect_revision is None else {path: expect_revision}
        revision = self._session.editor.write(Edit({path: raw}, expected))
        self._session.say(
            {'path': path, 'revision': revision}, f'{path}: {revision}'
        )

    @SetParseFn(str, 'file')
    def put_all(self, file):
        """Put several settings whole or not at all.

        FILE is JSON with comments that maps paths to values, null to
        remove.
        """
        given = json5.loads(read_value(file))
        changes = {
            path: None if value is None else dumps(value).encode()
            for path, value in given.items()
        }
        revision = self._session.editor.write(Edit(changes))
        self._session.say(
            {'paths': sorted(changes), 'revision': revision},
            f'{len(changes)} settings: {revision}',
        )

    @SetParseFn(str, 'path', 'value')
    def validate(self, path, value):
        """Check a setting as put would, and write nothing."""
        editor = self._session.editor
        edit = Edit({path: read_value(value)})
        check_edit(editor.read(), edit, editor.team)
        self._session.say({'path': path, 'valid': True}, f'{path}: valid')

    def get(self, path):
        """Show a setting and its revision."""
        entry = self._session.editor.read().snapshot.entries.get(path)
        if entry is None:
            raise PoplarrackError(ErrorKind.NOT_FOUND, path)
        value = json5.loads(entry.value.decode())
        self._session.say(
            {'path': path, 'revision': entry.revision, 'value': value},
            f'# revision {entry.revision}\n{dumps(value, indent=2)}',
        )

    def list(self, prefix=''):
        """List settings under a prefix with their revisions."""
        entries = self._session.editor.read().snapshot.entries
        found = {
            path: entry.revision
            for path, entry in sorted(entries.items())
            if path.startswith(prefix)
        }
        lines = [f'{revision:>8}  {path}' for path, revision in found.items()]
        self._session.say(found, '\n'.join(lines) or 'no settings')

    def delete(self, path, expect_revision=None):
        """Remove a setting."""
        expected = {} if expect_revision is None else {path: expect_revision}
        revision = self._session.editor.write(Edit({path: None}, expected))
        self._session.say(
            {'path': path, 'revision': revision}, f'{path}: removed'
        )

    def history(self, path, most=20):
        """Show earlier values of a setting, newest first."""
        items = self._session.editor.history(path, most)
        value = [
            {'revision': item.mod_revision, 'value': item.value.decode()}
            for item in items
        ]
        self._session.say(value, describe_history(path, items))

    @SetParseFn(str, 'what')
    def wait(self, what, timeout=60):
        """Wait until a revision is in force, or a service's move ended.

        WHAT is a revision or the name of a service.
        """
        if what.isdigit():
            self._wait_for_revision(int(what), timeout)
        else:
            self._wait_for_move(what, timeout)

    def _wait_for_revision(self, revision, seconds):
        session = self._session
        end = time.monotonic() + seconds
        while True:
            zones = session.editor.read_zones()
            rejections = [r for zone in zones for r in zone.rejections]
            refused = [r for r in rejections if r.revision >= revision]
            if refused:
                raise PoplarrackError(
                    ErrorKind.INVALID_CONFIGURATION,
                    f'refused: {"; ".join(refused[0].reasons)}',
                )
            behind = [
                zone.zone
                for zone in zones
                if zone.lowest_revision < revision
                or zone.reported_nodes < zone.nodes
            ]
            session.progress(f'{len(zones) - len(behind)}/{len(zones)} zones')
            if zones and not behind:
                break
            if time.monotonic() > end:
                raise PoplarrackError(
                    ErrorKind.TIMED_OUT,
                    f'revision {revision} is not in force in: '
                    + (', '.join(behind) or 'any zone'),
                )
            time.sleep(POLL_SECONDS)
        session.end_progress()
        nodes = sum(zone.nodes for zone in zones)
        session.say(
            {'revision': revision, 'nodes': nodes, 'zones': len(zones)},
            f'revision {revision} is in force on {nodes} nodes in '
            f'{len(zones)} zones',
        )

    def _wait_for_move(self, service, seconds):
        session = self._session
        end = time.monotonic() + seconds
        while True:
            _, move = session.editor.read_move(service)
            session.progress(
                f'{move.state.value} {move.share:.0%} {move.reason}'
            )
            if move.state.ended:
                break
            if time.monotonic() > end:
                raise PoplarrackError(
                    ErrorKind.TIMED_OUT,
                    f'{service}: {move.state.value} at {move.share:.0%}, '
                    f'{move.reason}',
                )
            time.sleep(POLL_SECONDS)
        session.end_progress()
        if move.state is MoveState.WITHDRAWN:
            raise PoplarrackError(
                ErrorKind.MOVE_WITHDRAWN, f'{service}: {move.reason}'
            )
        session.say(
            {'service': service, 'state': move.state.value},
            f'{service}: completed, {move.reason}',
        )

    def status(self):
        """Show the whole mesh at a glance."""
        editor = self._session.editor
        held = editor.read()
        status = Status(editor.read_zones(), held.snapshot, time.time())
        self._session.say(status.as_builtins(), describe_status(status))

    @SetParseFn(str, 'node')
    def dump(self, node):
        """Show the state of a node, by its id or operator address."""
        address = node if ':' in node else self._find_node(node)
        text = self._fetch(address, '/dump').decode()
        print(text, file=self._session.out)

    def _find_node(self, node):
        for zone in self._session.editor.read_zones():
            if not zone.operator_address:
                continue
            dump = json5.loads(self._fetch(zone.operator_address, '/dump'))
            for member in dump['members']:
                if member['node_id'] == node:
                    return member['operator_address']
        raise PoplarrackError(ErrorKind.NOT_FOUND, f'node {node}')

    def _fetch(self, address, path):
        try:
            answer = self._session.pool.request(
                'GET', f'http://{address}{path}'
            )
        except HTTPError as error:
            raise PoplarrackError(
                ErrorKind.PEER_UNAVAILABLE, f'{address}: {error}'
            ) from error
        return answer.data
