"""Asks admission control about a workflow, on behalf of the owner's core.

The decision itself is in ``decisions.workflow_admission``; this module
describes the request and the load to it.
"""

from collections import abc

from borageshelf import clock
from borageshelf.decisions import workflow_admission
from borageshelf.model import workflows
from borageshelf.workflows import estimates
from borageshelf.workflows import jobs
from borageshelf.workflows import records
from borageshelf.workflows import targets


def decide(
    workflow: workflows.Workflow,
    terms: records.Terms,
    known_targets: abc.Iterable[targets.Target],
    active_jobs: abc.Iterable[jobs.Job],
    moment: clock.Moment,
) -> workflow_admission.Admitted | workflow_admission.Refused:
    """Decide whether a workflow can be completed in time.

    Lasting and timed workflows have no expected end to compare with an
    objective.

    :param active_jobs: the accepted workflows that have not ended
    """
    is_lasting = any(step.is_lasting for step in workflow.steps)
    if is_lasting or workflow.has_due_times:
        return workflow_admission.Admitted(0, True)
    has_filler = any(step.is_filler for step in workflow.steps)
    room_millicores = sum(
        _compute_room_millicores(target, has_filler)
        for target in known_targets
        if target.service == terms.service
        and target.is_healthy(moment.elapsed_ms)
    )
    accepted = [
        workflow_admission.Accepted(
            job.estimate_remaining_work(moment.wall_ms),
            job.objective_deadline_ms,
            job.terms.is_prompt,
        )
        for job in active_jobs
        if job.terms.service == terms.service
        and job.terms.priority <= terms.priority
    ]
    return workflow_admission.decide_admission(
        workflow_admission.Request(
            workflow.workflow_id,
            estimates.compute_work(workflow.steps),
            workflows.compute_critical_path_ms(workflow),
            estimates.compute_objective_ms(workflow, terms),
        ),
        workflow_admission.Load(accepted, room_millicores),
        moment.elapsed_ms,
    )


def _compute_room_millicores(target: targets.Target, has_filler: bool) -> int:
    """Return the millicores that a workflow could use on a target."""
    room_millicores = (
        target.capacity.processor_millicores - target.busy_millicores
    )
    if not has_filler:
        # Admission control counts the remaining work of the short tasks that
        # run now, so their processors count as free.
        room_millicores += target.short_millicores
    return max(room_millicores, 0)
