"""Server side of the internal protocol in an entry."""

import asyncio
from collections import abc
from typing import Any

import grpclib.exceptions
import msgspec

from borageshelf import clock
from borageshelf.configuration import propagation
from borageshelf.entry import batch as batch_module
from borageshelf.entry import calls as calls_module
from borageshelf.entry import jobs as jobs_module
from borageshelf.entry import membership as membership_module
from borageshelf.entry import sessions
from borageshelf import errors
from borageshelf.protocol import inner_grpc
from borageshelf.protocol import inner_pb2
from borageshelf import telemetry as telemetry_module


class InnerService(inner_grpc.InnerBase):
    """Serves streams from agents and requests from other entries."""

    def __init__(
        self,
        entry_id: str,
        registry: sessions.SessionRegistry,
        membership: membership_module.Membership,
        batch: batch_module.BatchService,
        jobs: jobs_module.JobService,
        calls: calls_module.CallEngine,
        holder: propagation.ConfigurationHolder,
        telemetry: telemetry_module.Telemetry,
    ) -> None:
        self._entry_id = entry_id
        self._registry = registry
        self._membership = membership
        self._batch = batch
        self._jobs = jobs
        self._calls = calls
        self._holder = holder
        self._telemetry = telemetry
        self._sent_addresses: list[inner_pb2.EntryAddress] = []

    # Streams from agents.

    async def Attach(self, stream: Any) -> None:  # noqa: N802
        """Serve the stream of one agent until it ends."""
        first = await stream.recv_message()
        if first is None or first.WhichOneof('kind') != 'hello':
            return
        session = sessions.AgentSession(first.hello, clock.read_wall_clock_ms)
        self._registry.add(session)
        self._send_welcome(session)
        self._log_attachment(session, 'target attached')
        tasks = [
            asyncio.ensure_future(self._receive(session, stream)),
            asyncio.ensure_future(self._send(session, stream)),
            asyncio.ensure_future(session.wait_closed()),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._detach(session)

    def broadcast_configuration(self) -> None:
        """Send every agent its part of a newer configuration."""
        self._registry.broadcast(
            lambda session: inner_pb2.EntryMessage(
                config=self._make_config_part(session)
            )
        )

    def broadcast_entries(self) -> None:
        """Send every agent the list of entries, so that it attaches to all."""
        addresses = self._list_addresses()
        if addresses == self._sent_addresses:
            return
        self._sent_addresses = addresses
        renew = inner_pb2.Renew(entries=addresses)
        self._registry.broadcast(
            lambda session: inner_pb2.EntryMessage(renew=renew)
        )

    def _list_addresses(self) -> list[inner_pb2.EntryAddress]:
        return [
            inner_pb2.EntryAddress(
                entry_id=member.entry_id,
                address=member.address,
                data_centre=member.data_centre,
            )
            for member in self._membership.list_members()
            if not member.leaving
        ]

    def _send_welcome(self, session: sessions.AgentSession) -> None:
        session.send(
            welcome=inner_pb2.Welcome(
                entry_id=self._entry_id,
                entries=self._list_addresses(),
                report_interval_ms=self._registry.compute_report_interval_ms(),
                config=self._make_config_part(session),
            )
        )
        self._batch.send_epochs(session)
        service = session.hello.service
        if not service.service:
            return
        target = calls_module.Target(
            session.identity.target_id,
            session.hello.data_centre,
            service.service,
            service.slots,
            service.connections,
        )

        def send(message: inner_pb2.EntryMessage) -> None:
            if not session.send_message(message):
                raise ConnectionError('the stream to the agent is closed')

        self._calls.attach(target, send)
        self._calls.receive(
            target.target_id, inner_pb2.AgentMessage(report=session.report)
        )

    def _make_config_part(
        self, session: sessions.AgentSession
    ) -> inner_pb2.ConfigPart:
        service = session.hello.service.service
        return inner_pb2.ConfigPart(
            version=self._holder.version,
            document=self._holder.encode_agent_part(
                [service] if service else []
            ),
        )

    async def _receive(
        self, session: sessions.AgentSession, stream: Any
    ) -> None:
        async for message in stream:
            if not session.is_open:
                return
            self._handle(session, message)

    async def _send(self, session: sessions.AgentSession, stream: Any) -> None:
        while True:
            message = await session.wait_for_message()
            await stream.send_message(message)

    async def close_silent_streams(self) -> None:
        """Close streams whose connection was cut without a reset.

        One timer serves all streams: a timer for each stream costs a fifth of
        the processor time of the reports.
        """
        while True:
            await asyncio.sleep(sessions.MIN_REPORT_INTERVAL_MS / 1000)
            interval_ms = self._registry.compute_report_interval_ms()
            for session in self._registry.list_open():
                if session.is_silent(2 * interval_ms):
                    session.close()

    def _handle(
        self,
        session: sessions.AgentSession,
        message: inner_pb2.AgentMessage,
    ) -> None:
        kind = message.WhichOneof('kind')
        if kind == 'report':
            self._handle_report(session, message)
        elif kind == 'start_answer':
            self._batch.handle_start_answer(session, message.start_answer)
        elif kind == 'stopped':
            self._batch.handle_status(session, message.stopped)
        elif kind == 'finished':
            self._batch.handle_status(session, message.finished)
        elif kind == 'config_applied':
            session.config_version = message.config_applied.version
        elif session.hello.service.service:
            self._calls.receive(session.identity.target_id, message)

    def _handle_report(
        self,
        session: sessions.AgentSession,
        message: inner_pb2.AgentMessage,
    ) -> None:
        report = message.report
        self._holder.confirm(report.config_version)
        if session.accept_unchanged_report(report):
            self._send_heartbeat(session)
            return
        was_leaving = session.is_leaving
        session.apply_report(report)
        self._batch.handle_report(session, report)
        if session.hello.service.service:
            self._calls.receive(session.identity.target_id, message)
        if session.is_leaving and not was_leaving:
            self._log_attachment(session, 'target leaves')
        self._send_heartbeat(session)

    def _send_heartbeat(self, session: sessions.AgentSession) -> None:
        if session.needs_heartbeat():
            interval_ms = self._registry.compute_report_interval_ms()
            session.send(renew=inner_pb2.Renew(report_interval_ms=interval_ms))

    def _detach(self, session: sessions.AgentSession) -> None:
        if not self._registry.remove(session):
            return
        self._batch.handle_detached(session.identity.target_id)
        if session.hello.service.service:
            self._calls.detach(session.identity.target_id)
        self._log_attachment(session, 'target detached')

    def _log_attachment(
        self, session: sessions.AgentSession, event: str
    ) -> None:
        self._telemetry.gauge(
            telemetry_module.TARGETS_ATTACHED, len(self._registry.list_open())
        )
        self._telemetry.log_state(event, target=session.identity.target_id)

    # Requests from other entries.

    async def Submit(self, stream: Any) -> None:  # noqa: N802
        """Store a job in a shard that this entry owns."""

        async def answer(request: Any) -> inner_pb2.JobAnswer:
            await self._jobs.submit_local(request)
            return inner_pb2.JobAnswer(code=errors.PENDING.number)

        await _serve(stream, answer, inner_pb2.JobAnswer)

    async def Cancel(self, stream: Any) -> None:  # noqa: N802
        """Cancel a job of a shard that this entry owns."""

        async def answer(request: Any) -> inner_pb2.JobAnswer:
            job = await self._jobs.cancel_local(request)
            return inner_pb2.JobAnswer(document=msgspec.json.encode(job))

        await _serve(stream, answer, inner_pb2.JobAnswer)

    async def Status(self, stream: Any) -> None:  # noqa: N802
        """Read a job of a shard that this entry owns."""

        async def answer(request: Any) -> inner_pb2.JobAnswer:
            job = await self._jobs.find_local(request)
            return inner_pb2.JobAnswer(document=msgspec.json.encode(job))

        await _serve(stream, answer, inner_pb2.JobAnswer)

    async def Claim(self, stream: Any) -> None:  # noqa: N802
        """Claim a key in a shard that this entry owns."""
        await _serve(stream, self._jobs.claim_local, inner_pb2.ClaimAnswer)

    async def Settle(self, stream: Any) -> None:  # noqa: N802
        """Record the outcome of a claim in a shard that this entry owns."""
        await _serve(stream, self._jobs.settle_local, inner_pb2.ClaimAnswer)

    async def Versions(self, stream: Any) -> None:  # noqa: N802
        """Return the configuration that is in force in this entry."""

        async def answer(request: Any) -> inner_pb2.VersionsAnswer:
            return inner_pb2.VersionsAnswer(
                config_version=self._holder.version,
                publication=self._holder.encoded_bundle,
            )

        await _serve(stream, answer, inner_pb2.VersionsAnswer)

    async def Observe(self, stream: Any) -> None:  # noqa: N802
        """Keep a stream open; its end shows that this process has ended."""
        await stream.recv_message()
        await stream.send_initial_metadata()
        await asyncio.Event().wait()


async def _serve(
    stream: Any,
    answer: abc.Callable[[Any], abc.Awaitable[Any]],
    answer_type: abc.Callable[..., Any],
) -> None:
    """Answer one request; an error is sent as its code and detail."""
    request = await stream.recv_message()
    if request is None:
        return
    try:
        message = await answer(request)
    except errors.BorageshelfError as error:
        message = answer_type(code=error.code.number, detail=error.detail)
    try:
        await stream.send_message(message)
    except grpclib.exceptions.StreamTerminatedError:
        # The other entry stopped waiting; it treats the result as unknown.
        return
