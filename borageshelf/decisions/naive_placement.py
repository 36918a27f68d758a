"""Naive placement, the baseline of benchmarks and differential tests.

``choose_first_fit`` places by declared size. ``choose_dedicated_first_fit``
also keeps batch work off the targets with a service, a static reservation.
``evict_when_slow`` controls a VM by evictions alone.
``find_violated_rule`` states the rules that every placement must obey. It
deliberately uses no helper of ``placement``, whose faults it would repeat.
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


def find_violated_rule(
    task: views.TaskView,
    target: views.TargetView,
    reserved: resources.Resources,
    policy: views.Policy,
    now_ms: int,
) -> str:
    """Return the rule that a placement violates, or ''.

    Room that preemption could make is not counted.

    :param reserved: size that the placement reserves
    """
    if target.leaving:
        return 'the target is leaving'
    if now_ms < target.quarantined_until_deadline_ms:
        return 'the target is quarantined'
    if task.data_centres and target.data_centre not in task.data_centres:
        return 'the data centre is not allowed'
    if task.spread == 'rack' and target.rack in task.sibling_racks:
        return 'another replica runs in the rack'
    if (
        task.spread == 'data_centre'
        and target.data_centre in task.sibling_data_centres
    ):
        return 'another replica runs in the data centre'
    if reserved.processor_millicores > target.free.processor_millicores:
        return 'not enough processors'
    if reserved.memory_mb > target.free.memory_mb:
        return 'not enough memory'
    if reserved.accelerators > target.free.accelerators:
        return 'not enough accelerators'
    if reserved.accelerators < task.declared.accelerators:
        return 'fewer accelerators than declared'
    return _find_violated_quota(task, reserved, policy)


def choose_first_fit(
    task: views.TaskView,
    targets: Sequence[views.TargetView],
    policy: views.Policy,
    now_ms: int,
    rng: random.Random,
) -> views.Placed | views.Refused:
    """Choose the first allowed target with room for the declared size."""
    for target in targets:
        if not find_violated_rule(task, target, task.declared, policy, now_ms):
            return views.Placed(target.target_id, task.declared)
    return views.Refused(
        errors.NO_TARGET, 'no target has room', now_ms + RETRY_MS
    )


def choose_dedicated_first_fit(
    task: views.TaskView,
    targets: Sequence[views.TargetView],
    policy: views.Policy,
    now_ms: int,
    rng: random.Random,
) -> views.Placed | views.Refused:
    """Choose the first fit among the targets without a service."""
    dedicated = [target for target in targets if not target.service]
    return choose_first_fit(task, dedicated, policy, now_ms, rng)


def _find_violated_quota(
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
    return 'the quota of the team is exceeded'


def evict_when_slow(
    state: control_state.State,
    view: control.VmView,
    table: interference.Table,
    objective: objects.Objective,
    limits: objects.Limits,
    now_ms: int,
) -> tuple[control_state.State, tuple[control.Action, ...]]:
    """Evict the largest attempt whenever the service misses its p99 target.

    Each eviction waits for a measurement after the last one; nothing else
    prevents oscillation.
    """
    is_outdated = view.measured_at_ms <= state.last_action_at_ms
    if is_outdated or view.p99_ms <= view.target_p99_ms or not view.attempts:
        return state, ()
    largest = max(
        view.attempts,
        key=lambda attempt: attempt.used.processor_millicores,
    )
    state = dataclasses.replace(state, last_action_at_ms=now_ms)
    return state, (
        control.Evict(
            largest.task_id,
            largest.attempt,
            'the service misses its p99 target',
        ),
    )
