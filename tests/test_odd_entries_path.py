"""Work goes on beside odd entries, with real processes."""

import asyncio
import json
from typing import Any, Final

import pytest

from bench import local_fleet
from borageshelf.workflows import journal
from borageshelf.workflows import records
from tests import odd_values
from tests import platform_support
from tests import test_odd_owner_records as owner_support

FIRST_ID: Final = '0123456789abcdef'
SECOND_ID: Final = '0123456789abcde0'
WORKFLOW: Final = {
    'Spec': '900',
    'Phases': [
        {'Count': 4, 'Cpu': 1000, 'MemMb': 500, 'EstimateMs': 900},
        {
            'Count': 2,
            'Cpu': 1000,
            'MemMb': 500,
            'EstimateMs': 900,
            'After': [0],
        },
    ],
}
CONFIGURATION_KEY: Final = 'op/config'
DEEP: Final = odd_values.nest_lists(5_000)


def make_configuration(version: int) -> bytes:
    """Return a configuration that differs by its version."""
    return json.dumps(
        {**platform_support.CONFIGURATION, 'Version': version}
    ).encode()


def list_odd_heartbeats() -> list[bytes]:
    """Return odd heartbeats of the executor's id."""
    heartbeat: dict[str, Any] = {
        'born': 1,
        'Service': platform_support.SERVICE,
        'Address': '127.0.0.1:1',
        'State': 'ready',
        'SeqNo': 1,
        'Capacity': {'Cpu': 64_000, 'MemMb': 256_000},
    }
    valid = json.dumps(heartbeat).encode()
    return [
        odd_values.add_field(valid, DEEP),
        json.dumps({**heartbeat, 'born': 10**30}).encode(),
        json.dumps({**heartbeat, 'SeqNo': 10**400, 'born': 2**53}).encode(),
        json.dumps(
            {**heartbeat, 'born': 2**53, 'Address': '127.0.0.1:99999'}
        ).encode(),
        json.dumps(
            {**heartbeat, 'born': 2**53, 'Capacity': {'Cpu': 2**64}}
        ).encode(),
        b'\xff\xfe',
    ]


async def send_odd_heartbeats(
    deployment: platform_support.Deployment,
) -> None:
    """Send odd heartbeats to all agents."""
    for number, agent in enumerate(deployment.agents):
        address = agent.settings['registration_address']
        for body in list_odd_heartbeats():
            async with deployment.http.post(
                f'http://{address}/-/Instances.Heartbeat/i-{number}', data=body
            ) as answer:
                assert answer.status == 200


def check_processes(deployment: platform_support.Deployment) -> None:
    """Check that no process ended and no loop failed."""
    for node in (*deployment.entries, *deployment.agents):
        assert node.process is not None
        assert node.process.returncode is None
        failures = [
            line
            for line in node.read_log()
            if line['event'] == 'unexpected error'
        ]
        assert not failures, (node.name, failures)


async def wait_for_version(
    deployment: platform_support.Deployment, version: int
) -> None:
    """Wait until all entries have applied a configuration."""

    async def is_applied() -> bool:
        return all(
            any(
                line['event'] == 'configuration applied'
                and line['version'] == version
                for line in entry.read_log()
            )
            for entry in deployment.entries
        )

    await local_fleet.wait_until(is_applied, f'configuration {version}')


def test_work_goes_on_beside_odd_entries_of_all_kinds() -> None:
    """Guards against processes that end or stop following a list."""

    async def check() -> None:
        async with platform_support.run_deployment(2, 2) as deployment:
            store = deployment.store
            await deployment.submit(FIRST_ID, WORKFLOW)
            odd_configuration = odd_values.add_field(
                make_configuration(10**30), DEEP
            )
            await owner_support.write_odd(
                store, CONFIGURATION_KEY, odd_configuration
            )
            for key in (
                f'{records.JOBS_PREFIX}odd',
                f'{records.JOBS_PREFIX}{FIRST_ID}/odd',
                f'{records.OWNER_KEY}-odd',
            ):
                await owner_support.write_odd(
                    store, key, odd_values.nest_msgpack(5_000)
                )

            async def are_agents_started() -> bool:
                return all(
                    any(line['event'] == 'agent started' for line in lines)
                    for lines in map(
                        platform_support.Node.read_log, deployment.agents
                    )
                )

            await local_fleet.wait_until(are_agents_started, 'agents')
            await send_odd_heartbeats(deployment)
            first_owner = await deployment.find_owner()
            await owner_support.write_odd(
                store,
                records.OWNER_KEY,
                journal.encode(records.StateRecord()),
            )
            await deployment.wait_for_state(FIRST_ID, 'completed')
            check_processes(deployment)

            await first_owner.end()
            await owner_support.write_odd(
                store, records.OWNER_KEY, odd_values.nest_msgpack(5_000)
            )
            await deployment.submit(SECOND_ID, WORKFLOW)
            await first_owner.start()
            await send_odd_heartbeats(deployment)
            await deployment.wait_for_state(SECOND_ID, 'completed')
            await owner_support.write_odd(
                store, CONFIGURATION_KEY, make_configuration(4)
            )
            await wait_for_version(deployment, 4)
            check_processes(deployment)

    platform_support.run(check())


@pytest.mark.parametrize(
    'odd',
    [
        odd_values.add_field(make_configuration(9), DEEP),
        make_configuration(10**30),
    ],
    ids=['deep', 'huge'],
)
def test_entry_that_starts_beside_an_odd_configuration_becomes_ready(
    odd: bytes,
) -> None:
    """Guards against an entry that starts over until it is restarted."""

    async def check() -> None:
        async with platform_support.run_deployment(1, 1) as deployment:
            entry = deployment.entries[0]
            await entry.end()
            await owner_support.write_odd(
                deployment.store, CONFIGURATION_KEY, odd
            )
            await entry.start()
            await asyncio.sleep(2)
            check_processes(deployment)
            assert not await deployment.is_ready(entry)
            await owner_support.write_odd(
                deployment.store, CONFIGURATION_KEY, make_configuration(4)
            )

            async def is_ready() -> bool:
                return await deployment.is_ready(entry)

            await local_fleet.wait_until(is_ready, 'readiness')
            await deployment.submit(FIRST_ID, WORKFLOW)
            await deployment.wait_for_state(FIRST_ID, 'completed')

    platform_support.run(check())
