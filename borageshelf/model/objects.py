"""Configuration objects as the running system sees them.

The documents that operators write are converted and checked by
``borageshelf.configuration``; a ``Configuration`` that reaches a process has
passed all checks, so its references are known to resolve.
"""

import dataclasses
import enum
from typing import Final

from borageshelf.model import resources

DEFAULT_CALL_TIMEOUT_MS: Final = 10_000


class WorkClass(enum.Enum):
    """Class of work; it selects the horizon of grants."""

    BATCH = 'batch'
    MONITOR = 'monitor'


@dataclasses.dataclass(frozen=True)
class Team:
    """A team and its quota.

    :param name: unique name
    :param quota: most resources its running tasks may hold together
    :param calls_share: guaranteed share of call capacity, 0 to 1
    :param batch_share: guaranteed share of batch capacity, 0 to 1
    :param parent: team whose quota this one may not exceed, or ''
    """

    name: str
    quota: resources.Resources
    calls_share: float = 0.0
    batch_share: float = 0.0
    parent: str = ''


@dataclasses.dataclass(frozen=True)
class DataCentre:
    """A data centre of the deployment."""

    name: str
    region: str


@dataclasses.dataclass(frozen=True)
class WorkerShape:
    """Workers of one size in one data centre.

    Shapes bound what the set may promise. They are no list of targets, which
    announce themselves with their real capacity.

    :param count: number of workers that are expected
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
    :param spread: 'rack', 'data_centre' or 'none'
    """

    name: str
    data_centres: tuple[str, ...] = ()
    spread: str = 'none'


@dataclasses.dataclass(frozen=True)
class Service:
    """A latency-critical service that executors run.

    :param name: unique name
    :param team: owning team
    :param target_p99_ms: goal for the 99th percentile of latency
    :param idempotent: whether calls may be repeated by default
    :param queue_limit: most calls that wait in one entry
    :param call_timeout_ms: time limit of a call that names none
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

    :param name: unique name, also the family for learned sizes
    :param team: owning team
    :param placement: name of a placement
    :param declared: declared size of one task
    :param idempotent: whether a task may be started again after an attempt
        whose effect is unknown
    :param work_class: batch work or a monitor
    :param urgency: 0 (least urgent) to 9
    :param attempts: most attempts, counting the first
    :param replicas: tasks that run side by side (monitors)
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

    :param batch_minimum_share: share kept for batch work in a flood of calls
    :param calls_minimum_share: share kept for calls in a flood of batch work
    :param jobs_queued: most jobs that wait in one shard
    """

    batch_minimum_share: float = 0.2
    calls_minimum_share: float = 0.2
    jobs_queued: int = 2000


@dataclasses.dataclass(frozen=True)
class Objective:
    """Weights of the four measures; they change decisions.

    :param tail_latency: weight of service tail latency
    :param batch_throughput: weight of batch work finished
    :param evictions: weight of avoided evictions
    :param tail_latency_reason: why the operators chose the weight
    """

    tail_latency: float = 1.0
    batch_throughput: float = 1.0
    evictions: float = 1.0
    tail_latency_reason: str = ''
    batch_throughput_reason: str = ''
    evictions_reason: str = ''


@dataclasses.dataclass(frozen=True)
class Configuration:
    """A whole checked set of objects."""

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
