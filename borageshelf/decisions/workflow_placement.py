"""Choice of a target for a task of a workflow.

Serving tasks (lasting tasks with a latency target) share targets with large
fillers, which use the processor time that others leave unused; some fillers
raise the latency of some serving tasks. A filler is placed where it is
expected to keep all latencies within their targets and most processor time is
unused. Serving tasks of one image are packed together, and as few images as
possible share a target, so that every filler finds targets where it does no
harm: a filler that is harmless beside one serving image is rarely harmless
beside three. All other tasks are placed where
most processor time is unused. Targets that fail every task get none; the
caller leaves them out.
"""

from collections import abc
import dataclasses
from typing import Final, Protocol

from borageshelf.decisions import filler_effects
from borageshelf.model import resources
from borageshelf.model import workflows

# Assumed use of a serving task as a share of its declared processors, before
# any measurement; the users' monitors use 0.42 on average.
SERVING_USE_RATIO: Final = 0.45
# A filler starts only where the unused processors are at least this share of
# its size.
MIN_UNUSED_RATIO: Final = 0.85


# Prefix of the score of a target that is neither avoided nor cold nor in
# another rack.
PREFERRED: Final = (0.0, 0.0, 0.0)


class Target(Protocol):
    """Attributes of a target that the decision reads.

    :ivar reserved: sum of the declared sizes of its tasks, without the
        processors of fillers
    :ivar busy_millicores: expected use of processors by all tasks but fillers
    :ivar filler_millicores: declared processors of its fillers
    :ivar is_cold: whether its executor is slow for a while after its start
    """

    target_id: str
    rack: str
    labels: tuple[str, ...]
    capacity: resources.Resources
    reserved: resources.Resources
    busy_millicores: int
    filler_millicores: int
    is_cold: bool

    @property
    def serving_images(self) -> abc.Mapping[str, int]:
        """Return the number of serving tasks by image."""


@dataclasses.dataclass(frozen=True)
class PlacementRequest:
    """A task to place.

    :param sibling_counts: number of runs of the same step by target
    :param avoided: targets on which the task has failed
    :param sibling_rack: rack of the other tasks of a step that needs a single
        rack, or ''
    :param is_overdue: whether no task of the workflow has run for a while; a
        filler is then placed where it does least harm, however much that is
    :param excluded_target_id: target that must not be chosen, or ''
    """

    step: workflows.Step
    sibling_counts: abc.Mapping[str, int]
    avoided: abc.Collection[str] = ()
    sibling_rack: str = ''
    is_overdue: bool = False
    excluded_target_id: str = ''


# Predicts the highest latency of the serving tasks on a target, as a share of
# their latency target, after a task of a step is added.
LatencyPredictor = abc.Callable[[workflows.Step, Target], float]


def predict_no_effect(step: workflows.Step, target: Target) -> float:
    """Return 0 for every target: no latency is affected."""
    return 0.0


def estimate_use_millicores(step: workflows.Step) -> int:
    """Return the expected use of processors by a task, in millicores."""
    size_millicores = step.demand.processor_millicores
    return (
        round(size_millicores * SERVING_USE_RATIO)
        if step.latency_target_ms
        else size_millicores
    )


def has_room(step: workflows.Step, target: Target) -> bool:
    """Tell whether a target has room for one more task of a step."""
    demand, reserved, capacity = step.demand, target.reserved, target.capacity
    # Compared by component, as building a sum for each target would take most
    # of the time of a decision.
    return (
        reserved.memory_mb + demand.memory_mb <= capacity.memory_mb
        and reserved.accelerators + demand.accelerators
        <= capacity.accelerators
        and reserved.processor_millicores
        + (0 if step.is_filler else demand.processor_millicores)
        <= capacity.processor_millicores
    )


def choose_target(
    request: PlacementRequest,
    targets: abc.Iterable[Target],
    predict_latency_share: LatencyPredictor = predict_no_effect,
) -> Target | None:
    """Return the best target, or None if no target has room now.

    Looks at every target; ``target_index`` gives the same answers for large
    fleets.

    :param targets: targets that may get work
    :param predict_latency_share: used for fillers only
    """
    best: Target | None = None
    best_score: tuple[float, ...] = ()
    for target in targets:
        score = compute_score(request, target, predict_latency_share)
        if score is not None and (best is None or score < best_score):
            best, best_score = target, score
    return best


def compute_score(
    request: PlacementRequest,
    target: Target,
    predict_latency_share: LatencyPredictor,
) -> tuple[float, ...] | None:
    """Return the score of a target, or None if the task can't run there.

    The lowest score is best. It begins with whether the target is avoided,
    whether it is cold, and whether it is in another rack than the task needs.
    """
    step = request.step
    if step.label and step.label not in target.labels:
        return None
    if target.target_id == request.excluded_target_id:
        return None
    if step.spread_limit:
        sibling_count = request.sibling_counts.get(target.target_id, 0)
        if sibling_count >= step.spread_limit:
            return None
    if not has_room(step, target):
        return None
    unused_millicores = compute_unused_millicores(target)
    excess_share = 0.0
    if step.is_filler:
        if unused_millicores < compute_min_unused_millicores(step):
            return None
        latency_share = predict_latency_share(step, target)
        if (
            latency_share > filler_effects.MAX_LATENCY_SHARE
            and not request.is_overdue
        ):
            return None
        excess_share = max(
            latency_share - filler_effects.UNPENALIZED_LATENCY_SHARE, 0.0
        )
    return (
        float(target.target_id in request.avoided),
        float(target.is_cold),
        float(_is_in_other_rack(request, target)),
        *_compute_score_by_kind(step, target, unused_millicores, excess_share),
    )


def compute_min_unused_millicores(step: workflows.Step) -> float:
    """Return the unused processors that a filler needs to start."""
    return step.demand.processor_millicores * MIN_UNUSED_RATIO


def compute_unused_millicores(target: Target) -> int:
    """Return the processors that are left for one more filler."""
    return (
        target.capacity.processor_millicores
        - target.busy_millicores
        - target.filler_millicores
    )


def _compute_score_by_kind(
    step: workflows.Step,
    target: Target,
    unused_millicores: int,
    excess_share: float,
) -> tuple[float, ...]:
    """Return a score by the kind of the task; the lowest is best."""
    if step.latency_target_ms:
        free = target.capacity.minus(target.reserved)
        return (
            float(target.filler_millicores > 0),
            float(step.image not in target.serving_images),
            float(len(target.serving_images)),
            float(free.processor_millicores),
        )
    if step.is_filler:
        return (round(excess_share, 1), -float(unused_millicores))
    return (-float(unused_millicores),)


def _is_in_other_rack(request: PlacementRequest, target: Target) -> bool:
    if request.step.rack and target.rack != request.step.rack:
        return True
    return bool(request.sibling_rack) and target.rack != request.sibling_rack
