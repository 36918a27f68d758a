"""Clock that counts only the time in which this process has run.

An executor's steady clock stands still while its VM is suspended. A process
that was stopped can't tell how much of that time the VM was suspended, so it
must not conclude anything about the executor from it.
"""

from typing import Final

from borageshelf import clock

# Longest time between two readings in which the process counts as running.
GAP_LIMIT_MS: Final = 250
# A process that is not read for so long was stopped; a busy one is late by
# less.
STOP_MIN_MS: Final = 1_000


class AttendedClock:
    """Runs with a steady clock on the same VM, and is later by its stops.

    It has to be read more often than every ``GAP_LIMIT_MS``. Of a longer gap
    only this much counts, as the process may have been busy, and nothing of
    ``STOP_MIN_MS`` or more. So it is ahead by up to ``GAP_LIMIT_MS`` for each
    stop that is shorter; those add up, and a lease has a margin for one.
    """

    def __init__(self) -> None:
        self._attended_ms = 0
        self._read_at_running_ms = clock.read_running_ms()

    def read_ms(self) -> int:
        """Return the milliseconds in which the process has run."""
        running_ms = clock.read_running_ms()
        gap_ms = running_ms - self._read_at_running_ms
        self._read_at_running_ms = running_ms
        if gap_ms < STOP_MIN_MS:
            self._attended_ms += min(gap_ms, GAP_LIMIT_MS)
        return self._attended_ms
