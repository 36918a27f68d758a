"""Asks the platform which executors are up.

A VM that is lost, cut off or suspended looks the same to the owner: silent. An
executor that has crashed looks the same to its agent as one whose address
refuses connections for a while. The platform's list tells them apart.
"""

import asyncio
from collections import abc
from typing import Final

from borageshelf import clock
from borageshelf import events
from borageshelf import loop
from borageshelf import measurements
from borageshelf.ports import inventory
from borageshelf.workflows import end_proofs
from borageshelf.workflows import owner

INTERVAL_MS: Final = 400
# While an executor may have gone, its tasks wait for the list.
URGENT_INTERVAL_MS: Final = 100


class PresenceWatch:
    """Reads the platform's list while the owner needs it.

    :param listing: None if the deployment has no such list
    :param process_change: called after each reading
    """

    def __init__(
        self,
        core: owner.Owner,
        listing: inventory.Inventory | None,
        event_log: events.EventLog,
        process_change: abc.Callable[[], None],
    ) -> None:
        self._core = core
        self._listing = listing
        self._event_log = event_log
        self._process_change = process_change
        self._is_wanted = asyncio.Event()

    def begin(self) -> None:
        """Let the owner wait for readings; called before ``run``."""
        if self._listing is not None:
            self._core.await_listings()

    def request_reading(self) -> None:
        """Read the list at once."""
        self._is_wanted.set()

    async def run(self) -> None:
        """Read the list whenever it is needed, until cancelled."""
        listing = self._listing
        while listing is not None:
            self._is_wanted.clear()
            if self._core.needs_listing(clock.read_moment()):
                await self._read(listing)
            if self._core.is_listing_urgent(clock.read_moment()):
                await asyncio.sleep(URGENT_INTERVAL_MS / 1000)
            else:
                await loop.wait_for_event(self._is_wanted, INTERVAL_MS)

    async def _read(self, listing: inventory.Inventory) -> None:
        requested_at = clock.read_moment()
        try:
            up = await listing.list_up_executors()
        except inventory.InventoryUnavailable as error:
            measurements.INVENTORY_FAILURES.inc()
            self._core.note_failed_listing(requested_at)
            self._event_log.record_state(
                'list of VMs not read', detail=str(error)
            )
            return
        self._core.apply_listing(
            end_proofs.Reading(
                up.ids, requested_at.elapsed_ms, up.is_one_page
            ),
            clock.read_moment(),
        )
        self._process_change()
