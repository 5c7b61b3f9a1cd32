"""Hold the state of the requests at a receiving node."""

from dataclasses import dataclass

from poplarrack.exchanges import RoutedRequest
from poplarrack.fair_queues import Ticket
from poplarrack.fetched_bodies import FetchedBody


@dataclass(slots=True, eq=False)
class ReceivedRequest:
    """A request that is queued or runs at the receiving node.

    ``reply`` is called once with the Delivery, and with the BodyPipe of a long
    answer if ``in_pieces`` allows for that. ``upload`` is the BodyPipe of a
    long request, ``fetched`` its FetchedBody while that is under way.
    ``queue_entry`` and ``timer`` are set while the request is queued,
    ``exchange`` while it runs, ``ticket`` in a mesh of organisations.
    ``has_begun`` says that its answer is passed on in pieces, as
    ``answer_body``, or was refused by its head.
    """

    request: RoutedRequest
    reply: object
    deadline: float
    upload: object = None
    in_pieces: bool = False
    has_begun: bool = False
    answer_body: object = None
    received_at: float = 0.0
    fetched: FetchedBody | None = None
    queue_entry: object = None
    ticket: Ticket | None = None
    timer: object = None
    exchange: object = None
    sent_at: float = 0.0
    ended: bool = False
    receiver: object = None

    def give_up(self):
        """End it, since the budget has no room for its body."""
        self.receiver.give_up(self)


class RunningRepeats:
    """Tells which fraction of the running requests are repeats.

    Repeatable requests and others are told apart: nearly all repeats are
    repeatable, so that one fraction of both would be too low for them.
    """

    def __init__(self):
        self.running = {False: 0, True: 0}
        self.repeats = {False: 0, True: 0}

    def add(self, request):
        """Count a RoutedRequest that begins to run."""
        self.running[request.repeatable] += 1
        self.repeats[request.repeatable] += request.is_repeat

    def remove(self, request):
        """Count a RoutedRequest that no longer runs."""
        self.running[request.repeatable] -= 1
        self.repeats[request.repeatable] -= request.is_repeat

    def fraction(self):
        """Return the fraction of repeats, that of the greater kind."""
        return max(
            self.repeats[kind] / max(1, running)
            for kind, running in self.running.items()
        )
