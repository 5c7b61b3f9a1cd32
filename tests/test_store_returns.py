"""Test what nodes go by after the store has returned from an older copy.

It loses what was written since, gives revisions out again, and says so by a
header, Store-Era. Its operator and the endpoints write theirs again.
"""

from collections import Counter
from contextlib import contextmanager
from dataclasses import replace
from json import loads
from random import Random

from poplarrack.blackboards import Facts
from poplarrack.blackboards import Sent
from poplarrack.controllers import store_departure_again
from poplarrack.decisions import StoreDeparture
from poplarrack.departures import MAX_STORE_DELAY_SECONDS
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.evidence import Verdict
from poplarrack.fetchers import Fetcher
from poplarrack.fetchers import read_configuration
from poplarrack.knowledge import apply_snapshot
from poplarrack.knowledge import Knowledge
from poplarrack.knowledge import merge_updates
from poplarrack.leases import Lease
from poplarrack.leases import put_under_lease
from poplarrack.leases import renew_lease
from poplarrack.members import Departure
from poplarrack.messages import Updates
from poplarrack.move_controllers import advance_moves
from poplarrack.moves import effective_share
from poplarrack.platform.store_client import PlatformStoreClient
from poplarrack.platforms import CONFIGURATION_PREFIX
from poplarrack.resources import encode_resource
from poplarrack.resources import MoveState
from poplarrack.snapshots import build_snapshot
from poplarrack.snapshots import diff_snapshots
from poplarrack.snapshots import Entry
from poplarrack.snapshots import Snapshot
from poplarrack.store_histories import describe_revision
from poplarrack.store_histories import history_of
from poplarrack.store_histories import MAX_COMPLAINTS
from poplarrack.store_histories import place_revision
from poplarrack.store_histories import StoreHistories
from poplarrack.stores import Compare
from poplarrack.stores import Operation
from poplarrack.topologies import derive_topology
from poplarrack.topologies import Topology
from tests.samples import member
from tests.samples import member_table
from tests.store_stand_in import running_store
from tests.support import assert_raises
from tests.support import build_load_tests
from tests.support import fixture
from tests.test_platform_adapter import CONFIG
from tests.test_platform_adapter import ORDER
from tests.test_platform_adapter import ROUTE
from tests.test_senders import SETTINGS

load_tests = build_load_tests(__name__)

MOVE_PATH = 'mesh/moves/front'
MOVE_KEY = CONFIGURATION_PREFIX + MOVE_PATH
NOW = 1_000.0
# Of the smallest installation.
READS_PER_SECOND, WRITES_PER_SECOND = 2_000, 400


def version(number):
    """Return a version of the configuration, told by a route's timeout."""
    route = {**ROUTE, 'timeout': f'{number}s'}
    routes = {**CONFIG['routes'], 'r-1': route}
    return {**CONFIG, 'version': f'r{number}', 'routes': routes}


class FollowedStore:
    """A stand-in of the store, and what a node that follows it knows."""

    def __init__(self, stand_in, address):
        self.stand_in = stand_in
        self.address = address
        self.client = self.connect()
        self.knowledge = Knowledge()
        self.fetcher = Fetcher(
            self.client, self.apply, lambda *result: None, Random(1)
        )

    def connect(self):
        """Return a new client of the store."""
        return PlatformStoreClient([self.address], sleep=lambda seconds: None)

    def apply(self, snapshot, read_at):
        """Apply a snapshot as a node does."""
        self.knowledge = apply_snapshot(self.knowledge, snapshot, read_at)

    def follow(self, batches=1):
        """Watch until a number of batches, or until the store returned."""
        client = self.client

        class Counted:
            """A client whose watch ends after some batches."""

            read_prefix = client.read_prefix

            def watch(self, prefix, revision):
                watch = client.watch(prefix, revision)
                for _ in range(batches):
                    yield next(watch)

        self.fetcher.client = Counted()
        try:
            self.fetcher.read_and_watch()
        except PoplarrackError as error:
            self.fetcher.on_error(error)

    def follow_return(self):
        """Go on after a return: notice it, and read again."""
        self.follow()
        self.follow(batches=0)

    def write_move(self, **changes):
        """Have the worker write the next record of the move."""
        entry = self.knowledge.configuration.snapshot.entries[MOVE_PATH]
        record = replace(self.move, **changes)
        self.client.write(
            [Compare(MOVE_KEY, entry.revision)],
            [Operation(MOVE_KEY, encode_resource(record))],
        )

    @property
    def move(self):
        return self.knowledge.configuration.moves['front']

    @property
    def timeout(self):
        """Return the number of the version in force."""
        routes = self.knowledge.configuration.routes
        return next(r.timeout_seconds for r in routes if r.name == 'r-1')

    def status(self):
        """Return the state of the move as the operator reads it."""
        item = self.stand_in.store.get('status/rollout/front')
        return item and loads(item.value)['state']

    def decide(self):
        """Return what the worker writes next."""
        facts = Facts(
            SETTINGS,
            member('n1'),
            knowledge=self.knowledge,
            topology=Topology(is_worker=True),
        )
        return list(advance_moves(facts, NOW))


@fixture
@contextmanager
def followed():
    with running_store() as (stand_in, address):
        yield FollowedStore(stand_in, address)


def start(followed, number=11):
    """Follow a store with a version and an order that was just written."""
    followed.stand_in.put('op/config', version(number))
    followed.stand_in.put('op/rollout/front', ORDER)
    followed.follow(batches=0)
    assert followed.timeout == number


# CONFIG: a version that the operator wrote after the return came into force
# once the revisions had passed those before it, which may take days.
def test_a_version_after_a_return_is_in_force_though_revisions_are_lower(
    followed,
):
    start(followed)
    followed.stand_in.save()
    for number in range(12, 15):
        followed.stand_in.put('op/config', version(number))
    followed.follow(batches=1)
    assert followed.timeout == 14
    before = followed.knowledge.configuration.revision
    followed.stand_in.go_back()
    followed.follow_return()
    # What the copy brought back isn't what the operator wants.
    assert followed.timeout == 14
    followed.stand_in.put('op/config', version(14))
    followed.stand_in.put('op/config', version(15))
    followed.follow()
    assert followed.timeout == 15
    after = followed.knowledge.configuration.revision
    assert history_of(after) == history_of(before) + 1
    assert after > before


# The same where the watch isn't told: its revision belongs to another history.
def test_a_version_after_a_return_is_in_force_though_revisions_have_passed(
    followed,
):
    start(followed)
    followed.stand_in.save()
    followed.stand_in.put('op/config', version(12))
    followed.follow()
    followed.stand_in.go_back()
    followed.stand_in.put('op/config', version(13))
    for number in range(9):
        followed.stand_in.put(f'servers/{number}', number)
    followed.follow_return()
    assert followed.timeout == 13


def test_a_snapshot_that_can_not_be_read_is_rejected(followed):
    start(followed)
    held = followed.knowledge
    revision = place_revision(1, 1)
    for path, value in (('bad', b'1'), (MOVE_PATH, b'1')):
        entries = [Entry(path, value, revision)]
        snapshot = build_snapshot(revision, entries, 12)
        after = apply_snapshot(held, snapshot)
        assert after.configuration is held.configuration
        assert after.rejection.revision == revision


def test_a_store_may_return_twice(followed):
    start(followed)
    followed.stand_in.save()
    for number in (12, 13, 14):
        followed.stand_in.put('op/config', version(number))
        followed.follow()
        followed.stand_in.go_back()
    followed.follow_return()
    assert followed.timeout >= 12
    followed.stand_in.put('op/config', version(15))
    followed.follow()
    assert followed.timeout == 15
    assert describe_revision(
        followed.knowledge.configuration.revision
    ).startswith('3:')


# A version with the content of an earlier one is another version.
def test_the_content_of_an_earlier_version_may_come_again(followed):
    start(followed)
    followed.stand_in.save()
    followed.stand_in.put('op/config', version(12))
    followed.follow()
    followed.stand_in.go_back()
    followed.stand_in.put('op/config', {**version(11), 'version': 'r13'})
    followed.follow_return()
    assert followed.timeout == 11


def test_a_read_whose_pages_are_of_two_histories_is_done_again(followed):
    start(followed)
    followed.stand_in.page_size = 1
    followed.stand_in.save()
    request, pages = followed.client.request, []

    def request_and_return(*arguments, **options):
        pages.append(request(*arguments, **options))
        if len(pages) == 1:
            followed.stand_in.go_back()
        return pages[-1]

    followed.client.request = request_and_return
    assert_raises(ErrorKind.COMPACTED, read_configuration, followed.client)
    snapshot, revision = read_configuration(followed.client)
    assert history_of(snapshot.revision) == history_of(revision) == 1


def test_a_late_answer_of_an_earlier_history_changes_nothing(followed):
    start(followed)
    client = followed.client
    followed.stand_in.save()
    followed.stand_in.go_back()
    followed.follow_return()
    newest, followed.stand_in.era = client.newest, 1
    assert_raises(ErrorKind.OUTCOME_UNKNOWN, read_configuration, client)
    assert_raises(ErrorKind.OUTCOME_UNKNOWN, client.grant_lease, 5.0)
    assert client.newest is newest
    assert client.histories.newest == 2


# A write went by a number that the store had given out for other content.
def test_no_write_goes_by_a_revision_of_an_earlier_history(followed):
    start(followed)
    followed.stand_in.save()
    followed.write_move(share=0.05, ordered_seconds=0.0)
    followed.follow()
    entry = followed.knowledge.configuration.snapshot.entries[MOVE_PATH]
    followed.stand_in.go_back()
    # Another node's write gets the same number.
    key = 'own/moves/front'
    followed.stand_in.store.transact((), [Operation(key, b'other')])
    assert followed.stand_in.store.get(key).mod_revision == entry.revision
    followed.client.grant_lease(5.0)
    operation = Operation(MOVE_KEY, encode_resource(followed.move))
    calls = len(followed.stand_in.calls)
    assert_raises(
        ErrorKind.CONFLICT,
        followed.client.write,
        [Compare(MOVE_KEY, entry.revision)],
        [operation],
    )
    assert len(followed.stand_in.calls) == calls
    assert followed.stand_in.store.get(key).value == b'other'


# Renewed, it would have kept another node's keys and not the own ones.
def test_a_lease_of_an_earlier_history_is_not_used(followed):
    client, stand_in = followed.client, followed.stand_in
    stand_in.save()
    held = renew_lease(Lease(), client, 5.0, NOW)
    stand_in.go_back()
    other = followed.connect()
    taken = renew_lease(Lease(), other, 5.0, NOW)
    assert taken.lease_id == held.lease_id
    followed.follow(batches=0)
    renewed = renew_lease(held, client, 5.0, NOW + 0.1)
    assert renewed.lease_id != held.lease_id
    # Nor where the answer to the renewal tells of the return.
    stand_in.go_back()
    renew_lease(Lease(), other, 5.0, NOW)
    again = renew_lease(renewed, client, 5.0, NOW + 10.0)
    assert again.history == 3
    assert stand_in.calls[-1] == 'POST /-/kv-lease'


# The value hung on another node's lease, and was gone with that.
def test_a_value_is_not_left_under_a_lease_of_an_earlier_history(followed):
    client, stand_in = followed.client, followed.stand_in
    stand_in.save()
    operation = Operation('own/x', b'1')
    held = put_under_lease(Lease(), client, 5.0, NOW, operation)
    stand_in.go_back()
    other = renew_lease(Lease(), followed.connect(), 5.0, NOW)
    assert other.lease_id == held.lease_id
    lease = put_under_lease(held, client, 5.0, NOW, operation)
    assert lease.lease_id != other.lease_id
    assert stand_in.store.get('own/x').lease_id == lease.lease_id


# A node that the store does not answer learns of the return from others.
def test_a_node_without_the_store_goes_by_its_peers(followed):
    start(followed)
    before = followed.knowledge
    followed.stand_in.save()
    followed.stand_in.put('op/config', version(12))
    followed.follow()
    cut_off = followed.knowledge
    followed.stand_in.go_back()
    followed.follow_return()
    assert followed.timeout == 12
    # A fetcher that had not seen the version brings the older one.
    other = FollowedStore(followed.stand_in, followed.address)
    other.knowledge, other.client.histories.first = before, 1
    other.follow(batches=0)
    assert other.timeout == 11
    assert history_of(other.knowledge.configuration.revision) == 1

    def merge(held, sent):
        snapshots = (item.configuration.snapshot for item in (held, sent))
        delta = diff_snapshots(Snapshot(), list(snapshots)[1])
        return merge_updates(held, Updates('x', delta)).knowledge

    def number_of(knowledge):
        routes = knowledge.configuration.routes
        return next(r.timeout_seconds for r in routes if r.name == 'r-1')

    assert merge(cut_off, other.knowledge) is not other.knowledge
    assert number_of(merge(cut_off, other.knowledge)) == 12
    assert number_of(merge(other.knowledge, cut_off)) == 12
    # A fresh node that finds both, in any order.
    for first, second in ((cut_off, other.knowledge),) * 2:
        assert number_of(merge(merge(Knowledge(), first), second)) == 12
        assert number_of(merge(merge(Knowledge(), second), first)) == 12
    followed.stand_in.put('op/config', version(13))
    followed.follow()
    assert number_of(merge(cut_off, followed.knowledge)) == 13


def end_move(followed, state):
    """Play a move to its end, after which the store returns without it."""
    followed.write_move(
        state=MoveState.ADVANCING,
        share=0.1,
        started_at=NOW,
        complete_by=NOW + 60,
        ordered_seconds=0.0,
        log=(f'{NOW:.1f} advancing 10%: x',),
    )
    followed.follow()
    share = 1.0 if state is MoveState.COMPLETED else 0.0
    followed.write_move(
        state=state,
        share=share,
        ended_at=NOW + 9,
        log=(*followed.move.log, f'{NOW + 9:.1f} {state.value}: x'),
    )
    followed.follow()
    assert followed.move.state is state


def play_end(followed, state, status, has_order):
    """Return the store to before a move ended, with or without its order."""
    followed.stand_in.put('op/config', version(11))
    followed.stand_in.save()
    start(followed)
    if has_order:
        followed.stand_in.save()
    end_move(followed, state)
    move_id = followed.move.move_id
    followed.stand_in.go_back()
    followed.follow_return()
    assert followed.move.state is state and followed.move.outdated
    if not has_order:
        assert followed.decide() == []
        followed.stand_in.put('servers/x', 1)
        followed.stand_in.put('op/rollout/front', ORDER)
        followed.follow()
    assert (followed.move.state, followed.move.move_id) == (state, move_id)
    [decision] = followed.decide()
    followed.client.write(
        [Compare(MOVE_KEY, decision.revision)],
        [Operation(MOVE_KEY, encode_resource(decision.move))],
    )
    assert followed.status() == status
    followed.follow()
    assert followed.move.state is state and not followed.move.outdated
    assert followed.decide() == []


# A version that had been taken back got calls again, and one that was done
# was started again.
def test_an_end_outlives_its_record_and_its_order():
    for state, status in (
        (MoveState.COMPLETED, 'completed'),
        (MoveState.WITHDRAWN, 'rolled_back'),
    ):
        for has_order in (True, False):
            with running_store() as store:
                play_end(FollowedStore(*store), state, status, has_order)


# Evidence that was recorded and is gone counted as none.
def test_a_move_under_way_goes_on_from_its_last_record(followed):
    start(followed)
    followed.write_move(
        state=MoveState.ADVANCING,
        share=0.05,
        ordered_seconds=0.0,
        started_at=NOW - 50,
        complete_by=NOW + 50,
        log=(f'{NOW - 50:.1f} advancing 5%: x',),
    )
    followed.follow()
    followed.stand_in.save()
    followed.write_move(
        share=0.25, log=(*followed.move.log, f'{NOW:.1f} advancing 25%: x')
    )
    followed.follow()
    verdict = Verdict(followed.move.move_id, 'r-1', 'failures', 99.0, NOW, 'n')
    followed.knowledge = merge_updates(
        followed.knowledge, Updates('x', verdicts=(verdict,))
    ).knowledge
    followed.stand_in.go_back()
    followed.follow_return()
    assert followed.move.share == 0.25
    verdicts = followed.knowledge.verdicts
    assert effective_share(followed.move, verdicts) == 0.0


# The id of an order is made of its revision, which may be given out again.
def test_another_order_with_a_number_that_recurs_is_another_move(followed):
    followed.stand_in.put('op/config', version(11))
    followed.stand_in.save()
    start(followed, 12)
    end_move(followed, MoveState.WITHDRAWN)
    verdict = Verdict(followed.move.move_id, 'r-1', 'failures', 99.0, NOW, 'n')
    followed.knowledge = merge_updates(
        followed.knowledge, Updates('x', verdicts=(verdict,))
    ).knowledge
    followed.stand_in.go_back()
    followed.stand_in.put('op/config', version(12))
    order = {**ORDER, 'target_version': 'v9'}
    followed.stand_in.put('op/rollout/front', order)
    followed.follow_return()
    assert followed.move.to_version == 'v9'
    assert followed.move.state is MoveState.PENDING
    assert followed.move.move_id != verdict.move_id
    assert followed.move.order_id == verdict.move_id


def test_a_leave_is_stored_again_after_a_return():
    departure = Departure('i-1', 1, 5, NOW - 60)
    own = member('n1', departure=departure)

    def decide(revision, now=NOW, **sent):
        held = Knowledge()
        snapshot = Snapshot(revision)
        configuration = replace(held.configuration, snapshot=snapshot)
        facts = Facts(
            None,
            own,
            knowledge=replace(held, configuration=configuration),
            sent=Sent(**sent),
        )
        return list(store_departure_again(facts, now))

    returned = place_revision(1, 7)
    assert decide(7) == []
    assert decide(returned) == [StoreDeparture(1)]
    assert decide(returned, departure_history=1) == []
    assert decide(returned, now=NOW + 3_600) == []


def count_calls(nodes, zones, random):
    """Return the most reads and writes in a second after a return.

    All nodes have had a leave in the last minutes, and all notice at once.
    """
    regions = ('north', 'south')
    members = [
        member(f'n{i}', zone=f'z{i % zones}', region=regions[i % zones % 2])
        for i in range(nodes)
    ]
    table = member_table(*members)
    reads, writes = 0, Counter()
    for own in members:
        topology = derive_topology(own, table, regions[0])
        # A watch, a range and the next watch.
        reads += 3 * topology.is_fetcher
        # A lease and the value that hangs on it.
        writes[0] += 2 * topology.is_zone_representative
        writes[int(random.random() * MAX_STORE_DELAY_SECONDS)] += 2
    return reads, max(writes.values())


# 1,000 nodes that notice within a second would get 429.
def test_a_return_stays_within_the_rates_of_the_store():
    for nodes, zones in ((10, 4), (75, 4), (195, 8), (1_000, 8)):
        reads, writes = count_calls(nodes, zones, Random(nodes))
        assert reads <= READS_PER_SECOND, (nodes, reads)
        assert writes <= WRITES_PER_SECOND, (nodes, writes)
        print(f'{nodes} nodes: {reads} reads, {writes} writes in a second')


# A zone that was evacuated got requests until it was evacuated again.
def test_an_evacuation_outlives_its_order(followed):
    start(followed)
    followed.stand_in.save()
    followed.stand_in.put('op/evacuate/a', {})
    followed.follow()

    def zones():
        return set(followed.knowledge.configuration.evacuated_zones)

    assert zones() == {'a'}
    followed.stand_in.go_back()
    followed.follow_return()
    assert zones() == {'a'}
    followed.stand_in.put('op/rollout/front', ORDER)
    followed.follow()
    assert zones() == {'a'}
    followed.stand_in.put('op/evacuate/a', {})
    followed.follow()
    assert zones() == {'a'}
    followed.stand_in.delete('op/evacuate/a')
    followed.follow()
    assert zones() == set()


# Other stores name no history, and a header may be anything.
def test_a_header_that_is_no_number_says_nothing(followed):
    followed.stand_in.era = None
    start(followed)
    assert not history_of(followed.knowledge.configuration.revision)
    followed.stand_in.put('op/config', version(12))
    followed.follow()
    assert followed.timeout == 12
    histories = StoreHistories()
    assert [histories.hear(text) for text in (None, 'x', '-1', '9' * 30)] == [
        0
    ] * 4
    assert histories.hear('7') == 7
    assert [histories.hear(text) for text in (None, 'x', '³')] == [7] * 3
    assert histories.hear('9') == 9 and histories.newest == 9
    assert histories.hear('8') == 8 and histories.newest == 9
    for _ in range(10 * MAX_COMPLAINTS):
        histories.hear('x')
    assert histories.complaints == MAX_COMPLAINTS


def test_histories_may_be_numbered_by_the_time(followed):
    followed.stand_in.era = 1_796_000_000_000
    start(followed)
    followed.stand_in.save()
    followed.stand_in.put('op/config', version(12))
    followed.follow()
    followed.stand_in.go_back()
    followed.stand_in.era += 10**9
    followed.follow_return()
    followed.stand_in.put('op/config', version(13))
    followed.follow()
    assert followed.timeout == 13
    revision = followed.knowledge.configuration.revision
    assert revision < 2**63


# Revisions count histories from the first, so that those of earlier builds,
# which know of none, compare with them before the first return.
def test_the_first_history_may_be_told_later(followed):
    followed.stand_in.era = 5
    start(followed)
    assert not history_of(followed.knowledge.configuration.revision)
    followed.client.histories.hear_first(4)
    followed.follow_return()
    assert history_of(followed.knowledge.configuration.revision) == 1
