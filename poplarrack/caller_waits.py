"""Estimate how long callers waited before they sent a call again.

A call that comes back after a refusal is a new one to the mesh, but its caller
has less time left than callers of its route usually have.
"""

# Callers of a route differ in the time that they wait at first: less than this
# fraction of the longest tells that a part of it has passed.
FIRST_CALL_FRACTION = 0.85
# Weight by which the longest time approaches that of each call.
FADING_WEIGHT = 0.001


class CallerWaits:
    """The longest time that callers of each route said they would wait."""

    def __init__(self):
        self.longest = {}

    def record(self, route, asked_seconds):
        """Record the time that a caller waits; return what has passed of it.

        :param route: the route's name.
        :returns: seconds, 0 for a call that seems to be the first.
        """
        longest = self.longest.get(route, 0.0)
        longest += FADING_WEIGHT * (asked_seconds - longest)
        longest = max(longest, asked_seconds)
        self.longest[route] = longest
        return max(0.0, FIRST_CALL_FRACTION * longest - asked_seconds)

    def keep_only(self, routes):
        """Forget the routes that are not among some names."""
        self.longest = {
            route: seconds
            for route, seconds in self.longest.items()
            if route in routes
        }
