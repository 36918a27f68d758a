"""Durable claims on the keys of non-idempotent calls.

The claim is taken before the call may be sent and settled when its result is
known. Used by ``entry.calls``; the commits themselves are made by the owner
of the key's shard, which is reached through the functions given here.
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

SETTLE_TRIES: Final = 5
OUTCOMES: Final = {
    call_tries.Outcome.DONE: records.ClaimOutcome.DONE,
    call_tries.Outcome.NOT_RUN: records.ClaimOutcome.NOT_RUN,
    call_tries.Outcome.UNKNOWN: records.ClaimOutcome.UNKNOWN,
}
KNOWN: Final = {
    records.ClaimOutcome.DONE: call_tries.Outcome.DONE,
    records.ClaimOutcome.NOT_RUN: call_tries.Outcome.NOT_RUN,
}


@dataclasses.dataclass(frozen=True)
class ClaimAnswer:
    """Answer of the shard's owner, sent after its commit.

    :param granted: whether the call may run; a repeat with the same call id
        is granted again
    :param outcome: what is known about the call that holds the key
    """

    granted: bool
    outcome: records.ClaimOutcome = records.ClaimOutcome.CLAIMED


# claim(key, call_id); raises BorageshelfError. A code of the category
# "not run" means that the claim was certainly not committed.
Claim = Callable[[str, str], Awaitable[ClaimAnswer]]
# settle(key, call_id, outcome); raises BorageshelfError if not committed.
# "Not run" releases the key, so that a repeat may run.
Settle = Callable[[str, str, records.ClaimOutcome], Awaitable[None]]


class ClaimKeeper:
    """Claims and settlements of one entry."""

    def __init__(
        self, claim: Claim, settle: Settle, clock: Callable[[], int]
    ) -> None:
        self._claim = claim
        self._settle = settle
        self._clock = clock
        self._background: set[asyncio.Task[None]] = set()

    async def claim(
        self, submission: call_tries.Submission
    ) -> call_tries.Result | None:
        """Claim the key; return None if the call may be sent.

        In every other case the call has not been sent and will not be.
        """
        task = asyncio.ensure_future(
            self._claim(submission.key, submission.call_id)
        )
        remaining_ms = max(submission.deadline_ms - self._clock(), 0)
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                answer = await asyncio.shield(task)
        except errors.BorageshelfError as error:
            if error.code.category is errors.Category.NOT_RUN:
                return _refuse(error.code, error.detail)
            self._start(self._release(submission, task))
            return _refuse(errors.STORE_UNAVAILABLE, error.code.name)
        except TimeoutError:
            self._start(self._release(submission, task))
            return _refuse(errors.DEADLINE_PASSED, 'the claim took too long')
        except asyncio.CancelledError:
            self._start(self._release(submission, task))
            raise
        if answer.granted:
            return None
        outcome = KNOWN.get(answer.outcome, call_tries.Outcome.UNKNOWN)
        return call_tries.Result(
            outcome, errors.DUPLICATE_KEY, answer.outcome.value
        )

    async def settle(
        self, submission: call_tries.Submission, outcome: call_tries.Outcome
    ) -> None:
        """Record the outcome of a call that holds a claim.

        "Not run" is recorded before the caller learns it, because the caller
        may repeat the call at once; other outcomes only inform a repeat.
        """
        if submission.idempotent or not submission.key:
            return
        work = self._settle_persistently(submission, OUTCOMES[outcome])
        if outcome is not call_tries.Outcome.NOT_RUN:
            self._start(work)
            return
        task = self._start(work)
        remaining_ms = max(submission.deadline_ms - self._clock(), 0)
        await asyncio.wait([task], timeout=remaining_ms / 1000)

    def settle_later(
        self, submission: call_tries.Submission, outcome: call_tries.Outcome
    ) -> None:
        """Record the outcome of a call whose caller is gone."""
        if submission.key and not submission.idempotent:
            self._start(
                self._settle_persistently(submission, OUTCOMES[outcome])
            )

    async def wait(self) -> None:
        """Wait until all outcomes are recorded or given up."""
        while self._background:
            await asyncio.wait(self._background)

    def _start(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    async def _release(
        self,
        submission: call_tries.Submission,
        task: asyncio.Future[ClaimAnswer],
    ) -> None:
        """Release a claim that may have been committed without our wish."""
        try:
            answer = await task
            is_ours = answer.granted
        except errors.BorageshelfError as error:
            is_ours = error.code.category is not errors.Category.NOT_RUN
        if is_ours:
            await self._settle_persistently(
                submission, records.ClaimOutcome.NOT_RUN
            )

    async def _settle_persistently(
        self,
        submission: call_tries.Submission,
        outcome: records.ClaimOutcome,
    ) -> None:
        """Try a few times; an unsettled claim stays truthful as unknown."""
        key, call_id = submission.key, submission.call_id
        for failures in range(1, SETTLE_TRIES + 1):
            try:
                await self._settle(key, call_id, outcome)
                return
            except errors.BorageshelfError as error:
                code = error.code
            delay_ms = retries.find_backoff_ms(call_id, failures)
            await asyncio.sleep(delay_ms / 1000)
        logging.warning(
            'outcome of call %s is not recorded: %s', call_id, code.name
        )


def _refuse(code: errors.ResultCode, detail: str) -> call_tries.Result:
    return call_tries.Result(call_tries.Outcome.NOT_RUN, code, detail)
