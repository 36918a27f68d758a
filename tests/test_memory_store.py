"""Tests that the in-memory store follows the store interface."""

import asyncio
from collections import abc

import hypothesis
from hypothesis import strategies
import pytest

from borageshelf import errors
from borageshelf.ports import store as store_interface
from standins import clocks
from standins import faults
from standins import memory_store

KEYS = strategies.sampled_from(('a/1', 'a/2', 'b/1'))
OPERATIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(('put', 'delete')), KEYS, strategies.booleans()
    ),
    max_size=30,
)


async def expect(
    code: errors.ResultCode, call: abc.Awaitable[object]
) -> errors.BorageshelfError:
    """Await a call that must fail with a result code; return the error."""
    with pytest.raises(errors.BorageshelfError) as caught:
        await call
    assert caught.value.code is code
    return caught.value


@hypothesis.given(OPERATIONS)
def test_writes_agree_with_a_dictionary(
    operations: list[tuple[str, str, bool]],
) -> None:
    """Guards against a write that ignores the expected revision."""

    async def compare() -> None:
        store = memory_store.MemoryStore(clocks.ManualClock())
        model: dict[str, tuple[bytes, int]] = {}
        for count, (kind, key, is_stale) in enumerate(operations):
            expected = model.get(key, (b'', 0))[1] + is_stale
            value = str(count).encode()
            call: abc.Awaitable[object]
            if kind == 'put':
                call = store.put(key, value, expected)
            else:
                call = store.delete(key, expected)
            if is_stale:
                await expect(errors.STORE_CONFLICT, call)
                continue
            revision = await call
            model.pop(key, None)
            if isinstance(revision, int):
                assert revision == store.revision
                model[key] = (value, revision)
        listed = {
            entry.key: (entry.value, entry.revision)
            for entry in await store.list('')
        }
        assert listed == model

    asyncio.run(compare())


@hypothesis.given(OPERATIONS, strategies.integers(0, 30))
def test_watch_reports_every_change(
    operations: list[tuple[str, str, bool]], compact_at: int
) -> None:
    """Guards against a change that no watch answer reports."""

    async def follow() -> None:
        store = memory_store.MemoryStore(clocks.ManualClock())
        seen: dict[str, bytes] = {}
        revision = 0
        for count, (kind, key, is_skipped) in enumerate(operations):
            found = await store.get(key)
            expected = found.revision if found else 0
            if kind == 'put':
                await store.put(key, str(count).encode(), expected)
            elif found:
                await store.delete(key, expected)
            if count == compact_at:
                store.compact()
            if not is_skipped:
                revision = await read_changes(store, seen, revision)
        await read_changes(store, seen, revision)
        listed = await store.list('a/')
        assert seen == {entry.key: entry.value for entry in listed}

    asyncio.run(follow())


async def read_changes(
    store: memory_store.MemoryStore, seen: dict[str, bytes], revision: int
) -> int:
    """Apply reported changes to a copy; list anew after a compaction."""
    answer = await store.watch('a/', revision, 0)
    if answer.compacted:
        seen.clear()
        entries = await store.list('a/')
    else:
        entries = answer.entries
    for entry in entries:
        seen.pop(entry.key, None)
        if not entry.deleted:
            seen[entry.key] = entry.value
    return answer.revision


def test_lapsed_lease_removes_its_keys_and_wakes_watches() -> None:
    """Guards against members that stay listed after their process ended."""

    async def check() -> None:
        clock = clocks.ManualClock()
        store = memory_store.MemoryStore(clock)
        lease = await store.grant_lease(1_000)
        revision = await store.put('entries/a', b'', 0, lease.lease_id)
        watch = asyncio.ensure_future(
            store.watch('entries/', revision, clock.read_ms() + 60_000)
        )
        await clock.advance(900)
        await store.renew_lease(lease.lease_id)
        await clock.advance(999)
        assert not watch.done()
        await clock.advance(1)
        assert [entry.deleted for entry in watch.result().entries] == [True]
        await expect(errors.LEASE_LOST, store.renew_lease(lease.lease_id))
        await expect(errors.LEASE_LOST, store.put('x', b'', 0, lease.lease_id))

    asyncio.run(check())


def test_waiting_watch_counts_once_and_answers_at_its_deadline() -> None:
    """Guards against wrong counts of the calls to the store.

    A watch counts once however long it waits and whatever wakes it.
    """

    async def check() -> None:
        clock = clocks.ManualClock()
        store = memory_store.MemoryStore(clock)
        watch = asyncio.ensure_future(
            store.watch('a/', 0, clock.read_ms() + 5_000)
        )
        await clock.advance(1_000)
        await store.put('b/1', b'', 0)
        await clock.advance(3_999)
        assert store.waiting_watches == 1
        await clock.advance(1)
        assert watch.result().entries == ()
        assert watch.result().revision == 1
        assert store.calls == {'watch': 1, 'put': 1}
        assert store.waiting_watches == 0

    asyncio.run(check())


def test_limits_refuse_without_effect() -> None:
    """Guards against accepting values and rates that the platform refuses."""

    async def check() -> None:
        clock = clocks.ManualClock()
        store = memory_store.MemoryStore(
            clock, reads_per_second=2, writes_per_second=2
        )
        large = b'x' * (memory_store.VALUE_LIMIT_BYTES + 1)
        await expect(errors.VALUE_TOO_LARGE, store.put('a', large, 0))
        await store.put('a', large[1:], 0)
        await expect(errors.STORE_UNAVAILABLE, store.put('b', b'', 0))
        await store.get('b')
        await store.get('b')
        await expect(errors.STORE_UNAVAILABLE, store.get('b'))
        await clock.advance(500)
        assert await store.get('b') is None
        assert store.calls['refused'] == 2

    asyncio.run(check())


def test_lost_and_late_writes_take_effect_as_planned() -> None:
    """Guards against an injected fault that has another effect than stated.

    A lost request has no effect, a lost answer has one, and a late write is
    refused if another write has overtaken it.
    """

    async def check() -> None:
        clock = clocks.ManualClock()
        store = memory_store.MemoryStore(clock)
        store.set_faults(faults.FaultPlan(lost_requests=1, lost_answers=1))
        await expect(errors.STORE_UNCERTAIN, store.put('a', b'1', 0))
        assert await store.get('a') is None
        await expect(errors.STORE_UNCERTAIN, store.put('a', b'2', 0))
        found = await store.get('a')
        assert found is not None
        assert found.value == b'2'
        store.set_faults(faults.FaultPlan(late_writes=2, late_ms=1_000))
        late = store.put('a', b'3', found.revision)
        await expect(errors.STORE_UNCERTAIN, late)
        overtaken = store.put('a', b'4', found.revision)
        await expect(errors.STORE_UNCERTAIN, overtaken)
        assert await store.get('a') == found
        await clock.advance(1_000)
        newest = await store.get('a')
        assert newest is not None
        assert newest.value == b'3'

    asyncio.run(check())


def test_outages_hold_or_refuse_calls_without_effect() -> None:
    """Guards against an outage during which calls are applied or answered."""

    async def check() -> None:
        store = memory_store.MemoryStore(clocks.ManualClock())
        store.set_faults(faults.FaultPlan(outage=faults.Outage.REFUSING))
        await expect(errors.STORE_UNAVAILABLE, store.put('a', b'', 0))
        store.set_faults(faults.FaultPlan(outage=faults.Outage.SILENT))
        put = asyncio.ensure_future(store.put('a', b'', 0))
        get = asyncio.ensure_future(store.get('a'))
        await asyncio.wait((put, get), timeout=0.01)
        assert not put.done()
        assert not get.done()
        store.set_faults(faults.FaultPlan())
        await expect(errors.STORE_UNCERTAIN, put)
        await expect(errors.STORE_UNAVAILABLE, get)
        assert await store.get('a') is None

    asyncio.run(check())


def test_delay_postpones_the_effect() -> None:
    """Guards against a delayed write that is applied at once."""

    async def check() -> None:
        clock = clocks.ManualClock()
        store = memory_store.MemoryStore(clock)
        store.set_faults(faults.FaultPlan(delay_ms=300))
        put = asyncio.ensure_future(store.put('a', b'', 0))
        await clock.advance(299)
        assert store.revision == 0
        await clock.advance(1)
        assert await put == 1

    asyncio.run(check())


def test_transaction_has_one_revision() -> None:
    """Guards against a commit whose removals get a later revision.

    The writer would then record a higher revision than its entries have, and
    its next commit would conflict with its own entries.
    """

    async def check() -> None:
        store = memory_store.MemoryStore()
        await store.put('old', b'', 0)
        transaction = store_interface.Transaction(
            (('head', 0),), (store_interface.Write('head', b'1'),), ('old',)
        )
        revision = await store.commit(transaction)
        entry = await store.get('head')
        assert entry is not None
        assert entry.revision == revision == store.revision

    asyncio.run(check())
