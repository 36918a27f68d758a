"""State transitions of one task record, as pure functions.

The owner of a shard turns each message into one of the events below and
commits the record that ``advance`` returns. An event about an attempt that is
not the current one leaves the record unchanged, which guards against a delayed
or repeated message that counts twice.
"""

import dataclasses
import functools
from typing import Final

from borageshelf.decisions import retries
from borageshelf import errors
from borageshelf.shards import records

FINISHED_RETENTION_MS: Final = 24 * 3600 * 1000
# A task that fails on this many different targets is considered faulty itself
# and ends.
FAILED_TARGETS_LIMIT: Final = 3
# Bounds counted and excused failures together, as a multiple of the task's
# attempts limit. Without it, a job that makes every target look faulty, as in
# a fleet of one target, was started again without end.
TOTAL_ATTEMPTS_FACTOR: Final = 3
# The users' rules allow two more starts after the third crash of a worker.
CRASHES_LIMIT: Final = 4
# A crash later than this after the one before counts as the first. Over its
# life, a monitor meets any number of crashes that are not its own; the longest
# backoff between two attempts is a minute.
CRASH_MEMORY_MS: Final = 10 * 60 * 1000


@dataclasses.dataclass(frozen=True)
class Assigned:
    """The task is assigned to a target."""

    assignment: records.Assignment


@dataclasses.dataclass(frozen=True)
class NeverStarted:
    """The agent proved that the attempt has not started and never will."""

    attempt: int


@dataclasses.dataclass(frozen=True)
class Refused:
    """The worker refused the attempt, which therefore never runs."""

    attempt: int
    code: int


@dataclasses.dataclass(frozen=True)
class Succeeded:
    """The attempt finished with a result."""

    attempt: int
    result: bytes


@dataclasses.dataclass(frozen=True)
class Failed:
    """The worker reported that the attempt failed.

    :param is_target_faulty: whether the target is known to fail everything;
        then the failure does not count against the task
    """

    attempt: int
    code: int
    is_target_faulty: bool = False


@dataclasses.dataclass(frozen=True)
class Stopped:
    """The attempt was stopped.

    :param checkpoint: reference of its checkpoint, or '' if it has none
    """

    attempt: int
    checkpoint: str


@dataclasses.dataclass(frozen=True)
class Lost:
    """The attempt is proved dead; whether it had any effect is unknown.

    :param is_crash: whether its worker or VM crashed, perhaps because of it
    """

    attempt: int
    is_crash: bool = False


@dataclasses.dataclass(frozen=True)
class CancelRequested:
    """A caller requested the cancellation of the task."""


@dataclasses.dataclass(frozen=True)
class NeverFits:
    """No VM of the fleet is large enough for the task."""


@dataclasses.dataclass(frozen=True)
class FailuresExcused:
    """A target was found to be faulty; failures on it no longer count."""

    target_id: str


AttemptEvent = NeverStarted | Refused | Succeeded | Failed | Stopped | Lost


@functools.singledispatch
def advance(
    event: object, task: records.TaskRecord, now_ms: int
) -> records.TaskRecord:
    """Return the task record after an event.

    :param event: one of the events of this module
    :param now_ms: wall-clock time in Unix milliseconds
    :raises TypeError: if the event type is unknown
    """
    raise TypeError(f'no transition for {type(event).__name__}')


@advance.register
def _(
    event: Assigned, task: records.TaskRecord, now_ms: int
) -> records.TaskRecord:
    if task.phase is not records.TaskPhase.QUEUED:
        return task
    return dataclasses.replace(
        task,
        phase=records.TaskPhase.ASSIGNED,
        assignment=event.assignment,
    )


@advance.register
def _(
    event: NeverStarted, task: records.TaskRecord, now_ms: int
) -> records.TaskRecord:
    if not _is_current(task, event.attempt):
        return task
    if task.cancel_requested:
        return _end_cancelled(task, now_ms)
    # The attempt number increases although nothing ran, because the agent
    # refuses the old number from now on.
    return _requeue(task, now_ms, retries.REFUSED_BACKOFF_MS)


@advance.register
def _(
    event: Succeeded, task: records.TaskRecord, now_ms: int
) -> records.TaskRecord:
    if not _is_current(task, event.attempt):
        return task
    task = dataclasses.replace(task, may_have_run=True, result=event.result)
    return _end(task, records.TaskPhase.SUCCEEDED, errors.OK, now_ms)


@advance.register
def _(
    event: Failed, task: records.TaskRecord, now_ms: int
) -> records.TaskRecord:
    if not _is_current(task, event.attempt):
        return task
    assert task.assignment is not None
    failure = records.Failure(task.assignment.target_id, event.code)
    task = dataclasses.replace(task, may_have_run=True)
    if event.is_target_faulty:
        task = dataclasses.replace(task, excused=task.excused + 1)
    else:
        failures = (*task.failures, failure)
        task = dataclasses.replace(task, failures=failures)
    if task.cancel_requested:
        return _end_cancelled(task, now_ms)
    if event.code == errors.RESULT_TOO_LARGE.number:
        return _end(
            task, records.TaskPhase.FAILED, errors.RESULT_TOO_LARGE, now_ms
        )
    if not task.idempotent:
        return _end(task, records.TaskPhase.FAILED, errors.TASK_FAILED, now_ms)
    return _retry(task, now_ms)


@advance.register
def _(
    event: Refused, task: records.TaskRecord, now_ms: int
) -> records.TaskRecord:
    if not _is_current(task, event.attempt):
        return task
    assert task.assignment is not None
    failure = records.Failure(task.assignment.target_id, event.code)
    task = dataclasses.replace(task, failures=(*task.failures, failure))
    if task.cancel_requested:
        return _end_cancelled(task, now_ms)
    if len(task.failures) >= task.attempts_limit and not task.may_have_run:
        return _end(
            task, records.TaskPhase.FAILED, errors.WORKER_REFUSED, now_ms
        )
    return _retry(task, now_ms)


def _retry(task: records.TaskRecord, now_ms: int) -> records.TaskRecord:
    """Queue a task again after a failure, or end it at a limit."""
    failed_targets = {failure.target_id for failure in task.failures}
    if len(failed_targets) >= FAILED_TARGETS_LIMIT:
        return _end(
            task,
            records.TaskPhase.FAILED,
            errors.JOB_FAILS_EVERYWHERE,
            now_ms,
        )
    failure_count = len(task.failures) + task.excused
    is_over_limit = len(task.failures) >= task.attempts_limit
    if (
        is_over_limit
        or failure_count >= TOTAL_ATTEMPTS_FACTOR * task.attempts_limit
    ):
        return _end(task, records.TaskPhase.FAILED, errors.TASK_FAILED, now_ms)
    delay_ms = retries.compute_backoff_ms(task.task_id, len(task.failures))
    return _requeue(task, now_ms, delay_ms)


@advance.register
def _(
    event: Stopped, task: records.TaskRecord, now_ms: int
) -> records.TaskRecord:
    if not _is_current(task, event.attempt):
        return task
    checkpoint = event.checkpoint or task.checkpoint
    can_resume = bool(event.checkpoint)
    task = dataclasses.replace(
        task,
        may_have_run=True,
        checkpoint=checkpoint,
        evictions=task.evictions + 1,
    )
    if task.cancel_requested:
        return _end_cancelled(task, now_ms)
    if not task.idempotent and not can_resume:
        return _end_unknown(task, now_ms)
    return _requeue(task, now_ms, 0)


@advance.register
def _(
    event: Lost, task: records.TaskRecord, now_ms: int
) -> records.TaskRecord:
    if not _is_current(task, event.attempt):
        return task
    task = dataclasses.replace(task, may_have_run=True)
    if not task.idempotent:
        return _end_unknown(task, now_ms)
    if task.cancel_requested:
        return _end_cancelled(task, now_ms)
    if event.is_crash:
        return _retry_after_crash(task, now_ms)
    return _requeue(task, now_ms, 0)


def _retry_after_crash(
    task: records.TaskRecord, now_ms: int
) -> records.TaskRecord:
    """Queue a task again, or end it after too many crashes under it.

    The backoff parts the tasks that were on the same worker, so that those
    which did not crash it are not there at its next crash.
    """
    is_recent = now_ms - task.last_crash_at_ms <= CRASH_MEMORY_MS
    crashes = task.crashes + 1 if is_recent else 1
    task = dataclasses.replace(task, crashes=crashes, last_crash_at_ms=now_ms)
    if crashes >= CRASHES_LIMIT:
        return _end(
            task,
            records.TaskPhase.FAILED,
            errors.TASK_CRASHES_WORKERS,
            now_ms,
        )
    delay_ms = retries.compute_backoff_ms(task.task_id, crashes)
    return _requeue(task, now_ms, delay_ms)


@advance.register
def _(
    event: CancelRequested, task: records.TaskRecord, now_ms: int
) -> records.TaskRecord:
    if task.is_terminal:
        return task
    if task.phase is records.TaskPhase.QUEUED:
        return _end_cancelled(task, now_ms)
    return dataclasses.replace(task, cancel_requested=True)


@advance.register
def _(
    event: NeverFits, task: records.TaskRecord, now_ms: int
) -> records.TaskRecord:
    if task.phase is not records.TaskPhase.QUEUED:
        return task
    # JOB_NEVER_FITS tells the caller "not run", which is wrong if an earlier
    # attempt ran on a VM that no longer exists.
    code = errors.STOPPED if task.may_have_run else errors.JOB_NEVER_FITS
    return _end(task, records.TaskPhase.FAILED, code, now_ms)


@advance.register
def _(
    event: FailuresExcused, task: records.TaskRecord, now_ms: int
) -> records.TaskRecord:
    if task.is_terminal:
        return task
    counted = tuple(
        failure
        for failure in task.failures
        if failure.target_id != event.target_id
    )
    excused = task.excused + len(task.failures) - len(counted)
    return dataclasses.replace(task, failures=counted, excused=excused)


def _is_current(task: records.TaskRecord, attempt: int) -> bool:
    """Tell whether an attempt is the task's assigned, current one."""
    is_assigned = task.phase is records.TaskPhase.ASSIGNED
    return is_assigned and task.attempt == attempt


def _requeue(
    task: records.TaskRecord, now_ms: int, delay_ms: int
) -> records.TaskRecord:
    return dataclasses.replace(
        task,
        phase=records.TaskPhase.QUEUED,
        assignment=None,
        attempt=task.attempt + 1,
        not_before_ms=now_ms + delay_ms,
    )


def _end_cancelled(
    task: records.TaskRecord, now_ms: int
) -> records.TaskRecord:
    code = errors.STOPPED if task.may_have_run else errors.CANCELLED
    return _end(task, records.TaskPhase.CANCELLED, code, now_ms)


def _end_unknown(task: records.TaskRecord, now_ms: int) -> records.TaskRecord:
    return _end(
        task, records.TaskPhase.UNKNOWN, errors.OUTCOME_UNKNOWN, now_ms
    )


def _end(
    task: records.TaskRecord,
    phase: records.TaskPhase,
    code: errors.ResultCode,
    now_ms: int,
) -> records.TaskRecord:
    # The record is kept for a day for its result; the arguments are dropped
    # because nothing starts the task again.
    return dataclasses.replace(
        task,
        phase=phase,
        code=code.number,
        assignment=None,
        arguments=b'',
        expires_deadline_ms=now_ms + FINISHED_RETENTION_MS,
    )
