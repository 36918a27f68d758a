"""Bounds how long a stream waits for a peer that takes nothing.

A machine without power takes no byte of what is sent to it, and the kernel
gives up the connection only after many minutes. grpclib waits as long, even
to reset a stream that has been cancelled. All of its waits end once the
connection is aborted, so each limit here aborts it.
"""

import asyncio
from collections import abc
import contextlib
from typing import Any, Final

from borageshelf import clock
from borageshelf import measurements

# A peer that takes nothing for so long is given up, as one that sends nothing.
STALL_LIMIT_MS: Final = 1_500
STALL_CHECK_INTERVAL_MS: Final = 250
# For what is still queued when this side closes a stream.
CLOSE_LIMIT_MS: Final = 250
# For the last bytes of a stream that has ended, and for the peer to close its
# connection.
LINGER_LIMIT_MS: Final = 1_500
# A timer that is later than this was held up by a pause of this process, in
# which it could not send either.
LATE_TIMER_MS: Final = 150


class PeerStalled(ConnectionError):
    """The connection was aborted because its peer took nothing any more."""


class Transmission:
    """What a stream sends, and the limits on it.

    grpclib has no public access to the transport of a stream.

    :param stream: of a grpclib client or server; its request has been sent
    :param record_abort: called with the cause if the connection is aborted
    :ivar abort_cause: why the connection was aborted; '' if it was not
    """

    def __init__(
        self,
        stream: Any,
        record_abort: abc.Callable[[str], None] = lambda cause: None,
    ) -> None:
        self._connection = stream._stream.connection
        self._transport: asyncio.Transport = stream._stream._transport
        self._record_abort = record_abort
        self._loop = asyncio.get_running_loop()
        self._close_timer: asyncio.TimerHandle | None = None
        self._stall_timer: asyncio.TimerHandle | None = None
        self._stall_check_due_ms = self._stall_deadline_ms = 0
        self._taken_bytes = 0
        self.abort_cause = ''

    @contextlib.contextmanager
    def limit_stall(self) -> abc.Iterator[None]:
        """Abort the connection if the peer stalls while something is sent.

        A large message on a slow link goes on as long as some of it is taken.
        """
        self._note_progress()
        self._schedule_stall_check()
        try:
            yield
        finally:
            assert self._stall_timer is not None
            self._stall_timer.cancel()

    def begin_close(self) -> None:
        """Limit the time in which the queued messages can still be sent."""
        if self._close_timer is None:
            self._close_timer = self._loop.call_later(
                CLOSE_LIMIT_MS / 1000,
                self._abort,
                f'nothing taken {CLOSE_LIMIT_MS} ms after the close',
            )

    def finish(self, limit_ms: int) -> None:
        """Limit the time until the connection of an ended stream is closed."""
        if self._close_timer is not None:
            self._close_timer.cancel()
        self._loop.call_later(
            limit_ms / 1000, self._abort, f'still open {limit_ms} ms later'
        )

    def _note_progress(self) -> None:
        self._taken_bytes = self._count_taken_bytes()
        self._stall_deadline_ms = clock.read_elapsed_ms() + STALL_LIMIT_MS

    def _schedule_stall_check(self) -> None:
        self._stall_check_due_ms = (
            clock.read_elapsed_ms() + STALL_CHECK_INTERVAL_MS
        )
        self._stall_timer = self._loop.call_later(
            STALL_CHECK_INTERVAL_MS / 1000, self._check_stall
        )

    def _check_stall(self) -> None:
        now_ms = clock.read_elapsed_ms()
        is_late = now_ms - self._stall_check_due_ms > LATE_TIMER_MS
        if is_late or self._count_taken_bytes() > self._taken_bytes:
            self._note_progress()
        if now_ms < self._stall_deadline_ms:
            self._schedule_stall_check()
        else:
            self._abort(f'nothing taken for {STALL_LIMIT_MS} ms')

    def _count_taken_bytes(self) -> int:
        """Return the bytes that have left this process, but for framing."""
        sent_bytes: int = self._connection.data_sent
        return sent_bytes - self._transport.get_write_buffer_size()

    def _abort(self, cause: str) -> None:
        is_closed = (
            self._transport.is_closing()
            and not self._transport.get_write_buffer_size()
        )
        if is_closed or self.abort_cause:
            return
        self.abort_cause = cause
        measurements.STREAMS_ABORTED.inc()
        self._record_abort(cause)
        self._transport.abort()
