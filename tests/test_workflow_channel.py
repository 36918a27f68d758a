"""The stream between entries and agents."""

import asyncio
from collections import abc
import contextlib
import os
import socket
import struct

import grpclib.client
import pytest

from bench import free_ports
from borageshelf import events
from borageshelf.http_server import budget
from borageshelf import node_settings
from borageshelf.workflows import channel
from borageshelf.workflows import messages

HOST = '127.0.0.1'
# Begins HTTP/2, with an empty frame of settings.
PREFACE = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n' + b'\0\0\0\4\0\0\0\0\0'


async def ignore_messages(
    incoming: abc.AsyncIterator[messages.AnyMessage], outbox: channel.Outbox
) -> None:
    """Read the stream to its end and send nothing."""
    async for _ in incoming:
        pass


def test_connection_lost_while_opening_raises_a_connection_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an unhandled error in the loop that follows the owner.

    When a process is killed, its kernel resets the connections that it had
    accepted. grpclib raises an ``AttributeError`` if the reset arrives between
    the connection and its first stream.
    """
    seen_resets: list[None] = []

    async def reset_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer_socket = writer.get_extra_info('socket')
        linger = struct.pack('ii', 1, 0)
        peer_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
        seen_resets.append(None)

    connect = grpclib.client.Channel.__connect__

    async def connect_and_lose(self: grpclib.client.Channel) -> object:
        protocol = await connect(self)
        while self._connected:
            await asyncio.sleep(0.001)
        return protocol

    monkeypatch.setattr(
        grpclib.client.Channel, '__connect__', connect_and_lose
    )

    async def run_check() -> None:
        server = await asyncio.start_server(reset_connection, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(channel.CONNECTION_ERRORS):
            await channel.connect(f'{HOST}:{port}', ignore_messages)
        server.close()
        assert seen_resets

    asyncio.run(run_check())


@pytest.mark.parametrize('sent', [b'', PREFACE, PREFACE + b'x' * 70_000])
def test_connection_without_a_first_message_is_closed(sent: bytes) -> None:
    """Guards against peers that hold connections of the inner protocol."""

    async def run_check() -> None:
        settings = node_settings.NodeSettings(
            'entry-0', 'tajo-norte', HOST, f'{HOST}:1'
        )
        with open(os.devnull, 'wb') as null:
            account = budget.RequestBudget(
                settings, events.EventLog('entry', '0', null.fileno())
            )
            server = channel.make_server(
                channel.Service(ignore_messages), account
            )
            port = free_ports.find_free_ports(1)[0]
            await server.start(HOST, port)
            sweep = asyncio.ensure_future(account.run())
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(sent)
            async with asyncio.timeout(30):
                with contextlib.suppress(ConnectionResetError):
                    await reader.read()
            writer.close()
            sweep.cancel()
            server.close()

    asyncio.run(run_check())
