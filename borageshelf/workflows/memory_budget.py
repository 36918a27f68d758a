"""Bounds the memory that accepted workflows take in the owner.

An owner that exceeds the memory of its machine is killed, and each next owner
loads the same workflows. So a workflow that has no room is refused at once.
"""

from collections import abc
from typing import Final, Protocol

from borageshelf.model import workflows
from borageshelf.workflows import occurrences

# An idle entry takes about 70 MB of the 256 MB that the control of a machine
# may use; targets, messages and free blocks between objects take more.
LIMIT_BYTES: Final = 112 * 2**20
# The objects of a workflow, of a step in one occurrence, and of a task with
# its run.
WORKFLOW_BYTES: Final = 3_000
STEP_BYTES: Final = 1_200
TASK_BYTES: Final = 1_000
# Above this number of tasks in memory, a workflow gets its next occurrence
# only once none of its tasks waits.
OPEN_TASKS_LIMIT: Final = 50_000


class Accepted(Protocol):
    """What the budget reads of an accepted workflow."""

    memory_bytes: int


def has_room(
    workflow: workflows.Workflow, accepted: abc.Iterable[Accepted]
) -> bool:
    """Tell whether the memory has room for one more workflow."""
    held_bytes = sum(job.memory_bytes for job in accepted)
    return held_bytes + compute_bytes(workflow) <= LIMIT_BYTES


def compute_bytes(workflow: workflows.Workflow) -> int:
    """Return what a workflow takes in memory, in bytes.

    Of a workflow that repeats, one occurrence counts, and those that may wait
    together with it. All occurrences of tasks that last run together.
    """
    step_count = len(workflow.steps)
    task_count = sum(step.count for step in workflow.steps)
    open_count = workflow.occurrences
    if not any(step.is_lasting for step in workflow.steps):
        others = occurrences.WAITING_TASKS_LIMIT // max(task_count, 1)
        if workflow.has_due_times and workflow.period_ms > 0:
            others = 0
        open_count = min(open_count, 1 + others)
    texts = [workflow.spec]
    for step in workflow.steps:
        texts += (step.label, step.rack, step.image)
    return (
        WORKFLOW_BYTES
        + sum(map(_compute_text_bytes, texts))
        + open_count * (step_count * STEP_BYTES + task_count * TASK_BYTES)
    )


def _compute_text_bytes(text: str) -> int:
    if text.isascii():
        return len(text)
    # Encoding a record keeps the encoded text beside the characters.
    return 4 * len(text) + len(text.encode())


def find_waiting_limit(open_task_count: int) -> int:
    """Return with how many waiting tasks a workflow gets an occurrence more.

    :param open_task_count: number of tasks of all workflows in memory
    """
    if open_task_count < OPEN_TASKS_LIMIT:
        return occurrences.WAITING_TASKS_LIMIT
    return 1
