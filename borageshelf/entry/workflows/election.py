"""Which entry owns the workflows, and the stream to it.

The owner's key in the store lives under a lease. An entry takes over when
the key is gone, or at once when the owner's process is certainly dead: its
address refuses connections, or another process answers there. Two entries
that try at the same time are told apart by the store; a former owner that
does not know yet can commit nothing.
"""

import asyncio
from collections import abc
import dataclasses
import itertools
import random
from typing import Final

from borageshelf import clock
from borageshelf.entry.workflows import runtime as runtime_module
from borageshelf import errors
from borageshelf import events as events_module
from borageshelf import loop as loop_module
from borageshelf import measurements
from borageshelf.ports import store as store_interface
from borageshelf.workflows import channel
from borageshelf.workflows import effects
from borageshelf.workflows import journal as journal_module
from borageshelf.workflows import messages
from borageshelf.workflows import policy as policy_module
from borageshelf.workflows import records

WATCH_MS: Final = 1_500
STORE_PAUSE_MS: Final = 150
FOLLOW_PAUSE_MS: Final = 100
# An owner whose key the store took away writes it again within a few
# commits; its peers give it this long while its stream is alive.
REANNOUNCE_MS: Final = 700
# Spreads entries that see the key vanish at the same moment.
JITTER_MS: Final = 40
PING_MS: Final = 400
SILENCE_LIMIT_MS: Final = 1_500
NOTICE_TRIES: Final = 8


class LinkBroken(Exception):
    """The stream to the owner ended before the answer.

    :param was_sent: the request may have been carried out
    """

    def __init__(self, was_sent: bool) -> None:
        super().__init__('the stream to the owner has ended')
        self.was_sent = was_sent


class OwnerLink:
    """The stream from this entry to the owner."""

    def __init__(self, epoch: int, outbox: channel.Outbox) -> None:
        self.epoch = epoch
        self.outbox = outbox
        self.heard_at_ms = clock.read_elapsed_ms()
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[messages.RequestAnswer]] = {}

    async def ask(
        self, request: messages.Request, deadline_ms: int
    ) -> messages.RequestAnswer:
        """Forward a request.

        :raises LinkBroken: if the stream ends first
        """
        number = next(self._numbers)
        future: asyncio.Future[messages.RequestAnswer] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[number] = future
        self.outbox.send(_renumber(request, number))
        left_ms = max(deadline_ms - clock.read_elapsed_ms(), 0)
        try:
            async with asyncio.timeout(left_ms / 1000):
                return await future
        except TimeoutError:
            return messages.RequestAnswer(number, effects.Outcome.UNKNOWN)
        finally:
            self._waiting.pop(number, None)

    def note_answer(self, answer: messages.RequestAnswer) -> None:
        """Hand an answer to the request that waits for it."""
        future = self._waiting.get(answer.number)
        if future is not None and not future.done():
            future.set_result(answer)

    def close(self) -> None:
        """Fail the requests that wait."""
        self.outbox.close()
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(LinkBroken(was_sent=True))


@dataclasses.dataclass(frozen=True)
class Identity:
    """This entry."""

    entry_id: str
    boot_id: str
    address: str


class Election:
    """Follows the owner or becomes it.

    :param policy: of the owner that this entry may become
    :param find_configuration: returns version and document in force
    :param offer_configuration: takes a document from another entry
    """

    def __init__(
        self,
        identity: Identity,
        store: store_interface.TransactionalStore,
        policy: policy_module.OwnerPolicy,
        events: events_module.EventLog,
        find_configuration: abc.Callable[[], tuple[int, bytes]],
        offer_configuration: abc.Callable[[bytes], None],
    ) -> None:
        self._identity = identity
        self._store = store
        self.policy = policy
        self._events = events
        self._find_configuration = find_configuration
        self._offer_configuration = offer_configuration
        self.local: runtime_module.OwnerRuntime | None = None
        self.link: OwnerLink | None = None
        self.changed = asyncio.Event()
        self.is_stopping = False
        self._owner: records.OwnerRecord | None = None
        self._owner_revision = 0
        self._absent_since_ms = 0
        self._has_view = False
        self._peers: dict[str, str] = {}
        self._taking_over = False
        self._background = loop_module.TaskGroup()

    @property
    def is_owner_known(self) -> bool:
        """Tell whether requests can be carried out now."""
        return self.local is not None or self.link is not None

    def start(self) -> None:
        """Follow the owner's key."""
        for loop in (self._watch, self._follow_forever):
            self._background.start_lasting(loop, self._events.record_failure)

    async def stop(self) -> None:
        """Stop following."""
        await self._background.stop()

    async def resign(self) -> None:
        """Give up an ownership and take none any more."""
        self.is_stopping = True
        if self.local is not None:
            await self.local.resign()

    def list_entries(self) -> tuple[messages.EntryAddress, ...]:
        """Return the entries that this one knows."""
        own = messages.EntryAddress(
            self._identity.entry_id, self._identity.address
        )
        others = (
            messages.EntryAddress(entry_id, address)
            for entry_id, address in sorted(self._peers.items())
        )
        return (own, *others)

    # Streams from agents and other entries.

    async def serve(
        self,
        incoming: abc.AsyncIterator[messages.AnyMessage],
        outbox: channel.Outbox,
    ) -> None:
        """Handle a stream until it ends."""
        async for message in incoming:
            if isinstance(message, messages.StepDown):
                self._note_epoch(message.epoch)
            elif isinstance(message, messages.AgentHello):
                if self.local is None:
                    outbox.send(self._make_redirect())
                    await asyncio.sleep(FOLLOW_PAUSE_MS / 1000)
                    return
                await self.local.serve_agent(message, incoming, outbox)
                return
            elif isinstance(message, messages.EntryHello):
                self._note_epoch(message.known_epoch)
                if self.local is None:
                    outbox.send(self._make_redirect())
                    await asyncio.sleep(FOLLOW_PAUSE_MS / 1000)
                    return
                await self._serve_entry(message, incoming, outbox)
                return

    async def _serve_entry(
        self,
        hello: messages.EntryHello,
        incoming: abc.AsyncIterator[messages.AnyMessage],
        outbox: channel.Outbox,
    ) -> None:
        local = self.local
        assert local is not None
        self._peers[hello.entry_id] = hello.address
        outbox.send(messages.OwnerHello(local.epoch))
        requests = loop_module.TaskGroup()

        async def answer(request: messages.Request) -> None:
            deadline_ms = clock.read_elapsed_ms() + REQUEST_LIMIT_MS
            outbox.send(await local.answer(request, deadline_ms))

        try:
            async for message in incoming:
                if self.local is not local:
                    return
                if isinstance(message, messages.Ping):
                    outbox.send(messages.Answer(message.sent_at_elapsed_ms))
                    self._compare_version(message.version, outbox)
                elif isinstance(message, messages.Configuration):
                    self._offer_configuration(message.document)
                elif isinstance(message, _REQUESTS):
                    requests.start(answer(message))
        finally:
            if self._peers.get(hello.entry_id) == hello.address:
                del self._peers[hello.entry_id]
            await requests.stop()

    def _compare_version(self, version: int, outbox: channel.Outbox) -> None:
        """Send the configuration to a peer that has an older one."""
        own_version, document = self._find_configuration()
        if own_version > version:
            outbox.send(messages.Configuration(document))

    def _make_redirect(self) -> messages.Redirect:
        epoch = 0
        address = ''
        if self._taking_over:
            address = self._identity.address
        elif self._owner is not None:
            epoch, address = self._owner.epoch, self._owner.address
        return messages.Redirect(
            self._identity.entry_id,
            self._identity.boot_id,
            epoch,
            address,
            self.list_entries(),
        )

    def _note_epoch(self, epoch: int) -> None:
        """Step down if there is a newer owner."""
        if self.local is not None and epoch > self.local.epoch:
            self._events.record_state(
                'a newer owner is known', epoch=epoch, own=self.local.epoch
            )
            self.local.stop()

    # The owner's key.

    async def _watch(self) -> None:
        revision = -1
        while True:
            try:
                if revision < 0:
                    listing = await self._store.scan(records.OWNER_KEY)
                    revision = listing.revision
                    self._note_entry(next(iter(listing.entries), None))
                deadline_ms = clock.read_wall_clock_ms() + WATCH_MS
                answer = await self._store.watch(
                    records.OWNER_KEY, revision, deadline_ms
                )
            except errors.BorageshelfError as error:
                measurements.STORE_FAILURES.labels(error.code.name).inc()
                await asyncio.sleep(STORE_PAUSE_MS / 1000)
                continue
            if answer.compacted:
                revision = -1
                continue
            revision = max(revision, answer.revision)
            for entry in answer.entries:
                self._note_entry(entry)

    def _note_entry(self, entry: store_interface.Entry | None) -> None:
        self._has_view = True
        if entry is None or entry.deleted:
            if not self._absent_since_ms:
                self._absent_since_ms = clock.read_elapsed_ms()
            self._owner_revision = 0
            if self.local is not None:
                self.local.note_key_lost()
        else:
            owner = _decode_owner(entry)
            if owner is None:
                return
            self._absent_since_ms = 0
            self._owner_revision = entry.revision
            if self._owner is None or owner.epoch > self._owner.epoch:
                self._events.record_state(
                    'owner known', owner=owner.entry_id, epoch=owner.epoch
                )
            self._owner = owner
            self._note_epoch(owner.epoch)
        self.changed.set()

    # Following and taking over.

    async def _follow_forever(self) -> None:
        while True:
            is_dead = False
            owner = self._owner
            # An owner that appears from now on is a living one.
            seen_revision = self._owner_revision
            if owner is not None and not self._absent_since_ms:
                if owner.entry_id == self._identity.entry_id:
                    is_dead = owner.boot_id != self._identity.boot_id
                else:
                    is_dead = await self._follow(owner)
            if self._has_view and (is_dead or self._absent_since_ms):
                await self._take_over(seen_revision)
            if not self.changed.is_set():
                await loop_module.wait_for_event(self.changed, FOLLOW_PAUSE_MS)
            self.changed.clear()

    async def _follow(self, owner: records.OwnerRecord) -> bool:
        """Keep a stream to the owner.

        :return: whether the owner's process is certainly dead
        """
        is_dead = False

        async def use(
            incoming: abc.AsyncIterator[messages.AnyMessage],
            outbox: channel.Outbox,
        ) -> None:
            nonlocal is_dead
            outbox.send(
                messages.EntryHello(
                    self._identity.entry_id,
                    self._identity.boot_id,
                    self._identity.address,
                    owner.epoch,
                )
            )
            link = OwnerLink(owner.epoch, outbox)
            pinging = asyncio.ensure_future(self._ping(owner, link))
            try:
                async for message in incoming:
                    link.heard_at_ms = clock.read_elapsed_ms()
                    if isinstance(message, messages.Redirect):
                        is_dead = message.boot_id != owner.boot_id
                        return
                    self._receive(link, message)
            finally:
                pinging.cancel()
                if self.link is link:
                    self.link = None
                    self._events.record_state(
                        'stream to the owner ended', owner=owner.entry_id
                    )
                link.close()

        try:
            await channel.connect(owner.address, use)
        except ConnectionRefusedError:
            return True
        except channel.CONNECTION_ERRORS as error:
            self._events.record_detail(
                'owner not reached', owner=owner.entry_id, error=repr(error)
            )
        return is_dead

    def _receive(self, link: OwnerLink, message: messages.AnyMessage) -> None:
        if isinstance(message, messages.OwnerHello):
            self.link = link
            self.changed.set()
            self._events.record_state(
                'stream to the owner', epoch=message.epoch
            )
        elif isinstance(message, messages.RequestAnswer):
            link.note_answer(message)
        elif isinstance(message, messages.Configuration):
            self._offer_configuration(message.document)

    async def _ping(self, owner: records.OwnerRecord, link: OwnerLink) -> None:
        """Ping the owner; end the stream when it is silent or replaced."""
        offered_version = 0
        while True:
            version, document = self._find_configuration()
            now_ms = clock.read_elapsed_ms()
            link.outbox.send(messages.Ping(now_ms, version))
            if version > offered_version and self.link is link:
                offered_version = version
                link.outbox.send(messages.Configuration(document))
            await asyncio.sleep(PING_MS / 1000)
            now_ms = clock.read_elapsed_ms()
            is_silent = now_ms - link.heard_at_ms > SILENCE_LIMIT_MS
            is_replaced = (
                self._owner is not None and self._owner.epoch > owner.epoch
            )
            absent_ms = self._absent_since_ms
            is_gone = bool(absent_ms) and now_ms - absent_ms > REANNOUNCE_MS
            if is_silent or is_replaced or is_gone:
                link.close()
                return

    async def _take_over(self, seen_revision: int) -> None:
        """Try to become the owner.

        :param seen_revision: revision of the key of the owner that is gone
        """
        if self.is_stopping:
            return
        await asyncio.sleep(random.uniform(0, JITTER_MS) / 1000)
        if self._owner_revision != seen_revision:
            return
        self._taking_over = True
        try:
            runtime = await self._acquire(seen_revision)
        except errors.BorageshelfError as error:
            measurements.STORE_FAILURES.labels(error.code.name).inc()
            self._events.record_state('takeover failed', detail=error.detail)
            return
        finally:
            self._taking_over = False
        if runtime is None:
            return
        if self.is_stopping:
            return
        measurements.TAKEOVERS.inc()
        self.local = runtime
        self.changed.set()
        try:
            await runtime.run()
        finally:
            self.local = None
            self.changed.set()

    async def _acquire(
        self, seen_revision: int
    ) -> runtime_module.OwnerRuntime | None:
        """Become the owner and read the workflows.

        :raises BorageshelfError: ``STORE_UNAVAILABLE``
        """
        entry = await self._store.get(records.HEAD_KEY)
        head = records.HeadRecord()
        head_revision = store_interface.MUST_NOT_EXIST
        if entry is not None:
            head = journal_module.decode(entry.value, records.HeadRecord)
            head_revision = entry.revision
        lease = await self._store.grant_lease(runtime_module.LEASE_TTL_MS)
        own = records.OwnerRecord(
            head.epoch + 1,
            self._identity.entry_id,
            self._identity.boot_id,
            self._identity.address,
        )
        journal = journal_module.Journal(
            self._store, own, head_revision, self._note_trouble
        )
        if not await journal.acquire(seen_revision, lease.lease_id):
            self._events.record_state('another entry took over')
            return None
        self._events.record_state(
            'ownership acquired', epoch=own.epoch, former=head.entry_id
        )
        if head.address not in ('', own.address):
            self._background.start(
                self._notify_former(head.address, own.epoch)
            )
        runtime = runtime_module.OwnerRuntime(
            self._store,
            journal,
            lease.lease_id,
            self.policy,
            self._events,
            self.list_entries,
        )
        while True:
            try:
                await runtime.load()
            except errors.BorageshelfError as error:
                self._note_trouble(error)
                await asyncio.sleep(STORE_PAUSE_MS / 1000)
                continue
            return runtime

    def _note_trouble(self, error: errors.BorageshelfError) -> None:
        measurements.STORE_FAILURES.labels(error.code.name).inc()
        self._events.record_detail(
            'store call failed', code=error.code.name, detail=error.detail
        )

    async def _notify_former(self, address: str, epoch: int) -> None:
        """Tell the former owner, which may reach agents but not the store."""

        async def use(
            incoming: abc.AsyncIterator[messages.AnyMessage],
            outbox: channel.Outbox,
        ) -> None:
            outbox.send(messages.StepDown(epoch))
            await asyncio.sleep(FOLLOW_PAUSE_MS / 1000)

        for _ in range(NOTICE_TRIES):
            try:
                await channel.connect(address, use)
                return
            except ConnectionRefusedError:
                return
            except channel.CONNECTION_ERRORS:
                await asyncio.sleep(PING_MS / 1000)


# A caller's longest wait; the entry that forwards has the real deadline.
REQUEST_LIMIT_MS: Final = 10_000
_REQUESTS: Final = (
    messages.SubmitRequest,
    messages.CancelRequest,
    messages.FindRequest,
    messages.CountRequest,
)


def _renumber(request: messages.Request, number: int) -> messages.Request:
    if isinstance(request, messages.SubmitRequest):
        return messages.SubmitRequest(number, request.workflow, request.queue)
    if isinstance(request, messages.CountRequest):
        return messages.CountRequest(number, request.queue)
    return type(request)(number, request.workflow_id)


def _decode_owner(
    entry: store_interface.Entry,
) -> records.OwnerRecord | None:
    try:
        owner: records.OwnerRecord = journal_module.decode(
            entry.value, records.OwnerRecord
        )
    except errors.BorageshelfError:
        return None
    return owner
