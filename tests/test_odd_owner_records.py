"""An odd record of the owner hides neither the owner nor its absence."""

import asyncio
from collections import abc
import os
from typing import Any, Final

import msgspec
import pytest

from borageshelf.agent.workflows import owner_link
from borageshelf.entry.workflows import election
from borageshelf import errors
from borageshelf import events
from borageshelf.workflows import channel
from borageshelf.workflows import journal
from borageshelf.workflows import messages
from borageshelf.workflows import policy
from borageshelf.workflows import records
from standins import memory_store
from tests import odd_values

TIMEOUT_S: Final = 10
# Takeovers of a fleet in its whole life, at one in ten seconds for years.
MOST_TAKEOVERS: Final = 50_000_000
ADDRESS: Final = '127.0.0.1:1'


def encode_owner(*fields: object) -> bytes:
    """Return a record of an owner with any fields."""
    return msgspec.msgpack.encode(fields)


ODD_RECORDS: Final = (
    b'',
    b'\xc1',
    b'not MessagePack',
    odd_values.nest_msgpack(5_000),
    odd_values.nest_msgpack(100_000),
    b'\x95\x01\xa1e\xa1b\xab127.0.0.1:2' + odd_values.nest_msgpack(5_000),
    encode_owner(2**63, 'other', 'boot', ADDRESS),
    encode_owner(2**60, 'other', 'boot', ADDRESS),
    encode_owner(-1, 'other', 'boot', ADDRESS),
    encode_owner(1.5, 'other', 'boot', ADDRESS),
    encode_owner(7, 'other', 'boot'),
    encode_owner(7, None, 'boot', ADDRESS),
    *(
        encode_owner(7, 'other', 'boot', address)
        for address in odd_values.ODD_ADDRESSES
    ),
)


def make_event_log() -> Any:
    """Return an event log that keeps its lines until it is run."""
    return events.EventLog('entry', 'test', os.open(os.devnull, os.O_WRONLY))


def make_election(
    store: memory_store.MemoryStore, address: str = ADDRESS
) -> election.Election:
    """Return the election of an entry that nobody reaches."""
    return election.Election(
        election.Identity('own', 'boot-own', address),
        store,
        policy.OwnerPolicy(5_000, 60_000),
        make_event_log(),
        lambda: (0, b''),
        lambda document: None,
    )


async def read_owner(
    store: memory_store.MemoryStore,
) -> records.OwnerRecord | None:
    """Return the stored record of the owner; None if there is none."""
    entry = await store.get(records.OWNER_KEY)
    if entry is None:
        return None
    try:
        found: records.OwnerRecord = journal.decode_owner(entry.value)
    except errors.BorageshelfError:
        return None
    return found


async def write_odd(
    store: memory_store.MemoryStore, key: str, odd: bytes
) -> None:
    """Replace the value of a key, without a lease."""
    while True:
        entry = await store.get(key)
        try:
            await store.put(key, odd, entry.revision if entry else 0)
        except errors.BorageshelfError:
            await asyncio.sleep(0)
            continue
        return


async def wait_until(
    is_met: abc.Callable[[], abc.Awaitable[bool]],
) -> None:
    """Wait until a condition is met."""
    async with asyncio.timeout(TIMEOUT_S):
        while not await is_met():
            await asyncio.sleep(0.01)


async def wait_for_ownership(
    store: memory_store.MemoryStore, candidate: election.Election
) -> None:
    """Wait until an entry is the owner and the store names it."""

    async def is_owner() -> bool:
        owner = await read_owner(store)
        return (
            candidate.local_owner is not None
            and owner is not None
            and owner.entry_id == 'own'
        )

    await wait_until(is_owner)


@pytest.mark.parametrize('odd', ODD_RECORDS)
def test_odd_record_keeps_no_entry_from_taking_over(odd: bytes) -> None:
    """Guards against workflows without an owner for good."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        await write_odd(store, records.OWNER_KEY, odd)
        candidate = make_election(store)
        candidate.start()
        await wait_for_ownership(store, candidate)
        await candidate.stop()

    asyncio.run(check())


@pytest.mark.parametrize('odd', ODD_RECORDS)
def test_odd_record_does_not_outlive_a_dead_owner(odd: bytes) -> None:
    """Guards against a takeover that always fails at the odd revision.

    The lease of a dead owner removes its own record, but not one that another
    writer has put in its place.
    """

    async def check() -> None:
        store = memory_store.MemoryStore()
        former = records.OwnerRecord(3, 'former', 'boot-former', ADDRESS)
        head = records.HeadRecord(3, 'former', 'boot-former', ADDRESS, 'id')
        await store.put(records.HEAD_KEY, journal.encode(head), 0)
        await store.put(records.OWNER_KEY, journal.encode(former), 0)
        candidate: Any = make_election(store)
        # The odd record is written before the owner is found to be dead.
        for entry in await store.list(records.OWNER_KEY):
            candidate._apply_owner_key(entry)
        await write_odd(store, records.OWNER_KEY, odd)
        candidate.start()
        await wait_for_ownership(store, candidate)
        assert candidate.local_owner.epoch == 4
        await candidate.stop()

    asyncio.run(check())


@pytest.mark.parametrize('odd', ODD_RECORDS)
def test_owner_replaces_an_odd_record(odd: bytes) -> None:
    """Guards against an owner that steps down, or that nobody finds."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        owner = make_election(store)
        owner.start()
        await wait_for_ownership(store, owner)
        first = owner.local_owner
        assert first is not None
        await write_odd(store, records.OWNER_KEY, odd)
        await wait_for_ownership(store, owner)
        assert owner.local_owner is first
        await owner.stop()

    asyncio.run(check())


@pytest.mark.parametrize('suffix', ['-odd', '/odd'])
def test_key_beside_the_record_is_not_the_owner(suffix: str) -> None:
    """Guards against another key that a prefix of the store includes."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        other = records.OwnerRecord(9, 'other', 'boot-other', ADDRESS)
        key = records.OWNER_KEY + suffix
        await write_odd(store, key, journal.encode(other))
        owner = make_election(store)
        owner.start()
        await wait_for_ownership(store, owner)
        first = owner.local_owner
        await write_odd(store, key, journal.encode(other))
        entry = await store.get(key)
        assert entry is not None
        before = await store.get(records.OWNER_KEY)
        await store.delete(key, entry.revision)
        await asyncio.sleep(0.2)
        assert owner.local_owner is first
        assert await store.get(records.OWNER_KEY) == before
        await owner.stop()

    asyncio.run(check())


@pytest.mark.parametrize('odd', ODD_RECORDS)
def test_agent_goes_on_beside_an_odd_record(odd: bytes) -> None:
    """Guards against an agent whose search for the owner ends."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        await write_odd(store, records.OWNER_KEY, odd)
        event_log = make_event_log()
        link: Any = owner_link.OwnerLink(
            ['127.0.0.1:1'],
            store,
            lambda: messages.AgentHello('vm', 'boot', 'north', 'i/1'),
            event_log,
        )
        for _ in range(3):
            await link._read_owner_from_store()
        assert link._owner_address == ''
        lines = [
            line for line in event_log._lines if b'owner not readable' in line
        ]
        assert len(lines) == 1
        owner = records.OwnerRecord(3, 'entry', 'boot', '127.0.0.1:2')
        await write_odd(store, records.OWNER_KEY, journal.encode(owner))
        await link._read_owner_from_store()
        assert link._owner_address == '127.0.0.1:2'

    asyncio.run(check())


@pytest.mark.parametrize('address', odd_values.ODD_ADDRESSES)
def test_odd_address_of_an_entry_hides_no_other(address: str) -> None:
    """Guards against a stream to the owner that an odd address ends."""

    async def check() -> None:
        attached = asyncio.Event()

        async def serve(
            incoming: abc.AsyncIterator[messages.AnyMessage],
            outbox: channel.Outbox,
        ) -> None:
            attached.set()
            await asyncio.sleep(TIMEOUT_S)

        server = channel.make_server(channel.Service(serve))
        await server.start('127.0.0.1', 0)
        sockets = server._server.sockets  # type: ignore[union-attr]
        good = f'127.0.0.1:{sockets[0].getsockname()[1]}'
        link: Any = owner_link.OwnerLink(
            [],
            memory_store.MemoryStore(),
            lambda: messages.AgentHello('vm', 'boot', 'north', 'i/1'),
            make_event_log(),
        )
        link._apply_redirect(
            messages.Redirect(
                'e',
                'b',
                3,
                address,
                (
                    messages.EntryAddress('odd', address),
                    messages.EntryAddress('good', good),
                ),
            ),
            ADDRESS,
        )
        task = asyncio.ensure_future(link.run())
        async with asyncio.timeout(TIMEOUT_S):
            await attached.wait()
        assert not task.done()
        task.cancel()
        server.close()

    asyncio.run(check())


@pytest.mark.parametrize('odd', ODD_RECORDS[:8])
def test_odd_head_costs_the_owner_its_epoch_only(odd: bytes) -> None:
    """Guards against an owner that no entry can follow."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        entry = make_election(store)
        entry.start()
        await wait_for_ownership(store, entry)
        first = entry.local_owner
        assert first is not None
        await write_odd(store, records.HEAD_KEY, odd)

        async def is_replaced() -> bool:
            return entry.local_owner not in (None, first)

        await wait_until(is_replaced)
        second = entry.local_owner
        assert second is not None
        # Higher than that of any owner that this entry may have missed.
        assert second.epoch > first.epoch + 1
        await entry.stop()

    asyncio.run(check())


def test_owner_after_an_odd_head_has_a_later_epoch_than_all_before() -> None:
    """Guards against an owner whose orders executors refuse as outdated.

    No entry knows a former owner, so its epoch is not known either.
    """

    async def check() -> None:
        store = memory_store.MemoryStore()
        epochs = [MOST_TAKEOVERS]
        for _ in range(2):
            await write_odd(store, records.HEAD_KEY, b'odd')
            entry = make_election(store)
            entry.start()
            await wait_for_ownership(store, entry)
            owner = entry.local_owner
            assert owner is not None
            epochs.append(owner.epoch)
            await entry.stop()
            owner_entry = await store.get(records.OWNER_KEY)
            if owner_entry is not None:
                await store.delete(records.OWNER_KEY, owner_entry.revision)
            # Entries estimate the epoch by seconds.
            await asyncio.sleep(1.1)
        assert epochs == sorted(set(epochs))

    asyncio.run(check())
