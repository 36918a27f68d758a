"""Tests of how an entry follows the queue configuration."""

import asyncio
import json

from borageshelf.entry.workflows import configuration
from borageshelf import events
from borageshelf.platform import documents
from standins import faults
from standins import memory_store
from tests import platform_support

KEY = documents.CONFIGURATION_KEY


def make_document(version: int) -> bytes:
    """Return an encoded configuration with a version."""
    return json.dumps(
        {**platform_support.CONFIGURATION, 'Version': version}
    ).encode()


def test_version_never_goes_back() -> None:
    """Guards against a configuration that is replaced by an older one.

    A slow peer sends an older version or a malformed document.
    """
    follower = configuration.ConfigurationFollower(
        memory_store.MemoryStore(),
        KEY,
        documents.decode_configuration,
        events.EventLog('entry', 'test', descriptor=1),
    )
    follower.apply_if_newer(make_document(7))
    follower.apply_if_newer(make_document(5))
    follower.apply_if_newer(b'{"Version": 9, "Routes": "cut sho')
    assert follower.configuration.version == 7


def test_change_is_followed_through_an_outage_and_lost_history() -> None:
    """Guards against a watch that misses changes.

    The store was down or had compacted its history when they happened.
    """

    async def check() -> None:
        store = memory_store.MemoryStore()
        revision = await store.put(KEY, make_document(1), 0)
        follower = configuration.ConfigurationFollower(
            store,
            KEY,
            documents.decode_configuration,
            events.EventLog('entry', 'test', descriptor=1),
        )
        follower_task = asyncio.ensure_future(follower.run())

        async def wait_for(version: int) -> None:
            while follower.configuration.version != version:
                await asyncio.sleep(0.01)

        async with asyncio.timeout(20):
            await wait_for(1)
            revision = await store.put(KEY, make_document(2), revision)
            await wait_for(2)
            store.set_faults(faults.FaultPlan(outage=faults.Outage.REFUSING))
            await asyncio.sleep(0.3)
            store.set_faults(faults.FaultPlan())
            revision = await store.put(KEY, make_document(3), revision)
            store.compact()
            await wait_for(3)
        follower_task.cancel()

    asyncio.run(check())


def test_longest_prefix_of_the_host_wins() -> None:
    """Guards against a request that is routed to the wrong queue."""
    routes = platform_support.CONFIGURATION['Routes']
    assert isinstance(routes, list)
    longer = {**routes[0], 'Name': 'longer', 'PathPrefix': '/short/er/'}
    other = {**routes[0], 'Name': 'other', 'Host': 'other.example'}
    decoded = documents.decode_configuration(
        json.dumps(
            {
                **platform_support.CONFIGURATION,
                'Routes': [*routes, longer, other],
            }
        ).encode()
    )
    cases = {
        ('jobs.example', '/short/1'): 'short',
        ('jobs.example', '/short/er/1'): 'longer',
        ('other.example', '/short/er/1'): 'other',
        ('jobs.example', '/none/1'): None,
        ('none.example', '/short/1'): None,
    }
    for (host, path), name in cases.items():
        queue = decoded.find_queue(host, path)
        assert (queue.name if queue else None) == name
