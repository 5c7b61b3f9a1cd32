"""Split calls by weight so that any sequence of calls keeps the shares.

Each node starts at a random phase, so that the calls of many nodes with few
calls each keep the shares in total too.
"""

from poplarrack.evidence import FULL_SHARE_STAGE
from poplarrack.evidence import stage_of

# Turns of a weighted route's sequence at one of which a node starts.
START_TURNS = 512


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
        key = (route.name, services)
        credits = self.phases.get(key)
        if credits is None:
            credits = self.phases[key] = self._start_somewhere(services)
        return services[_take_turn(services, credits)].service

    def _start_somewhere(self, services):
        """Return the credits of services at a random turn of their sequence.

        Each turn is as likely, so that first calls keep the shares as well.
        """
        credits = [0.0] * len(services)
        for _ in range(self.random.randrange(START_TURNS)):
            _take_turn(services, credits)
        return credits

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


def _take_turn(services, credits):
    """Return the index of the next of weighted services; update the credits.

    The first one is taken if no service has a weight.
    """
    total = sum(weighted.weight for weighted in services) or 1.0
    chosen, most = 0, None
    for index, weighted in enumerate(services):
        credits[index] += weighted.weight / total
        if weighted.weight > 0 and (most is None or credits[index] > most):
            chosen, most = index, credits[index]
    credits[chosen] -= 1.0
    return chosen
