"""Test that calls are matched with the route that the rules select."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from poplarrack.configurations import load_configuration
from poplarrack.resources import encode_resource
from poplarrack.resources import Route
from poplarrack.resources import Service
from poplarrack.snapshots import build_snapshot
from poplarrack.snapshots import Entry
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

SEGMENTS = strategies.sampled_from(('', 'a', 'b', 'ab', 'a%2Fb', '%61', '..'))
PREFIXES = strategies.lists(SEGMENTS, max_size=3).map(
    lambda parts: '/' + ''.join(f'{part}/' for part in parts)
)
TARGETS = strategies.builds(
    lambda parts, end: '/' + '/'.join(parts) + end,
    strategies.lists(SEGMENTS, max_size=4),
    strategies.sampled_from(('', 'x', '?q=/a/', '?', '/?', '/')),
)
HOSTS = strategies.sampled_from(('g', 'h'))


# DENIED, ROUTE: prefixes within prefixes, the root, empty and encoded segments
# and queries must neither get 404 nor go to another service.
@settings(max_examples=500, deadline=None)
@given(
    strategies.lists(strategies.tuples(HOSTS, PREFIXES), unique=True),
    HOSTS,
    TARGETS,
)
def test_the_longest_prefix_of_the_host_that_begins_the_path_wins(
    places, host, target
):
    resources = {'t/services/s': Service('s', '')}
    for number, (route_host, prefix) in enumerate(places):
        route = Route(f'r{number}', prefix, 's', host=route_host)
        resources[f't/routes/{route.name}'] = route
    router = load_configuration(
        build_snapshot(
            1,
            [
                Entry(path, encode_resource(resource), 1)
                for path, resource in resources.items()
            ],
        )
    ).router
    path = target.partition('?')[0]
    matching = [
        route
        for route in router.routes
        if route.host == host and path.startswith(route.prefix)
    ]
    expected = max(matching, key=lambda route: len(route.prefix), default=None)
    assert router.match('GET', target, host) is expected
