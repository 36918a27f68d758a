"""Latest grant deadline of each attempt that a shard owner has assigned.

Used by ``shard_owner`` only. Once the latest possible grant of an attempt has
expired on every clock, the attempt is proved dead and the task may be
reassigned: proof (c) in section 4 of the design page. This guards against two
running attempts of one task.
"""

from collections import abc

from borageshelf.model import objects
from borageshelf.shards import effects
from borageshelf.shards import grants
from borageshelf.shards import records


class GrantLedger:
    """Issues grants and keeps the latest deadline granted to each attempt.

    :param takeover_horizons: last committed horizons of the previous owner;
        every grant of an earlier epoch ends by then
    :param horizons: committed horizons of this owner
    """

    def __init__(
        self,
        shard: int,
        epoch: int,
        takeover_horizons: records.Horizons,
        horizons: records.Horizons,
        policy: grants.GrantPolicy,
    ) -> None:
        self.horizons = horizons
        # Whether grants last until the horizon. Set while the store is
        # unreachable: no other entry can take over the shard then, so if this
        # entry died, shorter grants would expire and stop the shard's work.
        self.renews_to_horizon = False
        self._shard = shard
        self._epoch = epoch
        self._takeover_horizons = takeover_horizons
        self._policy = policy
        self._deadlines_ms: dict[str, int] = {}

    def make_attempt_id(self, task: records.TaskRecord) -> effects.AttemptId:
        """Return the id of a task's current attempt under this epoch."""
        return effects.AttemptId(
            self._shard, self._epoch, task.task_id, task.attempt
        )

    def renew(
        self, task: records.TaskRecord, now_ms: int
    ) -> effects.Grant | None:
        """Return a new grant, or None if the horizon has passed."""
        deadline_ms = self._compute_deadline_ms(task, now_ms)
        if deadline_ms <= now_ms:
            return None
        granted_ms = max(deadline_ms, self._deadlines_ms.get(task.task_id, 0))
        self._deadlines_ms[task.task_id] = granted_ms
        return effects.Grant(self.make_attempt_id(task), deadline_ms)

    def renew_if_due(
        self, task: records.TaskRecord, now_ms: int
    ) -> effects.Grant | None:
        """Return a new grant if it adds at least a third of the grant length.

        With one report per second this saves nine of ten renewals. Two thirds
        of the grant length remain as a margin for lost messages.
        """
        current_ms = self._deadlines_ms.get(task.task_id, 0)
        gain_ms = self._compute_deadline_ms(task, now_ms) - current_ms
        if 3 * gain_ms < self._policy.grant_length_ms:
            return None
        return self.renew(task, now_ms)

    def forget(self, task_id: str) -> None:
        """Drop the deadline of an attempt whose end is committed."""
        self._deadlines_ms.pop(task_id, None)

    def is_expired(self, task: records.TaskRecord, now_ms: int) -> bool:
        """Tell whether the last grant has expired on every clock."""
        latest_ms = self.compute_latest_deadline_ms(task)
        return self._policy.has_expired(latest_ms, now_ms)

    def compute_latest_deadline_ms(self, task: records.TaskRecord) -> int:
        """Return the latest deadline that any grant of the attempt has.

        For an attempt of an earlier epoch this is at least the horizon of
        the previous owner.
        """
        assert task.assignment is not None
        latest_ms = self._deadlines_ms.get(task.task_id, 0)
        if task.assignment.epoch < self._epoch:
            # A restarted agent has lost the epochs that it observed, so it
            # may accept a delayed grant of an earlier owner.
            takeover_ms = self._takeover_horizons.get_deadline_ms(
                task.work_class
            )
            latest_ms = max(latest_ms, takeover_ms)
        return latest_ms

    def compute_release_horizons(
        self, assigned: abc.Iterable[records.TaskRecord]
    ) -> records.Horizons:
        """Return the latest deadline granted to tasks of each work class.

        :param assigned: all tasks of the shard that are assigned
        """
        batch_ms = monitor_ms = 0
        for task in assigned:
            latest_ms = self.compute_latest_deadline_ms(task)
            if task.work_class is objects.WorkClass.MONITOR:
                monitor_ms = max(monitor_ms, latest_ms)
            else:
                batch_ms = max(batch_ms, latest_ms)
        return records.Horizons(batch_ms, monitor_ms)

    def needs_extension(self, now_ms: int) -> bool:
        """Tell whether the next commit must extend the horizons."""
        return self._policy.needs_extension(self.horizons, now_ms)

    def extend(self, now_ms: int) -> records.Horizons:
        """Return extended horizons, to be used only once committed."""
        return self._policy.extend(self.horizons, now_ms)

    def _compute_deadline_ms(
        self, task: records.TaskRecord, now_ms: int
    ) -> int:
        """Return the deadline of a grant made now."""
        if self.renews_to_horizon:
            return self.horizons.get_deadline_ms(task.work_class)
        return self._policy.compute_deadline_ms(
            task.work_class, self.horizons, now_ms
        )
