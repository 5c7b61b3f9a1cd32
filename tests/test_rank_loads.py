"""Test what the turns of ranks and a full endpoint take for granted."""

from poplarrack.admissions import Admission
from poplarrack.rank_turns import RankTurns
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

MAX_RANKS = 1_000


# Memory: requests of other nodes may have any rank, and each was kept.
def test_ranks_that_no_one_asks_for_any_more_are_forgotten():
    turns = RankTurns()
    for rank in range(10 * MAX_RANKS):
        turns.ask(rank, 10.0 + rank)
    assert len(turns.loads) < MAX_RANKS


# Refused: a request that ran for longer than FULL_SECONDS made its endpoint
# seem full though nothing waited there.
def test_an_endpoint_whose_queue_is_empty_is_not_full():
    admission = Admission(2, order='target')
    admission.observe(1.0)
    admission.begin('slow', 10.0)
    assert not admission.is_full(10.9)
    admission.begin('slow', 10.9)
    assert not admission.is_full(11.5)
