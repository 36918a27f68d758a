"""Support of the tests of workflows: an owner's core with model targets.

``World`` plays the parts around the core: it commits batches, and its targets
run what they are ordered to run until the test ends a run.
"""

import dataclasses
from typing import Any

from borageshelf import clock
from borageshelf.model import resources
from borageshelf.model import workflows
from borageshelf.ports import task_executor
from borageshelf.workflows import effects
from borageshelf.workflows import journal
from borageshelf.workflows import messages
from borageshelf.workflows import owner as owner_module
from borageshelf.workflows import records

GRANT_MS = 5_000
RETENTION_MS = 150_000
WALL_MS = 1_700_000_000_000
SMALL = resources.Resources(1_000, 1_000)

QUEUE = workflows.Queue(
    name='short',
    host='jobs.example',
    path_prefix='/short/',
    service='pigment',
    attempts_limit=3,
    slack_factor=2.0,
    latency_target_ms=1_000,
)


def make_step(count: int = 1, **fields: Any) -> workflows.Step:
    """Return a step of small tasks of one second."""
    fields.setdefault('demand', SMALL)
    fields.setdefault('estimate_ms', 1_000)
    return workflows.Step(count, **fields)


def make_workflow(
    *steps: workflows.Step, workflow_id: str = '0123456789abcdef'
) -> workflows.Workflow:
    """Return a workflow; without steps it has one small task."""
    return workflows.Workflow(workflow_id, 'spec', steps or (make_step(),))


@dataclasses.dataclass
class ModelTarget:
    """An executor and its agent, reduced to what the core sees."""

    target_id: str
    capacity: resources.Resources
    labels: tuple[str, ...]
    session: int = 0
    token: int = 0
    life: int = 1
    is_draining: bool = False
    next_number: int = 1
    running: dict[str, int] = dataclasses.field(default_factory=dict)
    ended: dict[int, messages.Ended] = dataclasses.field(default_factory=dict)
    stopped: set[str] = dataclasses.field(default_factory=set)

    def make_state(self) -> messages.TargetState:
        """Return what the executor announces."""
        return messages.TargetState(
            f'{self.target_id}/{self.life}',
            'pigment',
            self.capacity,
            self.labels,
            self.is_draining,
            5_000,
        )


class World:
    """An owner's core and what surrounds it."""

    def __init__(self, epoch: int = 1, now_ms: int = 100_000) -> None:
        self.now_ms = now_ms
        self.records: list[tuple[str, dict[str, Any]]] = []
        self.replies: dict[int, effects.Reply] = {}
        self.targets: dict[str, ModelTarget] = {}
        self.stored: dict[str, bytes] = {}
        self.orders: list[tuple[str, str, int]] = []
        self.sessions = 0
        self.core = self._make_core(epoch)

    def _make_core(self, epoch: int) -> owner_module.Owner:
        return owner_module.Owner(
            epoch,
            GRANT_MS,
            RETENTION_MS,
            self.now_ms,
            self.now_ms + GRANT_MS,
            journal.encode,
            lambda event, **fields: self.records.append((event, fields)),
        )

    @property
    def moment(self) -> clock.Moment:
        """The present moment."""
        return clock.Moment(self.now_ms, WALL_MS + self.now_ms)

    def add_target(
        self,
        target_id: str,
        millicores: int = 64_000,
        memory_mb: int = 256_000,
        labels: tuple[str, ...] = ('a', 'r1'),
    ) -> ModelTarget:
        """Attach a target to the owner."""
        model = ModelTarget(
            target_id, resources.Resources(millicores, memory_mb), labels
        )
        self.targets[target_id] = model
        self.attach(model)
        return model

    def attach(self, model: ModelTarget) -> None:
        """Begin a session of a target."""
        self.sessions += 1
        model.session = self.sessions
        state = model.make_state()
        hello = messages.AgentHello(
            model.target_id, 'boot', 'tajo-norte', state.incarnation
        )
        target = self.core.attach(hello, model.session, self.moment)
        snapshot = messages.Snapshot(
            0,
            state,
            tuple(
                messages.Row(task, attempt, '', 50)
                for task, attempt in model.running.items()
            ),
            tuple(model.ended.values()),
        )
        self.core.apply_snapshot(target, snapshot, self.moment)
        self._carry_out(self.core.take_immediate_effects())

    def submit(
        self,
        workflow: workflows.Workflow,
        queue: workflows.Queue = QUEUE,
        token: int = 1,
    ) -> None:
        """Hand a workflow in."""
        self.core.submit(workflow, queue, token, self.moment)
        self._carry_out(self.core.take_immediate_effects())

    def cancel(self, workflow_id: str, token: int = 2) -> None:
        """Cancel a workflow."""
        self.core.cancel(workflow_id, token, self.moment)
        self._carry_out(self.core.take_immediate_effects())

    def settle(self) -> None:
        """Schedule and commit until nothing changes."""
        for _ in range(50):
            self.core.advance(self.moment)
            self.core.schedule(self.moment)
            self._carry_out(self.core.take_immediate_effects())
            batch = self.core.take_batch()
            if batch.is_empty:
                return
            self.commit(batch)
        raise AssertionError('the core does not settle')

    def commit(self, batch: owner_module.Batch) -> None:
        """Store a batch and carry its effects out."""
        self.stored.update(batch.writes)
        for key in batch.removed:
            self.stored.pop(key, None)
        self._carry_out(self.core.confirm_batch(batch))
        self._carry_out(self.core.take_immediate_effects())

    def end(
        self,
        task: str,
        kind: task_executor.EndKind = task_executor.EndKind.DONE,
        checkpoint: str = '',
    ) -> None:
        """End a run and tell the owner."""
        model = next(
            item for item in self.targets.values() if task in item.running
        )
        end = messages.Ended(
            model.next_number, task, model.running.pop(task), kind, checkpoint
        )
        model.next_number += 1
        model.ended[end.number] = end
        target = self.core.targets[model.target_id]
        self.core.handle_run_end(target, end, self.moment)
        self._carry_out(self.core.take_immediate_effects())

    def find_place(self, task: str) -> str | None:
        """Return the target that runs a task."""
        return next(
            (
                model.target_id
                for model in self.targets.values()
                if task in model.running
            ),
            None,
        )

    def list_running(self) -> list[str]:
        """Return all running tasks."""
        return sorted(
            task for model in self.targets.values() for task in model.running
        )

    def take_over(self) -> None:
        """Let a new owner read what is stored; targets are not attached."""
        self.core = self._make_core(self.core.epoch + 1)
        for key, value in self.stored.items():
            workflow_id = records.find_workflow_id(key)
            if workflow_id is None:
                continue
            state = journal.decode(value, records.StateRecord)
            spec_key = records.make_spec_key(workflow_id)
            if spec_key in self.stored:
                spec = journal.decode(
                    self.stored[spec_key], records.SpecRecord
                )
                self.core.restore(spec, state, self.moment)
            else:
                self.core.restore_ended(workflow_id, state)

    def _carry_out(self, found: list[effects.Effect]) -> None:
        for effect in found:
            if isinstance(effect, effects.Reply):
                for token in effect.tokens:
                    self.replies[token] = effect
                continue
            model = self.targets[effect.target_id]
            if isinstance(effect, effects.SendStart):
                self._start(model, effect)
            elif isinstance(effect, effects.SendStop):
                model.stopped.add(effect.task)
            else:
                bound = self.core.mark_end_committed(effect) or 0
                for number in list(model.ended):
                    if number <= bound:
                        del model.ended[number]

    def _start(self, model: ModelTarget, effect: effects.SendStart) -> None:
        target = self.core.targets[effect.target_id]
        run = target.runs.get((effect.task, effect.attempt))
        if run is None:
            return
        if not target.is_ready or run.is_stopping:
            self.core.handle_unsent_start(effect)
            return
        run.is_sent = True
        run.task.group.job.is_started = True
        model.running[effect.task] = effect.attempt
        self.orders.append((model.target_id, effect.task, effect.attempt))
