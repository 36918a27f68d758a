"""Memory of the owner: what accepted workflows take, and which are refused."""

import dataclasses
import gc
import tracemalloc

import pytest

from borageshelf.model import workflows
from borageshelf.workflows import effects
from borageshelf.workflows import memory_budget
from tests import workflow_support as support

NOW_WALL_MS = support.WALL_MS + 100_000
LIMIT_BYTES = 12 * 2**20
SHAPES = {
    'single task': support.make_workflow(),
    'many tasks that last': support.make_workflow(
        support.make_step(5_000, is_lasting=True)
    ),
    'many steps': support.make_workflow(
        *(support.make_step(is_lasting=True) for _ in range(1_000))
    ),
    'long specification': dataclasses.replace(
        support.make_workflow(support.make_step(is_lasting=True)),
        spec='\N{GREEK SMALL LETTER ALPHA}' * 100_000,
    ),
    'long labels': support.make_workflow(
        *(
            support.make_step(is_lasting=True, label=f'{number}' * 2_000)
            for number in range(50)
        )
    ),
    'recurring and due': dataclasses.replace(
        support.make_workflow(support.make_step(6)),
        occurrences=800,
        first_start_ms=NOW_WALL_MS,
        period_ms=300_000,
    ),
    'all occurrences due at once': dataclasses.replace(
        support.make_workflow(support.make_step(6)), occurrences=800
    ),
}


def copy_workflow(
    workflow: workflows.Workflow, number: int
) -> workflows.Workflow:
    """Return a workflow with texts of its own, as one that is decoded."""

    def copy(text: str) -> str:
        return ''.join(list(text))

    return dataclasses.replace(
        workflow,
        workflow_id=f'{number:016x}',
        spec=copy(workflow.spec),
        steps=tuple(
            dataclasses.replace(step, label=copy(step.label))
            for step in workflow.steps
        ),
    )


def fill(cluster: support.Cluster, workflow: workflows.Workflow) -> int:
    """Hand in copies until one is refused; return how many are accepted."""
    for number in range(100_000):
        cluster.submit(copy_workflow(workflow, number), token=number)
        reply = cluster.replies.pop(number, None)
        if reply is not None and reply.outcome is effects.Outcome.REFUSED:
            assert reply.retry_after_s > 0
            return number
        cluster.commit(cluster.core.take_batch())
        # The store is not in the owner's memory.
        cluster.stored.clear()
        cluster.replies.clear()
        cluster.log_lines.clear()
    raise AssertionError('nothing is refused')


@pytest.mark.parametrize('shape', SHAPES)
def test_accepted_workflows_fit_in_memory(
    shape: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against owners that accept until they are killed, in turn."""
    monkeypatch.setattr(memory_budget, 'LIMIT_BYTES', LIMIT_BYTES)
    cluster = support.Cluster()
    gc.collect()
    tracemalloc.start()
    try:
        accepted = fill(cluster, SHAPES[shape])
        cluster.core.schedule(cluster.moment)
        gc.collect()
        used_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert accepted > 0
    assert LIMIT_BYTES / 4 <= used_bytes <= LIMIT_BYTES


def test_refused_workflow_is_accepted_once_another_has_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against memory that stays reserved."""
    monkeypatch.setattr(memory_budget, 'LIMIT_BYTES', LIMIT_BYTES)
    cluster = support.Cluster()
    cluster.add_target('vm-0', 64_000_000, 256_000_000)
    lasting = SHAPES['many tasks that last']
    accepted = fill(cluster, lasting)
    cluster.run_until_idle()
    assert len(cluster.list_running()) == accepted * 5_000
    cluster.cancel(f'{0:016x}')
    cluster.run_until_idle()
    for task in cluster.list_running()[:5_000]:
        cluster.end_run(task)
    cluster.run_until_idle()
    cluster.submit(copy_workflow(lasting, accepted), token=7)
    cluster.run_until_idle()
    assert cluster.replies[7].outcome is effects.Outcome.ACCEPTED


def test_planned_number_of_recurring_workflows_is_accepted() -> None:
    """Guards against a bound that counts what is due in days."""
    cluster = support.Cluster()
    due = SHAPES['recurring and due']
    workflow = dataclasses.replace(due, first_start_ms=NOW_WALL_MS + 10**6)
    for number in range(10_000):
        cluster.core.submit(
            copy_workflow(workflow, number), support.QUEUE, 1, cluster.moment
        )
    assert len(cluster.core.jobs) == 10_000


def test_missed_occurrences_of_many_workflows_do_not_all_come_at_once() -> (
    None
):
    """Guards against an owner that an outage of a day fills."""
    cluster = support.Cluster()
    due = SHAPES['recurring and due']
    for number in range(500):
        cluster.submit(copy_workflow(due, number), token=number)
    cluster.now_ms += 800 * 300_000
    cluster.core.schedule(cluster.moment)
    open_counts = [job.open_task_count for job in cluster.core.jobs.values()]
    assert min(open_counts) >= 6
    most = memory_budget.OPEN_TASKS_LIMIT + 2 * 204 + len(open_counts) * 6
    assert sum(open_counts) <= most
