"""Fake worker that enforces leases, and a record of what it executed."""

from collections import abc
import dataclasses
import itertools

from borageshelf.agent import reservations
from borageshelf.model import resources
from borageshelf.ports import worker as worker_interface

Key = reservations.AttemptKey
RUNNING = worker_interface.TaskState.RUNNING

BOOTS = itertools.count(1)


class Violation(AssertionError):
    """A property that must always hold is violated."""


@dataclasses.dataclass
class Execution:
    """One attempt that a worker has actually started."""

    key: Key
    request: worker_interface.StartRequest
    target_id: str
    state: worker_interface.TaskState = RUNNING
    lease_deadline_ms: int = 0
    result: bytes = b''
    checkpoint: str = ''
    is_dead: bool = False

    @property
    def runs(self) -> bool:
        """Whether the task is running."""
        return self.state is RUNNING and not self.is_dead


class FakeWorker:
    """A worker that enforces leases by its own clock.

    :param on_start: called with each new execution
    """

    def __init__(
        self,
        target_id: str,
        capacity: resources.Resources,
        on_start: abc.Callable[[Execution], None],
    ) -> None:
        self.target_id = target_id
        self.boot_id = f'vm{next(BOOTS)}'
        self.capacity = capacity
        self.tasks: dict[Key, Execution] = {}
        self._on_start = on_start

    def enforce_leases(self, now_ms: int) -> None:
        """Stop tasks whose lease has expired."""
        for task in self.tasks.values():
            if task.runs and task.lease_deadline_ms <= now_ms:
                task.state = worker_interface.TaskState.STOPPED

    def lose_vm(self) -> None:
        """Lose the VM with all tasks that run on it."""
        for task in self.tasks.values():
            task.is_dead = True
        self.tasks = {}

    def end_task(self, key: Key, is_success: bool) -> None:
        """End a running task with a success or a failure."""
        task = self.tasks.get(key)
        if task is not None and task.runs:
            states = worker_interface.TaskState
            task.state = states.SUCCEEDED if is_success else states.FAILED
            task.result = f'{key.task_id}:{key.attempt}'.encode()

    def list(self) -> tuple[worker_interface.WorkerTask, ...]:
        """Return the tasks that the worker knows."""
        return tuple(
            worker_interface.WorkerTask(
                key.task_id,
                key.attempt,
                task.request.owner,
                task.request.family,
                task.request.declared,
                task.state,
                task.lease_deadline_ms,
                task.result,
                task.checkpoint,
            )
            for key, task in self.tasks.items()
        )

    def start(
        self, request: worker_interface.StartRequest, now_ms: int
    ) -> bool:
        """Start a task, unless its lease has expired."""
        key = Key(request.task_id, request.attempt)
        if key in self.tasks:
            return True
        if request.lease_deadline_ms <= now_ms:
            return False
        task = Execution(key, request, self.target_id)
        task.lease_deadline_ms = request.lease_deadline_ms
        self._on_start(task)
        self.tasks[key] = task
        return True

    def renew(self, key: Key, deadline_ms: int, now_ms: int) -> None:
        """Extend the lease of a running task."""
        task = self.tasks.get(key)
        if task is not None and task.runs:
            task.lease_deadline_ms = max(task.lease_deadline_ms, deadline_ms)

    def stop(self, key: Key, checkpoint: bool) -> Execution | None:
        """Stop a task, after a checkpoint if requested."""
        task = self.tasks.get(key)
        if task is not None and task.runs:
            task.state = worker_interface.TaskState.STOPPED
            if checkpoint:
                task.checkpoint = f'{key.task_id}@{key.attempt}'
        return task
