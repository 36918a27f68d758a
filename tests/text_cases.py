"""Reader of test cases in text files.

A file holds cases ``[case name]``, each with steps, a line ``[out]`` and the
expected output. Lines that start with ``#`` are comments.
"""

import dataclasses
import pathlib

DATA = pathlib.Path(__file__).parents[1] / 'test-data'


@dataclasses.dataclass(frozen=True)
class Case:
    """One case."""

    name: str
    steps: tuple[tuple[str, ...], ...]
    out: tuple[str, ...]


def read_cases(pattern: str) -> list[Case]:
    """Return the cases of all files that match, in order."""
    cases = []
    for path in sorted(DATA.glob(pattern)):
        for block in path.read_text().split('[case ')[1:]:
            name, _, body = block.partition(']')
            steps, _, out = body.partition('[out]')
            cases.append(
                Case(
                    name,
                    tuple(tuple(line.split()) for line in _clean(steps)),
                    tuple(_clean(out)),
                )
            )
    return cases


def _clean(text: str) -> list[str]:
    lines = [line.strip() for line in text.splitlines()]
    return [line for line in lines if line and not line.startswith('#')]
