"""Injectable faults, shared by all stand-ins.

A test sets a ``FaultPlan``. Each stand-in passes its calls to a
``FaultInjector``, which counts them and applies the plan.
"""

import asyncio
from collections import abc
import enum
import random
from typing import Final, TypeVar

import msgspec

from borageshelf import errors
from standins import clocks

Result = TypeVar('Result')

EVERY_CALL: Final = -1


class Outage(enum.Enum):
    """How an unavailable service behaves.

    ``REFUSING`` answers that the call was not applied; ``SILENT`` accepts
    the call, never applies it, and never answers it.
    """

    NONE = 'none'
    REFUSING = 'refusing'
    SILENT = 'silent'


class FaultPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The active faults.

    Counts are numbers of next writes that are affected; ``EVERY_CALL`` affects
    all. The counts are used up in the order of the fields.

    :param delay_ms: time by which every call is delayed before it takes effect
    :param lost_requests: writes that are not applied and not answered
    :param lost_answers: writes that are applied and not answered
    :param late_writes: writes that are not answered and are applied
        ``late_ms`` later
    :param probability: probability that a counted fault affects a write
    """

    outage: Outage = Outage.NONE
    delay_ms: int = 0
    lost_requests: int = 0
    lost_answers: int = 0
    late_writes: int = 0
    late_ms: int = 0
    probability: float = 1.0


class WriteFate(enum.Enum):
    """What happens to one write."""

    ANSWERED = 'answered'
    LOST_REQUEST = 'lost request'
    LOST_ANSWER = 'lost answer'
    LATE = 'late'


class FaultInjector:
    """Counts calls and injects the faults of the current plan.

    :param unavailable: code of a call that was provably not applied
    :param uncertain: code of a write that may have been applied
    """

    def __init__(
        self,
        clock: clocks.Clock,
        seed: int,
        unavailable: errors.ResultCode,
        uncertain: errors.ResultCode,
    ) -> None:
        self.plan = FaultPlan()
        self.calls: dict[str, int] = {}
        self._clock = clock
        self._random = random.Random(seed)
        self._unavailable = unavailable
        self._uncertain = uncertain
        self._remaining_counts: dict[WriteFate, int] = {}
        self._plan_changed = asyncio.Event()
        self._late_writes: set[asyncio.Task[None]] = set()

    def set_plan(self, plan: FaultPlan) -> None:
        """Replace the plan; remaining counts of the old one are dropped."""
        self.plan = plan
        self._remaining_counts = {
            WriteFate.LOST_REQUEST: plan.lost_requests,
            WriteFate.LOST_ANSWER: plan.lost_answers,
            WriteFate.LATE: plan.late_writes,
        }
        self._plan_changed.set()
        self._plan_changed = asyncio.Event()

    async def admit(self, method: str, is_write: bool) -> None:
        """Count a call, delay it, and fail it during an outage."""
        self.count(method)
        if self.plan.delay_ms:
            await self._clock.pause(self.plan.delay_ms)
        await self.fail_during_outage(is_write)

    def count(self, method: str) -> None:
        """Count one call."""
        self.calls[method] = self.calls.get(method, 0) + 1

    async def fail_during_outage(self, is_write: bool) -> None:
        """Fail a call during an outage.

        A refusing outage fails it at once. A silent one holds it until the
        outage ends; it then fails without effect, usually after its caller
        has timed out.
        """
        if self.plan.outage is Outage.REFUSING:
            raise errors.BorageshelfError(self._unavailable, 'outage')
        if self.plan.outage is Outage.SILENT:
            while self.plan.outage is Outage.SILENT:
                await self._plan_changed.wait()
            code = self._uncertain if is_write else self._unavailable
            raise errors.BorageshelfError(code, 'no answer in time')

    def apply(self, write: abc.Callable[[], Result]) -> Result:
        """Apply an admitted write, or inject the fault that is due.

        :param write: applies the write, or raises ``BorageshelfError`` if it
            is refused
        :raises BorageshelfError: with the uncertain code if the request or
            the answer is lost or the write is late
        """
        fate = self.draw_write_fate()
        if fate is WriteFate.ANSWERED:
            return write()
        if fate is WriteFate.LOST_ANSWER:
            _ignore_refusal(write)
        if fate is WriteFate.LATE:
            self._apply_late(write, self.plan.late_ms)
        raise errors.BorageshelfError(self._uncertain, fate.value)

    def draw_write_fate(self) -> WriteFate:
        """Decide the fate of the next write and reduce the fault's count."""
        for fate, remaining_count in self._remaining_counts.items():
            if remaining_count == 0:
                continue
            if self._random.random() >= self.plan.probability:
                continue
            if remaining_count > 0:
                self._remaining_counts[fate] = remaining_count - 1
            return fate
        return WriteFate.ANSWERED

    def _apply_late(
        self, write: abc.Callable[[], object], delay_ms: int
    ) -> None:
        async def wait_and_apply() -> None:
            await self._clock.pause(delay_ms)
            _ignore_refusal(write)

        task = asyncio.ensure_future(wait_and_apply())
        self._late_writes.add(task)
        task.add_done_callback(self._late_writes.discard)


def _ignore_refusal(write: abc.Callable[[], object]) -> None:
    """Apply a write whose answer, also a refusal, is not delivered."""
    try:
        write()
    except errors.BorageshelfError:
        return
