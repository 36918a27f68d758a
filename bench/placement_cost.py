"""Cost of one placement decision by fleet size."""

import random
import statistics
import time
from typing import Final

from borageshelf.decisions import placement
from borageshelf.decisions import views
from borageshelf.model import resources

FLEET_SIZES: Final = (10, 46, 460, 4600)
DECISIONS_PER_FLEET: Final = 400
RUNNING_PER_TARGET: Final = 12
TARGET_CAPACITY: Final = resources.Resources(60_000, 250_000)
TASK_SIZE: Final = resources.Resources(2_000, 8_000)


def make_targets(count: int, is_full: bool) -> list[views.TargetView]:
    """Return targets that each run a service and twelve attempts.

    :param is_full: whether the targets have no unreserved resources
    """
    running = tuple(
        views.RunningView(
            f't{i}', f'f{i % 5}', 'team', 0, TASK_SIZE, TASK_SIZE
        )
        for i in range(RUNNING_PER_TARGET)
    )
    free = resources.Resources(60_000 - 24_000, 250_000 - 96_000)
    return [
        views.TargetView(
            target_id=f'w{i}',
            data_centre='centre',
            rack=f'r{i // 3}',
            vm_boot_id='vm',
            agent_boot_id='agent',
            capacity=TARGET_CAPACITY,
            free=resources.NOTHING if is_full else free,
            service='service',
            running=running,
        )
        for i in range(count)
    ]


def measure_decision_us(targets: list[views.TargetView]) -> float:
    """Return the median time of a decision in microseconds."""
    rng = random.Random(1)
    task = views.TaskView('job/0', 'f1', 'team', TASK_SIZE)
    policy = views.Policy(covers_fleet=True)
    times_us = []
    for _ in range(DECISIONS_PER_FLEET):
        started_ns = time.perf_counter_ns()
        placement.choose_target(task, targets, policy, 1_000_000, rng)
        times_us.append((time.perf_counter_ns() - started_ns) / 1000)
    return statistics.median(times_us)


def print_costs() -> None:
    """Print the table.

    Other work shares the machine, so the ratios between fleet sizes are more
    meaningful than the times.
    """
    print('\n| workers | free us | ratio | full us | ratio |')
    print('|---|---|---|---|---|')
    smallest_us: tuple[float, float] | None = None
    for size in FLEET_SIZES:
        free_us = measure_decision_us(make_targets(size, False))
        full_us = measure_decision_us(make_targets(size, True))
        smallest_us = smallest_us or (free_us, full_us)
        print(
            f'| {size} | {free_us:.0f} | {free_us / smallest_us[0]:.1f}'
            f' | {full_us:.0f} | {full_us / smallest_us[1]:.1f} |'
        )
