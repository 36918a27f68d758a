"""The owner's core must keep the promises on workflows."""

import dataclasses

from borageshelf.model import resources
from borageshelf.ports import task_executor
from borageshelf.workflows import effects
from borageshelf.workflows import messages
from borageshelf.workflows import records
from tests import workflow_support as support

ID = '0123456789abcdef'
FAILED = task_executor.EndKind.FAILED
STOPPED = task_executor.EndKind.STOPPED


def make_world(targets: int = 3) -> support.World:
    """Return a world with equal targets."""
    world = support.World()
    for number in range(targets):
        world.add_target(f'vm-{number}')
    return world


def make_disturbed_world() -> support.World:
    """Return two targets with a serving task that any filler disturbs."""
    world = make_world(2)
    serving = support.make_step(
        2,
        is_lasting=True,
        latency_target_ms=18,
        image='monitor',
        spread_limit=1,
    )
    world.submit(support.make_workflow(serving))
    world.settle()
    for target in world.core.targets.values():
        target.baseline_latency_shares['monitor'] = 2.0
    return world


def test_nothing_starts_or_is_answered_before_the_commit() -> None:
    """Guards against a start that a new owner would not know of."""
    world = make_world()
    world.submit(support.make_workflow())
    world.core.schedule(world.moment)
    batch = world.core.take_batch()
    assert world.replies == {}
    assert world.orders == []
    world.commit(batch)
    assert world.replies[1].outcome is effects.Outcome.ACCEPTED
    assert len(world.orders) == 1


def test_repeated_submission_is_one_workflow() -> None:
    """Guards against a doubled charge after a lost answer."""
    world = make_world()
    world.submit(support.make_workflow(), token=1)
    world.submit(support.make_workflow(), token=2)
    world.settle()
    world.submit(support.make_workflow(), token=3)
    world.end(f'{ID}.0.0.0')
    world.settle()
    world.submit(support.make_workflow(), token=4)
    world.settle()
    assert {reply.outcome for reply in world.replies.values()} == {
        effects.Outcome.ACCEPTED
    }
    assert sorted(world.replies) == [1, 2, 3, 4]
    assert len(world.orders) == 1


def test_refused_submission_never_runs() -> None:
    """Guards against "not run" for a workflow that runs later."""
    world = make_world()
    world.submit(support.make_workflow())
    world.core.schedule(world.moment)
    batch = world.core.take_batch()
    world.core.handle_failed_commit(batch, 1)
    world._carry_out(world.core.take_immediate_effects())
    world.settle()
    assert world.replies[1].outcome is effects.Outcome.REFUSED
    assert world.orders == []
    assert world.core.find_state(ID) is None
    assert world.core.targets['vm-0'].reserved == resources.NOTHING


def test_change_of_a_stored_workflow_outlasts_a_refused_commit() -> None:
    """Guards against an end that is lost while the store is away."""
    world = make_world()
    world.submit(support.make_workflow())
    world.settle()
    world.end(f'{ID}.0.0.0')
    batch = world.core.take_batch()
    world.core.handle_failed_commit(batch, 1)
    assert world.targets['vm-0'].ended or any(
        model.ended for model in world.targets.values()
    )
    world.settle()
    assert world.core.find_state(ID) == 'completed'
    assert not any(model.ended for model in world.targets.values())


def test_end_is_acknowledged_after_its_commit() -> None:
    """Guards against a finished task that a new owner starts again."""
    world = make_world(1)
    world.submit(support.make_workflow())
    world.settle()
    world.end(f'{ID}.0.0.0')
    world.core.take_batch()
    assert len(world.targets['vm-0'].ended) == 1
    world.take_over()
    world.attach(world.targets['vm-0'])
    world.settle()
    assert world.core.find_state(ID) == 'completed'
    assert len(world.orders) == 1


def test_completion_is_shown_after_its_commit() -> None:
    """Guards against a completed workflow that runs again after a crash."""
    world = make_world(1)
    world.submit(support.make_workflow())
    world.settle()
    world.end(f'{ID}.0.0.0')
    assert world.core.find_state(ID) == 'running'
    world.settle()
    assert world.core.find_state(ID) == 'completed'


def test_step_waits_for_the_steps_before_it() -> None:
    """Guards against work on data that is not there yet."""
    world = make_world()
    world.submit(
        support.make_workflow(
            support.make_step(2), support.make_step(1, after=(0,))
        )
    )
    world.settle()
    world.end(f'{ID}.0.0.0')
    world.settle()
    assert world.list_running() == [f'{ID}.0.0.1']
    world.end(f'{ID}.0.0.1')
    world.settle()
    assert world.list_running() == [f'{ID}.0.1.0']


def test_capacity_counts_what_is_being_stopped() -> None:
    """Guards against a VM that holds more than its capacity."""
    world = support.World()
    world.add_target('vm-0', millicores=2_000)
    world.submit(support.make_workflow(support.make_step(3)))
    world.settle()
    assert len(world.list_running()) == 2
    world.cancel(ID)
    world.submit(support.make_workflow(workflow_id='f' * 16), token=3)
    world.settle()
    assert len(world.list_running()) == 2
    for task in world.list_running():
        world.end(task, STOPPED)
    world.settle()
    assert world.list_running() == [f'{"f" * 16}.0.0.0']


def test_filler_counts_with_its_memory_only() -> None:
    """Guards against fillers that are refused for processors."""
    world = support.World()
    world.add_target('vm-0', millicores=10_000, memory_mb=5_000)
    size = resources.Resources(4_000, 2_000)
    world.submit(
        support.make_workflow(
            support.make_step(4, demand=size, is_filler=True)
        )
    )
    world.settle()
    assert len(world.list_running()) == 2
    reserved = world.core.targets['vm-0'].reserved
    assert reserved == resources.Resources(0, 4_000)


def test_spread_limit_holds() -> None:
    """Guards against two monitors that one VM takes down together."""
    world = make_world(2)
    world.submit(support.make_workflow(support.make_step(3, spread_limit=1)))
    world.settle()
    places = [world.find_place(task) for task in world.list_running()]
    assert sorted(filter(None, places)) == ['vm-0', 'vm-1']


def test_label_is_required() -> None:
    """Guards against a task on a VM of the wrong kind."""
    world = support.World()
    world.add_target('vm-0', labels=('a', 'r1'))
    world.submit(support.make_workflow(support.make_step(1, label='b')))
    world.settle()
    assert world.list_running() == []
    world.add_target('vm-1', labels=('b', 'r1'))
    world.settle()
    assert world.find_place(f'{ID}.0.0.0') == 'vm-1'


def test_attempts_are_limited_and_go_elsewhere() -> None:
    """Guards against a hopeless task that runs without end."""
    world = make_world()
    world.submit(support.make_workflow())
    places = []
    for _ in range(3):
        world.settle()
        places.append(world.find_place(f'{ID}.0.0.0'))
        world.end(f'{ID}.0.0.0', FAILED)
    world.settle()
    assert sorted(filter(None, places)) == ['vm-0', 'vm-1', 'vm-2']
    assert [order[2] for order in world.orders] == [1, 2, 3]
    assert world.core.find_state(ID) == 'failed'


def test_lasting_task_is_restarted_however_it_ends() -> None:
    """Guards against pit monitors that stay down."""
    world = make_world()
    world.submit(support.make_workflow(support.make_step(1, is_lasting=True)))
    for kind in (FAILED, task_executor.EndKind.DONE, FAILED, FAILED, FAILED):
        world.settle()
        world.end(f'{ID}.0.0.0', kind)
    world.settle()
    assert world.list_running() == [f'{ID}.0.0.0']
    assert world.core.find_state(ID) == 'running'


def test_stopped_run_resumes_from_its_checkpoint() -> None:
    """Guards against saved work that is done twice."""
    world = make_world()
    step = support.make_step(1, is_checkpointing=True)
    world.submit(support.make_workflow(step))
    world.settle()
    world.end(f'{ID}.0.0.0', STOPPED, checkpoint='c1')
    world.settle()
    task = world.core.jobs[ID].tasks[0]
    assert task.checkpoint == 'c1'
    assert task.attempts == 2
    world.take_over()
    assert world.core.jobs[ID].tasks[0].checkpoint == 'c1'


def test_task_of_a_silent_target_waits_for_the_end_of_its_grant() -> None:
    """Guards against a task that runs in two places at once."""
    world = make_world(2)
    world.submit(support.make_workflow())
    world.settle()
    place = world.find_place(f'{ID}.0.0.0')
    assert place is not None
    lost = world.targets[place]
    world.core.detach(place, lost.session)
    world.now_ms += support.GRANT_MS - 1
    world.settle()
    assert len(world.orders) == 1
    world.now_ms += 1
    world.settle()
    assert len(world.orders) == 2
    assert world.orders[1][0] != place
    assert world.orders[1][2] == 2


def test_new_owner_waits_for_grants_of_the_former_one() -> None:
    """Guards against a second run after a takeover during a partition."""
    world = make_world(2)
    world.submit(support.make_workflow())
    world.settle()
    place = world.find_place(f'{ID}.0.0.0')
    other = next(name for name in world.targets if name != place)
    world.take_over()
    world.attach(world.targets[other])
    world.now_ms += support.GRANT_MS - 1
    world.settle()
    assert len(world.orders) == 1
    world.now_ms += 1
    world.settle()
    assert world.orders[1][0] == other


def test_new_owner_adopts_what_runs() -> None:
    """Guards against work that a takeover throws away."""
    world = make_world(1)
    world.submit(support.make_workflow(support.make_step(2)))
    world.settle()
    world.take_over()
    world.attach(world.targets['vm-0'])
    world.settle()
    assert len(world.orders) == 2
    assert len(world.list_running()) == 2


def test_run_that_a_snapshot_lacks_is_started_again() -> None:
    """Guards against a start that got lost with its stream."""
    world = make_world(1)
    world.submit(support.make_workflow())
    world.settle()
    model = world.targets['vm-0']
    model.running.clear()
    world.attach(model)
    world.settle()
    assert [order[2] for order in world.orders] == [1, 2]


def test_unwanted_run_is_stopped_and_blocks_its_target() -> None:
    """Guards against placing beside a run of unknown size."""
    world = support.World()
    model = world.add_target('vm-0')
    model.running['feedfeedfeedfeed.0.0.0'] = 7
    world.attach(model)
    world.submit(support.make_workflow())
    world.settle()
    assert model.stopped == {'feedfeedfeedfeed.0.0.0'}
    assert world.orders == []
    world.end('feedfeedfeedfeed.0.0.0', STOPPED)
    world.settle()
    assert len(world.orders) == 1


def test_draining_target_gets_no_work_and_lasting_tasks_move() -> None:
    """Guards against monitors that end with their executor."""
    world = make_world(2)
    world.submit(support.make_workflow(support.make_step(1, is_lasting=True)))
    world.settle()
    place = world.find_place(f'{ID}.0.0.0')
    assert place is not None
    model = world.targets[place]
    model.is_draining = True
    world.core.update_target_state(
        world.core.targets[place], model.make_state(), world.moment
    )
    world._carry_out(world.core.take_immediate_effects())
    assert model.stopped == {f'{ID}.0.0.0'}
    world.end(f'{ID}.0.0.0', STOPPED)
    world.settle()
    assert world.find_place(f'{ID}.0.0.0') not in (None, place)


def test_cancelled_workflow_starts_nothing_more() -> None:
    """Guards against a task that starts after its cancellation."""
    world = make_world(1)
    world.submit(
        support.make_workflow(
            support.make_step(1), support.make_step(1, after=(0,))
        )
    )
    world.settle()
    world.cancel(ID)
    world.settle()
    assert world.replies[2].outcome is effects.Outcome.FOUND
    assert world.targets['vm-0'].stopped == {f'{ID}.0.0.0'}
    world.end(f'{ID}.0.0.0')
    world.settle()
    assert len(world.orders) == 1
    assert world.core.find_state(ID) == 'cancelled'


def test_cancel_of_an_unknown_workflow_is_said_so() -> None:
    """Guards against a confirmation for nothing."""
    world = make_world(1)
    world.cancel(ID)
    assert world.replies[2].outcome is effects.Outcome.ABSENT


def test_ended_workflow_leaves_only_its_state_in_the_store() -> None:
    """Guards against a store that fills up."""
    world = make_world(1)
    world.submit(support.make_workflow())
    world.settle()
    assert len(world.stored) == 2
    world.end(f'{ID}.0.0.0')
    world.settle()
    assert list(world.stored) == [records.make_state_key(ID)]
    world.now_ms += 200_000
    world.settle()
    assert world.stored == {}
    assert world.core.find_state(ID) is None


def test_gang_starts_together_with_one_attempt() -> None:
    """Guards against members that wait for others that never come."""
    world = support.World()
    world.add_target('vm-0', millicores=2_000)
    world.submit(support.make_workflow(support.make_step(3, is_gang=True)))
    world.settle()
    assert world.orders == []
    world.add_target('vm-1', millicores=2_000)
    world.settle()
    assert [order[2] for order in world.orders] == [1, 1, 1]
    world.end(f'{ID}.0.0.0', FAILED)
    for task in world.list_running():
        world.end(task, task_executor.EndKind.GANG_BROKEN)
    world.settle()
    assert [order[2] for order in world.orders[3:]] == [2, 2, 2]
    for task in world.list_running():
        world.end(task)
    world.settle()
    assert world.core.find_state(ID) == 'completed'


def test_timed_occurrences_start_when_due() -> None:
    """Guards against a scheduled run before its time."""
    world = make_world(1)
    due_ms = world.moment.wall_ms + 1_000
    workflow = dataclasses.replace(
        support.make_workflow(),
        occurrences=2,
        first_start_ms=due_ms,
        period_ms=500,
    )
    world.submit(workflow)
    world.settle()
    assert world.orders == []
    world.now_ms += 1_000
    world.settle()
    assert [order[1] for order in world.orders] == [f'{ID}.0.0.0']
    world.now_ms += 500
    world.settle()
    assert [order[1] for order in world.orders][1:] == [f'{ID}.1.0.0']


def test_runs_that_stand_still_are_moved() -> None:
    """Guards against work that waits on a hanging VM."""
    world = make_world(2)
    world.submit(support.make_workflow())
    world.settle()
    place = world.find_place(f'{ID}.0.0.0')
    assert place is not None
    target = world.core.targets[place]
    row = messages.Row(f'{ID}.0.0.0', 1, '', 40)
    world.core.update_progress(target, [row], world.moment)
    world.now_ms += 2_500
    world.core.update_progress(target, [row], world.moment)
    world._carry_out(world.core.take_immediate_effects())
    assert world.targets[place].stopped == {f'{ID}.0.0.0'}
    world.end(f'{ID}.0.0.0', STOPPED)
    world.settle()
    assert world.find_place(f'{ID}.0.0.0') != place


def test_target_that_fails_everything_gets_nothing() -> None:
    """Guards against a VM that attracts work by failing it quickly."""
    world = make_world(2)
    ids = [f'{number:016x}' for number in range(6)]
    for token, workflow_id in enumerate(ids):
        world.submit(
            support.make_workflow(workflow_id=workflow_id), token=token
        )
    world.settle()
    bad = 'vm-0'
    for task in list(world.targets[bad].running):
        world.end(task, FAILED)
    world.settle()
    assert world.targets[bad].running == {}
    assert len(world.list_running()) == 6


def test_disturbing_filler_is_not_left_without_any_run() -> None:
    """Guards against a workflow that waits while the fleet has room.

    Every target had a serving task that the filler was expected to disturb.
    """
    world = make_disturbed_world()
    filler = support.make_step(
        2, is_filler=True, image='loud', demand=support.SMALL
    )
    world.submit(support.make_workflow(filler, workflow_id='f' * 16), token=3)
    world.settle()
    assert len(world.list_running()) == 2
    world.now_ms += 1_500
    world.settle()
    assert f'{"f" * 16}.0.0.0' in world.list_running()


def test_acknowledgement_covers_no_uncommitted_end() -> None:
    """Guards against an end that is forgotten with a later one.

    An acknowledgement covers all ends before it. The end of a run that the
    owner did not know was acknowledged at once, and with it the end of a
    finished task whose commit waited for the store.
    """
    world = support.World()
    model = world.add_target('vm-0')
    world.submit(support.make_workflow())
    world.settle()
    model.running['feedfeedfeedfeed.0.0.0'] = 7
    world.end(f'{ID}.0.0.0')
    world.end('feedfeedfeedfeed.0.0.0', STOPPED)
    assert sorted(model.ended) == [1, 2]
    world.settle()
    assert model.ended == {}


def test_end_that_is_told_twice_waits_for_its_commit() -> None:
    """Guards against an end that a new session acknowledges too early."""
    world = support.World()
    model = world.add_target('vm-0')
    world.submit(support.make_workflow())
    world.settle()
    world.end(f'{ID}.0.0.0')
    world.core.take_batch()
    world.attach(model)
    assert sorted(model.ended) == [1]
    world.take_over()
    world.attach(model)
    world.settle()
    assert len(world.orders) == 1
    assert world.core.find_state(ID) == 'completed'


def test_overdue_workflow_takes_one_bad_place_only() -> None:
    """Guards against a step whose tasks all stand still at pace 0.

    All tasks of a workflow without any run were placed where the first of
    them disturbed least, although one run keeps the workflow going.
    """
    world = make_disturbed_world()
    filler = support.make_step(
        6, is_filler=True, image='loud', demand=support.SMALL
    )
    world.submit(support.make_workflow(filler, workflow_id='f' * 16), token=3)
    world.settle()
    world.now_ms += 1_500
    world.settle()
    running = [name for name in world.list_running() if name[0] == 'f']
    assert len(running) == 1


def test_serving_tasks_of_one_image_share_targets() -> None:
    """Guards against fillers that find no target on which they are harmless.

    Tasks of all images were mixed on each target; a filler that disturbs one
    image in three then disturbs something nearly everywhere.
    """
    world = make_world(3)
    loads = (('one', 40_000), ('two', 40_000), ('two', 8_000), ('one', 8_000))
    for number, (image, millicores) in enumerate(loads):
        serving = support.make_step(
            1,
            is_lasting=True,
            latency_target_ms=18,
            image=image,
            demand=resources.Resources(millicores, 16_000),
        )
        world.submit(
            support.make_workflow(serving, workflow_id=f'{number:016x}'),
            token=10 + number,
        )
        world.settle()
    images = [
        dict(target.serving_images) for target in world.core.targets.values()
    ]
    images.sort(key=lambda found: sorted(found.items()))
    assert images == [{}, {'one': 2}, {'two': 2}]


def test_quiet_latency_is_bounded_by_what_load_explains() -> None:
    """Guards against targets that are closed to fillers for a minute.

    A latency that still showed a filler that had been slowed was taken for
    the load's, and kept as its highest value.
    """
    world = make_world(1)
    serving = support.make_step(
        1, is_lasting=True, latency_target_ms=18, image='monitor'
    )
    world.submit(support.make_workflow(serving))
    world.settle()
    target = world.core.targets['vm-0']
    for share in (0.3, 0.5, 9.0, 4.0, 0.5):
        report = messages.Report(
            0, 0, samples=(messages.LatencySample('monitor', 9, share),)
        )
        world.core.apply_latency_samples(target, report, world.moment)
    assert target.baseline_latency_shares['monitor'] < 1.0
