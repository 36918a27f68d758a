"""Where a task of a workflow runs.

Answers a fleet in which lasting tasks that serve their own users share
targets with large filler tasks, which use the processor time that is left and
of which some disturb them. A filler goes where it disturbs no serving task
and most processor time is unused. Serving tasks of one image are packed
together, so that each filler finds targets on which it disturbs nothing: one
that bears one serving image rarely bears three. Everything else goes where
most room is left. A target that fails everything gets nothing.
"""

from collections import abc
import dataclasses
from typing import Final, Protocol

from borageshelf.decisions import filler_effects
from borageshelf.model import resources
from borageshelf.model import workflows

# Processor time that a serving task uses of its declared size, before any
# measurement; the users' monitors run at 0.42 on average.
SERVING_USE: Final = 0.45
# A filler starts if at least this share of its size is unused.
FILLER_SHARE: Final = 0.85


class Target(Protocol):
    """What the decision reads of a target.

    :ivar reserved: declared sizes of what runs there, without the
        processors of fillers
    :ivar busy_millicores: expected use of processors by what is no filler
    :ivar filler_millicores: declared processors of the fillers there
    """

    target_id: str
    rack: str
    labels: tuple[str, ...]
    capacity: resources.Resources
    reserved: resources.Resources
    busy_millicores: int
    filler_millicores: int

    @property
    def serving_images(self) -> abc.Mapping[str, int]:
        """Return the number of tasks with a latency target, by image."""


@dataclasses.dataclass(frozen=True)
class PlacementRequest:
    """What a task needs.

    :param siblings: number of runs of the same step on each target
    :param avoided: targets on which the task failed before
    :param sibling_rack: rack of the step's other tasks if it needs one rack
    :param is_overdue: nothing of the workflow has run for a while, so it
        takes the place that disturbs least, whatever it disturbs there
    """

    step: workflows.Step
    siblings: abc.Mapping[str, int]
    avoided: abc.Collection[str] = ()
    sibling_rack: str = ''
    is_overdue: bool = False


# Returns the expected latency of the serving tasks of a target, as a share of
# their target, if a task of a step is added.
LatencyPredictor = abc.Callable[[workflows.Step, Target], float]


def find_no_risk(step: workflows.Step, target: Target) -> float:
    """Return that nothing is disturbed."""
    return 0.0


def estimate_use_millicores(step: workflows.Step) -> int:
    """Return the processors that a task will really use, in millicores."""
    size = step.demand.processor_millicores
    return round(size * SERVING_USE) if step.latency_target_ms else size


def fits(step: workflows.Step, target: Target) -> bool:
    """Tell whether a task may be added to what a target runs."""
    total = target.reserved.plus(step.reserved)
    return total.fits_in(target.capacity)


def choose_target(
    wish: PlacementRequest,
    targets: abc.Iterable[Target],
    find_risk: LatencyPredictor = find_no_risk,
) -> Target | None:
    """Return the best target, or None if no target has room now.

    :param targets: targets that may get work
    """
    best: Target | None = None
    best_score: tuple[float, ...] = ()
    step = wish.step
    for target in targets:
        if step.label and step.label not in target.labels:
            continue
        count = wish.siblings.get(target.target_id, 0)
        if step.spread_limit and count >= step.spread_limit:
            continue
        if not fits(step, target):
            continue
        unused = find_unused(target)
        size = step.demand.processor_millicores
        risk = 0.0
        if step.is_filler:
            if unused < size * FILLER_SHARE:
                continue
            risk = find_risk(step, target)
            if risk > filler_effects.MAX_LATENCY_SHARE and not wish.is_overdue:
                continue
            risk = max(risk - filler_effects.UNPENALIZED_LATENCY_SHARE, 0.0)
        score = (
            float(target.target_id in wish.avoided),
            float(_is_far(wish, target)),
            *_score(step, target, unused, risk),
        )
        if best is None or score < best_score:
            best, best_score = target, score
    return best


def find_unused(target: Target) -> int:
    """Return the processors that a filler could use there."""
    return (
        target.capacity.processor_millicores
        - target.busy_millicores
        - target.filler_millicores
    )


def _score(
    step: workflows.Step, target: Target, unused: int, risk: float
) -> tuple[float, ...]:
    """Return a score; the lowest is the best."""
    if step.latency_target_ms:
        free = target.capacity.minus(target.reserved)
        return (
            float(target.filler_millicores > 0),
            float(not target.serving_images),
            float(step.image not in target.serving_images),
            float(free.processor_millicores),
        )
    if step.is_filler:
        return (round(risk, 1), -float(unused))
    return (-float(unused),)


def _is_far(wish: PlacementRequest, target: Target) -> bool:
    if wish.step.rack and target.rack != wish.step.rack:
        return True
    return bool(wish.sibling_rack) and target.rack != wish.sibling_rack
