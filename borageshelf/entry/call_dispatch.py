"""Dispatch of calls: tries, answers, retries, hedges and deadlines.

Used by ``entry.calls``. Keeps the queue and the executors of each service
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

# Time after the deadline of a call in which its agent can still report whether
# it ran: a few round trips and one tick on each side.
OUTCOME_REPORT_GRACE_MS: Final = 500
# A try whose call has ended keeps its place on the executor until this time
# after the deadline, unless the agent reports its end earlier.
STALE_TRY_RETENTION_MS: Final = 60_000
# Codes of tries that an executor took and did not answer.
BROKEN_CODES: Final = frozenset(
    {errors.ANSWER_TRUNCATED, errors.OUTCOME_UNKNOWN}
)
# Codes of tries that did not run for a reason other than the executor; they
# count neither as its success nor as its failure.
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

    Each call ends with one result. "Not run" is reported only if every try
    of the call is proved not to have run.

    :param on_end: called once for each call, when its result is set
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
        self._calls_to_retry: dict[str, list[call_tries.ActiveCall]]
        self._calls_to_retry = collections.defaultdict(list)

    def get_pool(self, service: str) -> call_pools.CallPool:
        """Return the pool of a service; create it if the service is new."""
        if service not in self.pools:
            pool = call_pools.CallPool(self._data_centre, self._rng)
            self.pools[service] = pool
        return self.pools[service]

    def attach(
        self, target: call_links.Target, send: call_links.SendToAgent
    ) -> None:
        """Add a target; a new stream replaces an earlier one."""
        self.detach(target.target_id)
        self._links.add_target(target, send)
        self.get_pool(target.service).add_executor(
            target.target_id,
            target.data_centre,
            target.slots,
            target.connections,
            self._clock(),
        )
        self.send_waiting_calls(target.service)

    def detach(self, target_id: str) -> None:
        """Remove a target; its open tries end with an unknown outcome."""
        service = self._links.remove_target(target_id)
        if service is None:
            return
        self.get_pool(service).remove_executor(target_id)
        code = errors.OUTCOME_UNKNOWN
        for call_try in self._links.find_open_tries(target_id):
            self._end_try(
                call_try, code, True, 'the stream to the agent ended'
            )
        self.send_waiting_calls(service)

    def receive_report(self, target_id: str, report: inner_pb2.Report) -> None:
        """Record the load of a target and whether it is leaving."""
        service = self._links.find_service(target_id)
        if service is None:
            return
        pool = self.get_pool(service)
        held_calls = report.queued_calls + report.running_calls
        pool.record_report(target_id, held_calls, self._clock())
        if report.leaving:
            pool.mark_leaving(target_id)
        self.send_waiting_calls(service)

    def receive_chunk(
        self, target_id: str, chunk: inner_pb2.CallChunk
    ) -> None:
        """Append a chunk of an answer to its call.

        Repeated chunks and chunks of other tries than the answering one are
        ignored. A protocol violation ends the try.
        """
        call_try = self._links.find_open_try(target_id, chunk.call_id)
        if call_try is None or chunk.sequence < call_try.received_chunks:
            return
        call = call_try.call
        if call.result is not None or call.answering_try not in (
            None,
            call_try,
        ):
            return
        protocol_fault = call_try.accept_chunk(chunk)
        if protocol_fault:
            self._links.cancel(call_try)
            self._end_try(
                call_try, errors.ANSWER_TRUNCATED, True, protocol_fault
            )
            return
        if call.answering_try is None:
            call.answering_try = call_try
            self._cancel_other_tries(call, call_try)
        call.append_data(chunk.data)

    def receive_end(self, target_id: str, end: inner_pb2.CallEnd) -> None:
        """End a try with the outcome that its agent reports."""
        call_try = self._links.find_open_try(target_id, end.call_id)
        if call_try is None:
            return
        service = call_try.call.submission.service
        pool = self.get_pool(service)
        code, ran, detail = errors.find(end.code), end.ran, end.detail
        if code is errors.LEAVING:
            pool.mark_leaving(target_id)
        call = call_try.call
        may_be_answer = (
            call.answering_try in (None, call_try) and not call.is_abandoned
        )
        reports_complete_answer = code in (errors.OK, errors.EXECUTOR_FAILED)
        if (
            may_be_answer
            and reports_complete_answer
            and end.chunks != call_try.received_chunks
        ):
            code, ran = errors.ANSWER_TRUNCATED, True
            detail = f'{call_try.received_chunks} of {end.chunks} chunks'
        self._end_try(call_try, code, ran, detail, end.service_ms)
        pool.record_report(target_id, end.held_calls, self._clock())
        self.send_waiting_calls(service)

    def admit(self, call: call_tries.ActiveCall) -> None:
        """Admit a call to the queue of its service or refuse it."""
        service = call.submission.service
        self.calls[call.submission.call_id] = call
        answer = self.get_pool(service).offer(call.queued, self._clock())
        if isinstance(answer, admission.Refused):
            self.refuse(
                call, answer.code, answer.detail, answer.retry_deadline_ms
            )
            return
        if answer.displaced is not None:
            displaced = self.calls[answer.displaced.call_id]
            retry_at_ms = self._clock() + call_pools.NO_TARGET_RETRY_MS
            self.refuse(displaced, errors.OVERLOADED, 'displaced', retry_at_ms)
        self.send_waiting_calls(service)

    def send_waiting_calls(self, service: str) -> None:
        """Send retries and waiting calls while executors are open."""
        now_ms = self._clock()
        pool = self.get_pool(service)
        self._send_retries(service, now_ms)
        while assignment := pool.assign_next_call(now_ms):
            call = self.calls[assignment[0].call_id]
            waited_ms = now_ms - call.queued.offered_at_ms
            self._metrics.time(telemetry.CALL_QUEUE_WAIT, waited_ms, service)
            self._send_try(call, assignment[1])

    def cancel(self, call: call_tries.ActiveCall) -> None:
        """Cancel a call.

        A call that was sent ends when its agents report whether it ran.
        """
        call.is_cancelled = True
        if not call.open_tries:
            self.refuse(call, errors.CANCELLED)
        for call_try in list(call.open_tries.values()):
            self._links.cancel(call_try)

    def refuse(
        self,
        call: call_tries.ActiveCall,
        code: errors.ResultCode,
        detail: str = '',
        retry_deadline_ms: int = 0,
    ) -> None:
        """Refuse a call that has no open try.

        :param retry_deadline_ms: Unix milliseconds before which a retry is
            expected to fail, or 0
        """
        self.get_pool(call.submission.service).remove_waiting_call(
            call.queued.call_id
        )
        result = call_tries.make_failure_result(
            code, False, call.may_have_run, detail
        )
        self._end_call(
            call,
            dataclasses.replace(result, retry_deadline_ms=retry_deadline_ms),
        )

    def end_as_unknown(self, call: call_tries.ActiveCall, detail: str) -> None:
        """End a call whose agents did not report in time whether it ran."""
        call.may_have_run = True
        now_ms = self._clock()
        pool = self.get_pool(call.submission.service)
        for call_try in list(call.open_tries.values()):
            self._links.cancel(call_try)
            # A target that does not answer in time counts as a failure.
            call_try.is_outcome_recorded = True
            elapsed_ms = now_ms - call_try.sent_at_ms
            ejections = pool.record_outcome(
                call_try.target_id, True, elapsed_ms, now_ms
            )
            self._count_ejections(ejections)
        code = errors.OUTCOME_UNKNOWN
        if call.forwarded_bytes or call.buffer:
            code = errors.ANSWER_TRUNCATED
        self._end_call(
            call, call_tries.make_failure_result(code, True, True, detail)
        )

    def tick(self) -> None:
        """Handle deadlines and hedges, and send waiting calls."""
        now_ms = self._clock()
        for call in list(self.calls.values()):
            if call.open_tries and call.result is None:
                self._handle_call_timers(call, now_ms)
        for call_try in list(self._links.tries.values()):
            deadline_ms = call_try.call.queued.deadline_ms
            if now_ms >= deadline_ms + STALE_TRY_RETENTION_MS:
                self._end_try(
                    call_try, errors.OUTCOME_UNKNOWN, True, 'forgotten'
                )
        for service in list(self.pools):
            self._refuse_expired_calls(service, now_ms)
            self.send_waiting_calls(service)

    def return_credit(
        self, call: call_tries.ActiveCall, size_bytes: int
    ) -> None:
        """Let the agent send as many bytes as the caller has taken."""
        if call.answering_try is not None:
            self._links.return_credit(call.answering_try, size_bytes)

    def _handle_call_timers(
        self, call: call_tries.ActiveCall, now_ms: int
    ) -> None:
        deadline_ms = call.queued.deadline_ms
        if now_ms >= deadline_ms + OUTCOME_REPORT_GRACE_MS:
            self.end_as_unknown(
                call, 'no report of the agent after the deadline'
            )
        elif now_ms >= deadline_ms:
            for call_try in list(call.open_tries.values()):
                self._links.cancel(call_try)
        elif call.hedge_at_ms is not None and now_ms >= call.hedge_at_ms:
            self._send_hedge(call, now_ms)

    def _refuse_expired_calls(self, service: str, now_ms: int) -> None:
        """Refuse the waiting calls that can no longer end in time."""
        pool = self.get_pool(service)
        for queued in pool.expire(now_ms):
            code = errors.DEADLINE_TOO_CLOSE
            if queued.deadline_ms <= now_ms:
                code = errors.DEADLINE_PASSED
            self.refuse(self.calls[queued.call_id], code, 'while queued')

    def _send_hedge(self, call: call_tries.ActiveCall, now_ms: int) -> None:
        pool = self.get_pool(call.submission.service)
        if call.answering_try is not None or call.is_cancelled:
            call.hedge_at_ms = None
            return
        if not pool.may_hedge():
            return
        target_id = pool.reserve_hedge_executor(now_ms, call.tried_target_ids)
        if target_id is None:
            return
        call.hedge_at_ms = None
        pool.spend_retry()
        service = call.submission.service
        self._metrics.count(telemetry.CALLS_HEDGED, service)
        self._send_try(call, target_id)

    def _send_retries(self, service: str, now_ms: int) -> None:
        waiting = self._calls_to_retry[service]
        pool = self.get_pool(service)
        for call in list(waiting):
            if call.result is not None:
                waiting.remove(call)
                continue
            if now_ms >= call.queued.deadline_ms:
                waiting.remove(call)
                self.refuse(call, errors.DEADLINE_PASSED, 'before a retry')
                continue
            target_id = pool.reserve_executor(now_ms, call.tried_target_ids)
            if target_id is not None:
                waiting.remove(call)
                self._send_try(call, target_id)

    def _send_try(self, call: call_tries.ActiveCall, target_id: str) -> None:
        now_ms = self._clock()
        call.tried_target_ids.append(target_id)
        submission = call.submission
        pool = self.get_pool(submission.service)
        call.hedge_at_ms = hedging.compute_hedge_time_ms(
            pool.latency,
            submission.idempotent,
            len(call.tried_target_ids),
            now_ms,
            submission.deadline_ms,
        )
        call_try = self._links.open_try(call, target_id, now_ms)
        if not self._links.send_call(call_try):
            self._end_try(call_try, errors.NO_TARGET, False, 'not sent')

    def _cancel_other_tries(
        self, call: call_tries.ActiveCall, kept_try: call_tries.Try
    ) -> None:
        for call_try in list(call.open_tries.values()):
            if call_try is not kept_try:
                self._links.cancel(call_try)

    def _end_try(
        self,
        call_try: call_tries.Try,
        code: errors.ResultCode,
        ran: bool,
        detail: str,
        service_ms: float = 0.0,
    ) -> None:
        """Close a try, and end or retry its call.

        :param ran: whether the try may have run
        :param service_ms: time in the executor, or 0 if it is unknown
        """
        call = call_try.call
        self._links.close_try(call_try)
        self._record_try_outcome(call_try, code, ran, service_ms)
        if call.result is not None:
            return
        call.service_ms = service_ms or None
        if ran and code in BROKEN_CODES:
            call.broken_tries += 1
        if code is errors.OK and call.answering_try in (None, call_try):
            self._cancel_other_tries(call, call_try)
            done = call_tries.Outcome.DONE
            self._end_call(call, call_tries.Result(done, errors.OK))
            return
        if call.answering_try is call_try or not call.open_tries:
            self._retry_or_end_call(call, code, ran, detail)
        call.may_have_run = call.may_have_run or ran

    def _record_try_outcome(
        self,
        call_try: call_tries.Try,
        code: errors.ResultCode,
        ran: bool,
        service_ms: float,
    ) -> None:
        now_ms = self._clock()
        failed: bool | None = code not in (errors.OK, errors.STOPPED)
        if call_try.is_outcome_recorded or (not ran and code in NEUTRAL_CODES):
            failed = None
        if not service_ms:
            service_ms = now_ms - call_try.sent_at_ms
        pool = self.get_pool(call_try.call.submission.service)
        self._count_ejections(
            pool.finish_try(call_try.target_id, failed, service_ms, now_ms)
        )

    def _retry_or_end_call(
        self,
        call: call_tries.ActiveCall,
        code: errors.ResultCode,
        ran: bool,
        detail: str,
    ) -> None:
        """Retry a call whose last try failed, or end it.

        :param ran: whether the last try may have run
        """
        submission = call.submission
        service = submission.service
        forwarded_bytes = call.forwarded_bytes + sum(map(len, call.buffer))
        may_retry = not call.is_cancelled and retries.may_retry(
            submission.idempotent,
            ran or call.may_have_run,
            forwarded_bytes,
            self._clock(),
            submission.deadline_ms,
            call.broken_tries,
        )
        if may_retry and self.get_pool(service).spend_retry():
            call.answering_try = None
            self._metrics.count(telemetry.CALLS_RETRIED, service)
            self._calls_to_retry[service].append(call)
            return
        if forwarded_bytes and ran and code is not errors.EXECUTOR_FAILED:
            code = errors.ANSWER_TRUNCATED
        result = call_tries.make_failure_result(
            code, ran, call.may_have_run, detail
        )
        if result.outcome is call_tries.Outcome.NOT_RUN:
            retry_at_ms = self._clock() + retries.REFUSED_BACKOFF_MS
            result = dataclasses.replace(result, retry_deadline_ms=retry_at_ms)
        self._end_call(call, result)

    def _end_call(
        self, call: call_tries.ActiveCall, result: call_tries.Result
    ) -> None:
        if call.result is not None:
            return
        call.resolve(result)
        del self.calls[call.submission.call_id]
        ran = result.outcome is not call_tries.Outcome.NOT_RUN
        pool = self.get_pool(call.submission.service)
        pool.finish_call(call.queued, self._clock(), ran, call.service_ms)
        self._on_end(call)

    def _count_ejections(self, ejections: tuple[object, ...]) -> None:
        if ejections:
            self._metrics.count(
                telemetry.EXECUTORS_EJECTED, '', len(ejections)
            )
