"""Tests of the HTTP adapter of the worker.

The adapter must distinguish a call without effect from one whose effect is
unknown.
"""

import asyncio
from collections import abc
import contextlib
import socket

import pytest

from borageshelf import errors
from borageshelf.model import resources
from borageshelf.ports import http_client
from borageshelf.ports import http_worker
from borageshelf.ports import worker as worker_interface
from standins import faults
from standins import virtual_worker
from standins import worker as worker_process
from tests import loopback

State = worker_interface.TaskState
LONG_MS = 600_000


@contextlib.asynccontextmanager
async def connect(
    settings: virtual_worker.WorkerSettings,
) -> abc.AsyncIterator[tuple[str, http_worker.HttpWorker]]:
    """Serve a new worker and connect an adapter to it."""
    backend = virtual_worker.VirtualWorker(settings)
    async with loopback.serve(worker_process.make_site(backend)) as url:
        adapter = http_worker.HttpWorker(url, timeout_ms=1_000)
        try:
            yield url, adapter
        finally:
            await adapter.close()


def make_start(
    task_id: str, arguments: bytes
) -> worker_interface.StartRequest:
    """Return a start request with a long lease."""
    return worker_interface.StartRequest(
        task_id,
        1,
        'shard-3/7',
        'family',
        resources.Resources(1_000, 100, 1),
        http_client.read_wall_clock_ms() + LONG_MS,
        arguments=arguments,
    )


def test_calls_reach_the_worker() -> None:
    """Guards against fields that are lost in transit."""

    async def check() -> None:
        settings = virtual_worker.WorkerSettings(
            rack='rack-2',
            capacity=resources.Resources(8_000, 1_000, 2),
            usage_lag_ms=0,
        )
        async with connect(settings) as (url, adapter):
            description = await adapter.describe()
            assert description.capacity == settings.capacity
            assert description.rack == 'rack-2'
            request = make_start('t', b'{"run_ms": 600000, "result": "x"}')
            await adapter.start(request)
            await adapter.renew('t', 1, request.lease_deadline_ms + 5)
            saved = await adapter.checkpoint('t', 1)
            (task,) = await adapter.list()
            assert task == worker_interface.WorkerTask(
                't',
                1,
                request.owner,
                request.family,
                request.declared,
                State.RUNNING,
                request.lease_deadline_ms + 5,
                checkpoint=saved.reference,
            )
            await adapter.throttle('t', 1, 0.5)
            while not (samples := await adapter.usage()):
                await asyncio.sleep(0.01)
            assert samples[0].used.processor_millicores == 500
            stopped = await adapter.stop('t', 1)
            assert stopped.state is State.STOPPED
            await adapter.release('t', 1)
            assert await adapter.list() == ()
            audit = await loopback.request_json(url, '/control/audit')
            assert len(audit['intervals']) == 1

    loopback.run(check())


def test_result_of_a_finished_task_is_kept_until_its_release() -> None:
    """Guards against a result that is lost at a repeated stop."""

    async def check() -> None:
        settings = virtual_worker.WorkerSettings()
        async with connect(settings) as (_, adapter):
            await adapter.start(
                make_start('t', b'{"run_ms": 0, "result": "x"}')
            )
            while (await adapter.list())[0].state is State.RUNNING:
                await asyncio.sleep(0.001)
            for _ in range(2):
                stopped = await adapter.stop('t', 1)
                assert stopped.state is State.SUCCEEDED
                assert stopped.result == b'x'

    loopback.run(check())


def test_refusals_and_lost_answers_have_different_codes() -> None:
    """Guards against "no effect" for a start whose answer was lost."""

    async def check() -> None:
        settings = virtual_worker.WorkerSettings()
        async with connect(settings) as (url, adapter):
            codes = []
            for call in (
                adapter.stop('none', 1),
                adapter.start(make_start('bad', b'not JSON')),
                adapter.throttle('none', 1, 2.0),
            ):
                with pytest.raises(errors.BorageshelfError) as caught:
                    await call
                codes.append(caught.value.code)
            assert codes == [errors.WORKER_REFUSED] * 3
            plan = faults.FaultPlan(lost_answers=1)
            await loopback.request_json(url, '/control/faults', plan)
            with pytest.raises(errors.BorageshelfError) as caught:
                await adapter.start(make_start('t', b''))
            assert caught.value.code is errors.WORKER_UNAVAILABLE
            assert [task.task_id for task in await adapter.list()] == ['t']

    loopback.run(check())


def test_absent_worker_is_unavailable() -> None:
    """Guards against an exception without a registered result code."""

    async def check() -> None:
        with socket.socket() as reserved:
            reserved.bind(('127.0.0.1', 0))
            port = reserved.getsockname()[1]
            adapter = http_worker.HttpWorker(f'http://127.0.0.1:{port}')
            with pytest.raises(errors.BorageshelfError) as caught:
                await adapter.describe()
            assert caught.value.code is errors.WORKER_UNAVAILABLE

    loopback.run(check())
