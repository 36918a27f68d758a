"""Membership of entries, kept in the store under leases.

Each entry keeps one key with its address and the shards that it owns. The
expiry of its lease only tells the other entries when they may try to take
over; safety does not depend on it. Each entry makes one renewal call every
``RENEW_INTERVAL_MS`` and holds one long-polling watch, independent of the
number of targets.
"""

import asyncio
from collections import abc
import dataclasses
from typing import Final

import msgspec

from borageshelf import clock
from borageshelf.decisions import retries
from borageshelf import decoding
from borageshelf import errors
from borageshelf import loop
from borageshelf.model import numbers
from borageshelf.ports import store as store_interface

KEY_PREFIX: Final = 'entries/'
LEASE_TTL_MS: Final = 10_000
RENEW_INTERVAL_MS: Final = 3_000
WATCH_TIMEOUT_MS: Final = 30_000
# A single failure may be just a lost answer.
MIN_OUTAGE_FAILURES: Final = 2


@dataclasses.dataclass(frozen=True)
class Member:
    """Announcement of one entry, stored under its key.

    :param address: address of the internal protocol
    :param shards: epoch of each owned shard
    :param leaving: set during a planned stop
    :param config_version: configuration in force in the entry
    """

    entry_id: str
    boot_id: str
    address: str
    data_centre: str
    shards: dict[int, numbers.WholeNumber] = dataclasses.field(
        default_factory=dict
    )
    leaving: bool = False
    config_version: numbers.WholeNumber = 0


class Membership:
    """Maintains the key of this entry and follows those of the others.

    :param on_change: called after the view of the members has changed
    """

    def __init__(
        self,
        store: store_interface.Store,
        member: Member,
        on_change: abc.Callable[[], None],
    ) -> None:
        self._store = store
        self._own = member
        self._on_change = on_change
        self._members: dict[str, Member] = {}
        self._lease: store_interface.Lease | None = None
        self._revision = store_interface.MUST_NOT_EXIST
        self._published: Member | None = None
        self._own_changed = asyncio.Event()
        self._own_changed.set()
        self._background = loop.TaskGroup()
        self._has_view = False
        self._consecutive_failures = 0

    @property
    def is_store_reachable(self) -> bool:
        """Whether fewer than ``MIN_OUTAGE_FAILURES`` tries failed in a row."""
        return self._consecutive_failures < MIN_OUTAGE_FAILURES

    @property
    def has_view(self) -> bool:
        """Whether the members have been read since the start."""
        return self._has_view

    def list_members(self) -> tuple[Member, ...]:
        """Return all live entries, this one included, by id."""
        members = {**self._members, self._own.entry_id: self._own}
        return tuple(members[key] for key in sorted(members))

    def find_owner(self, shard: int) -> Member | None:
        """Return the live entry that owns a shard with the highest epoch."""
        owners = [
            member for member in self.list_members() if shard in member.shards
        ]
        return max(
            owners, key=lambda member: member.shards[shard], default=None
        )

    def start(self) -> None:
        """Announce this entry and follow the others."""
        self._background.start(self._maintain_key())
        self._background.start(self._watch_members())

    async def stop(self) -> None:
        """Withdraw the announcement by revoking the lease."""
        await self._background.stop()
        if self._lease is None:
            return
        try:
            await self._store.revoke_lease(self._lease.lease_id)
        except errors.BorageshelfError:
            # The lease expires by itself.
            return

    def announce(self, shards: dict[int, int], leaving: bool) -> None:
        """Announce the epochs of the owned shards and a planned stop."""
        self._own = dataclasses.replace(
            self._own, shards=dict(shards), leaving=leaving
        )
        self._own_changed.set()

    def announce_configuration_version(self, config_version: int) -> None:
        """Announce the configuration in force, for ``publish --wait``."""
        self._own = dataclasses.replace(
            self._own, config_version=config_version
        )
        self._own_changed.set()

    async def remove(self, member: Member) -> None:
        """Delete the key of an entry whose process has ended.

        If the process is alive after all, it writes its key again. Its shards
        may have moved by then; this is safe because their epochs fence it.

        :raises BorageshelfError: if a call of the store fails
        """
        key = KEY_PREFIX + member.entry_id
        entry = await self._store.get(key)
        found = _decode(entry) if entry is not None else None
        if entry is None or found is None or found.boot_id != member.boot_id:
            return
        await self._store.delete(key, entry.revision)

    async def _maintain_key(self) -> None:
        """Renew the lease and write the key when it has changed."""
        while True:
            try:
                await self._renew_lease()
                await self._publish()
                self._consecutive_failures = 0
            except errors.BorageshelfError as error:
                self._consecutive_failures += 1
                if error.code is errors.LEASE_LOST:
                    self._lease = None
                self._published = None
                delay_ms = retries.compute_backoff_ms(
                    self._own.entry_id, self._consecutive_failures
                )
                await asyncio.sleep(min(delay_ms, RENEW_INTERVAL_MS) / 1000)
                continue
            await loop.wait_for_event(self._own_changed, RENEW_INTERVAL_MS)

    async def _renew_lease(self) -> None:
        now_ms = clock.read_wall_clock_ms()
        if self._lease is None:
            self._lease = await self._store.grant_lease(LEASE_TTL_MS)
            self._published = None
            return
        renew_at_ms = self._lease.deadline_ms - LEASE_TTL_MS
        if now_ms >= renew_at_ms + RENEW_INTERVAL_MS // 2:
            self._lease = await self._store.renew_lease(self._lease.lease_id)

    async def _publish(self) -> None:
        """Write the key of this entry, replacing that of an earlier boot."""
        self._own_changed.clear()
        member = self._own
        if self._published == member or self._lease is None:
            return
        key = KEY_PREFIX + member.entry_id
        value = msgspec.json.encode(member)
        if self._published is None:
            entry = await self._store.get(key)
            self._revision = entry.revision if entry else 0
        self._revision = await self._store.put(
            key, value, self._revision, self._lease.lease_id
        )
        self._published = member

    async def _watch_members(self) -> None:
        """Watch the members; list them again if revisions are missing."""
        failures = 0
        revision = -1
        while True:
            try:
                if revision < 0:
                    revision = await self._reload_members()
                deadline_ms = clock.read_wall_clock_ms() + WATCH_TIMEOUT_MS
                answer = await self._store.watch(
                    KEY_PREFIX, revision, deadline_ms
                )
                failures = 0
            except errors.BorageshelfError:
                failures += 1
                delay_ms = retries.compute_backoff_ms(
                    self._own.entry_id, failures
                )
                await asyncio.sleep(min(delay_ms, RENEW_INTERVAL_MS) / 1000)
                continue
            if answer.compacted:
                revision = -1
                continue
            revision = max(revision, answer.revision)
            for entry in answer.entries:
                self._apply(entry)
            if answer.entries:
                self._on_change()

    async def _reload_members(self) -> int:
        entries = await self._store.list(KEY_PREFIX)
        self._members.clear()
        for entry in entries:
            self._apply(entry)
        self._has_view = True
        self._on_change()
        return max((entry.revision for entry in entries), default=0)

    def _apply(self, entry: store_interface.Entry) -> None:
        entry_id = entry.key.removeprefix(KEY_PREFIX)
        if entry_id == self._own.entry_id:
            if entry.deleted:
                self._published = None
                self._own_changed.set()
            return
        member = None if entry.deleted else _decode(entry)
        if member is None:
            self._members.pop(entry_id, None)
        else:
            self._members[entry_id] = member


def _decode(entry: store_interface.Entry) -> Member | None:
    """Return the member of a key, or None if its value is unreadable."""
    try:
        member = decoding.decode_json(entry.value, Member)
        decoding.parse_address(member.address)
    except decoding.Unreadable:
        return None
    return member
