"""Entries that are cut off from the store still reach the owner."""

import asyncio
from collections import abc
import contextlib
import os
from typing import Any

from bench import free_ports
from borageshelf import clock
from borageshelf.entry.workflows import election
from borageshelf.entry.workflows import owner_stream
from borageshelf.entry.workflows import runtime
from borageshelf import errors
from borageshelf import events
from borageshelf.workflows import channel
from borageshelf.workflows import policy
from borageshelf.workflows import records
from standins import memory_store

HOST = '127.0.0.1'
POLICY = policy.OwnerPolicy(policy.GRANT_LIMIT_MS, 60_000)
# Rule LOST allows tasks that last 9 s from the loss of a VM to the next run,
# and 7 s from a planned stop; 0.2 s go by until it is placed.
LASTING_LIMIT_MS = 8_400
RESIGNED_LASTING_LIMIT_MS = 6_900
# Entries learn of a commit with the answer to their next ping.
PING_MS = election.PING_INTERVAL_MS + 100


class CutStore:
    """A store whose calls fail while this entry is cut off from it.

    :ivar loses_answers: whether writes are carried out but not answered
    """

    def __init__(self, store: memory_store.MemoryStore) -> None:
        self._store = store
        self.is_cut = False
        self.loses_answers = False

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._store, name)

        async def call(*arguments: Any) -> Any:
            if self.is_cut:
                await asyncio.sleep(0.01)
                raise errors.BorageshelfError(errors.STORE_UNAVAILABLE, 'cut')
            watched = asyncio.ensure_future(method(*arguments))
            while not watched.done():
                await asyncio.wait({watched}, timeout=0.05)
                if self.is_cut and not watched.done():
                    watched.cancel()
                    raise errors.BorageshelfError(
                        errors.STORE_UNAVAILABLE, 'cut'
                    )
            if self.loses_answers and name in ('commit', 'renew_lease'):
                await asyncio.sleep(0.3)
                raise errors.BorageshelfError(errors.STORE_UNCERTAIN, 'lost')
            return watched.result()

        return call


class RunningEntry:
    """The election of one entry, which listens for others."""

    def __init__(
        self, number: int, store: memory_store.MemoryStore, port: int
    ) -> None:
        self.store = CutStore(store)
        address = f'{HOST}:{port}'
        name = f'entry-{number}'
        self.election = election.Election(
            election.Identity(name, f'boot-{name}', address, 1_000),
            self.store,
            POLICY,
            events.EventLog('entry', name, os.open(os.devnull, os.O_WRONLY)),
            lambda: (0, b''),
            lambda document: None,
        )


@contextlib.asynccontextmanager
async def run_entries(
    store: memory_store.MemoryStore, count: int
) -> abc.AsyncIterator[list[RunningEntry]]:
    """Run entries that elect an owner."""
    ports = free_ports.find_free_ports(count)
    entries = [
        RunningEntry(number, store, port) for number, port in enumerate(ports)
    ]
    async with contextlib.AsyncExitStack() as stack:
        for entry, port in zip(entries, ports, strict=True):
            server = channel.make_server(channel.Service(entry.election.serve))
            await server.start(HOST, port)
            stack.callback(server.close)
            entry.election.start()
            stack.push_async_callback(entry.election.stop)
        await wait_until(
            lambda: all(entry.election.is_owner_known for entry in entries)
        )
        yield entries


async def wait_until(is_met: abc.Callable[[], bool]) -> None:
    """Wait until a condition is met."""
    async with asyncio.timeout(10):
        while not is_met():
            await asyncio.sleep(0.02)


def sort_owner_first(entries: list[RunningEntry]) -> list[RunningEntry]:
    """Return the entries, the owner first."""
    return sorted(
        entries, key=lambda entry: entry.election.local_owner is None
    )


def find_epoch(entry: RunningEntry) -> int:
    """Return the epoch of the owner that an entry can reach, or 0."""
    found = entry.election
    if found.local_owner is not None:
        return found.local_owner.epoch
    return found.owner_link.epoch if found.owner_link is not None else 0


def test_cut_entry_finds_the_next_owner() -> None:
    """Guards against callers who are refused by an entry that is cut off.

    With a third of the entries cut off from the store, the owner among them,
    the others elected a new one. The cut entries could reach it but learned of
    it only from the store, so they refused their callers until the cut ended.
    """

    async def check() -> None:
        store = memory_store.MemoryStore()
        async with run_entries(store, 4) as entries:
            owner, *others = sort_owner_first(entries)
            others[0].store.is_cut = owner.store.is_cut = True
            former_epoch = find_epoch(owner)
            stored = await store.get(records.OWNER_KEY)
            assert stored is not None
            await store.revoke_lease(stored.lease_id)
            await wait_until(
                lambda: all(
                    find_epoch(entry) > former_epoch for entry in entries
                )
            )
            assert owner.election.local_owner is None
            successors = [e for e in entries if e.election.local_owner]
            assert len(successors) == 1
            assert successors[0] not in (owner, others[0])
            others[0].store.is_cut = owner.store.is_cut = False
            await asyncio.sleep(1)
            assert len({find_epoch(entry) for entry in entries}) == 1

    asyncio.run(check())


def test_cut_entry_finds_the_owner_after_its_owner_has_died() -> None:
    """Guards against an entry that knows only an owner that is gone."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        async with run_entries(store, 4) as entries:
            owner, *others = sort_owner_first(entries)
            others[0].store.is_cut = True
            former_epoch = find_epoch(owner)
            await owner.election.resign()
            await wait_until(
                lambda: all(
                    find_epoch(entry) > former_epoch for entry in others
                )
            )
            assert others[0].election.local_owner is None

    asyncio.run(check())


def test_owner_without_the_store_is_replaced_before_its_lease_ends() -> None:
    """Guards against seconds without an owner when only the owner is cut off.

    Its key remains until the lease ends after 2 s, and the others gave it
    another 0.7 s to write the key again. The lease never ends here.
    """

    async def check() -> None:
        store = memory_store.MemoryStore()
        async with run_entries(store, 3) as entries:
            owner = sort_owner_first(entries)[0]
            former_epoch = find_epoch(owner)
            stored = await store.get(records.OWNER_KEY)
            assert stored is not None
            await store.put(records.OWNER_KEY, stored.value, stored.revision)
            owner.store.is_cut = True
            begun_at_ms = clock.read_elapsed_ms()
            await wait_until(
                lambda: all(
                    find_epoch(entry) > former_epoch for entry in entries
                )
            )
            assert clock.read_elapsed_ms() - begun_at_ms < 2_700

    asyncio.run(check())


def test_wait_for_former_grants_begins_with_the_last_commit() -> None:
    """Guards against lasting tasks without a run after a takeover (LOST).

    Nobody can extend a grant long after the last commit, however long the
    takeover takes.
    """

    async def check() -> None:
        store = memory_store.MemoryStore()
        async with run_entries(store, 3) as entries:
            owner = sort_owner_first(entries)[0]
            former_epoch = find_epoch(owner)
            await wait_until(
                lambda: all(
                    entry.election.owner_link is not None
                    for entry in entries
                    if entry is not owner
                )
            )
            owner.store.is_cut = True
            cut_at_ms = clock.read_elapsed_ms()
            await wait_until(
                lambda: max(map(find_epoch, entries)) > former_epoch
            )
            assert clock.read_elapsed_ms() - cut_at_ms > 1_000
            successor = next(
                entry.election.local_owner
                for entry in entries
                if entry is not owner and entry.election.local_owner
            )
            limits = runtime.compute_former_limits(POLICY, False)
            deadlines = successor.former_deadlines
            assert (
                deadlines.lasting_ms - cut_at_ms <= LASTING_LIMIT_MS + PING_MS
            )
            assert deadlines.other_ms - cut_at_ms <= limits.other_ms + PING_MS

    asyncio.run(check())


def test_head_is_looked_at_before_a_silent_owner_is_given_up() -> None:
    """Guards against lasting tasks without a run behind a frozen owner."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        head = await store.put(records.HEAD_KEY, b'head', 0)
        entry = RunningEntry(0, store, 1)
        owner = records.OwnerRecord(1, 'entry-1', 'boot', f'{HOST}:1')
        link = owner_stream.OwnerLink(1, channel.Outbox())
        link.last_received_at_ms = begun_at_ms = clock.read_elapsed_ms()
        pings = asyncio.ensure_future(entry.election._ping_owner(owner, link))
        await wait_until(lambda: entry.election._head_revision == head)
        assert (
            entry.election._head_seen_at_ms - begun_at_ms
            < election.OWNER_SILENCE_LIMIT_MS - election.PING_INTERVAL_MS / 2
        )
        pings.cancel()

    asyncio.run(check())


def test_former_grants_end_sooner_after_a_resignation() -> None:
    """Guards against lasting tasks without a run after a planned stop."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        async with run_entries(store, 2) as entries:
            owner, other = sort_owner_first(entries)
            await owner.election.resign()
            resigned_at_ms = clock.read_elapsed_ms()
            await wait_until(lambda: other.election.local_owner is not None)
            successor = other.election.local_owner
            assert successor is not None
            assert (
                successor.former_deadlines.lasting_ms - resigned_at_ms
                <= RESIGNED_LASTING_LIMIT_MS + PING_MS
            )

    asyncio.run(check())


def test_owner_is_kept_while_its_answers_are_lost() -> None:
    """Guards against owners that replace each other on a lossy store.

    A play with 35% of the answers lost for 10 s changed the owner three times.
    """

    async def check() -> None:
        store = memory_store.MemoryStore()
        async with run_entries(store, 3) as entries:
            owner = sort_owner_first(entries)[0]
            epoch = find_epoch(owner)
            owner.store.loses_answers = True
            for _ in range(50):
                await asyncio.sleep(0.1)
                assert {find_epoch(entry) for entry in entries} == {epoch}

    asyncio.run(check())


def test_owner_is_kept_while_nobody_reaches_the_store() -> None:
    """Guards against an owner that is given up although no other is better."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        async with run_entries(store, 3) as entries:
            epoch = find_epoch(entries[0])
            for entry in entries:
                entry.store.is_cut = True
            for _ in range(40):
                await asyncio.sleep(0.1)
                assert {find_epoch(entry) for entry in entries} <= {epoch, 0}
            for entry in entries:
                entry.store.is_cut = False
            await wait_until(
                lambda: all(find_epoch(entry) for entry in entries)
            )

    asyncio.run(check())
