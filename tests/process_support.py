"""Helpers of the tests that start separate processes."""

import asyncio
from collections import abc
import json
from typing import Any

import msgspec

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
    """Run a scenario on a fleet with the published Ocre configuration."""

    async def main() -> None:
        async with fleet_module.Fleet(PLAN) as fleet:
            await demo_plans.publish(fleet, demo_plans.EXAMPLES / 'ocre')
            await scenario(fleet)

    asyncio.run(main())


async def submit(fleet: fleet_module.Fleet, job: str, **plan: object) -> str:
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
    """Return the intervals that the workers recorded in their audits."""
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
