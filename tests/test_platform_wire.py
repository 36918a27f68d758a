"""Tests of the platform adapters against stand-ins of the platform."""

import asyncio
import json
from typing import Any

import pytest

from borageshelf import errors
from borageshelf.model import resources
from borageshelf.platform import documents
from borageshelf.platform import executor as platform_executor
from borageshelf.platform import store as store_adapter
from borageshelf.ports import http_client
from borageshelf.ports import store as store_interface
from borageshelf.ports import task_executor
from standins import memory_store
from standins import platform_store
from tests import loopback


@pytest.mark.parametrize(
    'content',
    [
        '"Running":[["t","x","",0]],"EndedRuns":[]',
        '"Running":[["t",1,"",null]],"EndedRuns":[]',
        '"Running":[["t",1,"",1e400]],"EndedRuns":[]',
        '"Running":[["t",1]],"EndedRuns":[]',
        '"Running":[],"EndedRuns":[[1,"t",1,"vanished",""]]',
        '"Running":[],"EndedRuns":[[1,"t",1,[],""]]',
        '"Running":[],"EndedRuns":[],"Odd":' + '[' * 5_000 + ']' * 5_000,
    ],
)
def test_unreadable_list_of_runs_counts_as_no_answer(
    content: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an agent that fails instead of judging the lease."""

    async def send(*arguments: Any) -> http_client.Answer:
        return http_client.Answer(200, f'{{"ClockMs":1,{content}}}'.encode())

    async def check() -> None:
        executor = platform_executor.PlatformExecutor('127.0.0.1:1')
        monkeypatch.setattr(executor, '_send', send)
        with pytest.raises(task_executor.ExecutorUnavailable):
            await executor.inspect('i-1', 1, 0, 0, 0)

    loopback.run(check())


def test_store_calls() -> None:
    """Guards against a call that the platform's store reads differently."""

    async def check() -> None:
        memory = memory_store.MemoryStore()
        handlers = platform_store.PlatformStoreHandlers(memory)
        async with loopback.serve(handlers.make_site()) as url:
            store = store_adapter.PlatformStore(url.removeprefix('http://'))
            assert await store.get('a') is None
            lease = await store.grant_lease(5_000)
            writes = tuple(
                store_interface.Write(f'k/{number}', bytes([number]))
                for number in range(7)
            )
            owner = store_interface.Write('owner', b'x', lease.lease_id)
            revision = await store.commit(
                store_interface.Transaction((('owner', 0),), (*writes, owner))
            )
            listing = await store.scan('k/')
            assert [entry.value for entry in listing.entries] == [
                bytes([number]) for number in range(7)
            ]
            found = await store.get('owner')
            assert found is not None
            assert (found.value, found.lease_id) == (b'x', lease.lease_id)
            with pytest.raises(errors.BorageshelfError) as caught:
                await store.put('owner', b'y', revision + 5)
            assert caught.value.code is errors.STORE_CONFLICT
            renewed = await store.renew_lease(lease.lease_id)
            assert renewed.lease_id == lease.lease_id
            await store.revoke_lease(lease.lease_id)
            answer = await store.watch(
                'owner', revision, memory.now_ms() + 2_000
            )
            assert [entry.deleted for entry in answer.entries] == [True]
            with pytest.raises(errors.BorageshelfError) as caught:
                await store.renew_lease(lease.lease_id)
            assert caught.value.code is errors.LEASE_LOST
            memory.compact()
            answer = await store.watch('k/', 0, memory.now_ms() + 100)
            assert answer.compacted
            handlers.is_refusing = True
            with pytest.raises(errors.BorageshelfError) as caught:
                await store.put('b', b'', 0)
            assert caught.value.code is errors.STORE_UNAVAILABLE
            await store.close()

    loopback.run(check())


def test_silent_store_leaves_a_write_uncertain() -> None:
    """Guards against "not applied" for a write that may be applied later."""

    async def read_without_answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read()

    async def check() -> None:
        server = await asyncio.start_server(
            read_without_answer, '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        store = store_adapter.PlatformStore(
            f'127.0.0.1:{port}', timeout_ms=200
        )
        with pytest.raises(errors.BorageshelfError) as caught:
            await store.put('a', b'', 0)
        assert caught.value.code is errors.STORE_UNCERTAIN
        server.close()

    loopback.run(check())


VALID_HEARTBEAT = {
    'Service': 'pigment',
    'Address': '10.0.0.1:1',
    'Zone': 'z',
    'Version': 'v1',
    'Slots': 8,
    'ColdLeftMs': 0,
    'State': 'ready',
    'SeqNo': 4,
    'Capacity': {'Cpu': 16000, 'MemMb': 32768, 'Gpu': 0},
    'Labels': ['a', 'r1-3'],
    'born': 17,
}


def test_heartbeat_is_decoded() -> None:
    """Guards against another capacity of an executor than announced."""
    found = documents.decode_announcement(
        'i-1', json.dumps(VALID_HEARTBEAT).encode(), 1_000
    )
    assert found is not None
    assert found.capacity == resources.Resources(16_000, 32_768, 0)
    assert found.labels == ('a', 'r1-3')
    assert (found.sequence, found.born_at_ms) == (4, 17)
    draining = {**VALID_HEARTBEAT, 'State': 'draining', 'RemainingMs': 500}
    found = documents.decode_announcement(
        'i-1', json.dumps(draining).encode(), 1_000
    )
    assert found is not None
    assert found.is_draining
    assert found.leaves_deadline_ms == 1_500


@pytest.mark.parametrize(
    'change',
    [
        {'State': 'sleeping'},
        {'SeqNo': 'x'},
        {'Capacity': {'Cpu': -1, 'MemMb': 1}},
        {'Capacity': None},
        {'Labels': 'a'},
        {'Service': 5},
    ],
)
def test_invalid_heartbeat_announces_no_executor(
    change: dict[str, object],
) -> None:
    """Guards against work for an executor that does not exist.

    A heartbeat of another program is malformed or has an unknown state.
    """
    body = json.dumps({**VALID_HEARTBEAT, **change}).encode()
    assert documents.decode_announcement('i-1', body, 0) is None
    assert documents.decode_announcement('i-1', body[:20], 0) is None
    assert documents.decode_announcement('i-1', b'\xff\xfe', 0) is None


@pytest.mark.parametrize('name', sorted(set(VALID_HEARTBEAT) - {'born'}))
def test_heartbeat_without_a_field_announces_no_executor(name: str) -> None:
    """Guards against agents that leave their executor (review/8).

    A report of another program with a later start hid it for good.
    """
    document = {
        key: value for key, value in VALID_HEARTBEAT.items() if key != name
    }
    body = json.dumps(document).encode()
    assert documents.decode_announcement('i-1', body, 0) is None


def test_submission_is_decoded() -> None:
    """Guards against a field that is decoded with another meaning."""
    body = {
        'Spec': 'text',
        'RepeatCount': 3,
        'StartAtMs': 5_000,
        'PeriodMs': 100,
        'Phases': [
            {'Count': 2, 'Cpu': 500, 'MemMb': 256, 'EstimateMs': 900},
            {
                'Count': 1,
                'After': [0],
                'Gang': True,
                'RackLocal': True,
                'Constraints': 'gpu',
                'Affinity': 'r1-3',
                'AntiAffinity': 2,
                'Checkpointing': True,
                'Speculative': True,
                'LongRunning': True,
                'Image': 'img',
                'TargetMs': 18,
                'Fills': True,
                'MissAllowed': 4,
            },
        ],
    }
    found = documents.decode_workflow('x', json.dumps(body).encode())
    assert (found.occurrences, found.first_start_ms, found.period_ms) == (
        3,
        5_000,
        100,
    )
    first, second = found.steps
    assert first.demand == resources.Resources(500, 256, 0)
    assert first.estimate_ms == 900
    assert second.after == (0,)
    assert second.label == 'gpu'
    assert second.rack == 'r1-3'
    assert second.spread_limit == 2
    assert second.latency_target_ms == 18
    assert second.absent_limit == 4
    assert all(
        (
            second.is_gang,
            second.needs_one_rack,
            second.is_checkpointing,
            second.is_speculative,
            second.is_lasting,
            second.is_filler,
        )
    )
