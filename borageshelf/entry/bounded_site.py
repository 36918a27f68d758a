"""HTTP site whose requests are bounded in size."""

from typing import Any, Final

import msgspec
from twisted.web import server

from borageshelf.entry import documents
from borageshelf import errors

BODY_LIMIT_BYTES: Final = 1_000_000


class BoundedRequest(server.Request):
    """A request that refuses a body above the limit before reading it."""

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Close the connection of a caller that announces too much."""
        if length is not None and length > BODY_LIMIT_BYTES:
            self._refuse()
            return
        server.Request.gotLength(self, length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Bound bodies whose length is not announced."""
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
    """A site whose requests are bounded."""

    requestFactory = BoundedRequest  # noqa: N815
