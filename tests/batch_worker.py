"""Fake worker that enforces its leases, and a record of what really ran."""

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
    """A property that must always hold does not."""


@dataclasses.dataclass
class Execution:
    """One start of a task on a worker, as it really happened."""

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
        """Tell whether the task is running."""
        return self.state is RUNNING and not self.is_dead


class FakeWorker:
    """A worker that enforces its leases by its own clock."""

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

    def enforce(self, now_ms: int) -> None:
        """Stop tasks whose lease has passed."""
        for task in self.tasks.values():
            if task.runs and task.lease_deadline_ms <= now_ms:
                task.state = worker_interface.TaskState.STOPPED

    def die(self) -> None:
        """Lose the VM with all that runs on it."""
        for task in self.tasks.values():
            task.is_dead = True
        self.tasks = {}

    def end(self, key: Key, is_success: bool) -> None:
        """Let a running task end by itself."""
        task = self.tasks.get(key)
        if task is not None and task.runs:
            states = worker_interface.TaskState
            task.state = states.SUCCEEDED if is_success else states.FAILED
            task.result = f'{key.task_id}:{key.attempt}'.encode()

    def list(self) -> tuple[worker_interface.WorkerTask, ...]:
        """Return what the worker knows."""
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
        """Start a task; refuse if its lease has passed."""
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
        """Extend a lease."""
        task = self.tasks.get(key)
        if task is not None and task.runs:
            task.lease_deadline_ms = max(task.lease_deadline_ms, deadline_ms)

    def stop(self, key: Key, checkpoint: bool) -> Execution | None:
        """Stop a task, after a checkpoint if wanted."""
        task = self.tasks.get(key)
        if task is not None and task.runs:
            task.state = worker_interface.TaskState.STOPPED
            if checkpoint:
                task.checkpoint = f'{key.task_id}@{key.attempt}'
        return task
