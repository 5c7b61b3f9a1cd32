"""Implement the commands of ``poplarrack-ctl``."""

from json import dumps
import time
from urllib.parse import urlencode

from fire.decorators import SetParseFn
import json5
from urllib3.exceptions import HTTPError

from poplarrack.editors import check_edit
from poplarrack.editors import Edit
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.explanations import describe_explanation
from poplarrack.explanations import exit_code_of
from poplarrack.move_commands import MoveCommands
from poplarrack.operator_sessions import DEFAULT_SETTINGS
from poplarrack.operator_sessions import read_json_argument
from poplarrack.operator_sessions import Session
from poplarrack.reports import describe_history
from poplarrack.reports import describe_status
from poplarrack.reports import Status
from poplarrack.resources import encode_resource
from poplarrack.resources import Evacuation
from poplarrack.resources import MoveState

POLL_SECONDS = 0.25


class Commands:
    """Change the mesh's settings and check their effect."""

    def __init__(self, settings=DEFAULT_SETTINGS, json=False):
        self._session = Session(settings, json)
        self.move = MoveCommands(self._session)

    @SetParseFn(str, 'path', 'value')
    def put(self, path, value, expect_revision=None):
        """Write a setting.

        VALUE is JSON, the name of a file, or - for standard input.
        """
        raw = read_json_argument(value)
        expected = {} if expect_revision is None else {path: expect_revision}
        revision = self._session.editor.write(Edit({path: raw}, expected))
        self._session.print_result(
            {'path': path, 'revision': revision}, f'{path}: {revision}'
        )

    @SetParseFn(str, 'file')
    def put_all(self, file):
        """Write several settings atomically.

        FILE is JSON with comments that maps paths to values; null removes a
        setting.
        """
        values = json5.loads(read_json_argument(file))
        changes = {
            path: None if value is None else dumps(value).encode()
            for path, value in values.items()
        }
        revision = self._session.editor.write(Edit(changes))
        self._session.print_result(
            {'paths': sorted(changes), 'revision': revision},
            f'{len(changes)} settings: {revision}',
        )

    @SetParseFn(str, 'path', 'value')
    def validate(self, path, value):
        """Validate a setting as put does, without writing it."""
        editor = self._session.editor
        edit = Edit({path: read_json_argument(value)})
        check_edit(editor.read(), edit, editor.team)
        self._session.print_result(
            {'path': path, 'valid': True}, f'{path}: valid'
        )

    def get(self, path):
        """Show a setting and its revision."""
        entry = self._session.editor.read().snapshot.entries.get(path)
        if entry is None:
            raise PoplarrackError(ErrorKind.NOT_FOUND, path)
        value = json5.loads(entry.value.decode())
        self._session.print_result(
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
        self._session.print_result(found, '\n'.join(lines) or 'no settings')

    def delete(self, path, expect_revision=None):
        """Remove a setting."""
        expected = {} if expect_revision is None else {path: expect_revision}
        revision = self._session.editor.write(Edit({path: None}, expected))
        self._session.print_result(
            {'path': path, 'revision': revision}, f'{path}: removed'
        )

    @SetParseFn(str, 'zone')
    def evacuate(self, zone):
        """Send nothing more to the backend servers of a zone."""
        session = self._session
        known = self._find_evacuation(zone)
        if known is not None:
            session.print_result(
                {'path': known.path, 'revision': known.revision},
                f'{zone}: evacuated already, revision {known.revision}',
            )
            return
        path = f'{session.settings.team}/evacuations/{zone}'
        value = encode_resource(Evacuation(zone, time.time()))
        revision = session.editor.write(Edit({path: value}))
        zones = {item.zone for item in session.editor.read_zone_summaries()}
        unknown = '' if zone in zones else ' (no node is in it)'
        session.print_result(
            {'path': path, 'revision': revision},
            f'{zone}: evacuated, revision {revision}{unknown}',
        )

    @SetParseFn(str, 'zone')
    def restore(self, zone):
        """Take back the evacuation of a zone."""
        session = self._session
        known = self._find_evacuation(zone)
        if known is None:
            raise PoplarrackError(
                ErrorKind.NOT_FOUND, f'zone {zone} is not evacuated'
            )
        revision = session.editor.write(Edit({known.path: None}))
        session.print_result(
            {'path': known.path, 'revision': revision},
            f'{zone}: restored, revision {revision}',
        )

    def _find_evacuation(self, zone):
        """Return the Entry of a zone's evacuation, of any team, or None."""
        entries = self._session.editor.read().snapshot.entries
        suffix = f'/evacuations/{zone}'
        return next(
            (
                entry
                for path, entry in entries.items()
                if path.endswith(suffix)
            ),
            None,
        )

    def history(self, path, most=20):
        """Show earlier values of a setting, latest first.

        MOST is the number of values that are shown at most.
        """
        items = self._session.editor.history(path, most)
        value = [
            {'revision': item.mod_revision, 'value': item.value.decode()}
            for item in items
        ]
        self._session.print_result(value, describe_history(path, items))

    @SetParseFn(str, 'what')
    def wait(self, what, timeout=60):
        """Wait until a revision is in force or a service's move has ended.

        WHAT is a revision or the name of a service. TIMEOUT is in seconds.
        """
        if what.isdigit():
            self._wait_for_revision(int(what), timeout)
        else:
            self._wait_for_move(what, timeout)

    def _wait_for_revision(self, revision, seconds):
        session = self._session
        deadline = time.monotonic() + seconds
        while True:
            zones = session.editor.read_zone_summaries()
            rejections = [r for zone in zones for r in zone.rejections]
            rejected = [r for r in rejections if r.revision >= revision]
            if rejected:
                raise PoplarrackError(
                    ErrorKind.INVALID_CONFIGURATION,
                    f'rejected by nodes: {"; ".join(rejected[0].reasons)}',
                )
            lagging = [
                zone.zone
                for zone in zones
                if zone.lowest_revision < revision
                or zone.reported_nodes < zone.nodes
            ]
            session.show_progress(
                f'{len(zones) - len(lagging)}/{len(zones)} zones'
            )
            if zones and not lagging:
                break
            if time.monotonic() > deadline:
                raise PoplarrackError(
                    ErrorKind.TIMED_OUT,
                    f'revision {revision} is not in force in: '
                    + (', '.join(lagging) or 'any zone'),
                )
            time.sleep(POLL_SECONDS)
        session.end_progress()
        nodes = sum(zone.nodes for zone in zones)
        session.print_result(
            {'revision': revision, 'nodes': nodes, 'zones': len(zones)},
            f'revision {revision} is in force on {nodes} nodes in '
            f'{len(zones)} zones',
        )

    def _wait_for_move(self, service, seconds):
        session = self._session
        deadline = time.monotonic() + seconds
        while True:
            _, move = session.editor.read_move(service)
            session.show_progress(
                f'{move.state.value} {move.share:.0%} {move.reason}'
            )
            if move.state.ended:
                break
            if time.monotonic() > deadline:
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
        session.print_result(
            {'service': service, 'state': move.state.value},
            f'{service}: completed, {move.reason}',
        )

    def status(self):
        """Show an overview of the whole mesh."""
        editor = self._session.editor
        configuration = editor.read()
        status = Status(
            editor.read_zone_summaries(), configuration.snapshot, time.time()
        )
        self._session.print_result(
            status.as_builtins(), describe_status(status)
        )

    @SetParseFn(str, 'node')
    def dump(self, node):
        """Show the state of a node, by its id or operator address."""
        address = node if ':' in node else self._find_node(node)
        text = self._fetch(address, '/dump').decode()
        print(text, file=self._session.out)

    @SetParseFn(str, 'address', 'path', 'host', 'method', 'organisation')
    def explain(
        self,
        address,
        path,
        host='',
        method='GET',
        organisation='',
        deadline_ms='',
    ):
        """Show where a request would go now, and why; nothing is sent.

        :param address: the metrics address of the sidecar that is asked.
        :param path: the path of the request.
        :param organisation: the name of the caller's organisation.
        :param deadline_ms: how long the caller would wait.
        """
        fields = {
            'path': path,
            'host': host,
            'method': method,
            'organisation': organisation,
            'deadline_ms': deadline_ms,
        }
        query = urlencode({key: item for key, item in fields.items() if item})
        answer = json5.loads(self._fetch(address, f'/explain?{query}'))
        if 'error' in answer:
            raise PoplarrackError(ErrorKind.USAGE, answer['error'])
        self._session.print_result(answer, describe_explanation(answer))
        if exit_code_of(answer):
            raise SystemExit(exit_code_of(answer))

    def _find_node(self, node):
        for zone in self._session.editor.read_zone_summaries():
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
