"""Admission control of calls: a bounded queue with guaranteed shares.

Admission runs before routing. A call is offered to the queue of its service
on arrival and taken from it when routing finds an executor that accepts one
more call. The state is immutable, and every function returns a new one. The
caller applies the functions one at a time and passes in the current time.
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

# Half-life of the slot time from which the shares of groups are computed:
# longer than one call, shorter than callers wait for an answer.
SLOT_TIME_HALF_LIFE_MS: Final = 2_000
# The time reserved for a call is its mean service time plus this many mean
# deviations, the 98th percentile of exponential service times. Under
# overload, a call that ends after its deadline wastes capacity.
SERVICE_TIME_DEVIATIONS: Final = 4.0
# Longest expected wait behind other calls, as a share of the time until the
# deadline. A longer queue adds delay but no goodput, because a short queue is
# enough to keep the slots busy.
MAX_WAIT_SHARE: Final = 0.25
# Smallest share of the slots that is assumed to be left for calls without a
# guaranteed share.
MIN_UNRESERVED_SHARE: Final = 0.05


_get_kind: Final = operator.attrgetter('kind')

QueuedCall = call_groups.QueuedCall
Limits = call_groups.Limits
Group = call_groups.Group


@dataclasses.dataclass(frozen=True)
class RunningCall:
    """A call that was taken from the queue and has not ended.

    :param charged_ms: slot time already charged to the groups of the call
    """

    call: QueuedCall
    taken_at_ms: int
    charged_ms: float


@dataclasses.dataclass(frozen=True)
class AdmissionState:
    """Queue, running calls and recent slot time of one service.

    :param slots: executor slots that this entry may use
    :param queue: waiting calls in order of urgency, then deadline
    :param running: calls taken from the queue, by call id
    :param estimates: learned service times by kind
    :param slot_time_ms: slot time used by each group, decayed with
        ``SLOT_TIME_HALF_LIFE_MS``
    :param slot_time_at_ms: time up to which ``slot_time_ms`` is decayed
    """

    limits: Limits = Limits()
    slots: int = 8
    queue: tuple[QueuedCall, ...] = ()
    running: Mapping[str, RunningCall] = dataclasses.field(
        default_factory=dict
    )
    estimates: Mapping[str, service_times.ServiceTimeEstimate] = (
        dataclasses.field(default_factory=dict)
    )
    slot_time_ms: Mapping[Group, float] = dataclasses.field(
        default_factory=dict
    )
    slot_time_at_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The call was admitted to the queue.

    :param displaced: call removed from the full queue to make room; the
        caller must refuse it with ``OVERLOADED``
    """

    displaced: QueuedCall | None = None


@dataclasses.dataclass(frozen=True)
class Refused:
    """The call was not admitted and will not run.

    :param retry_deadline_ms: Unix milliseconds before which a retry is
        expected to be refused again; 0 if no retry can succeed
    """

    code: errors.ResultCode
    detail: str
    retry_deadline_ms: int


def offer(
    state: AdmissionState, call: QueuedCall, now_ms: int
) -> tuple[AdmissionState, Admitted | Refused]:
    """Admit a call to the queue or refuse it at once.

    A call is refused when its deadline has passed or is too close for the
    expected wait, when the quota of its team is used up, or when the queue
    is full and no waiting call has to give way.
    """
    refusal = _find_refusal(state, call, now_ms)
    if refusal is not None:
        return state, refusal
    displaced = None
    queue = state.queue
    if len(queue) >= state.limits.queue_limit:
        displaced = _choose_displaced(state, call)
        if displaced is None:
            detail = f'the queue is full with {len(queue)} calls'
            retry_deadline_ms = now_ms + _compute_retry_delay_ms(state)
            return state, Refused(errors.OVERLOADED, detail, retry_deadline_ms)
        queue = tuple(other for other in queue if other is not displaced)
    index = bisect.bisect_right(queue, _get_rank(call), key=_get_rank)
    queue = (*queue[:index], call, *queue[index:])
    return dataclasses.replace(state, queue=queue), Admitted(displaced)


def take(
    state: AdmissionState, now_ms: int
) -> tuple[AdmissionState, QueuedCall | None]:
    """Remove the next call from the queue and count it as running.

    Groups below their guaranteed share come first, the one furthest below it
    before the others. If there are none, the most urgent call is next, and
    among equally urgent calls the one with the earliest deadline. Calls past
    their deadline are skipped and stay until ``expire`` removes them.

    :return: the new state, and the call or None if no call can be taken
    """
    slot_time_ms = _decay_slot_time(state, now_ms)
    index = _choose_next_index(state, slot_time_ms, now_ms)
    if index is None:
        return state, None
    call = state.queue[index]
    charged_ms = max(_get_estimate(state, call.kind).mean_ms, 1.0)
    _charge_groups(slot_time_ms, state.limits, call, charged_ms)
    taken = RunningCall(call, now_ms, charged_ms)
    state = dataclasses.replace(
        state,
        queue=state.queue[:index] + state.queue[index + 1 :],
        running={**state.running, call.call_id: taken},
        slot_time_ms=slot_time_ms,
        slot_time_at_ms=now_ms,
    )
    return state, call


def finish(
    state: AdmissionState,
    call: QueuedCall,
    now_ms: int,
    ran: bool = True,
    service_ms: float | None = None,
) -> AdmissionState:
    """Return the state after a running call has ended.

    The charged slot time is corrected to the time that the call used.

    :param ran: False if the agent refused the call; its duration then says
        nothing about the service time
    :param service_ms: time in the executor, in milliseconds. If it is None,
        the time since the call was taken is used. That time includes the
        wait in the agent's queue, where the least urgent calls wait longest,
        and so overstates the slot time of these calls.
    """
    taken = state.running.get(call.call_id)
    if taken is None:
        return state
    running = dict(state.running)
    del running[call.call_id]
    if service_ms is None:
        service_ms = float(max(now_ms - taken.taken_at_ms, 0))
    used_ms = service_ms if ran else 0.0
    slot_time_ms = _decay_slot_time(state, now_ms)
    _charge_groups(
        slot_time_ms, state.limits, call, used_ms - taken.charged_ms
    )
    estimates = state.estimates
    if ran:
        estimate = service_times.update_estimate(
            _get_estimate(state, call.kind), service_ms
        )
        estimates = {**estimates, call.kind: estimate}
    return dataclasses.replace(
        state,
        running=running,
        estimates=estimates,
        slot_time_ms=slot_time_ms,
        slot_time_at_ms=now_ms,
    )


def expire(
    state: AdmissionState, now_ms: int
) -> tuple[AdmissionState, tuple[QueuedCall, ...]]:
    """Remove the waiting calls that can no longer end in time.

    A call with less time left than the mean service time of its kind would
    occupy a slot for an answer that most likely comes after the deadline.
    Calls offered at ``now_ms`` stay in the queue.

    :return: the new state and the removed calls
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
    """Return the state with new limits; waiting calls stay queued."""
    return dataclasses.replace(state, limits=limits, slots=max(slots, 1))


def compute_expected_wait_ms(state: AdmissionState, call: QueuedCall) -> float:
    """Return the expected wait of a call that is offered now.

    The wait is the work ahead of the call, divided by the slots that the
    guaranteed shares of other groups leave. A call of a group with a
    guaranteed share waits no longer than its group needs on its own slots.
    """
    if len(state.running) < state.slots and not state.queue:
        return 0.0
    index = bisect.bisect_right(state.queue, _get_rank(call), key=_get_rank)
    ahead = state.queue[:index]
    groups = set(call_groups.find_groups(state.limits, call))
    unreserved_share = 1.0 - _compute_reserved_share(state, groups)
    unreserved_slots = state.slots * max(
        unreserved_share, MIN_UNRESERVED_SHARE
    )
    waits_ms = [_compute_work_ms(state, ahead) / unreserved_slots]
    for group in groups:
        own = [other for other in ahead if call_groups.is_member(other, group)]
        own_slots = state.slots * call_groups.get_share(state.limits, group)
        waits_ms.append(_compute_work_ms(state, own) / own_slots)
    first_free_slot_ms = _get_estimate(state, call.kind).mean_ms / state.slots
    return min(waits_ms) + first_free_slot_ms


def _find_refusal(
    state: AdmissionState, call: QueuedCall, now_ms: int
) -> Refused | None:
    """Return the refusal because of a deadline or quota, or None."""
    remaining_ms = call.deadline_ms - now_ms
    if remaining_ms <= 0:
        return Refused(
            errors.DEADLINE_PASSED, 'the call arrived after its deadline', 0
        )
    quota = state.limits.team_quotas.get(call.team)
    if quota is not None and _count_team_calls(state, call.team) >= quota:
        detail = f'team {call.team} has {quota} calls in progress'
        retry_deadline_ms = now_ms + _compute_retry_delay_ms(state)
        return Refused(errors.QUOTA_EXCEEDED, detail, retry_deadline_ms)
    wait_ms = compute_expected_wait_ms(state, call)
    estimate = _get_estimate(state, call.kind)
    needed_ms = (
        wait_ms
        + estimate.mean_ms
        + SERVICE_TIME_DEVIATIONS * estimate.deviation_ms
    )
    # Without an expected wait every call is admitted: the estimate may be
    # out of date, and only calls that run can correct it.
    limit_ms = MAX_WAIT_SHARE * remaining_ms + estimate.mean_ms / state.slots
    if wait_ms > 0 and (needed_ms > remaining_ms or wait_ms > limit_ms):
        detail = f'the expected wait is {wait_ms:.0f} ms'
        excess_ms = max(needed_ms - remaining_ms, wait_ms - limit_ms)
        retry_deadline_ms = now_ms + math.ceil(min(excess_ms, wait_ms))
        return Refused(errors.DEADLINE_TOO_CLOSE, detail, retry_deadline_ms)
    return None


def _choose_displaced(
    state: AdmissionState, call: QueuedCall
) -> QueuedCall | None:
    """Return the waiting call that the offered one displaces, or None.

    Each group has ``share * queue_limit`` reserved places in the queue.
    Calls in reserved places are never displaced, and an offered call that
    is entitled to one displaces another call of any urgency.
    """
    if not state.limits.kind_shares and not state.limits.team_shares:
        last = state.queue[-1]
        return last if _get_rank(call) < _get_rank(last) else None
    counts = collections.Counter(
        group
        for other in state.queue
        for group in call_groups.find_groups(state.limits, other)
    )

    def has_reserved_place(candidate: QueuedCall, added_calls: int) -> bool:
        return any(
            counts[group] + added_calls
            <= call_groups.get_share(state.limits, group)
            * state.limits.queue_limit
            for group in call_groups.find_groups(state.limits, candidate)
        )

    is_entitled = has_reserved_place(call, 1)
    for other in reversed(state.queue):
        if not is_entitled and _get_rank(other) <= _get_rank(call):
            return None
        if not has_reserved_place(other, 0):
            return other
    return None


def _choose_next_index(
    state: AdmissionState, slot_time_ms: Mapping[Group, float], now_ms: int
) -> int | None:
    """Return the index of the next call in the queue, or None."""
    used_to_guaranteed_ratios = sorted(
        (
            slot_time_ms.get(group, 0.0)
            / (share * slot_time_ms[call_groups.TOTAL]),
            group,
        )
        for group, share in call_groups.list_shares(state.limits)
        if share > 0 and slot_time_ms.get(call_groups.TOTAL, 0.0) > 0
    )
    for ratio, group in used_to_guaranteed_ratios:
        if ratio >= 1.0:
            break
        for index, call in enumerate(state.queue):
            if (
                call_groups.is_member(call, group)
                and call.deadline_ms > now_ms
            ):
                return index
    for index, call in enumerate(state.queue):
        if call.deadline_ms > now_ms:
            return index
    return None


def _compute_reserved_share(
    state: AdmissionState, groups: set[Group]
) -> float:
    """Return the share of the slots guaranteed to other waiting kinds.

    :param groups: groups whose own share does not count
    """
    if not state.limits.kind_shares:
        return 0.0
    waiting_kinds = {call.kind for call in state.queue}
    return sum(
        share
        for kind, share in state.limits.kind_shares.items()
        if ('kind', kind) not in groups and kind in waiting_kinds
    )


def _get_rank(call: QueuedCall) -> tuple[int, int, int]:
    """Return the sort key of the queue: the lowest rank is next."""
    return (-call.urgency, call.deadline_ms, call.offered_at_ms)


def _count_team_calls(state: AdmissionState, team: str) -> int:
    waiting = sum(call.team == team for call in state.queue)
    running = sum(taken.call.team == team for taken in state.running.values())
    return waiting + running


def _get_estimate(
    state: AdmissionState, kind: str
) -> service_times.ServiceTimeEstimate:
    return state.estimates.get(kind, service_times.ServiceTimeEstimate())


def _compute_work_ms(
    state: AdmissionState, calls: Sequence[QueuedCall]
) -> float:
    """Return the slot time that the calls are expected to need."""
    counts = collections.Counter(map(_get_kind, calls))
    return sum(
        _get_estimate(state, kind).mean_ms * count
        for kind, count in counts.items()
    )


def _compute_retry_delay_ms(state: AdmissionState) -> int:
    """Return the time until a tenth of the queued work ends, at least 1 ms."""
    work_ms = _compute_work_ms(state, state.queue) / 10
    return max(math.ceil(work_ms / state.slots), 1)


def _decay_slot_time(state: AdmissionState, now_ms: int) -> dict[Group, float]:
    age_ms = max(now_ms - state.slot_time_at_ms, 0)
    decay_factor = 0.5 ** (age_ms / SLOT_TIME_HALF_LIFE_MS)
    return {
        group: used_ms * decay_factor
        for group, used_ms in state.slot_time_ms.items()
    }


def _charge_groups(
    slot_time_ms: dict[Group, float],
    limits: Limits,
    call: QueuedCall,
    amount_ms: float,
) -> None:
    """Add slot time, or subtract a negative one, to the groups of a call."""
    for group in (call_groups.TOTAL, *call_groups.find_groups(limits, call)):
        slot_time_ms[group] = max(
            slot_time_ms.get(group, 0.0) + amount_ms, 0.0
        )
