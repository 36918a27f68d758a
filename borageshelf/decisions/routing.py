"""Routing: choice of the executor for one call.

Routing runs after admission has taken a call from the entry's queue. The
views of the executors are expected to be stale: an entry knows its own calls
exactly, but learns about the calls of other entries only from reports, which
may also be missing.
"""

from collections.abc import Sequence
import dataclasses
import math
import random
from typing import Final

SLOW_START_MS: Final = 10_000
# Share of the slots that a target starts with; with 8 slots this is one call
# at a time.
SLOW_START_MIN_SHARE: Final = 0.1
# The weight of a report falls linearly to 0 within this time. With the fleet
# size planned for two years ahead, a target reports every 10 s.
REPORT_LIFETIME_MS: Final = 15_000
# Calls beyond the slots that may wait at the agent, so that no slot is idle
# during the round trip between agent and entry.
AGENT_QUEUE_CALLS: Final = 1
# If no executor seems to have a free slot, an entry may still send to one that
# holds fewer of the entry's own calls than this share of its slots: a stale
# report about the calls of other entries must not keep it from using an idle
# executor.
ALWAYS_OPEN_SHARE: Final = 0.25
# The entry's data centre is preferred while at least this share of its
# executors is usable.
MIN_HEALTHY_SHARE: Final = 0.5


@dataclasses.dataclass(frozen=True)
class ExecutorView:
    """What one entry knows about one executor.

    :param slots: number of calls that the executor runs concurrently
    :param outstanding_calls: calls of this entry in flight
    :param reported_calls: queued and running calls of all entries, from the
        last report
    :param reported_at_ms: time of the last report, or 0 if there is none
    :param joined_at_ms: time at which the executor joined; its slow start
        begins then
    :param leaving: whether the executor accepts no new calls
    :param ejected_until_deadline_ms: end of the last ejection, or 0
    :param outstanding_calls_at_report: calls of this entry in flight when the
        last report arrived
    :param connections: maximum number of calls that the agent holds
    """

    target_id: str
    data_centre: str
    slots: int
    outstanding_calls: int
    reported_calls: int = 0
    reported_at_ms: int = 0
    joined_at_ms: int = 0
    leaving: bool = False
    ejected_until_deadline_ms: int = 0
    outstanding_calls_at_report: int = 0
    connections: int = 60


def choose_executor(
    executors: Sequence[ExecutorView],
    data_centre: str,
    now_ms: int,
    rng: random.Random,
) -> ExecutorView | None:
    """Return the executor for the next call, or None if it has to wait.

    Two random executors that accept another call are compared, and the one
    with the lower load is chosen ("The Power of Two Choices in Randomized
    Load Balancing", Mitzenmacher 2001). The executors of the entry's own data
    centre come first while the data centre is healthy and has a free slot.

    :param data_centre: data centre of the entry
    :param now_ms: wall-clock time in Unix milliseconds
    """
    usable = find_usable(executors, now_ms)
    weights = _compute_weights(usable, now_ms)
    preferred, others = _split_by_preference(executors, usable, data_centre)
    for queue_calls in (0, AGENT_QUEUE_CALLS):
        for group in (preferred, others):
            open_views = [
                view
                for view in group
                if _is_open(view, weights[view.target_id], queue_calls, now_ms)
            ]
            if open_views:
                return _choose_of_two(open_views, weights, now_ms, rng)
    return None


def find_usable(
    executors: Sequence[ExecutorView], now_ms: int
) -> list[ExecutorView]:
    """Return the executors that may receive new calls.

    If every executor that is not leaving is ejected, the ejections are
    ignored: a slow or failing answer is worth more than none.
    """
    staying = [view for view in executors if not view.leaving]
    healthy = [
        view for view in staying if view.ejected_until_deadline_ms <= now_ms
    ]
    return healthy or staying


def estimate_load(view: ExecutorView, now_ms: int) -> float:
    """Return the estimated number of calls that the executor holds.

    The calls of other entries are the reported calls less those that this
    entry had in flight when the report arrived, weighted by the age of the
    report.
    """
    other_calls = max(
        view.reported_calls - view.outstanding_calls_at_report, 0
    )
    age_ms = max(now_ms - view.reported_at_ms, 0)
    report_weight = max(1.0 - age_ms / REPORT_LIFETIME_MS, 0.0)
    return view.outstanding_calls + other_calls * report_weight


def _compute_weights(
    usable: Sequence[ExecutorView], now_ms: int
) -> dict[str, float]:
    """Return the slow-start weight of each executor, at most 1.

    The weights are relative to the largest one: for an entry that has just
    started every target is new, and it must be able to use all their slots.
    """
    shares = {
        view.target_id: _compute_slow_start_share(view, now_ms)
        for view in usable
    }
    largest_share = max(shares.values(), default=1.0)
    return {
        target_id: share / largest_share for target_id, share in shares.items()
    }


def _compute_slow_start_share(view: ExecutorView, now_ms: int) -> float:
    """Return the share of the slots that the slow start allows."""
    start_ms = max(view.joined_at_ms, view.ejected_until_deadline_ms)
    elapsed_share = max(now_ms - start_ms, 0) / SLOW_START_MS
    return min(max(elapsed_share, SLOW_START_MIN_SHARE), 1.0)


def _split_by_preference(
    executors: Sequence[ExecutorView],
    usable: list[ExecutorView],
    data_centre: str,
) -> tuple[list[ExecutorView], list[ExecutorView]]:
    """Return the usable executors of the data centre, and the others.

    If the data centre is unhealthy, all usable executors are preferred.
    """
    local = [view for view in usable if view.data_centre == data_centre]
    known_count = sum(view.data_centre == data_centre for view in executors)
    if len(local) < known_count * MIN_HEALTHY_SHARE:
        return usable, []
    remote = [view for view in usable if view.data_centre != data_centre]
    return local, remote


def _is_open(
    view: ExecutorView, weight: float, queue_calls: int, now_ms: int
) -> bool:
    """Tell whether the executor may receive one more call now.

    :param weight: slow-start weight of the executor
    :param queue_calls: calls that may wait at the agent
    """
    if view.outstanding_calls >= view.connections:
        return False
    call_limit = math.ceil(view.slots * weight) + queue_calls
    if view.outstanding_calls >= call_limit:
        return False
    if (
        view.outstanding_calls < view.slots * weight * ALWAYS_OPEN_SHARE
        and queue_calls
    ):
        return True
    return estimate_load(view, now_ms) < call_limit


def _choose_of_two(
    views: list[ExecutorView],
    weights: dict[str, float],
    now_ms: int,
    rng: random.Random,
) -> ExecutorView:
    """Return the less loaded of two randomly sampled executors."""
    candidates = rng.sample(views, min(len(views), 2))

    def estimate_load_per_slot(view: ExecutorView) -> float:
        weighted_slots = view.slots * weights[view.target_id]
        return (estimate_load(view, now_ms) + 1) / weighted_slots

    return min(candidates, key=estimate_load_per_slot)
