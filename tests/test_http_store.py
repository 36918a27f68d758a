"""Tests of the HTTP adapter of the store.

The adapter must state correctly whether a write may have been applied.
"""

import asyncio
from collections import abc
import contextlib
import socket

import pytest

from borageshelf import errors
from borageshelf.ports import http_client
from borageshelf.ports import http_store
from standins import faults
from standins import memory_store
from standins import store as store_process
from tests import loopback

# Long enough for a loaded machine; silent stores delay the tests by this.
TIMEOUT_MS = 1_000


@contextlib.asynccontextmanager
async def connect() -> abc.AsyncIterator[
    tuple[memory_store.MemoryStore, http_store.HttpStore]
]:
    """Serve a new store and connect an adapter to it."""
    backend = memory_store.MemoryStore()
    async with loopback.serve(store_process.make_site(backend)) as url:
        adapter = http_store.HttpStore(url, TIMEOUT_MS)
        try:
            yield backend, adapter
        finally:
            backend.set_faults(faults.FaultPlan())
            await adapter.close()


async def find_code(call: abc.Awaitable[object]) -> errors.ResultCode:
    """Return the result code of a call."""
    try:
        await call
    except errors.BorageshelfError as error:
        return error.code
    return errors.OK


def test_calls_reach_the_store() -> None:
    """Guards against fields that are lost in transit."""

    async def check() -> None:
        async with connect() as (backend, adapter):
            lease = await adapter.grant_lease(60_000)
            key = 'entries/ä b&c=%2F+'
            value = bytes(range(256))
            revision = await adapter.put(key, value, 0, lease.lease_id)
            found = await adapter.get(key)
            assert found is not None
            assert (found.key, found.value, found.lease_id) == (
                key,
                value,
                lease.lease_id,
            )
            assert await adapter.list('entries/') == (found,)
            assert await adapter.list('other/') == ()
            renewed = await adapter.renew_lease(lease.lease_id)
            assert renewed.deadline_ms >= lease.deadline_ms
            await adapter.revoke_lease(lease.lease_id)
            assert await adapter.get(key) is None
            answer = await adapter.watch('entries/', revision, 0)
            assert answer.entries[0].deleted
            backend.compact()
            assert (await adapter.watch('entries/', 0, 0)).compacted

    loopback.run(check())


def test_watch_ends_with_a_change() -> None:
    """Guards against a watch that reports a change only at its deadline."""

    async def check() -> None:
        async with connect() as (backend, adapter):
            deadline_ms = http_client.read_wall_clock_ms() + 600_000
            watch = asyncio.ensure_future(adapter.watch('a', 0, deadline_ms))
            await loopback.wait_for(lambda: backend.waiting_watches == 1)
            await adapter.put('a', b'', 0)
            assert [entry.key for entry in (await watch).entries] == ['a']

    loopback.run(check())


def test_cancelled_watch_ends_at_the_store() -> None:
    """Guards against watches that accumulate after their clients have left."""

    async def check() -> None:
        async with connect() as (backend, adapter):
            deadline_ms = http_client.read_wall_clock_ms() + 600_000
            watch = asyncio.ensure_future(adapter.watch('a', 0, deadline_ms))
            await loopback.wait_for(lambda: backend.waiting_watches == 1)
            watch.cancel()
            await loopback.wait_for(lambda: backend.waiting_watches == 0)

    loopback.run(check())


def test_refusals_keep_their_code() -> None:
    """Guards against a refusal that is reported as uncertain."""

    async def check() -> None:
        async with connect() as (_, adapter):
            large = b'x' * (memory_store.VALUE_LIMIT_BYTES + 1)
            codes = [
                await find_code(adapter.put('a', large, 0)),
                await find_code(adapter.put('a', large[1:], 0)),
                await find_code(adapter.put('a', b'', 0)),
                await find_code(adapter.delete('a', 7)),
                await find_code(adapter.renew_lease('none')),
                await find_code(adapter.put('b', b'', 0, 'none')),
            ]
            assert codes == [
                errors.VALUE_TOO_LARGE,
                errors.OK,
                errors.STORE_CONFLICT,
                errors.STORE_CONFLICT,
                errors.LEASE_LOST,
                errors.LEASE_LOST,
            ]
            found = await adapter.get('a')
            assert found is not None
            assert found.value == large[1:]

    loopback.run(check())


@pytest.mark.parametrize(
    ('plan', 'write_code', 'read_code', 'is_written'),
    [
        (
            faults.FaultPlan(outage=faults.Outage.REFUSING),
            errors.STORE_UNAVAILABLE,
            errors.STORE_UNAVAILABLE,
            False,
        ),
        (
            faults.FaultPlan(outage=faults.Outage.SILENT),
            errors.STORE_UNCERTAIN,
            errors.STORE_UNAVAILABLE,
            False,
        ),
        (
            faults.FaultPlan(lost_answers=1),
            errors.STORE_UNCERTAIN,
            errors.OK,
            True,
        ),
        (
            faults.FaultPlan(lost_requests=1),
            errors.STORE_UNCERTAIN,
            errors.OK,
            False,
        ),
    ],
)
def test_faults_are_reported_correctly(
    plan: faults.FaultPlan,
    write_code: errors.ResultCode,
    read_code: errors.ResultCode,
    is_written: bool,
) -> None:
    """Guards against "not applied" for a write that was applied.

    The store refuses, stays silent, or loses the request or the answer.
    """

    async def check() -> None:
        async with connect() as (backend, adapter):
            backend.set_faults(plan)
            assert await find_code(adapter.put('a', b'', 0)) is write_code
            assert await find_code(adapter.get('a')) is read_code
            backend.set_faults(faults.FaultPlan())
            assert (await adapter.get('a') is not None) is is_written

    loopback.run(check())


def test_refused_connection_is_certainly_not_applied() -> None:
    """Guards against an uncertain write if no byte was sent.

    The writer would have to read the store to find out whether it was applied.
    """

    async def check() -> None:
        with socket.socket() as reserved:
            # Bound without listening, so that no other process uses the port.
            reserved.bind(('127.0.0.1', 0))
            port = reserved.getsockname()[1]
            adapter = http_store.HttpStore(f'http://127.0.0.1:{port}')
            codes = [
                await find_code(adapter.put('a', b'', 0)),
                await find_code(adapter.get('a')),
            ]
            assert codes == [errors.STORE_UNAVAILABLE] * 2

    loopback.run(check())


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"revisio',
        b'HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{"revision": 1}',
        b'HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n' + b' ' * 9000000,
        b'HTTP/1.1 503 X\r\nContent-Length: 12\r\n\r\n{"code": 401}',
        b'HTTP/1.1 500 X\r\nContent-Length: 13\r\n\r\n{"code": 999}',
        b'no HTTP at all',
    ],
)
def test_unclear_answer_leaves_a_write_uncertain(answer: bytes) -> None:
    """Guards against trust in a malformed, foreign or oversized answer."""

    async def answer_and_close(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answer)
        writer.close()

    async def check() -> None:
        server = await asyncio.start_server(answer_and_close, '127.0.0.1', 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            adapter = http_store.HttpStore(f'http://127.0.0.1:{port}')
            codes = [
                await find_code(adapter.put('a', b'', 0)),
                await find_code(adapter.get('a')),
            ]
            assert codes == [errors.STORE_UNCERTAIN, errors.STORE_UNAVAILABLE]

    loopback.run(check())


def test_only_reads_are_repeated_after_a_closed_idle_connection() -> None:
    """Guards against a repeated write that the store may have applied.

    The server closes a connection when the second request arrives on it, so
    the client cannot know whether that request was processed.
    """
    request_lines: list[bytes] = []

    async def answer_first(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request_lines.append(await reader.readline())
        await reader.readuntil(b'\r\n\r\n')
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{"entry":null}'
        )
        request_lines.append(await reader.readline())
        writer.close()

    async def check() -> None:
        server = await asyncio.start_server(answer_first, '127.0.0.1', 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            adapter = http_store.HttpStore(f'http://127.0.0.1:{port}')
            assert await adapter.get('a') is None
            assert await adapter.get('a') is None
            put = adapter.put('a', b'', 0)
            assert await find_code(put) is errors.STORE_UNCERTAIN
            await adapter.close()
        methods = [line.split()[0] for line in request_lines if line]
        assert methods == [b'GET', b'GET', b'GET', b'POST']

    loopback.run(check())
