"""Match a call's host, method and path to a route."""

from functools import cached_property

from poplarrack.errors import ErrorKind
from poplarrack.resources import Route

# Why a node doesn't deny what the version that it holds doesn't allow.
NEWER_REJECTED = 'a newer version was rejected'


class Router:
    """Finds routes by host and first path segment.

    Among routes whose prefix has a path segment, those of the caller's host
    take precedence over those without a host. Otherwise the first match
    wins.

    :param routes: the Routes in order of precedence, longest prefix first.
    """

    def __init__(self, routes=()):
        self.routes = tuple(routes)
        self.by_segment = {}
        self.without_segment = []
        for route in self.routes:
            segment = _first_segment(route.prefix)
            if segment:
                key = (route.host, segment)
                self.by_segment.setdefault(key, []).append(route)
            else:
                self.without_segment.append(route)

    @cached_property
    def by_name(self):
        """Return the routes by their names."""
        return {route.name: route for route in self.routes}

    def explain_mismatch(self, is_newer_rejected=False):
        """Return the ErrorKind of calls that match no route, and the reason.

        Without any route, a node can't tell that a route doesn't exist, nor
        by the last version that it can apply.

        :param is_newer_rejected: whether a newer version can't be applied.
        """
        if not self.routes:
            return ErrorKind.NO_ENDPOINT, 'no configuration'
        if is_newer_rejected:
            return ErrorKind.NO_ENDPOINT, NEWER_REJECTED
        return ErrorKind.NO_ROUTE, 'no route matches'

    def match(self, method, target, host='') -> Route | None:
        """Return the first route that matches a call, or None.

        :param method: the request method.
        :param target: the request target, with or without a query.
        :param host: the host that the caller named, in lower case.
        """
        path = target.partition('?')[0]
        segment = _first_segment(path)
        for key in ((host, segment), ('', segment)):
            for route in self.by_segment.get(key, ()):
                if _matches(route, method, path):
                    return route
        for route in self.without_segment:
            host_matches = route.host in ('', host)
            if host_matches and _matches(route, method, path):
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
    exact = len(path) == len(prefix)
    return exact or prefix[-1] == '/' or path[len(prefix)] == '/'
