"""Workflows that repeat: what they keep in memory, and what runs when."""

import dataclasses
import random
from typing import Any

import pytest

from borageshelf.model import workflows
from borageshelf.workflows import jobs
from borageshelf.workflows import journal
from borageshelf.workflows import occurrences
from borageshelf.workflows import records
from tests import workflow_support as support

OCCURRENCES = 800
TASKS = 6
PERIOD_MS = 300_000
DUE_IN_MS = 45_000
JOBS = 200
ID = '0123456789abcdef'
NOW_WALL_MS = support.WALL_MS + 100_000


def make_recurring(workflow_id: str = ID, **fields: Any) -> workflows.Workflow:
    """Return a workflow that runs for days, as in review/1."""
    fields.setdefault('occurrences', OCCURRENCES)
    fields.setdefault('first_start_ms', NOW_WALL_MS + DUE_IN_MS)
    fields.setdefault('period_ms', PERIOD_MS)
    return dataclasses.replace(
        support.make_workflow(
            support.make_step(TASKS), workflow_id=workflow_id
        ),
        **fields,
    )


def make_cluster(targets: int = 1) -> support.Cluster:
    """Return an owner with targets that have room for all tasks."""
    cluster = support.Cluster()
    for number in range(targets):
        cluster.add_target(f'vm-{number}', 64_000_000, 256_000_000)
    return cluster


def list_ids(count: int = JOBS) -> list[str]:
    """Return ids of workflows."""
    return [f'{number:016x}' for number in range(count)]


def count_tasks(cluster: support.Cluster) -> int:
    """Return the number of tasks in the memory of the owner."""
    return sum(len(job.tasks) for job in cluster.core.jobs.values())


def end_all_runs(cluster: support.Cluster) -> None:
    """Let all tasks succeed that run now."""
    for task in cluster.list_running():
        cluster.end_run(task)
    cluster.run_until_idle()


def test_occurrences_that_are_not_due_take_no_memory() -> None:
    """Guards against owners that recurring workflows fill up (review/1)."""
    cluster = make_cluster()
    for workflow_id in list_ids():
        cluster.submit(make_recurring(workflow_id))
    cluster.run_until_idle()
    assert count_tasks(cluster) == 0
    cluster.now_ms += DUE_IN_MS
    cluster.run_until_idle()
    assert count_tasks(cluster) == JOBS * TASKS
    assert len(cluster.list_running()) == JOBS * TASKS
    cluster.take_over()
    assert count_tasks(cluster) == JOBS * TASKS
    for fake in cluster.targets.values():
        cluster.attach(fake)
    end_all_runs(cluster)
    assert count_tasks(cluster) == 0


def test_complete_occurrences_take_no_room_in_the_store() -> None:
    """Guards against records that grow with each occurrence."""
    cluster = make_cluster()
    cluster.submit(make_recurring())
    cluster.run_until_idle()
    key = records.make_state_key(ID)
    sizes = []
    for _ in range(3):
        cluster.now_ms += 20 * PERIOD_MS
        cluster.run_until_idle()
        end_all_runs(cluster)
        sizes.append(len(cluster.stored[key]))
    assert max(sizes) <= min(sizes) + 4
    assert count_tasks(cluster) == 0


@pytest.mark.parametrize('first_start_ms', [0, 1])
def test_missed_occurrences_come_into_memory_little_by_little(
    first_start_ms: int,
) -> None:
    """Guards against owners that are filled by what is due at once."""
    cluster = support.Cluster()
    cluster.add_target('vm-0', TASKS * 1_000)
    cluster.submit(make_recurring(first_start_ms=first_start_ms))
    limit = occurrences.WAITING_TASKS_LIMIT + 3 * TASKS
    started = 0
    for _ in range(OCCURRENCES):
        cluster.run_until_idle()
        assert count_tasks(cluster) < limit
        assert len(cluster.list_running()) == TASKS
        started += TASKS
        end_all_runs(cluster)
        if len(cluster.sent_starts) == OCCURRENCES * TASKS:
            break
    end_all_runs(cluster)
    assert cluster.core.find_state(ID) == 'completed'
    assert len({task for _, task, _ in cluster.sent_starts}) == (
        OCCURRENCES * TASKS
    )


def test_lasting_occurrences_all_run() -> None:
    """Guards against occurrences that wait for some that never complete."""
    cluster = make_cluster()
    workflow = make_recurring(first_start_ms=0)
    step = dataclasses.replace(workflow.steps[0], is_lasting=True)
    cluster.submit(dataclasses.replace(workflow, steps=(step,)))
    cluster.run_until_idle()
    assert len(cluster.list_running()) == OCCURRENCES * TASKS


@pytest.mark.parametrize('seed', range(30))
def test_each_occurrence_runs_once_under_changes_of_owner(seed: int) -> None:
    """Guards against complete occurrences that a next owner starts again.

    Occurrences overlap and complete in any order, and stale copies of tasks
    end after their occurrence is complete.
    """
    rng = random.Random(seed)
    cluster = make_cluster(2)
    count = 12
    steps = (
        support.make_step(2, is_speculative=rng.random() < 0.5),
        support.make_step(1, after=(0,)),
        support.make_step(2, after=(0, 1), is_gang=True),
    )
    workflow = make_recurring(occurrences=count, period_ms=1_000)
    cluster.submit(dataclasses.replace(workflow, steps=steps))
    cluster.run_until_idle()
    due_ms = cluster.now_ms + DUE_IN_MS
    for _ in range(400):
        cluster.now_ms += rng.choice((0, 500, DUE_IN_MS // 2))
        cluster.run_until_idle()
        for _, task, _ in cluster.sent_starts:
            occurrence = int(task.split('.')[1])
            assert cluster.now_ms >= due_ms + occurrence * 1_000
        running = cluster.list_running()
        rng.shuffle(running)
        for task in running[: rng.randint(0, 4)]:
            if cluster.find_target_id(task):
                cluster.end_run(task)
        cluster.run_until_idle()
        if rng.random() < 0.3:
            cluster.take_over()
            for fake in cluster.targets.values():
                cluster.attach(fake)
        if cluster.core.find_state(ID) == 'completed':
            break
    assert cluster.core.find_state(ID) == 'completed'
    started = [(task, attempt) for _, task, attempt in cluster.sent_starts]
    assert sorted(started) == sorted(set(started))
    assert sorted({task for task, _ in started}) == sorted(
        f'{ID}.{occurrence}.{step}.{index}'
        for occurrence in range(count)
        for step, size in enumerate((2, 1, 2))
        for index in range(size)
    )


def test_record_of_a_former_version_keeps_what_is_done() -> None:
    """Guards against an update after which complete occurrences run again."""
    workflow = make_recurring(occurrences=3, first_start_ms=0)
    terms = records.Terms('q', 's', 0, 3, 1.0, 0, 0)
    former = records.StateRecord(
        tasks=tuple(
            records.TaskRecord(number, number != TASKS, 1)
            for number in range(TASKS + 2)
        )
    )
    job = jobs.Job(workflow, terms, 0)
    job.restore(journal.decode(journal.encode(former), type(former)), 0)
    assert len(job.tasks) == TASKS
    assert [task.is_done for task in job.tasks[:2]] == [False, True]
    job.open_due_occurrences(NOW_WALL_MS, occurrences.WAITING_TASKS_LIMIT)
    assert [
        group.occurrence for group in job.list_waiting_groups(NOW_WALL_MS)
    ] == [1, 2]
    assert job.describe_state() == 'running'


@pytest.mark.parametrize('complete', [((0, 3),), ((2, 1),), ((2**50, 2**51),)])
def test_impossible_complete_occurrences_are_refused(
    complete: tuple[tuple[int, int], ...],
) -> None:
    """Guards against an odd record that would end a workflow."""
    terms = records.Terms('q', 's', 0, 3, 1.0, 0, 0)
    job = jobs.Job(make_recurring(occurrences=3), terms, 0)
    state = records.StateRecord(complete_occurrences=complete)
    with pytest.raises(ValueError, match='range|occurrence'):
        job.restore(state, 0)


def test_occurrences_that_are_not_due_keep_nobody_out() -> None:
    """Guards against a recurring workflow that closes its queue to others."""
    cluster = support.Cluster()
    cluster.add_target('vm-0', 2_000)
    cluster.now_ms += support.GRANT_MS
    cluster.submit(make_recurring())
    cluster.run_until_idle()
    cluster.submit(support.make_workflow(workflow_id='f' * 16), token=7)
    cluster.run_until_idle()
    assert cluster.core.find_state('f' * 16) == 'running'
    cluster.now_ms += DUE_IN_MS + OCCURRENCES * PERIOD_MS
    cluster.run_until_idle()
    cluster.submit(support.make_workflow(workflow_id='e' * 16), token=8)
    assert cluster.core.find_state('e' * 16) is None
    assert cluster.replies[8].retry_after_s
