"""A short load on one entry and one agent while they are traced.

Uses the example configuration of Ocre. The stand-ins execute the calls and
the jobs.
"""

import asyncio
import dataclasses
import json
from typing import Final

import aiohttp

from bench import local_fleet

SERVICE: Final = 'pigment'
JOB_NAME: Final = 'ledgers'
CONFIGURATION: Final = local_fleet.ROOT / 'examples' / 'ocre'
CALL_COUNT: Final = 50
JOB_COUNT: Final = 10
JOB_TIMEOUT_S: Final = 60.0
POLL_INTERVAL_S: Final = 0.2


@dataclasses.dataclass(frozen=True)
class LoadOutcome:
    """Numbers of calls and jobs that succeeded."""

    succeeded_calls: int
    succeeded_jobs: int


async def publish(store_url: str, admin_url: str) -> None:
    """Publish the configuration and wait until it is applied.

    :raises RuntimeError: if the publication fails
    """
    process = await local_fleet.start_process(
        'publish',
        'borageshelf.main',
        'publish',
        str(CONFIGURATION),
        f'--store-url={store_url}',
        f'--admin-urls={admin_url}',
        '--author=bench',
        '--reason=measurement',
        '--base-version=0',
        '--wait',
        environment={'BORAGESHELF_ADMIN_TOKEN': local_fleet.ADMIN_TOKEN},
    )
    if await process.wait() != 0:
        raise RuntimeError(f'publish failed: {list(process.lines)}')


async def drive(caller_url: str) -> LoadOutcome:
    """Send calls and jobs and wait for all; half of the calls have a key."""
    async with aiohttp.ClientSession() as session:
        succeeded_calls = asyncio.gather(
            *(
                _send_call(session, caller_url, number)
                for number in range(CALL_COUNT)
            )
        )
        succeeded_jobs = asyncio.gather(
            *(
                _run_job(session, caller_url, number)
                for number in range(JOB_COUNT)
            )
        )
        return LoadOutcome(
            sum(await succeeded_calls), sum(await succeeded_jobs)
        )


async def _send_call(
    session: aiohttp.ClientSession, caller_url: str, number: int
) -> bool:
    headers = {'call-idempotent': 'true', 'call-timeout-ms': '20000'}
    if number % 2:
        headers = {'call-key': f'key-{number}', 'call-timeout-ms': '20000'}
    url = f'{caller_url}/v1/services/{SERVICE}/calls'
    body = json.dumps({'run_ms': 5, 'answer_bytes': 40_000})
    async with session.post(url, data=body, headers=headers) as answer:
        content = await answer.read()
        return answer.status == 200 and len(content) == 40_000


async def _run_job(
    session: aiohttp.ClientSession, caller_url: str, number: int
) -> bool:
    arguments = json.dumps({'run_ms': 500, 'result': 'done'})
    document = {
        'job': JOB_NAME,
        'key': f'job-{number}',
        'arguments': arguments,
    }
    async with session.post(f'{caller_url}/v1/jobs', json=document) as answer:
        accepted = await answer.json()
        if answer.status != 202:
            return False
    url = f'{caller_url}/v1/jobs/{accepted["job_id"]}'
    async with asyncio.timeout(JOB_TIMEOUT_S):
        while True:
            async with session.get(url) as answer:
                found = await answer.json()
            if found['code_name'] != 'PENDING':
                return bool(found['code_name'] == 'OK')
            await asyncio.sleep(POLL_INTERVAL_S)
