"""Where the time of the critical path of a workflow went, for the log.

The critical path consists of the task of each step that ended last, from the
last step to the one before it that ended last, and so on. Times are summed
over all runs of these tasks. Part of the owner's core; does no I/O.
"""

import dataclasses
from typing import Any, Final

from borageshelf.ports import task_executor
from borageshelf.workflows import jobs

# Further tasks are left out; bounds memory.
TASKS_LIMIT: Final = 8_000
FULL_PACE_PERCENT: Final = 100


@dataclasses.dataclass(frozen=True)
class TaskTimes:
    """Times of one task.

    :param waited_ms: time until its runs were ordered, from the end of the
        steps before it or of the former run
    :param ran_ms: time from the order to the end of its runs
    :param slowed_ms: part of that which a run at full pace would not have
        taken
    :param runs: number of its runs
    :param done_at_ms: elapsed time of its end; 0 before
    """

    waited_ms: int = 0
    ran_ms: int = 0
    slowed_ms: int = 0
    runs: int = 0
    done_at_ms: int = 0


class PathTimes:
    """Times of the tasks of active workflows, since the takeover."""

    def __init__(self) -> None:
        self._times: dict[str, dict[str, TaskTimes]] = {}
        self._tasks_count = 0
        # When the pace of a run was last reported, by workflow, and by task
        # and attempt.
        self._paced_at_ms: dict[str, dict[tuple[str, int], int]] = {}

    def note_pace(self, run: jobs.Run, percent: int, now_ms: int) -> None:
        """Note the pace of a run since its last report."""
        if not _is_followed(run):
            return
        key = (run.task.name, run.attempt)
        workflow_id = run.task.group.job.workflow_id
        paced_at_ms = self._paced_at_ms.get(workflow_id, {})
        since_ms = paced_at_ms.get(key, run.started_at_ms)
        slowed_share = 1 - percent / FULL_PACE_PERCENT
        slowed_ms = round((now_ms - since_ms) * slowed_share)
        if slowed_ms <= 0 and key not in paced_at_ms:
            return
        self._paced_at_ms.setdefault(workflow_id, {})[key] = now_ms
        times = self._get(run.task)
        self._put(
            run.task,
            dataclasses.replace(times, slowed_ms=times.slowed_ms + slowed_ms),
        )

    def note_end(
        self, run: jobs.Run, kind: task_executor.EndKind, now_ms: int
    ) -> None:
        """Note the end of a run; called before the run is dropped."""
        if not _is_followed(run):
            return
        times = self._get(run.task)
        waited_ms = max(run.started_at_ms - run.task.waiting_since_ms, 0)
        self._put(
            run.task,
            dataclasses.replace(
                times,
                waited_ms=times.waited_ms + waited_ms,
                ran_ms=times.ran_ms + now_ms - run.started_at_ms,
                runs=times.runs + 1,
                done_at_ms=(
                    now_ms if kind is task_executor.EndKind.DONE else 0
                ),
            ),
        )

    def take_description(self, job: jobs.Job, now_ms: int) -> dict[str, Any]:
        """Return the fields of a log line about an ended workflow.

        Its times are forgotten.
        """
        known = self._times.pop(job.workflow_id, {})
        self._tasks_count -= len(known)
        self._paced_at_ms.pop(job.workflow_id, None)
        path: list[tuple[jobs.Group, TaskTimes]] = []
        groups = job.groups
        while groups:
            ends = [
                (times.done_at_ms, group.step_number, group, times)
                for group in groups
                for task in group.tasks
                if (times := known.get(task.name)) and times.done_at_ms
            ]
            if not ends:
                break
            _, _, group, times = max(ends, key=lambda item: item[:2])
            path.append((group, times))
            groups = group.predecessors
        return {
            'after_ms': now_ms - job.accepted_at_ms,
            'objective_ms': job.objective_ms,
            'path_steps': len(path),
            'path_estimate_ms': sum(
                group.get_estimate_ms() for group, _ in path
            ),
            'path_waited_ms': sum(times.waited_ms for _, times in path),
            'path_ran_ms': sum(times.ran_ms for _, times in path),
            'path_slowed_ms': sum(times.slowed_ms for _, times in path),
            'path_runs': sum(times.runs for _, times in path),
        }

    def _get(self, task: jobs.Task) -> TaskTimes:
        times = self._times.get(task.group.job.workflow_id, {})
        return times.get(task.name, TaskTimes())

    def _put(self, task: jobs.Task, times: TaskTimes) -> None:
        known = self._times.setdefault(task.group.job.workflow_id, {})
        if task.name not in known:
            if self._tasks_count >= TASKS_LIMIT:
                return
            self._tasks_count += 1
        known[task.name] = times


def _is_followed(run: jobs.Run) -> bool:
    """Tell whether the workflow of a run has an end that is awaited."""
    job = run.task.group.job
    return (
        job.is_active
        and not job.workflow.has_due_times
        and not run.task.group.step.is_lasting
    )
