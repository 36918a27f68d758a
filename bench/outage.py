"""Checks that tasks keep running through an outage of the store.

``python -m bench.outage --seconds N`` starts tasks, makes the store refuse
every call for N seconds, and checks that the tasks run without interruption
and that their results are committed afterwards.
"""

import argparse
import asyncio
import json
import sys
import time
from typing import Final

from bench import demo_plans
from bench import local_fleet

TASK_COUNT: Final = 12
FLEET_PLAN: Final = local_fleet.FleetPlan(
    name='outage',
    region='sierra-centro',
    entry_data_centres=('tajo-norte', 'tajo-sur'),
    vms=(
        local_fleet.VmPlan('vm-1', 'tajo-norte', 'norte-1'),
        local_fleet.VmPlan('vm-2', 'molino-alto', 'molino-1'),
    ),
)


async def run(outage_s: float) -> int:
    """Run the outage; return the number of interrupted or repeated tasks."""
    async with local_fleet.Fleet(FLEET_PLAN) as fleet:
        await demo_plans.publish(fleet, demo_plans.EXAMPLES / 'ocre')
        arguments = json.dumps({'run_ms': round((outage_s + 5) * 1000)})
        job_ids = []
        for number in range(TASK_COUNT):
            _, answer = await fleet.submit(
                fleet.entries[0], 'ledgers', arguments, str(number)
            )
            job_ids.append(answer['job_id'])

        async def are_all_running() -> bool:
            return await _count_running(fleet) == TASK_COUNT

        await local_fleet.wait_until(are_all_running, 'start of all tasks')
        await fleet.set_store_faults(outage='refusing')
        fewest_running = TASK_COUNT
        end_s = time.monotonic() + outage_s
        while time.monotonic() < end_s:
            fewest_running = min(fewest_running, await _count_running(fleet))
            await asyncio.sleep(1)
        await fleet.set_store_faults()
        outage_end_s = time.monotonic()
        attempts = []
        for job_id in job_ids:
            attempts.append(await _wait_for_end(fleet, job_id))
        print(
            f'outage of {outage_s:.0f} s: at least {fewest_running} of '
            f'{TASK_COUNT} tasks ran throughout; attempts '
            f'{sorted(set(attempts))}; all results '
            f'committed {time.monotonic() - outage_end_s:.1f} s after its end'
        )
        return (
            TASK_COUNT
            - fewest_running
            + sum(attempt > 1 for attempt in attempts)
        )


async def _count_running(fleet: local_fleet.Fleet) -> int:
    total = 0
    for vm in fleet.vms.values():
        _, audit = await fleet.request('GET', f'{vm.worker_url}/control/audit')
        total += sum(not item['end_ms'] for item in audit['intervals'])
    return total


async def _wait_for_end(fleet: local_fleet.Fleet, job_id: str) -> int:
    """Wait until a job has succeeded; return its number of attempts."""
    attempt = 0

    async def has_ended() -> bool:
        nonlocal attempt
        status, answer = await fleet.read_job(fleet.entries[0], job_id)
        if status != 200 or answer['code_name'] == 'PENDING':
            return False
        attempt = answer['tasks'][0]['attempt']
        return bool(answer['code_name'] == 'OK')

    await local_fleet.wait_until(has_ended, f'end of {job_id}')
    return attempt


def main() -> int:
    """Run an outage of the length given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=75)
    return 1 if asyncio.run(run(parser.parse_args().seconds)) else 0


if __name__ == '__main__':
    sys.exit(main())
