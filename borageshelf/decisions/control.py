"""Control of the batch attempts on one VM, run by its agent.

A VM whose service is slow throttles the attempts that are to blame. Only if
they run at the lowest speed for a while and the service is still slow, one
of them is checkpointed and moved. Memory cannot be throttled, so an overfull
memory moves attempts at once.

Three rules prevent oscillation: no step is taken on a measurement from
before the last step took effect; speed is restored only well below the
threshold, after a calm time and by a part of the headroom; moves draw on a
budget.
Slow phases that end by themselves within a known time (noisy waves) are
waited out under the throttle.

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

# A throttle shows in the latency after about this time: the queue drains,
# then a whole measurement window must pass.
SETTLE_MS: Final = 3_000
LOWEST_SPEED: Final = 0.05
# One measurement this far above the threshold is no noise.
CLEARLY_SLOW: Final = 1.2
# A smaller raise is not worth a message and would follow the noise.
SMALLEST_STEP_UP: Final = 1.1
# A throttle aims below the threshold, between it and the release.
AIM_SHARE: Final = 0.93
# Speed is restored below this part of the threshold.
RELEASE_SHARE: Final = 0.85
CALM_MS: Final = 5_000
# At the lowest speed for this long, an attempt is moved; the weight of
# evictions lengthens the time.
MOVE_AFTER_MS: Final = 60_000
# A family is throttled only if its effect, times the weight of tail latency
# and a power of the excess, is at least this multiple of the weight of batch
# throughput. Below it, slowing the family down costs more throughput than it
# saves latency. The power is there because the worst minutes decide the p99
# of the whole: in the committed traces 94% of the slowest calls fall into
# the surge of calls.
BREAK_EVEN_EFFECT: Final = 1.0
EXCESS_EXPONENT: Final = 4
# One step gives back at most this part of the headroom.
HEADROOM_SHARE: Final = 0.5
# Bounds the step for an attempt that hardly matters.
SMALLEST_RISE: Final = 0.001
# An attempt is moved only if it still raises log p99 by this much at its
# lowest speed. In a surge of calls the service is slow on every VM, and moving
# work that hardly matters would cost evictions for nothing.
SMALLEST_MOVED_RISE: Final = 0.03
FULL_MEMORY_SHARE: Final = 0.98
# Work from this urgency on is throttled after all other work.
URGENT: Final = 5


@dataclasses.dataclass(frozen=True)
class AttemptView:
    """One running batch attempt.

    :param used: latest measured use
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

    :param service: service beside the attempts, or ''
    :param p99_ms: latest p99 of the service, 0 if there is none
    :param measured_at_ms: end of the window of the latency measurement
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
class Blame:
    """Expected rise of log p99 by one attempt at its present speed."""

    attempt: AttemptView
    speed: float
    effect: float
    rise: float


def find_threshold(objective: objects.Objective) -> float:
    """Return the p99 over the goal from which work is throttled.

    It is 0.9 if only tail latency counts and 1.1 if it has no weight, so
    an operator with callers on the line acts before the goal is missed.
    """
    total = objective.tail_latency + objective.batch_throughput
    share = objective.tail_latency / total if total > 0 else 0.5
    return 1.1 - 0.2 * share


def is_slow(smooth_ratio: float, ratio: float, threshold: float) -> bool:
    """Tell whether the service is slow, by more than the noise of one p99."""
    return smooth_ratio > threshold or ratio > threshold * CLEARLY_SLOW


def is_worth_throttling(
    effect: float, excess: float, objective: objects.Objective
) -> bool:
    """Tell whether slowing a family saves more than it costs.

    :param effect: rise of log p99 if the family used the whole VM
    :param excess: p99 over the threshold
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
    """Return the next state and what to do now.

    :param state: result of the last call, or ``control_state.State()``
    """
    state = control_state.keep_running(
        state, {attempt.task_id for attempt in view.attempts}
    )
    moves = _relieve_memory(view)
    if moves:
        return state, moves
    if not view.service or view.p99_ms <= 0 or view.target_p99_ms <= 0:
        return state, ()
    if view.measured_at_ms < state.changed_at_ms + SETTLE_MS:
        return state, ()
    ratio = view.p99_ms / view.target_p99_ms
    state = control_state.note_ratio(state, ratio)
    threshold = find_threshold(objective)
    blames = _find_blames(state, view, table, now_ms)
    if is_slow(state.smooth_ratio, ratio, threshold):
        state = control_state.note_slow(state, view.measured_at_ms)
        excess = max(state.smooth_ratio / threshold, 1.0)
        actions = _slow_down(view, blames, excess, objective, limits)
        if not actions:
            return _move_culprit(state, blames, objective, now_ms)
        return control_state.apply_speeds(state, _list(actions), now_ms), (
            actions
        )
    state = control_state.note_fast(state, view.measured_at_ms)
    if state.smooth_ratio > threshold * RELEASE_SHARE:
        return state, ()
    if not control_state.is_calm(state, view.measured_at_ms, CALM_MS):
        return state, ()
    aim = threshold * AIM_SHARE
    actions = _speed_up(blames, aim / state.smooth_ratio)
    if not actions:
        return state, ()
    return control_state.apply_speeds(state, _list(actions), now_ms), actions


def _list(actions: Sequence[Throttle]) -> dict[str, float]:
    return {action.task_id: action.fraction for action in actions}


def _relieve_memory(view: VmView) -> tuple[Evict, ...]:
    """Evict the least urgent attempts until the measured memory fits."""
    limit_mb = round(view.capacity.memory_mb * FULL_MEMORY_SHARE)
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
        preemption.ABOVE_ALL,
        candidates,
        objects.Objective(evictions=0.0),
    )
    if victims is None:
        movable = [c for c in candidates if c.is_movable]
        victims = tuple(movable)
    chosen = {victim.task_id for victim in victims}
    return tuple(
        Evict(attempt.task_id, attempt.attempt, 'the memory is full')
        for attempt in view.attempts
        if attempt.task_id in chosen
    )


def _find_blames(
    state: control_state.State,
    view: VmView,
    table: interference.Table,
    now_ms: int,
) -> list[Blame]:
    """Return the attempts, the most harmful first, urgent work last."""
    capacity = max(view.capacity.processor_millicores, 1)
    blames = []
    for attempt in view.attempts:
        effect, _ = interference.find_effect(
            table, view.service, attempt.family, now_ms
        )
        share = attempt.used.processor_millicores / capacity
        speed = state.speeds.get(attempt.task_id, 1.0)
        blames.append(Blame(attempt, speed, effect, effect * share))
    blames.sort(
        key=lambda blame: (
            blame.attempt.urgency >= URGENT,
            -blame.rise,
            blame.attempt.task_id,
        )
    )
    return blames


def _slow_down(
    view: VmView,
    blames: Sequence[Blame],
    excess: float,
    objective: objects.Objective,
    limits: objects.Limits,
) -> tuple[Throttle, ...]:
    """Slow the attempts that explain the excess as far as it requires.

    Batch work keeps its guaranteed share of the VM however slow the service
    is.

    :param excess: p99 over the threshold, above 1
    """
    missing = math.log(excess / AIM_SHARE)
    kept = view.capacity.processor_millicores * limits.batch_minimum_share
    used = float(
        sum(blame.attempt.used.processor_millicores for blame in blames)
    )
    actions: list[Throttle] = []
    for blame in blames:
        if missing <= 0 or used <= kept:
            break
        if not is_worth_throttling(blame.effect, excess, objective):
            continue
        part = min(missing / max(blame.rise, SMALLEST_RISE), 1.0)
        speed = max(blame.speed * (1.0 - part), LOWEST_SPEED)
        if speed >= blame.speed:
            continue
        part = 1.0 - speed / blame.speed
        missing -= blame.rise * part
        used -= blame.attempt.used.processor_millicores * part
        actions.append(
            Throttle(blame.attempt.task_id, blame.attempt.attempt, speed)
        )
    return tuple(actions)


def _speed_up(
    blames: Sequence[Blame], headroom: float
) -> tuple[Throttle, ...]:
    """Raise the least harmful attempts as far as the headroom allows.

    :param headroom: aim over the smoothed p99, above 1
    """
    left = math.log(headroom) * HEADROOM_SHARE
    actions: list[Throttle] = []
    for blame in reversed(blames):
        if blame.speed >= 1.0:
            continue
        factor = 1.0 + left / max(blame.rise, SMALLEST_RISE)
        speed = min(blame.speed * factor, 1.0)
        if factor < SMALLEST_STEP_UP:
            continue
        left -= blame.rise * (speed / blame.speed - 1.0)
        if left < 0 and actions:
            break
        actions.append(
            Throttle(blame.attempt.task_id, blame.attempt.attempt, speed)
        )
    return tuple(actions)


def _move_culprit(
    state: control_state.State,
    blames: Sequence[Blame],
    objective: objects.Objective,
    now_ms: int,
) -> tuple[control_state.State, tuple[Action, ...]]:
    """Evict the most harmful attempt if throttling was not enough."""
    others = objective.tail_latency + objective.batch_throughput
    weight = objective.evictions / others if others > 0 else 1.0
    wait_ms = MOVE_AFTER_MS * (0.5 + weight)
    if not control_state.has_been_slow(state, now_ms, wait_ms):
        return state, ()
    for blame in blames:
        attempt = blame.attempt
        nearly_done = (
            attempt.run_ms
            >= preemption.NEARLY_DONE_SHARE * attempt.expected_run_ms
            and attempt.expected_run_ms > 0
        )
        if nearly_done or not attempt.is_movable:
            continue
        if blame.speed > LOWEST_SPEED or blame.rise < SMALLEST_MOVED_RISE:
            continue
        spent = control_state.spend_eviction(state, now_ms)
        if spent is None:
            return state, ()
        reason = f'{attempt.family} slows {blame.rise:.2f}'
        return spent, (Evict(attempt.task_id, attempt.attempt, reason),)
    return state, ()
