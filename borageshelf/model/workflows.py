"""Jobs of several steps, and the queues that accept them.

A workflow has steps; a step has equal tasks. A workflow that repeats runs all
its steps once for each occurrence. Times are Unix milliseconds.
"""

import dataclasses
from typing import Final

from borageshelf.model import resources

# A larger workflow would not fit into one value of the store.
TASKS_LIMIT: Final = 5_000


@dataclasses.dataclass(frozen=True)
class Step:
    """Equal tasks of a workflow.

    :param count: number of tasks
    :param demand: declared size of one task
    :param estimate_ms: rough estimate of one task's run time
    :param after: numbers of earlier steps that must be done first
    :param is_gang: the tasks run only together
    :param needs_one_rack: the tasks are slower on more than one rack
    :param label: label that the target must have, or ''
    :param rack: rack that holds the data, or ''
    :param spread_limit: most tasks of the step on one target; 0 for no limit
    :param is_checkpointing: the tasks can resume from a checkpoint
    :param is_speculative: copies of a task may run at the same time
    :param is_lasting: the tasks run until the workflow is cancelled
    :param image: tasks of one image behave alike
    :param latency_target_ms: bound of the tail latency of a lasting task
        that serves its own callers; 0 for none
    :param is_filler: the tasks use processor time that others leave unused;
        their processor demand is not counted against the capacity
    :param absent_limit: tasks that may be absent because of the scheduler
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
        """Size that counts against the capacity of a target."""
        if not self.is_filler:
            return self.demand
        return dataclasses.replace(self.demand, processor_millicores=0)


@dataclasses.dataclass(frozen=True)
class Workflow:
    """What a caller submits.

    :param spec: opaque text that the executor receives with each task
    :param occurrences: how often the steps run; 1 for a plain workflow
    :param first_start_ms: due time of the first occurrence; 0 for at once
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

    :param host: host name of the callers' requests
    :param path_prefix: beginning of the paths of the callers' requests
    :param service: service whose executors run the tasks
    :param priority: 0 is the most urgent
    :param attempts_limit: failed attempts after which a task is given up
    :param slack_factor: objective as a multiple of the longest chain
    :param latency_target_ms: time added to the objective
    :param timeout_ms: how long a caller waits that gives no deadline
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
    """Bounds of callers' requests."""

    body_bytes: int = 262_144
    idle_ms: int = 15_000


@dataclasses.dataclass(frozen=True)
class QueueConfiguration:
    """All queues of one version of the operators' configuration.

    :param guarded_services: services whose executors refuse what exceeds
        their capacity
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    guarded_services: tuple[str, ...] = ()
    limits: RequestLimits = RequestLimits()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path."""
        found = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(
            found, key=lambda queue: len(queue.path_prefix), default=None
        )


def find_validation_error(workflow: Workflow) -> str:
    """Return what is wrong with a workflow, or ''."""
    if not workflow.steps:
        return 'no steps'
    tasks = sum(step.count for step in workflow.steps) * workflow.occurrences
    if not 1 <= tasks <= TASKS_LIMIT:
        return f'{tasks} tasks, from 1 to {TASKS_LIMIT} are possible'
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
            return f'step {number} has a negative size'
    if workflow.occurrences > 1 and workflow.period_ms < 0:
        return 'the period is negative'
    return ''


def compute_critical_path_ms(
    workflow: Workflow, parallel_millicores: int = 0
) -> int:
    """Return the estimated run time of the longest chain of steps.

    :param parallel_millicores: processors that one step can use at a time; a
        wider step runs in waves. 0 for no limit.
    """
    ends_ms: list[int] = []
    for step in workflow.steps:
        start_ms = max((ends_ms[number] for number in step.after), default=0)
        waves = 1
        size = max(step.demand.processor_millicores, 1)
        if parallel_millicores:
            slots = max(parallel_millicores // size, 1)
            waves = -(-step.count // slots)
        ends_ms.append(start_ms + step.estimate_ms * waves)
    return max(ends_ms, default=0)
