"""Bounded HTTP connections of the administration listener.

Bounds what one client can hold: the number of connections, the size of heads
and bodies, and the time from the first byte of a request to its end, which an
idle timeout alone does not bound for a client that sends a byte at a time.
"""

# mypy: allow-untyped-calls
# Most classes of twisted.web carry no type declarations.

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
# No request of the administration API has a body; small ones are ignored.
MAX_BODY_BYTES: Final = 1_024
MAX_CONNECTIONS: Final = 64
REQUEST_TIMEOUT_S: Final = 10.0
# Time for a refused client to read the answer while its body is discarded.
# Closing at once would reset the connection and could destroy the answer.
LINGERING_CLOSE_S: Final = 1.0

_TOO_LARGE: Final = (
    b'HTTP/1.1 413 Content Too Large\r\n'
    b'connection: close\r\ncontent-length: 0\r\n\r\n'
)


@interface.implementer(interfaces.IHalfCloseableProtocol)
class AdminChannel(http.HTTPChannel):
    """One connection of the administration listener."""

    totalHeadersSize = MAX_HEAD_BYTES
    maxHeaders = MAX_HEADERS
    # Set by the site.
    site: 'AdminSite'
    request_timeout_s = REQUEST_TIMEOUT_S

    def __init__(self) -> None:
        super().__init__()
        self._timer: Any = None
        self._is_refused = False

    def connectionMade(self) -> None:
        """Start the time limit of the first request."""
        super().connectionMade()
        self.site.connections += 1
        self._start_timer(self.request_timeout_s)

    def allHeadersReceived(self) -> None:
        """Refuse a body that is too large before any of it is kept."""
        length = self.length
        # Without a length, the body is chunked and has no known bound.
        if length is None or length > MAX_BODY_BYTES:
            self._refuse()
            return
        super().allHeadersReceived()

    def rawDataReceived(self, data: bytes) -> None:
        """Discard the body of a refused request."""
        if not self._is_refused:
            super().rawDataReceived(data)

    def allContentReceived(self) -> None:
        """Answer the request, then start the limit of the next one."""
        self._stop_timer()
        super().allContentReceived()

    def requestDone(self, request: Any) -> None:
        """Start the time limit of the next request."""
        # It also bounds the time in which the answer has to be read.
        self._start_timer(self.request_timeout_s)
        super().requestDone(request)

    def readConnectionLost(self) -> None:
        """Close after the answers that are already written.

        Answers are written at once, so none is missing here.
        """
        self.loseConnection()

    def writeConnectionLost(self) -> None:
        """Wait for the client to close after a refusal."""

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Release the place of this connection."""
        self.site.connections -= 1
        self._stop_timer()
        super().connectionLost(reason)

    def _refuse(self) -> None:
        self._is_refused = True
        self._start_timer(min(LINGERING_CLOSE_S, self.request_timeout_s))
        transport: Any = self.transport
        transport.write(_TOO_LARGE)
        if interfaces.ISSLTransport.providedBy(transport):
            self.loseConnection()
        else:
            transport.loseWriteConnection()

    def _start_timer(self, delay_s: float) -> None:
        self._stop_timer()
        reactor: Any = self.site.reactor
        self._timer = reactor.callLater(delay_s, self._abort)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _abort(self) -> None:
        transport: Any = self.transport
        transport.abortConnection()


class AdminSite(server.Site):
    """Site whose connections are bounded.

    :param request_timeout_s: time for one request, from its first byte or the
        end of the one before
    """

    def __init__(
        self,
        root: resource.Resource,
        reactor: Any,
        request_timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> None:
        super().__init__(root, timeout=request_timeout_s, reactor=reactor)
        self.displayTracebacks = False
        self.connections = 0
        self._request_limit_s = request_timeout_s

    def buildProtocol(self, addr: Any) -> Any:
        """Return a channel, or None to close the connection at once."""
        if self.connections >= MAX_CONNECTIONS:
            return None
        # The attributes of channels are not typed by twisted.
        channel: Any = AdminChannel()
        channel.site = self
        channel.factory = self
        channel.requestFactory = self.requestFactory
        channel.request_timeout_s = self._request_limit_s
        channel.timeOut = self._request_limit_s
        channel.callLater = self.reactor.callLater
        return channel
