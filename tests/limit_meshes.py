"""Simulate the calls of an organisation through the CallLimits of a mesh."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from random import Random

from poplarrack.call_limits import CallLimits
from poplarrack.limit_exchanges import EXCHANGE_SECONDS
from poplarrack.limit_exchanges import KEEPALIVE_SECONDS
from poplarrack.resources import Organisation

ZONES = 4
REGIONS = 2
FAN_OUT = 8
STEP_SECONDS = 0.05


@dataclass
class SimulatedNode:
    """A node, and whether it is cut off from all others."""

    limits: CallLimits
    next_exchange: float
    sent_at: float = 0.0
    cut: bool = False
    down_until: float = 0.0


@dataclass
class Mesh:
    """Nodes in the zones of two regions, and the calls that passed.

    ``passed`` are the times of calls that passed, ``bucket_passed`` counts
    what one bucket in the middle would have let pass.
    """

    size: int
    random: Random
    organisation: Organisation
    skew: float = 1.0
    window_seconds: float = 5.0
    now: float = 0.0
    nodes: list = field(default_factory=list)
    passed: deque = field(default_factory=deque)
    made: int = 0
    bucket: float = 0.0
    bucket_passed: int = 0
    regions_cut: bool = False
    shares: list = field(default_factory=list)

    def __post_init__(self):
        self.nodes = [self._start() for _ in range(self.size)]
        self.shares = [
            self.random.random() ** self.skew for _ in range(self.size)
        ]
        self.bucket = self.organisation.burst
        self.set_limit(self.organisation)

    def _start(self):
        limits = CallLimits(Random(self.random.random()), self.window_seconds)
        offset = self.random.random() * EXCHANGE_SECONDS
        return SimulatedNode(limits, self.now + offset)

    def set_limit(self, organisation):
        """Put another version of the organisation's limit in force."""
        self.organisation = organisation
        by_name = {organisation.name: organisation}
        for node in self.nodes:
            node.limits.set_organisations(by_name, self.size)

    def restart(self, index, down_seconds=0.3):
        """Start a node again, which knows nothing."""
        self.nodes[index] = node = self._start()
        node.down_until = self.now + down_seconds
        self.set_limit(self.organisation)

    def _is_lead(self, index):
        return index < REGIONS

    def _receivers(self, index):
        """Return the indexes of the nodes that a node tells its counts."""
        zone, rank = index % ZONES, index // ZONES
        if rank:
            return [((rank - 1) // FAN_OUT) * ZONES + zone]
        if self._is_lead(index):
            return [1 - index]
        return [zone % REGIONS]

    def _reaches(self, index, other):
        node, there = self.nodes[index], self.nodes[other]
        across = self.regions_cut and index % REGIONS != other % REGIONS
        up = there.down_until <= self.now
        return up and not (node.cut or there.cut or across)

    def _exchange(self, index):
        node = self.nodes[index]
        far_leads = [str(1 - index)] if self._is_lead(index) else []
        counts = node.limits.collect_counts()
        node.limits.step(self._is_lead(index), far_leads, self.now)
        if not counts and self.now - node.sent_at < KEEPALIVE_SECONDS:
            return
        node.sent_at = self.now
        for other in self._receivers(index):
            if not self._reaches(index, other):
                node.limits.restore_counts(counts, self.now)
                continue
            is_lead = self._is_lead(index)
            above = self.nodes[other].limits
            above.learn_counts(str(index), counts, not is_lead, self.now)
            if not is_lead:
                node.limits.learn_totals(above.tell(self.now), self.now)

    def run(self, seconds, per_second, zone_shares=(1.0,) * ZONES):
        """Make calls at a rate over all nodes for a while."""
        end = self.now + seconds
        weights = [
            share * zone_shares[index % ZONES]
            for index, share in enumerate(self.shares)
        ]
        while self.now < end:
            self._step(per_second, weights)

    def _step(self, per_second, weights):
        self.now += STEP_SECONDS
        organisation = self.organisation
        rate = organisation.calls_per_second
        self.bucket = min(
            organisation.burst, self.bucket + rate * STEP_SECONDS
        )
        for index, node in enumerate(self.nodes):
            if node.down_until <= self.now >= node.next_exchange:
                node.next_exchange = self.now + EXCHANGE_SECONDS
                self._exchange(index)
        expected = per_second * STEP_SECONDS
        number = int(expected) + (self.random.random() < expected % 1)
        for index in self.random.choices(range(self.size), weights, k=number):
            self._call(index)

    def _call(self, index):
        node = self.nodes[index]
        if node.down_until > self.now:
            return
        self.made += 1
        if self.bucket >= 1:
            self.bucket -= 1
            self.bucket_passed += 1
        if node.limits.admit(self.organisation, self.now) is None:
            self.passed.append(self.now)

    def most_in_window(self, seconds, since=0.0):
        """Return the most calls that passed in any window after a time."""
        window, most = deque(), 0
        for at in self.passed:
            if at < since:
                continue
            window.append(at)
            while window[0] <= at - seconds:
                window.popleft()
            most = max(most, len(window))
        return most
