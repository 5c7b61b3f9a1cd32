"""Bench cases of faults: outages, partitions, restarts, bad versions.

The nodes run on fakes.
"""

import asyncio
from dataclasses import replace

from poplarrack.benches.cases import bench_case
from poplarrack.benches.cases import Bound
from poplarrack.benches.scenarios import build_result
from poplarrack.benches.scenarios import change_one_route
from poplarrack.benches.scenarios import count_platform_calls
from poplarrack.benches.scenarios import MAX_CONVERGENCE_SECONDS
from poplarrack.benches.scenarios import MAX_PLATFORM_CALLS_PER_SECOND
from poplarrack.benches.scenarios import route_change
from poplarrack.benches.scenarios import run_scenario
from poplarrack.benches.scenarios import ZERO_BOUND
from poplarrack.benches.scenarios import ZONES


def set_outage(mesh, outage):
    """Start or end an outage of the platform."""
    mesh.platform.faults = replace(mesh.platform.faults, outage=outage)


@bench_case('store-outage')
def store_outage(seed, nodes=60, outage_seconds=600):
    """The platform away at a change: nodes serve on, then catch up."""

    async def scenario(mesh, random):
        set_outage(mesh, True)
        revision = change_one_route(mesh, seed)
        fresh = mesh.add_node('a-fresh', 'south', 'a', list(mesh.nodes)[:3])
        await asyncio.sleep(outage_seconds)
        serving = sum(node.ready for node in mesh.nodes.values())
        fresh_is_ready = fresh.ready
        calls = count_platform_calls(mesh)
        set_outage(mesh, False)
        recovery_seconds = await mesh.wait_for_revision(revision, 60)
        await asyncio.sleep(5)
        return {
            'seconds_to_all': recovery_seconds,
            'nodes_not_serving': nodes + 1 - serving,
            'fresh_not_ready': int(not fresh_is_ready),
            'platform_calls_in_recovery': count_platform_calls(mesh) - calls,
        }

    figures = run_scenario(seed, nodes, scenario)
    result = build_result(figures)
    extra_bounds = {
        'nodes_not_serving': ZERO_BOUND,
        'fresh_not_ready': ZERO_BOUND,
    }
    return replace(result, bounds={**result.bounds, **extra_bounds})


@bench_case('crossed-updates')
def crossed_updates(seed, nodes=60):
    """Loss, repeats, delays of messages, stale reads: nothing goes back."""

    async def scenario(mesh, random):
        faults = mesh.injected_faults
        faults.loss_rate, faults.duplicate_rate = 0.1, 0.1
        (
            faults.max_extra_delay_seconds,
            faults.stale_read_rate,
        ) = 0.5, 0.1
        times = []
        for turn in range(15):
            revision = change_one_route(mesh, turn)
            if turn % 3 == 0:
                times.append(await mesh.wait_for_revision(revision, 60))
            else:
                await asyncio.sleep(random.random())
        return {'seconds_to_all': max(times)}

    return build_result(run_scenario(seed, nodes, scenario))


@bench_case('bad-config')
def bad_config(seed, nodes=60):
    """Versions that do not hold together: refused whole, then mended."""

    async def scenario(mesh, random):
        applied, reported, times = 0, 0, []
        bad_routes = [b'{', b'[]', None]
        random.shuffle(bad_routes)
        for turn in range(6):
            valid_revision = max(mesh.applied_revisions().values())
            name = f'bench/routes/service-{turn}'
            dangling = route_change(turn, 7.0, service='none')[name]
            mesh.write_settings({name: bad_routes[turn % 3] or dangling})
            await asyncio.sleep(6)
            applied += sum(
                revision > valid_revision
                for revision in mesh.applied_revisions().values()
            )
            summaries = mesh.platform.store.range('/poplarrack/zones/')
            reported += sum(b'"reasons"' in item.value for item in summaries)
            fixed_revision = mesh.write_settings(
                route_change(turn, 7.0 + turn)
            )
            times.append(await mesh.wait_for_revision(fixed_revision, 30))
        return {
            'bad_versions_applied': applied,
            'zones_that_showed_it': reported / 6,
            'seconds_to_all': max(times),
        }

    result = build_result(run_scenario(seed, nodes, scenario))
    extra_bounds = {
        'bad_versions_applied': ZERO_BOUND,
        'zones_that_showed_it': Bound(minimum=1),
    }
    return replace(result, bounds={**result.bounds, **extra_bounds})


def set_partition(mesh, is_inside, partitioned):
    """Partition some nodes from the others and the platform, or heal that.

    :param is_inside: returns whether a (region, zone) is partitioned off.
    :returns: the ids of these nodes.
    """
    names = [
        name
        for name, node in mesh.nodes.items()
        if is_inside((node.settings.region, node.settings.zone))
    ]
    for name in names:
        mesh.platform_clients[name].disconnected = partitioned
    mesh.injected_faults.is_partitioned = None
    if partitioned:
        mesh.injected_faults.is_partitioned = lambda a, b: (
            is_inside(a) != is_inside(b)
        )
    return names


async def run_partition(mesh, random, is_inside, seconds):
    """Partition nodes, change settings meanwhile, heal.

    :param is_inside: returns whether a (region, zone) is partitioned off.
    :param seconds: the duration of the partition.
    :returns: the figures.
    """
    names = set_partition(mesh, is_inside, True)
    revision_before = max(mesh.applied_revisions().values())
    revision = 0
    for turn in range(10):
        revision = change_one_route(mesh, turn)
        await asyncio.sleep(seconds / 10)
    fresh = f'{mesh.nodes[names[0]].settings.zone}-fresh'
    settings = mesh.nodes[names[0]].settings
    mesh.add_node(fresh, settings.region, settings.zone, names[:3])
    mesh.platform_clients[fresh].disconnected = True
    await asyncio.sleep(10)
    inside = [*names, fresh]
    inside_behind = sum(
        mesh.applied_revisions()[name] < revision_before for name in inside
    )
    not_serving = sum(not mesh.nodes[name].ready for name in inside)
    others = [name for name in mesh.nodes if name not in inside]
    outside_behind = sum(
        mesh.applied_revisions()[name] < revision for name in others
    )
    bytes_before = mesh.traffic.cross_region_bytes
    set_partition(mesh, is_inside, False)
    recovery_seconds = await mesh.wait_for_revision(revision, 60)
    await asyncio.sleep(5)
    return {
        'seconds_to_all': recovery_seconds,
        'inside_behind': inside_behind,
        'inside_not_serving': not_serving,
        'outside_behind': outside_behind,
        'link_bytes_in_healing': mesh.traffic.cross_region_bytes
        - bytes_before,
    }


def build_partition_result(figures):
    """Return the Result of a partition, with its bounds."""
    result = build_result(figures)
    # A tenth of the shared 30 Mbit/s during the 5 s of healing.
    link_bytes_bound = Bound(maximum=0.1 * 30e6 / 8 * MAX_CONVERGENCE_SECONDS)
    extra_bounds = {
        'inside_behind': ZERO_BOUND,
        'inside_not_serving': ZERO_BOUND,
        'outside_behind': ZERO_BOUND,
        'link_bytes_in_healing': link_bytes_bound,
    }
    return replace(result, bounds={**result.bounds, **extra_bounds})


@bench_case('zone-cut')
def zone_cut(seed, nodes=60, cut_seconds=600):
    """A zone alone, then healed: served throughout, all on the newest."""
    zone = ZONES[seed % len(ZONES)]

    async def scenario(mesh, random):
        return await run_partition(
            mesh, random, lambda location: location == zone, cut_seconds
        )

    return build_partition_result(run_scenario(seed, nodes, scenario))


@bench_case('region-cut')
def region_cut(seed, nodes=60, cut_seconds=600):
    """The far region alone, then healed, without a burst over the link."""

    async def scenario(mesh, random):
        return await run_partition(
            mesh, random, lambda location: location[0] == 'north', cut_seconds
        )

    return build_partition_result(run_scenario(seed, nodes, scenario))


@bench_case('reconnect-storm')
def reconnect_storm(seed, nodes=100):
    """A zone's and a rack's nodes restarted at once; time to recover."""

    async def scenario(mesh, random):
        zone = ZONES[seed % len(ZONES)][1]
        rack = random.sample(
            [name for name in mesh.nodes if not name.startswith(zone)], 10
        )
        restarted = [n for n in mesh.nodes if n.startswith(zone)] + rack
        settings = {name: mesh.nodes[name].settings for name in restarted}
        for name in restarted:
            mesh.kill_node(name)
        calls, started_at = count_platform_calls(mesh), mesh.clock()
        seeds = list(mesh.nodes)[:5]
        for name in restarted:
            mesh.add_node(
                name, settings[name].region, settings[name].zone, seeds
            )
        revision = change_one_route(mesh, seed)
        recovery_seconds = await mesh.wait_for_revision(revision, 60)
        membership_seconds = recovery_seconds + await mesh.wait_until(
            lambda: _all_know_restarted(mesh, restarted), 60
        )
        await asyncio.sleep(10)
        rate = (count_platform_calls(mesh) - calls) / (
            mesh.clock() - started_at
        )
        return {
            'nodes_restarted': len(restarted),
            'seconds_to_all': recovery_seconds,
            'seconds_to_whole_membership': membership_seconds,
            'platform_calls_per_second': rate,
        }

    result = build_result(run_scenario(seed, nodes, scenario))
    extra_bounds = {
        'platform_calls_per_second': Bound(
            maximum=MAX_PLATFORM_CALLS_PER_SECOND
        )
    }
    return replace(result, bounds={**result.bounds, **extra_bounds})


def _all_know_restarted(mesh, restarted):
    """Return whether every node knows the new processes of restarted nodes."""
    incarnations = {
        name: mesh.nodes[name].facts.own.incarnation for name in restarted
    }
    return all(
        name in node.knowledge.members.members
        and node.knowledge.members.members[name].incarnation >= incarnation
        for node in mesh.nodes.values()
        for name, incarnation in incarnations.items()
    )
