"""Waits for the lapse of a lease that has outlived its grant.

While a VM is suspended its executor's clock stands still and the owner's goes
on, so the owner may have started a run again whose end the executor still
lists. Such an end counts unless the lease lapses before it is acknowledged.
Without a suspension the lease has always lapsed when the grant ends.
"""

from borageshelf.agent.workflows import executor_lease
from borageshelf import events


class LeaseLapse:
    """Knows whether the lease has to lapse before it is used again.

    :ivar is_awaited: whether ends may not be acknowledged and the lease may
        not be extended
    """

    def __init__(
        self,
        lease: executor_lease.ExecutorLease,
        event_log: events.EventLog,
    ) -> None:
        self._lease = lease
        self._event_log = event_log
        self.is_awaited = False
        self._is_recorded = False
        self._executor_ms = 0

    def begin(self) -> None:
        """Begin to wait, unless the executor's clock has shown the lapse."""
        if not self.is_awaited and not self._lease.has_lapsed():
            self.is_awaited = True
            self._executor_ms = 0

    def note_reading(self) -> None:
        """Note that the lease has recorded a reading of the clock."""
        reading = self._lease.clock_reading
        if not self.is_awaited or reading is None:
            return
        former_ms, self._executor_ms = self._executor_ms, reading.executor_ms
        # The clock of another incarnation begins anew.
        if self._lease.has_lapsed() or reading.executor_ms < former_ms:
            self.end()
        elif not self._is_recorded:
            self._is_recorded = True
            self._event_log.record_state(
                'lease outlives the grant', left_ms=self.left_ms
            )

    def end(self) -> None:
        """Stop waiting: the lease has lapsed or its executor has gone."""
        self.is_awaited = False
        if self._is_recorded:
            self._is_recorded = False
            self._event_log.record_state(
                'lease has lapsed', executor_clock_ms=self._executor_ms
            )

    @property
    def left_ms(self) -> int:
        """Time until the lapse, by the last reading; 0 if none is awaited."""
        reading = self._lease.clock_reading
        if not self.is_awaited or reading is None:
            return 0
        return max(self._lease.latest_deadline_ms - reading.executor_ms, 0)
