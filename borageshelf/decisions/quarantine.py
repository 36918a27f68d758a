"""Tells workers that fail everything from jobs that can never run.

Every end of an attempt is entered into a cross table of targets and job
families. A failure is blamed on the target as far as the family succeeds
elsewhere and on the job as far as the target succeeds with other families.
A target with enough blame is quarantined; a task that failed on several
targets which were not to blame is hopeless and is ended by its owner.
A ``FailureTable`` is immutable, and every observation returns a new one.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math
from typing import Final

# Evidence halves in ten minutes: a worker that was repaired is not held
# responsible for yesterday.
HALF_LIFE_MS: Final = 600_000
# Blamed failures, less blamed successes, that lead to quarantine. Two are
# common by chance with tasks that fail one time in ten.
BLAME_LIMIT: Final = 2.2
# A worker that still finishes this share of its latest attempts stays in use.
TOLERATED_SUCCESS_SHARE: Final = 0.25
# Only the latest attempts count for a target, so one that breaks after a long
# time of success is recognised after five failures.
LATEST_ATTEMPTS: Final = 6
QUARANTINE_BASE_MS: Final = 60_000
LONGEST_QUARANTINE_MS: Final = 3_600_000
# With more targets in quarantine than this share, a common cause is likelier
# than so many broken workers, and the capacity is needed.
LARGEST_QUARANTINED_SHARE: Final = 1 / 3
# A task is hopeless after failures on this many targets ...
DISTINCT_TARGETS: Final = 3
# ... if the job is to blame for at least this much of them in sum. Without
# any other evidence each failure counts half.
JOB_BLAME_LIMIT: Final = 1.5


@dataclasses.dataclass(frozen=True)
class Outcomes:
    """Decayed numbers of ended attempts."""

    failures: float = 0.0
    successes: float = 0.0
    updated_at_ms: int = 0

    def decay(self, now_ms: int) -> 'Outcomes':
        """Return the numbers as they count at a later time."""
        age_ms = max(now_ms - self.updated_at_ms, 0)
        factor = math.exp2(-age_ms / HALF_LIFE_MS)
        return Outcomes(
            self.failures * factor, self.successes * factor, now_ms
        )

    def include(self, succeeded: bool, now_ms: int) -> 'Outcomes':
        """Return the numbers with one more attempt."""
        now = self.decay(now_ms)
        return Outcomes(
            now.failures + (not succeeded), now.successes + succeeded, now_ms
        )

    def without(self, part: 'Outcomes', now_ms: int) -> 'Outcomes':
        """Return the numbers less those of a part."""
        whole, part = self.decay(now_ms), part.decay(now_ms)
        return Outcomes(
            max(whole.failures - part.failures, 0.0),
            max(whole.successes - part.successes, 0.0),
            now_ms,
        )

    def find_success_share(self) -> float:
        """Return the share of successes; one half without evidence."""
        total = self.failures + self.successes
        return (self.successes + 0.5) / (total + 1.0)


@dataclasses.dataclass(frozen=True)
class AttemptOutcome:
    """The end of one attempt; stops and lost VMs are not outcomes."""

    target_id: str
    family: str
    succeeded: bool
    at_ms: int


@dataclasses.dataclass(frozen=True)
class TargetState:
    """Everything known about one target.

    :param cells: outcomes by family
    :param latest: its latest outcomes, oldest first
    :param consecutive_quarantines: quarantines without a success in between
    :param on_probation: whether no success followed the last quarantine
    """

    cells: Mapping[str, Outcomes] = dataclasses.field(default_factory=dict)
    latest: tuple[AttemptOutcome, ...] = ()
    consecutive_quarantines: int = 0
    quarantined_until_deadline_ms: int = 0
    on_probation: bool = False


@dataclasses.dataclass(frozen=True)
class FailureTable:
    """The cross table with its margins."""

    targets: Mapping[str, TargetState] = dataclasses.field(
        default_factory=dict
    )
    families: Mapping[str, Outcomes] = dataclasses.field(default_factory=dict)


NO_OUTCOMES: Final = Outcomes()
NO_STATE: Final = TargetState()


def record_outcome(
    table: FailureTable, outcome: AttemptOutcome, fleet_size: int
) -> FailureTable:
    """Enter the end of an attempt and quarantine its target if needed.

    :param fleet_size: number of known targets, for the floor
    """
    table = _count(table, outcome)
    state = table.targets[outcome.target_id]
    if outcome.succeeded:
        state = dataclasses.replace(
            state, consecutive_quarantines=0, on_probation=False
        )
    elif _should_quarantine(table, state, outcome, fleet_size):
        state = _quarantine(state, outcome.at_ms)
    return dataclasses.replace(
        table, targets={**table.targets, outcome.target_id: state}
    )


def find_state(table: FailureTable, target_id: str) -> TargetState:
    """Return the state of a target; that of a new one if unknown."""
    return table.targets.get(target_id, NO_STATE)


def remove_target(table: FailureTable, target_id: str) -> FailureTable:
    """Return the table without a target, after its VM was replaced."""
    targets = dict(table.targets)
    targets.pop(target_id, None)
    return dataclasses.replace(table, targets=targets)


def find_target_blame(
    table: FailureTable, target_id: str, family: str, now_ms: int
) -> float:
    """Return the share of a failure for which the target is to blame.

    With success share ``f`` of the family on other targets and ``t`` of the
    target's latest attempts with other families, the target's share is
    ``f (1 - t) / (f (1 - t) + t (1 - f))``, the probability that it is the
    broken one if exactly one of both is.
    """
    state = find_state(table, target_id)
    cell = state.cells.get(family, NO_OUTCOMES)
    everywhere = table.families.get(family, NO_OUTCOMES)
    elsewhere = everywhere.without(cell, now_ms).find_success_share()
    others = _find_latest_success_share(state, family, now_ms)
    target_odds = elsewhere * (1.0 - others)
    job_odds = others * (1.0 - elsewhere)
    return target_odds / (target_odds + job_odds)


def find_failure_share(
    table: FailureTable, target_id: str, now_ms: int
) -> float:
    """Return the share of attempts that failed by the target's fault."""
    state = find_state(table, target_id)
    if state.on_probation:
        return 1.0
    blamed = _find_blamed_failures(table, target_id, state, now_ms)
    return blamed / (len(_find_latest(state, now_ms)) + 1.0)


def is_job_at_fault(
    table: FailureTable,
    family: str,
    failed_targets: Sequence[str],
    now_ms: int,
) -> bool:
    """Tell whether a task that failed on these targets should end.

    :param failed_targets: one entry for each failed attempt
    """
    distinct = set(failed_targets)
    if len(distinct) < DISTINCT_TARGETS:
        return False
    blame = sum(
        1.0 - find_target_blame(table, target_id, family, now_ms)
        for target_id in distinct
    )
    return blame >= JOB_BLAME_LIMIT - 0.05


def _count(table: FailureTable, outcome: AttemptOutcome) -> FailureTable:
    state = find_state(table, outcome.target_id)
    cell = state.cells.get(outcome.family, NO_OUTCOMES)
    family = table.families.get(outcome.family, NO_OUTCOMES)
    args = (outcome.succeeded, outcome.at_ms)
    state = dataclasses.replace(
        state,
        latest=(*state.latest, outcome)[-LATEST_ATTEMPTS:],
        cells={**state.cells, outcome.family: cell.include(*args)},
    )
    return FailureTable(
        {**table.targets, outcome.target_id: state},
        {**table.families, outcome.family: family.include(*args)},
    )


def _find_latest(state: TargetState, now_ms: int) -> list[AttemptOutcome]:
    """Return the target's latest outcomes that are not too old."""
    return [
        outcome
        for outcome in state.latest
        if outcome.at_ms > now_ms - HALF_LIFE_MS
    ]


def _find_latest_success_share(
    state: TargetState, family: str, now_ms: int
) -> float:
    """Return the success share of other families' latest attempts."""
    others = [
        outcome.succeeded
        for outcome in _find_latest(state, now_ms)
        if outcome.family != family
    ]
    return (sum(others) + 0.5) / (len(others) + 1.0)


def _find_blamed_failures(
    table: FailureTable, target_id: str, state: TargetState, now_ms: int
) -> float:
    return sum(
        find_target_blame(table, target_id, outcome.family, now_ms)
        for outcome in _find_latest(state, now_ms)
        if not outcome.succeeded
    )


def _should_quarantine(
    table: FailureTable,
    state: TargetState,
    outcome: AttemptOutcome,
    fleet_size: int,
) -> bool:
    now_ms = outcome.at_ms
    if state.quarantined_until_deadline_ms > now_ms:
        return False
    quarantined = sum(
        other.quarantined_until_deadline_ms > now_ms
        for other in table.targets.values()
    )
    if quarantined + 1 > max(fleet_size * LARGEST_QUARANTINED_SHARE, 1):
        return False
    blame = find_target_blame(table, outcome.target_id, outcome.family, now_ms)
    if state.on_probation:
        return blame >= 0.5
    latest = _find_latest(state, now_ms)
    successes = sum(seen.succeeded for seen in latest)
    if successes > TOLERATED_SUCCESS_SHARE * len(latest):
        return False
    blamed = _find_blamed_failures(table, outcome.target_id, state, now_ms)
    return blamed >= BLAME_LIMIT


def _quarantine(state: TargetState, now_ms: int) -> TargetState:
    """Exclude the target, twice as long for each repetition."""
    length_ms = min(
        QUARANTINE_BASE_MS << min(state.consecutive_quarantines, 16),
        LONGEST_QUARANTINE_MS,
    )
    return dataclasses.replace(
        state,
        consecutive_quarantines=state.consecutive_quarantines + 1,
        quarantined_until_deadline_ms=now_ms + length_ms,
        on_probation=True,
    )
