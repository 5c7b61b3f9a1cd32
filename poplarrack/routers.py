"""Match a call's method and path to a route."""

from poplarrack.resources import Route


class Router:
    """Routes by first path segment, longest prefix first within one."""

    def __init__(self, routes=()):
        self.by_segment = {}
        self.rest = []
        for route in routes:
            segment = _first_segment(route.prefix)
            if segment:
                self.by_segment.setdefault(segment, []).append(route)
            else:
                self.rest.append(route)

    def match(self, method, target) -> Route | None:
        """Return the route of a call, or None.

        :param target: the request target, with or without a query.
        """
        path = target.partition('?')[0]
        for route in self.by_segment.get(_first_segment(path), ()):
            if _matches(route, method, path):
                return route
        for route in self.rest:
            if _matches(route, method, path):
                return route
        return None


def _first_segment(path):
    return path[1:].partition('/')[0]


def _matches(route, method, path):
    if route.methods and method not in route.methods:
        return False
    prefix = route.prefix
    if not path.startswith(prefix):
        return False
    whole = len(path) == len(prefix)
    return whole or prefix[-1] == '/' or path[len(prefix)] == '/'
