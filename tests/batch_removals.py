"""Faulty variants of the classes under test, each without one safeguard.

They show that the property test and the recorded traces detect the removal of
each safeguard. The product has no switch that removes them.
"""

from collections import abc
import contextlib
from typing import Any, Final
from unittest import mock

from borageshelf.agent import reservations
from borageshelf import errors
from borageshelf.model import resources
from borageshelf.shards import grant_ledger
from borageshelf.shards import records
from borageshelf.shards import shard_log
from borageshelf.shards import shard_owner
from borageshelf.shards import transitions
from tests import batch_world


class UnfencedLedger(reservations.Reservations):
    """Accepts messages from earlier owners of a shard."""

    def observe_epoch(self, shard: int, epoch: int) -> bool:
        super().observe_epoch(shard, epoch)
        return True


class NoTombstoneLedger(reservations.Reservations):
    """Keeps no tombstone of an attempt that it reported as never started."""

    def add_tombstone(self, key: reservations.AttemptKey, now_ms: int) -> None:
        return


class AnyAgentOwner(shard_owner.ShardOwner):
    """Accepts "never started" from any agent process."""

    def _can_prove_never_started(self, *arguments: Any) -> bool:
        return True


class NoReadBackLog(shard_log.ShardLog):
    """Treats an uncertain write as one that failed."""

    async def _replace_head(self, head: records.ShardHead) -> int:
        put = self._store.put

        async def fail(*arguments: Any) -> int:
            try:
                return await put(*arguments)
            except errors.BorageshelfError as error:
                if error.code is not errors.STORE_UNCERTAIN:
                    raise
                raise errors.BorageshelfError(
                    errors.STORE_UNAVAILABLE
                ) from error

        store = mock.Mock(put=fail, get=self._store.get)
        original, self._store = self._store, store
        try:
            return await super()._replace_head(head)
        finally:
            self._store = original


class UnsettledLedger(reservations.Reservations):
    """Accepts starts at once.

    Starts of an earlier agent process may still be on their way to the worker.
    """

    def __init__(
        self, capacity: resources.Resources, accepts_starts: bool = True
    ) -> None:
        super().__init__(capacity)


def _find_no_bound(
    ledger: grant_ledger.GrantLedger, task: records.TaskRecord
) -> int:
    """Treat every attempt as if no grant had been issued."""
    return 0


def _is_current(task: records.TaskRecord, attempt: int) -> bool:
    return task.phase is records.TaskPhase.ASSIGNED


REMOVALS: Final[dict[str, batch_world.Parts]] = {
    'epoch fence': batch_world.Parts(ledger_type=UnfencedLedger),
    'grant bound': batch_world.Parts(),
    'read-back': batch_world.Parts(log_type=NoReadBackLog),
    'attempt check': batch_world.Parts(),
    'tombstone': batch_world.Parts(ledger_type=NoTombstoneLedger),
    'settling': batch_world.Parts(ledger_type=UnsettledLedger),
    'agent process': batch_world.Parts(owner_type=AnyAgentOwner),
}


@contextlib.contextmanager
def remove(name: str | None) -> abc.Iterator[batch_world.Parts]:
    """Remove a safeguard within the context.

    :param name: key of ``REMOVALS``, or None to remove none
    """
    with contextlib.ExitStack() as stack:
        if name == 'attempt check':
            stack.enter_context(
                mock.patch.object(transitions, '_is_current', _is_current)
            )
        elif name == 'grant bound':
            stack.enter_context(
                mock.patch.object(
                    grant_ledger.GrantLedger,
                    'compute_latest_deadline_ms',
                    _find_no_bound,
                )
            )
        yield REMOVALS[name] if name else batch_world.Parts()
