"""The checkpoint from which all members of a gang start again."""

import random

import pytest

from borageshelf.ports import task_executor
from borageshelf.workflows import jobs
from borageshelf.workflows import messages
from borageshelf.workflows import records
from tests import workflow_support as support

MEMBERS = 4
BROKEN = task_executor.EndKind.GANG_BROKEN


def make_cluster() -> support.Cluster:
    """Return an owner that has started a gang which checkpoints."""
    cluster = support.Cluster()
    for number in range(MEMBERS + 1):
        cluster.add_target(f't{number}')
    step = support.make_step(MEMBERS, is_gang=True, is_checkpointing=True)
    cluster.submit(support.make_workflow(step))
    cluster.run_until_idle()
    return cluster


def report(
    cluster: support.Cluster, task: str, percent: int, checkpoint: str
) -> None:
    """Report the progress of a member."""
    target_id = cluster.find_target_id(task)
    assert target_id is not None
    target = cluster.core.targets[target_id]
    attempt = cluster.targets[target_id].running[task]
    row = messages.Row(task, attempt, checkpoint, percent)
    cluster.core.update_progress(target, (row,), cluster.moment)


@pytest.mark.parametrize('seed', range(20))
def test_members_start_from_one_checkpoint_after_a_crash(seed: int) -> None:
    """Guards against gangs that end alone without end (review/7).

    The member on the crashed executor kept its last report, the others the
    newer checkpoints of their ends. The members report in any order, and the
    owner changes at any moment.
    """
    rng = random.Random(seed)
    cluster = make_cluster()
    for percent in (20, 40, 60):
        members = cluster.list_running()
        rng.shuffle(members)
        # The last one is late; its report is overtaken.
        for task in (*members[: rng.randint(1, MEMBERS)], members[0]):
            late_percent = rng.choice((percent, percent - 10))
            report(cluster, task, late_percent, f'c{late_percent}')
    victim = rng.choice(
        [fake for fake in cluster.targets.values() if fake.running]
    )
    cluster.crash(victim)
    for task in cluster.list_running():
        saved = rng.choice(('', 'c65'))
        cluster.end_run(task, BROKEN, saved)
        if rng.random() < 0.3:
            cluster.commit(cluster.core.take_batch())
            cluster.take_over()
            for fake in cluster.targets.values():
                if fake is not victim:
                    cluster.attach(fake)
    cluster.restart(victim)
    cluster.run_until_idle()
    (job,) = cluster.core.jobs.values()
    assert [start[2] for start in cluster.sent_starts[MEMBERS:]] == (
        [2] * MEMBERS
    )
    (checkpoint,) = {task.checkpoint for task in job.tasks}
    assert checkpoint in ('c60', 'c65')


def test_report_of_less_progress_replaces_no_checkpoint() -> None:
    """Guards against a gang that loses work by the order of the reports."""
    cluster = make_cluster()
    first, second, *_ = cluster.list_running()
    report(cluster, first, 40, 'c40')
    report(cluster, second, 30, 'c30')
    (job,) = cluster.core.jobs.values()
    assert {task.checkpoint for task in job.tasks} == {'c40'}


def test_different_checkpoints_of_a_former_version_become_one() -> None:
    """Guards against records of gangs that can never work again."""
    (job,) = make_cluster().core.jobs.values()
    former = records.StateRecord(
        tasks=tuple(
            records.TaskRecord(
                task.number, attempts=1, checkpoint=f'c{task.number}'
            )
            for task in job.tasks
        )
    )
    restored = jobs.Job(job.workflow, job.terms, 0)
    restored.restore(former, 0)
    assert len({task.checkpoint for task in restored.tasks}) == 1
