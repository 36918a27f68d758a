"""Encoding of stored shard records as zlib-compressed MessagePack."""

from typing import Final, TypeVar
import zlib

import msgspec
import xxhash

from borageshelf import decoding
from borageshelf import errors
from borageshelf.shards import records

# Level 1 compresses three times as fast as the default level; the output is a
# tenth larger.
COMPRESSION_LEVEL: Final = 1

Record = TypeVar('Record')


def encode_head(head: records.ShardHead) -> bytes:
    """Return the store value of a shard head."""
    return zlib.compress(msgspec.msgpack.encode(head), COMPRESSION_LEVEL)


def decode_head(value: bytes) -> records.ShardHead:
    """Return the shard head in a store value.

    :raises BorageshelfError: ``STORE_UNAVAILABLE`` if it holds none
    """
    return _decode(value, records.ShardHead)


def encode_snapshot(snapshot: records.Snapshot) -> bytes:
    """Return the store value of a snapshot."""
    return zlib.compress(msgspec.msgpack.encode(snapshot), COMPRESSION_LEVEL)


def decode_snapshot(value: bytes) -> records.Snapshot:
    """Return the snapshot in a store value.

    :raises BorageshelfError: ``STORE_UNAVAILABLE`` if it holds none
    """
    return _decode(value, records.Snapshot)


def measure_changes(changes: records.Changes) -> int:
    """Return the encoded size in bytes, before compression."""
    return len(msgspec.msgpack.encode(changes))


def compute_shard(record_id: str, shard_count: int) -> int:
    """Return the shard that the hash of a job id or claim id selects."""
    return int(xxhash.xxh64_intdigest(record_id.encode())) % shard_count


def _decode(value: bytes, kind: type[Record]) -> Record:
    try:
        return decoding.decode_msgpack(zlib.decompress(value), kind)
    except (zlib.error, decoding.Unreadable) as error:
        raise errors.BorageshelfError(
            errors.STORE_UNAVAILABLE,
            f'stored value is not a {kind.__name__}: {error}',
        ) from error
