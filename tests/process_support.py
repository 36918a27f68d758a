"""Helpers of the tests that start separate processes."""

import asyncio
from collections import abc
import json
from typing import Any

import msgspec

from bench import demo_plans
from bench import local_fleet
from standins import audits

PLAN = local_fleet.FleetPlan(
    name='test',
    region='sierra-centro',
    entry_data_centres=('tajo-norte', 'tajo-sur'),
    vms=(
        local_fleet.VmPlan('vm-1', 'tajo-norte', 'norte-1', 'pigment'),
        local_fleet.VmPlan('vm-2', 'molino-alto', 'molino-1', 'pigment'),
    ),
    shard_count=4,
    grant_ms=5_000,
    drain_ms=10_000,
)


def run_fleet(
    scenario: abc.Callable[[local_fleet.Fleet], abc.Awaitable[None]],
) -> None:
    """Run a scenario on a fleet with the published Ocre configuration."""

    async def main() -> None:
        async with local_fleet.Fleet(PLAN) as fleet:
            await demo_plans.publish(fleet, demo_plans.EXAMPLES / 'ocre')
            await scenario(fleet)

    asyncio.run(main())


async def submit(fleet: local_fleet.Fleet, job: str, **plan: object) -> str:
    """Submit a job, repeatedly until it is accepted; return its id."""
    found = ''

    async def is_accepted() -> bool:
        nonlocal found
        status, answer = await fleet.submit(
            fleet.entries[-1], job, json.dumps(plan), key=repr((job, plan))
        )
        if status == 202:
            found = answer['job_id']
        return status == 202

    await local_fleet.wait_until(is_accepted, f'acceptance of {job}')
    return found


async def wait_for_end(
    fleet: local_fleet.Fleet, job_id: str
) -> dict[str, Any]:
    """Wait until a job has ended and return its state."""
    found: dict[str, Any] = {}

    async def has_ended() -> bool:
        status, answer = await fleet.read_job(fleet.entries[-1], job_id)
        found.update(answer)
        return status == 200 and answer['code_name'] != 'PENDING'

    await local_fleet.wait_until(has_ended, f'end of job {job_id}')
    return found


async def wait_for_run(fleet: local_fleet.Fleet, job_id: str) -> str:
    """Wait until a worker runs a job; return the name of its VM."""
    place = ''

    async def is_running() -> bool:
        nonlocal place
        for interval in await read_intervals(fleet):
            if interval.task_id.startswith(job_id) and not interval.end_ms:
                place = interval.worker
        return bool(place)

    await local_fleet.wait_until(is_running, f'start of job {job_id}')
    return place


async def read_intervals(fleet: local_fleet.Fleet) -> list[audits.Interval]:
    """Return the intervals that the workers recorded in their audits."""
    found: list[audits.Interval] = []
    for vm in fleet.vms.values():
        _, audit = await fleet.request('GET', f'{vm.worker_url}/control/audit')
        found += msgspec.convert(audit['intervals'], list[audits.Interval])
    return found


async def call(
    fleet: local_fleet.Fleet, body: bytes, **headers: str
) -> tuple[int, bytes]:
    """Call the service through the last entry."""
    url = f'{fleet.entries[-1].caller_url}/v1/services/pigment/calls'
    named = {key.replace('_', '-'): value for key, value in headers.items()}
    async with fleet.http.post(url, data=body, headers=named) as answer:
        return answer.status, await answer.read()
