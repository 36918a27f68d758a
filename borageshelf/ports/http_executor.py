"""HTTP adapter of the executor on the agent's VM.

A call is a POST request with the raw body; its id, service and deadline are
headers. A complete answer with status 200 is the result. An answer with
another status is a JSON document with the result code and whether the call may
have run. An incomplete answer is reported as ``ANSWER_TRUNCATED``. The sizes
of the bodies of requests and answers are bounded.
"""

import asyncio
from collections import abc
import dataclasses
from typing import Final

from borageshelf import decoding
from borageshelf import errors
from borageshelf.model import numbers
from borageshelf.ports import executor as executor_interface
from borageshelf.ports import http_client

DESCRIBE_TIMEOUT_MS: Final = 2_000
BODY_LIMIT_BYTES: Final = 1_000_000
ERROR_LIMIT_BYTES: Final = 65_536
OK_STATUS: Final = 200
CALL_PATH: Final = '/v1/calls'
CALL_ID_HEADER: Final = 'X-Call-Id'
SERVICE_HEADER: Final = 'X-Service'
DEADLINE_HEADER: Final = 'X-Deadline-Ms'

OnChunk = abc.Callable[[bytes], abc.Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class ErrorAnswer:
    """Body of every answer that is not a success.

    :param ran: whether the call may have run
    """

    code: numbers.WholeNumber
    detail: str = ''
    ran: bool = True


class HttpExecutor:
    """The executor over HTTP; implements ``executor.Executor``.

    :param base_url: address of the executor, with an IP address as the host
    :param connections: most connections that are open at once; further
        calls wait until one is free
    """

    def __init__(self, base_url: str, connections: int) -> None:
        self._client = http_client.HttpClient(base_url, connections)
        self._connections = asyncio.Semaphore(connections)

    async def describe(self) -> executor_interface.ExecutorDescription:
        """Return the service and its limits.

        :raises BorageshelfError: ``NO_TARGET`` without a valid answer
        """
        try:
            answer = await self._client.get(
                '/v1/describe', {}, DESCRIBE_TIMEOUT_MS, ERROR_LIMIT_BYTES
            )
            if answer.status == OK_STATUS:
                return decoding.decode_json(
                    answer.body, executor_interface.ExecutorDescription
                )
        except (http_client.RequestFailed, decoding.Unreadable) as error:
            raise errors.BorageshelfError(
                errors.NO_TARGET, f'executor: {error}'
            ) from error
        raise errors.BorageshelfError(
            errors.NO_TARGET, f'executor: status {answer.status}'
        )

    async def call(
        self, request: executor_interface.CallRequest, on_chunk: OnChunk
    ) -> executor_interface.CallStatus:
        """Run a call; pass on the chunks of the answer in order.

        The deadline bounds the whole call. An exception of ``on_chunk`` is
        raised again after the connection is closed.
        """
        if len(request.body) > BODY_LIMIT_BYTES:
            return _make_status(
                errors.BODY_TOO_LARGE, f'{len(request.body)} bytes'
            )
        exchange = _Exchange(request, on_chunk)
        now_ms = http_client.read_wall_clock_ms()
        remaining_ms = request.deadline_ms - now_ms
        if remaining_ms <= 0:
            return _make_status(errors.DEADLINE_PASSED, 'before the call')
        try:
            async with asyncio.timeout(
                remaining_ms / http_client.MS_PER_S
            ) as scope:
                async with self._connections:
                    return await exchange.run(self._client)
        except TimeoutError:
            if not scope.expired():
                raise
            return exchange.make_loss_status(
                errors.DEADLINE_PASSED, 'deadline'
            )
        except http_client.RequestFailed as error:
            return exchange.make_loss_status(errors.NO_TARGET, error.detail)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.close()


class _Exchange:
    """One request and the progress of its answer."""

    def __init__(
        self, request: executor_interface.CallRequest, on_chunk: OnChunk
    ) -> None:
        self._request = request
        self._on_chunk = on_chunk
        self._producer = http_client.BytesProducer(request.body)
        self._is_answering = False

    async def run(
        self, client: http_client.HttpClient
    ) -> executor_interface.CallStatus:
        """Send the request and pass on the answer."""
        headers = {
            CALL_ID_HEADER: self._request.call_id,
            SERVICE_HEADER: self._request.service,
            DEADLINE_HEADER: str(self._request.deadline_ms),
        }
        answer = await client.open(b'POST', CALL_PATH, headers, self._producer)
        try:
            if answer.status != OK_STATUS:
                return await _read_error(answer)
            self._is_answering = True
            return await self._pass_on(answer.body)
        finally:
            answer.body.abandon()

    async def _pass_on(
        self, body: http_client.BodyStream
    ) -> executor_interface.CallStatus:
        size_bytes = 0
        while (chunk := await body.read_chunk()) is not None:
            size_bytes += len(chunk)
            if size_bytes > BODY_LIMIT_BYTES:
                return _make_status(
                    errors.ANSWER_TRUNCATED,
                    f'the answer exceeds {BODY_LIMIT_BYTES} bytes',
                )
            await self._on_chunk(chunk)
        return _make_status(errors.OK, '')

    def make_loss_status(
        self, unsent_code: errors.ResultCode, detail: str
    ) -> executor_interface.CallStatus:
        """Return the status of a call without a complete answer.

        :param unsent_code: code if no byte of the request was sent
        """
        if self._is_answering:
            return _make_status(errors.ANSWER_TRUNCATED, detail)
        if self._producer.is_started:
            return _make_status(errors.OUTCOME_UNKNOWN, detail)
        return _make_status(unsent_code, detail)


async def _read_error(
    answer: http_client.StreamedAnswer,
) -> executor_interface.CallStatus:
    """Read an error answer.

    An answer that does not prove how the call ended, or that it did not run,
    gives ``OUTCOME_UNKNOWN``.
    """
    body = b''
    while (chunk := await answer.body.read_chunk()) is not None:
        body += chunk
        if len(body) > ERROR_LIMIT_BYTES:
            break
    try:
        error = decoding.decode_json(body, ErrorAnswer)
    except decoding.Unreadable as failure:
        return _make_status(
            errors.OUTCOME_UNKNOWN, f'status {answer.status}, {failure}'
        )
    code = errors.find(error.code)
    if error.ran and code.category is errors.Category.NOT_RUN:
        code = errors.OUTCOME_UNKNOWN
    return _make_status(code, error.detail)


def _make_status(
    code: errors.ResultCode, detail: str
) -> executor_interface.CallStatus:
    has_run = code.category is not errors.Category.NOT_RUN
    return executor_interface.CallStatus(code.number, has_run, detail)
