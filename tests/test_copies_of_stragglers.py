"""Loads with stragglers in the owner's core, with copies and without.

The fake targets work at their own pace and report progress late.
"""

import dataclasses
import enum
import random
from unittest import mock

import pytest

from borageshelf.decisions import copies
from borageshelf.ports import task_executor
from tests import workflow_support as support

TICK_MS = 100
REPORT_MS = 400
# Executors answer inspections up to this late.
LAG_MS = 800
WORK_MS = 1_400
ARRIVAL_MS = 400
WORKFLOWS = 120
# The objective of two steps that takes twice their time and a second.
OBJECTIVE_MS = 2 * 2 * WORK_MS + 1_000


class Cause(enum.Enum):
    """Why some runs take seven times as long as others."""

    TARGET = 'a few targets are slow, others every 20 s'
    RUN = 'three runs in a hundred have bad luck'
    TASK = 'three tasks in a hundred are long by themselves'


@dataclasses.dataclass
class Work:
    """A run on a fake target."""

    started_ms: int
    duration_ms: float


class Play:
    """Workflows of two steps of ten tasks, some of which are stragglers.

    :param causes: cause in each part of the play
    """

    def __init__(self, seed: int, causes: tuple[Cause, ...]) -> None:
        self.seed = seed
        self.causes = causes
        self.cluster = support.Cluster()
        self.work: dict[tuple[str, str, int], Work] = {}
        self.latencies_ms: dict[str, int] = {}
        self.worked_ms = 0
        for number in range(24):
            self.cluster.add_target(f'vm-{number:02}', millicores=16_000)

    def draw(self, *key: object) -> float:
        """Return the same random number for the same key."""
        return random.Random(f'{self.seed} {key}').random()

    def find_work(self, target_id: str, task: str, attempt: int) -> Work:
        """Return the work of a run; it is begun if it is new."""
        now_ms = self.cluster.now_ms
        if (target_id, task, attempt) not in self.work:
            number = int(task.split('.')[0], 16)
            cause = self.causes[number * len(self.causes) // WORKFLOWS]
            is_slow = {
                Cause.TARGET: self.draw(target_id, now_ms // 20_000) < 0.05,
                Cause.RUN: self.draw(task, attempt) < 0.03,
                Cause.TASK: self.draw(task) < 0.03,
            }[cause]
            self.work[(target_id, task, attempt)] = Work(
                now_ms,
                WORK_MS
                * (0.8 + 0.4 * self.draw('size', task))
                * (7 if is_slow else 1),
            )
        return self.work[(target_id, task, attempt)]

    def run(self) -> None:
        """Play until all workflows have ended."""
        cluster = self.cluster
        begun_ms = cluster.now_ms
        while len(self.latencies_ms) < WORKFLOWS:
            passed_ms = cluster.now_ms - begun_ms
            assert passed_ms < 300_000, 'some workflows never end'
            number = passed_ms // ARRIVAL_MS
            if passed_ms % ARRIVAL_MS == 0 and number < WORKFLOWS:
                steps = [
                    support.make_step(
                        10, after=after, is_speculative=True, estimate_ms=1_400
                    )
                    for after in ((), (0,))
                ]
                cluster.submit(
                    support.make_workflow(*steps, workflow_id=f'{number:016x}')
                )
            for fake in cluster.targets.values():
                self._work(fake, passed_ms % REPORT_MS == 0)
            cluster.run_until_idle()
            for number in range(min(number + 1, WORKFLOWS)):
                workflow_id = f'{number:016x}'
                if cluster.core.find_state(workflow_id) == 'completed':
                    self.latencies_ms.setdefault(
                        workflow_id, passed_ms - number * ARRIVAL_MS
                    )
            cluster.now_ms += TICK_MS

    def _work(self, fake: support.FakeTarget, is_reporting: bool) -> None:
        """End the runs on a target that are due, and report the others."""
        percents = {}
        for task, attempt in list(fake.running.items()):
            work = self.find_work(fake.target_id, task, attempt)
            ran_ms = self.cluster.now_ms - work.started_ms
            is_done = ran_ms >= work.duration_ms
            if not is_done and task not in fake.stop_orders:
                lag_ms = LAG_MS * self.draw('lag', task, self.cluster.now_ms)
                seen_ms = max(ran_ms - lag_ms, 0)
                percents[task] = int(seen_ms * 100 / work.duration_ms)
                continue
            self.worked_ms += ran_ms
            kind = task_executor.EndKind.STOPPED
            if is_done:
                kind = task_executor.EndKind.DONE
            self.cluster.end_run(task, kind, target_id=fake.target_id)
        if is_reporting:
            self.cluster.report_progress(fake.target_id, percents)

    def count(self, event: str) -> int:
        """Return the number of log lines of an event."""
        return sum(event == name for name, _ in self.cluster.log_lines)

    @property
    def late(self) -> int:
        """Number of workflows that ended after their objective."""
        return sum(ms > OBJECTIVE_MS for ms in self.latencies_ms.values())


def play(*causes: Cause, seed: int = 0, has_copies: bool = True) -> Play:
    """Play a load to its end."""
    share = copies.COPY_SHARE if has_copies else 0.0
    with mock.patch.object(copies, 'COPY_SHARE', share):
        load = Play(seed, causes)
        load.run()
    return load


@pytest.mark.parametrize(
    ('cause', 'late_share'), [(Cause.TARGET, 0.7), (Cause.RUN, 0.3)]
)
def test_copies_spare_callers_most_late_results(
    cause: Cause, late_share: float
) -> None:
    """Guards against copies that come too late or go to the wrong targets."""
    with_copies, without = play(cause), play(cause, has_copies=False)
    assert without.late >= 10, 'the load has too few stragglers'
    assert with_copies.late <= without.late * late_share
    assert with_copies.worked_ms <= without.worked_ms * 1.02


def test_copies_of_long_tasks_stay_rare() -> None:
    """Guards against copies that only cost processors."""
    with_copies, without = play(Cause.TASK), play(Cause.TASK, has_copies=False)
    stragglers = without.count('copy declined')
    assert stragglers >= 50, 'the load has too few stragglers'
    assert with_copies.count('copy started') <= stragglers / 4
    assert with_copies.late <= without.late
    assert with_copies.worked_ms <= without.worked_ms * 1.03


def test_copies_come_back_when_they_help() -> None:
    """Guards against a record of losses that is never corrected."""
    causes = (Cause.TASK, Cause.RUN)
    with_copies, without = play(*causes), play(*causes, has_copies=False)
    assert with_copies.late < without.late
