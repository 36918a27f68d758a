"""Feedback control of the batch attempts on one VM, run by its agent.

If the service on the VM is slow, the attempts that raise its latency are
throttled. If the service stays slow although they have run at the lowest
speed for a while, one of them is checkpointed and evicted. Memory cannot be
throttled, so attempts are evicted at once when the measured memory use
exceeds its limit.

Three rules prevent oscillation: no action is taken on a measurement from
before the last action took effect; speed is restored only well below the
threshold, after the service has been fast for some time, and by only a part
of the headroom; evictions draw on a budget.
If the slow phases of a VM usually end without an eviction, the attempts stay
throttled and are not evicted until a phase lasts clearly longer than usual.

``decide_actions`` is pure: the agent keeps the ``State`` and executes the
actions.
"""

from collections.abc import Sequence
import dataclasses
import math
from typing import Final

from borageshelf.decisions import control_state
from borageshelf.decisions import interference
from borageshelf.decisions import preemption
from borageshelf.model import objects
from borageshelf.model import resources

# A throttle shows in the latency after about this time: the queue of calls
# drains, then a whole measurement window must pass.
THROTTLE_DELAY_MS: Final = 3_000
MIN_SPEED: Final = 0.05
# A single measurement above this multiple of the threshold counts as slow;
# a smaller excess may be noise.
SINGLE_SAMPLE_SLOW_RATIO: Final = 1.2
# A smaller increase of speed is not worth a message and would follow the
# noise of the measurements.
MIN_SPEED_UP_RATIO: Final = 1.1
# Throttling aims at this part of the threshold, between the threshold and
# the level at which speed is restored.
AIM_RATIO: Final = 0.93
# Speed is restored while the p99 is below this part of the threshold.
RELEASE_RATIO: Final = 0.85
# The service must have been fast for this long before speed is restored.
MIN_FAST_MS: Final = 5_000
# An attempt at the lowest speed is evicted after the service has been slow
# for this long, times 0.5 plus the relative weight of evictions: the more
# evictions weigh, the longer the slow phase is waited out.
EVICT_AFTER_SLOW_MS: Final = 60_000
# A family is throttled only if its effect, times the weight of tail latency
# and a power of the excess, is at least this multiple of the weight of batch
# throughput. Below it, throttling costs more throughput than it saves
# latency. The excess is raised to a power because the slowest minutes
# determine the overall p99: 94% of the slowest calls in the traces of the
# repository fall into the surge of calls.
BREAK_EVEN_EFFECT: Final = 1.0
EXCESS_EXPONENT: Final = 4
# Restoring speed uses at most this part of the headroom at a time.
MAX_HEADROOM_SHARE: Final = 0.5
# Lower bound of a divisor: limits the change of speed of an attempt with
# hardly any effect.
MIN_RISE: Final = 0.001
# An attempt is evicted only if it still raises log p99 by this much at the
# lowest speed. In a surge of calls the service is slow on every VM, and
# evicting attempts with hardly any effect would not make it faster.
MIN_EVICTED_RISE: Final = 0.03
MAX_MEMORY_USE_SHARE: Final = 0.98
# Attempts of this urgency or higher are throttled after all others.
THROTTLED_LAST_URGENCY: Final = 5


@dataclasses.dataclass(frozen=True)
class AttemptView:
    """One running batch attempt.

    :param used: latest measured use
    :param run_ms: time since its start
    :param expected_run_ms: learned run time, or 0
    :param evictions: how often the task was evicted before
    """

    task_id: str
    attempt: int
    family: str
    urgency: int
    reserved: resources.Resources
    used: resources.Resources
    is_movable: bool = True
    run_ms: int = 0
    expected_run_ms: int = 0
    evictions: int = 0


@dataclasses.dataclass(frozen=True)
class VmView:
    """What the agent knows about its VM.

    :param service: latency-critical service that runs on the VM, or ''
    :param p99_ms: latest measured p99 of the service, or 0
    :param measured_at_ms: end of the measurement window of ``p99_ms``
    """

    capacity: resources.Resources
    attempts: Sequence[AttemptView]
    service: str = ''
    target_p99_ms: float = 0.0
    p99_ms: float = 0.0
    measured_at_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Throttle:
    """Limit an attempt to a fraction of its processors."""

    task_id: str
    attempt: int
    fraction: float


@dataclasses.dataclass(frozen=True)
class Evict:
    """Checkpoint and stop an attempt, and report it as evicted."""

    task_id: str
    attempt: int
    reason: str


Action = Throttle | Evict


@dataclasses.dataclass(frozen=True)
class Impact:
    """Effect of one attempt on the p99 of the service.

    :param speed: fraction of its processors that the attempt may use now
    :param effect: rise of log p99 if the family used the whole VM
    :param log_p99_rise: expected rise of log p99 at the current speed
    """

    attempt: AttemptView
    speed: float
    effect: float
    log_p99_rise: float


def compute_slow_threshold(objective: objects.Objective) -> float:
    """Return the ratio of p99 to its target above which work is throttled.

    The threshold is 0.9 if only tail latency has a weight, so that work is
    throttled before the service misses its target, and 1.1 if tail latency
    has no weight.
    """
    total = objective.tail_latency + objective.batch_throughput
    share = objective.tail_latency / total if total > 0 else 0.5
    return 1.1 - 0.2 * share


def is_slow(smoothed_ratio: float, ratio: float, threshold: float) -> bool:
    """Tell whether the service is slow by more than measurement noise."""
    return (
        smoothed_ratio > threshold
        or ratio > threshold * SINGLE_SAMPLE_SLOW_RATIO
    )


def is_worth_throttling(
    effect: float, excess: float, objective: objects.Objective
) -> bool:
    """Tell whether throttling a family saves more than it costs.

    :param effect: rise of log p99 if the family used the whole VM
    :param excess: p99 divided by the p99 at the threshold
    """
    gain = objective.tail_latency * effect * excess**EXCESS_EXPONENT
    return gain >= objective.batch_throughput * BREAK_EVEN_EFFECT


def decide_actions(
    state: control_state.State,
    view: VmView,
    table: interference.Table,
    objective: objects.Objective,
    limits: objects.Limits,
    now_ms: int,
) -> tuple[control_state.State, tuple[Action, ...]]:
    """Return the next state and the actions to take now.

    :param state: state that the previous call returned, or
        ``control_state.State()``
    :param table: learned effects of the batch families on services
    """
    state = control_state.drop_ended_attempts(
        state, {attempt.task_id for attempt in view.attempts}
    )
    evictions = _evict_for_memory(view)
    if evictions:
        return state, evictions
    if not view.service or view.p99_ms <= 0 or view.target_p99_ms <= 0:
        return state, ()
    if view.measured_at_ms < state.last_action_at_ms + THROTTLE_DELAY_MS:
        return state, ()
    ratio = view.p99_ms / view.target_p99_ms
    state = control_state.include_p99_ratio(state, ratio)
    threshold = compute_slow_threshold(objective)
    impacts = _rank_impacts(state, view, table, now_ms)
    if is_slow(state.smoothed_p99_ratio, ratio, threshold):
        state = control_state.mark_slow(state, view.measured_at_ms)
        excess = max(state.smoothed_p99_ratio / threshold, 1.0)
        actions = _throttle_attempts(view, impacts, excess, objective, limits)
        if not actions:
            return _evict_most_harmful(state, impacts, objective, now_ms)
        return control_state.set_speeds(state, _map_speeds(actions), now_ms), (
            actions
        )
    state = control_state.mark_fast(state, view.measured_at_ms)
    if state.smoothed_p99_ratio > threshold * RELEASE_RATIO:
        return state, ()
    if not control_state.has_been_fast(
        state, view.measured_at_ms, MIN_FAST_MS
    ):
        return state, ()
    aim = threshold * AIM_RATIO
    actions = _restore_speeds(impacts, aim / state.smoothed_p99_ratio)
    if not actions:
        return state, ()
    return control_state.set_speeds(
        state, _map_speeds(actions), now_ms
    ), actions


def _map_speeds(actions: Sequence[Throttle]) -> dict[str, float]:
    return {action.task_id: action.fraction for action in actions}


def _evict_for_memory(view: VmView) -> tuple[Evict, ...]:
    """Evict the least urgent attempts until the memory use fits.

    If evicting cannot make it fit, all movable attempts are evicted.
    """
    limit_mb = round(view.capacity.memory_mb * MAX_MEMORY_USE_SHARE)
    used_mb = sum(attempt.used.memory_mb for attempt in view.attempts)
    if used_mb <= limit_mb:
        return ()
    candidates = [
        preemption.Candidate(
            attempt.task_id,
            attempt.urgency,
            resources.Resources(memory_mb=attempt.used.memory_mb),
            attempt.is_movable,
            attempt.run_ms,
            attempt.expected_run_ms,
            attempt.evictions,
        )
        for attempt in view.attempts
    ]
    victims = preemption.choose_victims(
        resources.NOTHING,
        resources.Resources(memory_mb=limit_mb - used_mb),
        preemption.ABOVE_ANY_URGENCY,
        candidates,
        objects.Objective(evictions=0.0),
    )
    if victims is None:
        movable = [c for c in candidates if c.is_movable]
        victims = tuple(movable)
    chosen = {victim.task_id for victim in victims}
    return tuple(
        Evict(
            attempt.task_id,
            attempt.attempt,
            'memory use exceeds the limit of the VM',
        )
        for attempt in view.attempts
        if attempt.task_id in chosen
    )


def _rank_impacts(
    state: control_state.State,
    view: VmView,
    table: interference.Table,
    now_ms: int,
) -> list[Impact]:
    """Return the impacts, the largest rise first and urgent work last."""
    capacity_millicores = max(view.capacity.processor_millicores, 1)
    impacts = []
    for attempt in view.attempts:
        effect, _ = interference.estimate_effect(
            table, view.service, attempt.family, now_ms
        )
        share = attempt.used.processor_millicores / capacity_millicores
        speed = state.speeds.get(attempt.task_id, 1.0)
        impacts.append(Impact(attempt, speed, effect, effect * share))
    impacts.sort(
        key=lambda impact: (
            impact.attempt.urgency >= THROTTLED_LAST_URGENCY,
            -impact.log_p99_rise,
            impact.attempt.task_id,
        )
    )
    return impacts


def _throttle_attempts(
    view: VmView,
    impacts: Sequence[Impact],
    excess: float,
    objective: objects.Objective,
    limits: objects.Limits,
) -> tuple[Throttle, ...]:
    """Throttle the attempts that explain the excess, as far as needed.

    Batch work keeps its guaranteed share of the VM however slow the service
    is.

    :param excess: p99 divided by the p99 at the threshold, at least 1
    """
    remaining_excess = math.log(excess / AIM_RATIO)
    guaranteed_millicores = (
        view.capacity.processor_millicores * limits.batch_minimum_share
    )
    used_millicores = float(
        sum(impact.attempt.used.processor_millicores for impact in impacts)
    )
    actions: list[Throttle] = []
    for impact in impacts:
        if remaining_excess <= 0 or used_millicores <= guaranteed_millicores:
            break
        if not is_worth_throttling(impact.effect, excess, objective):
            continue
        reduction = min(
            remaining_excess / max(impact.log_p99_rise, MIN_RISE), 1.0
        )
        speed = max(impact.speed * (1.0 - reduction), MIN_SPEED)
        if speed >= impact.speed:
            continue
        reduction = 1.0 - speed / impact.speed
        remaining_excess -= impact.log_p99_rise * reduction
        used_millicores -= impact.attempt.used.processor_millicores * reduction
        actions.append(
            Throttle(impact.attempt.task_id, impact.attempt.attempt, speed)
        )
    return tuple(actions)


def _restore_speeds(
    impacts: Sequence[Impact], headroom: float
) -> tuple[Throttle, ...]:
    """Speed up the least harmful attempts as far as the headroom allows.

    :param headroom: p99 aimed at divided by the smoothed p99, above 1
    """
    remaining_headroom = math.log(headroom) * MAX_HEADROOM_SHARE
    actions: list[Throttle] = []
    for impact in reversed(impacts):
        if impact.speed >= 1.0:
            continue
        factor = 1.0 + remaining_headroom / max(impact.log_p99_rise, MIN_RISE)
        speed = min(impact.speed * factor, 1.0)
        if factor < MIN_SPEED_UP_RATIO:
            continue
        remaining_headroom -= impact.log_p99_rise * (
            speed / impact.speed - 1.0
        )
        if remaining_headroom < 0 and actions:
            break
        actions.append(
            Throttle(impact.attempt.task_id, impact.attempt.attempt, speed)
        )
    return tuple(actions)


def _evict_most_harmful(
    state: control_state.State,
    impacts: Sequence[Impact],
    objective: objects.Objective,
    now_ms: int,
) -> tuple[control_state.State, tuple[Action, ...]]:
    """Evict the most harmful attempt if throttling has not been enough."""
    other_weights = objective.tail_latency + objective.batch_throughput
    weight = objective.evictions / other_weights if other_weights > 0 else 1.0
    wait_ms = EVICT_AFTER_SLOW_MS * (0.5 + weight)
    if not control_state.is_slow_too_long(state, now_ms, wait_ms):
        return state, ()
    for impact in impacts:
        attempt = impact.attempt
        nearly_done = (
            attempt.run_ms
            >= preemption.NEARLY_DONE_SHARE * attempt.expected_run_ms
            and attempt.expected_run_ms > 0
        )
        if nearly_done or not attempt.is_movable:
            continue
        if impact.speed > MIN_SPEED or impact.log_p99_rise < MIN_EVICTED_RISE:
            continue
        spent_state = control_state.spend_eviction(state, now_ms)
        if spent_state is None:
            return state, ()
        reason = (
            f'{attempt.family} raises log p99 by {impact.log_p99_rise:.2f}'
        )
        return spent_state, (Evict(attempt.task_id, attempt.attempt, reason),)
    return state, ()
