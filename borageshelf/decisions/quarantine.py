"""Distinguishes broken workers from jobs that fail on every worker.

The outcome of each attempt is recorded in a contingency table of targets and
job families. A failure counts against the target to the degree that the
family succeeds on other targets, and against the job to the degree that the
target succeeds with other families. A target that is to blame for enough
failures is quarantined. A task that failed on several targets that are not
to blame should not be tried again; its owner ends it.
A ``FailureTable`` is immutable, and every recorded outcome returns a new one.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math
from typing import Final

# Half-life of recorded outcomes (ten minutes), so that failures from before a
# repair stop counting against the worker.
OUTCOME_HALF_LIFE_MS: Final = 600_000
# Sum of the target's blame for its latest failures that leads to quarantine.
# Two such failures are common by chance when one task in ten fails; successes
# reduce the blame.
TARGET_BLAME_LIMIT: Final = 2.2
# A worker that completes more than this share of its latest attempts stays in
# use.
TOLERATED_SUCCESS_SHARE: Final = 0.25
# Number of latest attempts by which a target is judged. With it, a target
# that breaks after a long time of success is recognised after five failures.
LATEST_ATTEMPTS: Final = 6
QUARANTINE_BASE_MS: Final = 60_000
QUARANTINE_LIMIT_MS: Final = 3_600_000
# Beyond this share of quarantined targets, a common cause is more likely than
# that many broken workers, and their capacity is needed.
MAX_QUARANTINED_SHARE: Final = 1 / 3
# A task should end after failures on this many different targets, if the sum
# of the job's blame for them reaches JOB_BLAME_LIMIT. Without other evidence
# the job's blame for one failure is one half.
MIN_FAILED_TARGETS: Final = 3
JOB_BLAME_LIMIT: Final = 1.5


@dataclasses.dataclass(frozen=True)
class Outcomes:
    """Numbers of failed and successful attempts.

    Both are decayed with ``OUTCOME_HALF_LIFE_MS`` up to ``updated_at_ms``.
    """

    failures: float = 0.0
    successes: float = 0.0
    updated_at_ms: int = 0

    def decay(self, now_ms: int) -> 'Outcomes':
        """Return the numbers decayed to a later time."""
        age_ms = max(now_ms - self.updated_at_ms, 0)
        decay_factor = math.exp2(-age_ms / OUTCOME_HALF_LIFE_MS)
        return Outcomes(
            self.failures * decay_factor,
            self.successes * decay_factor,
            now_ms,
        )

    def include(self, succeeded: bool, now_ms: int) -> 'Outcomes':
        """Return the numbers with one more attempt."""
        decayed = self.decay(now_ms)
        return Outcomes(
            decayed.failures + (not succeeded),
            decayed.successes + succeeded,
            now_ms,
        )

    def without(self, part: 'Outcomes', now_ms: int) -> 'Outcomes':
        """Return the numbers without those of a subset."""
        whole, part = self.decay(now_ms), part.decay(now_ms)
        return Outcomes(
            max(whole.failures - part.failures, 0.0),
            max(whole.successes - part.successes, 0.0),
            now_ms,
        )

    def compute_success_share(self) -> float:
        """Return the share of successes; one half without any attempt."""
        total = self.failures + self.successes
        return (self.successes + 0.5) / (total + 1.0)


@dataclasses.dataclass(frozen=True)
class AttemptOutcome:
    """The end of one attempt by success or failure.

    Attempts that were stopped or whose VM was lost are not recorded.
    """

    target_id: str
    family: str
    succeeded: bool
    at_ms: int


@dataclasses.dataclass(frozen=True)
class TargetState:
    """Recorded outcomes and quarantine of one target.

    :param outcomes_by_family: outcomes of the attempts on the target
    :param latest_outcomes: the last ``LATEST_ATTEMPTS`` ones, oldest first
    :param consecutive_quarantines: quarantines without a success in between
    :param on_probation: whether nothing has succeeded since the last
        quarantine began
    """

    outcomes_by_family: Mapping[str, Outcomes] = dataclasses.field(
        default_factory=dict
    )
    latest_outcomes: tuple[AttemptOutcome, ...] = ()
    consecutive_quarantines: int = 0
    quarantined_until_deadline_ms: int = 0
    on_probation: bool = False


@dataclasses.dataclass(frozen=True)
class FailureTable:
    """Outcomes per target and family, and the totals per family.

    :param targets: state by target id
    :param families: outcomes on all targets by family
    """

    targets: Mapping[str, TargetState] = dataclasses.field(
        default_factory=dict
    )
    families: Mapping[str, Outcomes] = dataclasses.field(default_factory=dict)


NO_OUTCOMES: Final = Outcomes()
NO_STATE: Final = TargetState()


def record_outcome(
    table: FailureTable, outcome: AttemptOutcome, fleet_size: int
) -> FailureTable:
    """Record the end of an attempt and quarantine its target if needed.

    :param fleet_size: number of known targets, which bounds the number of
        quarantined ones; see ``MAX_QUARANTINED_SHARE``
    """
    table = _add_outcome(table, outcome)
    state = table.targets[outcome.target_id]
    if outcome.succeeded:
        state = dataclasses.replace(
            state, consecutive_quarantines=0, on_probation=False
        )
    elif _should_quarantine(table, state, outcome, fleet_size):
        state = _start_quarantine(state, outcome.at_ms)
    return dataclasses.replace(
        table, targets={**table.targets, outcome.target_id: state}
    )


def find_state(table: FailureTable, target_id: str) -> TargetState:
    """Return the state of a target, or an empty one if it is unknown."""
    return table.targets.get(target_id, NO_STATE)


def remove_target(table: FailureTable, target_id: str) -> FailureTable:
    """Return the table without a target whose VM was replaced."""
    targets = dict(table.targets)
    targets.pop(target_id, None)
    return dataclasses.replace(table, targets=targets)


def compute_target_blame(
    table: FailureTable, target_id: str, family: str, now_ms: int
) -> float:
    """Return the share of a failure for which the target is to blame.

    Let ``f`` be the success share of the family on other targets and ``t``
    that of the target's latest attempts with other families. The blame is
    ``f (1 - t) / (f (1 - t) + t (1 - f))``, the probability that the target
    is at fault, given that either the target or the job is.

    :return: 0 to 1; the rest of the blame is the job's
    """
    state = find_state(table, target_id)
    here = state.outcomes_by_family.get(family, NO_OUTCOMES)
    everywhere = table.families.get(family, NO_OUTCOMES)
    family_share = everywhere.without(here, now_ms).compute_success_share()
    target_share = _compute_latest_success_share(state, family, now_ms)
    target_odds = family_share * (1.0 - target_share)
    job_odds = target_share * (1.0 - family_share)
    return target_odds / (target_odds + job_odds)


def compute_failure_share(
    table: FailureTable, target_id: str, now_ms: int
) -> float:
    """Return the share of the latest attempts that the target made fail.

    It is 1 for a target on probation.
    """
    state = find_state(table, target_id)
    if state.on_probation:
        return 1.0
    blamed = _sum_target_blame(table, target_id, state, now_ms)
    return blamed / (len(_list_latest(state, now_ms)) + 1.0)


def is_job_at_fault(
    table: FailureTable,
    family: str,
    failed_targets: Sequence[str],
    now_ms: int,
) -> bool:
    """Tell whether a task that failed on these targets should end.

    :param failed_targets: target of each failed attempt; repetitions do not
        count
    """
    distinct_targets = set(failed_targets)
    if len(distinct_targets) < MIN_FAILED_TARGETS:
        return False
    job_blame = sum(
        1.0 - compute_target_blame(table, target_id, family, now_ms)
        for target_id in distinct_targets
    )
    return job_blame >= JOB_BLAME_LIMIT - 0.05


def _add_outcome(table: FailureTable, outcome: AttemptOutcome) -> FailureTable:
    state = find_state(table, outcome.target_id)
    here = state.outcomes_by_family.get(outcome.family, NO_OUTCOMES)
    everywhere = table.families.get(outcome.family, NO_OUTCOMES)
    args = (outcome.succeeded, outcome.at_ms)
    state = dataclasses.replace(
        state,
        latest_outcomes=(*state.latest_outcomes, outcome)[-LATEST_ATTEMPTS:],
        outcomes_by_family={
            **state.outcomes_by_family,
            outcome.family: here.include(*args),
        },
    )
    return FailureTable(
        {**table.targets, outcome.target_id: state},
        {**table.families, outcome.family: everywhere.include(*args)},
    )


def _list_latest(state: TargetState, now_ms: int) -> list[AttemptOutcome]:
    """Return the target's latest outcomes within one half-life."""
    return [
        outcome
        for outcome in state.latest_outcomes
        if outcome.at_ms > now_ms - OUTCOME_HALF_LIFE_MS
    ]


def _compute_latest_success_share(
    state: TargetState, family: str, now_ms: int
) -> float:
    """Return the success share of the latest attempts of other families."""
    successes = [
        outcome.succeeded
        for outcome in _list_latest(state, now_ms)
        if outcome.family != family
    ]
    return (sum(successes) + 0.5) / (len(successes) + 1.0)


def _sum_target_blame(
    table: FailureTable, target_id: str, state: TargetState, now_ms: int
) -> float:
    """Return the sum of the target's blame for its latest failures."""
    return sum(
        compute_target_blame(table, target_id, outcome.family, now_ms)
        for outcome in _list_latest(state, now_ms)
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
    quarantined_count = sum(
        other.quarantined_until_deadline_ms > now_ms
        for other in table.targets.values()
    )
    if quarantined_count + 1 > max(fleet_size * MAX_QUARANTINED_SHARE, 1):
        return False
    blame = compute_target_blame(
        table, outcome.target_id, outcome.family, now_ms
    )
    if state.on_probation:
        return blame >= 0.5
    latest = _list_latest(state, now_ms)
    successes = sum(seen.succeeded for seen in latest)
    if successes > TOLERATED_SUCCESS_SHARE * len(latest):
        return False
    blamed = _sum_target_blame(table, outcome.target_id, state, now_ms)
    return blamed >= TARGET_BLAME_LIMIT


def _start_quarantine(state: TargetState, now_ms: int) -> TargetState:
    """Return the state with a quarantine that doubles at each repetition."""
    duration_ms = min(
        QUARANTINE_BASE_MS << min(state.consecutive_quarantines, 16),
        QUARANTINE_LIMIT_MS,
    )
    return dataclasses.replace(
        state,
        consecutive_quarantines=state.consecutive_quarantines + 1,
        quarantined_until_deadline_ms=now_ms + duration_ms,
        on_probation=True,
    )
