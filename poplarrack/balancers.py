"""Balance calls across backend servers.

A node balances by its own measurements alone: in-flight calls, latency and
failure rate of each server as seen by this node.
"""

from dataclasses import dataclass

from xxhash import xxh64_intdigest

from poplarrack.limits import AdaptiveLimit
from poplarrack.members import Endpoint
from poplarrack.members import EndpointState

BALANCERS = {}
LATENCY_EWMA_WEIGHT = 0.1
FAILURE_EWMA_WEIGHT = 0.1
# Latency assumed of a server that has not answered yet.
DEFAULT_LATENCY_SECONDS = 0.001
# Added to the cost factor of a server at a failure rate of 1.
FAILURE_PENALTY = 4.0
EJECTION_CONSECUTIVE_FAILURES = 5
EJECTION_FAILURE_RATE = 0.5
INITIAL_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
MAX_EJECTED_FRACTION = 0.34
SLOW_START_MIN_WEIGHT = 0.1
USABLE_CONNECTION_FRACTION = 0.7
MIN_SUBSET_SIZE = 3

SAME_ZONE, SAME_REGION, OTHER_REGION = 0, 1, 2


def balancer(name):
    """Register a load-balancing algorithm under a name.

    The decorated function gets the available ServerLoads, the time and a
    ``random.Random``, and returns one of the ServerLoads.

    :param name: the value of the ``balancer`` setting that selects it.
    """

    def register(pick):
        BALANCERS[name] = pick
        return pick

    return register


class ServerLoad:
    """The measurements that a node takes of one backend server.

    Latency and failure rate are exponentially weighted moving averages.
    """

    def __init__(self, endpoint, tier, warm_up_seconds, region=''):
        self.endpoint = endpoint
        self.region = region
        self.tier = tier
        self.warm_up_seconds = warm_up_seconds
        self.in_flight = 0
        self.times_picked = 0
        self.limit = AdaptiveLimit(endpoint.slots)
        self.latency = 0.0
        self.failure_rate = 0.0
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until = 0.0

    def weight(self, now):
        """Return the fraction of its full load that the server may get.

        In slow start, the fraction rises linearly with the time since the
        announcement and reaches 1 after ``warm_up_seconds``. It is at least
        ``SLOW_START_MIN_WEIGHT``.
        """
        age = now - self.endpoint.announced_at
        if age >= self.warm_up_seconds:
            return 1.0
        return max(SLOW_START_MIN_WEIGHT, age / self.warm_up_seconds)

    def is_in_slow_start(self, now):
        """Return whether the server is still in slow start.

        Slow start lasts for ``warm_up_seconds`` after the announcement.
        """
        return now - self.endpoint.announced_at < self.warm_up_seconds

    def admits(self, now):
        """Return whether this node may send the server one more call.

        In slow start, only a fraction of the concurrency limit is used.
        """
        limit = max(1.0, self.limit.limit * self.weight(now))
        return self.in_flight < limit

    def cost(self, now):
        """Return the relative cost of sending a call here.

        The cost grows with the weighted load, the latency and the failure
        rate; the server with the lowest cost is preferred.
        """
        latency = self.latency or DEFAULT_LATENCY_SECONDS
        penalty = 1.0 + FAILURE_PENALTY * self.failure_rate
        load = (self.in_flight + 1) / self.weight(now)
        return load * latency * penalty

    def on_success(self, latency):
        """Record a call that was answered without a failure.

        :param latency: time from sending to the answer, in seconds.
        """
        self.limit.on_success(self.in_flight)
        self.consecutive_failures = 0
        self.failure_rate *= 1 - FAILURE_EWMA_WEIGHT
        if not self.latency:
            self.latency = latency
        self.latency += LATENCY_EWMA_WEIGHT * (latency - self.latency)

    def on_failure(self):
        """Record a failed call."""
        self.consecutive_failures += 1
        self.failure_rate += FAILURE_EWMA_WEIGHT * (1 - self.failure_rate)

    def eject(self, now):
        """Eject the server for a time that doubles with each ejection."""
        duration = INITIAL_EJECTION_SECONDS * 2 ** min(self.ejections, 10)
        self.ejected_until = now + min(MAX_EJECTION_SECONDS, duration)
        self.ejections += 1
        self.consecutive_failures = 0


@dataclass(frozen=True)
class Locality:
    """The region and availability zone of a node."""

    node_id: str
    region: str
    zone: str

    def tier(self, member):
        """Return the locality tier of another node's backend server.

        :returns: ``SAME_ZONE``, ``SAME_REGION`` or ``OTHER_REGION``.
        """
        if member.region != self.region:
            return OTHER_REGION
        return SAME_ZONE if member.zone == self.zone else SAME_REGION


@dataclass(frozen=True)
class Candidate:
    """A backend server that a node may use, its locality tier and region."""

    endpoint: Endpoint
    tier: int
    region: str = ''


@dataclass(frozen=True)
class CallerCounts:
    """The numbers of nodes that call a service: in all and in this zone."""

    total: int
    same_zone: int


def subset_size(servers, callers, max_connections):
    """Return how many servers each calling node may connect to.

    Keeps the expected connections of a server below its maximum, with
    headroom for a reconnect storm. Each pair of a node and a server is
    counted as one connection.

    :param servers: number of servers.
    :param callers: number of nodes that call them.
    :param max_connections: connections that one server accepts.
    """
    room = USABLE_CONNECTION_FRACTION * max_connections * servers
    return min(servers, int(room / max(1, callers)))


def derive_candidates(
    locality, members, callers_of, evacuated_zones=frozenset()
):
    """Derive the servers that a node may use, by service and version.

    :param locality: the Locality of the node.
    :param members: an iterable of Member.
    :param callers_of: a function from service to CallerCounts.
    :param evacuated_zones: the zones whose servers get no calls.
    :returns: a mapping of (service, version) to a tuple of Candidates.
    """
    groups = {}
    for member in members:
        endpoint = member.endpoint
        usable = member.present and endpoint is not None
        if member.zone in evacuated_zones:
            continue
        if usable and endpoint.state is EndpointState.SERVING:
            key = (endpoint.service, endpoint.version)
            candidate = Candidate(
                endpoint, locality.tier(member), member.region
            )
            groups.setdefault(key, []).append(candidate)
    return {
        key: _subset(locality.node_id, group, callers_of(key[0]))
        for key, group in groups.items()
    }


def _subset(node_id, group, callers):
    """Return the subset of the servers that a node connects to.

    Servers of the same zone are preferred as far as their connections
    allow. A third of the subset or more, but at least one server, is taken
    from other zones for failover. Rendezvous hashing keeps a node's subset
    stable when other nodes and servers join or leave.
    """
    bound = group[0].endpoint.max_connections
    size = max(MIN_SUBSET_SIZE, subset_size(len(group), callers.total, bound))
    if size >= len(group):
        return tuple(group)
    ranked = sorted(
        group,
        key=lambda item: (
            item.tier,
            xxh64_intdigest(f'{node_id}\0{item.endpoint.address}'.encode()),
        ),
    )
    near = [item for item in ranked if item.tier == SAME_ZONE]
    rest = [item for item in ranked if item.tier != SAME_ZONE]
    if not near:
        return tuple(rest[:size])
    remote = min(len(rest), max(1, size // 3))
    wanted = min(
        size - remote, subset_size(len(near), callers.same_zone, bound)
    )
    near_count = max(1, wanted)
    return tuple(near[:near_count] + rest[: size - near_count])


def choose_server(loads, pick, now, random, tried=()):
    """Choose a server of the nearest locality tier that has capacity.

    :param loads: ServerLoads of one version.
    :param pick: a registered balancer.
    :param tried: addresses that earlier attempts of the call went to.
    :returns: a ServerLoad, or None when no server admits the call.
    """
    for tier in (SAME_ZONE, SAME_REGION, OTHER_REGION):
        group = [load for load in loads if load.tier == tier]
        if not group:
            continue
        available = _available(group, now, tried)
        chosen = pick(available, now, random) if available else None
        if chosen is not None:
            return chosen
    return None


def _available(group, now, tried):
    """Return the servers of a tier that admit a call.

    Servers that earlier attempts went to are left out unless there are no
    others, and so are ejected servers.
    """
    candidates = [
        load for load in group if load.endpoint.address not in tried
    ] or group
    healthy = [load for load in candidates if load.ejected_until <= now]
    return [load for load in healthy or candidates if load.admits(now)]


def may_eject(load, loads, now):
    """Return whether a server's failures call for its ejection.

    No server is ejected when this would exceed ``MAX_EJECTED_FRACTION`` of
    the servers, so that misleading failures can't empty a service.
    """
    persistent = load.consecutive_failures >= EJECTION_CONSECUTIVE_FAILURES
    if not persistent and load.failure_rate < EJECTION_FAILURE_RATE:
        return False
    ejected = sum(1 for other in loads if other.ejected_until > now)
    return ejected + 1 <= MAX_EJECTED_FRACTION * len(loads)


@balancer('least_loaded')
def pick_least_loaded(loads, now, random):
    """Pick the cheaper of two servers that are drawn at random by weight."""
    if len(loads) == 1:
        return loads[0]
    first = _draw_by_weight(loads, now, random)
    second = _draw_by_weight(loads, now, random)
    return first if first.cost(now) <= second.cost(now) else second


def _draw_by_weight(loads, now, random):
    drawn = loads[int(random.random() * len(loads))]
    if random.random() < drawn.weight(now):
        return drawn
    return loads[int(random.random() * len(loads))]


@balancer('round_robin')
def pick_round_robin(loads, now, random):
    """Pick the server that was picked the fewest times.

    Ignores load and latency; the benches compare other balancers with it.
    """
    chosen = min(loads, key=lambda load: load.times_picked)
    chosen.times_picked += 1
    return chosen
