"""Traces for the placement bench: their text form and their generator.

A trace is written by this project with a fixed seed and committed, so a
change of the generator can't silently change the figures.
``python -m bench.placement_trace`` writes both traces anew.
"""

import dataclasses
import math
import pathlib
import random
from typing import Final

from borageshelf.model import objects
from borageshelf.model import resources

FOLDER: Final = pathlib.Path(__file__).parent / 'data'
SEED: Final = 20260
LENGTH_S: Final = 3600
SLOTS: Final = 80
LOAD_STEP_S: Final = 30
# The weights in the deployments' configurations.
OBJECTIVES: Final = {
    'ocre': objects.Objective(1.0, 3.0, 3.0),
    'colombo': objects.Objective(4.0, 1.0, 1.0),
}


@dataclasses.dataclass(frozen=True)
class Family:
    """Declared and true properties of a job family.

    :param effect: rise of log p99 if it used the whole VM
    :param mean_run_s: run time at full speed
    """

    name: str
    declared: resources.Resources
    true: resources.Resources
    mean_run_s: float
    effect: float
    urgency: int
    is_idempotent: bool


@dataclasses.dataclass(frozen=True)
class Phase:
    """Something that holds from one second to another."""

    kind: str
    from_s: int
    to_s: int
    name: str = ''
    value: float = 0.0


@dataclasses.dataclass(frozen=True)
class Trace:
    """One hour of a deployment.

    :param load: busy executor slots, one value each ``LOAD_STEP_S``
    :param jobs: second and family of each job
    :param phases: noise, failing workers, surges and cancellations
    """

    families: dict[str, Family]
    load: tuple[float, ...]
    jobs: tuple[tuple[int, str], ...]
    phases: tuple[Phase, ...]

    def find_load(self, second: int) -> float:
        """Return the busy slots at a second, interpolated."""
        index, rest = divmod(second, LOAD_STEP_S)
        after = min(index + 1, len(self.load) - 1)
        part = rest / LOAD_STEP_S
        return self.load[index] * (1 - part) + self.load[after] * part

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
    load: tuple[float, ...] = ()
    jobs: list[tuple[int, str]] = []
    phases: list[Phase] = []
    text = (FOLDER / f'placement-{name}.trace').read_text()
    for line in text.splitlines():
        kind, *words = line.split()
        if kind == 'family':
            families[words[0]] = _parse_family(words)
        elif kind == 'load':
            load = tuple(float(word) for word in words)
        elif kind == 'jobs':
            second = int(words[0])
            jobs.extend((second, family) for family in words[1:])
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
    return Trace(families, load, tuple(jobs), tuple(phases))


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


# Name, declared and true millicores and MB, accelerators, run time in
# seconds, effect, urgency, idempotent, jobs a minute. "over" declares ten
# times its use and "under" a tenth of it.
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
NOISY: Final = {'ocre': 'scan', 'colombo': 'sensors'}
CHEAP: Final = {'ocre': 'ledger', 'colombo': 'photos'}


def generate(name: str) -> str:
    """Return the text of a trace."""
    rng = random.Random(f'{SEED}-{name}')
    lines = [f'family {text}' for text, _ in FAMILIES[name]]
    phases = [
        f'phase noise {start} {start + 30 + rng.randrange(20)} {NOISY[name]} 3'
        for start in range(300, LENGTH_S, 180)
    ]
    phases += [
        'phase fail 900 2100 w3 0',
        'phase cancel 1500 1501 - 0.3',
        'phase cancel 3000 3001 - 0.3',
        'phase calls 1800 2040 - 2.2',
        f'phase batch 2400 2640 {CHEAP[name]} 8',
    ]
    lines += phases
    lines.append('load ' + ' '.join(_make_load(rng)))
    for second in range(LENGTH_S):
        started = _draw_jobs(name, second, rng)
        if started:
            lines.append(f'jobs {second} ' + ' '.join(started))
    return '\n'.join(lines) + '\n'


def _make_load(rng: random.Random) -> list[str]:
    """Return busy slots: a slow swing, jitter and one surge of calls."""
    values = []
    for second in range(0, LENGTH_S + LOAD_STEP_S, LOAD_STEP_S):
        swing = 0.42 + 0.14 * math.sin(2 * math.pi * second / 1500)
        value = SLOTS * swing * rng.uniform(0.92, 1.08)
        if 1800 <= second < 2040:
            value *= 2.2
        values.append(f'{min(value, 0.9 * SLOTS):.1f}')
    return values


def _draw_jobs(name: str, second: int, rng: random.Random) -> list[str]:
    started = []
    for text, per_minute in FAMILIES[name]:
        family = text.split()[0]
        rate = per_minute / 60
        if family == CHEAP[name] and 2400 <= second < 2640:
            rate *= 8
        whole, part = divmod(rate, 1)
        count = int(whole) + (rng.random() < part)
        started += [family] * count
    return started


def main() -> None:
    """Write both traces."""
    for name in FAMILIES:
        path = FOLDER / f'placement-{name}.trace'
        path.write_text(generate(name))


if __name__ == '__main__':
    main()
