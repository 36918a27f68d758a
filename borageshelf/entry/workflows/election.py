"""Elects the entry that owns the workflows and keeps a stream to it.

The owner's key in the store is bound to a lease. An entry takes over when the
key is gone, or at once when the owner's process seems to be dead: its address
refuses connections, or another process answers there. If several
entries try to take over at the same time, a transaction of the store lets one
of them succeed. A former owner that has not noticed the takeover cannot
commit anything.

An entry that is cut off from the store learns of a new owner from the other
entries and goes on to forward requests to it.
"""

import asyncio
from collections import abc
import dataclasses
import random
from typing import Final

from borageshelf import clock
from borageshelf.decisions import owner_preference
from borageshelf.entry.workflows import evacuations
from borageshelf.entry.workflows import forwarded_requests
from borageshelf.entry.workflows import owner_stream
from borageshelf.entry.workflows import peers
from borageshelf.entry.workflows import runtime
from borageshelf import errors
from borageshelf import events
from borageshelf import loop
from borageshelf import measurements
from borageshelf.ports import inventory
from borageshelf.ports import store as store_interface
from borageshelf.workflows import channel
from borageshelf.workflows import hand_over
from borageshelf.workflows import journal
from borageshelf.workflows import messages
from borageshelf.workflows import policy
from borageshelf.workflows import records

WATCH_TIMEOUT_MS: Final = 1_500
# An entry that was replaced waits for the end of an owner's lease for so long,
# and as long as that one's address refuses.
DOUBT_MS: Final = 10_000
STORE_RETRY_PAUSE_MS: Final = 150
POLL_INTERVAL_MS: Final = 100
# An owner whose key the store has removed writes it again within a few
# commits. Entries with a working stream to the owner wait this long for it.
KEY_RESTORE_GRACE_MS: Final = 700
# Random delay that spreads the takeover attempts of entries that see the key
# vanish at the same moment.
TAKEOVER_JITTER_MS: Final = 40
PING_INTERVAL_MS: Final = 400
# The last commit of an owner that is gone is at least as old as the first look
# at the head, so a look does not wait until the owner is given up.
HEAD_SILENCE_LIMIT_MS: Final = 500
OWNER_SILENCE_LIMIT_MS: Final = 1_500
STEP_DOWN_TRIES: Final = 8
# An owner renews its lease every 500 ms, and a slow store takes 320 ms.
STORE_SILENCE_LIMIT_MS: Final = 1_200
# A search for the owner asks up to all entries.
SEARCH_INTERVAL_MS: Final = 500
# More takeovers than can happen between two readings of the owner's key.
UNSEEN_TAKEOVERS_LIMIT: Final = 1_000
# Agents and entries connect to a new owner within a second.
HAND_OVER_CHECK_INTERVAL_MS: Final = 1_500


@dataclasses.dataclass(frozen=True)
class Identity:
    """Identity of this entry.

    :param processor_millicores: processors that the entry may use
    """

    entry_id: str
    boot_id: str
    address: str
    processor_millicores: int = 0


class Election:
    """Follows the current owner, or takes over from an owner that is gone.

    :param owner_policy: used if this entry becomes the owner
    :param get_configuration: returns the version and the document in force
    :param apply_configuration: called with each document that another entry
        sends
    :param listing: the platform's list of VMs, if there is one
    :param evacuated: follows the evacuations, if the deployment uses them
    :ivar local_owner: the owner if it runs in this process
    :ivar owner_link: the stream to the owner if it is another entry
    :ivar owner_changed: set when the owner or its reachability changes
    """

    def __init__(
        self,
        identity: Identity,
        store: store_interface.TransactionalStore,
        owner_policy: policy.OwnerPolicy,
        event_log: events.EventLog,
        get_configuration: abc.Callable[[], tuple[int, bytes]],
        apply_configuration: abc.Callable[[bytes], None],
        listing: inventory.Inventory | None = None,
        evacuated: evacuations.Evacuations | None = None,
    ) -> None:
        self._identity = identity
        self._store = store
        self.owner_policy = owner_policy
        self._event_log = event_log
        self._get_configuration = get_configuration
        self._apply_configuration = apply_configuration
        self._listing = listing
        self._evacuated = evacuated
        # Until then a refused connection does not count as the end of one.
        self._doubt_deadline_ms = 0
        self.local_owner: runtime.OwnerRuntime | None = None
        self.owner_link: owner_stream.OwnerLink | None = None
        self.owner_changed = asyncio.Event()
        self.is_stopping = False
        self._owner: records.OwnerRecord | None = None
        self._owner_revision = 0
        # Revision of the head, and the elapsed time at which it was first
        # seen. As long as it stays, no commit of an owner has taken effect.
        self._head_revision = 0
        self._head_seen_at_ms = 0
        self._key_absent_since_ms = 0
        self._has_read_key = False
        self._peers = peers.Peers(event_log)
        # Known to an entry that follows the owner.
        self._largest_millicores = 0
        self._known_addresses: tuple[str, ...] = ()
        self._is_store_lost = False
        self._is_taking_over = False
        self._background = loop.TaskGroup()

    @property
    def is_owner_known(self) -> bool:
        """Tell whether requests can reach an owner now."""
        return self.local_owner is not None or self.owner_link is not None

    def start(self) -> None:
        """Start to watch the owner's key and to follow the owner."""
        for run_loop in (
            self._watch_owner_key,
            self._follow_or_take_over,
            self._hand_over_to_larger_entry,
            self._peers.close_silent,
        ):
            self._background.start_with_restarts(
                run_loop, self._event_log.record_failure
            )

    async def stop(self) -> None:
        """Stop the background tasks."""
        await self._background.stop()

    async def resign(self) -> None:
        """Give up the ownership, if any, and never take over again."""
        self.is_stopping = True
        if self.local_owner is not None:
            await self.local_owner.resign()

    def list_entries(self) -> tuple[messages.EntryAddress, ...]:
        """Return the addresses of this entry and of connected entries."""
        own_address = messages.EntryAddress(
            self._identity.entry_id, self._identity.address
        )
        return (own_address, *self._peers.list_addresses())

    # Streams from agents and other entries.

    async def serve(
        self,
        incoming: abc.AsyncIterator[messages.AnyMessage],
        outbox: channel.Outbox,
    ) -> None:
        """Serve a stream from an agent or another entry until it ends."""
        async for message in incoming:
            if isinstance(message, messages.StepDown):
                self._learn_owner(message)
                self._step_down_if_newer(message.epoch)
            elif isinstance(message, messages.AgentHello):
                if self.local_owner is None:
                    outbox.send(self._make_redirect())
                    await asyncio.sleep(POLL_INTERVAL_MS / 1000)
                    return
                await self.local_owner.serve_agent(message, incoming, outbox)
                return
            elif isinstance(message, messages.EntryHello):
                self._step_down_if_newer(message.known_epoch)
                if self.local_owner is None:
                    outbox.send(self._make_redirect())
                    await asyncio.sleep(POLL_INTERVAL_MS / 1000)
                    return
                await self._serve_entry(message, incoming, outbox)
                return

    async def _serve_entry(
        self,
        hello: messages.EntryHello,
        incoming: abc.AsyncIterator[messages.AnyMessage],
        outbox: channel.Outbox,
    ) -> None:
        local_owner = self.local_owner
        assert local_owner is not None
        peer = self._peers.add(hello, outbox)
        outbox.send(
            messages.OwnerHello(
                local_owner.epoch, self.list_entries(), clock.read_elapsed_ms()
            )
        )
        requests = forwarded_requests.ForwardedRequests(local_owner, outbox)
        try:
            async for message in incoming:
                peer.last_received_at_ms = clock.read_elapsed_ms()
                if self.local_owner is not local_owner:
                    return
                if isinstance(message, messages.Ping):
                    outbox.send(
                        messages.Answer(
                            message.sent_at_elapsed_ms,
                            largest_millicores=(
                                self._peers.find_largest_millicores()
                            ),
                            store_silent_ms=local_owner.store_silent_ms,
                            head_revision=local_owner.head_revision,
                            answered_at_elapsed_ms=clock.read_elapsed_ms(),
                        )
                    )
                    self._send_newer_configuration(message.version, outbox)
                elif isinstance(message, messages.Configuration):
                    self._apply_configuration(message.document)
                elif isinstance(message, forwarded_requests.REQUEST_TYPES):
                    requests.start(message)
        finally:
            self._peers.remove(peer)
            await requests.stop()

    def _send_newer_configuration(
        self, version: int, outbox: channel.Outbox
    ) -> None:
        """Send the configuration to a peer with an older version."""
        own_version, document = self._get_configuration()
        if own_version > version:
            outbox.send(messages.Configuration(document))

    def _make_redirect(self) -> messages.Redirect:
        owner = self._owner
        if self._is_taking_over:
            owner = records.OwnerRecord(0, '', '', self._identity.address)
        if owner is None:
            owner = records.OwnerRecord(0, '', '', '')
        return messages.Redirect(
            self._identity.entry_id,
            self._identity.boot_id,
            owner.epoch,
            owner.address,
            self.list_entries(),
            owner.entry_id,
            owner.boot_id,
        )

    def _learn_owner(
        self, message: messages.StepDown | messages.Redirect
    ) -> None:
        """Follow a newer owner that another entry knows.

        The store may be out of reach. A takeover remains bound to what has
        been read from it.
        """
        if not message.owner_id or (
            self._owner is not None and message.epoch <= self._owner.epoch
        ):
            return
        owner = records.OwnerRecord(
            message.epoch,
            message.owner_id,
            message.owner_boot_id,
            message.address,
        )
        self._event_log.record_state(
            'owner known from an entry',
            owner=owner.entry_id,
            epoch=owner.epoch,
        )
        self._owner = owner
        self._key_absent_since_ms = 0
        self.owner_changed.set()

    def _step_down_if_newer(self, epoch: int) -> None:
        """End the local ownership if the epoch is of a newer owner."""
        if self.local_owner is not None and epoch > self.local_owner.epoch:
            self._event_log.record_state(
                'a newer owner is known',
                epoch=epoch,
                own=self.local_owner.epoch,
            )
            self.local_owner.stop()

    # The owner's key.

    async def _watch_owner_key(self) -> None:
        revision = -1
        while True:
            try:
                if revision < 0:
                    listing = await self._store.scan(records.OWNER_KEY)
                    revision = listing.revision
                    self._apply_owner_key(
                        journal.find_owner_entry(listing.entries)
                    )
                deadline_ms = clock.read_wall_clock_ms() + WATCH_TIMEOUT_MS
                answer = await self._store.watch(
                    records.OWNER_KEY, revision, deadline_ms
                )
            except errors.BorageshelfError as error:
                measurements.STORE_FAILURES.labels(error.code.name).inc()
                self._is_store_lost = True
                await asyncio.sleep(STORE_RETRY_PAUSE_MS / 1000)
                continue
            self._is_store_lost = False
            if answer.compacted:
                revision = -1
                continue
            revision = max(revision, answer.revision)
            changed = journal.find_owner_entry(answer.entries)
            if changed is not None:
                self._apply_owner_key(changed)

    def _apply_owner_key(self, entry: store_interface.Entry | None) -> None:
        self._has_read_key = True
        self._owner_revision = 0
        owner: records.OwnerRecord | None = None
        if entry is not None and not entry.deleted:
            self._owner_revision = entry.revision
            owner = self._decode_owner(entry)
        if owner is None:
            # A record of another writer is replaced like an absent one. No
            # lease removes it.
            if not self._key_absent_since_ms:
                self._key_absent_since_ms = clock.read_elapsed_ms()
            if self.local_owner is not None:
                self.local_owner.restore_owner_key()
        else:
            self._key_absent_since_ms = 0
            if self._owner is None or owner.epoch > self._owner.epoch:
                self._event_log.record_state(
                    'owner known', owner=owner.entry_id, epoch=owner.epoch
                )
            if self._owner is None or owner.epoch >= self._owner.epoch:
                self._owner = owner
            self._step_down_if_newer(owner.epoch)
        self.owner_changed.set()

    def _decode_owner(
        self, entry: store_interface.Entry
    ) -> records.OwnerRecord | None:
        try:
            return journal.decode_owner(entry.value)
        except errors.BorageshelfError as error:
            self._event_log.record_state(
                'owner not readable',
                revision=entry.revision,
                detail=error.detail,
            )
            return None

    # The head.

    def _note_head(self, revision: int) -> None:
        """Note since when the head has a revision."""
        if revision != self._head_revision:
            self._head_revision = revision
            self._head_seen_at_ms = clock.read_elapsed_ms()

    async def _look_at_head(self) -> None:
        """Note the revision of the head, when the owner may have gone."""
        try:
            entry = await self._store.get(records.HEAD_KEY)
        except errors.BorageshelfError:
            return
        if entry is not None:
            self._note_head(entry.revision)

    # Following and taking over.

    async def _follow_or_take_over(self) -> None:
        next_search_ms = 0
        while True:
            is_owner_dead = False
            owner = self._owner
            # An owner that writes its key after this point is alive, so the
            # takeover is bound to this revision.
            seen_revision = self._owner_revision
            if owner is not None and not self._key_absent_since_ms:
                if owner.entry_id == self._identity.entry_id:
                    is_owner_dead = owner.boot_id != self._identity.boot_id
                else:
                    is_owner_dead = await self._follow_owner(owner)
            now_ms = clock.read_elapsed_ms()
            if (
                self._is_store_lost
                and self._owner is owner
                and now_ms >= next_search_ms
            ):
                await self._find_owner_by_entries()
                next_search_ms = now_ms + SEARCH_INTERVAL_MS
                is_owner_dead = is_owner_dead and self._owner is owner
            if self._has_read_key and (
                is_owner_dead or self._key_absent_since_ms
            ):
                await self._take_over(seen_revision)
            if not self.owner_changed.is_set():
                await loop.wait_for_event(self.owner_changed, POLL_INTERVAL_MS)
            self.owner_changed.clear()

    async def _find_owner_by_entries(self) -> None:
        """Ask the known entries for the owner while the store is lost.

        A stream to an entry that turns out to be the owner is kept.
        """
        known_epoch = self._owner.epoch if self._owner is not None else 0
        addresses = list(self._known_addresses)
        random.shuffle(addresses)
        for address in addresses:
            if not self._is_store_lost or self.local_owner is not None:
                return
            if address == self._identity.address:
                continue
            await self._follow_owner(
                records.OwnerRecord(known_epoch, '', '', address)
            )
            if self._owner is not None and self._owner.epoch > known_epoch:
                return

    async def _follow_owner(self, owner: records.OwnerRecord) -> bool:
        """Keep a stream to the owner until it ends.

        :return: whether another entry should take over at once: the owner's
            process is certainly dead, or it has lost the store
        """
        is_owner_dead = False
        is_owner_cut = False

        async def run_stream(
            incoming: abc.AsyncIterator[messages.AnyMessage],
            outbox: channel.Outbox,
        ) -> None:
            nonlocal is_owner_cut, is_owner_dead
            outbox.send(
                messages.EntryHello(
                    self._identity.entry_id,
                    self._identity.boot_id,
                    self._identity.address,
                    owner.epoch,
                    self._identity.processor_millicores,
                )
            )
            link = owner_stream.OwnerLink(owner.epoch, outbox)
            ping_task = asyncio.ensure_future(self._ping_owner(owner, link))
            try:
                async for message in incoming:
                    link.last_received_at_ms = clock.read_elapsed_ms()
                    if isinstance(message, messages.Redirect):
                        is_owner_dead = message.boot_id != owner.boot_id
                        self._learn_owner(message)
                        return
                    self._handle_owner_message(link, message)
            finally:
                is_owner_cut = link.is_owner_cut
                ping_task.cancel()
                self._background.start(self._look_at_head())
                if self.owner_link is link:
                    self.owner_link = None
                    self._event_log.record_state(
                        'stream to the owner ended', owner=owner.entry_id
                    )
                link.close()

        try:
            await channel.connect(owner.address, run_stream)
        except ConnectionRefusedError:
            return self._is_refusal_believed()
        except channel.CONNECTION_ERRORS as error:
            self._event_log.record_detail(
                'owner not reached', owner=owner.entry_id, error=repr(error)
            )
            is_owner_dead = await self._is_unacquired(owner)
        return is_owner_dead or is_owner_cut

    def _is_refusal_believed(self) -> bool:
        """Tell whether a refused connection counts as the owner's end.

        The path may refuse while the owner goes on. Takeovers are fenced, but
        two entries that refuse each other would replace each other by turns.
        """
        now_ms = clock.read_elapsed_ms()
        if now_ms >= self._doubt_deadline_ms:
            return True
        self._doubt_deadline_ms = now_ms + DOUBT_MS
        return False

    async def _is_unacquired(self, owner: records.OwnerRecord) -> bool:
        """Tell whether another writer has written an owner's record.

        An acquisition replaces the record and the head together.
        """
        try:
            entry = await self._store.get(records.HEAD_KEY)
            if entry is None:
                return True
            head = journal.decode(entry.value, records.HeadRecord)
        except errors.BorageshelfError:
            return False
        return bool(head.epoch < owner.epoch)

    def _handle_owner_message(
        self, link: owner_stream.OwnerLink, message: messages.AnyMessage
    ) -> None:
        if isinstance(message, messages.OwnerHello):
            link.epoch = max(link.epoch, message.epoch)
            link.note_clock(message.elapsed_ms)
            self._known_addresses = tuple(
                entry.address for entry in message.entries
            )
            self.owner_link = link
            self.owner_changed.set()
            self._event_log.record_state(
                'stream to the owner', epoch=message.epoch
            )
        elif isinstance(message, messages.RequestAnswer):
            link.deliver_answer(message)
        elif isinstance(message, messages.Configuration):
            self._apply_configuration(message.document)
        elif isinstance(message, messages.Answer):
            link.note_clock(message.answered_at_elapsed_ms)
            self._largest_millicores = message.largest_millicores
            self._note_head(message.head_revision)
            if message.store_silent_ms > STORE_SILENCE_LIMIT_MS:
                self._background.start(
                    self._close_if_owner_is_cut(link, message.head_revision)
                )

    async def _close_if_owner_is_cut(
        self, link: owner_stream.OwnerLink, head_revision: int
    ) -> None:
        """Close the stream to an owner whose commits do not reach the store.

        If only the answers to its commits are lost, the head has changed.

        :param head_revision: revision of the head that the owner knows
        """
        try:
            head = await self._store.get(records.HEAD_KEY)
        except errors.BorageshelfError:
            return
        if head is not None and head.revision == head_revision:
            link.is_owner_cut = True
            link.close()

    async def _ping_owner(
        self, owner: records.OwnerRecord, link: owner_stream.OwnerLink
    ) -> None:
        """Ping the owner, and close the stream once it is no longer useful.

        That is when the owner is silent or replaced, or when its key stays
        absent.
        """
        offered_version = 0
        pause_watch = loop.PauseWatch(PING_INTERVAL_MS)
        while True:
            version, document = self._get_configuration()
            now_ms = clock.read_elapsed_ms()
            link.outbox.send(messages.Ping(now_ms, version))
            if version > offered_version and self.owner_link is link:
                offered_version = version
                link.outbox.send(messages.Configuration(document))
            await asyncio.sleep(PING_INTERVAL_MS / 1000)
            now_ms = clock.read_elapsed_ms()
            (link.last_received_at_ms,) = pause_watch.excuse(
                [link.last_received_at_ms]
            )
            silent_ms = now_ms - link.last_received_at_ms
            is_silent = silent_ms > OWNER_SILENCE_LIMIT_MS
            if silent_ms > HEAD_SILENCE_LIMIT_MS:
                self._background.start(self._look_at_head())
            is_replaced = (
                self._owner is not None and self._owner.epoch > link.epoch
            )
            absent_since_ms = self._key_absent_since_ms
            is_key_gone = (
                bool(absent_since_ms)
                # Without the store nobody can take over.
                and not self._is_store_lost
                and now_ms - absent_since_ms > KEY_RESTORE_GRACE_MS
            )
            if is_silent or is_replaced or is_key_gone:
                self._event_log.record_state(
                    'stream to the owner closed',
                    owner=owner.entry_id,
                    silent_ms=silent_ms,
                    is_replaced=is_replaced,
                    is_key_gone=is_key_gone,
                )
                link.close()
                return

    async def _take_over(self, seen_revision: int) -> None:
        """Try to become the owner.

        :param seen_revision: revision of the owner's key at which the owner
            was found to be gone; if it has changed, there is a newer owner
            and nothing is done
        """
        if self.is_stopping:
            return
        delay_ms = owner_preference.compute_takeover_delay_ms(
            self._identity.processor_millicores, self._largest_millicores
        )
        jitter_ms = random.uniform(0, TAKEOVER_JITTER_MS)
        await asyncio.sleep((delay_ms + jitter_ms) / 1000)
        if self._owner_revision != seen_revision:
            return
        self._is_taking_over = True
        try:
            owner_runtime = await self._acquire_ownership(seen_revision)
        except errors.BorageshelfError as error:
            measurements.STORE_FAILURES.labels(error.code.name).inc()
            self._event_log.record_state(
                'takeover failed', detail=error.detail
            )
            return
        finally:
            self._is_taking_over = False
        if owner_runtime is None:
            return
        if self.is_stopping:
            return
        measurements.TAKEOVERS.inc()
        self.local_owner = owner_runtime
        self.owner_changed.set()
        try:
            await owner_runtime.run()
        finally:
            if not owner_runtime.is_resigned:
                # Another entry may have taken a refusal for its end.
                self._doubt_deadline_ms = clock.read_elapsed_ms() + DOUBT_MS
            self.local_owner = None
            self.owner_changed.set()
            # The others take over when their streams end.
            self._peers.close_all()

    async def _hand_over_to_larger_entry(self) -> None:
        """Resign in favour of a larger entry if the fleet needs one."""
        while True:
            await asyncio.sleep(HAND_OVER_CHECK_INTERVAL_MS / 1000)
            local_owner = self.local_owner
            if local_owner is None or self.is_stopping:
                continue
            largest_millicores = self._peers.find_largest_millicores()
            if not owner_preference.should_hand_over(
                self._identity.processor_millicores,
                largest_millicores,
                local_owner.target_count,
            ):
                continue
            self._event_log.record_state(
                'ownership handed over',
                epoch=local_owner.epoch,
                targets=local_owner.target_count,
                own_millicores=self._identity.processor_millicores,
                largest_millicores=largest_millicores,
            )
            self._largest_millicores = largest_millicores
            await local_owner.resign()

    async def _acquire_ownership(
        self, seen_revision: int
    ) -> runtime.OwnerRuntime | None:
        """Become the owner and load the workflows.

        :return: None if another entry was faster
        :raises BorageshelfError: ``STORE_UNAVAILABLE``
        """
        entry = await self._store.get(records.HEAD_KEY)
        head = records.HeadRecord()
        head_revision = store_interface.MUST_NOT_EXIST
        if entry is not None:
            head = self._decode_head(entry)
            head_revision = entry.revision
        self._note_head(head_revision)
        head_seen_at_ms = self._head_seen_at_ms
        lease = await self._store.grant_lease(runtime.LEASE_TTL_MS)
        # A record of another writer may have a later epoch than the head.
        known_epoch = self._owner.epoch if self._owner is not None else 0
        own_record = records.OwnerRecord(
            max(head.epoch, known_epoch) + 1,
            self._identity.entry_id,
            self._identity.boot_id,
            self._identity.address,
        )
        handed_over = hand_over.HandOver(head, head_seen_at_ms)
        owner_journal = journal.Journal(
            self._store,
            own_record,
            head_revision,
            self._record_store_error,
            handed_over,
        )
        confirmed_at_ms = clock.read_elapsed_ms()
        if not await owner_journal.acquire(seen_revision, lease.lease_id):
            self._event_log.record_state('another entry took over')
            return None
        self._event_log.record_state(
            'ownership acquired', epoch=own_record.epoch, former=head.entry_id
        )
        if head.address not in ('', own_record.address):
            self._background.start(
                self._notify_former_owner(head.address, own_record)
            )
        owner_runtime = runtime.OwnerRuntime(
            self._store,
            owner_journal,
            lease.lease_id,
            self.owner_policy,
            self._event_log,
            self.list_entries,
            confirmed_at_ms,
            head_seen_at_ms,
            head.is_resigned,
            handed_over,
            self._listing,
            self._evacuated,
        )
        now_ms = clock.read_elapsed_ms()
        self._event_log.record_detail(
            'former grants',
            epoch=own_record.epoch,
            lasting_left_ms=owner_runtime.former_deadlines.lasting_ms - now_ms,
            other_left_ms=owner_runtime.former_deadlines.other_ms - now_ms,
            named_targets=len(handed_over.former_deadlines),
        )
        while True:
            try:
                await owner_runtime.load()
            except errors.BorageshelfError as error:
                self._record_store_error(error)
                await asyncio.sleep(STORE_RETRY_PAUSE_MS / 1000)
                continue
            return owner_runtime

    def _decode_head(self, entry: store_interface.Entry) -> records.HeadRecord:
        """Return the stored head, or a substitute for one that is unreadable.

        An epoch that no former owner can have used keeps their orders fenced.
        """
        try:
            head: records.HeadRecord = journal.decode(
                entry.value, records.HeadRecord
            )
            return head
        except errors.BorageshelfError as error:
            former = self._owner
            if former is None:
                former = records.OwnerRecord(
                    records.estimate_epoch(clock.read_wall_clock_ms()),
                    '',
                    '',
                    '',
                )
            self._event_log.record_state(
                'head not readable', detail=error.detail, epoch=former.epoch
            )
            return records.HeadRecord(
                former.epoch + UNSEEN_TAKEOVERS_LIMIT,
                former.entry_id,
                former.boot_id,
                former.address,
            )

    def _record_store_error(self, error: errors.BorageshelfError) -> None:
        measurements.STORE_FAILURES.labels(error.code.name).inc()
        self._event_log.record_detail(
            'store call failed', code=error.code.name, detail=error.detail
        )

    async def _notify_former_owner(
        self, address: str, owner: records.OwnerRecord
    ) -> None:
        """Tell the former owner to step down.

        It may be cut off from the store, where it would notice the takeover,
        while it still reaches agents.
        """

        async def run_stream(
            incoming: abc.AsyncIterator[messages.AnyMessage],
            outbox: channel.Outbox,
        ) -> None:
            outbox.send(
                messages.StepDown(
                    owner.epoch, owner.entry_id, owner.boot_id, owner.address
                )
            )
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)

        for _ in range(STEP_DOWN_TRIES):
            try:
                await channel.connect(address, run_stream)
                return
            except ConnectionRefusedError:
                return
            except channel.CONNECTION_ERRORS:
                await asyncio.sleep(PING_INTERVAL_MS / 1000)
