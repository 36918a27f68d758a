"""Proofs that a run has ended, without which its task is not started again."""

from typing import Any

import pytest

from borageshelf.ports import task_executor
from borageshelf.workflows import end_proofs
from borageshelf.workflows import messages
from borageshelf.workflows import owner
from borageshelf.workflows import policy
from tests import workflow_support as support

TASK = '0123456789abcdef.0.0.0'


def send_gone(
    cluster: support.Cluster,
    fake: support.FakeTarget,
    cause: messages.GoneCause = messages.GoneCause.RESTARTED,
    **fields: Any,
) -> None:
    """Let the agent of a target report that its executor has gone.

    The list of VMs confirms what is no proof.
    """
    gone = messages.ExecutorGone(
        0,
        fake.make_state().incarnation,
        cause,
        **fields,
    )
    target = cluster.core.targets[fake.target_id]
    cluster.core.handle_executor_gone(target, gone, cluster.moment)
    if not end_proofs.is_proof(cause):
        cluster.list_vms_without(fake)
    cluster.run_until_idle()


def make_unproved_cluster(
    cause: messages.GoneCause = messages.GoneCause.RESTARTED,
) -> tuple[support.Cluster, support.FakeTarget]:
    """Return a cluster with a run that the next incarnation may start."""
    cluster = support.Cluster()
    fakes = [cluster.add_target(f'vm-{number}') for number in range(2)]
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    target_id = cluster.find_target_id(TASK)
    (fake,) = (fake for fake in fakes if fake.target_id == target_id)
    key = (TASK, 1)
    send_gone(cluster, fake, cause, reached=(key,), unproved=(key,))
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


@pytest.mark.parametrize(
    ('is_in_touch', 'is_listed_up', 'missed_readings', 'orders'),
    [
        (True, None, 0, 1),
        (False, False, 2, 1),
        (False, False, 1, 3),
        (False, None, 0, 3),
        (True, True, 0, 3),
    ],
)
def test_run_of_an_executor_that_stays_away_is_started_again(
    is_in_touch: bool,
    is_listed_up: bool | None,
    missed_readings: int,
    orders: int,
) -> None:
    """Guards against an expiry beside an incarnation that may be back."""
    cluster, fake = make_unproved_cluster(messages.GoneCause.NOTHING_LISTENS)
    fake.running.clear()
    target = cluster.core.targets[fake.target_id]
    expiry_ms = cluster.now_ms + orders * policy.ORDER_LIMIT_MS
    while cluster.now_ms < expiry_ms:
        assert len(cluster.sent_starts) == 1
        cluster.now_ms = min(cluster.now_ms + 100, expiry_ms)
        if is_in_touch:
            cluster.core.note_contact(target, cluster.moment)
        target.is_listed_up = is_listed_up
        target.missed_readings = missed_readings
        cluster.run_until_idle()
    assert [start[2] for start in cluster.sent_starts] == [1, 2]


def test_late_run_is_not_started_elsewhere_while_its_agent_is_paused() -> None:
    cluster, fake = make_unproved_cluster()
    cluster.core.detach(fake.target_id, fake.session)
    cluster.now_ms += policy.ORDER_LIMIT_MS
    cluster.run_until_idle()
    assert len(cluster.sent_starts) == 1
    cluster.now_ms += 2 * policy.ORDER_LIMIT_MS
    cluster.run_until_idle()
    assert len(cluster.sent_starts) == 2


def test_new_agent_that_knows_no_runs_proves_no_end_of_an_order() -> None:
    cluster = support.Cluster()
    for number in range(2):
        cluster.add_target(f'vm-{number}')
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    (start,) = cluster.sent_starts
    send_gone(cluster, cluster.targets[start[0]], reached=None)
    assert len(cluster.sent_starts) == 1


def test_crash_that_is_reported_twice_counts_once() -> None:
    """Guards against a sound task that is blamed twice for one crash.

    An agent reports a crash again on a new stream, and when the executor is
    back.
    """
    cluster, fake = make_unproved_cluster()
    task = cluster.core.jobs[TASK.split('.')[0]].find_task(TASK)
    assert task is not None
    history = task.crash_history
    assert history.crashes == 1
    key = (TASK, 1)
    send_gone(cluster, fake, reached=(key,), unproved=(key,))
    assert task.crash_history == history
    fake.running.clear()
    cluster.restart(fake)
    cluster.run_until_idle()
    assert task.crash_history == history


@pytest.mark.parametrize('is_reported', [True, False])
def test_crash_that_a_former_owner_counted_counts_once(
    is_reported: bool,
) -> None:
    """Guards against a second count by the next owner.

    It learns of the crash from the agent's report or, once the executor is
    back, from its incarnation.
    """
    cluster, fake = make_unproved_cluster()
    fake.running.clear()
    cluster.take_over()
    task = cluster.core.jobs[TASK.split('.')[0]].find_task(TASK)
    assert task is not None
    history = task.crash_history
    assert history.crashes == 1
    if is_reported:
        # An executor that has gone gives no snapshot.
        hello = messages.AgentHello(
            fake.target_id, 'boot', 'tajo-norte', fake.make_state().incarnation
        )
        cluster.core.attach(hello, 1, cluster.moment)
        key = (TASK, 1)
        send_gone(cluster, fake, reached=(key,), unproved=(key,))
    cluster.restart(fake)
    cluster.run_until_idle()
    assert task.crash_history == history


@pytest.mark.parametrize('has_crashed', [True, False])
def test_late_run_is_blamed_for_a_crash_of_its_own_incarnation_only(
    has_crashed: bool,
) -> None:
    """Guards against a run that counts as one of the former incarnation.

    If it is missing while its executor is up, nothing has crashed.
    """
    cluster, fake = make_unproved_cluster()
    task = cluster.core.jobs[TASK.split('.')[0]].find_task(TASK)
    assert task is not None
    cluster.restart(fake)
    cluster.run_until_idle()
    assert task.crash_history.crashes == 1
    fake.running.clear()
    if has_crashed:
        cluster.restart(fake)
    else:
        cluster.attach(fake)
    cluster.run_until_idle()
    assert task.crash_history.crashes == 1 + has_crashed


def test_crash_after_a_silence_counts_too() -> None:
    """Guards against a task that no crash counts against any more.

    The executor was reported as gone and had only been silent.
    """
    cluster, fake = make_unproved_cluster()
    task = cluster.core.jobs[TASK.split('.')[0]].find_task(TASK)
    assert task is not None
    cluster.attach(fake)
    cluster.run_until_idle()
    assert task.crash_history.crashes == 1
    send_gone(cluster, fake, reached=((TASK, 1),))
    assert task.crash_history.crashes == 2


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


def test_next_owner_does_not_count_the_crash_of_a_kept_run_again() -> None:
    """Guards against a sound task that is given up for one silent executor.

    Found by a play (lost-answers-and-mute-executors on cmgts-sched, seed 2,
    LOST): the agent repeated its report to the next owner as well.
    """
    cluster, fake = make_unproved_cluster()
    cluster.take_over()
    send_gone(cluster, fake, reached=((TASK, 1),), unproved=((TASK, 1),))
    (job,) = cluster.core.jobs.values()
    assert job.tasks[0].crash_history.crashes == 1
    assert len(cluster.sent_starts) == 1


def test_repeated_reports_of_a_silent_executor_keep_no_run_for_longer() -> (
    None
):
    cause = messages.GoneCause.LEASE_ENDED
    cluster, fake = make_unproved_cluster(cause)
    fake.running.clear()
    target = cluster.core.targets[fake.target_id]
    for _ in range(5):
        cluster.now_ms += support.GRANT_MS // 4
        cluster.core.extend_grant(target, cluster.moment)
        send_gone(cluster, fake, cause, reached=((TASK, 1),))
    assert [start[2] for start in cluster.sent_starts] == [1, 2]
