"""HTTP connections of the administration listener, with resource limits.

Limits the number of connections, the size of request heads and bodies, and
the time until a request is complete. An idle timeout alone does not bound
that time for a client that sends one byte at a time.
"""

# mypy: allow-untyped-calls
# Most classes of twisted.web have no type annotations.

from typing import Any, Final

from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import http
from twisted.web import resource
from twisted.web import server
from zope import interface

MAX_HEAD_BYTES: Final = 8_192
MAX_HEADERS: Final = 64
# No request of the administration API needs a body; a small one is ignored.
MAX_BODY_BYTES: Final = 1_024
MAX_CONNECTIONS: Final = 64
REQUEST_TIMEOUT_S: Final = 10.0
# Time for a rejected client to read the response while the rest of its request
# is discarded. Closing at once would reset the connection, and the client
# could lose the response.
LINGERING_CLOSE_S: Final = 1.0

_TOO_LARGE_RESPONSE: Final = (
    b'HTTP/1.1 413 Content Too Large\r\n'
    b'connection: close\r\ncontent-length: 0\r\n\r\n'
)


@interface.implementer(interfaces.IHalfCloseableProtocol)
class AdminChannel(http.HTTPChannel):
    """One connection of the administration listener."""

    totalHeadersSize = MAX_HEAD_BYTES
    maxHeaders = MAX_HEADERS
    # Assigned by ``AdminSite.buildProtocol``.
    site: 'AdminSite'
    request_timeout_s = REQUEST_TIMEOUT_S

    def __init__(self) -> None:
        super().__init__()
        self._timeout_call: Any = None
        self._is_rejected = False

    def connectionMade(self) -> None:
        """Count the connection; start the timeout of the first request."""
        super().connectionMade()
        self.site.connection_count += 1
        self._start_timeout(self.request_timeout_s)

    def allHeadersReceived(self) -> None:
        """Reject a request with a large body before any of it is stored."""
        length = self.length
        # Without a length, the body is chunked and its size is unknown.
        if length is None or length > MAX_BODY_BYTES:
            self._reject_body()
            return
        super().allHeadersReceived()

    def rawDataReceived(self, data: bytes) -> None:
        """Discard the body of a rejected request."""
        if not self._is_rejected:
            super().rawDataReceived(data)

    def allContentReceived(self) -> None:
        """Stop the timeout of the request and answer it."""
        self._cancel_timeout()
        super().allContentReceived()

    def requestDone(self, request: Any) -> None:
        """Start the timeout of the next request."""
        # The timeout also bounds the time in which the client reads the
        # response.
        self._start_timeout(self.request_timeout_s)
        super().requestDone(request)

    def readConnectionLost(self) -> None:
        """Close the connection once the written responses are sent.

        A response is written as soon as its request is complete, so a client
        that has closed its sending side loses none.
        """
        self.loseConnection()

    def writeConnectionLost(self) -> None:
        """Wait for a rejected client to close the connection."""

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Stop counting the connection and cancel its timeout."""
        self.site.connection_count -= 1
        self._cancel_timeout()
        super().connectionLost(reason)

    def _reject_body(self) -> None:
        self._is_rejected = True
        self._start_timeout(min(LINGERING_CLOSE_S, self.request_timeout_s))
        transport: Any = self.transport
        transport.write(_TOO_LARGE_RESPONSE)
        if interfaces.ISSLTransport.providedBy(transport):
            self.loseConnection()
        else:
            transport.loseWriteConnection()

    def _start_timeout(self, delay_s: float) -> None:
        self._cancel_timeout()
        reactor: Any = self.site.reactor
        self._timeout_call = reactor.callLater(delay_s, self._abort)

    def _cancel_timeout(self) -> None:
        if self._timeout_call is not None and self._timeout_call.active():
            self._timeout_call.cancel()
        self._timeout_call = None

    def _abort(self) -> None:
        transport: Any = self.transport
        transport.abortConnection()


class AdminSite(server.Site):
    """HTTP site that limits its connections.

    :param request_timeout_s: time for one request in seconds, counted from the
        start of the connection or the end of the previous request
    """

    def __init__(
        self,
        root: resource.Resource,
        reactor: Any,
        request_timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> None:
        super().__init__(root, timeout=request_timeout_s, reactor=reactor)
        self.displayTracebacks = False
        self.connection_count = 0
        self._request_timeout_s = request_timeout_s

    def buildProtocol(self, addr: Any) -> Any:
        """Return a channel; None closes a connection above the limit."""
        if self.connection_count >= MAX_CONNECTIONS:
            return None
        # twisted does not declare the types of these attributes.
        channel: Any = AdminChannel()
        channel.site = self
        channel.factory = self
        channel.requestFactory = self.requestFactory
        channel.request_timeout_s = self._request_timeout_s
        channel.timeOut = self._request_timeout_s
        channel.callLater = self.reactor.callLater
        return channel
