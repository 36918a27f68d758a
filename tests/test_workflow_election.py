"""Tests of the election of the owner."""

import asyncio
import os
from typing import Any

from borageshelf.entry.workflows import election
from borageshelf import events
from borageshelf.ports import store as store_interface
from borageshelf.workflows import journal
from borageshelf.workflows import policy
from borageshelf.workflows import records
from standins import memory_store


def make_election(
    store: memory_store.MemoryStore, entry_id: str
) -> election.Election:
    """Return an entry's election, whose log lines are discarded."""
    event_log = events.EventLog(
        'entry', entry_id, os.open(os.devnull, os.O_WRONLY)
    )
    return election.Election(
        election.Identity(entry_id, f'boot-{entry_id}', '127.0.0.1:1'),
        store,
        policy.OwnerPolicy(5_000, 60_000),
        event_log,
        lambda: (0, b''),
        lambda document: None,
    )


async def write_owner(
    store: memory_store.MemoryStore, epoch: int, revision: int
) -> store_interface.Entry:
    """Store another entry as the owner."""
    owner = records.OwnerRecord(epoch, 'other', 'boot-other', '127.0.0.1:2')
    await store.put(records.OWNER_KEY, journal.encode(owner), revision)
    entry = await store.get(records.OWNER_KEY)
    assert entry is not None
    return entry


def test_owner_that_appears_meanwhile_is_not_replaced() -> None:
    """Guards against entries that take over from each other repeatedly.

    An entry had found the former owner dead, paused, and only then read the
    revision of the owner's key. So it replaced the owner that had taken over
    during the pause.
    """

    async def check() -> None:
        store = memory_store.MemoryStore()
        candidate: Any = make_election(store, 'own')
        former = await write_owner(store, 1, 0)
        candidate._apply_owner_key(former)
        takeover = asyncio.ensure_future(candidate._take_over(former.revision))
        await asyncio.sleep(0)
        candidate._apply_owner_key(
            await write_owner(store, 2, former.revision)
        )
        await asyncio.wait_for(takeover, 5)
        assert candidate.local_owner is None
        stored = await store.get(records.OWNER_KEY)
        assert stored is not None
        owner = journal.decode(stored.value, records.OwnerRecord)
        assert owner.entry_id == 'other'

    asyncio.run(check())


def test_entries_that_refuse_each_other_do_not_take_over_endlessly() -> None:
    """Guards against takeovers by turns, in which no target gets a grant."""

    async def check() -> int:
        store = memory_store.MemoryStore()
        # Nothing listens at their addresses, though both go on.
        elections = [make_election(store, name) for name in ('a', 'b')]
        for each in elections:
            each.start()
        await asyncio.sleep(5)
        entry = await store.get(records.OWNER_KEY)
        for each in elections:
            await each.stop()
        assert entry is not None
        owner: records.OwnerRecord = journal.decode(
            entry.value, records.OwnerRecord
        )
        return owner.epoch

    assert asyncio.run(check()) <= 3
