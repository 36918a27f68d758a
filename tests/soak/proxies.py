"""Loopback TCP proxy that injects network faults.

It delays, resets or refuses connections, or drops their bytes in one or in
both directions.
"""

import asyncio
import enum
import socket
import struct
from typing import Final

HOST: Final = '127.0.0.1'
CHUNK_BYTES: Final = 65_536


class Mode(enum.Enum):
    """How a proxy treats its connections.

    ``OPEN`` forwards both directions, ``NO_ANSWERS`` only what the client
    sends, and ``SILENT`` nothing; ``REFUSING`` resets new connections.
    """

    OPEN = 'open'
    SILENT = 'silent'
    NO_ANSWERS = 'no answers'
    REFUSING = 'refusing'


class _Connection:
    """One proxied connection; its ``mode``, if set, overrides the proxy's."""

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

    :ivar mode: treatment of connections that have no mode of their own
    :ivar delay_ms: delay of each chunk
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self._upstream_address = (host, int(port))
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.mode = Mode.OPEN
        self.delay_ms = 0

    async def start(self) -> str:
        """Listen on a free port and return the address."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        return f'{HOST}:{self._server.sockets[0].getsockname()[1]}'

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset all connections on both sides."""
        for connection in list(self._connections):
            _reset_connection(connection.client)
            _reset_connection(connection.server)

    def silence_open_connections(self) -> None:
        """Drop all further bytes of the open connections; new ones work."""
        for connection in self._connections:
            connection.mode = Mode.SILENT

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except asyncio.CancelledError:
            # ``stop`` cancels this task; asyncio would report the cancellation
            # as an error of the server.
            writer.transport.abort()
        finally:
            self._tasks.discard(task)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.REFUSING:
            _reset_connection(writer)
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(
                *self._upstream_address
            )
        except OSError:
            _reset_connection(writer)
            return
        connection = _Connection(writer, server_writer)
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(connection, reader, server_writer, True),
                self._forward(connection, server_reader, writer, False),
            )
        except OSError:
            # One side closed its connection; reset the other one as well.
            _reset_connection(writer)
            _reset_connection(server_writer)
        finally:
            self._connections.discard(connection)
            writer.close()
            server_writer.close()

    async def _forward(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_ms:
                await asyncio.sleep(self.delay_ms / 1000)
            mode = connection.mode or self.mode
            is_forwarded = mode is Mode.OPEN or (
                mode is Mode.NO_ANSWERS and is_request
            )
            if is_forwarded:
                writer.write(data)
                await writer.drain()
            else:
                # These bytes are lost, so no later ones may be forwarded
                # either: the connection keeps this mode.
                connection.mode = mode
        if not writer.is_closing() and writer.can_write_eof():
            writer.write_eof()


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    peer_socket: socket.socket | None = writer.get_extra_info('socket')
    if peer_socket is not None and peer_socket.fileno() >= 0:
        linger = struct.pack('ii', 1, 0)
        peer_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
