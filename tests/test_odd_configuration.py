"""An odd configuration leaves the last good one in force."""

import asyncio
import json
import os
from typing import Any, Final

import pytest

from borageshelf.entry.workflows import configuration
from borageshelf import events
from borageshelf.platform import documents
from standins import faults
from standins import memory_store
from tests import odd_values
from tests import platform_support

KEY: Final = documents.CONFIGURATION_KEY
TIMEOUT_S: Final = 5


def make_document(version: int, **changes: Any) -> bytes:
    """Return an encoded configuration with a version."""
    return json.dumps(
        {**platform_support.CONFIGURATION, 'Version': version, **changes}
    ).encode()


def list_odd_documents() -> list[bytes]:
    """Return odd configurations of all kinds."""
    valid = make_document(9)
    odd = [
        *odd_values.NO_DOCUMENTS,
        *(
            odd_values.add_field(valid, odd_values.nest_objects(depth))
            for depth in odd_values.DEPTHS
        ),
        *(
            valid.replace(b'"Version": 9', b'"Version": ' + text.encode())
            for text in (*odd_values.HUGE_NUMBERS, *odd_values.SMALL_NUMBERS)
        ),
        make_document(9, Routes=[platform_support.ROUTE, {'Name': 'q'}]),
        make_document(9, Routes=None),
        make_document(9, Limits={'MaxBodyBytes': 10**30}),
    ]
    assert valid not in odd
    return odd


def make_follower(
    store: memory_store.MemoryStore,
) -> tuple[configuration.ConfigurationFollower, Any]:
    """Return a follower and its event log."""
    event_log = events.EventLog(
        'entry', 'test', os.open(os.devnull, os.O_WRONLY)
    )
    follower = configuration.ConfigurationFollower(
        store, KEY, documents.decode_configuration, event_log
    )
    return follower, event_log


@pytest.mark.parametrize('odd', list_odd_documents())
def test_odd_configuration_ends_no_watch(odd: bytes) -> None:
    """Guards against an entry that follows no configuration any more."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        revision = await store.put(KEY, make_document(1), 0)
        # Listed and watched together with the configuration.
        await store.put(KEY + '/odd', odd, 0)
        follower, _ = make_follower(store)
        follower_task = asyncio.ensure_future(follower.run())

        async def wait_for(version: int) -> None:
            while follower.configuration.version != version:
                assert not follower_task.done()
                await asyncio.sleep(0.01)

        async with asyncio.timeout(TIMEOUT_S):
            await wait_for(1)
            revision = await store.put(KEY, odd, revision)
            await asyncio.sleep(0.05)
            assert follower.configuration.version == 1
            await store.put(KEY, make_document(2), revision)
            await wait_for(2)
        follower_task.cancel()

    asyncio.run(check())


@pytest.mark.parametrize('odd', list_odd_documents()[::4])
def test_entry_that_starts_beside_an_odd_configuration_waits(
    odd: bytes,
) -> None:
    """Guards against an entry that ends or starts over again and again."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        revision = await store.put(KEY, odd, 0)
        follower, event_log = make_follower(store)
        follower_task = asyncio.ensure_future(follower.run())
        async with asyncio.timeout(TIMEOUT_S):
            await asyncio.sleep(0.05)
            store.set_faults(faults.FaultPlan(outage=faults.Outage.REFUSING))
            await asyncio.sleep(0.2)
            store.set_faults(faults.FaultPlan())
            await asyncio.sleep(0.4)
            assert not follower.is_known
            assert not follower_task.done()
            # Also after the store was lost and listed again.
            lines = [
                line
                for line in event_log._lines
                if b'configuration not readable' in line
            ]
            assert len(lines) == 1
            await store.put(KEY, make_document(2), revision)
            while follower.configuration.version != 2:
                await asyncio.sleep(0.01)
        follower_task.cancel()

    asyncio.run(check())
