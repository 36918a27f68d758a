"""Workflows, which are jobs of several steps, and the queues for them.

A workflow consists of steps, and a step of identical tasks. A workflow that
repeats runs all of its steps once for each occurrence. Points in time are
Unix milliseconds.
"""

import dataclasses
from typing import Final

from borageshelf.model import numbers as number_types
from borageshelf.model import resources

# The state of a larger workflow would not fit into one value of the store.
TASKS_LIMIT: Final = 5_000


@dataclasses.dataclass(frozen=True)
class Step:
    """Identical tasks of a workflow.

    :param count: number of tasks
    :param demand: declared size of one task
    :param estimate_ms: rough estimate of the run time of one task
    :param after: numbers of earlier steps that must complete first
    :param is_gang: whether the tasks run only all together
    :param needs_one_rack: whether the tasks are slower on several racks
    :param label: label that the target must have, or ''
    :param rack: rack that holds the input data, or ''
    :param spread_limit: upper bound on the tasks of the step on one target;
        0 for no limit
    :param is_checkpointing: whether the tasks can resume from a checkpoint
    :param is_speculative: whether copies of a task may run concurrently
    :param is_lasting: whether the tasks run until the workflow is cancelled
    :param image: image of the tasks, or ''; tasks of one image are assumed to
        behave alike
    :param latency_target_ms: bound on the tail latency of a lasting task
        that serves its own callers; 0 for none
    :param is_filler: whether the tasks use processor time that others leave
        unused; their processor demand does not count against the capacity
    :param absent_limit: number of tasks that may be absent because of the
        scheduler
    """

    count: int
    demand: resources.Resources
    estimate_ms: int
    after: tuple[int, ...] = ()
    is_gang: bool = False
    needs_one_rack: bool = False
    label: str = ''
    rack: str = ''
    spread_limit: int = 0
    is_checkpointing: bool = False
    is_speculative: bool = False
    is_lasting: bool = False
    image: str = ''
    latency_target_ms: int = 0
    is_filler: bool = False
    absent_limit: int = 0

    @property
    def reserved(self) -> resources.Resources:
        """Size of one task that counts against a target's capacity."""
        if not self.is_filler:
            return self.demand
        return dataclasses.replace(self.demand, processor_millicores=0)


@dataclasses.dataclass(frozen=True)
class Workflow:
    """A workflow as a caller submits it.

    :param spec: opaque text that the executor receives with each task
    :param occurrences: number of times that the steps run; 1 for a workflow
        that does not repeat
    :param first_start_ms: due time of the first occurrence; 0 to start at
        once
    :param period_ms: time between the due times of two occurrences
    """

    workflow_id: str
    spec: str
    steps: tuple[Step, ...]
    occurrences: int = 1
    first_start_ms: int = 0
    period_ms: int = 0

    @property
    def has_due_times(self) -> bool:
        """Tell whether the occurrences have due times."""
        return self.first_start_ms > 0


@dataclasses.dataclass(frozen=True)
class Queue:
    """A queue of the configuration.

    :param host: host name in the callers' requests
    :param path_prefix: prefix of the paths in the callers' requests
    :param service: service whose executors run the tasks
    :param priority: 0 is the most urgent
    :param attempts_limit: number of failed attempts after which a task fails
    :param slack_factor: latency objective as a multiple of the critical path
    :param latency_target_ms: time added to the latency objective
    :param timeout_ms: how long a request without a deadline may wait
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    attempts_limit: int = 1
    slack_factor: float = 1.0
    latency_target_ms: int = 0
    timeout_ms: int = 3_000


@dataclasses.dataclass(frozen=True)
class RequestLimits:
    """Bounds on callers' requests.

    :param body_bytes: upper bound on the size of a body
    :param idle_ms: time limit of an idle connection
    """

    body_bytes: int = 262_144
    idle_ms: int = 15_000


@dataclasses.dataclass(frozen=True)
class QueueConfiguration:
    """All queues of one version of the operators' configuration.

    :param guarded_services: services whose executors refuse starts that
        exceed their capacity
    :param services: names of all services that the configuration declares
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    guarded_services: tuple[str, ...] = ()
    limits: RequestLimits = RequestLimits()
    services: tuple[str, ...] = ()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest prefix of a path."""
        matches = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(
            matches, key=lambda queue: len(queue.path_prefix), default=None
        )


def find_validation_error(workflow: Workflow) -> str:
    """Return why a workflow is invalid, or '' if it is valid."""
    if not workflow.steps:
        return 'the workflow has no steps'
    task_count = (
        sum(step.count for step in workflow.steps) * workflow.occurrences
    )
    if not 1 <= task_count <= TASKS_LIMIT:
        return f'{task_count} tasks, from 1 to {TASKS_LIMIT} are allowed'
    for number, step in enumerate(workflow.steps):
        if step.count < 1:
            return f'step {number} has no tasks'
        if any(not 0 <= other < number for other in step.after):
            return f'step {number} depends on itself or a later step'
        demand = step.demand
        amounts = (
            demand.processor_millicores,
            demand.memory_mb,
            demand.accelerators,
        )
        if min(amounts) < 0 or step.estimate_ms < 0 or step.spread_limit < 0:
            return (
                f'step {number} has a negative size, estimate or spread limit'
            )
        numbers = (
            *amounts,
            step.estimate_ms,
            step.spread_limit,
            step.latency_target_ms,
            step.absent_limit,
        )
        if max(map(abs, numbers)) > number_types.NUMBER_LIMIT:
            return (
                f'step {number} has a number above {number_types.NUMBER_LIMIT}'
            )
    if max(abs(workflow.first_start_ms), abs(workflow.period_ms)) > (
        number_types.NUMBER_LIMIT
    ):
        return f'a time is above {number_types.NUMBER_LIMIT}'
    if workflow.occurrences > 1 and workflow.period_ms < 0:
        return 'the period is negative'
    return ''


def compute_critical_path_ms(
    workflow: Workflow, parallel_millicores: int = 0
) -> int:
    """Return the estimated run time of the critical path of the steps.

    :param parallel_millicores: processor capacity that one step can use at a
        time; a step that needs more runs in waves. 0 for no limit.
    """
    ends_ms: list[int] = []
    for step in workflow.steps:
        start_ms = max((ends_ms[number] for number in step.after), default=0)
        wave_count = 1
        task_millicores = max(step.demand.processor_millicores, 1)
        if parallel_millicores:
            slots = max(parallel_millicores // task_millicores, 1)
            wave_count = -(-step.count // slots)
        ends_ms.append(start_ms + step.estimate_ms * wave_count)
    return max(ends_ms, default=0)
