"""Merge what arrives, by any way and in any order, into what a node holds."""

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

MAX_VERDICTS = 500


@dataclass(frozen=True)
class Knowledge:
    """Everything that nodes share: versions, members and verdicts."""

    configuration: Configuration = field(default_factory=Configuration)
    rejection: Rejection | None = None
    members: MemberTable = field(default_factory=MemberTable)
    verdicts: Mapping[str, Verdict] = field(
        default_factory=lambda: MappingProxyType({})
    )

    def digests(self, node_id):
        """Return the digests to compare with another node's."""
        snapshot = self.configuration.snapshot
        return Digests(
            node_id,
            snapshot.revision,
            snapshot.digest,
            self.members.digest,
            verdicts_digest(self.verdicts),
        )


@dataclass(frozen=True)
class MergeResult:
    """Knowledge after updates, what of them was news, and staleness.

    ``stale`` says that the delta did not fit and is wanted anew;
    ``applied`` that another version came in force.
    """

    knowledge: Knowledge
    news: Updates
    stale: bool = False
    applied: bool = False


def verdicts_digest(verdicts):
    """Return one digest over the moves that have a verdict."""
    return xxh64_intdigest('\0'.join(sorted(verdicts)).encode())


def apply_snapshot(knowledge, snapshot):
    """Put a greater and valid snapshot in force, or note its refusal.

    :returns: the knowledge, unchanged for an older or known snapshot.
    """
    if snapshot.revision <= knowledge.configuration.revision:
        return knowledge
    refused = knowledge.rejection
    if refused is not None and snapshot.revision <= refused.revision:
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
    merge = merge_members(knowledge.members, updates.members)
    verdicts = tuple(
        verdict
        for verdict in updates.verdicts
        if verdict.move_id not in knowledge.verdicts
    )
    applied = knowledge.configuration is not before
    news = Updates(
        updates.sender,
        updates.delta if applied else None,
        merge.news,
        verdicts,
    )
    knowledge = replace(
        knowledge,
        members=merge.table,
        verdicts=_with_verdicts(knowledge.verdicts, verdicts),
    )
    return MergeResult(knowledge, news, stale, applied)


def _merge_delta(knowledge, delta):
    """Return the knowledge after a delta and whether it did not fit."""
    if delta is None:
        return knowledge, False
    snapshot = knowledge.configuration.snapshot
    if delta.revision <= snapshot.revision:
        return knowledge, False
    try:
        target = apply_delta(snapshot, delta)
    except PoplarrackError:
        return knowledge, True
    return apply_snapshot(knowledge, target), False


def _with_verdicts(held, arrived):
    if not arrived:
        return held
    verdicts = dict(held)
    for verdict in arrived:
        verdicts[verdict.move_id] = verdict
    return MappingProxyType(verdicts)


def prune_verdicts(knowledge):
    """Drop verdicts of moves that ended, once there are too many."""
    if len(knowledge.verdicts) <= MAX_VERDICTS:
        return knowledge
    current = {move.move_id for move in knowledge.configuration.moves.values()}
    kept = {
        move_id: verdict
        for move_id, verdict in knowledge.verdicts.items()
        if move_id in current
    }
    return replace(knowledge, verdicts=MappingProxyType(kept))
