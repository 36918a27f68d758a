"""Choice of the attempts that make room for more urgent work on one VM.

The agent calls ``choose_victims`` with the whole view of its VM; placement
calls it with the reported view to find a VM where preemption would work.
Only less urgent attempts are chosen, never one that must not be started
again, and no more of them than the room requires.
"""

from collections.abc import Sequence
import dataclasses
import math
from typing import Final

from borageshelf.model import objects
from borageshelf.model import resources

# An attempt in the last fifth of its expected run time soon leaves by
# itself; stopping it would lose the most work for the least time.
NEARLY_DONE_SHARE: Final = 0.8
# Urgencies go from 0 to 9.
LARGEST_GAP: Final = 9
# Urgency of a need that every attempt must yield to, such as full memory.
ABOVE_ALL: Final = 99


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An attempt that may be stopped.

    :param held: what the ledger counts for it
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


def find_urgency_gap(objective: objects.Objective) -> int:
    """Return by how much a victim must be less urgent.

    The gap is 1 if evictions have no weight and grows with their weight
    against the other measures, so that operators who count evictions do not
    pay one for a small difference in urgency.
    """
    others = objective.tail_latency + objective.batch_throughput
    if objective.evictions <= 0:
        return 1
    # Compared first, because the quotient of a tiny weight is infinite.
    if objective.evictions >= (LARGEST_GAP - 1) * others:
        return LARGEST_GAP
    return 1 + math.floor(objective.evictions / others + 0.5)


def choose_victims(
    need: resources.Resources,
    free: resources.Resources,
    urgency: int,
    candidates: Sequence[Candidate],
    objective: objects.Objective,
) -> tuple[Candidate, ...] | None:
    """Return the attempts to stop, or None if stopping cannot make room.

    The result is empty if the task fits already.

    :param need: size to make room for
    :param free: what the ledger has left; components may be negative
    :param urgency: urgency of the task that needs the room
    """
    limit = urgency - find_urgency_gap(objective)
    allowed = [
        candidate
        for candidate in candidates
        if candidate.is_movable and candidate.urgency <= limit
    ]
    allowed.sort(key=_find_order)
    chosen: list[Candidate] = []
    for candidate in allowed:
        if need.fits_in(free):
            break
        if _relieves(candidate.held, need.minus(free)):
            chosen.append(candidate)
            free = free.plus(candidate.held)
    if not need.fits_in(free):
        return None
    return _drop_needless(chosen, need, free)


def _find_order(candidate: Candidate) -> tuple[int, bool, int, int, str]:
    """Order by urgency, then by the work that a stop would lose."""
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


def _relieves(held: resources.Resources, missing: resources.Resources) -> bool:
    """Tell whether the attempt holds something that is missing."""
    return (
        (missing.processor_millicores > 0 and held.processor_millicores > 0)
        or (missing.memory_mb > 0 and held.memory_mb > 0)
        or (missing.accelerators > 0 and held.accelerators > 0)
    )


def _drop_needless(
    chosen: list[Candidate],
    need: resources.Resources,
    free: resources.Resources,
) -> tuple[Candidate, ...]:
    """Spare the attempts that later and larger ones made needless."""
    kept = list(chosen)
    for candidate in reversed(chosen):
        without = free.minus(candidate.held)
        if need.fits_in(without):
            kept.remove(candidate)
            free = without
    return tuple(kept)
