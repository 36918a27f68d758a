"""Failures of separate processes: pauses, replacement, planned stops."""

import asyncio
import signal

from bench import fleet as fleet_module
from borageshelf.entry import batch
from borageshelf.entry import membership
from standins import audits
from tests import process_support


async def find_owner(
    fleet: fleet_module.Fleet, shard_count: int
) -> dict[str, int]:
    """Return the number of shards that each entry owns."""
    headers = {'Authorization': f'Bearer {fleet_module.TOKEN}'}
    _, answer = await fleet.request(
        'GET', f'{fleet.entries[-1].admin_url}/v1/shards', headers=headers
    )
    owned: dict[str, int] = {}
    for shard in answer['shards']:
        owned[shard['owner']] = owned.get(shard['owner'], 0) + 1
    assert sum(owned.values()) == shard_count
    return owned


async def wait_for_owners(
    fleet: fleet_module.Fleet, expected: set[str]
) -> None:
    """Wait until exactly these entries own shards."""

    async def is_reached() -> bool:
        owned = await find_owner(fleet, process_support.PLAN.shards)
        return set(owned) == expected

    await fleet_module.wait_until(is_reached, f'ownership by {expected}')


def test_paused_owner_does_no_harm_when_it_wakes() -> None:
    """Guards against an owner that acts on an epoch that has passed."""

    async def scenario(fleet: fleet_module.Fleet) -> None:
        job_ids = [
            await process_support.submit(
                fleet, 'ledgers', run_ms=18_000, result=f'job {number}'
            )
            for number in range(8)
        ]
        for job_id in job_ids:
            await process_support.wait_for_run(fleet, job_id)
        fleet.entries[0].process.send(signal.SIGSTOP)
        await wait_for_owners(fleet, {fleet.entries[1].entry_id})
        fleet.entries[0].process.send(signal.SIGCONT)
        for job_id in job_ids:
            job = await process_support.wait_for_end(fleet, job_id)
            assert job['code_name'] == 'OK'
        intervals = await process_support.read_intervals(fleet)
        assert not audits.find_overlaps(intervals)
        assert not audits.find_repeated_completions(intervals)

    process_support.run_fleet(scenario)


def test_paused_agent_loses_its_task_once() -> None:
    """Guards against a task that runs beside its next attempt."""

    async def scenario(fleet: fleet_module.Fleet) -> None:
        job_id = await process_support.submit(
            fleet, 'ledgers', run_ms=9_000, result='second try'
        )
        place = await process_support.wait_for_run(fleet, job_id)
        fleet.vms[place].agent.send(signal.SIGSTOP)

        async def runs_elsewhere() -> bool:
            intervals = await process_support.read_intervals(fleet)
            return any(item.attempt > 1 for item in intervals)

        await fleet_module.wait_until(runs_elsewhere, 'second attempt')
        fleet.vms[place].agent.send(signal.SIGCONT)
        job = await process_support.wait_for_end(fleet, job_id)
        assert job['code_name'] == 'OK'
        intervals = await process_support.read_intervals(fleet)
        assert not audits.find_overlaps(intervals)
        assert not audits.find_repeated_completions(intervals)

    process_support.run_fleet(scenario)


def test_replaced_vm_restarts_its_task() -> None:
    """Guards against a task that waits for an attempt that is dead."""

    async def scenario(fleet: fleet_module.Fleet) -> None:
        job_id = await process_support.submit(
            fleet, 'ledgers', run_ms=4_000, result='after reboot'
        )
        place = await process_support.wait_for_run(fleet, job_id)
        vm = fleet.vms[place]
        await fleet.request('POST', f'{vm.worker_url}/control/replace')
        await vm.agent.wait()
        vm.agent = await fleet.start_agent(
            vm.plan, vm.worker_url, vm.executor_url
        )
        job = await process_support.wait_for_end(fleet, job_id)
        assert job['code_name'] == 'OK'

    process_support.run_fleet(scenario)


def test_unproved_stop_of_non_idempotent_job_ends_as_unknown() -> None:
    """Guards against a second start of a kiln blend plan."""

    async def scenario(fleet: fleet_module.Fleet) -> None:
        job_id = await process_support.submit(
            fleet, 'kiln-blend-plan', run_ms=60_000
        )
        place = await process_support.wait_for_run(fleet, job_id)
        vm = fleet.vms[place]
        await fleet.request('POST', f'{vm.worker_url}/control/replace')
        await vm.agent.wait()
        vm.agent = await fleet.start_agent(
            vm.plan, vm.worker_url, vm.executor_url
        )
        job = await process_support.wait_for_end(fleet, job_id)
        assert job['code_name'] == 'OUTCOME_UNKNOWN'
        assert job['tasks'][0]['attempt'] == 1

    process_support.run_fleet(scenario)


def test_planned_stops_cut_off_no_call() -> None:
    """Guards against calls that break when an entry or agent leaves."""

    async def scenario(fleet: fleet_module.Fleet) -> None:
        body = b'{"run_ms": 3000, "answer_bytes": 50000}'
        calls = [
            asyncio.ensure_future(process_support.call(fleet, body))
            for _ in range(6)
        ]

        async def are_running() -> bool:
            running = 0
            for vm in fleet.vms.values():
                _, audit = await fleet.request(
                    'GET', f'{vm.executor_url}/control/audit'
                )
                running += len(audit['executions'])
            return running >= len(calls)

        await fleet_module.wait_until(are_running, 'start of all calls')
        leaving = fleet.entries[-1].process
        leaving.send(signal.SIGTERM)
        agent = fleet.vms['vm-1'].agent
        agent.send(signal.SIGTERM)
        for answer in await asyncio.gather(*calls):
            assert (answer[0], len(answer[1])) == (200, 50_000)
        assert await leaving.wait() == 0
        assert await agent.wait() == 0
        fleet.entries.pop()
        await wait_for_owners(fleet, {fleet.entries[0].entry_id})
        for _ in range(10):
            answer = await process_support.call(fleet, b'after')
            assert answer == (200, b'after')

    process_support.run_fleet(scenario)


async def read_epochs(fleet: fleet_module.Fleet) -> dict[int, int]:
    """Return the epoch of each shard as its owner knows it."""
    headers = {'Authorization': f'Bearer {fleet_module.TOKEN}'}
    _, answer = await fleet.request(
        'GET', f'{fleet.entries[0].admin_url}/v1/shards', headers=headers
    )
    return {item['shard']: item['epoch'] for item in answer['shards']}


def test_store_outage_beyond_the_leases_moves_no_shard() -> None:
    """Guards against takeovers when all leases have ended in an outage.

    After such an outage each entry sees the others' keys vanish; without a
    pause each would take over all shards.
    """

    async def scenario(fleet: fleet_module.Fleet) -> None:
        await wait_for_owners(
            fleet, {entry.entry_id for entry in fleet.entries}
        )
        before = await read_epochs(fleet)
        await fleet.set_store_faults(outage='refusing')
        await asyncio.sleep(membership.LEASE_TTL_MS / 1000 + 2)
        await fleet.set_store_faults()
        job_id = await process_support.submit(fleet, 'ledgers', run_ms=50)
        await process_support.wait_for_end(fleet, job_id)
        await asyncio.sleep(batch.TAKEOVER_DELAY_AFTER_OUTAGE_MS / 1000 + 2)
        assert await read_epochs(fleet) == before

    process_support.run_fleet(scenario)


def test_agents_learn_entries_that_start_later() -> None:
    """Guards against targets that no new entry can reach.

    Agents learned the entries only when they attached, so after all entries
    of that time had been replaced no job was started any more.
    """

    async def scenario(fleet: fleet_module.Fleet) -> None:
        first = list(fleet.entries)
        await fleet.start_entry('test-entry-8', 'molino-alto')
        headers = {'Authorization': f'Bearer {fleet_module.TOKEN}'}

        async def are_attached() -> bool:
            _, answer = await fleet.request(
                'GET',
                f'{fleet.entries[-1].admin_url}/v1/targets',
                headers=headers,
            )
            return len(answer['targets']) == len(fleet.vms)

        await fleet_module.wait_until(are_attached, 'agents at the new entry')
        for entry in first:
            await entry.process.kill()
            fleet.entries.remove(entry)
        job_id = await process_support.submit(fleet, 'ledgers', run_ms=50)
        job = await process_support.wait_for_end(fleet, job_id)
        assert job['code_name'] == 'OK'

    process_support.run_fleet(scenario)
