"""Inputs and results of the placement decision.

The owner of a shard builds the inputs from its records and from the reports
of the agents. Nothing here refers to a connection or a process.
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

    :param reserved: size that was reserved at its start
    :param used: latest measured use
    :param is_movable: whether it may be stopped for more urgent work; false
        for non-idempotent work without a checkpoint
    """

    task_id: str
    family: str
    team: str
    urgency: int
    reserved: resources.Resources
    used: resources.Resources = resources.NOTHING
    is_movable: bool = True

    @property
    def held(self) -> resources.Resources:
        """Resources that the agent's ledger counts for the attempt."""
        return self.reserved.maximum(self.used)


@dataclasses.dataclass(frozen=True)
class TargetView:
    """A target, according to its last report and the starts since then.

    :param free: capacity minus what the agent's ledger holds and minus the
        starts that were sent since the report
    :param quarantined_until_deadline_ms: time before which the target gets no
        new work, Unix milliseconds
    :param service: latency-critical service on the same VM, or ''
    :param service_p99_ratio: last measured p99 of the service divided by its
        p99 target
    :param failure_share: share of recent attempts whose failure is attributed
        to the target, 0 to 1
    :param on_probation: whether no attempt has succeeded since its quarantine
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
    :param sibling_data_centres: data centres of its other replicas
    :param sibling_racks: racks of its other replicas
    :param failed_targets: targets on which an attempt of the task failed
    :param deadline_ms: time by which it must finish, or 0
    :param waiting_since_ms: time at which it became ready; with 0 (not known)
        it does not wait for a target where it does less harm
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
    """Configuration by the operators and learned estimates.

    :param quotas: upper limit of resources by team; a team without an entry
        has no limit
    :param team_usage: resources reserved by the running tasks of each team
    :param covers_fleet: whether the targets are the whole fleet; otherwise a
        task is never refused as too large for every VM
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

    :param reservation: size to reserve; sent with the start
    :param start_speed: fraction of its processors with which the task starts
    :param preempts: whether the agent must stop less urgent attempts first
    """

    target_id: str
    reservation: resources.Resources
    start_speed: float = 1.0
    preempts: bool = False


@dataclasses.dataclass(frozen=True)
class Refused:
    """No target can be chosen now.

    :param detail: explanation for operators and callers
    :param retry_deadline_ms: time before which a retry is pointless, Unix
        milliseconds; 0 if the refusal is final
    """

    code: errors.ResultCode
    detail: str
    retry_deadline_ms: int
