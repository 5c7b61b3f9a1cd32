"""Derive a node's call table from its knowledge of the mesh."""

from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field

from poplarrack.balancers import CallerCounts
from poplarrack.balancers import derive_candidates
from poplarrack.balancers import SAME_ZONE
from poplarrack.moves import effective_share
from poplarrack.moves import is_live
from poplarrack.resources import CallerLimits
from poplarrack.resources import MoveState
from poplarrack.routers import Router


@dataclass(frozen=True)
class VersionSplit:
    """How a node splits a service's calls between the versions of a move.

    ``share`` is the fraction of calls that goes to ``to_version``;
    ``collects_evidence`` says whether outcomes are recorded as evidence.
    """

    move_id: str
    from_version: str
    to_version: str
    share: float
    collects_evidence: bool


@dataclass(frozen=True)
class CallTable:
    """Everything that a call is routed by; replaced whole on each change.

    ``versions``, ``moves`` and ``warm_up_seconds`` are by service; ``moves``
    has the VersionSplits of the moves in effect. ``candidates`` has a tuple
    of Candidates by service and version. ``revision`` 0 means that no
    configuration is known yet.
    """

    router: Router = field(default_factory=Router)
    versions: dict = field(default_factory=dict)
    moves: dict = field(default_factory=dict)
    candidates: dict = field(default_factory=dict)
    warm_up_seconds: dict = field(default_factory=dict)
    revision: int = 0
    limits: CallerLimits = field(
        default_factory=lambda: CallerLimits('callers')
    )


def derive_call_table(locality, knowledge, now):
    """Derive the call table of a node.

    Each route names a service of the same table, since all of it comes from
    one validated configuration.

    :param locality: the Locality of the node.
    :param knowledge: the node's Knowledge of configuration, members and
        verdicts.
    :param now: seconds since the epoch.
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
        configuration.router,
        {name: service.version for name, service in services.items()},
        moves,
        derive_candidates(
            locality,
            members,
            callers.__getitem__,
            configuration.evacuated_zones,
        ),
        {name: service.warm_up_seconds for name, service in services.items()},
        configuration.revision,
        configuration.caller_limits,
    )


def derive_version_split(move, verdicts, now):
    """Return the version split that a move asks for now."""
    return VersionSplit(
        move.move_id,
        move.from_version,
        move.to_version,
        effective_share(move, verdicts),
        is_live(move, now),
    )


def is_in_effect(move, service, now):
    """Return whether a move decides which version its service's calls go to.

    After the end of a move the service's own record decides: it was written
    in the same transaction, and operators may have changed it since. So a
    completed move stays in effect only while evidence on it is collected and
    the record still has the move's new version.
    """
    if move.state is MoveState.COMPLETED:
        return is_live(move, now) and service.version == move.to_version
    return move.state is not MoveState.WITHDRAWN


def count_callers(services, members, locality):
    """Count the nodes that call each service, in all and in this zone.

    A service that no other service lists among its ``calls`` may be called
    from any node.

    :param services: a mapping of name to Service.
    :param members: an iterable of Member.
    :param locality: the Locality of this node.
    :returns: a mapping of service to CallerCounts, with the count of all
        nodes as the default.
    """
    by_service, by_service_in_zone = Counter(), Counter()
    present, present_in_zone = 0, 0
    for member in members:
        if not member.present:
            continue
        in_zone = locality.tier(member) == SAME_ZONE
        present += 1
        present_in_zone += in_zone
        if member.endpoint is not None:
            by_service[member.endpoint.service] += 1
            by_service_in_zone[member.endpoint.service] += in_zone
    total, total_in_zone = Counter(), Counter()
    for service in services.values():
        for called in service.calls:
            total[called] += by_service[service.name]
            total_in_zone[called] += by_service_in_zone[service.name]
    all_nodes = CallerCounts(present, present_in_zone)
    counts = defaultdict(lambda: all_nodes)
    for name in total:
        if total[name]:
            counts[name] = CallerCounts(total[name], total_in_zone[name])
    return counts
