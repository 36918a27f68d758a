"""Calls on the entry's side: from a caller's request to its result.

Sits between the callers' HTTP and the streams to agents, but owns no socket:
messages of agents come in through ``receive`` and messages to them go out
through the ``send`` function of each attached target. It may assume one
event loop and one thread.
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
from borageshelf.protocol import limits as protocol_limits
from borageshelf import telemetry

TICK_MS: Final = 20
# Fifty ticks a second without a call used half of the processor budget.
IDLE_TICK_MS: Final = 1_000

PassChunk = Callable[[bytes], Awaitable[None]]
Send = call_links.Send
Target = call_links.Target
Submission = call_tries.Submission
Result = call_tries.Result
Outcome = call_tries.Outcome
ClaimAnswer = call_claims.ClaimAnswer


class CallEngine:
    """All calls of one entry.

    Use from the entry process:

    * ``configure(limits, entries)`` with the limits of each service and the
      number of live entries; again whenever one of them changes.
    * ``attach(target, send)`` after the ``Hello`` of an agent with a service
      and ``detach(target_id)`` when its stream breaks. ``send`` queues one
      ``EntryMessage`` on the stream and returns at once; it raises only if
      the message will certainly not be sent.
    * ``receive(target_id, message)`` for each ``AgentMessage`` whose kind is
      ``report``, ``call_chunk`` or ``call_end``; others are ignored.
    * ``await run(submission, on_chunk)`` for each call of a caller. It
      returns a ``Result`` and raises only what ``on_chunk`` raises.
      Cancelling the coroutine (the caller hung up) cancels the call.
    * ``cancel(call_id)`` to cancel a call whose ``run`` goes on waiting for
      the proof whether it ran.
    * ``serve()`` as a background task; it calls ``tick()`` at intervals.
    * ``drain(deadline_ms)`` on a planned stop.

    If the answer breaks off after its first bytes, the result is neither
    ``OK`` nor ``EXECUTOR_FAILED``, and the caller's connection must be
    closed without the final chunk.

    :param entry_id: unique for this process, so that no two entries and no
        two lives of one entry use the same call id on a stream
    :param clock: returns the wall-clock time in Unix milliseconds
    :param claim: see ``call_claims.Claim``
    :param settle: see ``call_claims.Settle``
    """

    def __init__(
        self,
        entry_id: str,
        data_centre: str,
        clock: Callable[[], int],
        rng: random.Random,
        claim: call_claims.Claim,
        settle: call_claims.Settle,
        metrics: telemetry.Telemetry,
    ) -> None:
        self.leaving = False
        self._clock = clock
        self._metrics = metrics
        self._claims = call_claims.ClaimKeeper(claim, settle, clock)
        self._dispatcher = call_dispatch.Dispatcher(
            entry_id, data_centre, clock, rng, metrics, self._end_call
        )
        self._known: frozenset[str] = frozenset()
        self._running: set[str] = set()
        self._idle = asyncio.Event()
        self._idle.set()
        self._wakeup = asyncio.Event()

    @property
    def pools(self) -> Mapping[str, call_pools.CallPool]:
        """Return queue and executors per service, for status pages."""
        return self._dispatcher.pools

    def configure(
        self, limits: Mapping[str, admission.Limits], entries: int
    ) -> None:
        """Set the bounds per service and the number of live entries.

        New calls of other services are refused; calls in progress end.
        """
        self._known = frozenset(limits)
        for service, bounds in limits.items():
            self._dispatcher.find_pool(service).configure(bounds, entries)

    def attach(self, target: Target, send: Send) -> None:
        """Add a target; a new stream replaces an earlier one."""
        self._dispatcher.attach(target, send)

    def detach(self, target_id: str) -> None:
        """Remove a target whose stream broke.

        What its calls did is unknown: the agent may have received them.
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

    async def run(self, submission: Submission, on_chunk: PassChunk) -> Result:
        """Run one call and pass its answer on.

        :param on_chunk: awaited for each part of the answer, in order; its
            speed limits the executor's through credits
        """
        started_ms = self._clock()
        self._wakeup.set()
        self._metrics.count(telemetry.CALLS_RECEIVED, submission.service)
        result = self._check(submission)
        if result is None:
            result = await self._run_checked(submission, on_chunk)
        self._metrics.count(telemetry.CALLS_ENDED, result.code.name)
        self._metrics.time(
            telemetry.CALL_LATENCY,
            self._clock() - started_ms,
            submission.service,
        )
        return result

    def cancel(self, call_id: str) -> None:
        """Cancel an admitted call; its result says whether it ran."""
        call = self._dispatcher.calls.get(call_id)
        if call is not None:
            self._dispatcher.cancel(call)

    def tick(self) -> None:
        """Act on deadlines, hedges and waiting calls."""
        self._dispatcher.tick()

    async def serve(self) -> None:
        """Call ``tick`` until cancelled; seldom while there is no call."""
        while True:
            if not self._dispatcher.calls:
                await loop.wait_for_event(self._wakeup, IDLE_TICK_MS)
            self._wakeup.clear()
            await asyncio.sleep(TICK_MS / 1000)
            self.tick()

    async def drain(self, deadline_ms: int) -> bool:
        """Refuse new calls and wait until the others have their results.

        :return: whether every call ended by the deadline; the others were
            refused if they had not been sent, and are unknown otherwise
        """
        self.leaving = True
        remaining_ms = max(deadline_ms - self._clock(), 0)
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                await self._idle.wait()
                await self._claims.wait()
            return True
        except TimeoutError:
            pass
        for call in list(self._dispatcher.calls.values()):
            if call.open_tries:
                self._dispatcher.give_up(call, 'the entry stops')
            else:
                self._dispatcher.refuse(call, errors.LEAVING)
        return False

    def _check(self, submission: Submission) -> Result | None:
        code = None
        if self.leaving:
            code = errors.LEAVING
        elif submission.service not in self._known:
            code = errors.UNKNOWN_SERVICE
        elif len(submission.body) > protocol_limits.BODY_LIMIT_BYTES:
            code = errors.BODY_TOO_LARGE
        elif self._is_in_progress(submission.call_id):
            code = errors.BAD_REQUEST
        elif submission.deadline_ms <= self._clock():
            code = errors.DEADLINE_PASSED
        return Result(Outcome.NOT_RUN, code) if code is not None else None

    def _is_in_progress(self, call_id: str) -> bool:
        return call_id in self._running or call_id in self._dispatcher.calls

    async def _run_checked(
        self, submission: Submission, on_chunk: PassChunk
    ) -> Result:
        self._running.add(submission.call_id)
        self._idle.clear()
        try:
            refusal = await self._claim(submission)
            if refusal is not None:
                return refusal
            return await self._run_claimed(submission, on_chunk)
        finally:
            self._running.discard(submission.call_id)
            self._update_idle()

    async def _claim(self, submission: Submission) -> Result | None:
        """Claim the key of a non-idempotent call before it may be sent."""
        if submission.idempotent or not submission.key:
            return None
        # A call that would be refused anyway must not cost a commit.
        pool = self._dispatcher.find_pool(submission.service)
        refused = pool.find_refusal(
            self._make_queued(submission), self._clock()
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
        self, submission: Submission, on_chunk: PassChunk
    ) -> Result:
        call = call_tries.ActiveCall(submission, self._make_queued(submission))
        try:
            self._dispatcher.offer(call)
            result = await self._pass_answer(call, on_chunk)
        except BaseException:
            self._abandon(call)
            raise
        await self._claims.settle(submission, result.outcome)
        return result

    async def _pass_answer(
        self, call: call_tries.ActiveCall, on_chunk: PassChunk
    ) -> Result:
        while True:
            await call.changed.wait()
            call.changed.clear()
            while call.buffer:
                data = call.buffer.popleft()
                call.passed_bytes += len(data)
                await on_chunk(data)
                self._dispatcher.return_credit(call, len(data))
            if call.result is not None:
                return dataclasses.replace(
                    call.result, passed_bytes=call.passed_bytes
                )

    def _abandon(self, call: call_tries.ActiveCall) -> None:
        """Cancel a call whose caller is gone, and still learn its outcome."""
        call.is_abandoned = True
        if call.result is not None:
            self._claims.settle_later(call.submission, call.result.outcome)
        else:
            self._dispatcher.cancel(call)

    def _end_call(self, call: call_tries.ActiveCall) -> None:
        if call.is_abandoned and call.result is not None:
            self._claims.settle_later(call.submission, call.result.outcome)
        self._update_idle()

    def _update_idle(self) -> None:
        if not self._running and not self._dispatcher.calls:
            self._idle.set()

    def _make_queued(self, submission: Submission) -> admission.QueuedCall:
        return admission.QueuedCall(
            call_id=submission.call_id,
            team=submission.team,
            kind=submission.kind,
            urgency=submission.urgency,
            deadline_ms=submission.deadline_ms,
            offered_at_ms=self._clock(),
        )
