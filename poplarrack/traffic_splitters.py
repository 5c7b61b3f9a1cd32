"""Draw where calls go so that any run of them holds the shares exactly.

Each node starts at a random phase, so that many nodes with few calls add
up to the shares too.
"""


class TrafficSplitter:
    """The phases of weighted routes and of moves."""

    def __init__(self, random):
        self.random = random
        self.phases = {}

    def choose_service(self, route):
        """Return the service that a call on a route goes to."""
        parts = route.weighted_services
        if len(parts) == 1:
            return parts[0].service
        total = sum(part.weight for part in parts) or 1.0
        credits = self.phases.setdefault(
            (route.name, parts), [self.random.random() for _ in parts]
        )
        for at, part in enumerate(parts):
            credits[at] += part.weight / total
        chosen = max(
            (at for at, part in enumerate(parts) if part.weight > 0),
            key=credits.__getitem__,
            default=0,
        )
        credits[chosen] -= 1.0
        return parts[chosen].service

    def goes_to_new_version(self, move):
        """Say whether a call goes to the new version of a move."""
        phase = self.phases.get(move.move_id)
        if phase is None:
            phase = self.random.random()
        phase += move.share
        goes_new = phase >= 1.0
        self.phases[move.move_id] = phase - 1.0 if goes_new else phase
        return goes_new
