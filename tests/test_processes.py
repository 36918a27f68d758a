"""End-to-end tests with separate processes on loopback.

They wait for events with generous limits and check no durations.
"""

import asyncio
from collections import abc
import json
import signal
from typing import Any
import urllib.parse

import pytest

from bench import demo_plans
from bench import local_fleet
from standins import audits
from tests import process_support


def test_call_and_job_from_end_to_end() -> None:
    """Guards against processes that do not work together.

    A call and a batch job pass through an entry, an agent and the stand-ins
    of the worker and executor.
    """

    async def scenario(fleet: local_fleet.Fleet) -> None:
        assert await process_support.call(fleet, b'hello') == (200, b'hello')
        job_id = await process_support.submit(
            fleet, 'ledgers', run_ms=100, result='sum 7'
        )
        job = await process_support.wait_for_end(fleet, job_id)
        assert (job['code_name'], job['result']) == ('OK', 'sum 7')

    process_support.run_fleet(scenario)


def test_key_of_non_idempotent_call_runs_once() -> None:
    """Guards against a second run when a call is repeated elsewhere.

    The same key reaches a second entry, which must know the claim.
    """

    async def scenario(fleet: local_fleet.Fleet) -> None:
        headers = {'call_key': 'invoice-1', 'call_idempotent': 'false'}
        assert await process_support.call(fleet, b'bill', **headers) == (
            200,
            b'bill',
        )
        fleet.entries.reverse()
        status, content = await process_support.call(fleet, b'bill', **headers)
        assert status == 409
        assert json.loads(content)['code_name'] == 'DUPLICATE_KEY'

    process_support.run_fleet(scenario)


def test_job_survives_the_loss_of_all_entries() -> None:
    """Guards against a lost or repeated task when entries are replaced.

    All entries are killed while the task runs, and a new one starts.
    """

    async def scenario(fleet: local_fleet.Fleet) -> None:
        job_id = await process_support.submit(
            fleet, 'ledgers', run_ms=6_000, result='kept'
        )
        await process_support.wait_for_run(fleet, job_id)
        for entry in list(fleet.entries):
            await entry.process.kill()
        fleet.entries.clear()
        await fleet.start_entry('test-entry-9', 'molino-alto')
        for vm in fleet.vms.values():
            # New entries need new seeds, so the agents restart, as they do
            # on the platform.
            await vm.agent.kill()
            vm.agent = await fleet.start_agent(
                vm.plan, vm.worker_url, vm.executor_url
            )
        job = await process_support.wait_for_end(fleet, job_id)
        assert (job['code_name'], job['result']) == ('OK', 'kept')
        intervals = await process_support.read_intervals(fleet)
        assert not audits.find_overlaps(intervals)
        assert not audits.find_repeated_completions(intervals)

    process_support.run_fleet(scenario)


def test_drained_vm_moves_its_task_with_a_checkpoint() -> None:
    """Guards against work that a planned stop loses or repeats."""

    async def scenario(fleet: local_fleet.Fleet) -> None:
        job_id = await process_support.submit(
            fleet, 'ledgers', run_ms=20_000, result='moved'
        )
        target_id = await process_support.wait_for_run(fleet, job_id)
        fleet.vms[target_id].agent.send_signal(signal.SIGTERM)
        assert await fleet.vms[target_id].agent.wait() == 0
        job = await process_support.wait_for_end(fleet, job_id)
        assert (job['code_name'], job['result']) == ('OK', 'moved')
        assert job['tasks'][0]['evictions'] == 1
        intervals = [
            item
            for item in await process_support.read_intervals(fleet)
            if item.task_id.startswith(job_id)
        ]
        assert [item.work_from_ms > 0 for item in intervals].count(True) == 1
        assert not audits.find_overlaps(intervals)

    process_support.run_fleet(scenario)


def test_store_outage_keeps_work_running() -> None:
    """Guards against lost work while the store is unreachable.

    Calls go on, new work that needs the store is refused as not run, and an
    end during the outage is recorded afterwards.
    """

    async def scenario(fleet: local_fleet.Fleet) -> None:
        job_id = await process_support.submit(
            fleet, 'ledgers', run_ms=3_000, result='held'
        )
        await process_support.wait_for_run(fleet, job_id)
        await fleet.set_store_faults(outage='refusing')
        assert await process_support.call(fleet, b'still') == (200, b'still')
        headers = {'call_key': 'plan-1', 'call_idempotent': 'false'}
        status, content = await process_support.call(fleet, b'plan', **headers)
        assert json.loads(content)['work'] == 'not run', status
        status, answer = await fleet.submit(fleet.entries[-1], 'ledgers', '{}')
        assert answer['work'] == 'not run', status

        async def has_finished() -> bool:
            intervals = await process_support.read_intervals(fleet)
            return any(item.ended_as == 'succeeded' for item in intervals)

        await local_fleet.wait_until(has_finished, 'end during the outage')
        await fleet.set_store_faults()
        job = await process_support.wait_for_end(fleet, job_id)
        assert (job['code_name'], job['result']) == ('OK', 'held')

    process_support.run_fleet(scenario)


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'code'),
    [
        ('POST', '/v1/services/nosuch/calls', b'', 'UNKNOWN_SERVICE'),
        ('GET', '/v1/services/pigment/calls', b'', 'WRONG_METHOD'),
        ('POST', '/v1/jobs', b'{"job": 7}', 'BAD_REQUEST'),
        ('POST', '/v1/jobs', b'not json', 'BAD_REQUEST'),
        ('POST', '/v1/jobs', b'{"job": "nosuch"}', 'UNKNOWN_JOB'),
        ('GET', '/v1/jobs/nosuch', b'', 'UNKNOWN_JOB'),
        ('DELETE', '/v1/jobs/nosuch', b'', 'UNKNOWN_JOB'),
        ('GET', '/v1/nothing', b'', 'NOT_FOUND'),
        ('POST', '/v1/jobs', b'x' * 1_000_001, 'BODY_TOO_LARGE'),
    ],
)
def test_bad_requests_get_their_code(
    shared_fleet: 'SharedFleet', method: str, path: str, body: bytes, code: str
) -> None:
    """Guards against invalid requests that get a wrong result code."""
    status, answer = shared_fleet.request(method, path, body)
    assert answer['code_name'] == code, status
    assert answer['work'] == 'not run'


def test_truncated_body_submits_nothing(shared_fleet: 'SharedFleet') -> None:
    """Guards against a job that is accepted from an incomplete body."""
    answer = shared_fleet.send_raw(
        b'POST /v1/jobs HTTP/1.1\r\nhost: entry\r\n'
        b'content-length: 400\r\n\r\n{"job": "ledgers"}'
    )
    assert answer == b''
    assert shared_fleet.count_tasks() == 0


class SharedFleet:
    """A fleet that several tests share; their requests change nothing."""

    def __init__(self) -> None:
        self._runner = asyncio.Runner()
        self._fleet = local_fleet.Fleet(process_support.PLAN)
        self._runner.run(self._start())

    def request(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Send a request to an entry."""
        url = f'{self._fleet.entries[0].caller_url}{path}'
        answer: tuple[int, dict[str, Any]] = self._runner.run(
            self._fleet.request(method, url, data=body)
        )
        return answer

    def send_raw(self, data: bytes) -> bytes:
        """Send bytes, half-close the connection and return the answer."""

        async def send() -> bytes:
            url = urllib.parse.urlsplit(self._fleet.entries[0].caller_url)
            reader, writer = await asyncio.open_connection(
                url.hostname, url.port
            )
            writer.write(data)
            writer.write_eof()
            answer = await reader.read()
            writer.close()
            return answer

        return self._runner.run(send())

    def count_tasks(self) -> int:
        """Return the number of tasks in the shards of all entries."""

        async def count() -> int:
            total = 0
            headers = {'Authorization': f'Bearer {local_fleet.ADMIN_TOKEN}'}
            for entry in self._fleet.entries:
                _, answer = await self._fleet.request(
                    'GET', f'{entry.admin_url}/v1/shards', headers=headers
                )
                for shard in answer['shards']:
                    total += shard['queued'] + shard['assigned']
            return total

        return self._runner.run(count())

    def stop(self) -> None:
        """Stop the processes."""
        self._runner.run(self._fleet.__aexit__())
        self._runner.close()

    async def _start(self) -> None:
        await self._fleet.__aenter__()
        await demo_plans.publish(self._fleet, demo_plans.EXAMPLES / 'ocre')


@pytest.fixture(scope='module')
def shared_fleet() -> abc.Iterator[SharedFleet]:
    """Yield one fleet for all invalid requests."""
    fleet = SharedFleet()
    try:
        yield fleet
    finally:
        fleet.stop()
