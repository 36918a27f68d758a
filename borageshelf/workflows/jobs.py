"""In-memory state of one accepted workflow.

The owner changes these objects and commits them as a ``StateRecord``. Nothing
here does I/O or reads a clock.
"""

from collections import abc
import dataclasses
from typing import Final

from borageshelf.decisions import crash_blame
from borageshelf.model import workflows
from borageshelf.workflows import checkpoints
from borageshelf.workflows import crash_records
from borageshelf.workflows import effects
from borageshelf.workflows import estimates
from borageshelf.workflows import failures
from borageshelf.workflows import memory_budget
from borageshelf.workflows import occurrences
from borageshelf.workflows import records

STATE_NAMES: Final = {
    records.Phase.COMPLETED: 'completed',
    records.Phase.FAILED: 'failed',
    records.Phase.CANCELLED: 'cancelled',
}
# Stands for an incarnation whose end has been counted as a crash.
COUNTED_EXECUTOR_HASH: Final = 0


class Run:
    """One attempt of a task on a target.

    :ivar started_at_ms: elapsed time of the start
    :ivar is_sent: whether the order to start may have left this process
    :ivar is_confirmed: whether the agent has reported the run
    :ivar is_stopping: whether the run is to be stopped
    :ivar is_restored: whether an earlier owner has started the run
    :ivar is_isolated: whether its task is suspected of crashing executors,
        and the run has not yet shown otherwise
    :ivar executor_hash: hash of the incarnation on which it was placed, or
        ``COUNTED_EXECUTOR_HASH``
    :ivar progress_at_ms: elapsed time of the last change of the progress
    :ivar watched_since_ms: elapsed time since which this owner sees its pace
    :ivar watched_from_percent: its progress at that time; None if its pace is
        not known yet
    :ivar slow_since_ms: elapsed time since which the run is throttled below
        the limit of slow runs, or 0
    """

    __slots__ = (
        'attempt',
        'executor_hash',
        'is_confirmed',
        'is_isolated',
        'is_restored',
        'is_sent',
        'is_stopping',
        'progress_at_ms',
        'progress_percent',
        'slow_since_ms',
        'started_at_ms',
        'target_id',
        'task',
        'watched_from_percent',
        'watched_since_ms',
    )

    def __init__(
        self, task: 'Task', attempt: int, target_id: str, started_at_ms: int
    ) -> None:
        self.task = task
        self.attempt = attempt
        self.target_id = target_id
        self.started_at_ms = started_at_ms
        self.progress_percent = 0
        self.progress_at_ms = started_at_ms
        self.watched_since_ms = started_at_ms
        self.watched_from_percent: int | None = 0
        self.slow_since_ms = 0
        self.is_sent = False
        self.is_confirmed = False
        self.is_stopping = False
        self.is_restored = False
        self.is_isolated = False
        self.executor_hash = COUNTED_EXECUTOR_HASH

    def note_confirmed(self) -> None:
        """Note that the agent has reported the run."""
        self.is_confirmed = True
        self.task.group.job.note_run_seen()


class Task:
    """One task of a workflow.

    :ivar number: index among all tasks of the workflow
    :ivar index: index among the tasks of the group
    :ivar failed_attempts: shared by the members of a gang
    :ivar newest_checkpoint: shared by the members of a gang
    :ivar avoided: targets on which the task, or its gang, failed
    :ivar stalls: number of its runs that were stopped as stalled
    :ivar waiting_since_ms: elapsed time at which its last run may have ended;
        before its first run, that of the acceptance, of the takeover, or at
        which its step became ready
    :ivar overdue_retry_deadline_ms: elapsed time from which withheld targets
        are tried again
    :ivar crash_history: crashes of executors under the task
    :ivar isolation_wait_deadline_ms: elapsed time from which a suspect is
        started beside other work if no target could be isolated for it
    """

    __slots__ = (
        'attempts',
        'avoided',
        'crash_history',
        'failed_attempts',
        'group',
        'index',
        'is_done',
        'isolation_wait_deadline_ms',
        'name',
        'newest_checkpoint',
        'number',
        'overdue_retry_deadline_ms',
        'runs',
        'stalls',
        'waiting_since_ms',
    )

    def __init__(self, group: 'Group', number: int, index: int) -> None:
        self.group = group
        self.number = number
        self.index = index
        self.name = (
            f'{group.job.workflow.workflow_id}.{group.occurrence}.'
            f'{group.step_number}.{index}'
        )
        self.attempts = 0
        self.failed_attempts = group.failed_attempts
        self.newest_checkpoint = group.newest_checkpoint
        if not group.step.is_gang:
            self.failed_attempts = failures.FailedAttempts()
            self.newest_checkpoint = checkpoints.Checkpoint()
        self.runs: dict[int, Run] = {}
        self.is_done = False
        self.waiting_since_ms = group.job.accepted_at_ms
        self.overdue_retry_deadline_ms = 0
        self.stalls = 0
        self.avoided: tuple[str, ...] = ()
        self.crash_history = crash_blame.NO_CRASHES
        self.isolation_wait_deadline_ms = 0

    def set_crash_history(self, history: crash_blame.History) -> None:
        """Set the crashes under the task, and whether it is a suspect."""
        self.crash_history = history
        suspects = self.group.suspects
        if history.is_suspect and self not in suspects:
            suspects.append(self)
        elif not history.is_suspect and self in suspects:
            suspects.remove(self)

    def awaits_isolation(self, now_ms: int) -> bool:
        """Tell whether a waiting task is to be started in isolation only."""
        return (
            self.crash_history.is_suspect
            and now_ms < self.isolation_wait_deadline_ms
            and not self.group.step.is_gang
        )

    @property
    def failures(self) -> int:
        """Number of failed attempts of the task, or of its gang."""
        return self.failed_attempts.count

    @property
    def checkpoint(self) -> str:
        """Checkpoint from which the next run starts, '' for none."""
        return self.newest_checkpoint.value

    @property
    def progress_percent(self) -> int:
        """Progress of the run that has most."""
        return max(
            (run.progress_percent for run in self.runs.values()), default=0
        )

    @property
    def is_waiting(self) -> bool:
        """Tell whether the task needs a run."""
        return not self.is_done and not self.runs

    @property
    def is_untouched(self) -> bool:
        """Tell whether the task has no progress to store."""
        return not (self.attempts or self.is_done)


@dataclasses.dataclass(frozen=True)
class Misfit:
    """A choice of a target that found no target with room.

    As long as nothing that it depended on has changed, another try has the
    same result.

    :param change_number: number of the last change of a target before it
    :param latency_version: version of the latencies that it used
    :param is_overdue: whether the workflow was overdue
    """

    change_number: int
    latency_version: int
    is_overdue: bool


class Group:
    """The tasks of one step in one occurrence of the workflow.

    :ivar failed_attempts: those of the gang, if it is one
    :ivar newest_checkpoint: that of the gang, if it is one
    :ivar predecessors: those that must be complete before this one begins
    :ivar was_ready: whether its tasks' turn has been noticed
    :ivar waiting_count: number of tasks that need a run
    :ivar running_percent: sum of the progress of unfinished tasks
    :ivar misfit: the last choice of a target that found none, or None
    :ivar suspects: tasks that are suspected of crashing executors
    :ivar overdue_misfit_deadline_ms: elapsed time from which room on withheld
        targets is looked for again
    """

    __slots__ = (
        'done_count',
        'failed_attempts',
        'is_complete',
        'job',
        'misfit',
        'newest_checkpoint',
        'occurrence',
        'overdue_misfit_deadline_ms',
        'predecessors',
        'running_percent',
        'step',
        'step_number',
        'suspects',
        'tasks',
        'waiting_count',
        'was_ready',
    )

    def __init__(
        self,
        job: 'Job',
        occurrence: int,
        step_number: int,
        first_number: int,
        earlier: abc.Sequence['Group'],
    ) -> None:
        self.job = job
        self.occurrence = occurrence
        self.step_number = step_number
        self.step = job.workflow.steps[step_number]
        self.predecessors = [earlier[number] for number in self.step.after]
        self.failed_attempts = failures.FailedAttempts()
        self.newest_checkpoint = checkpoints.Checkpoint()
        self.tasks = [
            Task(self, first_number + index, index)
            for index in range(self.step.count)
        ]
        self.done_count = 0
        self.is_complete = False
        self.was_ready = False
        self.waiting_count = len(self.tasks)
        self.running_percent = 0
        self.misfit: Misfit | None = None
        self.suspects: list[Task] = []
        self.overdue_misfit_deadline_ms = 0

    def note_ready(self, now_ms: int) -> None:
        """Note that the tasks may start; before, they did not wait."""
        if not self.was_ready:
            self.was_ready = True
            for task in self.tasks:
                if not task.attempts:
                    task.waiting_since_ms = now_ms

    def list_members(self, task: Task) -> abc.Sequence[Task]:
        """Return the tasks that fail and succeed together with a task."""
        return self.tasks if self.step.is_gang else (task,)

    def count_runs_by_target(self) -> dict[str, int]:
        """Return the number of the group's runs on each target."""
        counts: dict[str, int] = {}
        for task in self.tasks:
            for run in task.runs.values():
                counts[run.target_id] = counts.get(run.target_id, 0) + 1
        return counts

    def get_estimate_ms(self) -> int:
        """Return the estimated run time of one task."""
        return estimates.get_estimate_ms(self.step)


class Job:
    """One accepted workflow.

    :ivar accepted_at_ms: elapsed time of the acceptance
    :ivar visible_phase: the committed phase, which callers see
    :ivar waiters: tokens of requests that wait for the commit of the
        acceptance
    :ivar idle_since_ms: elapsed time at which the owner last saw a run
    :ivar memory_bytes: what it is assumed to take in memory
    :ivar effects: effects to release once the current state is committed
    """

    def __init__(
        self,
        workflow: workflows.Workflow,
        terms: records.Terms,
        accepted_at_ms: int,
    ) -> None:
        self.workflow = workflow
        self.terms = terms
        self.accepted_at_ms = accepted_at_ms
        self.phase = records.Phase.ACTIVE
        self.visible_phase = records.Phase.ACTIVE
        self.is_committed = False
        self.has_spec_key = False
        # Whether a start was sent.
        self.is_ordered = False
        # Whether callers are told that it runs: a run was seen, or a former
        # owner has placed one.
        self.is_started = False
        # Whether a run was seen. The run of a former owner may not have begun.
        self.has_begun = False
        self.ended_at_ms = 0
        self.cause = ''
        self.waiters: list[int] = []
        self.effects: list[effects.Effect] = []
        self._live_runs = 0
        self._redundant_runs = 0
        self.idle_since_ms = accepted_at_ms
        self._occurrence_size = sum(step.count for step in workflow.steps)
        self._occurrences = occurrences.Occurrences(
            workflow, self._make_groups
        )
        if not workflow.has_due_times:
            self._occurrences.open_one(0)
        self.objective_ms = estimates.compute_objective_ms(workflow, terms)
        self.memory_bytes = memory_budget.compute_bytes(workflow)

    def _make_groups(self, occurrence: int) -> list[Group]:
        groups: list[Group] = []
        task_number = occurrence * self._occurrence_size
        for number, step in enumerate(self.workflow.steps):
            groups.append(Group(self, occurrence, number, task_number, groups))
            task_number += step.count
        return groups

    @property
    def groups(self) -> list[Group]:
        """Groups of the occurrences in memory."""
        return [
            group
            for groups in self._occurrences.open.values()
            for group in groups
        ]

    @property
    def tasks(self) -> list[Task]:
        """Tasks of the occurrences in memory."""
        return [task for group in self.groups for task in group.tasks]

    @property
    def open_task_count(self) -> int:
        """Number of tasks of the occurrences in memory."""
        return self._occurrence_size * len(self._occurrences.open)

    @property
    def task_count(self) -> int:
        """Number of tasks of all occurrences."""
        return self._occurrence_size * self.workflow.occurrences

    @property
    def workflow_id(self) -> str:
        """Id that the caller chose."""
        return self.workflow.workflow_id

    @property
    def is_active(self) -> bool:
        """Tell whether tasks may still be started."""
        return self.phase is records.Phase.ACTIVE

    @property
    def live_runs(self) -> int:
        """Number of runs that may still exist."""
        return self._live_runs

    @property
    def working_runs(self) -> int:
        """Number of runs of tasks that are not done."""
        return self._live_runs - self._redundant_runs

    @property
    def objective_deadline_ms(self) -> int:
        """Elapsed time by which the caller expects the workflow to be done."""
        return self.accepted_at_ms + self.objective_ms

    def note_run_seen(self) -> None:
        """Note that a target has reported a run or its end."""
        self.is_started = True
        self.has_begun = True

    def describe_state(self) -> str:
        """Return the committed state as callers see it."""
        name = STATE_NAMES.get(self.visible_phase)
        if name is not None:
            return name
        return 'running' if self.is_started else 'queued'

    def find_task(self, name: str) -> Task | None:
        """Return the task with the given name, or None."""
        parts = name.split('.')
        if len(parts) != 4 or parts[0] != self.workflow_id:
            return None
        try:
            occurrence, number, index = map(int, parts[1:])
        except ValueError:
            return None
        groups = self._occurrences.open.get(occurrence)
        if groups is None or not 0 <= number < len(groups):
            return None
        tasks = groups[number].tasks
        return tasks[index] if 0 <= index < len(tasks) else None

    def open_due_occurrences(self, wall_ms: int, waiting_limit: int) -> int:
        """Bring occurrences that have become due into memory.

        :param wall_ms: Unix time
        :param waiting_limit: number of waiting tasks from which no occurrence
            is added
        :return: the number of tasks that were added
        """
        if not self._occurrences.count_due_unopened(wall_ms):
            return 0
        former_count = self.open_task_count
        waiting_count = sum(
            group.waiting_count for group in self.list_waiting_groups(wall_ms)
        )
        while waiting_count < waiting_limit:
            opened = self._occurrences.open_next(wall_ms)
            if opened is None:
                break
            waiting_count += sum(
                group.waiting_count
                for group in opened
                if self._is_ready(group, wall_ms)
            )
        return self.open_task_count - former_count

    def list_waiting_groups(self, wall_ms: int) -> list[Group]:
        """Return the groups in memory with tasks that need a run now.

        :param wall_ms: Unix time
        """
        return [
            group
            for groups in self._occurrences.open.values()
            for group in groups
            if group.waiting_count and self._is_ready(group, wall_ms)
        ]

    def _is_ready(self, group: Group, wall_ms: int) -> bool:
        """Tell whether a group is due and the steps before it are complete."""
        if self.workflow.has_due_times:
            due_ms = (
                self.workflow.first_start_ms
                + group.occurrence * self.workflow.period_ms
            )
            if wall_ms < due_ms:
                return False
        return all(earlier.is_complete for earlier in group.predecessors)

    def add_run(self, task: Task, target_id: str, now_ms: int) -> Run:
        """Add the next attempt of a task, to be started on a target.

        All members of a gang use the same attempt number.
        """
        if task.group.step.is_gang and not task.group.count_runs_by_target():
            highest = max(other.attempts for other in task.group.tasks)
            for other in task.group.tasks:
                other.attempts = highest
        task.attempts += 1
        run = Run(task, task.attempts, target_id, now_ms)
        self._append_run(run)
        return run

    def _append_run(self, run: Run) -> None:
        task = run.task
        if task.is_waiting:
            task.group.waiting_count -= 1
        task.runs[run.attempt] = run
        self._live_runs += 1

    def remove_run(self, run: Run, ended_at_ms: int | None = None) -> None:
        """Remove a run.

        :param ended_at_ms: elapsed time at which it may have ended; None if it
            never began, so that its task goes on to wait
        """
        task = run.task
        former_percent = task.progress_percent
        if task.runs.pop(run.attempt, None) is None:
            return
        if ended_at_ms is not None:
            task.waiting_since_ms = ended_at_ms
        self._live_runs -= 1
        if task.is_done:
            self._redundant_runs -= 1
        else:
            task.group.running_percent += (
                task.progress_percent - former_percent
            )
        if task.is_waiting:
            task.group.waiting_count += 1
        self._close_if_over(task.group.occurrence)

    def record_progress(self, run: Run, percent: int, now_ms: int) -> None:
        """Record the progress that a run has reported."""
        former_percent = run.task.progress_percent
        if run.watched_from_percent is None and (
            0 < run.progress_percent != percent
        ):
            # Only between two changes is it known what a percent takes.
            run.watched_since_ms = now_ms
            run.watched_from_percent = percent
        run.progress_percent = percent
        run.progress_at_ms = now_ms
        if not run.task.is_done:
            run.task.group.running_percent += (
                run.task.progress_percent - former_percent
            )

    def withdraw_run(self, run: Run) -> None:
        """Undo a task's last ``add_run``; its start was never ordered."""
        self.remove_run(run)
        run.task.attempts -= 1

    def finish_task(self, task: Task) -> None:
        """Mark a task as done, and with it all members of its gang."""
        group = task.group
        for member in group.list_members(task):
            if member.is_done:
                continue
            if member.is_waiting:
                group.waiting_count -= 1
            group.running_percent -= member.progress_percent
            self._redundant_runs += len(member.runs)
            member.is_done = True
            member.newest_checkpoint.clear()
            group.done_count += 1
        if group.done_count == len(group.tasks):
            group.is_complete = True
            self._close_if_over(group.occurrence)

    def _close_if_over(self, occurrence: int) -> None:
        """Forget an occurrence that is complete and has no runs."""
        groups = self._occurrences.open.get(occurrence, ())
        if not groups or not all(group.is_complete for group in groups):
            return
        self._occurrences.mark_complete(occurrence)
        # The last one is forgotten with the workflow.
        if not self.is_complete and not any(
            task.runs for group in groups for task in group.tasks
        ):
            self._occurrences.close(occurrence)

    @property
    def is_complete(self) -> bool:
        """Tell whether all tasks are done."""
        return self._occurrences.are_complete

    def estimate_remaining_work(self, wall_ms: int) -> int:
        """Return the estimated remaining processor time, in millicore-ms.

        Occurrences that are not due yet are left out.

        :param wall_ms: Unix time
        """
        work_millicore_ms = 0.0
        unopened_count = self._occurrences.count_due_unopened(wall_ms)
        if unopened_count:
            work_millicore_ms += unopened_count * estimates.compute_work(
                self.workflow.steps
            )
        for group in self.groups:
            if group.is_complete or group.step.is_lasting:
                continue
            remaining_tasks = (
                len(group.tasks)
                - group.done_count
                - group.running_percent / 100
            )
            size_millicores = max(group.step.demand.processor_millicores, 1)
            work_millicore_ms += (
                remaining_tasks * size_millicores * group.get_estimate_ms()
            )
        return round(work_millicore_ms)

    def estimate_remaining_ms(self) -> int:
        """Return the estimated run time of the remaining critical path."""
        longest_ms = 0
        if self._occurrences.has_unopened:
            longest_ms = estimates.compute_path_ms(self.workflow.steps, ())
        for groups in self._occurrences.open.values():
            complete = [
                group.step_number for group in groups if group.is_complete
            ]
            path_ms = estimates.compute_path_ms(self.workflow.steps, complete)
            longest_ms = max(longest_ms, path_ms)
        return longest_ms

    def make_record(self) -> records.StateRecord:
        """Return the record to store.

        Once the workflow has ended, it lists only tasks that have runs.
        """
        tasks = []
        for task in self.tasks:
            if task.is_untouched or not (self.is_active or task.runs):
                continue
            tasks.append(
                records.TaskRecord(
                    task.number,
                    task.is_done,
                    task.attempts,
                    task.failures,
                    task.checkpoint,
                    tuple(
                        records.RunRecord(
                            run.attempt, run.target_id, run.executor_hash
                        )
                        for run in task.runs.values()
                    ),
                    crash_records.make_record(task.crash_history),
                    task.failed_attempts.numbers,
                )
            )
        return records.StateRecord(
            self.phase,
            self.ended_at_ms,
            self.cause,
            tuple(tasks),
            self._occurrences.list_complete() if self.is_active else (),
        )

    def restore(self, state: records.StateRecord, now_ms: int) -> None:
        """Load a stored state."""
        self.phase = state.phase
        self.visible_phase = state.phase
        self.is_committed = True
        self.has_spec_key = True
        self.ended_at_ms = state.ended_at_ms
        self.cause = state.cause
        self._occurrences.restore(state.complete_occurrences)
        if state.complete_occurrences:
            self.note_run_seen()
        done: list[Task] = []
        for record in state.tasks:
            task = self._find_task_by_number(record.number)
            if record.is_done:
                done.append(task)
            task.attempts = record.attempts
            task.failed_attempts.restore(
                record.failures, record.failed_attempts, record.attempts
            )
            task.newest_checkpoint.restore(record.checkpoint)
            task.waiting_since_ms = now_ms
            if record.crashes is not None:
                task.set_crash_history(
                    crash_records.read_record(record.crashes)
                )
                task.isolation_wait_deadline_ms = (
                    now_ms
                    + crash_blame.compute_isolation_wait_ms(
                        task.crash_history,
                        task.group.step.is_lasting,
                        is_restored=True,
                    )
                )
            for stored in record.runs:
                run = Run(task, stored.attempt, stored.target_id, now_ms)
                run.is_sent = True
                run.is_restored = True
                # Another run of the task was first.
                run.is_stopping = record.is_done
                run.watched_from_percent = None
                run.is_isolated = task.crash_history.is_suspect
                run.executor_hash = stored.executor_hash
                self._append_run(run)
            self.is_started = self.is_started or record.attempts > 0
            if record.is_done or record.failures or record.checkpoint:
                self.note_run_seen()
        for task in done:
            self.finish_task(task)

    def _find_task_by_number(self, number: int) -> Task:
        """Return a task; its occurrence comes into memory.

        :raises IndexError: if the workflow has fewer tasks
        """
        occurrence, position = divmod(number, self._occurrence_size)
        for group in self._occurrences.open_one(occurrence):
            if position < len(group.tasks):
                break
            position -= len(group.tasks)
        return group.tasks[position]

    def list_runs(self) -> abc.Iterator[Run]:
        """Yield all runs that may still exist."""
        for group in self.groups:
            for task in group.tasks:
                yield from task.runs.values()
