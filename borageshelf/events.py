"""Structured log lines on standard output.

Each decision on a request and each change of what the process assumes about
others is one line with a JSON document. Lines wait in a bounded queue that the
event loop writes periodically without blocking. If the queue fills because
nobody reads the output, lines of level DETAIL are dropped first, then lines of
level DECISION. The number of dropped lines is logged once the queue is
written.
"""

import asyncio
import collections
import enum
import os
import sys
from typing import Any, Final

import msgspec
import structlog

from borageshelf import clock

# About 4 MB of lines, 1 percent of an entry's memory.
QUEUE_LIMIT_LINES: Final = 8_000
FLUSH_INTERVAL_MS: Final = 100
# A pipe takes a write of this size whole or not at all, so no line is torn
# when the reader is slow, and collectors that cut long writes lose nothing.
WRITE_LIMIT_BYTES: Final = 4_096
# Share of the queue in use from which lines of a level are dropped.
_QUEUE_SHARE_LIMITS: Final = {1: 0.5, 2: 0.9, 3: 1.0}


class Level(enum.IntEnum):
    """Importance of a line; the least important are dropped first."""

    DETAIL = 1
    DECISION = 2
    STATE = 3


class EventLog:
    """Log of one process.

    :param process_kind: 'entry' or 'agent'
    :param process_id: id of the process
    :param descriptor: file descriptor to write to; negative for the standard
        output
    :ivar dropped_lines: number of lines that were never written
    """

    def __init__(
        self, process_kind: str, process_id: str, descriptor: int = -1
    ) -> None:
        self._descriptor = descriptor
        if descriptor < 0:
            self._descriptor = sys.stdout.fileno()
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b''
        self.dropped_lines = 0
        self._unreported_lines = 0
        self._is_flush_due = False
        self._logger = structlog.wrap_logger(
            self,
            processors=[structlog.processors.JSONRenderer(_serialize)],
            wrapper_class=structlog.BoundLogger,
            process=f'{process_kind} {process_id}',
        )

    def record(
        self, event: str, level: Level = Level.DECISION, **fields: Any
    ) -> None:
        """Queue a line.

        :param event: what happened; the same text each time, so that operators
            can search for it
        :param fields: details of the event
        """
        used_share = len(self._lines) / QUEUE_LIMIT_LINES
        if used_share >= _QUEUE_SHARE_LIMITS[level]:
            self.dropped_lines += 1
            self._unreported_lines += 1
            return
        self._logger.msg(
            event,
            at_ms=clock.read_wall_clock_ms(),
            level=level.name.lower(),
            **fields,
        )

    def record_state(self, event: str, **fields: Any) -> None:
        """Queue a line about a change of the state of the process."""
        self.record(event, Level.STATE, **fields)

    def record_detail(self, event: str, **fields: Any) -> None:
        """Queue a line that is dropped first under load."""
        self.record(event, Level.DETAIL, **fields)

    def record_order(self, event: str, **fields: Any) -> None:
        """Queue a line about an order that is sent now.

        The line is written in the next round of the event loop instead of the
        next interval, together with those of other orders. So hardly any order
        of a process that is killed is missing in its log.
        """
        self.record(event, **fields)
        if not self._is_flush_due:
            self._is_flush_due = True
            asyncio.get_running_loop().call_soon(self.flush)

    def record_failure(self, error: Exception) -> None:
        """Queue a line about an unexpected exception."""
        self.record_state('unexpected error', error=repr(error))

    def msg(self, line: bytes) -> None:
        """Queue a rendered line; called by ``structlog``."""
        self._lines.append(line + b'\n')

    async def run(self) -> None:
        """Write lines until cancelled."""
        os.set_blocking(self._descriptor, False)
        try:
            while True:
                await asyncio.sleep(FLUSH_INTERVAL_MS / 1000)
                self.flush()
        finally:
            self.flush()

    def flush(self) -> None:
        """Write as many queued lines as the descriptor accepts now."""
        self._is_flush_due = False
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._take_batch()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The output is broken for good, so the lines count as dropped.
                self.dropped_lines += len(self._lines) + 1
                self._lines.clear()
                self._unwritten = b''
                return
            self._unwritten = self._unwritten[written:]
        if self._unreported_lines:
            count, self._unreported_lines = self._unreported_lines, 0
            self.record_state('log lines dropped', count=count)

    def _take_batch(self) -> bytes:
        parts: list[bytes] = []
        size_bytes = 0
        while self._lines:
            size_bytes += len(self._lines[0])
            if parts and size_bytes > WRITE_LIMIT_BYTES:
                break
            parts.append(self._lines.popleft())
        return b''.join(parts)


def _serialize(fields: Any, **_: Any) -> bytes:
    return msgspec.json.encode(fields, enc_hook=str)
