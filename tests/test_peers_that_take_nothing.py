"""Streams and calls end in time although their peers take nothing any more.

A machine without power is played by a proxy that holds everything back and
has the small windows of a network.
"""

import asyncio
from collections import abc
import contextlib
import os
from typing import Any, Final

import pytest

from bench import free_ports
from borageshelf.agent.workflows import owner_link
from borageshelf import clock
from borageshelf.entry.workflows import election
from borageshelf import events
from borageshelf.ports import http_client
from borageshelf.workflows import channel
from borageshelf.workflows import messages
from borageshelf.workflows import transmission
from standins import memory_store
from tests import election_support
from tests import loopback
from tests.soak import proxies

HOST: Final = '127.0.0.1'
# More than the proxy, the kernel and the transport take together.
LARGE: Final = messages.Configuration(b'x' * 8_000_000)
SMALL: Final = messages.Ping(0, 0)
# Of timers on a busy machine.
MARGIN_MS: Final = 1_000
STALLED_MS: Final = transmission.STALL_LIMIT_MS + MARGIN_MS
CLOSED_MS: Final = transmission.CLOSE_LIMIT_MS + MARGIN_MS
Incoming = abc.AsyncIterator[messages.AnyMessage]


class Side:
    """What one side of a stream does: it sends, and ends in some way.

    :ivar has_begun: set once the stream is open and a small message is queued
    :ivar ended_at_ms: elapsed time at which the handler ended, 0 before
    """

    def __init__(self, returns_on: asyncio.Event) -> None:
        self._returns_on = returns_on
        self.has_begun = asyncio.Event()
        self.outbox: channel.Outbox | None = None
        self.task: asyncio.Task[Any] | None = None
        self.ended_at_ms = 0

    async def handle(self, incoming: Incoming, outbox: channel.Outbox) -> None:
        """Send a message and read the stream until told to return."""
        self.outbox = outbox
        self.task = asyncio.current_task()
        outbox.send(SMALL)
        self.has_begun.set()
        reading = asyncio.ensure_future(read_all(incoming))
        returning = asyncio.ensure_future(self._returns_on.wait())
        try:
            await asyncio.wait(
                {reading, returning}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            self.ended_at_ms = clock.read_elapsed_ms()
            reading.cancel()
            returning.cancel()


async def read_all(incoming: Incoming) -> None:
    """Read a stream to its end."""
    with contextlib.suppress(*channel.CONNECTION_ERRORS):
        async for _ in incoming:
            pass


@contextlib.asynccontextmanager
async def serve_behind_proxy(
    handle: Any,
) -> abc.AsyncIterator[tuple[str, proxies.Proxy]]:
    """Serve streams behind a proxy with small windows."""
    (port,) = free_ports.find_free_ports(1)
    server = channel.make_server(channel.Service(handle))
    await server.start(HOST, port)
    proxy = proxies.Proxy(f'{HOST}:{port}', has_small_windows=True)
    try:
        yield await proxy.start(), proxy
    finally:
        server.close()
        await proxy.stop()


def count_connections() -> int:
    """Return the number of open sockets of this process."""
    found = 0
    for descriptor in os.listdir('/proc/self/fd'):
        with contextlib.suppress(OSError):
            found += os.readlink(f'/proc/self/fd/{descriptor}').startswith(
                'socket:'
            )
    return found


@pytest.mark.parametrize(
    ('how', 'limit_ms'),
    [
        ('stalls', STALLED_MS),
        ('closes', CLOSED_MS),
        ('returns', CLOSED_MS),
        ('is cancelled', CLOSED_MS),
    ],
)
@pytest.mark.parametrize('is_client', [True, False])
def test_stream_whose_peer_takes_nothing_ends(
    how: str, limit_ms: int, is_client: bool
) -> None:
    """Guards against streams that stay with a lost machine (review/6).

    grpclib waits for the connection to take more, also to reset a stream that
    is cancelled, and to send the end of one that is over.
    """

    async def check() -> None:
        returns_on, never = asyncio.Event(), asyncio.Event()
        sender, other = Side(returns_on), Side(never)
        client, server = (sender, other) if is_client else (other, sender)
        async with serve_behind_proxy(server.handle) as (address, proxy):
            connecting = asyncio.ensure_future(
                channel.connect(address, client.handle)
            )
            await sender.has_begun.wait()
            await asyncio.sleep(0.1)
            proxy.hold()
            opened = count_connections()
            assert sender.outbox is not None
            sender.outbox.send(LARGE)
            await asyncio.sleep(0.1)
            begun_ms = clock.read_elapsed_ms()
            if how == 'closes':
                sender.outbox.close()
            elif how == 'returns':
                returns_on.set()
            elif how == 'is cancelled':
                ended = connecting if is_client else sender.task
                assert ended is not None
                ended.cancel()
            ended_task = connecting if is_client else sender.task
            assert ended_task is not None
            done, _ = await asyncio.wait({ended_task}, timeout=10)
            assert done
            assert clock.read_elapsed_ms() - begun_ms <= limit_ms
            assert sender.ended_at_ms
            # The sender's end of the connection is gone, too; the proxy keeps
            # both of its own.
            await election_support.wait_until(
                lambda: count_connections() < opened,
                transmission.LINGER_LIMIT_MS + MARGIN_MS,
            )
            proxy.release()
            connecting.cancel()
            await asyncio.gather(connecting, return_exceptions=True)

    asyncio.run(check())


def test_slow_peer_gets_a_large_message_whole() -> None:
    """Guards against a limit on the whole time that a message takes."""

    async def check() -> int:
        received: list[int] = []

        async def receive(incoming: Incoming, _: channel.Outbox) -> None:
            async for message in incoming:
                if isinstance(message, messages.Configuration):
                    received.append(len(message.document))
                    return

        async def send(incoming: Incoming, outbox: channel.Outbox) -> None:
            outbox.send(SMALL)
            await asyncio.sleep(0.1)
            outbox.send(LARGE)
            await read_all(incoming)

        async with serve_behind_proxy(receive) as (address, proxy):
            connecting = asyncio.ensure_future(channel.connect(address, send))
            # 4 KB at a time; 8 MB take more than twice the limit.
            proxy.delay_ms = 2
            await asyncio.wait({connecting}, timeout=30)
            connecting.cancel()
            await asyncio.gather(connecting, return_exceptions=True)
        return received[0]

    begun_ms = clock.read_elapsed_ms()
    assert asyncio.run(check()) == len(LARGE.document)
    took_ms = clock.read_elapsed_ms() - begun_ms
    assert took_ms > 2 * transmission.STALL_LIMIT_MS


def test_client_without_a_first_message_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against streams of machines that are lost as they connect."""
    monkeypatch.setattr(channel, 'FIRST_MESSAGE_LIMIT_MS', 200)

    async def check() -> None:
        async def say_nothing(incoming: Incoming, _: channel.Outbox) -> None:
            await read_all(incoming)

        async with serve_behind_proxy(say_nothing) as (address, _):
            await asyncio.wait_for(channel.connect(address, say_nothing), 2)

    asyncio.run(check())


def test_follower_leaves_an_owner_that_takes_nothing() -> None:
    """Guards against entries that stay with a lost owner (review/6)."""

    async def check() -> None:
        async with contextlib.AsyncExitStack() as stack:
            owner, follower = await election_support.start_pair(
                stack, (1_000, 1_000)
            )
            link = follower.election.owner_link
            owner.proxy.hold()
            follower.document.version += 1
            await election_support.wait_until(
                lambda: follower.election.owner_link is not link,
                election.OWNER_SILENCE_LIMIT_MS
                + election.PING_INTERVAL_MS
                + CLOSED_MS,
            )

    asyncio.run(check())


def test_follower_stops_although_its_owner_takes_nothing() -> None:
    """Guards against entries that outlive their SIGTERM (review/6)."""

    async def check() -> None:
        async with contextlib.AsyncExitStack() as stack:
            owner, follower = await election_support.start_pair(
                stack, (1_000, 1_000)
            )
            owner.proxy.hold()
            follower.document.version += 1
            await asyncio.sleep(0.5)
            async with asyncio.timeout(CLOSED_MS / 1000):
                await follower.election.stop()

    asyncio.run(check())


def test_agent_leaves_an_owner_that_takes_nothing() -> None:
    """Guards against agents that stay with a lost owner (review/6)."""

    async def check() -> None:
        sessions: list[int] = []

        async def welcome(incoming: Incoming, outbox: channel.Outbox) -> None:
            sessions.append(clock.read_elapsed_ms())
            outbox.send(messages.Welcome(1, 1, 1_000, ()))
            await read_all(incoming)

        async with contextlib.AsyncExitStack() as stack:
            first, proxy = await stack.enter_async_context(
                serve_behind_proxy(welcome)
            )
            second, _ = await stack.enter_async_context(
                serve_behind_proxy(welcome)
            )
            link = owner_link.OwnerLink(
                [first, second],
                memory_store.MemoryStore(),
                lambda: messages.AgentHello('vm', 'boot', 'zone', 'i-1'),
                events.EventLog(
                    'agent', 'vm', os.open(os.devnull, os.O_WRONLY)
                ),
            )
            link.driver = StubDriver()  # type: ignore[assignment]
            running = asyncio.ensure_future(link.run())
            await election_support.wait_until(
                lambda: len(sessions) == 1, 5_000
            )
            proxy.hold()
            link.send(LARGE)
            await election_support.wait_until(
                lambda: len(sessions) == 2,
                owner_link.OWNER_SILENCE_LIMIT_MS
                + owner_link.REPORT_INTERVAL_MS
                + owner_link.ROUND_PAUSE_MS
                + channel.CONNECT_TIMEOUT_MS
                + CLOSED_MS,
            )
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

    asyncio.run(check())


class StubDriver:
    """Takes what the link passes on, and reports nothing."""

    def begin_session(self, welcome: messages.Welcome) -> None:
        """Do nothing."""

    def end_session(self) -> None:
        """Do nothing."""

    def send_report(self) -> None:
        """Do nothing."""


def test_call_to_a_server_that_takes_nothing_ends() -> None:
    """Guards against calls to the store or an executor that never end."""

    async def check() -> None:
        async def ignore(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.read()
            writer.close()

        server = await asyncio.start_server(ignore, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        proxy = proxies.Proxy(f'{HOST}:{port}', has_small_windows=True)
        address = await proxy.start()
        proxy.hold()
        client = http_client.HttpClient(f'http://{address}', 2)
        before = count_connections()
        begun_ms = clock.read_elapsed_ms()
        with pytest.raises(http_client.RequestFailed):
            await client.post('/', LARGE.document, 300, 1_000)
        assert clock.read_elapsed_ms() - begun_ms <= 300 + MARGIN_MS
        await asyncio.sleep(0.3)
        # The proxy's side of the connection stays open.
        assert count_connections() <= before + 1
        proxy.release()
        await proxy.stop()
        server.close()

    loopback.run(check())
