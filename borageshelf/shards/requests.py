"""Requests of callers to the owner of a shard.

Base class of ``shard_owner.ShardOwner``. The reply to a request waits for the
commit of the next batch, also if the request changes nothing, so that it
reports no state that could still be lost. Only refusals are replied at once.

A job may be cancelled while its submission is still on its way. A claim with
an id of its own stands for the cancellation, and refuses the submission for
longer than it can be on its way.
"""

import dataclasses
from typing import Final

from borageshelf import errors
from borageshelf.shards import effects
from borageshelf.shards import grant_ledger
from borageshelf.shards import pending
from borageshelf.shards import records
from borageshelf.shards import transitions
from borageshelf.shards import waiting

# Bounds the snapshot when tasks are submitted. A store value holds 1 MB; the
# difference is left for the results of the tasks.
SHARD_LIMIT_BYTES: Final = 700_000
# An entry gives up a submission after 13 s, and the network may hold it back
# for 12 s.
CANCELLATION_LIFETIME_MS: Final = 30_000
# Bounds what callers can store by cancelling jobs that do not exist: 120 bytes
# each in a snapshot.
CANCELLATIONS_LIMIT: Final = 1_000
JOB_ID_LIMIT: Final = 64
_CANCELLATION_PREFIX: Final = 'cancelled-'


class RequestHandler:
    """Handles requests about the jobs and claims of one shard."""

    def __init__(
        self,
        pending_records: pending.PendingRecords,
        grants: grant_ledger.GrantLedger,
    ) -> None:
        self._records = pending_records
        self._grants = grants
        self._waiting = waiting.WaitingEffects()
        self._immediate_effects: list[effects.Effect] = []

    def submit(
        self, tasks: tuple[records.TaskRecord, ...], token: int
    ) -> None:
        """Accept the tasks of a job; a repeated submission changes nothing.

        The reply is ``OVERLOADED`` if the snapshot would become too large, and
        ``CANCELLED`` if the job was cancelled before.
        """
        added = [
            task
            for task in tasks
            if self._records.find_task(task.task_id) is None
        ]
        if added and self._is_cancelled(added[0].job_id):
            self._immediate_effects.append(
                effects.Reply(
                    token, errors.CANCELLED, 'cancelled before it arrived'
                )
            )
            return
        size_bytes = sum(map(pending.estimate_bytes, added))
        if added and self._records.size_bytes + size_bytes > SHARD_LIMIT_BYTES:
            self._immediate_effects.append(
                effects.Reply(token, errors.OVERLOADED, 'the shard is full')
            )
            return
        for task in added:
            self._records.change_task(task)
        self._waiting.add_reply(
            effects.Reply(token, errors.PENDING),
            tasks=frozenset(task.task_id for task in tasks),
        )

    def cancel(self, job_id: str, token: int, now_ms: int) -> None:
        """Request the cancellation of all tasks of a job.

        The reply says that the request is stored. Whether an assigned task
        has run is known, and the task ends, only after its attempt.
        ``UNKNOWN_JOB`` says that a submission of the job which is still on its
        way will not be accepted.
        """
        tasks = self.find_job(job_id)
        if not tasks:
            self._cancel_unknown(job_id, token, now_ms)
            return
        for task in tasks:
            event = transitions.CancelRequested()
            changed = transitions.advance(event, task, now_ms)
            self._change(task, changed)
            if changed.cancel_requested and changed.assignment is not None:
                # The stop waits for the commit. If the cancellation were
                # lost after the stop, the next owner would see a task that
                # was stopped although nobody had cancelled it.
                self._waiting.add(self._make_stop(changed))
        self._waiting.add_reply(
            effects.Reply(token, errors.PENDING),
            tasks=frozenset(task.task_id for task in tasks),
        )

    def _cancel_unknown(self, job_id: str, token: int, now_ms: int) -> None:
        reply = effects.Reply(token, errors.UNKNOWN_JOB, job_id)
        if len(job_id) > JOB_ID_LIMIT:
            # No entry makes such an id.
            self._immediate_effects.append(reply)
            return
        cancelled_count = sum(
            claim_id.startswith(_CANCELLATION_PREFIX)
            for claim_id in self._records.claims
        )
        if cancelled_count >= CANCELLATIONS_LIMIT:
            self._immediate_effects.append(
                effects.Reply(
                    token, errors.OVERLOADED, 'too many jobs are cancelled'
                )
            )
            return
        claim = records.ClaimRecord(
            _make_cancellation_id(job_id),
            '',
            records.ClaimOutcome.NOT_RUN,
            now_ms + CANCELLATION_LIFETIME_MS,
        )
        self._records.change_claim(claim)
        self._waiting.add_reply(reply, claims=frozenset([claim.claim_id]))

    def _is_cancelled(self, job_id: str) -> bool:
        claim_id = _make_cancellation_id(job_id)
        return self._records.find_claim(claim_id) is not None

    def claim(self, claim: records.ClaimRecord, token: int) -> None:
        """Claim the key of a non-idempotent request for a call.

        The reply is ``OK`` if this call holds the claim, else
        ``DUPLICATE_KEY`` with the id and the outcome of the call that does.
        """
        found = self._records.find_claim(claim.claim_id)
        if found is None:
            self._records.change_claim(claim)
            found = claim
        is_holder = found.call_id == claim.call_id
        code = errors.OK if is_holder else errors.DUPLICATE_KEY
        self._waiting.add_reply(
            effects.Reply(token, code, found.call_id, found.outcome),
            claims=frozenset([claim.claim_id]),
        )

    def settle(
        self,
        claim_id: str,
        call_id: str,
        outcome: records.ClaimOutcome,
        token: int,
    ) -> None:
        """Record the outcome of a claimed request.

        ``NOT_RUN`` removes the claim, so that the key can be claimed again.
        """
        found = self._records.find_claim(claim_id)
        if found is not None and found.call_id == call_id:
            if outcome is records.ClaimOutcome.NOT_RUN:
                self._records.remove_claim(claim_id)
            else:
                settled = dataclasses.replace(found, outcome=outcome)
                self._records.change_claim(settled)
        self._waiting.add(effects.Reply(token, errors.OK))

    def find_job(self, job_id: str) -> tuple[records.TaskRecord, ...]:
        """Return the newest versions of a job's tasks."""
        return self._records.find_job(job_id)

    def find_committed_job(
        self, job_id: str
    ) -> tuple[records.TaskRecord, ...]:
        """Return the committed versions of a job's tasks."""
        return self._records.find_committed_job(job_id)

    def list_tasks(self) -> tuple[records.TaskRecord, ...]:
        """Return the committed versions of all tasks."""
        return tuple(self._records.tasks.values())

    def _change(
        self, task: records.TaskRecord, changed: records.TaskRecord
    ) -> bool:
        if changed == task:
            return False
        self._records.change_task(changed)
        return True

    def _advance(
        self, task: records.TaskRecord, event: object, now_ms: int
    ) -> None:
        self._change(task, transitions.advance(event, task, now_ms))

    def _make_stop(
        self, task: records.TaskRecord, only_unstarted: bool = False
    ) -> effects.SendStop:
        assert task.assignment is not None
        return effects.SendStop(
            task.assignment.target_id,
            self._grants.make_attempt_id(task),
            only_unstarted=only_unstarted,
        )


def _make_cancellation_id(job_id: str) -> str:
    return _CANCELLATION_PREFIX + job_id
