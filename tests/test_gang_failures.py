"""Failed attempts of tasks, and of gangs, whose members share them."""

import itertools
import random

import pytest

from borageshelf.ports import task_executor
from borageshelf.workflows import jobs
from borageshelf.workflows import messages
from borageshelf.workflows import records
from tests import workflow_support as support

FAILED = task_executor.EndKind.FAILED
BROKEN = task_executor.EndKind.GANG_BROKEN
MEMBERS = 3
LIMIT = support.QUEUE.attempts_limit


def make_cluster() -> support.Cluster:
    """Return an owner that has started a gang on several targets."""
    cluster = support.Cluster()
    for number in range(MEMBERS):
        cluster.add_target(f't{number}')
    cluster.submit(
        support.make_workflow(support.make_step(MEMBERS, is_gang=True))
    )
    cluster.run_until_idle()
    return cluster


def change_owner(cluster: support.Cluster) -> None:
    """Replace the owner; all agents report to the next one."""
    cluster.take_over()
    for fake in cluster.targets.values():
        cluster.attach(fake)


def find_job(cluster: support.Cluster) -> jobs.Job:
    """Return the only workflow."""
    (job,) = cluster.core.jobs.values()
    return job


def test_members_that_fail_together_are_one_failed_attempt() -> None:
    """Guards against a gang given up after one failed run (review/9)."""
    cluster = make_cluster()
    for attempt in range(1, LIMIT + 1):
        assert find_job(cluster).phase is records.Phase.ACTIVE
        assert len(cluster.sent_starts) == attempt * MEMBERS
        for task in cluster.list_running():
            cluster.end_run(task, FAILED)
        cluster.run_until_idle()
    assert len(cluster.sent_starts) == LIMIT * MEMBERS
    (archived,) = cluster.core.archive.values()
    assert archived.phase is records.Phase.FAILED


@pytest.mark.parametrize('seed', range(40))
def test_failures_count_by_attempt_in_any_order(seed: int) -> None:
    """Guards against counts that depend on who reports an end, and when.

    Members fail or are broken in any order; the owner changes before, between
    and after their ends, which are then reported again if they were not
    acknowledged.
    """
    rng = random.Random(seed)
    cluster = make_cluster()
    failed_attempts = 0
    for _ in itertools.count():
        running = cluster.list_running()
        if not running:
            break
        assert len(running) == MEMBERS
        rng.shuffle(running)
        failing = running[: rng.randint(0, MEMBERS)]
        failed_attempts += bool(failing)
        rng.shuffle(running)
        for task in running:
            cluster.end_run(task, FAILED if task in failing else BROKEN)
            if rng.random() < 0.3:
                cluster.commit(cluster.core.take_batch())
            if rng.random() < 0.3:
                change_owner(cluster)
        cluster.run_until_idle()
    assert failed_attempts == LIMIT
    (archived,) = cluster.core.archive.values()
    assert archived.phase is records.Phase.FAILED


@pytest.mark.parametrize('lost', range(MEMBERS))
def test_gang_with_a_start_that_is_not_sent_begins_again(lost: int) -> None:
    """Guards against members that wait in vain for one that never begins."""
    cluster = support.Cluster()
    for number in range(MEMBERS + 1):
        cluster.add_target(f't{number}', millicores=1_000)
    cluster.submit(
        support.make_workflow(support.make_step(MEMBERS, is_gang=True))
    )
    cluster.core.schedule(cluster.moment)
    batch = cluster.core.take_batch()
    (job,) = cluster.core.jobs.values()
    target_id = [run.target_id for run in job.list_runs()][lost]
    cluster.core.detach(target_id, cluster.targets[target_id].session)
    cluster.commit(batch)
    sent = cluster.list_running()
    ordered = {
        task for fake in cluster.targets.values() for task in fake.stop_orders
    }
    assert ordered == set(sent)
    for task in sent:
        cluster.end_run(task, BROKEN)
    cluster.run_until_idle()
    assert len(cluster.list_running()) == MEMBERS
    assert {task.failures for task in job.tasks} == {0}


def test_records_that_count_members_count_no_more_than_the_attempts() -> None:
    """Guards against gangs given up because a former version overcounted."""
    job = find_job(make_cluster())
    record = job.make_record()
    former = records.StateRecord(
        tasks=tuple(
            records.TaskRecord(task.number, attempts=1, failures=LIMIT - 1)
            for task in record.tasks
        )
    )
    restored = jobs.Job(job.workflow, job.terms, 0)
    restored.restore(former, 0)
    assert [task.failures for task in restored.tasks] == [1] * MEMBERS
    for task in restored.tasks:
        task.attempts = 2
    assert restored.tasks[0].failed_attempts.add(2)
    again = jobs.Job(job.workflow, job.terms, 0)
    again.restore(restored.make_record(), 0)
    assert [task.failures for task in again.tasks] == [2] * MEMBERS


@pytest.mark.parametrize('members', [1, MEMBERS])
@pytest.mark.parametrize('is_owner_changed', [False, True])
def test_failure_of_a_run_that_was_taken_for_lost_counts(
    members: int, is_owner_changed: bool
) -> None:
    """Guards against one more start than the attempts allow (BUDGET).

    The run has failed on a target that was given up before it could tell; the
    failure is acknowledged once the target is back.
    """
    cluster = support.Cluster()
    for number in range(MEMBERS + 1):
        cluster.add_target(f't{number}')
    cluster.submit(
        support.make_workflow(support.make_step(members, is_gang=members > 1))
    )
    cluster.run_until_idle()
    lost = next(fake for fake in cluster.targets.values() if fake.running)
    (name,) = lost.running
    failed = messages.Ended(1, name, lost.running.pop(name), FAILED, '')
    cluster.core.detach(lost.target_id, lost.session)
    for fake in cluster.targets.values():
        for task in list(fake.running):
            cluster.end_run(task, BROKEN)
    cluster.now_ms += 2 * support.GRANT_MS
    cluster.run_until_idle()
    for _ in range(LIMIT - 1):
        assert len(cluster.list_running()) == members
        for task in cluster.list_running():
            cluster.end_run(task, FAILED)
        if is_owner_changed:
            cluster.commit(cluster.core.take_batch())
            cluster.take_over()
            for fake in cluster.targets.values():
                if fake is not lost:
                    cluster.attach(fake)
        cluster.run_until_idle()
    assert len(cluster.sent_starts) == (LIMIT + 1) * members
    for task in cluster.list_running():
        cluster.end_run(task, BROKEN)
    for _ in range(2):
        # An agent repeats what was not acknowledged.
        lost.ended = {failed.number: failed}
        cluster.attach(lost)
        cluster.run_until_idle()
    assert len(cluster.sent_starts) == (LIMIT + 1) * members
    (archived,) = cluster.core.archive.values()
    assert archived.phase is records.Phase.FAILED


def test_gang_avoids_a_target_on_which_one_of_its_members_failed() -> None:
    """Guards against gangs that fail on one target until they are given up.

    Only the member that had failed there avoided it, and another one was
    placed in its stead.
    """
    cluster = support.Cluster()
    for number in range(MEMBERS + 1):
        cluster.add_target(f't{number}')
    cluster.submit(
        support.make_workflow(support.make_step(MEMBERS, is_gang=True))
    )
    cluster.run_until_idle()
    failing_id = cluster.find_target_id(cluster.list_running()[0])
    for task in cluster.list_running():
        is_failing = cluster.find_target_id(task) == failing_id
        cluster.end_run(task, FAILED if is_failing else BROKEN)
    cluster.run_until_idle()
    placed = {target_id for target_id, _, _ in cluster.sent_starts[MEMBERS:]}
    assert len(cluster.sent_starts) == 2 * MEMBERS
    assert failing_id not in placed
