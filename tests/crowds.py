"""Crowds of callers that do not finish what they begin, and what they cost.

Shared by the tests of the request budget and the soak. A crowd depends on
nothing but its address, so it can call any listener.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import os
import pathlib
import socket
import struct
from typing import Final

import h2.connection

BODY_BYTES: Final = 240_000
# The least that a caller accepts, so that answers soon wait in the process.
CALLER_RECEIVE_BYTES: Final = 4_096
RECONNECT_INTERVAL_S: Final = 0.05
LATER_PAYLOAD_DELAY_S: Final = 1
SAMPLE_INTERVAL_S: Final = 0.1
_LISTEN: Final = '0A'


@dataclasses.dataclass(frozen=True)
class Crowd:
    """Equal callers, each of which sends bytes and then waits.

    :param callers: number of connections at a time
    :param payload: bytes that each caller sends
    :param interval_s: time between the connections of two callers
    :param later_payload: bytes that follow once the others have arrived
    :param reconnects: whether callers close and connect again after sending
    """

    callers: int
    payload: bytes
    interval_s: float = 0
    later_payload: bytes = b''
    reconnects: bool = False


def make_head(path: str, framing: str = 'Transfer-Encoding: chunked') -> bytes:
    """Return the head of a POST request.

    :param framing: header line that tells how the body ends
    """
    lines = (f'POST {path} HTTP/1.1', 'Host: jobs.example', framing, '', '')
    return '\r\n'.join(lines).encode()


def make_chunks(
    size_bytes: int, body_bytes: int = BODY_BYTES, extension: bytes = b''
) -> bytes:
    """Return a body in chunks of a size, without its last chunk."""
    chunk = b'%x%s\r\n%s\r\n' % (size_bytes, extension, b'x' * size_bytes)
    return chunk * (body_bytes // size_bytes)


def make_body_without_last_byte(path: str) -> bytes:
    """Return a request that stops one byte before its announced end."""
    head = make_head(path, f'Content-Length: {BODY_BYTES}')
    return head + b'x' * (BODY_BYTES - 1)


def make_requests(path: str, count: int) -> bytes:
    """Return pipelined whole requests."""
    return (
        f'GET {path} HTTP/1.1\r\nHost: jobs.example\r\n\r\n'.encode() * count
    )


def make_pings(
    callers: int,
    count: int,
    method_path: str,
    message: bytes = b'',
    encoding: str = 'proto',
) -> Crowd:
    """Return peers that send pings beside a gRPC request that stays open.

    :param count: pings of each peer
    :param message: first message of the request
    """
    connection = h2.connection.H2Connection()
    connection.initiate_connection()
    headers = (
        (':method', 'POST'),
        (':scheme', 'http'),
        (':path', method_path),
        (':authority', 'peer'),
        ('te', 'trailers'),
        ('content-type', f'application/grpc+{encoding}'),
    )
    connection.send_headers(1, headers)
    connection.send_data(1, struct.pack('>?I', False, len(message)) + message)
    request: bytes = connection.data_to_send()
    connection.ping(b'pingping')
    ping: bytes = connection.data_to_send()
    return Crowd(callers, request, later_payload=ping * count)


async def _send(
    address: str, crowd: Crowd, caller: socket.socket, delay_s: float = 0
) -> None:
    host, _, port = address.rpartition(':')
    await asyncio.sleep(delay_s)
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        await loop.sock_connect(caller, (host, int(port)))
        await loop.sock_sendall(caller, crowd.payload)
        if crowd.later_payload:
            await asyncio.sleep(LATER_PAYLOAD_DELAY_S)
            await loop.sock_sendall(caller, crowd.later_payload)


def _open_socket() -> socket.socket:
    caller = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    caller.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_RECEIVE_BYTES
    )
    caller.setblocking(False)
    return caller


async def _reconnect(address: str, crowd: Crowd) -> None:
    while True:
        with _open_socket() as caller, contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECONNECT_INTERVAL_S):
                await _send(address, crowd, caller)
        await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def gather(
    crowd: Crowd, address: str, limit_s: float
) -> abc.AsyncIterator[None]:
    """Let a crowd send; its connections stay open until the block ends.

    :param address: ADDRESS:PORT of the listener
    :param limit_s: seconds after which the block begins beside a crowd that
        is still sending
    """
    async with contextlib.AsyncExitStack() as stack:
        tasks = []
        for number in range(crowd.callers):
            if crowd.reconnects:
                sending = _reconnect(address, crowd)
            else:
                caller = stack.enter_context(_open_socket())
                delay_s = number * crowd.interval_s
                sending = _send(address, crowd, caller, delay_s)
            tasks.append(asyncio.ensure_future(sending))
        await asyncio.wait(tasks, timeout=limit_s)
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


def read_memory_bytes(process_id: int) -> int:
    """Return the resident memory of a process.

    Includes its deleted open files and the bytes that its sockets have
    received and the process has not read.
    """
    status = pathlib.Path(f'/proc/{process_id}/status').read_text()
    found = next(
        line for line in status.splitlines() if line.startswith('VmRSS:')
    )
    total_bytes = int(found.split()[1]) * 1024
    inodes = set()
    for path in pathlib.Path(f'/proc/{process_id}/fd').iterdir():
        with contextlib.suppress(FileNotFoundError):
            target = os.readlink(path)
            if target.endswith('(deleted)'):
                total_bytes += path.stat().st_size
            inodes.add(target.removeprefix('socket:[').removesuffix(']'))
    return total_bytes + _count_unread_bytes(process_id, inodes)


def _count_unread_bytes(process_id: int, inodes: abc.Set[str]) -> int:
    """Return what sockets of a process, also not yet accepted ones, hold.

    :param inodes: inodes of the process's sockets
    """
    table = pathlib.Path(f'/proc/{process_id}/net/tcp').read_text()
    rows = [line.split() for line in table.splitlines()[1:]]
    ports = {
        row[1].partition(':')[2]
        for row in rows
        if row[3] == _LISTEN and row[9] in inodes
    }
    return sum(
        int(row[4].partition(':')[2], 16)
        for row in rows
        if row[3] != _LISTEN
        and (row[9] in inodes or row[1].partition(':')[2] in ports)
    )


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
