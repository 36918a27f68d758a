"""Choice of a target for a batch task, made by the owner of its shard.

The decision is a pure function. It examines a random sample of the targets.
If none of them can take the task, it examines a larger window of targets and
then looks for a target in it where preempting less urgent work would make
room. The number of targets examined per decision is bounded by
``SAMPLE_SIZE`` plus a window that grows with the square root of the fleet.
The window starts at a random target, so repeated tries find a place for a
task that fits somewhere.

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

# The best of 16 sampled targets belongs to the best tenth of the fleet in 81%
# of decisions.
SAMPLE_SIZE: Final = 16
MIN_WINDOW_SIZE: Final = 64
WINDOW_FACTOR: Final = 8
# Known capacity changes with the reports of the agents, which arrive once a
# second by default.
CAPACITY_RETRY_MS: Final = 1_000
# Used while VMs that are large enough have no room or the task waits for a
# target where it does less harm.
OCCUPIED_RETRY_MS: Final = 2_000
# Weighted relative rise of a service's p99 up to which a new task is started;
# the bound doubles each time the task has waited for ``HARM_DOUBLING_MS``.
INITIAL_ACCEPTED_HARM: Final = 0.5
HARM_DOUBLING_MS: Final = 20_000
# A task waits at most this long for a target where it does less harm.
MAX_HARM_WAIT_MS: Final = 600_000
# Work of this urgency or higher neither waits for a target where it does less
# harm nor starts at a lower speed because of its effect.
URGENT_LEVEL: Final = 5
# A task whose effect on the service is not known starts at this speed; the
# control of the VM raises it while the service stays fast.
UNKNOWN_EFFECT_SPEED: Final = 0.5


def choose_target(
    task: views.TaskView,
    targets: Sequence[views.TargetView],
    policy: views.Policy,
    now_ms: int,
    rng: random.Random,
) -> views.Placed | views.Refused:
    """Choose a target for a task, or return why there is none now.

    :param targets: known targets, in any order
    :param now_ms: Unix milliseconds
    """
    request = _make_request(task, policy, now_ms)
    refusal = _check_quota(request)
    if refusal is not None:
        return refusal
    allowed: list[views.TargetView] = []
    for sample in _sample_targets(targets, rng):
        allowed = [
            target for target in sample if is_allowed(task, target, now_ms)
        ]
        placed = _choose_cheapest(
            request, _exclude_failed_targets(task, allowed)
        )
        if placed is not None:
            return placed
    fresh = _exclude_failed_targets(task, allowed)
    if not fresh:
        # It has failed on all of them and may run on any of them again; the
        # limit of attempts ends a task that keeps failing.
        return _choose_cheapest(request, allowed) or _make_refusal(
            request, targets, allowed
        )
    return _choose_preempting(request, fresh) or _make_refusal(
        request, targets, fresh
    )


def is_allowed(
    task: views.TaskView, target: views.TargetView, now_ms: int
) -> bool:
    """Tell whether the target may take the task, regardless of its room."""
    if target.leaving or target.quarantined_until_deadline_ms > now_ms:
        return False
    # A single attempt is enough to show whether a target has recovered from
    # the cause of its quarantine.
    if target.on_probation and target.running:
        return False
    if task.data_centres and target.data_centre not in task.data_centres:
        return False
    if task.spread == 'data_centre':
        return target.data_centre not in task.sibling_data_centres
    if task.spread == 'rack':
        return target.rack not in task.sibling_racks
    return True


def _exclude_failed_targets(
    task: views.TaskView, allowed: Sequence[views.TargetView]
) -> list[views.TargetView]:
    return [
        target
        for target in allowed
        if target.target_id not in task.failed_targets
    ]


def compute_offered_resources(
    request: placement_cost.Request, target: views.TargetView
) -> resources.Resources:
    """Return the resources that the target offers to the task.

    On a target with a service, batch reservations leave the share for calls
    free. A target without running attempts offers all its free resources;
    otherwise a task as large as the VM would never run.
    """
    if not target.service or not target.running:
        return target.free
    kept_millicores = math.ceil(
        target.capacity.processor_millicores
        * request.policy.limits.calls_minimum_share
    )
    return target.free.minus(resources.Resources(kept_millicores))


def compute_reservation(
    request: placement_cost.Request, target: views.TargetView
) -> resources.Resources:
    """Return the size to reserve for the task on the target.

    If the declared size fits into the VM and only the learned margin exceeds
    it, the reservation is reduced to the capacity of the VM.
    """
    reservation = request.reservation
    if reservation.fits_in(target.capacity):
        return reservation
    if not request.task.declared.fits_in(target.capacity):
        return reservation
    return resources.Resources(
        min(
            reservation.processor_millicores,
            target.capacity.processor_millicores,
        ),
        min(reservation.memory_mb, target.capacity.memory_mb),
        reservation.accelerators,
    )


def _make_request(
    task: views.TaskView, policy: views.Policy, now_ms: int
) -> placement_cost.Request:
    return placement_cost.Request(
        task=task,
        policy=policy,
        reservation=estimates.compute_reservation(
            policy.size_estimates, task.family, task.declared
        ),
        now_ms=now_ms,
        is_new=not estimates.has_history(policy.size_estimates, task.family),
        effects={},
    )


def _check_quota(
    request: placement_cost.Request,
) -> views.Refused | None:
    """Refuse a task that would exceed the quota of its team.

    A team that runs nothing may start a task whose declared size is within
    the quota even if the learned size is not; otherwise the task would never
    run.
    """
    task, policy = request.task, request.policy
    quota = policy.quotas.get(task.team)
    if quota is None:
        return None
    usage = policy.team_usage.get(task.team, resources.NOTHING)
    if usage.plus(request.reservation).fits_in(quota):
        return None
    if usage == resources.NOTHING and task.declared.fits_in(quota):
        return None
    return views.Refused(
        errors.QUOTA_EXCEEDED,
        f'team {task.team} uses {usage} of its quota {quota}',
        request.now_ms + CAPACITY_RETRY_MS,
    )


def _sample_targets(
    targets: Sequence[views.TargetView], rng: random.Random
) -> Iterator[list[views.TargetView]]:
    """Yield a random sample, then a larger window of consecutive targets."""
    count = len(targets)
    if count <= SAMPLE_SIZE:
        yield rng.sample(targets, count)
        return
    yield [targets[i] for i in rng.sample(range(count), SAMPLE_SIZE)]
    window_size = max(MIN_WINDOW_SIZE, WINDOW_FACTOR * math.isqrt(count))
    start = rng.randrange(count)
    yield [
        targets[(start + step) % count]
        for step in range(min(window_size, count))
    ]


def _choose_cheapest(
    request: placement_cost.Request, allowed: Sequence[views.TargetView]
) -> views.Placed | None:
    """Return a placement on the cheapest target with room, or None.

    The result is also None while the task should wait for a target where it
    does less harm.
    """
    best: views.TargetView | None = None
    best_cost = math.inf
    for target in allowed:
        if not compute_reservation(request, target).fits_in(
            compute_offered_resources(request, target)
        ):
            continue
        cost = placement_cost.compute_cost(request, target)
        if cost < best_cost:
            best, best_cost = target, cost
    if best is None or not _is_harm_acceptable(request, best):
        return None
    return _make_placed(request, best)


def _is_harm_acceptable(
    request: placement_cost.Request, target: views.TargetView
) -> bool:
    """Tell whether the task may start now despite the harm to the service."""
    task = request.task
    waited_ms = request.now_ms - task.waiting_since_ms
    if task.urgency >= URGENT_LEVEL or waited_ms >= MAX_HARM_WAIT_MS:
        return True
    objective = request.policy.objective
    if objective.batch_throughput <= 0:
        return objective.tail_latency <= 0
    weight = objective.tail_latency / objective.batch_throughput
    doublings = max(waited_ms, 0) / HARM_DOUBLING_MS
    harm = placement_cost.estimate_harm(request, target)
    return weight * harm <= INITIAL_ACCEPTED_HARM * math.exp2(
        min(doublings, 64.0)
    )


def _make_placed(
    request: placement_cost.Request,
    target: views.TargetView,
    preempts: bool = False,
) -> views.Placed:
    return views.Placed(
        target_id=target.target_id,
        reservation=compute_reservation(request, target),
        start_speed=_compute_start_speed(request, target),
        preempts=preempts,
    )


def _compute_start_speed(
    request: placement_cost.Request, target: views.TargetView
) -> float:
    """Return the fraction of its processors with which the task starts."""
    task, policy = request.task, request.policy
    if not target.service:
        return 1.0
    speed = 1.0
    capacity_millicores = target.capacity.processor_millicores
    batch_share = 1.0 - policy.limits.calls_minimum_share
    if (
        request.reservation.processor_millicores
        > batch_share * capacity_millicores
    ):
        speed = batch_share
    if task.urgency >= URGENT_LEVEL:
        return speed
    speed = min(speed, _compute_slow_service_speed(request, target))
    if not interference.is_known(
        policy.interference_table, target.service, task.family, request.now_ms
    ):
        speed = min(speed, UNKNOWN_EFFECT_SPEED)
    return speed


def _compute_slow_service_speed(
    request: placement_cost.Request, target: views.TargetView
) -> float:
    """Return the start speed beside a service that may be slow.

    A start at full speed would make a slow service slower until the control
    of the VM reacts.
    """
    objective = request.policy.objective
    excess = target.service_p99_ratio / control.compute_slow_threshold(
        objective
    )
    effect = placement_cost.compute_pessimistic_effect(
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
    """Return a placement where preemption costs least, or None."""
    best: views.TargetView | None = None
    best_cost = math.inf
    objective = request.policy.objective
    if request.task.urgency < preemption.compute_min_urgency_gap(objective):
        return None
    weight = 1.0 + objective.evictions
    for target in allowed:
        victims = preemption.choose_victims(
            compute_reservation(request, target),
            compute_offered_resources(request, target),
            request.task.urgency,
            [_make_candidate(running) for running in target.running],
            objective,
        )
        if not victims:
            continue
        cost = weight * len(victims) + placement_cost.compute_cost(
            request, target
        )
        if cost < best_cost:
            best, best_cost = target, cost
    return None if best is None else _make_placed(request, best, preempts=True)


def _make_candidate(running: views.RunningView) -> preemption.Candidate:
    return preemption.Candidate(
        running.task_id, running.urgency, running.held, running.is_movable
    )


def _make_refusal(
    request: placement_cost.Request,
    targets: Sequence[views.TargetView],
    examined: Sequence[views.TargetView],
) -> views.Refused:
    """Return the refusal with its reason.

    The whole fleet is searched only if no examined target is large enough for
    the declared size.
    """
    task = request.task
    declared = task.declared
    if any(declared.fits_in(target.capacity) for target in examined):
        return views.Refused(
            errors.NO_TARGET,
            f'no room for {request.reservation} on {len(examined)} examined '
            'targets',
            request.now_ms + OCCUPIED_RETRY_MS,
        )
    if _exceeds_every_vm(request, targets):
        return views.Refused(
            errors.JOB_NEVER_FITS,
            f'{declared} exceeds the capacity of every VM',
            0,
        )
    return views.Refused(
        errors.NO_TARGET,
        f'no allowed target among {len(targets)} can hold '
        f'{request.reservation}',
        request.now_ms + CAPACITY_RETRY_MS,
    )


def _exceeds_every_vm(
    request: placement_cost.Request, targets: Sequence[views.TargetView]
) -> bool:
    if not request.policy.covers_fleet or not targets:
        return False
    return not any(
        request.task.declared.fits_in(target.capacity)
        or request.reservation.fits_in(target.capacity)
        for target in targets
    )
