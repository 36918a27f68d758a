"""Choice of the attempts to preempt for more urgent work on one VM.

The agent calls ``choose_victims`` with the full state of its VM; placement
calls it with the reported state to find a VM where preemption would make
room. Only less urgent attempts are chosen, never one that must not be started
again, and no more of them than needed.
"""

from collections.abc import Sequence
import dataclasses
import math
from typing import Final

from borageshelf.model import objects
from borageshelf.model import resources

# An attempt in the last fifth of its expected run time ends soon anyway, and
# stopping it would lose the most work for the least time gained.
NEARLY_DONE_SHARE: Final = 0.8
# Urgencies range from 0 to 9.
MAX_URGENCY_GAP: Final = 9
# Urgency that exceeds that of every attempt, for a shortage such as full
# memory.
ABOVE_ANY_URGENCY: Final = 99


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An attempt that may be stopped.

    :param held: resources that the ledger counts for it
    :param is_movable: false for non-idempotent work without a checkpoint
    :param run_ms: time it has run since its start or last checkpoint
    :param expected_run_ms: learned run time, or 0
    :param evictions: how often the task was evicted before
    """

    task_id: str
    urgency: int
    held: resources.Resources
    is_movable: bool = True
    run_ms: int = 0
    expected_run_ms: int = 0
    evictions: int = 0


def compute_min_urgency_gap(objective: objects.Objective) -> int:
    """Return by how much less urgent a victim must be.

    The gap is 1 if evictions have no weight and grows with their weight
    relative to the other objectives, so that a small difference in urgency
    does not cost an eviction where operators want few of them.
    """
    other_weights = objective.tail_latency + objective.batch_throughput
    if objective.evictions <= 0:
        return 1
    # Checked before the division, because dividing by tiny weights gives
    # infinity.
    if objective.evictions >= (MAX_URGENCY_GAP - 1) * other_weights:
        return MAX_URGENCY_GAP
    return 1 + math.floor(objective.evictions / other_weights + 0.5)


def choose_victims(
    need: resources.Resources,
    free: resources.Resources,
    urgency: int,
    candidates: Sequence[Candidate],
    objective: objects.Objective,
) -> tuple[Candidate, ...] | None:
    """Return the attempts to stop, or None if that cannot make enough room.

    The result is empty if the task fits without stopping any attempt.

    :param need: size to make room for
    :param free: free resources in the ledger; components may be negative
    :param urgency: urgency of the task that needs the room
    """
    max_urgency = urgency - compute_min_urgency_gap(objective)
    allowed = [
        candidate
        for candidate in candidates
        if candidate.is_movable and candidate.urgency <= max_urgency
    ]
    allowed.sort(key=_get_sort_key)
    chosen: list[Candidate] = []
    for candidate in allowed:
        if need.fits_in(free):
            break
        if _holds_missing(candidate.held, need.minus(free)):
            chosen.append(candidate)
            free = free.plus(candidate.held)
    if not need.fits_in(free):
        return None
    return _drop_unneeded(chosen, need, free)


def _get_sort_key(candidate: Candidate) -> tuple[int, bool, int, int, str]:
    """Return a sort key: urgency, then the work that a stop would lose."""
    expected_ms = candidate.expected_run_ms
    nearly_done = (
        expected_ms > 0 and candidate.run_ms >= NEARLY_DONE_SHARE * expected_ms
    )
    return (
        candidate.urgency,
        nearly_done,
        candidate.evictions,
        candidate.run_ms,
        candidate.task_id,
    )


def _holds_missing(
    held: resources.Resources, missing: resources.Resources
) -> bool:
    """Tell whether the attempt holds a resource that is missing."""
    return (
        (missing.processor_millicores > 0 and held.processor_millicores > 0)
        or (missing.memory_mb > 0 and held.memory_mb > 0)
        or (missing.accelerators > 0 and held.accelerators > 0)
    )


def _drop_unneeded(
    chosen: list[Candidate],
    need: resources.Resources,
    free: resources.Resources,
) -> tuple[Candidate, ...]:
    """Return the victims without those that later ones made unnecessary."""
    kept = list(chosen)
    for candidate in reversed(chosen):
        free_without = free.minus(candidate.held)
        if need.fits_in(free_without):
            kept.remove(candidate)
            free = free_without
    return tuple(kept)
