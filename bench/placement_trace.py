"""Traces for the placement bench: their text form and their generator.

The traces are generated with a fixed seed and committed, so that a change of
the generator cannot change the figures unnoticed.
``python -m bench.placement_trace`` regenerates both traces.
"""

import dataclasses
import math
import pathlib
import random
from typing import Final

from borageshelf.model import objects
from borageshelf.model import resources

DATA_FOLDER: Final = pathlib.Path(__file__).parent / 'data'
SEED: Final = 20260
TRACE_LENGTH_S: Final = 3600
TOTAL_SLOTS: Final = 80
LOAD_STEP_S: Final = 30
# Same weights as in the configurations of the deployments.
OBJECTIVES: Final = {
    'ocre': objects.Objective(1.0, 3.0, 3.0),
    'colombo': objects.Objective(4.0, 1.0, 1.0),
}


@dataclasses.dataclass(frozen=True)
class Family:
    """Declared and actual properties of a job family.

    :param log_p99_effect: increase of the log of the service's p99 if the
        family used the whole VM
    :param mean_run_s: mean run time at full speed
    """

    name: str
    declared: resources.Resources
    actual: resources.Resources
    mean_run_s: float
    log_p99_effect: float
    urgency: int
    is_idempotent: bool


@dataclasses.dataclass(frozen=True)
class Phase:
    """A condition that holds from ``from_s`` until before ``to_s``.

    :param name: family or VM that is affected, or '-'
    :param value: factor or share of the condition, or 0
    """

    kind: str
    from_s: int
    to_s: int
    name: str = ''
    value: float = 0.0


@dataclasses.dataclass(frozen=True)
class Trace:
    """One hour of a deployment.

    :param busy_slots: busy executor slots, one value for every ``LOAD_STEP_S``
    :param job_arrivals: arrival second and family of each job
    :param phases: noise, failing workers, surges and cancellations
    """

    families: dict[str, Family]
    busy_slots: tuple[float, ...]
    job_arrivals: tuple[tuple[int, str], ...]
    phases: tuple[Phase, ...]

    def compute_busy_slots(self, second: int) -> float:
        """Return the busy slots at a second, linearly interpolated."""
        index, rest = divmod(second, LOAD_STEP_S)
        after = min(index + 1, len(self.busy_slots) - 1)
        fraction = rest / LOAD_STEP_S
        return (
            self.busy_slots[index] * (1 - fraction)
            + self.busy_slots[after] * fraction
        )

    def find_phases(self, kind: str, second: int) -> list[Phase]:
        """Return the phases of a kind that hold at a second."""
        return [
            phase
            for phase in self.phases
            if phase.kind == kind and phase.from_s <= second < phase.to_s
        ]


def read(name: str) -> Trace:
    """Read a committed trace."""
    families: dict[str, Family] = {}
    busy_slots: tuple[float, ...] = ()
    job_arrivals: list[tuple[int, str]] = []
    phases: list[Phase] = []
    text = (DATA_FOLDER / f'placement-{name}.trace').read_text()
    for line in text.splitlines():
        kind, *words = line.split()
        if kind == 'family':
            families[words[0]] = _parse_family(words)
        elif kind == 'load':
            busy_slots = tuple(float(word) for word in words)
        elif kind == 'jobs':
            second = int(words[0])
            job_arrivals.extend((second, family) for family in words[1:])
        elif kind == 'phase':
            phases.append(
                Phase(
                    words[0],
                    int(words[1]),
                    int(words[2]),
                    words[3],
                    float(words[4]),
                )
            )
    return Trace(families, busy_slots, tuple(job_arrivals), tuple(phases))


def _parse_family(words: list[str]) -> Family:
    numbers = [float(word) for word in words[1:]]
    sizes = [round(number) for number in numbers[:5]]
    return Family(
        words[0],
        resources.Resources(sizes[0], sizes[1], sizes[4]),
        resources.Resources(sizes[2], sizes[3], sizes[4]),
        numbers[5],
        numbers[6],
        round(numbers[7]),
        bool(numbers[8]),
    )


# Name, declared millicores and MB, actual millicores and MB, accelerators, run
# time in seconds, effect on the p99, urgency, idempotent; jobs per minute.
# The first family declares ten times its use, the second a tenth of it.
FAMILIES: Final = {
    'ocre': (
        ('ledger 20000 40000 2000 4000 0 240 0.05 0 1', 20.0),
        ('assay 400 1000 4000 10000 0 180 0.10 6 1', 4.0),
        ('blend 6000 20000 6000 20000 0 400 0.40 3 0', 2.0),
        ('scan 4000 8000 4000 8000 0 300 1.20 0 1', 4.0),
        ('grade 4000 16000 4000 16000 1 200 0.10 2 1', 2.0),
    ),
    'colombo': (
        ('billing 10000 30000 1000 3000 0 300 0.05 2 0', 15.0),
        ('photos 400 800 4000 8000 0 240 0.15 0 1', 6.0),
        ('routes 4000 10000 4000 10000 0 120 0.20 6 1', 6.0),
        ('sensors 5000 12000 5000 12000 0 300 1.50 0 1', 4.0),
        ('vision 6000 24000 6000 24000 1 240 0.10 0 1', 1.5),
    ),
}
NOISY_FAMILY: Final = {'ocre': 'scan', 'colombo': 'sensors'}
SURGE_FAMILY: Final = {'ocre': 'ledger', 'colombo': 'photos'}


def generate(name: str) -> str:
    """Return the text of a trace."""
    rng = random.Random(f'{SEED}-{name}')
    lines = [f'family {text}' for text, _ in FAMILIES[name]]
    phases = [
        f'phase noise {start} {start + 30 + rng.randrange(20)} '
        f'{NOISY_FAMILY[name]} 3'
        for start in range(300, TRACE_LENGTH_S, 180)
    ]
    phases += [
        'phase fail 900 2100 w3 0',
        'phase cancel 1500 1501 - 0.3',
        'phase cancel 3000 3001 - 0.3',
        'phase calls 1800 2040 - 2.2',
        f'phase batch 2400 2640 {SURGE_FAMILY[name]} 8',
    ]
    lines += phases
    lines.append('load ' + ' '.join(_make_load(rng)))
    for second in range(TRACE_LENGTH_S):
        arrived_families = _draw_jobs(name, second, rng)
        if arrived_families:
            lines.append(f'jobs {second} ' + ' '.join(arrived_families))
    return '\n'.join(lines) + '\n'


def _make_load(rng: random.Random) -> list[str]:
    """Return busy slots: a slow sine wave, jitter and a surge of calls."""
    slots_text = []
    for second in range(0, TRACE_LENGTH_S + LOAD_STEP_S, LOAD_STEP_S):
        utilisation = 0.42 + 0.14 * math.sin(2 * math.pi * second / 1500)
        busy = TOTAL_SLOTS * utilisation * rng.uniform(0.92, 1.08)
        if 1800 <= second < 2040:
            busy *= 2.2
        slots_text.append(f'{min(busy, 0.9 * TOTAL_SLOTS):.1f}')
    return slots_text


def _draw_jobs(name: str, second: int, rng: random.Random) -> list[str]:
    arrived_families = []
    for text, per_minute in FAMILIES[name]:
        family = text.split()[0]
        jobs_per_s = per_minute / 60
        if family == SURGE_FAMILY[name] and 2400 <= second < 2640:
            jobs_per_s *= 8
        certain_count, fraction = divmod(jobs_per_s, 1)
        count = int(certain_count) + (rng.random() < fraction)
        arrived_families += [family] * count
    return arrived_families


def main() -> None:
    """Generate both traces and write them into the data folder."""
    for name in FAMILIES:
        path = DATA_FOLDER / f'placement-{name}.trace'
        path.write_text(generate(name))


if __name__ == '__main__':
    main()
