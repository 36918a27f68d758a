"""Failures of separate processes: pauses, replacements, planned stops."""

import asyncio
import signal

from bench import local_fleet
from borageshelf.entry import batch
from borageshelf.entry import membership
from standins import audits
from tests import process_support


async def count_owned_shards(
    fleet: local_fleet.Fleet, shard_count: int
) -> dict[str, int]:
    """Return the number of shards that each entry owns."""
    headers = {'Authorization': f'Bearer {local_fleet.ADMIN_TOKEN}'}
    _, answer = await fleet.request(
        'GET', f'{fleet.entries[-1].admin_url}/v1/shards', headers=headers
    )
    owned: dict[str, int] = {}
    for shard in answer['shards']:
        owned[shard['owner']] = owned.get(shard['owner'], 0) + 1
    assert sum(owned.values()) == shard_count
    return owned


async def wait_for_owners(
    fleet: local_fleet.Fleet, expected: set[str]
) -> None:
    """Wait until exactly these entries own shards."""

    async def has_expected_owners() -> bool:
        owned = await count_owned_shards(
            fleet, process_support.PLAN.shard_count
        )
        return set(owned) == expected

    await local_fleet.wait_until(
        has_expected_owners, f'ownership by {expected}'
    )


def test_resumed_owner_is_fenced() -> None:
    """Guards against an owner that acts with an outdated epoch.

    The owner is paused until another entry has taken over its shards, and is
    then resumed.
    """

    async def scenario(fleet: local_fleet.Fleet) -> None:
        job_ids = [
            await process_support.submit(
                fleet, 'ledgers', run_ms=18_000, result=f'job {number}'
            )
            for number in range(8)
        ]
        for job_id in job_ids:
            await process_support.wait_for_run(fleet, job_id)
        fleet.entries[0].process.send_signal(signal.SIGSTOP)
        await wait_for_owners(fleet, {fleet.entries[1].entry_id})
        fleet.entries[0].process.send_signal(signal.SIGCONT)
        for job_id in job_ids:
            job = await process_support.wait_for_end(fleet, job_id)
            assert job['code_name'] == 'OK'
        intervals = await process_support.read_intervals(fleet)
        assert not audits.find_overlaps(intervals)
        assert not audits.find_repeated_completions(intervals)

    process_support.run_fleet(scenario)


def test_paused_agent_loses_its_task_once() -> None:
    """Guards against two attempts of a task that run at the same time.

    The agent is paused until its grant has expired and another target has
    started the next attempt, and is then resumed.
    """

    async def scenario(fleet: local_fleet.Fleet) -> None:
        job_id = await process_support.submit(
            fleet, 'ledgers', run_ms=9_000, result='second try'
        )
        target_id = await process_support.wait_for_run(fleet, job_id)
        fleet.vms[target_id].agent.send_signal(signal.SIGSTOP)

        async def runs_elsewhere() -> bool:
            intervals = await process_support.read_intervals(fleet)
            return any(item.attempt > 1 for item in intervals)

        await local_fleet.wait_until(runs_elsewhere, 'second attempt')
        fleet.vms[target_id].agent.send_signal(signal.SIGCONT)
        job = await process_support.wait_for_end(fleet, job_id)
        assert job['code_name'] == 'OK'
        intervals = await process_support.read_intervals(fleet)
        assert not audits.find_overlaps(intervals)
        assert not audits.find_repeated_completions(intervals)

    process_support.run_fleet(scenario)


def test_replaced_vm_restarts_its_task() -> None:
    """Guards against a task that waits for an attempt that has ended.

    The VM is replaced, so no agent will report the end of the attempt.
    """

    async def scenario(fleet: local_fleet.Fleet) -> None:
        job_id = await process_support.submit(
            fleet, 'ledgers', run_ms=4_000, result='after reboot'
        )
        target_id = await process_support.wait_for_run(fleet, job_id)
        vm = fleet.vms[target_id]
        await fleet.request('POST', f'{vm.worker_url}/control/replace')
        await vm.agent.wait()
        vm.agent = await fleet.start_agent(
            vm.plan, vm.worker_url, vm.executor_url
        )
        job = await process_support.wait_for_end(fleet, job_id)
        assert job['code_name'] == 'OK'

    process_support.run_fleet(scenario)


def test_unproved_stop_of_non_idempotent_job_ends_as_unknown() -> None:
    """Guards against a second start of a non-idempotent job.

    Its VM is replaced, so nothing proves that the first attempt did not run.
    """

    async def scenario(fleet: local_fleet.Fleet) -> None:
        job_id = await process_support.submit(
            fleet, 'kiln-blend-plan', run_ms=60_000
        )
        target_id = await process_support.wait_for_run(fleet, job_id)
        vm = fleet.vms[target_id]
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
    """Guards against calls that break when an entry or agent leaves.

    One of each receives SIGTERM while calls are running.
    """

    async def scenario(fleet: local_fleet.Fleet) -> None:
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

        await local_fleet.wait_until(are_running, 'start of all calls')
        leaving_entry = fleet.entries[-1].process
        leaving_entry.send_signal(signal.SIGTERM)
        leaving_agent = fleet.vms['vm-1'].agent
        leaving_agent.send_signal(signal.SIGTERM)
        for answer in await asyncio.gather(*calls):
            assert (answer[0], len(answer[1])) == (200, 50_000)
        assert await leaving_entry.wait() == 0
        assert await leaving_agent.wait() == 0
        fleet.entries.pop()
        await wait_for_owners(fleet, {fleet.entries[0].entry_id})
        for _ in range(10):
            answer = await process_support.call(fleet, b'after')
            assert answer == (200, b'after')

    process_support.run_fleet(scenario)


async def read_epochs(fleet: local_fleet.Fleet) -> dict[int, int]:
    """Return the epoch of each shard as its owner knows it."""
    headers = {'Authorization': f'Bearer {local_fleet.ADMIN_TOKEN}'}
    _, answer = await fleet.request(
        'GET', f'{fleet.entries[0].admin_url}/v1/shards', headers=headers
    )
    return {item['shard']: item['epoch'] for item in answer['shards']}


def test_store_outage_beyond_the_leases_moves_no_shard() -> None:
    """Guards against takeovers after leases expired in an outage.

    After such an outage each entry sees that the keys of the others are gone;
    without a delay each would take over all shards.
    """

    async def scenario(fleet: local_fleet.Fleet) -> None:
        await wait_for_owners(
            fleet, {entry.entry_id for entry in fleet.entries}
        )
        epochs_before = await read_epochs(fleet)
        await fleet.set_store_faults(outage='refusing')
        await asyncio.sleep(membership.LEASE_TTL_MS / 1000 + 2)
        await fleet.set_store_faults()
        job_id = await process_support.submit(fleet, 'ledgers', run_ms=50)
        await process_support.wait_for_end(fleet, job_id)
        await asyncio.sleep(batch.TAKEOVER_DELAY_AFTER_OUTAGE_MS / 1000 + 2)
        assert await read_epochs(fleet) == epochs_before

    process_support.run_fleet(scenario)


def test_agents_learn_entries_that_start_later() -> None:
    """Guards against agents that do not attach to new entries.

    If agents learn the entries only when they attach, no job is started once
    all entries of that time have been replaced.
    """

    async def scenario(fleet: local_fleet.Fleet) -> None:
        first_entries = list(fleet.entries)
        await fleet.start_entry('test-entry-8', 'molino-alto')
        headers = {'Authorization': f'Bearer {local_fleet.ADMIN_TOKEN}'}

        async def are_attached() -> bool:
            _, answer = await fleet.request(
                'GET',
                f'{fleet.entries[-1].admin_url}/v1/targets',
                headers=headers,
            )
            return len(answer['targets']) == len(fleet.vms)

        await local_fleet.wait_until(are_attached, 'agents at the new entry')
        for entry in first_entries:
            await entry.process.kill()
            fleet.entries.remove(entry)
        job_id = await process_support.submit(fleet, 'ledgers', run_ms=50)
        job = await process_support.wait_for_end(fleet, job_id)
        assert job['code_name'] == 'OK'

    process_support.run_fleet(scenario)
