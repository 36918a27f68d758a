"""How long lasting tasks wait for a run where sound targets have room.

The users' rules allow 9 s after the end of the last run, and 7 s after the end
of the last disruption.
"""

import collections
from typing import Final

import pytest

from borageshelf.decisions import crash_blame
from borageshelf.ports import task_executor
from borageshelf.workflows import jobs
from borageshelf.workflows import messages
from borageshelf.workflows import overdue
from tests import workflow_support as support

TICK_MS: Final = 100
REPORT_MS: Final = 400
FAILING_RUN_MS: Final = 300
SHORT_RUN_MS: Final = 1_000
ARRIVAL_MS: Final = 200
# Bounds of rule LOST of the users' platform.
LAST_RUN_LIMIT_MS: Final = 9_000
CALM_LIMIT_MS: Final = 7_000


class Day:
    """Targets that fail or refuse work for a while.

    :ivar has_arrivals: whether short workflows arrive all the time
    :ivar failing: ids of the targets that fail what they start
    :ivar refusing: ids of the targets that refuse starts as unhealthy
    :ivar waits_ms: time since the last run of each lasting task without one
    """

    def __init__(self, target_count: int, labels: tuple[str, ...]) -> None:
        self.cluster = support.Cluster()
        for number in range(target_count):
            self.cluster.add_target(f'vm-{number:02}', labels=labels)
        self.has_arrivals = True
        self.failing: set[str] = set()
        self.refusing: set[str] = set()
        self.waits_ms: collections.Counter[str] = collections.Counter()
        self._started_at_ms: dict[tuple[str, int], int] = {}
        self._checked_starts = 0
        self._short_ids = iter(range(1_000, 10_000))

    def submit_lasting(self, workflow_id: str, count: int) -> None:
        """Submit a workflow of lasting tasks."""
        self.cluster.submit(
            support.make_workflow(
                support.make_step(count, is_lasting=True, label='a'),
                workflow_id=workflow_id,
            ),
            token=len(self.cluster.replies) + 1,
        )

    def play(self, duration_ms: int) -> None:
        """Let time pass."""
        for _ in range(duration_ms // TICK_MS):
            self._tick()

    def count_waiting(self) -> int:
        """Return the number of lasting tasks without a run."""
        return sum(wait_ms > 0 for wait_ms in self.waits_ms.values())

    def fail(self, task: str) -> None:
        """Let a run fail by the fault of its task."""
        self.cluster.end_run(task, task_executor.EndKind.FAILED)

    def _tick(self) -> None:
        cluster = self.cluster
        cluster.now_ms += TICK_MS
        if self.has_arrivals and cluster.now_ms % ARRIVAL_MS == 0:
            short_id = f'{next(self._short_ids):016x}'
            cluster.submit(support.make_workflow(workflow_id=short_id))
        cluster.run_until_idle()
        for start in cluster.sent_starts[self._checked_starts :]:
            target_id, task, attempt = start
            self._started_at_ms[task, attempt] = cluster.now_ms
            if target_id in self.refusing:
                self._refuse(target_id, task, attempt)
        self._checked_starts = len(cluster.sent_starts)
        for fake in cluster.targets.values():
            for task, attempt in list(fake.running.items()):
                age_ms = cluster.now_ms - self._started_at_ms[task, attempt]
                if fake.target_id in self.failing and age_ms >= FAILING_RUN_MS:
                    self.fail(task)
                elif not _is_lasting(task) and age_ms >= SHORT_RUN_MS:
                    cluster.end_run(task)
            if cluster.now_ms % REPORT_MS == 0:
                target = cluster.core.targets[fake.target_id]
                cluster.core.extend_grant(target, cluster.moment)
        running = set(cluster.list_running())
        for job in cluster.core.jobs.values():
            for name in (task.name for task in job.tasks):
                if _is_lasting(name):
                    self.waits_ms[name] += TICK_MS
                    if name in running:
                        self.waits_ms[name] = 0

    def _refuse(self, target_id: str, task: str, attempt: int) -> None:
        cluster = self.cluster
        del cluster.targets[target_id].running[task]
        target = cluster.core.targets[target_id]
        refused = messages.StartRefused(
            0, task, attempt, 'status 503', is_unhealthy=True
        )
        cluster.core.handle_start_refusal(target, refused, cluster.moment)


def _is_lasting(task: str) -> bool:
    return int(task.split('.')[0], 16) < 1_000


def overdue_limit_ms() -> int:
    """Return the time in which a workflow without any run gets one."""
    return overdue.WORKFLOW_WAIT_LIMIT_MS + overdue.RETRY_INTERVAL_MS


def make_day(target_count: int = 4) -> Day:
    """Return a day on which lasting tasks already run."""
    day = Day(target_count, ('a', 'r1'))
    for number in range(3):
        day.submit_lasting(f'{number:016x}', count=4)
    day.play(1_000)
    assert day.count_waiting() == 0
    return day


@pytest.mark.parametrize('trouble_ms', range(1_000, 26_000, 1_000))
def test_lasting_task_runs_soon_after_its_targets_stop_failing(
    trouble_ms: int,
) -> None:
    """Guards against pauses of targets that outlast the failures (LOST)."""
    day = make_day()
    day.failing.update(day.cluster.targets)
    day.play(trouble_ms)
    day.failing.clear()
    day.play(CALM_LIMIT_MS)
    assert day.count_waiting() == 0


@pytest.mark.parametrize('trouble_ms', range(1_000, 26_000, 1_000))
def test_lasting_task_runs_soon_after_its_targets_stop_refusing(
    trouble_ms: int,
) -> None:
    """Guards against pauses of targets that outlast the refusals (LOST)."""
    day = make_day()
    day.refusing.update(day.cluster.targets)
    for task in day.cluster.list_running():
        day.fail(task)
    day.play(trouble_ms)
    day.refusing.clear()
    day.play(CALM_LIMIT_MS)
    assert day.count_waiting() == 0


def test_rare_failures_of_lasting_tasks_withhold_no_sound_target() -> None:
    """Guards against failures that add up for ever, as in review/5 (LOST)."""
    day = make_day(target_count=1)
    day.has_arrivals = False
    longest_ms = 0
    for number in range(6):
        day.fail(f'{number % 3:016x}.0.0.{number % 4}')
        for _ in range(12_000 // TICK_MS):
            day.play(TICK_MS)
            longest_ms = max(longest_ms, *day.waits_ms.values())
    assert longest_ms < LAST_RUN_LIMIT_MS


def test_idle_workflow_gets_one_run_where_all_targets_are_paused() -> None:
    """Guards against an accepted workflow without any run, with room (LOST).

    A run on a paused target must not cost the last attempt of a task.
    """
    day = make_day()
    day.has_arrivals = False
    day.refusing.update(day.cluster.targets)
    day.cluster.submit(
        support.make_workflow(
            support.make_step(3, estimate_ms=60_000), workflow_id='1' * 16
        )
    )
    day.play(10_000)
    day.refusing.clear()
    job = day.cluster.core.jobs['1' * 16]
    for attempt in range(job.terms.attempts_limit - 1):
        job.tasks[0].failed_attempts.add(attempt)
    is_paused = [
        target.health.is_suspect(day.cluster.now_ms + overdue_limit_ms())
        for target in day.cluster.core.targets.values()
    ]
    assert all(is_paused)
    earlier_starts = len(day.cluster.sent_starts)
    day.play(overdue_limit_ms())
    starts = [task for _, task, _ in day.cluster.sent_starts[earlier_starts:]]
    assert starts
    assert starts[0] != job.tasks[0].name


def test_target_that_runs_an_overdue_task_gets_work_again() -> None:
    """Guards against pauses that go on although the target is sound."""
    day = make_day(target_count=1)
    day.has_arrivals = False
    day.refusing.update(day.cluster.targets)
    day.fail(f'{1:016x}.0.0.0')
    day.play(10_000)
    day.refusing.clear()
    target = day.cluster.core.targets['vm-00']
    paused_until_ms = target.health.suspect_deadline_ms
    day.play(overdue_limit_ms() + overdue.SOUND_RUN_MS)
    assert day.cluster.now_ms < paused_until_ms
    assert target.can_accept_runs(day.cluster.now_ms)


def make_strong_suspect(day: Day) -> jobs.Task:
    """Return a lasting task that may have crashed several executors."""
    task = day.cluster.core.jobs[f'{0:016x}'].tasks[0]
    task.set_crash_history(
        crash_blame.History(
            crash_blame.STRONG_SUSPECT_CRASHES - 1, is_suspect=True
        )
    )
    return task


def test_isolation_wait_of_a_lasting_task_begins_with_the_crash() -> None:
    """Guards against waits that add up after a crash that is known late."""
    day = make_day()
    task = make_strong_suspect(day)
    (run,) = task.runs.values()
    fake = day.cluster.targets[run.target_id]
    target = day.cluster.core.targets[run.target_id]
    last_contact_ms = target.contact_at_ms
    day.cluster.now_ms += 4_000
    fake.running.clear()
    day.cluster.restart(fake)
    assert task.crash_history.is_strong_suspect
    assert task.isolation_wait_deadline_ms == (
        last_contact_ms + crash_blame.LASTING_ISOLATION_WAIT_MS
    )


def test_isolation_wait_of_a_lasting_task_is_shorter_for_a_new_owner() -> None:
    """Guards against waits that add up with the change of an owner."""
    day = make_day()
    task = make_strong_suspect(day)
    (run,) = task.runs.values()
    fake = day.cluster.targets[run.target_id]
    fake.running.clear()
    day.cluster.restart(fake)
    assert task.crash_history.is_strong_suspect
    batch = day.cluster.core.take_batch()
    day.cluster.commit(batch)
    day.cluster.take_over()
    restored = day.cluster.core.jobs[f'{0:016x}'].tasks[0]
    assert restored.crash_history.is_strong_suspect
    assert restored.isolation_wait_deadline_ms == (
        day.cluster.now_ms + crash_blame.RESTORED_ISOLATION_WAIT_MS
    )
