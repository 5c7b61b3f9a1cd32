"""Tell the time without following jumps of the time of day, and wait."""

import asyncio
import time


class SteadyClock:
    """Seconds since the epoch as they were at the start, then steady.

    Counts the time that the machine was suspended, so that leases and
    deadlines do not outlive it.
    """

    def __init__(self):
        self.offset = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)

    def __call__(self):
        """Return the present time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) + self.offset


async def pause(ended, seconds):
    """Wait for so long, or until an ``asyncio.Event`` is set."""
    try:
        async with asyncio.timeout(seconds):
            await ended.wait()
    except TimeoutError:
        return
