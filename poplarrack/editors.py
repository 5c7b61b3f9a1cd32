"""Change the operators' settings on the platform, checked and fenced."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import logging

from poplarrack.configurations import load_configuration
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.fetchers import HEAD_KEY
from poplarrack.fetchers import snapshot_of
from poplarrack.moves import is_live
from poplarrack.platforms import CONFIGURATION_PREFIX
from poplarrack.platforms import ZONE_PREFIX
from poplarrack.resources import decode_resource
from poplarrack.resources import encode_resource
from poplarrack.resources import MoveState
from poplarrack.resources import split_path
from poplarrack.snapshots import build_snapshot
from poplarrack.snapshots import Entry
from poplarrack.stores import Compare
from poplarrack.stores import Operation
from poplarrack.summaries import decode_summary

logger = logging.getLogger(__name__)

EDIT_ATTEMPTS = 10


@dataclass(frozen=True)
class Edit:
    """Changes by path, None to remove, and revisions expected by path."""

    changes: Mapping[str, bytes | None]
    expected: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class Held:
    """The configuration as read: a snapshot and the head's revision."""

    snapshot: object
    head_revision: int


def check_edit(held, edit, team):
    """Check an edit against what is held; nothing is written.

    :raises PoplarrackError: FORBIDDEN outside the own subtree, CONFLICT
        when an expected revision differs, INVALID_CONFIGURATION when the
        whole would not be valid.
    """
    for path in edit.changes:
        owner = split_path(path)[0]
        if owner != team:
            raise PoplarrackError(
                ErrorKind.FORBIDDEN,
                f'{path}: belongs to {owner!r}, you are {team!r}',
            )
    for path, revision in edit.expected.items():
        _check_expected(held, path, revision, edit.changes.get(path))
    entries = dict(held.snapshot.entries)
    for path, value in edit.changes.items():
        if value is not None:
            decode_resource(path, value)
            entries[path] = Entry(path, value, 0)
        elif entries.pop(path, None) is None:
            raise PoplarrackError(ErrorKind.NOT_FOUND, path)
    load_configuration(build_snapshot(0, entries.values()))


def _check_expected(held, path, revision, wanted):
    entry = held.snapshot.entries.get(path)
    found = entry.revision if entry else 0
    if found == revision:
        return
    now = entry.value.decode() if entry else '(absent)'
    mine = wanted.decode() if wanted else '(removed)'
    raise PoplarrackError(
        ErrorKind.CONFLICT,
        f'{path}: expected revision {revision}, it is {found} now\n'
        f'  theirs: {now}\n  yours:  {mine}',
    )


class Editor:
    """Read and write settings as one team's operator."""

    def __init__(self, client, team):
        self.client = client
        self.team = team

    def read(self):
        """Read the whole configuration as Held."""
        answer = self.client.read_prefix(CONFIGURATION_PREFIX)
        heads = [
            item.mod_revision for item in answer.items if item.key == HEAD_KEY
        ]
        return Held(snapshot_of(answer.items), max(heads, default=0))

    def write(self, edit):
        """Check and write an edit, all of it or nothing.

        The write demands that nothing changed since the check, by the
        head's revision; when only other paths did, it checks again.

        :returns: the revision of the change.
        """
        first = None
        for _ in range(EDIT_ATTEMPTS):
            held = self.read()
            first = first or self._expect_as_read(held, edit)
            check_edit(held, first, self.team)
            try:
                return self._write(held, first)
            except PoplarrackError as error:
                if error.kind is not ErrorKind.CONFLICT:
                    raise
        raise PoplarrackError(
            ErrorKind.CONFLICT,
            f'the configuration kept changing over {EDIT_ATTEMPTS} attempts',
        )

    def _expect_as_read(self, held, edit):
        """Expect the paths to stay as they were when first read."""
        entries = held.snapshot.entries
        as_read = {
            path: entries[path].revision if path in entries else 0
            for path in edit.changes
        }
        return replace(edit, expected={**as_read, **edit.expected})

    def _write(self, held, edit):
        operations = [
            Operation(CONFIGURATION_PREFIX + path, value)
            for path, value in edit.changes.items()
        ]
        operations.append(Operation(HEAD_KEY, b''))
        compares = [Compare(HEAD_KEY, held.head_revision)]
        return self.client.write(compares, operations)

    def change_move(self, service, change):
        """Read a move, change it and write it, again when it was raced.

        :param change: a function from a Move to the changed Move.
        :returns: the revision of the change.
        """

        def build():
            entry, move = self.read_move(service)
            value = encode_resource(change(move))
            return Edit({entry.path: value}, {entry.path: entry.revision})

        return self._write_when_raced(build, service)

    def withdraw_move(self, service, operator, now):
        """Take a move back, and the service's version with it.

        :returns: the revision of the change.
        """

        def build():
            return self._build_withdrawal(service, operator, now)

        return self._write_when_raced(build, service)

    def _write_when_raced(self, build, service):
        """Write an edit, built anew from what is held after each race."""
        for _ in range(EDIT_ATTEMPTS):
            edit = build()
            try:
                return self.write(edit)
            except PoplarrackError as error:
                if error.kind is not ErrorKind.CONFLICT:
                    raise
        raise PoplarrackError(
            ErrorKind.CONFLICT, f'the move of {service} kept changing'
        )

    def _build_withdrawal(self, service, operator, now):
        entries = self.read().snapshot.entries
        entry, move = self._find_move(entries, service)
        path = f'{self.team}/services/{service}'
        record = decode_resource(path, entries[path].value)
        changed = withdraw_by_operator(move, operator, now)
        changes = {entry.path: encode_resource(changed)}
        expected = {entry.path: entry.revision}
        if record.version == move.to_version:
            old = replace(record, version=move.from_version)
            changes[path] = encode_resource(old)
            expected[path] = entries[path].revision
        return Edit(changes, expected)

    def read_move(self, service):
        """Return the entry and the record of a service's move."""
        return self._find_move(self.read().snapshot.entries, service)

    def _find_move(self, entries, service):
        path = f'{self.team}/moves/{service}'
        entry = entries.get(path)
        if entry is None:
            raise PoplarrackError(ErrorKind.NOT_FOUND, path)
        return entry, decode_resource(path, entry.value)

    def read_zone_summaries(self):
        """Return the zones' summaries."""
        answer = self.client.read_prefix(ZONE_PREFIX)
        return [decode_summary(item.value) for item in answer.items]

    def history(self, path, most=20):
        """Return earlier values of a setting, newest first.

        Goes back as far as the platform keeps revisions.
        """
        found = []
        revision = 0
        while len(found) < most:
            try:
                item = self.client.read_key(
                    CONFIGURATION_PREFIX + path, revision
                )
            except PoplarrackError as error:
                if error.kind is ErrorKind.COMPACTED:
                    break
                raise
            if item is None:
                break
            found.append(item)
            revision = item.mod_revision - 1
        return found


def withdraw_by_operator(move, operator, now):
    """Return a move taken back by an operator.

    :raises PoplarrackError: MOVE_WITHDRAWN when it is already, USAGE when
        it was completed too long ago.
    """
    if move.state is MoveState.WITHDRAWN:
        raise PoplarrackError(
            ErrorKind.MOVE_WITHDRAWN, f'{move.service}: {move.reason}'
        )
    if not is_live(move, now):
        raise PoplarrackError(
            ErrorKind.USAGE,
            f'{move.service}: completed, and no longer watched; start a '
            f'move to {move.from_version} instead',
        )
    reason = f'taken back by {operator or "an operator"}'
    line = f'{now:.1f} withdrawn 0%: {reason}'
    return replace(
        move,
        state=MoveState.WITHDRAWN,
        share=0.0,
        ended_at=now,
        reason=reason,
        log=(*move.log, line),
    )
