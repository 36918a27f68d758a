"""Property and differential tests of admission."""

from collections.abc import Callable
import dataclasses

import hypothesis
from hypothesis import strategies

from borageshelf.decisions import admission
from borageshelf.decisions import naive_calls
from borageshelf import errors

NOW_MS = 1_000_000
repeatable = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60
)
KINDS = ('urgent', 'routine')
LIMITS = admission.Limits(
    queue_limit=20,
    kind_shares={'urgent': 0.2, 'routine': 0.2},
    team_shares={'small': 0.1},
    team_quotas={'capped': 5},
)

calls = strategies.builds(
    admission.QueuedCall,
    call_id=strategies.uuids().map(str),
    team=strategies.sampled_from(['small', 'large', 'capped']),
    kind=strategies.sampled_from(KINDS),
    urgency=strategies.integers(0, 9),
    deadline_ms=strategies.integers(NOW_MS - 10, NOW_MS + 5_000),
    offered_at_ms=strategies.just(NOW_MS),
)
steps = strategies.lists(
    strategies.one_of(calls, strategies.sampled_from(['take', 'finish'])),
    max_size=120,
)


def make_call(
    number: int, kind: str = 'routine', urgency: int = 0, wait_ms: int = 60_000
) -> admission.QueuedCall:
    """Return a call offered at ``NOW_MS``."""
    return admission.QueuedCall(
        str(number), 'large', kind, urgency, NOW_MS + wait_ms, NOW_MS
    )


@repeatable
@hypothesis.given(steps)
def test_each_call_is_counted_once_and_limits_hold(
    plan: list[admission.QueuedCall | str],
) -> None:
    """Guards against lost or duplicated calls and against exceeded limits.

    Random sequences of offers, takes and ends must leave each call either
    queued, running, displaced, expired, refused or ended.
    """
    state = admission.AdmissionState(limits=LIMITS, slots=2)
    waiting_ids: set[str] = set()
    running: list[admission.QueuedCall] = []
    now_ms = NOW_MS
    for step in plan:
        now_ms += 7
        if step == 'take':
            state, call = admission.take(state, now_ms)
            if call is not None:
                assert call.deadline_ms > now_ms
                waiting_ids.remove(call.call_id)
                running.append(call)
        elif step == 'finish':
            if running:
                state = admission.finish(state, running.pop(0), now_ms)
        elif isinstance(step, admission.QueuedCall):
            state, answer = admission.offer(state, step, now_ms)
            if isinstance(answer, admission.Refused):
                assert answer.code.category is errors.Category.NOT_RUN
            else:
                waiting_ids.add(step.call_id)
                if answer.displaced is not None:
                    waiting_ids.remove(answer.displaced.call_id)
        state, expired = admission.expire(state, now_ms)
        waiting_ids -= {call.call_id for call in expired}
        assert {call.call_id for call in state.queue} == waiting_ids
        assert len(state.queue) <= LIMITS.queue_limit
        capped = [call for call in state.queue if call.team == 'capped']
        capped += [call for call in running if call.team == 'capped']
        assert len(capped) <= 5
        ranks = [(-call.urgency, call.deadline_ms) for call in state.queue]
        assert ranks == sorted(ranks)
        assert set(state.running) == {call.call_id for call in running}
        assert all(used_ms >= 0 for used_ms in state.slot_time_ms.values())


@repeatable
@hypothesis.given(strategies.lists(calls, max_size=40))
def test_calls_of_equal_rank_keep_the_order_of_arrival(
    offered: list[admission.QueuedCall],
) -> None:
    """Guards against reordering that neither rank nor share requires.

    With equal urgency, ascending deadlines and no limit reached, the queue
    must behave like the naive one.
    """
    state = admission.AdmissionState(limits=admission.Limits(queue_limit=99))
    naive = naive_calls.NaiveQueue()
    for index, call in enumerate(offered):
        equal_call = dataclasses.replace(
            call, urgency=1, deadline_ms=NOW_MS + 1_000 + index
        )
        state, answer = admission.offer(state, equal_call, NOW_MS)
        assert answer == admission.Admitted()
        naive, _ = naive_calls.offer(naive, equal_call, NOW_MS)
    for _ in offered:
        state, taken = admission.take(state, NOW_MS)
        naive, expected = naive_calls.take(naive, NOW_MS)
        assert taken == expected


def serve_overload(
    make_surge_call: Callable[[int], admission.QueuedCall],
    make_other_call: Callable[[int], admission.QueuedCall],
) -> dict[str, int]:
    """Serve 3,000 calls of 50 ms and return the number served per kind.

    Ten calls of the surge are offered for each other call.
    """
    state = admission.AdmissionState(
        limits=dataclasses.replace(LIMITS, queue_limit=100), slots=4
    )
    served = {'urgent': 0, 'routine': 0}
    number = 0
    for step in range(3_000):
        now_ms = NOW_MS + step * 12
        for make_next in [make_surge_call] * 10 + [make_other_call]:
            number += 1
            call = dataclasses.replace(
                make_next(number),
                deadline_ms=now_ms + 60_000,
                offered_at_ms=now_ms,
            )
            state, _ = admission.offer(state, call, now_ms)
        state, taken = admission.take(state, now_ms)
        assert taken is not None
        served[taken.kind] += 1
        state = admission.finish(state, taken, now_ms + 50, True, 50.0)
    return served


def test_guaranteed_share_holds_in_a_surge_of_urgent_calls() -> None:
    """Guards against starvation of the least urgent kind.

    Its guaranteed share is 0.2, and one in 11 calls is of this kind.
    """
    served = serve_overload(
        lambda number: make_call(number, 'urgent', 9),
        lambda number: make_call(number, 'routine', 0),
    )
    assert served['routine'] >= 0.95 * 0.2 * 3_000


def test_urgent_calls_are_served_in_a_surge_of_routine_calls() -> None:
    """Guards against a queue full of routine calls that blocks urgent ones."""
    served = serve_overload(
        lambda number: make_call(number, 'routine', 0),
        lambda number: make_call(number, 'urgent', 9),
    )
    # Urgent calls are offered at the rate of the whole capacity. They go
    # first, except for the guaranteed share of the routine kind.
    assert served['urgent'] >= 0.95 * 0.8 * 3_000
    assert served['routine'] >= 0.95 * 0.2 * 3_000


def test_refusal_has_a_retry_deadline_in_the_future() -> None:
    """Guards against refusals that callers retry immediately."""
    state = admission.AdmissionState(
        limits=admission.Limits(queue_limit=5), slots=1
    )
    for number in range(3):
        state, _ = admission.offer(state, make_call(number), NOW_MS)
        state, call = admission.take(state, NOW_MS)
        assert call is not None
        state = admission.finish(state, call, NOW_MS + 100)
    state, _ = admission.offer(state, make_call(3), NOW_MS + 100)
    state, _ = admission.take(state, NOW_MS + 100)
    for number in range(4, 9):
        state, _ = admission.offer(state, make_call(number), NOW_MS + 100)
    for urgency, wait_ms, code in (
        (0, 60_000, errors.OVERLOADED),
        (-1, 350, errors.DEADLINE_TOO_CLOSE),
    ):
        call = make_call(100, urgency=urgency, wait_ms=wait_ms)
        _, answer = admission.offer(state, call, NOW_MS + 100)
        assert isinstance(answer, admission.Refused)
        assert answer.code is code
        assert answer.retry_deadline_ms > NOW_MS + 100
