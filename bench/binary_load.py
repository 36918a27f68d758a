"""A short load on one entry and one agent while they are traced.

The configuration is the example of Ocre; the stand-ins run the calls and the
jobs.
"""

import asyncio
import dataclasses
import json
from typing import Final

import aiohttp

from bench import local_fleet

SERVICE: Final = 'pigment'
JOB: Final = 'ledgers'
CONFIGURATION: Final = local_fleet.ROOT / 'examples' / 'ocre'
CALLS: Final = 50
JOBS: Final = 10
LIMIT_S: Final = 60.0
POLL_S: Final = 0.2


@dataclasses.dataclass(frozen=True)
class Outcome:
    """How much of the load was answered with success."""

    calls: int
    jobs: int


async def publish(store_url: str, admin_url: str) -> None:
    """Publish the configuration and wait until it is in force.

    :raises RuntimeError: if it is refused
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


async def drive(caller_url: str) -> Outcome:
    """Send calls and jobs, some with a key, and wait for their ends."""
    async with aiohttp.ClientSession() as session:
        calls = asyncio.gather(
            *(_call(session, caller_url, number) for number in range(CALLS))
        )
        jobs = asyncio.gather(
            *(_run_job(session, caller_url, number) for number in range(JOBS))
        )
        return Outcome(sum(await calls), sum(await jobs))


async def _call(
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
    document = {'job': JOB, 'key': f'job-{number}', 'arguments': arguments}
    async with session.post(f'{caller_url}/v1/jobs', json=document) as answer:
        accepted = await answer.json()
        if answer.status != 202:
            return False
    url = f'{caller_url}/v1/jobs/{accepted["job_id"]}'
    async with asyncio.timeout(LIMIT_S):
        while True:
            async with session.get(url) as answer:
                found = await answer.json()
            if found['code_name'] != 'PENDING':
                return bool(found['code_name'] == 'OK')
            await asyncio.sleep(POLL_S)
