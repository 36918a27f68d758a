"""Checks of the audits of worker stand-ins.

An audit records what a worker ran, independently of what the scheduler
reports. All functions are pure and take the intervals of one or more workers.
"""

from collections import abc

import msgspec

from borageshelf.model import resources


class Interval(msgspec.Struct, forbid_unknown_fields=True):
    """One uninterrupted run of one attempt on one worker.

    :param end_ms: 0 while it runs
    :param work_from_ms: progress at the start, above 0 if it was resumed from
        a checkpoint
    :param work_to_ms: progress at the end
    :param ended_as: the final state, or the reason why it ended
    """

    worker: str
    task_id: str
    attempt: int
    family: str
    declared: resources.Resources
    used: resources.Resources
    start_ms: int
    work_from_ms: int
    end_ms: int = 0
    work_to_ms: int = 0
    ended_as: str = ''


def find_overlaps(
    intervals: abc.Iterable[Interval],
) -> list[tuple[Interval, Interval]]:
    """Return pairs of intervals in which a task ran twice at a time."""
    overlaps = []
    last_to_end: dict[str, Interval] = {}
    for interval in sorted(intervals, key=lambda item: item.start_ms):
        previous = last_to_end.get(interval.task_id)
        if previous is not None and _is_running_at(
            previous, interval.start_ms
        ):
            overlaps.append((previous, interval))
        if previous is None or _ends_after(interval, previous):
            last_to_end[interval.task_id] = interval
    return overlaps


def find_repeated_completions(intervals: abc.Iterable[Interval]) -> list[str]:
    """Return the tasks that succeeded more than once."""
    counts: dict[str, int] = {}
    for interval in intervals:
        if interval.ended_as == 'succeeded':
            counts[interval.task_id] = counts.get(interval.task_id, 0) + 1
    return sorted(task_id for task_id, count in counts.items() if count > 1)


def find_peak_declared(
    intervals: abc.Iterable[Interval], worker: str
) -> resources.Resources:
    """Return the largest sum of declared sizes that ran on a worker at once.

    Each component is the maximum over time of its own sum.
    """
    events = []
    for interval in intervals:
        if interval.worker != worker:
            continue
        events.append((interval.start_ms, 1, interval.declared))
        if interval.end_ms:
            events.append((interval.end_ms, 0, interval.declared))
    # An end sorts before a start in the same millisecond.
    events.sort(key=lambda event: event[:2])
    current = peak = resources.NOTHING
    for _, is_start, declared in events:
        if is_start:
            current = current.plus(declared)
        else:
            current = current.minus(declared)
        peak = peak.maximum(current)
    return peak


def _is_running_at(interval: Interval, now_ms: int) -> bool:
    return not interval.end_ms or interval.end_ms > now_ms


def _ends_after(interval: Interval, other: Interval) -> bool:
    if not interval.end_ms or not other.end_ms:
        return not interval.end_ms
    return interval.end_ms > other.end_ms
