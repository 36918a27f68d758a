"""HTTP client shared by the platform adapters.

Wraps Twisted's client for coroutines. It keeps persistent connections, applies
a timeout to each request, bounds the size of bodies, and reports whether a
failed request may have been sent. Twisted's asyncio reactor must be installed
on the running event loop.
"""

import asyncio
import collections
from collections import abc
import dataclasses
import time
from typing import Any, Final
import urllib.parse

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error as twisted_error
from twisted.internet import protocol
from twisted.python import failure as twisted_failure
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
from zope import interface

MS_PER_S: Final = 1000
# A server accepts a connection within milliseconds. TCP repeats a lost first
# packet after 1 s, which must fit into the timeout.
CONNECT_TIMEOUT_S: Final = 1.5
# Shorter than the usual idle timeout of servers, so that few requests are sent
# on a connection that the server is closing.
IDLE_TIMEOUT_S: Final = 30


class RequestFailed(Exception):
    """A request got no complete answer.

    :param may_have_been_sent: False only if no byte of the request was sent
    :param is_connection_refused: whether the connection was refused, which
        says nothing of the process behind the address
    """

    def __init__(
        self,
        may_have_been_sent: bool,
        detail: str,
        is_connection_refused: bool = False,
    ) -> None:
        super().__init__(detail)
        self.may_have_been_sent = may_have_been_sent
        self.detail = detail
        self.is_connection_refused = is_connection_refused


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer with its complete body."""

    status: int
    body: bytes


class BodyStream(protocol.Protocol):
    """Receives a body in chunks and pauses the sender for a slow reader."""

    def __init__(self) -> None:
        self._chunks: collections.deque[bytes] = collections.deque()
        self._end: BaseException | None = None
        self._chunk_or_end_arrived = asyncio.Event()

    def dataReceived(self, data: bytes) -> None:
        """Store a chunk and pause the sender."""
        self._chunks.append(data)
        self._chunk_or_end_arrived.set()
        # Paused after each chunk, because Twisted resumes the sender after it
        # has delivered the data that arrived with the headers.
        self._transport.pauseProducing()

    def connectionLost(
        self, reason: twisted_failure.Failure = protocol.connectionDone
    ) -> None:
        """Store the reason for which the body ended."""
        self._end = reason.value
        self._chunk_or_end_arrived.set()

    async def read_chunk(self) -> bytes | None:
        """Return the next chunk, or None after the complete body.

        :raises RequestFailed: if the connection closed before the end of the
            body
        """
        while not self._chunks:
            if isinstance(self._end, client.ResponseDone):
                return None
            if self._end is not None:
                raise RequestFailed(
                    True, f'connection closed during the answer: {self._end!r}'
                )
            self._chunk_or_end_arrived.clear()
            self._transport.resumeProducing()
            await self._chunk_or_end_arrived.wait()
        return self._chunks.popleft()

    def abandon(self) -> None:
        """Close the connection unless the body is complete."""
        if self._end is None and self.transport is not None:
            self._transport.loseConnection()

    @property
    def _transport(self) -> Any:
        # The transport of a response body has no public interface type.
        return self.transport


@dataclasses.dataclass(frozen=True)
class StreamedAnswer:
    """An answer whose body has not arrived completely."""

    status: int
    headers: http_headers.Headers
    body: BodyStream


class HttpClient:
    """Client of one server.

    :param base_url: such as ``http://10.0.0.1:8000``; the host is an IP
        address, because name resolution would need a thread
    :param connections: most idle connections that are kept
    """

    def __init__(self, base_url: str, connections: int) -> None:
        self._base_url = base_url.rstrip('/')
        reactor = _get_reactor()
        self._pool = client.HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = connections
        self._pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        # Twisted retries only requests without a body, and only if a reused
        # connection closed before any answer.
        self._pool.retryAutomatically = True
        self._agent = client.Agent.usingEndpointFactory(
            reactor, _EndpointFactory(reactor), self._pool
        )

    async def get(
        self,
        path: str,
        arguments: abc.Mapping[str, str],
        timeout_ms: int,
        limit_bytes: int,
    ) -> Answer:
        """Send a GET request, which Twisted may repeat.

        The request must have no side effects.

        :raises RequestFailed: if no complete answer arrived in time
        """
        query = urllib.parse.urlencode(arguments)
        return await self.send(
            b'GET', f'{path}?{query}', {}, b'', timeout_ms, limit_bytes
        )

    async def post(
        self, path: str, body: bytes, timeout_ms: int, limit_bytes: int
    ) -> Answer:
        """Send a POST request, which is never repeated.

        :raises RequestFailed: if no complete answer arrived in time
        """
        return await self.send(
            b'POST', path, {}, body, timeout_ms, limit_bytes
        )

    async def send(
        self,
        method: bytes,
        path: str,
        headers: abc.Mapping[str, str],
        body: bytes,
        timeout_ms: int,
        limit_bytes: int,
    ) -> Answer:
        """Send a request and return its complete answer.

        :raises RequestFailed: if no complete answer arrived in time
        """
        producer = BytesProducer(body)
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                streamed = await self.open(method, path, headers, producer)
                return await _read_answer(streamed, limit_bytes)
        except TimeoutError as error:
            # The idle connections may be broken like this one.
            self._pool.closeCachedConnections()
            raise RequestFailed(
                producer.is_started, f'no answer in {timeout_ms} ms'
            ) from error

    async def open(
        self,
        method: bytes,
        path: str,
        headers: abc.Mapping[str, str],
        producer: 'BytesProducer',
    ) -> StreamedAnswer:
        """Send a request and return as soon as the answer's headers arrive.

        The caller must apply a timeout, and read or abandon the body.

        :raises RequestFailed: if no answer arrived
        """
        sent_headers = http_headers.Headers(
            {name: [value] for name, value in headers.items()}
        )
        body = producer if method != b'GET' else None
        request = self._agent.request(
            method, f'{self._base_url}{path}'.encode(), sent_headers, body
        )
        response = await _wait_for_headers(request, producer)
        stream = BodyStream()
        response.deliverBody(stream)
        return StreamedAnswer(response.code, response.headers, stream)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pool.closeCachedConnections().asFuture(
            asyncio.get_running_loop()
        )


@interface.implementer(iweb.IBodyProducer)
class BytesProducer:
    """A request body that records whether its transmission started.

    Twisted writes the headers and starts the producer in one step, so no byte
    of the request was sent if the producer was not started.

    :ivar is_started: whether a part of the request may have been sent
    """

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)
        self.is_started = False

    def startProducing(self, consumer: Any) -> defer.Deferred[None]:
        """Write the whole body."""
        self.is_started = True
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing; the body was written at once."""

    def resumeProducing(self) -> None:
        """Do nothing; the body was written at once."""

    def stopProducing(self) -> None:
        """Do nothing; the body was written at once."""


@interface.implementer(iweb.IAgentEndpointFactory)
class _EndpointFactory:
    """Connects to IP addresses without name resolution."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri: Any) -> endpoints.TCP4ClientEndpoint:
        """Return the endpoint of a URI."""
        return endpoints.TCP4ClientEndpoint(
            self._reactor,
            uri.host.decode(),
            uri.port,
            timeout=CONNECT_TIMEOUT_S,
        )


async def _wait_for_headers(
    request: defer.Deferred[Any], producer: BytesProducer
) -> Any:
    """Wait for the answer's headers.

    :raises RequestFailed: instead of any other exception
    """
    try:
        return await request.asFuture(asyncio.get_running_loop())
    except Exception as error:
        is_connection_refused = isinstance(
            error, twisted_error.ConnectionRefusedError
        )
        raise RequestFailed(
            producer.is_started, repr(error), is_connection_refused
        ) from error


async def _read_answer(streamed: StreamedAnswer, limit_bytes: int) -> Answer:
    """Read a complete body.

    :raises RequestFailed: if the connection closes before its end, or if the
        body exceeds the limit
    """
    chunks: list[bytes] = []
    size_bytes = 0
    try:
        while (chunk := await streamed.body.read_chunk()) is not None:
            size_bytes += len(chunk)
            if size_bytes > limit_bytes:
                raise RequestFailed(
                    True, f'the answer exceeds {limit_bytes} bytes'
                )
            chunks.append(chunk)
    finally:
        streamed.body.abandon()
    return Answer(streamed.status, b''.join(chunks))


def read_wall_clock_ms() -> int:
    """Return the wall-clock time in Unix milliseconds."""
    return time.time_ns() // 1_000_000


def _get_reactor() -> Any:
    # Imported only now, because the import installs the default reactor if
    # none is installed.
    from twisted.internet import reactor

    return reactor
