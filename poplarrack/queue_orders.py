"""Order the requests that wait for an endpoint.

An order tells which of those of one rank runs next, and how many of them would
run before a new one. The queue is sorted by rank, by the tag of the fair
shares, by deadline and by arrival.
"""

QUEUE_ORDERS = {}


def queue_order(name):
    """Register a class as the queue order of a name."""

    def register(cls):
        QUEUE_ORDERS[name] = cls()
        return cls

    return register


@queue_order('deadline')
class ByDeadline:
    """By deadline, but first what can be in time.

    When the queue is too long, strict order would make every answer late.
    """

    def next_index(self, queue, service_seconds, now):
        """Return the index of the request to run next.

        :param queue: the QueuedRequests of one rank in their order; not
            empty.
        :param service_seconds: the mean time that a request runs.
        """
        for index, item in enumerate(queue):
            if item.target_at - now >= service_seconds:
                return index
        return 0

    def count_ahead(self, queue, rank, tag, now):
        """Return how many of those that wait run before a new request."""
        return sum(1 for item in queue if (item.rank, item.tag) <= (rank, tag))


@queue_order('target')
class ByTarget:
    """By target latency, as long as that can be met, and by fair shares.

    Load answered: more of one rank than can be in time, on routes whose
    callers wait differently long for an answer that comes late. By deadline,
    all requests of one route would be behind those of another.
    """

    def next_index(self, queue, service_seconds, now):
        """Return the index of the request to run next.

        Of those that can be in time, it is the one whose target is the next,
        within the organisation whose turn it is.
        """
        in_time = [
            (item.tag, item.target_at, index)
            for index, item in enumerate(queue)
            if may_be_in_time(item, now)
        ]
        return min(in_time, default=(0.0, 0.0, 0))[-1]

    def count_ahead(self, queue, rank, tag, now):
        """Return how many of those that wait run before a new request."""
        better = sum(1 for item in queue if item.rank < rank)
        waiting = [item for item in queue if item.rank == rank]
        in_time = [item for item in waiting if may_be_in_time(item, now)]
        if len(in_time) < len(waiting):
            # There is too much for all. What is late gives way, and a queue
            # of it must not keep away what could be in time.
            return better + sum(1 for item in in_time if 0 < item.tag < tag)
        return better + sum(1 for item in waiting if item.tag <= tag)


def may_be_in_time(item, now):
    """Return whether a request's answer can still meet its target latency.

    By what requests of its route usually take: brief calls beside long ones
    would seem too late by the mean of all.
    """
    return not item.target_at or item.target_at - now >= item.run_seconds
