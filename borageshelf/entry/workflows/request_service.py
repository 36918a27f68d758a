"""Forwards callers' requests to the owner of the workflows.

All requests are idempotent, so one whose answer is lost is sent again, to the
next owner if ownership has changed. A request is reported as refused only if
it was never sent to an owner, or if an owner refused it to which no other copy
of it is on its way; otherwise an outcome that cannot be determined is reported
as unknown.
"""

import asyncio
from typing import Final

from borageshelf import clock
from borageshelf.entry.workflows import election
from borageshelf.entry.workflows import owner_stream
from borageshelf import errors
from borageshelf import loop
from borageshelf.model import workflows
from borageshelf.ports import store as store_interface
from borageshelf.workflows import cancellations
from borageshelf.workflows import effects
from borageshelf.workflows import jobs
from borageshelf.workflows import journal
from borageshelf.workflows import messages
from borageshelf.workflows import records

# Long enough for a takeover after a crash of the owner. Instead of waiting
# longer, a caller can retry through another entry.
OWNER_WAIT_LIMIT_MS: Final = 900
RETRY_AFTER_S: Final = 1
# After this time without an answer from an owner, the state is read from the
# store, which takes milliseconds.
OWNER_READ_TIMEOUT_MS: Final = 700
# Reserved for the answer to reach the caller before its deadline.
ANSWER_MARGIN_MS: Final = 150
MIN_REQUEST_TIMEOUT_MS: Final = 100


class RequestService:
    """Carries out callers' requests through the current owner.

    :param entry_id: id of this entry, for the owner's log
    """

    def __init__(
        self,
        owner_election: election.Election,
        store: store_interface.Store,
        entry_id: str = '',
    ) -> None:
        self._election = owner_election
        self._store = store
        self._entry_id = entry_id
        self._closing_deadline_ms: int | None = None

    def begin_closing(self, deadline_ms: int) -> None:
        """Answer all later requests before the process ends.

        :param deadline_ms: elapsed time of the last answers
        """
        self._closing_deadline_ms = deadline_ms

    async def submit(
        self,
        workflow: workflows.Workflow,
        queue: workflows.Queue,
        deadline_ms: int,
    ) -> messages.RequestAnswer:
        """Submit a workflow to the owner."""
        deadline_ms = min(
            deadline_ms,
            clock.read_elapsed_ms() + cancellations.SUBMISSION_LIFETIME_MS,
        )
        return await self._request_from_owner(
            messages.SubmitRequest(0, workflow, queue, self._make_origin()),
            deadline_ms,
        )

    async def cancel(
        self, workflow_id: str, deadline_ms: int
    ) -> messages.RequestAnswer:
        """Cancel a workflow."""
        return await self._request_from_owner(
            messages.CancelRequest(0, workflow_id, self._make_origin()),
            deadline_ms,
        )

    async def find_state(
        self, workflow_id: str, deadline_ms: int
    ) -> messages.RequestAnswer:
        """Return the state of a workflow.

        If no owner answers in time, the state is read from the store.
        """
        owner_deadline_ms = clock.read_elapsed_ms() + OWNER_READ_TIMEOUT_MS
        answer = await self._request_from_owner(
            messages.FindRequest(0, workflow_id),
            min(deadline_ms, owner_deadline_ms),
        )
        if answer.outcome in (effects.Outcome.ABSENT, effects.Outcome.FOUND):
            return answer
        return await self._read_stored_state(workflow_id)

    async def count_pending(
        self, queue: str, deadline_ms: int
    ) -> messages.RequestAnswer:
        """Count the workflows of a queue that have not started."""
        return await self._request_from_owner(
            messages.CountRequest(0, queue), deadline_ms
        )

    async def _request_from_owner(
        self, request: messages.Request, deadline_ms: int
    ) -> messages.RequestAnswer:
        now_ms = clock.read_elapsed_ms()
        if self._closing_deadline_ms is not None:
            deadline_ms = min(deadline_ms, self._closing_deadline_ms)
        # The owner can refuse a request at once, so it is asked even if the
        # deadline is too close for anything else.
        deadline_ms = max(
            deadline_ms - ANSWER_MARGIN_MS, now_ms + MIN_REQUEST_TIMEOUT_MS
        )
        owner_deadline_ms = now_ms + OWNER_WAIT_LIMIT_MS
        owner_deadline_ms = min(owner_deadline_ms, deadline_ms)
        # Epoch of the last owner that may still receive an earlier copy. The
        # next owner has loaded all that its predecessors have accepted.
        uncertain_epoch = 0
        while True:
            epoch = self._find_owner_epoch()
            answer = await self._try_owner(request, deadline_ms)
            if answer is not None:
                is_refused = answer.outcome is effects.Outcome.REFUSED
                if is_refused and epoch <= uncertain_epoch:
                    return messages.RequestAnswer(
                        0, effects.Outcome.UNKNOWN, answer.retry_after_s
                    )
                if answer.outcome is not effects.Outcome.UNKNOWN:
                    return answer
                uncertain_epoch = max(uncertain_epoch, epoch)
            now_ms = clock.read_elapsed_ms()
            if uncertain_epoch and now_ms >= deadline_ms:
                return messages.RequestAnswer(0, effects.Outcome.UNKNOWN)
            if not uncertain_epoch and now_ms >= owner_deadline_ms:
                return messages.RequestAnswer(
                    0, effects.Outcome.REFUSED, RETRY_AFTER_S
                )
            await loop.wait_for_event(
                self._election.owner_changed, election.POLL_INTERVAL_MS
            )
            await asyncio.sleep(0.005)

    def _make_origin(self) -> messages.Origin:
        return messages.Origin(self._entry_id, clock.read_wall_clock_ms())

    def _find_owner_epoch(self) -> int:
        """Return the epoch of the owner that is asked next; 0 for none."""
        local_owner = self._election.local_owner
        if local_owner is not None:
            return local_owner.epoch
        owner_link = self._election.owner_link
        return owner_link.epoch if owner_link is not None else 0

    async def _try_owner(
        self, request: messages.Request, deadline_ms: int
    ) -> messages.RequestAnswer | None:
        """Send the request to the owner; return None if none is known."""
        local_owner = self._election.local_owner
        if local_owner is not None:
            return await local_owner.answer(request, deadline_ms)
        owner_link = self._election.owner_link
        if owner_link is None:
            return None
        try:
            return await owner_link.forward(request, deadline_ms)
        except owner_stream.OwnerStreamEnded:
            return messages.RequestAnswer(0, effects.Outcome.UNKNOWN)

    async def _read_stored_state(
        self, workflow_id: str
    ) -> messages.RequestAnswer:
        """Read the last committed state of a workflow from the store."""
        key = records.make_state_key(workflow_id)
        try:
            entry = await self._store.get(key)
            if entry is None:
                return messages.RequestAnswer(0, effects.Outcome.ABSENT)
            state: records.StateRecord = journal.decode(
                entry.value, records.StateRecord
            )
        except errors.BorageshelfError:
            return messages.RequestAnswer(0, effects.Outcome.UNKNOWN)
        has_begun = state.tasks or state.complete_occurrences
        active_state = 'running' if has_begun else 'queued'
        return messages.RequestAnswer(
            0,
            effects.Outcome.FOUND,
            state=jobs.STATE_NAMES.get(state.phase, active_state),
        )
