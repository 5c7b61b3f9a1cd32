"""Test that limits hold over all nodes, and that little is refused below."""

from random import Random

from poplarrack.call_limits import CallLimits
from poplarrack.limit_messages import CallCount
from poplarrack.resources import Organisation
from tests.limit_meshes import Mesh
from tests.limit_meshes import ZONES
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

WINDOW_SECONDS = 5.0
SEQUENCES = 1_000
# The limit of an organisation by its usual calls.
LIMIT_FACTOR = 1.6


def bound_of(organisation):
    """Return how many calls may pass in a window."""
    rate, burst = organisation.calls_per_second, organisation.burst
    return (rate * WINDOW_SECONDS + burst) * 1.1 + 20


def mesh_of(size, usual, seed, skew=1.0):
    """Return a Mesh that ran for some seconds without calls."""
    limit = LIMIT_FACTOR * usual
    organisation = Organisation('acme', calls_per_second=limit, burst=limit)
    mesh = Mesh(size, Random(seed), organisation, skew)
    mesh.run(3.0, 0.0)
    return mesh


def restart_many(mesh, usual, random):
    """Restart more than half of the nodes at once."""
    for index in random.sample(range(mesh.size), int(0.55 * mesh.size)):
        mesh.restart(index)


def cut_some(mesh, usual, random):
    for node in random.sample(mesh.nodes, mesh.size // 4):
        node.cut = True


def heal(mesh, usual, random):
    mesh.regions_cut = False
    for node in mesh.nodes:
        node.cut = False


def cut_regions(mesh, usual, random):
    mesh.regions_cut = True


def nothing(mesh, usual, random):
    """Leave everything as it is."""


EVENTS = (restart_many, cut_some, heal, cut_regions, nothing, nothing)


def play(seed):
    """Play a random sequence of events; return the most calls and the bound.

    The organisation makes its usual calls or seven times as many, through all
    zones or one.
    """
    random = Random(seed)
    size = random.choice((12, 24, 48))
    usual = size * random.choice((0.05, 0.3, 1.0, 3.0))
    mesh = mesh_of(size, usual, seed, random.choice((0.5, 1.0, 3.0)))
    bound = bound_of(mesh.organisation)
    for _ in range(4):
        random.choice(EVENTS)(mesh, usual, random)
        zone_shares = [1.0] * ZONES
        if random.random() < 0.5:
            zone_shares = [0.02] * ZONES
            zone_shares[random.randrange(ZONES)] = 1.0
        mesh.run(2.0, usual * random.choice((1, 1, 7)), zone_shares)
    return mesh.most_in_window(WINDOW_SECONDS), bound


# QUOTA: nodes that don't know of each other's calls let more pass than the
# limit, when many restart at once, are cut off, or when calls come through
# other nodes than before.
def test_a_limit_holds_through_any_sequence_of_events():
    for seed in range(SEQUENCES):
        most, bound = play(seed)
        assert most <= bound, (seed, most, bound)


# QUOTA: a limit that falls far below what is sent binds one window later.
def test_a_lower_limit_binds_after_a_window():
    for seed in range(10):
        mesh = mesh_of(24, 48.0, seed)
        mesh.run(4.0, 48.0)
        lower = Organisation('acme', calls_per_second=8.0, burst=8.0)
        mesh.set_limit(lower)
        since = mesh.now + WINDOW_SECONDS
        mesh.run(15.0, 48.0)
        most = mesh.most_in_window(WINDOW_SECONDS, since)
        assert most <= bound_of(lower), (seed, most)


# Calls below the limit were refused at nodes that get few of them, since a
# part of less than one call lets none pass.
def test_in_calm_little_is_refused_below_the_limit():
    for per_node, skew in ((0.05, 1), (0.05, 3), (0.3, 1), (1.0, 3), (3.0, 1)):
        passed = bucket_passed = 0
        for seed in range(5):
            mesh = mesh_of(64, 64 * per_node, seed, skew)
            mesh.run(30.0, 64 * per_node)
            passed += len(mesh.passed)
            bucket_passed += mesh.bucket_passed
        share = passed / bucket_passed
        assert share >= 0.97, (per_node, skew, share)


def test_without_a_limit_all_calls_pass():
    limits = CallLimits(Random(1))
    free = Organisation('free')
    limits.set_organisations({'free': free}, 64)
    assert all(limits.admit(free, 1.0) is None for _ in range(1_000))


def test_what_is_taken_back_is_told():
    limits = CallLimits(Random(1))
    organisation = Organisation('acme', calls_per_second=9.0, burst=9.0)
    limits.set_organisations({'acme': organisation}, 1)
    limits.told_at = 1.0
    assert limits.admit(organisation, 1.0) is None
    assert limits.collect_counts() == (CallCount('acme', 1, 1),)
    limits.take_back(organisation, 1.0)
    assert limits.collect_counts() == (CallCount('acme', -1, -1),)
    assert limits.collect_counts() == ()


# Callers that come back at the same moment are refused again.
def test_those_over_the_limit_return_spread_over_time():
    mesh = mesh_of(12, 24.0, 3)
    mesh.run(5.0, 200.0)
    limits, now = mesh.nodes[0].limits, mesh.now
    waits = [limits.admit(mesh.organisation, now) for _ in range(100)]
    waits = sorted(wait for wait in waits if wait is not None)
    assert waits and waits[0] >= 0.5 and waits[-1] <= 4.5
    assert waits[-1] - waits[0] > 1.0


# Endpoints with too little room refused most calls, which came back and
# counted again: an organisation within its limit got 429.
def test_calls_that_have_not_run_do_not_count():
    acme = Organisation('acme', calls_per_second=10.0, burst=10.0)
    limits = CallLimits(Random(1))
    limits.set_organisations({'acme': acme}, 1)
    limits.step(True, (), 100.0)
    limits.step(True, (), 105.0)
    now, refused = 105.0, 0
    for _ in range(300):
        now += 0.02
        limits.step(True, (), now)
        if limits.admit(acme, now) is None:
            limits.take_back(acme, now)
        else:
            refused += 1
    assert not refused, refused
    passed = sum(limits.admit(acme, now) is None for _ in range(50))
    assert 1 <= passed <= 25, passed
