"""Merge updates, by any path and in any order, into a node's knowledge."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from types import MappingProxyType

from xxhash import xxh64_intdigest

from poplarrack.configurations import Configuration
from poplarrack.configurations import load_configuration
from poplarrack.configurations import Rejection
from poplarrack.errors import PoplarrackError
from poplarrack.evidence import Verdict
from poplarrack.members import MemberTable
from poplarrack.members import merge_members
from poplarrack.messages import Digests
from poplarrack.messages import Updates
from poplarrack.snapshots import apply_delta
from poplarrack.snapshots import is_newer
from poplarrack.store_histories import history_of
from poplarrack.store_returns import carry_over

MAX_VERDICTS = 500


@dataclass(frozen=True)
class Knowledge:
    """All replicated state: configuration, members and verdicts."""

    configuration: Configuration = field(default_factory=Configuration)
    rejection: Rejection | None = None
    members: MemberTable = field(default_factory=MemberTable)
    verdicts: Mapping[str, Verdict] = field(
        default_factory=lambda: MappingProxyType({})
    )

    def digests(self, node_id):
        """Return the digests that two nodes compare."""
        snapshot = self.configuration.snapshot
        return Digests(
            node_id,
            snapshot.revision,
            snapshot.digest,
            self.members.digest,
            verdicts_digest(self.verdicts),
            snapshot.generation,
        )


@dataclass(frozen=True)
class MergeResult:
    """The knowledge after updates, and those that changed it.

    ``stale`` is set when the delta does not apply to the held version, so
    that another is needed; ``applied`` when the configuration changed.
    """

    knowledge: Knowledge
    changes: Updates
    stale: bool = False
    applied: bool = False


def verdicts_digest(verdicts):
    """Return one digest over the ids of the moves with a verdict."""
    return xxh64_intdigest('\0'.join(sorted(verdicts)).encode())


def apply_snapshot(knowledge, snapshot, read_at=0):
    """Apply a newer snapshot if it is valid, else record its rejection.

    What was read from the store also replaces other content that is held
    under the same or a newer revision, unless the read is older than that.

    :param read_at: the store's revision at which the whole snapshot was read
        from it; 0 for one from elsewhere.
    :returns: the Knowledge, unchanged for a snapshot that is not newer than
        the configuration or than the last rejection.
    """
    held = knowledge.configuration.snapshot
    snapshot = carry_over(
        knowledge.configuration, snapshot, knowledge.verdicts
    )
    if not is_newer(snapshot, held):
        same = snapshot.digest == held.digest
        # A read of another history is of an earlier version: see is_newer.
        repairs = (
            history_of(read_at) == history_of(held.revision)
            and read_at >= held.revision
        )
        if same or not snapshot.revision or not repairs:
            return knowledge
        snapshot = replace(snapshot, revision=read_at)
    rejected = knowledge.rejection
    if rejected is not None and snapshot.revision <= rejected.revision:
        return knowledge
    try:
        configuration = load_configuration(snapshot)
    except PoplarrackError as error:
        reasons = tuple(error.detail.split('; '))
        rejection = Rejection(snapshot.revision, reasons)
        return replace(knowledge, rejection=rejection)
    return replace(knowledge, configuration=configuration, rejection=None)


def merge_updates(knowledge, updates):
    """Merge updates from a peer; order and repetition do not matter.

    :returns: a MergeResult.
    """
    before = knowledge.configuration
    knowledge, stale = _merge_delta(knowledge, updates.delta)
    member_merge = merge_members(knowledge.members, updates.members)
    verdicts = tuple(
        verdict
        for verdict in updates.verdicts
        if verdict.move_id not in knowledge.verdicts
    )
    applied = knowledge.configuration is not before
    changes = Updates(
        updates.sender,
        updates.delta if applied else None,
        member_merge.changes,
        verdicts,
    )
    knowledge = replace(
        knowledge,
        members=member_merge.table,
        verdicts=_with_verdicts(knowledge.verdicts, verdicts),
    )
    return MergeResult(knowledge, changes, stale, applied)


def _merge_delta(knowledge, delta):
    """Return the knowledge after a delta, and whether the delta is stale."""
    if delta is None:
        return knowledge, False
    snapshot = knowledge.configuration.snapshot
    if not is_newer(delta, snapshot):
        return knowledge, False
    try:
        target = apply_delta(snapshot, delta)
    except PoplarrackError:
        return knowledge, True
    return apply_snapshot(knowledge, target), False


def _with_verdicts(held, received):
    if not received:
        return held
    verdicts = dict(held)
    for verdict in received:
        verdicts[verdict.move_id] = verdict
    return MappingProxyType(verdicts)


def prune_verdicts(knowledge):
    """Drop verdicts on moves that ended, once there are too many verdicts.

    A move counts as ended here when the configuration no longer holds it.
    """
    if len(knowledge.verdicts) <= MAX_VERDICTS:
        return knowledge
    current = {move.move_id for move in knowledge.configuration.moves.values()}
    kept = {
        move_id: verdict
        for move_id, verdict in knowledge.verdicts.items()
        if move_id in current
    }
    return replace(knowledge, verdicts=MappingProxyType(kept))
