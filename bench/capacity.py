"""Measures how the cost of entries, agents and the store grows.

``python -m bench.capacity agents|tasks|starts|changes`` runs one sweep with
real processes on loopback and prints a table. The slopes are the input of
docs/CAPACITY.md.
"""

import argparse
import asyncio
import json
import pathlib
import statistics
import sys
import tempfile
import time
from typing import Final

from bench import demo_plans
from bench import local_fleet
from bench import process_costs

WINDOW_S: Final = 20.0
SETTLE_S: Final = 8.0
WORKERS_PER_HOST: Final = 40
SUBMISSIONS_AT_ONCE: Final = 32
ENTRIES: Final = 3
SHARDS: Final = 32
CHANGES: Final = 5

CONFIGURATION: Final = """
data_centres:
  one: {region: bench}
worker_shapes:
  standard:
    data_centre: one
    count: 160
    capacity: {processor: 60 cores, memory: 250 GB, accelerators: 2}
limits: {jobs_queued: 8000}
teams:
  bench: {quota: {processor: 9600 cores, memory: 40 TB}}
placements:
  anywhere: {spread: none}
services:
  echo: {team: bench, target_p99: 100 ms, idempotent: true}
jobs:
  small:
    team: bench
    placement: anywhere
    declared: {processor: 0.2 cores, memory: 1 GB}
"""

HEADER: Final = (
    '| load | entry CPU ms/s | entry MB | entry KB/s | agent CPU ms/s |'
    ' agent MB | agent KB/s | store reads/s | store writes/s |\n'
    '|---|---|---|---|---|---|---|---|---|'
)


class Bench:
    """A fleet with many agents and few entries."""

    def __init__(self, fleet: local_fleet.Fleet) -> None:
        self.fleet = fleet
        self._processes: list[local_fleet.Process] = []
        self._agents: list[local_fleet.Process] = []

    async def start_agents(self, count: int) -> None:
        """Start workers and agents until there are this many."""
        while len(self._agents) < count:
            missing = min(count - len(self._agents), WORKERS_PER_HOST)
            await self._start_host(missing)

    async def stop(self) -> None:
        """End all processes of the bench."""
        await asyncio.gather(*(item.kill() for item in self._processes))

    async def submit(self, count: int, run_ms: int) -> None:
        """Submit jobs as fast as they are accepted."""
        bound = asyncio.Semaphore(SUBMISSIONS_AT_ONCE)

        async def submit_one(number: int) -> None:
            async with bound:
                await self._submit_one(number, run_ms)

        await asyncio.gather(*(submit_one(item) for item in range(count)))

    async def wait_for_running(self, count: int) -> None:
        """Wait until this many tasks are assigned."""

        async def is_reached() -> bool:
            return await self._count_assigned() >= count

        await local_fleet.wait_until(is_reached, f'{count} tasks', 180, 1.0)

    async def measure(self, label: str) -> None:
        """Measure one window and print its row."""
        entries = [entry.process.pid for entry in self.fleet.entries]
        agents = [agent.pid for agent in self._agents]
        before, started = await self.count_calls(), time.monotonic()
        costs = await process_costs.measure(entries + agents, WINDOW_S)
        after, elapsed_s = await self.count_calls(), time.monotonic()
        elapsed_s -= started
        entry = process_costs.average([costs[pid] for pid in entries])
        agent = process_costs.average([costs[pid] for pid in agents])
        reads = (after[0] - before[0]) / elapsed_s
        writes = (after[1] - before[1]) / elapsed_s
        cells = [
            label,
            f'{entry.processor_ms_per_s:.1f}',
            f'{entry.resident_mb:.0f}',
            f'{entry.traffic_kb_per_s:.1f}',
            f'{agent.processor_ms_per_s:.1f}',
            f'{agent.resident_mb:.0f}',
            f'{agent.traffic_kb_per_s:.2f}',
            f'{reads:.1f}',
            f'{writes:.1f}',
        ]
        print(f'| {" | ".join(cells)} |', flush=True)

    async def drive(self, per_s: float, duration_s: float) -> None:
        """Submit short jobs at a rate."""
        end = time.monotonic() + duration_s
        running = set()
        while time.monotonic() < end:
            task = asyncio.ensure_future(self._submit_one(0, 1000))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*running)

    async def _submit_one(self, number: int, run_ms: int) -> None:
        entry = self.fleet.entries[number % len(self.fleet.entries)]
        status, answer = await self.fleet.submit(
            entry, 'small', json.dumps({'run_ms': run_ms})
        )
        if status != 202:
            raise RuntimeError(f'a job is refused: {answer}')

    async def _count_assigned(self) -> int:
        total = 0
        headers = {'Authorization': f'Bearer {local_fleet.ADMIN_TOKEN}'}
        for entry in self.fleet.entries:
            _, answer = await self.fleet.request(
                'GET', f'{entry.admin_url}/v1/shards', headers=headers
            )
            total += sum(item['assigned'] for item in answer['shards'])
        return total

    async def count_calls(self) -> tuple[int, int]:
        """Return the reads and writes of the store so far."""
        counters = (await self.fleet.read_store_counters())['calls']
        writes = sum(
            counters.get(name, 0) for name in ('put', 'delete', 'renew_lease')
        )
        return sum(counters.values()) - writes, writes

    async def _start_host(self, count: int) -> None:
        host = await local_fleet.start_process(
            'workers', 'bench.worker_host', f'--count={count}'
        )
        self._processes.append(host)
        await host.wait_for_line('all workers listen')
        urls = [
            line.split()[1] for line in host.lines if line.startswith('worker')
        ]
        first = len(self._agents)
        for number in range(0, len(urls), 8):
            started = await asyncio.gather(
                *(
                    self._start_agent(first + number + place, url)
                    for place, url in enumerate(urls[number : number + 8])
                )
            )
            self._agents += started

    async def _start_agent(self, number: int, url: str) -> local_fleet.Process:
        plan = local_fleet.VmPlan(
            f'worker-{number}', 'one', f'rack-{number // 3}'
        )
        agent = await self.fleet.start_agent(plan, url, '')
        self._processes.append(agent)
        return agent


async def sweep_agents(bench: Bench) -> None:
    """Measure an idle fleet at several numbers of agents."""
    for count in (10, 40, 160):
        await bench.start_agents(count)
        await asyncio.sleep(SETTLE_S)
        await bench.measure(f'{count} agents')


async def sweep_tasks(bench: Bench) -> None:
    """Measure running tasks at several numbers of tasks."""
    await bench.start_agents(40)
    submitted = 0
    for count in (100, 1000, 5900):
        await bench.submit(count - submitted, 900_000)
        submitted = count
        await bench.wait_for_running(count)
        await asyncio.sleep(SETTLE_S)
        await bench.measure(f'{count} tasks on 40 agents')


async def sweep_starts(bench: Bench) -> None:
    """Measure rates of starting tasks."""
    await bench.start_agents(20)
    for per_s in (2, 8, 24):
        driving = asyncio.ensure_future(
            bench.drive(per_s, WINDOW_S + SETTLE_S)
        )
        await asyncio.sleep(SETTLE_S / 2)
        await bench.measure(f'{per_s} jobs/s on 20 agents')
        await driving


async def sweep_changes(bench: Bench) -> None:
    """Measure how long a change takes and what it costs the store."""
    print('| agents | changes | median s | longest s | reads | writes |')
    print('|---|---|---|---|---|---|')
    version = 1
    for count in (10, 40, 160):
        await bench.start_agents(count)
        await asyncio.sleep(SETTLE_S)
        before = await bench.count_calls()
        times_s = []
        for _ in range(CHANGES):
            started = time.monotonic()
            await publish_limit(bench.fleet, version)
            times_s.append(time.monotonic() - started)
            version += 1
        after = await bench.count_calls()
        reads = (after[0] - before[0]) / CHANGES
        writes = (after[1] - before[1]) / CHANGES
        print(
            f'| {count} | {CHANGES} | {statistics.median(times_s):.2f} '
            f'| {max(times_s):.2f} | {reads:.1f} | {writes:.1f} |',
            flush=True,
        )


async def publish_limit(fleet: local_fleet.Fleet, version: int) -> None:
    """Publish the configuration with another limit and wait for it."""
    with tempfile.TemporaryDirectory() as folder:
        text = CONFIGURATION.replace('8000', str(8000 + version))
        (pathlib.Path(folder) / 'bench.yaml').write_text(text)
        await demo_plans.publish(fleet, pathlib.Path(folder), version)


SWEEPS: Final = {
    'changes': sweep_changes,
    'agents': sweep_agents,
    'tasks': sweep_tasks,
    'starts': sweep_starts,
}


async def run_sweep(name: str) -> None:
    """Run one sweep."""
    plan = local_fleet.FleetPlan(
        name='bench',
        region='bench',
        entry_data_centres=('one',) * ENTRIES,
        vms=(),
        shard_count=SHARDS,
    )
    async with local_fleet.Fleet(plan) as fleet:
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / 'bench.yaml'
            file.write_text(CONFIGURATION)
            await demo_plans.publish(fleet, pathlib.Path(folder))
        bench = Bench(fleet)
        try:
            if name != 'changes':
                print(HEADER)
            await SWEEPS[name](bench)
        finally:
            await bench.stop()


def main() -> int:
    """Run the sweep of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('sweep', choices=sorted(SWEEPS))
    asyncio.run(run_sweep(parser.parse_args().sweep))
    return 0


if __name__ == '__main__':
    sys.exit(main())
