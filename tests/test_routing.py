"""Property and differential tests of routing and ejection."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies
import pytest

from borageshelf.decisions import ejection
from borageshelf.decisions import hedging
from borageshelf.decisions import naive_calls
from borageshelf.decisions import retries
from borageshelf.decisions import routing

NOW_MS = 1_000_000
repeatable = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200
)


@strategies.composite
def fleets(draw: strategies.DrawFn) -> list[routing.ExecutorView]:
    """Draw executors with stale, missing and fresh reports."""
    times = strategies.sampled_from([0, NOW_MS - 60_000, NOW_MS - 500, NOW_MS])
    views = strategies.builds(
        routing.ExecutorView,
        target_id=strategies.just(''),
        data_centre=strategies.sampled_from(['north', 'south']),
        slots=strategies.just(8),
        outstanding_calls=strategies.integers(0, 60),
        reported_calls=strategies.integers(0, 60),
        reported_at_ms=times,
        joined_at_ms=times,
        leaving=strategies.booleans(),
        ejected_until_deadline_ms=strategies.sampled_from([0, NOW_MS + 9_000]),
    )
    drawn = draw(strategies.lists(views, max_size=12))
    return [
        dataclasses.replace(view, target_id=f'target-{number}')
        for number, view in enumerate(drawn)
    ]


@repeatable
@hypothesis.given(fleets(), strategies.randoms(use_true_random=False))
def test_chosen_executor_is_not_leaving_ejected_or_full(
    fleet: list[routing.ExecutorView], rng: random.Random
) -> None:
    """Guards against new calls to an executor that must not get any."""
    chosen = routing.choose_executor(fleet, 'north', NOW_MS, rng)
    if chosen is None:
        return
    assert not chosen.leaving
    assert chosen.outstanding_calls <= chosen.slots
    healthy = [
        view
        for view in fleet
        if not view.leaving and view.ejected_until_deadline_ms <= NOW_MS
    ]
    assert not healthy or chosen in healthy


@repeatable
@hypothesis.given(fleets(), strategies.randoms(use_true_random=False))
def test_calls_do_not_wait_while_a_healthy_executor_is_idle(
    fleet: list[routing.ExecutorView], rng: random.Random
) -> None:
    """Guards against calls that wait because of a stale report.

    The report of the idle executor says that other entries keep it full.
    """
    idle = routing.ExecutorView(
        'idle', 'north', 8, 0, reported_calls=60, reported_at_ms=NOW_MS
    )
    chosen = routing.choose_executor([*fleet, idle], 'north', NOW_MS, rng)
    assert chosen is not None


def find_peak_load(chooser: str) -> int:
    """Return the highest load after 40 calls are sent to ten executors."""
    rng = random.Random(7)
    choose = {
        'product': routing.choose_executor,
        'naive': naive_calls.choose_executor,
    }[chooser]
    fleet = [
        routing.ExecutorView(f'target-{number}', 'north', 8, 0)
        for number in range(10)
    ]
    for _ in range(40):
        chosen = choose(fleet, 'north', NOW_MS, rng)
        assert chosen is not None
        index = fleet.index(chosen)
        fleet[index] = dataclasses.replace(
            chosen, outstanding_calls=chosen.outstanding_calls + 1
        )
    return max(view.outstanding_calls for view in fleet)


def test_two_choices_balance_better_than_a_random_target() -> None:
    """Guards against uneven load; compares with the naive choice."""
    assert find_peak_load('product') <= 5 < find_peak_load('naive')


def test_own_data_centre_is_preferred_until_its_slots_are_taken() -> None:
    """Guards against needless latency and against waits for a full one."""
    rng = random.Random(1)
    near = routing.ExecutorView('near', 'north', 8, 7)
    far = routing.ExecutorView('far', 'south', 8, 0)
    chosen = routing.choose_executor([near, far], 'north', NOW_MS, rng)
    assert chosen == near
    near = dataclasses.replace(near, outstanding_calls=8)
    chosen = routing.choose_executor([near, far], 'north', NOW_MS, rng)
    assert chosen == far


def test_slow_start_limits_a_new_target_only_beside_warm_ones() -> None:
    """Guards against a new target that gets its full load at once.

    A warm target has completed its slow start.
    """
    rng = random.Random(1)
    new = routing.ExecutorView('new', 'north', 8, 2, joined_at_ms=NOW_MS)
    warm = routing.ExecutorView('warm', 'north', 8, 8)
    args = ('north', NOW_MS, rng)
    chosen = routing.choose_executor([new, warm], *args)
    assert chosen is not None and chosen.target_id == 'warm'
    assert routing.choose_executor([new], *args) == new


outcomes = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 8),
        strategies.booleans(),
        strategies.floats(1, 1_000),
    ),
    max_size=300,
)


@repeatable
@hypothesis.given(outcomes, strategies.integers(1, 9))
def test_ejections_leave_two_thirds_of_the_fleet(
    plan: list[tuple[int, bool, float]], size: int
) -> None:
    """Guards against ejections that make a service unavailable."""
    fleet = [ejection.OutcomeStatistics(f't{n}') for n in range(size)]
    for step, (number, failed, service_ms) in enumerate(plan):
        now_ms = NOW_MS + step * 20
        index = number % size
        fleet[index] = ejection.record_outcome(
            fleet[index], failed, service_ms, now_ms
        )
        for item in ejection.choose_ejections(fleet, now_ms):
            index = int(item.target_id[1:])
            fleet[index] = ejection.apply_ejection(fleet[index], item, now_ms)
        ejected = [
            statistics
            for statistics in fleet
            if statistics.ejected_until_deadline_ms > now_ms
        ]
        assert len(ejected) <= size // 3


@pytest.mark.parametrize(
    ('bad', 'failed', 'service_ms', 'reasons'),
    [
        ({0}, True, 1.0, ['failing']),
        ({0}, False, 250.0, ['slow']),
        (set(range(9)), True, 1.0, []),
        (set(range(9)), False, 250.0, []),
    ],
)
def test_only_outliers_are_ejected(
    bad: set[int], failed: bool, service_ms: float, reasons: list[str]
) -> None:
    """Guards against the ejection of executors for a fault of the calls.

    Such a fault shows on all executors, so that none of them stands out.

    :param bad: numbers of the executors that fail or are slow
    """
    fleet = []
    for number in range(9):
        statistics = ejection.OutcomeStatistics(f't{number}')
        for step in range(30):
            is_bad = number in bad
            statistics = ejection.record_outcome(
                statistics,
                failed and is_bad,
                service_ms if is_bad else 50.0,
                NOW_MS + step,
            )
        fleet.append(statistics)
    found = ejection.choose_ejections(fleet, NOW_MS + 30)
    assert [item.reason for item in found] == reasons


@repeatable
@hypothesis.given(strategies.lists(strategies.booleans(), max_size=400))
def test_retries_stay_within_a_tenth_of_first_tries(plan: list[bool]) -> None:
    """Guards against a retry storm, as unconditional retries cause it.

    :param plan: True for a first try, False for a retry
    """
    budget = retries.Budget()
    first_tries = sent_retries = 0
    for is_first in plan:
        if is_first:
            first_tries += 1
            budget = retries.earn_budget(budget)
            continue
        remaining = retries.spend_budget(budget)
        if remaining is not None:
            sent_retries += 1
            budget = remaining
    assert sent_retries <= 1 + retries.RETRY_SHARE * first_tries + 1e-6


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize('ran', [True, False])
def test_second_try_needs_proof_or_idempotence(
    idempotent: bool, ran: bool
) -> None:
    """Guards against two runs of a call that is not idempotent.

    Such a call is retried only if its first try is known not to have run,
    and never hedged. No call is retried once the caller has received a part
    of its answer.
    """
    args = (idempotent, ran, 0, NOW_MS, NOW_MS + 1)
    assert retries.may_retry(*args) is (idempotent or not ran)
    assert naive_calls.may_retry(*args)
    assert not retries.may_retry(idempotent, ran, 1, NOW_MS, NOW_MS + 1)
    estimate = hedging.LatencyEstimate(50.0)
    hedge_ms = hedging.compute_hedge_time_ms(
        estimate, idempotent, 1, NOW_MS, NOW_MS + 1_000
    )
    assert hedge_ms == (NOW_MS + 50 if idempotent else None)
