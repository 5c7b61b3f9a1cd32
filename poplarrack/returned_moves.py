"""Carry moves over a return of the store from an older copy.

What was written last is gone then: steps and ends of moves, and orders until
the operator has written them again. What the nodes hold goes on, and the
worker writes its records again: a move that has ended isn't started again,
and a version that was withdrawn gets no more calls.
"""

from dataclasses import replace

from poplarrack.resources import decode_resource
from poplarrack.resources import encode_resource
from poplarrack.resources import split_path
from poplarrack.snapshots import build_snapshot
from poplarrack.snapshots import Entry
from poplarrack.store_histories import history_of


def carry_moves(configuration, snapshot, verdicts):
    """Return a snapshot with the moves that nodes are to go by.

    :param configuration: the Configuration that is held.
    :param snapshot: the Snapshot that may replace it.
    :param verdicts: the verdicts that are known, by move id.
    """
    if not history_of(snapshot.revision):
        return snapshot
    returned = history_of(snapshot.revision) > history_of(
        configuration.revision
    )
    changed = {}
    for path, entry in snapshot.entries.items():
        if split_path(path)[1] == 'moves':
            renamed = _tell_apart(path, entry, configuration, verdicts)
            if renamed is not entry:
                changed[path] = renamed
    for service, held in configuration.moves.items():
        path = configuration.move_paths[service]
        if (returned or held.outdated) and _has_service(snapshot, path):
            found = changed.get(path, snapshot.entries.get(path))
            revision = configuration.snapshot.entries[path].revision
            changed[path] = _carry(path, held, revision, found)
    entries = {**snapshot.entries, **changed}
    if entries == snapshot.entries:
        return snapshot
    return build_snapshot(
        snapshot.revision, entries.values(), snapshot.generation
    )


def _has_service(snapshot, path):
    team, _, service = split_path(path)
    return f'{team}/services/{service}' in snapshot.entries


def _is_fresh(move):
    """Return whether a move is an order that no worker has started."""
    return move.ordered_seconds > 0 and not move.outdated


def _tell_apart(path, entry, configuration, verdicts):
    """Give an order an id of its own if an earlier one of another had it.

    The id has the revision of the order, which the store may give out again.
    """
    move = decode_resource(path, entry.value)
    if not _is_fresh(move):
        return entry
    held = configuration.moves.get(move.service)
    is_taken = move.move_id in verdicts or (
        held is not None
        and held.move_id == move.move_id
        and held.to_version != move.to_version
    )
    if not is_taken:
        return entry
    renamed = replace(
        move,
        move_id=f'{move.move_id}-{move.to_version}',
        order_id=move.move_id,
    )
    return replace(entry, value=encode_resource(renamed))


def _carry(path, held, held_revision, found):
    """Return the Entry of the move that goes on.

    :param held_revision: that of the held move's record.
    :param found: the Entry in the snapshot, or None.
    """
    if found is None:
        # The order is gone until the operator writes it again.
        return _build_entry(path, held, '', held_revision)
    move = decode_resource(path, found.value)
    is_recorded = not move.outdated and not _is_fresh(move)
    if is_recorded or _is_fresh(held):
        return found
    if move.to_version == held.to_version:
        further = max(move, held, key=_progress)
        order_id = move.order_id or move.move_id
        return _build_entry(path, further, order_id, found.revision)
    if move.outdated:
        # An earlier order, which the held one had replaced.
        return _build_entry(path, held, '', found.revision)
    return found


def _build_entry(path, move, order_id, revision):
    carried = replace(move, order_id=order_id, outdated=True)
    return Entry(path, encode_resource(carried), revision)


def _progress(move):
    """Return a key that is greater for the later record of a move."""
    recorded_at = move.log[-1].partition(' ')[0] if move.log else '0'
    return (move.state.ended, not _is_fresh(move), float(recorded_at))
