"""Faults of the soak; several of them overlap."""

import asyncio
from contextlib import contextmanager
import signal

from tests.soak_callers import Caller
from tests.soak_checks import CONFIG_SECONDS
from tests.soak_checks import STABLE_WINDOW_SECONDS
from tests.soak_operators import LESS_URGENT_PREFIX
from tests.soak_operators import URGENT_PREFIX
from tests.soak_records import STORE

FAULT_KINDS = {}
# Spells of planned work have no others.
PLANNED_KINDS = ('reload_node', 'replace_endpoint', 'restart_in_turn')
MAX_DOWN_SECONDS = 1.0
MAX_FREEZE_SECONDS = 3.0
# Callers that send a body in two parts while their node is suspended for
# longer than it may wait for the second part.
SENDERS = 30
SENDING_SECONDS = 0.1
SENDING_FREEZE_FACTORS = (1.1, 1.3)
START_POLL_SECONDS = 0.01
MAX_START_SECONDS = 3.0
# Callers at all hosts in a burst, by the prefix of their requests.
BURST_CALLERS = {URGENT_PREFIX: 150, LESS_URGENT_PREFIX: 15}
BURST_SECONDS = 3.0
BURST_PAUSE_SECONDS = 0.3
MAX_STORE_FAILURE_SECONDS = 3.0
MAX_GAP_SECONDS = 0.7
MAX_COPY_AGE_SECONDS = 4.0
MAX_LATE_SECONDS = 3.0
# How often a zone's nodes are restarted in turn.
MAX_ROUNDS = 2
# From the time at which an endpoint that leaves gets nothing more to its end.
LEAVE_SECONDS = 1.0


def fault(weight):
    """Register a coroutine function of (soak, host) as a kind of fault.

    Its name is a key of the counts that a run prints.

    :param weight: how often it is drawn, in relation to the others.
    """

    def register(inject):
        FAULT_KINDS[inject.__name__] = (weight, inject)
        return inject

    return register


def draw_fault(random, names):
    """Return the name and the function of a random fault.

    :param names: the names to choose from.
    """
    weights = [FAULT_KINDS[name][0] for name in names]
    name = random.choices(names, weights)[0]
    return name, FAULT_KINDS[name][1]


@contextmanager
def disturbed(soak, name):
    """Record an impairment of a host or the store while it lasts."""
    disturbance = soak.record.disturb(name)
    try:
        yield
    finally:
        disturbance.ended_at = soak.clock()


async def pause(soak, longest_seconds):
    """Wait for a random time."""
    await asyncio.sleep(soak.random.random() * longest_seconds)


async def wait_for_start(soak, host):
    """Wait until a node that is started serves."""
    end = soak.clock() + MAX_START_SECONDS
    while not host.has_started() and soak.clock() < end:
        await asyncio.sleep(START_POLL_SECONDS)


@fault(4)
async def kill_node(soak, host):
    """Kill a node's process and start it again.

    A process that is stopped or suspended is started again by the fault
    that holds the host's lock.
    """
    if host.lock.locked():
        host.kill()
        return
    async with host.lock:
        with disturbed(soak, host.name):
            host.kill()
            await pause(soak, MAX_DOWN_SECONDS)
            host.start()


@fault(4)
async def restart_node(soak, host):
    """Stop a node gracefully and start it again."""
    async with host.lock:
        with disturbed(soak, host.name):
            await host.stop()
            await pause(soak, MAX_DOWN_SECONDS)
            host.start()


@fault(4)
async def restart_in_turn(soak, host):
    """Restart the other nodes of a host's zone one after the other."""
    lock = soak.zone_locks[host.zone]
    if lock.locked():
        return
    async with lock:
        zone = [other for other in soak.hosts if other.zone == host.zone]
        zone.remove(host)
        for other in zone * soak.random.randint(1, MAX_ROUNDS):
            await restart_node(soak, other)
            await pause(soak, MAX_GAP_SECONDS)


@fault(4)
async def freeze_node(soak, host):
    """Suspend a node's process for a while; its connections stay open."""
    async with host.lock:
        with disturbed(soak, host.name):
            host.signal(signal.SIGSTOP)
            await pause(soak, MAX_FREEZE_SECONDS)
            host.signal(signal.SIGCONT)
            if host.killed:
                host.start()


@fault(4)
async def freeze_while_sending(soak, host):
    """Suspend a node while callers are between two parts of a body."""
    await wait_for_start(soak, host)
    async with host.lock:
        with disturbed(soak, host.name):
            callers = [
                Caller(soak, host, soak.random, keeps=False)
                for _ in range(SENDERS)
            ]
            now = soak.clock()
            timeout = max(
                version.limits.header_timeout_seconds
                for version in soak.record.select_in_force(
                    now, now, CONFIG_SECONDS
                )
            )
            calls = [
                asyncio.ensure_future(caller.call(in_parts=True))
                for caller in callers
            ]
            await asyncio.sleep(SENDING_SECONDS)
            host.signal(signal.SIGSTOP)
            factor = soak.random.uniform(*SENDING_FREEZE_FACTORS)
            await asyncio.sleep(timeout * factor)
            host.signal(signal.SIGCONT)
            if host.killed:
                host.start()
    # Not under the lock: a fault that kills the node meanwhile would leave
    # its start to this one.
    await asyncio.gather(*calls)


@fault(2)
async def send_large_at_start(soak, host):
    """Send large bodies to a node that has just started."""
    await kill_node(soak, host)
    await wait_for_start(soak, host)
    callers = [
        Caller(soak, host, soak.random, keeps=False) for _ in range(SENDERS)
    ]
    await asyncio.gather(*(caller.call(is_large=True) for caller in callers))


@fault(4)
async def reload_node(soak, host):
    """Send SIGHUP, several times in quick succession."""
    for _ in range(soak.random.randint(1, 3)):
        if host.process.poll() is None and host.has_started():
            host.signal(signal.SIGHUP)
        await pause(soak, MAX_GAP_SECONDS)


# The store impairs every host at a time: none is in touch for a while after.
@fault(1)
async def fail_store(soak, host):
    """Make the store answer every call with a failure for a while."""
    async with soak.store_lock:
        with disturbed(soak, STORE):
            soak.mesh.fail_store(soak.random)
            await pause(soak, MAX_STORE_FAILURE_SECONDS)
            soak.mesh.restore_store()


@fault(1)
async def start_without_store(soak, host):
    """Kill a node and others, and start them while the store fails."""
    async with soak.store_lock:
        others = soak.random.sample(
            soak.hosts, soak.random.randint(1, len(soak.hosts))
        )
        with disturbed(soak, STORE):
            soak.mesh.fail_store(soak.random)
            starts = (kill_node(soak, other) for other in others)
            await asyncio.gather(*starts)
            await pause(soak, MAX_STORE_FAILURE_SECONDS)
            soak.mesh.restore_store()


@fault(1)
async def return_store(soak, host):
    """Have the store come back from a copy that is some seconds old."""
    async with soak.store_lock:
        soak.mesh.save_store()
        await pause(soak, MAX_COPY_AGE_SECONDS)
        with disturbed(soak, STORE):
            soak.mesh.fail_store(soak.random)
            await pause(soak, MAX_GAP_SECONDS)
            soak.mesh.restore_store()
            seconds = soak.random.random() * MAX_GAP_SECONDS
            await asyncio.to_thread(soak.mesh.return_store, seconds)


@fault(4)
async def replace_endpoint(soak, host):
    """Replace an endpoint that leaves gracefully by a new instance."""
    async with host.endpoint.lock:
        await host.endpoint.leave()
        await asyncio.sleep(soak.mesh.leave_tolerance + LEAVE_SECONDS)
        await host.endpoint.close()
        await host.endpoint.start()


@fault(4)
async def kill_after_leave(soak, host):
    """Kill a node whose endpoint has left; then an earlier report arrives."""
    async with host.endpoint.lock:
        report = soak.mesh.build_report(host.endpoint)
        await host.endpoint.leave()
        await kill_node(soak, host)
        await asyncio.sleep(STABLE_WINDOW_SECONDS)
        await pause(soak, MAX_LATE_SECONDS)
        await host.endpoint.call_node(*report)
        await asyncio.sleep(soak.mesh.leave_tolerance + LEAVE_SECONDS)
        await host.endpoint.close()
        await host.endpoint.start()


@fault(4)
async def delay_report(soak, host):
    """Send a report that was written a while ago."""
    report = soak.mesh.build_report(host.endpoint)
    await pause(soak, MAX_LATE_SECONDS)
    await host.endpoint.call_node(*report)


@fault(4)
async def send_odd_report(soak, host):
    """Send the report of a service that isn't configured."""
    await host.endpoint.call_node(*soak.mesh.build_odd_report(host.endpoint))


@fault(1)
async def burst_urgent(soak, host):
    """Send a burst unless there is one."""
    if not soak.burst_lock.locked():
        async with soak.burst_lock:
            await send_burst(soak)


async def send_burst(soak):
    """Send more urgent requests than a service can run, and some others."""
    end = soak.clock() + BURST_SECONDS
    await asyncio.gather(
        *(
            send_until(soak, prefix, end)
            for prefix, callers in BURST_CALLERS.items()
            for _ in range(callers)
        )
    )


async def send_until(soak, prefix, end):
    """Send the requests of one caller in a burst."""
    host = soak.random.choice(soak.hosts)
    caller = Caller(soak, host, soak.random, keeps=False)
    while soak.clock() < end:
        await caller.call(prefix=prefix)
        await pause(soak, BURST_PAUSE_SECONDS)


@fault(4)
async def crash_endpoint(soak, host):
    """Replace an endpoint that stops without a leave by a new instance."""
    async with host.endpoint.lock:
        await host.endpoint.close()
        await pause(soak, MAX_DOWN_SECONDS)
        await host.endpoint.start()
