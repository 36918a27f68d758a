"""The event loop's helpers."""

import asyncio

import pytest

from borageshelf import loop


def test_cancellation_beside_the_event_is_not_lost() -> None:
    """Guards against a planned stop that waits for a task for ever.

    An entry did not end when its last announcement woke the membership task
    in the same step of the loop in which the task was cancelled.
    """

    async def main() -> None:
        event = asyncio.Event()
        waiting = asyncio.ensure_future(loop.wait_for_event(event, 60_000))
        await asyncio.sleep(0)
        event.set()
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting

    asyncio.run(main())


def test_timeout_without_the_event() -> None:
    """Guards against a wait that ignores its limit."""

    async def main() -> None:
        assert not await loop.wait_for_event(asyncio.Event(), 1)

    asyncio.run(main())
