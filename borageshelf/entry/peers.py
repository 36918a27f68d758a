"""Requests to other entries over the internal protocol."""

import asyncio
from collections import abc
from typing import Any, Final

import grpclib.client
import grpclib.exceptions
import msgspec

from borageshelf.entry import documents
from borageshelf import errors
from borageshelf.protocol import inner_grpc
from borageshelf.protocol import inner_pb2

REQUEST_TIMEOUT_MS: Final = 5000
PROBE_TIMEOUT_MS: Final = 1000

_BROKEN: Final = (
    OSError,
    asyncio.TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
)


class Peers:
    """Channels to the other entries, opened when needed."""

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
        _check(await self._ask(self._stub(address).Submit, message))

    async def find_job(
        self, address: str, message: inner_pb2.JobRequest
    ) -> documents.JobAnswer:
        """Read a job from its owner."""
        answer = await self._ask(self._stub(address).Status, message)
        return _decode_job(answer)

    async def cancel(
        self, address: str, message: inner_pb2.JobRequest
    ) -> documents.JobAnswer:
        """Forward a cancellation."""
        answer = await self._ask(self._stub(address).Cancel, message)
        return _decode_job(answer)

    async def claim(
        self, address: str, message: inner_pb2.ClaimRequest
    ) -> inner_pb2.ClaimAnswer:
        """Forward a claim."""
        answer: inner_pb2.ClaimAnswer = await self._ask(
            self._stub(address).Claim, message
        )
        if answer.code != errors.DUPLICATE_KEY.number:
            _check(answer)
        return answer

    async def settle(
        self, address: str, message: inner_pb2.SettleRequest
    ) -> inner_pb2.ClaimAnswer:
        """Forward the outcome of a claimed call."""
        answer: inner_pb2.ClaimAnswer = await self._ask(
            self._stub(address).Settle, message
        )
        _check(answer)
        return answer

    async def fetch_versions(self, address: str) -> inner_pb2.VersionsAnswer:
        """Ask a peer for the newest configuration that it knows."""
        answer: inner_pb2.VersionsAnswer = await self._ask(
            self._stub(address).Versions, inner_pb2.VersionsRequest()
        )
        return answer

    async def observe_process(self, address: str) -> bool:
        """Wait until a peer's stream ends.

        :return: whether the peer's process is certainly gone: its stream
            has ended and its address refuses connections
        """
        channel = self._open(address)
        try:
            async with inner_grpc.InnerStub(channel).Observe.open() as stream:
                await stream.send_message(
                    inner_pb2.VersionsRequest(), end=True
                )
                async for _ in stream:
                    continue
        except (*_BROKEN, ConnectionRefusedError):
            pass
        finally:
            channel.close()
        return await _is_refused(address)

    def _stub(self, address: str) -> Any:
        channel = self._channels.get(address)
        if channel is None:
            channel = self._open(address)
            self._channels[address] = channel
        return inner_grpc.InnerStub(channel)

    def _open(self, address: str) -> grpclib.client.Channel:
        host, port = _split(address)
        return grpclib.client.Channel(host, port)

    async def _ask(
        self,
        method: abc.Callable[..., abc.Awaitable[Any]],
        message: Any,
    ) -> Any:
        """Send a request.

        :raises BorageshelfError: ``NOT_OWNER`` if the peer can't be reached,
            ``OUTCOME_UNKNOWN`` if its answer is lost
        """
        try:
            return await method(message, timeout=REQUEST_TIMEOUT_MS / 1000)
        except ConnectionRefusedError as error:
            raise errors.BorageshelfError(
                errors.NOT_OWNER, 'the owner cannot be reached'
            ) from error
        except _BROKEN as error:
            raise errors.BorageshelfError(
                errors.OUTCOME_UNKNOWN, 'the answer of the owner is lost'
            ) from error


async def _is_refused(address: str) -> bool:
    """Tell whether no process listens at an address.

    A timeout or another error is no proof: the network may be cut.
    """
    host, port = _split(address)
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_MS / 1000):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    writer.close()
    return False


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


def _check(answer: Any) -> None:
    code = errors.find(answer.code)
    if code not in (errors.OK, errors.PENDING):
        raise errors.BorageshelfError(code, answer.detail)


def _decode_job(answer: inner_pb2.JobAnswer) -> documents.JobAnswer:
    _check(answer)
    return msgspec.json.decode(answer.document, type=documents.JobAnswer)
