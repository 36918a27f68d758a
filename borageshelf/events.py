"""Structured log lines on standard output.

One JSON document a line, for each decision on a request or a belief. Lines
wait in a bounded queue that a timer of the event loop writes without ever
blocking. When the queue fills because nobody reads, details are dropped
first, then decisions; how many is written once there is room again.
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

# About 4 MB of lines, a hundredth of an entry's memory.
QUEUE_LIMIT: Final = 8_000
FLUSH_INTERVAL_MS: Final = 100
WRITE_LIMIT_BYTES: Final = 65_536
# Share of the queue from which lines of a level are dropped.
_LEVEL_LIMITS: Final = {1: 0.5, 2: 0.9, 3: 1.0}


class Level(enum.IntEnum):
    """How much a line is worth."""

    DETAIL = 1
    DECISION = 2
    STATE = 3


class EventLog:
    """Writer of the lines of one process.

    :param descriptor: file descriptor to write to
    """

    def __init__(
        self, process_kind: str, process_id: str, descriptor: int = -1
    ) -> None:
        self._descriptor = descriptor
        if descriptor < 0:
            self._descriptor = sys.stdout.fileno()
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b''
        self.dropped_lines = 0
        self._unreported_lines = 0
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

        :param event: what happened, the same words each time
        """
        share = len(self._lines) / QUEUE_LIMIT
        if share >= _LEVEL_LIMITS[level]:
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
        """Queue a line about a change of the process itself."""
        self.record(event, Level.STATE, **fields)

    def record_detail(self, event: str, **fields: Any) -> None:
        """Queue a line that is dropped first under load."""
        self.record(event, Level.DETAIL, **fields)

    def record_failure(self, error: Exception) -> None:
        """Queue a line about an error that nobody expected."""
        self.record_state('unexpected error', error=repr(error))

    def msg(self, line: bytes) -> None:
        """Take a rendered line; called by ``structlog``."""
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
        """Write what the reader takes at once."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._take()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody will ever read; the lines count as dropped.
                self.dropped_lines += len(self._lines) + 1
                self._lines.clear()
                self._rest = b''
                return
            self._rest = self._rest[written:]
        if self._unreported_lines:
            count, self._unreported_lines = self._unreported_lines, 0
            self.record_state('log lines dropped', count=count)

    def _take(self) -> bytes:
        parts: list[bytes] = []
        size_bytes = 0
        while self._lines and size_bytes < WRITE_LIMIT_BYTES:
            parts.append(self._lines.popleft())
            size_bytes += len(parts[-1])
        return b''.join(parts)


def _serialize(fields: Any, **_: Any) -> bytes:
    return msgspec.json.encode(fields, enc_hook=str)
