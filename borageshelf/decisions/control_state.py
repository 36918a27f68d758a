"""State of the control loop on one VM and its transitions.

``control`` decides with it; the agent keeps it in memory and starts with an
empty one, which is safe because a worker keeps its throttles only as long as
its tasks.
"""

from collections.abc import Mapping
from collections.abc import Set
import dataclasses
from typing import Final

# One eviction a minute and VM on average, and at most two at once.
EVICTION_INTERVAL_MS: Final = 60_000
EVICTION_BURST: Final = 2.0
# A slow phase is a known wave after this many that ended by themselves.
FEWEST_WAVES: Final = 2
# A wave is waited out for this multiple of its usual length.
WAVE_PATIENCE: Final = 2.0
WAVE_GAIN: Final = 0.3
# Part of the newest measurement in the smoothed p99; a single low one must
# not restore speed.
SMOOTHING_GAIN: Final = 0.3


@dataclasses.dataclass(frozen=True)
class State:
    """Memory of the control loop.

    :param speeds: fraction of each throttled attempt by task
    :param changed_at_ms: time of the last action
    :param slow_since_ms: start of the present slow phase, or 0
    :param calm_since_ms: end of the last slow phase
    :param smooth_ratio: smoothed p99 over the goal since the last action
    :param waves: slow phases that ended without a move
    :param wave_ms: their usual length
    :param moved_in_phase: whether an attempt was moved in the slow phase
    :param eviction_budget: evictions that may be spent now
    """

    speeds: Mapping[str, float] = dataclasses.field(default_factory=dict)
    changed_at_ms: int = 0
    slow_since_ms: int = 0
    calm_since_ms: int = 0
    smooth_ratio: float = 0.0
    waves: int = 0
    wave_ms: float = 0.0
    moved_in_phase: bool = False
    eviction_budget: float = EVICTION_BURST
    budget_at_ms: int = 0


def keep_running(state: State, running: Set[str]) -> State:
    """Forget the speeds of attempts that ended."""
    if all(task_id in running for task_id in state.speeds):
        return state
    speeds = {
        task_id: speed
        for task_id, speed in state.speeds.items()
        if task_id in running
    }
    return dataclasses.replace(state, speeds=speeds)


def add_start_speed(state: State, task_id: str, fraction: float) -> State:
    """Enter the speed with which an attempt was started."""
    if fraction >= 1.0:
        return state
    return dataclasses.replace(
        state, speeds={**state.speeds, task_id: fraction}
    )


def apply_speeds(
    state: State, changes: Mapping[str, float], now_ms: int
) -> State:
    """Enter changed speeds; full speed is not stored."""
    speeds = {
        task_id: speed
        for task_id, speed in {**state.speeds, **changes}.items()
        if speed < 1.0
    }
    return dataclasses.replace(
        state, speeds=speeds, changed_at_ms=now_ms, smooth_ratio=0.0
    )


def note_ratio(state: State, ratio: float) -> State:
    """Include a p99 over the goal that was measured after the last action."""
    smooth = state.smooth_ratio or ratio
    smooth += SMOOTHING_GAIN * (ratio - smooth)
    return dataclasses.replace(state, smooth_ratio=smooth)


def note_slow(state: State, at_ms: int) -> State:
    """Note a measurement above the threshold."""
    return dataclasses.replace(
        state,
        slow_since_ms=state.slow_since_ms or at_ms,
        moved_in_phase=state.moved_in_phase and state.slow_since_ms > 0,
        calm_since_ms=0,
    )


def note_fast(state: State, at_ms: int) -> State:
    """Note a measurement below the threshold; it ends a slow phase."""
    calm_since_ms = state.calm_since_ms or at_ms
    if state.slow_since_ms == 0:
        return dataclasses.replace(state, calm_since_ms=calm_since_ms)
    waves, wave_ms = state.waves, state.wave_ms
    if not state.moved_in_phase:
        length_ms = float(at_ms - state.slow_since_ms)
        gain = WAVE_GAIN if waves else 1.0
        wave_ms += gain * (length_ms - wave_ms)
        waves += 1
    return dataclasses.replace(
        state,
        slow_since_ms=0,
        calm_since_ms=at_ms,
        waves=waves,
        wave_ms=wave_ms,
        moved_in_phase=False,
    )


def is_calm(state: State, at_ms: int, calm_ms: int) -> bool:
    """Tell whether the service was fast long enough to restore speed."""
    since_ms = max(state.calm_since_ms, state.changed_at_ms)
    return state.calm_since_ms > 0 and at_ms - since_ms >= calm_ms


def has_been_slow(state: State, now_ms: int, wait_ms: float) -> bool:
    """Tell whether the slow phase lasts longer than can be waited out."""
    if state.slow_since_ms == 0:
        return False
    slow_ms = now_ms - state.slow_since_ms
    if state.waves >= FEWEST_WAVES:
        wait_ms = max(wait_ms, WAVE_PATIENCE * state.wave_ms)
    return slow_ms >= wait_ms


def spend_eviction(state: State, now_ms: int) -> State | None:
    """Return the state after one eviction; None if the budget is spent."""
    age_ms = max(now_ms - state.budget_at_ms, 0)
    budget = min(
        state.eviction_budget + age_ms / EVICTION_INTERVAL_MS, EVICTION_BURST
    )
    if budget < 1.0:
        return None
    return dataclasses.replace(
        state,
        eviction_budget=budget - 1.0,
        budget_at_ms=now_ms,
        changed_at_ms=now_ms,
        moved_in_phase=True,
    )
