"""Records that a shard keeps in the platform store.

These classes are what ``codec`` encodes, so a field may be added with a
default but never renamed or given another meaning.
"""

import dataclasses
import enum

from borageshelf.model import objects
from borageshelf.model import resources


class TaskPhase(enum.Enum):
    """Where a task stands."""

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
    """The place to which the current attempt was sent.

    :param vm_boot_id: identity of the VM's boot; another one proves that the
        attempt is dead
    :param agent_boot_id: the agent process to which the start was addressed
    :param epoch: fencing epoch of the owner that assigned the attempt
    :param reserved: size to reserve, from the declared and learned sizes
    :param speed: fraction of its processors with which the task starts
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
    """A failed attempt."""

    target_id: str
    code: int


@dataclasses.dataclass(frozen=True)
class TaskRecord:
    """One task of a job.

    :param task_id: ``<job id>/<replica>``
    :param attempt: number of the current or next attempt, from 1
    :param may_have_run: whether any attempt so far may have started
    :param not_before_ms: earliest time of the next attempt (backoff)
    :param expires_deadline_ms: time after which a finished record is removed
    :param excused: failures for which a target was found to be at fault
    :param code: number of the result code, once terminal
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

    @property
    def is_terminal(self) -> bool:
        """Tell whether the task has ended."""
        return self.phase in TERMINAL_PHASES


class ClaimOutcome(enum.Enum):
    """What is known about a request that claimed its key."""

    CLAIMED = 'claimed'
    DONE = 'done'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True)
class ClaimRecord:
    """A claim on the key of a non-idempotent request."""

    claim_id: str
    call_id: str
    outcome: ClaimOutcome
    expires_deadline_ms: int


@dataclasses.dataclass(frozen=True)
class Changes:
    """Records written or removed together.

    :param removed: ids of removed tasks
    :param removed_claims: ids of removed claims; kept apart because callers
        choose the ids of both, so a claim may have the id of a task
    """

    tasks: tuple[TaskRecord, ...] = ()
    claims: tuple[ClaimRecord, ...] = ()
    removed: tuple[str, ...] = ()
    removed_claims: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Tell whether there is nothing to write."""
        is_write = bool(self.tasks or self.claims)
        return not (is_write or self.removed or self.removed_claims)


@dataclasses.dataclass(frozen=True)
class Horizons:
    """Deadlines past which no grant of the owner's epoch may reach."""

    batch_deadline_ms: int = 0
    monitor_deadline_ms: int = 0

    def find_deadline_ms(self, work_class: objects.WorkClass) -> int:
        """Return the horizon for a class of work."""
        if work_class is objects.WorkClass.MONITOR:
            return self.monitor_deadline_ms
        return self.batch_deadline_ms


@dataclasses.dataclass(frozen=True)
class ShardHead:
    """The value of a shard's key; each commit replaces it.

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
