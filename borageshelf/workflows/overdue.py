"""Places tasks that have waited too long on targets that are withheld.

The owner withholds targets from placement for a while: those that fail, refuse
or stall work, and those that are isolated or held for a task that may crash
executors. Each of these pauses only guesses what serves callers best, and they
may follow each other, so none of them may keep an accepted task from running.
The users' rules ask for a run of each lasting task, and for one run of each
other workflow.

Part of the owner's core; does no I/O.
"""

from collections import abc
from typing import Any, Final

from borageshelf.decisions import target_health
from borageshelf.decisions import workflow_placement
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
# A run that has lasted for this long shows that its target is sound.
SOUND_RUN_MS: Final = 2_000

PlaceTask = abc.Callable[[jobs.Task, targets.Target, int], jobs.Run]


class OverduePlacer:
    """Finds overdue tasks, and targets for them among the withheld ones.

    :param place: places a task on a target
    :param predict_latency_share: used for fillers only
    """

    def __init__(
        self,
        known_fleet: fleet.Fleet,
        place: PlaceTask,
        predict_latency_share: workflow_placement.LatencyPredictor,
    ) -> None:
        self._fleet = known_fleet
        self._place = place
        self._predict_latency_share = predict_latency_share
        self._next_pass_ms = 0
        # The withheld targets of each service, and how many tasks have been
        # placed on each target, in the current pass.
        self._withheld: dict[str, list[targets.Target]] = {}
        self._placed_counts: dict[str, int] = {}
        # Runs on paused targets that have not lasted long enough yet.
        self._probes: list[tuple[jobs.Run, targets.Target]] = []

    def begin_pass(self, now_ms: int) -> None:
        """Begin a scheduling pass; most passes leave overdue tasks out."""
        self._withheld = {}
        self._placed_counts = {}
        if now_ms < self._next_pass_ms:
            return
        self._next_pass_ms = now_ms + PASS_INTERVAL_MS
        self._end_pauses(now_ms)
        for target in self._fleet.targets.values():
            if target.is_withheld(now_ms):
                self._withheld.setdefault(target.service, []).append(target)

    def place_group(self, group: jobs.Group, now_ms: int) -> bool:
        """Place the overdue tasks of a group whose turn has come.

        :return: whether any was placed
        """
        candidates = self._withheld.get(group.job.terms.service)
        if not candidates:
            return False
        is_any_placed = False
        for task in _list_overdue_tasks(group, now_ms):
            target = self._choose(task, candidates, now_ms)
            if target is None:
                # Tasks of a step have the same size.
                break
            task.overdue_retry_deadline_ms = now_ms + RETRY_INTERVAL_MS
            self._placed_counts[target.target_id] = (
                self._placed_counts.get(target.target_id, 0) + 1
            )
            run = self._place(task, target, now_ms)
            self._probes.append((run, target))
            is_any_placed = True
        return is_any_placed

    def _end_pauses(self, now_ms: int) -> None:
        """End the pauses of targets on which an overdue task goes on."""
        probes, self._probes = self._probes, []
        for run, target in probes:
            if run.attempt not in run.task.runs:
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

    def _choose(
        self,
        task: jobs.Task,
        candidates: abc.Iterable[targets.Target],
        now_ms: int,
    ) -> targets.Target | None:
        """Return the target that is likeliest to run a task, or None.

        Tasks are spread over the targets, as it is not known which of them are
        sound. Those kept free for a suspected task come last, and only lasting
        tasks start there: other tasks share the blame for a crash, which may
        end their workflow.
        """
        is_lasting = task.group.step.is_lasting
        request = workflow_placement.PlacementRequest(
            task.group.step,
            task.group.count_runs_by_target(),
            task.avoided,
            is_overdue=True,
        )
        best: targets.Target | None = None
        best_rank: tuple[Any, ...] = ()
        for target in candidates:
            score = workflow_placement.compute_score(
                request, target, self._predict_latency_share
            )
            is_kept_free = target.is_held(now_ms) or target.isolated_run
            if (
                score is None
                or not target.is_withheld(now_ms)
                or (is_kept_free and not is_lasting)
            ):
                continue
            rank = (
                target.isolated_run is not None,
                target.is_held(now_ms),
                target.target_id in task.avoided,
                self._placed_counts.get(target.target_id, 0),
                target.refusal_deadline_ms,
                target.health.suspect_deadline_ms,
                score,
            )
            if best is None or rank < best_rank:
                best, best_rank = target, rank
        return best


def _list_overdue_tasks(
    group: jobs.Group, now_ms: int
) -> abc.Sequence[jobs.Task]:
    """Return the tasks of a ready group that withheld targets should run."""
    step = group.step
    job = group.job
    if step.is_gang:
        return ()
    waiting = [
        task
        for task in group.tasks
        if task.is_waiting
        and not task.awaits_isolation(now_ms)
        and now_ms >= task.overdue_retry_deadline_ms
    ]
    if step.is_lasting:
        return [
            task
            for task in waiting
            if now_ms - task.waiting_since_ms >= LASTING_WAIT_LIMIT_MS
        ]
    if job.live_runs or now_ms - job.idle_since_ms < WORKFLOW_WAIT_LIMIT_MS:
        return ()
    # A single run is enough, and it must not cost the last attempt of a task.
    limit = job.terms.attempts_limit - 1
    spared = [task for task in waiting if task.failures < limit]
    return sorted(spared, key=lambda task: task.failures)[:1]
