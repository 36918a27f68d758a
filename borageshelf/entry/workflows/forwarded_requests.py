"""Requests of callers that another entry forwards to the owner."""

import functools
from typing import Final

from borageshelf import clock
from borageshelf.entry.workflows import runtime
from borageshelf import loop
from borageshelf.workflows import channel
from borageshelf.workflows import messages

# Upper bound on how long a caller waits; the entry that forwards the request
# enforces the caller's own deadline.
TIMEOUT_MS: Final = 10_000
REQUEST_TYPES: Final = (
    messages.SubmitRequest,
    messages.CancelRequest,
    messages.FindRequest,
    messages.CountRequest,
)


class ForwardedRequests:
    """Answers the requests that arrive on the stream of one entry."""

    def __init__(
        self, local_owner: runtime.OwnerRuntime, outbox: channel.Outbox
    ) -> None:
        self._local_owner = local_owner
        self._outbox = outbox
        self._tasks = loop.TaskGroup()

    def start(self, request: messages.Request) -> None:
        """Begin to answer a request."""
        deadline_ms = find_deadline_ms(request, clock.read_elapsed_ms())
        self._tasks.start(self._answer(request, deadline_ms))

    async def stop(self) -> None:
        """Give up the requests that are not answered yet."""
        await self._tasks.stop()

    async def _answer(
        self, request: messages.Request, deadline_ms: int
    ) -> None:
        self._outbox.send(await self._local_owner.answer(request, deadline_ms))


@functools.singledispatch
def find_deadline_ms(request: messages.Request, now_ms: int) -> int:
    """Return the elapsed time until which a request is worth answering.

    :param now_ms: elapsed time of its arrival
    """
    return now_ms + TIMEOUT_MS


@find_deadline_ms.register
def _(request: messages.SubmitRequest, now_ms: int) -> int:
    limit_ms = now_ms + TIMEOUT_MS
    # An entry of an earlier version states no deadline.
    return min(request.deadline_elapsed_ms or limit_ms, limit_ms)
