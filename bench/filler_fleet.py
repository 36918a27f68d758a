"""Fleet in virtual time whose fillers run beside serving tasks.

The owner's core and the pacers of the agents are those of the product; the
executors, the store and the streams are modelled. The tail latency of a
serving task is that of a queue under the load that all tasks of its workflow
share, raised by the fillers beside it: a filler with an effect raises the log
of the latency in proportion to the processors that it uses.
"""

from collections import abc
import dataclasses
import math
import random
from typing import Final
from unittest import mock

from borageshelf.agent.workflows import pacer
from borageshelf.agent.workflows import runs
from borageshelf import clock
from borageshelf.decisions import filler_effects
from borageshelf import events
from borageshelf.model import resources
from borageshelf.model import workflows
from borageshelf.ports import task_executor
from borageshelf.workflows import effects
from borageshelf.workflows import jobs
from borageshelf.workflows import journal
from borageshelf.workflows import messages
from borageshelf.workflows import owner
from borageshelf.workflows import silence

STEP_MS: Final = 100
REPORT_INTERVAL_MS: Final = 400
EFFECTS_INTERVAL_MS: Final = 700
# A latency is that of the last half second.
LATENCY_WINDOW_STEPS: Final = 5
# From the commit of a start or stop until the executor has carried it out.
ORDER_MS: Final = 100
STOP_MS: Final = 200
RESTORE_MS: Final = 600
# From the start of a serving task until it is at work.
STARTUP_MS: Final = 500
START_MS: Final = 100_000
WALL_MS: Final = 1_700_000_000_000
GRANT_MS: Final = 600_000
LIMITS: Final = silence.Limits(GRANT_MS, GRANT_MS)
SERVICE: Final = 'service'
IMAGE_LATENCY_MS: Final = 4.0
LOAD_MEAN: Final = 0.42
LOAD_SWING: Final = 0.5
LOAD_PERIOD_MS: Final = 10_000


@dataclasses.dataclass(frozen=True)
class Submission:
    """A workflow that a caller submits.

    :param due_ms: time of the submission, milliseconds since the begin
    :param work_ms: real run time of each task at full pace, by step
    """

    due_ms: int
    workflow: workflows.Workflow
    queue: workflows.Queue
    work_ms: tuple[tuple[int, ...], ...] = ()

    @property
    def objective_ms(self) -> float:
        """Time in which it should be done, by the real run times."""
        longest_ms = sum(max(step) for step in self.work_ms)
        return (
            self.queue.slack_factor * longest_ms + self.queue.latency_target_ms
        )


@dataclasses.dataclass(frozen=True)
class Plan:
    """A day of the fleet.

    :param capacities_millicores: processors of each target
    :param pressures: rise of the log latency if a filler uses the whole VM,
        by serving image and filler image
    :param end_ms: length of the day
    """

    seed: int
    capacities_millicores: tuple[int, ...]
    submissions: tuple[Submission, ...]
    pressures: abc.Mapping[tuple[str, str], float]
    end_ms: int


@dataclasses.dataclass
class _Run:
    """A run on an executor."""

    run: runs.AgentRun
    step: workflows.Step
    begins_ms: int
    work_ms: float
    saved_ms: float
    pace_percent: int = 100
    used_millicores: float = 0.0
    stops_ms: int = 0
    latencies_ms: list[float] = dataclasses.field(default_factory=list)


class _Target:
    """A target with its executor and the pacer of its agent."""

    def __init__(
        self, target_id: str, millicores: int, event_log: events.EventLog
    ) -> None:
        self.target_id = target_id
        self.capacity = resources.Resources(millicores, 250_000)
        self.runs: dict[tuple[str, int], _Run] = {}
        self.end_number = 0
        self.pacer = pacer.FillerPacer(
            self,  # type: ignore[arg-type]
            event_log,
            lambda: [item.run for item in self.runs.values()],
        )

    async def pace(
        self, _: str, task: str, attempt: int, percent: int, __: int
    ) -> None:
        """Set the pace of a run; called by the pacer."""
        item = self.runs.get((task, attempt))
        if item is not None:
            item.pace_percent = percent

    def list_fillers(self) -> list[_Run]:
        """Return the runs of fillers."""
        return [item for item in self.runs.values() if item.step.is_filler]


class KnownEffects(filler_effects.FillerEffects):
    """Effects that are known from the begin, and need not be learned."""

    def __init__(self, pressures: abc.Mapping[tuple[str, str], float]) -> None:
        super().__init__()
        self._pressures = pressures

    def copy(self) -> filler_effects.FillerEffects:
        """Return the same effects."""
        return self

    def observe(self, sample: filler_effects.Sample) -> None:
        """Learn nothing."""

    def get_effect(self, serving_image: str, filler_image: str) -> float:
        """Return the rise of the log latency per quarter of a VM."""
        return self._pressures.get((serving_image, filler_image), 0.0) / 4

    def list_effects(self) -> tuple[tuple[str, str, float], ...]:
        """Return all pairs, also those without an effect."""
        return tuple(
            (serving, filler, self.get_effect(serving, filler))
            for serving in sorted({pair[0] for pair in self._pressures})
            for filler in sorted({pair[1] for pair in self._pressures})
        )


class FillerFleet:
    """Plays a day.

    :param knows_effects: whether the effects need not be learned
    :ivar ended_after_ms: time from the submission to the end of each workflow
        that has completed, by id
    :ivar moved_runs: number of runs that were stopped and started again
    :ivar over_target_ms: sum over the serving tasks of the time above target
    :ivar done_core_s: work of fillers that was done
    """

    def __init__(self, plan: Plan, knows_effects: bool = False) -> None:
        self.plan = plan
        self.now_ms = START_MS
        self.ended_after_ms: dict[str, int] = {}
        self.refused_ids: set[str] = set()
        self.moved_runs = 0
        self.over_target_ms = 0
        self.serving_ms = 0
        self.done_core_s = 0.0
        self._random = random.Random(plan.seed)
        self._phases: dict[str, float] = {}
        self._begun_ms: dict[str, int] = {}
        self._submissions = {
            item.workflow.workflow_id: item for item in plan.submissions
        }
        event_log = events.EventLog('agent', 'model')
        self.targets = [
            _Target(f'vm-{number}', millicores, event_log)
            for number, millicores in enumerate(plan.capacities_millicores)
        ]
        self._by_id = {target.target_id: target for target in self.targets}
        self.core = owner.Owner(
            1,
            LIMITS,
            GRANT_MS,
            self.now_ms,
            LIMITS.count_from(self.now_ms),
            journal.encode,
            self._record,
        )
        if knows_effects:
            known = KnownEffects(plan.pressures)
            self.core.scheduler.filler_effects = known

    @property
    def moment(self) -> clock.Moment:
        """The current moment."""
        return clock.Moment(self.now_ms, WALL_MS + self.now_ms)

    def _record(self, event: str, **fields: object) -> None:
        if event == 'workflow refused':
            self.refused_ids.add(str(fields['workflow']))
        if event == 'slow run moved':
            self.moved_runs += 1

    async def play(self) -> None:
        """Play the whole day."""
        with mock.patch.object(clock, 'read_elapsed_ms', lambda: self.now_ms):
            for number, target in enumerate(self.targets, 1):
                self._attach(target, number)
            due = sorted(self.plan.submissions, key=lambda item: item.due_ms)
            next_effects_ms = 0
            while self.now_ms < START_MS + self.plan.end_ms:
                self.now_ms += STEP_MS
                while due and due[0].due_ms <= self.now_ms - START_MS:
                    self._submit(due.pop(0))
                for target in self.targets:
                    self._work(target)
                for number, target in enumerate(self.targets):
                    offset_ms = number % 4 * STEP_MS
                    if (self.now_ms + offset_ms) % REPORT_INTERVAL_MS == 0:
                        await self._report(target)
                if self.now_ms >= next_effects_ms:
                    next_effects_ms = self.now_ms + EFFECTS_INTERVAL_MS
                    self._send_effects()
                self.core.advance(self.moment)
                self.core.schedule(self.moment)
                await self._commit()

    def _attach(self, target: _Target, session: int) -> None:
        state = messages.TargetState(
            f'{target.target_id}/1',
            SERVICE,
            target.capacity,
            ('a', f'rack-{session % 8}'),
            False,
            0,
        )
        hello = messages.AgentHello(
            target.target_id, 'boot', 'dc', state.incarnation
        )
        known = self.core.attach(hello, session, self.moment)
        self.core.apply_snapshot(
            known, messages.Snapshot(0, state, (), ()), self.moment
        )

    def _submit(self, item: Submission) -> None:
        self._begun_ms[item.workflow.workflow_id] = self.now_ms
        self.core.submit(item.workflow, item.queue, 1, self.moment)

    async def _commit(self) -> None:
        due = self.core.take_immediate_effects()
        while True:
            batch = self.core.take_batch()
            if batch.is_empty:
                break
            due += self.core.confirm_batch(batch)
            due += self.core.take_immediate_effects()
        for effect in due:
            if isinstance(effect, effects.SendStart):
                await self._start(effect)
            elif isinstance(effect, effects.SendStop):
                target = self._by_id[effect.target_id]
                item = target.runs.get((effect.task, effect.attempt))
                if item is not None and not item.stops_ms:
                    item.stops_ms = self.now_ms + ORDER_MS + STOP_MS
            elif isinstance(effect, effects.Acknowledge):
                self.core.mark_end_committed(effect)
        for workflow_id, archived in self.core.archive.items():
            begun_ms = self._begun_ms.get(workflow_id)
            if begun_ms is not None and workflow_id not in self.ended_after_ms:
                self.ended_after_ms[workflow_id] = (
                    archived.ended_at_ms - WALL_MS - begun_ms
                )

    async def _start(self, effect: effects.SendStart) -> None:
        target = self._by_id[effect.target_id]
        known = self.core.targets[effect.target_id]
        run = known.runs.get((effect.task, effect.attempt))
        if run is None:
            return
        if run.is_stopping:
            self.core.handle_unsent_start(effect)
            return
        self.core.note_start_sent(known, run, self.now_ms)
        run.note_confirmed()
        step = run.task.group.step
        item = _Run(
            runs.AgentRun(_make_terms(run), runs.RunState.RUNNING),
            step,
            self.now_ms + ORDER_MS,
            self._find_work_ms(run),
            float(run.task.checkpoint or 0),
        )
        if run.task.checkpoint:
            item.begins_ms += RESTORE_MS
        if step.is_lasting:
            item.begins_ms += STARTUP_MS
        target.runs[(effect.task, effect.attempt)] = item
        await target.pacer.pace(target.capacity, 'i', 1)

    def _find_work_ms(self, run: jobs.Run) -> float:
        group = run.task.group
        work_ms = self._submissions[group.job.workflow_id].work_ms
        return work_ms[group.step_number][run.task.index] if work_ms else 0

    def _work(self, target: _Target) -> None:
        """Let the runs of a target work for one step."""
        fillers = [
            item
            for item in target.list_fillers()
            if self.now_ms >= item.begins_ms
        ]
        wanted = sum(
            item.step.demand.processor_millicores * item.pace_percent / 100
            for item in fillers
        )
        used_by_others = sum(
            item.step.demand.processor_millicores
            * (LOAD_MEAN if item.step.is_lasting else 1)
            for item in target.runs.values()
            if not item.step.is_filler
        )
        free = max(target.capacity.processor_millicores - used_by_others, 0)
        ratio = min(1.0, free / wanted) if wanted else 1.0
        for key, item in list(target.runs.items()):
            if item.stops_ms and self.now_ms >= item.stops_ms:
                self._end(target, key, task_executor.EndKind.STOPPED)
            elif self.now_ms < item.begins_ms:
                item.used_millicores = 0
            elif item.step.is_lasting:
                self._serve(target, item)
            else:
                speed = 1.0
                if item.step.is_filler:
                    speed = item.pace_percent / 100 * ratio
                item.used_millicores = (
                    item.step.demand.processor_millicores * speed
                )
                item.saved_ms += STEP_MS * speed
                if item.saved_ms >= item.work_ms:
                    self.done_core_s += (
                        item.work_ms
                        * item.step.demand.processor_millicores
                        / 1e6
                    )
                    self._end(target, key, task_executor.EndKind.DONE)

    def _serve(self, target: _Target, item: _Run) -> None:
        workflow_id = item.run.terms.task.split('.')[0]
        phase = self._phases.setdefault(
            workflow_id, self._random.uniform(0, 2 * math.pi)
        )
        angle = 2 * math.pi * self.now_ms / LOAD_PERIOD_MS + phase
        load = LOAD_MEAN * (1 + LOAD_SWING * math.sin(angle))
        rise = sum(
            self.plan.pressures.get((item.step.image, other.step.image), 0.0)
            * other.used_millicores
            / target.capacity.processor_millicores
            for other in target.list_fillers()
        )
        noise = self._random.gauss(0, 0.07)
        latency_ms = IMAGE_LATENCY_MS / (1 - load) * math.exp(rise + noise)
        item.latencies_ms = [
            *item.latencies_ms[1 - LATENCY_WINDOW_STEPS :],
            latency_ms,
        ]
        self.serving_ms += STEP_MS
        if latency_ms > item.step.latency_target_ms:
            self.over_target_ms += STEP_MS

    def _end(
        self,
        target: _Target,
        key: tuple[str, int],
        kind: task_executor.EndKind,
    ) -> None:
        item = target.runs.pop(key)
        target.end_number += 1
        checkpoint = ''
        if kind is task_executor.EndKind.STOPPED:
            checkpoint = str(int(item.saved_ms))
        end = messages.Ended(target.end_number, *key, kind, checkpoint)
        self.core.handle_run_end(
            self.core.targets[target.target_id], end, self.moment
        )

    async def _report(self, target: _Target) -> None:
        """Inspect an executor, pace its fillers and report to the owner."""
        rows = []
        for (task, attempt), item in target.runs.items():
            if self.now_ms < item.begins_ms - STARTUP_MS:
                continue
            measured = round(item.used_millicores)
            percent = 0
            if item.step.is_lasting:
                is_working = self.now_ms >= item.begins_ms
                percent = 100 if is_working else 0
                # The first window has no latency yet.
                is_full = len(item.latencies_ms) == LATENCY_WINDOW_STEPS
                measured = (
                    round(sum(item.latencies_ms) / LATENCY_WINDOW_STEPS)
                    if is_full
                    else 0
                )
            elif item.work_ms:
                percent = int(100 * item.saved_ms / item.work_ms)
            checkpoint = ''
            if item.step.is_checkpointing:
                checkpoint = str(int(item.saved_ms // 2_000 * 2_000) or '')
            item.run.row = task_executor.RunningTask(
                task, attempt, checkpoint, percent, measured
            )
            if not item.step.is_lasting:
                rows.append(runs.make_row(item.run.row, item.pace_percent))
        target.pacer.record_filler_usage(target.capacity)
        await target.pacer.pace(target.capacity, 'i', 1)
        report = messages.Report(
            1,
            self.now_ms,
            tuple(rows),
            None,
            target.pacer.make_latency_samples(),
            target.pacer.compute_peak_filler_shares(),
        )
        known = self.core.targets[target.target_id]
        self.core.extend_grant(known, self.moment)
        self.core.update_progress(known, report.rows, self.moment)
        self.core.scheduler.observe_latencies(known, report, self.moment)

    def _send_effects(self) -> None:
        pairs = self.core.scheduler.filler_effects.list_effects()
        for target in self.targets:
            target.pacer.set_effects(messages.Effects(pairs))


def _make_terms(run: jobs.Run) -> messages.RunTerms:
    step = run.task.group.step
    return messages.RunTerms(
        run.task.name,
        run.attempt,
        step.reserved,
        step.is_filler,
        step.is_lasting,
        step.latency_target_ms,
        step.image,
        step.demand.processor_millicores,
    )
