"""Configuration objects as the processes use them.

``borageshelf.configuration`` converts and checks the documents that operators
write. A ``Configuration`` that reaches a process has passed all checks, so
all references in it resolve.
"""

import dataclasses
import enum
from typing import Final

from borageshelf.model import resources

DEFAULT_CALL_TIMEOUT_MS: Final = 10_000


class WorkClass(enum.Enum):
    """Class of a job's tasks; it selects the horizon of their grants."""

    BATCH = 'batch'
    MONITOR = 'monitor'


@dataclasses.dataclass(frozen=True)
class Team:
    """A team and its quota.

    :param name: unique name
    :param quota: upper bound on the total resources of its running tasks
    :param calls_share: guaranteed share of call capacity, 0 to 1
    :param batch_share: guaranteed share of batch capacity, 0 to 1
    :param parent: team whose quota this quota must not exceed, or ''
    """

    name: str
    quota: resources.Resources
    calls_share: float = 0.0
    batch_share: float = 0.0
    parent: str = ''


@dataclasses.dataclass(frozen=True)
class DataCentre:
    """A data centre of the deployment.

    :param name: unique name
    :param region: name of its region
    """

    name: str
    region: str


@dataclasses.dataclass(frozen=True)
class WorkerShape:
    """Workers of one size in one data centre.

    Shapes bound the quotas and sizes that a configuration may grant. They are
    not a list of targets, which report their actual capacity themselves.

    :param count: expected number of workers
    :param capacity: capacity of one worker
    """

    name: str
    data_centre: str
    count: int
    capacity: resources.Resources


@dataclasses.dataclass(frozen=True)
class Placement:
    """Constraints on where tasks may run.

    :param name: unique name
    :param data_centres: allowed data centres; empty allows all
    :param spread: failure domain over which the tasks of a job are spread:
        'rack', 'data_centre' or 'none'
    """

    name: str
    data_centres: tuple[str, ...] = ()
    spread: str = 'none'


@dataclasses.dataclass(frozen=True)
class Service:
    """A latency-critical service that executors run.

    :param name: unique name
    :param team: owning team
    :param target_p99_ms: objective for the 99th percentile of latency
    :param idempotent: whether calls may be repeated by default
    :param queue_limit: upper bound on the calls that wait in one entry
    :param call_timeout_ms: time limit of a call that sets none
    """

    name: str
    team: str
    target_p99_ms: float
    idempotent: bool = False
    queue_limit: int = 256
    call_timeout_ms: int = DEFAULT_CALL_TIMEOUT_MS


@dataclasses.dataclass(frozen=True)
class Job:
    """A family of batch jobs that callers may submit.

    :param name: unique name; also the family under which sizes are learned
    :param team: owning team
    :param placement: name of a placement
    :param declared: declared size of one task
    :param idempotent: whether a task may be started again after an attempt
        whose effect is unknown
    :param work_class: batch job or monitor
    :param urgency: 0 (least urgent) to 9
    :param attempts: upper bound on attempts, including the first
    :param replicas: number of tasks that run concurrently (monitors)
    """

    name: str
    team: str
    placement: str
    declared: resources.Resources
    idempotent: bool = True
    work_class: WorkClass = WorkClass.BATCH
    urgency: int = 0
    attempts: int = 5
    replicas: int = 1


@dataclasses.dataclass(frozen=True)
class Limits:
    """Guaranteed shares and bounds of the whole deployment.

    :param batch_minimum_share: share reserved for batch work under an
        overload of calls, 0 to 1
    :param calls_minimum_share: share reserved for calls under an overload of
        batch work, 0 to 1
    :param jobs_queued: upper bound on the jobs that wait in one shard
    """

    batch_minimum_share: float = 0.2
    calls_minimum_share: float = 0.2
    jobs_queued: int = 2000


@dataclasses.dataclass(frozen=True)
class Objective:
    """Weights of the measures that decisions trade off against each other.

    :param tail_latency: weight of the tail latency of services
    :param batch_throughput: weight of completed batch work
    :param evictions: weight of avoided evictions
    :param tail_latency_reason: the operators' reason for the weight; the
        other two reasons likewise
    """

    tail_latency: float = 1.0
    batch_throughput: float = 1.0
    evictions: float = 1.0
    tail_latency_reason: str = ''
    batch_throughput_reason: str = ''
    evictions_reason: str = ''


@dataclasses.dataclass(frozen=True)
class Configuration:
    """A complete, checked set of configuration objects, by name."""

    version: int = 0
    teams: dict[str, Team] = dataclasses.field(default_factory=dict)
    placements: dict[str, Placement] = dataclasses.field(default_factory=dict)
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    jobs: dict[str, Job] = dataclasses.field(default_factory=dict)
    limits: Limits = Limits()
    objective: Objective = Objective()
    data_centres: dict[str, DataCentre] = dataclasses.field(
        default_factory=dict
    )
    worker_shapes: dict[str, WorkerShape] = dataclasses.field(
        default_factory=dict
    )
