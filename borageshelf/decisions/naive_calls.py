"""Naive versions of the call decisions.

They are the baseline of measurements and the reference of differential
tests: a random target, an unbounded queue in order of arrival, and blind
retries.
"""

from collections.abc import Sequence
import dataclasses
import random

from borageshelf.decisions import admission
from borageshelf.decisions import routing


@dataclasses.dataclass(frozen=True)
class NaiveQueue:
    """An unbounded queue in order of arrival."""

    queue: tuple[admission.QueuedCall, ...] = ()


def choose_executor(
    executors: Sequence[routing.ExecutorView],
    data_centre: str,
    now_ms: int,
    rng: random.Random,
) -> routing.ExecutorView | None:
    """Return a random executor, whatever its state."""
    return rng.choice(executors) if executors else None


def offer(
    state: NaiveQueue, call: admission.QueuedCall, now_ms: int
) -> tuple[NaiveQueue, admission.Admitted]:
    """Admit every call."""
    return NaiveQueue((*state.queue, call)), admission.Admitted()


def take(
    state: NaiveQueue, now_ms: int
) -> tuple[NaiveQueue, admission.QueuedCall | None]:
    """Remove the oldest call."""
    if not state.queue:
        return state, None
    return NaiveQueue(state.queue[1:]), state.queue[0]


def may_retry(
    idempotent: bool,
    ran: bool,
    bytes_passed: int,
    now_ms: int,
    deadline_ms: int,
) -> bool:
    """Retry whatever happened."""
    return True
