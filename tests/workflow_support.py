"""Support of the tests of workflows: an owner's core with fake targets.

``Cluster`` stands in for the parts around the core: it commits batches, and
its targets run what they are ordered to run until the test ends a run.
"""

from collections import abc
import contextlib
import dataclasses
from typing import Any
from unittest import mock

from borageshelf import clock
from borageshelf.decisions import copies as copy_decisions
from borageshelf.model import resources
from borageshelf.model import workflows
from borageshelf.ports import task_executor
from borageshelf.workflows import copies
from borageshelf.workflows import effects
from borageshelf.workflows import end_proofs
from borageshelf.workflows import journal
from borageshelf.workflows import messages
from borageshelf.workflows import owner
from borageshelf.workflows import records
from borageshelf.workflows import silence

GRANT_MS = 5_000
SILENCE_LIMITS = silence.Limits(GRANT_MS, GRANT_MS)
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
    """Return a step of small tasks with an estimate of one second."""
    fields.setdefault('demand', SMALL)
    fields.setdefault('estimate_ms', 1_000)
    return workflows.Step(count, **fields)


def make_workflow(
    *steps: workflows.Step, workflow_id: str = '0123456789abcdef'
) -> workflows.Workflow:
    """Return a workflow; by default it has one step with a small task."""
    return workflows.Workflow(workflow_id, 'spec', steps or (make_step(),))


def make_submission(**fields: Any) -> messages.SubmitRequest:
    """Return a request to accept such a workflow."""
    return messages.SubmitRequest(1, make_workflow(), QUEUE, **fields)


@contextlib.contextmanager
def copy_eagerly() -> abc.Iterator[None]:
    """Let the owner copy tasks wherever the rules allow it."""

    def assess(
        candidate: copy_decisions.Candidate, records: object
    ) -> copy_decisions.Assessment:
        is_recent = (
            candidate.report_age_ms < copy_decisions.REPORT_AGE_LIMIT_MS
        )
        is_allowed = copy_decisions.may_have_copy(candidate.state)
        verdict = copy_decisions.Verdict.FORBIDDEN
        if is_recent and is_allowed:
            verdict = copy_decisions.Verdict.WORTH
        return copy_decisions.Assessment(candidate, verdict)

    with (
        mock.patch.multiple(
            copy_decisions, assess=assess, REPORT_LAG_MS=0, COPY_SHARE=1.0
        ),
        mock.patch.object(copies, 'PASS_INTERVAL_MS', 0),
    ):
        yield


@dataclasses.dataclass
class FakeTarget:
    """An executor with its agent, reduced to what the core sees of them."""

    target_id: str
    capacity: resources.Resources
    labels: tuple[str, ...]
    data_centre: str = 'tajo-norte'
    session: int = 0
    token: int = 0
    start_count: int = 1
    is_draining: bool = False
    next_number: int = 1
    running: dict[str, int] = dataclasses.field(default_factory=dict)
    ended: dict[int, messages.Ended] = dataclasses.field(default_factory=dict)
    stop_orders: set[str] = dataclasses.field(default_factory=set)

    def make_state(self) -> messages.TargetState:
        """Return what the executor announces."""
        return messages.TargetState(
            f'{self.target_id}/{self.start_count}',
            'pigment',
            self.capacity,
            self.labels,
            self.is_draining,
            5_000,
        )


class Cluster:
    """An owner's core, its store and its targets."""

    def __init__(
        self,
        epoch: int = 1,
        now_ms: int = 100_000,
        remote_factor: float = 1.0,
    ) -> None:
        self.now_ms = now_ms
        self.remote_factor = remote_factor
        self.log_lines: list[tuple[str, dict[str, Any]]] = []
        self.replies: dict[int, effects.Reply] = {}
        self.targets: dict[str, FakeTarget] = {}
        self.stored: dict[str, bytes] = {}
        self.sent_starts: list[tuple[str, str, int]] = []
        self.sessions = 0
        self.are_starts_reported = True
        self.core = self._make_core(epoch)

    def _make_core(self, epoch: int) -> owner.Owner:
        return owner.Owner(
            epoch,
            SILENCE_LIMITS,
            RETENTION_MS,
            self.now_ms,
            SILENCE_LIMITS.count_from(self.now_ms),
            journal.encode,
            lambda event, **fields: self.log_lines.append((event, fields)),
            remote_factor=self.remote_factor,
        )

    @property
    def moment(self) -> clock.Moment:
        """The current moment."""
        return clock.Moment(self.now_ms, WALL_MS + self.now_ms)

    def add_target(
        self,
        target_id: str,
        millicores: int = 64_000,
        memory_mb: int = 256_000,
        labels: tuple[str, ...] = ('a', 'r1'),
        data_centre: str = 'tajo-norte',
    ) -> FakeTarget:
        """Add a target and attach it to the owner."""
        fake = FakeTarget(
            target_id,
            resources.Resources(millicores, memory_mb),
            labels,
            data_centre,
        )
        self.targets[target_id] = fake
        self.attach(fake)
        return fake

    def attach(self, fake: FakeTarget) -> None:
        """Begin a session of a target with a snapshot of its runs."""
        self.sessions += 1
        fake.session = self.sessions
        state = fake.make_state()
        hello = messages.AgentHello(
            fake.target_id, 'boot', fake.data_centre, state.incarnation
        )
        target = self.core.attach(hello, fake.session, self.moment)
        snapshot = messages.Snapshot(
            0,
            state,
            tuple(
                messages.Row(task, attempt, '', 50)
                for task, attempt in fake.running.items()
            ),
            tuple(fake.ended.values()),
        )
        self.core.apply_snapshot(target, snapshot, self.moment)
        self.apply_effects(self.core.take_immediate_effects())

    def submit(
        self,
        workflow: workflows.Workflow,
        queue: workflows.Queue = QUEUE,
        token: int = 1,
    ) -> None:
        """Submit a workflow."""
        self.core.submit(workflow, queue, token, self.moment)
        self.apply_effects(self.core.take_immediate_effects())

    def cancel(self, workflow_id: str, token: int = 2) -> None:
        """Cancel a workflow."""
        self.core.cancel(workflow_id, token, self.moment)
        self.apply_effects(self.core.take_immediate_effects())

    def run_until_idle(self) -> None:
        """Schedule and commit until there are no changes left."""
        for _ in range(50):
            self.core.advance(self.moment)
            self.core.schedule(self.moment)
            self.apply_effects(self.core.take_immediate_effects())
            batch = self.core.take_batch()
            if batch.is_empty:
                return
            self.commit(batch)
        raise AssertionError('the core still has changes after 50 commits')

    def commit(self, batch: owner.Batch) -> None:
        """Store a batch and apply the effects that it releases."""
        self.stored.update(batch.writes)
        for key in batch.removed:
            self.stored.pop(key, None)
        self.apply_effects(self.core.confirm_batch(batch))
        self.apply_effects(self.core.take_immediate_effects())

    def end_run(
        self,
        task: str,
        kind: task_executor.EndKind = task_executor.EndKind.DONE,
        checkpoint: str = '',
        target_id: str = '',
    ) -> None:
        """End a run and report its end to the owner.

        :param target_id: where it runs; '' for the first target that runs it
        """
        fake = next(
            fake
            for fake in self.targets.values()
            if task in fake.running and target_id in ('', fake.target_id)
        )
        end = messages.Ended(
            fake.next_number, task, fake.running.pop(task), kind, checkpoint
        )
        fake.next_number += 1
        fake.ended[end.number] = end
        target = self.core.targets[fake.target_id]
        self.core.handle_run_end(target, end, self.moment)
        self.apply_effects(self.core.take_immediate_effects())

    def report_progress(
        self, target_id: str, percents: dict[str, int], checkpoint: str = ''
    ) -> None:
        """Report the progress of runs on a target."""
        fake = self.targets[target_id]
        rows = [
            messages.Row(task, fake.running[task], checkpoint, percent)
            for task, percent in percents.items()
        ]
        self.core.update_progress(
            self.core.targets[target_id], rows, self.moment
        )
        self.apply_effects(self.core.take_immediate_effects())

    def find_target_id(self, task: str) -> str | None:
        """Return the id of the target that runs a task, or None."""
        return next(
            (
                fake.target_id
                for fake in self.targets.values()
                if task in fake.running
            ),
            None,
        )

    def crash(
        self,
        fake: FakeTarget,
        cause: messages.GoneCause = messages.GoneCause.NOTHING_LISTENS,
        reached: tuple[tuple[str, int], ...] | None = None,
    ) -> list[str]:
        """Crash an executor, and let its agent report it.

        :param reached: tasks and attempts of the runs whose starts had
            reached it; None if the agent does not know them
        :return: the tasks that ran there
        """
        lost = list(fake.running)
        fake.running.clear()
        fake.ended.clear()
        target = self.core.targets.get(fake.target_id)
        if target is not None and target.session == fake.session:
            gone = messages.ExecutorGone(
                0, fake.make_state().incarnation, cause, reached=reached
            )
            self.core.handle_executor_gone(target, gone, self.moment)
            self.list_vms_without(fake)
            self.apply_effects(self.core.take_immediate_effects())
        return lost

    def list_vms_without(self, fake: FakeTarget) -> None:
        """Read the list before and after the executor of a target has gone."""
        ids = frozenset(self.core.targets)
        for up_ids in (ids, ids - {fake.target_id}):
            reading = end_proofs.Reading(up_ids, self.now_ms)
            self.core.apply_listing(reading, self.moment)

    def restart(self, fake: FakeTarget) -> None:
        """Start an executor again; it knows nothing of its former runs."""
        fake.start_count += 1
        fake.next_number = 1
        self.attach(fake)

    def list_running(self) -> list[str]:
        """Return the names of all running tasks."""
        return sorted(
            task for fake in self.targets.values() for task in fake.running
        )

    def take_over(self) -> None:
        """Replace the owner by a new one that loads the stored workflows.

        No target is attached to the new owner yet.
        """
        self.core = self._make_core(self.core.epoch + 1)
        pages = {
            key: journal.decode(value, records.CancellationPage)
            for key, value in self.stored.items()
            if key.startswith(records.CANCELLATIONS_PREFIX)
        }
        self.core.cancellations.restore(pages, self.moment)
        for key, value in self.stored.items():
            workflow_id = records.parse_workflow_id(key)
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

    def apply_effects(self, due_effects: list[effects.Effect]) -> None:
        """Apply effects to the fake targets and collect the replies."""
        for effect in due_effects:
            if isinstance(effect, effects.Reply):
                for token in effect.tokens:
                    self.replies[token] = effect
                continue
            fake = self.targets[effect.target_id]
            if isinstance(effect, effects.SendStart):
                self._start(fake, effect)
            elif isinstance(effect, effects.SendStop):
                fake.stop_orders.add(effect.task)
            else:
                acknowledged = self.core.mark_end_committed(effect) or 0
                for number in list(fake.ended):
                    if number <= acknowledged:
                        del fake.ended[number]

    def _start(self, fake: FakeTarget, effect: effects.SendStart) -> None:
        target = self.core.targets[effect.target_id]
        run = target.runs.get((effect.task, effect.attempt))
        if run is None:
            return
        if (
            not target.is_ready
            or run.is_stopping
            or self.core.evacuation.bars_start(target, self.now_ms)
        ):
            self.core.handle_unsent_start(effect)
            return
        self.core.note_start_sent(target, run, self.now_ms)
        # The agent's next report lists the run.
        if self.are_starts_reported:
            run.task.group.job.is_started = True
        fake.running[effect.task] = effect.attempt
        self.sent_starts.append((fake.target_id, effect.task, effect.attempt))
