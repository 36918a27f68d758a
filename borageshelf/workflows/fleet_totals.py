"""Totals over the owner's targets and waiting tasks, for the log."""

from collections import abc

from borageshelf import clock
from borageshelf.decisions import filler_effects
from borageshelf.workflows import jobs
from borageshelf.workflows import targets


def describe(
    all_targets: abc.Collection[targets.Target],
    active_jobs: abc.Collection[jobs.Job],
    learned_effects: filler_effects.FillerEffects,
    moment: clock.Moment,
) -> dict[str, float]:
    """Return the fields of the log line of the fleet."""
    healthy = [
        target
        for target in all_targets
        if target.is_healthy(moment.elapsed_ms)
    ]
    waiting = [
        group.step.demand.processor_millicores
        for job in active_jobs
        for group in job.list_waiting_groups(moment.wall_ms)
        for task in group.tasks
        if task.is_waiting
    ]
    return {
        **learned_effects.describe(),
        'targets': len(all_targets),
        'sound': len(healthy),
        'evacuated': sum(target.is_evacuated for target in all_targets),
        'capacity_millicores': sum(
            target.capacity.processor_millicores for target in healthy
        ),
        'busy_millicores': sum(target.busy_millicores for target in healthy),
        'filler_millicores': sum(
            target.filler_millicores for target in healthy
        ),
        'filler_used_millicores': sum(
            target.filler_used_millicores for target in healthy
        ),
        'active_workflows': len(active_jobs),
        'waiting_tasks': len(waiting),
        'waiting_millicores': sum(waiting),
    }
