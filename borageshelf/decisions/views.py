"""Views of tasks and targets that the placement decision takes and returns.

The owner of a shard builds them from its records and from the reports of the
agents; nothing here refers to a connection or a process.
"""

from collections.abc import Mapping
import dataclasses

from borageshelf.decisions import estimates
from borageshelf.decisions import interference
from borageshelf import errors
from borageshelf.model import objects
from borageshelf.model import resources


@dataclasses.dataclass(frozen=True)
class RunningView:
    """An attempt that runs on a target.

    :param declared: size that its start reserved
    :param used: latest measured use
    :param is_movable: whether it may be stopped for more urgent work; false
        for non-idempotent work that has no checkpoint
    """

    task_id: str
    family: str
    team: str
    urgency: int
    declared: resources.Resources
    used: resources.Resources = resources.NOTHING
    is_movable: bool = True

    @property
    def held(self) -> resources.Resources:
        """What the agent's ledger counts for the attempt."""
        return self.declared.maximum(self.used)


@dataclasses.dataclass(frozen=True)
class TargetView:
    """A target as its last report and the pending starts describe it.

    :param free: capacity less what the agent's ledger holds and less the
        starts that were sent since the report
    :param quarantined_until_deadline_ms: no new work before this time
    :param service: latency-critical service beside which tasks run, or ''
    :param service_p99_ratio: last measured p99 over the service's goal
    :param failure_share: share of recent attempts that failed here and for
        which the target is to blame, 0 to 1
    :param on_probation: whether nothing succeeded since its quarantine
    """

    target_id: str
    data_centre: str
    rack: str
    vm_boot_id: str
    agent_boot_id: str
    capacity: resources.Resources
    free: resources.Resources
    leaving: bool = False
    quarantined_until_deadline_ms: int = 0
    service: str = ''
    running: tuple[RunningView, ...] = ()
    service_p99_ratio: float = 0.0
    failure_share: float = 0.0
    on_probation: bool = False


@dataclasses.dataclass(frozen=True)
class TaskView:
    """A task that waits for a target.

    :param data_centres: allowed data centres; empty allows all
    :param spread: 'rack', 'data_centre' or 'none'
    :param sibling_data_centres: where its other replicas run
    :param sibling_racks: where its other replicas run
    :param failed_targets: targets on which an attempt of it failed
    :param deadline_ms: time by which it must finish, or 0
    :param waiting_since_ms: when it became ready; 0 if not known, which
        switches off waiting for a quieter target
    """

    task_id: str
    family: str
    team: str
    declared: resources.Resources
    urgency: int = 0
    data_centres: tuple[str, ...] = ()
    spread: str = 'none'
    sibling_data_centres: tuple[str, ...] = ()
    sibling_racks: tuple[str, ...] = ()
    failed_targets: tuple[str, ...] = ()
    deadline_ms: int = 0
    waiting_since_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Policy:
    """What the operators want and what was learned.

    :param quotas: most resources by team; a team without one is not bounded
    :param team_usage: resources reserved by each team's running tasks
    :param covers_fleet: whether the targets are the whole fleet; without it
        a task is never reported as one that can never fit
    """

    objective: objects.Objective = objects.Objective()
    limits: objects.Limits = objects.Limits()
    quotas: Mapping[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    team_usage: Mapping[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    size_estimates: estimates.Book = estimates.Book()
    interference_table: interference.Table = interference.Table()
    covers_fleet: bool = False


@dataclasses.dataclass(frozen=True)
class Placed:
    """A target was chosen.

    :param reservation: size to reserve; it is sent with the start
    :param throttle: fraction of its processors with which the task starts
    :param preempts: whether the agent must first stop less urgent attempts
    """

    target_id: str
    reservation: resources.Resources
    throttle: float = 1.0
    preempts: bool = False


@dataclasses.dataclass(frozen=True)
class Refused:
    """No target was chosen now.

    :param detail: text for people
    :param retry_deadline_ms: a try before this time is pointless; 0 if the
        refusal is final
    """

    code: errors.ResultCode
    detail: str
    retry_deadline_ms: int
