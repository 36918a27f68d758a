"""Model of the streams between agents and owners.

Messages arrive in order within a stream. Each side learns of the end of a
stream on its own.
"""

import asyncio
from collections import abc
from typing import Any, Final

from borageshelf.workflows import messages
from tests.model import virtual_time

TO_OWNER: Final = 'owner'
TO_AGENT: Final = 'agent'
# Messages that carry a decision or a proof. The others are delivered without
# a choice.
BRANCH_KINDS: Final = (
    messages.AgentHello,
    messages.Snapshot,
    messages.Ends,
    messages.StartRefused,
    messages.ExecutorGone,
    messages.Welcome,
    messages.Start,
    messages.Stop,
    messages.Acknowledged,
)
_END: Final = object()


class Side:
    """One side of a stream; implements ``channel.Outbox``.

    :param post: puts a message, or None for the end, on its way
    """

    def __init__(
        self,
        loop: virtual_time.VirtualLoop,
        post: abc.Callable[[messages.AnyMessage | None], None],
    ) -> None:
        self._loop = loop
        self._post = post
        self._inbox: list[Any] = []
        self._waiter: asyncio.Future[None] | None = None
        self._closed: asyncio.Future[None] = loop.create_future()
        self.is_closed = False

    def send(self, message: messages.AnyMessage) -> None:
        """Send a message unless the side is closed."""
        if not self.is_closed:
            self._post(message)

    def close(self) -> None:
        """Close the side; the other one learns of it later."""
        if not self.is_closed:
            self.is_closed = True
            if not self._closed.done():
                self._closed.set_result(None)
            self._post(None)

    async def wait_until_closed(self) -> None:
        """Wait until the side is closed."""
        await self._closed

    def deliver(self, message: messages.AnyMessage | None) -> None:
        """Receive a message, or None for the end of the stream."""
        self._inbox.append(_END if message is None else message)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def list_received(self) -> list[messages.AnyMessage | None]:
        """Return the messages that were delivered and not yet taken."""
        return [None if item is _END else item for item in self._inbox]

    async def receive(self) -> abc.AsyncIterator[messages.AnyMessage]:
        """Yield the received messages until the end of the stream."""
        while True:
            while not self._inbox:
                self._waiter = self._loop.create_future()
                await self._waiter
            message = self._inbox.pop(0)
            if message is _END:
                return
            yield message
