"""Records of the owner and the head that no owner has written."""

import asyncio

import pytest

from borageshelf.workflows import journal
from borageshelf.workflows import records
from standins import memory_store
from tests import test_odd_owner_records as odd_records


@pytest.mark.parametrize('odd', [b'', b'\xc1', b'not MessagePack'])
def test_odd_head_keeps_no_entry_from_taking_over(odd: bytes) -> None:
    """Guards against a fleet without an owner for ever (LOST)."""

    async def scenario() -> None:
        store = memory_store.MemoryStore()
        await store.put(records.HEAD_KEY, odd, 0)
        candidate = odd_records.make_election(store)
        candidate.start()
        try:
            await odd_records.wait_for_ownership(store, candidate)
        finally:
            await candidate.stop()

    asyncio.run(scenario())


def test_record_of_a_later_epoch_that_nobody_acquired_is_replaced() -> None:
    """Guards against a fleet that follows an owner that never was (LOST)."""

    async def scenario() -> None:
        store = memory_store.MemoryStore()
        head = records.HeadRecord(3, 'former', 'b', odd_records.ADDRESS, 'id')
        await store.put(records.HEAD_KEY, journal.encode(head), 0)
        await store.put(
            records.OWNER_KEY,
            odd_records.encode_owner(7, 'other', 'boot', '127.0.0.1:2'),
            0,
        )
        candidate = odd_records.make_election(store)
        candidate.start()
        try:
            await odd_records.wait_for_ownership(store, candidate)
            await asyncio.sleep(2)
            owner = candidate.local_owner
            assert owner is not None
            assert candidate._make_redirect().owner_id == 'own'
        finally:
            await candidate.stop()

    asyncio.run(scenario())
