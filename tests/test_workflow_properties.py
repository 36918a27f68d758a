"""Random histories of an owner, its takeovers and its targets.

After each step the promises are compared with what the model targets run.
"""

import random

import hypothesis
from hypothesis import strategies

from borageshelf.ports import task_executor
from borageshelf.workflows import effects
from tests import workflow_support as support

ACTIONS = (
    'submit',
    'cancel',
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
)
KINDS = {
    'end': task_executor.EndKind.DONE,
    'fail': task_executor.EndKind.FAILED,
    'stop': task_executor.EndKind.STOPPED,
}


class History:
    """Plays random actions and checks the promises."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.world = support.World()
        self.submitted: list[str] = []
        self.done: set[str] = set()
        self.failures: dict[str, int] = {}
        self.seen_orders = 0
        for number in range(3):
            self.world.add_target(f'vm-{number}', millicores=4_000)

    def play(self, action: str) -> None:
        """Play one action."""
        world = self.world
        if action == 'submit':
            workflow_id = f'{len(self.submitted):016x}'
            self.submitted.append(workflow_id)
            steps = [support.make_step(self.rng.randint(1, 3))]
            if self.rng.random() < 0.5:
                steps.append(support.make_step(1, after=(0,)))
            world.submit(
                support.make_workflow(*steps, workflow_id=workflow_id),
                token=len(self.submitted),
            )
        elif action == 'cancel' and self.submitted:
            world.cancel(self.rng.choice(self.submitted), token=10_000)
        elif action in KINDS:
            self._end(KINDS[action])
        elif action == 'crash':
            self._crash(self.rng.choice(list(world.targets)))
        elif action in ('attach', 'detach'):
            self._move(action, self.rng.choice(list(world.targets)))
        elif action == 'take over':
            world.take_over()
        elif action == 'wait':
            # Less than a grant: nothing may be started twice meanwhile.
            world.now_ms += self.rng.randint(1, support.GRANT_MS // 4)
            self._expire()
        elif action == 'refuse':
            world.core.schedule(world.moment)
            world.core.handle_failed_commit(world.core.take_batch(), 1)
            world._carry_out(world.core.take_immediate_effects())
        else:
            world.settle()
        self._check()

    def _end(self, kind: task_executor.EndKind) -> None:
        attached = [
            (model, task)
            for model in self.world.targets.values()
            if self.world.core.targets.get(model.target_id) is not None
            and self.world.core.targets[model.target_id].is_ready
            for task in model.running
        ]
        if not attached:
            return
        _, task = self.rng.choice(attached)
        if kind is task_executor.EndKind.DONE:
            self.done.add(task)
        if kind is task_executor.EndKind.FAILED:
            self.failures[task] = self.failures.get(task, 0) + 1
        self.world.end(task, kind)

    def _crash(self, target_id: str) -> None:
        """Lose everything on an executor; a new life begins."""
        model = self.world.targets[target_id]
        # Ends that nobody acknowledged are gone with the executor.
        for end in model.ended.values():
            if end.kind is task_executor.EndKind.DONE:
                job = self.world.core.jobs.get(end.task.split('.')[0])
                task = job.find_task(end.task) if job else None
                if task is not None and not task.is_done:
                    self.done.discard(end.task)
        model.running.clear()
        model.ended.clear()
        model.life += 1
        model.next_number = 1
        self.world.attach(model)

    def _move(self, action: str, target_id: str) -> None:
        model = self.world.targets[target_id]
        if action == 'attach':
            self.world.attach(model)
        else:
            self.world.core.detach(target_id, model.session)
            self.expiry = self.world.now_ms + support.GRANT_MS

    def _expire(self) -> None:
        """End what a detached executor's lease no longer covers.

        The lease ends with the grant at the latest, which is what the owner
        counts with.
        """
        for model in self.world.targets.values():
            target = self.world.core.targets.get(model.target_id)
            if target is None or target.is_ready:
                continue
            if self.world.now_ms >= target.lost_deadline_ms:
                for task in list(model.running):
                    del model.running[task]

    def _check(self) -> None:
        world = self.world
        running = [
            task for model in world.targets.values() for task in model.running
        ]
        assert len(running) == len(set(running)), 'a task runs twice'
        for model in world.targets.values():
            assert len(model.running) * 1_000 <= 4_000, 'over capacity'
        new = world.orders[self.seen_orders :]
        self.seen_orders = len(world.orders)
        for _, task, _ in new:
            assert task not in self.done, 'a finished task starts again'
            assert self.failures.get(task, 0) < 3, 'too many attempts'
            workflow_id, _, step, _ = task.split('.')
            if step == '1':
                first = [
                    other
                    for other in self.done
                    if other.startswith(f'{workflow_id}.0.0.')
                ]
                job = world.core.jobs[workflow_id]
                assert len(first) == job.workflow.steps[0].count, 'order'
        for token, reply in world.replies.items():
            if reply.outcome is effects.Outcome.REFUSED and token < 10_000:
                workflow_id = self.submitted[token - 1]
                prefix = f'{workflow_id}.'
                assert not any(
                    order[1].startswith(prefix) for order in world.orders
                ), 'a refused workflow ran'


@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(
    strategies.integers(0, 2**32),
    strategies.lists(strategies.sampled_from(ACTIONS), max_size=60),
)
def test_promises_hold_in_random_histories(
    seed: int, actions: list[str]
) -> None:
    """Guards against any order of failures that breaks a promise."""
    history = History(seed)
    for action in actions:
        history.play(action)
