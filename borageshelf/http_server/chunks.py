"""Decodes bodies in chunks, a bounded number of chunks at a time."""

import re
from typing import Final

SIZE_LINE_LIMIT_BYTES: Final = 1_024
# Extensions have no use here. They count for the whole body, or else chunks of
# one byte with long extensions would be hundreds of megabytes.
EXTENSIONS_LIMIT_BYTES: Final = 16_384
TRAILER_LIMIT_BYTES: Final = 16_384
_SIZE: Final = re.compile(rb'[0-9a-fA-F]{1,15}\Z')
_WORK_BYTES: Final = 64


class Malformed(ValueError):
    """The framing of a body is wrong or too long."""


class ChunkDecoder:
    """Decodes one body.

    :ivar is_complete: whether the end of the body has been decoded
    """

    def __init__(self) -> None:
        self.is_complete = False
        self._left_bytes = 0
        self._is_end_due = False
        self._is_trailer = False
        self._extension_bytes = 0
        self._trailer_bytes = 0

    def decode(
        self, received: bytearray, work_limit: int
    ) -> tuple[bytes, int]:
        """Remove chunks from the front of what was received.

        :param work_limit: number of chunks; long ones count more
        :return: the data of the chunks and the work done
        :raises Malformed: if the framing is malformed
        """
        parts: list[bytearray] = []
        position = work = 0
        while work < work_limit and not self.is_complete:
            if self._left_bytes:
                data = received[position : position + self._left_bytes]
                parts.append(data)
                position += len(data)
                self._left_bytes -= len(data)
                work += len(data) // 1_024
                if self._left_bytes:
                    break
            if self._is_end_due:
                end = received[position : position + 2]
                if not b'\r\n'.startswith(end):
                    raise Malformed('no end of a chunk')
                if len(end) < 2:
                    break
                position += 2
                self._is_end_due = False
            line_end = received.find(b'\r\n', position)
            if line_end < 0:
                if len(received) - position > SIZE_LINE_LIMIT_BYTES:
                    raise Malformed('line too long')
                break
            line = received[position:line_end]
            position = line_end + 2
            work += 1 + len(line) // _WORK_BYTES
            self._read_line(line)
        del received[:position]
        return b''.join(parts), work

    def _read_line(self, line: bytearray) -> None:
        if len(line) > SIZE_LINE_LIMIT_BYTES:
            raise Malformed('line too long')
        if self._is_trailer:
            self._trailer_bytes += len(line)
            if self._trailer_bytes > TRAILER_LIMIT_BYTES:
                raise Malformed('trailer too long')
            self.is_complete = not line
            return
        if len(line) > 15 or b';' in line:
            line, _, extension = line.partition(b';')
            self._extension_bytes += len(extension)
            if self._extension_bytes > EXTENSIONS_LIMIT_BYTES:
                raise Malformed('extensions too long')
            line = line.rstrip(b' \t')
        if not _SIZE.match(line):
            raise Malformed('no size of a chunk')
        self._left_bytes = int(line, 16)
        self._is_trailer = not self._left_bytes
        self._is_end_due = bool(self._left_bytes)
