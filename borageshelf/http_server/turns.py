"""Bounds the work on received bytes in one iteration of the event loop.

A unit of work is about a microsecond on a core of its own: one chunk of a
body, or a part of a header.
"""

import asyncio
import collections
from typing import Final, Protocol

# Up to this much work is done in an iteration. The owner and the streams of
# this process run in between, so it is less than the delay of a timer.
TURN_UNITS: Final = 5_000
# What waits gets this part; the rest is for what has just arrived.
WAITING_UNITS: Final = TURN_UNITS // 2
# One connection's part of a round. An ordinary request needs no more.
SHARE_UNITS: Final = 400


class Worker(Protocol):
    """A connection with received bytes."""

    def advance(self, units: int) -> int:
        """Process bytes; return the units, or 0 if nothing can be done."""

    def update_account(self) -> None:
        """Account what is held now, and stop or continue reading."""


class Turns:
    """Shares the work of one process between its connections."""

    def __init__(self) -> None:
        self._left_units = TURN_UNITS
        self._is_scheduled = False
        self._waiting: collections.OrderedDict[Worker, None] = (
            collections.OrderedDict()
        )

    def is_waiting(self, worker: Worker) -> bool:
        """Tell whether a connection waits for its share."""
        return worker in self._waiting

    def work(self, worker: Worker) -> None:
        """Process what a connection has received, now or in its turn."""
        if worker in self._waiting:
            worker.update_account()
            return
        if self._left_units <= 0:
            self._waiting[worker] = None
            worker.update_account()
        elif self._run_share(worker):
            self._waiting[worker] = None
        # In calm, most iterations need no callback of their own: what they
        # leave is enough for the next one.
        if self._waiting or self._left_units < WAITING_UNITS:
            self._schedule()

    def forget(self, worker: Worker) -> None:
        """Leave out a connection that has ended."""
        self._waiting.pop(worker, None)

    def _run_share(self, worker: Worker) -> bool:
        """Process one share; return whether some is left to do."""
        used_units = 0
        while used_units < SHARE_UNITS:
            units = worker.advance(SHARE_UNITS - used_units)
            used_units += units
            if not units:
                break
        self._left_units -= used_units
        worker.update_account()
        return used_units >= SHARE_UNITS

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin)

    def _begin(self) -> None:
        self._is_scheduled = False
        self._left_units = TURN_UNITS
        try:
            while (
                self._waiting and self._left_units > TURN_UNITS - WAITING_UNITS
            ):
                worker, _ = self._waiting.popitem(last=False)
                if self._run_share(worker):
                    self._waiting[worker] = None
        finally:
            # Also after an error, so that the other connections go on.
            if self._waiting:
                self._schedule()
