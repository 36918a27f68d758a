"""Places tasks that have waited too long on targets that are withheld.

The owner withholds targets from placement for a while: those that fail, refuse
or stall work, and those that are isolated or held for a task that may crash
executors. Each of these pauses only guesses what serves callers best, and they
may follow each other, so none of them may keep an accepted task from running.
The users' rules ask for a run of each lasting task, and for one run of each
other workflow.

Part of the owner's core; does no I/O.
"""

import collections
from collections import abc
from typing import Final, Protocol

from borageshelf.decisions import crash_blame
from borageshelf.decisions import target_health
from borageshelf.decisions import workflow_placement
from borageshelf.model import workflows
from borageshelf.workflows import fleet
from borageshelf.workflows import jobs
from borageshelf.workflows import targets

# The rules allow a lasting task 9 s after its last run, of which the proof of
# the end of a silent target's runs takes 6 s, and 7 s after a disturbance.
LASTING_WAIT_LIMIT_MS: Final = 3_000
# They allow a workflow 3 s without any run.
WORKFLOW_WAIT_LIMIT_MS: Final = 2_000
# A task is not tried again on withheld targets sooner than this.
RETRY_INTERVAL_MS: Final = 2_000
PASS_INTERVAL_MS: Final = 200
# Limit the time of a pass on a large fleet.
PLACEMENTS_LIMIT: Final = 100
MISFITS_LIMIT: Final = 5
# A group that fitted nowhere leaves the other groups their turn.
MISFIT_PAUSE_MS: Final = 1_000
# A run that has lasted for this long shows that its target is sound.
SOUND_RUN_MS: Final = 2_000

_PREFERRED: Final = workflow_placement.PREFERRED


class Placer(Protocol):
    """Carries out placements."""

    def add_run(
        self, task: jobs.Task, target: targets.Target, now_ms: int
    ) -> jobs.Run:
        """Add the next attempt of a task to a target."""

    def withdraw_run(
        self, run: jobs.Run, target: targets.Target, now_ms: int
    ) -> None:
        """Undo ``add_run``."""

    def order_start(self, run: jobs.Run) -> None:
        """Order the start of an added run."""

    def predict_latency_share(
        self,
        step: workflows.Step,
        target: workflow_placement.Target,
    ) -> float:
        """Predict the latency of a target with one more filler."""


class _Pool:
    """Withheld targets of one service, those that were tried least first.

    :ivar paused: targets that failed, refused or stalled work
    :ivar kept_free: targets that are held or isolated for a suspected task
    """

    def __init__(self) -> None:
        self.paused: collections.deque[targets.Target] = collections.deque()
        self.kept_free: collections.deque[targets.Target] = collections.deque()


class OverduePlacer:
    """Finds overdue tasks, and targets for them among the withheld ones."""

    def __init__(self, known_fleet: fleet.Fleet, placer: Placer) -> None:
        self._fleet = known_fleet
        self._placer = placer
        self._next_pass_ms = 0
        # The withheld targets of each service, and what the current pass may
        # still do.
        self._pools: dict[str, _Pool] = {}
        self._placements_left = 0
        self._misfits_left = 0
        # Runs on paused targets that have not lasted long enough yet.
        self._probes: list[tuple[jobs.Run, targets.Target]] = []

    def begin_pass(self, now_ms: int) -> None:
        """Begin a scheduling pass; most passes leave overdue tasks out."""
        self._pools = {}
        if now_ms < self._next_pass_ms:
            return
        self._next_pass_ms = now_ms + PASS_INTERVAL_MS
        self._placements_left = PLACEMENTS_LIMIT
        self._misfits_left = MISFITS_LIMIT
        self._end_pauses(now_ms)
        withheld = [
            target
            for target in self._fleet.targets.values()
            if target.is_withheld(now_ms)
        ]
        withheld.sort(
            key=lambda target: (
                target.refusal_deadline_ms,
                target.health.suspect_deadline_ms,
            )
        )
        for target in withheld:
            pool = self._pools.setdefault(target.service, _Pool())
            if target.is_kept_free(now_ms):
                pool.kept_free.append(target)
            else:
                pool.paused.append(target)

    def place_group(self, group: jobs.Group, now_ms: int) -> bool:
        """Place the overdue tasks of a group whose turn has come.

        :return: whether any was placed
        """
        pool = self._pools.get(group.job.terms.service)
        if (
            pool is None
            or self._placements_left <= 0
            or self._misfits_left <= 0
            or now_ms < group.overdue_misfit_deadline_ms
        ):
            return False
        overdue = _list_overdue_tasks(group, now_ms)
        if not overdue:
            return False
        placed = self._place(group, overdue, pool, now_ms)
        if len(placed) < len(overdue):
            if self._placements_left > 0:
                self._misfits_left -= 1
                group.overdue_misfit_deadline_ms = now_ms + MISFIT_PAUSE_MS
            if group.step.is_gang:
                for run, target in placed:
                    self._placer.withdraw_run(run, target, now_ms)
                return False
        for run, target in placed:
            self._placer.order_start(run)
            self._probes.append((run, target))
            run.task.overdue_retry_deadline_ms = now_ms + RETRY_INTERVAL_MS
        return bool(placed)

    def _place(
        self,
        group: jobs.Group,
        overdue: abc.Sequence[jobs.Task],
        pool: _Pool,
        now_ms: int,
    ) -> list[tuple[jobs.Run, targets.Target]]:
        """Add runs of the overdue tasks, as far as there is room.

        Tasks are spread over the targets, as it is not known which of them are
        sound. Targets that are kept free for a suspected task come last. Tasks
        that do not last share the blame for a crash, which may end their
        workflow, so they start there only beside runs that have grown old.
        """
        queues = [pool.paused]
        if group.step.is_gang:
            # Its members need room together, also on targets in use.
            index = self._fleet.get_index(group.job.terms.service)
            usable = (
                self._fleet.targets[target.target_id]
                for target in index.list_targets()
            )
            queues.insert(0, collections.deque(usable))
        if not group.step.is_lasting:
            queues.append(
                collections.deque(
                    target
                    for target in pool.kept_free
                    if _has_old_suspects(target, now_ms)
                )
            )
        elif len(self._fleet.targets) > 1:
            # The rules ask for a run only where two targets have room.
            queues.append(pool.kept_free)
        sibling_counts = group.count_runs_by_target()
        placed: list[tuple[jobs.Run, targets.Target]] = []
        for task in overdue:
            if self._placements_left <= 0:
                break
            request = workflow_placement.PlacementRequest(
                group.step, sibling_counts, task.avoided, is_overdue=True
            )
            target = self._choose(request, queues)
            if target is None:
                # Tasks of a step have the same size.
                break
            self._placements_left -= 1
            run = self._placer.add_run(task, target, now_ms)
            sibling_counts[target.target_id] = (
                sibling_counts.get(target.target_id, 0) + 1
            )
            placed.append((run, target))
        return placed

    def _choose(
        self,
        request: workflow_placement.PlacementRequest,
        queues: abc.Iterable[collections.deque[targets.Target]],
    ) -> targets.Target | None:
        """Return the next target with room, or None.

        One on which the task has failed is the last choice of its queue.
        """
        for queue in queues:
            fallback = None
            for position, target in enumerate(queue):
                score = workflow_placement.compute_score(
                    request, target, self._placer.predict_latency_share
                )
                if score is None:
                    continue
                if score[: len(_PREFERRED)] == _PREFERRED:
                    queue.rotate(-position - 1)
                    return target
                fallback = fallback or target
            if fallback is not None:
                return fallback
        return None

    def _end_pauses(self, now_ms: int) -> None:
        """End the pauses of targets on which an overdue task goes on."""
        probes, self._probes = self._probes, []
        for run, target in probes:
            is_over = run.attempt not in run.task.runs
            if is_over or not target.health.is_suspect(now_ms):
                continue
            if not (
                target.is_ready
                and run.is_sent
                and now_ms - run.started_at_ms >= SOUND_RUN_MS
            ):
                self._probes.append((run, target))
                continue
            target.health = target_health.record_lasting_run(target.health)
            self._fleet.touch(target)


def _has_old_suspects(target: targets.Target, now_ms: int) -> bool:
    """Tell whether a target is isolated for runs that have lasted.

    A deadly task has most likely crashed its executor by then, and if it does
    so later, it explains the crash better than a task that has just started.
    """
    suspects = list(target.list_isolated_runs())
    return bool(suspects) and all(
        run.is_sent and now_ms - run.started_at_ms > crash_blame.COUNTED_AGE_MS
        for run in suspects
    )


def is_overdue(task: jobs.Task, now_ms: int) -> bool:
    """Tell whether a lasting task has waited too long for a run."""
    return (
        task.is_waiting
        and now_ms - task.waiting_since_ms >= LASTING_WAIT_LIMIT_MS
    )


def _list_overdue_tasks(
    group: jobs.Group, now_ms: int
) -> abc.Sequence[jobs.Task]:
    """Return the tasks of a ready group that withheld targets should run."""
    step = group.step
    job = group.job
    is_idle = (
        not job.working_runs
        and now_ms - job.idle_since_ms >= WORKFLOW_WAIT_LIMIT_MS
    )
    if not (step.is_lasting or is_idle):
        return ()
    waiting = [
        task
        for task in group.tasks
        if task.is_waiting
        and not task.awaits_isolation(now_ms)
        and now_ms >= task.overdue_retry_deadline_ms
    ]
    if step.is_gang and len(waiting) < len(group.tasks):
        return ()
    if step.is_lasting:
        overdue = [task for task in waiting if is_overdue(task, now_ms)]
        return waiting if step.is_gang and overdue else overdue
    # A run on a withheld target must not cost the last attempt of a task.
    limit = job.terms.attempts_limit - 1
    spared = [task for task in waiting if task.failures < limit]
    if step.is_gang:
        return waiting if len(spared) == len(waiting) else ()
    # A single run is enough.
    return sorted(spared, key=lambda task: task.failures)[:1]
