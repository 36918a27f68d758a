"""Requests to other entries over the internal protocol."""

import asyncio
from collections import abc
from typing import Any, Final

import grpclib.client
import grpclib.exceptions

from borageshelf import decoding
from borageshelf.entry import documents
from borageshelf import errors
from borageshelf.protocol import inner_grpc
from borageshelf.protocol import inner_pb2

REQUEST_TIMEOUT_MS: Final = 5000
PROBE_TIMEOUT_MS: Final = 1000

_CONNECTION_ERRORS: Final = (
    OSError,
    asyncio.TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
)


class Peers:
    """Client of the other entries; opens channels when needed."""

    def __init__(self) -> None:
        self._channels: dict[str, grpclib.client.Channel] = {}

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    async def submit(
        self, address: str, message: inner_pb2.SubmitRequest
    ) -> None:
        """Forward a submission."""
        _check_answer(
            await self._send_request(self._get_stub(address).Submit, message)
        )

    async def find_job(
        self, address: str, message: inner_pb2.JobRequest
    ) -> documents.JobAnswer:
        """Read a job from its owner."""
        answer = await self._send_request(
            self._get_stub(address).Status, message
        )
        return _decode_job(answer)

    async def cancel(
        self, address: str, message: inner_pb2.JobRequest
    ) -> documents.JobAnswer:
        """Forward a cancellation."""
        answer = await self._send_request(
            self._get_stub(address).Cancel, message
        )
        return _decode_job(answer)

    async def claim(
        self, address: str, message: inner_pb2.ClaimRequest
    ) -> inner_pb2.ClaimAnswer:
        """Forward the claim of a key."""
        answer: inner_pb2.ClaimAnswer = await self._send_request(
            self._get_stub(address).Claim, message
        )
        if answer.code != errors.DUPLICATE_KEY.number:
            _check_answer(answer)
        return answer

    async def settle(
        self, address: str, message: inner_pb2.SettleRequest
    ) -> inner_pb2.ClaimAnswer:
        """Forward the outcome of a claimed call."""
        answer: inner_pb2.ClaimAnswer = await self._send_request(
            self._get_stub(address).Settle, message
        )
        _check_answer(answer)
        return answer

    async def fetch_versions(self, address: str) -> inner_pb2.VersionsAnswer:
        """Ask a peer for the newest configuration that it knows."""
        answer: inner_pb2.VersionsAnswer = await self._send_request(
            self._get_stub(address).Versions, inner_pb2.VersionsRequest()
        )
        return answer

    async def observe_process(self, address: str) -> bool:
        """Keep a stream to a peer open until it ends.

        :return: whether the peer's process seems to have ended: the stream
            has ended and the peer's address refuses connections, as may the
            path to it
        """
        channel = self._open_channel(address)
        try:
            async with inner_grpc.InnerStub(channel).Observe.open() as stream:
                await stream.send_message(
                    inner_pb2.VersionsRequest(), end=True
                )
                async for _ in stream:
                    continue
        except (*_CONNECTION_ERRORS, ConnectionRefusedError):
            pass
        finally:
            channel.close()
        return await _is_connection_refused(address)

    def _get_stub(self, address: str) -> Any:
        channel = self._channels.get(address)
        if channel is None:
            channel = self._open_channel(address)
            self._channels[address] = channel
        return inner_grpc.InnerStub(channel)

    def _open_channel(self, address: str) -> grpclib.client.Channel:
        parsed = decoding.parse_address(address)
        return grpclib.client.Channel(parsed.host, parsed.port)

    async def _send_request(
        self,
        method: abc.Callable[..., abc.Awaitable[Any]],
        message: Any,
    ) -> Any:
        """Send a request and return its answer.

        :raises BorageshelfError: ``NOT_OWNER`` if the peer refuses the
            connection, ``OUTCOME_UNKNOWN`` if its answer is lost
        """
        try:
            return await method(message, timeout=REQUEST_TIMEOUT_MS / 1000)
        except ConnectionRefusedError as error:
            raise errors.BorageshelfError(
                errors.NOT_OWNER, 'the other entry refused the connection'
            ) from error
        except _CONNECTION_ERRORS as error:
            raise errors.BorageshelfError(
                errors.OUTCOME_UNKNOWN,
                'the connection failed before the other entry answered',
            ) from error


async def _is_connection_refused(address: str) -> bool:
    """Tell whether an address refuses connections.

    A timeout or another error is no proof, because the network may be
    partitioned.
    """
    parsed = decoding.parse_address(address)
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_MS / 1000):
            _, writer = await asyncio.open_connection(parsed.host, parsed.port)
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    writer.close()
    return False


def _check_answer(answer: Any) -> None:
    code = errors.find(answer.code)
    if code not in (errors.OK, errors.PENDING):
        raise errors.BorageshelfError(code, answer.detail)


def _decode_job(answer: inner_pb2.JobAnswer) -> documents.JobAnswer:
    _check_answer(answer)
    try:
        return decoding.decode_json(answer.document, documents.JobAnswer)
    except decoding.Unreadable as error:
        raise errors.BorageshelfError(
            errors.OUTCOME_UNKNOWN, f'malformed answer: {error}'
        ) from error
