"""Injectable faults, shared by all stand-ins.

A test sets a ``FaultPlan``; the stand-in asks the ``FaultInjector`` before
and after each call what goes wrong with it.
"""

import enum
import random
from typing import Final

import msgspec

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
    """The faults in force.

    Counts say how many of the next writes are affected; ``EVERY_CALL``
    affects all. Counts are used up in the order of the fields.

    :param delay_ms: every call waits this long before it takes effect
    :param lost_requests: writes that are not applied and not answered
    :param lost_answers: writes that are applied and not answered
    :param late_writes: writes that are not answered and are applied
        ``late_ms`` later
    :param probability: chance that a counted fault hits a given write
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
    """Applies the current plan; draws from its own random generator."""

    def __init__(self, seed: int = 0) -> None:
        self.plan = FaultPlan()
        self._random = random.Random(seed)
        self._left: dict[WriteFate, int] = {}

    def set_plan(self, plan: FaultPlan) -> None:
        """Replace the plan; unused counts of the old one are dropped."""
        self.plan = plan
        self._left = {
            WriteFate.LOST_REQUEST: plan.lost_requests,
            WriteFate.LOST_ANSWER: plan.lost_answers,
            WriteFate.LATE: plan.late_writes,
        }

    def draw_write_fate(self) -> WriteFate:
        """Decide about the next write and use up its count."""
        for fate, left in self._left.items():
            if left == 0:
                continue
            if self._random.random() >= self.plan.probability:
                continue
            if left > 0:
                self._left[fate] = left - 1
            return fate
        return WriteFate.ANSWERED
