"""Runs coroutines and HTTP sites of tests on a shared asyncio reactor.

A process can install only one reactor, so all tests that use twisted share
the event loop of this module.
"""

import asyncio
from collections import abc
import contextlib
from typing import Any, Final, TypeVar

import msgspec

from borageshelf.ports import http_client
from standins import http_server

Result = TypeVar('Result')

# Far above any expected duration; a test that reaches it hangs.
HANG_LIMIT_S: Final = 60.0

_loops: list[asyncio.AbstractEventLoop] = []


def run(
    coroutine: abc.Coroutine[Any, Any, Result], limit_s: float = HANG_LIMIT_S
) -> Result:
    """Run a coroutine on the shared loop.

    :raises TimeoutError: if it takes longer than the limit
    """
    if not _loops:
        _loops.append(http_server.install_reactor())
    limited = asyncio.wait_for(coroutine, limit_s)
    return _loops[0].run_until_complete(limited)


@contextlib.asynccontextmanager
async def serve(site: Any) -> abc.AsyncIterator[str]:
    """Serve a site on a free port; yield its base URL."""
    listening = http_server.listen(site, 0)
    port = http_server.find_port(listening)
    try:
        yield f'http://{http_server.LISTEN_ADDRESS}:{port}'
    finally:
        stopped = listening.stopListening()
        if stopped is not None:
            await stopped.asFuture(asyncio.get_running_loop())


async def wait_for(is_true: abc.Callable[[], bool]) -> None:
    """Poll a condition until it holds."""
    while not is_true():
        await asyncio.sleep(0.001)


async def request_json(
    base_url: str, path: str, document: object = None
) -> dict[str, Any]:
    """Send a JSON request and return the answer's document.

    The method is POST with a document and GET without.
    """
    client = http_client.HttpClient(base_url, 1)
    try:
        if document is None:
            answer = await client.get(path, {}, 5_000, 16_000_000)
        else:
            body = msgspec.json.encode(document)
            answer = await client.post(path, body, 5_000, 16_000_000)
    finally:
        await client.close()
    assert answer.status == 200, answer.body
    return msgspec.json.decode(answer.body, type=dict[str, Any])
