"""Simulation of the attempts on one worker.

Deterministic and without I/O: attempts progress with the given time, end when
their work is done or their lease ends, and slow down proportionally when they
use more processors than the VM has. Events are computed on demand and in
their order, so each end has its exact time however late the next call is.
"""

import collections
from collections import abc
import dataclasses
import math
from typing import Final

from borageshelf.model import resources
from borageshelf.ports import worker as worker_interface
from standins import audits

SAMPLE_INTERVAL_MS: Final = 500
# Without this tolerance, rounding of the progress at a fractional speed could
# end a task a millisecond late.
ROUNDING_TOLERANCE_MS: Final = 1e-6

State = worker_interface.TaskState
Samples = tuple[worker_interface.UsageSample, ...]


@dataclasses.dataclass
class Attempt:
    """An attempt that has not been released.

    :param used: actual use at full speed
    :param work_ms: total work, as run time at full speed
    :param done_ms: completed part of the work
    :param throttle: allowed fraction of the processors
    :param noise: relative slowdown of executors on its VM, 0 for none
    """

    request: worker_interface.StartRequest
    interval: audits.Interval
    used: resources.Resources
    work_ms: int
    done_ms: float
    will_fail: bool
    final_result: bytes
    noise: float
    can_checkpoint: bool
    lease_deadline_ms: int
    state: State = State.RUNNING
    result: bytes = b''
    checkpoint: str = ''
    throttle: float = 1.0


class Timeline:
    """The attempts of one worker over time.

    :param usage_lag_ms: age at which samples become visible
    :param on_audit: called when an interval starts and when it ends
    """

    def __init__(
        self,
        capacity: resources.Resources,
        usage_lag_ms: int,
        now_ms: int,
        on_audit: abc.Callable[[audits.Interval], None],
    ) -> None:
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.audit: list[audits.Interval] = []
        self.now_ms = now_ms
        self._capacity = capacity
        self._usage_lag_ms = usage_lag_ms
        self._on_audit = on_audit
        self._samples: collections.deque[tuple[int, Samples]] = (
            collections.deque()
        )
        self._next_sample_ms = now_ms

    def start(self, attempt: Attempt) -> None:
        """Add an attempt that starts to run now."""
        request = attempt.request
        self.attempts[request.task_id, request.attempt] = attempt
        self.audit.append(attempt.interval)
        self._on_audit(attempt.interval)

    def stop(self, attempt: Attempt, ended_as: str) -> None:
        """Stop a running attempt now."""
        self._end(attempt, State.STOPPED, ended_as)

    def clear(self, ended_as: str) -> None:
        """Stop all running attempts and forget all attempts and samples."""
        for attempt in self.find_running():
            self.stop(attempt, ended_as)
        self.attempts.clear()
        self._samples.clear()

    def find_running(self) -> list[Attempt]:
        """Return the running attempts."""
        return [
            attempt
            for attempt in self.attempts.values()
            if attempt.state is State.RUNNING
        ]

    def read_samples(self) -> Samples:
        """Return the newest samples that are at least as old as the lag."""
        found: Samples = ()
        for measured_ms, samples in self._samples:
            if measured_ms > self.now_ms - self._usage_lag_ms:
                break
            found = samples
        return found

    def advance_to(self, now_ms: int) -> None:
        """Simulate all events up to a time."""
        while self.now_ms < now_ms:
            running = self.find_running()
            speeds = self._compute_speeds(running)
            self._advance_to_next_event(running, speeds, now_ms)
            for attempt in running:
                self._end_if_due(attempt)
            if self.now_ms >= self._next_sample_ms:
                self._take_samples(running, speeds)

    def _advance_to_next_event(
        self,
        running: abc.Sequence[Attempt],
        speeds: abc.Sequence[float],
        limit_ms: int,
    ) -> None:
        """Advance to the next event: an end of work or lease, or a sample.

        The time does not pass the limit.
        """
        event_ms = min(limit_ms, self._next_sample_ms)
        for attempt, speed in zip(running, speeds, strict=True):
            event_ms = min(event_ms, attempt.lease_deadline_ms)
            if speed:
                remaining_ms = max(attempt.work_ms - attempt.done_ms, 0)
                wait_ms = math.ceil(
                    remaining_ms / speed - ROUNDING_TOLERANCE_MS
                )
                finish_ms = self.now_ms + wait_ms
                event_ms = min(event_ms, finish_ms)
        elapsed_ms = max(event_ms - self.now_ms, 0)
        self.now_ms += elapsed_ms
        for attempt, speed in zip(running, speeds, strict=True):
            attempt.done_ms += elapsed_ms * speed

    def _compute_speeds(self, running: abc.Sequence[Attempt]) -> list[float]:
        """Return each attempt's speed, 1 for full speed.

        Attempts that together use more processors than the VM has share them
        in proportion to their use.
        """
        used_millicores = sum(
            attempt.used.processor_millicores * attempt.throttle
            for attempt in running
        )
        limit_millicores = self._capacity.processor_millicores
        speed_share = 1.0
        if used_millicores > limit_millicores:
            speed_share = limit_millicores / used_millicores
        return [attempt.throttle * speed_share for attempt in running]

    def _end_if_due(self, attempt: Attempt) -> None:
        if attempt.done_ms >= attempt.work_ms - ROUNDING_TOLERANCE_MS:
            self._finish(attempt)
        elif self.now_ms >= attempt.lease_deadline_ms:
            self._end(attempt, State.STOPPED, 'lease ended')

    def _finish(self, attempt: Attempt) -> None:
        if attempt.will_fail:
            self._end(attempt, State.FAILED, 'failed')
            return
        attempt.result = attempt.final_result
        self._end(attempt, State.SUCCEEDED, 'succeeded')

    def _end(self, attempt: Attempt, state: State, ended_as: str) -> None:
        attempt.state = state
        attempt.interval.end_ms = self.now_ms
        attempt.interval.work_to_ms = int(
            attempt.done_ms + ROUNDING_TOLERANCE_MS
        )
        attempt.interval.ended_as = ended_as
        self._on_audit(attempt.interval)

    def _take_samples(
        self, running: abc.Sequence[Attempt], speeds: abc.Sequence[float]
    ) -> None:
        samples = tuple(
            self._make_sample(attempt, speed)
            for attempt, speed in zip(running, speeds, strict=True)
            if attempt.state is State.RUNNING
        )
        self._samples.append((self.now_ms, samples))
        self._next_sample_ms = self.now_ms + SAMPLE_INTERVAL_MS
        limit_ms = self.now_ms - self._usage_lag_ms
        while len(self._samples) > 1 and self._samples[1][0] <= limit_ms:
            self._samples.popleft()

    def _make_sample(
        self, attempt: Attempt, speed: float
    ) -> worker_interface.UsageSample:
        millicores = int(attempt.used.processor_millicores * speed)
        used = dataclasses.replace(
            attempt.used, processor_millicores=millicores
        )
        return worker_interface.UsageSample(
            attempt.request.task_id,
            attempt.request.attempt,
            used,
            self.now_ms,
        )
