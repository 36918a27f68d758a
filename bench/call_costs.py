"""Measures the latency and processor time that entry and agent add to calls.

``python -m bench.call_costs`` sends the same calls directly to executors and
through one entry. Prints the rate, the latency and the processor time per
call.
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
REQUEST_BODY: Final = b'x' * 100
FLEET_PLAN: Final = local_fleet.FleetPlan(
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


async def run_closed_loop(
    send_call: abc.Callable[[], abc.Awaitable[None]],
    concurrency: int,
    duration_s: float,
) -> list[float]:
    """Keep a number of calls in flight; return their latencies in ms."""
    end_s = time.monotonic() + duration_s
    latencies_ms: list[float] = []

    async def loop() -> None:
        while time.monotonic() < end_s:
            started_s = time.monotonic()
            await send_call()
            latencies_ms.append((time.monotonic() - started_s) * 1000)

    await asyncio.gather(*(loop() for _ in range(concurrency)))
    return latencies_ms


async def measure(
    fleet: local_fleet.Fleet,
    label: str,
    send_call: abc.Callable[[], abc.Awaitable[None]],
    concurrency: int,
) -> None:
    """Measure one way of calling and print its row of the table."""
    entry_pid = fleet.entries[0].process.pid
    agent_pids = [vm.agent.pid for vm in fleet.vms.values()]
    await run_closed_loop(send_call, concurrency, WARM_UP_S)
    before = await process_costs.read_all([entry_pid, *agent_pids])
    started_s = time.monotonic()
    latencies_ms = sorted(
        await run_closed_loop(send_call, concurrency, DURATION_S)
    )
    elapsed_s = time.monotonic() - started_s
    after = await process_costs.read_all([entry_pid, *agent_pids])
    processor_ms_by_role: collections.Counter[str] = collections.Counter()
    for pid in (entry_pid, *agent_pids):
        role = 'entry' if pid == entry_pid else 'agent'
        used_s = after[pid].processor_s - before[pid].processor_s
        processor_ms_by_role[role] += round(used_s * 1000)
    call_count = len(latencies_ms)
    cells = (
        label,
        str(concurrency),
        f'{call_count / elapsed_s:.0f}',
        f'{statistics.median(latencies_ms):.2f}',
        f'{latencies_ms[int(call_count * 0.99)]:.2f}',
        f'{processor_ms_by_role["entry"] / call_count:.2f}',
        f'{processor_ms_by_role["agent"] / call_count:.2f}',
        f'{after[entry_pid].resident_mb:.0f}',
    )
    print(f'| {" | ".join(cells)} |', flush=True)


async def run() -> None:
    """Measure direct and forwarded calls at several concurrencies."""
    async with local_fleet.Fleet(FLEET_PLAN) as fleet:
        await demo_plans.publish(fleet, demo_plans.EXAMPLES / 'ocre')
        vms = list(fleet.vms.values())
        call_numbers = iter(range(10**9))

        async def call_directly() -> None:
            number = next(call_numbers)
            headers = {
                'X-Call-Id': f'direct-{number}',
                'X-Service': 'pigment',
                'X-Deadline-Ms': str(time.time_ns() // 1_000_000 + 10_000),
            }
            url = f'{vms[number % len(vms)].executor_url}/v1/calls'
            async with fleet.http.post(
                url, data=REQUEST_BODY, headers=headers
            ) as answer:
                if await answer.read() != REQUEST_BODY:
                    raise RuntimeError(
                        'direct answer differs from the request'
                    )

        async def call_through_entry() -> None:
            url = f'{fleet.entries[0].caller_url}/v1/services/pigment/calls'
            async with fleet.http.post(
                url, data=REQUEST_BODY, headers={'call-idempotent': 'true'}
            ) as answer:
                if await answer.read() != REQUEST_BODY:
                    raise RuntimeError(
                        'answer through the entry differs from the request'
                    )

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
