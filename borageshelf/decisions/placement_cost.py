"""Cost of running a task on a target, in the terms of the objective.

``placement`` calls this for every sampled target that can hold the task and
takes the cheapest one. Each term is about 0 for a good target and about 1
for a bad one before its weight.
"""

import dataclasses
import math
from typing import Final

from borageshelf.decisions import interference
from borageshelf.decisions import views
from borageshelf.model import resources

# Standard deviations added to an uncertain effect. One deviation makes an
# unmeasured pair look about as bad as a family that doubles the p99 when it
# fills the VM.
CAUTION_DEVIATIONS: Final = 0.5
# A target whose service misses its goal gets harm counted up to this often.
LARGEST_PRESSURE: Final = 4.0
# Memory use above this share of the VM often ends in an eviction, because
# memory can't be throttled.
CALM_MEMORY_SHARE: Final = 0.85
FAILURE_COST: Final = 4.0
NEW_FAMILY_COST: Final = 0.5


@dataclasses.dataclass(frozen=True)
class Request:
    """A task with everything that is the same for all targets.

    :param need: size to reserve
    :param effects: cautious effect by (service, family), filled on demand
    :param is_new: whether the family has no history of sizes
    """

    task: views.TaskView
    policy: views.Policy
    need: resources.Resources
    now_ms: int
    is_new: bool
    effects: dict[tuple[str, str], float]


def find_cautious_effect(request: Request, service: str, family: str) -> float:
    """Return the expected effect plus a part of its uncertainty."""
    key = (service, family)
    if key not in request.effects:
        effect, deviation = interference.estimate_effect(
            request.policy.interference_table, service, family, request.now_ms
        )
        request.effects[key] = effect + CAUTION_DEVIATIONS * deviation
    return request.effects[key]


def find_harm(request: Request, target: views.TargetView) -> float:
    """Return the relative rise of the service's p99 that the task causes.

    The rise is counted from the level that the running mix already causes,
    because the same effect costs more on a VM that is already slow.
    """
    if not target.service:
        return 0.0
    capacity = max(target.capacity.processor_millicores, 1)
    present = sum(
        find_cautious_effect(request, target.service, running.family)
        * (running.used.processor_millicores or _find_size(running))
        for running in target.running
    )
    effect = find_cautious_effect(request, target.service, request.task.family)
    added = effect * request.need.processor_millicores / capacity
    pressure = min(max(target.service_p99_ratio, 1.0), LARGEST_PRESSURE)
    level = min(present / capacity, 4.0)
    return pressure * math.exp(level) * math.expm1(min(added, 4.0))


def find_cost(request: Request, target: views.TargetView) -> float:
    """Return the weighted cost of the target; the lowest is the best."""
    objective = request.policy.objective
    left = target.free.minus(request.need)
    cost = objective.tail_latency * find_harm(request, target)
    cost += objective.batch_throughput * (
        _find_stranded(target, left) + 0.2 * _find_imbalance(target, left)
    )
    cost += objective.evictions * _find_memory_risk(target, left)
    cost += FAILURE_COST * target.failure_share
    if request.is_new and is_family_on(target, request.task.family):
        cost += NEW_FAMILY_COST
    return cost


def is_family_on(target: views.TargetView, family: str) -> bool:
    """Tell whether an attempt of the family runs on the target."""
    return any(running.family == family for running in target.running)


def find_share(part: int, whole: int) -> float:
    """Return a part of a whole, 0 if there is no whole."""
    return part / whole if whole else 0.0


def _find_size(running: views.RunningView) -> int:
    return running.declared.processor_millicores


def _find_stranded(
    target: views.TargetView, left: resources.Resources
) -> float:
    """Return how much the choice scatters accelerators.

    Free accelerators that stay beside the task are of use to a large task
    only while there are processors and memory for it, and many small
    remainders cannot hold a task that needs several. So a task goes where
    few accelerators stay free.
    """
    if not target.capacity.accelerators:
        return 0.0
    return find_share(left.accelerators, target.capacity.accelerators)


def _find_imbalance(
    target: views.TargetView, left: resources.Resources
) -> float:
    """Return the used part of the fuller resource plus the mismatch.

    The mismatch is large if one resource runs out before the other, which
    leaves the rest of the VM unusable.
    """
    processor = 1.0 - find_share(
        left.processor_millicores, target.capacity.processor_millicores
    )
    memory = 1.0 - find_share(left.memory_mb, target.capacity.memory_mb)
    return max(processor, memory) + 0.5 * abs(processor - memory)


def _find_memory_risk(
    target: views.TargetView, left: resources.Resources
) -> float:
    used = 1.0 - find_share(left.memory_mb, target.capacity.memory_mb)
    return max(used - CALM_MEMORY_SHARE, 0.0) / (1.0 - CALM_MEMORY_SHARE)
