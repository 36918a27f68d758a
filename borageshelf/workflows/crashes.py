"""Crashes of executors: which tasks are suspected, isolated and given up.

Part of the owner's core; does no I/O. ``decisions.crash_blame`` decides, and
this module applies its decisions to tasks and targets.
"""

import collections
from collections import abc
from typing import Final

from borageshelf import clock
from borageshelf.decisions import crash_blame
from borageshelf.decisions import target_health
from borageshelf.workflows import fleet
from borageshelf.workflows import jobs
from borageshelf.workflows import targets

# Share of a service's targets that may be in isolation at a time. The others
# remain for all other work.
ISOLATED_TARGETS_RATIO: Final = 1 / 2
# Fewer than this share of a service's targets are withheld because of crashes.
UNSTABLE_TARGETS_RATIO: Final = 1 / 4
# A run that has lasted longer is less likely to crash its executor.
YOUNG_RUN_MS: Final = 1_000
# Time for the runs on a target to become too old for a crash to count against
# them, and for the agent to list them.
HOLD_MS: Final = crash_blame.COUNTED_AGE_MS + 500
# Executors crash by themselves about as often as in this time before.
CRASH_RATE_WINDOW_MS: Final = 30_000
# A crash with at least this probability that no task has caused it is put down
# to the executor.
SPONTANEOUS_SHARE: Final = 0.5
# Crashes in the whole fleet that are assumed beside the known ones, because a
# wave of crashes begins before its rate is known.
ASSUMED_CRASHES: Final = 3


class CrashTracker:
    """Attributes crashes to tasks, and isolates the suspected ones.

    :param record: writes the log line of a decision
    """

    def __init__(
        self, known_fleet: fleet.Fleet, record: abc.Callable[..., None]
    ) -> None:
        self._fleet = known_fleet
        self._record = record
        # Elapsed time of each recent crash, oldest first, and the probability
        # that no task has caused it.
        self._spontaneous: collections.deque[tuple[int, float]] = (
            collections.deque()
        )
        self._lasting_runs: list[jobs.Run] = []

    def record_crash(
        self,
        target: targets.Target,
        runs: abc.Sequence[jobs.Run],
        crashed_at_ms: int | None,
        moment: clock.Moment,
    ) -> list[jobs.Task]:
        """Record the crash of an executor under some runs.

        :param crashed_at_ms: elapsed time of the crash; None if not known
        :return: the tasks that must not be started again
        """
        now_ms = moment.elapsed_ms
        if not runs:
            if crashed_at_ms is not None:
                self._note_spontaneous_crash(target, now_ms)
            return []
        verdict = crash_blame.judge_crash(
            [
                crash_blame.CrashedRun(
                    run.task.crash_history,
                    _find_age_ms(run, crashed_at_ms),
                    run.is_isolated,
                )
                for run in runs
            ],
            self._estimate_spontaneous_rate(now_ms),
        )
        target.spontaneous_crashes += verdict.spontaneous_share
        if verdict.spontaneous_share >= SPONTANEOUS_SHARE:
            self._note_spontaneous_crash(target, now_ms)
        self._spontaneous.append((now_ms, verdict.spontaneous_share))
        at_fault = []
        for run, history in zip(runs, verdict.histories, strict=True):
            task = run.task
            task.set_crash_history(history)
            if not (history.is_suspect or history.crashes):
                continue
            is_lasting = task.group.step.is_lasting
            task.isolation_wait_deadline_ms = (
                # Lasting tasks may be without a run for a limited time, which
                # begins with the crash and not with the news of it.
                _find_crash_time_ms(target, run, crashed_at_ms)
                if is_lasting
                else now_ms
            ) + crash_blame.compute_isolation_wait_ms(history, is_lasting)
            self._record(
                'crash counted',
                workflow=task.group.job.workflow_id,
                task=task.name,
                attempt=run.attempt,
                target=target.target_id,
                crashes=history.crashes,
                early_crashes=history.early_crashes,
                quick_crashes=history.quick_crashes,
                evidence=round(history.evidence, 1),
                is_isolated=run.is_isolated,
                is_suspect=history.is_suspect,
            )
            if history.is_at_fault:
                at_fault.append(task)
        return at_fault

    def _note_spontaneous_crash(
        self, target: targets.Target, now_ms: int
    ) -> None:
        """Place nothing for a while on a target that goes on to crash.

        Most targets stay in use: a task that crashes executors would meet all
        sound work on the few that are left.
        """
        stability = target_health.record_crash(target.stability, now_ms)
        others = [
            other
            for other in self._fleet.targets.values()
            if other.service == target.service and other is not target
        ]
        unstable_count = 1 + sum(
            other.stability.is_suspect(now_ms) for other in others
        )
        if unstable_count >= (
            len(others) + 1
        ) * UNSTABLE_TARGETS_RATIO and stability.is_suspect(now_ms):
            return
        target.stability = stability
        self._fleet.touch(target)
        if stability.is_suspect(now_ms):
            self._record(
                'target suspect',
                target=target.target_id,
                cause='the executor crashes again and again',
                pause_ms=stability.suspect_deadline_ms - now_ms,
            )

    def _estimate_spontaneous_rate(self, now_ms: int) -> float:
        """Return how often one executor crashes by itself, per second."""
        while self._spontaneous and (
            self._spontaneous[0][0] < now_ms - CRASH_RATE_WINDOW_MS
        ):
            self._spontaneous.popleft()
        crashes = ASSUMED_CRASHES + sum(
            share for _, share in self._spontaneous
        )
        target_s = len(self._fleet.targets) * CRASH_RATE_WINDOW_MS / 1000
        return crashes / max(target_s, 1.0)

    def watch_lasting_run(self, run: jobs.Run) -> None:
        """Forget the crashes under a lasting task once it runs long enough.

        Executors also crash by themselves, and a lasting task meets any
        number of such crashes.
        """
        if run.task.crash_history != crash_blame.NO_CRASHES:
            self._lasting_runs.append(run)

    def forget_crashes(self, now_ms: int) -> None:
        """Forget the crashes under lasting tasks that run long enough."""
        watched, self._lasting_runs = self._lasting_runs, []
        for run in watched:
            task = run.task
            if run.attempt not in task.runs:
                continue
            if not run.is_sent or (
                now_ms - run.started_at_ms < crash_blame.SOUND_RUN_MS
            ):
                self._lasting_runs.append(run)
            elif not run.is_isolated:
                task.set_crash_history(crash_blame.NO_CRASHES)

    def isolate(
        self, target: targets.Target, run: jobs.Run, now_ms: int
    ) -> None:
        """Place nothing else on a target until a suspect has proved sound.

        Suspects of the same workflow may join it, as one that is at fault
        ends the workflow.
        """
        if target.isolated_run is None:
            target.isolation_deadline_ms = 0
        run.is_isolated = True
        target.isolated_run = run
        target.hold_deadline_ms = 0
        target.isolation_deadline_ms = max(
            target.isolation_deadline_ms, now_ms + _compute_isolation_ms(run)
        )
        self._fleet.touch(target)

    def can_isolate(self, service: str, now_ms: int) -> bool:
        """Tell whether one more target of a service may be in isolation."""
        target_count = isolated_count = 0
        for target in self._fleet.targets.values():
            if target.service == service and target.is_ready:
                target_count += 1
                isolated_count += (
                    target.isolated_run is not None or target.is_held(now_ms)
                )
        return isolated_count < max(target_count * ISOLATED_TARGETS_RATIO, 1)

    def hold(self, target: targets.Target, now_ms: int) -> None:
        """Place nothing on a target until its young runs have grown old.

        A strong suspect starts there then, so that a crash leaves no doubt.
        """
        target.hold_deadline_ms = now_ms + HOLD_MS
        self._fleet.touch(target)

    def list_held_targets(
        self, service: str, now_ms: int
    ) -> list[targets.Target]:
        """Return the targets on which nothing but a suspect is placed."""
        return [
            target
            for target in self._fleet.targets.values()
            if target.service == service
            and target.is_held(now_ms)
            and target.can_accept_suspect(now_ms)
        ]

    def end_expired_isolation(
        self, target: targets.Target, now_ms: int
    ) -> None:
        """Clear the suspects of a target if they have run long enough."""
        if (
            target.isolated_run is None
            or now_ms < target.isolation_deadline_ms
        ):
            return
        isolated = list(target.list_isolated_runs())
        if not all(
            target.is_ready
            and run.is_sent
            and (run.is_confirmed or run.task.group.step.is_lasting)
            for run in isolated
        ):
            # A run may not have started yet, or its end is not known yet.
            target.isolation_deadline_ms = now_ms + max(
                map(_compute_isolation_ms, isolated)
            )
            return
        target.isolated_run = None
        self._fleet.touch(target)
        for run in isolated:
            run.is_isolated = False
            task = run.task
            task.set_crash_history(
                crash_blame.clear_suspicion(task.crash_history)
            )
            self._record(
                'suspect cleared',
                workflow=task.group.job.workflow_id,
                task=task.name,
                attempt=run.attempt,
                target=target.target_id,
            )


def _find_age_ms(run: jobs.Run, crashed_at_ms: int | None) -> int | None:
    """Return how long a run had lasted at a crash; None if not known.

    A former owner knew when the runs that it started began.
    """
    if run.is_restored or crashed_at_ms is None:
        return None
    return max(crashed_at_ms - run.started_at_ms, 0)


def _find_crash_time_ms(
    target: targets.Target, run: jobs.Run, crashed_at_ms: int | None
) -> int:
    """Return the earliest time at which a run may have crashed."""
    if crashed_at_ms is not None:
        return crashed_at_ms
    return max(target.contact_at_ms, run.started_at_ms)


def is_young(run: jobs.Run, now_ms: int, limit_ms: int) -> bool:
    """Tell whether a run has just started, as far as its owner knows."""
    is_unlisted = not (run.is_confirmed or run.task.group.step.is_lasting)
    age_ms = now_ms - run.started_at_ms
    return is_unlisted or age_ms <= limit_ms


def _compute_isolation_ms(run: jobs.Run) -> int:
    group = run.task.group
    return crash_blame.compute_isolation_ms(
        run.task.crash_history,
        group.get_estimate_ms(),
        group.step.is_lasting,
    )
