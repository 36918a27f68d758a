"""Streams from the agent to the entries of its region.

An agent keeps one stream to each entry. It connects to the seed addresses of
its settings first, and entries that accept it send the addresses of the
others.
"""

import asyncio
from collections import abc
from typing import Any, Final

import grpclib.client
import grpclib.exceptions

from borageshelf import clock as clock_module
from borageshelf.decisions import retries
from borageshelf import decoding
from borageshelf import loop
from borageshelf.protocol import inner_grpc
from borageshelf.protocol import inner_pb2
from borageshelf import settings

# A stream on which nothing arrives for this many heartbeat or report
# intervals, whichever are longer, is closed, because a network partition does
# not close it.
SILENCE_LIMIT_INTERVALS: Final = 3
HEARTBEAT_INTERVAL_MS: Final = 5_000
DEFAULT_REPORT_INTERVAL_MS: Final = 1000
CONNECT_TIMEOUT_MS: Final = 3000
QUEUED_MESSAGES_LIMIT: Final = 10_000
# Number of failed streams after which an address is given up, unless it is a
# seed; it is used again when an entry lists it.
FAILURES_LIMIT: Final = 8

Handler = abc.Callable[['EntryLink', inner_pb2.EntryMessage], None]


class EntryLink:
    """The stream to one entry, reconnected with backoff until cancelled.

    :ivar entry_id: id from the entry's last welcome, or ''
    :ivar epochs: shards that the entry owns, with their epochs
    :ivar usage_fingerprint: fingerprint of the usage in the last report that
        contained it
    :ivar failures: failed streams since the last welcome
    """

    def __init__(
        self,
        address: str,
        links: 'EntryLinks',
        clock: clock_module.Clock,
    ) -> None:
        self.address = address
        self.entry_id = ''
        self.epochs: dict[int, int] = {}
        self.usage_fingerprint = b''
        self.is_connected = False
        self.report_interval_ms = DEFAULT_REPORT_INTERVAL_MS
        self._links = links
        self._clock = clock
        self._queue: asyncio.Queue[inner_pb2.AgentMessage] | None = None
        self._silence_deadline_ms = 0
        self.failures = 0

    def send(self, **kind: Any) -> bool:
        """Queue a message; return False if it had to be dropped."""
        return self.send_message(inner_pb2.AgentMessage(**kind))

    def send_message(self, message: inner_pb2.AgentMessage) -> bool:
        """Queue a message; return False if it had to be dropped."""
        if self._queue is None:
            return False
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            return False
        return True

    def send_or_drop(self, message: inner_pb2.AgentMessage) -> None:
        """Queue a message, or drop it if there is no room or no stream."""
        self.send_message(message)

    async def run(self) -> None:
        """Open the stream, and open it again when it ends."""
        while True:
            try:
                await self._attach()
            except (
                OSError,
                asyncio.TimeoutError,
                grpclib.exceptions.GRPCError,
                grpclib.exceptions.StreamTerminatedError,
                grpclib.exceptions.ProtocolError,
                decoding.Unreadable,
            ):
                self.failures += 1
            finally:
                self._detach()
            if self._links.remove_if_unreachable(self):
                return
            delay_ms = retries.compute_backoff_ms(
                self.address, max(self.failures, 1)
            )
            await asyncio.sleep(min(delay_ms, 2000) / 1000)

    async def _attach(self) -> None:
        parsed = decoding.parse_address(self.address)
        channel = grpclib.client.Channel(parsed.host, parsed.port)
        try:
            stub = inner_grpc.InnerStub(channel)
            async with stub.Attach.open() as stream:
                hello = self._links.make_hello()
                async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                    await stream.send_message(
                        inner_pb2.AgentMessage(hello=hello)
                    )
                self._queue = asyncio.Queue(QUEUED_MESSAGES_LIMIT)
                self._extend_silence_deadline()
                await self._exchange(stream)
        finally:
            channel.close()

    async def _exchange(self, stream: Any) -> None:
        """Receive, send and report until one of the three ends or fails."""
        tasks = [
            asyncio.ensure_future(self._receive(stream)),
            asyncio.ensure_future(self._send(stream)),
            asyncio.ensure_future(self._report()),
        ]
        try:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _receive(self, stream: Any) -> None:
        async for message in stream:
            self._extend_silence_deadline()
            if message.WhichOneof('kind') == 'welcome':
                self._handle_welcome(message.welcome)
            if self.is_connected:
                self._links.handle(self, message)

    async def _send(self, stream: Any) -> None:
        assert self._queue is not None
        while True:
            message = await self._queue.get()
            await stream.send_message(message)

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(self.report_interval_ms / 1000)
            if self._clock() > self._silence_deadline_ms:
                raise TimeoutError(
                    f'no message from entry {self.address} before the deadline'
                )
            if self.is_connected:
                self.send(report=self._links.make_report(self))

    def _handle_welcome(self, welcome: inner_pb2.Welcome) -> None:
        self.entry_id = welcome.entry_id
        self.is_connected = True
        self.failures = 0
        self.report_interval_ms = welcome.report_interval_ms
        self._links.open_new(welcome.entries)

    def _extend_silence_deadline(self) -> None:
        period_ms = max(self.report_interval_ms, HEARTBEAT_INTERVAL_MS)
        limit_ms = SILENCE_LIMIT_INTERVALS * period_ms
        self._silence_deadline_ms = self._clock() + limit_ms

    def _detach(self) -> None:
        self._queue = None
        self.is_connected = False
        self.usage_fingerprint = b''
        self.epochs.clear()
        self._links.handle_detached(self)


class EntryLinks:
    """All streams of one agent.

    :param seeds: addresses that are never given up
    :param make_hello: returns the first message of a stream
    :param make_report: returns the periodic report for one entry
    :param handle: called with each message of an entry
    :param handle_detached: called when a stream has ended
    """

    def __init__(
        self,
        seeds: abc.Iterable[settings.Address],
        make_hello: abc.Callable[[], inner_pb2.Hello],
        make_report: abc.Callable[[EntryLink], inner_pb2.Report],
        handle: Handler,
        handle_detached: abc.Callable[[EntryLink], None],
        clock: clock_module.Clock,
    ) -> None:
        self.make_hello = make_hello
        self.make_report = make_report
        self.handle = handle
        self.handle_detached = handle_detached
        self._clock = clock
        self._seeds = {str(seed) for seed in seeds}
        self._links: dict[str, EntryLink] = {}
        self._tasks = loop.TaskGroup()

    def start(self) -> None:
        """Open streams to the seeds."""
        for address in self._seeds:
            self._open(address)

    async def stop(self) -> None:
        """Close all streams."""
        await self._tasks.stop()

    def open_new(self, entries: abc.Iterable[inner_pb2.EntryAddress]) -> None:
        """Open streams to entries that have none yet."""
        for entry in entries:
            self._open(entry.address)

    def list_connected(self) -> list[EntryLink]:
        """Return the streams on which the entry has sent its welcome."""
        return [link for link in self._links.values() if link.is_connected]

    def find_owner(self, shard: int) -> EntryLink | None:
        """Return the stream to the entry with the shard's highest epoch."""
        owners = [
            link for link in self.list_connected() if shard in link.epochs
        ]
        return max(owners, key=lambda link: link.epochs[shard], default=None)

    def remove_if_unreachable(self, link: EntryLink) -> bool:
        """Remove an address that fails too often, except a seed.

        :return: whether the address was removed
        """
        if link.address in self._seeds or link.failures < FAILURES_LIMIT:
            return False
        self._links.pop(link.address, None)
        return True

    def _open(self, address: str) -> None:
        if address in self._links:
            return
        link = EntryLink(address, self, self._clock)
        self._links[address] = link
        self._tasks.start(link.run())
