"""Estimated work and run times of workflows."""

from collections import abc
from typing import Final

from borageshelf.model import workflows
from borageshelf.workflows import records

# Used where the caller gives no estimate; about the mean of the users' tasks.
DEFAULT_ESTIMATE_MS: Final = 1_000


def get_estimate_ms(step: workflows.Step) -> int:
    """Return the estimated run time of one task."""
    return step.estimate_ms or DEFAULT_ESTIMATE_MS


def compute_work(steps: abc.Iterable[workflows.Step]) -> int:
    """Return the estimated processor time of steps, in millicore-ms.

    Tasks that last are left out.
    """
    return sum(
        step.count
        * max(step.demand.processor_millicores, 1)
        * get_estimate_ms(step)
        for step in steps
        if not step.is_lasting
    )


def compute_path_ms(
    steps: abc.Iterable[workflows.Step], complete: abc.Container[int]
) -> int:
    """Return the estimated run time of the critical path.

    :param complete: numbers of the steps that are complete
    """
    ends_ms: list[int] = []
    for number, step in enumerate(steps):
        start_ms = max((ends_ms[i] for i in step.after), default=0)
        own_ms = get_estimate_ms(step)
        ends_ms.append(start_ms + (0 if number in complete else own_ms))
    return max(ends_ms)


def compute_objective_ms(
    workflow: workflows.Workflow, terms: records.Terms
) -> int:
    """Return the time in which a caller expects a workflow to complete."""
    critical_path_ms = workflows.compute_critical_path_ms(workflow)
    critical_path_ms = critical_path_ms or DEFAULT_ESTIMATE_MS
    return (
        round(terms.slack_factor * critical_path_ms) + terms.latency_target_ms
    )
