"""Deterministic core of one owned shard; no I/O, time as an argument.

The runtime (``shard_runner``) feeds it messages and requests, asks it for
batches of changes, commits them through ``shard_log`` and carries out effects.
Two kinds of effect exist: those that wait for the commit of their batch
(starts, releases, stops of cancelled work, replies) and those that need none
(grant renewals, other stops), which ``take_immediate_effects`` returns at
once.

A task is given to another target only by ``Lost``, ``Stopped``, ``Failed`` or
``NeverStarted``, each of which stands for one of the three proofs of the
design page, section 4.
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

# Bounds the work of one tick when many records expire together.
EXPIRIES_PER_TICK: Final = 64


@dataclasses.dataclass(frozen=True)
class AgentIdentity:
    """Who is at the other end of a stream."""

    target_id: str
    vm_boot_id: str
    agent_boot_id: str


@dataclasses.dataclass(frozen=True)
class AttemptReport:
    """What an agent says about one attempt.

    :param event: one of the events of ``transitions``, or None if it runs
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
    """The records of one shard and what their owner does with them.

    :param state: the committed records, with the horizons that the previous
        owner left
    :param horizons: horizons committed by the takeover
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
        """The committed horizons; no grant reaches past them."""
        return self._grants.horizons

    @property
    def has_changes(self) -> bool:
        """Whether anything waits for a commit."""
        return not (self._records.is_unchanged and self._waiting.is_empty)

    # Placement.

    def list_startable(self, now_ms: int) -> tuple[records.TaskRecord, ...]:
        """Return committed queued tasks, most urgent and oldest first."""
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
        """Give a queued task to a target; the start waits for the commit."""
        task = self._records.tasks[task_id]
        event = transitions.Assigned(assignment)
        changed = transitions.advance(event, task, now_ms)
        if not self._change(task, changed):
            return
        # The deadline is set when the start is sent.
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
        """End a queued task that no VM can hold."""
        task = self._records.tasks[task_id]
        changed = transitions.advance(transitions.NeverFits(), task, now_ms)
        self._change(task, changed)

    def excuse_failures(self, target_id: str, now_ms: int) -> None:
        """Forget the failures of unfinished tasks on a faulty target."""
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
        """Handle a list of all attempts of this shard on a target.

        The agent made it after it had seen this owner's epoch, so a start
        of an earlier owner that it lists not yet is refused from then on.
        """
        listed = {(item.task_id, item.attempt) for item in attempts}
        for task in self._records.list_assigned(agent.target_id):
            assert task.assignment is not None
            if task.assignment.vm_boot_id != agent.vm_boot_id:
                event = transitions.Lost(task.attempt)
                self._advance(task, event, now_ms)
                continue
            is_same = task.assignment.agent_boot_id == agent.agent_boot_id
            if is_same and (task.task_id, task.attempt) not in listed:
                # The start may be lost with an earlier stream, or it may
                # have crossed the report. In the first case the agent proves
                # that it never starts, which a restarted agent cannot do.
                self._immediate.append(
                    self._make_stop(task, only_unstarted=True)
                )
        self.handle_report(agent, attempts, now_ms)

    def handle_report(
        self,
        agent: AgentIdentity,
        attempts: tuple[AttemptReport, ...],
        now_ms: int,
    ) -> None:
        """Handle attempts that an agent lists; renews those that run."""
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
                # The first stop may be lost with its stream or its sender.
                self._immediate.append(self._make_stop(task))
            else:
                grant = self._grants.renew_if_due(task, now_ms)
                if grant is not None:
                    renewed.append(grant)
        if renewed:
            self._immediate.append(
                effects.SendGrants(agent.target_id, tuple(renewed))
            )

    def handle_event(
        self,
        agent: AgentIdentity,
        task_id: str,
        event: transitions.AttemptEvent,
        now_ms: int,
    ) -> None:
        """Handle the end of an attempt; the release waits for the commit."""
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
        """Handle a start that was never written to any stream."""
        task = self._records.find_task(start.task.task_id)
        if task is not None:
            event = transitions.NeverStarted(start.task.attempt)
            self._advance(task, event, now_ms)

    # Time and commits.

    def tick(self, now_ms: int) -> None:
        """Reassign attempts that are proved dead; expire old records."""
        for task in list(self._records.tasks.values()):
            if task.phase is not records.TaskPhase.ASSIGNED:
                continue
            if self._records.has_uncommitted_task(task.task_id):
                continue
            if self._grants.is_expired(task, now_ms):
                self._advance(task, transitions.Lost(task.attempt), now_ms)
        self._records.expire(now_ms, EXPIRIES_PER_TICK)

    def set_store_reachable(self, is_reachable: bool) -> None:
        """Learn whether this entry reaches the store.

        While it does not, renewals reach the horizon, so that work survives
        the loss of its owner during the outage. In exchange, work on a VM
        that is lost during the outage waits for the horizon.
        """
        self._grants.renews_to_horizon = not is_reachable

    def begin_release(self) -> None:
        """Place nothing more; a planned stop follows."""
        self._is_releasing = True

    def find_release_horizons(self) -> records.Horizons:
        """Return the latest deadlines that may have been granted."""
        return self._grants.find_release_horizons(
            task
            for task in self._records.tasks.values()
            if task.phase is records.TaskPhase.ASSIGNED
        )

    def take_immediate_effects(self) -> tuple[effects.Effect, ...]:
        """Return the effects that wait for no commit."""
        taken = tuple(self._immediate)
        self._immediate.clear()
        return taken

    def take_batch(self, now_ms: int) -> CommitBatch | None:
        """Return the next changes to commit, or None.

        Only one batch is under way at a time: ``confirm_batch`` or
        ``abort_batch`` must follow before the next call.
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
        """Return all records, with the batch under way applied."""
        return self._records.make_snapshot()

    def confirm_batch(
        self, batch: CommitBatch, now_ms: int
    ) -> tuple[effects.Effect, ...]:
        """Apply a committed batch and return the effects that waited."""
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

        New jobs and claims are dropped and their requests refused. All other
        changes wait for the next batch: a completion must not be lost.
        """
        self.set_store_reachable(False)
        tasks, claims = self._records.abort_batch()
        return self._waiting.abort_batch(batch.effects, tasks, claims)

    def handle_ownership_loss(
        self, batch: CommitBatch | None
    ) -> tuple[effects.Reply, ...]:
        """Answer all waiting requests after another entry took the shard.

        :param batch: the batch whose commit found that out, if any
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
        """Tell whether a listed attempt is the current one at its place."""
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

        While a change of the task is not committed, the agent keeps what it
        has: the change may be lost with this owner.
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
        self._immediate.append(effect)

    def _can_prove_never_started(
        self, task: records.TaskRecord | None, agent: AgentIdentity
    ) -> bool:
        """Tell whether "never started" comes from the addressed process.

        Another process of the same target knows nothing of a start that its
        predecessor passed on to the worker.
        """
        if task is None or task.assignment is None:
            return True
        return (
            task.assignment.target_id == agent.target_id
            and task.assignment.agent_boot_id == agent.agent_boot_id
        )
