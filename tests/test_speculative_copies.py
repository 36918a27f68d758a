"""Speculative copies in the owner's core: two runs of one task."""

import dataclasses
from typing import Any

import msgspec
import pytest

from borageshelf.model import resources
from borageshelf.ports import task_executor
from borageshelf.workflows import jobs
from borageshelf.workflows import messages
from tests import workflow_support as support

WORKFLOW_ID = '0123456789abcdef'
TASK = f'{WORKFLOW_ID}.0.0.0'
FAILED = task_executor.EndKind.FAILED
DONE = task_executor.EndKind.DONE
STOPPED = task_executor.EndKind.STOPPED


class Pair:
    """A cluster in which the first task of a step has a copy.

    :ivar original_id: target of the first run
    :ivar copy_id: target of the copy; '' if none was made
    """

    def __init__(
        self,
        *later: Any,
        attempts_limit: int = 3,
        is_straggling: bool = True,
        **fields: Any,
    ) -> None:
        self.cluster = cluster = support.Cluster()
        for number in range(14):
            cluster.add_target(f'vm-{number:02}', millicores=4_000)
        # Copies may use a tenth of the processors of short tasks.
        others = support.make_step(20)
        cluster.submit(support.make_workflow(others, workflow_id='b' * 16))
        cluster.run_until_idle()
        fields.setdefault('is_speculative', True)
        step = support.make_step(12, spread_limit=1, **fields)
        queue = dataclasses.replace(
            support.QUEUE, attempts_limit=attempts_limit
        )
        cluster.submit(support.make_workflow(step, *later), queue)
        cluster.run_until_idle()
        self.original_id = cluster.find_target_id(TASK) or ''
        for task in cluster.list_running():
            if task.startswith(WORKFLOW_ID) and task != TASK:
                cluster.now_ms += 100
                cluster.end_run(task)
                cluster.run_until_idle()
        if is_straggling:
            self.straggle()
        self.copy_id = self.find_copy_id()

    def straggle(self, delay_ms: int = 0) -> None:
        """Let the first run show that it is slow."""
        for percent in (1, 4, 8, 12, 16):
            self.cluster.now_ms += 900
            self.cluster.report_progress(self.original_id, {TASK: percent})
            self.cluster.now_ms += delay_ms
            self.cluster.run_until_idle()

    def find_copy_id(self) -> str:
        """Return the target of the second run; '' if there is none."""
        return next(
            (
                fake.target_id
                for fake in self.cluster.targets.values()
                if TASK in fake.running and fake.target_id != self.original_id
            ),
            '',
        )

    @property
    def task(self) -> jobs.Task:
        """The task in the present owner."""
        task = self.cluster.core.jobs[WORKFLOW_ID].find_task(TASK)
        assert task is not None
        return task

    def end(self, target_id: str, kind: task_executor.EndKind = DONE) -> None:
        """End the run of the task on a target."""
        self.cluster.end_run(TASK, kind, target_id=target_id)
        self.cluster.run_until_idle()

    def list_events(self, name: str) -> list[dict[str, Any]]:
        """Return the fields of all log lines of an event."""
        return [
            fields for event, fields in self.cluster.log_lines if event == name
        ]


def test_straggler_gets_one_copy_with_a_higher_attempt() -> None:
    """Guards against no copy, several copies, and one on the same target."""
    pair = Pair()
    assert pair.copy_id
    assert pair.cluster.targets[pair.copy_id].running[TASK] == 2
    pair.straggle()
    assert len(pair.task.runs) == 2
    (line,) = pair.list_events('copy started')
    assert line['progress_percent'] > 0 and line['run_left_ms'] > 0


@pytest.mark.parametrize(
    'fields',
    [
        {'is_speculative': False},
        {'is_gang': True},
        {'is_lasting': True},
        {'is_filler': True},
        {'attempts_limit': 1},
        {'estimate_ms': 120_000},
    ],
    ids=lambda fields: next(iter(fields)),
)
def test_no_copy_is_made(fields: dict[str, Any]) -> None:
    """Guards against a second run that the rules forbid or nobody needs.

    The last one has an objective that its straggler meets.
    """
    pair = Pair(**fields)
    assert not pair.copy_id
    assert not pair.list_events('copy started')


def test_no_copy_is_made_while_others_wait_for_capacity() -> None:
    """Guards against copies that take the place of first runs."""
    pair = Pair(is_straggling=False)
    large = support.make_step(demand=resources.Resources(8_000, 1_000))
    pair.cluster.submit(support.make_workflow(large, workflow_id='f' * 16))
    pair.straggle()
    assert not pair.find_copy_id()
    (line,) = pair.list_events('copy declined')
    assert line['cause'] == 'tasks wait for capacity'


def test_old_report_allows_no_copy() -> None:
    """Guards against a copy of a run that may have ended long ago."""
    pair = Pair(is_straggling=False)
    pair.straggle(delay_ms=1_000)
    assert not pair.find_copy_id()


def test_suspect_gets_no_copy() -> None:
    """Guards against a task that takes down two executors at a time."""
    pair = Pair(is_straggling=False)
    pair.task.crash_history = dataclasses.replace(
        pair.task.crash_history, is_suspect=True
    )
    pair.straggle()
    assert not pair.find_copy_id()


@pytest.mark.parametrize('is_won', [True, False], ids=['copy', 'original'])
@pytest.mark.parametrize('late_kind', [DONE, FAILED, STOPPED])
def test_first_success_counts_and_the_other_run_is_stopped(
    is_won: bool, late_kind: task_executor.EndKind
) -> None:
    """Guards against a loser that goes on, and one whose end has effects."""
    pair = Pair(support.make_step(1, after=(0,)))
    winner, loser = pair.original_id, pair.copy_id
    if is_won:
        winner, loser = loser, winner
    cluster = pair.cluster
    cluster.end_run(TASK, target_id=winner)
    assert TASK not in cluster.targets[loser].stop_orders, 'before the commit'
    cluster.run_until_idle()
    assert TASK in cluster.targets[loser].stop_orders
    assert f'{WORKFLOW_ID}.0.1.0' in cluster.list_running()
    health = cluster.core.targets[loser].health
    pair.end(loser, late_kind)
    assert cluster.core.targets[loser].health == health
    assert pair.task.is_done and not pair.task.runs
    assert pair.task.failures == 0
    assert not cluster.targets[loser].ended, 'its end is acknowledged'
    cluster.end_run(f'{WORKFLOW_ID}.0.1.0')
    cluster.run_until_idle()
    assert cluster.core.find_state(WORKFLOW_ID) == 'completed'
    (line,) = pair.list_events('copy ended')
    assert line['is_won'] is is_won
    assert bool(line['saved_ms']) is is_won


def test_failure_beside_another_run_counts_and_starts_nothing() -> None:
    """Guards against a third run, and a failure that is not counted."""
    pair = Pair()
    starts = len(pair.cluster.sent_starts)
    pair.end(pair.original_id, FAILED)
    assert pair.task.failures == 1
    assert len(pair.cluster.sent_starts) == starts
    pair.end(pair.copy_id, FAILED)
    assert pair.task.failures == 2
    assert pair.cluster.sent_starts[-1][1:] == (TASK, 3)
    pair.end(pair.cluster.find_target_id(TASK) or '', FAILED)
    assert pair.cluster.core.find_state(WORKFLOW_ID) == 'failed'
    assert len(pair.cluster.sent_starts) == starts + 1


def test_refused_and_lost_copies_leave_the_original_alone() -> None:
    """Guards against copies that are started again and again."""
    pair = Pair()
    for attempt in (2, 3):
        target_id = pair.find_copy_id()
        target = pair.cluster.core.targets[target_id]
        del pair.cluster.targets[target_id].running[TASK]
        pair.cluster.core.handle_start_refusal(
            target,
            messages.StartRefused(0, TASK, attempt, 'no room'),
            pair.cluster.moment,
        )
        assert list(pair.task.runs) == [1] and not pair.task.is_waiting
        pair.straggle()
    assert not pair.find_copy_id(), 'each task gets two copies at most'


def test_crash_under_the_original_starts_nothing() -> None:
    """Guards against a third run after the proved end of one of two."""
    pair = Pair()
    starts = len(pair.cluster.sent_starts)
    pair.cluster.crash(pair.cluster.targets[pair.original_id])
    pair.cluster.run_until_idle()
    assert list(pair.task.runs) == [2] and not pair.task.is_waiting
    assert len(pair.cluster.sent_starts) == starts


def test_cancel_stops_both_runs() -> None:
    """Guards against a run that outlives its workflow."""
    pair = Pair()
    pair.cluster.cancel(WORKFLOW_ID)
    pair.cluster.run_until_idle()
    for target_id in (pair.original_id, pair.copy_id):
        assert TASK in pair.cluster.targets[target_id].stop_orders
        pair.end(target_id, STOPPED)
    assert pair.cluster.core.find_state(WORKFLOW_ID) == 'cancelled'
    assert WORKFLOW_ID not in pair.cluster.core.jobs


def test_next_owner_knows_both_runs_and_starts_no_third() -> None:
    """Guards against a takeover that forgets one of two runs."""
    pair = Pair()
    cluster = pair.cluster
    cluster.take_over()
    for fake in cluster.targets.values():
        cluster.attach(fake)
    cluster.run_until_idle()
    assert sorted(pair.task.runs) == [1, 2]
    pair.straggle()
    assert sorted(pair.task.runs) == [1, 2]
    pair.end(pair.copy_id)
    assert TASK in cluster.targets[pair.original_id].stop_orders


def test_next_owner_stops_the_loser() -> None:
    """Guards against a loser that runs on because its stop was lost."""
    pair = Pair(support.make_step(1, after=(0,)))
    cluster = pair.cluster
    pair.end(pair.copy_id)
    loser = cluster.targets[pair.original_id]
    loser.stop_orders.clear()
    cluster.take_over()
    for fake in cluster.targets.values():
        cluster.attach(fake)
    cluster.run_until_idle()
    assert TASK in loser.stop_orders
    pair.end(pair.original_id)
    assert pair.task.is_done and not pair.task.runs


def test_success_that_was_not_committed_counts_for_the_next_owner() -> None:
    """Guards against a success that dies with its owner."""
    pair = Pair()
    cluster = pair.cluster
    cluster.end_run(TASK, target_id=pair.copy_id)
    cluster.take_over()
    for fake in cluster.targets.values():
        cluster.attach(fake)
    cluster.run_until_idle()
    assert TASK in cluster.targets[pair.original_id].stop_orders
    assert cluster.core.find_state(WORKFLOW_ID) == 'completed'


def test_copy_whose_start_was_lost_with_its_owner_is_dropped() -> None:
    """Guards against a task that waits for a run that never began."""
    pair = Pair()
    cluster = pair.cluster
    del cluster.targets[pair.copy_id].running[TASK]
    cluster.take_over()
    for fake in cluster.targets.values():
        cluster.attach(fake)
    cluster.run_until_idle()
    assert list(pair.task.runs) == [1]
    pair.end(pair.original_id, STOPPED)
    assert cluster.sent_starts[-1][1:] == (TASK, 3)


def test_loser_on_a_silent_target_does_not_hold_up_the_workflow() -> None:
    """Guards against a silent loser that counts as work of the workflow."""
    demand = resources.Resources(8_000, 1_000)
    pair = Pair(support.make_step(after=(0,), demand=demand))
    cluster = pair.cluster
    silent = cluster.targets[pair.original_id]
    cluster.core.extend_grant(
        cluster.core.targets[pair.original_id], cluster.moment
    )
    cluster.core.detach(silent.target_id, silent.session)
    pair.end(pair.copy_id)
    idle_since_ms = cluster.now_ms
    cluster.now_ms += support.GRANT_MS // 2
    cluster.run_until_idle()
    job = cluster.core.jobs[WORKFLOW_ID]
    assert job.live_runs == 1
    assert job.idle_since_ms == idle_since_ms


def test_remaining_work_counts_a_task_once() -> None:
    """Guards against admission that takes two half runs for a whole one."""
    pair = Pair()
    pair.cluster.report_progress(pair.original_id, {TASK: 60})
    pair.cluster.report_progress(pair.copy_id, {TASK: 50})
    job = pair.cluster.core.jobs[WORKFLOW_ID]
    assert job.estimate_remaining_work(0) == 400_000
    pair.end(pair.original_id, FAILED)
    assert job.estimate_remaining_work(0) == 500_000
    pair.end(pair.copy_id)
    assert job.groups[0].running_percent == 0


def test_checkpoint_of_the_leading_run_is_kept() -> None:
    """Guards against work that is lost to a copy that has just begun."""
    pair = Pair(is_checkpointing=True)
    pair.cluster.report_progress(pair.original_id, {TASK: 60}, 'far')
    pair.cluster.report_progress(pair.copy_id, {TASK: 5}, 'near')
    assert pair.task.checkpoint == 'far'
    pair.cluster.end_run(TASK, STOPPED, 'near', pair.copy_id)
    assert pair.task.checkpoint == 'far'


def test_drain_of_one_target_starts_nothing() -> None:
    """Guards against a third run when one of two is moved by a drain."""
    pair = Pair(is_checkpointing=True, estimate_ms=1_000)
    cluster = pair.cluster
    fake = cluster.targets[pair.original_id]
    state = dataclasses.replace(fake, is_draining=True).make_state()
    state = msgspec.structs.replace(state, leaves_in_ms=0)
    target = cluster.core.targets[pair.original_id]
    cluster.core.update_target_state(target, state, cluster.moment)
    cluster.apply_effects(cluster.core.take_immediate_effects())
    assert TASK in fake.stop_orders
    starts = len(cluster.sent_starts)
    pair.end(pair.original_id, STOPPED)
    assert list(pair.task.runs) == [2]
    assert len(cluster.sent_starts) == starts
