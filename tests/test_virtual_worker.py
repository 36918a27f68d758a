"""Tests that the virtual worker enforces leases and records all runs."""

import asyncio
from collections import abc
import pathlib
from typing import Any

import msgspec
import pytest

from borageshelf import errors
from borageshelf.model import resources
from borageshelf.ports import worker as worker_interface
from standins import audits
from standins import clocks
from standins import faults
from standins import virtual_worker
from standins import worker as worker_process

State = worker_interface.TaskState
LEASE_MS = 10_000
SIZE = resources.Resources(1_000, 100, 0)


class WorkerFixture:
    """A virtual worker on a manual clock."""

    def __init__(self, **settings: Any) -> None:
        self.clock = clocks.ManualClock()
        self.worker = virtual_worker.VirtualWorker(
            virtual_worker.WorkerSettings(**settings), self.clock
        )

    async def start(
        self,
        task_id: str,
        attempt: int = 1,
        checkpoint: str = '',
        declared: resources.Resources = SIZE,
        **plan: Any,
    ) -> None:
        """Start a task whose lease is ``LEASE_MS`` long."""
        await self.worker.start(
            worker_interface.StartRequest(
                task_id,
                attempt,
                'shard-0',
                'family',
                declared,
                self.clock.read_ms() + LEASE_MS,
                checkpoint,
                msgspec.json.encode(virtual_worker.TaskPlan(**plan)),
            )
        )

    async def find_states(self) -> dict[str, State]:
        """Return the state of each task."""
        return {task.task_id: task.state for task in await self.worker.list()}


async def expect_refusal(call: abc.Awaitable[object]) -> None:
    """Await a call that the worker must refuse."""
    with pytest.raises(errors.BorageshelfError) as caught:
        await call
    assert caught.value.code is errors.WORKER_REFUSED


def test_lease_ends_a_task_at_its_exact_deadline() -> None:
    """Guards against a task that outlives its original or renewed lease."""

    async def check() -> None:
        fixture = WorkerFixture()
        start_ms = fixture.clock.read_ms()
        await fixture.start('short', run_ms=60_000)
        await fixture.start('renewed', run_ms=60_000)
        await fixture.worker.renew('renewed', 1, start_ms + 20_000)
        await fixture.worker.renew('renewed', 1, start_ms + 5_000)
        await fixture.clock.advance(15_000)
        assert await fixture.find_states() == {
            'short': State.STOPPED,
            'renewed': State.RUNNING,
        }
        ended = fixture.worker.audit[0]
        assert (ended.end_ms - start_ms, ended.ended_as) == (
            LEASE_MS,
            'lease ended',
        )
        await expect_refusal(
            fixture.worker.renew('short', 1, start_ms + 90_000)
        )

    asyncio.run(check())


def test_resumed_task_does_only_the_rest() -> None:
    """Guards against an evicted task that repeats its completed work."""

    async def check() -> None:
        fixture = WorkerFixture()
        await fixture.start('t', run_ms=1_000, result='done')
        await fixture.clock.advance(600)
        saved = await fixture.worker.checkpoint('t', 1)
        stopped = await fixture.worker.stop('t', 1)
        assert stopped.state is State.STOPPED
        await fixture.start(
            't', 2, saved.reference, run_ms=1_000, result='done'
        )
        await fixture.clock.advance(400)
        finished = await fixture.worker.stop('t', 2)
        assert finished == worker_interface.StopResult(
            State.SUCCEEDED, b'done'
        )
        work = [
            (item.work_from_ms, item.work_to_ms)
            for item in fixture.worker.audit
        ]
        assert work == [(0, 600), (600, 1_000)]
        assert audits.find_overlaps(fixture.worker.audit) == []

    asyncio.run(check())


def test_throttle_and_overload_slow_tasks_down() -> None:
    """Guards against a worker without measurable interference.

    Tasks that use more processors than the VM has must slow down, and a
    throttled task must make no noise and leave its processors to the others.
    """

    async def check() -> None:
        fixture = WorkerFixture(capacity=resources.Resources(2_000, 1_000, 0))
        await fixture.start(
            'a', run_ms=1_000, used_millicores=3_000, noise=0.5
        )
        await fixture.start('b', run_ms=1_000, used_millicores=1_000)
        await fixture.clock.advance(1_000)
        await fixture.worker.throttle('a', 1, 0.0)
        assert fixture.worker.measure_noise() == 0.0
        await fixture.clock.advance(500)
        assert await fixture.find_states() == {
            'a': State.RUNNING,
            'b': State.SUCCEEDED,
        }
        await fixture.worker.throttle('a', 1, 1.0)
        await fixture.clock.advance(749)
        assert (await fixture.find_states())['a'] is State.RUNNING
        await fixture.clock.advance(1)
        assert (await fixture.find_states())['a'] is State.SUCCEEDED

    asyncio.run(check())


def test_usage_lags_behind() -> None:
    """Guards against a scheduler that works only with instant measurements.

    The worker therefore has to delay its usage samples.
    """

    async def check() -> None:
        fixture = WorkerFixture(usage_lag_ms=2_000)
        await fixture.start('t', run_ms=60_000, used_millicores=700)
        await fixture.clock.advance(1_999)
        assert await fixture.worker.usage() == ()
        await fixture.clock.advance(1)
        (sample,) = await fixture.worker.usage()
        assert sample.used.processor_millicores == 700
        assert fixture.clock.read_ms() - sample.measured_at_ms >= 2_000

    asyncio.run(check())


@pytest.mark.parametrize('mode', ['refuse', 'fail'])
def test_failing_worker_fails_every_start(mode: str) -> None:
    """Guards against a failure mode that a quarantine could not detect."""

    async def check() -> None:
        fixture = WorkerFixture(fail_starts=mode)
        if mode == 'refuse':
            await expect_refusal(fixture.start('t'))
            assert fixture.worker.audit == []
            return
        await fixture.start('t')
        await fixture.clock.advance(virtual_worker.FAILURE_DELAY_MS)
        assert await fixture.find_states() == {'t': State.FAILED}

    asyncio.run(check())


def test_start_and_release_can_be_repeated() -> None:
    """Guards against a repeated start that runs a finished attempt again."""

    async def check() -> None:
        fixture = WorkerFixture()
        await fixture.start('t', run_ms=10)
        await expect_refusal(fixture.worker.release('t', 1))
        await fixture.clock.advance(10)
        await fixture.start('t', run_ms=10)
        assert await fixture.find_states() == {'t': State.SUCCEEDED}
        await fixture.worker.release('t', 1)
        await fixture.worker.release('t', 1)
        assert await fixture.find_states() == {}
        assert len(fixture.worker.audit) == 1

    asyncio.run(check())


def test_replaced_vm_forgets_everything_but_its_audit() -> None:
    """Guards against a new boot id under which old tasks still run."""

    async def check() -> None:
        fixture = WorkerFixture()
        before = await fixture.worker.describe()
        await fixture.start('t')
        await fixture.clock.advance(1)
        fixture.worker.replace()
        assert (await fixture.worker.describe()).boot_id != before.boot_id
        assert await fixture.find_states() == {}
        assert fixture.worker.audit[0].ended_as == 'VM replaced'

    asyncio.run(check())


def test_late_start_runs_after_its_answer_was_lost() -> None:
    """Guards against treating a lost answer as proof that no task runs.

    A start whose answer is lost can take effect later.
    """

    async def check() -> None:
        fixture = WorkerFixture()
        fixture.worker.fault_injector.set_plan(
            faults.FaultPlan(late_writes=1, late_ms=500)
        )
        with pytest.raises(errors.BorageshelfError) as caught:
            await fixture.start('t')
        assert caught.value.code is errors.WORKER_UNAVAILABLE
        assert await fixture.find_states() == {}
        await fixture.clock.advance(500)
        assert await fixture.find_states() == {'t': State.RUNNING}

    asyncio.run(check())


def test_audit_file_keeps_the_latest_state(tmp_path: pathlib.Path) -> None:
    """Guards against losing the audit of a worker that is killed."""
    path = tmp_path / 'audit'
    write = worker_process.make_audit_writer(path)
    interval = make_interval('t', 100, 0)
    write(interval)
    interval.end_ms = 200
    write(interval)
    assert worker_process.read_audit_file(path) == [interval]


def make_interval(
    task_id: str, start_ms: int, end_ms: int, worker: str = 'w'
) -> audits.Interval:
    """Return an interval of a task of ``SIZE``."""
    return audits.Interval(
        worker=worker,
        task_id=task_id,
        attempt=1,
        family='family',
        declared=SIZE,
        used=SIZE,
        start_ms=start_ms,
        work_from_ms=0,
        end_ms=end_ms,
    )


@pytest.mark.parametrize(
    ('spans', 'count'),
    [
        ([(0, 10), (10, 20)], 0),
        ([(0, 10), (9, 20)], 1),
        ([(1, 0), (30, 40)], 1),
        ([(0, 100), (10, 20), (50, 60)], 2),
        ([(0, 0), (10, 20), (50, 60)], 2),
    ],
)
def test_overlaps_are_found(spans: list[tuple[int, int]], count: int) -> None:
    """Guards against an audit that misses a task that runs twice at a time."""
    intervals = [make_interval('t', *span) for span in reversed(spans)]
    others = [make_interval('u', 0, 0), make_interval('v', 0, 0)]
    assert len(audits.find_overlaps([*intervals, *others])) == count


def test_peak_sums_concurrent_declared_sizes() -> None:
    """Guards against an audit that misses an overcommitted VM."""
    intervals = [
        make_interval('a', 0, 10),
        make_interval('b', 10, 20),
        make_interval('c', 15, 0),
        make_interval('d', 0, 0, worker='other'),
    ]
    peak = audits.find_peak_declared(intervals, 'w')
    assert peak == resources.Resources(2_000, 200, 0)
