"""Crowds of callers that leave their requests or answers unfinished.

Each test starts processes of the system and runs alone, apart from other load
(``tests/run_all.py``). It checks nothing that depends on the machine's speed.
The crowd and the bounds were fixed before the product had any limit.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import os
import pathlib
import socket
from typing import Final

import aiohttp
import pytest

from tests import platform_support as support

pytestmark = pytest.mark.alone

CALLERS: Final = 120
BODY_BYTES: Final = 240_000
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
SAMPLE_INTERVAL_S: Final = 0.1
SETTINGS: Final = {
    'unfinished_requests_limit_bytes': 4_000_000,
    'connections_limit': 64,
    'answer_stall_limit_ms': 2_000,
}
WORKFLOW: Final = {
    'Spec': 'text',
    'Phases': [{'Count': 1, 'Cpu': 100, 'MemMb': 64, 'EstimateMs': 50}],
}
CHUNKED_HEAD: Final = (
    b'POST /short/00000000000000aa HTTP/1.1\r\nHost: jobs.example\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)


@dataclasses.dataclass(frozen=True)
class Crowd:
    """Equal callers, each of which sends bytes and then waits.

    :param is_to_metrics: whether they call the listener for metrics
    """

    callers: int
    payload: bytes
    is_to_metrics: bool = False


def make_chunks(size_bytes: int) -> bytes:
    """Return a body in chunks of a size, without its last chunk."""
    chunk = b'%x\r\n%s\r\n' % (size_bytes, b'x' * size_bytes)
    return chunk * (BODY_BYTES // size_bytes)


CROWDS: Final = {
    'large chunks': Crowd(CALLERS, CHUNKED_HEAD + make_chunks(4_096)),
    'chunks of one byte': Crowd(
        CALLERS_OF_SMALL_CHUNKS, CHUNKED_HEAD + make_chunks(1)
    ),
    'stopped headers': Crowd(
        CALLERS,
        b'GET / HTTP/1.1\r\nHost: jobs.example\r\nA: ' + b'x' * HEADER_BYTES,
    ),
    'answers not taken': Crowd(
        CALLERS,
        b'GET /metrics HTTP/1.1\r\nHost: jobs.example\r\n\r\n' * ANSWERS,
        is_to_metrics=True,
    ),
}


def read_memory_bytes(process_id: int) -> int:
    """Return the memory of a process, its deleted open files included."""
    status = pathlib.Path(f'/proc/{process_id}/status').read_text()
    found = next(
        line for line in status.splitlines() if line.startswith('RssAnon:')
    )
    total_bytes = int(found.split()[1]) * 1024
    for path in pathlib.Path(f'/proc/{process_id}/fd').iterdir():
        with contextlib.suppress(FileNotFoundError):
            if os.readlink(path).endswith('(deleted)'):
                total_bytes += path.stat().st_size
    return total_bytes


def count_descriptors(process_id: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f'/proc/{process_id}/fd'))


@dataclasses.dataclass
class Usage:
    """What a process uses at most."""

    process_id: int
    memory_bytes: int = 0
    descriptors: int = 0

    def sample(self) -> None:
        """Take the present values into account."""
        self.memory_bytes = max(
            self.memory_bytes, read_memory_bytes(self.process_id)
        )
        self.descriptors = max(
            self.descriptors, count_descriptors(self.process_id)
        )

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)


async def call(address: str, payload: bytes, open_for: socket.socket) -> None:
    """Send what one caller sends; the caller keeps its connection open."""
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        await loop.sock_connect(open_for, (host, int(port)))
        await loop.sock_sendall(open_for, payload)


@contextlib.asynccontextmanager
async def gather(crowd: Crowd, address: str) -> abc.AsyncIterator[None]:
    """Let a crowd send; its connections stay open until the block ends."""
    async with contextlib.AsyncExitStack() as stack:
        tasks = []
        for _ in range(crowd.callers):
            caller = stack.enter_context(
                socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            )
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            caller.setblocking(False)
            sending = call(address, crowd.payload, caller)
            tasks.append(asyncio.ensure_future(sending))
        await asyncio.wait(tasks, timeout=CROWD_LIMIT_S)
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


async def is_served(method: str, url: str, document: object) -> bool:
    """Tell whether a request on a new connection is answered with 200."""
    headers = {'Host': support.HOST_HEADER, 'Deadline-Ms': '3000'}
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.request(
                method, url, json=document, headers=headers
            ) as answer,
        ):
            return answer.status == 200
    except (aiohttp.ClientError, OSError):
        return False


async def check_ordinary_request(
    method: str, url: str, document: object
) -> None:
    """Check that a request is served, repeatedly until it is."""
    async with asyncio.timeout(REQUEST_HANG_LIMIT_S):
        while not await is_served(method, url, document):
            await asyncio.sleep(SAMPLE_INTERVAL_S)


async def play(
    node: support.Node, crowd: Crowd, address_field: str, url: str, doc: object
) -> None:
    """Let a crowd call a process and check the process."""
    assert node.process is not None
    usage = Usage(node.process.pid)
    await check_ordinary_request('POST', url, doc)
    usage.sample()
    before = dataclasses.replace(usage)
    address = node.settings[address_field]
    if crowd.is_to_metrics:
        address = f'{support.HOST}:{node.settings["metrics_port"]}'
    sampling = asyncio.ensure_future(usage.run())
    try:
        async with gather(crowd, address):
            try:
                await check_ordinary_request('POST', url, doc)
            finally:
                usage.sample()
                growth_bytes = usage.memory_bytes - before.memory_bytes
                growth = usage.descriptors - before.descriptors
                print(f'memory {growth_bytes}, descriptors {growth}')
    finally:
        sampling.cancel()
    assert node.process.returncode is None
    assert growth_bytes < MEMORY_GROWTH_LIMIT_BYTES
    assert growth < DESCRIPTORS_GROWTH_LIMIT


@pytest.mark.parametrize('kind', CROWDS)
def test_entry_withstands_unfinished_requests(kind: str) -> None:
    """Guards against callers that exhaust or stop an entry."""

    async def main() -> None:
        async with support.run_deployment(1, 1, settings=SETTINGS) as found:
            entry = found.entries[0]
            url = f'http://{entry.settings["caller_address"]}/short/{"0b" * 8}'
            await play(entry, CROWDS[kind], 'caller_address', url, WORKFLOW)

    support.run(main(), limit_s=90)


@pytest.mark.parametrize('kind', CROWDS)
def test_agent_withstands_unfinished_requests(kind: str) -> None:
    """Guards against callers that exhaust or stop an agent."""

    async def main() -> None:
        async with support.run_deployment(1, 1, settings=SETTINGS) as found:
            agent = found.agents[0]
            address = agent.settings['registration_address']
            url = f'http://{address}/-/Instances.Heartbeat/i-9'
            await play(
                agent,
                CROWDS[kind],
                'registration_address',
                url,
                {'born': 0},
            )

    support.run(main(), limit_s=90)
