"""Replies of the owner's core that the requests of callers wait for."""

import asyncio
import itertools

from borageshelf import clock
from borageshelf.workflows import effects


class PendingReplies:
    """Matches replies to the requests that wait for them, by tokens."""

    def __init__(self) -> None:
        self._tokens = itertools.count(1)
        self._futures: dict[int, asyncio.Future[effects.Reply]] = {}

    def expect(self) -> int:
        """Return the token of a reply that ``wait`` is called for."""
        token = next(self._tokens)
        self._futures[token] = asyncio.get_running_loop().create_future()
        return token

    async def wait(self, token: int, deadline_ms: int) -> effects.Reply:
        """Wait for a reply.

        :param deadline_ms: elapsed time; afterwards the outcome is unknown
        """
        left_ms = max(deadline_ms - clock.read_elapsed_ms(), 0)
        try:
            async with asyncio.timeout(left_ms / 1000):
                return await self._futures[token]
        except TimeoutError:
            return effects.Reply((token,), effects.Outcome.UNKNOWN)
        finally:
            del self._futures[token]

    def deliver(self, reply: effects.Reply) -> None:
        """Pass a reply to the requests that wait for it."""
        for token in reply.tokens:
            future = self._futures.get(token)
            if future is not None and not future.done():
                future.set_result(reply)

    def fail_all(self) -> None:
        """Tell all requests that their outcome is unknown."""
        tokens = tuple(self._futures)
        self.deliver(effects.Reply(tokens, effects.Outcome.UNKNOWN))
