"""Planned stop of an agent: no new work, finish or move what runs.

The phases follow the OJS Graceful Shutdown Specification 1.0.0-rc.1,
section 5: quiet, drain, stop. Unlike there, work that can be checkpointed is
moved after half of the time, because its commit needs the rest.
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
FAREWELL_MS: Final = 300


class Drain:
    """Carries out the planned stop of one agent."""

    def __init__(
        self,
        parts: agent_state.AgentState,
        entry_links: links.EntryLinks,
        report_maker: reports.ReportMaker,
        background: loop.TaskGroup,
        telemetry: telemetry_module.Telemetry,
    ) -> None:
        self._parts = parts
        self._links = entry_links
        self._reports = report_maker
        self._background = background
        self._telemetry = telemetry

    async def run(self) -> None:
        """Finish or checkpoint all work, then say goodbye."""
        deadline_ms = clock.read_wall_clock_ms() + self._parts.options.drain_ms
        self._telemetry.log_state('agent leaves', deadline_ms=deadline_ms)
        if self._parts.tasks is not None:
            self._parts.tasks.ledger.begin_drain()
        for link in self._links.list_connected():
            link.send(report=self._reports.make_report(link))
        if self._parts.calls is not None:
            self._background.start(self._parts.calls.drain(deadline_ms))
        # Checkpoints and their commits need the second half of the time.
        await self._wait_for_work(
            deadline_ms - self._parts.options.drain_ms // 2
        )
        await self._evict(only_idempotent=True)
        # A non-idempotent task may have no checkpoint, and its outcome would
        # be unknown after a stop, so it gets all of the time.
        await self._wait_for_work(deadline_ms)
        await self._evict(only_idempotent=False)
        await self._wait_for_releases(
            deadline_ms + self._parts.options.drain_ms
        )
        await asyncio.sleep(FAREWELL_MS / 1000)

    async def _wait_for_work(self, deadline_ms: int) -> None:
        """Wait until no call and no task runs, or the deadline passes."""
        while not self._parts.aborting.is_set():
            if not (
                self._parts.has_calls() or self._parts.has_running_tasks()
            ):
                return
            if clock.read_wall_clock_ms() >= deadline_ms:
                return
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)

    async def _evict(self, only_idempotent: bool) -> None:
        """Checkpoint and stop tasks that still run."""
        if self._parts.tasks is None or self._parts.aborting.is_set():
            return
        await asyncio.gather(
            *(
                self._parts.tasks.evict(held.spec.key)
                for held in self._parts.tasks.ledger.list_held()
                if held.spec.idempotent or not only_idempotent
            )
        )

    async def _wait_for_releases(self, deadline_ms: int) -> None:
        """Stay until the owners have committed what ended here."""
        while (
            self._parts.tasks is not None and not self._parts.aborting.is_set()
        ):
            if not self._parts.tasks.ledger.list_held():
                return
            if clock.read_wall_clock_ms() >= deadline_ms:
                return
            for link in self._links.list_connected():
                link.send(report=self._reports.make_report(link))
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)
