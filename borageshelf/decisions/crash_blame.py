"""Decides which tasks are to blame for the crashes of executors.

A task may crash every executor that starts it, and everything else on the
executor is lost with it. A crash alone does not tell which of its tasks caused
it, and executors also crash by themselves.

Each crash is therefore weighed as evidence against every task that ran there,
by Bayes' rule. The competing causes are a crash of the executor by itself, at
the rate seen in the fleet, and every other task, by how likely it is to be
deadly already. Nothing is known of the run time after which a deadly task
crashes its executor, so all orders of magnitude are equally likely, and a run
that has just started is a likelier cause than one that has lasted.

A task with some evidence against it is a suspect. It is started again in
isolation: no other suspect runs on its target, and nothing is placed beside it
for a while. This protects other work, and makes the next crash, if one comes,
strong evidence. The rarer crashes are otherwise, the fewer it takes. Where
executors crash all the time, evidence is weak; there a task is also at fault
if executors crash at its start again and again.

On a fleet of few executors, sound tasks are beside deadly ones at many crashes
and look as likely. So a task under which three executors have crashed starts
only where no other run is young: the next crash has no other candidate, and a
sound task is not there at the crashes of others.
"""

from collections import abc
import dataclasses
import math
from typing import Final

# Odds of a task to be deadly before any crash.
PRIOR_ODDS: Final = 1e-3
# Natural logarithm of the ratio between the longest and the shortest run time
# after which a deadly task crashes its executor (20 s and 0.1 s).
AGE_SPAN: Final = 5.3
# Agents report a crash about this long after it.
MIN_AGE_MS: Final = 200
# Assumed where the age of a run at the crash is not known.
UNKNOWN_AGE_MS: Final = 2_000
# Evidence is a decimal logarithm of a likelihood ratio.
SUSPECT_EVIDENCE: Final = 1.5
FAULT_EVIDENCE: Final = 5.0
# Few executors crash by themselves within this time after a start, even if
# they crash every ten seconds.
QUICK_AGE_MS: Final = 300
QUICK_CRASHES_LIMIT: Final = 3
# Such a crash counts as quick only against a task that is so much likelier to
# have caused it than any other. Where executors are few, all that waits starts
# at once when one is back, and the sound tasks among it meet as many crashes
# just after their start as the deadly one.
QUICK_RATIO: Final = 2.0
# The users' rules allow two more starts after the third crash. A crash long
# after the start does not count, as among executors that crash by themselves
# a longer task meets many. Neither does one that another task has probably
# caused.
CRASHES_LIMIT: Final = 5
COUNTED_AGE_MS: Final = 2_000
EXPLAINED_SHARE: Final = 0.5
COUNTED_RATIO: Final = 0.1
# Time for a task to crash its executor just after its start, and for the agent
# to report it.
ISOLATION_MS: Final = 800
# A workflow must have a run within 3 s if there is room, by the rules of the
# users' platform. A suspect that has found no target for isolation by then is
# started beside other work.
ISOLATION_WAIT_MS: Final = 1_200
# A task with so many counted crashes may be started only once or twice more,
# so these starts have to tell whether it is deadly: it waits for longer, and
# starts only where no run is young enough to share the blame. The users' rule
# on work without any run counts at the end of a day; for a lasting task it
# begins to count 6 s after its last run.
STRONG_SUSPECT_CRASHES: Final = 3
# Another task may explain a crash that this one has caused as well. After so
# many crashes, whatever explains them, only one more start is allowed.
LAST_START_CRASHES: Final = 4
STRICT_ISOLATION_WAIT_MS: Final = 10_000
LASTING_ISOLATION_WAIT_MS: Final = 5_000
# After a change of the owner, which itself takes up to 3 s. The users' rule on
# lasting tasks counts from 4 s after the end of its cause.
RESTORED_ISOLATION_WAIT_MS: Final = 3_000
# Crashes after which the isolation covers the whole run.
LONG_ISOLATION_CRASHES: Final = 2
# A lasting task that runs for this long is taken for sound.
SOUND_RUN_MS: Final = 5_000
# Estimates of run times are often too low by half.
ESTIMATE_FACTOR: Final = 2


@dataclasses.dataclass(frozen=True)
class History:
    """Crashes of executors under one task.

    :param crashes: number of executors that crashed under the task and may
        have done so because of it
    :param quick_crashes: number of executors that crashed just after the task
        had been started there, with no other task as likely to be the cause
    :param evidence: decimal logarithm of how much likelier these crashes are
        if the task is deadly than if it is not
    :param is_suspect: whether the task has to be started in isolation
    :param early_crashes: number of executors that crashed early in its runs,
        also of those that another task has probably crashed
    """

    crashes: int = 0
    quick_crashes: int = 0
    evidence: float = 0.0
    is_suspect: bool = False
    early_crashes: int = 0

    @property
    def is_strong_suspect(self) -> bool:
        """Tell whether the next crash has to leave no doubt."""
        return (
            self.crashes >= STRONG_SUSPECT_CRASHES
            or self.early_crashes >= LAST_START_CRASHES
        )

    @property
    def is_at_fault(self) -> bool:
        """Tell whether the task must not be started again."""
        return (
            self.evidence >= FAULT_EVIDENCE
            or self.quick_crashes >= QUICK_CRASHES_LIMIT
            or self.crashes >= CRASHES_LIMIT
        )


NO_CRASHES: Final = History()


@dataclasses.dataclass(frozen=True)
class CrashedRun:
    """A run on an executor that has crashed.

    :param history: earlier crashes under its task
    :param age_ms: how long it had run; None if this is not known
    :param is_isolated: whether no other suspect was there, but for those of
        its workflow
    """

    history: History
    age_ms: int | None
    is_isolated: bool = False


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What a crash says about the tasks that ran on the executor.

    :param histories: the tasks' histories after it, in the order of the runs
    :param spontaneous_share: probability that no task has caused it
    """

    histories: tuple[History, ...]
    spontaneous_share: float


def judge_crash(
    runs: abc.Sequence[CrashedRun], spontaneous_per_s: float
) -> Verdict:
    """Judge the crash of an executor.

    :param spontaneous_per_s: how often one executor crashes by itself
    """
    rates = [_compute_crash_rate(run.age_ms) for run in runs]
    expected = [
        _compute_probability(run.history) * rate
        for run, rate in zip(runs, rates, strict=True)
    ]
    total = spontaneous_per_s + sum(expected)
    likeliest = max(expected, default=0.0)
    is_explained = likeliest >= EXPLAINED_SHARE * total
    second_likeliest = max(sorted(expected)[:-1], default=0.0)
    histories = []
    for run, rate, own in zip(runs, rates, expected, strict=True):
        others = max(total - own, spontaneous_per_s)
        evidence = run.history.evidence + math.log10(1 + rate / others)
        is_quick = run.age_ms is not None and run.age_ms <= QUICK_AGE_MS
        is_early = run.age_ms is None or run.age_ms <= COUNTED_AGE_MS
        is_counted = is_quick or (
            is_early and (not is_explained or own >= COUNTED_RATIO * likeliest)
        )
        crashes = run.history.crashes + is_counted
        early_crashes = run.history.early_crashes + is_early
        if run.is_isolated and early_crashes >= CRASHES_LIMIT:
            # Nothing else explains this one.
            crashes = max(crashes, CRASHES_LIMIT)
        history = History(
            crashes,
            run.history.quick_crashes
            + (is_quick and own >= QUICK_RATIO * second_likeliest),
            evidence,
            run.history.is_suspect or evidence >= SUSPECT_EVIDENCE,
            early_crashes,
        )
        histories.append(
            dataclasses.replace(
                history,
                is_suspect=history.is_suspect or history.is_strong_suspect,
            )
        )
    return Verdict(tuple(histories), spontaneous_per_s / total)


def _compute_probability(history: History) -> float:
    """Return the probability that a task is deadly."""
    odds = PRIOR_ODDS * math.pow(10, min(history.evidence, FAULT_EVIDENCE))
    return odds / (1 + odds)


def _compute_crash_rate(age_ms: int | None) -> float:
    """Return how often a deadly task crashes at an age, per second."""
    if age_ms is None:
        age_ms = UNKNOWN_AGE_MS
    return 1000 / (AGE_SPAN * max(age_ms, MIN_AGE_MS))


def clear_suspicion(history: History) -> History:
    """Return the history after a run that has outlasted its isolation."""
    return dataclasses.replace(history, is_suspect=history.is_strong_suspect)


def compute_isolation_wait_ms(
    history: History, is_lasting: bool, is_restored: bool = False
) -> int:
    """Return how long a suspect waits for a target to be isolated on.

    :param is_restored: whether a new owner sets the wait
    """
    if not history.is_strong_suspect:
        return ISOLATION_WAIT_MS
    if is_lasting:
        return (
            RESTORED_ISOLATION_WAIT_MS
            if is_restored
            else LASTING_ISOLATION_WAIT_MS
        )
    return STRICT_ISOLATION_WAIT_MS


def compute_isolation_ms(
    history: History, estimate_ms: int, is_lasting: bool
) -> int:
    """Return how long a suspect stays in isolation after its start.

    :param estimate_ms: estimated run time of the task
    """
    if history.crashes < LONG_ISOLATION_CRASHES:
        return ISOLATION_MS
    if is_lasting:
        return SOUND_RUN_MS
    isolation_ms = ISOLATION_MS + ESTIMATE_FACTOR * estimate_ms
    if history.is_strong_suspect:
        # Covers all ages at which a crash would count against the task.
        isolation_ms = max(isolation_ms, ISOLATION_MS + COUNTED_AGE_MS)
    return isolation_ms
