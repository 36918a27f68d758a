"""HTTP adapter of the worker on the agent's VM.

Reads are GET requests, changes are POST requests with JSON documents. A call
without a complete answer raises ``WORKER_UNAVAILABLE``, and its effect is
unknown. Only an error answer of the worker proves that a call had no effect.
"""

import dataclasses
from typing import Any, Final, TypeVar

import msgspec

from borageshelf import decoding
from borageshelf import errors
from borageshelf.model import numbers
from borageshelf.ports import http_client
from borageshelf.ports import worker as worker_interface

# The worker is on the same VM; a call without an answer by then is considered
# lost.
TIMEOUT_MS: Final = 2_000
CONNECTIONS: Final = 4
# A list holds the results of all attempts that are not released.
ANSWER_LIMIT_BYTES: Final = 8_000_000
OK_STATUS: Final = 200

Document = TypeVar('Document')


@dataclasses.dataclass(frozen=True)
class ErrorAnswer:
    """Body of every answer that is not a success."""

    code: numbers.WholeNumber
    detail: str = ''


@dataclasses.dataclass(frozen=True)
class AttemptReference:
    """Body of calls that only name an attempt."""

    task_id: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class RenewRequest:
    """Body of the renewal of a lease."""

    task_id: str
    attempt: int
    lease_deadline_ms: int


@dataclasses.dataclass(frozen=True)
class ThrottleRequest:
    """Body of a throttle call."""

    task_id: str
    attempt: int
    fraction: float


@dataclasses.dataclass(frozen=True)
class ListAnswer:
    """Answer to a list call."""

    tasks: tuple[worker_interface.WorkerTask, ...]


@dataclasses.dataclass(frozen=True)
class UsageAnswer:
    """Answer to a usage call."""

    samples: tuple[worker_interface.UsageSample, ...]


class HttpWorker:
    """The worker over HTTP; implements ``worker.Worker``.

    :param base_url: address of the worker, with an IP address as the host
    :param timeout_ms: timeout of each call
    """

    def __init__(self, base_url: str, timeout_ms: int = TIMEOUT_MS) -> None:
        self._client = http_client.HttpClient(base_url, CONNECTIONS)
        self._timeout_ms = timeout_ms

    async def describe(self) -> worker_interface.WorkerDescription:
        """Return the identity and the capacity of the VM."""
        return await self._read(
            '/v1/describe', worker_interface.WorkerDescription
        )

    async def list(self) -> tuple[worker_interface.WorkerTask, ...]:
        """Return all attempts that are running or not released."""
        answer = await self._read('/v1/list', ListAnswer)
        return answer.tasks

    async def start(self, request: worker_interface.StartRequest) -> None:
        """Start an attempt; a repeated start has no effect."""
        await self._change('/v1/start', request, dict[str, Any])

    async def renew(
        self, task_id: str, attempt: int, lease_deadline_ms: int
    ) -> None:
        """Extend the task's lease; an earlier deadline has no effect."""
        request = RenewRequest(task_id, attempt, lease_deadline_ms)
        await self._change('/v1/renew', request, dict[str, Any])

    async def throttle(
        self, task_id: str, attempt: int, fraction: float
    ) -> None:
        """Limit the task to a fraction of its processors, 0 to 1."""
        request = ThrottleRequest(task_id, attempt, fraction)
        await self._change('/v1/throttle', request, dict[str, Any])

    async def checkpoint(
        self, task_id: str, attempt: int
    ) -> worker_interface.Checkpoint:
        """Save the state of a running task."""
        return await self._change(
            '/v1/checkpoint',
            AttemptReference(task_id, attempt),
            worker_interface.Checkpoint,
        )

    async def stop(
        self, task_id: str, attempt: int
    ) -> worker_interface.StopResult:
        """Stop an attempt; the answer tells whether it had finished."""
        return await self._change(
            '/v1/stop',
            AttemptReference(task_id, attempt),
            worker_interface.StopResult,
        )

    async def release(self, task_id: str, attempt: int) -> None:
        """Delete the record of an attempt that is not running."""
        request = AttemptReference(task_id, attempt)
        await self._change('/v1/release', request, dict[str, Any])

    async def usage(self) -> tuple[worker_interface.UsageSample, ...]:
        """Return the latest usage samples."""
        answer = await self._read('/v1/usage', UsageAnswer)
        return answer.samples

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.close()

    async def _read(self, path: str, kind: type[Document]) -> Document:
        try:
            answer = await self._client.get(
                path, {}, self._timeout_ms, ANSWER_LIMIT_BYTES
            )
        except http_client.RequestFailed as error:
            raise _make_unavailable_error(path, error.detail) from error
        return _decode(path, answer, kind)

    async def _change(
        self, path: str, request: object, kind: type[Document]
    ) -> Document:
        body = msgspec.json.encode(request)
        try:
            answer = await self._client.post(
                path, body, self._timeout_ms, ANSWER_LIMIT_BYTES
            )
        except http_client.RequestFailed as error:
            raise _make_unavailable_error(path, error.detail) from error
        return _decode(path, answer, kind)


def _decode(
    path: str, answer: http_client.Answer, kind: type[Document]
) -> Document:
    """Decode an answer, or raise the error that it reports."""
    try:
        if answer.status == OK_STATUS:
            return decoding.decode_json(answer.body, kind)
        error = decoding.decode_json(answer.body, ErrorAnswer)
    except decoding.Unreadable as failure:
        detail = f'status {answer.status}, {failure}'
        raise _make_unavailable_error(path, detail) from failure
    code = errors.find(error.code)
    if code.category is not errors.Category.NOT_RUN:
        raise _make_unavailable_error(path, f'{code.name}: {error.detail}')
    raise errors.BorageshelfError(
        errors.WORKER_REFUSED, f'{path}: {error.detail}'
    )


def _make_unavailable_error(path: str, detail: str) -> errors.BorageshelfError:
    return errors.BorageshelfError(
        errors.WORKER_UNAVAILABLE, f'{path}: {detail}'
    )
