"""Loopback TCP proxy that injects network faults.

It delays, resets or refuses connections, drops their bytes in one or in both
directions, or holds them back for a while.
"""

import asyncio
from collections import abc
import contextlib
import enum
import socket
import struct
from typing import Final

HOST: Final = '127.0.0.1'
CHUNK_BYTES: Final = 65_536
# Segments and receive buffers of a small link between machines. Loopback takes
# megabytes from a sender although nobody reads them.
SEGMENT_BYTES: Final = 1_448
SMALL_WINDOW_BYTES: Final = 2_048
DEFAULT_LIMIT_BYTES: Final = 65_536
HELD_POLL_S: Final = 0.05


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
    """One proxied connection; its ``mode``, if set, overrides the proxy's.

    :ivar is_frozen: whether nothing passes any more, not even its end
    """

    def __init__(
        self,
        client: asyncio.StreamWriter,
        server: asyncio.StreamWriter,
    ) -> None:
        self.client = client
        self.server = server
        self.mode: Mode | None = None
        self.is_frozen = False

    async def wait_if_frozen(self) -> None:
        """Wait for good if the connection is frozen."""
        if self.is_frozen:
            await asyncio.get_running_loop().create_future()


class Proxy:
    """Forwards connections to one address.

    :param port: port to listen on, 0 for a free one; ``refuse`` needs a port
    :param has_small_windows: whether it takes hardly anything from a sender
        while it holds bytes back
    :ivar mode: treatment of connections that have no mode of their own
    :ivar delay_ms: delay of each chunk
    """

    def __init__(
        self, address: str, port: int = 0, has_small_windows: bool = False
    ) -> None:
        host, _, upstream_port = address.rpartition(':')
        self._upstream_address = (host, int(upstream_port))
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.mode = Mode.OPEN
        self.delay_ms = 0
        self._has_small_windows = has_small_windows
        self._limit_bytes = DEFAULT_LIMIT_BYTES
        if has_small_windows:
            self._limit_bytes = SMALL_WINDOW_BYTES
        # Keeps the port while the proxy doesn't listen.
        self._socket = self._make_socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((HOST, port))
        self._hold_count = 0
        self._released = asyncio.Event()
        self._released.set()

    async def start(self) -> str:
        """Listen and return the address."""
        self._server = await asyncio.start_server(
            self._accept, sock=self._socket.dup(), limit=self._limit_bytes
        )
        return f'{HOST}:{self._socket.getsockname()[1]}'

    def _make_socket(self) -> socket.socket:
        made = socket.socket()
        if self._has_small_windows:
            made.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
            )
            made.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES
            )
        return made

    async def _connect_upstream(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        made = self._make_socket()
        made.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(
                made, self._upstream_address
            )
        except OSError:
            made.close()
            raise
        return await asyncio.open_connection(
            sock=made, limit=self._limit_bytes
        )

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self._socket.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def hold(self) -> None:
        """Hold back all bytes, ends and new connections, as a cut does.

        ``release`` delivers them, after as many calls.
        """
        self._hold_count += 1
        self._released.clear()

    def release(self) -> None:
        """Deliver what was held back."""
        self._hold_count -= 1
        if not self._hold_count:
            self._released.set()

    async def refuse(self, duration_s: float) -> None:
        """Reset the connections and listen no more for a while."""
        if self._server is None or not self._server.is_serving():
            return
        self._server.close()
        self._socket.shutdown(socket.SHUT_RDWR)
        self.reset()
        await asyncio.sleep(duration_s)
        await self.start()

    def reset(self) -> None:
        """Reset all connections on both sides."""
        for connection in list(self._connections):
            _reset_connection(connection.client)
            _reset_connection(connection.server)

    def freeze_open_connections(self) -> None:
        """Take nothing more from the open connections; new ones work.

        Their peers learn nothing either, as if this end had no power.
        """
        for connection in self._connections:
            connection.is_frozen = True

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
            held = await self._read_held(reader)
            server_reader, server_writer = await self._connect_upstream()
        except OSError:
            _reset_connection(writer)
            return
        server_writer.write(held)
        connection = _Connection(writer, server_writer)
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(connection, reader, server_writer, True),
                self._forward(connection, server_reader, writer, False),
            )
        except OSError:
            # One side closed its connection; reset the other one as well.
            await connection.wait_if_frozen()
            await self._released.wait()
            _reset_connection(writer)
            _reset_connection(server_writer)
        finally:
            self._connections.discard(connection)
            writer.close()
            server_writer.close()

    async def _read_held(self, reader: asyncio.StreamReader) -> bytes:
        """Wait until nothing is held back; return what the client has sent.

        :raises ConnectionResetError: if it has given up, so that the
            connection never began
        """
        held = b''
        while self._hold_count:
            try:
                async with asyncio.timeout(HELD_POLL_S):
                    data = await reader.read(CHUNK_BYTES)
            except TimeoutError:
                continue
            if not data:
                raise ConnectionResetError
            held += data
        return held

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
            await connection.wait_if_frozen()
            await self._wait_for_release(reader)
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
        await connection.wait_if_frozen()
        await self._wait_for_release(reader)
        if not writer.is_closing() and writer.can_write_eof():
            writer.write_eof()

    async def _wait_for_release(self, reader: asyncio.StreamReader) -> None:
        """Wait until nothing is held back.

        :raises OSError: if the sender has reset the connection meanwhile, so
            that what was held back is lost
        """
        if self._hold_count:
            await self._released.wait()
            error = reader.exception()
            if error is not None:
                raise error


@contextlib.contextmanager
def hold(held: abc.Sequence[Proxy]) -> abc.Iterator[None]:
    """Hold back what passes these proxies."""
    for proxy in held:
        proxy.hold()
    yield
    for proxy in held:
        proxy.release()


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    peer_socket: socket.socket | None = writer.get_extra_info('socket')
    if peer_socket is not None and peer_socket.fileno() >= 0:
        linger = struct.pack('ii', 1, 0)
        peer_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
