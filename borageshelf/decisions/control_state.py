"""State of the control loop on one VM and its transitions.

``control`` decides from it. The agent keeps it in memory and starts with an
empty state; losing it is safe because a worker keeps a throttle only as long
as it keeps the task.
"""

from collections.abc import Mapping
from collections.abc import Set
import dataclasses
from typing import Final

# A VM evicts at most one attempt a minute on average and two in a burst.
EVICTION_INTERVAL_MS: Final = 60_000
MAX_EVICTION_BURST: Final = 2.0
# Slow phases count as transient once this many have ended without an
# eviction.
MIN_TRANSIENT_PHASES: Final = 2
# A slow phase is waited out for this multiple of the usual length.
TRANSIENT_WAIT_FACTOR: Final = 2.0
# Weight of the newest slow phase in the moving average of the length.
TRANSIENT_LENGTH_GAIN: Final = 0.3
# Weight of the newest measurement in the smoothed p99; a single low
# measurement must not restore speed.
SMOOTHING_GAIN: Final = 0.3


@dataclasses.dataclass(frozen=True)
class State:
    """State of the control loop between two decisions.

    :param speeds: fraction of its processors that each throttled attempt may
        use, by task
    :param last_action_at_ms: time of the last action
    :param slow_since_ms: start of the current slow phase, or 0
    :param fast_since_ms: time from which the service has been fast, or 0
    :param smoothed_p99_ratio: smoothed ratio of the p99 to its target, since
        speeds last changed; 0 without a measurement since then
    :param transient_phases: number of slow phases that ended without an
        eviction
    :param usual_transient_ms: moving average of their length
    :param evicted_in_phase: whether an attempt was evicted in the current slow
        phase
    :param eviction_budget: evictions allowed at ``budget_updated_at_ms``
    """

    speeds: Mapping[str, float] = dataclasses.field(default_factory=dict)
    last_action_at_ms: int = 0
    slow_since_ms: int = 0
    fast_since_ms: int = 0
    smoothed_p99_ratio: float = 0.0
    transient_phases: int = 0
    usual_transient_ms: float = 0.0
    evicted_in_phase: bool = False
    eviction_budget: float = MAX_EVICTION_BURST
    budget_updated_at_ms: int = 0


def drop_ended_attempts(state: State, running_task_ids: Set[str]) -> State:
    """Remove the speeds of attempts that have ended."""
    if all(task_id in running_task_ids for task_id in state.speeds):
        return state
    speeds = {
        task_id: speed
        for task_id, speed in state.speeds.items()
        if task_id in running_task_ids
    }
    return dataclasses.replace(state, speeds=speeds)


def add_start_speed(state: State, task_id: str, fraction: float) -> State:
    """Store the speed at which an attempt was started."""
    if fraction >= 1.0:
        return state
    return dataclasses.replace(
        state, speeds={**state.speeds, task_id: fraction}
    )


def set_speeds(
    state: State, changes: Mapping[str, float], now_ms: int
) -> State:
    """Store changed speeds; full speed is not stored.

    The smoothed p99 starts anew, because earlier measurements do not show
    the change.
    """
    speeds = {
        task_id: speed
        for task_id, speed in {**state.speeds, **changes}.items()
        if speed < 1.0
    }
    return dataclasses.replace(
        state, speeds=speeds, last_action_at_ms=now_ms, smoothed_p99_ratio=0.0
    )


def include_p99_ratio(state: State, ratio: float) -> State:
    """Smooth in a ratio of the p99 to its target.

    :param ratio: measured after the last action took effect
    """
    smoothed_ratio = state.smoothed_p99_ratio or ratio
    smoothed_ratio += SMOOTHING_GAIN * (ratio - smoothed_ratio)
    return dataclasses.replace(state, smoothed_p99_ratio=smoothed_ratio)


def mark_slow(state: State, at_ms: int) -> State:
    """Record a slow measurement; it starts or continues a slow phase."""
    return dataclasses.replace(
        state,
        slow_since_ms=state.slow_since_ms or at_ms,
        evicted_in_phase=state.evicted_in_phase and state.slow_since_ms > 0,
        fast_since_ms=0,
    )


def mark_fast(state: State, at_ms: int) -> State:
    """Record a measurement that is not slow; it ends a slow phase."""
    fast_since_ms = state.fast_since_ms or at_ms
    if state.slow_since_ms == 0:
        return dataclasses.replace(state, fast_since_ms=fast_since_ms)
    transient_phases, usual_transient_ms = (
        state.transient_phases,
        state.usual_transient_ms,
    )
    if not state.evicted_in_phase:
        length_ms = float(at_ms - state.slow_since_ms)
        gain = TRANSIENT_LENGTH_GAIN if transient_phases else 1.0
        usual_transient_ms += gain * (length_ms - usual_transient_ms)
        transient_phases += 1
    return dataclasses.replace(
        state,
        slow_since_ms=0,
        fast_since_ms=at_ms,
        transient_phases=transient_phases,
        usual_transient_ms=usual_transient_ms,
        evicted_in_phase=False,
    )


def has_been_fast(state: State, at_ms: int, min_fast_ms: int) -> bool:
    """Tell whether the service has been fast long enough to restore speed.

    :param min_fast_ms: time without a slow measurement or an action
    """
    since_ms = max(state.fast_since_ms, state.last_action_at_ms)
    return state.fast_since_ms > 0 and at_ms - since_ms >= min_fast_ms


def is_slow_too_long(state: State, now_ms: int, wait_ms: float) -> bool:
    """Tell whether the slow phase lasts too long to wait for its end.

    :param wait_ms: time to wait unless the usual slow phases are longer
    """
    if state.slow_since_ms == 0:
        return False
    slow_ms = now_ms - state.slow_since_ms
    if state.transient_phases >= MIN_TRANSIENT_PHASES:
        wait_ms = max(
            wait_ms, TRANSIENT_WAIT_FACTOR * state.usual_transient_ms
        )
    return slow_ms >= wait_ms


def spend_eviction(state: State, now_ms: int) -> State | None:
    """Return the state after one eviction, or None if the budget is spent."""
    age_ms = max(now_ms - state.budget_updated_at_ms, 0)
    budget = min(
        state.eviction_budget + age_ms / EVICTION_INTERVAL_MS,
        MAX_EVICTION_BURST,
    )
    if budget < 1.0:
        return None
    return dataclasses.replace(
        state,
        eviction_budget=budget - 1.0,
        budget_updated_at_ms=now_ms,
        last_action_at_ms=now_ms,
        evicted_in_phase=True,
    )
