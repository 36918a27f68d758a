"""Entries that elect an owner, each behind a proxy with small windows."""

import asyncio
from collections import abc
import contextlib
import os
from typing import Final

from bench import free_ports
from borageshelf import clock
from borageshelf.entry.workflows import election
from borageshelf import events
from borageshelf import loop
from borageshelf.workflows import channel
from borageshelf.workflows import policy
from standins import memory_store
from tests.soak import proxies

HOST: Final = '127.0.0.1'
STOP_LIMIT_MS: Final = 1_250


class Document:
    """A configuration that an operator changes."""

    def __init__(self) -> None:
        self.version = 1

    def get(self) -> tuple[int, bytes]:
        """Return its version and a large document."""
        return self.version, b'x' * 2_000_000


class Entry:
    """The election of an entry behind a proxy.

    :ivar proxy: what all others reach it through
    """

    def __init__(
        self, number: int, store: memory_store.MemoryStore, millicores: int
    ) -> None:
        self.document = Document()
        (self._port,) = free_ports.find_free_ports(1)
        self._number = number
        self._store = store
        self._millicores = millicores
        self.proxy = proxies.Proxy(
            f'{HOST}:{self._port}', has_small_windows=True
        )
        self.election: election.Election = None  # type: ignore[assignment]

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Listen, and take part in the election."""
        address = await self.proxy.start()
        name = f'entry-{self._number}'
        self.election = election.Election(
            election.Identity(name, f'boot-{name}', address, self._millicores),
            self._store,
            policy.OwnerPolicy(policy.GRANT_LIMIT_MS, 60_000),
            events.EventLog('entry', name, os.open(os.devnull, os.O_WRONLY)),
            self.document.get,
            lambda document: None,
        )
        server = channel.make_server(channel.Service(self.election.serve))
        await server.start(HOST, self._port)
        stack.push_async_callback(self.proxy.stop)
        stack.callback(server.close)
        self.election.start()
        stack.push_async_callback(self.stop)

    async def stop(self) -> None:
        """Stop the election, or give up."""
        await loop.finish_by(
            self.election.stop(), clock.read_elapsed_ms() + STOP_LIMIT_MS
        )

    @property
    def is_owner(self) -> bool:
        """Tell whether it is the owner."""
        return self.election.local_owner is not None


async def wait_until(is_met: abc.Callable[[], bool], limit_ms: int) -> None:
    """Wait until a condition is met."""
    deadline_ms = clock.read_elapsed_ms() + limit_ms
    while not is_met():
        assert clock.read_elapsed_ms() < deadline_ms
        await asyncio.sleep(0.02)


async def start_pair(
    stack: contextlib.AsyncExitStack, millicores: tuple[int, int]
) -> tuple[Entry, Entry]:
    """Return an owner and an entry that follows it."""
    store = memory_store.MemoryStore()
    owner, follower = (
        Entry(number, store, size) for number, size in enumerate(millicores)
    )
    await owner.start(stack)
    await wait_until(lambda: owner.is_owner, 10_000)
    await follower.start(stack)
    await wait_until(lambda: follower.election.owner_link is not None, 10_000)
    return owner, follower
