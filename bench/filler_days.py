"""Days of large workflows beside serving tasks, and what callers get.

``python -m bench.filler_days [--seeds N]`` plays days in virtual time.
"""

import argparse
import asyncio
import dataclasses
import random
from typing import Final

from bench import filler_fleet
from borageshelf.model import resources
from borageshelf.model import workflows

CORE: Final = 1_000
LATE_FACTOR: Final = 3


@dataclasses.dataclass(frozen=True)
class Load:
    """Size of a day.

    :param heavy_share: share of the pairs of images with an effect
    :param pressure: rise of the log latency if such a filler uses a whole VM
    :param estimate_error: largest error of an estimate, as a share
    :param first_count: number of large workflows that come first, at once
    :param first_due_ms: time of these
    """

    targets_count: int = 72
    serving_count: int = 24
    serving_images_count: int = 9
    filler_images_count: int = 18
    large_count: int = 60
    first_count: int = 7
    heavy_share: float = 0.35
    pressure: float = 5.0
    estimate_error: float = 0.9
    first_due_ms: int = 9_000
    last_due_ms: int = 43_000
    end_ms: int = 60_000


@dataclasses.dataclass(frozen=True)
class Result:
    """What the callers of large workflows got.

    :param in_time: number of workflows that ended within their objective
    :param late: number that ended within three times their objective
    :param worth_share: share of their worth, a seventh of it for late ones
    :param over_target_share: share of the serving time above target
    """

    count: int
    in_time: int
    late: int
    refused: int
    worth_share: float
    moved_runs: int
    over_target_share: float
    done_core_s: float


SERVING_QUEUE: Final = workflows.Queue(
    'watch', 'host', '/watch/', filler_fleet.SERVICE, 0, 2, 2.2, 2_500
)
LARGE_QUEUE: Final = workflows.Queue(
    'large', 'host', '/large/', filler_fleet.SERVICE, 2, 2, 2.0, 1_000
)


def make_plan(seed: int, load: Load) -> filler_fleet.Plan:
    """Return a day; the same seed and load give the same day."""
    rng = random.Random(seed)
    serving_images = [f's{i}' for i in range(load.serving_images_count)]
    filler_images = [f'f{i}' for i in range(load.filler_images_count)]
    pressures = {
        (serving, filler): load.pressure
        for serving in serving_images
        for filler in filler_images
        if rng.random() < load.heavy_share
    }
    submissions = [
        _make_serving(rng, number, rng.choice(serving_images))
        for number in range(load.serving_count)
    ]
    submissions += [
        _make_large(rng, number, filler_images, load)
        for number in range(load.large_count)
    ]
    capacities = tuple(
        64_000 * (3 if number % 3 == 2 else 2) // 2
        for number in range(load.targets_count)
    )
    return filler_fleet.Plan(
        seed, capacities, tuple(submissions), pressures, load.end_ms
    )


def _make_serving(
    rng: random.Random, number: int, image: str
) -> filler_fleet.Submission:
    step = workflows.Step(
        max(round(14 * rng.uniform(0.5, 1.5)), 1),
        resources.Resources(
            round(13 * CORE * rng.uniform(0.75, 1.25)), 26_000
        ),
        0,
        is_lasting=True,
        image=image,
        latency_target_ms=18,
        spread_limit=rng.choice((0, 1, 2)),
    )
    return filler_fleet.Submission(
        round(rng.uniform(0, 4_000)),
        workflows.Workflow(f'{number + 1:016x}', '', (step,)),
        SERVING_QUEUE,
    )


def _make_large(
    rng: random.Random, number: int, images: list[str], load: Load
) -> filler_fleet.Submission:
    steps = []
    work_ms = []
    for index in range(rng.choice((1, 2, 2, 3))):
        count = max(round(rng.lognormvariate(2.85, 0.55)), 2)
        run_ms = rng.lognormvariate(8.13, 0.45)
        error = rng.uniform(-load.estimate_error, load.estimate_error)
        steps.append(
            workflows.Step(
                min(count, 80),
                resources.Resources(
                    round(7 * CORE * rng.uniform(0.7, 1.3)), 13_000
                ),
                max(round(run_ms * (1 + error)), 100),
                after=(index - 1,) if index else (),
                is_checkpointing=rng.random() < 0.85,
                image=rng.choice(images),
                is_filler=True,
            )
        )
        work_ms.append(
            tuple(
                round(run_ms * rng.uniform(0.85, 1.15))
                for _ in range(steps[-1].count)
            )
        )
    due_ms = load.first_due_ms
    if number >= load.first_count:
        due_ms = round(rng.uniform(load.first_due_ms, load.last_due_ms))
    return filler_fleet.Submission(
        due_ms,
        workflows.Workflow(f'{number + 1:08x}{"f" * 8}', '', tuple(steps)),
        LARGE_QUEUE,
        tuple(work_ms),
    )


def play(plan: filler_fleet.Plan, knows_effects: bool = False) -> Result:
    """Play a day and count what became of its large workflows.

    :param knows_effects: whether the effects need not be learned
    """
    fleet = filler_fleet.FillerFleet(plan, knows_effects)
    asyncio.run(fleet.play())
    large = [item for item in plan.submissions if item.work_ms]
    in_time = late = refused = 0
    worth = owed = 0.0
    for item in large:
        workflow_id = item.workflow.workflow_id
        after_ms = fleet.ended_after_ms.get(workflow_id)
        objective_ms = item.objective_ms
        left_ms = plan.end_ms - item.due_ms
        if after_ms is None and left_ms < objective_ms:
            # Nobody can tell whether it would have been in time.
            continue
        weight = sum(
            sum(times) * step.demand.processor_millicores
            for times, step in zip(
                item.work_ms, item.workflow.steps, strict=True
            )
        )
        owed += weight
        refused += workflow_id in fleet.refused_ids
        if after_ms is None or after_ms > LATE_FACTOR * objective_ms:
            continue
        if after_ms <= objective_ms:
            in_time += 1
            worth += weight
        else:
            late += 1
            worth += weight / 7
    return Result(
        len(large),
        in_time,
        late,
        refused,
        round(worth / owed, 3) if owed else 0.0,
        fleet.moved_runs,
        round(fleet.over_target_ms / max(fleet.serving_ms, 1), 3),
        round(fleet.done_core_s),
    )


def main() -> None:
    """Play days with consecutive seeds and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--heavy-share', type=float, default=0.35)
    parser.add_argument('--known', action='store_true')
    arguments = parser.parse_args()
    load = Load(heavy_share=arguments.heavy_share)
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        print(seed, play(make_plan(seed, load), arguments.known), flush=True)


if __name__ == '__main__':
    main()
