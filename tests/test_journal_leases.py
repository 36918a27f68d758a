"""Commits end when the lease that they name has ended."""

import asyncio

import pytest

from borageshelf import errors
from borageshelf.ports import store as store_interface
from borageshelf.workflows import journal
from borageshelf.workflows import records
from standins import memory_store


class ExpiringStore(memory_store.MemoryStore):
    """A store that loses one write; the lease has ended at the next try."""

    was_lost = False

    async def commit(self, transaction: store_interface.Transaction) -> int:
        if not self.was_lost:
            self.was_lost = True
            for write in transaction.writes:
                if write.lease_id:
                    await self.revoke_lease(write.lease_id)
            raise errors.BorageshelfError(errors.STORE_UNCERTAIN, 'lost')
        return await super().commit(transaction)


def test_acquisition_ends_when_its_lease_has_expired_meanwhile() -> None:
    async def scenario() -> None:
        store = ExpiringStore()
        lease = await store.grant_lease(60_000)
        writer = journal.Journal(
            store,
            records.OwnerRecord(1, 'entry-1', 'boot', '127.0.0.1:1'),
            0,
            lambda error: None,
        )
        with pytest.raises(errors.BorageshelfError):
            async with asyncio.timeout(5):
                await writer.acquire(0, lease.lease_id)

    asyncio.run(scenario())
