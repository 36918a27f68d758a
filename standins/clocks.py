"""Clocks of the stand-ins: the system's clock and one that tests advance.

A clock returns the Unix time in milliseconds and can pause a coroutine. Each
stand-in takes its clock as an argument and uses no other source of time.
"""

import asyncio
import heapq
import itertools
import time
from typing import Final, Protocol

MS_PER_S: Final = 1000


class Clock(Protocol):
    """Source of time."""

    def read_ms(self) -> int:
        """Return the Unix time in milliseconds."""

    async def pause(self, delay_ms: int) -> None:
        """Wait for a number of milliseconds of this clock."""


class SystemClock:
    """The machine's wall clock."""

    def read_ms(self) -> int:
        """Return the Unix time in milliseconds."""
        return time.time_ns() // 1_000_000

    async def pause(self, delay_ms: int) -> None:
        """Sleep on the running event loop."""
        await asyncio.sleep(max(delay_ms, 0) / MS_PER_S)


class ManualClock:
    """A clock that moves only when a test advances it."""

    def __init__(self, now_ms: int = 1_000_000) -> None:
        self._now_ms = now_ms
        self._sequence_numbers = itertools.count()
        self._waiters: list[tuple[int, int, asyncio.Future[None]]] = []

    def read_ms(self) -> int:
        """Return the time up to which the clock was advanced."""
        return self._now_ms

    async def pause(self, delay_ms: int) -> None:
        """Wait until the clock has advanced by the delay."""
        if delay_ms <= 0:
            await asyncio.sleep(0)
            return
        wake: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        item = (self._now_ms + delay_ms, next(self._sequence_numbers), wake)
        heapq.heappush(self._waiters, item)
        await wake

    async def advance(self, delay_ms: int) -> None:
        """Advance the clock and run every waiter that is due.

        Waiters wake in the order of their deadlines and see the time of
        their own deadline.
        """
        end_ms = self._now_ms + delay_ms
        await _run_pending_coroutines()
        while self._waiters and self._waiters[0][0] <= end_ms:
            deadline_ms, _, wake = heapq.heappop(self._waiters)
            self._now_ms = max(self._now_ms, deadline_ms)
            if not wake.done():
                wake.set_result(None)
                await _run_pending_coroutines()
        self._now_ms = end_ms
        await _run_pending_coroutines()


async def _run_pending_coroutines() -> None:
    """Yield often enough for chains of woken coroutines to finish."""
    for _ in range(20):
        await asyncio.sleep(0)
