"""Crowds of callers that leave their requests or answers unfinished."""

import asyncio
from typing import Any, Final

from borageshelf.workflows import channel
from tests import crowds
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
_HEAD: Final = crowds.make_head('/short/00000000000000aa')
CROWDS: Final = {
    'large-chunks': crowds.Crowd(CALLERS, _HEAD + crowds.make_chunks(4_096)),
    'small-chunks': crowds.Crowd(CALLERS, _HEAD + crowds.make_chunks(1)),
    'headers': crowds.Crowd(CALLERS, b'GET / HTTP/1.1\r\nA: ' + b'x' * 12_000),
    'answers': crowds.Crowd(CALLERS, crowds.make_requests('/', 1_000)),
    'length': crowds.Crowd(
        CALLERS, crowds.make_body_without_last_byte('/short/00000000000000aa')
    ),
    'reconnecting': crowds.Crowd(
        CALLERS, _HEAD + crowds.make_chunks(4_096), reconnects=True
    ),
    'peers': crowds.make_pings(
        CALLERS, 20_000, channel.METHOD_PATH, b'\x90', 'msgpack'
    ),
}
KINDS: Final = tuple(CROWDS)
# Earlier seeds draw from these.
FIRST_KINDS: Final = KINDS[:4]


async def gather(node: nodes.Node, kind: str, duration_s: float) -> None:
    """Let a crowd call a process for a while."""
    settings: dict[str, Any] = node.node.settings
    address = settings.get('caller_address')
    address = address or settings['registration_address']
    if kind == 'peers':
        address = settings.get('inner_address', address)
    async with crowds.gather(CROWDS[kind], address, 0):
        await asyncio.sleep(duration_s)
