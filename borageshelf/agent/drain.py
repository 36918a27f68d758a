"""Planned stop of an agent: refuse new work, finish or evict the rest.

The phases follow the OJS Graceful Shutdown Specification 1.0.0-rc.1,
section 5: quiet, drain, stop. Unlike there, idempotent attempts are
checkpointed and evicted after half of the time, because the checkpoints and
their commits need the other half.
"""

import asyncio
from typing import Final

from borageshelf.agent import agent_state
from borageshelf.agent import links
from borageshelf.agent import reports
from borageshelf import clock
from borageshelf import loop
from borageshelf import telemetry as telemetry_module

POLL_INTERVAL_MS: Final = 500
# Time for the last messages of a planned stop to reach the entries.
FLUSH_MS: Final = 300


class Drain:
    """Carries out the planned stop of one agent."""

    def __init__(
        self,
        state: agent_state.AgentState,
        entry_links: links.EntryLinks,
        report_maker: reports.ReportMaker,
        background: loop.TaskGroup,
        telemetry: telemetry_module.Telemetry,
    ) -> None:
        self._state = state
        self._links = entry_links
        self._reports = report_maker
        self._background = background
        self._telemetry = telemetry

    async def run(self) -> None:
        """Finish or evict all work and wait until the ends are committed."""
        deadline_ms = clock.read_wall_clock_ms() + self._state.options.drain_ms
        self._telemetry.log_state('agent leaves', deadline_ms=deadline_ms)
        if self._state.tasks is not None:
            self._state.tasks.ledger.begin_drain()
        for link in self._links.list_connected():
            link.send(report=self._reports.make_report(link))
        if self._state.calls is not None:
            self._background.start(self._state.calls.drain(deadline_ms))
        # The second half is left for checkpoints and their commits.
        await self._wait_for_work(
            deadline_ms - self._state.options.drain_ms // 2
        )
        await self._evict(only_idempotent=True)
        # A task that is not idempotent may have no checkpoint. Its outcome
        # would be unknown after a stop, so it gets the whole drain time.
        await self._wait_for_work(deadline_ms)
        await self._evict(only_idempotent=False)
        await self._wait_for_releases(
            deadline_ms + self._state.options.drain_ms
        )
        await asyncio.sleep(FLUSH_MS / 1000)

    async def _wait_for_work(self, deadline_ms: int) -> None:
        """Wait until no call or task is left, or the deadline passes."""
        while not self._state.aborting.is_set():
            if not (
                self._state.has_calls() or self._state.has_running_tasks()
            ):
                return
            if clock.read_wall_clock_ms() >= deadline_ms:
                return
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)

    async def _evict(self, only_idempotent: bool) -> None:
        """Checkpoint and stop the attempts that still run."""
        if self._state.tasks is None or self._state.aborting.is_set():
            return
        await asyncio.gather(
            *(
                self._state.tasks.evict(held.spec.key)
                for held in self._state.tasks.ledger.list_held()
                if held.spec.idempotent or not only_idempotent
            )
        )

    async def _wait_for_releases(self, deadline_ms: int) -> None:
        """Wait until the owners have committed and released all ends."""
        while (
            self._state.tasks is not None and not self._state.aborting.is_set()
        ):
            if not self._state.tasks.ledger.list_held():
                return
            if clock.read_wall_clock_ms() >= deadline_ms:
                return
            for link in self._links.list_connected():
                link.send(report=self._reports.make_report(link))
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)
