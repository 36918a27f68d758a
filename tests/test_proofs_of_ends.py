"""Proofs that a run has ended, without which its task is not started again."""

from typing import Any

import pytest

from borageshelf.ports import task_executor
from borageshelf.workflows import messages
from borageshelf.workflows import owner
from tests import workflow_support as support

TASK = '0123456789abcdef.0.0.0'


def send_gone(
    cluster: support.Cluster, fake: support.FakeTarget, **fields: Any
) -> None:
    """Let the agent of a target report that its executor has gone."""
    gone = messages.ExecutorGone(
        0,
        fake.make_state().incarnation,
        messages.GoneCause.RESTARTED,
        **fields,
    )
    target = cluster.core.targets[fake.target_id]
    cluster.core.handle_executor_gone(target, gone, cluster.moment)
    cluster.run_until_idle()


def make_unproved_cluster() -> tuple[support.Cluster, support.FakeTarget]:
    """Return a cluster with a run that the next incarnation may start."""
    cluster = support.Cluster()
    fakes = [cluster.add_target(f'vm-{number}') for number in range(2)]
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    target_id = cluster.find_target_id(TASK)
    (fake,) = (fake for fake in fakes if fake.target_id == target_id)
    key = (TASK, 1)
    send_gone(cluster, fake, reached=(key,), unproved=(key,))
    return cluster, fake


def test_late_run_of_the_next_incarnation_is_not_started_elsewhere() -> None:
    cluster, fake = make_unproved_cluster()
    assert len(cluster.sent_starts) == 1
    # The late order reaches the next incarnation.
    cluster.restart(fake)
    cluster.run_until_idle()
    assert len(cluster.sent_starts) == 1
    assert cluster.list_running() == [TASK]


def test_run_that_the_next_incarnation_has_not_started_is_started_again() -> (
    None
):
    cluster, fake = make_unproved_cluster()
    fake.running.clear()
    cluster.restart(fake)
    cluster.run_until_idle()
    assert [start[2] for start in cluster.sent_starts] == [1, 2]


def test_run_of_an_executor_that_stays_away_is_started_again() -> None:
    cluster, fake = make_unproved_cluster()
    fake.running.clear()
    cluster.now_ms += support.GRANT_MS
    cluster.run_until_idle()
    assert [start[2] for start in cluster.sent_starts] == [1, 2]


def test_new_agent_that_knows_no_runs_proves_no_end_of_an_order() -> None:
    cluster = support.Cluster()
    for number in range(2):
        cluster.add_target(f'vm-{number}')
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    (start,) = cluster.sent_starts
    send_gone(cluster, cluster.targets[start[0]], reached=None)
    assert len(cluster.sent_starts) == 1


def test_run_whose_end_a_snapshot_leaves_out_is_not_started_again() -> None:
    cluster = support.Cluster()
    fake = cluster.add_target('vm-0')
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    target = cluster.core.targets[fake.target_id]
    snapshot = messages.Snapshot(0, fake.make_state(), (), (), False)
    cluster.core.apply_snapshot(target, snapshot, cluster.moment)
    cluster.run_until_idle()
    assert len(cluster.sent_starts) == 1
    complete = messages.Snapshot(0, fake.make_state(), (), ())
    cluster.core.apply_snapshot(target, complete, cluster.moment)
    cluster.run_until_idle()
    assert len(cluster.sent_starts) == 2


def test_repeated_report_of_a_crash_counts_once_against_a_kept_run() -> None:
    cluster, fake = make_unproved_cluster()
    key = (TASK, 1)
    (run,) = cluster.core.jobs[TASK.split('.')[0]].list_runs()
    history = run.task.crash_history
    for _ in range(4):
        send_gone(cluster, fake, reached=(key,), unproved=(key,))
    assert run.task.crash_history == history


@pytest.mark.parametrize('is_restarted', [False, True])
def test_success_of_a_dropped_run_is_not_acknowledged_and_started_again(
    is_restarted: bool,
) -> None:
    cluster = support.Cluster()
    fake = cluster.add_target('vm-0')
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    refused = messages.StartRefused(0, TASK, 1, 'absent')
    target = cluster.core.targets[fake.target_id]
    cluster.core.handle_start_refusal(target, refused, cluster.moment)
    if is_restarted:
        cluster.now_ms += owner.START_REFUSAL_PAUSE_MS
        cluster.run_until_idle()
        assert fake.running == {TASK: 2}
    count = len(cluster.sent_starts)
    end = messages.Ended(1, TASK, 1, task_executor.EndKind.DONE, '')
    cluster.core.handle_run_end(target, end, cluster.moment)
    cluster.now_ms += 2 * owner.START_REFUSAL_PAUSE_MS
    cluster.run_until_idle()
    assert len(cluster.sent_starts) == count
    assert cluster.core.find_state(TASK.split('.')[0]) == 'completed'
    assert fake.stop_orders == ({TASK} if is_restarted else set())
