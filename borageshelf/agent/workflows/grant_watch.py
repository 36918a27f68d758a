"""Stops the runs of an executor once the owner's grant has ended.

Without suspensions the executor's lease ends all runs before. While a VM is
suspended the executor's clock stands still and the grant goes on, so runs may
have a lease when the owner already counts them as ended.
"""

import asyncio
from collections import abc
from typing import Final

from borageshelf.agent.workflows import executor_lease
from borageshelf.agent.workflows import lease_lapse
from borageshelf.agent.workflows import runs
from borageshelf import clock
from borageshelf import events
from borageshelf import loop
from borageshelf import measurements
from borageshelf.ports import task_executor

# Short, because a VM that goes on may already have lost its grant.
CHECK_INTERVAL_MS: Final = 100
RETRY_PAUSE_MS: Final = 120
# Shorter pauses of the process are those of a busy processor.
LOGGED_PAUSE_MS: Final = 1_000


class GrantWatch:
    """Knows the grant, and stops all runs when it has ended.

    :param former_grant_ms: longest grant of a former process of this agent
    :param list_runs: returns the runs that the executor may have
    :param get_instance_id: returns the id that orders name
    :param lapse: begins when the grant has ended
    :ivar token: highest fencing token of this process; 0 if it has none
    """

    def __init__(
        self,
        executor: task_executor.TaskExecutor,
        event_log: events.EventLog,
        lease: executor_lease.ExecutorLease,
        former_grant_ms: int,
        list_runs: abc.Callable[[], abc.Collection[runs.AgentRun]],
        get_instance_id: abc.Callable[[], str],
        lapse: lease_lapse.LeaseLapse,
    ) -> None:
        self._executor = executor
        self._event_log = event_log
        self._lease = lease
        self._former_deadline_ms = clock.read_elapsed_ms() + former_grant_ms
        self._list_runs = list_runs
        self._get_instance_id = get_instance_id
        self._lapse = lapse
        self.token = 0
        self.deadline_ms = 0
        self._stopping: set[tuple[str, int]] = set()
        self._stops = loop.TaskGroup()

    def note_token(self, token: int) -> None:
        """Note the token of a session, which may be of a former owner."""
        self.token = max(self.token, token)

    def extend(self, deadline_ms: int) -> None:
        """Extend the grant, which never shortens."""
        # An answer may be read before the watch has run on a VM that goes on.
        self.check_lapse()
        self.deadline_ms = max(self.deadline_ms, deadline_ms)

    def check_lapse(self) -> bool:
        """Tell whether the lease has to lapse, as it has outlived a grant."""
        has_ended = self.deadline_ms <= clock.read_elapsed_ms()
        if has_ended and self._lease.is_extended:
            self._lapse.begin()
        return self._lapse.is_awaited

    def has_ended(self) -> bool:
        """Tell whether the grants of this and former processes have ended."""
        deadline_ms = max(self.deadline_ms, self._former_deadline_ms)
        return clock.read_elapsed_ms() >= deadline_ms

    async def stop(self) -> None:
        """Send no more orders."""
        await self._stops.stop()

    async def run(self) -> None:
        """Check the grant until cancelled."""
        elapsed_ms = clock.read_elapsed_ms()
        running_ms = clock.read_running_ms()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            former_elapsed_ms, elapsed_ms = elapsed_ms, clock.read_elapsed_ms()
            former_running_ms, running_ms = running_ms, clock.read_running_ms()
            self._lease.read_attended_ms()
            paused_ms = elapsed_ms - former_elapsed_ms - CHECK_INTERVAL_MS
            if paused_ms >= LOGGED_PAUSE_MS:
                self._event_log.record_state(
                    'process was paused',
                    paused_ms=paused_ms,
                    running_ms=running_ms - former_running_ms,
                    grant_left_ms=self.deadline_ms - elapsed_ms,
                )
            self.check_lapse()
            if self.token and self.has_ended():
                self._stop_runs()

    def _stop_runs(self) -> None:
        """Begin to stop each run that may be on the executor."""
        found = [
            run
            for run in self._list_runs()
            if run.may_exist
            and not run.is_stop_accepted
            and run.key not in self._stopping
        ]
        if not found:
            return
        reading = self._lease.clock_reading
        self._event_log.record_state(
            'grant ended',
            runs=len(found),
            ended_ms=clock.read_elapsed_ms() - self.deadline_ms,
            executor_clock_ms=reading.executor_ms if reading else None,
            executor_clock_age_ms=(
                clock.read_elapsed_ms() - reading.elapsed_ms
                if reading
                else None
            ),
        )
        for run in found:
            self._stopping.add(run.key)
            run.state = runs.RunState.STOPPING
            self._stops.start(self._stop(run, self.token))

    async def _stop(self, run: runs.AgentRun, token: int) -> None:
        """Order a stop until it is accepted or the run has a grant again."""
        try:
            while self.token == token and self.has_ended() and self._has(run):
                if await self._try_stop(run, token):
                    return
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)
        finally:
            self._stopping.discard(run.key)

    def _has(self, run: runs.AgentRun) -> bool:
        return any(each is run for each in self._list_runs())

    async def _try_stop(self, run: runs.AgentRun, token: int) -> bool:
        """Order a stop; return whether no further order is needed."""
        task, attempt = run.key
        try:
            await self._executor.stop(
                self._get_instance_id(), task, attempt, token
            )
        except task_executor.ExecutorUnavailable:
            measurements.EXECUTOR_FAILURES.inc()
            return False
        except task_executor.OrderRefused as error:
            self._event_log.record(
                'stop refused',
                task=task,
                attempt=attempt,
                reason=error.outcome.value,
            )
            # A higher token belongs to a later session or process.
            return error.outcome is task_executor.StartOutcome.FENCED
        run.note_accepted_stop()
        self._event_log.record(
            'stopped without a grant', task=task, attempt=attempt, token=token
        )
        return True
