"""Guarantees that the owner's core gives on workflows."""

import dataclasses
from typing import Any

import pytest

from borageshelf import clock
from borageshelf.model import resources
from borageshelf.ports import task_executor
from borageshelf.workflows import effects
from borageshelf.workflows import jobs
from borageshelf.workflows import messages
from borageshelf.workflows import records
from borageshelf.workflows import scheduler
from tests import workflow_support as support

ID = '0123456789abcdef'
FAILED = task_executor.EndKind.FAILED
STOPPED = task_executor.EndKind.STOPPED


def make_cluster(target_count: int = 3) -> support.Cluster:
    """Return a cluster with equal targets."""
    cluster = support.Cluster()
    for number in range(target_count):
        cluster.add_target(f'vm-{number}')
    return cluster


def make_disturbed_cluster() -> support.Cluster:
    """Return a cluster of two targets where any filler disturbs a task.

    Each target has a serving task at twice its latency target.
    """
    cluster = make_cluster(2)
    serving = support.make_step(
        2,
        is_lasting=True,
        latency_target_ms=18,
        image='monitor',
        spread_limit=1,
    )
    cluster.submit(support.make_workflow(serving))
    cluster.run_until_idle()
    for target in cluster.core.targets.values():
        target.baseline_latency_shares['monitor'] = 2.0
    # Placement follows the latencies in steps.
    cluster.now_ms += scheduler.LATENCY_REFRESH_MS
    return cluster


def test_nothing_starts_or_is_answered_before_the_commit() -> None:
    """Guards against a start or an answer that a new owner does not know."""
    cluster = make_cluster()
    cluster.submit(support.make_workflow())
    cluster.core.schedule(cluster.moment)
    batch = cluster.core.take_batch()
    assert cluster.replies == {}
    assert cluster.sent_starts == []
    cluster.commit(batch)
    assert cluster.replies[1].outcome is effects.Outcome.ACCEPTED
    assert len(cluster.sent_starts) == 1


def test_nothing_is_placed_beyond_a_capacity_that_has_shrunk() -> None:
    cluster = make_cluster(1)
    fake = cluster.targets['vm-0']
    fake.capacity = resources.Resources(4_000, 256_000)
    cluster.attach(fake)
    cluster.submit(support.make_workflow(support.make_step(3)))
    cluster.run_until_idle()
    target = cluster.core.targets['vm-0']
    fake.capacity = resources.Resources(2_000, 256_000)
    cluster.core.update_target_state(target, fake.make_state(), cluster.moment)
    other = support.make_workflow(support.make_step(2), workflow_id='f' * 16)
    cluster.submit(other, token=2)
    cluster.run_until_idle()
    assert len(fake.running) == 3
    cluster.end_run(f'{ID}.0.0.0')
    cluster.run_until_idle()
    assert len(fake.running) == 2
    fake.capacity = resources.Resources(4_000, 256_000)
    cluster.core.update_target_state(target, fake.make_state(), cluster.moment)
    cluster.run_until_idle()
    assert len(fake.running) == 4


def test_burst_beside_a_capacity_below_the_runs_starts_nothing() -> None:
    """Guards against starts in place of runs that are still being stopped.

    A new session of the agent and a new owner count them too.
    """
    cluster = make_cluster(1)
    fake = cluster.targets['vm-0']
    fake.capacity = resources.Resources(4_000, 256_000)
    cluster.attach(fake)
    cluster.submit(support.make_workflow(support.make_step(4)))
    cluster.run_until_idle()
    assert len(fake.running) == 4
    fake.capacity = resources.Resources(2_000, 256_000)
    cluster.core.update_target_state(
        cluster.core.targets['vm-0'], fake.make_state(), cluster.moment
    )
    cluster.cancel(ID)
    for number in range(6):
        cluster.submit(
            support.make_workflow(workflow_id=f'{number:016x}'),
            token=10 + number,
        )
    cluster.run_until_idle()
    stopping = list(fake.running)
    for is_new_owner in (False, True, False):
        if is_new_owner:
            cluster.take_over()
        cluster.attach(fake)
        cluster.run_until_idle()
        assert fake.stop_orders >= set(fake.running)
        assert set(fake.running) <= set(stopping)
        cluster.end_run(next(iter(fake.running)), STOPPED)
        cluster.run_until_idle()
    started = set(fake.running) - set(stopping)
    assert len(started) == 1
    assert len(fake.running) == 2


def test_repeated_submission_runs_once() -> None:
    """Guards against a second execution after a lost answer.

    A caller whose answer was lost submits again and would be charged twice.
    """
    cluster = make_cluster()
    cluster.submit(support.make_workflow(), token=1)
    cluster.submit(support.make_workflow(), token=2)
    cluster.run_until_idle()
    cluster.submit(support.make_workflow(), token=3)
    cluster.end_run(f'{ID}.0.0.0')
    cluster.run_until_idle()
    cluster.submit(support.make_workflow(), token=4)
    cluster.run_until_idle()
    assert {reply.outcome for reply in cluster.replies.values()} == {
        effects.Outcome.ACCEPTED
    }
    assert sorted(cluster.replies) == [1, 2, 3, 4]
    assert len(cluster.sent_starts) == 1


def test_refused_submission_never_runs() -> None:
    """Guards against a refused workflow that runs later.

    The caller has been told that the workflow was not run.
    """
    cluster = make_cluster()
    cluster.submit(support.make_workflow())
    cluster.core.schedule(cluster.moment)
    batch = cluster.core.take_batch()
    cluster.core.handle_failed_commit(batch, 1)
    cluster.apply_effects(cluster.core.take_immediate_effects())
    cluster.run_until_idle()
    assert cluster.replies[1].outcome is effects.Outcome.REFUSED
    assert cluster.sent_starts == []
    assert cluster.core.find_state(ID) is None
    assert cluster.core.targets['vm-0'].reserved == resources.NOTHING


def test_change_of_a_stored_workflow_survives_a_refused_commit() -> None:
    """Guards against an end that is lost while the store is unavailable."""
    cluster = make_cluster()
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    cluster.end_run(f'{ID}.0.0.0')
    batch = cluster.core.take_batch()
    cluster.core.handle_failed_commit(batch, 1)
    assert cluster.targets['vm-0'].ended or any(
        fake.ended for fake in cluster.targets.values()
    )
    cluster.run_until_idle()
    assert cluster.core.find_state(ID) == 'completed'
    assert not any(fake.ended for fake in cluster.targets.values())


def test_end_is_acknowledged_after_its_commit() -> None:
    """Guards against a finished task that a new owner starts again.

    An end that is acknowledged before its commit is known to nobody after a
    takeover.
    """
    cluster = make_cluster(1)
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    cluster.end_run(f'{ID}.0.0.0')
    cluster.core.take_batch()
    assert len(cluster.targets['vm-0'].ended) == 1
    cluster.take_over()
    cluster.attach(cluster.targets['vm-0'])
    cluster.run_until_idle()
    assert cluster.core.find_state(ID) == 'completed'
    assert len(cluster.sent_starts) == 1


def test_completion_is_shown_after_its_commit() -> None:
    """Guards against a workflow shown as completed that runs again.

    An owner that crashes before the commit leaves the workflow active.
    """
    cluster = make_cluster(1)
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    cluster.end_run(f'{ID}.0.0.0')
    assert cluster.core.find_state(ID) == 'running'
    cluster.run_until_idle()
    assert cluster.core.find_state(ID) == 'completed'


def test_step_waits_for_the_steps_before_it() -> None:
    """Guards against a task that starts before its input data exist."""
    cluster = make_cluster()
    cluster.submit(
        support.make_workflow(
            support.make_step(2), support.make_step(1, after=(0,))
        )
    )
    cluster.run_until_idle()
    cluster.end_run(f'{ID}.0.0.0')
    cluster.run_until_idle()
    assert cluster.list_running() == [f'{ID}.0.0.1']
    cluster.end_run(f'{ID}.0.0.1')
    cluster.run_until_idle()
    assert cluster.list_running() == [f'{ID}.0.1.0']


def test_runs_being_stopped_count_against_capacity() -> None:
    """Guards against a VM that is loaded beyond its capacity.

    A run that has been told to stop uses its resources until it ends.
    """
    cluster = support.Cluster()
    cluster.add_target('vm-0', millicores=2_000)
    cluster.submit(support.make_workflow(support.make_step(3)))
    cluster.run_until_idle()
    assert len(cluster.list_running()) == 2
    cluster.cancel(ID)
    cluster.submit(support.make_workflow(workflow_id='f' * 16), token=3)
    cluster.run_until_idle()
    assert len(cluster.list_running()) == 2
    for task in cluster.list_running():
        cluster.end_run(task, STOPPED)
    cluster.run_until_idle()
    assert cluster.list_running() == [f'{"f" * 16}.0.0.0']


def test_filler_reserves_memory_only() -> None:
    """Guards against fillers that are refused for lack of processors."""
    cluster = support.Cluster()
    cluster.add_target('vm-0', millicores=10_000, memory_mb=5_000)
    size = resources.Resources(4_000, 2_000)
    cluster.submit(
        support.make_workflow(
            support.make_step(4, demand=size, is_filler=True)
        )
    )
    cluster.run_until_idle()
    assert len(cluster.list_running()) == 2
    reserved = cluster.core.targets['vm-0'].reserved
    assert reserved == resources.Resources(0, 4_000)


def test_spread_limit_holds() -> None:
    """Guards against several monitors that fail together with one VM."""
    cluster = make_cluster(2)
    cluster.submit(support.make_workflow(support.make_step(3, spread_limit=1)))
    cluster.run_until_idle()
    target_ids = [
        cluster.find_target_id(task) for task in cluster.list_running()
    ]
    assert sorted(filter(None, target_ids)) == ['vm-0', 'vm-1']


def test_label_is_required() -> None:
    """Guards against a task on a VM without the required label."""
    cluster = support.Cluster()
    cluster.add_target('vm-0', labels=('a', 'r1'))
    cluster.submit(support.make_workflow(support.make_step(1, label='b')))
    cluster.run_until_idle()
    assert cluster.list_running() == []
    cluster.add_target('vm-1', labels=('b', 'r1'))
    cluster.run_until_idle()
    assert cluster.find_target_id(f'{ID}.0.0.0') == 'vm-1'


def test_attempts_are_limited_and_avoid_failed_targets() -> None:
    """Guards against a task that always fails and is retried forever."""
    cluster = make_cluster()
    cluster.submit(support.make_workflow())
    target_ids = []
    for _ in range(3):
        cluster.run_until_idle()
        target_ids.append(cluster.find_target_id(f'{ID}.0.0.0'))
        cluster.end_run(f'{ID}.0.0.0', FAILED)
    cluster.run_until_idle()
    assert sorted(filter(None, target_ids)) == ['vm-0', 'vm-1', 'vm-2']
    assert [start[2] for start in cluster.sent_starts] == [1, 2, 3]
    assert cluster.core.find_state(ID) == 'failed'


def test_lasting_task_is_restarted_however_it_ends() -> None:
    """Guards against pit monitors that are not restarted."""
    cluster = make_cluster()
    cluster.submit(
        support.make_workflow(support.make_step(1, is_lasting=True))
    )
    for kind in (FAILED, task_executor.EndKind.DONE, FAILED, FAILED, FAILED):
        cluster.run_until_idle()
        cluster.end_run(f'{ID}.0.0.0', kind)
    cluster.run_until_idle()
    assert cluster.list_running() == [f'{ID}.0.0.0']
    assert cluster.core.find_state(ID) == 'running'


def test_stopped_run_resumes_from_its_checkpoint() -> None:
    """Guards against checkpointed work that is repeated."""
    cluster = make_cluster()
    step = support.make_step(1, is_checkpointing=True)
    cluster.submit(support.make_workflow(step))
    cluster.run_until_idle()
    cluster.end_run(f'{ID}.0.0.0', STOPPED, checkpoint='c1')
    cluster.run_until_idle()
    task = cluster.core.jobs[ID].tasks[0]
    assert task.checkpoint == 'c1'
    assert task.attempts == 2
    cluster.take_over()
    assert cluster.core.jobs[ID].tasks[0].checkpoint == 'c1'


def test_task_of_a_silent_target_waits_for_the_end_of_its_grant() -> None:
    """Guards against a task that runs on two targets at once.

    A target without a connection may keep its runs until its grant ends.
    """
    cluster = make_cluster(2)
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    target_id = cluster.find_target_id(f'{ID}.0.0.0')
    assert target_id is not None
    lost = cluster.targets[target_id]
    cluster.core.detach(target_id, lost.session)
    cluster.now_ms += support.GRANT_MS - 1
    cluster.run_until_idle()
    assert len(cluster.sent_starts) == 1
    cluster.now_ms += 1
    cluster.run_until_idle()
    assert len(cluster.sent_starts) == 2
    assert cluster.sent_starts[1][0] != target_id
    assert cluster.sent_starts[1][2] == 2


def test_new_owner_waits_for_the_end_of_former_grants() -> None:
    """Guards against a second run after a takeover during a partition.

    A target that has not attached to the new owner may still hold a grant of
    the former one.
    """
    cluster = make_cluster(2)
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    target_id = cluster.find_target_id(f'{ID}.0.0.0')
    other = next(name for name in cluster.targets if name != target_id)
    cluster.take_over()
    cluster.attach(cluster.targets[other])
    cluster.now_ms += support.GRANT_MS - 1
    cluster.run_until_idle()
    assert len(cluster.sent_starts) == 1
    cluster.now_ms += 1
    cluster.run_until_idle()
    assert cluster.sent_starts[1][0] == other


def test_new_owner_adopts_runs() -> None:
    """Guards against runs that are lost in a takeover."""
    cluster = make_cluster(1)
    cluster.submit(support.make_workflow(support.make_step(2)))
    cluster.run_until_idle()
    cluster.take_over()
    cluster.attach(cluster.targets['vm-0'])
    cluster.run_until_idle()
    assert len(cluster.sent_starts) == 2
    assert len(cluster.list_running()) == 2


def test_run_that_a_snapshot_lacks_is_started_again() -> None:
    """Guards against a start that was lost with its stream."""
    cluster = make_cluster(1)
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    fake = cluster.targets['vm-0']
    fake.running.clear()
    cluster.attach(fake)
    cluster.run_until_idle()
    assert [start[2] for start in cluster.sent_starts] == [1, 2]


def test_unexpected_run_is_stopped_and_blocks_its_target() -> None:
    """Guards against placement beside a run of unknown size."""
    cluster = support.Cluster()
    fake = cluster.add_target('vm-0')
    fake.running['feedfeedfeedfeed.0.0.0'] = 7
    cluster.attach(fake)
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    assert fake.stop_orders == {'feedfeedfeedfeed.0.0.0'}
    assert cluster.sent_starts == []
    cluster.end_run('feedfeedfeedfeed.0.0.0', STOPPED)
    cluster.run_until_idle()
    assert len(cluster.sent_starts) == 1


def test_draining_target_gets_no_work_and_lasting_tasks_move() -> None:
    """Guards against monitors that end with a draining executor."""
    cluster = make_cluster(2)
    cluster.submit(
        support.make_workflow(support.make_step(1, is_lasting=True))
    )
    cluster.run_until_idle()
    target_id = cluster.find_target_id(f'{ID}.0.0.0')
    assert target_id is not None
    fake = cluster.targets[target_id]
    fake.is_draining = True
    cluster.core.update_target_state(
        cluster.core.targets[target_id], fake.make_state(), cluster.moment
    )
    cluster.apply_effects(cluster.core.take_immediate_effects())
    assert fake.stop_orders == {f'{ID}.0.0.0'}
    cluster.end_run(f'{ID}.0.0.0', STOPPED)
    cluster.run_until_idle()
    assert cluster.find_target_id(f'{ID}.0.0.0') not in (None, target_id)


def test_cancelled_workflow_starts_nothing_more() -> None:
    """Guards against a task that starts after its workflow was cancelled."""
    cluster = make_cluster(1)
    cluster.submit(
        support.make_workflow(
            support.make_step(1), support.make_step(1, after=(0,))
        )
    )
    cluster.run_until_idle()
    cluster.cancel(ID)
    cluster.run_until_idle()
    assert cluster.replies[2].outcome is effects.Outcome.FOUND
    assert cluster.targets['vm-0'].stop_orders == {f'{ID}.0.0.0'}
    cluster.end_run(f'{ID}.0.0.0')
    cluster.run_until_idle()
    assert len(cluster.sent_starts) == 1
    assert cluster.core.find_state(ID) == 'cancelled'


def test_cancel_of_an_unknown_workflow_reports_it_absent() -> None:
    """Guards against a confirmed cancellation of an unknown workflow."""
    cluster = make_cluster(1)
    cluster.cancel(ID)
    assert cluster.replies[2].outcome is effects.Outcome.ABSENT


def test_ended_workflow_leaves_only_its_state_in_the_store() -> None:
    """Guards against a store that fills up with ended workflows."""
    cluster = make_cluster(1)
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    assert len(cluster.stored) == 2
    cluster.end_run(f'{ID}.0.0.0')
    cluster.run_until_idle()
    assert list(cluster.stored) == [records.make_state_key(ID)]
    cluster.now_ms += 200_000
    cluster.run_until_idle()
    assert cluster.stored == {}
    assert cluster.core.find_state(ID) is None


def test_gang_starts_together_with_one_attempt_number() -> None:
    """Guards against gang members that wait for others without a target."""
    cluster = support.Cluster()
    cluster.add_target('vm-0', millicores=2_000)
    cluster.submit(support.make_workflow(support.make_step(3, is_gang=True)))
    cluster.run_until_idle()
    assert cluster.sent_starts == []
    cluster.add_target('vm-1', millicores=2_000)
    cluster.run_until_idle()
    assert [start[2] for start in cluster.sent_starts] == [1, 1, 1]
    cluster.end_run(f'{ID}.0.0.0', FAILED)
    for task in cluster.list_running():
        cluster.end_run(task, task_executor.EndKind.GANG_BROKEN)
    cluster.run_until_idle()
    assert [start[2] for start in cluster.sent_starts[3:]] == [2, 2, 2]
    for task in cluster.list_running():
        cluster.end_run(task)
    cluster.run_until_idle()
    assert cluster.core.find_state(ID) == 'completed'


def test_timed_occurrences_start_when_due() -> None:
    """Guards against an occurrence that starts before it is due."""
    cluster = make_cluster(1)
    due_ms = cluster.moment.wall_ms + 1_000
    workflow = dataclasses.replace(
        support.make_workflow(),
        occurrences=2,
        first_start_ms=due_ms,
        period_ms=500,
    )
    cluster.submit(workflow)
    cluster.run_until_idle()
    assert cluster.sent_starts == []
    cluster.now_ms += 1_000
    cluster.run_until_idle()
    assert [start[1] for start in cluster.sent_starts] == [f'{ID}.0.0.0']
    cluster.now_ms += 500
    cluster.run_until_idle()
    assert [start[1] for start in cluster.sent_starts][1:] == [f'{ID}.1.0.0']


def test_running_task_with_an_open_start_is_not_shown_as_queued() -> None:
    """Guards against a lasting workflow that is queued for good."""
    cluster = make_cluster(1)
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    target = cluster.core.targets['vm-0']
    row = messages.Row(f'{ID}.0.0.0', 1, '', 40, is_start_open=True)
    cluster.core.update_progress(target, [row], cluster.moment)
    assert cluster.core.find_state(ID) == 'running'
    assert cluster.core.count_pending() == {}
    assert not target.runs[f'{ID}.0.0.0', 1].is_confirmed


def test_stalled_runs_are_moved() -> None:
    """Guards against work that is held up by a hanging VM."""
    cluster = make_cluster(2)
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    target_id = cluster.find_target_id(f'{ID}.0.0.0')
    assert target_id is not None
    target = cluster.core.targets[target_id]
    row = messages.Row(f'{ID}.0.0.0', 1, '', 40)
    cluster.core.update_progress(target, [row], cluster.moment)
    # A VM that hangs still reports; one that is silent is not stalled.
    for _ in range(6):
        cluster.now_ms += 400
        cluster.core.update_progress(target, [row], cluster.moment)
    cluster.apply_effects(cluster.core.take_immediate_effects())
    assert cluster.targets[target_id].stop_orders == {f'{ID}.0.0.0'}
    cluster.end_run(f'{ID}.0.0.0', STOPPED)
    cluster.run_until_idle()
    assert cluster.find_target_id(f'{ID}.0.0.0') != target_id


def test_target_that_fails_everything_gets_no_work() -> None:
    """Guards against a VM that attracts work by failing it quickly.

    Its failed runs leave room, which makes it the best target.
    """
    cluster = make_cluster(2)
    ids = [f'{number:016x}' for number in range(6)]
    for token, workflow_id in enumerate(ids):
        cluster.submit(
            support.make_workflow(workflow_id=workflow_id), token=token
        )
    cluster.run_until_idle()
    bad = 'vm-0'
    for task in list(cluster.targets[bad].running):
        cluster.end_run(task, FAILED)
    cluster.run_until_idle()
    assert cluster.targets[bad].running == {}
    assert len(cluster.list_running()) == 6


def test_disturbing_filler_gets_a_run_after_a_while() -> None:
    """Guards against a workflow that waits although the fleet has room.

    The filler was expected to disturb a serving task on every target.
    """
    cluster = make_disturbed_cluster()
    filler = support.make_step(
        2, is_filler=True, image='loud', demand=support.SMALL
    )
    cluster.submit(
        support.make_workflow(filler, workflow_id='f' * 16), token=3
    )
    cluster.run_until_idle()
    assert len(cluster.list_running()) == 2
    cluster.now_ms += 1_500
    cluster.run_until_idle()
    assert f'{"f" * 16}.0.0.0' in cluster.list_running()


def test_workflow_that_fails_the_scheduler_is_set_aside(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against one workflow that ends the ownership of every entry."""
    cluster = make_cluster(1)
    place: Any = cluster.core.scheduler._place_group

    def fail(group: jobs.Group, moment: clock.Moment) -> bool:
        if group.job.workflow_id == 'b' * 16:
            raise ZeroDivisionError
        return bool(place(group, moment))

    monkeypatch.setattr(cluster.core.scheduler, '_place_group', fail)
    cluster.submit(support.make_workflow(workflow_id='b' * 16), token=1)
    cluster.submit(support.make_workflow(), token=2)
    cluster.run_until_idle()
    assert cluster.list_running() == [f'{ID}.0.0.0']
    assert cluster.core.is_set_aside(messages.FindRequest(0, 'b' * 16))
    assert not cluster.core.is_set_aside(messages.FindRequest(0, ID))
    events = [event for event, _ in cluster.log_lines]
    assert events.count('workflow set aside') == 1


def test_acknowledgement_covers_no_uncommitted_end() -> None:
    """Guards against an end that is lost because a later one is acknowledged.

    An acknowledgement covers all ends with lower numbers. The end of a run
    that the owner did not know was acknowledged at once, and with it the end
    of a finished task whose commit was waiting for the store.
    """
    cluster = support.Cluster()
    fake = cluster.add_target('vm-0')
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    fake.running['feedfeedfeedfeed.0.0.0'] = 7
    cluster.end_run(f'{ID}.0.0.0')
    cluster.end_run('feedfeedfeedfeed.0.0.0', STOPPED)
    assert sorted(fake.ended) == [1, 2]
    cluster.run_until_idle()
    assert fake.ended == {}


def test_end_that_is_reported_twice_waits_for_its_commit() -> None:
    """Guards against an end that a new session acknowledges too early.

    The end was first reported in an earlier session and is not committed yet.
    """
    cluster = support.Cluster()
    fake = cluster.add_target('vm-0')
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    cluster.end_run(f'{ID}.0.0.0')
    cluster.core.take_batch()
    cluster.attach(fake)
    assert sorted(fake.ended) == [1]
    cluster.take_over()
    cluster.attach(fake)
    cluster.run_until_idle()
    assert len(cluster.sent_starts) == 1
    assert cluster.core.find_state(ID) == 'completed'


def test_overdue_workflow_gets_one_disturbing_run_only() -> None:
    """Guards against a step whose tasks are all throttled to pace 0.

    All tasks of a workflow without any run were placed where the first of
    them disturbed least, although one run is enough for progress.
    """
    cluster = make_disturbed_cluster()
    filler = support.make_step(
        6, is_filler=True, image='loud', demand=support.SMALL
    )
    cluster.submit(
        support.make_workflow(filler, workflow_id='f' * 16), token=3
    )
    cluster.run_until_idle()
    cluster.now_ms += 1_500
    cluster.run_until_idle()
    running = [name for name in cluster.list_running() if name[0] == 'f']
    assert len(running) == 1


def test_serving_tasks_of_one_image_share_targets() -> None:
    """Guards against fillers that find no target where they disturb no task.

    Tasks of all images were mixed on each target; a filler that disturbs one
    image in three then disturbs some task on nearly every target.
    """
    cluster = make_cluster(3)
    loads = (('one', 40_000), ('two', 40_000), ('two', 8_000), ('one', 8_000))
    for number, (image, millicores) in enumerate(loads):
        serving = support.make_step(
            1,
            is_lasting=True,
            latency_target_ms=18,
            image=image,
            demand=resources.Resources(millicores, 16_000),
        )
        cluster.submit(
            support.make_workflow(serving, workflow_id=f'{number:016x}'),
            token=10 + number,
        )
        cluster.run_until_idle()
    images = [
        dict(target.serving_images) for target in cluster.core.targets.values()
    ]
    images.sort(key=lambda found: sorted(found.items()))
    assert images == [{}, {'one': 2}, {'two': 2}]


def test_serving_images_share_no_target_without_need() -> None:
    """Guards against fillers that find no target where they disturb no task.

    Tasks went to the fullest target, although others had no other image.
    """
    cluster = make_cluster(3)
    for number, image in enumerate(('one', 'two', 'three', 'one')):
        serving = support.make_step(
            1, is_lasting=True, latency_target_ms=18, image=image
        )
        cluster.submit(
            support.make_workflow(serving, workflow_id=f'{number:016x}'),
            token=10 + number,
        )
        cluster.run_until_idle()
    images = [
        dict(target.serving_images) for target in cluster.core.targets.values()
    ]
    assert sorted(images, key=str) == [{'one': 2}, {'three': 1}, {'two': 1}]


def test_baseline_latency_is_bounded_by_what_load_explains() -> None:
    """Guards against targets that accept no fillers for a minute.

    A latency that still included the effect of a throttled filler was
    attributed to the load and kept as its peak.
    """
    cluster = make_cluster(1)
    serving = support.make_step(
        1, is_lasting=True, latency_target_ms=18, image='monitor'
    )
    cluster.submit(support.make_workflow(serving))
    cluster.run_until_idle()
    target = cluster.core.targets['vm-0']
    for share in (0.3, 0.5, 9.0, 4.0, 0.5):
        report = messages.Report(
            0, 0, samples=(messages.LatencySample('monitor', 9, share),)
        )
        cluster.core.scheduler.observe_latencies(
            target, report, cluster.moment
        )
    assert target.baseline_latency_shares['monitor'] < 1.0


def test_workflow_whose_starts_are_refused_is_still_pending() -> None:
    """Guards against a count of waiting workflows that is too low (MIXED)."""
    cluster = make_cluster(1)
    cluster.are_starts_reported = False
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    assert cluster.core.count_pending() == {'short': 1}
    target = cluster.core.targets['vm-0']
    task = f'{ID}.0.0.0'
    cluster.core.handle_start_refusal(
        target,
        messages.StartRefused(0, task, 1, 'unhealthy', True),
        cluster.moment,
    )
    assert cluster.core.count_pending() == {'short': 1}
    cluster.now_ms += 5_000
    cluster.run_until_idle()
    cluster.core.update_progress(
        target, [messages.Row(task, 2, '', 10)], cluster.moment
    )
    assert cluster.core.count_pending() == {}


def test_workflow_whose_run_only_a_former_owner_placed_is_still_pending() -> (
    None
):
    """Guards against a count of waiting workflows that is too low (MIXED).

    The run was ordered on a VM that is lost.
    """
    cluster = make_cluster(2)
    cluster.are_starts_reported = False
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    target_id = cluster.find_target_id(f'{ID}.0.0.0')
    assert target_id is not None
    other = next(name for name in cluster.targets if name != target_id)
    cluster.take_over()
    cluster.attach(cluster.targets[other])
    cluster.run_until_idle()
    assert cluster.core.count_pending() == {'short': 1}
    assert cluster.core.find_state(ID) == 'running'
    cluster.attach(cluster.targets[target_id])
    cluster.run_until_idle()
    assert cluster.core.count_pending() == {}


def test_expired_state_is_removed_though_the_first_try_failed() -> None:
    """Guards against states that stay in the store for ever."""
    cluster = make_cluster(1)
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    cluster.end_run(f'{ID}.0.0.0', task_executor.EndKind.DONE)
    cluster.run_until_idle()
    assert records.make_state_key(ID) in cluster.stored
    cluster.now_ms += support.RETENTION_MS + 2_000
    cluster.core.advance(cluster.moment)
    cluster.core.handle_failed_commit(cluster.core.take_batch(), 1)
    cluster.run_until_idle()
    assert records.make_state_key(ID) not in cluster.stored


def test_end_of_a_workflow_says_where_its_time_went() -> None:
    """Guards against late workflows whose delay nobody can explain."""
    cluster = make_cluster(0)
    cluster.submit(support.make_workflow(support.make_step(2)))
    cluster.run_until_idle()
    cluster.now_ms += 300
    cluster.add_target('vm-0')
    cluster.run_until_idle()
    target = cluster.core.targets['vm-0']
    slow, quick = (f'{ID}.0.0.0', f'{ID}.0.0.1')
    for pace_percent in (50, 0, 100):
        cluster.now_ms += 400
        rows = [messages.Row(slow, 1, '', 10, pace_percent)]
        cluster.core.update_progress(target, rows, cluster.moment)
    cluster.end_run(quick)
    cluster.now_ms += 100
    cluster.end_run(slow)
    (ended,) = (
        fields
        for event, fields in cluster.log_lines
        if event == 'workflow ended'
    )
    assert ended['path_waited_ms'] == 300
    assert ended['path_ran_ms'] == 1_300
    assert ended['path_slowed_ms'] == 600
    assert ended['path_runs'] == 1
