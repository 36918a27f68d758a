"""Explains in the log why accepted work waits.

A line tells of a workflow that has nothing at work, or of a lasting task
without a run, which the users' rules ask for by itself. Part of the owner's
core; does no I/O and changes nothing.
"""

import collections
from collections import abc
from typing import Any, Final

from borageshelf import clock
from borageshelf.decisions import workflow_placement
from borageshelf.model import workflows
from borageshelf.workflows import fleet
from borageshelf.workflows import jobs
from borageshelf.workflows import targets

# Time without a run at work after which a workflow is explained.
IDLE_LIMIT_MS: Final = 5_000
# Time without a run after which a lasting task is explained. Shorter than the
# time that the users' rules allow it, so that a line precedes each violation.
LASTING_WAIT_LIMIT_MS: Final = 2_000
# Limits the lines per round when the whole fleet is full.
EXPLAINED_LIMIT: Final = 5


def describe_idle_workflows(
    active_jobs: abc.Iterable[jobs.Job],
    known_fleet: fleet.Fleet,
    moment: clock.Moment,
) -> list[dict[str, Any]]:
    """Return the fields of a log line for each idle workflow, oldest first."""
    idle: list[dict[str, Any]] = []
    for job in active_jobs:
        if len(idle) == EXPLAINED_LIMIT:
            break
        since_ms = _find_idle_since_ms(job, known_fleet)
        if since_ms is None or moment.elapsed_ms - since_ms < IDLE_LIMIT_MS:
            continue
        idle.append(
            {
                'workflow': job.workflow_id,
                'idle_ms': moment.elapsed_ms - since_ms,
                'cause': _find_cause(job, known_fleet, moment),
                'runs': [
                    _describe_run(run, known_fleet) for run in job.list_runs()
                ],
            }
        )
    return idle


def describe_waiting_tasks(
    active_jobs: abc.Iterable[jobs.Job],
    known_fleet: fleet.Fleet,
    moment: clock.Moment,
) -> list[dict[str, Any]]:
    """Return the fields of a log line for the lasting tasks without a run.

    The tasks that have waited longest come first.
    """
    now_ms = moment.elapsed_ms
    waiting = [
        (task.waiting_since_ms, group, task)
        for job in active_jobs
        for group in job.list_waiting_groups(moment.wall_ms)
        if group.step.is_lasting
        for task in group.tasks
        if task.is_waiting
        and now_ms - task.waiting_since_ms >= LASTING_WAIT_LIMIT_MS
    ]
    waiting.sort(key=lambda item: (item[0], item[2].name))
    return [
        {
            'workflow': group.job.workflow_id,
            'task': task.name,
            'attempts': task.attempts,
            'waits_ms': now_ms - since_ms,
            'waiting_tasks': len(waiting),
            'cause': _find_task_cause(task, known_fleet, now_ms),
            'targets': _count_states(
                group.job.terms.service, known_fleet, now_ms, group.step
            ),
        }
        for since_ms, group, task in waiting[:EXPLAINED_LIMIT]
    ]


def _find_task_cause(
    task: jobs.Task, known_fleet: fleet.Fleet, now_ms: int
) -> str:
    if task.awaits_isolation(now_ms):
        return 'suspected of crashes, waits for isolation'
    group = task.group
    usable = known_fleet.get_index(group.job.terms.service).list_targets()
    if not usable:
        return 'no usable target'
    has_room = any(
        workflow_placement.has_room(group.step, target) for target in usable
    )
    return 'not placed' if has_room else 'no room'


def _find_idle_since_ms(job: jobs.Job, known_fleet: fleet.Fleet) -> int | None:
    """Return since when nothing is known to be at work; None if it is."""
    runs = [run for run in job.list_runs() if not run.task.is_done]
    if not runs:
        return job.idle_since_ms
    for run in runs:
        target = known_fleet.targets.get(run.target_id)
        if target is not None and target.is_ready and _is_at_work(run):
            return None
    return max(run.started_at_ms for run in runs)


def _is_at_work(run: jobs.Run) -> bool:
    """Tell whether a run on a ready target is known to be at work.

    A lasting run makes no progress that its agent could report; its end or the
    refusal of its start would be reported.
    """
    return run.is_confirmed or (run.is_sent and run.task.group.step.is_lasting)


def _find_cause(
    job: jobs.Job, known_fleet: fleet.Fleet, moment: clock.Moment
) -> str:
    now_ms = moment.elapsed_ms
    if job.working_runs:
        return 'no target lists its runs'
    groups = job.list_waiting_groups(moment.wall_ms)
    if not groups:
        return 'no step is due'
    waiting = [
        task for group in groups for task in group.tasks if task.is_waiting
    ]
    if all(task.awaits_isolation(now_ms) for task in waiting):
        return 'suspected of crashes, waits for isolation'
    service = job.terms.service
    usable = known_fleet.get_index(service).list_targets()
    if not usable:
        return (
            f'no usable target: {_count_states(service, known_fleet, now_ms)}'
        )
    has_room = any(
        workflow_placement.has_room(group.step, target)
        for group in groups
        for target in usable
    )
    return 'not placed' if has_room else 'no room'


def _count_states(
    service: str,
    known_fleet: fleet.Fleet,
    now_ms: int,
    step: workflows.Step | None = None,
) -> dict[str, int]:
    """Return how many targets of a service are in which state.

    :param step: leaves out the targets that lack its label or have no room for
        one of its tasks; None for all targets
    """
    return dict(
        collections.Counter(
            _describe_target(target, now_ms)
            for target in known_fleet.targets.values()
            if target.service == service
            and (step is None or _fits(step, target))
        )
    )


def _fits(step: workflows.Step, target: targets.Target) -> bool:
    has_label = not step.label or step.label in target.labels
    return has_label and workflow_placement.has_room(step, target)


def _describe_target(target: targets.Target, now_ms: int) -> str:
    """Return why nothing may be placed on a target."""
    if target.can_accept_runs(now_ms):
        return 'usable'
    if not target.is_ready:
        return 'not ready'
    if target.is_draining:
        return 'draining'
    if target.is_evacuated:
        return 'evacuated'
    if target.health.is_suspect(now_ms):
        return 'fails work'
    if target.stability.is_suspect(now_ms):
        return 'crashes again and again'
    if target.unexpected_runs:
        return 'unexpected runs'
    if target.isolated_run is not None:
        return 'isolated'
    if target.is_held(now_ms):
        return 'held for a suspect'
    return 'refused a start'


def _describe_run(run: jobs.Run, known_fleet: fleet.Fleet) -> str:
    target = known_fleet.targets.get(run.target_id)
    flags = [
        name
        for name, is_set in (
            ('sent', run.is_sent),
            ('listed', run.is_confirmed),
            ('stopping', run.is_stopping),
            ('target ready', target is not None and target.is_ready),
        )
        if is_set
    ]
    return f'{run.task.name}/{run.attempt} on {run.target_id}: {flags}'
