"""Odd values that another writer may leave in a document of any kind."""

import random
from typing import Any, Final

import msgspec

# JSON texts of numbers that no field of a document may hold, except -1 where
# it is marked by ``SMALL_NUMBERS``.
HUGE_NUMBERS: Final = (
    str(2**63),
    str(2**64),
    str(10**30),
    '1' + '0' * 400,
    '1e999',
)
SMALL_NUMBERS: Final = ('-1', '1.5')
ODD_ADDRESSES: Final = (
    '127.0.0.1:0',
    '127.0.0.1:-1',
    '127.0.0.1:65536',
    '127.0.0.1:99999',
    '127.0.0.1:' + '9' * 5_000,
    '127.0.0.1:http',
    '127.0.0.1:\u0661',
    '127.0.0.1',
    ':1',
    'a' * 64 + '.example:1',
    '',
)
DEPTHS: Final = (65, 5_000, 100_000)
NO_DOCUMENTS: Final = (
    b'',
    b'\xff\xfe',
    b'\x00',
    b'null',
    b'7',
    b'[]',
    b'{}',
    b'"',
    b'{"a":',
    b'[' * 100_000,
    b'{"a":' * 100_000,
    b'["' + b'\\"' * 50_000,
)


def nest_lists(depth: int) -> bytes:
    """Return the JSON text of nested lists."""
    return b'[' * depth + b']' * depth


def nest_objects(depth: int) -> bytes:
    """Return the JSON text of nested objects."""
    return b'{"a":' * depth + b'0' + b'}' * depth


def add_field(document: bytes, text: bytes) -> bytes:
    """Return a JSON object with one more field, which nobody knows."""
    assert document.endswith(b'}')
    return document[:-1] + b',"Unknown":' + text + b'}'


def list_places(document: Any) -> list[tuple[Any, Any]]:
    """Return each container with each of its keys, at any depth."""
    if isinstance(document, dict):
        keys: list[Any] = list(document)
    elif isinstance(document, list):
        keys = list(range(len(document)))
    else:
        return []
    places = [(document, key) for key in keys]
    for key in keys:
        places += list_places(document[key])
    return places


def replace_field(document: bytes, number: int, text: bytes) -> bytes:
    """Return a JSON document with another value in one of its places.

    :param number: number of the place, modulo their count
    """
    copy = msgspec.json.decode(document)
    places = list_places(copy)
    container, key = places[number % len(places)]
    container[key] = msgspec.Raw(text)
    return msgspec.json.encode(copy)


def draw_json(rng: random.Random, document: bytes) -> bytes:
    """Return an odd variant of a valid JSON document."""
    texts = (
        *(text.encode() for text in (*HUGE_NUMBERS, *SMALL_NUMBERS)),
        *(msgspec.json.encode(address) for address in ODD_ADDRESSES),
        nest_lists(rng.choice(DEPTHS)),
        nest_objects(rng.choice(DEPTHS)),
        b'null',
        b'true',
        b'"x"',
        b'[]',
        b'{}',
    )
    what = rng.randrange(4)
    if what == 0:
        return rng.choice(NO_DOCUMENTS)
    if what == 1:
        return document[: rng.randrange(len(document))]
    if what == 2:
        position = rng.randrange(len(document))
        return (
            document[:position]
            + rng.randbytes(rng.randint(1, 4))
            + document[position + 1 :]
        )
    return replace_field(document, rng.randrange(1_000), rng.choice(texts))


def nest_msgpack(depth: int) -> bytes:
    """Return the MessagePack form of nested lists."""
    return b'\x91' * depth + b'\xc0'


def draw_msgpack(rng: random.Random, document: bytes) -> bytes:
    """Return an odd variant of a valid MessagePack document."""
    what = rng.randrange(4)
    if what == 0:
        return rng.choice(
            (
                b'',
                b'\xc1',
                b'\xdd\xff\xff\xff\xff',
                b'\xdf\xff\xff\xff\xff',
                nest_msgpack(rng.choice(DEPTHS)),
                rng.randbytes(rng.randint(1, 60)),
            )
        )
    if what == 1:
        return document[: rng.randrange(len(document))]
    copy = msgspec.msgpack.decode(document)
    places = list_places(copy)
    container, key = places[rng.randrange(len(places))]
    container[key] = msgspec.Raw(
        rng.choice(
            (
                msgspec.msgpack.encode(2**63),
                msgspec.msgpack.encode(2**64 - 1),
                msgspec.msgpack.encode(-1),
                msgspec.msgpack.encode(-(2**63)),
                msgspec.msgpack.encode(1.5),
                msgspec.msgpack.encode(float('inf')),
                msgspec.msgpack.encode(float('nan')),
                msgspec.msgpack.encode('x'),
                msgspec.msgpack.encode(None),
                msgspec.msgpack.encode([]),
                nest_msgpack(rng.choice(DEPTHS)),
            )
        )
    )
    return msgspec.msgpack.encode(copy)
