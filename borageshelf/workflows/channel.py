"""The gRPC stream that carries the messages of ``messages``.

One bidirectional streaming method serves agents and entries. Each gRPC
message is a batch of all messages queued at the time, encoded by msgspec.
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

from borageshelf import decoding
from borageshelf.http_server import budget
from borageshelf.http_server import grpc_server
from borageshelf.workflows import messages
from borageshelf.workflows import transmission

METHOD_PATH: Final = '/borageshelf.Workflows/Exchange'
# Connecting within a region takes a few milliseconds.
CONNECT_TIMEOUT_MS: Final = 600
# A client sends its first message at once.
FIRST_MESSAGE_LIMIT_MS: Final = 3_000
QUEUED_MESSAGES_LIMIT: Final = 20_000

# Errors that end a stream.
CONNECTION_ERRORS: Final = (
    OSError,
    asyncio.TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
    decoding.Unreadable,
)

Batch = list[messages.AnyMessage]


class Codec(grpclib.encoding.base.CodecBase):
    """Encodes batches of messages as MessagePack."""

    __content_subtype__ = 'msgpack'

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the encoded form of a batch of messages."""
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the batch of messages that the bytes encode.

        :raises decoding.Unreadable: if they encode none
        """
        return decoding.decode_msgpack(data, Batch)


class Outbox:
    """Queue of the messages to be sent on one stream.

    The queue is bounded; when the other side reads too slowly and the queue
    fills up, the stream is closed.

    :param begin_close: called when the stream is closed
    """

    def __init__(
        self, begin_close: abc.Callable[[], None] = lambda: None
    ) -> None:
        self._queued: Batch = []
        self._changed = asyncio.Event()
        self._begin_close = begin_close
        self.is_closed = False

    def send(self, message: messages.AnyMessage) -> None:
        """Queue a message, or close the stream if the queue is full."""
        if len(self._queued) >= QUEUED_MESSAGES_LIMIT:
            self.close()
        if not self.is_closed:
            self._queued.append(message)
            self._changed.set()

    def withdraw(self, message: messages.AnyMessage) -> None:
        """Take a message back unless it has been sent."""
        self._queued = [
            queued for queued in self._queued if queued is not message
        ]

    def close(self) -> None:
        """End the stream once the queued messages have been sent.

        A peer that does not take them in time is given up.
        """
        if not self.is_closed:
            self.is_closed = True
            self._begin_close()
        self._changed.set()

    async def send_queued(
        self, stream: Any, sending: transmission.Transmission
    ) -> None:
        """Send queued messages until the outbox is closed."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            batch, self._queued = self._queued, []
            if batch:
                with sending.limit_stall():
                    await stream.send_message(batch)
            if self.is_closed:
                return


class Service:
    """Server side of the stream.

    :param serve: handles one stream; its arguments are an iterator over the
        incoming messages and the outbox
    :param record_abort: called with the cause if a connection was aborted
    """

    def __init__(
        self,
        serve: abc.Callable[
            [abc.AsyncIterator[messages.AnyMessage], Outbox],
            abc.Coroutine[Any, Any, None],
        ],
        record_abort: abc.Callable[[str], None] = lambda cause: None,
    ) -> None:
        self._serve = serve
        self._record_abort = record_abort

    async def _exchange(self, stream: Any) -> None:
        sending = transmission.Transmission(stream, self._record_abort)
        outbox = Outbox(sending.begin_close)
        try:
            with _TransportGuard():
                await stream.send_initial_metadata()
                await _run_with_sender(
                    self._serve(_receive_from_client(stream), outbox),
                    stream,
                    outbox,
                    sending,
                )
        except CONNECTION_ERRORS:
            # The peer is gone; the handler has seen its stream end.
            return
        finally:
            # Each client opens one stream on a connection.
            sending.finish(transmission.LINGER_LIMIT_MS)

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Return the handlers by method path, as grpclib requires."""
        return {
            METHOD_PATH: grpclib.const.Handler(
                self._exchange,
                grpclib.const.Cardinality.STREAM_STREAM,
                list,
                list,
            )
        }


def make_server(
    service: Service, account: budget.RequestBudget | None = None
) -> grpclib.server.Server:
    """Return a gRPC server that serves the stream.

    :param account: what its connections count against, if anything
    """
    if account is None:
        return grpclib.server.Server([service], codec=Codec())
    return grpc_server.GuardedServer(
        [service],
        account,
        CONNECT_TIMEOUT_MS + FIRST_MESSAGE_LIMIT_MS,
        codec=Codec(),
    )


async def connect(
    address: str,
    handle: abc.Callable[
        [abc.AsyncIterator[messages.AnyMessage], Outbox],
        abc.Coroutine[Any, Any, None],
    ],
) -> None:
    """Open a stream and run a handler on it until either side ends it.

    :raises ConnectionRefusedError: if the address refuses connections, which
        its process may survive
    :raises decoding.Unreadable: if it is no address
    :raises transmission.PeerStalled: if the peer took nothing any more
    :raises OSError: or another of ``CONNECTION_ERRORS`` if it can't be opened
    """
    parsed = decoding.parse_address(address)
    channel = grpclib.client.Channel(parsed.host, parsed.port, codec=Codec())
    try:
        method: Any = grpclib.client.StreamStreamMethod(
            channel, METHOD_PATH, list, list
        )
        async with contextlib.AsyncExitStack() as stack:
            stack.enter_context(_TransportGuard())
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                stream = await stack.enter_async_context(method.open())
                await stream.send_request()
            sending = transmission.Transmission(stream)
            outbox = Outbox(sending.begin_close)
            try:
                await _run_with_sender(
                    handle(_receive(stream), outbox), stream, outbox, sending
                )
            except CONNECTION_ERRORS as error:
                if sending.abort_cause:
                    raise transmission.PeerStalled(
                        sending.abort_cause
                    ) from error
                raise
            finally:
                sending.finish(transmission.CLOSE_LIMIT_MS)
                with (
                    contextlib.suppress(*CONNECTION_ERRORS),
                    _TransportGuard(),
                ):
                    await stream.cancel()
    finally:
        channel.close()


class _TransportGuard:
    """Translates grpclib's error for a lost connection.

    grpclib deletes the transport of a lost connection. Using the connection
    before the loss has been noticed raises an ``AttributeError``, which is
    turned into a ``ConnectionResetError``.
    """

    def __enter__(self) -> None:
        return

    def __exit__(self, kind: object, error: object, trace: object) -> None:
        if isinstance(error, AttributeError) and error.name == '_transport':
            raise ConnectionResetError(
                'connection lost before grpclib noticed it'
            ) from error


async def _receive(stream: Any) -> abc.AsyncIterator[messages.AnyMessage]:
    async for batch in stream:
        for message in batch:
            yield message


async def _receive_from_client(
    stream: Any,
) -> abc.AsyncIterator[messages.AnyMessage]:
    """Yield the messages of a client, whose first one must come soon."""
    async with asyncio.timeout(FIRST_MESSAGE_LIMIT_MS / 1000):
        first = await stream.recv_message()
    for message in first or ():
        yield message
    async for message in _receive(stream):
        yield message


async def _run_with_sender(
    handler: abc.Coroutine[Any, Any, None],
    stream: Any,
    outbox: Outbox,
    sending: transmission.Transmission,
) -> None:
    """Run a handler and the sender; when one ends, cancel the other."""
    tasks = [
        asyncio.ensure_future(handler),
        asyncio.ensure_future(outbox.send_queued(stream, sending)),
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
