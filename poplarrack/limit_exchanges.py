"""Exchange the counts and totals of organisations' calls between nodes."""

from poplarrack.errors import PoplarrackError
from poplarrack.limit_messages import CallCounts
from poplarrack.limit_messages import CallTotals

EXCHANGE_SECONDS = 0.3
# How often a node without calls asks for the totals.
KEEPALIVE_SECONDS = 0.6


class LimitExchange:
    """Tells the next nodes up the tree what a node and those below counted.

    :param node: the Node.
    :param limits: its CallLimits.
    """

    def __init__(self, node, limits):
        self.node = node
        self.limits = limits
        self.exchanged_at = 0.0
        self.sent_at = 0.0

    def tick(self, now):
        """Exchange if it is due and an organisation has a limit."""
        limits = self.limits
        if now - self.exchanged_at < EXCHANGE_SECONDS or not any(
            item.calls_per_second for item in limits.organisations.values()
        ):
            return
        self.exchanged_at = now
        topology = self.node.facts.topology
        receivers = receivers_of(topology)
        limits.forget(self._tells_elsewhere(topology))
        is_lead = topology.is_lead or not receivers
        counts = limits.collect_counts()
        limits.step(is_lead, topology.far_leads, now)
        if receivers and (counts or now - self.sent_at >= KEEPALIVE_SECONDS):
            self.sent_at = now
            self.node.start_task(self._send(receivers, counts, is_lead))

    def _tells_elsewhere(self, topology):
        """Return the nodes that left or tell their counts to another one.

        The calls of one that is only silent are reserved.
        """
        below = (*topology.children, *topology.bridges, *topology.far_leads)
        members = self.node.knowledge.members
        return [
            node_id
            for node_id in self.limits.reporters
            if node_id not in below
            and node_id not in members.suspects
            and node_id in members.members
            and members.members[node_id].present
        ]

    async def _send(self, receivers, counts, is_lead):
        message = CallCounts(self.node.settings.node_id, counts)
        for receiver in receivers:
            try:
                answer = await self.node.call(receiver, 'Count', message)
            except PoplarrackError:
                if not is_lead:
                    self.limits.restore_counts(counts, self.node.clock())
                continue
            if not is_lead:
                self.limits.learn_totals(answer, self.node.clock())


def receivers_of(topology):
    """Return the nodes that a node of a Topology tells its counts."""
    if topology.parent:
        return (topology.parent,)
    if topology.is_lead:
        return topology.far_leads
    return (topology.lead,) if topology.lead else ()


def serve_counts(node, message):
    """Record the CallCounts of another node and return the CallTotals."""
    limits = getattr(node.dispatcher, 'call_limits', None)
    if limits is None:
        return CallTotals()
    now = node.clock()
    passes_on = message.node_id not in node.facts.topology.far_leads
    limits.learn_counts(message.node_id, message.counts, passes_on, now)
    return limits.tell(now)
