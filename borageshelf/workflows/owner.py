"""Deterministic core of the owner of all workflows; no I/O.

The runtime passes it the requests of callers and the messages of agents,
commits the batches of changes that it returns, and carries out the effects
that each commit releases. A start is sent, an end acknowledged and a caller
answered only after the commit of the state that causes it, so that a new owner
finds this state in the store.
"""

from collections import abc
import dataclasses
from typing import Any, Final

import msgspec

from borageshelf import clock
from borageshelf.decisions import target_health
from borageshelf import measurements
from borageshelf.model import workflows
from borageshelf.ports import task_executor
from borageshelf.workflows import admission
from borageshelf.workflows import cancellations
from borageshelf.workflows import checkpoints
from borageshelf.workflows import copies
from borageshelf.workflows import crashes
from borageshelf.workflows import effects
from borageshelf.workflows import end_proofs
from borageshelf.workflows import evacuation_control
from borageshelf.workflows import fleet
from borageshelf.workflows import fleet_totals
from borageshelf.workflows import hand_over
from borageshelf.workflows import idle
from borageshelf.workflows import jobs
from borageshelf.workflows import messages
from borageshelf.workflows import path_times
from borageshelf.workflows import place_waiting
from borageshelf.workflows import records
from borageshelf.workflows import run_progress
from borageshelf.workflows import scheduler
from borageshelf.workflows import silence
from borageshelf.workflows import targets
from borageshelf.workflows import vm_list

# The platform's protocol allows 32 entries in one commit; the expected
# revision and the head take two of them.
COMMIT_ENTRIES_LIMIT: Final = 30
# A target that refused a start is tried again after one report interval.
START_REFUSAL_PAUSE_MS: Final = 400
# Reserved for the stop of a checkpointing task, which takes up to 900 ms (site
# files).
CHECKPOINT_STOP_MS: Final = 1_200
# Agents report every 400 ms. After a longer gap the agent, the network or
# this process was paused.
REPORT_GAP_LIMIT_MS: Final = 900
# A filler that stays below this pace for longer than the limit is moved. The
# stop with a checkpoint and the new start cost about one report interval.
SLOW_PACE_PERCENT: Final = 50
SLOW_RUN_LIMIT_MS: Final = 1_200
# Agents find a new owner within about a second. Until then the capacity of
# the fleet is unknown.
FLEET_DISCOVERY_MS: Final = 2_000
# The next commit makes room for cancellations, unless the store is away.
CANCEL_RETRY_AFTER_S: Final = 1

UNKNOWN_ORIGIN: Final = messages.Origin()
RecordEvent = abc.Callable[..., None]


@dataclasses.dataclass(frozen=True)
class Batch:
    """Changes that are committed together.

    :param jobs: workflows whose state is written
    :param phases: phase of each workflow as written
    :param writes: keys and their new values
    :param removed: keys to remove
    :param expired_ids: ended workflows whose states are removed
    :param effects: effects of each workflow that the commit releases
    :param cancelled: changed pages of cancellations, also among the above
    """

    jobs: tuple[jobs.Job, ...]
    phases: tuple[records.Phase, ...]
    writes: tuple[tuple[str, bytes], ...]
    removed: tuple[str, ...]
    expired_ids: tuple[str, ...]
    effects: tuple[tuple[effects.Effect, ...], ...]
    cancelled: cancellations.Changes = cancellations.Changes()

    @property
    def is_empty(self) -> bool:
        """Tell whether there is nothing to write."""
        return not (self.writes or self.removed)


@dataclasses.dataclass(frozen=True)
class ArchivedWorkflow:
    """A workflow that has ended and has no run left."""

    phase: records.Phase
    ended_at_ms: int


class Owner:
    """State of all workflows and targets, and the decisions on them.

    :param silence_limits: times after the last report by which the runs of a
        silent target have ended, also if its VM was suspended meanwhile
    :param retention_ms: how long the state of an ended workflow can be read
    :param now_ms: elapsed time of the takeover
    :param former_deadlines: when the runs under grants of former owners have
        ended, except for targets that the former head names
    :param encode: encodes a record for the store
    :param record: writes the log line of a decision
    :param handed_over: knows those targets, and names silent ones again
    :param remote_factor: how many times as long tasks take on another rack
    """

    def __init__(
        self,
        epoch: int,
        silence_limits: silence.Limits,
        retention_ms: int,
        now_ms: int,
        former_deadlines: silence.Deadlines,
        encode: abc.Callable[[Any], bytes],
        record: RecordEvent,
        handed_over: hand_over.HandOver | None = None,
        remote_factor: float = 1.0,
    ) -> None:
        self.epoch = epoch
        self.jobs: dict[str, jobs.Job] = {}
        self._handed_over = handed_over or hand_over.HandOver()
        self._fleet = fleet.Fleet(former_deadlines, self._handed_over, now_ms)
        self.targets = self._fleet.targets
        self._handed_over.watch(self.targets)
        self.archive: dict[str, ArchivedWorkflow] = {}
        self.set_aside_ids: set[str] = set()
        self.cancellations = cancellations.Cancellations(epoch, encode)
        self._silence_limits = silence_limits
        self._retention_ms = retention_ms
        discovery_deadline_ms = now_ms + FLEET_DISCOVERY_MS
        self._encode = encode
        self._record = record
        self._dirty_jobs: dict[str, jobs.Job] = {}
        self._active_jobs: dict[str, jobs.Job] = {}
        self._immediate_effects: list[effects.Effect] = []
        self._expired_workflow_ids: list[str] = []
        self._next_expiry_ms = 0
        self._vm_list = vm_list.VmList(record)
        self._crash_tracker = crashes.CrashTracker(self._fleet, record)
        self.scheduler = scheduler.Scheduler(
            self._fleet,
            self._crash_tracker,
            self.set_aside,
            place_waiting.PlaceWaits(self._fleet, remote_factor, record),
        )
        self.evacuation = evacuation_control.EvacuationControl(
            self._fleet,
            self.scheduler.predict_latency_share,
            record,
            discovery_deadline_ms,
        )
        self._admission = admission.Admission(
            self.jobs,
            self._active_jobs,
            self.targets,
            self.cancellations,
            discovery_deadline_ms,
        )
        self._copier = copies.Copier(self._fleet, self.scheduler, record)
        self._paths = path_times.PathTimes()

    # Stored state.

    def restore(
        self,
        spec: records.SpecRecord,
        state: records.StateRecord,
        moment: clock.Moment,
    ) -> None:
        """Load a workflow that an earlier owner has stored."""
        age_ms = max(moment.wall_ms - spec.terms.accepted_at_ms, 0)
        job = jobs.Job(spec.workflow, spec.terms, moment.elapsed_ms - age_ms)
        job.restore(state, moment.elapsed_ms)
        self.jobs[job.workflow_id] = job
        if job.is_active:
            self._active_jobs[job.workflow_id] = job
        for run in job.list_runs():
            target = self._fleet.get_or_add(run.target_id)
            target.add_run(run)
            if run.task.group.step.is_lasting:
                self._crash_tracker.watch_lasting_run(run)
            run.is_isolated = run.is_isolated and target.isolated_run is None
            if run.is_isolated:
                self._crash_tracker.isolate(target, run, moment.elapsed_ms)
        if not job.is_active and not job.live_runs:
            self._mark_dirty(job)

    def restore_ended(
        self, workflow_id: str, state: records.StateRecord
    ) -> None:
        """Load the final state of a workflow that has ended."""
        self.archive[workflow_id] = ArchivedWorkflow(
            state.phase, state.ended_at_ms
        )

    def set_aside(self, workflow_id: str, detail: str) -> None:
        """Leave out a workflow whose records or state can't be used.

        All others go on. What has become of it is unknown, and callers are
        told so.
        """
        self._record('workflow set aside', workflow=workflow_id, detail=detail)
        self.set_aside_ids.add(workflow_id)
        self._active_jobs.pop(workflow_id, None)

    def is_set_aside(self, request: messages.Request) -> bool:
        """Tell whether a request is about a workflow that was left out."""
        if isinstance(request, messages.SubmitRequest):
            return request.workflow.workflow_id in self.set_aside_ids
        if isinstance(request, messages.CountRequest):
            return False
        return request.workflow_id in self.set_aside_ids

    # Requests of callers.

    def submit(
        self,
        workflow: workflows.Workflow,
        queue: workflows.Queue,
        token: int,
        moment: clock.Moment,
        origin: messages.Origin = UNKNOWN_ORIGIN,
    ) -> None:
        """Accept or refuse a workflow; the answer is a ``Reply`` effect.

        Submission is idempotent: a workflow that is already known is accepted
        again, without a second execution.
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
        decision = self._admission.decide(workflow, terms, moment)
        if isinstance(decision, admission.Refusal):
            self._record(
                'workflow refused',
                workflow=workflow_id,
                queue=queue.name,
                retry_after_s=decision.retry_after_s,
                **decision.details,
                **origin.describe(moment.wall_ms),
            )
            self._reply(token, effects.Outcome.REFUSED, decision.retry_after_s)
            return
        terms = msgspec.structs.replace(terms, is_prompt=decision.is_prompt)
        job = jobs.Job(workflow, terms, moment.elapsed_ms)
        job.waiters.append(token)
        self.jobs[workflow_id] = job
        self._active_jobs[workflow_id] = job
        self._mark_dirty(job)
        self._record(
            'workflow taken',
            workflow=workflow_id,
            queue=queue.name,
            tasks=job.task_count,
            objective_ms=job.objective_ms,
            expected_ms=decision.expected_ms,
            is_prompt=decision.is_prompt,
            **origin.describe(moment.wall_ms),
        )

    def cancel(
        self,
        workflow_id: str,
        token: int,
        moment: clock.Moment,
        origin: messages.Origin = UNKNOWN_ORIGIN,
    ) -> None:
        """Cancel a workflow; the answer is a ``Reply`` effect.

        ``ABSENT`` may be answered to the caller only after the next commit,
        which stores that the id is cancelled.
        """
        job = self.jobs.get(workflow_id)
        if job is None:
            if workflow_id in self.archive:
                self._reply(token, effects.Outcome.FOUND)
                return
            is_kept = self.cancellations.add(workflow_id, moment)
            self._record(
                'unknown workflow cancelled',
                workflow=workflow_id,
                is_kept=is_kept,
                **origin.describe(moment.wall_ms),
            )
            if is_kept:
                self._reply(token, effects.Outcome.ABSENT)
            else:
                self._reply(
                    token, effects.Outcome.REFUSED, CANCEL_RETRY_AFTER_S
                )
            return
        if job.is_active:
            self._end_workflow(
                job, records.Phase.CANCELLED, 'cancelled', moment
            )
        if job.is_committed and job.workflow_id not in self._dirty_jobs:
            if job.visible_phase is not records.Phase.ACTIVE:
                self._reply(token, effects.Outcome.FOUND)
                return
        job.effects.append(effects.Reply((token,), effects.Outcome.FOUND))
        self._mark_dirty(job)

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
        """Return the number of workflows that have not begun, by queue."""
        counts: dict[str, int] = {}
        for job in self._active_jobs.values():
            if job.is_committed and not job.has_begun:
                queue = job.terms.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    # Messages of agents.

    def attach(
        self, hello: messages.AgentHello, session: int, moment: clock.Moment
    ) -> targets.Target:
        """Begin a session of an agent.

        Nothing is placed on the target before the session's snapshot.
        """
        target = self._fleet.get_or_add(hello.target_id)
        target.session = session
        target.is_ready = False
        target.data_centre = hello.data_centre
        self.evacuation.note_target(target)
        if target.announced_incarnation != hello.incarnation:
            target.announced_incarnation = hello.incarnation
            target.announced_at_ms = moment.elapsed_ms
        target.sent_spec_ids.clear()
        target.clear_uncommitted_ends()
        target.in_touch_at_ms = moment.elapsed_ms
        self._fleet.touch(target)
        return target

    def detach(self, target_id: str, session: int) -> None:
        """End a session; its runs may continue until the grant ends."""
        target = self.targets.get(target_id)
        if target is not None and target.session == session:
            target.session = targets.UNATTACHED
            target.is_ready = False
            self._fleet.touch(target)

    def extend_grant(
        self, target: targets.Target, moment: clock.Moment
    ) -> bool:
        """Extend the grant of a target whose report is answered with one.

        :return: False if the stored head may name the target as silent, so
            that the answer has to wait for a commit
        """
        self.note_contact(target, moment)
        self.note_grant_request(target, moment)
        if self.is_named_silent(target):
            return False
        self._extend_lost_deadlines(target, moment.elapsed_ms)
        return True

    def note_grant_request(
        self, target: targets.Target, moment: clock.Moment
    ) -> None:
        """Note a report that requests a grant, whether it gets one or not."""
        target.in_touch_at_ms = moment.elapsed_ms

    def is_named_silent(self, target: targets.Target) -> bool:
        """Tell whether the head that is stored may name a target as silent."""
        return self._handed_over.is_named(target.target_id)

    def note_contact(
        self, target: targets.Target, moment: clock.Moment
    ) -> None:
        """Note a report, also one that requests no grant."""
        target.contact_at_ms = moment.elapsed_ms

    def apply_snapshot(
        self,
        target: targets.Target,
        snapshot: messages.Snapshot,
        moment: clock.Moment,
    ) -> list[jobs.Run]:
        """Reconcile the runs of an executor with the runs placed on it.

        The fencing token of the session prevents orders of earlier sessions
        from taking effect, so a run that is not listed does not exist.

        :return: the runs that continue
        """
        was_draining = target.is_draining
        self._apply_state(target, snapshot.state, moment)
        if target.incarnation != snapshot.state.incarnation:
            target.incarnation = snapshot.state.incarnation
            target.health = target_health.Health()
        target.is_ready = True
        target.missed_readings = 0
        target.is_listed_up = None
        target.suspicions.clear()
        target.has_given_up_runs = False
        ended = {(end.task, end.attempt) for end in snapshot.ended}
        listed = {(row.task, row.attempt): row for row in snapshot.running}
        executor_hash = target.compute_executor_hash()
        missing = []
        for key, run in list(target.runs.items()):
            if key in listed:
                run.is_sent = True
                run.note_confirmed()
                if run.executor_hash != executor_hash:
                    run.executor_hash = executor_hash
                    self._mark_dirty(run.task.group.job)
            elif key not in ended and run.is_sent and snapshot.has_all_ends:
                missing.append(run)
        if not was_draining:
            crashed = [
                run
                for run in missing
                if run.executor_hash
                not in (jobs.COUNTED_EXECUTOR_HASH, executor_hash)
            ]
            self._handle_crash(target, crashed, None, moment)
        for run in missing:
            self._drop_lost_run(
                run,
                'not listed in the snapshot',
                end_proofs.Sign.NOT_IN_SNAPSHOT,
                f'snapshot of {snapshot.state.incarnation}',
                moment,
            )
        if snapshot.has_all_ends:
            target.unproved_runs.clear()
        target.unexpected_runs = {
            key for key in listed if key not in target.runs
        }
        for task, attempt in target.unexpected_runs:
            self._immediate_effects.append(
                effects.SendStop(target.target_id, task, attempt)
            )
        for end in snapshot.ended:
            self.handle_run_end(target, end, moment)
        self.update_progress(target, snapshot.running, moment)
        for run in target.runs.values():
            if run.is_stopping or not run.task.group.job.is_active:
                self._stop_run(run)
        target.contact_at_ms = moment.elapsed_ms
        return [run for key, run in target.runs.items() if key in listed]

    def update_target_state(
        self,
        target: targets.Target,
        state: messages.TargetState,
        moment: clock.Moment,
    ) -> None:
        """Apply a changed capacity of a target, or the start of its drain."""
        was_draining = target.is_draining
        self._apply_state(target, state, moment)
        if target.is_draining and not was_draining:
            self._record('target drains', target=target.target_id)
            self._stop_for_drain(target, moment)

    def handle_executor_gone(
        self,
        target: targets.Target,
        gone: messages.ExecutorGone,
        moment: clock.Moment,
    ) -> None:
        """Drop the runs of an executor that has gone, once that is proved."""
        target.is_ready = False
        target.unexpected_runs.clear()
        self._fleet.touch(target)
        self._record(
            'executor gone',
            target=target.target_id,
            incarnation=gone.incarnation,
            cause=gone.cause.value,
            is_proof=end_proofs.is_proof(gone.cause),
            silent_ms=gone.silent_ms,
            is_draining=target.is_draining,
            runs=len(target.runs),
        )
        measurements.EXECUTORS_GONE.labels(gone.cause.value).inc()
        if not end_proofs.is_proof(gone.cause):
            is_announced = gone.incarnation == target.announced_incarnation
            target.suspicions[gone.incarnation] = end_proofs.Suspicion(
                gone,
                moment.elapsed_ms,
                target.announced_at_ms if is_announced else 0,
            )
            return
        former = target.suspicions.pop(gone.incarnation, None)
        is_listed_up = former is not None and former.is_listed_up is True
        # The list names no incarnations.
        is_still_up = is_listed_up and not end_proofs.has_restarted(
            gone.incarnation, target.announced_incarnation
        )
        if gone.cause is messages.GoneCause.LEASE_ENDED and is_still_up:
            # The executor could not be reached; it has not crashed.
            gone = msgspec.structs.replace(gone, is_orderly=True)
        self._drop_runs_of_executor(
            target,
            gone,
            end_proofs.Sign(gone.cause.value),
            moment.elapsed_ms,
            moment,
        )

    def _drop_runs_of_executor(
        self,
        target: targets.Target,
        gone: messages.ExecutorGone,
        proof: end_proofs.Sign,
        reported_at_ms: int,
        moment: clock.Moment,
    ) -> None:
        """Drop the runs of an incarnation of an executor.

        A run that another incarnation may have is kept until a snapshot shows
        whether it has, or until its order has expired.

        :param reported_at_ms: elapsed time of the report
        """
        is_repeated = target.gone_incarnation == gone.incarnation
        target.gone_incarnation = gone.incarnation
        gone_hash = targets.hash_incarnation(gone.incarnation)
        lost = [run for run in target.runs.values() if run.is_sent]
        # An executor that drains may crash, too; its young runs show it, as
        # it gets none in the time before it leaves.
        has_crashed = (
            gone.cause is not messages.GoneCause.LEFT and not gone.is_orderly
        )
        if has_crashed:
            crashed = [
                run
                for run in lost
                if run.executor_hash == gone_hash
                and (
                    gone.reached is None
                    or (run.task.name, run.attempt) in gone.reached
                )
            ]
            crashed_at_ms = reported_at_ms - gone.silent_ms
            if crashed or not is_repeated:
                self._handle_crash(target, crashed, crashed_at_ms, moment)
        for run in lost:
            key = (run.task.name, run.attempt)
            is_of_incarnation = run.executor_hash == gone_hash or (
                run.executor_hash == jobs.COUNTED_EXECUTOR_HASH
                and gone.reached is not None
                and key in gone.reached
            )
            is_unproved = (
                not is_of_incarnation
                or key in gone.unproved
                or (
                    gone.reached is None
                    and not run.is_confirmed
                    and gone.cause is not messages.GoneCause.REPLACED
                )
            )
            if is_unproved:
                ordered_by_ms = moment.elapsed_ms
                if is_of_incarnation:
                    ordered_by_ms = reported_at_ms - gone.order_age_ms
                self._keep_unproved_run(target, key, ordered_by_ms, gone.cause)
                if run.executor_hash == gone_hash:
                    # A report may be repeated, even to the next owner.
                    run.executor_hash = jobs.COUNTED_EXECUTOR_HASH
                self._mark_dirty(run.task.group.job)
            else:
                self._drop_lost_run(
                    run,
                    'the executor has gone',
                    proof,
                    gone.incarnation,
                    moment,
                )

    def _keep_unproved_run(
        self,
        target: targets.Target,
        key: tuple[str, int],
        ordered_by_ms: int,
        cause: messages.GoneCause,
    ) -> None:
        """Keep a run until a snapshot shows it, or its start has expired.

        The wait counts from the start, so repeated reports don't prolong it.
        Nothing shortens it once the executor was back under its id, as a start
        may be very late.
        """
        former = target.unproved_runs.get(
            key, targets.UnprovedRun(ordered_by_ms, 0)
        )
        ordered_by_ms = min(ordered_by_ms, former.ordered_by_ms)
        expiry_ms = ordered_by_ms + end_proofs.compute_order_limit_ms(cause)
        expiry_ms = max(expiry_ms, former.expiry_ms)
        target.unproved_runs[key] = targets.UnprovedRun(
            ordered_by_ms, expiry_ms
        )

    def handle_run_end(
        self,
        target: targets.Target,
        end: messages.Ended,
        moment: clock.Moment,
    ) -> None:
        """Handle the end of a run, which is acknowledged once committed."""
        acknowledge = effects.Acknowledge(
            target.target_id, target.session, end.number
        )
        target.add_uncommitted_end(end.number)
        key = (end.task, end.attempt)
        target.unexpected_runs.discard(key)
        self._fleet.touch(target)
        run = target.runs.get(key)
        if run is None:
            self._record(
                'end of an unknown run',
                task=end.task,
                attempt=end.attempt,
                target=target.target_id,
                how=end.kind.value,
            )
            # An earlier session may have reported the same end, and the
            # changes that it caused may not be committed yet.
            known = self.jobs.get(end.task.split('.')[0])
            if known is None:
                self._immediate_effects.append(acknowledge)
            else:
                known.effects.append(acknowledge)
                self._mark_dirty(known)
                task = known.find_task(end.task)
                if task is not None and end.attempt <= task.attempts:
                    self._use_end_of_dropped_run(task, end, moment)
            return
        job = run.task.group.job
        job.note_run_seen()
        job.effects.append(acknowledge)
        self._mark_dirty(job)
        self._copier.note_end(run, end.kind, moment.elapsed_ms)
        self._paths.note_end(run, end.kind, moment.elapsed_ms)
        self._drop_run(run, target.find_earliest_end_ms(run))
        task = run.task
        if run_progress.is_leading(run):
            task.newest_checkpoint.note(
                end.checkpoint, end.attempt, checkpoints.ENDED_PERCENT
            )
        self._record(
            'run ended',
            workflow=job.workflow_id,
            task=end.task,
            attempt=end.attempt,
            target=target.target_id,
            how=end.kind.value,
            ran_ms=moment.elapsed_ms - run.started_at_ms,
        )
        if task.is_done and not task.group.step.is_gang:
            # Another run of the task was first.
            return
        if end.kind is task_executor.EndKind.FAILED:
            self._handle_failure(target, run, moment)
        elif end.kind is task_executor.EndKind.DONE:
            self._handle_success(target, run, moment)
        self._break_gang(task)

    def handle_start_refusal(
        self,
        target: targets.Target,
        refused: messages.StartRefused,
        moment: clock.Moment,
    ) -> None:
        """Drop a run whose start was refused; it certainly does not exist."""
        run = target.runs.get((refused.task, refused.attempt))
        target.unexpected_runs.discard((refused.task, refused.attempt))
        self._fleet.touch(target)
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
        self._mark_dirty(job)
        if refused.is_unhealthy:
            self._change_health(
                target,
                target_health.record_refusal(target.health, moment.elapsed_ms),
                'a start was refused as unhealthy',
                moment,
            )
        elif not refused.retry_in_ms and not refused.is_neutral:
            # Other reasons, too, may hold for every start, so that a task
            # would go round among such targets.
            self._change_health(
                target,
                target_health.record_repeated_refusal(
                    target.health, moment.elapsed_ms
                ),
                'starts are refused again and again',
                moment,
            )
        if not target.is_evacuated:
            target.refusal_deadline_ms = moment.elapsed_ms + (
                refused.retry_in_ms or START_REFUSAL_PAUSE_MS
            )
        self._break_gang(run.task)

    def note_start_sent(
        self, target: targets.Target, run: jobs.Run, now_ms: int
    ) -> None:
        """Note that a start is sent to the present incarnation of a target.

        The run may have been placed on a former one, which has gone before
        the commit.
        """
        run.is_sent = True
        run.started_at_ms = now_ms
        run.progress_at_ms = now_ms
        executor_hash = target.compute_executor_hash()
        if run.executor_hash != executor_hash:
            run.executor_hash = executor_hash
            self._mark_dirty(run.task.group.job)

    def handle_unsent_start(self, effect: effects.SendStart) -> None:
        """Drop a run whose start can't be sent; it does not exist."""
        target = self.targets.get(effect.target_id)
        if target is None:
            return
        run = target.runs.get((effect.task, effect.attempt))
        if run is not None and not run.is_sent:
            self._record(
                'start not sent',
                task=effect.task,
                attempt=effect.attempt,
                target=effect.target_id,
            )
            self._drop_run(run)
            self._mark_dirty(run.task.group.job)
            self._break_gang(run.task)

    def update_progress(
        self,
        target: targets.Target,
        rows: abc.Iterable[messages.Row],
        moment: clock.Moment,
    ) -> None:
        """Update the progress and the newest checkpoints of runs.

        Runs that are too slow or have stalled are moved. Time in which the
        target did not report any progress does not count as a stall.

        :param rows: empty if the agent knows no progress at this time
        """
        rows = tuple(rows)
        if not rows:
            return
        self._excuse_silence(target, moment.elapsed_ms)
        for row in rows:
            run = target.runs.get((row.task, row.attempt))
            if run is None:
                continue
            if row.is_start_open:
                # No proof that the run ends with this incarnation.
                run.task.group.job.note_run_seen()
            else:
                run.note_confirmed()
            self._paths.note_pace(run, row.pace_percent, moment.elapsed_ms)
            is_paced = row.pace_percent < path_times.FULL_PACE_PERCENT
            if row.progress_percent != run.progress_percent or is_paced:
                run.task.group.job.record_progress(
                    run, row.progress_percent, moment.elapsed_ms
                )
            if run_progress.is_leading(run):
                run.task.newest_checkpoint.note(
                    row.checkpoint, row.attempt, row.progress_percent
                )
            if row.pace_percent >= SLOW_PACE_PERCENT:
                run.slow_since_ms = 0
            elif not run.slow_since_ms:
                run.slow_since_ms = moment.elapsed_ms
            elif moment.elapsed_ms - run.slow_since_ms > SLOW_RUN_LIMIT_MS:
                self._move_slow_run(target, run, moment)
        self._stop_stalled_runs(target, moment)

    def _excuse_silence(self, target: targets.Target, now_ms: int) -> None:
        """Do not count a gap between two reports as time without progress."""
        silent_ms = now_ms - target.progress_reported_at_ms
        target.progress_reported_at_ms = now_ms
        if silent_ms <= REPORT_GAP_LIMIT_MS:
            return
        for run in target.runs.values():
            run.progress_at_ms = min(run.progress_at_ms + silent_ms, now_ms)
            if run.slow_since_ms:
                run.slow_since_ms = min(run.slow_since_ms + silent_ms, now_ms)

    # Time.

    def advance(self, moment: clock.Moment) -> None:
        """Drop the runs of lost targets; expire states of ended workflows."""
        now_ms = moment.elapsed_ms
        self._crash_tracker.forget_crashes(now_ms)
        for target in self.targets.values():
            self._crash_tracker.end_expired_isolation(target, now_ms)
            self._drop_expired_runs(target, moment)
            for incarnation, suspicion in list(target.suspicions.items()):
                if now_ms >= suspicion.deadline_ms:
                    del target.suspicions[incarnation]
            if target.is_ready or now_ms < target.lost_deadlines.first_ms:
                continue
            granted = [
                run
                for key, run in target.runs.items()
                if run.is_sent
                and key not in target.unproved_runs
                and self._vm_list.has_ended_in_silence(target, run, now_ms)
            ]
            if granted:
                self._record('target lost', target=target.target_id)
                target.has_given_up_runs = True
            for run in granted:
                self._drop_lost_run(
                    run,
                    'the grant has ended',
                    end_proofs.Sign.SILENCE,
                    f'no report until {target.find_lost_deadline_ms(run)}',
                    moment,
                )
        if now_ms >= self._next_expiry_ms:
            self._next_expiry_ms = now_ms + 1_000
            self.cancellations.expire(now_ms)
            for workflow_id, archived in list(self.archive.items()):
                age_ms = moment.wall_ms - archived.ended_at_ms
                if age_ms > self._retention_ms:
                    del self.archive[workflow_id]
                    self._expired_workflow_ids.append(workflow_id)

    def await_listings(self) -> None:
        """Let the list of VMs decide on suspected and silent targets."""
        self._vm_list.is_used = True

    def is_listing_urgent(self, moment: clock.Moment) -> bool:
        """Tell whether tasks wait for the list of VMs."""
        return self._vm_list.is_urgent(
            self.targets.values(), moment.elapsed_ms
        )

    def needs_listing(self, moment: clock.Moment) -> bool:
        """Tell whether the list of VMs has to be read now."""
        return self._vm_list.needs_reading(
            self.targets.values(), moment.elapsed_ms
        )

    def apply_listing(
        self, reading: end_proofs.Reading, moment: clock.Moment
    ) -> None:
        """Drop the runs of executors that the list proves to have gone."""
        confirmed = self._vm_list.apply_reading(self.targets.values(), reading)
        for target, suspicion in confirmed:
            del target.suspicions[suspicion.gone.incarnation]
            self._record(
                'suspected executor not listed',
                target=target.target_id,
                incarnation=suspicion.gone.incarnation,
                cause=suspicion.gone.cause.value,
                waited_ms=moment.elapsed_ms - suspicion.received_at_ms,
            )
            self._drop_runs_of_executor(
                target,
                suspicion.gone,
                end_proofs.Sign.NOT_LISTED_AS_UP,
                suspicion.received_at_ms,
                moment,
            )

    def note_failed_listing(self, requested_at: clock.Moment) -> None:
        """Note that the list of VMs could not be read."""
        self._vm_list.note_failed_reading(requested_at.elapsed_ms)

    def _drop_expired_runs(
        self, target: targets.Target, moment: clock.Moment
    ) -> None:
        """Drop the runs of an executor that has not come back in time."""
        is_back = target.announced_incarnation != target.gone_incarnation
        is_attached = target.session != targets.UNATTACHED
        if is_attached and is_back:
            return
        # A silent agent may not have seen that the executor is back.
        silent_ms = moment.elapsed_ms - target.contact_at_ms
        is_in_touch = is_attached and silent_ms <= REPORT_GAP_LIMIT_MS
        for key, unproved in list(target.unproved_runs.items()):
            run = target.runs[key]
            order = end_proofs.OpenOrder(
                unproved.ordered_by_ms,
                unproved.expiry_ms,
                is_in_touch,
                target.is_listed_up is not None,
                target.missed_readings,
            )
            if end_proofs.has_expired(order, moment.elapsed_ms) and (
                is_in_touch
                or self._vm_list.has_ended_in_silence(
                    target, run, moment.elapsed_ms
                )
            ):
                self._drop_lost_run(
                    run,
                    'its order has expired',
                    end_proofs.Sign.ORDER_EXPIRED,
                    f'ordered by {unproved.ordered_by_ms}',
                    moment,
                )

    def schedule(self, moment: clock.Moment) -> None:
        """Place waiting tasks on targets that have room."""
        if not self.evacuation.may_place(moment.elapsed_ms):
            return
        self.evacuation.release_room()
        placed = self.scheduler.place_waiting_tasks(self._active_jobs, moment)
        copied = self._copier.start_copies(self._active_jobs, moment)
        for job in (*placed, *copied):
            self._mark_dirty(job)
        for run in self.evacuation.choose_moves(moment.elapsed_ms):
            self._stop_run(run)

    # Commits.

    def take_batch(self) -> Batch:
        """Return the next changes to commit."""
        chosen: list[jobs.Job] = []
        cancelled = self.cancellations.take_changes()
        writes = list(cancelled.writes)
        removed = list(cancelled.removed)
        released = []
        for job in list(self._dirty_jobs.values()):
            is_finished = not job.is_active and not job.live_runs
            entry_count = 1 + (not job.has_spec_key or is_finished)
            if len(writes) + len(removed) + entry_count > COMMIT_ENTRIES_LIMIT:
                break
            del self._dirty_jobs[job.workflow_id]
            try:
                job_writes = self._encode_job(job, is_finished)
            except Exception as error:
                # An error that ended the ownership would meet the next owner.
                self._drop_unencodable(job, repr(error))
                continue
            chosen.append(job)
            writes += job_writes
            if is_finished:
                removed.append(records.make_spec_key(job.workflow_id))
            released.append(tuple(job.effects))
            job.effects = []
        expired_ids: list[str] = []
        while (
            self._expired_workflow_ids
            and len(writes) + len(removed) < COMMIT_ENTRIES_LIMIT
        ):
            expired_ids.append(self._expired_workflow_ids.pop())
            removed.append(records.make_state_key(expired_ids[-1]))
        return Batch(
            tuple(chosen),
            tuple(job.phase for job in chosen),
            tuple(writes),
            tuple(removed),
            tuple(expired_ids),
            tuple(released),
            cancelled,
        )

    def _encode_job(
        self, job: jobs.Job, is_finished: bool
    ) -> list[tuple[str, bytes]]:
        """Return the keys and values that store a workflow."""
        state_key = records.make_state_key(job.workflow_id)
        writes = [(state_key, self._encode(job.make_record()))]
        if not (is_finished or job.has_spec_key):
            spec = records.SpecRecord(job.workflow, job.terms)
            spec_key = records.make_spec_key(job.workflow_id)
            writes.append((spec_key, self._encode(spec)))
        return writes

    def _drop_unencodable(self, job: jobs.Job, detail: str) -> None:
        """Refuse a workflow that can't be stored, or set it aside."""
        if job.is_committed:
            self.set_aside(job.workflow_id, detail)
        else:
            self._drop_uncommitted(
                job, job.effects, effects.Outcome.INVALID, detail
            )

    def confirm_batch(self, batch: Batch) -> list[effects.Effect]:
        """Apply a committed batch and return the effects that it releases."""
        due_effects: list[effects.Effect] = []
        for job, phase, released in zip(
            batch.jobs, batch.phases, batch.effects, strict=True
        ):
            job.visible_phase = phase
            job.is_committed = True
            job.has_spec_key = True
            due_effects += released
            if job.waiters:
                tokens, job.waiters = tuple(job.waiters), []
                due_effects.append(
                    effects.Reply(tokens, effects.Outcome.ACCEPTED)
                )
            is_finished = (
                phase is not records.Phase.ACTIVE and not job.live_runs
            )
            if is_finished and job.workflow_id not in self._dirty_jobs:
                self.jobs.pop(job.workflow_id, None)
                self.archive[job.workflow_id] = ArchivedWorkflow(
                    phase, job.ended_at_ms
                )
        return due_effects

    def handle_failed_commit(self, batch: Batch, retry_after_s: int) -> None:
        """Handle a batch whose commit failed and certainly wrote nothing.

        Workflows that are not stored yet are refused. All other changes go
        into the next batch.
        """
        self._expired_workflow_ids += batch.expired_ids
        self.cancellations.handle_failed_commit(batch.cancelled)
        for job, released in zip(batch.jobs, batch.effects, strict=True):
            if job.is_committed:
                job.effects = [*released, *job.effects]
                self._dirty_jobs[job.workflow_id] = job
                continue
            self._drop_uncommitted(
                job,
                (*released, *job.effects),
                effects.Outcome.REFUSED,
                'the store refused the commit',
                retry_after_s,
            )

    def _drop_uncommitted(
        self,
        job: jobs.Job,
        unreleased: abc.Iterable[effects.Effect],
        outcome: effects.Outcome,
        cause: str,
        retry_after_s: int = 0,
    ) -> None:
        """Refuse a workflow of which nothing is stored.

        Its cancellations have to be repeated, because another copy of the
        submission may still arrive.

        :param unreleased: its effects, none of which is carried out
        """
        self._dirty_jobs.pop(job.workflow_id, None)
        self.jobs.pop(job.workflow_id, None)
        self._active_jobs.pop(job.workflow_id, None)
        for run in list(job.list_runs()):
            self._drop_run(run)
        for token in job.waiters:
            self._reply(token, outcome, retry_after_s)
        for effect in unreleased:
            if isinstance(effect, effects.Reply):
                for token in effect.tokens:
                    self._reply(token, effects.Outcome.UNKNOWN)
        self._record('workflow refused', workflow=job.workflow_id, cause=cause)

    def describe_fleet(self, moment: clock.Moment) -> dict[str, float]:
        """Return totals over the fleet, for the log."""
        return fleet_totals.describe(
            self.targets.values(),
            self._active_jobs.values(),
            self.scheduler.filler_effects,
            moment,
        )

    def describe_idle_workflows(
        self, moment: clock.Moment
    ) -> list[dict[str, Any]]:
        """Return why workflows have nothing at work, for the log."""
        return idle.describe_idle_workflows(
            self._active_jobs.values(), self._fleet, moment
        )

    def describe_waiting_tasks(
        self, moment: clock.Moment
    ) -> list[dict[str, Any]]:
        """Return why lasting tasks have no run, for the log."""
        return idle.describe_waiting_tasks(
            self._active_jobs.values(), self._fleet, moment
        )

    def mark_end_committed(self, effect: effects.Acknowledge) -> int | None:
        """Record that the state changes caused by an end are committed.

        :return: the number to acknowledge; None if the session has ended
        """
        target = self.targets.get(effect.target_id)
        if target is None or target.session != effect.session:
            return None
        return target.mark_end_committed(effect.number)

    def take_immediate_effects(self) -> list[effects.Effect]:
        """Return the effects that need no commit."""
        taken, self._immediate_effects = self._immediate_effects, []
        return taken

    @property
    def has_changes(self) -> bool:
        """Tell whether there are changes to commit."""
        return bool(
            self._dirty_jobs
            or self._expired_workflow_ids
            or self.cancellations.has_changes
        )

    # Helpers.

    def _extend_lost_deadlines(
        self, target: targets.Target, now_ms: int
    ) -> None:
        target.lost_deadlines = target.lost_deadlines.extend(
            self._silence_limits.count_from(now_ms)
        )

    def _apply_state(
        self,
        target: targets.Target,
        state: messages.TargetState,
        moment: clock.Moment,
    ) -> None:
        target.service = state.service
        target.capacity = state.capacity
        target.labels = state.labels
        target.rack = state.labels[1] if len(state.labels) > 1 else ''
        target.is_draining = state.is_draining
        target.leaves_deadline_ms = moment.elapsed_ms + state.leaves_in_ms
        target.cold_deadline_ms = moment.elapsed_ms + state.cold_left_ms
        self._fleet.touch(target)

    def _mark_dirty(self, job: jobs.Job) -> None:
        self._dirty_jobs[job.workflow_id] = job

    def _reply(
        self, token: int, outcome: effects.Outcome, retry_after_s: int = 0
    ) -> None:
        self._immediate_effects.append(
            effects.Reply((token,), outcome, retry_after_s)
        )

    def _move_slow_run(
        self,
        target: targets.Target,
        run: jobs.Run,
        moment: clock.Moment,
    ) -> None:
        """Move a throttled filler if another target is better.

        Only checkpointing tasks are moved; others would lose their work.
        """
        run.slow_since_ms = moment.elapsed_ms
        group = run.task.group
        step = group.step
        if run.is_stopping or step.is_lasting or not step.is_checkpointing:
            return
        better_target = self.scheduler.find_better_target(
            run, target, moment.elapsed_ms
        )
        if better_target is None:
            return
        self._record(
            'slow run moved',
            workflow=group.job.workflow_id,
            task=run.task.name,
            attempt=run.attempt,
            target=target.target_id,
        )
        self._stop_run(run)

    def _handle_failure(
        self,
        target: targets.Target,
        run: jobs.Run,
        moment: clock.Moment,
    ) -> None:
        """Count a failed run against its task and against its target.

        A failure counts only against the first target on which the task, or
        its gang, fails: one that fails on several targets is at fault itself.
        """
        task = run.task
        job = task.group.job
        is_first_failure_here = target.target_id not in task.avoided
        if is_first_failure_here and not task.avoided:
            self._change_health(
                target,
                target_health.record_failure(
                    target.health, job.workflow_id, moment.elapsed_ms
                ),
                'several workflows failed on the target',
                moment,
            )
        if is_first_failure_here:
            for member in task.group.list_members(task):
                member.avoided = (*member.avoided, target.target_id)
        self._count_failed_attempt(task, run.attempt, moment)

    def _count_failed_attempt(
        self, task: jobs.Task, attempt: int, moment: clock.Moment
    ) -> None:
        """Count a failed attempt; after the last one the workflow fails."""
        job = task.group.job
        if not job.is_active or task.is_done or task.group.step.is_lasting:
            return
        is_new = task.failed_attempts.add(attempt)
        if is_new and task.failures >= job.terms.attempts_limit:
            cause = f'task {task.name} failed {task.failures} times'
            self._end_workflow(job, records.Phase.FAILED, cause, moment)

    def _change_health(
        self,
        target: targets.Target,
        health: target_health.Health,
        cause: str,
        moment: clock.Moment,
    ) -> None:
        """Set the health of a target; a new pause of it is logged."""
        is_new_pause = (
            health.suspect_deadline_ms != target.health.suspect_deadline_ms
        )
        target.health = health
        if is_new_pause and health.is_suspect(moment.elapsed_ms):
            self._record(
                'target suspect',
                target=target.target_id,
                cause=cause,
                pause_ms=health.suspect_deadline_ms - moment.elapsed_ms,
                runs=len(target.runs),
            )

    def _handle_crash(
        self,
        target: targets.Target,
        crashed: abc.Sequence[jobs.Run],
        crashed_at_ms: int | None,
        moment: clock.Moment,
    ) -> None:
        """Count a crash; a task that is at fault fails its workflow."""
        for task in self._crash_tracker.record_crash(
            target, crashed, crashed_at_ms, moment
        ):
            job = task.group.job
            if job.is_active and not task.is_done:
                cause = (
                    f'executors crashed under task {task.name}'
                    f' {task.crash_history.crashes} times'
                )
                measurements.TASKS_AT_FAULT.inc()
                self._end_workflow(job, records.Phase.FAILED, cause, moment)

    def _handle_success(
        self,
        target: targets.Target,
        run: jobs.Run,
        moment: clock.Moment,
    ) -> None:
        target.health = target_health.record_success(target.health)
        task = run.task
        job = task.group.job
        if not job.is_active or task.group.step.is_lasting:
            return
        self._finish_task(task, moment)

    def _use_end_of_dropped_run(
        self, task: jobs.Task, end: messages.Ended, moment: clock.Moment
    ) -> None:
        """Use the end of a run that was taken for lost.

        The acknowledgement makes its end final. So nothing may start the task
        after a success, and a failure counts like any other.
        """
        job = task.group.job
        if end.kind is task_executor.EndKind.FAILED:
            self._count_failed_attempt(task, end.attempt, moment)
        if end.kind is not task_executor.EndKind.DONE or task.is_done:
            return
        if not job.is_active or task.group.step.is_lasting:
            return
        self._record(
            'success of a dropped run used',
            workflow=job.workflow_id,
            task=end.task,
            attempt=end.attempt,
            other_runs=len(task.runs),
        )
        self._finish_task(task, moment)
        if task.group.step.is_gang:
            for member in task.group.tasks:
                for run in list(member.runs.values()):
                    self._stop_run(run)

    def _finish_task(self, task: jobs.Task, moment: clock.Moment) -> None:
        """Mark a task as done, stop its runs, and complete its workflow."""
        job = task.group.job
        job.finish_task(task)
        if job.is_complete:
            self._end_workflow(job, records.Phase.COMPLETED, '', moment)
            return
        for run in task.runs.values():
            self._stop_after_commit(run)

    def _end_workflow(
        self,
        job: jobs.Job,
        phase: records.Phase,
        cause: str,
        moment: clock.Moment,
    ) -> None:
        """End a workflow; its remaining runs are stopped after the commit."""
        job.phase = phase
        job.cause = cause
        job.ended_at_ms = moment.wall_ms
        self._active_jobs.pop(job.workflow_id, None)
        self._mark_dirty(job)
        self._record(
            'workflow ended',
            workflow=job.workflow_id,
            phase=phase.name,
            cause=cause,
            **self._paths.take_description(job, moment.elapsed_ms),
        )
        for run in job.list_runs():
            self._stop_after_commit(run)

    def _stop_after_commit(self, run: jobs.Run) -> None:
        """Order the stop of a run once the cause of it is stored."""
        run.is_stopping = True
        if run.is_sent:
            stop = effects.SendStop(run.target_id, run.task.name, run.attempt)
            run.task.group.job.effects.append(stop)

    def _stop_run(self, run: jobs.Run) -> None:
        """Order the stop of a run, whose end its executor reports later."""
        run.is_stopping = True
        if run.is_sent:
            self._immediate_effects.append(
                effects.SendStop(run.target_id, run.task.name, run.attempt)
            )

    def _drop_run(self, run: jobs.Run, ended_at_ms: int | None = None) -> None:
        """Drop a run.

        :param ended_at_ms: elapsed time at which it may have ended; None if it
            never began
        """
        target = self.targets.get(run.target_id)
        if target is not None:
            target.remove_run(run)
            self._fleet.touch(target)
        run.task.group.job.remove_run(run, ended_at_ms)

    def _drop_lost_run(
        self,
        run: jobs.Run,
        cause: str,
        proof: end_proofs.Sign,
        detail: str,
        moment: clock.Moment,
    ) -> None:
        """Drop a run that has certainly ended without a reported end."""
        assert end_proofs.WORTH[proof].is_proof
        job = run.task.group.job
        target = self.targets[run.target_id]
        self._record(
            'run lost',
            workflow=job.workflow_id,
            task=run.task.name,
            attempt=run.attempt,
            target=run.target_id,
            cause=cause,
            proof=proof.value,
            detail=detail,
            incarnation=target.incarnation,
            is_same_incarnation=(
                run.executor_hash == target.compute_executor_hash()
            ),
            silent_ms=moment.elapsed_ms - target.contact_at_ms,
            elapsed_ms=moment.elapsed_ms,
            ran_ms=moment.elapsed_ms - run.started_at_ms,
            is_confirmed=run.is_confirmed,
            is_restored=run.is_restored,
        )
        measurements.RUNS_LOST.labels(cause).inc()
        self._drop_run(run, target.find_earliest_end_ms(run))
        self._mark_dirty(job)
        self._break_gang(run.task)

    def _break_gang(self, task: jobs.Task) -> None:
        """Stop the other members of a gang after the end of one of them."""
        group = task.group
        if not group.step.is_gang or group.is_complete:
            return
        for member in group.tasks:
            for run in member.runs.values():
                if not run.is_stopping:
                    self._stop_run(run)

    def _stop_for_drain(
        self, target: targets.Target, moment: clock.Moment
    ) -> None:
        """Stop runs that will not end before a draining executor leaves.

        They are then started again on other targets.
        """
        left_ms = target.leaves_deadline_ms - moment.elapsed_ms
        for run in list(target.runs.values()):
            group = run.task.group
            if group.step.is_lasting:
                self._stop_run(run)
            elif group.step.is_checkpointing:
                remaining_share = 1 - run.progress_percent / 100
                needed_ms = group.get_estimate_ms() * remaining_share
                if needed_ms + CHECKPOINT_STOP_MS > left_ms:
                    self._stop_run(run)

    def _stop_stalled_runs(
        self, target: targets.Target, moment: clock.Moment
    ) -> None:
        """Stop the runs of a target on which no run makes progress.

        They are then started again on other targets.
        """
        now_ms = moment.elapsed_ms
        active_runs = [
            run
            for run in target.runs.values()
            if run.is_confirmed
            and not run.is_stopping
            and not run.task.group.step.is_lasting
        ]
        if not active_runs or any(
            now_ms - run.progress_at_ms < run_progress.find_stall_limit_ms(run)
            for run in active_runs
        ):
            return
        self._change_health(
            target,
            target_health.record_stall(target.health, now_ms),
            'no run makes progress',
            moment,
        )
        self._fleet.touch(target)
        for run in active_runs:
            run.task.stalls += 1
            self._stop_run(run)
