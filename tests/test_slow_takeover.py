"""Takeovers that take longer than the lease of the owner's key."""

import asyncio
import contextlib
from typing import Final

from borageshelf.ports import store as store_interface
from borageshelf.workflows import journal
from borageshelf.workflows import records
from standins import memory_store
from tests import election_support

# Longer than the lease of the owner's key.
SCAN_S: Final = 3.0
CALM_S: Final = 3.0


class SlowStore(memory_store.MemoryStore):
    """A store that takes long to list the workflows."""

    async def scan(self, prefix: str) -> store_interface.Listing:
        if prefix == records.JOBS_PREFIX:
            await asyncio.sleep(SCAN_S)
        return await super().scan(prefix)


def test_entries_do_not_take_over_from_one_that_is_loading() -> None:
    """Guards against owners by turns, none of which begins to work."""

    async def check() -> int:
        store = SlowStore()
        async with contextlib.AsyncExitStack() as stack:
            entries = [
                election_support.Entry(number, store, 1_000)
                for number in range(2)
            ]
            for entry in entries:
                await entry.start(stack)
            while not any(entry.is_owner for entry in entries):
                await asyncio.sleep(0.05)
            await asyncio.sleep(CALM_S)
            assert any(entry.is_owner for entry in entries)
            head = await store.get(records.HEAD_KEY)
            assert head is not None
            return int(journal.decode(head.value, records.HeadRecord).epoch)

    assert asyncio.run(asyncio.wait_for(check(), 30)) == 1
