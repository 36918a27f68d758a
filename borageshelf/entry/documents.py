"""JSON documents of the HTTP interface for callers."""

import dataclasses

from borageshelf import errors
from borageshelf.model import numbers
from borageshelf.shards import records


@dataclasses.dataclass(frozen=True)
class JobRequest:
    """Request body that submits a job.

    :param job: name of a job in the configuration
    :param key: idempotency key of the caller; a repeat with the same key
        refers to the same job
    :param arguments: text that is passed to the task
    """

    job: str
    key: str = ''
    arguments: str = ''


@dataclasses.dataclass(frozen=True)
class TaskAnswer:
    """State of one task."""

    task_id: str
    phase: str
    attempt: numbers.WholeNumber
    evictions: numbers.WholeNumber
    target: str = ''
    code: numbers.WholeNumber = errors.PENDING.number
    result: str = ''


@dataclasses.dataclass(frozen=True)
class JobAnswer:
    """State of a job; the code is final unless it is ``PENDING``.

    :param work: whether the work was done, by the category of the code
    """

    job_id: str
    code: numbers.WholeNumber
    code_name: str
    work: str = errors.Category.PENDING.value
    result: str = ''
    tasks: tuple[TaskAnswer, ...] = ()


@dataclasses.dataclass(frozen=True)
class ErrorAnswer:
    """Body of an answer that is not a success.

    :param work: whether the work was done, by the category of the code
    :param retry_deadline_ms: Unix milliseconds before which a retry is
        expected to fail, or 0
    """

    code: numbers.WholeNumber
    code_name: str
    work: str
    detail: str
    retry_deadline_ms: numbers.WholeNumber = 0


def describe_job(
    job_id: str, tasks: tuple[records.TaskRecord, ...]
) -> JobAnswer:
    """Return the state of a job.

    The job ends with its last task; its code is the highest code of a task.
    """
    code = errors.PENDING
    if all(task.is_terminal for task in tasks):
        codes = [errors.find(task.code) for task in tasks]
        code = max(codes, key=lambda task_code: task_code.number)
    result = tasks[0].result.decode(errors='replace')
    return JobAnswer(
        job_id,
        code.number,
        code.name,
        code.category.value,
        result,
        tuple(_describe_task(task) for task in tasks),
    )


def describe_error(error: errors.BorageshelfError) -> ErrorAnswer:
    """Return the response body for an error."""
    return ErrorAnswer(
        error.code.number,
        error.code.name,
        error.code.category.value,
        error.detail or error.code.description,
        error.retry_deadline_ms,
    )


def _describe_task(task: records.TaskRecord) -> TaskAnswer:
    target = task.assignment.target_id if task.assignment else ''
    return TaskAnswer(
        task.task_id,
        task.phase.value,
        task.attempt,
        task.evictions,
        target,
        task.code,
        task.result.decode(errors='replace'),
    )
