"""Fluid model of ten VMs for the placement bench.

One step is one second. It answers what the pure decisions need to see (late
usage and late p99) and what they are measured by. The p99 of a VM is the
queueing delay of an executor with eight slots, times the effects of the
batch families on it, times the square of the processor shortage.
"""

import dataclasses
import math
import random
from typing import Final

from bench import placement_trace
from borageshelf.decisions import interference
from borageshelf.model import resources

VMS: Final = 10
SLOTS: Final = 8
CAPACITY: Final = resources.Resources(60_000, 250_000)
QUIET_P99_MS: Final = 20.0
GOAL_P99_MS: Final = 40.0
SERVICE_MILLICORES_PER_SLOT: Final = 3_000
LATENCY_LAG_S: Final = 3
USAGE_LAG_S: Final = 5
LATENCY_NOISE: Final = 0.08
# An evicted task can start again after its checkpoint was moved.
RESTART_S: Final = 5


@dataclasses.dataclass
class Task:
    """One task and its progress."""

    task_id: str
    family: placement_trace.Family
    true: resources.Resources
    work_millicore_s: float
    arrived_s: int
    done_millicore_s: float = 0.0
    attempt: int = 1
    reserved: resources.Resources = resources.NOTHING
    speed: float = 1.0
    used_millicores: float = 0.0
    started_s: int = 0
    first_start_s: int = -1
    evictions: int = 0
    retry_s: int = 0
    failed: tuple[str, ...] = ()

    def measure(self, now_s: int) -> resources.Resources:
        """Return the use that reports show, nothing before the lag."""
        if now_s - self.started_s < USAGE_LAG_S:
            return resources.NOTHING
        return resources.Resources(
            round(self.used_millicores),
            self.true.memory_mb,
            self.true.accelerators,
        )


@dataclasses.dataclass
class Vm:
    """One VM with its executors and tasks."""

    name: str
    executors: int
    capacity: resources.Resources
    tasks: list[Task] = dataclasses.field(default_factory=list)
    p99_history: list[float] = dataclasses.field(default_factory=list)
    load_history: list[float] = dataclasses.field(default_factory=list)
    mixes: list[interference.Mix] = dataclasses.field(default_factory=list)


def make_fleet(is_mixed: bool) -> list[Vm]:
    """Return the VMs; unmixed, half of them hold two executors each."""
    fleet = []
    for index in range(VMS):
        executors = 1 if is_mixed else 2 * (index % 2)
        capacity = dataclasses.replace(
            CAPACITY, accelerators=2 if index in (0, 2, 5, 6) else 0
        )
        fleet.append(Vm(f'w{index}', executors, capacity))
    return fleet


def make_task(
    index: int,
    family: placement_trace.Family,
    second: int,
    rng: random.Random,
) -> Task:
    """Return a task whose true size varies around that of its family."""
    size = rng.lognormvariate(0, 0.15)
    true = resources.Resources(
        round(family.true.processor_millicores * size),
        round(family.true.memory_mb * rng.lognormvariate(0, 0.1)),
        family.true.accelerators,
    )
    run_s = family.mean_run_s * rng.lognormvariate(0, 0.2)
    work = true.processor_millicores * run_s
    return Task(f't{index}', family, true, work, second)


def step(
    vm: Vm, trace: placement_trace.Trace, now_s: int, rng: random.Random
) -> list[Task]:
    """Advance a VM by one second and return the tasks that finished."""
    busy = trace.find_load(now_s) / VMS
    service = busy * vm.executors * SERVICE_MILLICORES_PER_SLOT
    demand = service + sum(
        task.true.processor_millicores * task.speed for task in vm.tasks
    )
    squeeze = min(1.0, vm.capacity.processor_millicores / max(demand, 1))
    noise = {
        phase.name: phase.value for phase in trace.find_phases('noise', now_s)
    }
    rise = 0.0
    shares: dict[str, float] = {}
    for task in vm.tasks:
        used = task.true.processor_millicores * task.speed * squeeze
        task.used_millicores = used
        task.done_millicore_s += used
        share = used / vm.capacity.processor_millicores
        name = task.family.name
        shares[name] = shares.get(name, 0.0) + share
        rise += task.family.effect * noise.get(name, 1.0) * share
    vm.mixes.append(interference.Mix(now_s * 1000, shares))
    del vm.mixes[: -2 * LATENCY_LAG_S]
    if vm.executors:
        p99 = find_quiet_p99_ms(busy / SLOTS) * math.exp(rise) / squeeze**2
        vm.p99_history.append(p99)
        vm.load_history.append(busy / SLOTS)
    return [
        task
        for task in vm.tasks
        if task.done_millicore_s >= task.work_millicore_s
    ]


def find_quiet_p99_ms(load: float) -> float:
    """Return the p99 without batch work (Sakasegawa's approximation)."""
    exponent = math.sqrt(2 * (SLOTS + 1)) - 1
    wait = math.pow(load, exponent) / (SLOTS * (1 - min(load, 0.98)))
    return QUIET_P99_MS * (1 + 4 * wait)


def find_overfull(vm: Vm) -> list[Task]:
    """Return the tasks that the VM kills because its memory is full."""
    total = sum(task.true.memory_mb for task in vm.tasks)
    killed = []
    for task in sorted(vm.tasks, key=lambda task: -task.true.memory_mb):
        if total <= vm.capacity.memory_mb:
            break
        killed.append(task)
        total -= task.true.memory_mb
    return killed


def measure_p99(vm: Vm, rng: random.Random) -> tuple[float, float, int]:
    """Return the late and noisy p99, its load and its age in seconds."""
    if len(vm.p99_history) <= LATENCY_LAG_S:
        return 0.0, 0.0, LATENCY_LAG_S
    p99 = vm.p99_history[-1 - LATENCY_LAG_S]
    noisy = p99 * rng.lognormvariate(0, LATENCY_NOISE)
    return noisy, vm.load_history[-1 - LATENCY_LAG_S], LATENCY_LAG_S


def find_late_share(fleet: list[Vm]) -> float:
    """Return the share of the last second's calls slower than the goal."""
    executors = sum(vm.executors for vm in fleet)
    late = sum(
        vm.executors * math.pow(0.01, GOAL_P99_MS / vm.p99_history[-1])
        for vm in fleet
        if vm.executors
    )
    return late / executors


def find_fleet_p99_ms(fleet: list[Vm]) -> float:
    """Return the p99 of all calls of the run.

    Latencies of one VM and second are taken as exponential with that
    second's p99; the calls are proportional to executors and load.
    """
    parts = [
        (vm.executors * load, p99)
        for vm in fleet
        for load, p99 in zip(vm.load_history, vm.p99_history, strict=True)
    ]
    total = sum(weight for weight, _ in parts)
    low, high = 1.0, 100_000.0
    for _ in range(30):
        middle = math.sqrt(low * high)
        above = sum(w * math.pow(0.01, middle / p99) for w, p99 in parts)
        if above > 0.01 * total:
            low = middle
        else:
            high = middle
    return high
