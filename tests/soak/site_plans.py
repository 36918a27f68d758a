"""Plans with the shape of a site: more targets, a longer load, more faults.

The faults overlap at any moment, and several of them hit the same VM. Seeds
below ``FIRST_SEED`` have the plans of ``plans``.
"""

import dataclasses
import pathlib
import random
import tomllib
from typing import Any, Final

from tests.soak import evacuations
from tests.soak import leavers
from tests.soak import plans

FIRST_SEED: Final = 4_000_000
FIRST_SEED_WITH_ALL_FAULTS: Final = 4_700_000
FIRST_SEED_WITH_RECURRING: Final = 4_800_000
FIRST_SEED_WITH_CROWDS: Final = 4_850_000
FIRST_SEED_WITH_MANY_CROWDS: Final = 4_950_000
LOAD_MS: Final = 30_000
ENTRIES: Final = 3
TARGETS: Final = 11
# Of each ``LOAD_MS``.
WORKFLOW_COUNT: Final = 90
DISRUPTION_COUNT_RANGE: Final = (8, 14)
STRUCK_VM_COUNT_RANGE: Final = (4, 7)
# Disruptions of a VM that several hit, and the time in which they begin.
STRIKE_COUNT_RANGE: Final = (2, 4)
STRIKE_SPAN_MS: Final = 6_000
# One in so many plans has tasks that crash their executors.
DEADLY_SHARE: Final = 0.25
TASK_COUNT_LIMIT: Final = 5
# Run time of all steps of a workflow.
WORK_MS: Final = (300, 900, 1_800, 3_600, 6_000)
POPULATIONS: Final = {
    'vm': TARGETS,
    'agent': TARGETS,
    'executor': TARGETS,
    'entry': ENTRIES,
    'entry-link': ENTRIES,
    'link': 2 * (ENTRIES + TARGETS),
}
_DATA_FILE: Final = (
    pathlib.Path(__file__).parents[2] / 'test-data' / 'soak-site.toml'
)

Disruption = dict[str, Any]


def make_plan(seed: int, load_ms: int = 0) -> plans.Plan:
    """Return the plan of a seed of either shape.

    :param load_ms: time for which there is load on a site; 0 for ``LOAD_MS``
    """
    plan = _make_plan(seed, load_ms)
    is_small = evacuations.FIRST_SMALL_SEED <= seed < FIRST_SEED
    if is_small or seed >= evacuations.FIRST_SITE_SEED:
        plan = evacuations.add_to_plan(plan)
    is_small = leavers.FIRST_SMALL_SEED <= seed < FIRST_SEED
    if is_small or seed >= leavers.FIRST_SITE_SEED:
        plan = leavers.add_to_plan(plan)
    return plan


def _make_plan(seed: int, load_ms: int) -> plans.Plan:
    if seed < FIRST_SEED:
        return plans.make_plan(seed)
    load_ms = load_ms or LOAD_MS
    rng = random.Random(seed)
    disruptions = [
        item
        for item in tomllib.loads(_DATA_FILE.read_text())['disruptions']
        if seed >= item.get('first_seed', 0)
    ]
    faults: list[plans.Fault] = []
    for _ in range(_scale(rng, DISRUPTION_COUNT_RANGE, load_ms)):
        item = _draw(rng, disruptions, 0)
        at_ms = rng.randint(plans.FIRST_FAULT_AT_MS, load_ms)
        faults += _make_faults(rng, item, at_ms, load_ms)
    for _ in range(_scale(rng, STRUCK_VM_COUNT_RANGE, load_ms)):
        faults += _strike_vm(rng, disruptions, load_ms)
    faults.sort(key=lambda fault: fault.at_ms)
    count = WORKFLOW_COUNT * load_ms // LOAD_MS
    submissions = [_draw_submission(rng, load_ms) for _ in range(count)]
    if rng.random() < DEADLY_SHARE:
        submissions = plans.make_some_deadly(rng, submissions)
    if seed >= FIRST_SEED_WITH_ALL_FAULTS:
        submissions = plans.make_some_gangs(rng, submissions, True)
    if seed >= FIRST_SEED_WITH_RECURRING:
        submissions = plans.make_some_recurring(rng, submissions)
    if seed >= FIRST_SEED_WITH_MANY_CROWDS:
        faults += plans.draw_many_crowds(rng, load_ms)
    elif seed >= FIRST_SEED_WITH_CROWDS:
        faults += plans.draw_crowds(rng, load_ms)
        faults.sort(key=lambda fault: fault.at_ms)
    submissions.sort(key=lambda item: item.at_ms)
    return plans.Plan(
        seed,
        ENTRIES,
        TARGETS,
        tuple(faults),
        tuple(submissions),
        load_ms,
        plans.ZONES,
    )


def _scale(rng: random.Random, limits: tuple[int, int], load_ms: int) -> int:
    return max(rng.randint(*limits) * load_ms // LOAD_MS, 1)


def _draw(
    rng: random.Random, disruptions: list[Disruption], column: int
) -> Disruption:
    """Draw a disruption by one of its two weights."""
    weights = [item['weights'][column] for item in disruptions]
    return rng.choices(disruptions, weights)[0]


def _make_faults(
    rng: random.Random,
    item: Disruption,
    at_ms: int,
    load_ms: int,
    first: int | None = None,
) -> list[plans.Fault]:
    """Return the faults of a disruption.

    :param first: number of the only component that is hit; by default it
        hits its share of all
    """
    population = POPULATIONS.get(item['subject'], 100)
    if first is None:
        count = max(round(item.get('share', 0) * population), 1)
        indices = rng.sample(range(population), count)
    else:
        indices = [first]
    duration_ms = rng.choice(item['durations_ms'])
    return [
        plans.Fault(
            min(at_ms + number * item.get('gap_ms', 0), load_ms),
            duration_ms,
            item['subject'],
            item['kind'],
            index,
        )
        for number, index in enumerate(indices)
    ]


def _strike_vm(
    rng: random.Random, disruptions: list[Disruption], load_ms: int
) -> list[plans.Fault]:
    """Return faults that hit one VM together, or an entry beside them."""
    index = rng.randrange(TARGETS)
    begin_ms = rng.randint(plans.FIRST_FAULT_AT_MS, load_ms)
    faults = []
    for _ in range(rng.randint(*STRIKE_COUNT_RANGE)):
        item = _draw(rng, disruptions, 1)
        at_ms = min(begin_ms + rng.randrange(STRIKE_SPAN_MS), load_ms)
        is_of_vm = POPULATIONS.get(item['subject']) == TARGETS
        faults += _make_faults(
            rng, item, at_ms, load_ms, index if is_of_vm else None
        )
    return faults


def _draw_submission(rng: random.Random, load_ms: int) -> plans.Submission:
    """Draw a workflow with wider steps than those of the small shape."""
    item = plans.draw_submission(rng)
    document = item.document
    if not item.is_long_running:
        for phase in document['Phases']:
            phase['Count'] = rng.randint(1, TASK_COUNT_LIMIT)
            if 'AntiAffinity' in phase:
                phase['AntiAffinity'] = phase['Count']
        work_ms = rng.choice(WORK_MS) // len(document['Phases'])
        suffix = '!' if item.always_fails else ''
        document['Spec'] = f'{work_ms}{suffix}'
    return dataclasses.replace(item, at_ms=rng.randint(0, load_ms))
