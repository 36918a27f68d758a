"""An owner whose followers are lost with their machines."""

import asyncio
import contextlib

from borageshelf.entry.workflows import peers
from tests import election_support

# Of timers on a busy machine.
MARGIN_MS = 1_000


def test_owner_forgets_an_entry_that_is_lost() -> None:
    """Guards against an owner that hands over to a machine without power.

    It counted as the largest entry for as long as its connection was open.
    """

    async def check() -> None:
        async with contextlib.AsyncExitStack() as stack:
            owner, _ = await election_support.start_pair(stack, (1_000, 4_000))
            assert len(owner.election.list_entries()) == 2
            owner.proxy.hold()
            await election_support.wait_until(
                lambda: len(owner.election.list_entries()) == 1,
                peers.SILENCE_LIMIT_MS + MARGIN_MS,
            )
            assert owner.election._peers.find_largest_millicores() == 0

    asyncio.run(check())
