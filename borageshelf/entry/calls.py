"""Calls in an entry, from the request of a caller to its result.

Connects the HTTP interface for callers with the streams to agents, without
owning a socket: messages of agents arrive through ``receive``, and messages
to agents leave through the ``send`` function of each attached target. All
functions must be called from one thread with one event loop.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import random
from typing import Final

from borageshelf.decisions import admission
from borageshelf.entry import call_claims
from borageshelf.entry import call_dispatch
from borageshelf.entry import call_links
from borageshelf.entry import call_pools
from borageshelf.entry import call_tries
from borageshelf import errors
from borageshelf import loop
from borageshelf.protocol import inner_pb2
from borageshelf.protocol import limits
from borageshelf import telemetry

TICK_MS: Final = 20
# Longest wait for a call between two ticks. Without it, fifty ticks per second
# would use half of the processor budget while no call is in progress.
IDLE_TICK_MS: Final = 1_000

OnChunk = Callable[[bytes], Awaitable[None]]
SendToAgent = call_links.SendToAgent
Target = call_links.Target
Submission = call_tries.Submission
Result = call_tries.Result
Outcome = call_tries.Outcome
ClaimAnswer = call_claims.ClaimAnswer


class CallEngine:
    """All calls of one entry.

    Use from the entry process:

    * ``configure(admission_limits, entry_count)`` with the limits of each
      service and the number of live entries; again when one of them changes.
    * ``attach(target, send)`` after the ``Hello`` of an agent with a service
      and ``detach(target_id)`` when its stream ends. ``send`` queues one
      ``EntryMessage`` on the stream and returns at once; it raises only if
      the message certainly is not sent.
    * ``receive(target_id, message)`` for each ``AgentMessage`` whose kind is
      ``report``, ``call_chunk`` or ``call_end``; others are ignored.
    * ``await run(submission, on_chunk)`` for each call of a caller. It
      returns a ``Result`` and raises only what ``on_chunk`` raises.
      Cancelling the coroutine (the caller disconnected) cancels the call.
    * ``cancel(call_id)`` to cancel a call; its ``run`` goes on until the
      agents report whether the call ran.
    * ``serve()`` as a background task; it calls ``tick()`` at intervals.
    * ``drain(deadline_ms)`` before a planned stop.

    If the answer is truncated after its first bytes, the result is neither
    ``OK`` nor ``EXECUTOR_FAILED``, and the caller's connection must be
    closed without the final chunk.

    :param entry_id: unique for this process, so that neither two entries
        nor two processes of one entry use the same call id on a stream
    :param clock: returns the wall-clock time in Unix milliseconds
    :param claim: commits the claim of a key, see ``call_claims.ClaimKey``
    :param settle: commits an outcome, see ``call_claims.SettleClaim``
    """

    def __init__(
        self,
        entry_id: str,
        data_centre: str,
        clock: Callable[[], int],
        rng: random.Random,
        claim: call_claims.ClaimKey,
        settle: call_claims.SettleClaim,
        metrics: telemetry.Telemetry,
    ) -> None:
        self.is_leaving = False
        self._clock = clock
        self._metrics = metrics
        self._claims = call_claims.CallClaims(claim, settle, clock)
        self._dispatcher = call_dispatch.Dispatcher(
            entry_id, data_centre, clock, rng, metrics, self._end_call
        )
        self._configured_services: frozenset[str] = frozenset()
        self._running_call_ids: set[str] = set()
        self._idle = asyncio.Event()
        self._idle.set()
        self._wakeup = asyncio.Event()

    @property
    def pools(self) -> Mapping[str, call_pools.CallPool]:
        """Return queue and executors by service, for status pages."""
        return self._dispatcher.pools

    def configure(
        self,
        admission_limits: Mapping[str, admission.Limits],
        entry_count: int,
    ) -> None:
        """Set the limits by service and the number of live entries.

        New calls of other services are refused; their calls in progress go
        on.
        """
        self._configured_services = frozenset(admission_limits)
        for service, service_limits in admission_limits.items():
            self._dispatcher.get_pool(service).configure(
                service_limits, entry_count
            )

    def attach(self, target: Target, send: SendToAgent) -> None:
        """Add a target; a new stream replaces an earlier one."""
        self._dispatcher.attach(target, send)

    def detach(self, target_id: str) -> None:
        """Remove a target whose stream has ended.

        Whether its calls run is unknown: the agent may have received them.
        """
        self._dispatcher.detach(target_id)

    def receive(self, target_id: str, message: inner_pb2.AgentMessage) -> None:
        """Handle one message of an agent."""
        kind = message.WhichOneof('kind')
        if kind == 'report':
            self._dispatcher.receive_report(target_id, message.report)
        elif kind == 'call_chunk':
            self._dispatcher.receive_chunk(target_id, message.call_chunk)
        elif kind == 'call_end':
            self._dispatcher.receive_end(target_id, message.call_end)

    async def run(self, submission: Submission, on_chunk: OnChunk) -> Result:
        """Run one call and forward its answer.

        :param on_chunk: awaited for each chunk of the answer, in order; a slow
            reader slows the executor down through flow-control credits
        """
        started_ms = self._clock()
        self._wakeup.set()
        self._metrics.count(telemetry.CALLS_RECEIVED, submission.service)
        result = self._find_refusal(submission)
        if result is None:
            result = await self._run_accepted(submission, on_chunk)
        self._metrics.count(telemetry.CALLS_ENDED, result.code.name)
        self._metrics.time(
            telemetry.CALL_LATENCY,
            self._clock() - started_ms,
            submission.service,
        )
        return result

    def cancel(self, call_id: str) -> None:
        """Cancel an admitted call; its result tells whether it ran."""
        call = self._dispatcher.calls.get(call_id)
        if call is not None:
            self._dispatcher.cancel(call)

    def tick(self) -> None:
        """Handle deadlines and hedges, and send waiting calls."""
        self._dispatcher.tick()

    async def serve(self) -> None:
        """Call ``tick`` until cancelled, less often while there is no call."""
        while True:
            if not self._dispatcher.calls:
                await loop.wait_for_event(self._wakeup, IDLE_TICK_MS)
            self._wakeup.clear()
            await asyncio.sleep(TICK_MS / 1000)
            self.tick()

    async def drain(self, deadline_ms: int) -> bool:
        """Refuse new calls and wait until calls in progress have results.

        :return: whether all calls ended by the deadline; each of the others is
            refused if it was not sent, else its outcome is unknown
        """
        self.is_leaving = True
        remaining_ms = max(deadline_ms - self._clock(), 0)
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                await self._idle.wait()
                await self._claims.wait_until_settled()
            return True
        except TimeoutError:
            pass
        for call in list(self._dispatcher.calls.values()):
            if call.open_tries:
                self._dispatcher.end_as_unknown(
                    call, 'the entry stops before the call has ended'
                )
            else:
                self._dispatcher.refuse(call, errors.LEAVING)
        return False

    def _find_refusal(self, submission: Submission) -> Result | None:
        code = None
        if self.is_leaving:
            code = errors.LEAVING
        elif submission.service not in self._configured_services:
            code = errors.UNKNOWN_SERVICE
        elif len(submission.body) > limits.BODY_LIMIT_BYTES:
            code = errors.BODY_TOO_LARGE
        elif self._is_in_progress(submission.call_id):
            code = errors.BAD_REQUEST
        elif submission.deadline_ms <= self._clock():
            code = errors.DEADLINE_PASSED
        return Result(Outcome.NOT_RUN, code) if code is not None else None

    def _is_in_progress(self, call_id: str) -> bool:
        return (
            call_id in self._running_call_ids
            or call_id in self._dispatcher.calls
        )

    async def _run_accepted(
        self, submission: Submission, on_chunk: OnChunk
    ) -> Result:
        self._running_call_ids.add(submission.call_id)
        self._idle.clear()
        try:
            refusal = await self._claim(submission)
            if refusal is not None:
                return refusal
            return await self._run_claimed(submission, on_chunk)
        finally:
            self._running_call_ids.discard(submission.call_id)
            self._update_idle()

    async def _claim(self, submission: Submission) -> Result | None:
        """Claim the key of a non-idempotent call before it may be sent.

        :return: the result if the call must not be sent
        """
        if submission.idempotent or not submission.key:
            return None
        # Spares the commit for a call that admission would refuse.
        pool = self._dispatcher.get_pool(submission.service)
        refused = pool.find_refusal(
            self._make_queued_call(submission), self._clock()
        )
        if refused is not None:
            return Result(
                Outcome.NOT_RUN,
                refused.code,
                refused.detail,
                refused.retry_deadline_ms,
            )
        return await self._claims.claim(submission)

    async def _run_claimed(
        self, submission: Submission, on_chunk: OnChunk
    ) -> Result:
        call = call_tries.ActiveCall(
            submission, self._make_queued_call(submission)
        )
        try:
            self._dispatcher.admit(call)
            result = await self._forward_answer(call, on_chunk)
        except BaseException:
            self._abandon(call)
            raise
        await self._claims.settle(submission, result.outcome)
        return result

    async def _forward_answer(
        self, call: call_tries.ActiveCall, on_chunk: OnChunk
    ) -> Result:
        while True:
            await call.changed.wait()
            call.changed.clear()
            while call.buffer:
                data = call.buffer.popleft()
                call.forwarded_bytes += len(data)
                await on_chunk(data)
                self._dispatcher.return_credit(call, len(data))
            if call.result is not None:
                return dataclasses.replace(
                    call.result, forwarded_bytes=call.forwarded_bytes
                )

    def _abandon(self, call: call_tries.ActiveCall) -> None:
        """Cancel a call whose caller has disconnected.

        The outcome is still awaited, so that the key of the call is settled.
        """
        call.is_abandoned = True
        if call.result is not None:
            self._claims.settle_in_background(
                call.submission, call.result.outcome
            )
        else:
            self._dispatcher.cancel(call)

    def _end_call(self, call: call_tries.ActiveCall) -> None:
        if call.is_abandoned and call.result is not None:
            self._claims.settle_in_background(
                call.submission, call.result.outcome
            )
        self._update_idle()

    def _update_idle(self) -> None:
        if not self._running_call_ids and not self._dispatcher.calls:
            self._idle.set()

    def _make_queued_call(
        self, submission: Submission
    ) -> admission.QueuedCall:
        return admission.QueuedCall(
            call_id=submission.call_id,
            team=submission.team,
            kind=submission.kind,
            urgency=submission.urgency,
            deadline_ms=submission.deadline_ms,
            offered_at_ms=self._clock(),
        )
