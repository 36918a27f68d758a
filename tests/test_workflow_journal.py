"""Commits must take effect once and only for the present owner."""

import asyncio
from collections import abc

import pytest

from borageshelf import errors
from borageshelf.workflows import journal as journal_module
from borageshelf.workflows import records
from standins import faults
from standins import memory_store


async def make_journal(
    store: memory_store.MemoryStore, entry_id: str = 'entry-1'
) -> journal_module.Journal:
    """Return the journal of a new owner."""
    entry = await store.get(records.HEAD_KEY)
    head = records.HeadRecord()
    if entry is not None:
        head = journal_module.decode(entry.value, records.HeadRecord)
    found = await store.get(records.OWNER_KEY)
    lease = await store.grant_lease(60_000)
    journal = journal_module.Journal(
        store,
        records.OwnerRecord(head.epoch + 1, entry_id, 'boot', '127.0.0.1:1'),
        entry.revision if entry else 0,
        lambda error: None,
    )
    assert await journal.acquire(
        found.revision if found else 0, lease.lease_id
    )
    return journal


async def read(store: memory_store.MemoryStore, key: str) -> bytes | None:
    """Return the value of a key."""
    entry = await store.get(key)
    return entry.value if entry else None


def run(coroutine: abc.Coroutine[None, None, None]) -> None:
    """Run a test with a bound that only a hang reaches."""

    async def bounded() -> None:
        async with asyncio.timeout(30):
            await coroutine

    asyncio.run(bounded())


@pytest.mark.parametrize(
    'plan',
    [
        faults.FaultPlan(lost_answers=1),
        faults.FaultPlan(lost_requests=1),
        faults.FaultPlan(lost_answers=1, lost_requests=1),
        faults.FaultPlan(late_writes=1, late_ms=300),
    ],
)
def test_commit_without_answer_takes_effect_once(
    plan: faults.FaultPlan,
) -> None:
    """Guards against a commit that is lost or counted as lost."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        journal = await make_journal(store)
        store.set_faults(plan)
        await journal.commit([('a', b'1')], [])
        assert await read(store, 'a') == b'1'
        await journal.commit([('a', b'2')], [])
        await asyncio.sleep(0.5)
        assert await read(store, 'a') == b'2'

    run(check())


def test_late_commit_does_not_undo_a_later_one() -> None:
    """Guards against a store that carries a write out seconds later."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        journal = await make_journal(store)
        store.set_faults(faults.FaultPlan(late_writes=1, late_ms=400))
        await journal.commit([('a', b'old')], [])
        await journal.commit([('a', b'new')], [])
        await asyncio.sleep(0.6)
        assert await read(store, 'a') == b'new'

    run(check())


def test_former_owner_changes_nothing() -> None:
    """Guards against two owners after a partition."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        former = await make_journal(store)
        await former.commit([('a', b'1')], [])
        owner = await make_journal(store, 'entry-2')
        assert owner.epoch == former.epoch + 1
        with pytest.raises(journal_module.OwnershipLost):
            await former.commit([('a', b'2')], ['b'])
        assert await read(store, 'a') == b'1'
        await owner.commit([('a', b'3')], [])

    run(check())


def test_only_one_of_two_takes_over() -> None:
    """Guards against two entries that see the key vanish together."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        journals = [
            journal_module.Journal(
                store,
                records.OwnerRecord(1, name, 'boot', '127.0.0.1:1'),
                0,
                lambda error: None,
            )
            for name in ('entry-1', 'entry-2')
        ]
        lease = await store.grant_lease(60_000)
        won = await asyncio.gather(
            *(journal.acquire(0, lease.lease_id) for journal in journals)
        )
        assert sorted(won) == [False, True]

    run(check())


def test_refused_commit_is_said_to_be_not_written() -> None:
    """Guards against an acceptance that the store never saw."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        journal = await make_journal(store)
        store.set_faults(faults.FaultPlan(outage=faults.Outage.REFUSING))
        with pytest.raises(errors.BorageshelfError) as caught:
            await journal.commit([('a', b'1')], [])
        assert caught.value.code is errors.STORE_UNAVAILABLE
        store.set_faults(faults.FaultPlan())
        assert await read(store, 'a') is None
        await journal.commit([('a', b'2')], [])

    run(check())
