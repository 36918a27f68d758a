"""The stream that carries the messages of ``messages``.

One gRPC method with a stream in each direction serves agents and entries. A
gRPC message holds all messages that wait at the time, encoded by msgspec.
"""

import asyncio
from collections import abc
import contextlib
from typing import Any, Final

import grpclib.client
import grpclib.const
import grpclib.encoding.base
import grpclib.exceptions
import grpclib.server
import msgspec

from borageshelf.workflows import messages

PATH: Final = '/borageshelf.Workflows/Exchange'
# A connection within a region takes a few milliseconds.
CONNECT_TIMEOUT_MS: Final = 600
QUEUE_LIMIT: Final = 20_000

CONNECTION_ERRORS: Final = (
    OSError,
    asyncio.TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
    msgspec.MsgspecError,
)

Batch = list[messages.AnyMessage]


class Codec(grpclib.encoding.base.CodecBase):
    """Encodes lists of messages."""

    __content_subtype__ = 'msgpack'

    def __init__(self) -> None:
        self._decoder = msgspec.msgpack.Decoder(Batch)
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes of a list of messages."""
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the list of messages of some bytes."""
        return self._decoder.decode(data)


class Outbox:
    """Messages that wait to be sent on one stream."""

    def __init__(self) -> None:
        self._waiting: Batch = []
        self._changed = asyncio.Event()
        self.is_closed = False

    def send(self, message: messages.AnyMessage) -> None:
        """Queue a message; a stream that takes none is closed."""
        if len(self._waiting) >= QUEUE_LIMIT:
            self.close()
        if not self.is_closed:
            self._waiting.append(message)
            self._changed.set()

    def close(self) -> None:
        """End the stream."""
        self.is_closed = True
        self._changed.set()

    async def pump(self, stream: Any) -> None:
        """Send messages until the outbox is closed."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            batch, self._waiting = self._waiting, []
            if batch:
                await stream.send_message(batch)
            if self.is_closed:
                return


class Service:
    """The server's side.

    :param serve: handles one stream; its arguments are an iterator over
        messages and the outbox
    """

    def __init__(
        self,
        serve: abc.Callable[
            [abc.AsyncIterator[messages.AnyMessage], Outbox],
            abc.Coroutine[Any, Any, None],
        ],
    ) -> None:
        self._serve = serve

    async def _exchange(self, stream: Any) -> None:
        outbox = Outbox()
        try:
            with _TransportGuard():
                await stream.send_initial_metadata()
                await _run(
                    self._serve(_receive(stream), outbox), stream, outbox
                )
        except CONNECTION_ERRORS:
            # The other side is gone; the handler has seen its stream end.
            return

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Return the method of the service, as grpclib asks for it."""
        return {
            PATH: grpclib.const.Handler(
                self._exchange,
                grpclib.const.Cardinality.STREAM_STREAM,
                list,
                list,
            )
        }


def make_server(service: Service) -> grpclib.server.Server:
    """Return a server of the stream."""
    return grpclib.server.Server([service], codec=Codec())


async def connect(
    address: str,
    handle: abc.Callable[
        [abc.AsyncIterator[messages.AnyMessage], Outbox],
        abc.Coroutine[Any, Any, None],
    ],
) -> None:
    """Open a stream and let a handler use it until either side ends it.

    :raises ConnectionRefusedError: if no process listens there
    :raises OSError: or another of ``CONNECTION_ERRORS`` if it can't be opened
    """
    host, _, port = address.rpartition(':')
    channel = grpclib.client.Channel(host, int(port), codec=Codec())
    try:
        method: Any = grpclib.client.StreamStreamMethod(
            channel, PATH, list, list
        )
        async with contextlib.AsyncExitStack() as stack:
            stack.enter_context(_TransportGuard())
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                stream = await stack.enter_async_context(method.open())
                await stream.send_request()
            outbox = Outbox()
            try:
                await _run(handle(_receive(stream), outbox), stream, outbox)
            finally:
                with (
                    contextlib.suppress(*CONNECTION_ERRORS),
                    _TransportGuard(),
                ):
                    await stream.cancel()
    finally:
        channel.close()


class _TransportGuard:
    """Turns grpclib's error for a lost connection into the usual one.

    grpclib drops the transport of a connection that is lost, and fails with
    an ``AttributeError`` if it is used before anybody has noticed the loss.
    """

    def __enter__(self) -> None:
        return

    def __exit__(self, kind: object, error: object, trace: object) -> None:
        if isinstance(error, AttributeError) and error.name == '_transport':
            raise ConnectionResetError('the connection is lost') from error


async def _receive(stream: Any) -> abc.AsyncIterator[messages.AnyMessage]:
    async for batch in stream:
        for message in batch:
            yield message


async def _run(
    handling: abc.Coroutine[Any, Any, None], stream: Any, outbox: Outbox
) -> None:
    """Run a handler beside the sender; either one ends both."""
    tasks = [
        asyncio.ensure_future(handling),
        asyncio.ensure_future(outbox.pump(stream)),
    ]
    try:
        done, _ = await asyncio.wait(
            tasks, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            task.result()
    finally:
        outbox.is_closed = True
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        del results
