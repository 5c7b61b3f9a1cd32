"""Change the operators' settings on the platform.

Each change is validated first and written by compare-and-swap.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import logging

from poplarrack.configurations import load_configuration
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.fetchers import HEAD_KEY
from poplarrack.fetchers import snapshot_from_items
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

MAX_EDIT_ATTEMPTS = 10


@dataclass(frozen=True)
class Edit:
    """The changes to some settings, all of which are written or none.

    ``changes`` maps paths to new values, or to None to remove a setting.
    ``expected`` maps paths to the revisions that they must still have.
    """

    changes: Mapping[str, bytes | None]
    expected: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class ConfigurationRead:
    """A snapshot read from the store, and the revision of the head key."""

    snapshot: object
    head_revision: int


def check_edit(current, edit, team):
    """Validate an edit of the current configuration without writing it.

    :param current: a ConfigurationRead.
    :raises PoplarrackError: FORBIDDEN for a path of another team, CONFLICT
        when an expected revision differs, NOT_FOUND when a setting to
        remove is absent, INVALID_CONFIGURATION when the configuration
        would not be valid after the edit.
    """
    for path in edit.changes:
        owner = split_path(path)[0]
        if owner != team:
            raise PoplarrackError(
                ErrorKind.FORBIDDEN,
                f'{path}: belongs to team {owner!r}, the operator is of '
                f'team {team!r}',
            )
    for path, revision in edit.expected.items():
        _check_expected(current, path, revision, edit.changes.get(path))
    entries = dict(current.snapshot.entries)
    for path, value in edit.changes.items():
        if value is not None:
            decode_resource(path, value)
            entries[path] = Entry(path, value, 0)
        elif entries.pop(path, None) is None:
            raise PoplarrackError(ErrorKind.NOT_FOUND, path)
    load_configuration(build_snapshot(0, entries.values()))


def _check_expected(current, path, revision, new_value):
    entry = current.snapshot.entries.get(path)
    found = entry.revision if entry else 0
    if found == revision:
        return
    theirs = entry.value.decode() if entry else '(absent)'
    yours = new_value.decode() if new_value else '(removed)'
    raise PoplarrackError(
        ErrorKind.CONFLICT,
        f'{path}: expected revision {revision}, found {found}\n'
        f'  theirs: {theirs}\n  yours:  {yours}',
    )


class Editor:
    """Read and write settings on behalf of a team's operator."""

    def __init__(self, client, team):
        self.client = client
        self.team = team

    def read(self):
        """Return the whole configuration as a ConfigurationRead."""
        response = self.client.read_prefix(CONFIGURATION_PREFIX)
        head_revisions = [
            item.mod_revision
            for item in response.items
            if item.key == HEAD_KEY
        ]
        return ConfigurationRead(
            snapshot_from_items(response.items), max(head_revisions, default=0)
        )

    def write(self, edit):
        """Validate and write an edit atomically.

        The write is conditional on the head key's revision, so that the
        configuration is as it was when the edit was validated. When
        another path changed meanwhile, the edit is validated again; its
        own paths must stay as they were on the first attempt.

        :returns: the revision of the change.
        :raises PoplarrackError: as check_edit, and CONFLICT when the
            configuration changed during each of the attempts.
        """
        conditional = None
        for _ in range(MAX_EDIT_ATTEMPTS):
            current = self.read()
            conditional = conditional or self._expect_revisions_read(
                current, edit
            )
            check_edit(current, conditional, self.team)
            try:
                return self._write(current, conditional)
            except PoplarrackError as error:
                if error.kind is not ErrorKind.CONFLICT:
                    raise
        raise PoplarrackError(
            ErrorKind.CONFLICT,
            f'the configuration changed during each of {MAX_EDIT_ATTEMPTS} '
            'attempts to write',
        )

    def _expect_revisions_read(self, current, edit):
        """Return the edit, conditional on its paths staying as just read.

        Revisions that the edit expects already take precedence.
        """
        entries = current.snapshot.entries
        revisions_read = {
            path: entries[path].revision if path in entries else 0
            for path in edit.changes
        }
        return replace(edit, expected={**revisions_read, **edit.expected})

    def _write(self, current, edit):
        operations = [
            Operation(CONFIGURATION_PREFIX + path, value)
            for path, value in edit.changes.items()
        ]
        operations.append(Operation(HEAD_KEY, b''))
        compares = [Compare(HEAD_KEY, current.head_revision)]
        return self.client.write(compares, operations)

    def change_move(self, service, change):
        """Read, change and write a move, and repeat it after a conflict.

        :param change: a function from a Move to the changed Move.
        :returns: the revision of the change.
        """

        def build():
            entry, move = self.read_move(service)
            value = encode_resource(change(move))
            return Edit({entry.path: value}, {entry.path: entry.revision})

        return self._write_with_retries(build, service)

    def withdraw_move(self, service, operator, now):
        """Withdraw a move and restore the service's version.

        :param now: seconds since the epoch.
        :returns: the revision of the change.
        """

        def build():
            return self._build_withdrawal(service, operator, now)

        return self._write_with_retries(build, service)

    def _write_with_retries(self, build, service):
        """Write an edit, building it again after each conflict."""
        for _ in range(MAX_EDIT_ATTEMPTS):
            edit = build()
            try:
                return self.write(edit)
            except PoplarrackError as error:
                if error.kind is not ErrorKind.CONFLICT:
                    raise
        raise PoplarrackError(
            ErrorKind.CONFLICT,
            f'the move of {service} changed during each of '
            f'{MAX_EDIT_ATTEMPTS} attempts to write it',
        )

    def _build_withdrawal(self, service, operator, now):
        entries = self.read().snapshot.entries
        entry, move = self._find_move(entries, service)
        path = f'{self.team}/services/{service}'
        record = decode_resource(path, entries[path].value)
        withdrawn = withdraw_by_operator(move, operator, now)
        changes = {entry.path: encode_resource(withdrawn)}
        expected = {entry.path: entry.revision}
        if record.version == move.to_version:
            restored = replace(record, version=move.from_version)
            changes[path] = encode_resource(restored)
            expected[path] = entries[path].revision
        return Edit(changes, expected)

    def read_move(self, service):
        """Return the snapshot entry and the Move of a service."""
        return self._find_move(self.read().snapshot.entries, service)

    def _find_move(self, entries, service):
        path = f'{self.team}/moves/{service}'
        entry = entries.get(path)
        if entry is None:
            raise PoplarrackError(ErrorKind.NOT_FOUND, path)
        return entry, decode_resource(path, entry.value)

    def read_zone_summaries(self):
        """Return the zones' summaries."""
        response = self.client.read_prefix(ZONE_PREFIX)
        return [decode_summary(item.value) for item in response.items]

    def history(self, path, limit=20):
        """Return the values of a setting, newest first.

        The history ends where the platform has compacted its revisions.

        :param limit: the greatest number of values to return.
        :returns: a list of KeyValues.
        """
        values = []
        revision = 0
        while len(values) < limit:
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
            values.append(item)
            revision = item.mod_revision - 1
        return values


def withdraw_by_operator(move, operator, now):
    """Return a move as withdrawn by an operator.

    :param operator: the operator's name, or an empty string.
    :param now: seconds since the epoch.
    :raises PoplarrackError: MOVE_WITHDRAWN when the move is withdrawn
        already, USAGE when it was completed too long ago.
    """
    if move.state is MoveState.WITHDRAWN:
        raise PoplarrackError(
            ErrorKind.MOVE_WITHDRAWN, f'{move.service}: {move.reason}'
        )
    if not is_live(move, now):
        raise PoplarrackError(
            ErrorKind.USAGE,
            f'{move.service}: the move is completed and no longer watched; '
            f'start a move to {move.from_version} instead',
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
