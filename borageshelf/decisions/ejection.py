"""Outlier ejection of executors that fail or are slow.

Each executor's call outcomes are recorded, and executors that stand out
receive no new calls for a while. An executor is compared with the others, so
a fault of the calls themselves, which shows on all executors, ejects none.
"""

import bisect
from collections.abc import Sequence
import dataclasses
from typing import Final

OUTCOME_HALF_LIFE_MS: Final = 5_000
# Calls needed to judge an executor by its failure rate or mean service time.
# With exponential service times, the mean of 20 calls exceeds twice its
# expectation in about one of 10,000 samples.
MIN_CALLS: Final = 20.0
# An executor that was ejected before is judged on less evidence.
MIN_CALLS_AFTER_EJECTION: Final = 5.0
# Failing means this many failures in a row or at least this share of failed
# calls. Slow means a mean service time above this multiple of the median of
# the other executors.
MIN_CONSECUTIVE_FAILURES: Final = 5
MIN_FAILURE_SHARE: Final = 0.5
SLOW_RATIO: Final = 2.0
# A failing executor is an outlier only if its failure rate is at least this
# multiple of the median of the other executors.
OUTLIER_RATIO: Final = 2.0
EJECTION_BASE_MS: Final = 5_000
EJECTION_LIMIT_MS: Final = 120_000
# After this time without an ejection the next one is short again.
EJECTION_COUNT_LIFETIME_MS: Final = 600_000
# At most one executor in this many is ejected at a time.
EXECUTORS_PER_EJECTION: Final = 3


@dataclasses.dataclass(frozen=True)
class OutcomeStatistics:
    """Decayed outcomes of the calls of one executor.

    :param calls: calls that ended, decayed with ``OUTCOME_HALF_LIFE_MS``
    :param failures: failed calls among them
    :param service_ms: sum of the service times of the successful calls
    :param consecutive_ejections: ejections that count towards the duration
        of the next one; see ``EJECTION_COUNT_LIFETIME_MS``
    """

    target_id: str
    calls: float = 0.0
    failures: float = 0.0
    service_ms: float = 0.0
    consecutive_failures: int = 0
    updated_at_ms: int = 0
    consecutive_ejections: int = 0
    ejected_until_deadline_ms: int = 0

    @property
    def failure_rate(self) -> float:
        """Return the share of failed calls."""
        return self.failures / self.calls if self.calls else 0.0

    @property
    def mean_service_ms(self) -> float | None:
        """Return the mean service time, or None without a success."""
        successes = self.calls - self.failures
        return self.service_ms / successes if successes > 0.5 else None


@dataclasses.dataclass(frozen=True)
class Ejection:
    """An executor that receives no new calls until the deadline."""

    target_id: str
    until_deadline_ms: int
    reason: str


def record_outcome(
    outcomes: OutcomeStatistics,
    failed: bool,
    service_ms: float,
    now_ms: int,
) -> OutcomeStatistics:
    """Return the statistics with one more call.

    :param service_ms: time in the executor, without queues and network
    """
    age_ms = max(now_ms - outcomes.updated_at_ms, 0)
    decay_factor = 0.5 ** (age_ms / OUTCOME_HALF_LIFE_MS)
    consecutive_failures = outcomes.consecutive_failures + 1 if failed else 0
    return dataclasses.replace(
        outcomes,
        calls=outcomes.calls * decay_factor + 1,
        failures=outcomes.failures * decay_factor + failed,
        service_ms=(
            outcomes.service_ms * decay_factor + (not failed) * service_ms
        ),
        consecutive_failures=consecutive_failures,
        updated_at_ms=now_ms,
    )


def choose_ejections(
    fleet: Sequence[OutcomeStatistics], now_ms: int
) -> tuple[Ejection, ...]:
    """Return the executors to eject now, the worst first.

    Failing executors come before slow ones. At most a third of the fleet is
    ejected at a time, including executors whose earlier ejection has not
    ended.

    :param fleet: statistics of all executors that are not leaving
    """
    active = [
        outcomes
        for outcomes in fleet
        if outcomes.ejected_until_deadline_ms <= now_ms
    ]
    ejected_count = len(fleet) - len(active)
    free_ejections = max(
        len(fleet) // EXECUTORS_PER_EJECTION - ejected_count, 0
    )
    failure_rates = sorted(outcomes.failure_rate for outcomes in active)
    means_ms = sorted(
        outcomes.mean_service_ms
        for outcomes in active
        if outcomes.mean_service_ms is not None
        and outcomes.calls >= MIN_CALLS_AFTER_EJECTION
    )
    failing = sorted(
        (
            outcomes
            for outcomes in active
            if _is_failing(outcomes, failure_rates)
        ),
        key=lambda outcomes: -outcomes.failure_rate,
    )
    slow = sorted(
        (outcomes for outcomes in active if _is_slow(outcomes, means_ms)),
        key=lambda outcomes: -(outcomes.mean_service_ms or 0.0),
    )
    ejections: dict[str, Ejection] = {}
    for reason, group in (('failing', failing), ('slow', slow)):
        for outcomes in group:
            until_deadline_ms = now_ms + _compute_duration_ms(outcomes, now_ms)
            ejection = Ejection(outcomes.target_id, until_deadline_ms, reason)
            ejections.setdefault(outcomes.target_id, ejection)
    return tuple(ejections.values())[:free_ejections]


def apply_ejection(
    outcomes: OutcomeStatistics, ejection: Ejection, now_ms: int
) -> OutcomeStatistics:
    """Return the statistics of an executor that is ejected now.

    The counts of calls start again from zero, so that only calls after the
    ejection decide about the next one.
    """
    earlier_ejections = (
        0
        if _has_count_expired(outcomes, now_ms)
        else outcomes.consecutive_ejections
    )
    return OutcomeStatistics(
        target_id=outcomes.target_id,
        updated_at_ms=now_ms,
        consecutive_ejections=earlier_ejections + 1,
        ejected_until_deadline_ms=ejection.until_deadline_ms,
    )


def _is_failing(
    outcomes: OutcomeStatistics, failure_rates: list[float]
) -> bool:
    fails_in_row = outcomes.consecutive_failures >= MIN_CONSECUTIVE_FAILURES
    fails_often = (
        _has_evidence(outcomes) and outcomes.failure_rate >= MIN_FAILURE_SHARE
    )
    if not fails_in_row and not fails_often:
        return False
    median_rate = _compute_median_of_others(
        failure_rates, outcomes.failure_rate
    )
    if median_rate is None:
        return False
    return outcomes.failure_rate >= OUTLIER_RATIO * median_rate


def _is_slow(outcomes: OutcomeStatistics, means_ms: list[float]) -> bool:
    mean_ms = outcomes.mean_service_ms
    if mean_ms is None or not _has_evidence(outcomes):
        return False
    median_ms = _compute_median_of_others(means_ms, mean_ms)
    return median_ms is not None and mean_ms > SLOW_RATIO * median_ms


def _compute_median_of_others(
    values: list[float], own_value: float
) -> float | None:
    """Return the median of sorted values without an executor's own value.

    The own value is skipped by its index instead of copying the list,
    because the fleet is examined after every call.

    :param values: ascending values of the fleet
    """
    own_index = bisect.bisect_left(values, own_value)
    is_member = own_index < len(values) and values[own_index] == own_value
    other_count = len(values) - is_member
    if other_count == 0:
        return None

    def get_other(index: int) -> float:
        is_shifted = is_member and index >= own_index
        return values[index + is_shifted]

    return (
        get_other((other_count - 1) // 2) + get_other(other_count // 2)
    ) / 2


def _has_evidence(outcomes: OutcomeStatistics) -> bool:
    needed_calls = (
        MIN_CALLS_AFTER_EJECTION
        if outcomes.consecutive_ejections
        else MIN_CALLS
    )
    # The decay keeps the count just below a whole number.
    return outcomes.calls > needed_calls - 0.5


def _compute_duration_ms(outcomes: OutcomeStatistics, now_ms: int) -> int:
    """Return the duration of an ejection, doubled for each earlier one."""
    earlier_ejections = (
        0
        if _has_count_expired(outcomes, now_ms)
        else outcomes.consecutive_ejections
    )
    return min(
        EJECTION_BASE_MS << min(earlier_ejections, 10), EJECTION_LIMIT_MS
    )


def _has_count_expired(outcomes: OutcomeStatistics, now_ms: int) -> bool:
    """Tell whether the earlier ejections no longer count."""
    return (
        now_ms - outcomes.ejected_until_deadline_ms
        > EJECTION_COUNT_LIFETIME_MS
    )
