"""Crowds of callers that leave their requests or answers unfinished."""

import asyncio
import contextlib
from typing import Any, Final

from tests.soak import nodes

CALLERS: Final = 40
# Low enough for a crowd to reach them.
SETTINGS: Final = {
    'unfinished_requests_limit_bytes': 4_000_000,
    'connections_limit': 64,
    'headers_limit_ms': 2_000,
    'body_stall_limit_ms': 2_000,
    'answer_stall_limit_ms': 2_000,
}
_CHUNKED: Final = (
    b'POST /short/00000000000000aa HTTP/1.1\r\nHost: jobs.example\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
PAYLOADS: Final = {
    'large-chunks': _CHUNKED + (b'1000\r\n' + b'x' * 4_096 + b'\r\n') * 60,
    'small-chunks': _CHUNKED + b'1\r\nx\r\n' * 60_000,
    'headers': b'GET / HTTP/1.1\r\nA: ' + b'x' * 12_000,
    'answers': b'GET / HTTP/1.1\r\nHost: jobs.example\r\n\r\n' * 1_000,
}
KINDS: Final = tuple(PAYLOADS)


async def gather(node: nodes.Node, kind: str, duration_s: float) -> None:
    """Let a crowd call a process for a while."""
    settings: dict[str, Any] = node.node.settings
    address = settings.get('caller_address')
    host, _, port = (address or settings['registration_address']).rpartition(
        ':'
    )

    async def call() -> None:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port), limit=1)
            with contextlib.closing(writer):
                writer.write(PAYLOADS[kind])
                await asyncio.sleep(duration_s)
                writer.transport.abort()

    await asyncio.gather(*(call() for _ in range(CALLERS)))
