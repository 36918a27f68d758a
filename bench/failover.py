"""Measures how long failures and changes take with real processes.

``python -m bench.failover`` kills an entry, stops an entry as planned, loses
a VM, restarts an agent, starts urgent work and publishes a configuration,
each several times, and prints a table of the times.
"""

import argparse
import asyncio
import json
import pathlib
import shutil
import signal
import statistics
import sys
import tempfile
import time
from typing import Any, Final
import uuid

from bench import demo_plans
from bench import local_fleet
from borageshelf.agent import reservations

PLAN: Final = local_fleet.FleetPlan(
    name='failover',
    region='sierra-centro',
    entry_data_centres=('tajo-norte', 'tajo-sur', 'molino-alto'),
    vms=tuple(
        local_fleet.VmPlan(f'vm-{number}', place, f'rack-{number}')
        for number, place in enumerate(
            ('tajo-norte', 'tajo-sur', 'molino-alto', 'tajo-norte')
        )
    ),
)
POLL_S: Final = 0.02


class Failover:
    """Provokes one failure at a time."""

    def __init__(self, fleet: local_fleet.Fleet) -> None:
        self.fleet = fleet
        self._number = len(fleet.entries)

    async def kill_entry(self) -> float:
        """Return seconds until each shard accepts jobs again."""
        victim = self.fleet.entries.pop(0)
        started = time.monotonic()
        await victim.process.kill()
        return await self._wait_for_all_shards(started)

    async def stop_entry(self) -> float:
        """Return seconds from a planned stop to all shards working."""
        leaving = self.fleet.entries.pop(0)
        started = time.monotonic()
        leaving.process.send_signal(signal.SIGTERM)
        elapsed_s = await self._wait_for_all_shards(started)
        if await leaving.process.wait() != 0:
            raise RuntimeError('the planned stop of an entry failed')
        return elapsed_s

    async def replace_entry(self) -> None:
        """Start an entry in place of one that was ended."""
        await self.fleet.start_entry(
            f'failover-entry-{self._number}', 'tajo-norte'
        )
        self._number += 1
        await asyncio.sleep(3)

    async def start_urgent(self) -> float:
        """Return seconds from a submission to the task's start."""
        started = time.monotonic()
        job_id = await self._submit('assay-batch', 200)
        await self._wait_for_attempt(job_id, 1)
        return time.monotonic() - started

    async def lose_vm(self) -> float:
        """Return seconds until the task of a lost VM runs elsewhere.

        The worker and the agent are killed, so nothing tells that the task
        is dead but its last grant.
        """
        job_id = await self._submit('ledgers', 600_000)
        place = await self._wait_for_attempt(job_id, 1)
        vm = self.fleet.vms.pop(place)
        started = time.monotonic()
        assert vm.worker is not None
        await asyncio.gather(vm.agent.kill(), vm.worker.kill())
        await self._wait_for_attempt(job_id, 2)
        return time.monotonic() - started

    async def publish(self, version: int) -> float:
        """Return seconds until a change is in force in all processes."""
        source = demo_plans.EXAMPLES / 'ocre'
        with tempfile.TemporaryDirectory() as folder:
            copy = pathlib.Path(folder) / 'ocre'
            shutil.copytree(source, copy)
            policy = copy / 'policy.yaml'
            text = policy.read_text()
            policy.write_text(
                text.replace(
                    'jobs_queued: 4000', f'jobs_queued: {5000 + version}'
                )
            )
            started = time.monotonic()
            await demo_plans.publish(self.fleet, copy, version)
            return time.monotonic() - started

    async def _submit(self, job: str, run_ms: int) -> str:
        key = uuid.uuid4().hex
        arguments = json.dumps({'run_ms': run_ms})
        while True:
            status, answer = await self.fleet.submit(
                self.fleet.entries[-1], job, arguments, key
            )
            if status == 202:
                job_id: str = answer['job_id']
                return job_id
            await asyncio.sleep(POLL_S)

    async def _wait_for_all_shards(self, started: float) -> float:
        """Submit one job for each shard and wait for all of them.

        Jobs are spread by a hash, so many more jobs than shards are sent.
        """
        count = 6 * self.fleet.plan.shard_count
        await asyncio.gather(
            *(self._submit('grade-certificate', 1) for _ in range(count))
        )
        return time.monotonic() - started

    async def _wait_for_attempt(self, job_id: str, attempt: int) -> str:
        """Wait until a worker runs an attempt; return the VM's name."""
        place = ''

        async def is_running() -> bool:
            nonlocal place
            place = await self._find_place(job_id, attempt)
            return bool(place)

        await local_fleet.wait_until(
            is_running, f'attempt {attempt}', 120, POLL_S
        )
        return place

    async def _find_place(self, job_id: str, attempt: int) -> str:
        for vm in self.fleet.vms.values():
            _, audit = await self.fleet.request(
                'GET', f'{vm.worker_url}/control/audit'
            )
            for item in audit['intervals']:
                is_own = item['task_id'].startswith(job_id)
                if is_own and item['attempt'] >= attempt:
                    return vm.plan.name
        return ''


async def measure(rounds: int) -> dict[str, list[float]]:
    """Return the times of all failures in seconds."""
    times: dict[str, list[float]] = {}

    async def note(name: str, awaitable: Any) -> None:
        times.setdefault(name, []).append(await awaitable)
        print(f'{name}: {times[name][-1]:.2f} s', flush=True)

    async with local_fleet.Fleet(PLAN) as fleet:
        await demo_plans.publish(fleet, demo_plans.EXAMPLES / 'ocre')
        failover = Failover(fleet)
        # All agents have just started and take no tasks yet.
        await asyncio.sleep(2 * reservations.START_ACCEPT_DELAY_MS / 1000)
        for number in range(rounds):
            await note('urgent job started', failover.start_urgent())
            await note(
                'change in force everywhere', failover.publish(number + 1)
            )
            await note('entry killed, shards work', failover.kill_entry())
            await failover.replace_entry()
            await note('entry stopped, shards work', failover.stop_entry())
            await failover.replace_entry()
        await note('VM lost, task runs elsewhere', failover.lose_vm())
    return times


def format_table(times: dict[str, list[float]]) -> str:
    """Return the table of medians and maxima."""
    lines = ['| event | runs | median s | longest s |', '|---|---|---|---|']
    for name, values in times.items():
        median = statistics.median(values)
        lines.append(
            f'| {name} | {len(values)} | {median:.2f} | {max(values):.2f} |'
        )
    return '\n'.join(lines)


def main() -> int:
    """Run the measurement and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=5)
    times = asyncio.run(measure(parser.parse_args().rounds))
    print(format_table(times))
    return 0


if __name__ == '__main__':
    sys.exit(main())
