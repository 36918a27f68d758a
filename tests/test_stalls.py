"""Which runs are stopped because they stand still."""

from typing import Final

import pytest

from borageshelf.decisions import stalls
from borageshelf.ports import task_executor
from borageshelf.workflows import messages
from tests import workflow_support as support

REPORT_MS: Final = 400
ID: Final = '0123456789abcdef'


class SlowWork:
    """One workflow whose tasks need much time, on sound targets.

    :ivar stops: number of runs that the owner has stopped
    """

    def __init__(self, run_ms: int, estimate_ms: int) -> None:
        self.cluster = support.Cluster()
        for number in range(2):
            self.cluster.add_target(f'vm-{number}')
        self.stops = 0
        self._run_ms = run_ms
        self._started_at_ms: dict[str, int] = {}
        self.cluster.submit(
            support.make_workflow(
                support.make_step(6, estimate_ms=estimate_ms)
            )
        )
        self.cluster.run_until_idle()

    def play(self, duration_ms: int) -> None:
        """Let the executors work and report whole percents."""
        for _ in range(duration_ms // REPORT_MS):
            self.cluster.now_ms += REPORT_MS
            for fake in self.cluster.targets.values():
                self._report(fake)
            self.cluster.run_until_idle()

    def _report(self, fake: support.FakeTarget) -> None:
        cluster = self.cluster
        rows = []
        for task, attempt in fake.running.items():
            key = f'{task}/{attempt}'
            since_ms = self._started_at_ms.setdefault(key, cluster.now_ms)
            percent = (cluster.now_ms - since_ms) * 100 // self._run_ms
            rows.append(messages.Row(task, attempt, '', percent))
        target = cluster.core.targets[fake.target_id]
        cluster.core.update_progress(target, rows, cluster.moment)
        cluster.apply_effects(cluster.core.take_immediate_effects())
        stopped, fake.stop_orders = fake.stop_orders, set()
        self.stops += len(stopped)
        for task in stopped:
            cluster.end_run(task, task_executor.EndKind.STOPPED)


def test_slow_tasks_with_a_true_estimate_are_not_stopped() -> None:
    """Guards against taking slow tasks for stalled, as in review/3 (LOST)."""
    work = SlowWork(run_ms=300_000, estimate_ms=300_000)
    work.play(60_000)
    assert work.stops == 0


@pytest.mark.parametrize('run_ms', [300_000, 3_000_000])
def test_slow_tasks_with_a_low_estimate_are_soon_left_alone(
    run_ms: int,
) -> None:
    """Guards against stopping a task again and again for its estimate."""
    work = SlowWork(run_ms, estimate_ms=1_000)
    work.play(120_000)
    earlier_stops = work.stops
    work.play(120_000)
    assert work.stops == earlier_stops
    assert len(work.cluster.list_running()) == 6


def compute_limit_ms(
    worked_ms: int = 0,
    percent: int = 0,
    keeps_work: bool = False,
    earlier_stalls: int = 0,
) -> int:
    """Return the limit of a run whose estimate is one second."""
    return stalls.compute_stall_limit_ms(
        stalls.Progress(worked_ms, percent, 1_000, keeps_work, earlier_stalls)
    )


def test_stop_that_would_lose_more_than_it_saves_waits() -> None:
    """Guards against stops that cost more work than the stall."""
    assert compute_limit_ms(worked_ms=20_000, percent=90) == 20_000
    assert compute_limit_ms(20_000, 90, keeps_work=True) < 3_000


def test_stalled_short_runs_are_found_in_five_reports() -> None:
    """Guards against work that is held up by a hanging VM for longer."""
    assert compute_limit_ms() == stalls.BASE_LIMIT_MS
    assert compute_limit_ms(1_500, 90) == stalls.BASE_LIMIT_MS
    assert compute_limit_ms(earlier_stalls=1) == 2 * stalls.BASE_LIMIT_MS
