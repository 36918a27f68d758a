"""Choice of the executor for one call.

Runs after admission has taken a call from the entry's queue. The views are
expected to be stale: an entry knows its own calls exactly, but learns about
those of other entries only from reports, which may also be missing.
"""

from collections.abc import Sequence
import dataclasses
import math
import random
from typing import Final

SLOW_START_MS: Final = 10_000
# Share of the slots that a target gets in its first moments; with 8 slots
# this is one call at a time.
SLOW_START_FLOOR: Final = 0.1
# A report loses its weight linearly over this time. At the two-year size a
# target reports every 10 s.
REPORT_USABLE_MS: Final = 15_000
# Calls beyond the slots that may wait at the agent, so that a slot does not
# stand idle for the round trip between agent and entry.
AGENT_QUEUE_MARGIN: Final = 1
# Below this share of the slots an entry may always send: a stale report
# about other entries' calls must not close an idle executor.
OPEN_SHARE: Final = 0.25
# A data centre with a smaller share of usable executors is not preferred.
HEALTHY_SHARE: Final = 0.5


@dataclasses.dataclass(frozen=True)
class ExecutorView:
    """What one entry knows about one executor.

    :param slots: calls that run side by side
    :param outstanding_calls: calls of this entry in flight
    :param reported_calls: calls queued and running in the last report, from
        all entries
    :param reported_at_ms: time of the last report, or 0 without any
    :param joined_at_ms: start of the slow start
    :param ejected_until_deadline_ms: end of the last ejection, or 0
    :param outstanding_calls_at_report: calls of this entry in flight when the
        last report arrived
    :param connections: most calls that the agent holds
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
    """Return the executor for the next call, or None to let it wait.

    Of two random executors with a free slot, the one with the lower load is
    chosen ("The Power of Two Choices in Randomized Load Balancing",
    Mitzenmacher 2001). Those of the entry's own data centre come first while
    that data centre is healthy and has a free slot.

    :param data_centre: data centre of the entry
    :param now_ms: wall-clock time in Unix milliseconds
    """
    usable = find_usable(executors, now_ms)
    weights = _find_weights(usable, now_ms)
    near, far = _split_by_distance(executors, usable, data_centre)
    for margin in (0, AGENT_QUEUE_MARGIN):
        for group in (near, far):
            open_views = [
                view
                for view in group
                if _is_open(view, weights[view.target_id], margin, now_ms)
            ]
            if open_views:
                return _choose_of_two(open_views, weights, now_ms, rng)
    return None


def find_usable(
    executors: Sequence[ExecutorView], now_ms: int
) -> list[ExecutorView]:
    """Return the executors that may receive new calls.

    If every executor that stays is ejected, the ejections are ignored: a
    slow or failing answer is worth more than none.
    """
    staying = [view for view in executors if not view.leaving]
    healthy = [
        view for view in staying if view.ejected_until_deadline_ms <= now_ms
    ]
    return healthy or staying


def find_load(view: ExecutorView, now_ms: int) -> float:
    """Return the estimated number of calls that the executor holds.

    The calls of other entries are the reported calls less those that this
    entry had in flight when the report arrived.
    """
    others = max(view.reported_calls - view.outstanding_calls_at_report, 0)
    age_ms = max(now_ms - view.reported_at_ms, 0)
    freshness = max(1.0 - age_ms / REPORT_USABLE_MS, 0.0)
    return view.outstanding_calls + others * freshness


def _find_weights(
    usable: Sequence[ExecutorView], now_ms: int
) -> dict[str, float]:
    """Return the slow-start weight of each executor, at most 1.

    Weights are relative to the warmest executor, so that an entry that has
    just started, for which every target is new, uses all of them.
    """
    weights = {view.target_id: _find_warmth(view, now_ms) for view in usable}
    warmest = max(weights.values(), default=1.0)
    return {name: weight / warmest for name, weight in weights.items()}


def _find_warmth(view: ExecutorView, now_ms: int) -> float:
    start_ms = max(view.joined_at_ms, view.ejected_until_deadline_ms)
    elapsed = max(now_ms - start_ms, 0) / SLOW_START_MS
    return min(max(elapsed, SLOW_START_FLOOR), 1.0)


def _split_by_distance(
    executors: Sequence[ExecutorView],
    usable: list[ExecutorView],
    data_centre: str,
) -> tuple[list[ExecutorView], list[ExecutorView]]:
    """Return the preferred executors and the others."""
    near = [view for view in usable if view.data_centre == data_centre]
    known = sum(view.data_centre == data_centre for view in executors)
    if len(near) < known * HEALTHY_SHARE:
        return usable, []
    far = [view for view in usable if view.data_centre != data_centre]
    return near, far


def _is_open(
    view: ExecutorView, weight: float, margin: int, now_ms: int
) -> bool:
    """Tell whether the executor may take one more call now."""
    if view.outstanding_calls >= view.connections:
        return False
    limit = math.ceil(view.slots * weight) + margin
    if view.outstanding_calls >= limit:
        return False
    if view.outstanding_calls < view.slots * weight * OPEN_SHARE and margin:
        return True
    return find_load(view, now_ms) < limit


def _choose_of_two(
    views: list[ExecutorView],
    weights: dict[str, float],
    now_ms: int,
    rng: random.Random,
) -> ExecutorView:
    candidates = rng.sample(views, min(len(views), 2))

    def find_score(view: ExecutorView) -> float:
        weighted_slots = view.slots * weights[view.target_id]
        return (find_load(view, now_ms) + 1) / weighted_slots

    return min(candidates, key=find_score)
