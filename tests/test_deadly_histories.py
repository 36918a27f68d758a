"""Random histories of few executors with several deadly workflows."""

import random
from typing import Final

import pytest

from tests import test_deadly_tasks as deadly_tasks
from tests import workflow_support as support

LOAD_TICKS: Final = 100
PLAY_MS: Final = 60_000
# Of tasks that crash their executors.
AGES_MS: Final = (0, 300, 300, 1_500)


class DeadlyHistory(deadly_tasks.CrashDay):
    """Deadly workflows among sound ones, and an owner that may change.

    :ivar ages_ms: run time after which the tasks of each deadly workflow
        crash their executors
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        super().__init__(self._rng.choice((2, 3, 4)))
        ids = [f'{0xDEAD00 + number:016x}' for number in range(3)]
        self.ages_ms = {
            workflow_id: self._rng.choice(AGES_MS)
            for workflow_id in ids[: self._rng.choice((1, 2, 3))]
        }
        self._submit_ticks = {
            workflow_id: self._rng.randrange(60)
            for workflow_id in self.ages_ms
        }
        self._takeover_ticks = {
            self._rng.randrange(200)
            for _ in range(self._rng.choice((0, 0, 1, 2)))
        }
        # If not, the owner sees only that an executor is back.
        self.are_crashes_reported = self._rng.random() < 0.3
        self.restart_ms = self._rng.choice((1_500, 3_000))
        self.disturb = self._go_on

    def _go_on(self, tick: int) -> None:
        if tick < LOAD_TICKS and tick % 5 == 0:
            workflow_id = f'{tick:016x}'
            run_ms = self._rng.choice((300, 1_000, 2_500))
            self.run_ms[workflow_id] = run_ms
            count = self._rng.choice((1, 2))
            self.submit(
                workflow_id, support.make_step(count, estimate_ms=run_ms)
            )
        for workflow_id, submit_tick in self._submit_ticks.items():
            if tick == submit_tick:
                count = self._rng.choice((1, 2, 3))
                self.submit(
                    workflow_id, support.make_step(count, estimate_ms=500)
                )
        if tick in self._takeover_ticks:
            self.take_over()

    def _is_due_to_crash(self, task: str, age_ms: int) -> bool:
        crash_age_ms = self.ages_ms.get(task.split('.')[0])
        return crash_age_ms is not None and age_ms >= crash_age_ms


@pytest.mark.parametrize('seed', [*range(30), 142, 170, 340, 575, 639])
def test_deadly_tasks_are_given_up_within_their_budget(seed: int) -> None:
    """Guards against a crash that counts for none of several deadly tasks."""
    history = DeadlyHistory(seed)
    history.play(PLAY_MS)
    starts = {
        task: count
        for task, count in history.starts.items()
        if task.split('.')[0] in history.ages_ms
    }
    assert starts
    assert max(starts.values()) <= deadly_tasks.STARTS_LIMIT
    core = history.cluster.core
    # Some are refused while no executor is up.
    states = {core.find_state(each) for each in history.ages_ms}
    assert states - {None} == {'failed'}
