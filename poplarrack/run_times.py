"""Learn how long the requests of each route run.

An endpoint's service time is the mean over all routes. Where one of them runs
for a fraction of it, no endpoint would seem fast enough for its target
latency, and where one runs for a multiple, all of them would.
"""

# Least weight of a new observation: the plain mean of the first ones changes
# over to a moving average.
MIN_WEIGHT = 0.05
MIN_FACTOR = 0.05
MAX_FACTOR = 20.0
# Without an offer of a route for this long, what is known of its run times may
# have passed.
TRIAL_INTERVAL_SECONDS = 1.0


class RunTimes:
    """The run times of routes, in multiples of the endpoints' service times.

    ``factors`` has the mean factor and the number of observations by service
    and route, ``offered_at`` when a request was last offered to an endpoint,
    in seconds since the epoch.
    """

    def __init__(self):
        self.factors = {}
        self.offered_at = {}

    def record_offer(self, service, route, now):
        """Record that a request is offered to an endpoint."""
        self.offered_at[service, route] = now

    def is_trial_due(self, service, route, now):
        """Return whether no request was offered for a while."""
        offered_at = self.offered_at.get((service, route), 0.0)
        return now - offered_at >= TRIAL_INTERVAL_SECONDS

    def factor_of(self, service, route):
        """Return the factor of a route, 1 until it is known."""
        factor, _ = self.factors.get((service, route), (1.0, 0))
        return factor

    def record(self, service, route, run_seconds, service_seconds):
        """Record how long a request ran.

        :param service_seconds: the service time of its endpoint.
        """
        if run_seconds <= 0 or service_seconds <= 0:
            return
        observed = run_seconds / service_seconds
        observed = min(MAX_FACTOR, max(MIN_FACTOR, observed))
        factor, count = self.factors.get((service, route), (1.0, 0))
        weight = max(MIN_WEIGHT, 1 / (count + 1))
        factor += weight * (observed - factor)
        self.factors[(service, route)] = (factor, count + 1)

    def keep_only(self, routes):
        """Forget the routes that are not among some names."""
        self.factors = {
            key: value
            for key, value in self.factors.items()
            if key[1] in routes
        }
        self.offered_at = {
            key: value
            for key, value in self.offered_at.items()
            if key[1] in routes
        }
