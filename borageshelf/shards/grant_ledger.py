"""Deadlines that the owner of a shard has granted, and what they prove.

Used by ``shard_owner`` only. An attempt whose last possible grant has expired
on every clock cannot be running; this is proof (c) of the design page.
"""

from collections import abc

from borageshelf.model import objects
from borageshelf.shards import effects
from borageshelf.shards import grants
from borageshelf.shards import records


class GrantLedger:
    """The latest deadline that each current attempt may have.

    :param takeover_horizons: horizons that the previous owner left; any
        grant of an earlier epoch ends by then
    :param horizons: the committed horizons of this owner
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
        # While the store is down no other entry can take the shard over, so
        # a grant that ends with its owner would stop the work of the shard.
        self.renews_to_horizon = False
        self._shard = shard
        self._epoch = epoch
        self._takeover_horizons = takeover_horizons
        self._policy = policy
        self._granted_ms: dict[str, int] = {}

    def make_attempt_id(self, task: records.TaskRecord) -> effects.AttemptId:
        """Return the identity of the task's current attempt."""
        return effects.AttemptId(
            self._shard, self._epoch, task.task_id, task.attempt
        )

    def renew(
        self, task: records.TaskRecord, now_ms: int
    ) -> effects.Grant | None:
        """Grant the current attempt more time, if a horizon allows."""
        deadline_ms = self._find_deadline_ms(task, now_ms)
        if deadline_ms <= now_ms:
            return None
        granted_ms = max(deadline_ms, self._granted_ms.get(task.task_id, 0))
        self._granted_ms[task.task_id] = granted_ms
        return effects.Grant(self.make_attempt_id(task), deadline_ms)

    def renew_if_due(
        self, task: records.TaskRecord, now_ms: int
    ) -> effects.Grant | None:
        """Renew a grant once that gains a third of its length.

        With a report a second, this saves nine of ten renewals and still
        leaves two thirds of the length for lost exchanges.
        """
        before_ms = self._granted_ms.get(task.task_id, 0)
        gain_ms = self._find_deadline_ms(task, now_ms) - before_ms
        if 3 * gain_ms < self._policy.grant_length_ms:
            return None
        return self.renew(task, now_ms)

    def forget(self, task_id: str) -> None:
        """Forget an attempt whose end is committed."""
        self._granted_ms.pop(task_id, None)

    def is_expired(self, task: records.TaskRecord, now_ms: int) -> bool:
        """Tell whether the last grant of an attempt has expired."""
        bound_ms = self.find_latest_deadline_ms(task)
        return self._policy.has_expired(bound_ms, now_ms)

    def find_latest_deadline_ms(self, task: records.TaskRecord) -> int:
        """Return the latest deadline that any grant of the attempt has."""
        assert task.assignment is not None
        bound_ms = self._granted_ms.get(task.task_id, 0)
        if task.assignment.epoch < self._epoch:
            # An agent that restarts forgets the epochs that it has seen and
            # may accept a late grant of an earlier owner.
            takeover_ms = self._takeover_horizons.find_deadline_ms(
                task.work_class
            )
            bound_ms = max(bound_ms, takeover_ms)
        return bound_ms

    def find_release_horizons(
        self, assigned: abc.Iterable[records.TaskRecord]
    ) -> records.Horizons:
        """Return the latest deadlines that may have been granted."""
        batch_ms = monitor_ms = 0
        for task in assigned:
            bound_ms = self.find_latest_deadline_ms(task)
            if task.work_class is objects.WorkClass.MONITOR:
                monitor_ms = max(monitor_ms, bound_ms)
            else:
                batch_ms = max(batch_ms, bound_ms)
        return records.Horizons(batch_ms, monitor_ms)

    def needs_extension(self, now_ms: int) -> bool:
        """Tell whether the horizons must be extended soon."""
        return self._policy.needs_extension(self.horizons, now_ms)

    def extend(self, now_ms: int) -> records.Horizons:
        """Return extended horizons; they count once committed."""
        return self._policy.extend(self.horizons, now_ms)

    def _find_deadline_ms(self, task: records.TaskRecord, now_ms: int) -> int:
        """Return the deadline of a grant made now."""
        if self.renews_to_horizon:
            return self.horizons.find_deadline_ms(task.work_class)
        return self._policy.find_deadline_ms(
            task.work_class, self.horizons, now_ms
        )
