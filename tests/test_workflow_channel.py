"""The stream between entries and agents."""

import asyncio
from collections import abc
import socket
import struct

import grpclib.client
import pytest

from borageshelf.workflows import channel
from borageshelf.workflows import messages

HOST = '127.0.0.1'


async def use_nothing(
    incoming: abc.AsyncIterator[messages.AnyMessage], outbox: channel.Outbox
) -> None:
    """Wait for the end of the stream."""
    async for _ in incoming:
        pass


def test_connection_lost_while_it_is_opened_is_a_broken_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an error that ends the loop that follows the owner.

    A killed process resets connections that its kernel had accepted. grpclib
    then fails with an ``AttributeError`` if the reset arrives between the
    connection and its first stream.
    """
    resets: list[None] = []

    async def reset(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = writer.get_extra_info('socket')
        linger = struct.pack('ii', 1, 0)
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
        resets.append(None)

    connect = grpclib.client.Channel.__connect__

    async def connect_and_lose(self: grpclib.client.Channel) -> object:
        protocol = await connect(self)
        while self._connected:
            await asyncio.sleep(0.001)
        return protocol

    monkeypatch.setattr(
        grpclib.client.Channel, '__connect__', connect_and_lose
    )

    async def check() -> None:
        server = await asyncio.start_server(reset, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(channel.CONNECTION_ERRORS):
            await channel.connect(f'{HOST}:{port}', use_nothing)
        server.close()
        assert resets

    asyncio.run(check())
