"""Random search for violations; prints the first one with a shortened trace.

``python -m tests.batch_search --seeds 0:200 [--without NAME]`` runs the random
trace of each seed, with one safeguard removed if a name is given. With
``--property`` it runs the property test instead.
"""

import argparse
from collections import abc
import importlib
import random
from typing import Final

from hypothesis import stateful

from tests import batch_removals
from tests import batch_worker
from tests import batch_world

Step = tuple[str, ...]

STEPS: Final = 60
KINDS: Final = ('idem', 'once', 'once', 'monitor')


def draw_step(rng: random.Random, jobs: int) -> Step:
    """Return a random action with its arguments."""
    entry = rng.choice(batch_world.ENTRIES)
    target = rng.choice(batch_world.TARGETS)
    node = rng.choice((entry, target))
    pair = (entry, target) if rng.random() < 0.5 else (target, entry)
    job = f'j{rng.randrange(max(jobs, 1))}'
    shard = str(rng.randrange(batch_world.SHARDS))
    choices: list[tuple[int, abc.Callable[[], Step]]] = [
        (9, lambda: ('submit', entry, rng.choice(KINDS))),
        (5, lambda: ('cancel', entry, job)),
        (2, lambda: ('finish', job)),
        (1, lambda: ('fail', job)),
        (2, lambda: ('evict', job)),
        (3, lambda: ('pause', node)),
        (4, lambda: ('resume', node)),
        (3, lambda: ('block', *pair)),
        (4, lambda: ('unblock', *pair)),
        (2, lambda: ('block', entry, 'store')),
        (3, lambda: ('unblock', entry, 'store')),
        (1, lambda: ('outage', 'on')),
        (3, lambda: ('outage', 'off')),
        (4, lambda: ('fate', entry, rng.choice(FATES))),
        (2, lambda: ('arrive',)),
        (2, lambda: ('skew', node, str(rng.choice((-1000, 0, 1000))))),
        (4, lambda: ('crash', node)),
        (1, lambda: ('lose', target)),
        (2, lambda: ('replace', target)),
        (3, lambda: ('cut', *sorted(pair), rng.choice(('keep', 'drop')))),
        (4, lambda: ('hold', target)),
        (2, lambda: ('unhold', target)),
        (2, lambda: ('skip', str(rng.choice((500, 5000, 32000, 95000))))),
        (2, lambda: ('acquire', entry, shard)),
        (2, lambda: ('release', entry, shard)),
        (20, lambda: ('run', str(rng.choice((500, 1500, 3500, 35000))))),
        (14, lambda: ('sprint', str(rng.choice((1, 2, 4, 8))))),
        (8, lambda: ('deliver', *pair)),
        (3, lambda: ('connect',)),
        (3, lambda: ('late',)),
        (5, lambda: ('work', target)),
        (10, lambda: ('step', entry)),
    ]
    weights = [weight for weight, _ in choices]
    return rng.choices(choices, weights)[0][1]()


FATES: Final = ('REFUSED', 'LOST_BEFORE', 'LOST_AFTER', 'DELAYED')


def draw_trace(seed: int) -> list[Step]:
    """Return the random trace of a seed."""
    rng = random.Random(seed)
    steps: list[Step] = [('run', '6000')]
    jobs = 0
    for _ in range(STEPS):
        step = draw_step(rng, jobs)
        jobs += step[0] == 'submit'
        steps.append(step)
    return steps


def find_violation(
    steps: abc.Sequence[Step], parts: batch_world.Parts | None = None
) -> str:
    """Run a trace, end all faults, and return the violation, or ''."""
    world = batch_world.World(parts)
    try:
        for step in steps:
            world.perform(*step)
        world.heal()
    except batch_worker.Violation as violation:
        return str(violation)
    return ''


def shorten(
    steps: list[Step], parts: batch_world.Parts | None = None
) -> list[Step]:
    """Return a shorter trace that still leads to some violation.

    Drops blocks of steps, from half the trace down to single steps, without
    which a violation remains.
    """
    size = len(steps) // 2
    while size:
        start = 0
        while start < len(steps):
            shorter = steps[:start] + steps[start + size :]
            if find_violation(shorter, parts):
                steps = shorter
            else:
                start += size
        size //= 2
    return steps


def main() -> None:
    """Run the search or the property test and print the outcome."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', default='0:200')
    parser.add_argument('--without', choices=sorted(batch_removals.REMOVALS))
    parser.add_argument('--property', action='store_true')
    arguments = parser.parse_args()
    first, last = map(int, arguments.seeds.split(':'))
    with batch_removals.remove(arguments.without) as parts:
        if arguments.property:
            # Imported here because that module imports this one.
            properties = importlib.import_module('tests.test_batch_properties')
            properties.BatchMachine.parts = parts
            stateful.run_state_machine_as_test(
                properties.BatchMachine,
                settings=properties.BatchMachine.TestCase.settings,
            )
            print('the property test passes')
            return
        for seed in range(first, last):
            steps = draw_trace(seed)
            if not find_violation(steps, parts):
                continue
            steps = shorten(steps, parts)
            print(f'seed {seed}: {find_violation(steps, parts)}')
            for step in steps:
                print(' ', *step)
            return
    print(f'no violation in seeds {arguments.seeds}')


if __name__ == '__main__':
    main()
