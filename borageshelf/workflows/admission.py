"""Decides whether the owner accepts a workflow.

Whether it can be completed in time is decided by
``decisions.workflow_admission``; this module describes the request and the
load to it.
"""

from collections import abc
import dataclasses
import math
from typing import Any, Final

from borageshelf import clock
from borageshelf.decisions import workflow_admission
from borageshelf.model import workflows
from borageshelf.workflows import cancellations
from borageshelf.workflows import estimates
from borageshelf.workflows import jobs
from borageshelf.workflows import memory_budget
from borageshelf.workflows import records
from borageshelf.workflows import targets

# Memory becomes free when workflows end, which takes seconds to minutes.
MEMORY_RETRY_MS: Final = 6_000


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The workflow is refused.

    :param retry_after_s: time after which the caller may retry
    :param details: fields of the log line
    """

    retry_after_s: int
    details: dict[str, Any]


class Admission:
    """Admits workflows to an owner; follows the owner's own collections.

    :param known_jobs: all workflows in memory, by id
    :param active_jobs: those of them that have not ended
    :param cancelled: ids that were cancelled before they arrived
    :param discovery_deadline_ms: elapsed time by which the targets of the
        fleet are known
    """

    def __init__(
        self,
        known_jobs: abc.Mapping[str, jobs.Job],
        active_jobs: abc.Mapping[str, jobs.Job],
        known_targets: abc.Mapping[str, targets.Target],
        cancelled: cancellations.Cancellations,
        discovery_deadline_ms: int,
    ) -> None:
        self._known_jobs = known_jobs
        self._active_jobs = active_jobs
        self._targets = known_targets
        self._cancelled = cancelled
        self._discovery_deadline_ms = discovery_deadline_ms

    def decide(
        self,
        workflow: workflows.Workflow,
        terms: records.Terms,
        moment: clock.Moment,
    ) -> workflow_admission.Admitted | Refusal:
        """Decide on a workflow that is not known yet."""
        workflow_id = workflow.workflow_id
        left_ms = self._cancelled.compute_left_ms(
            workflow_id, moment.elapsed_ms
        )
        if left_ms:
            return Refusal(
                math.ceil(left_ms / 1000),
                {'cause': 'cancelled before it arrived'},
            )
        if not memory_budget.has_room(workflow, self._known_jobs.values()):
            return Refusal(
                workflow_admission.compute_retry_after_s(
                    workflow_id, MEMORY_RETRY_MS
                ),
                {'cause': 'the accepted workflows fill the memory'},
            )
        decision = self._predict(workflow, terms, moment)
        if isinstance(decision, workflow_admission.Refused):
            return Refusal(
                decision.retry_after_s, {'expected_ms': decision.expected_ms}
            )
        return decision

    def _predict(
        self,
        workflow: workflows.Workflow,
        terms: records.Terms,
        moment: clock.Moment,
    ) -> workflow_admission.Admitted | workflow_admission.Refused:
        """Decide whether a workflow can be completed in time.

        Lasting and timed workflows have no expected end to compare with an
        objective.
        """
        now_ms = moment.elapsed_ms
        is_lasting = any(step.is_lasting for step in workflow.steps)
        if is_lasting or workflow.has_due_times:
            return workflow_admission.Admitted(0, True)
        if now_ms < self._discovery_deadline_ms:
            # The targets of the fleet are not known yet.
            return workflow_admission.Admitted(0, True)
        has_filler = any(step.is_filler for step in workflow.steps)
        room_millicores = sum(
            _compute_room_millicores(target, has_filler)
            for target in self._targets.values()
            if target.service == terms.service and target.is_healthy(now_ms)
        )
        accepted = [
            workflow_admission.Accepted(
                job.estimate_remaining_work(moment.wall_ms),
                job.objective_deadline_ms,
                job.terms.is_prompt,
            )
            for job in self._active_jobs.values()
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
            now_ms,
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
