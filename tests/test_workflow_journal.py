"""Commits take effect exactly once and only for the current owner."""

import asyncio
from collections import abc

import pytest

from borageshelf import errors
from borageshelf.workflows import journal
from borageshelf.workflows import records
from standins import faults
from standins import memory_store


async def make_journal(
    store: memory_store.MemoryStore, entry_id: str = 'entry-1'
) -> journal.Journal:
    """Acquire the ownership for an entry and return its journal."""
    entry = await store.get(records.HEAD_KEY)
    head = records.HeadRecord()
    if entry is not None:
        head = journal.decode(entry.value, records.HeadRecord)
    owner_entry = await store.get(records.OWNER_KEY)
    lease = await store.grant_lease(60_000)
    writer = journal.Journal(
        store,
        records.OwnerRecord(head.epoch + 1, entry_id, 'boot', '127.0.0.1:1'),
        entry.revision if entry else 0,
        lambda error: None,
    )
    assert await writer.acquire(
        owner_entry.revision if owner_entry else 0, lease.lease_id
    )
    return writer


async def read(store: memory_store.MemoryStore, key: str) -> bytes | None:
    """Return the value of a key, or None."""
    entry = await store.get(key)
    return entry.value if entry else None


def run_with_timeout(coroutine: abc.Coroutine[None, None, None]) -> None:
    """Run a test with a timeout that only a hang reaches."""

    async def run_bounded() -> None:
        async with asyncio.timeout(30):
            await coroutine

    asyncio.run(run_bounded())


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
    """Guards against a commit that is lost or wrongly counted as lost.

    The answer or the request is lost, or the store executes the write late.
    """

    async def check() -> None:
        store = memory_store.MemoryStore()
        writer = await make_journal(store)
        store.set_faults(plan)
        await writer.commit([('a', b'1')], [])
        assert await read(store, 'a') == b'1'
        await writer.commit([('a', b'2')], [])
        await asyncio.sleep(0.5)
        assert await read(store, 'a') == b'2'

    run_with_timeout(check())


def test_delayed_commit_does_not_undo_a_newer_one() -> None:
    """Guards against a new value that an older one overwrites.

    The store may execute a write seconds late, after newer commits.
    """

    async def check() -> None:
        store = memory_store.MemoryStore()
        writer = await make_journal(store)
        store.set_faults(faults.FaultPlan(late_writes=1, late_ms=400))
        await writer.commit([('a', b'old')], [])
        await writer.commit([('a', b'new')], [])
        await asyncio.sleep(0.6)
        assert await read(store, 'a') == b'new'

    run_with_timeout(check())


def test_former_owner_changes_nothing() -> None:
    """Guards against writes of two owners after a partition.

    The former owner has not noticed the takeover and continues to commit.
    """

    async def check() -> None:
        store = memory_store.MemoryStore()
        former = await make_journal(store)
        await former.commit([('a', b'1')], [])
        owner = await make_journal(store, 'entry-2')
        assert owner.epoch == former.epoch + 1
        with pytest.raises(journal.OwnershipLost):
            await former.commit([('a', b'2')], ['b'])
        assert await read(store, 'a') == b'1'
        await owner.commit([('a', b'3')], [])

    run_with_timeout(check())


def test_only_one_of_two_entries_takes_over() -> None:
    """Guards against two owners with the same epoch.

    Two entries see the owner's key vanish at the same moment and both try to
    take over.
    """

    async def check() -> None:
        store = memory_store.MemoryStore()
        writers = [
            journal.Journal(
                store,
                records.OwnerRecord(1, name, 'boot', '127.0.0.1:1'),
                0,
                lambda error: None,
            )
            for name in ('entry-1', 'entry-2')
        ]
        lease = await store.grant_lease(60_000)
        acquired = await asyncio.gather(
            *(writer.acquire(0, lease.lease_id) for writer in writers)
        )
        assert sorted(acquired) == [False, True]

    run_with_timeout(check())


def test_refused_commit_raises_and_writes_nothing() -> None:
    """Guards against an acceptance that the store has never received."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        writer = await make_journal(store)
        store.set_faults(faults.FaultPlan(outage=faults.Outage.REFUSING))
        with pytest.raises(errors.BorageshelfError) as caught:
            await writer.commit([('a', b'1')], [])
        assert caught.value.code is errors.STORE_UNAVAILABLE
        store.set_faults(faults.FaultPlan())
        assert await read(store, 'a') is None
        await writer.commit([('a', b'2')], [])

    run_with_timeout(check())


def test_unanswered_commit_before_an_odd_head_is_not_refused() -> None:
    """Guards against "not written" for a commit that may have been written.

    Another writer has replaced the head before it could be read.
    """

    async def check() -> None:
        store = memory_store.MemoryStore()
        writer = await make_journal(store)
        store.set_faults(faults.FaultPlan(lost_answers=1))
        commit = asyncio.ensure_future(writer.commit([('a', b'1')], []))
        while await read(store, 'a') is None:
            await asyncio.sleep(0)
        head = await store.get(records.HEAD_KEY)
        assert head is not None
        await store.put(records.HEAD_KEY, b'odd', head.revision)
        with pytest.raises(journal.OwnershipLost):
            await commit

    run_with_timeout(check())
