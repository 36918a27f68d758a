"""The whole path as separate processes on loopback.

Waits for events with generous limits; nothing is timed.
"""

import asyncio
from collections import abc
import json
import signal
from typing import Any

import msgspec
import pytest

from bench import demo_plans
from bench import fleet as fleet_module
from standins import audits

PLAN = fleet_module.FleetPlan(
    name='test',
    region='sierra-centro',
    entries=('tajo-norte', 'tajo-sur'),
    vms=(
        fleet_module.VmPlan('vm-1', 'tajo-norte', 'norte-1', 'pigment'),
        fleet_module.VmPlan('vm-2', 'molino-alto', 'molino-1', 'pigment'),
    ),
    shards=4,
    grant_ms=5_000,
    drain_ms=10_000,
)


def run_fleet(
    scenario: abc.Callable[[fleet_module.Fleet], abc.Awaitable[None]],
) -> None:
    """Run a scenario against a fleet with the Ocre configuration."""

    async def main() -> None:
        async with fleet_module.Fleet(PLAN) as fleet:
            await demo_plans.publish(fleet, demo_plans.EXAMPLES / 'ocre')
            await scenario(fleet)

    asyncio.run(main())


async def submit(fleet: fleet_module.Fleet, job: str, **plan: object) -> str:
    """Submit a job until it is accepted; return its id."""
    found = ''

    async def is_accepted() -> bool:
        nonlocal found
        status, answer = await fleet.submit(
            fleet.entries[-1], job, json.dumps(plan), key=repr((job, plan))
        )
        if status == 202:
            found = answer['job_id']
        return status == 202

    await fleet_module.wait_until(is_accepted, f'acceptance of {job}')
    return found


async def wait_for_end(
    fleet: fleet_module.Fleet, job_id: str
) -> dict[str, Any]:
    """Wait until a job has ended and return its state."""
    found: dict[str, Any] = {}

    async def has_ended() -> bool:
        status, answer = await fleet.find_job(fleet.entries[-1], job_id)
        found.update(answer)
        return status == 200 and answer['code_name'] != 'PENDING'

    await fleet_module.wait_until(has_ended, f'end of job {job_id}')
    return found


async def wait_for_run(fleet: fleet_module.Fleet, job_id: str) -> str:
    """Wait until a worker runs a job; return the name of its VM."""
    place = ''

    async def is_running() -> bool:
        nonlocal place
        for interval in await read_intervals(fleet):
            if interval.task_id.startswith(job_id) and not interval.end_ms:
                place = interval.worker
        return bool(place)

    await fleet_module.wait_until(is_running, f'start of job {job_id}')
    return place


async def read_intervals(fleet: fleet_module.Fleet) -> list[audits.Interval]:
    """Return what the workers really ran."""
    found: list[audits.Interval] = []
    for vm in fleet.vms.values():
        _, audit = await fleet.request('GET', f'{vm.worker_url}/control/audit')
        found += msgspec.convert(audit['intervals'], list[audits.Interval])
    return found


async def call(
    fleet: fleet_module.Fleet, body: bytes, **headers: str
) -> tuple[int, bytes]:
    """Call the service through the last entry."""
    url = f'{fleet.entries[-1].caller_url}/v1/services/pigment/calls'
    named = {key.replace('_', '-'): value for key, value in headers.items()}
    async with fleet.http.post(url, data=body, headers=named) as answer:
        return answer.status, await answer.read()


def test_call_and_job_from_end_to_end() -> None:
    """Guards against a path that does not connect all its parts."""

    async def scenario(fleet: fleet_module.Fleet) -> None:
        assert await call(fleet, b'hello') == (200, b'hello')
        job_id = await submit(fleet, 'ledgers', run_ms=100, result='sum 7')
        job = await wait_for_end(fleet, job_id)
        assert (job['code_name'], job['result']) == ('OK', 'sum 7')

    run_fleet(scenario)


def test_key_of_non_idempotent_call_runs_once() -> None:
    """Guards against a second run through another entry."""

    async def scenario(fleet: fleet_module.Fleet) -> None:
        headers = {'call_key': 'invoice-1', 'call_idempotent': 'false'}
        assert await call(fleet, b'bill', **headers) == (200, b'bill')
        fleet.entries.reverse()
        status, content = await call(fleet, b'bill', **headers)
        assert status == 409
        assert json.loads(content)['code_name'] == 'DUPLICATE_KEY'

    run_fleet(scenario)


def test_job_survives_the_death_of_all_its_owners() -> None:
    """Guards against a lost or repeated task when entries are replaced."""

    async def scenario(fleet: fleet_module.Fleet) -> None:
        job_id = await submit(fleet, 'ledgers', run_ms=6_000, result='kept')
        await wait_for_run(fleet, job_id)
        for entry in list(fleet.entries):
            await entry.process.kill()
        fleet.entries.clear()
        await fleet.start_entry('test-entry-9', 'molino-alto')
        for vm in fleet.vms.values():
            # Seeds are replaced with the entries, as the platform does.
            await vm.agent.kill()
            vm.agent = await fleet.start_agent(
                vm.plan, vm.worker_url, vm.executor_url
            )
        job = await wait_for_end(fleet, job_id)
        assert (job['code_name'], job['result']) == ('OK', 'kept')
        intervals = await read_intervals(fleet)
        assert not audits.find_overlaps(intervals)
        assert not audits.find_repeated_completions(intervals)

    run_fleet(scenario)


def test_drained_vm_moves_its_task_with_a_checkpoint() -> None:
    """Guards against work that is lost or repeated by a planned stop."""

    async def scenario(fleet: fleet_module.Fleet) -> None:
        job_id = await submit(fleet, 'ledgers', run_ms=20_000, result='moved')
        place = await wait_for_run(fleet, job_id)
        fleet.vms[place].agent.send(signal.SIGTERM)
        assert await fleet.vms[place].agent.wait() == 0
        job = await wait_for_end(fleet, job_id)
        assert (job['code_name'], job['result']) == ('OK', 'moved')
        assert job['tasks'][0]['evictions'] == 1
        mine = [
            item
            for item in await read_intervals(fleet)
            if item.task_id.startswith(job_id)
        ]
        assert [item.work_from_ms > 0 for item in mine].count(True) == 1
        assert not audits.find_overlaps(mine)

    run_fleet(scenario)


def test_store_outage_keeps_work_running() -> None:
    """Guards against untrue acceptance and lost completions."""

    async def scenario(fleet: fleet_module.Fleet) -> None:
        job_id = await submit(fleet, 'ledgers', run_ms=3_000, result='held')
        await wait_for_run(fleet, job_id)
        await fleet.set_store_faults(outage='refusing')
        assert await call(fleet, b'still') == (200, b'still')
        headers = {'call_key': 'plan-1', 'call_idempotent': 'false'}
        status, content = await call(fleet, b'plan', **headers)
        assert json.loads(content)['work'] == 'not run', status
        status, answer = await fleet.submit(fleet.entries[-1], 'ledgers', '{}')
        assert answer['work'] == 'not run', status

        async def has_finished() -> bool:
            intervals = await read_intervals(fleet)
            return any(item.ended_as == 'succeeded' for item in intervals)

        await fleet_module.wait_until(has_finished, 'end during the outage')
        await fleet.set_store_faults()
        job = await wait_for_end(fleet, job_id)
        assert (job['code_name'], job['result']) == ('OK', 'held')

    run_fleet(scenario)


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'code'),
    [
        ('POST', '/v1/services/nosuch/calls', b'', 'UNKNOWN_SERVICE'),
        ('GET', '/v1/services/pigment/calls', b'', 'WRONG_METHOD'),
        ('POST', '/v1/jobs', b'{"job": 7}', 'BAD_REQUEST'),
        ('POST', '/v1/jobs', b'not json', 'BAD_REQUEST'),
        ('POST', '/v1/jobs', b'{"job": "nosuch"}', 'UNKNOWN_JOB'),
        ('GET', '/v1/jobs/nosuch', b'', 'UNKNOWN_JOB'),
        ('DELETE', '/v1/jobs/nosuch', b'', 'UNKNOWN_JOB'),
        ('GET', '/v1/nothing', b'', 'NOT_FOUND'),
        ('POST', '/v1/jobs', b'x' * 1_000_001, 'BODY_TOO_LARGE'),
    ],
)
def test_bad_requests_get_their_code(
    shared_fleet: 'SharedFleet', method: str, path: str, body: bytes, code: str
) -> None:
    """Guards against unclear answers to wrong requests."""
    status, answer = shared_fleet.request(method, path, body)
    assert answer['code_name'] == code, status
    assert answer['work'] == 'not run'


class SharedFleet:
    """A fleet for requests that change nothing."""

    def __init__(self) -> None:
        self._runner = asyncio.Runner()
        self._fleet = fleet_module.Fleet(PLAN)
        self._runner.run(self._start())

    def request(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Send a request to an entry."""
        url = f'{self._fleet.entries[0].caller_url}{path}'
        found: tuple[int, dict[str, Any]] = self._runner.run(
            self._fleet.request(method, url, data=body)
        )
        return found

    def stop(self) -> None:
        """End the processes."""
        self._runner.run(self._fleet.__aexit__())
        self._runner.close()

    async def _start(self) -> None:
        await self._fleet.__aenter__()
        await demo_plans.publish(self._fleet, demo_plans.EXAMPLES / 'ocre')


@pytest.fixture(scope='module')
def shared_fleet() -> abc.Iterator[SharedFleet]:
    """Yield one fleet for all bad requests."""
    fleet = SharedFleet()
    try:
        yield fleet
    finally:
        fleet.stop()
