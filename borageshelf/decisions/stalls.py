"""Tells a run that stands still from one that works slowly.

Executors report progress in whole percents, so a long task seems to stand
still between two of them. How long that may take follows from the estimate of
its run time and from what the run has shown; estimates are often far too low,
so each stop of the same task doubles the time that its next run gets.
"""

import dataclasses
from typing import Final

# Progress is reported every 400 ms; a short run without progress in five
# reports has stalled.
BASE_LIMIT_MS: Final = 2_000
# A percent that takes so many times as long as the others is a stall.
SLOW_PERCENT_FACTOR: Final = 4
DOUBLINGS_LIMIT: Final = 6


@dataclasses.dataclass(frozen=True)
class Progress:
    """What a run has shown until its last progress.

    :param worked_ms: time from its start to its last progress
    :param estimate_ms: estimated run time of the task
    :param keeps_work: whether the next run goes on from a checkpoint
    :param earlier_stalls: number of runs of the task that were stopped as
        stalled
    """

    worked_ms: int
    progress_percent: int
    estimate_ms: int
    keeps_work: bool
    earlier_stalls: int


def compute_stall_limit_ms(progress: Progress) -> int:
    """Return the time without progress after which a run has stalled.

    A run whose work would be lost is stopped only once it has stood still for
    as long as the lost work took: then the stop costs no more than the wait.
    """
    duration_ms = progress.estimate_ms
    if progress.progress_percent:
        shown_ms = progress.worked_ms * 100 // progress.progress_percent
        duration_ms = max(duration_ms, shown_ms)
    doublings = min(progress.earlier_stalls, DOUBLINGS_LIMIT)
    return max(
        BASE_LIMIT_MS << doublings,
        SLOW_PERCENT_FACTOR * duration_ms // 100,
        0 if progress.keeps_work else progress.worked_ms,
    )
