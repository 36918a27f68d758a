"""Paces the fillers on one executor by what its serving tasks report.

Reads the rows of the last inspection; ``decisions.pacing`` decides.
"""

import asyncio
import collections
from collections import abc
from typing import Final

from borageshelf.agent.workflows import runs as runs_module
from borageshelf import clock
from borageshelf.decisions import pacing
from borageshelf import events as events_module
from borageshelf.model import resources
from borageshelf.ports import task_executor
from borageshelf.workflows import messages

# Reported latencies follow the fillers with this delay, so what a filler used
# this long ago still counts.
SHARE_WINDOW_MS: Final = 1_300
# A pace that differs by less is not worth a call.
PACE_STEP_PERCENT: Final = 4
# A lasting task that is at work shows this progress.
AT_WORK_PERCENT: Final = 100


class FillerPacer:
    """Paces of the fillers on one executor.

    :param list_runs: returns the runs that the agent knows
    """

    def __init__(
        self,
        executor: task_executor.TaskExecutor,
        events: events_module.EventLog,
        list_runs: abc.Callable[[], abc.Collection[runs_module.AgentRun]],
    ) -> None:
        self._executor = executor
        self._events = events
        self._list_runs = list_runs
        self._effects: dict[tuple[str, str], float] = {}
        self._pace_gain = 1.0
        self._has_news = False
        self._recent_shares: collections.deque[
            tuple[int, dict[str, float]]
        ] = collections.deque()

    @property
    def is_needed(self) -> bool:
        """Tell whether fillers run beside serving tasks."""
        has_serving = any(
            run.terms.latency_target_ms for run in self._list_runs()
        )
        return has_serving and bool(self._list_fillers())

    def _list_fillers(self) -> list[runs_module.AgentRun]:
        return [
            run
            for run in self._list_runs()
            if run.terms.is_filler
            and run.state is runs_module.RunState.RUNNING
        ]

    def make_samples(self) -> tuple[messages.LatencySample, ...]:
        """Return the highest tail latency of each serving image."""
        found: dict[str, messages.LatencySample] = {}
        for run in self._list_runs():
            target_ms = run.terms.latency_target_ms
            if run.row is None or not target_ms:
                continue
            if run.row.progress_percent < AT_WORK_PERCENT:
                continue
            image = run.terms.image
            share = run.row.measured / target_ms
            if image not in found or found[image].latency_share < share:
                found[image] = messages.LatencySample(
                    image, run.row.measured, round(share, 3)
                )
        return tuple(found.values())

    def find_shares(self) -> dict[str, float]:
        """Return what each filler image used lately, as shares.

        The highest of the time that still shows in the latencies.
        """
        limit_ms = clock.read_elapsed_ms() - SHARE_WINDOW_MS
        highest: dict[str, float] = {}
        for at_ms, shares in self._recent_shares:
            if at_ms < limit_ms:
                continue
            for image, share in shares.items():
                highest[image] = max(highest.get(image, 0.0), share)
        return highest

    def note_use(self, capacity: resources.Resources) -> None:
        """Note the processors in use by filler image, as shares."""
        self._has_news = True
        shares: dict[str, float] = {}
        size = max(capacity.processor_millicores, 1)
        for run in self._list_runs():
            if run.terms.is_filler and run.row is not None:
                used = max(run.row.measured, 0) / size
                image = run.terms.image
                shares[image] = round(shares.get(image, 0.0) + used, 3)
        now_ms = clock.read_elapsed_ms()
        self._recent_shares.append((now_ms, shares))
        while self._recent_shares[0][0] < now_ms - SHARE_WINDOW_MS:
            self._recent_shares.popleft()

    def note_effects(self, found: messages.Effects) -> None:
        """Learn which fillers disturb which serving tasks."""
        self._effects = {
            (serving, filler): effect
            for serving, filler, effect in found.pairs
        }

    async def pace(
        self, capacity: resources.Resources, instance_id: str, token: int
    ) -> None:
        """Slow the fillers down that disturb serving tasks."""
        fillers = self._list_fillers()
        if not fillers:
            return
        samples = self.make_samples()
        size = max(capacity.processor_millicores, 1)
        worst_share = max(
            (sample.latency_share for sample in samples), default=0.0
        )
        if self._has_news:
            # Several starts after one inspection see the same latencies.
            self._has_news = False
            self._pace_gain = pacing.compute_next_gain(
                self._pace_gain, worst_share
            )
        paces = pacing.compute_paces(
            [
                pacing.Filler(
                    run.key,
                    run.terms.image,
                    run.terms.size_millicores / size,
                )
                for run in fillers
            ],
            [
                pacing.ServingImage(sample.serving_image, sample.latency_share)
                for sample in samples
            ],
            self.find_shares(),
            self._effects,
            self._pace_gain,
        )
        calls = [
            self._set_pace(run, paces[run.key], instance_id, token)
            for run in fillers
            if _needs_pace(run.pace_percent, paces[run.key])
        ]
        if calls:
            self._events.record(
                'fillers paced',
                changed=len(calls),
                fillers=len(fillers),
                worst_share=worst_share,
                gain=round(self._pace_gain, 2),
                paces={run.terms.image: paces[run.key] for run in fillers},
            )
            await asyncio.gather(*calls)

    async def _set_pace(
        self,
        run: runs_module.AgentRun,
        percent: int,
        instance_id: str,
        token: int,
    ) -> None:
        try:
            await self._executor.pace(
                instance_id,
                run.terms.task,
                run.terms.attempt,
                percent,
                token,
            )
        except (
            task_executor.ExecutorLost,
            task_executor.OrderRefused,
        ) as error:
            self._events.record(
                'pace not set',
                task=run.terms.task,
                attempt=run.terms.attempt,
                detail=str(error),
            )
            return
        run.pace_percent = percent


def _needs_pace(current_percent: int, wanted_percent: int) -> bool:
    if current_percent == wanted_percent:
        return False
    is_bound = wanted_percent in (0, pacing.FULL_PACE_PERCENT)
    return is_bound or (
        abs(current_percent - wanted_percent) >= PACE_STEP_PERCENT
    )
