"""Requests of callers, carried out by the owner wherever it is.

A request whose answer is lost is sent again, to the next owner if need be:
all of them may be repeated without another effect. "Refused" is said only if
the owner said it, or if the request never left this entry.
"""

import asyncio
from typing import Final

from borageshelf import clock
from borageshelf.entry.workflows import election as election_module
from borageshelf import errors
from borageshelf import loop as loop_module
from borageshelf.model import workflows
from borageshelf.ports import store as store_interface
from borageshelf.workflows import effects
from borageshelf.workflows import jobs
from borageshelf.workflows import journal
from borageshelf.workflows import messages
from borageshelf.workflows import records

# A takeover after a crash is over by then; a caller that waited longer could
# have come back through another entry.
OWNER_WAIT_MS: Final = 900
RETRY_AFTER_S: Final = 1
# The store answers a read in milliseconds when no owner does.
FIND_WAIT_MS: Final = 700
# The answer has to reach the caller before it gives up.
ANSWER_MARGIN_MS: Final = 150
LEAST_MS: Final = 100


class RequestService:
    """Carries out requests."""

    def __init__(
        self,
        election: election_module.Election,
        store: store_interface.Store,
    ) -> None:
        self._election = election
        self._store = store

    async def submit(
        self,
        workflow: workflows.Workflow,
        queue: workflows.Queue,
        deadline_ms: int,
    ) -> messages.RequestAnswer:
        """Hand a workflow in."""
        return await self._ask(
            messages.SubmitRequest(0, workflow, queue), deadline_ms
        )

    async def cancel(
        self, workflow_id: str, deadline_ms: int
    ) -> messages.RequestAnswer:
        """Cancel a workflow."""
        return await self._ask(
            messages.CancelRequest(0, workflow_id), deadline_ms
        )

    async def find_state(
        self, workflow_id: str, deadline_ms: int
    ) -> messages.RequestAnswer:
        """Read the state of a workflow; without an owner from the store."""
        owner_deadline_ms = clock.read_elapsed_ms() + FIND_WAIT_MS
        answer = await self._ask(
            messages.FindRequest(0, workflow_id),
            min(deadline_ms, owner_deadline_ms),
        )
        if answer.outcome in (effects.Outcome.ABSENT, effects.Outcome.FOUND):
            return answer
        return await self._find_stored(workflow_id)

    async def count_pending(
        self, queue: str, deadline_ms: int
    ) -> messages.RequestAnswer:
        """Count the workflows of a queue that have not begun."""
        return await self._ask(messages.CountRequest(0, queue), deadline_ms)

    async def _ask(
        self, request: messages.Request, deadline_ms: int
    ) -> messages.RequestAnswer:
        now_ms = clock.read_elapsed_ms()
        # A refusal takes no time, so the owner is asked in any case.
        deadline_ms = max(deadline_ms - ANSWER_MARGIN_MS, now_ms + LEAST_MS)
        owner_deadline_ms = now_ms + OWNER_WAIT_MS
        owner_deadline_ms = min(owner_deadline_ms, deadline_ms)
        was_sent = False
        while True:
            answer = await self._try(request, deadline_ms)
            if answer is not None:
                if answer.outcome is not effects.Outcome.UNKNOWN:
                    return answer
                was_sent = True
            now_ms = clock.read_elapsed_ms()
            if was_sent and now_ms >= deadline_ms:
                return messages.RequestAnswer(0, effects.Outcome.UNKNOWN)
            if not was_sent and now_ms >= owner_deadline_ms:
                return messages.RequestAnswer(
                    0, effects.Outcome.REFUSED, RETRY_AFTER_S
                )
            await loop_module.wait_for_event(
                self._election.changed, election_module.FOLLOW_PAUSE_MS
            )
            await asyncio.sleep(0.005)

    async def _try(
        self, request: messages.Request, deadline_ms: int
    ) -> messages.RequestAnswer | None:
        """Ask the owner, if one is known."""
        local = self._election.local
        if local is not None:
            return await local.answer(request, deadline_ms)
        link = self._election.link
        if link is None:
            return None
        try:
            return await link.ask(request, deadline_ms)
        except election_module.LinkBroken:
            return messages.RequestAnswer(0, effects.Outcome.UNKNOWN)

    async def _find_stored(self, workflow_id: str) -> messages.RequestAnswer:
        """Read the state that the last owner committed."""
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
        default = 'running' if state.tasks else 'queued'
        return messages.RequestAnswer(
            0,
            effects.Outcome.FOUND,
            state=jobs.STATE_NAMES.get(state.phase, default),
        )
