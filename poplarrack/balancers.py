"""Choose the backend server for a call by what the node itself saw."""

from dataclasses import dataclass

from xxhash import xxh64_intdigest

from poplarrack.limits import AdaptiveLimit
from poplarrack.members import Endpoint
from poplarrack.members import EndpointState

BALANCERS = {}
LATENCY_WEIGHT = 0.1
FAILURE_WEIGHT = 0.1
EJECT_FAILURES = 5
EJECT_RATE = 0.5
EJECT_FIRST_SECONDS = 1.0
EJECT_MOST_SECONDS = 30.0
EJECT_MOST_SHARE = 0.34
COLD_WEIGHT = 0.1
CONNECTIONS_HEADROOM = 0.7
LEAST_SUBSET = 3

SAME_ZONE, SAME_REGION, OTHER_REGION = 0, 1, 2


def balancer(name):
    """Register a function that picks among backend servers."""

    def register(pick):
        BALANCERS[name] = pick
        return pick

    return register


class ServerLoad:
    """What the node saw of one backend server."""

    def __init__(self, endpoint, tier, warm_up_seconds):
        self.endpoint = endpoint
        self.tier = tier
        self.warm_up_seconds = warm_up_seconds
        self.in_flight = 0
        self.turns = 0
        self.limit = AdaptiveLimit(endpoint.slots)
        self.latency = 0.0
        self.failure_rate = 0.0
        self.failures_in_row = 0
        self.ejections = 0
        self.ejected_until = 0.0

    def weight(self, now):
        """Return the part of its full load that a server may get.

        Rises over the warm-up from ``COLD_WEIGHT`` to 1.
        """
        age = now - self.endpoint.announced_at
        if age >= self.warm_up_seconds:
            return 1.0
        return max(COLD_WEIGHT, age / self.warm_up_seconds)

    def is_cold(self, now):
        """Say whether the server is still warming up."""
        return now - self.endpoint.announced_at < self.warm_up_seconds

    def admits(self, now):
        """Say whether the server takes one more call of this node."""
        limit = max(1.0, self.limit.limit * self.weight(now))
        return self.in_flight < limit

    def score(self, now):
        """Return the expected wait, lower is better."""
        latency = self.latency or 0.001
        penalty = 1.0 + 4.0 * self.failure_rate
        load = (self.in_flight + 1) / self.weight(now)
        return load * latency * penalty

    def on_success(self, latency):
        """Take in an answered call."""
        self.limit.on_success(self.in_flight)
        self.failures_in_row = 0
        self.failure_rate *= 1 - FAILURE_WEIGHT
        if not self.latency:
            self.latency = latency
        self.latency += LATENCY_WEIGHT * (latency - self.latency)

    def on_failure(self):
        """Take in a failed call."""
        self.failures_in_row += 1
        self.failure_rate += FAILURE_WEIGHT * (1 - self.failure_rate)

    def eject(self, now):
        """Leave the server out for a time that doubles."""
        doubled = EJECT_FIRST_SECONDS * 2 ** min(self.ejections, 10)
        self.ejected_until = now + min(EJECT_MOST_SECONDS, doubled)
        self.ejections += 1
        self.failures_in_row = 0


@dataclass(frozen=True)
class Locality:
    """Where a node stands."""

    node_id: str
    region: str
    zone: str

    def tier(self, member):
        """Return the locality of another node's backend server."""
        if member.region != self.region:
            return OTHER_REGION
        return SAME_ZONE if member.zone == self.zone else SAME_REGION


@dataclass(frozen=True)
class Candidate:
    """A backend server that a node may use, and its locality."""

    endpoint: Endpoint
    tier: int


@dataclass(frozen=True)
class CallerCounts:
    """How many nodes call a service, in all and in the own zone."""

    total: int
    near: int


def subset_size(servers, callers, max_connections):
    """Return how many servers each caller's node may connect to.

    Keeps the expected connections of a server under its bound with
    headroom for a storm of reconnects; each pair is counted as one.
    """
    room = CONNECTIONS_HEADROOM * max_connections * servers
    return min(servers, int(room / max(1, callers)))


def derive_candidates(locality, members, callers_of):
    """Derive the servers by service and version that a node may use.

    :param members: an iterable of Member.
    :param callers_of: a function from service to CallerCounts.
    :returns: a mapping of (service, version) to a tuple of Candidates.
    """
    groups = {}
    for member in members:
        endpoint = member.endpoint
        usable = member.present and endpoint is not None
        if usable and endpoint.state is EndpointState.SERVING:
            key = (endpoint.service, endpoint.version)
            candidate = Candidate(endpoint, locality.tier(member))
            groups.setdefault(key, []).append(candidate)
    return {
        key: _subset(locality.node_id, group, callers_of(key[0]))
        for key, group in groups.items()
    }


def _subset(node_id, group, callers):
    """Keep some servers: near ones as far as they have room, and others.

    The same servers for a node whoever else comes and goes, by
    rendezvous hashing.
    """
    bound = group[0].endpoint.max_connections
    size = max(LEAST_SUBSET, subset_size(len(group), callers.total, bound))
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
    spill = min(len(rest), max(1, size // 3))
    wanted = min(size - spill, subset_size(len(near), callers.near, bound))
    kept = max(1, wanted)
    return tuple(near[:kept] + rest[: size - kept])


def choose_server(loads, pick, now, random, tried=()):
    """Choose a server: nearest tier first, the next when it is full.

    :param loads: ServerLoads of one version.
    :param pick: a registered balancer.
    :param tried: addresses that this call went to before.
    :returns: a ServerLoad, or None when none admits the call.
    """
    for tier in (SAME_ZONE, SAME_REGION, OTHER_REGION):
        group = [load for load in loads if load.tier == tier]
        if not group:
            continue
        open_group = _open(group, now, tried)
        chosen = pick(open_group, now, random) if open_group else None
        if chosen is not None:
            return chosen
    return None


def _open(group, now, tried):
    fresh = [
        load for load in group if load.endpoint.address not in tried
    ] or group
    healthy = [load for load in fresh if load.ejected_until <= now]
    return [load for load in healthy or fresh if load.admits(now)]


def may_eject(load, loads, now):
    """Say whether a server's failures leave it out for a time.

    Not when too large a share of the servers is out already: a signal
    that misleads must not empty a service.
    """
    many = load.failures_in_row >= EJECT_FAILURES
    if not many and load.failure_rate < EJECT_RATE:
        return False
    out = sum(1 for other in loads if other.ejected_until > now)
    return out + 1 <= EJECT_MOST_SHARE * len(loads)


@balancer('least_loaded')
def pick_least_loaded(loads, now, random):
    """Pick the better of two drawn by weight."""
    if len(loads) == 1:
        return loads[0]
    one = _draw(loads, now, random)
    other = _draw(loads, now, random)
    return one if one.score(now) <= other.score(now) else other


def _draw(loads, now, random):
    drawn = loads[int(random.random() * len(loads))]
    if random.random() < drawn.weight(now):
        return drawn
    return loads[int(random.random() * len(loads))]


@balancer('round_robin')
def pick_round_robin(loads, now, random):
    """Pick the one used least lately; the baseline."""
    chosen = min(loads, key=lambda load: load.turns)
    chosen.turns += 1
    return chosen
