"""Naive placement: the reference for differential tests and baselines.

``choose_first_fit`` uses declared sizes and has no control.
``choose_dedicated_first_fit`` keeps batch work away from the targets with a
service, a
static reservation. ``evict_when_slow`` is control by eviction alone.
``find_violation`` states what every placement must obey;
it is written without the helpers of ``placement`` on purpose.
"""

from collections.abc import Sequence
import dataclasses
import random
from typing import Final

from borageshelf.decisions import control
from borageshelf.decisions import control_state
from borageshelf.decisions import interference
from borageshelf.decisions import views
from borageshelf import errors
from borageshelf.model import objects
from borageshelf.model import resources

RETRY_MS: Final = 1_000


def find_violation(
    task: views.TaskView,
    target: views.TargetView,
    reserved: resources.Resources,
    policy: views.Policy,
    now_ms: int,
) -> str:
    """Return the rule that a placement breaks, or '' if it breaks none.

    Processors, memory and accelerators are checked without preemption.
    """
    if target.leaving:
        return 'the target is leaving'
    if now_ms < target.quarantined_until_deadline_ms:
        return 'the target is quarantined'
    if task.data_centres and target.data_centre not in task.data_centres:
        return 'the data centre is not allowed'
    if task.spread == 'rack' and target.rack in task.sibling_racks:
        return 'a replica runs in the rack'
    if (
        task.spread == 'data_centre'
        and target.data_centre in task.sibling_data_centres
    ):
        return 'a replica runs in the data centre'
    if reserved.processor_millicores > target.free.processor_millicores:
        return 'too few processors'
    if reserved.memory_mb > target.free.memory_mb:
        return 'too little memory'
    if reserved.accelerators > target.free.accelerators:
        return 'too few accelerators'
    if reserved.accelerators < task.declared.accelerators:
        return 'fewer accelerators than declared'
    return _find_quota_violation(task, reserved, policy)


def choose_first_fit(
    task: views.TaskView,
    targets: Sequence[views.TargetView],
    policy: views.Policy,
    now_ms: int,
    rng: random.Random,
) -> views.Placed | views.Refused:
    """Choose the first target that holds the declared size."""
    for target in targets:
        if not find_violation(task, target, task.declared, policy, now_ms):
            return views.Placed(target.target_id, task.declared)
    return views.Refused(errors.NO_TARGET, 'no room', now_ms + RETRY_MS)


def choose_dedicated_first_fit(
    task: views.TaskView,
    targets: Sequence[views.TargetView],
    policy: views.Policy,
    now_ms: int,
    rng: random.Random,
) -> views.Placed | views.Refused:
    """Choose the first fit among the targets without a service."""
    separate = [target for target in targets if not target.service]
    return choose_first_fit(task, separate, policy, now_ms, rng)


def _find_quota_violation(
    task: views.TaskView,
    reserved: resources.Resources,
    policy: views.Policy,
) -> str:
    quota = policy.quotas.get(task.team)
    if quota is None:
        return ''
    usage = policy.team_usage.get(task.team, resources.NOTHING)
    if usage.plus(reserved).fits_in(quota):
        return ''
    if usage == resources.NOTHING and task.declared.fits_in(quota):
        return ''
    return "the team's quota is used up"


def evict_when_slow(
    state: control_state.State,
    view: control.VmView,
    table: interference.Table,
    objective: objects.Objective,
    limits: objects.Limits,
    now_ms: int,
) -> tuple[control_state.State, tuple[control.Action, ...]]:
    """Move the largest attempt whenever the service misses its goal.

    It waits for a measurement after its last action, and does nothing else
    against oscillation.
    """
    is_late = view.measured_at_ms <= state.last_action_at_ms
    if is_late or view.p99_ms <= view.target_p99_ms or not view.attempts:
        return state, ()
    largest = max(
        view.attempts,
        key=lambda attempt: attempt.used.processor_millicores,
    )
    state = dataclasses.replace(state, last_action_at_ms=now_ms)
    return state, (
        control.Evict(largest.task_id, largest.attempt, 'the service is slow'),
    )
