"""Ejection of executors that fail or are slow.

Consumes the outcome of each call and decides at intervals which executors
receive no new calls for a while. An executor is compared with the others, so
a fault of the calls themselves, which shows everywhere, ejects nobody.
"""

import bisect
from collections.abc import Sequence
import dataclasses
from typing import Final

HALF_LIFE_MS: Final = 5_000
# With exponential service times, the mean of 20 calls exceeds twice its
# expectation in about one of 10,000 samples.
MINIMUM_CALLS: Final = 20.0
# An executor that was ejected before is judged on less evidence.
PROBATION_CALLS: Final = 5.0
CONSECUTIVE_FAILURES: Final = 5
FAILURE_RATE: Final = 0.5
SLOW_RATIO: Final = 2.0
# An executor that fails or is slow on half of the fleet's scale is an
# outlier only against executors that are not.
OUTLIER_RATIO: Final = 2.0
EJECTION_BASE_MS: Final = 5_000
EJECTION_LIMIT_MS: Final = 120_000
# After this time without an ejection the next one is short again.
FORGIVENESS_MS: Final = 600_000
# At most one executor in this many is ejected at a time.
EJECTED_FRACTION: Final = 3


@dataclasses.dataclass(frozen=True)
class OutcomeStatistics:
    """Decayed outcomes of one executor.

    :param calls: calls that ended, decayed with ``HALF_LIFE_MS``
    :param failures: failed calls among them
    :param service_ms: sum of the service times of the other calls
    :param ejections: ejections in a row, which lengthen the next one
    """

    target_id: str
    calls: float = 0.0
    failures: float = 0.0
    service_ms: float = 0.0
    consecutive_failures: int = 0
    updated_at_ms: int = 0
    ejections: int = 0
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
    kept = 0.5 ** (age_ms / HALF_LIFE_MS)
    streak = outcomes.consecutive_failures + 1 if failed else 0
    return dataclasses.replace(
        outcomes,
        calls=outcomes.calls * kept + 1,
        failures=outcomes.failures * kept + failed,
        service_ms=outcomes.service_ms * kept + (not failed) * service_ms,
        consecutive_failures=streak,
        updated_at_ms=now_ms,
    )


def choose_ejections(
    fleet: Sequence[OutcomeStatistics], now_ms: int
) -> tuple[Ejection, ...]:
    """Return the executors to eject now, worst first.

    Failing executors come before slow ones. At most a third of the fleet is
    ejected at a time, counting earlier ejections that still run.

    :param fleet: statistics of all executors that are not leaving
    """
    active = [
        outcomes
        for outcomes in fleet
        if outcomes.ejected_until_deadline_ms <= now_ms
    ]
    already = len(fleet) - len(active)
    room = max(len(fleet) // EJECTED_FRACTION - already, 0)
    rates = sorted(outcomes.failure_rate for outcomes in active)
    means_ms = sorted(
        outcomes.mean_service_ms
        for outcomes in active
        if outcomes.mean_service_ms is not None
        and outcomes.calls >= PROBATION_CALLS
    )
    failing = sorted(
        (outcomes for outcomes in active if _is_failing(outcomes, rates)),
        key=lambda outcomes: -outcomes.failure_rate,
    )
    slow = sorted(
        (outcomes for outcomes in active if _is_slow(outcomes, means_ms)),
        key=lambda outcomes: -(outcomes.mean_service_ms or 0.0),
    )
    ejections: dict[str, Ejection] = {}
    for reason, group in (('failing', failing), ('slow', slow)):
        for outcomes in group:
            until_ms = now_ms + _find_duration_ms(outcomes, now_ms)
            ejection = Ejection(outcomes.target_id, until_ms, reason)
            ejections.setdefault(outcomes.target_id, ejection)
    return tuple(ejections.values())[:room]


def apply_ejection(
    outcomes: OutcomeStatistics, ejection: Ejection, now_ms: int
) -> OutcomeStatistics:
    """Return the statistics of an ejected executor.

    The counts start again from zero: the executor is judged after its
    return by new calls only.
    """
    row = 0 if _is_forgiven(outcomes, now_ms) else outcomes.ejections
    return OutcomeStatistics(
        target_id=outcomes.target_id,
        updated_at_ms=now_ms,
        ejections=row + 1,
        ejected_until_deadline_ms=ejection.until_deadline_ms,
    )


def _is_failing(outcomes: OutcomeStatistics, rates: list[float]) -> bool:
    in_row = outcomes.consecutive_failures >= CONSECUTIVE_FAILURES
    rated = _has_evidence(outcomes) and outcomes.failure_rate >= FAILURE_RATE
    if not in_row and not rated:
        return False
    common_rate = _find_median_of_others(rates, outcomes.failure_rate)
    if common_rate is None:
        return False
    return outcomes.failure_rate >= OUTLIER_RATIO * common_rate


def _is_slow(outcomes: OutcomeStatistics, means_ms: list[float]) -> bool:
    mean_ms = outcomes.mean_service_ms
    if mean_ms is None or not _has_evidence(outcomes):
        return False
    common_ms = _find_median_of_others(means_ms, mean_ms)
    return common_ms is not None and mean_ms > SLOW_RATIO * common_ms


def _find_median_of_others(
    values: list[float], own_value: float
) -> float | None:
    """Return the median of sorted values without one's own.

    It is found by position, because a fleet is judged after each call.
    """
    place = bisect.bisect_left(values, own_value)
    is_member = place < len(values) and values[place] == own_value
    count = len(values) - is_member
    if count == 0:
        return None

    def find_value(position: int) -> float:
        skipped = is_member and position >= place
        return values[position + skipped]

    return (find_value((count - 1) // 2) + find_value(count // 2)) / 2


def _has_evidence(outcomes: OutcomeStatistics) -> bool:
    needed = PROBATION_CALLS if outcomes.ejections else MINIMUM_CALLS
    # The decay keeps the count just below a whole number.
    return outcomes.calls > needed - 0.5


def _find_duration_ms(outcomes: OutcomeStatistics, now_ms: int) -> int:
    row = 0 if _is_forgiven(outcomes, now_ms) else outcomes.ejections
    return min(EJECTION_BASE_MS << min(row, 10), EJECTION_LIMIT_MS)


def _is_forgiven(outcomes: OutcomeStatistics, now_ms: int) -> bool:
    return now_ms - outcomes.ejected_until_deadline_ms > FORGIVENESS_MS
