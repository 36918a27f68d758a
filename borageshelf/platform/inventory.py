"""Adapter of the platform's list of machines."""

import asyncio
from typing import Final

import msgspec

from borageshelf import decoding
from borageshelf.ports import http_client
from borageshelf.ports import inventory

TIMEOUT_MS: Final = 800
CONNECTIONS: Final = 1
ANSWER_LIMIT_BYTES: Final = 2_000_000
PAGES_LIMIT: Final = 30
UP: Final = 'up'


class _Machine(msgspec.Struct, rename='pascal'):
    """A machine; the platform's other fields are not used."""

    state: str
    id: str | None = None


class _Page(msgspec.Struct, rename='pascal'):
    machines: list[_Machine]
    next_token: str | None = None


class PlatformInventory:
    """Reads the list of machines page by page."""

    def __init__(self, address: str) -> None:
        self._client = http_client.HttpClient(f'http://{address}', CONNECTIONS)

    async def list_up_executors(self) -> inventory.UpExecutors:
        """Return all executors that are up; see the interface."""
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000):
                pages = await self._read_pages()
        except TimeoutError as error:
            raise inventory.InventoryUnavailable(
                f'not read in {TIMEOUT_MS} ms'
            ) from error
        machines = [machine for page in pages for machine in page.machines]
        if not machines:
            # A platform that has just started may know none yet.
            raise inventory.InventoryUnavailable('the list is empty')
        return inventory.UpExecutors(
            frozenset(
                machine.id
                for machine in machines
                if machine.state == UP and machine.id
            ),
            len(pages) == 1,
        )

    async def _read_pages(self) -> list[_Page]:
        pages: list[_Page] = []
        token: str | None = None
        for _ in range(PAGES_LIMIT):
            pages.append(await self._read_page(token))
            token = pages[-1].next_token
            if not token:
                return pages
        raise inventory.InventoryUnavailable(f'more than {PAGES_LIMIT} pages')

    async def _read_page(self, token: str | None) -> _Page:
        arguments = {'PageToken': token} if token else {}
        try:
            answer = await self._client.get(
                '/-/machines', arguments, TIMEOUT_MS, ANSWER_LIMIT_BYTES
            )
            if answer.status != 200:
                raise inventory.InventoryUnavailable(f'status {answer.status}')
            page: _Page = decoding.decode_json(answer.body, _Page)
            return page
        except (http_client.RequestFailed, decoding.Unreadable) as error:
            raise inventory.InventoryUnavailable(repr(error)) from error
