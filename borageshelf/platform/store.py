"""Adapter of the platform's key-value service.

Translates the calls of ``ports.store.TransactionalStore`` into the platform's
HTTP requests. Lease ids are numbers on the wire and text in this project.
"""

import base64
from collections import abc
from typing import Final, TypeVar

import msgspec

from borageshelf import clock
from borageshelf import decoding
from borageshelf import errors
from borageshelf.model import numbers
from borageshelf.ports import http_client
from borageshelf.ports import store as store_interface

# According to the faults in the site files, a slow store needs 80 times its
# usual 4 ms.
TIMEOUT_MS: Final = 900
# A watch is answered when its wait ends; bounds the delay after that.
WATCH_GRACE_MS: Final = 600
WATCH_WAIT_LIMIT_MS: Final = 30_000
CONNECTIONS: Final = 8
# A page of a listing holds about 1 MB of values before base64 and JSON
# encoding.
ANSWER_LIMIT_BYTES: Final = 4_000_000

Document = TypeVar('Document')


class _Item(msgspec.Struct, rename='pascal'):
    """A key with its value, or in a watch answer its removal.

    :param value: base64 text
    :param tombstone: whether the key was removed
    """

    key: str
    revision: numbers.WholeNumber
    value: str = ''
    lease: numbers.WholeNumber = 0
    tombstone: bool = False


class _KeyAnswer(_Item):
    """Answer to a read of one key; ``AtRev`` is the store's revision."""

    at_rev: numbers.WholeNumber = 0


class _RangeAnswer(msgspec.Struct):
    """One page of a listing."""

    items: list[_Item]
    at_rev: numbers.WholeNumber = msgspec.field(name='AtRev')
    has_more: bool = msgspec.field(name='HasMore', default=False)


class _WatchAnswer(msgspec.Struct):
    """Changes after a revision; the next watch continues from ``AtRev``."""

    events: list[_Item]
    at_rev: numbers.WholeNumber = msgspec.field(name='AtRev')


class _Condition(msgspec.Struct, rename='pascal'):
    key: str
    revision: int


class _Write(msgspec.Struct, rename='pascal', omit_defaults=True):
    key: str
    value: str
    lease: int = 0


class _Transaction(msgspec.Struct, rename='pascal'):
    """A conditional change of several keys.

    :param remove: keys to delete
    """

    expected_rev: list[_Condition]
    writes: list[_Write]
    remove: list[str]


class _TransactionAnswer(msgspec.Struct, rename='pascal'):
    revision: numbers.WholeNumber


class _LeaseRequest(msgspec.Struct, rename='pascal'):
    ttl_ms: int


class _LeaseAnswer(msgspec.Struct, rename='pascal'):
    ttl_ms: numbers.WholeNumber
    lease: numbers.WholeNumber = 0


class PlatformStore:
    """The platform's store; implements ``store.TransactionalStore``.

    :param address: HOST:PORT of the store
    :param timeout_ms: bound of each call but a watch
    """

    def __init__(self, address: str, timeout_ms: int = TIMEOUT_MS) -> None:
        self._client = http_client.HttpClient(f'http://{address}', CONNECTIONS)
        self._timeout_ms = timeout_ms

    async def get(self, key: str) -> store_interface.Entry | None:
        """Return the entry, or None."""
        answer = await self._read('/-/kv-key', {'Key': key})
        if answer.status == 404:
            return None
        return _make_entry(_decode(answer, _KeyAnswer))

    async def list(self, prefix: str) -> tuple[store_interface.Entry, ...]:
        """Return all entries under the prefix."""
        return (await self.scan(prefix)).entries

    async def scan(self, prefix: str) -> store_interface.Listing:
        """Return all entries under the prefix, and the revision to watch from.

        The pages are not one snapshot, so the watch must start at the revision
        of the first page.
        """
        entries: dict[str, store_interface.Entry] = {}
        revision = -1
        after = ''
        while True:
            arguments = {'PathPrefix': prefix}
            if after:
                arguments['After'] = after
            answer = await self._read('/-/kv-range', arguments)
            page = _decode(answer, _RangeAnswer)
            revision = page.at_rev if revision < 0 else revision
            for item in page.items:
                entries[item.key] = _make_entry(item)
            if not page.has_more or not page.items:
                return store_interface.Listing(
                    revision, tuple(entries.values())
                )
            after = page.items[-1].key

    async def put(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str = '',
    ) -> int:
        """Write by compare-and-swap; see the interface."""
        return await self.commit(
            store_interface.Transaction(
                ((key, expected_revision),),
                (store_interface.Write(key, value, lease_id),),
            )
        )

    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete by compare-and-swap; see the interface."""
        await self.commit(
            store_interface.Transaction(
                ((key, expected_revision),), (), (key,)
            )
        )

    async def commit(self, transaction: store_interface.Transaction) -> int:
        """Apply a transaction; see the interface."""
        request = _Transaction(
            [
                _Condition(key, revision)
                for key, revision in transaction.expected_revisions
            ],
            [
                _Write(
                    write.key,
                    base64.b64encode(write.value).decode(),
                    int(write.lease_id or 0),
                )
                for write in transaction.writes
            ],
            list(transaction.removed),
        )
        answer = await self._write('/-/kv-txn', request)
        return _decode_write(answer, _TransactionAnswer).revision

    async def grant_lease(self, ttl_ms: int) -> store_interface.Lease:
        """Create a lease; its deadline counts from before the request."""
        now_ms = clock.read_wall_clock_ms()
        answer = await self._write('/-/kv-lease', _LeaseRequest(ttl_ms))
        lease = _decode_write(answer, _LeaseAnswer)
        return store_interface.Lease(str(lease.lease), now_ms + lease.ttl_ms)

    async def renew_lease(self, lease_id: str) -> store_interface.Lease:
        """Extend a lease; see the interface."""
        now_ms = clock.read_wall_clock_ms()
        answer = await self._write(f'/-/kv-keep/{lease_id}', None)
        lease = _decode_write(answer, _LeaseAnswer)
        return store_interface.Lease(lease_id, now_ms + lease.ttl_ms)

    async def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""
        answer = await self._write(
            f'/-/kv-lease-end/{lease_id}', None, b'DELETE'
        )
        if answer.status not in (200, 404):
            raise _make_status_error(answer)

    async def watch(
        self, prefix: str, after_revision: int, deadline_ms: int
    ) -> store_interface.WatchAnswer:
        """Wait for changes after a revision, at most until the deadline."""
        wait_ms = max(deadline_ms - clock.read_wall_clock_ms(), 0)
        wait_ms = min(wait_ms, WATCH_WAIT_LIMIT_MS)
        arguments = {
            'PathPrefix': prefix,
            'After': str(after_revision),
            'WaitMs': str(wait_ms),
        }
        answer = await self._read(
            '/-/kv-watch', arguments, wait_ms + WATCH_GRACE_MS
        )
        if answer.status == 410:
            return store_interface.WatchAnswer(after_revision, (), True)
        watched = _decode(answer, _WatchAnswer)
        newest = {item.key: _make_entry(item) for item in watched.events}
        return store_interface.WatchAnswer(
            watched.at_rev, tuple(newest.values())
        )

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.close()

    async def _read(
        self,
        path: str,
        arguments: abc.Mapping[str, str],
        timeout_ms: int = 0,
    ) -> http_client.Answer:
        try:
            return await self._client.get(
                path,
                arguments,
                timeout_ms or self._timeout_ms,
                ANSWER_LIMIT_BYTES,
            )
        except http_client.RequestFailed as error:
            raise errors.BorageshelfError(
                errors.STORE_UNAVAILABLE, f'{path}: {error.detail}'
            ) from error

    async def _write(
        self, path: str, request: object, method: bytes = b'POST'
    ) -> http_client.Answer:
        body = msgspec.json.encode(request) if request is not None else b''
        headers = {'Content-Type': 'application/json'}
        try:
            return await self._client.send(
                method,
                path,
                headers,
                body,
                self._timeout_ms,
                ANSWER_LIMIT_BYTES,
            )
        except http_client.RequestFailed as error:
            code = errors.STORE_UNAVAILABLE
            if error.may_have_been_sent:
                code = errors.STORE_UNCERTAIN
            raise errors.BorageshelfError(
                code, f'{path}: {error.detail}'
            ) from error


def _make_entry(item: _Item) -> store_interface.Entry:
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError as error:
        raise errors.BorageshelfError(
            errors.STORE_UNAVAILABLE, f'{item.key}: {error}'
        ) from error
    return store_interface.Entry(
        item.key,
        value,
        item.revision,
        str(item.lease) if item.lease else '',
        item.tombstone,
    )


def _decode(answer: http_client.Answer, kind: type[Document]) -> Document:
    """Decode the answer to a read, or raise the error that it reports."""
    if answer.status != 200:
        raise _make_status_error(answer)
    try:
        return decoding.decode_json(answer.body, kind)
    except decoding.Unreadable as error:
        raise errors.BorageshelfError(
            errors.STORE_UNAVAILABLE, f'malformed answer of the store: {error}'
        ) from error


def _decode_write(
    answer: http_client.Answer, kind: type[Document]
) -> Document:
    """Decode the answer to a write, or raise the error that it reports.

    A malformed answer raises ``STORE_UNCERTAIN``, because the write may have
    been applied.
    """
    if answer.status != 200:
        raise _make_status_error(answer)
    try:
        return decoding.decode_json(answer.body, kind)
    except decoding.Unreadable as error:
        raise errors.BorageshelfError(
            errors.STORE_UNCERTAIN, f'malformed answer of the store: {error}'
        ) from error


def _make_status_error(answer: http_client.Answer) -> errors.BorageshelfError:
    """Return the error for a status.

    Statuses 429 and 503 guarantee that the request was not applied.
    """
    code = {
        404: errors.LEASE_LOST,
        412: errors.STORE_CONFLICT,
        413: errors.VALUE_TOO_LARGE,
        429: errors.STORE_UNAVAILABLE,
        503: errors.STORE_UNAVAILABLE,
        400: errors.BAD_REQUEST,
        403: errors.BAD_REQUEST,
    }.get(answer.status, errors.STORE_UNCERTAIN)
    detail = answer.body[:200].decode('utf-8', 'replace')
    return errors.BorageshelfError(code, f'status {answer.status}: {detail}')
