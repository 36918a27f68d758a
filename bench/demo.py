"""The demo: both deployments on one machine, with faults, and a table.

Starts stand-ins, entries and agents for Ocre and Colombo, publishes the
example configurations, drives calls and jobs, kills one entry and drains one
target VM, and checks the promises against what the stand-ins really ran. The
exit status is not zero if a promise was broken.
"""

import asyncio
import signal
import sys
import time
from typing import Final

from bench import demo_checks
from bench import demo_load
from bench import demo_plans
from bench import local_fleet

LOAD_S: Final = 34.0
KILL_AT_S: Final = 6.0
DRAIN_AT_S: Final = 12.0
BATCH_SURGE_AT_S: Final = 18.0
CALLS_SURGE_AT_S: Final = 26.0
SURGE_S: Final = 4.0
FINISH_LIMIT_S: Final = 60.0


async def run_deployment(
    deployment: demo_plans.Deployment,
) -> demo_checks.Summary:
    """Run one deployment and return its row of the table."""
    name = deployment.plan.name
    async with local_fleet.Fleet(deployment.plan) as fleet:
        show(name, f'{len(fleet.entries)} entries, {len(fleet.vms)} VMs up')
        await demo_plans.publish(fleet, deployment.folder)
        show(name, 'configuration published and in force')
        before = await fleet.read_store_counters()
        started = time.monotonic()
        load = demo_load.Load(fleet, deployment)
        driving = asyncio.ensure_future(load.drive(LOAD_S))
        faults = asyncio.ensure_future(_inject_faults(fleet, name))
        try:
            surges = asyncio.ensure_future(_provoke_surges(load, name))
            await asyncio.gather(driving, faults, surges)
            show(name, 'load has ended; waiting for the last jobs')
            await load.wait_for_jobs(FINISH_LIMIT_S)
        except Exception:
            _show_output(fleet)
            raise
        elapsed_s = time.monotonic() - started
        after = await fleet.read_store_counters()
        summary = await demo_checks.summarise(
            fleet, load, deployment, before, after, elapsed_s
        )
        if summary.broken:
            _show_output(fleet)
        return summary


async def _provoke_surges(load: demo_load.Load, name: str) -> None:
    await asyncio.sleep(BATCH_SURGE_AT_S)
    show(name, 'surge of batch jobs')
    await load.surge_batch(SURGE_S)
    await asyncio.sleep(CALLS_SURGE_AT_S - BATCH_SURGE_AT_S - SURGE_S)
    show(name, 'surge of calls')
    await load.surge_calls(SURGE_S)


async def _inject_faults(fleet: local_fleet.Fleet, name: str) -> None:
    await asyncio.sleep(KILL_AT_S)
    victim = fleet.entries[0]
    await victim.process.kill()
    show(name, f'killed {victim.entry_id}')
    await asyncio.sleep(DRAIN_AT_S - KILL_AT_S)
    leaving = list(fleet.vms.values())[-1]
    leaving.agent.send_signal(signal.SIGTERM)
    status = await leaving.agent.wait()
    show(name, f'{leaving.plan.name} has drained, exit status {status}')
    if status != 0:
        raise RuntimeError(f'{leaving.plan.name} did not drain')


def show(name: str, text: str) -> None:
    """Print progress."""
    print(f'{time.strftime("%H:%M:%S")} {name}: {text}', flush=True)


def _show_output(fleet: local_fleet.Fleet) -> None:
    """Print the newest lines of each process, to find a cause."""
    processes = [entry.process for entry in fleet.entries]
    processes += [vm.agent for vm in fleet.vms.values()]
    for process in processes:
        for line in list(process.lines)[-12:]:
            print(f'{process.name}: {line}', file=sys.stderr)


async def run_demo() -> int:
    """Run both deployments side by side and print the table."""
    summaries = await asyncio.gather(
        *(run_deployment(item) for item in demo_plans.DEPLOYMENTS)
    )
    print(demo_checks.format_table(summaries))
    broken = [text for item in summaries for text in item.broken]
    for text in broken:
        print(f'broken promise: {text}', file=sys.stderr)
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(asyncio.run(run_demo()))
