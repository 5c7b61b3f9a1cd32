"""Measure nodes on fakes through outages, cuts, herds and bad versions."""

import asyncio
from dataclasses import replace

from poplarrack.benches.cases import bench_case
from poplarrack.benches.cases import Bound
from poplarrack.benches.scenarios import change_one
from poplarrack.benches.scenarios import held_within
from poplarrack.benches.scenarios import IN_FORCE_SECONDS
from poplarrack.benches.scenarios import NONE
from poplarrack.benches.scenarios import on_fakes
from poplarrack.benches.scenarios import platform_calls
from poplarrack.benches.scenarios import PLATFORM_CALLS_PER_SECOND
from poplarrack.benches.scenarios import route_change
from poplarrack.benches.scenarios import ZONES


def set_outage(mesh, outage):
    """Take the platform away, or give it back."""
    mesh.platform.faults = replace(mesh.platform.faults, outage=outage)


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
        took = await mesh.wait_for_revision(revision, 60)
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
    """Loss, repeats, delays of messages, stale reads: nothing goes back."""

    async def scenario(mesh, random):
        injected_faults = mesh.injected_faults
        injected_faults.loss_rate, injected_faults.duplicate_rate = 0.1, 0.1
        (
            injected_faults.max_extra_delay_seconds,
            injected_faults.stale_read_rate,
        ) = 0.5, 0.1
        times = []
        for turn in range(15):
            revision = change_one(mesh, turn)
            if turn % 3 == 0:
                times.append(await mesh.wait_for_revision(revision, 60))
            else:
                await asyncio.sleep(random.random())
        return {'seconds_to_all': max(times)}

    return held_within(on_fakes(seed, nodes, scenario))


@bench_case('bad-config')
def bad_config(seed, nodes=60):
    """Versions that do not hold together: refused whole, then mended."""

    async def scenario(mesh, random):
        applied, shown, times = 0, 0, []
        bad_routes = [b'{', b'[]', None]
        random.shuffle(bad_routes)
        for turn in range(6):
            before = max(mesh.applied_revisions().values())
            name = f'bench/routes/service-{turn}'
            dangling = route_change(turn, 7.0, service='none')[name]
            mesh.write_settings({name: bad_routes[turn % 3] or dangling})
            await asyncio.sleep(6)
            applied += sum(
                revision > before
                for revision in mesh.applied_revisions().values()
            )
            summaries = mesh.platform.store.range('/poplarrack/zones/')
            shown += sum(b'"reasons"' in item.value for item in summaries)
            mended = mesh.write_settings(route_change(turn, 7.0 + turn))
            times.append(await mesh.wait_for_revision(mended, 30))
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
        mesh.platform_clients[name].disconnected = wanted
    mesh.injected_faults.is_partitioned = None
    if wanted:
        mesh.injected_faults.is_partitioned = lambda a, b: (
            chosen(a) != chosen(b)
        )
    return names


async def run_cut(mesh, random, chosen, seconds):
    """Cut a part off, change settings, heal; return the figures."""
    names = cut_off(mesh, chosen, True)
    held = max(mesh.applied_revisions().values())
    revision = 0
    for turn in range(10):
        revision = change_one(mesh, turn)
        await asyncio.sleep(seconds / 10)
    fresh = f'{mesh.nodes[names[0]].settings.zone}-fresh'
    place = mesh.nodes[names[0]].settings
    mesh.add_node(fresh, place.region, place.zone, names[:3])
    mesh.platform_clients[fresh].disconnected = True
    await asyncio.sleep(10)
    inside = [*names, fresh]
    behind = sum(mesh.applied_revisions()[name] < held for name in inside)
    idle = sum(not mesh.nodes[name].ready for name in inside)
    others = [name for name in mesh.nodes if name not in inside]
    stale = sum(mesh.applied_revisions()[name] < revision for name in others)
    link = mesh.traffic.cross_region_bytes
    cut_off(mesh, chosen, False)
    took = await mesh.wait_for_revision(revision, 60)
    await asyncio.sleep(5)
    return {
        'seconds_to_all': took,
        'inside_behind': behind,
        'inside_not_serving': idle,
        'outside_behind': stale,
        'link_bytes_in_healing': mesh.traffic.cross_region_bytes - link,
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
            mesh.kill_node(name)
        calls, at = platform_calls(mesh), mesh.clock()
        seeds = list(mesh.nodes)[:5]
        for name in herd:
            mesh.add_node(name, places[name].region, places[name].zone, seeds)
        revision = change_one(mesh, seed)
        took = await mesh.wait_for_revision(revision, 60)
        whole = took + await mesh.wait_until(
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
