"""Where a task runs: the choice of a target by the owner of its shard.

The decision is pure. It examines a random sample of the targets, widens to a
bounded window if the sample cannot hold the task, and then looks for a
target where stopping less urgent work would make room. The work per decision
is therefore bounded by ``LARGEST_SAMPLE`` plus a window that grows with the
square root of the fleet. The window starts at a random place, so a task that
fits somewhere is found after a few tries.

The agent of the target makes the final check against its own ledger.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import math
import random
from typing import Final

from borageshelf.decisions import control
from borageshelf.decisions import estimates
from borageshelf.decisions import interference
from borageshelf.decisions import placement_cost
from borageshelf.decisions import preemption
from borageshelf.decisions import views
from borageshelf import errors
from borageshelf.model import resources

# With 16 sampled targets the best one is among the best tenth of the fleet
# in 81% of decisions.
LARGEST_SAMPLE: Final = 16
SMALLEST_WINDOW: Final = 64
WINDOW_FACTOR: Final = 8
# Capacity changes with the reports of the agents, once a second by default.
RETRY_MS: Final = 1_000
QUIET_RETRY_MS: Final = 2_000
# Rise of the p99, times the weights, that a task accepts when it has just
# arrived; the bound doubles for each further patience.
ACCEPTED_HARM: Final = 0.5
PATIENCE_MS: Final = 20_000
# A task waits at most this long for a quieter target.
LONGEST_QUIET_WAIT_MS: Final = 600_000
# From this urgency on, work does not wait for a quieter target.
URGENT: Final = 5
# An unmeasured pair starts at half speed; control raises it when the service
# stays fast.
EXPLORATION_THROTTLE: Final = 0.5


def choose_target(
    task: views.TaskView,
    targets: Sequence[views.TargetView],
    policy: views.Policy,
    now_ms: int,
    rng: random.Random,
) -> views.Placed | views.Refused:
    """Choose a target for a task, or say why there is none now.

    :param targets: known targets, in any order
    :param now_ms: Unix milliseconds
    """
    request = _make_request(task, policy, now_ms)
    refused = _check_quota(request)
    if refused is not None:
        return refused
    allowed: list[views.TargetView] = []
    for group in _sample(targets, rng):
        allowed = [
            target for target in group if is_allowed(task, target, now_ms)
        ]
        placed = _choose_best(request, _leave_out_failed(task, allowed))
        if placed is not None:
            return placed
    fresh = _leave_out_failed(task, allowed)
    if not fresh:
        # It failed everywhere; the limit of attempts ends it if it goes on.
        return _choose_best(request, allowed) or _explain(
            request, targets, allowed
        )
    return _choose_preempting(request, fresh) or _explain(
        request, targets, fresh
    )


def is_allowed(
    task: views.TaskView, target: views.TargetView, now_ms: int
) -> bool:
    """Tell whether the target may take the task at all, room aside."""
    if target.leaving or target.quarantined_until_deadline_ms > now_ms:
        return False
    # One attempt shows whether a target has recovered from its quarantine.
    if target.on_probation and target.running:
        return False
    if task.data_centres and target.data_centre not in task.data_centres:
        return False
    if task.spread == 'data_centre':
        return target.data_centre not in task.sibling_data_centres
    if task.spread == 'rack':
        return target.rack not in task.sibling_racks
    return True


def _leave_out_failed(
    task: views.TaskView, allowed: Sequence[views.TargetView]
) -> list[views.TargetView]:
    return [
        target
        for target in allowed
        if target.target_id not in task.failed_targets
    ]


def find_room(
    request: placement_cost.Request, target: views.TargetView
) -> resources.Resources:
    """Return what the target offers to this task.

    On a target with a service the share for calls stays free of batch
    reservations, but an otherwise idle target offers everything, because a
    task as large as the VM would else never run.
    """
    if not target.service or not target.running:
        return target.free
    kept = math.ceil(
        target.capacity.processor_millicores
        * request.policy.limits.calls_minimum_share
    )
    return target.free.minus(resources.Resources(kept))


def find_need(
    request: placement_cost.Request, target: views.TargetView
) -> resources.Resources:
    """Return the reservation, cut to the VM if only the margin exceeds it."""
    need = request.need
    if need.fits_in(target.capacity):
        return need
    if not request.task.declared.fits_in(target.capacity):
        return need
    return resources.Resources(
        min(need.processor_millicores, target.capacity.processor_millicores),
        min(need.memory_mb, target.capacity.memory_mb),
        need.accelerators,
    )


def _make_request(
    task: views.TaskView, policy: views.Policy, now_ms: int
) -> placement_cost.Request:
    return placement_cost.Request(
        task=task,
        policy=policy,
        need=estimates.compute_reservation(
            policy.size_estimates, task.family, task.declared
        ),
        now_ms=now_ms,
        is_new=not estimates.has_history(policy.size_estimates, task.family),
        effects={},
    )


def _check_quota(
    request: placement_cost.Request,
) -> views.Refused | None:
    """Refuse a task that would exceed its team's quota.

    A team that runs nothing may start a task whose declared size is within
    the quota even if the learned margin is not; it would else never run.
    """
    task, policy = request.task, request.policy
    quota = policy.quotas.get(task.team)
    if quota is None:
        return None
    usage = policy.team_usage.get(task.team, resources.NOTHING)
    if usage.plus(request.need).fits_in(quota):
        return None
    if usage == resources.NOTHING and task.declared.fits_in(quota):
        return None
    return views.Refused(
        errors.QUOTA_EXCEEDED,
        f'team {task.team} holds {usage} of its quota {quota}',
        request.now_ms + RETRY_MS,
    )


def _sample(
    targets: Sequence[views.TargetView], rng: random.Random
) -> Iterator[list[views.TargetView]]:
    """Yield a small random sample, then a wider window."""
    count = len(targets)
    if count <= LARGEST_SAMPLE:
        yield rng.sample(targets, count)
        return
    yield [targets[i] for i in rng.sample(range(count), LARGEST_SAMPLE)]
    window = max(SMALLEST_WINDOW, WINDOW_FACTOR * math.isqrt(count))
    start = rng.randrange(count)
    yield [
        targets[(start + step) % count] for step in range(min(window, count))
    ]


def _choose_best(
    request: placement_cost.Request, allowed: Sequence[views.TargetView]
) -> views.Placed | None:
    """Return the cheapest target with room, or None.

    None is also returned while the task should wait for a quieter target.
    """
    best: views.TargetView | None = None
    best_cost = math.inf
    for target in allowed:
        if not find_need(request, target).fits_in(find_room(request, target)):
            continue
        cost = placement_cost.find_cost(request, target)
        if cost < best_cost:
            best, best_cost = target, cost
    if best is None or not _is_acceptable(request, best):
        return None
    return _place(request, best)


def _is_acceptable(
    request: placement_cost.Request, target: views.TargetView
) -> bool:
    """Tell whether the harm to the service is worth the start now."""
    task = request.task
    waited_ms = request.now_ms - task.waiting_since_ms
    if task.urgency >= URGENT or waited_ms >= LONGEST_QUIET_WAIT_MS:
        return True
    objective = request.policy.objective
    if objective.batch_throughput <= 0:
        return objective.tail_latency <= 0
    weight = objective.tail_latency / objective.batch_throughput
    doublings = max(waited_ms, 0) / PATIENCE_MS
    harm = placement_cost.find_harm(request, target)
    return weight * harm <= ACCEPTED_HARM * math.exp2(min(doublings, 64.0))


def _place(
    request: placement_cost.Request,
    target: views.TargetView,
    preempts: bool = False,
) -> views.Placed:
    return views.Placed(
        target_id=target.target_id,
        reservation=find_need(request, target),
        throttle=_find_throttle(request, target),
        preempts=preempts,
    )


def _find_throttle(
    request: placement_cost.Request, target: views.TargetView
) -> float:
    """Return the speed with which the task starts beside a service."""
    task, policy = request.task, request.policy
    if not target.service:
        return 1.0
    speed = 1.0
    capacity = target.capacity.processor_millicores
    kept = 1.0 - policy.limits.calls_minimum_share
    if request.need.processor_millicores > kept * capacity:
        speed = kept
    if task.urgency >= URGENT:
        return speed
    speed = min(speed, _find_slow_start(request, target))
    if not interference.is_known(
        policy.interference_table, target.service, task.family, request.now_ms
    ):
        speed = min(speed, EXPLORATION_THROTTLE)
    return speed


def _find_slow_start(
    request: placement_cost.Request, target: views.TargetView
) -> float:
    """Return the speed of a start beside a service that is slow.

    A start at full speed would add to the slow phase until control sees it.
    """
    objective = request.policy.objective
    excess = target.service_p99_ratio / control.compute_slow_threshold(
        objective
    )
    effect = placement_cost.find_cautious_effect(
        request, target.service, request.task.family
    )
    if excess <= 1.0:
        return 1.0
    if not control.is_worth_throttling(effect, excess, objective):
        return 1.0
    return max(excess**-2, control.MIN_SPEED)


def _choose_preempting(
    request: placement_cost.Request, allowed: Sequence[views.TargetView]
) -> views.Placed | None:
    """Return the target where preemption costs least, or None."""
    best: views.TargetView | None = None
    best_cost = math.inf
    objective = request.policy.objective
    if request.task.urgency < preemption.find_urgency_gap(objective):
        return None
    weight = 1.0 + objective.evictions
    for target in allowed:
        victims = preemption.choose_victims(
            find_need(request, target),
            find_room(request, target),
            request.task.urgency,
            [_make_candidate(running) for running in target.running],
            objective,
        )
        if not victims:
            continue
        cost = weight * len(victims) + placement_cost.find_cost(
            request, target
        )
        if cost < best_cost:
            best, best_cost = target, cost
    return None if best is None else _place(request, best, preempts=True)


def _make_candidate(running: views.RunningView) -> preemption.Candidate:
    return preemption.Candidate(
        running.task_id, running.urgency, running.held, running.is_movable
    )


def _explain(
    request: placement_cost.Request,
    targets: Sequence[views.TargetView],
    examined: Sequence[views.TargetView],
) -> views.Refused:
    """Return the refusal with its reason.

    The whole fleet is searched only if none of the examined targets is large
    enough for the declared size.
    """
    task = request.task
    declared = task.declared
    if any(declared.fits_in(target.capacity) for target in examined):
        return views.Refused(
            errors.NO_TARGET,
            f'no room for {request.need} on {len(examined)} examined targets',
            request.now_ms + QUIET_RETRY_MS,
        )
    if _never_fits(request, targets):
        return views.Refused(
            errors.JOB_NEVER_FITS,
            f'{declared} exceeds the capacity of every VM',
            0,
        )
    return views.Refused(
        errors.NO_TARGET,
        f'no allowed target among {len(targets)} can hold {request.need}',
        request.now_ms + RETRY_MS,
    )


def _never_fits(
    request: placement_cost.Request, targets: Sequence[views.TargetView]
) -> bool:
    if not request.policy.covers_fleet or not targets:
        return False
    return not any(
        request.task.declared.fits_in(target.capacity)
        or request.need.fits_in(target.capacity)
        for target in targets
    )
