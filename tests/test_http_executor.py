"""Tests of the HTTP adapter of the executor.

Each call must get its own complete answer or a status that states correctly
whether it may have run.
"""

import asyncio
from collections import abc
import contextlib
import socket
from typing import Any

import msgspec
import pytest

from borageshelf import errors
from borageshelf.ports import executor as executor_interface
from borageshelf.ports import http_client
from borageshelf.ports import http_executor
from standins import executor as executor_process
from standins import faults
from standins import virtual_executor
from standins import virtual_worker
from standins import worker as worker_process
from tests import loopback

LONG_MS = 60_000
CONNECTIONS = 60


class Bench:
    """An executor behind a socket and an adapter that is connected to it."""

    def __init__(
        self,
        backend: virtual_executor.VirtualExecutor,
        adapter: http_executor.HttpExecutor,
        site: executor_process.LimitedConnections,
    ) -> None:
        self.backend = backend
        self.adapter = adapter
        self.site = site

    async def call(
        self, call_id: str, body: bytes, remaining_ms: int = LONG_MS
    ) -> tuple[executor_interface.CallStatus, bytes]:
        """Run a call; return its status and the received bytes."""
        chunks: list[bytes] = []

        async def keep(chunk: bytes) -> None:
            chunks.append(chunk)

        deadline_ms = http_client.read_wall_clock_ms() + remaining_ms
        request = executor_interface.CallRequest(
            call_id, self.backend.settings.service, deadline_ms, body
        )
        status = await self.adapter.call(request, keep)
        return status, b''.join(chunks)


@contextlib.asynccontextmanager
async def connect(**settings: Any) -> abc.AsyncIterator[Bench]:
    """Serve a new executor and connect an adapter to it."""
    backend = virtual_executor.VirtualExecutor(
        virtual_executor.ExecutorSettings(**settings)
    )
    site = executor_process.make_site(backend)
    async with loopback.serve(site) as url:
        adapter = http_executor.HttpExecutor(url, CONNECTIONS)
        try:
            yield Bench(backend, adapter, site)
        finally:
            backend.fault_injector.set_plan(faults.FaultPlan())
            await adapter.close()


def make_body(run_ms: int, **plan: Any) -> bytes:
    """Return the body of a planned call."""
    return msgspec.json.encode(virtual_executor.CallPlan(run_ms, **plan))


def test_concurrent_calls_get_their_own_answers() -> None:
    """Guards against answers of other calls and exceeded limits.

    200 concurrent calls of random length end in another order than they
    began, over 60 connections and 8 slots.
    """

    async def check() -> None:
        async with connect(jitter_ms=10) as bench:
            ids = [f'call-{number}' for number in range(200)]
            body = make_body(1, answer_bytes=40_000)
            calls = [bench.call(call_id, body) for call_id in ids]
            for call_id, (status, answer) in zip(
                ids, await asyncio.gather(*calls), strict=True
            ):
                assert status.code == errors.OK.number
                expected = virtual_executor.make_answer(call_id, 40_000)
                assert answer == expected
            counts = bench.backend.count_executions()
            assert counts == dict.fromkeys(ids, 1)
            assert bench.backend.peak_busy == 8
            assert bench.site.peak_connections <= CONNECTIONS
            assert bench.site.refused_connections == 0
            ends = [item.end_ms for item in bench.backend.audit]
            assert ends != sorted(ends)

    loopback.run(check())


def test_description_and_echo() -> None:
    """Guards against a body that is changed in transit."""

    async def check() -> None:
        async with connect(service='dispatch', slots=3) as bench:
            described = await bench.adapter.describe()
            assert described == executor_interface.ExecutorDescription(
                'dispatch', 3, 60
            )
            body = bytes(range(256)) * 3_906
            status, answer = await bench.call('a', body)
            assert status.code == errors.OK.number
            assert answer == body
            assert (await bench.call('b', b''))[1] == b''

    loopback.run(check())


@pytest.mark.parametrize(
    ('body', 'code', 'ran', 'received'),
    [
        (make_body(1, fail=True), errors.EXECUTOR_FAILED, True, 0),
        (
            make_body(1, answer_bytes=90_000, break_after_bytes=50_000),
            errors.ANSWER_TRUNCATED,
            True,
            50_000,
        ),
        (b'x' * 1_000_001, errors.BODY_TOO_LARGE, False, 0),
    ],
)
def test_failed_calls(
    body: bytes, code: errors.ResultCode, ran: bool, received: int
) -> None:
    """Guards against a truncated answer that is reported as complete."""

    async def check() -> None:
        async with connect() as bench:
            status, answer = await bench.call('a', body)
            assert (status.code, status.ran) == (code.number, ran)
            assert len(answer) == received
            assert len(bench.backend.audit) == int(ran)

    loopback.run(check())


def test_oversized_answer_is_truncated_and_reported() -> None:
    """Guards against an answer of unbounded size."""

    async def check() -> None:
        async with connect() as bench:
            body = make_body(0, answer_bytes=5_000_000)
            status, answer = await bench.call('a', body)
            assert status.code == errors.ANSWER_TRUNCATED.number
            assert len(answer) <= http_executor.BODY_LIMIT_BYTES

    loopback.run(check())


@pytest.mark.parametrize(
    ('plan', 'code', 'ran', 'executions'),
    [
        (
            faults.FaultPlan(outage=faults.Outage.REFUSING),
            errors.NO_TARGET,
            False,
            0,
        ),
        (faults.FaultPlan(lost_answers=1), errors.OUTCOME_UNKNOWN, True, 1),
        (faults.FaultPlan(lost_requests=1), errors.OUTCOME_UNKNOWN, True, 0),
        (
            faults.FaultPlan(outage=faults.Outage.SILENT),
            errors.OUTCOME_UNKNOWN,
            True,
            0,
        ),
    ],
)
def test_faults_are_reported_correctly(
    plan: faults.FaultPlan,
    code: errors.ResultCode,
    ran: bool,
    executions: int,
) -> None:
    """Guards against "not run" for a call that may have run.

    The executor refuses, loses the request or the answer, or stays silent.
    """

    async def check() -> None:
        async with connect() as bench:
            bench.backend.fault_injector.set_plan(plan)
            status, _ = await bench.call('a', make_body(0), remaining_ms=500)
            assert (status.code, status.ran) == (code.number, ran)
            assert len(bench.backend.audit) == executions

    loopback.run(check())


def test_deadline_that_passes_in_the_queue_is_not_run() -> None:
    """Guards against running a call whose deadline has passed.

    The deadline of the call passes while it waits for the only slot.
    """

    async def check() -> None:
        async with connect(slots=1) as bench:
            first = asyncio.ensure_future(bench.call('a', make_body(500)))
            await loopback.wait_for(lambda: bool(bench.backend.audit))
            status, _ = await bench.call('b', make_body(0), remaining_ms=100)
            # The adapter cannot know that the call waits in the queue.
            assert status.code == errors.OUTCOME_UNKNOWN.number
            await first
            assert (await bench.call('c', make_body(0)))[0].ran
            assert set(bench.backend.count_executions()) == {'a', 'c'}
            past, _ = await bench.call('d', make_body(0), remaining_ms=0)
            assert not past.ran

    loopback.run(check())


def test_refused_connection_is_not_run() -> None:
    """Guards against an unknown outcome if no byte was sent."""

    async def check() -> None:
        async with connect() as bench:
            with socket.socket() as reserved:
                reserved.bind(('127.0.0.1', 0))
                port = reserved.getsockname()[1]
                bench.adapter = http_executor.HttpExecutor(
                    f'http://127.0.0.1:{port}', CONNECTIONS
                )
                status, _ = await bench.call('a', b'')
            assert (status.code, status.ran) == (
                errors.NO_TARGET.number,
                False,
            )

    loopback.run(check())


def test_slow_reader_slows_the_executor() -> None:
    """Guards against an answer that accumulates in memory.

    Kernel buffers hold some megabytes, so the answer is larger than they are.
    While its reader is blocked, other calls transfer more bytes than the
    answer has.
    """

    async def check() -> None:
        async with connect() as bench:
            may_read = asyncio.Event()
            received_bytes = 0

            async def read_when_allowed(chunk: bytes) -> None:
                nonlocal received_bytes
                await may_read.wait()
                received_bytes += len(chunk)

            request = executor_interface.CallRequest(
                'a',
                'service',
                http_client.read_wall_clock_ms() + LONG_MS,
                make_body(0, answer_bytes=40_000_000),
            )
            call = asyncio.ensure_future(
                bench.adapter.call(request, read_when_allowed)
            )
            others = [
                bench.call(
                    f'other-{number}', make_body(0, answer_bytes=900_000)
                )
                for number in range(50)
            ]
            await asyncio.gather(*others)
            assert bench.backend.audit[0].call_id == 'a'
            assert bench.backend.audit[0].end_ms == 0
            may_read.set()
            status = await call
            assert status.code == errors.ANSWER_TRUNCATED.number
            assert received_bytes <= http_executor.BODY_LIMIT_BYTES
            # The closed connection frees the slot.
            await loopback.wait_for(lambda: bench.backend.audit[0].end_ms > 0)

    loopback.run(check())


def test_failing_reader_closes_the_connection() -> None:
    """Guards against a slot that is not freed after the reader failed."""

    async def check() -> None:
        async with connect() as bench:

            async def fail(chunk: bytes) -> None:
                raise RuntimeError('reader failed')

            body = make_body(0, answer_bytes=900_000)
            request = executor_interface.CallRequest(
                'a',
                'service',
                http_client.read_wall_clock_ms() + LONG_MS,
                body,
            )
            with pytest.raises(RuntimeError):
                await bench.adapter.call(request, fail)
            await loopback.wait_for(lambda: bench.backend.audit[0].end_ms > 0)
            status, _ = await bench.call('b', body)
            assert status.code == errors.OK.number

    loopback.run(check())


def test_noisy_tasks_slow_the_executor() -> None:
    """Guards against stand-ins that model no interference on one VM."""

    async def check() -> None:
        worker = virtual_worker.VirtualWorker(virtual_worker.WorkerSettings())
        executor = virtual_executor.VirtualExecutor(
            virtual_executor.ExecutorSettings()
        )
        async with loopback.serve(worker_process.make_site(worker)) as url:
            following = asyncio.ensure_future(
                executor_process.poll_noise(executor, url)
            )
            start = {
                'task_id': 't',
                'attempt': 1,
                'owner': '',
                'family': 'ledgers',
                'declared': {'processor_millicores': 1_000},
                'lease_deadline_ms': http_client.read_wall_clock_ms()
                + LONG_MS,
                'arguments': b'{"run_ms": 60000, "noise": 1.5}',
            }
            await loopback.request_json(url, '/v1/start', start)
            await loopback.wait_for(lambda: executor.noise == 1.5)
            throttle = {'task_id': 't', 'attempt': 1, 'fraction': 0.0}
            await loopback.request_json(url, '/v1/throttle', throttle)
            await loopback.wait_for(lambda: executor.noise == 0.0)
            following.cancel()

    loopback.run(check())
