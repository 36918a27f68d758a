"""Loopback proxy that delays, resets, cuts one way or silences connections."""

import asyncio
import enum
import socket
import struct
from typing import Final

HOST: Final = '127.0.0.1'
CHUNK_BYTES: Final = 65_536


class Mode(enum.Enum):
    """What happens to the bytes of a connection.

    ``NO_ANSWERS`` passes on what the client sends only; ``SILENT`` nothing.
    """

    OPEN = 'open'
    SILENT = 'silent'
    NO_ANSWERS = 'no answers'
    REFUSING = 'refusing'


class _Link:
    """One proxied connection; ``mode`` overrides that of the proxy."""

    def __init__(
        self,
        client: asyncio.StreamWriter,
        server: asyncio.StreamWriter,
    ) -> None:
        self.client = client
        self.server = server
        self.mode: Mode | None = None


class Proxy:
    """Forwards connections to one address.

    :ivar delay_ms: time by which each chunk is held back
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self._target = (host, int(port))
        self._server: asyncio.Server | None = None
        self._links: set[_Link] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.mode = Mode.OPEN
        self.delay_ms = 0

    async def start(self) -> str:
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        return f'{HOST}:{self._server.sockets[0].getsockname()[1]}'

    async def stop(self) -> None:
        """End all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset all connections."""
        for link in list(self._links):
            _reset(link.client)
            _reset(link.server)

    def silence_open(self) -> None:
        """Silence the connections that are open now, but no new ones."""
        for link in self._links:
            link.mode = Mode.SILENT

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except asyncio.CancelledError:
            # By ``stop``; asyncio would report it as an error of the server.
            writer.transport.abort()
        finally:
            self._tasks.discard(task)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.REFUSING:
            _reset(writer)
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            _reset(writer)
            return
        link = _Link(writer, server_writer)
        self._links.add(link)
        try:
            await asyncio.gather(
                self._pump(link, reader, server_writer, True),
                self._pump(link, server_reader, writer, False),
            )
        except OSError:
            # Either side is gone; the other one hears of it by a reset.
            _reset(writer)
            _reset(server_writer)
        finally:
            self._links.discard(link)
            writer.close()
            server_writer.close()

    async def _pump(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_ms:
                await asyncio.sleep(self.delay_ms / 1000)
            mode = link.mode or self.mode
            is_passed = mode is Mode.OPEN or (
                mode is Mode.NO_ANSWERS and is_request
            )
            if is_passed:
                writer.write(data)
                await writer.drain()
            else:
                # Bytes are missing from now on, so nothing may follow.
                link.mode = mode
        if not writer.is_closing() and writer.can_write_eof():
            writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    peer: socket.socket | None = writer.get_extra_info('socket')
    if peer is not None and peer.fileno() >= 0:
        linger = struct.pack('ii', 1, 0)
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
