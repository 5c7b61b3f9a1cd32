"""Bench cases of writers: lost answers, expired leases, write conflicts."""

from collections import Counter
from dataclasses import replace
from random import Random

from poplarrack.benches.cases import bench_case
from poplarrack.benches.cases import Bound
from poplarrack.benches.cases import Result
from poplarrack.benches.scenarios import build_changes
from poplarrack.benches.scenarios import route_change
from poplarrack.benches.scenarios import ZERO_BOUND
from poplarrack.editors import Edit
from poplarrack.editors import Editor
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.platforms import CONFIGURATION_PREFIX
from poplarrack.stand_ins.fakes import DirectPlatformClient
from poplarrack.stand_ins.platforms import PlatformStandIn
from poplarrack.stand_ins.platforms import UNLIMITED_PER_SECOND
from poplarrack.stores import Compare
from poplarrack.stores import Operation


@bench_case('lost-write-answers')
def lost_write_answers(seed, writes=300):
    """Answers lost after the write took effect: each runs once."""
    random = Random(seed)
    platform = PlatformStandIn(
        lambda: 0.0, UNLIMITED_PER_SECOND, UNLIMITED_PER_SECOND
    )
    client = DirectPlatformClient(platform, random, lambda: 0.0)
    outcomes = Counter()
    for number in range(writes):
        lost_answers = random.choice([0, 0, 1, 2, 9])
        platform.faults = replace(platform.faults, lost_answers=lost_answers)
        key = f'{CONFIGURATION_PREFIX}bench/{number}'
        try:
            revision = client.write([Compare(key, 0)], [Operation(key, b'1')])
        except PoplarrackError as error:
            outcomes[error.kind] += 1
            continue
        outcomes['done'] += 1
        outcomes['wrong_revision'] += (
            client.read_key(key).mod_revision != revision
        )
    platform.faults = replace(platform.faults, lost_answers=0)
    written_twice = sum(
        len(
            platform.store.versions.get(f'{CONFIGURATION_PREFIX}bench/{n}', ())
        )
        > 1
        for n in range(writes)
    )
    figures = {
        'writes': writes,
        'said_done': outcomes['done'],
        'said_unknown': outcomes[ErrorKind.OUTCOME_UNKNOWN],
        'said_conflict_falsely': outcomes[ErrorKind.CONFLICT],
        'said_done_falsely': outcomes['wrong_revision'],
        'written_twice': written_twice,
    }
    names = ('said_conflict_falsely', 'said_done_falsely', 'written_twice')
    return Result(figures, dict.fromkeys(names, ZERO_BOUND))


@bench_case('paused-leaseholder')
def paused_leaseholder(seed, rounds=300):
    """A holder paused past its lease wakes and writes: never by chance."""
    random, now = Random(seed), [0.0]
    platform = PlatformStandIn(
        lambda: now[0], UNLIMITED_PER_SECOND, UNLIMITED_PER_SECOND
    )
    holder, successor = (
        DirectPlatformClient(platform, random, lambda: now[0])
        for _ in range(2)
    )
    key = CONFIGURATION_PREFIX + 'bench/held'
    revision = holder.write((), [Operation(key, b'0')])
    overwritten = fenced = 0
    for number in range(rounds):
        lease = holder.grant_lease(5)
        read_revision = revision
        now[0] += random.uniform(0, 20)
        taken_over = not holder.renew_lease(lease)
        if taken_over:
            revision = successor.write(
                [Compare(key, revision)], [Operation(key, b'other')]
            )
        try:
            revision = holder.write(
                [Compare(key, read_revision)], [Operation(key, b'%d' % number)]
            )
            overwritten += taken_over
        except PoplarrackError as error:
            fenced += error.kind is ErrorKind.CONFLICT
    figures = {
        'rounds': rounds,
        'fenced': fenced,
        'overwritten': overwritten,
    }
    return Result(
        figures, {'overwritten': ZERO_BOUND, 'fenced': Bound(minimum=1)}
    )


@bench_case('operator-race')
def operator_race(seed, rounds=120):
    """Operators on the same settings: no lost update, one is told."""
    random = Random(seed)
    platform = PlatformStandIn(
        lambda: 0.0, UNLIMITED_PER_SECOND, UNLIMITED_PER_SECOND
    )
    editors = [
        Editor(DirectPlatformClient(platform, random, lambda: 0.0), 'bench')
        for _ in range(2)
    ]
    editors[0].write(Edit(build_changes(3)))
    lost = conflicts = wrongly_refused = 0
    for turn in range(rounds):
        first, second = random.sample(editors, 2)
        path, value = next(iter(route_change(turn % 3, 9.0 + turn).items()))
        revision = first.read().snapshot.entries[path].revision
        concurrent_change = route_change(
            random.randrange(3), 500.0 - turn / 10
        )
        second.write(Edit(concurrent_change))
        overlaps = path in concurrent_change
        try:
            first.write(Edit({path: value}, {path: revision}))
            lost += overlaps
        except PoplarrackError as error:
            conflicts += error.kind is ErrorKind.CONFLICT
            wrongly_refused += (
                error.kind is not ErrorKind.CONFLICT or not overlaps
            )
    figures = {
        'rounds': rounds,
        'told_of_conflict': conflicts,
        'updates_lost': lost,
        'refused_wrongly': wrongly_refused,
    }
    bounds = {'updates_lost': ZERO_BOUND, 'refused_wrongly': ZERO_BOUND}
    return Result(figures, {**bounds, 'told_of_conflict': Bound(minimum=1)})
