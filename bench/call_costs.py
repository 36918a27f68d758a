"""Measures what an entry and an agent add to a call.

``python -m bench.call_costs`` sends the same calls to an executor directly
and through one entry, and prints rate, latency and processor time a call.
"""

import asyncio
import collections
from collections import abc
import statistics
import sys
import time
from typing import Final

from bench import demo_plans
from bench import local_fleet
from bench import process_costs

DURATION_S: Final = 10.0
WARM_UP_S: Final = 2.0
CONCURRENCIES: Final = (1, 8, 32)
BODY: Final = b'x' * 100
PLAN: Final = local_fleet.FleetPlan(
    name='calls',
    region='sierra-centro',
    entry_data_centres=('tajo-norte',),
    vms=tuple(
        local_fleet.VmPlan(
            f'vm-{number}', 'tajo-norte', f'rack-{number}', 'pigment', False
        )
        for number in range(4)
    ),
)


async def drive(
    call: abc.Callable[[], abc.Awaitable[None]],
    concurrency: int,
    duration_s: float,
) -> list[float]:
    """Keep calls under way for a time; return latencies in ms."""
    end = time.monotonic() + duration_s
    latencies_ms: list[float] = []

    async def loop() -> None:
        while time.monotonic() < end:
            started = time.monotonic()
            await call()
            latencies_ms.append((time.monotonic() - started) * 1000)

    await asyncio.gather(*(loop() for _ in range(concurrency)))
    return latencies_ms


async def measure(
    fleet: local_fleet.Fleet,
    label: str,
    call: abc.Callable[[], abc.Awaitable[None]],
    concurrency: int,
) -> None:
    """Measure one way of calling and print its row."""
    entry = fleet.entries[0].process.pid
    agents = [vm.agent.pid for vm in fleet.vms.values()]
    await drive(call, concurrency, WARM_UP_S)
    before = await process_costs.read_all([entry, *agents])
    started = time.monotonic()
    latencies_ms = sorted(await drive(call, concurrency, DURATION_S))
    elapsed_s = time.monotonic() - started
    after = await process_costs.read_all([entry, *agents])
    spent_ms: collections.Counter[str] = collections.Counter()
    for pid in (entry, *agents):
        role = 'entry' if pid == entry else 'agent'
        used_s = after[pid].processor_s - before[pid].processor_s
        spent_ms[role] += round(used_s * 1000)
    count = len(latencies_ms)
    cells = (
        label,
        str(concurrency),
        f'{count / elapsed_s:.0f}',
        f'{statistics.median(latencies_ms):.2f}',
        f'{latencies_ms[int(count * 0.99)]:.2f}',
        f'{spent_ms["entry"] / count:.2f}',
        f'{spent_ms["agent"] / count:.2f}',
        f'{after[entry].resident_mb:.0f}',
    )
    print(f'| {" | ".join(cells)} |', flush=True)


async def run() -> None:
    """Measure both ways at several concurrencies."""
    async with local_fleet.Fleet(PLAN) as fleet:
        await demo_plans.publish(fleet, demo_plans.EXAMPLES / 'ocre')
        vms = list(fleet.vms.values())
        numbers = iter(range(10**9))

        async def call_directly() -> None:
            number = next(numbers)
            headers = {
                'X-Call-Id': f'direct-{number}',
                'X-Service': 'pigment',
                'X-Deadline-Ms': str(time.time_ns() // 1_000_000 + 10_000),
            }
            url = f'{vms[number % len(vms)].executor_url}/v1/calls'
            async with fleet.http.post(
                url, data=BODY, headers=headers
            ) as answer:
                if await answer.read() != BODY:
                    raise RuntimeError('wrong answer')

        async def call_through_entry() -> None:
            url = f'{fleet.entries[0].caller_url}/v1/services/pigment/calls'
            async with fleet.http.post(
                url, data=BODY, headers={'call-idempotent': 'true'}
            ) as answer:
                if await answer.read() != BODY:
                    raise RuntimeError('wrong answer')

        print(
            '| way | at once | calls/s | median ms | p99 ms | entry CPU ms '
            'a call | agent CPU ms a call | entry MB |\n'
            '|---|---|---|---|---|---|---|---|'
        )
        for concurrency in CONCURRENCIES:
            await measure(fleet, 'direct', call_directly, concurrency)
            await measure(
                fleet, 'through entry', call_through_entry, concurrency
            )


def main() -> int:
    """Run the measurement."""
    asyncio.run(run())
    return 0


if __name__ == '__main__':
    sys.exit(main())
