"""Fluid model of ten VMs for the placement bench.

One step is one second. The model provides the inputs of the decisions (usage
and p99, each with the delay of a report) and the figures by which they are
measured. The p99 of a VM is the latency of an executor with eight slots from
a queueing model, multiplied by the interference of the batch families and by
the square of the processor shortage (demand divided by supply).
"""

import dataclasses
import math
import random
from typing import Final

from bench import placement_trace
from borageshelf.decisions import interference
from borageshelf.model import resources

VM_COUNT: Final = 10
EXECUTOR_SLOTS: Final = 8
VM_CAPACITY: Final = resources.Resources(60_000, 250_000)
IDLE_P99_MS: Final = 20.0
TARGET_P99_MS: Final = 40.0
SERVICE_MILLICORES_PER_SLOT: Final = 3_000
LATENCY_LAG_S: Final = 3
USAGE_LAG_S: Final = 5
LATENCY_NOISE_SIGMA: Final = 0.08
# An evicted task can start again after its checkpoint has been transferred.
RESTART_DELAY_S: Final = 5


@dataclasses.dataclass
class Task:
    """A task of the model and its progress."""

    task_id: str
    family: placement_trace.Family
    actual: resources.Resources
    work_millicore_s: float
    arrived_s: int
    completed_millicore_s: float = 0.0
    attempt: int = 1
    reserved: resources.Resources = resources.NOTHING
    speed: float = 1.0
    used_millicores: float = 0.0
    started_s: int = 0
    first_start_s: int = -1
    evictions: int = 0
    retry_s: int = 0
    failed_targets: tuple[str, ...] = ()

    def report_usage(self, now_s: int) -> resources.Resources:
        """Return the reported usage; nothing before the report delay."""
        if now_s - self.started_s < USAGE_LAG_S:
            return resources.NOTHING
        return resources.Resources(
            round(self.used_millicores),
            self.actual.memory_mb,
            self.actual.accelerators,
        )


@dataclasses.dataclass
class Vm:
    """A VM of the model with its executors and tasks."""

    name: str
    executors: int
    capacity: resources.Resources
    tasks: list[Task] = dataclasses.field(default_factory=list)
    p99_history_ms: list[float] = dataclasses.field(default_factory=list)
    load_history: list[float] = dataclasses.field(default_factory=list)
    mixes: list[interference.Mix] = dataclasses.field(default_factory=list)


def make_fleet(is_mixed: bool) -> list[Vm]:
    """Return the VMs of a fleet.

    :param is_mixed: one executor on each VM; else every second VM has two
        executors and the others have none
    """
    fleet = []
    for index in range(VM_COUNT):
        executors = 1 if is_mixed else 2 * (index % 2)
        capacity = dataclasses.replace(
            VM_CAPACITY, accelerators=2 if index in (0, 2, 5, 6) else 0
        )
        fleet.append(Vm(f'w{index}', executors, capacity))
    return fleet


def make_task(
    index: int,
    family: placement_trace.Family,
    second: int,
    rng: random.Random,
) -> Task:
    """Return a task whose actual size varies around that of its family."""
    size = rng.lognormvariate(0, 0.15)
    actual = resources.Resources(
        round(family.actual.processor_millicores * size),
        round(family.actual.memory_mb * rng.lognormvariate(0, 0.1)),
        family.actual.accelerators,
    )
    run_time_s = family.mean_run_s * rng.lognormvariate(0, 0.2)
    work_millicore_s = actual.processor_millicores * run_time_s
    return Task(f't{index}', family, actual, work_millicore_s, second)


def advance_one_second(
    vm: Vm, trace: placement_trace.Trace, now_s: int, rng: random.Random
) -> list[Task]:
    """Advance a VM by one second and return the tasks that finished."""
    busy_slots = trace.compute_busy_slots(now_s) / VM_COUNT
    service_millicores = (
        busy_slots * vm.executors * SERVICE_MILLICORES_PER_SLOT
    )
    demand_millicores = service_millicores + sum(
        task.actual.processor_millicores * task.speed for task in vm.tasks
    )
    supplied_share = min(
        1.0, vm.capacity.processor_millicores / max(demand_millicores, 1)
    )
    noise_factors = {
        phase.name: phase.value for phase in trace.find_phases('noise', now_s)
    }
    log_p99_rise = 0.0
    used_shares: dict[str, float] = {}
    for task in vm.tasks:
        task_millicores = (
            task.actual.processor_millicores * task.speed * supplied_share
        )
        task.used_millicores = task_millicores
        task.completed_millicore_s += task_millicores
        share = task_millicores / vm.capacity.processor_millicores
        name = task.family.name
        used_shares[name] = used_shares.get(name, 0.0) + share
        log_p99_rise += (
            task.family.log_p99_effect * noise_factors.get(name, 1.0) * share
        )
    vm.mixes.append(interference.Mix(now_s * 1000, used_shares))
    del vm.mixes[: -2 * LATENCY_LAG_S]
    if vm.executors:
        p99_ms = (
            compute_batch_free_p99_ms(busy_slots / EXECUTOR_SLOTS)
            * math.exp(log_p99_rise)
            / supplied_share**2
        )
        vm.p99_history_ms.append(p99_ms)
        vm.load_history.append(busy_slots / EXECUTOR_SLOTS)
    return [
        task
        for task in vm.tasks
        if task.completed_millicore_s >= task.work_millicore_s
    ]


def compute_batch_free_p99_ms(load: float) -> float:
    """Return the p99 without batch work (Sakasegawa's approximation)."""
    exponent = math.sqrt(2 * (EXECUTOR_SLOTS + 1)) - 1
    relative_wait = math.pow(load, exponent) / (
        EXECUTOR_SLOTS * (1 - min(load, 0.98))
    )
    return IDLE_P99_MS * (1 + 4 * relative_wait)


def choose_out_of_memory_victims(vm: Vm) -> list[Task]:
    """Return the tasks that the VM kills when it runs out of memory.

    Tasks with the most memory come first, until the others fit.
    """
    total_memory_mb = sum(task.actual.memory_mb for task in vm.tasks)
    killed = []
    for task in sorted(vm.tasks, key=lambda task: -task.actual.memory_mb):
        if total_memory_mb <= vm.capacity.memory_mb:
            break
        killed.append(task)
        total_memory_mb -= task.actual.memory_mb
    return killed


def measure_p99(vm: Vm, rng: random.Random) -> tuple[float, float, int]:
    """Return the delayed, noisy p99, its load and its age in seconds."""
    if len(vm.p99_history_ms) <= LATENCY_LAG_S:
        return 0.0, 0.0, LATENCY_LAG_S
    p99_ms = vm.p99_history_ms[-1 - LATENCY_LAG_S]
    noisy_p99_ms = p99_ms * rng.lognormvariate(0, LATENCY_NOISE_SIGMA)
    return noisy_p99_ms, vm.load_history[-1 - LATENCY_LAG_S], LATENCY_LAG_S


def compute_late_share(fleet: list[Vm]) -> float:
    """Return the share of the last second's calls over the target p99."""
    executors = sum(vm.executors for vm in fleet)
    late = sum(
        vm.executors * math.pow(0.01, TARGET_P99_MS / vm.p99_history_ms[-1])
        for vm in fleet
        if vm.executors
    )
    return late / executors


def compute_fleet_p99_ms(fleet: list[Vm]) -> float:
    """Return the p99 of all calls of the run.

    Latencies on one VM in one second are assumed to be exponentially
    distributed with that second's p99. The number of calls is proportional
    to the executors and their load.
    """
    weighted_p99s = [
        (vm.executors * load, p99_ms)
        for vm in fleet
        for load, p99_ms in zip(
            vm.load_history, vm.p99_history_ms, strict=True
        )
    ]
    total_weight = sum(weight for weight, _ in weighted_p99s)
    low, high = 1.0, 100_000.0
    for _ in range(30):
        middle = math.sqrt(low * high)
        weight_above = sum(
            weight * math.pow(0.01, middle / p99_ms)
            for weight, p99_ms in weighted_p99s
        )
        if weight_above > 0.01 * total_weight:
            low = middle
        else:
            high = middle
    return high
