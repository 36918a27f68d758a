"""Whether tasks wait for room on the rack of their data or of their group.

Answers loads whose tasks take ``remote_factor`` times as long on another rack,
while the wanted rack is full of short tasks that are about to end. A task
waits only if room is expected within half of what the wait saves, so a full
rack of long tasks delays nothing. Estimates of run times are off by up to nine
tenths, so progress replaces them as soon as it is known, and each wait has a
deadline that bounds what it can cost.

All times are elapsed milliseconds. ``docs/design/place-waiting.md`` compares
the rule with delays by count and by time.
"""

from collections import abc
import dataclasses
import enum
import itertools
import statistics
from typing import Final

from borageshelf.model import resources

# A forecast that is wrong by a factor of two still breaks even.
GAIN_SHARE: Final = 0.5
FORECAST_TOLERANCE_FACTOR: Final = 2
# Agents report progress and ends this often.
REPORT_INTERVAL_MS: Final = 400
# Failures and moves of runs make forecasts beyond this worthless.
WAIT_LIMIT_MS: Final = 10_000
# Longest time that an executor takes to stop a run (site files).
STOP_LIMIT_MS: Final = 900
# One percent of a run of a second is shorter than the report interval, so the
# first few say little about its pace.
MIN_GAINED_PERCENT: Final = 5
# A place without a spread limit takes any number of tasks.
UNLIMITED: Final = 1_000_000


class Cause(enum.Enum):
    """Why nothing waits."""

    SHORT_GAIN = 'not expected in time'
    OBJECTIVE = 'the objective can not be met'
    OBJECTIVE_AT_RISK = 'the wait would risk the objective'
    SEVERAL_RACKS = 'the step runs on several racks'


@dataclasses.dataclass(frozen=True)
class RunState:
    """A run whose end is predicted.

    :param estimate_ms: estimated run time of its task
    :param progress_at_ms: time of the last change of the progress
    :param watched_since_ms: time since which its pace is known
    :param watched_from_percent: its progress at that time; None if its pace is
        not known
    :param is_stopping: whether it is to be stopped
    """

    started_at_ms: int
    estimate_ms: int
    progress_percent: int = 0
    progress_at_ms: int = 0
    watched_since_ms: int = 0
    watched_from_percent: int | None = None
    is_stopping: bool = False


@dataclasses.dataclass(frozen=True)
class ExpectedEnd:
    """Resources that the expected end of a run makes free."""

    at_ms: int
    freed: resources.Resources


@dataclasses.dataclass(frozen=True)
class Place:
    """A usable target of the wanted rack.

    :param free: resources that the waiting tasks may use now
    :param ends: expected ends of its runs
    :param tasks_limit: upper bound on further tasks of the step
    """

    free: resources.Resources
    ends: tuple[ExpectedEnd, ...] = ()
    tasks_limit: int = UNLIMITED


@dataclasses.dataclass(frozen=True)
class Request:
    """Waiting tasks of a step, for which only another rack has room now.

    :param needed: resources that one task needs on a place
    :param waiting_count: number of the waiting tasks
    :param claimed_count: number of tasks of this size that wait for the same
        rack already
    :param duration_ms: expected run time of a task on the wanted rack
    :param remote_factor: how many times as long it takes on another one
    :param following_ms: estimated time of the steps that follow on the
        critical path
    :param objective_deadline_ms: when the caller expects the workflow to end
    :param latest_ms: latest end of a wait by other rules
    :param is_undivided: whether one task elsewhere slows all of them
    """

    needed: resources.Resources
    waiting_count: int
    claimed_count: int
    duration_ms: int
    remote_factor: float
    following_ms: int
    objective_deadline_ms: int
    latest_ms: int
    is_undivided: bool = False


@dataclasses.dataclass(frozen=True)
class Wait:
    """Some tasks wait.

    :param count: how many; the others start elsewhere at once
    :param expected_at_ms: when the last of them is expected to find room
    :param deadline_ms: when those that still wait start anywhere
    """

    count: int
    expected_at_ms: int
    deadline_ms: int


@dataclasses.dataclass(frozen=True)
class NoWait:
    """All tasks start elsewhere at once."""

    cause: Cause


def predict_end_ms(run: RunState, now_ms: int) -> int:
    """Return when a run is expected to end.

    One that is later than expected is expected to be as late again.
    """
    if run.is_stopping:
        return now_ms + STOP_LIMIT_MS
    total_ms = _predict_total_ms(run)
    if total_ms is None and not run.progress_percent:
        ran_ms = now_ms - run.started_at_ms
        return now_ms + max(run.estimate_ms - ran_ms, ran_ms)
    if total_ms is None:
        total_ms = run.estimate_ms
    left_percent = 100 - run.progress_percent
    end_ms = run.progress_at_ms + round(total_ms * left_percent / 100)
    return max(end_ms, 2 * now_ms - end_ms)


def predict_duration_ms(
    estimate_ms: int,
    siblings: abc.Iterable[tuple[RunState, bool]],
    remote_factor: float,
) -> int:
    """Return the expected run time of a task on the wanted rack.

    :param siblings: runs of the step, and whether they are elsewhere
    """
    totals_ms = [
        total_ms / (remote_factor if is_elsewhere else 1)
        for run, is_elsewhere in siblings
        if (total_ms := _predict_total_ms(run)) is not None
    ]
    return round(statistics.median(totals_ms)) if totals_ms else estimate_ms


def decide(
    request: Request, places: abc.Iterable[Place], now_ms: int
) -> Wait | NoWait:
    """Decide how many of the waiting tasks wait, and until when.

    :param places: usable targets of the wanted rack
    """
    remote_ms = round(request.duration_ms * request.remote_factor)
    saved_ms = min(remote_ms - request.duration_ms, WAIT_LIMIT_MS)
    start_by_ms = request.objective_deadline_ms - request.following_ms
    if now_ms + request.duration_ms > start_by_ms:
        return NoWait(Cause.OBJECTIVE)
    latest_ms = start_by_ms - request.duration_ms
    objective_cause = Cause.OBJECTIVE
    if now_ms + remote_ms <= start_by_ms:
        # A wait that fails must still leave time for the start elsewhere.
        latest_ms = start_by_ms - remote_ms
        objective_cause = Cause.OBJECTIVE_AT_RISK
    gainful_by_ms = min(
        now_ms + round(saved_ms * GAIN_SHARE), request.latest_ms
    )
    gainful_ms = _list_slots_ms(request, places, gainful_by_ms)
    del gainful_ms[: request.claimed_count]
    timely_ms = [slot_ms for slot_ms in gainful_ms if slot_ms <= latest_ms]
    needed_count = request.waiting_count if request.is_undivided else 1
    if len(gainful_ms) < needed_count:
        return NoWait(Cause.SHORT_GAIN)
    if len(timely_ms) < needed_count:
        return NoWait(objective_cause)
    expected_at_ms = timely_ms[-1]
    limit_ms = (
        FORECAST_TOLERANCE_FACTOR * (expected_at_ms - now_ms)
        + REPORT_INTERVAL_MS
    )
    deadline_ms = min(
        now_ms + min(limit_ms, saved_ms), latest_ms, request.latest_ms
    )
    return Wait(len(timely_ms), expected_at_ms, deadline_ms)


def is_still_expected(
    wait: Wait, request: Request, places: abc.Iterable[Place]
) -> bool:
    """Tell whether tasks that wait are expected to find room in time.

    :param request: with the present number of waiting tasks; its claims are
        left out, as they may be of waits that began later
    """
    timely_count = len(_list_slots_ms(request, places, wait.deadline_ms))
    needed_count = request.waiting_count if request.is_undivided else 1
    return timely_count >= needed_count


def _predict_total_ms(run: RunState) -> float | None:
    """Return how long a whole run takes at its pace; None if not known."""
    if run.watched_from_percent is None:
        return None
    gained_percent = run.progress_percent - run.watched_from_percent
    if gained_percent < MIN_GAINED_PERCENT:
        return None
    took_ms = run.progress_at_ms - run.watched_since_ms
    return took_ms * 100 / gained_percent


def _list_slots_ms(
    request: Request, places: abc.Iterable[Place], until_ms: int
) -> list[int]:
    """Return when there is room for each of the next tasks on the rack.

    There are no more than the waiting tasks and those before them need.
    """
    limit = request.claimed_count + request.waiting_count
    slots_ms = itertools.chain.from_iterable(
        itertools.islice(
            _iterate_slots_ms(request.needed, place, until_ms), limit
        )
        for place in places
    )
    return sorted(slots_ms)[:limit]


def _iterate_slots_ms(
    needed: resources.Resources, place: Place, until_ms: int
) -> abc.Iterator[int]:
    """Yield when a place is expected to have room for one more task each.

    A place that has the resources now was not chosen for another reason, which
    no end of a run is known to change.
    """
    free = _list_amounts(place.free)
    amounts = _list_amounts(needed)
    slots = _count_fitting(amounts, free, place.tasks_limit)
    if slots:
        return
    for end in sorted(place.ends, key=lambda end: end.at_ms):
        if end.at_ms > until_ms:
            return
        free = tuple(
            map(sum, zip(free, _list_amounts(end.freed), strict=True))
        )
        fitting = _count_fitting(amounts, free, place.tasks_limit)
        for _ in range(fitting - slots):
            yield end.at_ms
        slots = max(fitting, slots)


def _list_amounts(amount: resources.Resources) -> tuple[int, ...]:
    # Building a vector for each end would take most of the time of a forecast.
    return (amount.processor_millicores, amount.memory_mb, amount.accelerators)


def _count_fitting(
    needed: tuple[int, ...], free: tuple[int, ...], limit: int
) -> int:
    """Return how many tasks fit into free resources."""
    for available, amount in zip(free, needed, strict=True):
        if amount > 0:
            limit = min(limit, available // amount)
    return max(limit, 0)
