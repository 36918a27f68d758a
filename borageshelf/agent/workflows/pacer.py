"""Paces the fillers on an executor by the latencies of its serving tasks.

The latencies and the processor usage come from the last inspections. The
decisions are made by ``decisions.pacing``.
"""

import asyncio
import collections
from collections import abc
from typing import Final

from borageshelf.agent.workflows import runs
from borageshelf import clock
from borageshelf.decisions import filler_effects
from borageshelf.decisions import pacing
from borageshelf import events
from borageshelf.model import resources
from borageshelf.ports import task_executor
from borageshelf.workflows import messages

# A latency is that of the last half second before an inspection, so the usage
# of the inspection before it still counts.
USAGE_WINDOW_MS: Final = 700
# Smaller changes of the pace are not worth a call to the executor.
MIN_PACE_CHANGE_PERCENT: Final = 4
# Progress that a lasting task reports once it is working.
WORKING_PROGRESS_PERCENT: Final = 100


class FillerPacer:
    """Sets the paces of the fillers on one executor.

    :param list_runs: returns the runs that the agent knows
    """

    def __init__(
        self,
        executor: task_executor.TaskExecutor,
        event_log: events.EventLog,
        list_runs: abc.Callable[[], abc.Collection[runs.AgentRun]],
    ) -> None:
        self._executor = executor
        self._event_log = event_log
        self._list_runs = list_runs
        self._effects: dict[tuple[str, str], float] = {}
        # By serving image.
        self._pace_gains: dict[str, float] = {}
        self._has_new_latencies = False
        self._recent_filler_shares: collections.deque[
            tuple[int, dict[str, float]]
        ] = collections.deque()

    @property
    def is_needed(self) -> bool:
        """Tell whether fillers run beside tasks with a latency target."""
        has_serving = any(
            run.terms.latency_target_ms for run in self._list_runs()
        )
        return has_serving and bool(self._list_running_fillers())

    def _list_running_fillers(self) -> list[runs.AgentRun]:
        return [
            run
            for run in self._list_runs()
            if run.terms.is_filler and run.state is runs.RunState.RUNNING
        ]

    def make_latency_samples(self) -> tuple[messages.LatencySample, ...]:
        """Return the highest tail latency of each serving workflow's images.

        A task that has just begun to work has no latency yet.
        """
        samples: dict[tuple[str, str], messages.LatencySample] = {}
        for run in self._list_runs():
            target_ms = run.terms.latency_target_ms
            if run.row is None or not target_ms or run.row.measured <= 0:
                continue
            if run.row.progress_percent < WORKING_PROGRESS_PERCENT:
                continue
            key = (run.terms.image, run.terms.workflow_id)
            share = run.row.measured / target_ms
            if key not in samples or samples[key].latency_share < share:
                samples[key] = messages.LatencySample(
                    run.terms.image,
                    run.row.measured,
                    round(share, 3),
                    run.terms.workflow_id,
                )
        return tuple(samples.values())

    def compute_peak_filler_shares(self) -> dict[str, float]:
        """Return the peak processor usage of each filler image.

        The peaks are shares of the VM, over the time that still affects the
        reported latencies.
        """
        window_start_ms = clock.read_elapsed_ms() - USAGE_WINDOW_MS
        peak_shares: dict[str, float] = {}
        for at_ms, shares in self._recent_filler_shares:
            if at_ms < window_start_ms:
                continue
            for image, share in shares.items():
                peak_shares[image] = max(peak_shares.get(image, 0.0), share)
        return peak_shares

    def record_filler_usage(self, capacity: resources.Resources) -> None:
        """Record the usage of each filler image after an inspection.

        The usage is stored as a share of the VM's processors.
        """
        self._has_new_latencies = True
        shares: dict[str, float] = {}
        capacity_millicores = max(capacity.processor_millicores, 1)
        for run in self._list_runs():
            if run.terms.is_filler and run.row is not None:
                used_share = max(run.row.measured, 0) / capacity_millicores
                image = run.terms.image
                shares[image] = round(shares.get(image, 0.0) + used_share, 3)
        now_ms = clock.read_elapsed_ms()
        self._recent_filler_shares.append((now_ms, shares))
        while self._recent_filler_shares[0][0] < now_ms - USAGE_WINDOW_MS:
            self._recent_filler_shares.popleft()

    def set_effects(self, effects: messages.Effects) -> None:
        """Set how strongly fillers disturb serving tasks.

        A new owner does not know all pairs yet; the others stay in use.
        """
        for serving, filler, effect in effects.pairs:
            self._effects.pop((serving, filler), None)
            self._effects[(serving, filler)] = effect
        while len(self._effects) > filler_effects.PAIRS_LIMIT:
            del self._effects[next(iter(self._effects))]

    async def pace(
        self, capacity: resources.Resources, instance_id: str, token: int
    ) -> None:
        """Slow down the fillers that disturb serving tasks."""
        fillers = self._list_running_fillers()
        if not fillers:
            return
        samples = self.make_latency_samples()
        capacity_millicores = max(capacity.processor_millicores, 1)
        latency_shares: dict[str, float] = {}
        for sample in samples:
            image = sample.serving_image
            latency_shares[image] = max(
                latency_shares.get(image, 0.0), sample.latency_share
            )
        if self._has_new_latencies:
            # Several starts after one inspection use the same latencies,
            # which must change the gain only once.
            self._has_new_latencies = False
            self._pace_gains = {
                image: pacing.compute_next_gain(
                    self._pace_gains.get(image, 1.0), share
                )
                for image, share in latency_shares.items()
            }
        paces = pacing.compute_paces(
            [
                pacing.Filler(
                    run.key,
                    run.terms.image,
                    run.terms.size_millicores / capacity_millicores,
                )
                for run in fillers
            ],
            [
                pacing.ServingImage(sample.serving_image, sample.latency_share)
                for sample in samples
            ],
            self.compute_peak_filler_shares(),
            self._effects,
            self._pace_gains,
        )
        calls = [
            self._set_pace(run, paces[run.key], instance_id, token)
            for run in fillers
            if not run.is_pace_known
            or _is_pace_change_due(run.pace_percent, paces[run.key])
        ]
        if calls:
            self._event_log.record(
                'fillers paced',
                changed=len(calls),
                fillers=len(fillers),
                worst_share=max(latency_shares.values(), default=0.0),
                latency_shares=latency_shares,
                used_shares=self.compute_peak_filler_shares(),
                gains={
                    image: round(gain, 2)
                    for image, gain in self._pace_gains.items()
                    if gain < 1
                },
                paces={run.terms.image: paces[run.key] for run in fillers},
            )
            await asyncio.gather(*calls)

    async def _set_pace(
        self,
        run: runs.AgentRun,
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
            task_executor.ExecutorUnavailable,
            task_executor.OrderRefused,
        ) as error:
            self._event_log.record(
                'pace not set',
                task=run.terms.task,
                attempt=run.terms.attempt,
                detail=str(error),
            )
            if isinstance(error, task_executor.ExecutorUnavailable):
                # The executor may have taken the order without an answer.
                run.is_pace_known = False
            return
        run.pace_percent = percent
        run.is_pace_known = True


def _is_pace_change_due(current_percent: int, wanted_percent: int) -> bool:
    if current_percent == wanted_percent:
        return False
    is_limit = wanted_percent in (0, pacing.FULL_PACE_PERCENT)
    return is_limit or (
        abs(current_percent - wanted_percent) >= MIN_PACE_CHANGE_PERCENT
    )
