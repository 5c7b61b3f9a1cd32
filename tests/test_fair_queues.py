"""Test that organisations get fair shares of an endpoint with too little room.

The load: twice what the endpoint runs, from twenty organisations, one of
which sends seven times what the others do.
"""

from collections import Counter
from heapq import heappop
from heapq import heappush
from random import Random

from poplarrack.admissions import Admission
from poplarrack.fair_queues import FairShares
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

SLOTS = 6
RUN_SECONDS = 0.1
PATIENCE_SECONDS = 1.0
ORGANISATIONS = 20
HOT_FACTOR = 7
SECONDS = 60.0


class Door:
    """An Admission, with or without FairShares, in simulated time.

    ``served`` has the seconds of slots by organisation.
    """

    def __init__(self, shares):
        self.admission = Admission(
            SLOTS, order='deadline' if shares is None else 'target'
        )
        self.admission.service_seconds = RUN_SECONDS
        self.shares = shares
        self.served = Counter()
        self.ends = []

    def arrive(self, organisation, rank, run_seconds, now):
        """Admit a request as a Receiver does."""
        admission, tag = self.admission, 0.0
        if self.shares is not None:
            tag = self.shares.tag_of(rank, organisation)
        if not admission.admits(rank, PATIENCE_SECONDS, now, tag=tag):
            return
        ticket = None
        if self.shares is not None:
            ticket = self.shares.charge(rank, organisation, 'route')
        expires_at = now + PATIENCE_SECONDS
        request = (organisation, ticket, run_seconds)
        admission.enqueue(
            request,
            rank,
            expires_at,
            expires_at,
            expires_at,
            tag,
        )
        if self.shares is not None and admission.displaced(now):
            item = admission.displaced(now)
            admission.discard(item)
            self.shares.refund(item.received[1])
        self.serve(now)

    def serve(self, now):
        """Run what there is room for."""
        while True:
            item, too_late = self.admission.dequeue(now)
            for late in too_late:
                if self.shares is not None:
                    self.shares.refund(late.received[1])
            if item is None:
                return
            self.admission.running += 1
            if self.shares is not None:
                self.shares.begin(item.received[1])
            heappush(self.ends, (now + item.received[2], id(item), item))

    def advance(self, now):
        """End the requests that have run by now."""
        while self.ends and self.ends[0][0] <= now:
            at, _, item = heappop(self.ends)
            organisation, ticket, run_seconds = item.received
            self.admission.running -= 1
            self.served[organisation] += run_seconds
            if self.shares is not None:
                self.shares.end(ticket, run_seconds)
                self.shares.learn('route', run_seconds)
            self.serve(at)


def play(shares, load=2.0, seed=1, rank_of=lambda organisation: 0):
    """Return the seconds of slots that each organisation had, and asked."""
    random, door = Random(seed), Door(shares)
    weights = [HOT_FACTOR, *[1] * (ORGANISATIONS - 1)]
    asked, now = Counter(), 0.0
    while now < SECONDS:
        now += random.expovariate(load * SLOTS / RUN_SECONDS)
        (organisation,) = random.choices(range(ORGANISATIONS), weights)
        name = f'o{organisation}'
        run_seconds = RUN_SECONDS * random.uniform(0.5, 1.5)
        asked[name] += run_seconds
        door.advance(now)
        door.arrive(name, rank_of(name), run_seconds, now)
    return door.served, asked


def max_min_shares(asked, room):
    """Return what each would get if the least ones were served first."""
    shares, left = {}, room
    for number, (name, wanted) in enumerate(
        sorted(asked.items(), key=lambda item: item[1])
    ):
        shares[name] = min(wanted, left / (len(asked) - number))
        left -= shares[name]
    return shares


def worst_tenth(served, fair):
    """Return the mean part of its fair share that the worst tenth got."""
    fractions = sorted(served[name] / fair[name] for name in fair)
    worst = fractions[: max(1, len(fractions) // 10)]
    return sum(worst) / len(worst)


# Starved: an organisation that sends seven times its usual took the room of
# the others.
def test_one_that_sends_many_takes_only_what_others_leave():
    first_come, _ = play(None)
    served, asked = play(FairShares())
    total = sum(served.values())
    fair = max_min_shares(asked, total)
    assert worst_tenth(served, fair) >= 0.9, worst_tenth(served, fair)
    assert worst_tenth(first_come, fair) < 0.9
    assert total >= 0.97 * sum(first_come.values())
    assert min(served.values()) >= total / len(asked) / 4


def test_room_that_others_leave_is_used():
    served, asked = play(FairShares(), load=0.7)
    assert sum(served.values()) >= 0.97 * sum(asked.values())
    assert served['o0'] >= 0.95 * asked['o0']


def test_a_better_rank_goes_before_any_share():
    served, asked = play(
        FairShares(), rank_of=lambda name: 0 if name == 'o0' else 1
    )
    assert served['o0'] >= 0.95 * asked['o0']


def test_what_did_not_run_is_not_charged():
    shares = FairShares()
    ticket = shares.charge(0, 'a', 'r')
    assert shares.tag_of(0, 'a') > shares.tag_of(0, 'b')
    shares.refund(ticket)
    assert shares.tag_of(0, 'a') == shares.tag_of(0, 'b')
    for _ in range(10):
        assert shares.charge(0, '', 'r').tag == 0.0


def test_a_request_that_others_left_too_late_is_displaced():
    admission = Admission(1)
    admission.running = 1
    admission.service_seconds = 0.1
    for number, rank in enumerate((1, 1, 0, 0)):
        admission.enqueue(number, rank, 9.0, 0.35, tag=float(number))
    assert admission.displaced(0.0).received == 1
    admission.discard(admission.displaced(0.0))
    assert admission.displaced(0.0) is None
