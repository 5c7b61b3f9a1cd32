"""Measure how configuration reaches nodes, on fakes and real processes."""

import asyncio
from collections import Counter
from dataclasses import replace
from json import dumps
from random import Random
import time

from poplarrack.benches import bench_case
from poplarrack.benches import Bound
from poplarrack.benches import percentile
from poplarrack.benches import Result
from poplarrack.editors import Edit
from poplarrack.editors import Editor
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.fakes import DirectPlatformClient
from poplarrack.fakes import HEADER_BYTES
from poplarrack.fakes import run_virtual
from poplarrack.fakes import start_mesh
from poplarrack.fetchers import HEAD_KEY
from poplarrack.loads import read_usage
from poplarrack.members import Endpoint
from poplarrack.members import EndpointState
from poplarrack.meshes import await_condition
from poplarrack.meshes import Mesh
from poplarrack.platform_stand_ins import PlatformStandIn
from poplarrack.platforms import CONFIGURATION_PREFIX
from poplarrack.stores import Compare
from poplarrack.stores import Operation

IN_FORCE_SECONDS = 5.0
LEAVE_SECONDS = 3.0
NODE_BYTES_PER_SECOND = 3000
NODE_CPU_SHARE = 0.02
NODE_CONTROL_MB = 32
PLATFORM_CALLS_PER_SECOND = 2000
SERVICES = 51
ZONES = (
    ('south', 'a'),
    ('south', 'b'),
    ('south', 'c'),
    ('north', 'd'),
    ('north', 'e'),
)
NONE = Bound(most=0)


def build_changes(services=SERVICES):
    """Return settings of services, each with a route."""
    changes = {}
    for number in range(services):
        name = f'service-{number}'
        service = {'name': name, 'version': 'v1'}
        changes[f'bench/services/{name}'] = dumps(service).encode()
        changes.update(route_change(number, 5.0))
    return changes


def route_change(number, timeout_seconds):
    """Return a change of one route."""
    name = f'service-{number}'
    route = {
        'name': name,
        'prefix': f'/{name}',
        'service': name,
        'timeout_seconds': timeout_seconds,
    }
    return {f'bench/routes/{name}': dumps(route).encode()}


def change_one(mesh, turn):
    """Change one route as an operator would; return the revision."""
    return mesh.put(route_change(turn % SERVICES, 6.0 + turn))


class Witness:
    """Count broken promises after every tick of every node."""

    def __init__(self, mesh):
        self.revisions = {}
        self.went_back = 0
        self.dangling = 0
        self.in_part = 0
        self.digests = {}
        mesh.observers.append(self.observe)

    def observe(self, node):
        """Check a node's version against what it and others had."""
        configuration = node.knowledge.configuration
        name = (node.settings.node_id, node.facts.own.incarnation)
        self.went_back += configuration.revision < self.revisions.get(name, 0)
        if configuration.revision == self.revisions.get(name):
            return
        self.revisions[name] = configuration.revision
        digest = configuration.snapshot.digest
        first = self.digests.setdefault(configuration.revision, digest)
        self.in_part += first != digest
        self.dangling += any(
            route.service not in configuration.services
            for route in configuration.routes
        )

    def figures(self):
        """Return the counts by figure name."""
        return {
            'went_back': self.went_back,
            'dangling_routes': self.dangling,
            'applied_in_part': self.in_part,
        }

    @staticmethod
    def bounds():
        """Return the bounds of zero."""
        names = ('went_back', 'dangling_routes', 'applied_in_part')
        return dict.fromkeys(names, NONE)


def on_fakes(seed, nodes, scenario):
    """Run a scenario of (mesh, witness, random) to its figures."""

    async def build(clock):
        mesh = await start_mesh(clock, seed, nodes, ZONES, build_changes())
        witness = Witness(mesh)
        figures = await scenario(mesh, Random(seed))
        return {**figures, **witness.figures()}

    return run_virtual(build)


def held_within(figures, name='seconds_to_all', most=IN_FORCE_SECONDS):
    """Return a result with the bound on time and those of zero."""
    return Result(figures, {name: Bound(most=most), **Witness.bounds()})


def platform_calls(mesh):
    """Return the calls to the platform so far."""
    return sum(mesh.stand_in.counts.values())


@bench_case('convergence-thin')
def convergence_thin(seed, nodes=8):
    """Time from a change put to in force on all nodes, real processes."""
    settings = build_changes(4)
    given = {path: value.decode() for path, value in settings.items()}
    text = '{' + ','.join(f'"{p}": {v}' for p, v in given.items()) + '}'
    with Mesh('bench') as mesh:
        mesh.start_platform()
        mesh.ctl('put_all', text)
        start_real_nodes(mesh, nodes)
        times = []
        for turn in range(5):
            times.append(_time_change(mesh, turn + seed))
    figures = {
        'nodes': nodes,
        'seconds_to_all': max(times),
        'seconds_to_all_p50': percentile(times, 0.5),
    }
    bounds = {'seconds_to_all': Bound(most=IN_FORCE_SECONDS)}
    return Result(figures, bounds)


def start_real_nodes(mesh, nodes):
    """Start nodes as processes in two zones and wait for them."""
    seeds = []
    for number in range(nodes):
        zone = 'ab'[number % 2]
        node = mesh.start_node(
            f'{zone}-{number}',
            'south',
            zone,
            seeds[:4],
            log_level='WARNING',
            platform={'region': 'south'},
        )
        seeds.append(node.peer_address)
    mesh.await_ready(60)
    for node_id in mesh.nodes:
        await_condition(
            lambda node_id=node_id: (
                len(mesh.dump(node_id)['members']) == nodes
            ),
            60,
            'members',
        )


def _time_change(mesh, turn):
    """Change a route; return seconds until every node serves it."""
    change = route_change(turn % 4, 6.0 + turn)
    client = DirectWriter(mesh.platform_address)
    began = time.monotonic()
    revision = client.write(change)

    def in_force():
        for handle in mesh.nodes.values():
            page = mesh.fetch(handle.operator_address, '/ready')
            if not page or page['revision'] < revision:
                return False
        return True

    await_condition(in_force, 30, 'version in force')
    return time.monotonic() - began


class DirectWriter:
    """Write settings over the platform's protocol."""

    def __init__(self, address):
        from poplarrack.platforms import PlatformClient

        self.client = PlatformClient([address])

    def write(self, changes):
        """Write changes unfenced; return the revision."""
        operations = [
            Operation(CONFIGURATION_PREFIX + path, value)
            for path, value in changes.items()
        ]
        return self.client.write((), [*operations, Operation(HEAD_KEY, b'')])


@bench_case('convergence')
def convergence(seed, nodes=120):
    """A change over growing meshes on fakes, against all-watch."""
    figures, sizes = {}, (nodes // 4, nodes // 2, nodes)
    for size in sizes:
        for name, value in on_fakes(seed, size, _measure_changes).items():
            figures[f'{name}_{size}'] = value
    largest = sizes[-1]
    slope = (
        figures[f'seconds_to_all_{largest}']
        - figures[f'seconds_to_all_{sizes[0]}']
    ) / (largest - sizes[0])
    last = figures[f'seconds_to_all_{largest}']
    figures['seconds_to_all_worked_out_1000'] = last + slope * (1000 - largest)
    # Every node watching the platform gets a whole snapshot each change.
    whole = sum(len(value) for value in build_changes().values())
    figures['baseline_link_bytes_a_change'] = whole * largest * 2 // 5
    figures['baseline_watches'] = largest
    figures['link_bytes_ratio'] = (
        figures[f'link_bytes_a_change_{largest}']
        / figures['baseline_link_bytes_a_change']
    )
    bounds = {
        'seconds_to_all_worked_out_1000': Bound(most=IN_FORCE_SECONDS),
        f'seconds_to_all_{largest}': Bound(most=IN_FORCE_SECONDS),
        f'idle_bytes_per_second_most_{largest}': Bound(
            most=NODE_BYTES_PER_SECOND
        ),
        **{
            f'{name}_{size}': NONE
            for name in Witness.bounds()
            for size in sizes
        },
    }
    return Result(figures, bounds)


async def _measure_changes(mesh, random):
    calls, began = platform_calls(mesh), mesh.clock()
    sent = mesh.tally.bytes.copy()
    link = mesh.tally.link_bytes
    await asyncio.sleep(20)
    spent = mesh.clock() - began
    idle = (mesh.tally.bytes - sent).values()
    idle_link = (mesh.tally.link_bytes - link) / spent
    calls = (platform_calls(mesh) - calls) / spent
    times, crossed = [], []
    for turn in range(8):
        link, at = mesh.tally.link_bytes, mesh.clock()
        times.append(await mesh.await_revision(change_one(mesh, turn), 30))
        steady = idle_link * (mesh.clock() - at)
        crossed.append(mesh.tally.link_bytes - link - steady)
        await asyncio.sleep(2 + random.random())
    return {
        'seconds_to_all': max(times),
        'idle_bytes_per_second_a_node': sum(idle) / spent / len(mesh.nodes),
        'idle_bytes_per_second_most': max(idle) / spent,
        'idle_link_bytes_per_second': idle_link,
        'platform_calls_per_second': calls,
        'link_bytes_a_change': percentile(crossed, 0.5),
    }


@bench_case('endpoint-churn')
def endpoint_churn(seed, nodes=60):
    """Servers announced and leaving: out of use on all nodes in time."""

    async def scenario(mesh, random):
        times, sent = [], sum(mesh.tally.bytes.values())
        for turn in range(20):
            node = mesh.nodes[random.choice(list(mesh.nodes))]
            address = f'127.0.0.1:{turn + 10}'
            at = mesh.clock()
            server = Endpoint(
                *('service-1', 'v1', address, 10, 110),
                EndpointState.SERVING,
                at,
            )
            node.announce(server)
            await mesh.await_condition(
                lambda address=address: _users(mesh, address) == nodes, 10
            )
            node.forget_endpoint()
            times.append(
                await mesh.await_condition(
                    lambda address=address: not _users(mesh, address), 10
                )
            )
        grown = sum(mesh.tally.bytes.values()) - sent
        return {
            'seconds_to_all': max(times),
            'bytes_an_event_a_node': grown / 40 / nodes,
        }

    return held_within(on_fakes(seed, nodes, scenario), most=LEAVE_SECONDS)


def _users(mesh, address):
    return sum(
        any(
            item.endpoint.address == address
            for group in node.dispatcher.table.candidates.values()
            for item in group
        )
        for node in mesh.nodes.values()
    )


def set_outage(mesh, outage):
    """Take the platform away, or give it back."""
    mesh.stand_in.faults = replace(mesh.stand_in.faults, outage=outage)


@bench_case('store-outage')
def store_outage(seed, nodes=60, outage_seconds=600):
    """The platform away at a change: nodes serve on, then catch up."""

    async def scenario(mesh, random):
        set_outage(mesh, True)
        revision = change_one(mesh, seed)
        fresh = mesh.add_node('a-fresh', 'south', 'a', list(mesh.nodes)[:3])
        await asyncio.sleep(outage_seconds)
        served = sum(node.ready for node in mesh.nodes.values())
        ready = fresh.ready
        calls = platform_calls(mesh)
        set_outage(mesh, False)
        took = await mesh.await_revision(revision, 60)
        await asyncio.sleep(5)
        return {
            'seconds_to_all': took,
            'nodes_not_serving': nodes + 1 - served,
            'fresh_not_ready': int(not ready),
            'platform_calls_in_recovery': platform_calls(mesh) - calls,
        }

    figures = on_fakes(seed, nodes, scenario)
    result = held_within(figures)
    more = {'nodes_not_serving': NONE, 'fresh_not_ready': NONE}
    return replace(result, bounds={**result.bounds, **more})


@bench_case('crossed-updates')
def crossed_updates(seed, nodes=60):
    """Loss, repeats and delays of messages: nothing goes back."""

    async def scenario(mesh, random):
        disturbance = mesh.disturbance
        disturbance.loss, disturbance.repeat = 0.1, 0.1
        disturbance.late_seconds = 0.5
        times = []
        for turn in range(15):
            revision = change_one(mesh, turn)
            if turn % 3 == 0:
                times.append(await mesh.await_revision(revision, 60))
            else:
                await asyncio.sleep(random.random())
        return {'seconds_to_all': max(times)}

    return held_within(on_fakes(seed, nodes, scenario))


@bench_case('bad-config')
def bad_config(seed, nodes=60):
    """Versions that do not hold together: refused whole, then mended."""

    async def scenario(mesh, random):
        applied, shown, times = 0, 0, []
        for turn in range(6):
            before = max(mesh.revisions().values())
            name = f'bench/routes/service-{turn}'
            bad = random.choice(
                [b'{', b'{"name":"x","prefix":"/","service":"none"}', b'[]']
            )
            mesh.put({name: bad})
            await asyncio.sleep(6)
            applied += sum(
                revision > before for revision in mesh.revisions().values()
            )
            summaries = mesh.stand_in.store.range('/poplarrack/zones/')
            shown += sum(b'"reasons"' in item.value for item in summaries)
            mended = mesh.put(route_change(turn, 7.0 + turn))
            times.append(await mesh.await_revision(mended, 30))
        return {
            'bad_versions_applied': applied,
            'zones_that_showed_it': shown / 6,
            'seconds_to_all': max(times),
        }

    result = held_within(on_fakes(seed, nodes, scenario))
    more = {
        'bad_versions_applied': NONE,
        'zones_that_showed_it': Bound(least=1),
    }
    return replace(result, bounds={**result.bounds, **more})


def cut_off(mesh, chosen, wanted):
    """Cut the chosen places from the others and from the platform."""
    names = [
        name
        for name, node in mesh.nodes.items()
        if chosen((node.settings.region, node.settings.zone))
    ]
    for name in names:
        mesh.clients[name].cut = wanted
    mesh.disturbance.cut = None
    if wanted:
        mesh.disturbance.cut = lambda a, b: chosen(a) != chosen(b)
    return names


async def run_cut(mesh, random, chosen, seconds):
    """Cut a part off, change settings, heal; return the figures."""
    names = cut_off(mesh, chosen, True)
    held = max(mesh.revisions().values())
    revision = 0
    for turn in range(10):
        revision = change_one(mesh, turn)
        await asyncio.sleep(seconds / 10)
    fresh = f'{mesh.nodes[names[0]].settings.zone}-fresh'
    place = mesh.nodes[names[0]].settings
    mesh.add_node(fresh, place.region, place.zone, names[:3])
    mesh.clients[fresh].cut = True
    await asyncio.sleep(10)
    inside = [*names, fresh]
    behind = sum(mesh.revisions()[name] < held for name in inside)
    idle = sum(not mesh.nodes[name].ready for name in inside)
    others = [name for name in mesh.nodes if name not in inside]
    stale = sum(mesh.revisions()[name] < revision for name in others)
    link = mesh.tally.link_bytes
    cut_off(mesh, chosen, False)
    took = await mesh.await_revision(revision, 60)
    await asyncio.sleep(5)
    return {
        'seconds_to_all': took,
        'inside_behind': behind,
        'inside_not_serving': idle,
        'outside_behind': stale,
        'link_bytes_in_healing': mesh.tally.link_bytes - link,
    }


def cut_result(figures):
    """Return the result of a cut with its bounds."""
    result = held_within(figures)
    # A tenth of the shared 30 Mbit/s over the 5 s of healing.
    burst = Bound(most=0.1 * 30e6 / 8 * IN_FORCE_SECONDS)
    more = {
        'inside_behind': NONE,
        'inside_not_serving': NONE,
        'outside_behind': NONE,
        'link_bytes_in_healing': burst,
    }
    return replace(result, bounds={**result.bounds, **more})


@bench_case('zone-cut')
def zone_cut(seed, nodes=60, cut_seconds=600):
    """A zone alone, then healed: served throughout, all on the newest."""
    zone = ZONES[seed % len(ZONES)]

    async def scenario(mesh, random):
        return await run_cut(
            mesh, random, lambda place: place == zone, cut_seconds
        )

    return cut_result(on_fakes(seed, nodes, scenario))


@bench_case('region-cut')
def region_cut(seed, nodes=60, cut_seconds=600):
    """The far region alone, then healed, without a burst over the link."""

    async def scenario(mesh, random):
        return await run_cut(
            mesh, random, lambda place: place[0] == 'north', cut_seconds
        )

    return cut_result(on_fakes(seed, nodes, scenario))


@bench_case('reconnect-storm')
def reconnect_storm(seed, nodes=100):
    """A zone's and a rack's nodes restarted at once; time to recover."""

    async def scenario(mesh, random):
        zone = ZONES[seed % len(ZONES)][1]
        rack = random.sample(
            [name for name in mesh.nodes if not name.startswith(zone)], 10
        )
        herd = [n for n in mesh.nodes if n.startswith(zone)] + rack
        places = {name: mesh.nodes[name].settings for name in herd}
        for name in herd:
            mesh.kill(name)
        calls, at = platform_calls(mesh), mesh.clock()
        seeds = list(mesh.nodes)[:5]
        for name in herd:
            mesh.add_node(name, places[name].region, places[name].zone, seeds)
        revision = change_one(mesh, seed)
        took = await mesh.await_revision(revision, 60)
        whole = took + await mesh.await_condition(
            lambda: _all_know_the_new(mesh, herd), 60
        )
        await asyncio.sleep(10)
        rate = (platform_calls(mesh) - calls) / (mesh.clock() - at)
        return {
            'nodes_restarted': len(herd),
            'seconds_to_all': took,
            'seconds_to_whole_membership': whole,
            'platform_calls_per_second': rate,
        }

    result = held_within(on_fakes(seed, nodes, scenario))
    more = {'platform_calls_per_second': Bound(most=PLATFORM_CALLS_PER_SECOND)}
    return replace(result, bounds={**result.bounds, **more})


def _all_know_the_new(mesh, herd):
    """Say whether every node knows the processes that run now."""
    wanted = {name: mesh.nodes[name].facts.own.incarnation for name in herd}
    return all(
        name in node.knowledge.members.members
        and node.knowledge.members.members[name].incarnation >= incarnation
        for node in mesh.nodes.values()
        for name, incarnation in wanted.items()
    )


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
        taken_over = not paused.keep_lease(lease)
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


@bench_case('control-cost')
def control_cost(seed, nodes=24, seconds=15):
    """CPU, memory and bytes of idle nodes by role, real processes."""
    text = '{' + ','.join(
        f'"{path}": {value.decode()}'
        for path, value in build_changes().items()
    )
    with Mesh('bench') as mesh:
        mesh.start_platform()
        mesh.ctl('put_all', text + '}')
        start_real_nodes(mesh, nodes)
        plain = read_plain_memory(mesh)
        first = {name: _sample(mesh, name) for name in mesh.nodes}
        time.sleep(seconds)
        last = {name: _sample(mesh, name) for name in mesh.nodes}
    figures = {'nodes': nodes, 'plain_call_path_mb': plain}
    for role in ('fetcher', 'other'):
        names = [name for name in mesh.nodes if last[name]['role'] == role]
        for key in ('cpu_share', 'bytes_per_second'):
            spent = [
                (last[name][key] - first[name][key]) / seconds
                for name in names
            ]
            figures[f'{role}_{key}_most'] = max(spent)
        memory = [last[name]['resident_mb'] for name in names]
        figures[f'{role}_resident_mb_most'] = max(memory)
    figures['control_mb'] = (
        max(
            figures['fetcher_resident_mb_most'],
            figures['other_resident_mb_most'],
        )
        - plain
    )
    return Result(figures, control_bounds())


def control_bounds():
    """Return the bounds on what control costs a node."""
    bounds = {'control_mb': Bound(most=NODE_CONTROL_MB)}
    for role in ('fetcher', 'other'):
        bounds[f'{role}_cpu_share_most'] = Bound(most=NODE_CPU_SHARE)
        bounds[f'{role}_bytes_per_second_most'] = Bound(
            most=NODE_BYTES_PER_SECOND
        )
    return bounds


def read_plain_memory(mesh):
    """Return the megabytes of a process that only carries calls."""
    import subprocess
    import sys

    code = (
        'import asyncio, time; from poplarrack.dispatchers import Dispatcher;'
        'from poplarrack.callers import CallServer;'
        'Dispatcher("n", time.time); print("up", flush=True); input()'
    )
    process = subprocess.Popen(
        [sys.executable, '-c', code],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    mesh.processes.append(process)
    process.stdout.readline()
    return read_usage(process.pid).resident_bytes / 1e6


def count_bytes(traffic, platform_bytes):
    """Return a node's control bytes, each message with its headers."""
    messages = traffic['messages_in'] + traffic['messages_out']
    payload = traffic['bytes_in'] + traffic['bytes_out']
    return payload + messages * HEADER_BYTES + platform_bytes


def _sample(mesh, name):
    """Return a node's role, and what it used so far."""
    dump = mesh.dump(name)
    usage = read_usage(mesh.nodes[name].process.pid)
    traffic = dump['traffic']
    return {
        'role': 'fetcher' if dump['topology']['is_fetcher'] else 'other',
        'cpu_share': usage.cpu_seconds,
        'bytes_per_second': count_bytes(traffic, dump['platform_bytes']),
        'resident_mb': usage.resident_bytes / 1e6,
    }
