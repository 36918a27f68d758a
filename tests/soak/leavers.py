"""Callers who leave an entry before its answer, and cancel at another one.

Meanwhile another entry, which may be the owner, is cut off from all processes
but its callers and the store.
"""

import dataclasses
import random
from typing import Any, Final

from tests.soak import plans

FIRST_SMALL_SEED: Final = 3_990_000
FIRST_SITE_SEED: Final = 4_970_000
CUT_COUNT_RANGE: Final = (2, 4)
CUT_DURATIONS_MS: Final = (1_200, 2_000, 5_500)
LEAVER_COUNT_RANGE: Final = (2, 4)
# Time from the beginning of a cut to a submission.
SUBMISSION_DELAY_RANGE_MS: Final = (-20, 300)
LEAVES_AFTER_RANGE_MS: Final = (50, 900)
_STEP: Final = {'Count': 1, 'Cpu': 500, 'MemMb': 100, 'EstimateMs': 4_000}
# The last step starts long after the cut.
DOCUMENT: Final[dict[str, Any]] = {
    'Spec': '4000',
    'Phases': [_STEP, {**_STEP, 'After': [0]}, {**_STEP, 'After': [1]}],
}


def add_to_plan(plan: plans.Plan) -> plans.Plan:
    """Return the plan with cuts of single entries and callers who leave."""
    rng = random.Random(f'leavers {plan.seed}')
    faults = list(plan.faults)
    submissions = list(plan.submissions)
    for _ in range(rng.randint(*CUT_COUNT_RANGE)):
        at_ms = rng.randint(plans.FIRST_FAULT_AT_MS, plan.load_ms)
        cut_index = rng.randrange(plan.entries)
        left_index = (cut_index + 1) % plan.entries
        faults.append(
            plans.Fault(
                at_ms,
                rng.choice(CUT_DURATIONS_MS),
                'entry-link',
                'cut-others',
                cut_index,
            )
        )
        submissions += [
            plans.Submission(
                at_ms + rng.randint(*SUBMISSION_DELAY_RANGE_MS),
                f'{rng.getrandbits(64):016x}',
                DOCUMENT,
                0,
                plans.Leaving(left_index, rng.randint(*LEAVES_AFTER_RANGE_MS)),
            )
            for _ in range(rng.randint(*LEAVER_COUNT_RANGE))
        ]
    faults.sort(key=lambda fault: fault.at_ms)
    submissions.sort(key=lambda item: item.at_ms)
    return dataclasses.replace(
        plan, faults=tuple(faults), submissions=tuple(submissions)
    )
