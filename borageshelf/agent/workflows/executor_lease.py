"""The lease of the runs on an executor, as its agent knows it.

The executor counts the lease on its steady clock, which may be slow and
stands still while the VM is suspended. The agent shares the VM, so the
executor's clock has gone on at least while the agent was running. Each answer
of the executor shows its clock and corrects what the agent has concluded.
"""

import dataclasses
from typing import Final

from borageshelf.agent.workflows import attended_clock
from borageshelf import clock

# The executor's clock may be 2% slow.
SLOWEST_CLOCK_RATIO: Final = 0.98
# Leases are shorter than the grant, also on the slowest clock.
LEASE_TO_GRANT_RATIO: Final = 0.975
# A shorter lease would expire before its task has started.
MIN_LEASE_MS: Final = 300
LEASE_END_MARGIN_MS: Final = 300
# The clock of another incarnation differs at least by its start.
CLOCK_TOLERANCE_MS: Final = 100


@dataclasses.dataclass(frozen=True)
class ClockReading:
    """A reading of the executor's clock.

    :param elapsed_ms: the agent's clock when the answer arrived
    :param attended_ms: the agent's attended clock at that time
    """

    executor_ms: int
    elapsed_ms: int
    attended_ms: int


@dataclasses.dataclass(frozen=True)
class Extension:
    """An extension of the lease that an order requests.

    :param lease_deadline_ms: deadline on the executor's clock; 0 for none
    :param end_attended_ms: time at which the executor's clock has certainly
        reached the deadline, on the agent's attended clock
    """

    lease_deadline_ms: int
    end_attended_ms: int


NO_EXTENSION: Final = Extension(0, 0)


class ExecutorLease:
    """Computes the extensions of a lease, and when it has certainly ended.

    :param former_grant_ms: grant under which a former process of this agent
        may have extended the lease just before this process started
    """

    def __init__(self, former_grant_ms: int) -> None:
        self._clock = attended_clock.AttendedClock()
        self._end_attended_ms = self._clock.read_ms() + former_grant_ms
        # Latest deadline that the present incarnation may have accepted.
        self._latest_deadline_ms = 0
        self._former_grant_ms = former_grant_ms
        # Latest deadline that a former process may have set.
        self._inherited_deadline_ms: int | None = None
        self._open_extensions: list[Extension] = []
        self.clock_reading: ClockReading | None = None

    def read_attended_ms(self) -> int:
        """Return the agent's attended clock, which must be read often."""
        return self._clock.read_ms()

    def record_clock(self, executor_ms: int) -> None:
        """Record the executor's clock in an answer that has just arrived."""
        attended_ms = self._clock.read_ms()
        self.clock_reading = ClockReading(
            executor_ms, clock.read_elapsed_ms(), attended_ms
        )
        if self._inherited_deadline_ms is None:
            self._inherited_deadline_ms = executor_ms + int(
                self._former_grant_ms * LEASE_TO_GRANT_RATIO
            )
        left_ms = max(self._latest_deadline_ms - executor_ms, 0)
        self._end_attended_ms = max(
            self._end_attended_ms,
            attended_ms + round(left_ms / SLOWEST_CLOCK_RATIO),
        )

    def is_same_clock(
        self, executor_ms: int, sent_at_attended_ms: int
    ) -> bool:
        """Tell whether an answer that has just arrived shows the same clock.

        The clock of the next incarnation begins anew, so such an answer came
        from the incarnation whose clock was recorded last.

        :param executor_ms: the clock in the answer
        :param sent_at_attended_ms: attended time of the request
        """
        reading = self.clock_reading
        if reading is None:
            return False
        passed_ms = executor_ms - reading.executor_ms
        sent_after_ms = sent_at_attended_ms - reading.attended_ms
        elapsed_ms = clock.read_elapsed_ms() - reading.elapsed_ms
        return (
            sent_after_ms * SLOWEST_CLOCK_RATIO - CLOCK_TOLERANCE_MS
            <= passed_ms
            <= elapsed_ms + CLOCK_TOLERANCE_MS
        )

    def forget_clock(self) -> None:
        """Forget the executor's clock until its next answer."""
        self.clock_reading = None

    def forget_incarnation(self) -> None:
        """Forget the clock and the deadlines of an incarnation that is gone.

        The next one begins with another clock, and without a lease.
        """
        self.forget_clock()
        self._latest_deadline_ms = 0
        self._inherited_deadline_ms = 0

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
        left_ms += self._clock.read_ms() - reading.attended_ms
        lease_ms = int(left_ms * LEASE_TO_GRANT_RATIO)
        return Extension(
            reading.executor_ms + lease_ms,
            reading.attended_ms + round(lease_ms / SLOWEST_CLOCK_RATIO),
        )

    def begin_extension(self, extension: Extension) -> None:
        """Note that an order with an extension is about to be sent."""
        self._open_extensions.append(extension)
        self._latest_deadline_ms = max(
            self._latest_deadline_ms, extension.lease_deadline_ms
        )

    def end_extension(
        self, extension: Extension, is_without_effect: bool
    ) -> None:
        """Note the outcome of an order with an extension.

        :param is_without_effect: whether the executor has certainly not
            extended the lease
        """
        self._open_extensions.remove(extension)
        if not is_without_effect:
            self._end_attended_ms = max(
                self._end_attended_ms, extension.end_attended_ms
            )

    def has_ended(self) -> bool:
        """Tell whether the lease has certainly ended, and all runs with it."""
        return (
            self._clock.read_ms() > self.end_attended_ms + LEASE_END_MARGIN_MS
        )

    @property
    def is_extended(self) -> bool:
        """Whether an order of this process may have extended the lease."""
        return self._latest_deadline_ms > 0

    def has_lapsed(self) -> bool:
        """Tell whether the executor's clock has shown the end of the lease."""
        reading = self.clock_reading
        return (
            reading is not None
            and reading.executor_ms > self.latest_deadline_ms
        )

    @property
    def latest_deadline_ms(self) -> int:
        """Latest deadline that an order may have set, on the executor's clock.

        It includes the orders of a former process of this agent.
        """
        return max(self._latest_deadline_ms, self._inherited_deadline_ms or 0)

    @property
    def end_attended_ms(self) -> int:
        """Latest possible end of the lease, on the agent's attended clock."""
        return max(
            self._end_attended_ms,
            *(item.end_attended_ms for item in self._open_extensions),
            0,
        )
