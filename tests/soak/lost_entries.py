"""Entries that lose their power beside changes of a large configuration."""

import asyncio
from collections import abc
import json
import signal
from typing import Any, Final

import aiohttp

from tests import platform_support
from tests.soak import nodes
from tests.soak import proxies

# A document of about 100 KB, and changes as quick as in the users' storms.
MORE_ROUTES: Final = 350
CHANGES: Final = 4
CHANGE_GAP_S: Final = 0.33
# Time for an entry to find the owner once no fault is active.
RECOVERY_LIMIT_S: Final = 15.0
RETRY_PAUSE_S: Final = 0.3
# Beyond the grace period, for the end of the interpreter.
EXIT_MARGIN_S: Final = 3.0
UNKNOWN_ID: Final = 'f' * 16
# One in so many losses hits any entry, the others the owner.
ANY_ENTRY_INTERVAL: Final = 4


def make_more_routes(first: dict[str, Any]) -> list[dict[str, Any]]:
    """Return routes of other teams, with names of a usual length."""
    return [
        {
            **first,
            'Name': f'team-{number:03d}-recurring-reports',
            'Host': f'team-{number:03d}.scheduling.sierra-centro.example',
            'PathPrefix': f'/team-{number:03d}/recurring-reports/',
        }
        for number in range(MORE_ROUTES)
    ]


def choose_entry(entries: abc.Sequence[nodes.Node], index: int) -> int:
    """Return the number of the entry to lose, mostly that of the owner."""
    epochs = [_find_epoch(entry) for entry in entries]
    if index % ANY_ENTRY_INTERVAL == 0 or not any(epochs):
        return index % len(entries)
    return epochs.index(max(epochs))


def _find_epoch(entry: nodes.Node) -> int:
    """Return the last epoch in which an entry was the owner, or 0."""
    lines = entry.log_file.read_text().splitlines()
    acquired = (line for line in lines if '"ownership acquired"' in line)
    return max((json.loads(line)['epoch'] for line in acquired), default=0)


async def lose_power(
    entry: nodes.Node,
    links: abc.Sequence[proxies.Proxy],
    publish: abc.Callable[[], abc.Awaitable[None]],
    duration_s: float,
) -> None:
    """Take the power of an entry; open connections take nothing any more.

    It starts again at the same address, where new connections work.

    :param links: the proxies of its connections
    :param publish: publishes the next version of the configuration
    """
    if entry.is_expected_to_end:
        return
    await publish()
    for link in links:
        link.freeze_open_connections()
    await entry.end(signal.SIGKILL)
    for _ in range(CHANGES):
        await asyncio.sleep(CHANGE_GAP_S)
        await publish()
    await asyncio.sleep(duration_s)
    await entry.start()


async def find_stuck(
    entries: abc.Sequence[nodes.Node], http: aiohttp.ClientSession
) -> list[str]:
    """Return which entries reach no owner, or outlive a SIGTERM."""
    found = []
    for entry in entries:
        if not await _has_owner(entry, http):
            found.append(f'lost: {entry.node.name} reaches no owner')
    for entry in entries:
        limit_s = entry.node.settings['grace_s'] + EXIT_MARGIN_S
        try:
            async with asyncio.timeout(limit_s):
                await entry.end(signal.SIGTERM)
        except TimeoutError:
            found.append(f'exit: {entry.node.name} outlives its grace period')
    return found


async def _has_owner(entry: nodes.Node, http: aiohttp.ClientSession) -> bool:
    """Tell whether an entry gets the owner's word on an unknown workflow."""
    address = entry.node.settings['caller_address']
    headers = {'Host': platform_support.HOST_HEADER, 'Deadline-Ms': '2000'}
    try:
        async with asyncio.timeout(RECOVERY_LIMIT_S):
            while True:
                try:
                    async with http.delete(
                        f'http://{address}/short/{UNKNOWN_ID}', headers=headers
                    ) as answer:
                        if answer.status == 410:
                            return True
                except aiohttp.ClientError:
                    # It may just be starting; the limit ends the tries.
                    pass
                await asyncio.sleep(RETRY_PAUSE_S)
    except TimeoutError:
        return False
