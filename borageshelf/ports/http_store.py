"""HTTP adapter of the platform's key-value service.

Reads are GET requests, writes are POST requests with JSON documents. An error
answer is a JSON document with the number of a result code. A write without a
valid answer may have been applied, unless no byte of the request was sent.
"""

import dataclasses
from typing import Any, Final, TypeVar

import msgspec

from borageshelf import decoding
from borageshelf import errors
from borageshelf.model import numbers
from borageshelf.ports import http_client
from borageshelf.ports import store as store_interface

# The store answers within milliseconds; a call without an answer by then is
# considered lost.
TIMEOUT_MS: Final = 2_000
# A watch is answered at its deadline; bounds the delay after that.
WATCH_GRACE_MS: Final = 1_000
CONNECTIONS: Final = 8
# The largest value in base64 and the JSON document around it.
ANSWER_LIMIT_BYTES: Final = 1_500_000
# A list returns many values; bounds the memory that one answer can use.
LIST_LIMIT_BYTES: Final = 16_000_000
OK_STATUS: Final = 200

Document = TypeVar('Document')


@dataclasses.dataclass(frozen=True)
class ErrorAnswer:
    """Body of every answer that is not a success."""

    code: numbers.WholeNumber
    detail: str = ''


@dataclasses.dataclass(frozen=True)
class GetAnswer:
    """Answer to a get request."""

    entry: store_interface.Entry | None


@dataclasses.dataclass(frozen=True)
class ListAnswer:
    """Answer to a list request."""

    entries: tuple[store_interface.Entry, ...]


@dataclasses.dataclass(frozen=True)
class PutRequest:
    """Body of a put request; the value is encoded as base64."""

    key: str
    value: bytes
    expected_revision: int
    lease_id: str = ''


@dataclasses.dataclass(frozen=True)
class PutAnswer:
    """Answer to a put request."""

    revision: numbers.WholeNumber


@dataclasses.dataclass(frozen=True)
class DeleteRequest:
    """Body of a delete request."""

    key: str
    expected_revision: int


@dataclasses.dataclass(frozen=True)
class GrantRequest:
    """Body of a request for a lease."""

    ttl_ms: int


@dataclasses.dataclass(frozen=True)
class LeaseRequest:
    """Body of the renewal or revocation of a lease."""

    lease_id: str


class HttpStore:
    """The store over HTTP; implements ``store.Store``.

    :param base_url: address of the store, with an IP address as the host
    :param timeout_ms: timeout of each call but a watch, which has a deadline
    :param connections: most idle connections that are kept
    """

    def __init__(
        self,
        base_url: str,
        timeout_ms: int = TIMEOUT_MS,
        connections: int = CONNECTIONS,
    ) -> None:
        self._client = http_client.HttpClient(base_url, connections)
        self._timeout_ms = timeout_ms

    async def get(self, key: str) -> store_interface.Entry | None:
        """Return the entry, or None."""
        answer = await self._read(
            '/v1/get', {'key': key}, GetAnswer, ANSWER_LIMIT_BYTES
        )
        return answer.entry

    async def list(self, prefix: str) -> tuple[store_interface.Entry, ...]:
        """Return all entries under the prefix."""
        answer = await self._read(
            '/v1/list', {'prefix': prefix}, ListAnswer, LIST_LIMIT_BYTES
        )
        return answer.entries

    async def put(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str = '',
    ) -> int:
        """Write by compare-and-swap; see the interface."""
        request = PutRequest(key, value, expected_revision, lease_id)
        answer = await self._write('/v1/put', request, PutAnswer)
        return answer.revision

    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete by compare-and-swap; see the interface."""
        request = DeleteRequest(key, expected_revision)
        await self._write('/v1/delete', request, dict[str, Any])

    async def grant_lease(self, ttl_ms: int) -> store_interface.Lease:
        """Create a lease."""
        return await self._write(
            '/v1/lease/grant', GrantRequest(ttl_ms), store_interface.Lease
        )

    async def renew_lease(self, lease_id: str) -> store_interface.Lease:
        """Extend a lease; see the interface."""
        return await self._write(
            '/v1/lease/renew', LeaseRequest(lease_id), store_interface.Lease
        )

    async def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""
        request = LeaseRequest(lease_id)
        await self._write('/v1/lease/revoke', request, dict[str, Any])

    async def watch(
        self, prefix: str, after_revision: int, deadline_ms: int
    ) -> store_interface.WatchAnswer:
        """Wait for changes after a revision, at most until the deadline."""
        arguments = {
            'prefix': prefix,
            'after_revision': str(after_revision),
            'deadline_ms': str(deadline_ms),
        }
        wait_ms = max(deadline_ms - http_client.read_wall_clock_ms(), 0)
        return await self._read(
            '/v1/watch',
            arguments,
            store_interface.WatchAnswer,
            LIST_LIMIT_BYTES,
            wait_ms + WATCH_GRACE_MS,
        )

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.close()

    async def _read(
        self,
        path: str,
        arguments: dict[str, str],
        kind: type[Document],
        limit_bytes: int,
        timeout_ms: int = 0,
    ) -> Document:
        try:
            answer = await self._client.get(
                path, arguments, timeout_ms or self._timeout_ms, limit_bytes
            )
        except http_client.RequestFailed as error:
            raise errors.BorageshelfError(
                errors.STORE_UNAVAILABLE, f'{path}: {error.detail}'
            ) from error
        return _decode(path, answer, kind, errors.STORE_UNAVAILABLE)

    async def _write(
        self, path: str, request: object, kind: type[Document]
    ) -> Document:
        body = msgspec.json.encode(request)
        try:
            answer = await self._client.post(
                path, body, self._timeout_ms, ANSWER_LIMIT_BYTES
            )
        except http_client.RequestFailed as error:
            code = errors.STORE_UNAVAILABLE
            if error.may_have_been_sent:
                code = errors.STORE_UNCERTAIN
            raise errors.BorageshelfError(
                code, f'{path}: {error.detail}'
            ) from error
        return _decode(path, answer, kind, errors.STORE_UNCERTAIN)


def _decode(
    path: str,
    answer: http_client.Answer,
    kind: type[Document],
    uncertain_code: errors.ResultCode,
) -> Document:
    """Decode an answer, or raise the error that it reports.

    :param uncertain_code: code of the error for an answer that does not state
        whether the request was applied
    """
    try:
        if answer.status == OK_STATUS:
            return decoding.decode_json(answer.body, kind)
        error = decoding.decode_json(answer.body, ErrorAnswer)
    except decoding.Unreadable as failure:
        raise errors.BorageshelfError(
            uncertain_code, f'{path}: status {answer.status}, {failure}'
        ) from failure
    code = errors.find(error.code)
    if code.category is not errors.Category.NOT_RUN:
        code = uncertain_code
    raise errors.BorageshelfError(code, f'{path}: {error.detail}')
