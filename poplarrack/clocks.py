"""Provide a clock that ignores jumps of the system time, and waiting."""

import asyncio
import time


class SteadyClock:
    """Seconds since the epoch, monotonic after the process has started.

    Includes the time that the machine was suspended, so that leases and
    deadlines expire during it.
    """

    def __init__(self):
        self.offset = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)

    def __call__(self):
        """Return the present time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) + self.offset


async def pause(ended, seconds):
    """Wait for a number of seconds, or until an ``asyncio.Event`` is set."""
    try:
        async with asyncio.timeout(seconds):
            await ended.wait()
    except TimeoutError:
        return
