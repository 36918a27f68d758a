"""Records that a shard keeps in the platform store.

``codec`` encodes these classes by the names of their fields. To keep stored
records readable, a field may be added with a default, but no field may be
renamed or given another meaning.
"""

import dataclasses
import enum

from borageshelf.model import objects
from borageshelf.model import resources


class TaskPhase(enum.Enum):
    """Phase of a task from submission to its end."""

    QUEUED = 'queued'
    ASSIGNED = 'assigned'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNKNOWN = 'unknown'


TERMINAL_PHASES = frozenset(
    {
        TaskPhase.SUCCEEDED,
        TaskPhase.FAILED,
        TaskPhase.CANCELLED,
        TaskPhase.UNKNOWN,
    }
)


@dataclasses.dataclass(frozen=True)
class Assignment:
    """The target to which the current attempt is assigned.

    :param vm_boot_id: identity of the VM's boot; if the target reports
        another one, the attempt is dead
    :param agent_boot_id: the agent process to which the start is addressed
    :param epoch: fencing epoch of the owner that assigned the attempt
    :param reserved: resources to reserve, computed from the declared and the
        learned sizes
    :param speed: fraction of its processors that the task may use at first
    """

    target_id: str
    vm_boot_id: str
    agent_boot_id: str
    data_centre: str
    rack: str
    epoch: int
    reserved: resources.Resources = resources.NOTHING
    speed: float = 1.0


@dataclasses.dataclass(frozen=True)
class Failure:
    """A failed attempt.

    :param code: number of the result code
    """

    target_id: str
    code: int


@dataclasses.dataclass(frozen=True)
class TaskRecord:
    """One task of a job.

    :param task_id: ``<job id>/<replica>``
    :param attempt: number of the current or next attempt, from 1
    :param may_have_run: whether any attempt so far may have started
    :param not_before_ms: earliest time of the next attempt (backoff)
    :param failures: failed attempts that count against the task
    :param excused: number of failures that do not count against the task,
        because the target was found to be faulty
    :param code: number of the result code, once the task is terminal
    :param expires_deadline_ms: time after which a terminal record is removed
    :param crashes: crashes of workers and VMs under the task, each soon after
        the one before
    :param last_crash_at_ms: Unix milliseconds of the last of them
    """

    task_id: str
    job_id: str
    family: str
    team: str
    declared: resources.Resources
    submitted_at_ms: int
    phase: TaskPhase = TaskPhase.QUEUED
    work_class: objects.WorkClass = objects.WorkClass.BATCH
    idempotent: bool = True
    urgency: int = 0
    attempts_limit: int = 5
    data_centres: tuple[str, ...] = ()
    spread: str = 'none'
    arguments: bytes = b''
    attempt: int = 1
    assignment: Assignment | None = None
    may_have_run: bool = False
    checkpoint: str = ''
    cancel_requested: bool = False
    not_before_ms: int = 0
    failures: tuple[Failure, ...] = ()
    evictions: int = 0
    excused: int = 0
    code: int = 1
    result: bytes = b''
    expires_deadline_ms: int = 0
    crashes: int = 0
    last_crash_at_ms: int = 0

    @property
    def is_terminal(self) -> bool:
        """Whether the task has ended."""
        return self.phase in TERMINAL_PHASES


class ClaimOutcome(enum.Enum):
    """Known outcome of the call that holds a claim."""

    CLAIMED = 'claimed'
    DONE = 'done'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True)
class ClaimRecord:
    """A claim on the key of a non-idempotent request.

    At most one call holds the claim, which guards against a second execution
    of the request.

    :param call_id: the call that holds the claim
    :param expires_deadline_ms: time after which the record is removed
    """

    claim_id: str
    call_id: str
    outcome: ClaimOutcome
    expires_deadline_ms: int


@dataclasses.dataclass(frozen=True)
class Changes:
    """Records that one commit writes or removes.

    :param removed: ids of removed tasks
    :param removed_claims: ids of removed claims; separate, because callers
        choose the ids of both and a claim may have the id of a task
    """

    tasks: tuple[TaskRecord, ...] = ()
    claims: tuple[ClaimRecord, ...] = ()
    removed: tuple[str, ...] = ()
    removed_claims: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to write or remove."""
        has_writes = bool(self.tasks or self.claims)
        return not (has_writes or self.removed or self.removed_claims)


@dataclasses.dataclass(frozen=True)
class Horizons:
    """Latest deadlines that grants of the owner's epoch may have.

    A later owner may treat every attempt of the epoch as dead after them.
    """

    batch_deadline_ms: int = 0
    monitor_deadline_ms: int = 0

    def get_deadline_ms(self, work_class: objects.WorkClass) -> int:
        """Return the horizon of a work class."""
        if work_class is objects.WorkClass.MONITOR:
            return self.monitor_deadline_ms
        return self.batch_deadline_ms


@dataclasses.dataclass(frozen=True)
class ShardHead:
    """The value of a shard's head key; each commit replaces it.

    :param epoch: fencing epoch of the owner; each takeover increments it
    :param owner: entry id of the owner, or '' if the shard was released
    :param commit_id: unique id of the commit that wrote this head
    :param snapshot: store key of the snapshot, or ''
    :param deltas: changes since the snapshot, oldest first
    """

    epoch: int = 0
    owner: str = ''
    commit_id: str = ''
    horizons: Horizons = Horizons()
    snapshot: str = ''
    deltas: tuple[Changes, ...] = ()


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """All records of a shard at one commit."""

    tasks: tuple[TaskRecord, ...] = ()
    claims: tuple[ClaimRecord, ...] = ()
