"""Wall clock and elapsed-time clock of the process."""

from collections import abc
import dataclasses
import time

Clock = abc.Callable[[], int]


@dataclasses.dataclass(frozen=True)
class Moment:
    """The readings of both clocks at one moment.

    :param elapsed_ms: milliseconds since the boot; never steps back; for
        intervals within a process
    :param wall_ms: Unix milliseconds; for times that other processes read
    """

    elapsed_ms: int
    wall_ms: int


def read_wall_clock_ms() -> int:
    """Return the wall-clock time in Unix milliseconds."""
    return time.time_ns() // 1_000_000


def read_elapsed_ms() -> int:
    """Return the milliseconds since the boot.

    Unlike the monotonic clock, this clock also advances while the VM is
    suspended, so a lease that expired during a suspension is expired
    afterwards.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def read_running_ms() -> int:
    """Return the milliseconds since the boot without suspensions of the VM."""
    return time.clock_gettime_ns(time.CLOCK_MONOTONIC) // 1_000_000


def read_moment() -> Moment:
    """Return the present readings of both clocks."""
    return Moment(read_elapsed_ms(), read_wall_clock_ms())
