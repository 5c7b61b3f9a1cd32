"""Order the requests that wait for an endpoint by organisations' fair shares.

Load answered: many organisations send more than an endpoint can run, and one
of them many times its usual.

This is start-time fair queueing. Each request has a start tag: how much its
organisation has had or waits for, in seconds of a slot, but not less than what
the organisations that are served have had. The least tag runs next, so that an
organisation with few requests goes before the later ones of another with many.
Room that nobody else wants is used by whoever wants it, at no later cost.

A request costs the time for which it holds a slot. What its body and its
answer take of the link counts nothing here: the body has crossed the link when
the endpoint's node decides. "Multi Resource Fairness: Problems and
Challenges" (Klusacek, Rudova, Jaros) shows that time alone is unfair where
another resource runs out first; the shares of one resource, of the other and
of the greater one (dominant shares) are compared in the tests.
"""

from dataclasses import dataclass
from dataclasses import field

# Weight of a new observation in the mean time that a route runs.
RUN_TIME_WEIGHT = 0.1
INITIAL_RUN_SECONDS = 0.05
# Organisations that are remembered for a rank while none of them waits, and
# routes.
MAX_REMEMBERED = 256


@dataclass(slots=True)
class RankShares:
    """The shares of the organisations of one rank.

    ``served`` is the greatest start tag that was served, ``finishes`` are the
    tags at which the organisations' next requests start.
    """

    served: float = 0.0
    finishes: dict = field(default_factory=dict)

    def start_of(self, organisation):
        """Return the start tag of the organisation's next request."""
        return max(self.served, self.finishes.get(organisation, 0.0))


@dataclass(slots=True)
class Ticket:
    """What a request was charged, and its place in the order."""

    rank: int = 0
    organisation: str = ''
    tag: float = 0.0
    cost: float = 0.0


class FairShares:
    """The shares that organisations have of an endpoint."""

    def __init__(self):
        self.by_rank = {}
        self.run_seconds = {}

    def _shares(self, rank):
        shares = self.by_rank.get(rank)
        if shares is None:
            shares = self.by_rank[rank] = RankShares()
        return shares

    def tag_of(self, rank, organisation):
        """Return the start tag that a request would have.

        A request without an organisation goes before those of organisations
        that have had more than others.
        """
        shares = self.by_rank.get(rank)
        return shares.start_of(organisation) if shares else 0.0

    def beyond_share(self, rank, organisation):
        """Return the seconds that an organisation had beyond the others."""
        shares = self.by_rank.get(rank)
        return shares.start_of(organisation) - shares.served if shares else 0.0

    def charge(self, rank, organisation, route):
        """Charge an organisation for a request that waits or runs.

        :returns: the Ticket.
        """
        shares = self._shares(rank)
        tag = shares.start_of(organisation)
        if not organisation:
            return Ticket(rank, '', tag)
        cost = self.run_seconds.get(route, INITIAL_RUN_SECONDS)
        shares.finishes[organisation] = tag + cost
        return Ticket(rank, organisation, tag, cost)

    def refund(self, ticket):
        """Take back the charge for a request that did not run."""
        self._add(ticket, -ticket.cost)

    def _add(self, ticket, seconds):
        finishes = self._shares(ticket.rank).finishes
        if ticket.organisation in finishes:
            finishes[ticket.organisation] += seconds

    def begin(self, ticket):
        """Record that a request starts to run."""
        shares = self._shares(ticket.rank)
        shares.served = max(shares.served, ticket.tag)
        if len(shares.finishes) > MAX_REMEMBERED:
            shares.finishes = {
                name: finish
                for name, finish in shares.finishes.items()
                if finish > shares.served
            }

    def end(self, ticket, seconds):
        """Charge what a request took in place of what was expected."""
        self._add(ticket, seconds - ticket.cost)

    def learn(self, route, seconds):
        """Record how long a request of a route ran."""
        if len(self.run_seconds) > MAX_REMEMBERED:
            self.run_seconds.clear()
        mean = self.run_seconds.get(route, seconds)
        self.run_seconds[route] = mean + RUN_TIME_WEIGHT * (seconds - mean)
