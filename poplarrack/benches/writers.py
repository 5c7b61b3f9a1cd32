"""Measure writers to the platform: lost answers, lapsed leases, races."""

from collections import Counter
from dataclasses import replace
from random import Random

from poplarrack.benches.cases import bench_case
from poplarrack.benches.cases import Bound
from poplarrack.benches.cases import Result
from poplarrack.benches.scenarios import build_changes
from poplarrack.benches.scenarios import NONE
from poplarrack.benches.scenarios import route_change
from poplarrack.editors import Edit
from poplarrack.editors import Editor
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.platforms import CONFIGURATION_PREFIX
from poplarrack.stand_ins.fakes import DirectPlatformClient
from poplarrack.stand_ins.platforms import PlatformStandIn
from poplarrack.stores import Compare
from poplarrack.stores import Operation


@bench_case('lost-write-answers')
def lost_write_answers(seed, writes=300):
    """Answers lost after the write took effect: each runs once."""
    random = Random(seed)
    stand_in = PlatformStandIn(lambda: 0.0, 1e9, 1e9)
    client = DirectPlatformClient(stand_in, random, lambda: 0.0)
    said = Counter()
    for number in range(writes):
        lost = random.choice([0, 0, 1, 2, 9])
        stand_in.faults = replace(stand_in.faults, lost_answers=lost)
        key = f'{CONFIGURATION_PREFIX}bench/{number}'
        try:
            revision = client.write([Compare(key, 0)], [Operation(key, b'1')])
        except PoplarrackError as error:
            said[error.kind] += 1
            continue
        said['done'] += 1
        said['untrue'] += client.read_key(key).mod_revision != revision
    stand_in.faults = replace(stand_in.faults, lost_answers=0)
    doubled = sum(
        len(
            stand_in.store.versions.get(f'{CONFIGURATION_PREFIX}bench/{n}', ())
        )
        > 1
        for n in range(writes)
    )
    figures = {
        'writes': writes,
        'said_done': said['done'],
        'said_unknown': said[ErrorKind.OUTCOME_UNKNOWN],
        'said_conflict_falsely': said[ErrorKind.CONFLICT],
        'said_done_falsely': said['untrue'],
        'written_twice': doubled,
    }
    names = ('said_conflict_falsely', 'said_done_falsely', 'written_twice')
    return Result(figures, dict.fromkeys(names, NONE))


@bench_case('paused-leaseholder')
def paused_leaseholder(seed, rounds=300):
    """A holder paused past its lease wakes and writes: never by chance."""
    random, now = Random(seed), [0.0]
    stand_in = PlatformStandIn(lambda: now[0], 1e9, 1e9)
    paused, other = (
        DirectPlatformClient(stand_in, random, lambda: now[0])
        for _ in range(2)
    )
    key = CONFIGURATION_PREFIX + 'bench/held'
    revision = paused.write((), [Operation(key, b'0')])
    overwritten = fenced = 0
    for number in range(rounds):
        lease = paused.grant_lease(5)
        held = revision
        now[0] += random.uniform(0, 20)
        taken_over = not paused.renew_lease(lease)
        if taken_over:
            revision = other.write(
                [Compare(key, revision)], [Operation(key, b'other')]
            )
        try:
            revision = paused.write(
                [Compare(key, held)], [Operation(key, b'%d' % number)]
            )
            overwritten += taken_over
        except PoplarrackError as error:
            fenced += error.kind is ErrorKind.CONFLICT
    figures = {
        'rounds': rounds,
        'fenced': fenced,
        'overwritten': overwritten,
    }
    return Result(figures, {'overwritten': NONE, 'fenced': Bound(least=1)})


@bench_case('operator-race')
def operator_race(seed, rounds=120):
    """Operators on the same settings: no lost update, one is told."""
    random = Random(seed)
    stand_in = PlatformStandIn(lambda: 0.0, 1e9, 1e9)
    editors = [
        Editor(DirectPlatformClient(stand_in, random, lambda: 0.0), 'bench')
        for _ in range(2)
    ]
    editors[0].write(Edit(build_changes(3)))
    lost = told = invalid = 0
    for turn in range(rounds):
        one, other = random.sample(editors, 2)
        path, value = next(iter(route_change(turn % 3, 9.0 + turn).items()))
        seen = one.read().snapshot.entries[path].revision
        rival = route_change(random.randrange(3), 500.0 - turn / 10)
        other.write(Edit(rival))
        clashes = path in rival
        try:
            one.write(Edit({path: value}, {path: seen}))
            lost += clashes
        except PoplarrackError as error:
            told += error.kind is ErrorKind.CONFLICT
            invalid += error.kind is not ErrorKind.CONFLICT or not clashes
    figures = {
        'rounds': rounds,
        'told_of_conflict': told,
        'updates_lost': lost,
        'refused_wrongly': invalid,
    }
    bounds = {'updates_lost': NONE, 'refused_wrongly': NONE}
    return Result(figures, {**bounds, 'told_of_conflict': Bound(least=1)})
