"""Writes odd entries, as another writer may leave them."""

import asyncio
import json
import random
from typing import Any, Final

import aiohttp

from borageshelf import errors
from borageshelf.workflows import records
from standins import memory_store
from tests import odd_values
from tests import platform_support

CONFIGURATION_KEY: Final = 'op/config'
FOREIGN_KEYS: Final = (
    f'{records.OWNER_KEY}-odd',
    f'{records.JOBS_PREFIX}odd',
    f'{records.JOBS_PREFIX}odd/state',
    f'{records.JOBS_PREFIX}odd/spec',
)
# The incarnation of an odd heartbeat is later than any other, so that one
# that an agent believes hides the executor.
HEARTBEAT: Final[dict[str, Any]] = {
    'born': 2**53,
    'Service': platform_support.SERVICE,
    'Address': '127.0.0.1:1',
    'Zone': 'tajo-norte',
    'Version': 'v1',
    'Slots': 8,
    'ColdLeftMs': 0,
    'State': 'ready',
    'SeqNo': 1,
    'Capacity': {'Cpu': 64_000, 'MemMb': 256_000},
    'Labels': [],
}
# Each heartbeat has these; one without them is of another writer.
NEEDED_FIELDS: Final = ('Zone', 'Version', 'Slots', 'ColdLeftMs', 'Labels')
ODD_FIELDS: Final[tuple[dict[str, Any], ...]] = (
    {'SeqNo': 10**30},
    {'born': 10**30},
    {'Capacity': {'Cpu': 2**64, 'MemMb': 1}},
    {'Capacity': {'Cpu': 10**400, 'MemMb': 1}},
    {'Address': '127.0.0.1:99999'},
    {'Address': '127.0.0.1:-1'},
    {'State': 'odd'},
    {'Labels': None},
)


async def write_configuration(
    store: memory_store.MemoryStore, rng: random.Random, duration_s: float
) -> None:
    """Put an odd configuration in place of the operators' for a while."""
    entry = store._entries.get(CONFIGURATION_KEY)
    assert entry is not None
    good = entry.value
    document = {**platform_support.CONFIGURATION, 'Version': 10**30}
    odd = rng.choice(
        (
            odd_values.add_field(
                json.dumps(platform_support.CONFIGURATION).encode(),
                odd_values.nest_lists(rng.choice(odd_values.DEPTHS)),
            ),
            json.dumps(document).encode(),
            b'\xff\xfe',
        )
    )
    _replace(store, CONFIGURATION_KEY, odd)
    await asyncio.sleep(duration_s)
    entry = store._entries.get(CONFIGURATION_KEY)
    if entry is not None and entry.value == odd:
        _replace(store, CONFIGURATION_KEY, good)


def write_owner(store: memory_store.MemoryStore, rng: random.Random) -> None:
    """Put an odd record in place of the owner's."""
    _replace(store, records.OWNER_KEY, _draw_record(rng))


def write_keys(store: memory_store.MemoryStore, rng: random.Random) -> None:
    """Write odd keys beside the records of the owner and of workflows."""
    workflow_keys = [
        key for key in store._entries if key.startswith(records.JOBS_PREFIX)
    ]
    keys = [*FOREIGN_KEYS]
    if workflow_keys:
        workflow_id = records.find_workflow_id(rng.choice(workflow_keys))
        keys.append(f'{records.JOBS_PREFIX}{workflow_id}/odd')
    for key in keys:
        _replace(store, key, _draw_record(rng))


async def send_heartbeats(
    http: aiohttp.ClientSession,
    registration_address: str,
    rng: random.Random,
) -> None:
    """Send odd heartbeats under several ids to an agent."""
    valid = json.dumps(HEARTBEAT).encode()
    bodies = [
        json.dumps({**HEARTBEAT, **fields}).encode() for fields in ODD_FIELDS
    ]
    bodies += [
        json.dumps(
            {key: HEARTBEAT[key] for key in HEARTBEAT if key != missing}
        ).encode()
        for missing in NEEDED_FIELDS
    ]
    bodies += [
        odd_values.add_field(valid, odd_values.nest_lists(depth))
        for depth in odd_values.DEPTHS
    ]
    bodies.append(b'\xff\xfe')
    rng.shuffle(bodies)
    for body in bodies:
        instance_id = rng.choice(('i-0', 'i-1', 'i-2', 'odd'))
        url = (
            f'http://{registration_address}/-/Instances.Heartbeat/'
            f'{instance_id}'
        )
        try:
            async with http.post(url, data=body) as answer:
                await answer.read()
        except (aiohttp.ClientError, TimeoutError):
            # The agent is down or paused.
            return


def _draw_record(rng: random.Random) -> bytes:
    return rng.choice(
        (
            b'',
            b'\xc1',
            odd_values.nest_msgpack(5_000),
            odd_values.nest_msgpack(100_000),
            # An epoch above that of any owner.
            b'\x94\xcf' + b'\xff' * 8 + b'\xa1e\xa1b\xab127.0.0.1:1',
        )
    )


def _replace(store: memory_store.MemoryStore, key: str, value: bytes) -> None:
    """Write a key at once, whatever faults the store has."""
    entry = store._entries.get(key)
    try:
        store._put(key, value, entry.revision if entry else 0, '')
    except errors.BorageshelfError:
        return
