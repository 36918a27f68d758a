"""Records of workflows in the platform store.

Each workflow has two keys: its specification, which is written once, and its
state, which every change replaces. ``msgspec`` encodes these classes as
arrays, so a field may be appended with a default, but must never be renamed,
moved or given another meaning.
"""

import enum
from typing import Annotated, Final

import msgspec

from borageshelf.model import numbers
from borageshelf.model import workflows

PREFIX: Final = 'borageshelf/'
HEAD_KEY: Final = PREFIX + 'head'
OWNER_KEY: Final = PREFIX + 'owner'
JOBS_PREFIX: Final = PREFIX + 'job/'
CANCELLATIONS_PREFIX: Final = PREFIX + 'cancelled/'
_SPEC_SUFFIX: Final = '/spec'
_STATE_SUFFIX: Final = '/state'
# Fencing tokens are a million times larger and must stay exact numbers.
EPOCH_LIMIT: Final = 1_000_000_000
Epoch = Annotated[int, msgspec.Meta(ge=0, le=EPOCH_LIMIT)]
# Longer than any wait for a silent target.
LEFT_LIMIT_MS: Final = 60_000
# A page is written again with each commit that adds a row to it.
CANCELLATION_PAGE_ROWS: Final = 32
# 2020-01-01. The seconds since then exceed the number of takeovers.
EPOCH_ESTIMATE_START_MS: Final = 1_577_836_800_000
LeftTime = Annotated[int, msgspec.Meta(ge=0, le=LEFT_LIMIT_MS)]


class Phase(enum.IntEnum):
    """Phase of a workflow's life cycle."""

    ACTIVE = 0
    COMPLETED = 1
    FAILED = 2
    CANCELLED = 3


class Terms(msgspec.Struct, frozen=True, array_like=True):
    """Terms of the queue at the time when the workflow was accepted.

    :param accepted_at_ms: Unix time
    :param is_prompt: whether admission control expected the workflow to
        complete within its objective
    """

    queue: str
    service: str
    priority: numbers.Number
    attempts_limit: numbers.Number
    slack_factor: numbers.Amount
    latency_target_ms: numbers.Number
    accepted_at_ms: numbers.WholeNumber
    is_prompt: bool = True


class SpecRecord(msgspec.Struct, frozen=True, array_like=True):
    """Immutable part of a workflow."""

    workflow: workflows.Workflow
    terms: Terms


class RunRecord(msgspec.Struct, frozen=True, array_like=True):
    """A run that may exist on a target.

    :param executor_hash: hash of the incarnation of the executor on which it
        was placed; 0 if the end of that one has been counted as a crash
    """

    attempt: numbers.WholeNumber
    target_id: str
    executor_hash: numbers.WholeNumber = 0


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """Crashes of executors under a task; see ``crash_blame.History``."""

    crashes: numbers.WholeNumber = 0
    quick_crashes: numbers.WholeNumber = 0
    evidence: numbers.Amount = 0.0
    is_suspect: bool = False
    early_crashes: numbers.WholeNumber = 0


class TaskRecord(msgspec.Struct, frozen=True, array_like=True):
    """Progress of one task; a task without progress is not stored.

    :param number: index of the task among all tasks of the workflow
    :param attempts: highest attempt number used so far
    :param failures: number of attempts that failed, of the task or its gang
    :param crashes: crashes of executors under the task; None for none
    :param failed_attempts: numbers of the attempts that failed
    """

    number: numbers.WholeNumber
    is_done: bool = False
    attempts: numbers.WholeNumber = 0
    failures: numbers.WholeNumber = 0
    checkpoint: str = ''
    runs: tuple[RunRecord, ...] = ()
    crashes: CrashRecord | None = None
    failed_attempts: tuple[numbers.WholeNumber, ...] = ()


class StateRecord(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a workflow.

    :param ended_at_ms: Unix time of the end; 0 while the workflow is active
    :param cause: human-readable reason for the end
    :param complete_occurrences: first and last number of each range of
        complete occurrences; their tasks are listed only if they have runs
    """

    phase: Phase = Phase.ACTIVE
    ended_at_ms: numbers.WholeNumber = 0
    cause: str = ''
    tasks: tuple[TaskRecord, ...] = ()
    complete_occurrences: tuple[
        tuple[numbers.WholeNumber, numbers.WholeNumber], ...
    ] = ()


class CancellationRecord(msgspec.Struct, frozen=True, array_like=True):
    """A cancellation of a workflow that the owner did not know.

    :param expires_deadline_ms: Unix time until which the id is refused
    """

    workflow_id: Annotated[str, msgspec.Meta(max_length=64)]
    expires_deadline_ms: numbers.WholeNumber


class CancellationPage(msgspec.Struct, frozen=True, array_like=True):
    """Cancellations that are stored together; see ``cancellations``."""

    rows: Annotated[
        tuple[CancellationRecord, ...],
        msgspec.Meta(max_length=CANCELLATION_PAGE_ROWS),
    ] = ()


class SilentTarget(msgspec.Struct, frozen=True, array_like=True):
    """A target that gets no grant before the next commit.

    Its times are no deadlines, because entries share no clock.

    :param lasting_left_ms: time from the commit by which its runs of tasks
        that last have ended
    :param other_left_ms: the same for all its other runs
    :param executor_id: id of its executor; '' if not known
    """

    target_id: str
    lasting_left_ms: LeftTime
    other_left_ms: LeftTime
    executor_id: str = ''


class HeadRecord(msgspec.Struct, frozen=True, array_like=True):
    """Head of the store, replaced by each commit with a compare-and-swap.

    :param epoch: number of the owner, incremented by each takeover
    :param commit_id: identifies the last commit, which tells whether an
        unanswered commit took effect
    :param is_resigned: whether the owner has resigned with this commit; it has
        extended no grant after it was sent
    :param silent_targets: silent targets that have runs; all targets that
        have runs if the owner has resigned
    """

    epoch: Epoch = 0
    entry_id: str = ''
    boot_id: str = ''
    address: str = ''
    commit_id: str = ''
    is_resigned: bool = False
    silent_targets: tuple[SilentTarget, ...] = ()


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True):
    """Value of the owner key, which is bound to the lease of a live owner."""

    epoch: Epoch
    entry_id: str
    boot_id: str
    address: str


def make_spec_key(workflow_id: str) -> str:
    """Return the key of a workflow's specification."""
    return f'{JOBS_PREFIX}{workflow_id}{_SPEC_SUFFIX}'


def make_state_key(workflow_id: str) -> str:
    """Return the key of a workflow's state."""
    return f'{JOBS_PREFIX}{workflow_id}{_STATE_SUFFIX}'


def make_cancellations_key(epoch: int, number: int) -> str:
    """Return the key of a page of cancellations.

    :param epoch: epoch of the owner that writes it
    """
    return f'{CANCELLATIONS_PREFIX}{epoch}-{number}'


def find_workflow_id(key: str) -> str:
    """Return the workflow id in a key below the prefix of workflows.

    It is '' in the key of another writer that names none.
    """
    return key[len(JOBS_PREFIX) :].partition('/')[0]


def parse_workflow_id(state_key: str) -> str | None:
    """Return the workflow id in a state key; None for any other key."""
    if not state_key.endswith(_STATE_SUFFIX):
        return None
    return state_key[len(JOBS_PREFIX) : -len(_STATE_SUFFIX)]


def estimate_epoch(now_wall_ms: int) -> int:
    """Return an epoch above those of all owners, none of which is known."""
    return (now_wall_ms - EPOCH_ESTIMATE_START_MS) // 1_000
