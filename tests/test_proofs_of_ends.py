"""Proofs that a run has ended, without which its task is not started again."""

from typing import Any

from borageshelf.workflows import messages
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
    """Return a cluster whose one run may be started by the next incarnation."""
    cluster = support.Cluster()
    fakes = [cluster.add_target(f'vm-{number}') for number in range(2)]
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    target_id = cluster.find_target_id(TASK)
    (fake,) = (fake for fake in fakes if fake.target_id == target_id)
    key = (TASK, 1)
    send_gone(cluster, fake, reached=(key,), unproved=(key,))
    return cluster, fake


def test_run_that_the_next_incarnation_may_start_is_not_started_elsewhere() -> (
    None
):
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
