"""Which entry becomes the owner."""

import asyncio
import os
from typing import Any

from borageshelf.entry.workflows import election as election_module
from borageshelf import events as events_module
from borageshelf.ports import store as store_interface
from borageshelf.workflows import journal
from borageshelf.workflows import policy
from borageshelf.workflows import records
from standins import memory_store


def make_election(
    store: memory_store.MemoryStore, entry_id: str
) -> election_module.Election:
    """Return an entry's election; its log goes nowhere."""
    events = events_module.EventLog(
        'entry', entry_id, os.open(os.devnull, os.O_WRONLY)
    )
    return election_module.Election(
        election_module.Identity(entry_id, f'boot-{entry_id}', '127.0.0.1:1'),
        store,
        policy.OwnerPolicy(5_000, 60_000),
        events,
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


def test_owner_that_appears_meanwhile_is_not_deposed() -> None:
    """Guards against owners that take over from each other in turn.

    An entry that had found the former owner dead read the revision of the
    owner's key after its pause, and so deposed the one that had just begun.
    """

    async def check() -> None:
        store = memory_store.MemoryStore()
        found: Any = make_election(store, 'own')
        former = await write_owner(store, 1, 0)
        found._note_entry(former)
        taking = asyncio.ensure_future(found._take_over(former.revision))
        await asyncio.sleep(0)
        found._note_entry(await write_owner(store, 2, former.revision))
        await asyncio.wait_for(taking, 5)
        assert found.local is None
        stored = await store.get(records.OWNER_KEY)
        assert stored is not None
        owner = journal.decode(stored.value, records.OwnerRecord)
        assert owner.entry_id == 'other'

    asyncio.run(check())
