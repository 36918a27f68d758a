"""Interface of the platform's worker on a target VM.

The worker runs tasks under leases and enforces them: it stops a task whose
lease deadline passes. Reports of resource usage are delayed.
"""

import dataclasses
import enum
from typing import Protocol

from borageshelf.model import numbers
from borageshelf.model import resources


class TaskState(enum.Enum):
    """State of one attempt on the worker."""

    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'


@dataclasses.dataclass(frozen=True)
class WorkerDescription:
    """Identity and capacity of the VM.

    :param boot_id: changes with each restart of the VM
    """

    boot_id: str
    capacity: resources.Resources
    rack: str


@dataclasses.dataclass(frozen=True)
class StartRequest:
    """One attempt to start.

    :param owner: opaque reference of the shard and epoch that granted the
        attempt
    :param lease_deadline_ms: the worker stops the task at this time
    """

    task_id: str
    attempt: numbers.WholeNumber
    owner: str
    family: str
    declared: resources.Resources
    lease_deadline_ms: numbers.WholeNumber
    checkpoint: str = ''
    arguments: bytes = b''


@dataclasses.dataclass(frozen=True)
class WorkerTask:
    """One attempt of which the worker has a record."""

    task_id: str
    attempt: numbers.WholeNumber
    owner: str
    family: str
    declared: resources.Resources
    state: TaskState
    lease_deadline_ms: numbers.WholeNumber
    result: bytes = b''
    checkpoint: str = ''


@dataclasses.dataclass(frozen=True)
class Checkpoint:
    """A saved state from which another VM can resume the task.

    :param reference: '' if there is no saved state
    """

    reference: str


@dataclasses.dataclass(frozen=True)
class StopResult:
    """State of an attempt after a stop.

    :param result: result of a task that finished before the stop
    """

    state: TaskState
    result: bytes = b''


@dataclasses.dataclass(frozen=True)
class UsageSample:
    """Resource usage of one task, measured at ``measured_at_ms``."""

    task_id: str
    attempt: numbers.WholeNumber
    used: resources.Resources
    measured_at_ms: numbers.WholeNumber


class Worker(Protocol):
    """The worker of one VM.

    Calls raise ``BorageshelfError`` with ``WORKER_UNAVAILABLE`` (the effect
    is unknown) or ``WORKER_REFUSED`` (no effect).
    """

    async def describe(self) -> WorkerDescription:
        """Return the identity and the capacity of the VM."""

    async def list(self) -> tuple[WorkerTask, ...]:
        """Return all attempts that are running or not released."""

    async def start(self, request: StartRequest) -> None:
        """Start an attempt; a repeated start has no effect."""

    async def renew(
        self, task_id: str, attempt: int, lease_deadline_ms: int
    ) -> None:
        """Extend the task's lease; an earlier deadline has no effect."""

    async def throttle(
        self, task_id: str, attempt: int, fraction: float
    ) -> None:
        """Limit the task to a fraction of its processors, 0 to 1."""

    async def checkpoint(self, task_id: str, attempt: int) -> Checkpoint:
        """Save the state of a running task."""

    async def stop(self, task_id: str, attempt: int) -> StopResult:
        """Stop an attempt; the answer tells whether it had finished."""

    async def release(self, task_id: str, attempt: int) -> None:
        """Delete the record of an attempt that is not running."""

    async def usage(self) -> tuple[UsageSample, ...]:
        """Return the latest usage samples."""
