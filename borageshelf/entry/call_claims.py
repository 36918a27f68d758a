"""Durable claims on the keys of non-idempotent calls.

A claim guards against a second run when a caller repeats a call with the same
key: it is committed before the call may be sent, and settled when the outcome
of the call is known. Used by ``entry.calls``. The owner of the key's shard
makes the commits; functions passed to ``CallClaims`` reach it.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
from typing import Final

from absl import logging

from borageshelf.decisions import retries
from borageshelf.entry import call_tries
from borageshelf import errors
from borageshelf.shards import records

MAX_SETTLE_TRIES: Final = 5
CLAIM_OUTCOMES: Final = {
    call_tries.Outcome.DONE: records.ClaimOutcome.DONE,
    call_tries.Outcome.NOT_RUN: records.ClaimOutcome.NOT_RUN,
    call_tries.Outcome.UNKNOWN: records.ClaimOutcome.UNKNOWN,
}
PROVED_OUTCOMES: Final = {
    records.ClaimOutcome.DONE: call_tries.Outcome.DONE,
    records.ClaimOutcome.NOT_RUN: call_tries.Outcome.NOT_RUN,
}


@dataclasses.dataclass(frozen=True)
class ClaimAnswer:
    """Answer of the shard's owner to a claim, sent after its commit.

    :param granted: whether the call may run; a repeated claim with the same
        call id is granted again
    :param outcome: what is known about the call that holds the key
    """

    granted: bool
    outcome: records.ClaimOutcome = records.ClaimOutcome.CLAIMED


# claim(key, call_id) raises BorageshelfError. A code of the category
# "not run" proves that the claim was not committed.
ClaimKey = Callable[[str, str], Awaitable[ClaimAnswer]]
# settle(key, call_id, outcome) raises BorageshelfError if it is not committed.
# The outcome "not run" releases the key, so that a repeat of the call may run.
SettleClaim = Callable[[str, str, records.ClaimOutcome], Awaitable[None]]


class CallClaims:
    """Claims and settles the keys of one entry's calls.

    :param claim: commits a claim, see ``ClaimKey``
    :param settle: commits an outcome, see ``SettleClaim``
    :param clock: returns the wall-clock time in Unix milliseconds
    """

    def __init__(
        self, claim: ClaimKey, settle: SettleClaim, clock: Callable[[], int]
    ) -> None:
        self._commit_claim = claim
        self._commit_settlement = settle
        self._clock = clock
        self._background_tasks: set[asyncio.Task[None]] = set()

    async def claim(
        self, submission: call_tries.Submission
    ) -> call_tries.Result | None:
        """Claim the key of a call; return None if the call may be sent.

        A returned result is final: the call has not been sent and must not
        be sent.
        """
        task = asyncio.ensure_future(
            self._commit_claim(submission.key, submission.call_id)
        )
        remaining_ms = max(submission.deadline_ms - self._clock(), 0)
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                answer = await asyncio.shield(task)
        except errors.BorageshelfError as error:
            if error.code.category is errors.Category.NOT_RUN:
                return _make_refusal(error.code, error.detail)
            self._start_in_background(
                self._release_unused_claim(submission, task)
            )
            return _make_refusal(errors.STORE_UNAVAILABLE, error.code.name)
        except TimeoutError:
            self._start_in_background(
                self._release_unused_claim(submission, task)
            )
            return _make_refusal(
                errors.DEADLINE_PASSED, 'while claiming the key of the call'
            )
        except asyncio.CancelledError:
            self._start_in_background(
                self._release_unused_claim(submission, task)
            )
            raise
        if answer.granted:
            return None
        outcome = PROVED_OUTCOMES.get(
            answer.outcome, call_tries.Outcome.UNKNOWN
        )
        return call_tries.Result(
            outcome, errors.DUPLICATE_KEY, answer.outcome.value
        )

    async def settle(
        self, submission: call_tries.Submission, outcome: call_tries.Outcome
    ) -> None:
        """Record the outcome of a call that holds a claim.

        "Not run" is recorded before the caller learns it, because the caller
        may repeat the call at once. Other outcomes are recorded in the
        background, because they only tell a repeat what is known.
        """
        if submission.idempotent or not submission.key:
            return
        settlement = self._settle_with_retries(
            submission, CLAIM_OUTCOMES[outcome]
        )
        if outcome is not call_tries.Outcome.NOT_RUN:
            self._start_in_background(settlement)
            return
        task = self._start_in_background(settlement)
        remaining_ms = max(submission.deadline_ms - self._clock(), 0)
        await asyncio.wait([task], timeout=remaining_ms / 1000)

    def settle_in_background(
        self, submission: call_tries.Submission, outcome: call_tries.Outcome
    ) -> None:
        """Record the outcome of a call whose caller has disconnected."""
        if submission.key and not submission.idempotent:
            self._start_in_background(
                self._settle_with_retries(submission, CLAIM_OUTCOMES[outcome])
            )

    async def wait_until_settled(self) -> None:
        """Wait until each outcome is recorded or its tries are used up."""
        while self._background_tasks:
            await asyncio.wait(self._background_tasks)

    def _start_in_background(
        self, coroutine: Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        task = asyncio.ensure_future(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task

    async def _release_unused_claim(
        self,
        submission: call_tries.Submission,
        task: asyncio.Future[ClaimAnswer],
    ) -> None:
        """Release a claim that may be committed although its call is not sent.

        :param task: the claim, which may still be in progress
        """
        try:
            answer = await task
            may_hold_claim = answer.granted
        except errors.BorageshelfError as error:
            may_hold_claim = error.code.category is not errors.Category.NOT_RUN
        if may_hold_claim:
            await self._settle_with_retries(
                submission, records.ClaimOutcome.NOT_RUN
            )

    async def _settle_with_retries(
        self,
        submission: call_tries.Submission,
        outcome: records.ClaimOutcome,
    ) -> None:
        """Record an outcome, with a limited number of tries.

        A claim that stays unsettled is still correct: a repeat of the call is
        refused and its outcome is reported as unknown.
        """
        key, call_id = submission.key, submission.call_id
        for failures in range(1, MAX_SETTLE_TRIES + 1):
            try:
                await self._commit_settlement(key, call_id, outcome)
                return
            except errors.BorageshelfError as error:
                code = error.code
            delay_ms = retries.compute_backoff_ms(call_id, failures)
            await asyncio.sleep(delay_ms / 1000)
        logging.warning(
            'outcome of call %s is not recorded: %s', call_id, code.name
        )


def _make_refusal(code: errors.ResultCode, detail: str) -> call_tries.Result:
    return call_tries.Result(call_tries.Outcome.NOT_RUN, code, detail)
