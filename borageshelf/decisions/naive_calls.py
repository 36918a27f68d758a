"""Naive versions of the call decisions.

A random target, an unbounded queue in order of arrival and unconditional
retries. They are the baseline of benchmarks and the reference of
differential tests.
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
    """Return a random executor, regardless of its load and health."""
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
    forwarded_bytes: int,
    now_ms: int,
    deadline_ms: int,
) -> bool:
    """Allow every retry."""
    return True
