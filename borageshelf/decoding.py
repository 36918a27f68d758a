"""Decodes what other programs have written.

Answers of other servers, requests, heartbeats and values of the store may be
nested deeply, hold numbers of any size, or be no documents at all. The
functions of this module raise ``Unreadable`` for all of them and no other
error. Fields declare the ranges of their numbers by the types of
``model.numbers``.
"""

import re
from typing import Final, TypeVar

import msgspec

from borageshelf import settings

# The largest answer that any client of this project accepts.
SIZE_LIMIT_BYTES: Final = 16_000_000
# The documents of this project's interfaces have at most 6 levels. Without a
# fixed limit the same document is readable or not depending on how much of
# the interpreter's stack is in use.
DEPTH_LIMIT: Final = 64

Document = TypeVar('Document')

# An unterminated string extends to the end, so that matching takes linear
# time.
_STRING: Final = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*(?:"|\Z)', re.DOTALL)
_BRACKETS: Final = b'[]{}'
_OTHER_BYTES: Final = bytes(set(range(256)) - set(_BRACKETS))
_SAME_BRACKETS: Final = bytes.maketrans(b'{}', b'[]')


class Unreadable(ValueError):
    """Bytes or text of another program can't be used."""


def decode_json(data: bytes, kind: type[Document]) -> Document:
    """Decode a JSON document.

    :raises Unreadable: if it is malformed, too large or nested too deeply, or
        if a field is missing, of another type or out of range
    """
    _check_size(data)
    if _is_too_deep(data):
        raise Unreadable(f'more than {DEPTH_LIMIT} levels')
    try:
        return msgspec.json.decode(data, type=kind)
    except (ValueError, RecursionError, OverflowError) as error:
        raise Unreadable(str(error)) from error


def decode_msgpack(data: bytes, kind: type[Document]) -> Document:
    """Decode a MessagePack document.

    :raises Unreadable: see ``decode_json``
    """
    _check_size(data)
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (ValueError, RecursionError, OverflowError) as error:
        raise Unreadable(str(error)) from error


def parse_address(text: str) -> settings.Address:
    """Return the address that ``ADDRESS:PORT`` denotes.

    :raises Unreadable: if the host is no IP address or the port is not from
        1 to 65535
    """
    try:
        return settings.parse_address(text)
    except ValueError as error:
        raise Unreadable(f'address "{text[:80]}": {error}') from error


def _check_size(data: bytes) -> None:
    if len(data) > SIZE_LIMIT_BYTES:
        raise Unreadable(f'{len(data)} bytes')


def _is_too_deep(data: bytes) -> bool:
    """Tell whether a JSON document exceeds the limit of its depth."""
    if data.count(b'[') + data.count(b'{') <= DEPTH_LIMIT:
        return False
    # Brackets in strings rarely matter, and removing all strings is slow.
    return not _is_shallow(data) and not _is_shallow(_STRING.sub(b'', data))


def _is_shallow(text: bytes) -> bool:
    brackets = text.translate(_SAME_BRACKETS, _OTHER_BYTES)
    for _ in range(DEPTH_LIMIT):
        # Removes the innermost level.
        outer_brackets = brackets.replace(b'[]', b'')
        if len(outer_brackets) in (0, len(brackets)):
            return not outer_brackets
        brackets = outer_brackets
    return False
