"""Recorded traces with expected outcomes, and traces without a safeguard.

``test-data/batch-traces.test`` states what callers see in each failure and
how long it takes. ``test-data/batch-removals.test`` holds the shortest trace
found for each safeguard that violates a property without it.
"""

import pytest

from borageshelf import errors
from borageshelf.shards import grants
from tests import batch_removals
from tests import batch_search
from tests import batch_world
from tests import text_cases

TRACES = text_cases.read_cases('batch-traces.test')
REMOVALS = text_cases.read_cases('batch-removals.test')
AWAIT_LIMIT_MS = 40 * 60 * 1000


class TracedWorld(batch_world.World):
    """A simulated cluster with steps that record what can be observed.

    :ivar lines: the recorded observations
    :ivar broken: targets whose worker fails every task
    :ivar doomed: jobs that fail on every target
    """

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []
        self.broken: set[str] = set()
        self.doomed: set[str] = set()
        self.marked_ms = self.now_ms
        self.marked_puts = 0

    def do_horizons(self) -> None:
        """Use the default lengths of grants and horizons."""
        self.policy = grants.GrantPolicy()

    def do_place(self, *targets: str) -> None:
        """Assign new tasks to these targets only."""
        self.placeable = set(targets)

    def do_add(self, target: str) -> None:
        """Add a target."""
        self.placeable.add(target)
        self._boot(target)

    def do_break(self, target: str) -> None:
        """Make a worker fail every task."""
        self.broken.add(target)

    def do_doom(self, job_id: str) -> None:
        """Make a job fail on every target."""
        self.doomed.add(job_id)

    def do_excuse(self, entry_id: str, target: str) -> None:
        """Excuse the failures of jobs on a target."""
        for shard in self.entries[entry_id].shards.values():
            assert shard.owner is not None
            shard.owner.excuse_failures(target, self._read_clock(entry_id))

    def do_work(self, target: str) -> None:
        super().do_work(target)
        for execution in self.executions:
            job_id = execution.key.task_id.partition('/')[0]
            fails = target in self.broken or job_id in self.doomed
            if execution.runs and execution.target_id == target and fails:
                self.workers[target].end_task(execution.key, False)

    def do_wave(self, entry_id: str, count: str) -> None:
        """Submit a number of jobs at once."""
        for _ in range(int(count)):
            self.do_submit(entry_id, 'idem')

    def do_cancel_all(self, entry_id: str) -> None:
        for job_id in self.jobs:
            self.do_cancel(entry_id, job_id)

    def do_mark(self) -> None:
        """Start to count time and commits."""
        self.marked_ms = self.now_ms
        self.marked_puts = self.store.head_put_count

    def do_commits(self) -> None:
        """Record the number of commits since the mark."""
        count = self.store.head_put_count - self.marked_puts
        self.lines.append(f'{count} commits')

    def do_phases(self) -> None:
        """Record the number of jobs in each phase."""
        counts: dict[str, int] = {}
        for task in self.checks.tasks.values():
            key = f'{task.phase.value} {errors.find(task.code).name}'
            counts[key] = counts.get(key, 0) + 1
        for key, count in sorted(counts.items()):
            self.lines.append(f'{count} {key}')

    def do_show(self, job_id: str) -> None:
        """Record the committed state of a job and where it runs."""
        task = self.checks.tasks.get(f'{job_id}/0')
        if task is None:
            self.lines.append(f'{job_id} is not stored')
            return
        text = f'{job_id} {task.phase.value}'
        if task.is_terminal:
            text += f' {errors.find(task.code).name}'
        runs = [
            item
            for item in self.executions
            if item.key.task_id == task.task_id
        ]
        places = [item.target_id for item in runs if item.runs]
        text += f', started {len(runs)} times'
        self.lines.append(text + ''.join(f', runs on {x}' for x in places))

    def do_reply(self, job_id: str) -> None:
        """Record the reply to the submission of a job."""
        for token, submitted_id in self.requests.items():
            if submitted_id == job_id:
                code = self.replies.get(token)
                text = code.name if code else 'no answer yet'
                self.lines.append(f'{job_id} reply: {text}')

    def do_owner(self, shard: str) -> None:
        """Record the epoch and the owner of a shard."""
        head = self.checks.heads[int(shard)]
        self.lines.append(f'shard {shard} epoch {head.epoch} of {head.owner}')

    def do_await(self, job_id: str, event: str) -> None:
        """Run until a job runs on a target or has ended; record the time.

        :param event: id of the target, or ``ended``
        """
        started_ms = self.marked_ms
        while self.now_ms - started_ms < AWAIT_LIMIT_MS:
            if self._has_occurred(f'{job_id}/0', event):
                break
            self.perform('run', '500')
        seconds = (self.now_ms - started_ms) / 1000
        self.lines.append(f'{job_id} {event} after {seconds:g} s')

    def _has_occurred(self, task_id: str, event: str) -> bool:
        task = self.checks.tasks.get(task_id)
        if event == 'ended':
            return task is not None and task.is_terminal
        return any(
            item.runs
            and item.key.task_id == task_id
            and item.target_id == event
            for item in self.executions
        )


def read_steps(case: text_cases.Case) -> list[batch_search.Step]:
    lines = case.inputs['steps'].splitlines()
    return [tuple(line.split()) for line in lines]


@pytest.mark.parametrize('case', TRACES, ids=text_cases.name_case)
def test_trace(case: text_cases.Case) -> None:
    """Guards against a change in what callers see in a known failure."""
    world = TracedWorld()
    for step in read_steps(case):
        world.perform(*step)
    assert world.lines == case.expected.splitlines()
    world.broken.clear()
    world.doomed.clear()
    world.heal()


@pytest.mark.parametrize('name', sorted(batch_removals.REMOVALS))
def test_removal_is_found(name: str) -> None:
    """Guards against checks that miss the removal of a safeguard.

    The trace must violate a property without the safeguard, and none with it.
    """
    cases = [case for case in REMOVALS if case.name.startswith(name)]
    assert cases
    for case in cases:
        steps = read_steps(case)
        with batch_removals.remove(name) as parts:
            found = batch_search.find_violation(steps, parts)
        assert found == case.expected
        assert not batch_search.find_violation(steps)
