"""Test that a key leads to the organisation that holds it, and to no other."""

from dataclasses import replace
import time
import tracemalloc

from hypothesis import given
from hypothesis import strategies

from poplarrack.blackboards import Facts
from poplarrack.blackboards import may_have_missed_a_version
from poplarrack.blackboards import PlatformState
from poplarrack.organisations import build_key_index
from poplarrack.organisations import read_key
from poplarrack.resources import digest_key
from poplarrack.resources import Organisation
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)


def organisation(name, *keys, **fields):
    digests = tuple(digest_key(key.encode()) for key in keys)
    return Organisation(name, digests, **fields)


def index_of(*organisations):
    return build_key_index({item.name: item for item in organisations})


# UNASKED: a key that moves from one organisation to another in a chain of
# versions must name its holder in the version in force, never the one before.
def test_a_key_names_its_holder_of_the_version_in_force():
    before = index_of(organisation('a', 'k1', 'k2'), organisation('b', 'k3'))
    after = index_of(organisation('a', 'k1'), organisation('b', 'k2', 'k3'))
    assert before.find(b'k2').name == 'a'
    assert after.find(b'k2').name == 'b'
    assert after.find(b'k1').name == 'a'
    assert index_of(organisation('b', 'k3')).find(b'k2') is None


def test_a_key_of_two_organisations_is_neithers():
    index = index_of(
        organisation('a', 'k1', 'k2'),
        organisation('b', 'k2', 'k3'),
        organisation('c', 'k2', 'k4', 'k4'),
    )
    assert index.find(b'k2') is None
    assert index.shared == {digest_key(b'k2'): ('a', 'b', 'c')}
    names = [index.find(key).name for key in (b'k1', b'k3', b'k4')]
    assert names == ['a', 'b', 'c']


def test_odd_headers_name_one_key_or_none():
    for values, key in (
        ((b'Bearer k1',), b'k1'),
        ((b'bEARER  k1 ',), b'k1'),
        ((b'\tBearer\tk1',), b'k1'),
        ((b'Bearer k1', b'Bearer k1'), b'k1'),
        ((b'Bearer k1', b'Bearer k2'), None),
        ((b'Bearer k1', b'Basic k1'), None),
        ((b'Bearer k1 k2',), None),
        ((b'Bearer k1,Bearer k2',), None),
        ((b'Bearer',), None),
        ((b'k1',), None),
        ((), None),
    ):
        headers = [(b'host', b'x'), *((b'authorization', v) for v in values)]
        assert read_key(headers) == key, values


@given(strategies.lists(strategies.binary(max_size=40), max_size=3))
def test_any_header_is_read_without_an_error(values):
    index = index_of(organisation('a', 'k1'))
    key = read_key([(b'authorization', value) for value in values])
    assert index.find(key) is None or key == b'k1'


# A version of 100,000 keys must not hold up the calls of the nodes that take
# it in.
def test_many_keys_are_taken_in_quickly():
    organisations = [
        organisation(f'o{n}', *(f'{n}-{k}' for k in range(1_000)))
        for n in range(100)
    ]
    tracemalloc.start()
    began = time.process_time()
    index = index_of(*organisations)
    seconds = time.process_time() - began
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert index.find(b'42-7').name == 'o42'
    assert size < 16e6 and seconds < 2.0, (size, seconds)


# A node that is cut off from the store can't know that a key was revoked.
def test_a_node_knows_that_it_may_have_missed_a_revocation():
    facts = Facts(None, None, source_heard_at=100.0)
    assert not may_have_missed_a_version(facts, 5.0, 104.0)
    assert may_have_missed_a_version(facts, 5.0, 106.0)
    watching = replace(facts, platform=PlatformState(True, 900.0))
    assert not may_have_missed_a_version(watching, 5.0, 904.0)
    assert may_have_missed_a_version(watching, 5.0, 906.0)
