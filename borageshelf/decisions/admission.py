"""Admission of calls: a bounded queue with guaranteed shares.

Runs before routing: each call of a service is offered on arrival and taken
when routing has an open executor. The state is a value; every function
returns the new one. The caller applies changes one after another and passes
the time in.
"""

import bisect
import collections
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math
import operator
from typing import Final

from borageshelf.decisions import call_groups
from borageshelf.decisions import service_times
from borageshelf import errors

# Shares are measured over this half-life. It is longer than a call and
# shorter than a caller's patience.
USE_HALF_LIFE_MS: Final = 2_000
# Time kept for the call itself, in mean deviations above the mean. For
# exponential service times this is the 98th percentile; work that ends after
# its deadline is wasted capacity under overload.
SERVICE_DEVIATIONS: Final = 4.0
# Longest expected wait behind other calls as a share of the time that
# remains. A longer queue adds delay but no goodput: the slots are busy with a
# short one, too.
WAIT_SHARE: Final = 0.25
# Least part of the slots assumed for calls without a guaranteed share.
UNRESERVED_FLOOR: Final = 0.05


_KIND: Final = operator.attrgetter('kind')

QueuedCall = call_groups.QueuedCall
Limits = call_groups.Limits
Group = call_groups.Group


@dataclasses.dataclass(frozen=True)
class RunningCall:
    """A call that was taken.

    :param charged_ms: slot time already added to the use of its groups
    """

    call: QueuedCall
    taken_at_ms: int
    charged_ms: float


@dataclasses.dataclass(frozen=True)
class AdmissionState:
    """Queue, running calls and recent use of one service.

    :param slots: slots that this entry may use
    :param queue: waiting calls, next first
    :param use_ms: slot time per group, decayed with ``USE_HALF_LIFE_MS``
    """

    limits: Limits = Limits()
    slots: int = 8
    queue: tuple[QueuedCall, ...] = ()
    running: Mapping[str, RunningCall] = dataclasses.field(
        default_factory=dict
    )
    estimates: Mapping[str, service_times.ServiceEstimate] = dataclasses.field(
        default_factory=dict
    )
    use_ms: Mapping[Group, float] = dataclasses.field(default_factory=dict)
    use_at_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The call waits in the queue.

    :param displaced: a call that lost its place and must be refused with
        ``OVERLOADED``
    """

    displaced: QueuedCall | None = None


@dataclasses.dataclass(frozen=True)
class Refused:
    """The call was not admitted and will not run."""

    code: errors.ResultCode
    detail: str
    retry_deadline_ms: int


def offer(
    state: AdmissionState, call: QueuedCall, now_ms: int
) -> tuple[AdmissionState, Admitted | Refused]:
    """Admit a call to the queue or refuse it early."""
    refused = _check_call(state, call, now_ms)
    if refused is not None:
        return state, refused
    displaced = None
    queue = state.queue
    if len(queue) >= state.limits.queue_limit:
        displaced = _choose_displaced(state, call)
        if displaced is None:
            detail = f'{len(queue)} calls wait'
            retry_ms = now_ms + _find_drain_ms(state)
            return state, Refused(errors.OVERLOADED, detail, retry_ms)
        queue = tuple(other for other in queue if other is not displaced)
    place = bisect.bisect_right(queue, _rank(call), key=_rank)
    queue = (*queue[:place], call, *queue[place:])
    return dataclasses.replace(state, queue=queue), Admitted(displaced)


def take(
    state: AdmissionState, now_ms: int
) -> tuple[AdmissionState, QueuedCall | None]:
    """Remove the next call from the queue.

    A group below its guaranteed share goes first, the one furthest below it
    before others; otherwise the most urgent call with the nearest deadline.
    Calls past their deadline are skipped; ``expire`` returns them.
    """
    use_ms = _decay_use(state, now_ms)
    place = _choose_next(state, use_ms, now_ms)
    if place is None:
        return state, None
    call = state.queue[place]
    charged_ms = max(_estimate(state, call.kind).mean_ms, 1.0)
    _charge(use_ms, state.limits, call, charged_ms)
    taken = RunningCall(call, now_ms, charged_ms)
    state = dataclasses.replace(
        state,
        queue=state.queue[:place] + state.queue[place + 1 :],
        running={**state.running, call.call_id: taken},
        use_ms=use_ms,
        use_at_ms=now_ms,
    )
    return state, call


def finish(
    state: AdmissionState,
    call: QueuedCall,
    now_ms: int,
    ran: bool = True,
    service_ms: float | None = None,
) -> AdmissionState:
    """Return the state after a taken call has ended.

    :param ran: False if the call was refused by the agent; its time is then
        no measure of the service time
    :param service_ms: time in the executor; without it, the time since the
        call was taken. The latter contains the agent's queue, in which the
        least urgent calls wait longest, and so overstates their use.
    """
    taken = state.running.get(call.call_id)
    if taken is None:
        return state
    running = dict(state.running)
    del running[call.call_id]
    if service_ms is None:
        service_ms = float(max(now_ms - taken.taken_at_ms, 0))
    used_ms = service_ms if ran else 0.0
    use_ms = _decay_use(state, now_ms)
    _charge(use_ms, state.limits, call, used_ms - taken.charged_ms)
    estimates = state.estimates
    if ran:
        learned = service_times.learn(_estimate(state, call.kind), service_ms)
        estimates = {**estimates, call.kind: learned}
    return dataclasses.replace(
        state,
        running=running,
        estimates=estimates,
        use_ms=use_ms,
        use_at_ms=now_ms,
    )


def expire(
    state: AdmissionState, now_ms: int
) -> tuple[AdmissionState, tuple[QueuedCall, ...]]:
    """Remove the waiting calls that can no longer end in time.

    A call whose remaining time is below the mean service time would hold a
    slot for an answer that most likely comes too late.
    """
    means_ms = {
        kind: estimate.mean_ms for kind, estimate in state.estimates.items()
    }
    expired = tuple(
        call
        for call in state.queue
        if call.deadline_ms - now_ms <= means_ms.get(call.kind, 0.0)
        and call.offered_at_ms < now_ms
    )
    if not expired:
        return state, ()
    queue = tuple(call for call in state.queue if call not in expired)
    return dataclasses.replace(state, queue=queue), expired


def remove(state: AdmissionState, call_id: str) -> AdmissionState:
    """Return the state without a waiting call."""
    queue = tuple(call for call in state.queue if call.call_id != call_id)
    return dataclasses.replace(state, queue=queue)


def configure(
    state: AdmissionState, limits: Limits, slots: int
) -> AdmissionState:
    """Return the state with other bounds; waiting calls stay."""
    return dataclasses.replace(state, limits=limits, slots=max(slots, 1))


def find_expected_wait_ms(state: AdmissionState, call: QueuedCall) -> float:
    """Return the expected wait of a call that is offered now.

    The work ahead of the call is divided by the slots left over by other
    groups with a guaranteed share. A call of such a group waits no longer
    than its own group needs on the guaranteed slots.
    """
    if len(state.running) < state.slots and not state.queue:
        return 0.0
    place = bisect.bisect_right(state.queue, _rank(call), key=_rank)
    ahead = state.queue[:place]
    groups = set(call_groups.find_groups(state.limits, call))
    open_share = 1.0 - _find_reserved_share(state, groups)
    open_slots = state.slots * max(open_share, UNRESERVED_FLOOR)
    waits_ms = [_find_work_ms(state, ahead) / open_slots]
    for group in groups:
        own = [other for other in ahead if call_groups.is_member(other, group)]
        own_slots = state.slots * call_groups.find_share(state.limits, group)
        waits_ms.append(_find_work_ms(state, own) / own_slots)
    first_free_ms = _estimate(state, call.kind).mean_ms / state.slots
    return min(waits_ms) + first_free_ms


def _check_call(
    state: AdmissionState, call: QueuedCall, now_ms: int
) -> Refused | None:
    """Return the refusal for quota or deadline, if there is one."""
    remaining_ms = call.deadline_ms - now_ms
    if remaining_ms <= 0:
        return Refused(errors.DEADLINE_PASSED, 'refused on arrival', 0)
    quota = state.limits.team_quotas.get(call.team)
    if quota is not None and _count_team(state, call.team) >= quota:
        detail = f'team {call.team} has {quota} calls in progress'
        retry_ms = now_ms + _find_drain_ms(state)
        return Refused(errors.QUOTA_EXCEEDED, detail, retry_ms)
    wait_ms = find_expected_wait_ms(state, call)
    estimate = _estimate(state, call.kind)
    needed_ms = (
        wait_ms + estimate.mean_ms + SERVICE_DEVIATIONS * estimate.deviation_ms
    )
    # An idle service tries every call: the estimate may be out of date, and
    # only calls that run correct it.
    limit_ms = WAIT_SHARE * remaining_ms + estimate.mean_ms / state.slots
    if wait_ms > 0 and (needed_ms > remaining_ms or wait_ms > limit_ms):
        detail = f'expected wait {wait_ms:.0f} ms'
        excess_ms = max(needed_ms - remaining_ms, wait_ms - limit_ms)
        retry_ms = now_ms + math.ceil(min(excess_ms, wait_ms))
        return Refused(errors.DEADLINE_TOO_CLOSE, detail, retry_ms)
    return None


def _choose_displaced(
    state: AdmissionState, call: QueuedCall
) -> QueuedCall | None:
    """Return the waiting call that gives way to the offered one.

    The places ``share * queue_limit`` of a group are reserved for it: they
    are never displaced, and a call within them displaces others of any
    urgency.
    """
    if not state.limits.kind_shares and not state.limits.team_shares:
        last = state.queue[-1]
        return last if _rank(call) < _rank(last) else None
    counts = collections.Counter(
        group
        for other in state.queue
        for group in call_groups.find_groups(state.limits, other)
    )

    def is_reserved(candidate: QueuedCall, extra: int) -> bool:
        return any(
            counts[group] + extra
            <= call_groups.find_share(state.limits, group)
            * state.limits.queue_limit
            for group in call_groups.find_groups(state.limits, candidate)
        )

    is_entitled = is_reserved(call, 1)
    for other in reversed(state.queue):
        if not is_entitled and _rank(other) <= _rank(call):
            return None
        if not is_reserved(other, 0):
            return other
    return None


def _choose_next(
    state: AdmissionState, use_ms: Mapping[Group, float], now_ms: int
) -> int | None:
    """Return the place of the next call in the queue."""
    ratios = sorted(
        (use_ms.get(group, 0.0) / (share * use_ms[call_groups.TOTAL]), group)
        for group, share in call_groups.list_shares(state.limits)
        if share > 0 and use_ms.get(call_groups.TOTAL, 0.0) > 0
    )
    for ratio, group in ratios:
        if ratio >= 1.0:
            break
        for place, call in enumerate(state.queue):
            if (
                call_groups.is_member(call, group)
                and call.deadline_ms > now_ms
            ):
                return place
    for place, call in enumerate(state.queue):
        if call.deadline_ms > now_ms:
            return place
    return None


def _find_reserved_share(state: AdmissionState, groups: set[Group]) -> float:
    """Return the part of the slots that waiting calls of others may claim."""
    if not state.limits.kind_shares:
        return 0.0
    waiting = {call.kind for call in state.queue}
    return sum(
        share
        for kind, share in state.limits.kind_shares.items()
        if ('kind', kind) not in groups and kind in waiting
    )


def _rank(call: QueuedCall) -> tuple[int, int, int]:
    return (-call.urgency, call.deadline_ms, call.offered_at_ms)


def _count_team(state: AdmissionState, team: str) -> int:
    waiting = sum(call.team == team for call in state.queue)
    running = sum(taken.call.team == team for taken in state.running.values())
    return waiting + running


def _estimate(
    state: AdmissionState, kind: str
) -> service_times.ServiceEstimate:
    return state.estimates.get(kind, service_times.ServiceEstimate())


def _find_work_ms(state: AdmissionState, calls: Sequence[QueuedCall]) -> float:
    counts = collections.Counter(map(_KIND, calls))
    return sum(
        _estimate(state, kind).mean_ms * count
        for kind, count in counts.items()
    )


def _find_drain_ms(state: AdmissionState) -> int:
    """Return the time in which a tenth of the queue, or a call, ends."""
    work_ms = _find_work_ms(state, state.queue) / 10
    return max(math.ceil(work_ms / state.slots), 1)


def _decay_use(state: AdmissionState, now_ms: int) -> dict[Group, float]:
    age_ms = max(now_ms - state.use_at_ms, 0)
    kept = 0.5 ** (age_ms / USE_HALF_LIFE_MS)
    return {group: use * kept for group, use in state.use_ms.items()}


def _charge(
    use_ms: dict[Group, float],
    limits: Limits,
    call: QueuedCall,
    amount_ms: float,
) -> None:
    for group in (call_groups.TOTAL, *call_groups.find_groups(limits, call)):
        use_ms[group] = max(use_ms.get(group, 0.0) + amount_ms, 0.0)
