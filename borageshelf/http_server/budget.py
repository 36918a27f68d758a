"""What the connections of a process may hold together.

The account is in memory and starts empty with the process.
"""

import asyncio
import collections
import dataclasses
import resource
from typing import Final, Protocol

from borageshelf import clock
from borageshelf.decisions import request_budget
from borageshelf.http_server import reporting
from borageshelf.http_server import turns
from borageshelf import loop

# Connections beyond the limit that are answered with a refusal at a time.
REFUSALS: Final = 4
SWEEP_INTERVAL_MS: Final = 250
# Looking at all connections takes milliseconds, so it is not done for each
# arrival while none of them can be closed.
RETRY_INTERVAL_MS: Final = 50
LOG_INTERVAL_MS: Final = 1_000
# Descriptors for files, for the streams to entries and agents, and for calls
# to the store, executors and the list of VMs.
RESERVED_DESCRIPTORS: Final = 700
MIN_CONNECTIONS: Final = 16
# An idle connection was measured to add 2 KB to a process, and one with 22
# header lines less than 12 KB.
CONNECTION_BYTES: Final = 12_000


class Settings(Protocol):
    """Settings of a process that the budget follows.

    They are described in ``node_settings.NodeSettings``.
    """

    @property
    def unfinished_requests_limit_bytes(self) -> int: ...

    @property
    def connections_limit(self) -> int: ...

    @property
    def headers_limit_ms(self) -> int: ...

    @property
    def body_stall_limit_ms(self) -> int: ...

    @property
    def answer_stall_limit_ms(self) -> int: ...


@dataclasses.dataclass(frozen=True)
class Deadlines:
    """Times that a caller gets.

    :param headers_ms: from the first byte of a request to the end of its
        headers
    :param body_ms: for each progress of a body
    :param answer_ms: for each progress in taking an answer
    """

    headers_ms: int
    body_ms: int
    answer_ms: int


class Connection(Protocol):
    """A connection that counts against the budget.

    :ivar held_bytes: bytes last accounted
    """

    held_bytes: int

    def describe(self, number: int, now_ms: int) -> request_budget.Connection:
        """Account what has changed with time, and describe the connection."""

    def postpone(self, pause_ms: int) -> None:
        """Move deadline and last progress by a pause of this process."""

    def shed(self, cause: request_budget.Cause) -> str:
        """Close the connection.

        :return: what was exceeded; '' for an idle connection at its end
        """


class RequestBudget:
    """Account of all connections of a process.

    :param sink: what ``reporting`` reports to
    :ivar deadlines: times that callers get
    :ivar turns: the work on what they send
    """

    def __init__(self, settings: Settings, sink: object) -> None:
        self._sink = sink
        self._connections: dict[Connection, None] = {}
        self._closing: dict[Connection, None] = {}
        self._held_bytes = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._logged_at_ms = clock.read_elapsed_ms()
        self._sweep_due_ms = clock.read_elapsed_ms() + SWEEP_INTERVAL_MS
        self._retry_at_ms = 0
        self.turns = turns.Turns()
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Use other limits from now on."""
        self.deadlines = Deadlines(
            settings.headers_limit_ms,
            settings.body_stall_limit_ms,
            settings.answer_stall_limit_ms,
        )
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        available = max(descriptors - RESERVED_DESCRIPTORS, MIN_CONNECTIONS)
        self._limits = request_budget.Limits(
            settings.unfinished_requests_limit_bytes,
            min(settings.connections_limit, available),
        )

    def can_accept(self) -> bool:
        """Tell whether a connection may be accepted, if only to refuse it.

        Those that are being closed keep their descriptors until the next
        iteration of the event loop, and many are accepted in one.
        """
        limit = self._limits.connections
        limit += limit // request_budget.SPARE_DIVISOR + REFUSALS
        if len(self._connections) + len(self._closing) < limit:
            return True
        self.count('full')
        return False

    def can_linger(self) -> bool:
        """Tell whether a refused connection may be kept for a while.

        Some places are left for those that are closed at once.
        """
        spare = self._limits.connections // request_budget.SPARE_DIVISOR
        return len(self._closing) <= spare // 2 + REFUSALS // 2

    def admit(
        self, connection: Connection, held_bytes: int = CONNECTION_BYTES
    ) -> bool:
        """Take in a connection, closing others for it if necessary.

        :param held_bytes: what it holds by itself
        :return: whether there is room
        """
        is_over = len(self._connections) >= self._limits.connections
        if is_over and clock.read_elapsed_ms() >= self._retry_at_ms:
            self._enforce(arriving=1)
        if self._is_full():
            self._closing[connection] = None
            return False
        connection.held_bytes = held_bytes
        self._connections[connection] = None
        self._held_bytes += held_bytes
        return True

    def account(self, connection: Connection, held_bytes: int) -> None:
        """Replace the bytes that a connection holds; enforce the limits."""
        self.adjust(connection, held_bytes)
        if self._held_bytes <= self._limits.held_bytes:
            return
        now_ms = clock.read_elapsed_ms()
        if now_ms >= self._retry_at_ms:
            self._enforce()
        elif connection in self._connections and request_budget.can_close(
            connection.describe(0, now_ms), now_ms
        ):
            self._close(connection, request_budget.Cause.MEMORY)

    def adjust(self, connection: Connection, held_bytes: int) -> None:
        """Replace the bytes that a connection holds, and enforce no limit."""
        if connection in self._connections:
            self._held_bytes += held_bytes - connection.held_bytes
            connection.held_bytes = held_bytes

    def release(self, connection: Connection) -> None:
        """Stop to account a connection that is being closed."""
        if connection in self._connections:
            del self._connections[connection]
            self._held_bytes -= connection.held_bytes
            self._closing[connection] = None

    def forget(self, connection: Connection) -> None:
        """Remove a connection that has ended."""
        self.release(connection)
        self._closing.pop(connection, None)

    def count(self, cause: str) -> None:
        """Count a refusal or a closed connection by its cause."""
        reporting.count(self._sink, cause)
        self._counts[cause] += 1

    async def run(self) -> None:
        """Close connections at their deadlines until cancelled."""
        while True:
            now_ms = clock.read_elapsed_ms()
            self._sweep_due_ms = now_ms + SWEEP_INTERVAL_MS
            await asyncio.sleep(SWEEP_INTERVAL_MS / 1000)
            now_ms = clock.read_elapsed_ms()
            self._enforce()
            reporting.gauge(
                self._sink, self._held_bytes, len(self._connections)
            )
            self._log(now_ms)

    def _is_full(self) -> bool:
        return (
            len(self._connections) >= self._limits.connections
            or self._held_bytes >= self._limits.held_bytes
        )

    def _enforce(self, arriving: int = 0) -> None:
        limits = dataclasses.replace(
            self._limits, connections=self._limits.connections - arriving
        )
        now_ms = clock.read_elapsed_ms()
        connections = list(self._connections)
        pause_ms = now_ms - self._sweep_due_ms
        if pause_ms >= loop.MIN_PAUSE_MS:
            # What arrived during the pause is still in the sockets.
            self._sweep_due_ms = now_ms
            for connection in connections:
                connection.postpone(pause_ms)
        described = [
            connection.describe(number, now_ms)
            for number, connection in enumerate(connections)
        ]
        for closing in request_budget.choose_closings(
            described, limits, now_ms
        ):
            self._close(connections[closing.number], closing.cause)
        held_bytes, count = self._held_bytes, len(self._connections)
        if held_bytes > limits.held_bytes or count > limits.connections:
            # Only complete requests are left.
            self._retry_at_ms = now_ms + RETRY_INTERVAL_MS

    def _close(
        self, connection: Connection, cause: request_budget.Cause
    ) -> None:
        self.release(connection)
        counted = connection.shed(cause)
        if counted:
            self.count(counted)

    def _log(self, now_ms: int) -> None:
        if self._counts and now_ms - self._logged_at_ms >= LOG_INTERVAL_MS:
            summary = reporting.Summary(
                dict(self._counts),
                self._held_bytes,
                len(self._connections),
                now_ms - self._logged_at_ms,
            )
            reporting.log(self._sink, summary)
            self._counts.clear()
            self._logged_at_ms = now_ms
