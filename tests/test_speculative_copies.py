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
LARGE = resources.Resources(8_000, 1_000)
FAILED = task_executor.EndKind.FAILED
DONE = task_executor.EndKind.DONE
STOPPED = task_executor.EndKind.STOPPED


class Pair:
    """A cluster in which the first task of a step straggles.

    :ivar original_id: target of its first run
    """

    def __init__(
        self, *later: Any, attempts_limit: int = 3, **fields: Any
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

    def straggle(self, delay_ms: int = 0) -> 'Pair':
        """Let the first run show that it is slow."""
        for percent in (1, 4, 8, 12, 16):
            self.cluster.now_ms += 900
            self.cluster.report_progress(self.original_id, {TASK: percent})
            self.cluster.now_ms += delay_ms
            self.cluster.run_until_idle()
        return self

    @property
    def copy_id(self) -> str:
        """Target of the second run; '' if there is none."""
        ids = [
            fake.target_id
            for fake in self.cluster.targets.values()
            if TASK in fake.running and fake.target_id != self.original_id
        ]
        return ids[0] if ids else ''

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

    def list_lines(self, event: str) -> list[dict[str, Any]]:
        """Return the fields of the log lines of an event."""
        return [
            fields for name, fields in self.cluster.log_lines if name == event
        ]

    def take_over(self) -> None:
        """Let another owner take over and meet all targets."""
        self.cluster.take_over()
        for fake in self.cluster.targets.values():
            self.cluster.attach(fake)
        self.cluster.run_until_idle()


@pytest.mark.parametrize(
    'fields',
    [
        {'is_speculative': False},
        {'is_gang': True},
        {'is_lasting': True},
        {'is_filler': True},
        {'attempts_limit': 1},
        # Its objective is met without a copy.
        {'estimate_ms': 120_000},
    ],
    ids=lambda fields: next(iter(fields)),
)
def test_no_copy_is_made(fields: dict[str, Any]) -> None:
    """Guards against a second run that rules forbid or nobody needs."""
    pair = Pair(**fields).straggle()
    assert not pair.copy_id
    assert not pair.list_lines('copy started')


@pytest.mark.parametrize('obstacle', ['old report', 'suspect', 'waiting'])
def test_no_copy_is_made_now(obstacle: str) -> None:
    """Guards against copies that risk executors or take others' room."""
    pair = Pair()
    if obstacle == 'suspect':
        pair.task.crash_history = dataclasses.replace(
            pair.task.crash_history, is_suspect=True
        )
    elif obstacle == 'waiting':
        large = support.make_step(demand=LARGE)
        pair.cluster.submit(support.make_workflow(large, workflow_id='f' * 16))
    pair.straggle(delay_ms=1_000 if obstacle == 'old report' else 0)
    assert not pair.copy_id


@pytest.mark.parametrize('is_won', [True, False], ids=['copy', 'original'])
@pytest.mark.parametrize('late_kind', [DONE, FAILED, STOPPED])
def test_first_success_counts_and_the_other_run_is_stopped(
    is_won: bool, late_kind: task_executor.EndKind
) -> None:
    """Guards against a loser that goes on, and one whose end has effects."""
    pair = Pair(support.make_step(1, after=(0,))).straggle()
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
    assert not cluster.targets[loser].ended, 'its end is not acknowledged'
    (line,) = pair.list_lines('copy ended')
    assert line['is_won'] is is_won


def test_failures_beside_another_run_count_and_start_nothing() -> None:
    """Guards against a third run, and a failure that is not counted."""
    pair = Pair().straggle()
    starts = len(pair.cluster.sent_starts)
    pair.end(pair.original_id, FAILED)
    assert pair.task.failures == 1
    assert len(pair.cluster.sent_starts) == starts
    pair.end(pair.copy_id, FAILED)
    assert pair.cluster.sent_starts[starts:][0][1:] == (TASK, 3)
    pair.end(pair.cluster.find_target_id(TASK) or '', FAILED)
    assert pair.cluster.core.find_state(WORKFLOW_ID) == 'failed'
    assert len(pair.cluster.sent_starts) == starts + 1


def test_refused_copies_are_not_repeated_for_ever() -> None:
    """Guards against copies that are refused and made again and again."""
    pair = Pair().straggle()
    for attempt in (2, 3):
        target = pair.cluster.core.targets[pair.copy_id]
        del pair.cluster.targets[pair.copy_id].running[TASK]
        refused = messages.StartRefused(0, TASK, attempt, 'no room')
        pair.cluster.core.handle_start_refusal(
            target, refused, pair.cluster.moment
        )
        assert list(pair.task.runs) == [1] and not pair.task.is_waiting
        pair.straggle()
    assert not pair.copy_id


@pytest.mark.parametrize('how', ['crash', 'drain', 'stall'])
def test_loss_of_the_original_starts_nothing(how: str) -> None:
    """Guards against a third run when one of two has gone."""
    pair = Pair(is_checkpointing=True).straggle()
    cluster = pair.cluster
    starts = len(cluster.sent_starts)
    fake = cluster.targets[pair.original_id]
    if how == 'crash':
        cluster.crash(fake)
    elif how == 'stall':
        for percent in (20, 40, 60):
            cluster.now_ms += 900
            cluster.report_progress(pair.copy_id, {TASK: percent})
            cluster.report_progress(pair.original_id, {TASK: 16})
    else:
        fake.is_draining = True
        state = msgspec.structs.replace(fake.make_state(), leaves_in_ms=0)
        cluster.core.update_target_state(
            cluster.core.targets[pair.original_id], state, cluster.moment
        )
        cluster.apply_effects(cluster.core.take_immediate_effects())
    if how != 'crash':
        assert TASK in fake.stop_orders
        pair.end(pair.original_id, STOPPED)
    cluster.run_until_idle()
    assert list(pair.task.runs) == [2] and not pair.task.is_waiting
    assert len(cluster.sent_starts) == starts


def test_cancel_stops_both_runs() -> None:
    """Guards against a run that outlives its workflow."""
    pair = Pair().straggle()
    pair.cluster.cancel(WORKFLOW_ID)
    pair.cluster.run_until_idle()
    for target_id in (pair.original_id, pair.copy_id):
        assert TASK in pair.cluster.targets[target_id].stop_orders
        pair.end(target_id, STOPPED)
    assert WORKFLOW_ID not in pair.cluster.core.jobs


def test_next_owner_knows_both_runs() -> None:
    """Guards against a takeover that forgets a run or a lost success."""
    pair = Pair(support.make_step(1, after=(0,))).straggle()
    pair.take_over()
    pair.straggle()
    assert sorted(pair.task.runs) == [1, 2]
    pair.cluster.end_run(TASK, target_id=pair.copy_id)
    pair.take_over()
    loser = pair.cluster.targets[pair.original_id]
    assert TASK in loser.stop_orders, 'the success was not committed'
    loser.stop_orders.clear()
    pair.take_over()
    assert TASK in loser.stop_orders, 'the stop was lost'
    pair.end(pair.original_id, FAILED)
    assert pair.task.is_done and not pair.task.runs


def test_copy_whose_start_was_lost_with_its_owner_is_dropped() -> None:
    """Guards against a task that waits for a run that never began."""
    pair = Pair().straggle()
    del pair.cluster.targets[pair.copy_id].running[TASK]
    pair.take_over()
    assert list(pair.task.runs) == [1]
    pair.end(pair.original_id, STOPPED)
    assert pair.cluster.sent_starts[-1][1:] == (TASK, 3)


def test_loser_on_a_silent_target_does_not_count_as_work() -> None:
    """Guards against a next step that never becomes overdue."""
    pair = Pair(support.make_step(after=(0,), demand=LARGE)).straggle()
    core = pair.cluster.core
    target = core.targets[pair.original_id]
    core.extend_grant(target, pair.cluster.moment)
    core.detach(target.target_id, target.session)
    pair.end(pair.copy_id)
    idle_since_ms = pair.cluster.now_ms
    pair.cluster.now_ms += support.GRANT_MS // 2
    pair.cluster.run_until_idle()
    assert core.jobs[WORKFLOW_ID].live_runs == 1
    assert core.jobs[WORKFLOW_ID].idle_since_ms == idle_since_ms


def test_better_run_counts_as_progress_of_the_task() -> None:
    """Guards against work counted twice, and a checkpoint that is lost."""
    pair = Pair(is_checkpointing=True).straggle()
    job = pair.cluster.core.jobs[WORKFLOW_ID]
    pair.cluster.report_progress(pair.original_id, {TASK: 60}, 'far')
    pair.cluster.report_progress(pair.copy_id, {TASK: 50}, 'near')
    assert pair.task.checkpoint == 'far'
    assert job.estimate_remaining_work(0) == 400_000
    pair.end(pair.original_id, FAILED)
    assert job.estimate_remaining_work(0) == 500_000
    pair.end(pair.copy_id)
    assert job.groups[0].running_percent == 0
