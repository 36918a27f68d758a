"""Reads test cases from text files.

A case starts with a line ``[case NAME]``, has input sections, each below a
line ``[in NAME]``, and ends with the expected text below ``[out]``. Text
before the first case is a comment.
"""

import dataclasses
import pathlib
import re
from typing import Final

FOLDER: Final = pathlib.Path(__file__).parents[1] / 'test-data'

_HEADER: Final = re.compile(r'^\[(case|in|out)(?: (.+))?\]$')


@dataclasses.dataclass
class Case:
    """One test case.

    :param inputs: text of each input section by name
    """

    name: str
    inputs: dict[str, str]
    expected: str = ''


def read_cases(pattern: str) -> list[Case]:
    """Return the cases of all files whose names match a pattern."""
    return [
        case
        for path in sorted(FOLDER.glob(pattern))
        for case in _parse(path.read_text())
    ]


def name_case(case: Case) -> str:
    """Return the name of a case for pytest."""
    return case.name.replace(' ', '-')


def _parse(text: str) -> list[Case]:
    cases: list[Case] = []
    lines: list[str] = []
    kind, name = '', ''

    def close() -> None:
        body = '\n'.join(lines).strip('\n')
        if kind == 'in':
            cases[-1].inputs[name] = body + '\n'
        elif kind == 'out':
            cases[-1].expected = body
        lines.clear()

    for line in text.splitlines():
        header = _HEADER.match(line)
        if header is None:
            lines.append(line)
            continue
        close()
        kind, name = header[1], header[2] or ''
        if kind == 'case':
            cases.append(Case(name, {}))
    close()
    return cases
