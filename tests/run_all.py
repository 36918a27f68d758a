"""Runs all tests except the known failures, which it prints.

``python -m tests.run_all [PYTEST FLAG...]``; ``make test`` and CI use it.
"""

import pathlib
import sys
from typing import Final

import pytest

KNOWN_FAILURES_FILE: Final = (
    pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'
)
TEST_LABEL: Final = 'test: '


def list_known_failures() -> list[str]:
    """Return the ids of the tests that are known to fail."""
    return [
        line.removeprefix(TEST_LABEL).strip()
        for line in KNOWN_FAILURES_FILE.read_text().splitlines()
        if line.startswith(TEST_LABEL)
    ]


def main() -> int:
    """Run the tests and return the exit status of pytest."""
    print(KNOWN_FAILURES_FILE.read_text(), flush=True)
    flags = [f'--deselect={test}' for test in list_known_failures()]
    return int(pytest.main([*flags, *sys.argv[1:]]))


if __name__ == '__main__':
    sys.exit(main())
