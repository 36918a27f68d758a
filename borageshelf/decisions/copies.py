"""Decides which slow runs get a speculative copy on another target.

Answers loads in which a few tasks in a hundred take several times as long as
their siblings, so that whole steps wait for them. A copy helps if the run is
slow because of its target or by chance, and only costs processors if the work
of its task is long. Which of these holds can't be seen, so it is estimated
from the other runs on the target and from how earlier copies have ended.
"""

from collections import abc
import dataclasses
import enum
import statistics
from typing import Final

# Rules of ``docs/hard-load.md``.
REPORT_AGE_LIMIT_MS: Final = 1_000
COPY_SHARE: Final = 0.1
# Progress is up to this old: inspections wait for up to 1 s, and reports come
# every 400 ms.
REPORT_LAG_MS: Final = 1_400
# Tasks of one step vary by less than this factor, but for stragglers.
STRAGGLER_FACTOR: Final = 2.0
# Time for the commit, the order and the start of a copy.
COPY_START_MS: Final = 300
# A caller that polls does not notice less.
MIN_SAVED_MS: Final = 400
# The lateness that a copy spares is to be at least this share of the processor
# time that it uses.
MIN_GAIN_RATIO: Final = 0.5
# A copy that takes so many times as long as it was expected to shows that its
# task is long.
GIVE_UP_FACTOR: Final = 3
# By the rules of the users' platform a result is of no use after three times
# its objective.
USELESS_FACTOR: Final = 2
# Estimates are off by up to nine tenths, so a task may take ten times as long.
ESTIMATE_ERROR_FACTOR: Final = 10
MIN_SIBLINGS: Final = 2
# Less progress than this tells nothing of the duration of a run.
MIN_GAINED_PERCENT: Final = 5
# Ratio of a run's duration to that of its siblings, or to its estimate, from
# which it is slow, and up to which it is not.
SLOW_RATIO: Final = STRAGGLER_FACTOR
SOUND_RATIO: Final = 1.5
ESTIMATE_SLOW_RATIO: Final = 4.0
ESTIMATE_SOUND_RATIO: Final = 1.9
ESTIMATE_WEIGHT: Final = 0.5
MIN_PEER_WEIGHT: Final = 1.0
# Each outcome weighs this much less with every later one.
RECORD_DECAY: Final = 0.9
# One of so many stragglers that are declined for the record is copied.
PROBE_INTERVAL: Final = 10
# Copies of one task that one owner starts.
TASK_COPIES_LIMIT: Final = 2


class Evidence(enum.Enum):
    """What the other runs on a target say of it."""

    SLOW_TARGET = 'slow target'
    UNKNOWN = 'unknown'
    SOUND_TARGET = 'sound target'


@dataclasses.dataclass(frozen=True)
class Pace:
    """Progress of a run as its owner has seen it.

    :param observed_ms: time for which the owner has watched it
    :param worked_ms: that time until the last change of its progress
    :param gained_percent: progress in that time
    :param progress_percent: all its progress
    """

    observed_ms: int
    worked_ms: int
    gained_percent: int
    progress_percent: int


@dataclasses.dataclass(frozen=True)
class Peer:
    """Another run on the target.

    :param ratio: its duration divided by that of its siblings on other
        targets, or by its estimate
    :param is_estimated: whether it was compared with the estimate
    """

    ratio: float
    is_estimated: bool


@dataclasses.dataclass(frozen=True)
class Record:
    """How the copies of a queue have ended under one kind of evidence.

    :param wins: copies that ended first, older ones weigh less
    :param losses: copies that did not
    :param declined: stragglers declined for this record since the last copy
        that was made in spite of it
    """

    wins: float
    losses: float
    declined: int = 0

    @property
    def probability(self) -> float:
        """Probability that a copy ends before its original."""
        return self.wins / (self.wins + self.losses)


# Assumed outcomes before any copy. They fade like all others, so that a queue
# whose copies lose soon gets none.
PRIORS: Final = {
    Evidence.SLOW_TARGET: Record(2.0, 0.67),
    Evidence.UNKNOWN: Record(2.0, 1.0),
    Evidence.SOUND_TARGET: Record(1.0, 1.5),
}
# A copy that is not worth it with this probability is not declined because of
# the record.
EVEN_PROBABILITY: Final = 0.5


@dataclasses.dataclass(frozen=True)
class TaskState:
    """What forbids a copy of a task, whatever it would be worth.

    :param runs: number of runs that may exist
    :param copies_made: number of copies that this owner has started
    """

    is_speculative: bool
    is_gang: bool
    is_lasting: bool
    is_filler: bool
    is_suspect: bool
    failures: int
    attempts_limit: int
    runs: int
    copies_made: int


@dataclasses.dataclass(frozen=True)
class Candidate:
    """The only run of a task.

    :param name: name of the task
    :param size_millicores: declared processors of the task
    :param report_age_ms: age of the last progress report of its target
    :param siblings_ms: durations of runs of the step on other targets, as far
        as known or expected
    :param peers: other runs on its target
    :param objective_left_ms: time until the objective of the workflow
    :param objective_ms: objective of the workflow
    :param later_ms: estimated run time of the steps that wait for its step
    """

    name: str
    state: TaskState
    size_millicores: int
    pace: Pace
    report_age_ms: int
    estimate_ms: int
    siblings_ms: tuple[float, ...]
    peers: tuple[Peer, ...]
    objective_left_ms: int
    objective_ms: int
    later_ms: int


@dataclasses.dataclass(frozen=True)
class Load:
    """The load of the fleet.

    :param short_millicores: processors in use by short tasks without copies
    :param copy_millicores: processors in use by copies
    :param has_waiting: whether tasks wait for capacity
    """

    short_millicores: int
    copy_millicores: int
    has_waiting: bool


class Verdict(enum.Enum):
    """Whether a copy of a run is worth its processors."""

    FORBIDDEN = 'forbidden'
    NOT_SLOW = 'not slow'
    IN_TIME = 'no lateness to spare'
    COSTLY = 'costs more than it spares'
    RECORD = 'earlier copies have lost'
    PROBE = 'tried in spite of the record'
    WORTH = 'worth it'

    @property
    def allows_copy(self) -> bool:
        """Tell whether a copy is made if there is room for it."""
        return self in (Verdict.WORTH, Verdict.PROBE)


@dataclasses.dataclass(frozen=True)
class Assessment:
    """What a copy of a run is expected to bring.

    :param run_left_ms: expected time until the run ends
    :param copy_left_ms: expected time until a copy ends if it wins
    :param saved_ms: lateness of the workflow that it spares then
    :param probability: probability that it wins
    :param gain_ratio: expected saved time by expected processor time
    """

    candidate: Candidate
    verdict: Verdict
    evidence: Evidence = Evidence.UNKNOWN
    run_left_ms: int = 0
    copy_left_ms: int = 0
    saved_ms: int = 0
    probability: float = 0.0
    gain_ratio: float = 0.0


def may_have_copy(state: TaskState) -> bool:
    """Tell whether the rules allow a copy of a task.

    Both runs may fail, and neither may be the last allowed attempt before.
    """
    return (
        state.is_speculative
        and not (state.is_gang or state.is_lasting or state.is_filler)
        and not state.is_suspect
        and state.failures + 2 <= state.attempts_limit
        and state.runs == 1
        and state.copies_made < TASK_COPIES_LIMIT
    )


def compute_min_duration_ms(pace: Pace) -> float:
    """Return the shortest duration of a run that its progress allows."""
    worked_ms = max(pace.worked_ms - REPORT_LAG_MS, 0)
    observed_ms = max(pace.observed_ms - REPORT_LAG_MS, 0)
    percent_ms = observed_ms / (pace.gained_percent + 1)
    if pace.gained_percent > 0:
        percent_ms = max(percent_ms, worked_ms / pace.gained_percent)
    return percent_ms * 100


def may_be_straggler(pace: Pace, siblings_ms: abc.Sequence[float]) -> bool:
    """Tell whether a run is slow, without a look at the rest of its target."""
    if len(siblings_ms) < MIN_SIBLINGS:
        return pace.observed_ms > REPORT_LAG_MS
    limit_ms = STRAGGLER_FACTOR * statistics.median(siblings_ms)
    return compute_min_duration_ms(pace) >= limit_ms


def estimate_duration_ms(pace: Pace) -> float | None:
    """Return the expected duration of a run; None if it is not known."""
    if pace.gained_percent < MIN_GAINED_PERCENT:
        return None
    return max(pace.worked_ms, 1) * 100 / pace.gained_percent


def weigh_peers(peers: abc.Iterable[Peer]) -> Evidence:
    """Return what other runs on a target say of it."""
    slow = sound = 0.0
    for peer in peers:
        weight = ESTIMATE_WEIGHT if peer.is_estimated else 1.0
        slow_ratio = ESTIMATE_SLOW_RATIO if peer.is_estimated else SLOW_RATIO
        sound_ratio = (
            ESTIMATE_SOUND_RATIO if peer.is_estimated else SOUND_RATIO
        )
        if peer.ratio >= slow_ratio:
            slow += weight
        elif peer.ratio <= sound_ratio:
            sound += weight
    if slow >= MIN_PEER_WEIGHT and slow > sound:
        return Evidence.SLOW_TARGET
    if sound >= MIN_PEER_WEIGHT and sound > slow:
        return Evidence.SOUND_TARGET
    return Evidence.UNKNOWN


def note_outcome(record: Record, *, is_won: bool) -> Record:
    """Return the record after one more copy."""
    return Record(
        record.wins * RECORD_DECAY + is_won,
        record.losses * RECORD_DECAY + (not is_won),
        record.declined,
    )


def note_declined(record: Record) -> Record:
    """Return the record after a straggler was declined for it."""
    return dataclasses.replace(record, declined=record.declined + 1)


def note_probe(record: Record) -> Record:
    """Return the record after a copy was made in spite of it."""
    return dataclasses.replace(record, declined=0)


def has_failed(
    copy_pace: Pace, original_pace: Pace, expected_ms: float
) -> bool:
    """Tell whether a copy has shown that it does not help.

    :param expected_ms: its duration that was expected if the first run is at
        fault and not the task
    """
    limit_ms = GIVE_UP_FACTOR * expected_ms + REPORT_LAG_MS
    return copy_pace.observed_ms > limit_ms and _estimate_left_ms(
        copy_pace
    ) >= _estimate_left_ms(original_pace)


def assess(
    candidate: Candidate, records: abc.Mapping[Evidence, Record]
) -> Assessment:
    """Decide whether a copy of a run is worth its processors."""
    if (
        not may_have_copy(candidate.state)
        or candidate.report_age_ms >= REPORT_AGE_LIMIT_MS
    ):
        return Assessment(candidate, Verdict.FORBIDDEN)
    evidence = weigh_peers(candidate.peers)
    copy_ms = _estimate_copy_ms(candidate, evidence)
    min_duration_ms = compute_min_duration_ms(candidate.pace)
    if min_duration_ms < STRAGGLER_FACTOR * copy_ms:
        return Assessment(candidate, Verdict.NOT_SLOW, evidence)
    run_left_ms = _estimate_left_ms(candidate.pace)
    copy_left_ms = copy_ms + COPY_START_MS
    saved_ms = _compute_lateness_ms(
        candidate, run_left_ms
    ) - _compute_lateness_ms(candidate, copy_left_ms)
    record = records.get(evidence, PRIORS[evidence])
    gain_ratio = _compute_gain_ratio(
        record.probability, saved_ms, run_left_ms, copy_left_ms
    )
    even_ratio = _compute_gain_ratio(
        EVEN_PROBABILITY, saved_ms, run_left_ms, copy_left_ms
    )
    if saved_ms < MIN_SAVED_MS:
        verdict = Verdict.IN_TIME
    elif gain_ratio >= MIN_GAIN_RATIO:
        verdict = Verdict.WORTH
    elif even_ratio < MIN_GAIN_RATIO:
        verdict = Verdict.COSTLY
    elif record.declined >= PROBE_INTERVAL:
        verdict = Verdict.PROBE
    else:
        verdict = Verdict.RECORD
    return Assessment(
        candidate,
        verdict,
        evidence,
        round(run_left_ms),
        round(copy_left_ms),
        round(saved_ms),
        round(record.probability, 3),
        round(gain_ratio, 3),
    )


def choose_copies(
    assessments: abc.Iterable[Assessment], load: Load
) -> list[Assessment]:
    """Return the runs to copy, those that gain most by processor first."""
    if load.has_waiting:
        return []
    left_millicores = load.short_millicores * COPY_SHARE - load.copy_millicores
    chosen = []
    for assessment in sorted(assessments, key=lambda item: -item.gain_ratio):
        size_millicores = assessment.candidate.size_millicores
        if assessment.verdict.allows_copy and (
            size_millicores <= left_millicores
        ):
            left_millicores -= size_millicores
            chosen.append(assessment)
    return chosen


def _estimate_copy_ms(candidate: Candidate, evidence: Evidence) -> float:
    """Return the expected duration of a copy if the run is at fault."""
    if len(candidate.siblings_ms) >= MIN_SIBLINGS:
        return statistics.median(candidate.siblings_ms)
    duration_ms = estimate_duration_ms(candidate.pace)
    slow_ratios = [
        peer.ratio
        for peer in candidate.peers
        if not peer.is_estimated and peer.ratio >= SLOW_RATIO
    ]
    if evidence is Evidence.SLOW_TARGET and slow_ratios and duration_ms:
        return duration_ms / statistics.median(slow_ratios)
    return float(candidate.estimate_ms * ESTIMATE_ERROR_FACTOR)


def _estimate_left_ms(pace: Pace) -> float:
    """Return the expected time until a run ends."""
    # The next percent has not come yet.
    percent_ms = pace.observed_ms / (pace.gained_percent + 0.5)
    return max(
        percent_ms * (100 - pace.progress_percent) - REPORT_LAG_MS / 2, 0.0
    )


def _compute_lateness_ms(candidate: Candidate, left_ms: float) -> float:
    """Return the lateness of the workflow if a task ends in some time."""
    late_ms = left_ms + candidate.later_ms - candidate.objective_left_ms
    return min(max(late_ms, 0.0), candidate.objective_ms * USELESS_FACTOR)


def _compute_gain_ratio(
    probability: float,
    saved_ms: float,
    run_left_ms: float,
    copy_left_ms: float,
) -> float:
    """Return the expected saved time by the processor time of a copy."""
    lost_ms = min(run_left_ms, copy_left_ms * GIVE_UP_FACTOR)
    cost_ms = probability * copy_left_ms + (1 - probability) * lost_ms
    return probability * saved_ms / max(cost_ms, 1.0)
