"""Split calls by weight so that any sequence of calls keeps the shares.

Each node starts at a random phase, so that the calls of many nodes with few
calls each keep the shares in total too.
"""

from poplarrack.evidence import FULL_SHARE_STAGE
from poplarrack.evidence import stage_of


class TrafficSplitter:
    """Splits the calls of weighted routes and of moves.

    ``phases`` holds a phase for each move, and for each weighted route a list
    with the credit of each of its services.

    :param random: a ``random.Random`` for the initial phases.
    """

    def __init__(self, random):
        self.random = random
        self.phases = {}

    def choose_service(self, route):
        """Return the service for a call by smooth weighted round robin."""
        services = route.weighted_services
        if len(services) == 1:
            return services[0].service
        total = sum(weighted.weight for weighted in services) or 1.0
        credits = self.phases.setdefault(
            (route.name, services), [self.random.random() for _ in services]
        )
        for index, weighted in enumerate(services):
            credits[index] += weighted.weight / total
        chosen = max(
            (
                index
                for index, weighted in enumerate(services)
                if weighted.weight > 0
            ),
            key=credits.__getitem__,
            default=0,
        )
        credits[chosen] -= 1.0
        return services[chosen].service

    def goes_to_new_version(self, split):
        """Return whether the next call goes to a move's new version.

        :param split: the VersionSplit of the move.
        """
        phase = self.phases.get(split.move_id)
        if phase is None:
            phase = self.random.random()
        phase += split.share
        to_new = phase >= 1.0
        self.phases[split.move_id] = phase - 1.0 if to_new else phase
        return to_new

    def choose_version(self, call, group, split):
        """Return the endpoints of the version that a call goes to.

        The version is chosen once for a call; a retry after an attempt that
        reached an endpoint uses the old version.

        :param call: the Call, which gets its version and its stage.
        :param group: the DestinationGroup of its service.
        :param split: the VersionSplit of the service's move.
        """
        new, old = group.split_by_version(split.to_version)
        if split.share <= 0 or not new:
            return old
        if split.share >= 1 or not old:
            call.stage = FULL_SHARE_STAGE
            return new
        if call.version is None:
            to_new = self.goes_to_new_version(split)
            call.version = split.to_version if to_new else ''
            call.stage = stage_of(split.share)
        return new if call.version and not call.arrivals else old
