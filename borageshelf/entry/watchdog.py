"""Detects quickly that the process of another entry has ended.

Each entry keeps one idle stream to the next entry in the order of the ids. If
the stream breaks and the address refuses connections, its process has probably
ended. Its key is then deleted, so that the other entries take over its
shards without waiting for the lease to expire; an entry that goes on writes it
again. A VM that is lost or partitioned refuses no connection; its shards move
when the lease expires. Safety depends on neither.
"""

import asyncio
from typing import Final

from borageshelf.entry import membership as membership_module
from borageshelf.entry import peers as peers_module
from borageshelf import errors
from borageshelf import telemetry as telemetry_module

CHECK_INTERVAL_MS: Final = 500


class Watchdog:
    """Observes the next entry in the ring of entries."""

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
        """Observe until cancelled; check the ring at a fixed interval."""
        observation: asyncio.Task[bool] | None = None
        observed_member: membership_module.Member | None = None
        try:
            while True:
                next_member = self._find_next_member()
                if _get_identity(next_member) != _get_identity(
                    observed_member
                ):
                    if observation is not None:
                        observation.cancel()
                    observed_member, observation = next_member, None
                if observed_member is not None and observation is None:
                    observation = asyncio.ensure_future(
                        self._peers.observe_process(observed_member.address)
                    )
                await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
                if observation is not None and observation.done():
                    is_gone = observation.result()
                    observation = None
                    if is_gone and next_member is not None:
                        await self._remove_member(next_member)
        finally:
            if observation is not None:
                observation.cancel()

    def _find_next_member(self) -> membership_module.Member | None:
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

    async def _remove_member(self, member: membership_module.Member) -> None:
        try:
            await self._membership.remove(member)
        except errors.BorageshelfError as error:
            # The key is removed later, when its lease expires.
            self._telemetry.count(
                telemetry_module.STORE_ERRORS, error.code.name
            )
            return
        self._telemetry.log_state('dead entry removed', entry=member.entry_id)


def _get_identity(
    member: membership_module.Member | None,
) -> tuple[str, str] | None:
    if member is None:
        return None
    return member.entry_id, member.boot_id
