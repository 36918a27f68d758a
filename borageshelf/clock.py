"""Wall clock of the process."""

from collections import abc
import time

Clock = abc.Callable[[], int]


def read_wall_clock_ms() -> int:
    """Return the time in Unix milliseconds."""
    return time.time_ns() // 1_000_000
