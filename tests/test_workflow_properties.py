"""Random histories of an owner, its takeovers and its targets.

After each action the runs of the fake targets are checked against the
guarantees on workflows.
"""

import random

import hypothesis
from hypothesis import strategies

from borageshelf.model import workflows
from borageshelf.ports import task_executor
from borageshelf.workflows import effects
from tests import workflow_support as support

ACTIONS = (
    'submit',
    'cancel',
    'cancel early',
    'end',
    'fail',
    'stop',
    'crash',
    'detach',
    'attach',
    'take over',
    'settle',
    'wait',
    'refuse',
    'straggle',
)
END_KINDS = {
    'end': task_executor.EndKind.DONE,
    'fail': task_executor.EndKind.FAILED,
    'stop': task_executor.EndKind.STOPPED,
}


class History:
    """Plays random actions and checks the guarantees."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.cluster = support.Cluster()
        self.submitted_ids: list[str] = []
        # Workflows that were cancelled before their submissions arrived, and
        # those of them whose cancellation is stored and so acknowledged.
        self.early_ids: set[str] = set()
        self.acknowledged_ids: set[str] = set()
        self.done_tasks: set[str] = set()
        self.failures: dict[str, int] = {}
        self.checked_starts = 0
        # Tasks whose success has been lost with an executor.
        self.lost_successes: set[str] = set()
        self.speculative_steps: set[tuple[str, str]] = set()
        for number in range(3):
            self.cluster.add_target(f'vm-{number}', millicores=4_000)

    def play(self, action: str) -> None:
        """Play one action and check the guarantees."""
        cluster = self.cluster
        if action == 'submit':
            workflow_id = f'{len(self.submitted_ids):016x}'
            self.submitted_ids.append(workflow_id)
            steps = [self._make_step(self.rng.randint(1, 3))]
            if self.rng.random() < 0.5:
                steps.append(self._make_step(1, after=(0,)))
            self.speculative_steps |= {
                (workflow_id, str(number))
                for number, step in enumerate(steps)
                if step.is_speculative
            }
            cluster.submit(
                support.make_workflow(*steps, workflow_id=workflow_id),
                token=len(self.submitted_ids),
            )
        elif action == 'cancel' and self.submitted_ids:
            cluster.cancel(self.rng.choice(self.submitted_ids), token=10_000)
        elif action == 'cancel early':
            early_id = f'{len(self.submitted_ids):016x}'
            self.early_ids.add(early_id)
            cluster.cancel(early_id, token=10_000)
        elif action in END_KINDS:
            self._end_random_run(END_KINDS[action])
        elif action == 'crash':
            self._restart_executor(self.rng.choice(list(cluster.targets)))
        elif action in ('attach', 'detach'):
            self._attach_or_detach(
                action, self.rng.choice(list(cluster.targets))
            )
        elif action == 'take over':
            cluster.take_over()
            self.early_ids.clear()
            self._excuse_lost_successes()
        elif action == 'wait':
            # Shorter than a grant, in which nothing may be started twice.
            cluster.now_ms += self.rng.randint(1, support.GRANT_MS // 4)
            self._end_expired_runs()
        elif action == 'refuse':
            cluster.core.schedule(cluster.moment)
            cluster.core.handle_failed_commit(cluster.core.take_batch(), 1)
            cluster.apply_effects(cluster.core.take_immediate_effects())
        elif action == 'straggle':
            self._report_slow_progress()
        else:
            cluster.run_until_idle()
            self.acknowledged_ids |= self.early_ids
            self._check_stops()
        self._check()

    def _check_stops(self) -> None:
        """Check that the other runs of completed tasks are stopped."""
        for target in self.cluster.core.targets.values():
            fake = self.cluster.targets[target.target_id]
            for run in target.runs.values():
                if target.is_ready and run.task.is_done:
                    assert run.task.name in fake.stop_orders, (
                        'a run of a completed task goes on'
                    )

    def _make_step(
        self, count: int, after: tuple[int, ...] = ()
    ) -> workflows.Step:
        is_speculative = self.rng.random() < 0.5
        return support.make_step(
            count, after=after, is_speculative=is_speculative
        )

    def _report_slow_progress(self) -> None:
        """Let every run seem slow enough for a copy."""
        cluster = self.cluster
        for percent in (1, 2):
            cluster.now_ms += 400
            for fake in cluster.targets.values():
                target = cluster.core.targets.get(fake.target_id)
                if target is not None and target.is_ready:
                    cluster.report_progress(
                        fake.target_id, dict.fromkeys(fake.running, percent)
                    )
        self._end_expired_runs()
        cluster.core.schedule(cluster.moment)

    def _end_random_run(self, kind: task_executor.EndKind) -> None:
        candidates = [
            (fake, task)
            for fake in self.cluster.targets.values()
            if self.cluster.core.targets.get(fake.target_id) is not None
            and self.cluster.core.targets[fake.target_id].is_ready
            for task in fake.running
        ]
        if not candidates:
            return
        fake, task = self.rng.choice(candidates)
        if kind is task_executor.EndKind.DONE:
            self.done_tasks.add(task)
        if kind is task_executor.EndKind.FAILED:
            self.failures[task] = self.failures.get(task, 0) + 1
        self.cluster.end_run(task, kind, target_id=fake.target_id)

    def _restart_executor(self, target_id: str) -> None:
        """Restart an executor; its runs and unacknowledged ends are lost."""
        fake = self.cluster.targets[target_id]
        # Ends that have not been acknowledged are lost with the executor.
        self.lost_successes |= {
            end.task
            for end in fake.ended.values()
            if end.kind is task_executor.EndKind.DONE
        }
        fake.running.clear()
        fake.ended.clear()
        self._excuse_lost_successes()
        fake.start_count += 1
        fake.next_number = 1
        self.cluster.attach(fake)

    def _excuse_lost_successes(self) -> None:
        """Let tasks start again whose success no owner has committed."""
        listed = {
            end.task
            for fake in self.cluster.targets.values()
            for end in fake.ended.values()
            if end.kind is task_executor.EndKind.DONE
        }
        for name in self.lost_successes - listed:
            job = self.cluster.core.jobs.get(name.split('.')[0])
            task = job.find_task(name) if job else None
            if task is not None and not task.is_done:
                self.done_tasks.discard(name)
                self.lost_successes.discard(name)

    def _attach_or_detach(self, action: str, target_id: str) -> None:
        fake = self.cluster.targets[target_id]
        if action == 'attach':
            self.cluster.attach(fake)
        else:
            self.cluster.core.detach(target_id, fake.session)
            # Its grant may have ended while it was attached.
            self._end_expired_runs()

    def _end_expired_runs(self) -> None:
        """End the runs of detached executors whose lease has expired.

        The lease ends with the grant at the latest, which is what the owner
        assumes.
        """
        for fake in self.cluster.targets.values():
            target = self.cluster.core.targets.get(fake.target_id)
            if target is None or target.is_ready:
                continue
            if self.cluster.now_ms >= target.lost_deadlines.first_ms:
                for task in list(fake.running):
                    del fake.running[task]

    def _check(self) -> None:
        cluster = self.cluster
        running = [
            task for fake in cluster.targets.values() for task in fake.running
        ]
        for task in running:
            workflow_id, _, step, _ = task.split('.')
            is_speculative = (workflow_id, step) in self.speculative_steps
            assert running.count(task) <= 1 + is_speculative, (
                'a task has too many runs at once'
            )
        for fake in cluster.targets.values():
            assert len(fake.running) * 1_000 <= 4_000, (
                'a target is loaded beyond its capacity'
            )
        new_starts = cluster.sent_starts[self.checked_starts :]
        self.checked_starts = len(cluster.sent_starts)
        for _, task, _ in new_starts:
            assert task not in self.done_tasks, (
                'a finished task was started again'
            )
            assert self.failures.get(task, 0) < 3, (
                'a task was started after its last attempt'
            )
            workflow_id, _, step, _ = task.split('.')
            assert workflow_id not in self.acknowledged_ids, (
                'a workflow started whose cancellation was acknowledged'
            )
            if step == '1':
                done_in_first_step = [
                    other
                    for other in self.done_tasks
                    if other.startswith(f'{workflow_id}.0.0.')
                ]
                job = cluster.core.jobs[workflow_id]
                assert (
                    len(done_in_first_step) == job.workflow.steps[0].count
                ), 'a step started before the step it depends on was complete'
        for token, reply in cluster.replies.items():
            if reply.outcome is effects.Outcome.REFUSED and token < 10_000:
                workflow_id = self.submitted_ids[token - 1]
                prefix = f'{workflow_id}.'
                assert not any(
                    start[1].startswith(prefix)
                    for start in cluster.sent_starts
                ), 'a refused workflow was started'


def _play(seed: int, actions: list[str]) -> History:
    history = History(seed)
    with support.copy_eagerly():
        for action in actions:
            history.play(action)
    return history


def test_histories_contain_copies() -> None:
    """Guards against histories that never have two runs of a task."""
    actions = ['submit', 'settle', 'straggle', 'settle']
    cluster = _play(1, actions * 3).cluster
    assert any(event == 'copy started' for event, _ in cluster.log_lines)


@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(
    strategies.integers(0, 2**32),
    strategies.lists(strategies.sampled_from(ACTIONS), max_size=60),
)
def test_guarantees_hold_in_random_histories(
    seed: int, actions: list[str]
) -> None:
    """Guards against any order of failures that breaks a guarantee."""
    _play(seed, actions)
