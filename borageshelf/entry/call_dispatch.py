"""Tries of calls: sending, answers, retries, hedges and deadlines.

Used by ``entry.calls``. It keeps the queue and executors of each service
(``call_pools``) and turns messages of agents into results of calls.
"""

import collections
from collections.abc import Callable
import dataclasses
import random
from typing import Final

from borageshelf.decisions import admission
from borageshelf.decisions import hedging
from borageshelf.decisions import retries
from borageshelf.entry import call_links
from borageshelf.entry import call_pools
from borageshelf.entry import call_tries
from borageshelf import errors
from borageshelf.protocol import inner_pb2
from borageshelf import telemetry

# Time after its deadline in which a call may still get proof from the agent:
# a few round trips and one tick on each side.
PROOF_GRACE_MS: Final = 500
# A try that nobody waits for keeps its place on the executor up to this time
# after the deadline, unless the agent reports its end earlier.
FORGET_MS: Final = 60_000
# Endings that say nothing about the executor.
NEUTRAL_CODES: Final = frozenset(
    {
        errors.CANCELLED,
        errors.DEADLINE_PASSED,
        errors.LEAVING,
        errors.OVERLOADED,
    }
)


class Dispatcher:
    """Calls in progress of one entry and the targets that run them.

    :param on_end: called once for each call that got its result
    """

    def __init__(
        self,
        entry_id: str,
        data_centre: str,
        clock: Callable[[], int],
        rng: random.Random,
        metrics: telemetry.Telemetry,
        on_end: Callable[[call_tries.ActiveCall], None],
    ) -> None:
        self.calls: dict[str, call_tries.ActiveCall] = {}
        self.pools: dict[str, call_pools.CallPool] = {}
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._on_end = on_end
        self._links = call_links.CallLinks(entry_id, metrics)
        self._retrying: dict[str, list[call_tries.ActiveCall]]
        self._retrying = collections.defaultdict(list)

    def find_pool(self, service: str) -> call_pools.CallPool:
        """Return the pool of a service, created when it is new."""
        if service not in self.pools:
            pool = call_pools.CallPool(self._data_centre, self._rng)
            self.pools[service] = pool
        return self.pools[service]

    def attach(self, target: call_links.Target, send: call_links.Send) -> None:
        """Add a target; a new stream replaces an earlier one."""
        self.detach(target.target_id)
        self._links.add(target, send)
        self.find_pool(target.service).add_executor(
            target.target_id,
            target.data_centre,
            target.slots,
            target.connections,
            self._clock(),
        )
        self.pump(target.service)

    def detach(self, target_id: str) -> None:
        """Remove a target; what its calls did is unknown."""
        service = self._links.remove(target_id)
        if service is None:
            return
        self.find_pool(service).remove_executor(target_id)
        code = errors.OUTCOME_UNKNOWN
        for item in self._links.find_tries(target_id):
            self._end_try(item, code, True, 'the stream broke')
        self.pump(service)

    def receive_report(self, target_id: str, report: inner_pb2.Report) -> None:
        """Record the load of a target and whether it is leaving."""
        service = self._links.find_service(target_id)
        if service is None:
            return
        pool = self.find_pool(service)
        held_calls = report.queued_calls + report.running_calls
        pool.record_report(target_id, held_calls, self._clock())
        if report.leaving:
            pool.mark_leaving(target_id)
        self.pump(service)

    def receive_chunk(
        self, target_id: str, chunk: inner_pb2.CallChunk
    ) -> None:
        """Pass a part of an answer to the call that waits for it."""
        item = self._links.find_try(target_id, chunk.call_id)
        if item is None or chunk.sequence < item.chunks:
            return
        call = item.call
        if call.result is not None or call.winner not in (None, item):
            return
        fault = item.find_fault(chunk)
        if fault:
            self._links.cancel(item)
            self._end_try(item, errors.ANSWER_TRUNCATED, True, fault)
            return
        if call.winner is None:
            call.winner = item
            self._cancel_losers(call, item)
        call.push(chunk.data)

    def receive_end(self, target_id: str, end: inner_pb2.CallEnd) -> None:
        """End a try as its agent reports it."""
        item = self._links.find_try(target_id, end.call_id)
        if item is None:
            return
        service = item.call.submission.service
        pool = self.find_pool(service)
        code, ran, detail = errors.find(end.code), end.ran, end.detail
        if code is errors.LEAVING:
            pool.mark_leaving(target_id)
        call = item.call
        is_answer = call.winner in (None, item) and not call.is_abandoned
        is_whole = code in (errors.OK, errors.EXECUTOR_FAILED)
        if is_answer and is_whole and end.chunks != item.chunks:
            code, ran = errors.ANSWER_TRUNCATED, True
            detail = f'{item.chunks} of {end.chunks} chunks'
        self._end_try(item, code, ran, detail, end.service_ms)
        pool.record_report(target_id, end.held_calls, self._clock())
        self.pump(service)

    def offer(self, call: call_tries.ActiveCall) -> None:
        """Admit a call to its queue or end it with a refusal."""
        service = call.submission.service
        self.calls[call.submission.call_id] = call
        answer = self.find_pool(service).offer(call.queued, self._clock())
        if isinstance(answer, admission.Refused):
            self.refuse(
                call, answer.code, answer.detail, answer.retry_deadline_ms
            )
            return
        if answer.displaced is not None:
            displaced = self.calls[answer.displaced.call_id]
            retry_ms = self._clock() + call_pools.NO_TARGET_RETRY_MS
            self.refuse(displaced, errors.OVERLOADED, 'displaced', retry_ms)
        self.pump(service)

    def pump(self, service: str) -> None:
        """Send waiting calls while executors are open."""
        now_ms = self._clock()
        pool = self.find_pool(service)
        self._send_retries(service, now_ms)
        while taken := pool.assign_next_call(now_ms):
            call = self.calls[taken[0].call_id]
            waited_ms = now_ms - call.queued.offered_at_ms
            self._metrics.time(telemetry.CALL_QUEUE_WAIT, waited_ms, service)
            self._send_try(call, taken[1])

    def cancel(self, call: call_tries.ActiveCall) -> None:
        """Cancel a call; one that was sent waits for the agent's proof."""
        call.is_cancelled = True
        if not call.open_tries:
            self.refuse(call, errors.CANCELLED)
        for item in list(call.open_tries.values()):
            self._links.cancel(item)

    def refuse(
        self,
        call: call_tries.ActiveCall,
        code: errors.ResultCode,
        detail: str = '',
        retry_deadline_ms: int = 0,
    ) -> None:
        """End a call that has no open try."""
        self.find_pool(call.submission.service).remove_waiting_call(
            call.queued.call_id
        )
        result = call_tries.find_result(code, False, call.may_have_run, detail)
        self._resolve(
            call,
            dataclasses.replace(result, retry_deadline_ms=retry_deadline_ms),
        )

    def give_up(self, call: call_tries.ActiveCall, detail: str) -> None:
        """End a call whose tries gave no proof in time."""
        call.may_have_run = True
        now_ms = self._clock()
        pool = self.find_pool(call.submission.service)
        for item in list(call.open_tries.values()):
            self._links.cancel(item)
            # A target that does not answer in time counts as failing.
            item.recorded = True
            elapsed_ms = now_ms - item.sent_at_ms
            condemned = pool.record_outcome(
                item.target_id, True, elapsed_ms, now_ms
            )
            self._count_ejections(condemned)
        code = errors.OUTCOME_UNKNOWN
        if call.passed_bytes or call.buffer:
            code = errors.ANSWER_TRUNCATED
        self._resolve(call, call_tries.find_result(code, True, True, detail))

    def tick(self) -> None:
        """Act on deadlines, hedges and waiting calls."""
        now_ms = self._clock()
        for call in list(self.calls.values()):
            if call.open_tries and call.result is None:
                self._watch(call, now_ms)
        for item in list(self._links.tries.values()):
            deadline_ms = item.call.queued.deadline_ms
            if now_ms >= deadline_ms + FORGET_MS:
                self._end_try(item, errors.OUTCOME_UNKNOWN, True, 'forgotten')
        for service in list(self.pools):
            self._expire(service, now_ms)
            self.pump(service)

    def return_credit(
        self, call: call_tries.ActiveCall, size_bytes: int
    ) -> None:
        """Let the agent send as much as the caller has taken."""
        if call.winner is not None:
            self._links.return_credit(call.winner, size_bytes)

    def _watch(self, call: call_tries.ActiveCall, now_ms: int) -> None:
        deadline_ms = call.queued.deadline_ms
        if now_ms >= deadline_ms + PROOF_GRACE_MS:
            self.give_up(call, 'no proof after the deadline')
        elif now_ms >= deadline_ms:
            for item in list(call.open_tries.values()):
                self._links.cancel(item)
        elif call.hedge_at_ms is not None and now_ms >= call.hedge_at_ms:
            self._hedge(call, now_ms)

    def _expire(self, service: str, now_ms: int) -> None:
        """Refuse the waiting calls that cannot end in time."""
        pool = self.find_pool(service)
        for queued in pool.expire(now_ms):
            code = errors.DEADLINE_TOO_CLOSE
            if queued.deadline_ms <= now_ms:
                code = errors.DEADLINE_PASSED
            self.refuse(self.calls[queued.call_id], code, 'while queued')

    def _hedge(self, call: call_tries.ActiveCall, now_ms: int) -> None:
        pool = self.find_pool(call.submission.service)
        if call.winner is not None or call.is_cancelled:
            call.hedge_at_ms = None
            return
        if not pool.may_hedge():
            return
        target_id = pool.reserve_hedge_executor(now_ms, call.tried)
        if target_id is None:
            return
        call.hedge_at_ms = None
        pool.spend_retry()
        service = call.submission.service
        self._metrics.count(telemetry.CALLS_HEDGED, service)
        self._send_try(call, target_id)

    def _send_retries(self, service: str, now_ms: int) -> None:
        waiting = self._retrying[service]
        pool = self.find_pool(service)
        for call in list(waiting):
            if call.result is not None:
                waiting.remove(call)
                continue
            if now_ms >= call.queued.deadline_ms:
                waiting.remove(call)
                self.refuse(call, errors.DEADLINE_PASSED, 'before a retry')
                continue
            target_id = pool.reserve_executor(now_ms, call.tried)
            if target_id is not None:
                waiting.remove(call)
                self._send_try(call, target_id)

    def _send_try(self, call: call_tries.ActiveCall, target_id: str) -> None:
        now_ms = self._clock()
        call.tried.append(target_id)
        submission = call.submission
        pool = self.find_pool(submission.service)
        call.hedge_at_ms = hedging.find_hedge_time_ms(
            pool.latency,
            submission.idempotent,
            len(call.tried),
            now_ms,
            submission.deadline_ms,
        )
        item = self._links.open_try(call, target_id, now_ms)
        if not self._links.send_call(item):
            self._end_try(item, errors.NO_TARGET, False, 'not sent')

    def _cancel_losers(
        self, call: call_tries.ActiveCall, winner: call_tries.Try
    ) -> None:
        for item in list(call.open_tries.values()):
            if item is not winner:
                self._links.cancel(item)

    def _end_try(
        self,
        item: call_tries.Try,
        code: errors.ResultCode,
        ran: bool,
        detail: str,
        service_ms: float = 0.0,
    ) -> None:
        """Release a try, and end or retry its call."""
        call = item.call
        self._links.close_try(item)
        self._record_try(item, code, ran, service_ms)
        if call.result is not None:
            return
        call.service_ms = service_ms or None
        if code is errors.OK and call.winner in (None, item):
            self._cancel_losers(call, item)
            done = call_tries.Outcome.DONE
            self._resolve(call, call_tries.Result(done, errors.OK))
            return
        if call.winner is item or not call.open_tries:
            self._end_failed(call, code, ran, detail)
        call.may_have_run = call.may_have_run or ran

    def _record_try(
        self,
        item: call_tries.Try,
        code: errors.ResultCode,
        ran: bool,
        service_ms: float,
    ) -> None:
        now_ms = self._clock()
        failed: bool | None = code not in (errors.OK, errors.STOPPED)
        if item.recorded or (not ran and code in NEUTRAL_CODES):
            failed = None
        if not service_ms:
            service_ms = now_ms - item.sent_at_ms
        pool = self.find_pool(item.call.submission.service)
        self._count_ejections(
            pool.finish_try(item.target_id, failed, service_ms, now_ms)
        )

    def _end_failed(
        self,
        call: call_tries.ActiveCall,
        code: errors.ResultCode,
        ran: bool,
        detail: str,
    ) -> None:
        """Retry a call whose last try failed, or end it."""
        submission = call.submission
        service = submission.service
        passed_bytes = call.passed_bytes + sum(map(len, call.buffer))
        may_retry = not call.is_cancelled and retries.may_retry(
            submission.idempotent,
            ran or call.may_have_run,
            passed_bytes,
            self._clock(),
            submission.deadline_ms,
        )
        if may_retry and self.find_pool(service).spend_retry():
            call.winner = None
            self._metrics.count(telemetry.CALLS_RETRIED, service)
            self._retrying[service].append(call)
            return
        if passed_bytes and ran and code is not errors.EXECUTOR_FAILED:
            code = errors.ANSWER_TRUNCATED
        result = call_tries.find_result(code, ran, call.may_have_run, detail)
        if result.outcome is call_tries.Outcome.NOT_RUN:
            retry_ms = self._clock() + retries.REFUSED_BACKOFF_MS
            result = dataclasses.replace(result, retry_deadline_ms=retry_ms)
        self._resolve(call, result)

    def _resolve(
        self, call: call_tries.ActiveCall, result: call_tries.Result
    ) -> None:
        if call.result is not None:
            return
        call.resolve(result)
        del self.calls[call.submission.call_id]
        ran = result.outcome is not call_tries.Outcome.NOT_RUN
        pool = self.find_pool(call.submission.service)
        pool.finish_call(call.queued, self._clock(), ran, call.service_ms)
        self._on_end(call)

    def _count_ejections(self, ejections: tuple[object, ...]) -> None:
        if ejections:
            self._metrics.count(
                telemetry.EXECUTORS_EJECTED, '', len(ejections)
            )
