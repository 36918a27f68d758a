"""Places the queued tasks of owned shards on targets."""

from collections import abc
import random
from typing import Final

from borageshelf import clock
from borageshelf.decisions import placement
from borageshelf.decisions import views
from borageshelf.entry import learning as learning_module
from borageshelf.entry import sessions
from borageshelf.entry import targets
from borageshelf import errors
from borageshelf.model import objects
from borageshelf.model import resources
from borageshelf.shards import records
from borageshelf.shards import shard_owner

# Bounds how long one shard occupies the event loop when many jobs arrive.
MAX_DECISIONS_PER_TICK: Final = 32
# Above this number of stored retry times, those that have passed are removed.
MAX_REMEMBERED_REFUSALS: Final = 4096


class Placer:
    """Chooses a target for each queued task that may start.

    :param find_configuration: returns the configuration in force
    """

    def __init__(
        self,
        registry: sessions.SessionRegistry,
        target_views: targets.TargetViews,
        learning: learning_module.Learning,
        find_configuration: abc.Callable[[], objects.Configuration],
        rng: random.Random,
    ) -> None:
        self._registry = registry
        self._target_views = target_views
        self._learning = learning
        self._find_configuration = find_configuration
        self._rng = rng
        self._retry_deadlines_ms: dict[str, int] = {}

    def place(self, owner: shard_owner.ShardOwner) -> None:
        """Assign queued tasks to the targets that have room for them."""
        now_ms = clock.read_wall_clock_ms()
        startable = [
            task
            for task in owner.list_startable(now_ms)
            if self._retry_deadlines_ms.get(task.task_id, 0) <= now_ms
        ]
        if not startable:
            return
        # Summed once per pass, because the sum is linear in the number of
        # targets.
        usage = self._target_views.compute_team_usage()
        for task in startable[:MAX_DECISIONS_PER_TICK]:
            choice = placement.choose_target(
                self._make_task_view(owner, task),
                self._target_views.list_views(now_ms),
                self._make_policy(usage),
                now_ms,
                self._rng,
            )
            if isinstance(choice, views.Placed):
                self._assign(owner, task, choice, now_ms)
                used = usage.get(task.team, resources.NOTHING)
                usage[task.team] = used.plus(choice.reservation)
                continue
            if choice.code is errors.JOB_NEVER_FITS:
                owner.reject(task.task_id, now_ms)
            self._postpone(task.task_id, choice, now_ms)

    def _assign(
        self,
        owner: shard_owner.ShardOwner,
        task: records.TaskRecord,
        choice: views.Placed,
        now_ms: int,
    ) -> None:
        session = self._registry.find(choice.target_id)
        if session is None:
            return
        self._target_views.add_pending_start(
            choice.target_id, task.task_id, task.team, choice.reservation
        )
        owner.assign(
            task.task_id,
            records.Assignment(
                choice.target_id,
                session.identity.vm_boot_id,
                session.identity.agent_boot_id,
                session.hello.data_centre,
                session.hello.rack,
                owner.epoch,
                choice.reservation,
                choice.start_speed,
            ),
            now_ms,
        )

    def _postpone(
        self, task_id: str, refusal: views.Refused, now_ms: int
    ) -> None:
        """Postpone the next decision on a task, so that others get theirs.

        Otherwise tasks that fit nowhere now would use up the decisions of
        each tick and starve the tasks behind them.
        """
        if len(self._retry_deadlines_ms) > MAX_REMEMBERED_REFUSALS:
            self._retry_deadlines_ms = {
                key: deadline_ms
                for key, deadline_ms in self._retry_deadlines_ms.items()
                if deadline_ms > now_ms
            }
        self._retry_deadlines_ms[task_id] = refusal.retry_deadline_ms

    def _make_task_view(
        self, owner: shard_owner.ShardOwner, task: records.TaskRecord
    ) -> views.TaskView:
        siblings = [
            other.assignment
            for other in owner.find_job(task.job_id)
            if other.assignment is not None
        ]
        return views.TaskView(
            task_id=task.task_id,
            family=task.family,
            team=task.team,
            declared=task.declared,
            urgency=task.urgency,
            data_centres=task.data_centres,
            spread=task.spread,
            sibling_data_centres=tuple(item.data_centre for item in siblings),
            sibling_racks=tuple(item.rack for item in siblings),
            failed_targets=tuple(item.target_id for item in task.failures),
            waiting_since_ms=max(task.submitted_at_ms, task.not_before_ms),
        )

    def _make_policy(
        self, usage: abc.Mapping[str, resources.Resources]
    ) -> views.Policy:
        configuration = self._find_configuration()
        return views.Policy(
            objective=configuration.objective,
            limits=configuration.limits,
            quotas={
                name: team.quota for name, team in configuration.teams.items()
            },
            team_usage=usage,
            size_estimates=self._learning.size_estimates,
            interference_table=self._learning.interference_table,
            covers_fleet=self._covers_fleet(configuration),
        )

    def _covers_fleet(self, configuration: objects.Configuration) -> bool:
        """Tell whether as many workers are attached as are declared.

        Only then is it certain that a job that fits none of them never fits.
        """
        declared = sum(
            shape.count for shape in configuration.worker_shapes.values()
        )
        return 0 < declared <= self._target_views.count
