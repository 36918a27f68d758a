"""Checks the promise that a lasting task has a run while there is room.

The monitor sees the executors and the disruptions, but not the owner's books.
It follows rule LOST of the users' platform. As a wait of the owner may be
needed to keep the promise that no task runs twice at a time, rule TWICE, it
checks that one too.
"""

from collections import abc
import dataclasses
from typing import Final

from borageshelf.model import workflows
from tests.lasting import executors

# The rule begins to count this long after the last run of a task,
RUN_GRACE_MS: Final = 6_000
# and this long after the last disruption,
CALM_GRACE_MS: Final = 4_000
# and allows so much time without a run.
ABSENCE_LIMIT_MS: Final = 3_000
# Number of executors that would take the task.
ROOM_COUNT: Final = 2


@dataclasses.dataclass
class LastingTask:
    """A lasting task that a caller has handed in.

    :ivar last_run_ms: time of its last run; that of its acceptance before
    :ivar room_since_ms: time since when executors would take it; None if
        too few would
    :ivar is_reported: whether its present absence has been reported
    """

    name: str
    step: workflows.Step
    last_run_ms: int
    room_since_ms: int | None = None
    is_reported: bool = False

    @property
    def step_name(self) -> str:
        """Name of its step, with which the names of all siblings begin."""
        return self.name.rpartition('.')[0] + '.'


@dataclasses.dataclass(frozen=True)
class Violation:
    """A lasting task that had no run in time.

    :param absent_ms: time since its last run
    :param target_ids: targets that would take it; those that run it if it
        runs twice
    """

    at_ms: int
    task: str
    absent_ms: int
    calm_ms: int
    target_ids: tuple[str, ...]
    is_twice: bool = False


class Monitor:
    """Observes all executors of a history."""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.longest_absence_ms = 0
        self._tasks: dict[str, LastingTask] = {}
        self._twice: set[str] = set()
        self._open_disruptions = 0
        self._calm_since_ms = 0

    def begin_disruption(self) -> None:
        """Note that a disruption begins."""
        self._open_disruptions += 1

    def end_disruption(self, now_ms: int) -> None:
        """Note that a disruption has ended."""
        self._open_disruptions -= 1
        self._calm_since_ms = now_ms

    def note_accepted(self, workflow: workflows.Workflow, now_ms: int) -> None:
        """Begin to observe the lasting tasks of an accepted workflow."""
        for number, step in enumerate(workflow.steps):
            if not step.is_lasting:
                continue
            for index in range(step.count):
                name = f'{workflow.workflow_id}.0.{number}.{index}'
                self._tasks[name] = LastingTask(name, step, now_ms)

    def note_cancelled(self, workflow_id: str) -> None:
        """Forget the tasks of a workflow that a caller cancels."""
        for name in list(self._tasks):
            if name.startswith(f'{workflow_id}.'):
                del self._tasks[name]

    def check(
        self, all_executors: abc.Collection[executors.Executor], now_ms: int
    ) -> list[Violation]:
        """Check all tasks; return the violations that are new."""
        running: dict[str, list[str]] = {}
        for executor in all_executors:
            if executor.is_up:
                for name, _ in executor.runs:
                    running.setdefault(name, []).append(executor.target_id)
        found = [
            Violation(now_ms, name, 0, 0, tuple(target_ids), is_twice=True)
            for name, target_ids in running.items()
            if len(target_ids) > 1 and name not in self._twice
        ]
        self._twice.update(violation.task for violation in found)
        for task in self._tasks.values():
            if task.name in running:
                task.last_run_ms = now_ms
                task.room_since_ms = None
                task.is_reported = False
                continue
            violation = self._check_absent(task, all_executors, now_ms)
            if violation is not None:
                found.append(violation)
        self.violations += found
        return found

    def _check_absent(
        self,
        task: LastingTask,
        all_executors: abc.Iterable[executors.Executor],
        now_ms: int,
    ) -> Violation | None:
        target_ids = tuple(
            executor.target_id
            for executor in all_executors
            if executor.would_take(task.step, task.step_name)
        )
        if len(target_ids) < ROOM_COUNT:
            task.room_since_ms = None
            return None
        if task.room_since_ms is None:
            task.room_since_ms = now_ms
        if self._open_disruptions:
            return None
        absent_ms = now_ms - task.last_run_ms
        calm_ms = now_ms - self._calm_since_ms
        is_due = (
            absent_ms > RUN_GRACE_MS + ABSENCE_LIMIT_MS
            and calm_ms > CALM_GRACE_MS + ABSENCE_LIMIT_MS
            and now_ms - task.room_since_ms > ABSENCE_LIMIT_MS
        )
        if calm_ms > CALM_GRACE_MS:
            self.longest_absence_ms = max(self.longest_absence_ms, absent_ms)
        if not is_due or task.is_reported:
            return None
        task.is_reported = True
        return Violation(now_ms, task.name, absent_ms, calm_ms, target_ids)
