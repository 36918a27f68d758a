"""Cost of running a task on a target, weighted by the objective.

``placement`` computes it for every sampled target with room for the task and
takes the cheapest one. Before it is weighted, each term is about 0 for a good
target and about 1 for a bad one.
"""

import dataclasses
import math
from typing import Final

from borageshelf.decisions import interference
from borageshelf.decisions import views
from borageshelf.model import resources

# Standard deviations added to an uncertain effect. With half a deviation, an
# unmeasured pair is rated like a family that, using the whole VM, about
# doubles the p99; with one deviation, like one that more than triples it.
CAUTION_DEVIATIONS: Final = 0.5
# The harm of a task beside a service that misses its p99 target is multiplied
# by at most this.
MAX_PRESSURE: Final = 4.0
# Memory use above this share of the VM often leads to an eviction, because
# memory cannot be throttled.
SAFE_MEMORY_SHARE: Final = 0.85
FAILURE_COST: Final = 4.0
NEW_FAMILY_COST: Final = 0.5


@dataclasses.dataclass(frozen=True)
class Request:
    """A task to place, with all inputs that do not depend on the target.

    :param reservation: size to reserve
    :param is_new: whether the family has no history of sizes
    :param effects: cache of pessimistic effects by (service, family)
    """

    task: views.TaskView
    policy: views.Policy
    reservation: resources.Resources
    now_ms: int
    is_new: bool
    effects: dict[tuple[str, str], float]


def compute_pessimistic_effect(
    request: Request, service: str, family: str
) -> float:
    """Return the expected effect plus a margin for its uncertainty."""
    key = (service, family)
    if key not in request.effects:
        effect, deviation = interference.estimate_effect(
            request.policy.interference_table, service, family, request.now_ms
        )
        request.effects[key] = effect + CAUTION_DEVIATIONS * deviation
    return request.effects[key]


def estimate_harm(request: Request, target: views.TargetView) -> float:
    """Return the relative rise of the service's p99 that the task causes.

    The rise includes the factor by which the running attempts already raise
    the p99, because the same effect costs more on a VM that is already slow.
    """
    if not target.service:
        return 0.0
    capacity_millicores = max(target.capacity.processor_millicores, 1)
    running_effect = sum(
        compute_pessimistic_effect(request, target.service, running.family)
        * (
            running.used.processor_millicores
            or _get_reserved_millicores(running)
        )
        for running in target.running
    )
    effect = compute_pessimistic_effect(
        request, target.service, request.task.family
    )
    added_rise = (
        effect * request.reservation.processor_millicores / capacity_millicores
    )
    pressure = min(max(target.service_p99_ratio, 1.0), MAX_PRESSURE)
    running_rise = min(running_effect / capacity_millicores, 4.0)
    return pressure * math.exp(running_rise) * math.expm1(min(added_rise, 4.0))


def compute_cost(request: Request, target: views.TargetView) -> float:
    """Return the weighted cost of the target; the lowest is best."""
    objective = request.policy.objective
    remaining = target.free.minus(request.reservation)
    cost = objective.tail_latency * estimate_harm(request, target)
    cost += objective.batch_throughput * (
        _compute_stranded_share(target, remaining)
        + 0.2 * _compute_imbalance(target, remaining)
    )
    cost += objective.evictions * _compute_memory_risk(target, remaining)
    cost += FAILURE_COST * target.failure_share
    if request.is_new and has_family(target, request.task.family):
        cost += NEW_FAMILY_COST
    return cost


def has_family(target: views.TargetView, family: str) -> bool:
    """Tell whether an attempt of the family runs on the target."""
    return any(running.family == family for running in target.running)


def compute_share(part: int, whole: int) -> float:
    """Return a part as a share of the whole, 0 if the whole is 0."""
    return part / whole if whole else 0.0


def _get_reserved_millicores(running: views.RunningView) -> int:
    return running.reserved.processor_millicores


def _compute_stranded_share(
    target: views.TargetView, remaining: resources.Resources
) -> float:
    """Return the share of the target's accelerators that stay free.

    Free accelerators on a partly used VM are useful only while enough
    processors and memory are left, and many small remainders cannot hold a
    task that needs several accelerators. So a task is placed where few
    accelerators stay free.
    """
    if not target.capacity.accelerators:
        return 0.0
    return compute_share(remaining.accelerators, target.capacity.accelerators)


def _compute_imbalance(
    target: views.TargetView, remaining: resources.Resources
) -> float:
    """Return the used share of the scarcer resource plus the imbalance.

    The imbalance is large if one resource runs out before the other, which
    makes the rest of the VM unusable.
    """
    processor_share = 1.0 - compute_share(
        remaining.processor_millicores, target.capacity.processor_millicores
    )
    memory_share = 1.0 - compute_share(
        remaining.memory_mb, target.capacity.memory_mb
    )
    return max(processor_share, memory_share) + 0.5 * abs(
        processor_share - memory_share
    )


def _compute_memory_risk(
    target: views.TargetView, remaining: resources.Resources
) -> float:
    used_share = 1.0 - compute_share(
        remaining.memory_mb, target.capacity.memory_mb
    )
    return max(used_share - SAFE_MEMORY_SHARE, 0.0) / (1.0 - SAFE_MEMORY_SHARE)
