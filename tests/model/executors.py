"""Model of the executors, after the platform's page on running tasks.

An executor handles one order at a time and at once. Its clock is 2% slow, the
slowest that the page allows, so that leases last as long as possible.
"""

import dataclasses
from typing import Any

from borageshelf.model import resources
from borageshelf.model import targets
from borageshelf.ports import task_executor
from tests.model import monitor
from tests.model import virtual_time

Outcome = task_executor.StartOutcome
EndKind = task_executor.EndKind

MAX_HOLD_MS = 6_000
CLOCK_PERCENT = 98
HEARTBEAT_INTERVAL_MS = 1_000
# A run without progress for two seconds would be moved.
PROGRESS_INTERVAL_MS = 100
CAPACITY = resources.Resources(16_000, 32_000)
END_NAMES = {
    EndKind.DONE: 'done',
    EndKind.STOPPED: 'stopped',
    EndKind.LEASE_EXPIRED: 'lapsed',
}


@dataclasses.dataclass(frozen=True)
class Start:
    """An order to start a run."""

    instance_id: str
    order: task_executor.StartOrder

    @property
    def text(self) -> str:
        """Description for the history."""
        return f'start of {self.order.task} attempt {self.order.attempt}'


@dataclasses.dataclass(frozen=True)
class Stop:
    """An order to stop a run."""

    instance_id: str
    task: str
    attempt: int
    token: int

    @property
    def text(self) -> str:
        """Description for the history."""
        return f'stop of {self.task} attempt {self.attempt}'


@dataclasses.dataclass(frozen=True)
class Inspect:
    """A request for the runs and the ends."""

    instance_id: str
    token: int
    acknowledged: int
    lease_deadline_ms: int
    wait_ms: int

    @property
    def text(self) -> str:
        """Description for the history."""
        return f'inspection with LastSeen {self.acknowledged}'


Order = Start | Stop | Inspect


class Executor:
    """One executor, through all of its incarnations.

    :param ends_limit: number of ends that one answer lists
    :ivar incarnation: counts the starts of the executor
    :ivar seen_attempts: highest attempt of each task that has ended or was
        stopped here
    """

    def __init__(
        self,
        name: str,
        model_clock: virtual_time.ModelClock,
        promise: monitor.Monitor,
        ends_limit: int,
    ) -> None:
        self.name = name
        self._clock = model_clock
        self._promise = promise
        self._ends_limit = ends_limit
        self.incarnation = 0
        self.is_up = False
        self.suspended_until_ms = 0
        self.start()

    def start(self) -> None:
        """Begin a new incarnation, which knows nothing."""
        self.incarnation += 1
        self.is_up = True
        self.born_ms = self._clock.now_ms
        # Moved on by suspensions, which the clock does not count.
        self.clock_zero_ms = self.born_ms
        self.heartbeats = 0
        self.token = 0
        self.lease_deadline_ms = 0
        self.running: dict[tuple[str, int], None] = {}
        self.ended: list[task_executor.EndedRun] = []
        self.next_number = 1
        self.seen_attempts: dict[str, int] = {}

    def crash(self) -> None:
        """End the present incarnation with all of its runs."""
        self.is_up = False
        self.running = {}
        self._promise.note_crash(self.full_name)

    @property
    def is_suspended(self) -> bool:
        """Whether its VM is suspended."""
        return self._clock.now_ms < self.suspended_until_ms

    def suspend(self, duration_ms: int) -> None:
        """Stand still for a while, and with it the clock."""
        self.suspended_until_ms = self._clock.now_ms + duration_ms
        self.clock_zero_ms += duration_ms

    @property
    def full_name(self) -> str:
        """Name with the incarnation, for the history."""
        return f'{self.name}/{self.incarnation}'

    def read_clock_ms(self) -> int:
        """Return the executor's own clock."""
        now_ms = self._clock.now_ms
        if self.is_suspended:
            # ``clock_zero_ms`` already counts the whole suspension.
            now_ms = self.suspended_until_ms
        return (now_ms - self.clock_zero_ms) * CLOCK_PERCENT // 100 + 1

    def find_lapse_ms(self) -> int | None:
        """Return the model's time at which the lease expires."""
        if not (self.is_up and self.lease_deadline_ms) or self.is_suspended:
            return None
        remaining_ms = self.lease_deadline_ms - self.read_clock_ms()
        return self._clock.now_ms + max(
            -(-remaining_ms * 100 // CLOCK_PERCENT), 0
        )

    def expire_lease(self) -> bool:
        """End all runs if the lease has expired; tell whether it has."""
        if not (self.is_up and self.lease_deadline_ms) or self.is_suspended:
            return False
        if self.read_clock_ms() < self.lease_deadline_ms:
            return False
        self.lease_deadline_ms = 0
        self._promise.note_lapse(self.full_name)
        for task, attempt in list(self.running):
            self.end_run(task, attempt, EndKind.LEASE_EXPIRED)
        return True

    def end_run(self, task: str, attempt: int, kind: EndKind) -> None:
        """End a run."""
        del self.running[(task, attempt)]
        number, self.next_number = self.next_number, self.next_number + 1
        self.ended.append(
            task_executor.EndedRun(number, task, attempt, kind, '')
        )
        self._note_attempt(task, attempt)
        self._promise.note_end(
            self.full_name, task, attempt, number, END_NAMES[kind]
        )

    def _note_attempt(self, task: str, attempt: int) -> None:
        self.seen_attempts[task] = max(
            self.seen_attempts.get(task, 0), attempt
        )

    def announce(self) -> targets.Announcement:
        """Return the next heartbeat."""
        self.heartbeats += 1
        return targets.Announcement(
            f'i-{self.name}',
            virtual_time.WALL_CLOCK_START_MS + self.born_ms,
            'pigment',
            f'{self.name}:1',
            self.heartbeats,
            CAPACITY,
            ('a', f'rack-{self.name}'),
            clock_ms=self.read_clock_ms(),
        )

    def _compute_progress_percent(self) -> int:
        """Return a progress that differs in each report."""
        return 1 + self._clock.now_ms // PROGRESS_INTERVAL_MS % 90

    # Orders; each returns the answer or an outcome that refuses it.

    def handle(self, order: Order) -> Any:
        """Carry out an order and return the answer to it."""
        if isinstance(order, Start):
            return self._handle_start(order.order)
        if order.token < self.token:
            return Outcome.FENCED
        self.token = order.token
        if isinstance(order, Stop):
            return self._handle_stop(order)
        return self._handle_inspection(order)

    def _extend_lease(self, deadline_ms: int) -> None:
        deadline_ms = min(deadline_ms, self.read_clock_ms() + MAX_HOLD_MS)
        self.lease_deadline_ms = max(self.lease_deadline_ms, deadline_ms)

    def _handle_start(self, order: task_executor.StartOrder) -> Outcome:
        if order.token < self.token:
            return Outcome.FENCED
        self.token = order.token
        key = (order.task, order.attempt)
        if order.lease_deadline_ms <= self.read_clock_ms():
            return Outcome.TOO_LATE
        self._extend_lease(order.lease_deadline_ms)
        if key in self.running:
            return Outcome.STARTED
        if order.attempt <= self.seen_attempts.get(order.task, 0):
            return Outcome.SUPERSEDED
        self._promise.note_start(self.full_name, *key)
        self.running[key] = None
        return Outcome.STARTED

    def _handle_stop(self, order: Stop) -> Outcome:
        if (order.task, order.attempt) in self.running:
            self.end_run(order.task, order.attempt, EndKind.STOPPED)
        self._note_attempt(order.task, order.attempt)
        return Outcome.STARTED

    def _handle_inspection(self, order: Inspect) -> task_executor.Inspection:
        self._promise.note_acknowledgement(self.full_name, order.acknowledged)
        self.ended = [
            end for end in self.ended if end.number > order.acknowledged
        ]
        if order.lease_deadline_ms:
            self._extend_lease(order.lease_deadline_ms)
        return self.list_runs()

    def list_runs(self) -> task_executor.Inspection:
        """Return the answer to an inspection."""
        return task_executor.Inspection(
            self.read_clock_ms(),
            virtual_time.WALL_CLOCK_START_MS + self.born_ms,
            tuple(
                task_executor.RunningTask(
                    task, attempt, '', self._compute_progress_percent(), 0
                )
                for task, attempt in self.running
            ),
            tuple(self.ended[: self._ends_limit]),
            len(self.ended) < self._ends_limit,
        )
