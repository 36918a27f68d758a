"""HTTP site that limits the size of request bodies.

A caller that sends a large body cannot exhaust the memory of the process.
"""

from typing import Any, Final

import msgspec
from twisted.web import server

from borageshelf.entry import documents
from borageshelf import errors

BODY_LIMIT_BYTES: Final = 1_000_000


class BoundedRequest(server.Request):
    """A request that answers 413 instead of buffering a large body."""

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a body whose announced length exceeds the limit."""
        if length is not None and length > BODY_LIMIT_BYTES:
            self._refuse()
            return
        server.Request.gotLength(self, length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Refuse a body of unannounced length once it exceeds the limit."""
        received = self.content.tell() if self.content is not None else 0
        if received + len(data) > BODY_LIMIT_BYTES:
            self._refuse()
            return
        server.Request.handleContentChunk(self, data)

    def _refuse(self) -> None:
        channel: Any = self.channel
        if channel is None:
            return
        error = errors.BorageshelfError(
            errors.BODY_TOO_LARGE, f'the limit is {BODY_LIMIT_BYTES} bytes'
        )
        body = msgspec.json.encode(documents.describe_error(error))
        head = (
            b'HTTP/1.1 413 Content Too Large\r\n'
            b'content-type: application/json\r\n'
            b'connection: close\r\n'
            b'content-length: %d\r\n\r\n' % len(body)
        )
        channel.transport.write(head + body)
        channel.loseConnection()


class BoundedSite(server.Site):
    """A site that limits the body of each request."""

    requestFactory = BoundedRequest  # noqa: N815
