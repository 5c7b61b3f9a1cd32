"""Derive the table that calls are carried by from what a node holds."""

from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field

from poplarrack.balancers import CallerCounts
from poplarrack.balancers import derive_candidates
from poplarrack.balancers import SAME_ZONE
from poplarrack.moves import effective_share
from poplarrack.moves import is_live
from poplarrack.resources import MoveState
from poplarrack.routers import Router


@dataclass(frozen=True)
class VersionSplit:
    """A move as a node serves it: whose side gets which share."""

    move_id: str
    from_version: str
    to_version: str
    share: float
    collects_evidence: bool


@dataclass(frozen=True)
class CallTable:
    """All that calls are carried by; replaced whole with each change."""

    router: Router = field(default_factory=Router)
    versions: dict = field(default_factory=dict)
    moves: dict = field(default_factory=dict)
    candidates: dict = field(default_factory=dict)
    warm_up_seconds: dict = field(default_factory=dict)


def derive_call_table(locality, knowledge, now):
    """Derive the table in force at a node's locality.

    Each route in it names a service that the same version holds, since
    the whole comes from one checked configuration.
    """
    configuration = knowledge.configuration
    services = configuration.services
    moves = {
        service: derive_version_split(move, knowledge.verdicts, now)
        for service, move in configuration.moves.items()
        if is_in_effect(move, services[service], now)
    }
    members = knowledge.members.members.values()
    callers = count_callers(services, members, locality)
    return CallTable(
        Router(configuration.routes),
        {name: service.version for name, service in services.items()},
        moves,
        derive_candidates(locality, members, callers.__getitem__),
        {name: service.warm_up_seconds for name, service in services.items()},
    )


def derive_version_split(move, verdicts, now):
    """Return a move as a node serves it now."""
    return VersionSplit(
        move.move_id,
        move.from_version,
        move.to_version,
        effective_share(move, verdicts),
        is_live(move, now),
    )


def is_in_effect(move, service, now):
    """Say whether a move decides where its service's calls go.

    Once it ended the service's own record does, which was written with
    the end and which operators may have changed since.
    """
    if move.state is MoveState.COMPLETED:
        return is_live(move, now) and service.version == move.to_version
    return move.state is not MoveState.WITHDRAWN


def count_callers(services, members, locality):
    """Count the nodes that call each service, in all and in the own zone.

    A service that no other one lists among its calls may be called from
    any node.

    :returns: a mapping of service to CallerCounts, for unknown ones all nodes.
    """
    every, near = Counter(), Counter()
    present, present_near = 0, 0
    for member in members:
        if not member.present:
            continue
        is_near = locality.tier(member) == SAME_ZONE
        present += 1
        present_near += is_near
        if member.endpoint is not None:
            every[member.endpoint.service] += 1
            near[member.endpoint.service] += is_near
    total, total_near = Counter(), Counter()
    for service in services.values():
        for called in service.calls:
            total[called] += every[service.name]
            total_near[called] += near[service.name]
    anybody = CallerCounts(present, present_near)
    counted = defaultdict(lambda: anybody)
    for name in total:
        if total[name]:
            counted[name] = CallerCounts(total[name], total_near[name])
    return counted
