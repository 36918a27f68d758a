"""Records of one shard with two overlays of uncommitted changes.

Used by ``shard_owner`` only. A change first enters the uncommitted overlay.
``begin_batch`` makes that overlay the batch in flight, which
``confirm_batch`` applies to the committed records and ``abort_batch`` merges
back into the uncommitted overlay. Lookups return the newest change unless
they say otherwise.
"""

import dataclasses
from typing import Final

from borageshelf.shards import records
from borageshelf.shards import shard_log

# Upper estimate for a record without its arguments and result, which takes
# about 110 bytes of a snapshot (docs/measurements/commits.md).
RECORD_OVERHEAD_BYTES: Final = 150


@dataclasses.dataclass(frozen=True)
class Overlay:
    """Uncommitted changes by record id; None removes the record."""

    tasks: dict[str, records.TaskRecord | None] = dataclasses.field(
        default_factory=dict
    )
    claims: dict[str, records.ClaimRecord | None] = dataclasses.field(
        default_factory=dict
    )

    @property
    def is_empty(self) -> bool:
        """Whether the overlay has no changes."""
        return not (self.tasks or self.claims)

    def make_changes(self) -> records.Changes:
        """Return the changes in the form in which a shard head holds them."""
        tasks = self.tasks.items()
        claims = self.claims.items()
        return records.Changes(
            tuple(item for _, item in tasks if item is not None),
            tuple(item for _, item in claims if item is not None),
            tuple(key for key, item in tasks if item is None),
            tuple(key for key, item in claims if item is None),
        )

    def merge(self, newer: 'Overlay') -> 'Overlay':
        """Return both overlays as one; the newer one takes precedence."""
        return Overlay(
            {**self.tasks, **newer.tasks}, {**self.claims, **newer.claims}
        )


class PendingRecords:
    """The committed records of a shard and their uncommitted changes.

    :param tasks: committed tasks; later commits change this dictionary
    :param claims: committed claims; later commits change this dictionary
    """

    def __init__(
        self,
        tasks: dict[str, records.TaskRecord],
        claims: dict[str, records.ClaimRecord],
    ) -> None:
        self.tasks = tasks
        self.claims = claims
        self._uncommitted = Overlay()
        self._in_flight = Overlay()
        self._task_ids_by_job: dict[str, set[str]] = {}
        self._size_bytes_by_task: dict[str, int] = {}
        # Upper estimate of the size of a snapshot with all tasks.
        self.size_bytes = 0
        for task in tasks.values():
            self._add_to_index(task)

    @property
    def is_unchanged(self) -> bool:
        """Whether nothing waits for the next batch."""
        return self._uncommitted.is_empty

    def find_task(self, task_id: str) -> records.TaskRecord | None:
        """Return the newest version of a task, or None."""
        for overlay in (self._uncommitted, self._in_flight):
            if task_id in overlay.tasks:
                return overlay.tasks[task_id]
        return self.tasks.get(task_id)

    def find_claim(self, claim_id: str) -> records.ClaimRecord | None:
        """Return the newest version of a claim, or None."""
        for overlay in (self._uncommitted, self._in_flight):
            if claim_id in overlay.claims:
                return overlay.claims[claim_id]
        return self.claims.get(claim_id)

    def find_job(self, job_id: str) -> tuple[records.TaskRecord, ...]:
        """Return the newest versions of a job's tasks."""
        task_ids = sorted(self._task_ids_by_job.get(job_id, ()))
        found = [self.find_task(task_id) for task_id in task_ids]
        return tuple(task for task in found if task is not None)

    def find_committed_job(
        self, job_id: str
    ) -> tuple[records.TaskRecord, ...]:
        """Return the committed versions of a job's tasks."""
        task_ids = sorted(self._task_ids_by_job.get(job_id, ()))
        return tuple(
            self.tasks[task_id]
            for task_id in task_ids
            if task_id in self.tasks
        )

    def has_uncommitted_task(self, task_id: str) -> bool:
        """Tell whether a task has a change that is not committed yet."""
        return (
            task_id in self._uncommitted.tasks
            or task_id in self._in_flight.tasks
        )

    def has_uncommitted_claim(self, claim_id: str) -> bool:
        """Tell whether a claim has a change that is not committed yet."""
        return (
            claim_id in self._uncommitted.claims
            or claim_id in self._in_flight.claims
        )

    def list_assigned(self, target_id: str) -> list[records.TaskRecord]:
        """Return tasks whose current attempt is on a target.

        A task whose assignment has an uncommitted change is left out.
        """
        found = []
        for task_id, committed in self.tasks.items():
            task = self.find_task(task_id)
            if task is None or task.assignment is None:
                continue
            is_committed = committed.assignment == task.assignment
            if is_committed and task.assignment.target_id == target_id:
                found.append(task)
        return found

    def change_task(self, task: records.TaskRecord) -> None:
        """Store a new version of a task with the next batch."""
        self._add_to_index(task)
        self._uncommitted.tasks[task.task_id] = task

    def remove_task(self, task_id: str) -> None:
        """Remove a task with the next batch."""
        self._uncommitted.tasks[task_id] = None

    def change_claim(self, claim: records.ClaimRecord) -> None:
        """Store a new version of a claim with the next batch."""
        self._uncommitted.claims[claim.claim_id] = claim

    def remove_claim(self, claim_id: str) -> None:
        """Remove a claim with the next batch."""
        self._uncommitted.claims[claim_id] = None

    def expire(self, now_ms: int, limit: int) -> None:
        """Remove records whose retention has ended, with the next batch.

        :param limit: largest number of tasks, and of claims, to remove
        """
        expired = [
            task.task_id
            for task in self.tasks.values()
            if task.is_terminal
            and task.expires_deadline_ms < now_ms
            and not self.has_uncommitted_task(task.task_id)
        ]
        for task_id in expired[:limit]:
            self.remove_task(task_id)
        # A new call may take a claim while the removal of the expired one is
        # uncommitted. Repeating the removal would delete the new claim.
        expired_claims = [
            claim.claim_id
            for claim in self.claims.values()
            if claim.expires_deadline_ms < now_ms
            and not self.has_uncommitted_claim(claim.claim_id)
        ]
        for claim_id in expired_claims[:limit]:
            self.remove_claim(claim_id)

    def begin_batch(self) -> records.Changes:
        """Start a batch with all uncommitted changes and return them.

        The previous batch must have been confirmed or aborted.
        """
        self._in_flight = self._uncommitted
        self._uncommitted = Overlay()
        return self._in_flight.make_changes()

    def make_snapshot(self) -> records.Snapshot:
        """Return all records with the batch in flight applied."""
        tasks = dict(self.tasks)
        claims = dict(self.claims)
        shard_log.apply_changes(self._in_flight.make_changes(), tasks, claims)
        return records.Snapshot(tuple(tasks.values()), tuple(claims.values()))

    def confirm_batch(self) -> None:
        """Apply the batch in flight to the committed records."""
        changes = self._in_flight.make_changes()
        for task_id in changes.removed:
            self._remove_from_index(task_id)
        shard_log.apply_changes(changes, self.tasks, self.claims)
        self._in_flight = Overlay()

    def abort_batch(self) -> tuple[set[str], set[str]]:
        """Return the batch in flight to the uncommitted changes.

        Records that were never committed are dropped instead.

        :return: ids of the dropped tasks and claims
        """
        tasks = set(self._in_flight.tasks) - set(self.tasks)
        claims = set(self._in_flight.claims) - set(self.claims)
        for task_id in tasks:
            del self._in_flight.tasks[task_id]
            self._uncommitted.tasks.pop(task_id, None)
            self._remove_from_index(task_id)
        for claim_id in claims:
            del self._in_flight.claims[claim_id]
            self._uncommitted.claims.pop(claim_id, None)
        self._uncommitted = self._in_flight.merge(self._uncommitted)
        self._in_flight = Overlay()
        return tasks, claims

    def _add_to_index(self, task: records.TaskRecord) -> None:
        self._task_ids_by_job.setdefault(task.job_id, set()).add(task.task_id)
        size_bytes = estimate_bytes(task)
        self.size_bytes += size_bytes - self._size_bytes_by_task.get(
            task.task_id, 0
        )
        self._size_bytes_by_task[task.task_id] = size_bytes

    def _remove_from_index(self, task_id: str) -> None:
        self.size_bytes -= self._size_bytes_by_task.pop(task_id, 0)
        job_id = task_id.rpartition('/')[0]
        task_ids = self._task_ids_by_job.get(job_id, set())
        task_ids.discard(task_id)
        if not task_ids:
            self._task_ids_by_job.pop(job_id, None)


def estimate_bytes(task: records.TaskRecord) -> int:
    """Return an upper estimate of a task's size in a snapshot."""
    return RECORD_OVERHEAD_BYTES + len(task.arguments) + len(task.result)
