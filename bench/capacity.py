"""Measures how the cost of entries, agents and the store grows with load.

``python -m bench.capacity agents|tasks|starts|changes`` runs one sweep with
real processes on loopback and prints a table. docs/CAPACITY.md derives its
figures from the slopes.
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

MEASUREMENT_WINDOW_S: Final = 20.0
SETTLE_S: Final = 8.0
WORKERS_PER_HOST: Final = 40
CONCURRENT_SUBMISSIONS: Final = 32
ENTRY_COUNT: Final = 3
SHARD_COUNT: Final = 32
PUBLICATIONS_PER_SIZE: Final = 5

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

TABLE_HEADER: Final = (
    '| load | entry CPU ms/s | entry MB | entry KB/s | agent CPU ms/s |'
    ' agent MB | agent KB/s | store reads/s | store writes/s |\n'
    '|---|---|---|---|---|---|---|---|---|'
)


class CapacityBench:
    """A fleet of few entries to which many agents are added."""

    def __init__(self, fleet: local_fleet.Fleet) -> None:
        self.fleet = fleet
        self._processes: list[local_fleet.Process] = []
        self._agents: list[local_fleet.Process] = []

    async def start_agents(self, count: int) -> None:
        """Start workers and agents until ``count`` of each exist."""
        while len(self._agents) < count:
            missing_count = min(count - len(self._agents), WORKERS_PER_HOST)
            await self._start_host(missing_count)

    async def stop(self) -> None:
        """Kill all processes that the bench has started."""
        await asyncio.gather(*(item.kill() for item in self._processes))

    async def submit(self, count: int, run_ms: int) -> None:
        """Submit jobs as fast as the entries accept them."""
        submission_slots = asyncio.Semaphore(CONCURRENT_SUBMISSIONS)

        async def submit_one(number: int) -> None:
            async with submission_slots:
                await self._submit_one(number, run_ms)

        await asyncio.gather(*(submit_one(item) for item in range(count)))

    async def wait_for_running(self, count: int) -> None:
        """Wait until at least ``count`` tasks are assigned."""

        async def is_reached() -> bool:
            return await self._count_assigned_tasks() >= count

        await local_fleet.wait_until(is_reached, f'{count} tasks', 180, 1.0)

    async def measure(self, label: str) -> None:
        """Measure one window and print its row of the table."""
        entries = [entry.process.pid for entry in self.fleet.entries]
        agent_pids = [agent.pid for agent in self._agents]
        calls_before, started_s = (
            await self.read_store_calls(),
            time.monotonic(),
        )
        costs = await process_costs.measure(
            entries + agent_pids, MEASUREMENT_WINDOW_S
        )
        calls_after, elapsed_s = (
            await self.read_store_calls(),
            time.monotonic(),
        )
        elapsed_s -= started_s
        entry = process_costs.compute_mean_cost(
            [costs[pid] for pid in entries]
        )
        agent = process_costs.compute_mean_cost(
            [costs[pid] for pid in agent_pids]
        )
        reads = (calls_after[0] - calls_before[0]) / elapsed_s
        writes = (calls_after[1] - calls_before[1]) / elapsed_s
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

    async def submit_at_rate(
        self, jobs_per_s: float, duration_s: float
    ) -> None:
        """Submit short jobs at a constant rate for a period."""
        end_s = time.monotonic() + duration_s
        submissions = set()
        while time.monotonic() < end_s:
            task = asyncio.ensure_future(self._submit_one(0, 1000))
            submissions.add(task)
            task.add_done_callback(submissions.discard)
            await asyncio.sleep(1 / jobs_per_s)
        await asyncio.gather(*submissions)

    async def _submit_one(self, number: int, run_ms: int) -> None:
        entry = self.fleet.entries[number % len(self.fleet.entries)]
        status, answer = await self.fleet.submit(
            entry, 'small', json.dumps({'run_ms': run_ms})
        )
        if status != 202:
            raise RuntimeError(f'job was refused: {answer}')

    async def _count_assigned_tasks(self) -> int:
        total = 0
        headers = {'Authorization': f'Bearer {local_fleet.ADMIN_TOKEN}'}
        for entry in self.fleet.entries:
            _, answer = await self.fleet.request(
                'GET', f'{entry.admin_url}/v1/shards', headers=headers
            )
            total += sum(item['assigned'] for item in answer['shards'])
        return total

    async def read_store_calls(self) -> tuple[int, int]:
        """Return the numbers of reads and writes of the store so far."""
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
        first_number = len(self._agents)
        for number in range(0, len(urls), 8):
            started_agents = await asyncio.gather(
                *(
                    self._start_agent(first_number + number + offset, url)
                    for offset, url in enumerate(urls[number : number + 8])
                )
            )
            self._agents += started_agents

    async def _start_agent(self, number: int, url: str) -> local_fleet.Process:
        plan = local_fleet.VmPlan(
            f'worker-{number}', 'one', f'rack-{number // 3}'
        )
        agent = await self.fleet.start_agent(plan, url, '')
        self._processes.append(agent)
        return agent


async def sweep_agents(bench: CapacityBench) -> None:
    """Measure an idle fleet with different numbers of agents."""
    for count in (10, 40, 160):
        await bench.start_agents(count)
        await asyncio.sleep(SETTLE_S)
        await bench.measure(f'{count} agents')


async def sweep_tasks(bench: CapacityBench) -> None:
    """Measure a fleet with different numbers of running tasks."""
    await bench.start_agents(40)
    submitted = 0
    for count in (100, 1000, 5900):
        await bench.submit(count - submitted, 900_000)
        submitted = count
        await bench.wait_for_running(count)
        await asyncio.sleep(SETTLE_S)
        await bench.measure(f'{count} tasks on 40 agents')


async def sweep_starts(bench: CapacityBench) -> None:
    """Measure a fleet at different rates of task starts."""
    await bench.start_agents(20)
    for jobs_per_s in (2, 8, 24):
        load_task = asyncio.ensure_future(
            bench.submit_at_rate(jobs_per_s, MEASUREMENT_WINDOW_S + SETTLE_S)
        )
        await asyncio.sleep(SETTLE_S / 2)
        await bench.measure(f'{jobs_per_s} jobs/s on 20 agents')
        await load_task


async def sweep_changes(bench: CapacityBench) -> None:
    """Measure the time of a publication and its calls to the store."""
    print('| agents | changes | median s | longest s | reads | writes |')
    print('|---|---|---|---|---|---|')
    version = 1
    for count in (10, 40, 160):
        await bench.start_agents(count)
        await asyncio.sleep(SETTLE_S)
        calls_before = await bench.read_store_calls()
        times_s = []
        for _ in range(PUBLICATIONS_PER_SIZE):
            started_s = time.monotonic()
            await publish_limit(bench.fleet, version)
            times_s.append(time.monotonic() - started_s)
            version += 1
        calls_after = await bench.read_store_calls()
        reads = (calls_after[0] - calls_before[0]) / PUBLICATIONS_PER_SIZE
        writes = (calls_after[1] - calls_before[1]) / PUBLICATIONS_PER_SIZE
        print(
            f'| {count} | {PUBLICATIONS_PER_SIZE} '
            f'| {statistics.median(times_s):.2f} '
            f'| {max(times_s):.2f} | {reads:.1f} | {writes:.1f} |',
            flush=True,
        )


async def publish_limit(fleet: local_fleet.Fleet, version: int) -> None:
    """Publish the configuration with a changed limit and wait for it."""
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
    """Start a fleet and run one sweep on it."""
    plan = local_fleet.FleetPlan(
        name='bench',
        region='bench',
        entry_data_centres=('one',) * ENTRY_COUNT,
        vms=(),
        shard_count=SHARD_COUNT,
    )
    async with local_fleet.Fleet(plan) as fleet:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'bench.yaml'
            path.write_text(CONFIGURATION)
            await demo_plans.publish(fleet, pathlib.Path(folder))
        bench = CapacityBench(fleet)
        try:
            if name != 'changes':
                print(TABLE_HEADER)
            await SWEEPS[name](bench)
        finally:
            await bench.stop()


def main() -> int:
    """Run the sweep that is named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('sweep', choices=sorted(SWEEPS))
    asyncio.run(run_sweep(parser.parse_args().sweep))
    return 0


if __name__ == '__main__':
    sys.exit(main())
