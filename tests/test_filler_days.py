"""Days of large workflows beside serving tasks, in virtual time."""

import pytest

from bench import filler_days

# Worth that callers get, as a share of what the same fleet serves where the
# effects of fillers are known from the begin.
LEARNED_SHARE = 0.75
LOAD = filler_days.Load(
    targets_count=24,
    serving_count=8,
    serving_images_count=5,
    filler_images_count=9,
    large_count=16,
    first_count=4,
    last_due_ms=36_000,
    end_ms=50_000,
)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_large_workflows_are_in_time_though_loads_are_unknown(
    seed: int,
) -> None:
    """Guards against fillers that are slowed for the load of other tasks."""
    plan = filler_days.make_plan(seed, LOAD)
    known = filler_days.play(plan, knows_effects=True)
    learned = filler_days.play(plan)
    assert learned.worth_share >= LEARNED_SHARE * known.worth_share
