"""gRPC server whose connections count against the budget of the process.

Peers open one stream on a connection and send their first message at once. A
connection without a first message is closed like an unfinished request;
afterwards the limits of ``channel`` hold.
"""

import asyncio
from collections import abc
import functools
from typing import Any, Final

import grpclib.protocol
import grpclib.server
import h2.events

from borageshelf import clock
from borageshelf.decisions import request_budget
from borageshelf import decoding
from borageshelf.http_server import budget

# An idle connection was measured to add 17 KB to a process.
CONNECTION_BYTES: Final = 24_000
# The first message has a few hundred bytes.
FIRST_MESSAGE_LIMIT_BYTES: Final = 65_536
# Answers to frames, such as pings, that the peer does not take. Messages are
# not written while a peer takes nothing.
UNTAKEN_ANSWERS_LIMIT_BYTES: Final = 262_144
# Frames without a part of a message, such as pings, changes of settings and
# resets, that a peer may send in an interval. They cost processor time.
CONTROL_FRAMES_LIMIT: Final = 1_000
CONTROL_INTERVAL_MS: Final = 1_000
# Received bytes are processed in parts of this size, between which the limits
# are checked.
PART_BYTES: Final = 8_192
# Framing of the largest message, and what follows it.
FRAMING_BYTES: Final = 1_000_000
_CONTROL_EVENTS: Final = (
    h2.events.PingReceived,
    h2.events.PriorityUpdated,
    h2.events.RemoteSettingsChanged,
    h2.events.SettingsAcknowledged,
    h2.events.StreamReset,
    h2.events.WindowUpdated,
)


class GuardedProtocol(grpclib.protocol.H2Protocol):
    """A connection of a peer.

    :param first_message_limit_ms: time until the first message
    :param streams_limit: open streams of a connection, each of which has
        buffers of its own
    """

    def __init__(
        self,
        unguarded: Any,
        account: budget.RequestBudget,
        first_message_limit_ms: int,
        streams_limit: int,
    ) -> None:
        super().__init__(
            unguarded.handler, unguarded.config, unguarded.h2_config
        )
        self._account = account
        self._first_message_limit_ms = first_message_limit_ms
        self._streams_limit = streams_limit
        self._transport: asyncio.Transport | None = None
        self._messages = 0
        self._unread_bytes = 0
        self._control_frames = 0
        self._control_interval_end_ms = 0
        self._progress_at_ms = 0
        self._deadline_ms = 0
        self.held_bytes = 0

    def connection_made(self, transport: Any) -> None:
        """Take in the connection if there is room."""
        super().connection_made(transport)
        processors: Any = self.processor.processors
        for kind in _CONTROL_EVENTS:
            processors[kind] = functools.partial(
                self._process_control, processors[kind]
            )
        processors[h2.events.DataReceived] = self._process_data
        self._transport = transport
        self._progress_at_ms = clock.read_elapsed_ms()
        self._deadline_ms = self._progress_at_ms + self._first_message_limit_ms
        if not self._account.can_accept():
            transport.abort()
        elif not self._account.admit(self, CONNECTION_BYTES):
            self._account.count('full')
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """Process received bytes within the limits."""
        if len(data) <= PART_BYTES:
            self._receive(data)
            return
        for start in range(0, len(data), PART_BYTES):
            self._receive(data[start : start + PART_BYTES])

    def _receive(self, data: bytes) -> None:
        """Count bytes that belong to no whole message yet."""
        assert self._transport is not None
        if self._transport.is_closing():
            return
        if self.connection.messages_received > self._messages:
            self._messages = self.connection.messages_received
            self._unread_bytes = self._deadline_ms = 0
        self._unread_bytes += len(data)
        limit_bytes = decoding.SIZE_LIMIT_BYTES + FRAMING_BYTES
        if not self._messages:
            limit_bytes = FIRST_MESSAGE_LIMIT_BYTES
        if (
            self._unread_bytes > limit_bytes
            or self._control_frames > CONTROL_FRAMES_LIMIT
            or len(self.processor.streams) > self._streams_limit
        ):
            self._abort()
            return
        self._account.account(self, CONNECTION_BYTES + self._unread_bytes)
        if not self._transport.is_closing():
            super().data_received(data)

    def _process_control(
        self, process: abc.Callable[[Any], None], event: Any
    ) -> None:
        """Count a frame that carries no part of a message."""
        assert self._transport is not None
        now_ms = clock.read_elapsed_ms()
        if now_ms >= self._control_interval_end_ms:
            self._control_interval_end_ms = now_ms + CONTROL_INTERVAL_MS
            self._control_frames = 0
        self._control_frames += 1
        unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes > UNTAKEN_ANSWERS_LIMIT_BYTES:
            self._abort()
        process(event)

    def _process_data(self, event: Any) -> None:
        if event.data or event.stream_ended:
            self.processor.process_data_received(event)
        else:
            self._process_control(self.processor.process_data_received, event)

    def _abort(self) -> None:
        assert self._transport is not None
        if not self._transport.is_closing():
            self._account.count('inner')
            self._transport.abort()

    def connection_lost(self, error: BaseException | None) -> None:
        """Release what the connection held."""
        self._account.forget(self)
        super().connection_lost(error)

    def describe(self, number: int, now_ms: int) -> request_budget.Connection:
        """Return what the decision needs to know."""
        state = request_budget.State.UNFINISHED
        deadline_ms = self._deadline_ms
        if self.connection.messages_received:
            state = request_budget.State.COMPLETE
            deadline_ms = 0
        return request_budget.Connection(
            number, state, self.held_bytes, self._progress_at_ms, deadline_ms
        )

    def postpone(self, pause_ms: int) -> None:
        """Move the deadline by a pause of this process."""
        self._deadline_ms += pause_ms

    def shed(self, cause: request_budget.Cause) -> str:
        """Close the connection."""
        assert self._transport is not None
        self._transport.abort()
        if cause is request_budget.Cause.DEADLINE:
            return 'first message deadline'
        return cause


class GuardedServer(grpclib.server.Server):
    """A server whose connections are guarded.

    :param handlers: see ``grpclib.server.Server``
    """

    def __init__(
        self,
        handlers: Any,
        account: budget.RequestBudget,
        first_message_limit_ms: int,
        streams_limit: int = 1,
        **options: Any,
    ) -> None:
        super().__init__(handlers, **options)
        self._account = account
        self._first_message_limit_ms = first_message_limit_ms
        self._streams_limit = streams_limit

    def _protocol_factory(self) -> GuardedProtocol:
        return GuardedProtocol(
            super()._protocol_factory(),
            self._account,
            self._first_message_limit_ms,
            self._streams_limit,
        )
