"""The lease of the runs on an executor, as its agent knows it.

The executor counts the lease on its steady clock, which may be slow and
stands still while the VM is suspended. The agent shares the VM, so its own
clock without suspensions is never behind the executor's.
"""

import dataclasses
from typing import Final

from borageshelf import clock

# The executor's clock may be 2% slow.
SLOWEST_CLOCK_RATIO: Final = 0.98
# Leases are shorter than the grant, also on the slowest clock.
LEASE_TO_GRANT_RATIO: Final = 0.975
# A shorter lease would expire before its task has started.
MIN_LEASE_MS: Final = 300
LEASE_END_MARGIN_MS: Final = 300


@dataclasses.dataclass(frozen=True)
class ClockReading:
    """A reading of the executor's clock.

    :param elapsed_ms: the agent's clock when the answer arrived
    :param running_ms: its clock without suspensions at that time
    """

    executor_ms: int
    elapsed_ms: int
    running_ms: int


@dataclasses.dataclass(frozen=True)
class Extension:
    """An extension of the lease that an order requests.

    :param lease_deadline_ms: deadline on the executor's clock; 0 for none
    :param end_running_ms: time at which the executor's clock has certainly
        reached the deadline, on the agent's clock without suspensions
    """

    lease_deadline_ms: int
    end_running_ms: int


NO_EXTENSION: Final = Extension(0, 0)


class ExecutorLease:
    """Computes the extensions of a lease, and when it has certainly ended.

    :param limit_ms: longest lease that the executor accepts
    """

    def __init__(self, limit_ms: int) -> None:
        # A former process of this agent may have extended the lease just
        # before this process started.
        self._end_running_ms = clock.read_running_ms() + round(
            limit_ms / SLOWEST_CLOCK_RATIO
        )
        self._open_extensions: list[Extension] = []
        self.clock_reading: ClockReading | None = None

    def record_clock(self, executor_ms: int) -> None:
        """Record the executor's clock in an answer that has just arrived."""
        self.clock_reading = ClockReading(
            executor_ms, clock.read_elapsed_ms(), clock.read_running_ms()
        )

    def forget_clock(self) -> None:
        """Forget the executor's clock until its next answer."""
        self.clock_reading = None

    def compute_extension(self, grant_deadline_ms: int) -> Extension:
        """Return the longest extension that ends before a grant does.

        The executor read its clock before its answer arrived, and the ratio
        covers a slow clock.

        :param grant_deadline_ms: elapsed time at which the grant ends
        """
        reading = self.clock_reading
        left_ms = grant_deadline_ms - clock.read_elapsed_ms()
        if reading is None or left_ms < MIN_LEASE_MS:
            return NO_EXTENSION
        left_ms += clock.read_running_ms() - reading.running_ms
        lease_ms = int(left_ms * LEASE_TO_GRANT_RATIO)
        return Extension(
            reading.executor_ms + lease_ms,
            reading.running_ms + round(lease_ms / SLOWEST_CLOCK_RATIO),
        )

    def begin_extension(self, extension: Extension) -> None:
        """Note that an order with an extension is about to be sent."""
        self._open_extensions.append(extension)

    def end_extension(
        self, extension: Extension, is_without_effect: bool
    ) -> None:
        """Note the outcome of an order with an extension.

        :param is_without_effect: whether the executor has certainly not
            extended the lease
        """
        self._open_extensions.remove(extension)
        if not is_without_effect:
            self._end_running_ms = max(
                self._end_running_ms, extension.end_running_ms
            )

    def has_ended(self) -> bool:
        """Tell whether the lease has certainly ended, and all runs with it."""
        end_running_ms = max(
            self._end_running_ms,
            *(extension.end_running_ms for extension in self._open_extensions),
            0,
        )
        return clock.read_running_ms() > end_running_ms + LEASE_END_MARGIN_MS
