"""The demo: runs both deployments on one machine and injects faults.

Starts stand-ins, entries and agents for Ocre and Colombo, publishes the
example configurations, sends calls and jobs, kills one entry and drains one
target VM. Then checks the system's guarantees against the audits of the
stand-ins and prints a table. The exit status is 1 if a guarantee was
violated.
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

LOAD_DURATION_S: Final = 34.0
ENTRY_KILL_AT_S: Final = 6.0
VM_DRAIN_AT_S: Final = 12.0
BATCH_SURGE_AT_S: Final = 18.0
CALLS_SURGE_AT_S: Final = 26.0
SURGE_DURATION_S: Final = 4.0
JOB_COMPLETION_TIMEOUT_S: Final = 60.0


async def run_deployment(
    deployment: demo_plans.Deployment,
) -> demo_checks.Summary:
    """Run one deployment and return its row of the table."""
    name = deployment.plan.name
    async with local_fleet.Fleet(deployment.plan) as fleet:
        print_progress(
            name,
            f'{len(fleet.entries)} entries and {len(fleet.vms)} VMs started',
        )
        await demo_plans.publish(fleet, deployment.folder)
        print_progress(name, 'configuration published and applied')
        counters_before = await fleet.read_store_counters()
        started = time.monotonic()
        load = demo_load.LoadGenerator(fleet, deployment)
        load_task = asyncio.ensure_future(load.drive(LOAD_DURATION_S))
        fault_task = asyncio.ensure_future(_inject_faults(fleet, name))
        try:
            surge_task = asyncio.ensure_future(_run_surges(load, name))
            await asyncio.gather(load_task, fault_task, surge_task)
            print_progress(name, 'load has ended; waiting for unfinished jobs')
            await load.wait_for_jobs(JOB_COMPLETION_TIMEOUT_S)
        except Exception:
            _print_recent_output(fleet)
            raise
        elapsed_s = time.monotonic() - started
        counters_after = await fleet.read_store_counters()
        summary = await demo_checks.summarise(
            fleet, load, deployment, counters_before, counters_after, elapsed_s
        )
        if summary.violations:
            _print_recent_output(fleet)
        return summary


async def _run_surges(load: demo_load.LoadGenerator, name: str) -> None:
    await asyncio.sleep(BATCH_SURGE_AT_S)
    print_progress(name, 'surge of batch jobs')
    await load.submit_batch_surge(SURGE_DURATION_S)
    await asyncio.sleep(CALLS_SURGE_AT_S - BATCH_SURGE_AT_S - SURGE_DURATION_S)
    print_progress(name, 'surge of calls')
    await load.send_call_surge(SURGE_DURATION_S)


async def _inject_faults(fleet: local_fleet.Fleet, name: str) -> None:
    await asyncio.sleep(ENTRY_KILL_AT_S)
    killed_entry = fleet.entries[0]
    await killed_entry.process.kill()
    print_progress(name, f'killed {killed_entry.entry_id}')
    await asyncio.sleep(VM_DRAIN_AT_S - ENTRY_KILL_AT_S)
    drained_vm = list(fleet.vms.values())[-1]
    drained_vm.agent.send_signal(signal.SIGTERM)
    status = await drained_vm.agent.wait()
    print_progress(
        name, f'{drained_vm.plan.name} drained, exit status {status}'
    )
    if status != 0:
        raise RuntimeError(f'drain of {drained_vm.plan.name} failed')


def print_progress(name: str, text: str) -> None:
    """Print a line of progress with the time of day."""
    print(f'{time.strftime("%H:%M:%S")} {name}: {text}', flush=True)


def _print_recent_output(fleet: local_fleet.Fleet) -> None:
    """Print the last lines of each process, to diagnose a failure."""
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
    violations = [text for item in summaries for text in item.violations]
    for text in violations:
        print(f'guarantee violated: {text}', file=sys.stderr)
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(asyncio.run(run_demo()))
