"""Deterministic state machine of one owned shard.

It performs no I/O and receives the time as an argument. The runner
(``shard_runner``) passes it messages and requests, takes batches of changes
from it, commits them through ``shard_log`` and carries out effects. Starts,
releases, stops of cancelled tasks and most replies wait for the commit of
their batch. Grant renewals and other stops do not, and
``take_immediate_effects`` returns them at once.

A task is assigned to another target only after ``Lost``, ``Stopped``,
``Failed``, ``Refused`` or ``NeverStarted``. Each of them stands for one of the
three proofs in section 4 of the design page that the earlier attempt does not
run, which guards against two running attempts of one task.
"""

import dataclasses
from typing import Final

from borageshelf.shards import effects
from borageshelf.shards import grant_ledger
from borageshelf.shards import grants
from borageshelf.shards import pending
from borageshelf.shards import records
from borageshelf.shards import requests
from borageshelf.shards import shard_log
from borageshelf.shards import transitions

# Bounds the work of one tick when many records expire at the same time.
EXPIRIES_PER_TICK: Final = 64


@dataclasses.dataclass(frozen=True)
class AgentIdentity:
    """Identifies the agent process at the other end of a stream.

    :param vm_boot_id: identity of the boot of the agent's VM
    :param agent_boot_id: identity of the agent process
    """

    target_id: str
    vm_boot_id: str
    agent_boot_id: str


@dataclasses.dataclass(frozen=True)
class AttemptReport:
    """State of one attempt as an agent reports it.

    :param event: the event that ended the attempt, or None if it is running
    """

    task_id: str
    attempt: int
    event: transitions.AttemptEvent | None


@dataclasses.dataclass(frozen=True)
class CommitBatch:
    """Changes to commit together and the effects that wait for them."""

    changes: records.Changes
    effects: tuple[effects.Effect, ...]
    horizons: records.Horizons


class ShardOwner(requests.RequestHandler):
    """Handles the requests, messages and commits of one owned shard.

    :param state: the committed records, with the horizons of the previous
        owner
    :param horizons: horizons that the takeover committed
    """

    def __init__(
        self,
        shard: int,
        state: shard_log.ShardState,
        horizons: records.Horizons,
        policy: grants.GrantPolicy,
    ) -> None:
        self.shard = shard
        self.epoch = state.epoch
        super().__init__(
            pending.PendingRecords(state.tasks, state.claims),
            grant_ledger.GrantLedger(
                shard, state.epoch, state.horizons, horizons, policy
            ),
        )
        self._is_releasing = False

    @property
    def horizons(self) -> records.Horizons:
        """The committed horizons, past which no grant reaches."""
        return self._grants.horizons

    @property
    def has_changes(self) -> bool:
        """Whether anything waits for a commit."""
        return not (self._records.is_unchanged and self._waiting.is_empty)

    # Placement.

    def list_startable(self, now_ms: int) -> tuple[records.TaskRecord, ...]:
        """Return the committed, queued tasks that may be assigned now.

        The most urgent tasks come first, and among these the oldest. A task
        with an uncommitted change is left out.
        """
        if self._is_releasing:
            return ()
        startable = [
            task
            for task in self._records.tasks.values()
            if task.phase is records.TaskPhase.QUEUED
            and task.not_before_ms <= now_ms
            and not self._records.has_uncommitted_task(task.task_id)
        ]
        startable.sort(key=lambda task: (-task.urgency, task.submitted_at_ms))
        return tuple(startable)

    def assign(
        self, task_id: str, assignment: records.Assignment, now_ms: int
    ) -> None:
        """Assign a queued task to a target.

        The start is sent once the assignment is committed.
        """
        task = self._records.tasks[task_id]
        event = transitions.Assigned(assignment)
        changed = transitions.advance(event, task, now_ms)
        if not self._change(task, changed):
            return
        # confirm_batch sets the deadline, right before the start is sent.
        grant = effects.Grant(self._grants.make_attempt_id(changed), 0)
        self._waiting.add(
            effects.SendStart(
                assignment.target_id,
                assignment.agent_boot_id,
                grant,
                changed,
            )
        )

    def reject(self, task_id: str, now_ms: int) -> None:
        """End a queued task that is too large for every VM of the fleet."""
        task = self._records.tasks[task_id]
        changed = transitions.advance(transitions.NeverFits(), task, now_ms)
        self._change(task, changed)

    def excuse_failures(self, target_id: str, now_ms: int) -> None:
        """Stop counting the failures of unfinished tasks on a target.

        :param target_id: a target that was found to be faulty
        """
        event = transitions.FailuresExcused(target_id)
        for task_id in list(self._records.tasks):
            task = self._records.find_task(task_id)
            if task is not None:
                self._advance(task, event, now_ms)

    # Messages from agents.

    def handle_complete_report(
        self,
        agent: AgentIdentity,
        attempts: tuple[AttemptReport, ...],
        now_ms: int,
    ) -> None:
        """Handle a report of all attempts of this shard on a target.

        The agent compiled it after it had observed this owner's epoch. A
        start of an earlier owner that is not in the report is therefore
        refused if it arrives later.
        """
        listed = {(item.task_id, item.attempt) for item in attempts}
        for task in self._records.list_assigned(agent.target_id):
            assert task.assignment is not None
            if task.assignment.vm_boot_id != agent.vm_boot_id:
                event = transitions.Lost(task.attempt, is_crash=True)
                self._advance(task, event, now_ms)
                continue
            is_addressed = task.assignment.agent_boot_id == agent.agent_boot_id
            if is_addressed and (task.task_id, task.attempt) not in listed:
                # Either the start was lost with an earlier stream, or the
                # agent received it after it compiled the report. If it was
                # lost, the agent answers that the attempt never starts, which
                # a restarted agent cannot prove.
                self._immediate_effects.append(
                    self._make_stop(task, only_unstarted=True)
                )
        self.handle_report(agent, attempts, now_ms)

    def handle_report(
        self,
        agent: AgentIdentity,
        attempts: tuple[AttemptReport, ...],
        now_ms: int,
    ) -> None:
        """Handle the attempts in a report and renew the running ones."""
        renewed: list[effects.Grant] = []
        for report in attempts:
            task = self._records.find_task(report.task_id)
            if not self._is_current_attempt(task, agent, report):
                self._stop_or_release(agent, report)
                continue
            assert task is not None
            if report.event is not None:
                self.handle_event(agent, task.task_id, report.event, now_ms)
            elif self._records.tasks[task.task_id].cancel_requested:
                # The first stop may have been lost with its stream or with
                # the entry that sent it, so each report repeats it.
                self._immediate_effects.append(self._make_stop(task))
            else:
                grant = self._grants.renew_if_due(task, now_ms)
                if grant is not None:
                    renewed.append(grant)
        if renewed:
            self._immediate_effects.append(
                effects.SendGrants(agent.target_id, tuple(renewed))
            )

    def handle_event(
        self,
        agent: AgentIdentity,
        task_id: str,
        event: transitions.AttemptEvent,
        now_ms: int,
    ) -> None:
        """Handle the end of an attempt.

        The agent is told to release the attempt once the end is committed.
        """
        task = self._records.find_task(task_id)
        identity = effects.AttemptId(
            self.shard, self.epoch, task_id, event.attempt
        )
        release = effects.SendRelease(agent.target_id, identity)
        if isinstance(event, transitions.NeverStarted | transitions.Refused):
            if not self._can_prove_never_started(task, agent):
                return
        if task is not None:
            self._advance(task, event, now_ms)
        self._waiting.add(release)

    def handle_unsent_start(
        self, start: effects.SendStart, now_ms: int
    ) -> None:
        """Handle a start that was never written to a stream.

        Its attempt can never start.
        """
        task = self._records.find_task(start.task.task_id)
        if task is not None:
            event = transitions.NeverStarted(start.task.attempt)
            self._advance(task, event, now_ms)

    # Time and commits.

    def tick(self, now_ms: int) -> None:
        """Handle attempts whose last grant has expired; remove old records."""
        for task in list(self._records.tasks.values()):
            if task.phase is not records.TaskPhase.ASSIGNED:
                continue
            if self._records.has_uncommitted_task(task.task_id):
                continue
            if self._grants.is_expired(task, now_ms):
                self._advance(task, transitions.Lost(task.attempt), now_ms)
        self._records.expire(now_ms, EXPIRIES_PER_TICK)

    def set_store_reachable(self, is_reachable: bool) -> None:
        """Set whether this entry can reach the store.

        While it cannot, grants are renewed up to the horizon, so that running
        attempts survive the loss of this entry during the outage. In return,
        the tasks of a VM that is lost during the outage are reassigned only
        after the horizon.
        """
        self._grants.renews_to_horizon = not is_reachable

    def begin_release(self) -> None:
        """Offer no more tasks for assignment, ahead of a planned release."""
        self._is_releasing = True

    def compute_release_horizons(self) -> records.Horizons:
        """Return the latest grant deadlines of all assigned tasks."""
        return self._grants.compute_release_horizons(
            task
            for task in self._records.tasks.values()
            if task.phase is records.TaskPhase.ASSIGNED
        )

    def take_immediate_effects(self) -> tuple[effects.Effect, ...]:
        """Remove and return the effects that need no commit."""
        taken = tuple(self._immediate_effects)
        self._immediate_effects.clear()
        return taken

    def take_batch(self, now_ms: int) -> CommitBatch | None:
        """Return the next batch to commit, or None if there is none.

        Only one batch is in flight at a time: ``confirm_batch`` or
        ``abort_batch`` must be called before the next batch is taken.
        """
        needs_horizons = self._grants.needs_extension(now_ms)
        if not self.has_changes and not needs_horizons:
            return None
        horizons = self.horizons
        if needs_horizons:
            horizons = self._grants.extend(now_ms)
        return CommitBatch(
            self._records.begin_batch(), self._waiting.take(), horizons
        )

    def make_snapshot(self) -> records.Snapshot:
        """Return all records with the batch in flight applied."""
        return self._records.make_snapshot()

    def confirm_batch(
        self, batch: CommitBatch, now_ms: int
    ) -> tuple[effects.Effect, ...]:
        """Apply a committed batch and return its effects."""
        self._records.confirm_batch()
        self._waiting.confirm_batch(batch.effects)
        self._grants.horizons = batch.horizons
        self.set_store_reachable(True)
        for changed in batch.changes.tasks:
            if changed.phase is not records.TaskPhase.ASSIGNED:
                self._grants.forget(changed.task_id)
        released: list[effects.Effect] = []
        for effect in batch.effects:
            if isinstance(effect, effects.SendStart):
                grant = self._grants.renew(effect.task, now_ms)
                if grant is None:
                    self.handle_unsent_start(effect, now_ms)
                    continue
                effect = dataclasses.replace(effect, grant=grant)
            released.append(effect)
        return tuple(released)

    def abort_batch(self, batch: CommitBatch) -> tuple[effects.Effect, ...]:
        """Handle a batch that was certainly not written.

        New jobs and claims are dropped, and their requests are answered with
        an error. All other changes wait for the next batch, so that no end of
        an attempt is lost.

        :return: the error replies
        """
        self.set_store_reachable(False)
        tasks, claims = self._records.abort_batch()
        return self._waiting.abort_batch(batch.effects, tasks, claims)

    def handle_ownership_loss(
        self, batch: CommitBatch | None
    ) -> tuple[effects.Reply, ...]:
        """Answer all waiting requests after another entry's takeover.

        :param batch: the batch whose commit failed because of it, if any
        """
        return self._waiting.reply_unknown_to_all(
            batch.effects if batch else ()
        )

    # Helpers.

    def _is_current_attempt(
        self,
        task: records.TaskRecord | None,
        agent: AgentIdentity,
        report: AttemptReport,
    ) -> bool:
        """Tell whether a task's current attempt is this one, on this VM."""
        if task is None or task.assignment is None:
            return False
        return (
            task.attempt == report.attempt
            and task.assignment.target_id == agent.target_id
            and task.assignment.vm_boot_id == agent.vm_boot_id
        )

    def _stop_or_release(
        self, agent: AgentIdentity, report: AttemptReport
    ) -> None:
        """Stop or release an attempt that is not the current one.

        While a change of the task is uncommitted, nothing is sent: the change
        may be lost with this owner, and the next one may need the attempt.
        """
        if self._records.has_uncommitted_task(report.task_id):
            return
        identity = effects.AttemptId(
            self.shard, self.epoch, report.task_id, report.attempt
        )
        if report.event is None:
            effect: effects.Effect = effects.SendStop(
                agent.target_id, identity
            )
        else:
            effect = effects.SendRelease(agent.target_id, identity)
        self._immediate_effects.append(effect)

    def _can_prove_never_started(
        self, task: records.TaskRecord | None, agent: AgentIdentity
    ) -> bool:
        """Tell whether an agent's "never started" proves it.

        Only the agent process to which the start was addressed can prove it.
        Another process on the same target does not know of a start that its
        predecessor passed on to the worker.
        """
        if task is None or task.assignment is None:
            return True
        return (
            task.assignment.target_id == agent.target_id
            and task.assignment.agent_boot_id == agent.agent_boot_id
        )
