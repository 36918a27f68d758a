"""Clocks of the process."""

from collections import abc
import dataclasses
import time

Clock = abc.Callable[[], int]


@dataclasses.dataclass(frozen=True)
class Moment:
    """One moment on both clocks.

    :param elapsed_ms: never steps back; for intervals within a process
    :param wall_ms: Unix time; for what other processes read
    """

    elapsed_ms: int
    wall_ms: int


def read_wall_clock_ms() -> int:
    """Return the time in Unix milliseconds."""
    return time.time_ns() // 1_000_000


def read_elapsed_ms() -> int:
    """Return milliseconds since the boot.

    Unlike the steady clock it also counts while the VM is suspended, so a
    lease that ended during a suspension is seen as ended.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def read_moment() -> Moment:
    """Return the present moment."""
    return Moment(read_elapsed_ms(), read_wall_clock_ms())
