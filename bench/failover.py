"""Measures the time of failover and changes with real processes.

``python -m bench.failover`` starts an urgent job, publishes a configuration,
kills an entry and stops another as planned, each several times. Then it kills
the worker and the agent of a VM. Prints a table of the times.
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

FLEET_PLAN: Final = local_fleet.FleetPlan(
    name='failover',
    region='sierra-centro',
    entry_data_centres=('tajo-norte', 'tajo-sur', 'molino-alto'),
    vms=tuple(
        local_fleet.VmPlan(f'vm-{number}', vm_name, f'rack-{number}')
        for number, vm_name in enumerate(
            ('tajo-norte', 'tajo-sur', 'molino-alto', 'tajo-norte')
        )
    ),
)
POLL_INTERVAL_S: Final = 0.02


class FaultInjector:
    """Triggers single failures and changes and measures their duration."""

    def __init__(self, fleet: local_fleet.Fleet) -> None:
        self.fleet = fleet
        self._next_entry_number = len(fleet.entries)

    async def kill_entry(self) -> float:
        """Kill an entry; return the seconds until all shards accept jobs."""
        killed_entry = self.fleet.entries.pop(0)
        started_s = time.monotonic()
        await killed_entry.process.kill()
        return await self._wait_for_all_shards(started_s)

    async def stop_entry(self) -> float:
        """Stop an entry as planned; return the seconds until all shards work.

        :raises RuntimeError: if the entry exits with an error
        """
        leaving = self.fleet.entries.pop(0)
        started_s = time.monotonic()
        leaving.process.send_signal(signal.SIGTERM)
        elapsed_s = await self._wait_for_all_shards(started_s)
        if await leaving.process.wait() != 0:
            raise RuntimeError('entry did not exit cleanly after SIGTERM')
        return elapsed_s

    async def replace_entry(self) -> None:
        """Start an entry that replaces a stopped one."""
        await self.fleet.start_entry(
            f'failover-entry-{self._next_entry_number}', 'tajo-norte'
        )
        self._next_entry_number += 1
        await asyncio.sleep(3)

    async def start_urgent(self) -> float:
        """Submit an urgent job; return the seconds until its task starts."""
        started_s = time.monotonic()
        job_id = await self._submit('assay-batch', 200)
        await self._wait_for_attempt(job_id, 1)
        return time.monotonic() - started_s

    async def lose_vm(self) -> float:
        """Lose a VM; return the seconds until its task runs elsewhere.

        The worker and the agent are killed, so the entry learns only from the
        expiry of the task's last grant that the task no longer runs.
        """
        job_id = await self._submit('ledgers', 600_000)
        vm_name = await self._wait_for_attempt(job_id, 1)
        vm = self.fleet.vms.pop(vm_name)
        started_s = time.monotonic()
        assert vm.worker is not None
        await asyncio.gather(vm.agent.kill(), vm.worker.kill())
        await self._wait_for_attempt(job_id, 2)
        return time.monotonic() - started_s

    async def publish(self, version: int) -> float:
        """Publish a change; return the seconds until all have applied it."""
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
            started_s = time.monotonic()
            await demo_plans.publish(self.fleet, copy, version)
            return time.monotonic() - started_s

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
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _wait_for_all_shards(self, started_s: float) -> float:
        """Submit jobs until all shards have accepted some; return the seconds.

        A hash assigns jobs to shards, so six times as many jobs as shards are
        sent to reach each shard.
        """
        count = 6 * self.fleet.plan.shard_count
        await asyncio.gather(
            *(self._submit('grade-certificate', 1) for _ in range(count))
        )
        return time.monotonic() - started_s

    async def _wait_for_attempt(self, job_id: str, attempt: int) -> str:
        """Wait until an attempt or a later one runs; return its VM's name."""
        vm_name = ''

        async def is_running() -> bool:
            nonlocal vm_name
            vm_name = await self._find_vm_of_attempt(job_id, attempt)
            return bool(vm_name)

        await local_fleet.wait_until(
            is_running, f'attempt {attempt}', 120, POLL_INTERVAL_S
        )
        return vm_name

    async def _find_vm_of_attempt(self, job_id: str, attempt: int) -> str:
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
    """Measure all events; return their times in seconds by name."""
    times_s: dict[str, list[float]] = {}

    async def record(name: str, awaitable: Any) -> None:
        times_s.setdefault(name, []).append(await awaitable)
        print(f'{name}: {times_s[name][-1]:.2f} s', flush=True)

    async with local_fleet.Fleet(FLEET_PLAN) as fleet:
        await demo_plans.publish(fleet, demo_plans.EXAMPLES / 'ocre')
        injector = FaultInjector(fleet)
        # Agents accept no tasks for a while after their start.
        await asyncio.sleep(2 * reservations.START_ACCEPT_DELAY_MS / 1000)
        for number in range(rounds):
            await record('urgent job started', injector.start_urgent())
            await record(
                'change in force everywhere', injector.publish(number + 1)
            )
            await record('entry killed, shards work', injector.kill_entry())
            await injector.replace_entry()
            await record('entry stopped, shards work', injector.stop_entry())
            await injector.replace_entry()
        await record('VM lost, task runs elsewhere', injector.lose_vm())
    return times_s


def format_table(times_s: dict[str, list[float]]) -> str:
    """Return the table of median and longest times."""
    lines = ['| event | runs | median s | longest s |', '|---|---|---|---|']
    for name, values in times_s.items():
        median = statistics.median(values)
        lines.append(
            f'| {name} | {len(values)} | {median:.2f} | {max(values):.2f} |'
        )
    return '\n'.join(lines)


def main() -> int:
    """Run the measurement and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=5)
    times_s = asyncio.run(measure(parser.parse_args().rounds))
    print(format_table(times_s))
    return 0


if __name__ == '__main__':
    sys.exit(main())
