"""What a run has shown, as the decisions on stalls and copies read it."""

from typing import Final

from borageshelf.decisions import copies
from borageshelf.decisions import stalls
from borageshelf.workflows import jobs

# The first percent that a new owner sees may have begun long before.
MIN_GAINED_PERCENT: Final = 2


def _find_gained_percent(run: jobs.Run) -> int:
    """Return the progress in the time in which this owner sees the pace."""
    if run.watched_from_percent is None:
        return 0
    gained_percent = run.progress_percent - run.watched_from_percent
    if run.is_restored and gained_percent < MIN_GAINED_PERCENT:
        return 0
    return gained_percent


def find_stall_limit_ms(run: jobs.Run) -> int:
    """Return the time without progress after which a run has stalled."""
    group = run.task.group
    return stalls.compute_stall_limit_ms(
        stalls.Progress(
            max(run.progress_at_ms - run.watched_since_ms, 0),
            _find_gained_percent(run),
            run.progress_percent,
            group.get_estimate_ms(),
            group.step.is_checkpointing,
            run.task.stalls,
        )
    )


def is_leading(run: jobs.Run) -> bool:
    """Tell whether an unfinished task has no run with more progress."""
    task = run.task
    return not task.is_done and run.progress_percent >= task.progress_percent


def find_pace(run: jobs.Run, now_ms: int) -> copies.Pace | None:
    """Return the pace of a run that its agent lists; None if not known.

    A run that a former owner has started shows its pace between two changes.
    """
    gained_percent = _find_gained_percent(run)
    if not run.is_confirmed or (run.is_restored and not gained_percent):
        return None
    since_ms = max(run.watched_since_ms, run.started_at_ms)
    return copies.Pace(
        max(now_ms - since_ms, 0),
        max(run.progress_at_ms - since_ms, 0),
        max(gained_percent, 0),
        run.progress_percent,
    )
