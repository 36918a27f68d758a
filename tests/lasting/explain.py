"""Says why the owner has not placed a task on a target, from its books."""

from typing import Final

from borageshelf import clock
from borageshelf.decisions import workflow_placement
from borageshelf.workflows import idle
from borageshelf.workflows import jobs
from borageshelf.workflows import owner

JUST_ORDERED_MS: Final = 300


def explain_task(core: owner.Owner, name: str, moment: clock.Moment) -> str:
    """Say why a task waits, wherever it might be placed."""
    workflow_id = name.split('.')[0]
    archived = core.archive.get(workflow_id)
    if archived is not None:
        return f'given up, phase {archived.phase.name}'
    job = core.jobs.get(workflow_id)
    task = job.find_task(name) if job else None
    if job is None or task is None:
        return 'no job in the books'
    now_ms = moment.elapsed_ms
    if not job.is_active:
        return f'given up, phase {job.phase.name}'
    if task.runs:
        return '; '.join(
            _describe_run(core, run, now_ms) for run in task.runs.values()
        )
    if task.awaits_isolation(now_ms):
        wait_ms = task.isolation_wait_deadline_ms - now_ms
        return f'waits for isolation for {wait_ms} ms more'
    return 'waits'


def _describe_run(core: owner.Owner, run: jobs.Run, now_ms: int) -> str:
    target = core.targets[run.target_id]
    key = (run.task.name, run.attempt)
    unproved = target.unproved_runs.get(key)
    ordered_ms = now_ms - run.started_at_ms
    cause = 'kept until its grant has ended'
    left_ms = target.find_lost_deadline_ms(run) - now_ms
    if unproved is not None:
        cause = 'unproved'
        left_ms = unproved.expiry_ms - now_ms
    elif target.is_ready and ordered_ms < JUST_ORDERED_MS:
        cause = f'ordered just now, {ordered_ms} ms ago'
    elif target.is_ready:
        cause = 'in the books only'
    return (
        f'run {run.attempt} on {run.target_id} {cause}'
        f' ({left_ms} ms left, ready {target.is_ready},'
        f' listed {run.is_confirmed}, stopping {run.is_stopping},'
        f' restored {run.is_restored})'
    )


def explain_target(
    core: owner.Owner, name: str, target_id: str, moment: clock.Moment
) -> str:
    """Say why a task has not been placed on a target."""
    job = core.jobs.get(name.split('.')[0])
    task = job.find_task(name) if job else None
    target = core.targets.get(target_id)
    if task is None or target is None:
        return 'not in the books'
    now_ms = moment.elapsed_ms
    if not target.can_accept_runs(now_ms):
        reason = idle._describe_target(target, now_ms)
        left_ms = target.find_retry_deadline_ms(now_ms) - now_ms
        return f'{reason} ({max(left_ms, 0)} ms left)'
    step = task.group.step
    if not workflow_placement.has_room(step, target):
        return f'no room in the books: {target.reserved}'
    siblings = task.group.count_runs_by_target().get(target_id, 0)
    if step.spread_limit and siblings >= step.spread_limit:
        return 'spread limit in the books'
    return 'usable'
