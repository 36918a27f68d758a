"""Stored forms of a configuration: parts, publications, root and bundles.

A set is split into parts of one section each, which are stored compressed
under the hash of their uncompressed bytes. A publication lists its parts and
its parent; the root refers to the publication in force. A bundle is a
publication together with its parts, which processes exchange while the store
is down.
"""

from collections import abc
import dataclasses
import hashlib
from typing import Any, Final, TypeVar
import zlib

import msgspec
import xxhash

from borageshelf import decoding
from borageshelf import errors
from borageshelf.model import numbers
from borageshelf.model import objects

ROOT_KEY: Final = 'config/root'
CONTENT_PREFIX: Final = 'config/content/'
PUBLICATION_PREFIX: Final = 'config/publication/'
REFUSED_PREFIX: Final = 'config/refused/'

# A change writes the part with the changed object and a publication that lists
# the hashes of all parts. Smaller parts make the publication larger.
PART_TARGET_BYTES: Final = 16_000
# 128 bits of SHA-256; hashes make up most of the size of a publication.
HASH_CHARACTERS: Final = 32
# The store refuses values above 1 MB.
VALUE_LIMIT_BYTES: Final = 1_000_000
# Guards against a damaged or hostile value that expands without bound.
DECOMPRESSED_LIMIT_BYTES: Final = 64_000_000

_NAMED_SECTIONS: Final = (
    'data_centres',
    'worker_shapes',
    'teams',
    'placements',
    'services',
    'jobs',
)
_SECTIONS: Final = (*_NAMED_SECTIONS, 'limits', 'objective')

Record = TypeVar('Record')

_ENCODER: Final = msgspec.json.Encoder(order='deterministic')


@dataclasses.dataclass(frozen=True)
class Publication:
    """One published version.

    :param version: 1 for the first, then one more than that of the parent
    :param parent: hash of the previous publication; '' for the first
    :param published_at_ms: clock of the publisher, Unix milliseconds
    :param publication_id: unique id chosen by the publisher
    :param parts: content hashes, sorted by section
    """

    version: numbers.WholeNumber
    parent: str
    author: str
    published_at_ms: numbers.WholeNumber
    reason: str
    publication_id: str
    parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Root:
    """Value of the root key, which refers to the publication in force.

    :param publication: hash of the publication
    """

    version: numbers.WholeNumber
    publication: str
    publication_id: str


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Record of a publication that was refused.

    :param base_version: version on which the refused set was based
    :param found_version: version that was in force instead, or 0
    """

    publication_id: str
    author: str
    refused_at_ms: numbers.WholeNumber
    reason: str
    base_version: numbers.WholeNumber
    found_version: numbers.WholeNumber
    detail: str


@dataclasses.dataclass(frozen=True)
class Bundle:
    """A publication with the uncompressed bytes of its parts, by hash."""

    publication: Publication
    parts: dict[str, bytes]


def compute_hash(data: bytes) -> str:
    """Return the hash under which a value is stored."""
    return hashlib.sha256(data).hexdigest()[:HASH_CHARACTERS]


def compress(data: bytes) -> bytes:
    """Return the compressed form in which a value is stored."""
    return zlib.compress(data)


def decompress(data: bytes) -> bytes:
    """Return the uncompressed bytes of a stored value.

    :raises BorageshelfError: ``INTERNAL`` if it is damaged or too large
    """
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, DECOMPRESSED_LIMIT_BYTES)
    except zlib.error as error:
        raise errors.BorageshelfError(
            errors.INTERNAL, f'stored configuration is damaged: {error}'
        ) from error
    if not decompressor.eof:
        raise errors.BorageshelfError(
            errors.INTERNAL, 'stored configuration is truncated or too large'
        )
    return decompressed


def encode_parts(configuration: objects.Configuration) -> dict[str, bytes]:
    """Return the parts of a set by content hash, in a stable order.

    :raises BorageshelfError: ``VALUE_TOO_LARGE`` if one part exceeds the
        limit of the store
    """
    parts: dict[str, bytes] = {}
    for section in _NAMED_SECTIONS:
        for bucket in _split_into_buckets(getattr(configuration, section)):
            _add_part(parts, {section: bucket})
    _add_part(parts, {'limits': configuration.limits})
    _add_part(parts, {'objective': configuration.objective})
    return parts


def decode_parts(
    parts: abc.Iterable[bytes], version: int
) -> objects.Configuration:
    """Return the set that the given parts make up.

    :raises BorageshelfError: ``INTERNAL`` if a part cannot be decoded
    """
    merged: dict[str, Any] = {}
    for data in parts:
        part = decode_value(data, objects.Configuration)
        for section in decode_value(data, dict[str, Any]):
            if section not in _SECTIONS:
                # A newer release may publish sections that are unknown here.
                continue
            value = getattr(part, section)
            if section in _NAMED_SECTIONS:
                value = {**merged.get(section, {}), **value}
            merged[section] = value
    for section in _NAMED_SECTIONS:
        # Objects are spread over the parts by the hash of their name. Sorting
        # by name makes the set independent of how it was split.
        merged[section] = dict(sorted(merged.get(section, {}).items()))
    return objects.Configuration(**{**merged, 'version': version})


def encode_value(value: object) -> bytes:
    """Return the canonical JSON of a record, whose bytes can be hashed."""
    return _ENCODER.encode(value)


def decode_value(data: bytes, record_type: type[Record]) -> Record:
    """Decode a record from its JSON.

    :raises BorageshelfError: ``INTERNAL`` if the data does not match the type
    """
    try:
        return decoding.decode_json(data, record_type)
    except decoding.Unreadable as error:
        raise errors.BorageshelfError(
            errors.INTERNAL, f'stored configuration is damaged: {error}'
        ) from error


def encode_bundle(bundle: Bundle) -> bytes:
    """Return the compressed form of a bundle."""
    parts = tuple(part.decode() for part in bundle.parts.values())
    return compress(encode_value((bundle.publication, parts)))


def decode_bundle(data: bytes) -> Bundle:
    """Decode a bundle and check that it holds exactly the listed parts.

    :raises BorageshelfError: ``INTERNAL`` if it is damaged or incomplete
    """
    publication, texts = decode_value(
        decompress(data), tuple[Publication, tuple[str, ...]]
    )
    parts = {compute_hash(text.encode()): text.encode() for text in texts}
    if set(parts) != set(publication.parts):
        raise errors.BorageshelfError(
            errors.INTERNAL, 'parts of the bundle do not match its publication'
        )
    return Bundle(publication, parts)


def _split_into_buckets(named: dict[str, Any]) -> list[dict[str, Any]]:
    """Split the objects of a section into buckets of about the target size.

    An object's bucket depends only on its name and the number of buckets, so
    an added or changed object usually rewrites one part.
    """
    size_bytes = len(encode_value(named))
    bucket_count = 1
    while bucket_count * PART_TARGET_BYTES < size_bytes:
        bucket_count *= 2
    buckets: list[dict[str, Any]] = [{} for _ in range(bucket_count)]
    for name in sorted(named):
        buckets[xxhash.xxh64_intdigest(name.encode()) % bucket_count][name] = (
            named[name]
        )
    return [bucket for bucket in buckets if bucket]


def _add_part(parts: dict[str, bytes], content: dict[str, Any]) -> None:
    data = encode_value(content)
    if len(data) > VALUE_LIMIT_BYTES:
        raise errors.BorageshelfError(
            errors.VALUE_TOO_LARGE,
            f'a part of section {next(iter(content))} has {len(data)} bytes',
        )
    parts[compute_hash(data)] = data
