"""Deterministic core of one owned shard; no I/O, time as an argument.

The runtime (``runner``) feeds it messages and requests, asks it for batches
of changes, commits them through ``log`` and carries out effects. Two kinds
of effect exist: those that wait for the commit of their batch (starts,
releases, replies) and those that need none (grant renewals, stops), which
``take_effects`` returns at once.

A task is given to another target only by ``Lost``, ``Stopped``, ``Failed`` or
``NeverStarted``, each of which stands for one of the three proofs of the
design page, section 4.
"""

import dataclasses
from typing import Final

from borageshelf import errors
from borageshelf.model import objects
from borageshelf.shards import effects
from borageshelf.shards import grants
from borageshelf.shards import log
from borageshelf.shards import records
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
class Batch:
    """Changes to commit together and the effects that wait for them."""

    changes: records.Changes
    effects: tuple[effects.Effect, ...]
    horizons: records.Horizons


class ShardOwner:
    """The records of one shard and what their owner does with them.

    :param state: the committed records, with the horizons that the previous
        owner left
    :param horizons: horizons committed by the takeover
    """

    def __init__(
        self,
        shard: int,
        state: log.ShardState,
        horizons: records.Horizons,
        policy: grants.GrantPolicy,
    ) -> None:
        self.shard = shard
        self.epoch = state.epoch
        self._policy = policy
        self._takeover_horizons = state.horizons
        self._horizons = horizons
        self._tasks = state.tasks
        self._claims = state.claims
        self._uncommitted = _Overlay()
        self._in_flight = _Overlay()
        self._submit_tokens: dict[int, frozenset[str]] = {}
        self._claim_tokens: dict[int, str] = {}
        self._waiting: list[effects.Effect] = []
        self._immediate: list[effects.Effect] = []
        # Latest deadline granted by this owner to the current attempt.
        self._granted_ms: dict[str, int] = {}
        self._leaving = False

    @property
    def horizons(self) -> records.Horizons:
        """The committed horizons; no grant reaches past them."""
        return self._horizons

    # Requests.

    def submit(
        self, tasks: tuple[records.TaskRecord, ...], token: int
    ) -> None:
        """Accept the tasks of a job; repeating a job id changes nothing."""
        for task in tasks:
            if self._find(task.task_id) is None:
                self._uncommitted.tasks[task.task_id] = task
        keys = frozenset(task.task_id for task in tasks)
        self._submit_tokens[token] = keys
        self._waiting.append(effects.Reply(token, errors.PENDING))

    def cancel(self, job_id: str, token: int, now_ms: int) -> None:
        """Cancel all tasks of a job; proof of "not run" comes later."""
        tasks = self.find_job(job_id)
        if not tasks:
            self._immediate.append(
                effects.Reply(token, errors.UNKNOWN_JOB, job_id)
            )
            return
        for task in tasks:
            event = transitions.CancelRequested()
            changed = transitions.advance(event, task, now_ms)
            self._change(task, changed)
            if changed.cancel_requested and changed.assignment is not None:
                self._stop(changed, changed.assignment.target_id)
        self._waiting.append(effects.Reply(token, errors.PENDING))

    def claim(self, claim: records.ClaimRecord, token: int) -> None:
        """Claim the key of a non-idempotent request.

        The reply has ``OK`` if this call holds the claim, else
        ``DUPLICATE_KEY`` with the outcome of the earlier call.
        """
        found = self._find_claim(claim.claim_id)
        if found is None:
            self._uncommitted.claims[claim.claim_id] = claim
            found = claim
        self._claim_tokens[token] = claim.claim_id
        is_holder = found.call_id == claim.call_id
        code = errors.OK if is_holder else errors.DUPLICATE_KEY
        self._waiting.append(
            effects.Reply(token, code, found.call_id, found.outcome)
        )

    def settle(
        self,
        claim_id: str,
        call_id: str,
        outcome: records.ClaimOutcome,
        token: int,
    ) -> None:
        """Record how a claimed request ended; "not run" frees the key."""
        found = self._find_claim(claim_id)
        if found is not None and found.call_id == call_id:
            settled = dataclasses.replace(found, outcome=outcome)
            is_free = outcome is records.ClaimOutcome.NOT_RUN
            self._uncommitted.claims[claim_id] = None if is_free else settled
        self._waiting.append(effects.Reply(token, errors.OK))

    def find_job(self, job_id: str) -> tuple[records.TaskRecord, ...]:
        """Return the tasks of a job, uncommitted changes included."""
        prefix = f'{job_id}/'
        keys = set(self._tasks)
        keys.update(self._in_flight.tasks, self._uncommitted.tasks)
        found = [
            self._find(key) for key in sorted(keys) if key.startswith(prefix)
        ]
        return tuple(task for task in found if task is not None)

    def find_committed_job(
        self, job_id: str
    ) -> tuple[records.TaskRecord, ...]:
        """Return the tasks of a job as committed."""
        prefix = f'{job_id}/'
        return tuple(
            task
            for key, task in sorted(self._tasks.items())
            if key.startswith(prefix)
        )

    def list_tasks(self) -> tuple[records.TaskRecord, ...]:
        """Return all committed tasks."""
        return tuple(self._tasks.values())

    # Placement.

    def list_startable(self, now_ms: int) -> tuple[records.TaskRecord, ...]:
        """Return committed queued tasks, most urgent and oldest first."""
        if self._leaving:
            return ()
        startable = [
            task
            for task in self._tasks.values()
            if task.phase is records.TaskPhase.QUEUED
            and task.not_before_ms <= now_ms
            and not self._is_busy(task.task_id)
        ]
        startable.sort(key=lambda task: (-task.urgency, task.submitted_at_ms))
        return tuple(startable)

    def assign(
        self, task_id: str, assignment: records.Assignment, now_ms: int
    ) -> None:
        """Give a queued task to a target; the start waits for the commit."""
        task = self._tasks[task_id]
        event = transitions.Assigned(assignment)
        changed = transitions.advance(event, task, now_ms)
        if not self._change(task, changed):
            return
        grant = effects.Grant(self._identify(changed), 0)
        self._waiting.append(
            effects.SendStart(
                assignment.target_id,
                assignment.agent_boot_id,
                grant,
                changed,
            )
        )

    def reject(self, task_id: str, now_ms: int) -> None:
        """End a queued task that no VM can hold."""
        task = self._tasks[task_id]
        changed = transitions.advance(transitions.NeverFits(), task, now_ms)
        self._change(task, changed)

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
        for task in self._list_assigned(agent.target_id):
            assert task.assignment is not None
            if task.assignment.vm_boot_id != agent.vm_boot_id:
                event = transitions.Lost(task.attempt)
                self._advance(task, event, now_ms)
                continue
            is_same = task.assignment.agent_boot_id == agent.agent_boot_id
            if is_same and (task.task_id, task.attempt) not in listed:
                # The start may be lost with an earlier stream; the agent
                # proves that it never starts. A restarted agent can't.
                self._stop(task, agent.target_id)
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
            task = self._find(report.task_id)
            if not self._is_expected(task, agent, report):
                self._dismiss(agent, report)
                continue
            assert task is not None
            if report.event is not None:
                self.handle_event(agent, task.task_id, report.event, now_ms)
            else:
                grant = self._renew(task, now_ms)
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
        task = self._find(task_id)
        identity = effects.AttemptId(
            self.shard, self.epoch, task_id, event.attempt
        )
        release = effects.SendRelease(agent.target_id, identity)
        if isinstance(event, transitions.NeverStarted):
            if not self._is_proof(task, agent):
                return
        if task is not None:
            self._advance(task, event, now_ms)
        self._waiting.append(release)

    def handle_unsent(self, start: effects.SendStart, now_ms: int) -> None:
        """Handle a start that was never written to any stream."""
        task = self._find(start.task.task_id)
        if task is not None:
            event = transitions.NeverStarted(start.task.attempt)
            self._advance(task, event, now_ms)

    # Time and commits.

    def tick(self, now_ms: int) -> None:
        """Reassign attempts that are proved dead; expire old records."""
        for task in list(self._tasks.values()):
            if task.phase is not records.TaskPhase.ASSIGNED:
                continue
            if self._is_busy(task.task_id):
                continue
            if self._policy.has_expired(self._find_bound_ms(task), now_ms):
                event = transitions.Lost(task.attempt)
                self._advance(task, event, now_ms)
        self._expire(now_ms)

    def leave(self) -> None:
        """Place nothing more; a planned stop follows."""
        self._leaving = True

    def find_release_horizons(self) -> records.Horizons:
        """Return the latest deadlines that may have been granted."""
        batch_ms = monitor_ms = 0
        for task in self._tasks.values():
            if task.phase is not records.TaskPhase.ASSIGNED:
                continue
            bound_ms = self._find_bound_ms(task)
            if task.work_class is objects.WorkClass.MONITOR:
                monitor_ms = max(monitor_ms, bound_ms)
            else:
                batch_ms = max(batch_ms, bound_ms)
        return records.Horizons(batch_ms, monitor_ms)

    def take_effects(self) -> tuple[effects.Effect, ...]:
        """Return the effects that wait for no commit."""
        taken = tuple(self._immediate)
        self._immediate.clear()
        return taken

    def take_batch(self, now_ms: int) -> Batch | None:
        """Return the next changes to commit, or None.

        Only one batch is under way at a time: ``confirm_batch`` or
        ``refuse_batch`` must follow before the next call.
        """
        needs_horizons = self._policy.needs_extension(self._horizons, now_ms)
        is_idle = self._uncommitted.is_empty and not self._waiting
        if is_idle and not needs_horizons:
            return None
        horizons = self._horizons
        if needs_horizons:
            horizons = self._policy.extend(horizons, now_ms)
        self._in_flight = self._uncommitted
        self._uncommitted = _Overlay()
        batch = Batch(
            self._in_flight.make_changes(), tuple(self._waiting), horizons
        )
        self._waiting.clear()
        return batch

    def make_snapshot(self) -> records.Snapshot:
        """Return all records, with the batch under way applied."""
        tasks = dict(self._tasks)
        claims = dict(self._claims)
        log.apply_changes(self._in_flight.make_changes(), tasks, claims)
        return records.Snapshot(tuple(tasks.values()), tuple(claims.values()))

    def confirm_batch(
        self, batch: Batch, now_ms: int
    ) -> tuple[effects.Effect, ...]:
        """Apply a committed batch and return the effects that waited."""
        log.apply_changes(batch.changes, self._tasks, self._claims)
        self._in_flight = _Overlay()
        self._horizons = batch.horizons
        for changed in batch.changes.tasks:
            if changed.phase is not records.TaskPhase.ASSIGNED:
                self._granted_ms.pop(changed.task_id, None)
        released: list[effects.Effect] = []
        for effect in batch.effects:
            if isinstance(effect, effects.SendStart):
                grant = self._renew(effect.task, now_ms)
                if grant is not None:
                    effect = dataclasses.replace(effect, grant=grant)
                    released.append(effect)
                continue
            if isinstance(effect, effects.Reply):
                self._submit_tokens.pop(effect.token, None)
                self._claim_tokens.pop(effect.token, None)
            released.append(effect)
        return tuple(released)

    def refuse_batch(self, batch: Batch) -> tuple[effects.Effect, ...]:
        """Handle a batch that was certainly not written.

        New jobs and claims are dropped and their requests refused. All other
        changes wait for the next batch: a completion must not be lost.
        """
        dropped = {
            key for key in self._in_flight.tasks if key not in self._tasks
        }
        dropped_claims = {
            key for key in self._in_flight.claims if key not in self._claims
        }
        for key in dropped:
            del self._in_flight.tasks[key]
            self._uncommitted.tasks.pop(key, None)
        for key in dropped_claims:
            del self._in_flight.claims[key]
            self._uncommitted.claims.pop(key, None)
        self._uncommitted = self._in_flight.merge(self._uncommitted)
        self._in_flight = _Overlay()
        refused: list[effects.Effect] = []
        kept: list[effects.Effect] = []
        for effect in [*batch.effects, *self._waiting]:
            if self._is_dropped(effect, dropped, dropped_claims):
                assert isinstance(effect, effects.Reply)
                self._submit_tokens.pop(effect.token, None)
                self._claim_tokens.pop(effect.token, None)
                refused.append(
                    effects.Reply(
                        effect.token,
                        errors.STORE_UNAVAILABLE,
                        'the request was not stored',
                    )
                )
            else:
                kept.append(effect)
        self._waiting = kept
        return tuple(refused)

    # Helpers.

    def _is_dropped(
        self,
        effect: effects.Effect,
        dropped: set[str],
        dropped_claims: set[str],
    ) -> bool:
        if not isinstance(effect, effects.Reply):
            return False
        submitted = self._submit_tokens.get(effect.token, frozenset())
        if submitted & dropped:
            return True
        return self._claim_tokens.get(effect.token, '') in dropped_claims

    def _find(self, task_id: str) -> records.TaskRecord | None:
        for overlay in (self._uncommitted, self._in_flight):
            if task_id in overlay.tasks:
                return overlay.tasks[task_id]
        return self._tasks.get(task_id)

    def _find_claim(self, claim_id: str) -> records.ClaimRecord | None:
        for overlay in (self._uncommitted, self._in_flight):
            if claim_id in overlay.claims:
                return overlay.claims[claim_id]
        return self._claims.get(claim_id)

    def _is_busy(self, task_id: str) -> bool:
        """Tell whether a change of the task is not committed yet."""
        return (
            task_id in self._uncommitted.tasks
            or task_id in self._in_flight.tasks
        )

    def _change(
        self, task: records.TaskRecord, changed: records.TaskRecord
    ) -> bool:
        if changed == task:
            return False
        self._uncommitted.tasks[task.task_id] = changed
        return True

    def _advance(
        self, task: records.TaskRecord, event: object, now_ms: int
    ) -> None:
        self._change(task, transitions.advance(event, task, now_ms))

    def _identify(self, task: records.TaskRecord) -> effects.AttemptId:
        return effects.AttemptId(
            self.shard, self.epoch, task.task_id, task.attempt
        )

    def _stop(self, task: records.TaskRecord, target_id: str) -> None:
        self._immediate.append(
            effects.SendStop(target_id, self._identify(task))
        )

    def _list_assigned(self, target_id: str) -> list[records.TaskRecord]:
        """Return committed tasks whose current attempt is on a target."""
        found = []
        for key in self._tasks:
            task = self._find(key)
            if task is None or task.assignment is None:
                continue
            is_committed = self._tasks[key].assignment == task.assignment
            if is_committed and task.assignment.target_id == target_id:
                found.append(task)
        return found

    def _is_expected(
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

    def _dismiss(self, agent: AgentIdentity, report: AttemptReport) -> None:
        """Stop or release an attempt that is not the current one."""
        identity = effects.AttemptId(
            self.shard, self.epoch, report.task_id, report.attempt
        )
        if report.event is None:
            self._immediate.append(effects.SendStop(agent.target_id, identity))
        elif not self._is_busy(report.task_id):
            # While the end of the attempt is being committed, the agent
            # keeps the result.
            self._immediate.append(
                effects.SendRelease(agent.target_id, identity)
            )

    def _is_proof(
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

    def _renew(
        self, task: records.TaskRecord, now_ms: int
    ) -> effects.Grant | None:
        """Extend the grant of the current attempt, if a horizon allows."""
        if task.task_id not in self._tasks:
            return None
        deadline_ms = self._policy.find_deadline_ms(
            task.work_class, self._horizons, now_ms
        )
        if deadline_ms <= now_ms:
            return None
        granted_ms = max(deadline_ms, self._granted_ms.get(task.task_id, 0))
        self._granted_ms[task.task_id] = granted_ms
        return effects.Grant(self._identify(task), deadline_ms)

    def _find_bound_ms(self, task: records.TaskRecord) -> int:
        """Return the latest deadline that any grant of the attempt has."""
        bound_ms = self._granted_ms.get(task.task_id, 0)
        assert task.assignment is not None
        if task.assignment.epoch < self.epoch:
            takeover_ms = self._takeover_horizons.find_deadline_ms(
                task.work_class
            )
            bound_ms = max(bound_ms, takeover_ms)
        return bound_ms

    def _expire(self, now_ms: int) -> None:
        expired = [
            task.task_id
            for task in self._tasks.values()
            if task.is_terminal
            and task.expires_deadline_ms < now_ms
            and not self._is_busy(task.task_id)
        ]
        for key in expired[:EXPIRIES_PER_TICK]:
            self._uncommitted.tasks[key] = None
        expired_claims = [
            claim.claim_id
            for claim in self._claims.values()
            if claim.expires_deadline_ms < now_ms
        ]
        for key in expired_claims[:EXPIRIES_PER_TICK]:
            self._uncommitted.claims[key] = None


@dataclasses.dataclass(frozen=True)
class _Overlay:
    """Changes that are not committed; None removes a record."""

    tasks: dict[str, records.TaskRecord | None] = dataclasses.field(
        default_factory=dict
    )
    claims: dict[str, records.ClaimRecord | None] = dataclasses.field(
        default_factory=dict
    )

    @property
    def is_empty(self) -> bool:
        return not (self.tasks or self.claims)

    def make_changes(self) -> records.Changes:
        removed = [key for key, item in self.tasks.items() if item is None]
        removed += [key for key, item in self.claims.items() if item is None]
        return records.Changes(
            tuple(item for item in self.tasks.values() if item is not None),
            tuple(item for item in self.claims.values() if item is not None),
            tuple(removed),
        )

    def merge(self, newer: '_Overlay') -> '_Overlay':
        """Return both overlays as one; the newer one wins."""
        return _Overlay(
            {**self.tasks, **newer.tasks}, {**self.claims, **newer.claims}
        )
