"""Deterministic core of the owner of all workflows; no I/O.

The runtime feeds it requests of callers and news of agents, asks it for
batches of changes, commits them, and carries out the effects that a commit
releases. A start is sent, an end acknowledged and a caller answered only
after the commit of the state that they follow from.
"""

from collections import abc
import dataclasses
from typing import Any, Final

import msgspec

from borageshelf import clock
from borageshelf.decisions import filler_effects
from borageshelf.decisions import target_health
from borageshelf.decisions import workflow_admission
from borageshelf.decisions import workflow_order
from borageshelf.decisions import workflow_placement
from borageshelf.model import workflows
from borageshelf.ports import task_executor
from borageshelf.workflows import effects
from borageshelf.workflows import jobs
from borageshelf.workflows import messages
from borageshelf.workflows import records
from borageshelf.workflows import targets as targets_module

# One commit may have 32 entries (the platform's protocol), of which the
# expected revision and the head take two.
COMMIT_ENTRIES: Final = 30
# A target that refused a start is tried again after one report.
REFUSED_PAUSE_MS: Final = 400
# Progress is reported every 400 ms; a run that shows none for five reports
# stands still.
STALL_MS: Final = 2_000
# A stop of a checkpointing task ends within 900 ms (the site files).
EVACUATION_MS: Final = 1_200
FULL_PACE_PERCENT: Final = 100
# A filler below this pace for this long is better off elsewhere; a stop with
# a checkpoint and a start cost about as much as a report.
SLOW_PACE_PERCENT: Final = 50
SLOW_LIMIT_MS: Final = 1_200
# A workflow has to run within 3 s if there is room (rules of the users'
# platform).
OVERDUE_MS: Final = 1_200
# Agents find a new owner within about a second.
SETTLE_MS: Final = 2_000
# The load of a serving task swings within ten seconds; what it was at its
# height is forgotten as slowly.
QUIET_DECAY: Final = 0.97

Record = abc.Callable[..., None]


@dataclasses.dataclass(frozen=True)
class Batch:
    """Changes that are committed together.

    :param jobs: workflows whose state is written
    :param effects: what the commit releases
    """

    jobs: tuple[jobs.Job, ...]
    phases: tuple[records.Phase, ...]
    writes: tuple[tuple[str, bytes], ...]
    removed: tuple[str, ...]
    effects: tuple[tuple[effects.Effect, ...], ...]

    @property
    def is_empty(self) -> bool:
        """Tell whether there is nothing to write."""
        return not (self.writes or self.removed)


@dataclasses.dataclass(frozen=True)
class Archived:
    """A workflow that has ended and of which nothing runs."""

    phase: records.Phase
    ended_at_ms: int


class Owner:
    """All workflows and targets.

    :param grant_ms: how long a target may go on after the last report that
        was answered
    :param retention_ms: how long the end of a workflow is shown
    :param now_ms: elapsed time of the takeover
    :param old_grants_deadline_ms: elapsed time at which all that earlier
        owners granted has ended
    :param encode: turns a record into the bytes to store
    :param record: writes a log line for a decision
    """

    def __init__(
        self,
        epoch: int,
        grant_ms: int,
        retention_ms: int,
        now_ms: int,
        old_grants_deadline_ms: int,
        encode: abc.Callable[[Any], bytes],
        record: Record,
    ) -> None:
        self.epoch = epoch
        self.jobs: dict[str, jobs.Job] = {}
        self.targets: dict[str, targets_module.Target] = {}
        self.archive: dict[str, Archived] = {}
        self._grant_ms = grant_ms
        self._retention_ms = retention_ms
        self._old_grants_deadline_ms = old_grants_deadline_ms
        self._settled_deadline_ms = now_ms + SETTLE_MS
        self._encode = encode
        self._record = record
        self._dirty: dict[str, jobs.Job] = {}
        self._active: dict[str, jobs.Job] = {}
        self._immediate: list[effects.Effect] = []
        self._expired: list[str] = []
        self._next_expiry_ms = 0
        self.filler_effects = filler_effects.FillerEffects()

    # Stored state.

    def restore(
        self,
        spec: records.SpecRecord,
        state: records.StateRecord,
        moment: clock.Moment,
    ) -> None:
        """Take over a workflow that an earlier owner stored."""
        age_ms = max(moment.wall_ms - spec.terms.accepted_at_ms, 0)
        job = jobs.Job(spec.workflow, spec.terms, moment.elapsed_ms - age_ms)
        job.restore(state, moment.elapsed_ms)
        self.jobs[job.workflow_id] = job
        if job.is_active:
            self._active[job.workflow_id] = job
        for run in job.list_runs():
            self._find_target(run.target_id).add(run)
        if not job.is_active and not job.live_runs:
            self._mark(job)

    def restore_ended(
        self, workflow_id: str, state: records.StateRecord
    ) -> None:
        """Take over the result of a workflow that has ended."""
        self.archive[workflow_id] = Archived(state.phase, state.ended_at_ms)

    # Requests of callers.

    def submit(
        self,
        workflow: workflows.Workflow,
        queue: workflows.Queue,
        token: int,
        moment: clock.Moment,
    ) -> None:
        """Accept or refuse a workflow; the answer is a ``Reply`` effect.

        A workflow that is already known is accepted again, however often it
        arrives.
        """
        workflow_id = workflow.workflow_id
        known = self.jobs.get(workflow_id)
        if workflow_id in self.archive or (known and known.is_committed):
            self._reply(token, effects.Outcome.ACCEPTED)
            return
        if known is not None:
            known.waiters.append(token)
            return
        terms = records.Terms(
            queue.name,
            queue.service,
            queue.priority,
            queue.attempts_limit,
            queue.slack_factor,
            queue.latency_target_ms,
            moment.wall_ms,
        )
        decision = self._admit(workflow, terms, moment.elapsed_ms)
        if isinstance(decision, workflow_admission.Refused):
            self._record(
                'workflow refused',
                workflow=workflow_id,
                queue=queue.name,
                expected_ms=decision.expected_ms,
                retry_after_s=decision.retry_after_s,
            )
            self._reply(token, effects.Outcome.REFUSED, decision.retry_after_s)
            return
        terms = msgspec.structs.replace(terms, is_prompt=decision.is_prompt)
        job = jobs.Job(workflow, terms, moment.elapsed_ms)
        job.waiters.append(token)
        self.jobs[workflow_id] = job
        self._active[workflow_id] = job
        self._mark(job)
        self._record(
            'workflow taken',
            workflow=workflow_id,
            queue=queue.name,
            tasks=len(job.tasks),
            objective_ms=job.objective_ms,
            expected_ms=decision.expected_ms,
            is_prompt=decision.is_prompt,
        )

    def cancel(
        self, workflow_id: str, token: int, moment: clock.Moment
    ) -> None:
        """Cancel a workflow; the answer is a ``Reply`` effect."""
        job = self.jobs.get(workflow_id)
        if job is None:
            is_known = workflow_id in self.archive
            self._reply(
                token,
                effects.Outcome.FOUND if is_known else effects.Outcome.ABSENT,
            )
            return
        if job.is_active:
            self._end(job, records.Phase.CANCELLED, 'cancelled', moment)
        if job.is_committed and job.workflow_id not in self._dirty:
            if job.visible_phase is not records.Phase.ACTIVE:
                self._reply(token, effects.Outcome.FOUND)
                return
        job.effects.append(effects.Reply((token,), effects.Outcome.FOUND))
        self._mark(job)

    def find_state(self, workflow_id: str) -> str | None:
        """Return the committed state of a workflow as callers see it."""
        archived = self.archive.get(workflow_id)
        if archived is not None:
            return jobs.STATE_NAMES[archived.phase]
        job = self.jobs.get(workflow_id)
        if job is None or not job.is_committed:
            return None
        return job.describe_state()

    def count_pending(self) -> dict[str, int]:
        """Return the workflows without any start, by queue."""
        counts: dict[str, int] = {}
        for job in self._active.values():
            if job.is_committed and not job.is_started:
                queue = job.terms.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    # News of agents.

    def attach(
        self, hello: messages.AgentHello, session: int, moment: clock.Moment
    ) -> targets_module.Target:
        """Begin a session of an agent; it places nothing before a snapshot."""
        target = self._find_target(hello.target_id)
        target.session = session
        target.is_ready = False
        target.data_centre = hello.data_centre
        target.sent_spec_ids.clear()
        target.forget_ends()
        self._extend_lost_deadline(target, moment.elapsed_ms)
        return target

    def detach(self, target_id: str, session: int) -> None:
        """End a session; what runs there goes on until its grant ends."""
        target = self.targets.get(target_id)
        if target is not None and target.session == session:
            target.session = targets_module.UNATTACHED
            target.is_ready = False

    def extend_grant(
        self, target: targets_module.Target, moment: clock.Moment
    ) -> None:
        """Note a report that is answered with a grant."""
        self._extend_lost_deadline(target, moment.elapsed_ms)

    def apply_snapshot(
        self,
        target: targets_module.Target,
        snapshot: messages.Snapshot,
        moment: clock.Moment,
    ) -> list[jobs.Run]:
        """Compare what an executor runs with what it should run.

        No order of an earlier session can be carried out any more, so a run
        that is not listed does not exist.

        :return: the runs that go on
        """
        self._apply_state(target, snapshot.state, moment)
        if target.incarnation != snapshot.state.incarnation:
            target.incarnation = snapshot.state.incarnation
            target.health = target_health.Health()
        target.is_ready = True
        ended = {(end.task, end.attempt) for end in snapshot.ended}
        listed = {(row.task, row.attempt): row for row in snapshot.running}
        for key, run in list(target.runs.items()):
            if key in listed:
                run.is_confirmed = run.is_sent = True
            elif key not in ended and run.is_sent:
                self._lose(run, 'not listed', moment)
        target.strays = {key for key in listed if key not in target.runs}
        for task, attempt in target.strays:
            self._immediate.append(
                effects.SendStop(target.target_id, task, attempt)
            )
        for end in snapshot.ended:
            self.handle_run_end(target, end, moment)
        self.update_progress(target, snapshot.running, moment)
        for run in target.runs.values():
            if run.is_stopping or not run.task.group.job.is_active:
                self._stop(run)
        return [run for key, run in target.runs.items() if key in listed]

    def update_target_state(
        self,
        target: targets_module.Target,
        state: messages.TargetState,
        moment: clock.Moment,
    ) -> None:
        """Note that a target drains or has another size."""
        was_draining = target.is_draining
        self._apply_state(target, state, moment)
        if target.is_draining and not was_draining:
            self._record('target drains', target=target.target_id)
            self._evacuate(target, moment)

    def handle_executor_gone(
        self,
        target: targets_module.Target,
        incarnation: str,
        moment: clock.Moment,
    ) -> None:
        """Note that nothing runs on a target any more."""
        target.is_ready = False
        target.strays.clear()
        self._record(
            'executor gone', target=target.target_id, incarnation=incarnation
        )
        for run in list(target.runs.values()):
            if run.is_sent:
                self._lose(run, 'executor gone', moment)

    def handle_run_end(
        self,
        target: targets_module.Target,
        end: messages.Ended,
        moment: clock.Moment,
    ) -> None:
        """Handle the end of a run; it is acknowledged once committed."""
        acknowledge = effects.Acknowledge(
            target.target_id, target.session, end.number
        )
        target.open_end(end.number)
        key = (end.task, end.attempt)
        target.strays.discard(key)
        run = target.runs.get(key)
        if run is None:
            # An earlier session may have told the same end, and what
            # follows from it may not be committed yet.
            known = self.jobs.get(end.task.split('.')[0])
            if known is None:
                self._immediate.append(acknowledge)
            else:
                known.effects.append(acknowledge)
                self._mark(known)
            return
        job = run.task.group.job
        job.effects.append(acknowledge)
        self._mark(job)
        self._drop_run(run)
        task = run.task
        if end.checkpoint and not task.is_done:
            task.checkpoint = end.checkpoint
        self._record(
            'run ended',
            workflow=job.workflow_id,
            task=end.task,
            attempt=end.attempt,
            target=target.target_id,
            how=end.kind.value,
            ran_ms=moment.elapsed_ms - run.started_at_ms,
        )
        if end.kind is task_executor.EndKind.FAILED:
            self._note_failed(target, run, moment)
        elif end.kind is task_executor.EndKind.DONE:
            self._note_done(target, run, moment)
        self._break_gang(task)

    def handle_start_refusal(
        self,
        target: targets_module.Target,
        refused: messages.StartRefused,
        moment: clock.Moment,
    ) -> None:
        """Note that a start was refused, so the run does not exist."""
        run = target.runs.get((refused.task, refused.attempt))
        target.strays.discard((refused.task, refused.attempt))
        if run is None:
            return
        job = run.task.group.job
        self._record(
            'start refused',
            workflow=job.workflow_id,
            task=refused.task,
            attempt=refused.attempt,
            target=target.target_id,
            reason=refused.reason,
        )
        self._drop_run(run)
        self._mark(job)
        if refused.is_unhealthy:
            target.health = target_health.note_stall(
                target.health, moment.elapsed_ms
            )
        target.refused_deadline_ms = moment.elapsed_ms + REFUSED_PAUSE_MS
        self._break_gang(run.task)

    def handle_unsent_start(self, effect: effects.SendStart) -> None:
        """Note that a start can't be sent, so the run does not exist."""
        target = self.targets.get(effect.target_id)
        if target is None:
            return
        run = target.runs.get((effect.task, effect.attempt))
        if run is not None and not run.is_sent:
            self._drop_run(run)
            self._mark(run.task.group.job)

    def update_progress(
        self,
        target: targets_module.Target,
        rows: abc.Iterable[messages.Row],
        moment: clock.Moment,
    ) -> None:
        """Note how far runs are and their newest checkpoints."""
        for row in rows:
            run = target.runs.get((row.task, row.attempt))
            if run is None:
                continue
            run.is_confirmed = True
            is_paced = row.pace_percent < FULL_PACE_PERCENT
            if row.progress_percent != run.progress_percent or is_paced:
                run.progress_percent = row.progress_percent
                run.progress_at_ms = moment.elapsed_ms
            if row.checkpoint and not run.task.is_done:
                run.task.checkpoint = row.checkpoint
            if row.pace_percent >= SLOW_PACE_PERCENT:
                run.slow_since_ms = 0
            elif not run.slow_since_ms:
                run.slow_since_ms = moment.elapsed_ms
            elif moment.elapsed_ms - run.slow_since_ms > SLOW_LIMIT_MS:
                self._move_slow(target, run, moment)
        self._note_stalls(target, moment)

    def apply_latency_samples(
        self,
        target: targets_module.Target,
        report: messages.Report,
        moment: clock.Moment,
    ) -> None:
        """Learn what fillers do to the serving tasks of a target."""
        target.filler_used_millicores = round(
            sum(report.filler_shares.values())
            * target.capacity.processor_millicores
        )
        for sample in report.samples:
            image = sample.serving_image
            quiet_share = filler_effects.find_quiet_share(
                sample.latency_share,
                {
                    filler: self.filler_effects.find(image, filler)
                    for filler in report.filler_shares
                },
                report.filler_shares,
            )
            self.filler_effects.observe(
                filler_effects.Sample(
                    sample.serving_image,
                    sample.latency_share,
                    report.filler_shares,
                )
            )
            # A latency follows the fillers with a delay, so for a moment
            # after a filler has slowed down it seems to be the load's.
            former = target.quiet_shares.get(image, quiet_share)
            target.quiet_shares[image] = min(
                max(quiet_share, former * QUIET_DECAY),
                self.filler_effects.find_quiet_limit(image),
            )

    # Time.

    def advance(self, moment: clock.Moment) -> None:
        """Give up targets whose grants have ended; forget old results."""
        now_ms = moment.elapsed_ms
        for target in self.targets.values():
            if target.is_ready or now_ms < target.lost_deadline_ms:
                continue
            if any(run.is_sent for run in target.runs.values()):
                self._record('target lost', target=target.target_id)
                for run in list(target.runs.values()):
                    if run.is_sent:
                        self._lose(run, 'grant ended', moment)
        if now_ms >= self._next_expiry_ms:
            self._next_expiry_ms = now_ms + 1_000
            for workflow_id, archived in list(self.archive.items()):
                age_ms = moment.wall_ms - archived.ended_at_ms
                if age_ms > self._retention_ms:
                    del self.archive[workflow_id]
                    self._expired.append(workflow_id)

    def schedule(self, moment: clock.Moment) -> None:
        """Assign waiting tasks to targets with room."""
        now_ms = moment.elapsed_ms
        usable = [
            target
            for target in self.targets.values()
            if target.is_usable(now_ms)
        ]
        if not usable:
            return
        waiting = []
        for job in self._active.values():
            if job.live_runs:
                job.idle_since_ms = now_ms
            groups = [
                group
                for group in job.groups
                if not group.is_complete
                and any(task.is_waiting for task in group.tasks)
                and job.is_ready(group, moment.wall_ms)
            ]
            if groups:
                rank = workflow_order.find_rank(_make_candidate(job), now_ms)
                waiting.append((rank, job, groups))
        waiting.sort(key=lambda item: item[0])
        for _, job, groups in waiting:
            for group in groups:
                self._place_group(group, usable, moment)

    # Commits.

    def take_batch(self) -> Batch:
        """Return the next changes to commit."""
        chosen: list[jobs.Job] = []
        writes: list[tuple[str, bytes]] = []
        removed: list[str] = []
        released = []
        for job in list(self._dirty.values()):
            is_over = not job.is_active and not job.live_runs
            entries = 1 + (not job.has_spec_key or is_over)
            if len(writes) + len(removed) + entries > COMMIT_ENTRIES:
                break
            del self._dirty[job.workflow_id]
            chosen.append(job)
            state = job.make_record()
            key = records.make_state_key(job.workflow_id)
            writes.append((key, self._encode(state)))
            spec_key = records.make_spec_key(job.workflow_id)
            if is_over:
                removed.append(spec_key)
            elif not job.has_spec_key:
                spec = records.SpecRecord(job.workflow, job.terms)
                writes.append((spec_key, self._encode(spec)))
            released.append(tuple(job.effects))
            job.effects = []
        while self._expired and len(writes) + len(removed) < COMMIT_ENTRIES:
            removed.append(records.make_state_key(self._expired.pop()))
        return Batch(
            tuple(chosen),
            tuple(job.phase for job in chosen),
            tuple(writes),
            tuple(removed),
            tuple(released),
        )

    def confirm_batch(self, batch: Batch) -> list[effects.Effect]:
        """Apply a committed batch and return the effects that waited."""
        found: list[effects.Effect] = []
        for job, phase, released in zip(
            batch.jobs, batch.phases, batch.effects, strict=True
        ):
            job.visible_phase = phase
            job.is_committed = True
            job.has_spec_key = True
            found += released
            if job.waiters:
                tokens, job.waiters = tuple(job.waiters), []
                found.append(effects.Reply(tokens, effects.Outcome.ACCEPTED))
            is_over = phase is not records.Phase.ACTIVE and not job.live_runs
            if is_over and job.workflow_id not in self._dirty:
                self.jobs.pop(job.workflow_id, None)
                self.archive[job.workflow_id] = Archived(
                    phase, job.ended_at_ms
                )
        return found

    def handle_failed_commit(self, batch: Batch, retry_after_s: int) -> None:
        """Handle a batch of which certainly nothing was written.

        Workflows that are not stored yet are refused. All other changes wait
        for the next batch.
        """
        for job, released in zip(batch.jobs, batch.effects, strict=True):
            if job.is_committed:
                job.effects = [*released, *job.effects]
                self._dirty[job.workflow_id] = job
                continue
            self._dirty.pop(job.workflow_id, None)
            self.jobs.pop(job.workflow_id, None)
            self._active.pop(job.workflow_id, None)
            for run in list(job.list_runs()):
                self._drop_run(run)
            replies = [
                effect.tokens
                for effect in (*released, *job.effects)
                if isinstance(effect, effects.Reply)
            ]
            for token in job.waiters:
                self._reply(token, effects.Outcome.REFUSED, retry_after_s)
            for tokens in replies:
                for token in tokens:
                    self._reply(token, effects.Outcome.ABSENT)
            self._record(
                'workflow refused',
                workflow=job.workflow_id,
                cause='the store did not take it',
            )

    def describe_fleet(self, moment: clock.Moment) -> dict[str, int]:
        """Return sums over the fleet, for the log."""
        sound = [
            target
            for target in self.targets.values()
            if target.is_sound(moment.elapsed_ms)
        ]
        waiting = [
            group.step.demand.processor_millicores
            for job in self._active.values()
            for group in job.groups
            if not group.is_complete and job.is_ready(group, moment.wall_ms)
            for task in group.tasks
            if task.is_waiting
        ]
        return {
            'targets': len(self.targets),
            'sound': len(sound),
            'capacity_millicores': sum(
                target.capacity.processor_millicores for target in sound
            ),
            'busy_millicores': sum(target.busy_millicores for target in sound),
            'filler_millicores': sum(
                target.filler_millicores for target in sound
            ),
            'filler_used_millicores': sum(
                target.filler_used_millicores for target in sound
            ),
            'active_workflows': len(self._active),
            'waiting_tasks': len(waiting),
            'waiting_millicores': sum(waiting),
        }

    def mark_end_committed(self, effect: effects.Acknowledge) -> int | None:
        """Return the number to acknowledge; None for a former session."""
        target = self.targets.get(effect.target_id)
        if target is None or target.session != effect.session:
            return None
        return target.close_end(effect.number)

    def take_immediate_effects(self) -> list[effects.Effect]:
        """Return the effects that wait for no commit."""
        taken, self._immediate = self._immediate, []
        return taken

    @property
    def has_changes(self) -> bool:
        """Tell whether something waits to be committed."""
        return bool(self._dirty or self._expired)

    # Helpers.

    def _find_target(self, target_id: str) -> targets_module.Target:
        target = self.targets.get(target_id)
        if target is None:
            target = targets_module.Target(
                target_id, self._old_grants_deadline_ms
            )
            self.targets[target_id] = target
        return target

    def _extend_lost_deadline(
        self, target: targets_module.Target, now_ms: int
    ) -> None:
        deadline_ms = now_ms + self._grant_ms
        target.lost_deadline_ms = max(target.lost_deadline_ms, deadline_ms)

    def _apply_state(
        self,
        target: targets_module.Target,
        state: messages.TargetState,
        moment: clock.Moment,
    ) -> None:
        target.service = state.service
        target.capacity = state.capacity
        target.labels = state.labels
        target.rack = state.labels[1] if len(state.labels) > 1 else ''
        target.is_draining = state.is_draining
        target.leaves_deadline_ms = moment.elapsed_ms + state.leaves_in_ms

    def _mark(self, job: jobs.Job) -> None:
        self._dirty[job.workflow_id] = job

    def _reply(
        self, token: int, outcome: effects.Outcome, retry_after_s: int = 0
    ) -> None:
        self._immediate.append(effects.Reply((token,), outcome, retry_after_s))

    def _admit(
        self,
        workflow: workflows.Workflow,
        terms: records.Terms,
        now_ms: int,
    ) -> workflow_admission.Admitted | workflow_admission.Refused:
        """Decide whether a workflow can be served in time.

        Lasting and timed workflows have no end to compare with.
        """
        is_lasting = any(step.is_lasting for step in workflow.steps)
        if is_lasting or workflow.is_timed:
            return workflow_admission.Admitted(0, True)
        if now_ms < self._settled_deadline_ms:
            # Which targets there are is not known yet.
            return workflow_admission.Admitted(0, True)
        has_filler = any(step.is_filler for step in workflow.steps)
        room = sum(
            self._find_room(target, has_filler)
            for target in self.targets.values()
            if target.service == terms.service and target.is_sound(now_ms)
        )
        accepted = [
            workflow_admission.Accepted(
                job.find_remaining_work(),
                job.objective_deadline_ms,
                job.terms.is_prompt,
            )
            for job in self._active.values()
            if job.terms.service == terms.service
            and job.terms.priority <= terms.priority
        ]
        work = sum(
            step.count
            * max(step.demand.processor_millicores, 1)
            * (step.estimate_ms or jobs.DEFAULT_ESTIMATE_MS)
            for step in workflow.steps
        )
        return workflow_admission.decide(
            workflow_admission.Request(
                workflow.workflow_id,
                work,
                workflows.find_longest_chain_ms(workflow),
                jobs.find_objective_ms(workflow, terms),
            ),
            workflow_admission.Load(accepted, room),
            now_ms,
        )

    def _find_room(
        self, target: targets_module.Target, has_filler: bool
    ) -> int:
        """Return the processors that a workflow could use on a target."""
        room = target.capacity.processor_millicores - target.busy_millicores
        if not has_filler:
            # Short tasks that run now are part of the work ahead.
            room += sum(
                run.task.group.step.demand.processor_millicores
                for run in target.runs.values()
                if not run.task.group.step.is_lasting
                and not run.task.group.step.is_filler
            )
        return max(room, 0)

    def _place_group(
        self,
        group: jobs.Group,
        usable: list[targets_module.Target],
        moment: clock.Moment,
    ) -> None:
        job = group.job
        served = [
            target for target in usable if target.service == job.terms.service
        ]
        siblings = group.count_on_targets()
        waiting = [
            task
            for task in group.tasks
            if task.is_waiting and task.not_before_ms <= moment.elapsed_ms
        ]
        if group.step.is_gang and len(waiting) < group.step.count:
            return
        placed: list[tuple[jobs.Run, targets_module.Target]] = []
        for task in waiting:
            wish = workflow_placement.Wish(
                group.step,
                siblings,
                task.avoided,
                self._find_sibling_rack(group, siblings),
                # One run is enough to get a workflow going.
                not job.live_runs
                and moment.elapsed_ms - job.idle_since_ms > OVERDUE_MS,
            )
            target = workflow_placement.choose_target(
                wish, served, self._make_risk(moment)
            )
            if not isinstance(target, targets_module.Target):
                # Tasks of a step have the same size, so no other fits.
                break
            run = job.add_run(task, target.target_id, moment.elapsed_ms)
            target.add(run)
            siblings[target.target_id] = siblings.get(target.target_id, 0) + 1
            placed.append((run, target))
        if group.step.is_gang and len(placed) < group.step.count:
            for run, target in placed:
                target.remove(run)
                job.withdraw_run(run)
            return
        for run, target in placed:
            job.effects.append(
                effects.SendStart(target.target_id, run.task.name, run.attempt)
            )
        if placed:
            self._mark(job)

    def _make_risk(self, moment: clock.Moment) -> workflow_placement.FindRisk:
        """Return the estimate of what a filler does on a target."""

        def find_risk(
            step: workflows.Step, target: workflow_placement.Target
        ) -> float:
            found = self.targets[target.target_id]
            if not found.quiet_shares:
                return 0.0
            size = max(target.capacity.processor_millicores, 1)
            sizes = dict(found.filler_sizes)
            own = step.demand.processor_millicores
            sizes[step.image] = sizes.get(step.image, 0) + own
            return self.filler_effects.find_risk(
                found.quiet_shares,
                {image: value / size for image, value in sizes.items()},
            )

        return find_risk

    def _move_slow(
        self,
        target: targets_module.Target,
        run: jobs.Run,
        moment: clock.Moment,
    ) -> None:
        """Move a filler that has to work slowly, if there is a better place.

        Only with a checkpoint, because otherwise its work would be lost.
        """
        run.slow_since_ms = moment.elapsed_ms
        group = run.task.group
        if run.is_stopping or not group.step.is_checkpointing:
            return
        others = [
            other
            for other in self.targets.values()
            if other is not target
            and other.is_usable(moment.elapsed_ms)
            and other.service == target.service
        ]
        wish = workflow_placement.Wish(
            group.step, group.count_on_targets(), run.task.avoided
        )
        found = workflow_placement.choose_target(
            wish, others, self._make_risk(moment)
        )
        if found is None:
            return
        self._record(
            'slow run moved',
            workflow=group.job.workflow_id,
            task=run.task.name,
            attempt=run.attempt,
            target=target.target_id,
        )
        self._stop(run)

    def _find_sibling_rack(
        self, group: jobs.Group, siblings: abc.Mapping[str, int]
    ) -> str:
        if not group.step.needs_one_rack or not siblings:
            return ''
        return self.targets[next(iter(siblings))].rack

    def _note_failed(
        self,
        target: targets_module.Target,
        run: jobs.Run,
        moment: clock.Moment,
    ) -> None:
        task = run.task
        job = task.group.job
        is_first_place = target.target_id not in task.avoided
        if is_first_place and not task.avoided:
            target.health = target_health.note_failure(
                target.health, job.workflow_id, moment.elapsed_ms
            )
            if target.health.is_suspect(moment.elapsed_ms):
                self._record(
                    'target suspect',
                    target=target.target_id,
                    cause='several workflows failed there',
                )
        if is_first_place:
            task.avoided = (*task.avoided, target.target_id)
        if not job.is_active or task.is_done or task.group.step.is_lasting:
            return
        members = [task]
        if task.group.step.is_gang:
            members = task.group.tasks
        for member in members:
            member.failures += 1
        if task.failures >= job.terms.attempts_limit:
            cause = f'task {task.name} failed {task.failures} times'
            self._end(job, records.Phase.FAILED, cause, moment)

    def _note_done(
        self,
        target: targets_module.Target,
        run: jobs.Run,
        moment: clock.Moment,
    ) -> None:
        target.health = target_health.note_success(target.health)
        task = run.task
        job = task.group.job
        if not job.is_active or task.group.step.is_lasting:
            return
        job.finish_task(task)
        for other in list(task.runs.values()):
            self._stop(other)
        if job.is_complete:
            self._end(job, records.Phase.COMPLETED, '', moment)

    def _end(
        self,
        job: jobs.Job,
        phase: records.Phase,
        cause: str,
        moment: clock.Moment,
    ) -> None:
        """End a workflow; what still runs is stopped after the commit."""
        job.phase = phase
        job.cause = cause
        job.ended_at_ms = moment.wall_ms
        self._active.pop(job.workflow_id, None)
        self._mark(job)
        self._record(
            'workflow ended',
            workflow=job.workflow_id,
            phase=phase.name,
            cause=cause,
            after_ms=moment.elapsed_ms - job.accepted_at_ms,
        )
        for run in job.list_runs():
            run.is_stopping = True
            if run.is_sent:
                job.effects.append(
                    effects.SendStop(run.target_id, run.task.name, run.attempt)
                )

    def _stop(self, run: jobs.Run) -> None:
        """Stop a run whose end is then listed by its executor."""
        run.is_stopping = True
        if run.is_sent:
            self._immediate.append(
                effects.SendStop(run.target_id, run.task.name, run.attempt)
            )

    def _drop_run(self, run: jobs.Run) -> None:
        target = self.targets.get(run.target_id)
        if target is not None:
            target.remove(run)
        run.task.group.job.remove_run(run)

    def _lose(self, run: jobs.Run, cause: str, moment: clock.Moment) -> None:
        """Note that a run has certainly ended without a word about how."""
        job = run.task.group.job
        self._record(
            'run lost',
            workflow=job.workflow_id,
            task=run.task.name,
            attempt=run.attempt,
            target=run.target_id,
            cause=cause,
        )
        self._drop_run(run)
        self._mark(job)
        self._break_gang(run.task)

    def _break_gang(self, task: jobs.Task) -> None:
        """Stop the other members of a gang after one of them has ended."""
        group = task.group
        if not group.step.is_gang or group.is_complete:
            return
        for member in group.tasks:
            for run in member.runs.values():
                if not run.is_stopping:
                    self._stop(run)

    def _evacuate(
        self, target: targets_module.Target, moment: clock.Moment
    ) -> None:
        """Move what will not end before a draining executor leaves."""
        left_ms = target.leaves_deadline_ms - moment.elapsed_ms
        for run in list(target.runs.values()):
            group = run.task.group
            if group.step.is_lasting:
                self._stop(run)
            elif group.step.is_checkpointing:
                share = 1 - run.progress_percent / 100
                needed_ms = group.find_estimate_ms() * share
                if needed_ms + EVACUATION_MS > left_ms:
                    self._stop(run)

    def _note_stalls(
        self, target: targets_module.Target, moment: clock.Moment
    ) -> None:
        """Move the work of a target on which everything stands still."""
        now_ms = moment.elapsed_ms
        moving = [
            run
            for run in target.runs.values()
            if run.is_confirmed
            and not run.is_stopping
            and not run.task.group.step.is_lasting
        ]
        if not moving or any(
            now_ms - run.progress_at_ms < STALL_MS for run in moving
        ):
            return
        target.health = target_health.note_stall(target.health, now_ms)
        self._record(
            'target suspect',
            target=target.target_id,
            cause='its runs stand still',
            runs=len(moving),
        )
        for run in moving:
            self._stop(run)


def _make_candidate(job: jobs.Job) -> workflow_order.Candidate:
    return workflow_order.Candidate(
        job.terms.priority,
        job.terms.is_prompt,
        any(step.is_lasting for step in job.workflow.steps),
        job.accepted_at_ms,
        job.objective_ms,
        job.find_remaining_ms(),
    )
