"""Learned sizes, run times and effects, and the quarantine of targets."""

import math
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from borageshelf.decisions import estimates
from borageshelf.decisions import interference
from borageshelf.decisions import quarantine
from borageshelf.model import resources

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=100
)
SECOND_MS = 1000


@pytest.mark.parametrize('factor', [0.1, 1.0, 10.0])
def test_sizes_are_learned(factor: float) -> None:
    """Guards against reservations that stay wrong by a factor of ten."""
    declared = resources.Resources(2_000, 8_000, 1)
    rng = random.Random(3)
    book = estimates.Book()
    for _ in range(20):
        size = factor * rng.lognormvariate(0, 0.1)
        peak = resources.Resources(round(2_000 * size), round(8_000 * size))
        book = estimates.observe_finished(book, 'ledger', peak, 60_000)
    reserved = estimates.compute_reservation(book, 'ledger', declared)
    assert 0.9 <= reserved.processor_millicores / (2_000 * factor) <= 1.3
    assert 1.0 <= reserved.memory_mb / (8_000 * factor) <= 2.0
    assert reserved.accelerators == 1


@SETTINGS
@hypothesis.given(st.lists(st.integers(0, 10_000), max_size=2))
def test_family_without_history_keeps_declared_size(peaks: list[int]) -> None:
    """Guards against sizes that are learned from too few tasks."""
    declared = resources.Resources(1_000, 1_000)
    book = estimates.Book()
    for peak in peaks:
        used = resources.Resources(peak, peak)
        book = estimates.observe_running(book, 'ledger', used)
    reserved = estimates.compute_reservation(book, 'ledger', declared)
    largest = max([1_000, *peaks])
    assert reserved == resources.Resources(largest, largest)


def test_memory_reservation_grows_with_the_spread() -> None:
    """Guards against a memory reservation that ignores the spread."""
    reserved = []
    for spread in (100, 4_000):
        book = estimates.Book()
        for index in range(10):
            sign = 1 if index % 2 else -1
            peak = resources.Resources(1_000, 8_000 + sign * spread)
            book = estimates.observe_finished(book, 'ledger', peak, 1_000)
        size = estimates.compute_reservation(book, 'ledger', resources.NOTHING)
        reserved.append(size.memory_mb)
    assert reserved[1] > reserved[0] + 4_000


def test_run_times_are_learned() -> None:
    """Guards against run times that are not learned from a few tasks."""
    book = estimates.Book()
    assert estimates.predict_run_times_ms(book, 'ledger') == (0, 0)
    for run_ms in (50_000, 60_000, 70_000, 60_000):
        book = estimates.observe_finished(
            book, 'ledger', resources.NOTHING, run_ms
        )
    median_ms, upper_ms = estimates.predict_run_times_ms(book, 'ledger')
    assert 55_000 < median_ms < 65_000 < upper_ms < 120_000


def learn_effects(
    effects: dict[str, float], delay_s: int, seconds: int
) -> interference.Table:
    """Return a table learned from noisy, delayed measurements of ten VMs.

    :param effects: true effect by family
    """
    rng = random.Random(5)
    table = interference.Table()
    history: dict[int, list[interference.Mix]] = {i: [] for i in range(10)}
    values: dict[int, list[float]] = {i: [] for i in range(10)}
    for second in range(seconds):
        for vm in range(10):
            if second % 30 == 0:
                shares = {name: rng.random() * 0.4 for name in effects}
                history[vm].append(interference.Mix(second * 1000, shares))
            mix = history[vm][-1].shares
            rise = sum(effects[name] * share for name, share in mix.items())
            noise = rng.lognormvariate(0, 0.08)
            values[vm].append(20 * math.exp(rise) * noise)
            if second < delay_s:
                continue
            at_ms = (second - delay_s) * 1000
            mix = interference.find_mix(history[vm], at_ms)
            observation = interference.Observation(
                'pigment', values[vm][-1 - delay_s], 0.5, mix, at_ms
            )
            table = interference.observe(table, observation)
    return table


def test_effects_are_separated_despite_delay() -> None:
    """Guards against effects credited to the wrong one of two families.

    Both run on the same VMs, and only one of them slows the service.
    """
    effects = {'ledger': 0.05, 'scan': 2.0}
    table = learn_effects(effects, delay_s=10, seconds=300)
    for family, effect in effects.items():
        found, deviation = interference.estimate_effect(
            table, 'pigment', family, 300_000
        )
        assert abs(found - effect) < 0.2
        assert deviation < 0.3
        assert interference.is_known(table, 'pigment', family, 300_000)


def test_effects_return_to_the_prior() -> None:
    """Guards against a pair that is avoided forever after a harmful phase."""
    table = learn_effects({'scan': 3.0}, delay_s=0, seconds=100)
    later_ms = 100_000 + 5 * interference.EFFECT_RETURN_MS
    effect, _ = interference.estimate_effect(
        table, 'pigment', 'scan', later_ms
    )
    assert abs(effect - interference.PRIOR_EFFECT) < 0.1
    assert not interference.is_known(table, 'pigment', 'scan', later_ms)


@SETTINGS
@hypothesis.given(
    st.lists(
        st.tuples(
            st.floats(0, 1e6),
            st.floats(-1, 2),
            st.dictionaries(
                st.sampled_from(['ledger', 'scan']), st.floats(0, 1)
            ),
            st.integers(0, 10**7),
        )
    )
)
def test_effects_stay_in_bounds(
    rows: list[tuple[float, float, dict[str, float], int]],
) -> None:
    """Guards against estimates out of range.

    Measurements may be extreme or arrive out of order.
    """
    table = interference.Table()
    for p99_ms, load, shares, at_ms in rows:
        observation = interference.Observation(
            's', p99_ms, load, shares, at_ms
        )
        table = interference.observe(table, observation)
    for pair in table.pairs.values():
        assert 0 <= pair.mean <= interference.MAX_EFFECT
        assert 0 <= pair.variance <= interference.PRIOR_VARIANCE


def run_attempts(
    broken_targets: set[str],
    broken_families: set[str],
    rounds: int,
    table: quarantine.FailureTable,
) -> tuple[quarantine.FailureTable, int]:
    """Run every family once a round on every target not in quarantine.

    :return: the table and the time at the end, in milliseconds
    """
    now_ms = 0
    for _ in range(rounds):
        for target in range(9):
            now_ms += SECOND_MS
            name = f'w{target}'
            state = quarantine.find_state(table, name)
            if state.quarantined_until_deadline_ms > now_ms:
                continue
            for family in ('ledger', 'assay', 'blend'):
                succeeded = not (
                    name in broken_targets or family in broken_families
                )
                outcome = quarantine.AttemptOutcome(
                    name, family, succeeded, now_ms
                )
                table = quarantine.record_outcome(table, outcome, 9)
    return table, now_ms


@pytest.mark.parametrize('broken', [{'w3'}, {'w3', 'w7'}])
def test_broken_workers_are_quarantined(broken: set[str]) -> None:
    """Guards against work for a worker that fails everything.

    A worker whose tasks fail at once looks idle and attracts more work.
    """
    table, _ = run_attempts(set(), set(), 10, quarantine.FailureTable())
    table, _ = run_attempts(broken, set(), 3, table)
    quarantined = {
        name
        for name, state in table.targets.items()
        if state.consecutive_quarantines
    }
    assert quarantined == broken


def test_failures_of_a_broken_family_do_not_quarantine_workers() -> None:
    """Guards against workers in quarantine because of a broken job."""
    table, now_ms = run_attempts(
        set(), {'blend'}, 8, quarantine.FailureTable()
    )
    assert not any(
        state.consecutive_quarantines for state in table.targets.values()
    )
    failed = ['w1', 'w2', 'w3']
    assert quarantine.is_job_at_fault(table, 'blend', failed, now_ms)


def test_broken_workers_do_not_end_a_sound_job() -> None:
    """Guards against a sound job that is given up after broken workers."""
    broken = {'w1', 'w2', 'w3'}
    table, _ = run_attempts(set(), set(), 5, quarantine.FailureTable())
    table, now_ms = run_attempts(broken, set(), 3, table)
    assert not quarantine.is_job_at_fault(
        table, 'ledger', sorted(broken), now_ms
    )


def test_quarantine_keeps_two_thirds_of_the_fleet() -> None:
    """Guards against a common cause that quarantines every worker."""
    broken = {f'w{index}' for index in range(9)}
    table, now_ms = run_attempts(broken, set(), 20, quarantine.FailureTable())
    quarantined = sum(
        state.quarantined_until_deadline_ms > now_ms
        for state in table.targets.values()
    )
    assert quarantined <= 3


def test_quarantine_doubles_until_a_success() -> None:
    """Guards against a broken worker that fails work every minute."""
    table = quarantine.FailureTable()
    now_ms = 0
    lengths_ms: list[int] = []
    while len(lengths_ms) < 4:
        now_ms += SECOND_MS
        for name, succeeded in (('w1', False), ('w2', True)):
            outcome = quarantine.AttemptOutcome(
                name, 'ledger', succeeded, now_ms
            )
            table = quarantine.record_outcome(table, outcome, 9)
        until_ms = table.targets['w1'].quarantined_until_deadline_ms
        if until_ms > now_ms:
            lengths_ms.append(until_ms - now_ms)
            now_ms = until_ms
    base_ms = quarantine.QUARANTINE_BASE_MS
    assert lengths_ms == [base_ms, 2 * base_ms, 4 * base_ms, 8 * base_ms]
    good = quarantine.AttemptOutcome('w1', 'ledger', True, now_ms)
    state = quarantine.record_outcome(table, good, 9).targets['w1']
    assert not state.on_probation
    assert state.consecutive_quarantines == 0
