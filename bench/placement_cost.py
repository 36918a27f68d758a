"""Cost of one placement decision by size of the fleet."""

import random
import statistics
import time
from typing import Final

from borageshelf.decisions import placement
from borageshelf.decisions import views
from borageshelf.model import resources

SIZES: Final = (10, 46, 460, 4600)
DECISIONS: Final = 400
RUNNING: Final = 12
CAPACITY: Final = resources.Resources(60_000, 250_000)
SIZE: Final = resources.Resources(2_000, 8_000)


def make_targets(count: int, is_full: bool) -> list[views.TargetView]:
    """Return targets with a service and twelve attempts each."""
    running = tuple(
        views.RunningView(f't{i}', f'f{i % 5}', 'team', 0, SIZE, SIZE)
        for i in range(RUNNING)
    )
    free = resources.Resources(60_000 - 24_000, 250_000 - 96_000)
    return [
        views.TargetView(
            target_id=f'w{i}',
            data_centre='centre',
            rack=f'r{i // 3}',
            vm_boot_id='vm',
            agent_boot_id='agent',
            capacity=CAPACITY,
            free=resources.NOTHING if is_full else free,
            service='service',
            running=running,
        )
        for i in range(count)
    ]


def measure_us(targets: list[views.TargetView]) -> float:
    """Return the median time of a decision in microseconds."""
    rng = random.Random(1)
    task = views.TaskView('job/0', 'f1', 'team', SIZE)
    policy = views.Policy(covers_fleet=True)
    times = []
    for _ in range(DECISIONS):
        start = time.perf_counter_ns()
        placement.choose_target(task, targets, policy, 1_000_000, rng)
        times.append((time.perf_counter_ns() - start) / 1000)
    return statistics.median(times)


def print_costs() -> None:
    """Print the table; ratios matter, the machine is shared."""
    print('\n| workers | free us | ratio | full us | ratio |')
    print('|---|---|---|---|---|')
    base: tuple[float, float] | None = None
    for size in SIZES:
        free = measure_us(make_targets(size, False))
        full = measure_us(make_targets(size, True))
        base = base or (free, full)
        print(
            f'| {size} | {free:.0f} | {free / base[0]:.1f}'
            f' | {full:.0f} | {full / base[1]:.1f} |'
        )
