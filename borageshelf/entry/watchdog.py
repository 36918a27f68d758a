"""Notices at once when the process of another entry has died.

Each entry keeps one idle stream to the next entry in the order of the ids.
When the stream breaks and the address refuses connections, no process is
left there, and the entry's key is deleted, so that all others take its
shards over without waiting for its lease. A VM that is lost or cut off
refuses nothing; there the lease decides. Neither is needed for safety.
"""

import asyncio
from typing import Final

from borageshelf.entry import membership as membership_module
from borageshelf.entry import peers as peers_module
from borageshelf import errors
from borageshelf import telemetry as telemetry_module

CHECK_INTERVAL_MS: Final = 500


class Watchdog:
    """Observes the next entry of the ring."""

    def __init__(
        self,
        entry_id: str,
        membership: membership_module.Membership,
        peers: peers_module.Peers,
        telemetry: telemetry_module.Telemetry,
    ) -> None:
        self._entry_id = entry_id
        self._membership = membership
        self._peers = peers
        self._telemetry = telemetry

    async def run(self) -> None:
        """Observe until cancelled; the ring is looked at every pause."""
        observing: asyncio.Task[bool] | None = None
        observed: membership_module.Member | None = None
        try:
            while True:
                following = self._find_next()
                if _identify(following) != _identify(observed):
                    if observing is not None:
                        observing.cancel()
                    observed, observing = following, None
                if observed is not None and observing is None:
                    observing = asyncio.ensure_future(
                        self._peers.observe_process(observed.address)
                    )
                await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
                if observing is not None and observing.done():
                    is_gone = observing.result()
                    observing = None
                    if is_gone and following is not None:
                        await self._remove(following)
        finally:
            if observing is not None:
                observing.cancel()

    def _find_next(self) -> membership_module.Member | None:
        """Return the entry that follows this one in the ring."""
        others = [
            member
            for member in self._membership.list_members()
            if member.entry_id != self._entry_id
        ]
        later = [
            member for member in others if member.entry_id > self._entry_id
        ]
        return next(iter(later or others), None)

    async def _remove(self, member: membership_module.Member) -> None:
        try:
            await self._membership.remove(member)
        except errors.BorageshelfError as error:
            # The lease ends by itself, only later.
            self._telemetry.count(
                telemetry_module.STORE_ERRORS, error.code.name
            )
            return
        self._telemetry.log_state('dead entry removed', entry=member.entry_id)


def _identify(
    member: membership_module.Member | None,
) -> tuple[str, str] | None:
    if member is None:
        return None
    return member.entry_id, member.boot_id
