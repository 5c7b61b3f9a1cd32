"""Carry over what a store lost that returned from an older copy.

What was written last is gone then: steps and ends of moves, and orders and
evacuations until the operator has written them again. What the nodes hold goes
on, and the worker writes its records again: a move that has ended isn't
started again, and a version that was withdrawn gets no more calls.
"""

from dataclasses import replace

from poplarrack.errors import PoplarrackError
from poplarrack.resources import decode_resource
from poplarrack.resources import encode_resource
from poplarrack.resources import split_path
from poplarrack.snapshots import build_snapshot
from poplarrack.snapshots import Entry
from poplarrack.store_histories import history_of

CARRIERS = {}


def carry_over(configuration, snapshot, verdicts):
    """Return a snapshot with what nodes are to go by.

    One with an entry that can't be read stays as it is: it is rejected.

    :param configuration: the Configuration that is held.
    :param snapshot: the Snapshot that may replace it.
    :param verdicts: the verdicts that are known, by move id.
    """
    if not history_of(snapshot.revision):
        return snapshot
    try:
        return _carry_over(configuration, snapshot, verdicts)
    except PoplarrackError:
        return snapshot


def _carry_over(configuration, snapshot, verdicts):
    returned = history_of(snapshot.revision) > history_of(
        configuration.revision
    )
    entries = dict(snapshot.entries)
    for path, entry in _entries_of(snapshot, ('moves',)):
        entries[path] = _tell_apart(path, entry, configuration, verdicts)
    for path, held_entry in _entries_of(configuration.snapshot, CARRIERS):
        held = decode_resource(path, held_entry.value)
        if returned or held.outdated:
            carry = CARRIERS[split_path(path)[1]]
            carried = carry(held_entry, held, entries)
            if carried is not None:
                entries[path] = carried
    if entries == snapshot.entries:
        return snapshot
    return build_snapshot(
        snapshot.revision, entries.values(), snapshot.generation
    )


def _entries_of(snapshot, kinds):
    """Return the paths and entries of resources of some kinds."""
    return [
        (path, entry)
        for path, entry in snapshot.entries.items()
        if split_path(path)[1] in kinds
    ]


def carries(kind):
    """Register the function that carries resources of a kind.

    It takes the Entry that is held, its resource, and the entries of the new
    snapshot by path. It returns the Entry that goes on, or None for none.
    """

    def register(carry):
        CARRIERS[kind] = carry
        return carry

    return register


@carries('evacuations')
def _carry_evacuation(held_entry, held, entries):
    """Keep a zone evacuated whose evacuation the copy doesn't have."""
    if held_entry.path in entries:
        return None
    value = encode_resource(replace(held, outdated=True))
    return replace(held_entry, value=value)


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


@carries('moves')
def _carry_move(held_entry, held, entries):
    """Keep a move that is further than its record in the copy."""
    path = held_entry.path
    team, _, service = split_path(path)
    if f'{team}/services/{service}' not in entries:
        return None
    found = entries.get(path)
    if found is None:
        # The order is gone until the operator writes it again.
        return _build_entry(path, held, '', held_entry.revision)
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
