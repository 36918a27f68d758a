"""Crowds of callers that leave their requests or answers unfinished.

Each test starts processes of the system and runs alone, apart from other load
(``tests/run_all.py``). It checks nothing that depends on the machine's speed.
Crowds and bounds were fixed before the product had the limits that they test.
"""

import asyncio
from collections import abc
import dataclasses
from typing import Any, Final

import aiohttp
import pytest

from bench import local_fleet
from borageshelf.workflows import channel
from tests import crowds
from tests import platform_support as support
from tests import process_support

pytestmark = pytest.mark.alone

CALLERS: Final = 120
# Chunks of one byte are six bytes on the wire, and a crowd of this size
# already stops an event loop that decodes all that it has received.
CALLERS_OF_SMALL_CHUNKS: Final = 240
HEADER_BYTES: Final = 12_000
ANSWERS: Final = 40
MEMORY_GROWTH_LIMIT_BYTES: Final = 16_000_000
DESCRIPTORS_GROWTH_LIMIT: Final = 80
# A crowd that is still sending after this goes on beside the last checks.
CROWD_LIMIT_S: Final = 8
# A request that is refused or cut off is sent again for so long.
REQUEST_HANG_LIMIT_S: Final = 25
SETTINGS: Final = {
    'unfinished_requests_limit_bytes': 4_000_000,
    'connections_limit': 64,
    'answer_stall_limit_ms': 2_000,
}
WORKFLOW: Final = {
    'Spec': 'text',
    'Phases': [{'Count': 1, 'Cpu': 100, 'MemMb': 64, 'EstimateMs': 50}],
}
WORKFLOW_PATH: Final = f'/short/{"0b" * 8}'
HEARTBEAT_PATH: Final = '/-/Instances.Heartbeat/i-9'
CHUNKED_HEAD: Final = crowds.make_head('/short/00000000000000aa')

# Callers that all send at once to processes that accept a fifth of the default
# number of connections. The smallest machine has 168 MB, of which a process
# without callers uses 70 MB; the rest counts by a fifth.
MANY_CALLERS: Final = 300
MANY_CALLERS_SETTINGS: Final = {
    'unfinished_requests_limit_bytes': 4_000_000,
    'connections_limit': MANY_CALLERS,
}
MANY_CALLERS_GROWTH_LIMIT_BYTES: Final = 19_600_000

# The entry of calls and jobs has its default limits.
CALL_CALLERS: Final = 240
CALL_BODY_BYTES: Final = 900_000
SMALLEST_ENTRY_BYTES: Final = 200_000_000
CALL_PATH: Final = '/v1/services/pigment/calls'
PINGS: Final = 120_000
OBSERVE_PATH: Final = '/borageshelf.protocol.Inner/Observe'

CROWDS: Final = {
    'large chunks': crowds.Crowd(
        CALLERS, CHUNKED_HEAD + crowds.make_chunks(4_096)
    ),
    'chunks of one byte': crowds.Crowd(
        CALLERS_OF_SMALL_CHUNKS, CHUNKED_HEAD + crowds.make_chunks(1)
    ),
    'stopped headers': crowds.Crowd(
        CALLERS,
        b'GET / HTTP/1.1\r\nHost: jobs.example\r\nA: ' + b'x' * HEADER_BYTES,
    ),
    'answers not taken': crowds.Crowd(
        CALLERS, crowds.make_requests('/metrics', ANSWERS)
    ),
}
MANY_CALLERS_CROWDS: Final = {
    'large chunks': crowds.Crowd(
        MANY_CALLERS, CHUNKED_HEAD + crowds.make_chunks(4_096)
    ),
    'chunks of one byte': crowds.Crowd(
        MANY_CALLERS, CHUNKED_HEAD + crowds.make_chunks(1)
    ),
    'announced length': crowds.Crowd(
        MANY_CALLERS,
        crowds.make_body_without_last_byte('/short/00000000000000aa'),
    ),
    'whole requests first': crowds.Crowd(
        MANY_CALLERS,
        crowds.make_requests('/short/00000000000000aa', ANSWERS)
        + CHUNKED_HEAD
        + crowds.make_chunks(4_096),
    ),
    'reconnecting': crowds.Crowd(
        MANY_CALLERS,
        CHUNKED_HEAD + crowds.make_chunks(4_096),
        reconnects=True,
    ),
}
CALL_CROWDS: Final = {
    'large chunks': crowds.Crowd(
        CALL_CALLERS,
        crowds.make_head(CALL_PATH)
        + crowds.make_chunks(4_096, CALL_BODY_BYTES),
    ),
    'chunks of one byte': crowds.Crowd(
        CALL_CALLERS, crowds.make_head(CALL_PATH) + crowds.make_chunks(1)
    ),
}


@dataclasses.dataclass(frozen=True)
class Request:
    """An ordinary request.

    :param body: keyword arguments of aiohttp that give the body
    """

    url: str
    body: abc.Mapping[str, Any]


async def is_served(request: Request) -> bool:
    """Tell whether a request on a new connection is answered with 200."""
    headers = {'Host': support.HOST_HEADER, 'Deadline-Ms': '3000'}
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                request.url, headers=headers, **request.body
            ) as answer,
        ):
            return answer.status == 200
    except (aiohttp.ClientError, OSError):
        return False


async def check_ordinary_request(request: Request) -> None:
    """Check that a request is served, repeatedly until it is."""
    async with asyncio.timeout(REQUEST_HANG_LIMIT_S):
        while not await is_served(request):
            await asyncio.sleep(crowds.SAMPLE_INTERVAL_S)


@dataclasses.dataclass(frozen=True)
class Costs:
    """What a process used before a crowd came, and at most beside it."""

    before: crowds.Usage
    most: crowds.Usage

    @property
    def memory_growth_bytes(self) -> int:
        """Memory that the crowd has cost."""
        return self.most.memory_bytes - self.before.memory_bytes

    @property
    def descriptors_growth(self) -> int:
        """Descriptors that the crowd has cost."""
        return self.most.descriptors - self.before.descriptors


async def play(
    process_id: int, crowd: crowds.Crowd, address: str, request: Request
) -> Costs:
    """Let a crowd call a process and check that it serves others.

    :param request: sent before the crowd comes and beside it
    """
    most = crowds.Usage(process_id)
    await check_ordinary_request(request)
    most.sample()
    before = dataclasses.replace(most)
    sampling = asyncio.ensure_future(most.run())
    try:
        async with crowds.gather(crowd, address, CROWD_LIMIT_S):
            try:
                await check_ordinary_request(request)
            finally:
                most.sample()
                print(f'before {before}, at most {most}')
    finally:
        sampling.cancel()
    return Costs(before, most)


def play_node(
    is_entry: bool,
    crowd: crowds.Crowd,
    settings: abc.Mapping[str, Any],
    address_field: str = '',
) -> Costs:
    """Let a crowd call an entry or agent of workflows.

    :param address_field: setting of the listener that the crowd calls, by
        default the one of ordinary callers
    """

    async def main() -> Costs:
        async with support.run_deployment(1, 1, settings=settings) as found:
            node, field, path = (
                (found.entries[0], 'caller_address', WORKFLOW_PATH)
                if is_entry
                else (found.agents[0], 'registration_address', HEARTBEAT_PATH)
            )
            document = WORKFLOW if is_entry else {'born': 0}
            assert node.process is not None
            address = str(node.settings[address_field or field])
            if address_field == 'metrics_port':
                address = f'{support.HOST}:{address}'
            url = f'http://{node.settings[field]}{path}'
            costs = await play(
                node.process.pid,
                crowd,
                address,
                Request(url, {'json': document}),
            )
            assert node.process.returncode is None
            return costs

    costs: Costs = support.run(main(), limit_s=90)
    return costs


def play_calls(
    crowd: crowds.Crowd, find_address: abc.Callable[[Any], str]
) -> Costs:
    """Let a crowd call an entry of calls and jobs.

    :param find_address: returns the listener that the crowd calls
    """
    found: list[Costs] = []

    async def scenario(fleet: local_fleet.Fleet) -> None:
        entry = fleet.entries[-1]
        url = f'{entry.caller_url}{CALL_PATH}'
        found.append(
            await play(
                entry.process.pid,
                crowd,
                find_address(entry),
                Request(url, {'data': b'ordinary'}),
            )
        )
        assert entry.process.process.returncode is None

    process_support.run_fleet(scenario)
    return found[0]


def find_caller_address(entry: local_fleet.EntryHandle) -> str:
    """Return the listener for callers."""
    return entry.caller_url.removeprefix('http://')


def find_inner_address(entry: local_fleet.EntryHandle) -> str:
    """Return the listener of the inner protocol."""
    return entry.inner_address


def check_small_crowd(costs: Costs) -> None:
    """Check the bounds of the processes with 64 connections."""
    assert costs.memory_growth_bytes < MEMORY_GROWTH_LIMIT_BYTES
    assert costs.descriptors_growth < DESCRIPTORS_GROWTH_LIMIT


def find_listener(kind: str) -> str:
    """Return the setting of the listener that a crowd calls."""
    return 'metrics_port' if kind == 'answers not taken' else ''


@pytest.mark.parametrize('kind', CROWDS)
def test_entry_withstands_unfinished_requests(kind: str) -> None:
    """Guards against callers that exhaust or stop an entry."""
    check_small_crowd(
        play_node(True, CROWDS[kind], SETTINGS, find_listener(kind))
    )


@pytest.mark.parametrize('kind', CROWDS)
def test_agent_withstands_unfinished_requests(kind: str) -> None:
    """Guards against callers that exhaust or stop an agent."""
    check_small_crowd(
        play_node(False, CROWDS[kind], SETTINGS, find_listener(kind))
    )


@pytest.mark.parametrize('is_entry', [True, False], ids=['entry', 'agent'])
@pytest.mark.parametrize('kind', MANY_CALLERS_CROWDS)
def test_unread_bytes_of_many_callers_are_bounded(
    kind: str, is_entry: bool
) -> None:
    """Guards against bytes that arrive faster than they are processed."""
    costs = play_node(
        is_entry, MANY_CALLERS_CROWDS[kind], MANY_CALLERS_SETTINGS
    )
    assert costs.memory_growth_bytes < MANY_CALLERS_GROWTH_LIMIT_BYTES


def test_callers_without_answers_block_no_others() -> None:
    """Guards against answers that nobody takes and that keep all places.

    The deadline for taking an answer is longer than the test.
    """
    settings = {
        **SETTINGS,
        'unfinished_requests_limit_bytes': 16_000_000,
        'answer_stall_limit_ms': 60_000,
    }
    crowd = crowds.Crowd(
        CALLERS, crowds.make_requests('/metrics', 2_000), interval_s=0.02
    )
    check_small_crowd(play_node(True, crowd, settings, 'metrics_port'))


@pytest.mark.parametrize('kind', CALL_CROWDS)
def test_entry_of_calls_withstands_unfinished_requests(kind: str) -> None:
    """Guards against callers that exhaust or stop an entry of calls."""
    costs = play_calls(CALL_CROWDS[kind], find_caller_address)
    assert costs.most.memory_bytes < SMALLEST_ENTRY_BYTES


def test_entry_of_calls_withstands_peers_that_take_nothing() -> None:
    """Guards against peers whose frames want answers that they don't take."""
    crowd = crowds.make_pings(CALLERS, PINGS, OBSERVE_PATH)
    costs = play_calls(crowd, find_inner_address)
    assert costs.most.memory_bytes < SMALLEST_ENTRY_BYTES


def test_entry_of_workflows_withstands_peers_that_take_nothing() -> None:
    """Guards against peers whose frames want answers that they don't take."""
    crowd = crowds.make_pings(
        CALLERS, PINGS, channel.METHOD_PATH, b'\x90', 'msgpack'
    )
    check_small_crowd(play_node(True, crowd, SETTINGS, 'inner_address'))
