"""Where a task of a workflow runs.

Answers a fleet in which lasting tasks that serve their own users share
targets with large filler tasks, which disturb them and use what processor
time is left. Serving tasks are packed together, so that fillers find targets
without any; fillers go where most processor time is unused; everything else
goes where most room is left. A target that fails everything gets nothing.
"""

from collections import abc
import dataclasses
from typing import Final, Protocol

from borageshelf.model import resources
from borageshelf.model import workflows

# Processor time that a serving task uses of its declared size, before any
# measurement; the users' monitors run at 0.42 with swings of half of that.
SERVING_USE: Final = 0.6
# A filler starts if at least this share of its size is unused.
FILLER_SHARE: Final = 0.85


class Target(Protocol):
    """What the decision reads of a target.

    :ivar reserved: declared sizes of what runs there, without the
        processors of fillers
    :ivar busy_millicores: expected use of processors by what is no filler
    :ivar filler_millicores: declared processors of the fillers there
    :ivar serving_count: tasks there that have a latency target
    """

    target_id: str
    rack: str
    labels: tuple[str, ...]
    capacity: resources.Resources
    reserved: resources.Resources
    busy_millicores: int
    filler_millicores: int
    serving_count: int


@dataclasses.dataclass(frozen=True)
class Wish:
    """What a task needs.

    :param siblings: number of runs of the same step on each target
    :param avoided: targets on which the task failed before
    :param sibling_rack: rack of the step's other tasks if it needs one rack
    """

    step: workflows.Step
    siblings: abc.Mapping[str, int]
    avoided: abc.Collection[str] = ()
    sibling_rack: str = ''


def find_expected_use(step: workflows.Step) -> int:
    """Return the processors that a task will really use, in millicores."""
    size = step.demand.processor_millicores
    return round(size * SERVING_USE) if step.latency_target_ms else size


def fits(step: workflows.Step, target: Target) -> bool:
    """Tell whether a task may be added to what a target runs."""
    total = target.reserved.plus(step.reserved)
    return total.fits_in(target.capacity)


def choose_target(wish: Wish, targets: abc.Iterable[Target]) -> Target | None:
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
        if step.is_filler and unused < size * FILLER_SHARE:
            continue
        score = (
            float(target.target_id in wish.avoided),
            float(_is_far(wish, target)),
            *_score(step, target, unused),
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
    step: workflows.Step, target: Target, unused: int
) -> tuple[float, ...]:
    """Return a score; the lowest is the best."""
    if step.latency_target_ms:
        free = target.capacity.minus(target.reserved)
        return (
            float(target.filler_millicores > 0),
            float(target.serving_count == 0),
            float(free.processor_millicores),
        )
    if step.is_filler:
        return (float(target.serving_count > 0), -float(unused))
    return (-float(unused),)


def _is_far(wish: Wish, target: Target) -> bool:
    if wish.step.rack and target.rack != wish.step.rack:
        return True
    return bool(wish.sibling_rack) and target.rack != wish.sibling_rack
